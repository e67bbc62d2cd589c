package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// mixedFaults is one short run of mixed troubles, all of it repeatable by its seed.
type mixedFaults struct {
	*userSimulation
	limits bool // the state service may lower its limits
}

// TestMixedFaults mixes, in many short runs, crashes and quick returns of
// controllers, controllers that stand still, cuts that hold messages, cut zones, half-cut
// controllers, state outages, lost answers, late transactions, deaf, hanging and silent machines, machines that are
// back at once, mute ones, hangs at a cancellation, cancellations at an end, late copies of reports, also for the next leader, rolling upgrades from the version before, and a
// state service that lowers its limits; jobs need others. The simulation checks at each moment that
// one node leads, no task runs twice and no team is over its limit; the invariant checker
// also hears what users are told, and every accepted job runs in the end.
func TestMixedFaults(t *testing.T) {
	eachSeed(t, 96, 6000, runMixedFaults)
}

func runMixedFaults(t *testing.T, seed uint64) {
	c := &mixedFaults{userSimulation: newUserSimulation(newSimulationOf(t, 3+4*int(seed%3/2), deployments[seed/6%uint64(len(deployments))]), seed)}
	if seed%5 == 2 {
		// One team has a guarantee, for which others give room back.
		c.cfg.Teams[0].GuaranteedCPUs = 8
		c.cfg.Objectives = []config.Objective{{Kind: "guarantee", WithinS: 10, MinShare: 0.9}}
		c.cloud.capacity = 6
		for _, name := range c.names {
			c.start(name)
		}
	}
	if seed%4 >= 2 {
		c.limits = true
		c.announce(1, 4, 30)
	}
	if seed%3 > 0 {
		// In mid-upgrade: a node that dies before its turn comes back old.
		for i, name := range c.names {
			c.old[name] = true
			c.start(name)
			c.after(time.Duration(20+i*c.rng.IntN(12))*time.Second, func() { c.upgrade(name) })
		}
	}
	c.holds = seed%2 == 0
	c.runTime = func(task string, _ int) time.Duration { return time.Duration(2+len(task)%9) * time.Second }
	if seed%5 == 2 {
		c.runTime = func(task string, n int) time.Duration { return max(5, time.Duration(45/n)) * time.Second }
	}
	c.driftClocks()
	if seed%2 == 1 {
		c.lookClosely()
	}
	if seed%5 == 0 {
		c.holdBack()
	}
	kept := c.copies
	c.copies = func(x *worker, rep *protocol.WorkerHeartbeat) {
		if kept != nil {
			kept(x, rep)
		}
		if c.rng.IntN(4) == 0 {
			copied := *rep
			copied.Tasks = append([]protocol.TaskStatus(nil), rep.Tasks...)
			late := time.Duration(c.rng.ExpFloat64() * float64(config.Seconds(c.cfg.Workers.LeaseS)))
			c.after(late, func() {
				c.ask(c.anyNode(), Request{Kind: protocol.RequestHeartbeat, Heartbeat: &copied}, func(Reply) {})
			})
		}
	}
	c.waitLeader()
	c.machines(3)
	troubles := []func(){c.crashSome, c.cutSome, c.halfCut, c.stateOutage, c.refuseOne, c.loseAnswers, c.lateTransaction,
		c.deafen, c.hang, c.silence, c.restarted, c.quickReturn, c.peersRefuse, c.standStill, c.cutZone, c.lateWrites, c.answersLost, c.mute, c.cancelAndHang, c.cancelAtEnd,
		c.refuseWithPeers, c.slowState, c.answersHeldUp, c.refusedThenOut, c.mistakes}
	for i := range 14 {
		c.userWork(i)
		for range 1 + c.rng.IntN(2) {
			troubles[c.rng.IntN(len(troubles))]()
		}
		c.poll()
		c.run(time.Duration(c.rng.IntN(8000)) * time.Millisecond)
	}
	c.run(c.cancelSpan()*5/4 + c.lease()) // all troubles end by themselves
	c.settle(5 * time.Minute)
}

// userWork submits a job, and at times cancels one.
func (c *mixedFaults) userWork(i int) {
	j := spec(fmt.Sprintf("j-%d", i), 1+c.rng.IntN(9))
	if c.rng.IntN(2) == 0 {
		j.Team = "team"
	}
	if c.rng.IntN(2) == 0 {
		j.CheckpointIntervalSeconds, j.CheckpointSaveSeconds = 10, 1
	}
	for range c.rng.IntN(4) {
		if id := fmt.Sprintf("j-%d", c.rng.IntN(i+1)); c.knows(id) && len(c.old) == 0 {
			j.Dependencies = append(j.Dependencies, id)
		}
	}
	if c.limits && c.rng.IntN(4) == 0 && len(c.old) == 0 {
		c.state.lowered = true
	}
	c.specs[j.ID] = j
	c.submitUntil(j)
	if i > 2 && c.rng.IntN(3) == 0 {
		id := fmt.Sprintf("j-%d", i-2)
		if c.knows(id) {
			c.cancelUntil(id)
		}
	}
}

func (c *mixedFaults) anyWorkers(f func(*worker)) {
	for i := range c.cloud.last {
		if x := c.workers[fmt.Sprintf("m-%06d", i+1)]; x != nil && c.rng.IntN(3) == 0 {
			f(x)
		}
	}
}

func (c *mixedFaults) soon() time.Duration {
	return time.Duration(200+c.rng.IntN(25_000)) * time.Millisecond
}

func (c *mixedFaults) crashSome() {
	for range 1 + c.rng.IntN(3) {
		c.back(c.anyNode(), 3*time.Second)
	}
}

func (c *mixedFaults) quickReturn() {
	for i := range 3 {
		c.after(time.Duration(i*c.rng.IntN(900))*time.Millisecond, func() {
			c.back(c.anyNode(), time.Duration(20+c.rng.IntN(400))*time.Millisecond)
		})
	}
}

func (c *mixedFaults) cutSome() {
	for range 1 + c.rng.IntN(2) {
		c.cut[[2]string{c.anyNode(), c.anyNode()}] = true
	}
	c.after(c.soon(), c.mend)
}

// peersRefuse cuts all controllers from each other.
func (c *mixedFaults) peersRefuse() {
	c.cutAll()
	c.after(c.soon(), c.mend)
}

// halfCut takes the state service and the other controllers from one, not its workers.
func (c *mixedFaults) halfCut() {
	name := c.leader()
	if name == "" || c.rng.IntN(3) == 0 {
		name = c.anyNode()
	}
	c.state.lost[name] = true
	c.cutOff(name)
	c.after(c.soon(), func() { delete(c.state.lost, name); c.mend() })
}

// standStill stops controllers for a moment or for longer than every lease, some of
// them between a decision and what comes of it.
func (c *mixedFaults) standStill() {
	for range 1 + c.rng.IntN(2) {
		name := c.anyNode()
		if l := c.leader(); l != "" && c.rng.IntN(2) == 0 {
			name = l
		}
		c.goSilent(name, time.Duration(c.rng.ExpFloat64()*float64(c.lease())/3))
	}
}

// mistakes lets some jobs fail on every machine until their users cancel them.
func (c *mixedFaults) mistakes() {
	for _, id := range slices.Sorted(maps.Keys(c.accepted)) {
		if c.over[id] == "" && !c.mistake[id] && c.rng.IntN(4) == 0 {
			c.mistake[id] = true
			c.after(c.soon(), func() { c.cancelUntil(id) })
		}
	}
}

// cutZone cuts one node and the workers of a zone from everything else.
func (c *mixedFaults) cutZone() {
	name := c.anyNode()
	c.reach = func(x *worker, node string) bool { return (x.zone == "a") == (node == name) }
	c.state.lost[name] = true
	c.cutOff(name)
	c.after(c.soon(), func() {
		c.reach = nil
		delete(c.state.lost, name)
		c.mend()
	})
}

func (c *mixedFaults) stateOutage() {
	c.state.setDown(true)
	c.after(c.soon(), func() { c.state.setDown(false) })
}

func (c *mixedFaults) refuseOne() {
	name := c.anyNode()
	c.state.refuse[name] = true
	c.after(c.soon(), func() { delete(c.state.refuse, name) })
}

func (c *mixedFaults) loseAnswers() { c.state.lose += 1 + c.rng.IntN(3) }

// lateTransaction keeps back a transaction, which is executed minutes later.
func (c *mixedFaults) lateTransaction() {
	s := c.state
	s.hold = holdOne(s)
	c.after(time.Duration(c.rng.IntN(60))*time.Second, func() {
		held := s.machinesByName
		s.machinesByName = nil
		for _, f := range held {
			f()
		}
	})
}

func (c *mixedFaults) deafen() {
	c.anyWorkers(func(x *worker) {
		x.dropAnswers = true
		c.after(c.soon(), func() { x.dropAnswers = false })
	})
}

func (c *mixedFaults) hang() {
	c.anyWorkers(func(x *worker) {
		x.hanging = true
		c.after(c.soon(), func() { x.hanging = false })
	})
}

func (c *mixedFaults) silence() {
	c.anyWorkers(func(x *worker) {
		x.silent = true
		c.after(c.soon(), func() { x.silent = false })
	})
}

// restarted brings machines back at once in a new session, with nothing on them.
func (c *mixedFaults) restarted() {
	c.anyWorkers(func(x *worker) {
		x.restarted()
	})
}

// lateWrites lets some transactions and lease calls go unanswered and be carried out late.
func (c *mixedFaults) lateWrites() {
	c.state.late = func() (time.Duration, bool) {
		return 2*time.Second + c.within(10*time.Second), c.rng.IntN(4) == 0
	}
	c.after(c.soon(), func() { c.state.late = nil })
}

// answersLost lets some be carried out at once, with only the answer lost.
func (c *mixedFaults) answersLost() {
	c.state.late = func() (time.Duration, bool) { return 0, c.rng.IntN(3) == 0 }
	c.after(c.soon(), func() { c.state.late = nil })
}

// slowState holds up each call to the state service.
func (c *mixedFaults) slowState() {
	c.state.slow = func() time.Duration { return c.within(c.lease() / 16) }
	c.after(c.soon(), func() { c.state.slow = nil })
}

// mute takes all controllers from some workers.
func (c *mixedFaults) mute() {
	mute := map[string]bool{}
	c.anyWorkers(func(x *worker) { mute[x.name] = true })
	c.reach = func(x *worker, _ string) bool { return !mute[x.name] }
	c.after(c.soon(), func() { c.reach = nil })
}

// cancelAndHang cancels jobs and lets machines hang at that moment.
func (c *mixedFaults) cancelAndHang() {
	c.cancelSome(3, 200*time.Millisecond)
	c.after(c.within(400*time.Millisecond), c.hang)
}

// cancelAtEnd cancels jobs when their last task is about to end.
func (c *mixedFaults) cancelAtEnd() {
	for _, x := range c.inOrder() {
		for _, t := range x.tasks {
			if id := jobOf(t.key); t.state == protocol.TaskRunning && c.rng.IntN(4) == 0 {
				c.after(max(0, t.end-c.now)+c.within(400*time.Millisecond), func() { c.cancelUntil(id) })
			}
		}
	}
}

// refuseWithPeers lets a node be refused by the state service and the other nodes at once.
func (c *mixedFaults) refuseWithPeers() {
	name := c.anyNode()
	c.state.refuse[name] = true
	c.cutOff(name)
	c.after(c.soon(), func() { delete(c.state.refuse, name); c.mend() })
}

// answersHeldUp holds up answers to workers, for some beyond the four seconds.
func (c *mixedFaults) answersHeldUp() {
	c.anyWorkers(func(x *worker) {
		x.lag = c.within(6 * time.Second)
		c.after(c.soon(), func() { x.lag = 0 })
	})
}

// refusedThenOut is the first combination: the leader refused alone, then an outage for all.
func (c *mixedFaults) refusedThenOut() {
	name := c.leader()
	if name == "" {
		return
	}
	c.state.refuse[name] = true
	c.after(c.soon(), func() { delete(c.state.refuse, name) })
	c.cancelSome(3, c.lease()/3)
	c.after(c.within(c.lease()/2), func() {
		c.state.setDown(true)
		c.after(c.cancelSpan()*5/4, func() { c.state.setDown(false) })
	})
}
