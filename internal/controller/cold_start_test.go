package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/recoverygate"
	"hitchdoor/internal/storage"
)

// coldStart is a cluster whose controllers all end at once and come back, with users, and with a
// watch over what the recovering leaders order.
type coldStart struct {
	*userSimulation
	away      time.Duration
	began     clock.Instant   // when the first controller was back
	starts    []clock.Instant // at workers, since then, while a leader was recovering
	rates     recovery.Rates
	seen      map[recovery.Mismatch]int // by all leaders
	leaderSet map[uint64]bool           // terms since the loss
}

// loseAll ends all controllers and brings each back after the time away and up to a spread.
func (c *coldStart) loseAll(spread time.Duration) {
	for _, name := range c.names {
		c.back(name, c.away+c.within(spread+step))
	}
	c.began = c.now + c.away
	c.rates = recoverygate.RecoverySettings(&c.nodes[c.names[0]].cfg.Cluster, &c.nodes[c.names[0]].settings).Rates(len(c.cloud.hosts), 4*float64(len(c.cloud.hosts)), 4)
	c.watchRentals()
	c.watchStarts()
}

// recovering is the leader whose recovery is not over.
func (c *coldStart) recovering() *leader {
	if name := c.leader(); name != "" && !c.nodes[name].leader.recovery.Completed() {
		return c.nodes[name].leader
	}
	return nil
}

// watchRentals fails the test if a leader that collects reports asks for machines, though those that
// are not accounted for have cores for all that may be running unseen, nothing else waits, and the
// usual load needs no more than what is held.
func (c *coldStart) watchRentals() {
	c.instead = func(call ServiceCall) (CallResult, bool) {
		if l := c.recovering(); call.Target == TargetCloud && call.Path == "/hosts" && l != nil && l.recovery.Phase() <= recovery.PhaseCollecting &&
			strings.Contains(string(call.Body), "r-"+formatUint(l.term)+"-") {
			totals := l.CurrentMachineTotals()
			unknown, waiting, surely := totals.UnknownUsage.Cores, 0.0, 0
			for _, j := range l.RunnableJobs {
				if l.MayRunUnreported(j, &totals) {
					waiting += float64(j.PendingTasks) * j.Spec.Cores
				} else {
					surely += j.PendingTasks
				}
			}
			if usual := l.autoscaler.Forecast.UsualLoad() * (1 + l.node.settings.Headroom); !l.recordsLoaded || waiting <= unknown && surely == 0 && usual <= totals.TotalCores {
				c.broken("rented too early", "in phase %v, %v cores wait, %v are unknown", l.recovery.Phase(), waiting, unknown)
			}
		}
		return CallResult{}, false
	}
}

// watchStarts notes the starts that workers receive while a leader recovers, and what such leaders
// find.
func (c *coldStart) watchStarts() {
	all := c.allStarts()
	var look func()
	look = func() {
		now := c.allStarts()
		if l := c.recovering(); l != nil && c.now > c.began {
			c.leaderSet[l.term] = true
			for range now - all {
				c.starts = append(c.starts, c.now)
			}
			counts := l.recovery.Counts()
			counts.ForEach(func(kind recovery.Mismatch, count int) { c.seen[kind] = max(c.seen[kind], count) })
		}
		all = now
		c.after(step, look)
	}
	look()
}

// checkStarts fails the test if more starts came within a second than the limit allows. Each
// leader may add one burst to what the rate brings.
func (c *coldStart) checkStarts() {
	c.t.Helper()
	rate := c.rates[recovery.StartTask]
	first := 0
	for i, at := range c.starts {
		for at-c.starts[first] >= time.Second {
			first++
		}
		if n := float64(i - first + 1); n > rate.PerWindow()*1.05+1 {
			c.t.Fatalf("%.0f starts within a second of %v, limit %.1f", n, at, rate.PerWindow())
		}
	}
	if len(c.starts) > 0 {
		span := (c.starts[len(c.starts)-1] - c.began).Seconds()
		if total := rate.PerSecond*span*1.05 + rate.Burst*float64(len(c.leaderSet)); float64(len(c.starts)) > total {
			c.t.Fatalf("%d starts in %.1f s of %d leaders, limit %.0f", len(c.starts), span, len(c.leaderSet), total)
		}
	}
}

// someWorker is a worker that runs tasks.
func (c *coldStart) someWorker(n int) *worker {
	busy := slices.DeleteFunc(slices.Clone(c.inOrder()), func(x *worker) bool { return len(x.tasks) == 0 })
	if len(busy) == 0 {
		return c.inOrder()[n%len(c.workers)]
	}
	return busy[n%len(busy)]
}

// inPhase does something once a leader is in a phase, or past it.
func (c *coldStart) inPhase(p recovery.Phase, f func()) {
	var look func()
	look = func() {
		if name := c.leader(); name != "" && c.now > c.began && c.nodes[name].leader.recovery.Phase() >= p {
			f()
			return
		}
		c.after(step, look)
	}
	look()
}

// coldStarts are the troubles that meet a total loss. Each is arranged at the moment of the loss.
var coldStarts = map[string]func(c *coldStart){
	"mismatches of every kind": func(c *coldStart) {
		c.after(c.away/2, func() {
			never := &simTask{key: "j-never-stored/0", attempt: 7, state: protocol.TaskRunning, end: c.now + time.Hour}
			c.someWorker(0).tasks = append(c.someWorker(0).tasks, never)
			c.specs["j-never-stored"] = spec("j-never-stored", 1)
			for _, t := range c.someWorker(1).tasks {
				t.end = c.now // finished, and nobody has heard of it
			}
			c.someWorker(2).silent = true
			for i := range 6 {
				key := fmt.Sprintf("j-never-stored/%d", i+1)
				c.someWorker(4).tasks = append(c.someWorker(4).tasks, &simTask{key: key, attempt: 7, state: protocol.TaskRunning, end: c.now + time.Hour})
			}
		})
		c.after(c.away+2*c.lease(), func() {
			for _, x := range c.workers {
				x.silent = false
			}
		})
	},
	"copies of reports from before the loss": func(c *coldStart) { c.holdBack() },
	"the state service is slow, then refuses one, then is out": func(c *coldStart) {
		c.state.slow = func() time.Duration { return c.within(c.lease() / 30) }
		c.inPhase(recovery.PhaseCollecting, func() {
			refused := c.leader()
			c.state.refuse[refused] = true
			c.after(c.within(c.lease()/2), func() {
				delete(c.state.refuse, refused)
				c.state.setDown(true)
				c.after(c.lease()/2+c.within(c.cancelSpan()), func() {
					c.state.setDown(false)
					c.state.slow = nil
				})
			})
		})
	},
	"the cloud is down, and forgets machines": func(c *coldStart) {
		c.cloud.down = true
		c.after(c.away+c.within(c.lease()), func() {
			c.cloud.down = false
			c.cloud.hides = true
			c.after(c.within(c.lease()/3), func() { c.cloud.hides = false })
		})
	},
	"machines are taken back meanwhile": func(c *coldStart) {
		for _, x := range c.inOrder() {
			if c.rng.IntN(3) == 0 {
				c.after(c.within(c.away+c.lease()/4), func() { c.cloud.take(x) })
			}
		}
	},
	"cancellations in each phase": func(c *coldStart) {
		for _, phase := range []recovery.Phase{recovery.PhaseReading, recovery.PhaseCollecting, recovery.PhaseReconciling, recovery.PhasePacing} {
			c.inPhase(phase, func() { c.cancelSome(3, c.lease()/20) })
		}
	},
	"workers away for the whole recovery": func(c *coldStart) {
		c.someWorkers(3, func(x *worker) {
			x.silent = true
			c.after(c.away+c.within(2*c.lease()), func() { x.silent = false })
		})
	},
	"teams at their limits, machines silent": func(c *coldStart) {
		// No more than the team can run in a minute and a half, once all is calm: with a longer queue
		// some job waits for so long beside room that its team leaves between two tasks.
		c.more(4, c.away+c.lease(), func(_ int, j *protocol.Job) { j.Team, j.TaskCount = "team", 16 })
		c.someWorkers(4, func(x *worker) {
			x.silent = true
			c.after(c.away+c.within(c.lease()), func() { x.silent = false })
		})
	},
	"leaders end in each phase": func(c *coldStart) {
		for _, phase := range []recovery.Phase{recovery.PhaseReading, recovery.PhaseCollecting, recovery.PhaseReconciling, recovery.PhasePacing, recovery.PhasePacing} {
			c.inPhase(phase, func() { c.back(c.leader(), c.within(time.Second)) })
		}
	},
	"one controller comes back alone": func(c *coldStart) {
		first := c.anyNode()
		for _, name := range c.names {
			if name != first {
				c.after(c.away, func() {
					c.crash(name)
					c.back(name, c.lease()/2+c.within(c.lease()))
				})
			}
		}
	},
	"a version before beside this one": func(c *coldStart) {
		old := c.names[0]
		c.crash(old)
		c.old[old] = true
	},
}

// All controllers end, in the middle of work, for half a lease, about one, and three; troubles meet
// the recovery. No rule is broken, no machine is rented before the phase allows it, starts stay
// within their limit whoever leads, and nothing that runs rightly is stopped.
func TestColdStart(t *testing.T) {
	for name, arrange := range coldStarts {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, 6, 120, func(t *testing.T, seed uint64) {
				nodes := []int{3, 7}[seed%2]
				away := []float64{0.5, 0.97, 3}[seed%3]
				users, _ := newFaultCombination(t, nodes, deployments[seed%uint64(len(deployments))], seed, 8, 4)
				c := &coldStart{userSimulation: users, seen: map[recovery.Mismatch]int{}, leaderSet: map[uint64]bool{}}
				c.what = name
				c.away = time.Duration(away * float64(c.lease()))
				c.more(10, 2*c.lease(), nil)
				c.run(c.within(5 * time.Second))
				c.loseAll(c.lease() / 8)
				arrange(c)
				c.run(c.away + 3*c.lease())
				c.checkStarts()
				c.checkStops(t)
				if name == "mismatches of every kind" {
					c.checkMismatches(t)
				}
				c.runTime = func(string, int) time.Duration { return 5 * time.Second }
				for _, x := range c.inOrder() {
					x.silent = false
					for _, task := range x.tasks {
						task.end = min(task.end, c.now+10*time.Second)
					}
				}
				c.settle(4 * time.Minute)
			})
		})
	}
}

// checkStops fails the test if a task was stopped that ran rightly.
func (c *coldStart) checkStops(t *testing.T) {
	t.Helper()
	for _, key := range c.stoppedTasks {
		if id := jobOf(key); c.submitted[id] && !c.mayBeCancelled(id) {
			t.Errorf("%s was stopped, though it ran rightly", key)
		}
	}
}

// checkMismatches fails the test if the leaders did not find what was arranged.
func (c *coldStart) checkMismatches(t *testing.T) {
	t.Helper()
	for _, kind := range []recovery.Mismatch{recovery.JobNeverStored, recovery.MachineUnresponsive} {
		if c.away < c.lease()*9/10 && c.seen[kind] == 0 {
			t.Errorf("nobody found %v: %v", kind, c.seen)
		}
	}
	if c.away < c.lease()*9/10 && (c.seen[recovery.MatchesRecord] == 0 || c.seen[recovery.CompletionNotStored] == 0) || c.away > c.lease() && c.seen[recovery.JobNotRunning] == 0 {
		t.Errorf("found only %v", c.seen)
	}
}

// Five leaders follow each other, each of which ends as soon as it has begun to start what was
// lost. Together they start no more in a second, nor in all, than the limit allows.
func TestFiveLeadersOfOneRecovery(t *testing.T) {
	for _, nodes := range []int{3, 7} {
		users, _ := newFaultCombination(t, nodes, deployments[0], uint64(nodes), 20, 8)
		c := &coldStart{userSimulation: users, seen: map[recovery.Mismatch]int{}, leaderSet: map[uint64]bool{}, away: 2 * users.lease()}
		c.loseAll(0)
		c.run(c.away)
		for range 5 {
			before := c.allStarts()
			if !c.until(c.lease()*2, func() bool { return c.leader() != "" && c.allStarts() > before }) {
				t.Fatalf("%d nodes: no start: %s", nodes, c.noLeader())
			}
			c.run(c.within(time.Second))
			if name := c.leader(); name != "" {
				c.back(name, c.within(time.Second))
			}
		}
		c.run(3 * c.lease())
		c.checkStarts()
		if len(c.leaderSet) < 5 {
			t.Errorf("%d leaders", len(c.leaderSet))
		}
		on := 0
		for i := range 20 {
			on += c.onMachines(fmt.Sprintf("j-%d", i))
		}
		if on != 160 {
			t.Errorf("%d of 160 tasks run", on)
		}
	}
}

// A job that may use none of the machines that stay away starts at once; one that may waits.
func TestPressingWorkDoesNotWaitForStragglers(t *testing.T) {
	w := newSimulation(t, 3)
	w.runTime = func(string, int) time.Duration { return time.Hour }
	l := w.waitLeader()
	w.machines(8)
	w.submitAndStart(l.name, spec("j-0", 16), 16)
	for _, x := range w.inOrder() {
		x.silent = x.zone == "b"
	}
	w.cloud.down = true // so that none of them is returned
	for _, name := range w.names {
		w.crash(name)
	}
	for i, zone := range []string{"a", "b", ""} {
		j := spec(fmt.Sprintf("j-%s%d", strings.Repeat("z", i+1), i), 2)
		j.Zone, j.Priority = zone, "urgent"
		w.specs[j.ID] = j
		w.state.put(storage.JobKey(j.ID), storage.JobRecord{Spec: j})
	}
	for _, name := range w.names {
		w.restart(name)
	}
	w.waitLeader()
	w.run(6 * time.Second)
	if a, b, any := w.onMachines("j-z0"), w.onMachines("j-zz1"), w.onMachines("j-zzz2"); a != 2 || b != 0 || any != 0 {
		t.Errorf("%d, %d and %d tasks run, not 2, 0 and 0", a, b, any)
	}
}
