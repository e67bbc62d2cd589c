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
	mayLowerLimits bool // the state service may lower its limits
}

// TestMixedFaults mixes, in many short runs, crashes and quick returns of
// controllers, controllers that stand still, cuts that hold messages, cut zones, half-cut
// controllers, state outages, lost answers, late transactions, deaf, hanging and silent machines, machines that are
// back at once, mute ones, hangs at a cancellation, cancellations at an end, late copies of reports, also for the next leader, rolling upgrades from the version before, and a
// state service that lowers its limits; jobs need others. The simulation checks at each moment that
// one node leads, no task runs twice and no team is over its limit; the invariant checker
// also hears what users are told, and every accepted job runs in the end.
func TestMixedFaults(t *testing.T) {
	forEachSeed(t, 96, 6000, runMixedFaults)
}

func runMixedFaults(t *testing.T, seed uint64) {
	c := &mixedFaults{userSimulation: newUserSimulation(newSimulationWithTimings(t, 3+4*int(seed%3/2), deployments[seed/6%uint64(len(deployments))]), seed)}
	if seed%5 == 2 {
		// One team has a guarantee, for which others give room back.
		c.cfg.Teams[0].GuaranteedCPUs = 8
		c.cfg.Objectives = []config.Objective{{Kind: "guarantee", WithinS: 10, MinShare: 0.9}}
		c.cloud.capacity = 6
		for _, name := range c.names {
			c.startNode(name)
		}
	}
	if seed%4 >= 2 {
		c.mayLowerLimits = true
		c.announceUpcomingLimits(1, 4, 30)
	}
	if seed%3 > 0 {
		// In mid-upgrade: a node that dies before its turn comes back old.
		for i, name := range c.names {
			c.oldVersionNodes[name] = true
			c.startNode(name)
			c.schedule(time.Duration(20+i*c.rng.IntN(12))*time.Second, func() { c.upgradeNode(name) })
		}
	}
	c.holdMessages = seed%2 == 0
	c.taskDuration = func(task string, _ int) time.Duration { return time.Duration(2+len(task)%9) * time.Second }
	if seed%5 == 2 {
		c.taskDuration = func(task string, n int) time.Duration { return max(5, time.Duration(45/n)) * time.Second }
	}
	c.driftClocks()
	if seed%2 == 1 {
		c.queryAfterEachChange()
	}
	if seed%5 == 0 {
		c.replayHeartbeats()
	}
	kept := c.onHeartbeat
	c.onHeartbeat = func(worker *fakeWorker, rep *protocol.WorkerHeartbeat) {
		if kept != nil {
			kept(worker, rep)
		}
		if c.rng.IntN(4) == 0 {
			copied := *rep
			copied.Tasks = append([]protocol.TaskStatus(nil), rep.Tasks...)
			late := time.Duration(c.rng.ExpFloat64() * float64(config.Seconds(c.cfg.Workers.LeaseS)))
			c.schedule(late, func() {
				c.sendRequest(c.randomNode(), Request{Kind: protocol.RequestHeartbeat, Heartbeat: &copied}, func(Reply) {})
			})
		}
	}
	c.waitForLeader()
	c.startMachines(3)
	faults := []func(){c.crashControllers, c.cutRandomLinks, c.cutControllerFromPeersAndStore, c.stopStore, c.refuseController, c.loseStoreResponses, c.delayTransaction,
		c.dropWorkerResponses, c.hangMachines, c.makeMachinesUnreachable, c.restartMachines, c.restartControllersQuickly, c.isolateAllControllers, c.pauseControllers, c.cutZone, c.executeWritesLate, c.dropWriteResponses, c.cutWorkersFromControllers, c.cancelJobsAndHangMachines, c.cancelJobsAtCompletion,
		c.refuseAndIsolateController, c.delayStoreCalls, c.delayWorkerResponses, c.refuseLeaderThenStopStore, c.failJobs}
	for i := range 14 {
		c.submitUserWork(i)
		for range 1 + c.rng.IntN(2) {
			faults[c.rng.IntN(len(faults))]()
		}
		c.queryAllJobs()
		c.advance(time.Duration(c.rng.IntN(8000)) * time.Millisecond)
	}
	c.advance(c.cancelLimit()*5/4 + c.machineLease()) // all troubles end by themselves
	c.waitForCompletion(5 * time.Minute)
}

// userWork submits a job, and at times cancels one.
func (c *mixedFaults) submitUserWork(i int) {
	job := jobSpec(fmt.Sprintf("j-%d", i), 1+c.rng.IntN(9))
	if c.rng.IntN(2) == 0 {
		job.Team = "team"
	}
	if c.rng.IntN(2) == 0 {
		job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = 10, 1
	}
	for range c.rng.IntN(4) {
		if id := fmt.Sprintf("j-%d", c.rng.IntN(i+1)); c.knowsAccepted(id) && len(c.oldVersionNodes) == 0 {
			job.Dependencies = append(job.Dependencies, id)
		}
	}
	if c.mayLowerLimits && c.rng.IntN(4) == 0 && len(c.oldVersionNodes) == 0 {
		c.store.enforceUpcomingLimits = true
	}
	c.jobSpecs[job.ID] = job
	c.submitWithRetries(job)
	if i > 2 && c.rng.IntN(3) == 0 {
		id := fmt.Sprintf("j-%d", i-2)
		if c.knowsAccepted(id) {
			c.cancelWithRetries(id)
		}
	}
}

func (c *mixedFaults) forRandomWorkers(f func(*fakeWorker)) {
	for i := range c.cloud.lastMachineNumber {
		if worker := c.workers[fmt.Sprintf("m-%06d", i+1)]; worker != nil && c.rng.IntN(3) == 0 {
			f(worker)
		}
	}
}

func (c *mixedFaults) randomDelay() time.Duration {
	return time.Duration(200+c.rng.IntN(25_000)) * time.Millisecond
}

func (c *mixedFaults) crashControllers() {
	for range 1 + c.rng.IntN(3) {
		c.restartAfter(c.randomNode(), 3*time.Second)
	}
}

func (c *mixedFaults) restartControllersQuickly() {
	for i := range 3 {
		c.schedule(time.Duration(i*c.rng.IntN(900))*time.Millisecond, func() {
			c.restartAfter(c.randomNode(), time.Duration(20+c.rng.IntN(400))*time.Millisecond)
		})
	}
}

func (c *mixedFaults) cutRandomLinks() {
	for range 1 + c.rng.IntN(2) {
		c.linkCuts[[2]string{c.randomNode(), c.randomNode()}] = true
	}
	c.schedule(c.randomDelay(), c.healCuts)
}

// peersRefuse cuts all controllers from each other.
func (c *mixedFaults) isolateAllControllers() {
	c.isolateAllNodes()
	c.schedule(c.randomDelay(), c.healCuts)
}

// halfCut takes the state service and the other controllers from one, not its workers.
func (c *mixedFaults) cutControllerFromPeersAndStore() {
	name := c.leaderName()
	if name == "" || c.rng.IntN(3) == 0 {
		name = c.randomNode()
	}
	c.store.requestsDropped[name] = true
	c.isolateNode(name)
	c.schedule(c.randomDelay(), func() { delete(c.store.requestsDropped, name); c.healCuts() })
}

// standStill stops controllers for a moment or for longer than every lease, some of
// them between a decision and what comes of it.
func (c *mixedFaults) pauseControllers() {
	for range 1 + c.rng.IntN(2) {
		name := c.randomNode()
		if l := c.leaderName(); l != "" && c.rng.IntN(2) == 0 {
			name = l
		}
		c.pauseController(name, time.Duration(c.rng.ExpFloat64()*float64(c.machineLease())/3))
	}
}

// mistakes lets some jobs fail on every machine until their users cancel them.
func (c *mixedFaults) failJobs() {
	for _, id := range slices.Sorted(maps.Keys(c.acceptedAt)) {
		if c.terminalStates[id] == "" && !c.failingJobs[id] && c.rng.IntN(4) == 0 {
			c.failingJobs[id] = true
			c.schedule(c.randomDelay(), func() { c.cancelWithRetries(id) })
		}
	}
}

// cutZone cuts one node and the workers of a zone from everything else.
func (c *mixedFaults) cutZone() {
	name := c.randomNode()
	c.workerReaches = func(worker *fakeWorker, node string) bool { return (worker.zone == "a") == (node == name) }
	c.store.requestsDropped[name] = true
	c.isolateNode(name)
	c.schedule(c.randomDelay(), func() {
		c.workerReaches = nil
		delete(c.store.requestsDropped, name)
		c.healCuts()
	})
}

func (c *mixedFaults) stopStore() {
	c.store.setDown(true)
	c.schedule(c.randomDelay(), func() { c.store.setDown(false) })
}

func (c *mixedFaults) refuseController() {
	name := c.randomNode()
	c.store.refusedNodes[name] = true
	c.schedule(c.randomDelay(), func() { delete(c.store.refusedNodes, name) })
}

func (c *mixedFaults) loseStoreResponses() { c.store.responsesToLose += 1 + c.rng.IntN(3) }

// lateTransaction keeps back a transaction, which is executed minutes later.
func (c *mixedFaults) delayTransaction() {
	store := c.store
	store.holdTransaction = holdNextTransaction(store)
	c.schedule(time.Duration(c.rng.IntN(60))*time.Second, func() {
		held := store.heldTransactions
		store.heldTransactions = nil
		for _, f := range held {
			f()
		}
	})
}

func (c *mixedFaults) dropWorkerResponses() {
	c.forRandomWorkers(func(worker *fakeWorker) {
		worker.dropResponses = true
		c.schedule(c.randomDelay(), func() { worker.dropResponses = false })
	})
}

func (c *mixedFaults) hangMachines() {
	c.forRandomWorkers(func(worker *fakeWorker) {
		worker.hung = true
		c.schedule(c.randomDelay(), func() { worker.hung = false })
	})
}

func (c *mixedFaults) makeMachinesUnreachable() {
	c.forRandomWorkers(func(worker *fakeWorker) {
		worker.unreachable = true
		c.schedule(c.randomDelay(), func() { worker.unreachable = false })
	})
}

// restarted brings machines back at once in a new session, with nothing on them.
func (c *mixedFaults) restartMachines() {
	c.forRandomWorkers(func(worker *fakeWorker) {
		worker.restartMachine()
	})
}

// lateWrites lets some transactions and lease calls go unanswered and be carried out late.
func (c *mixedFaults) executeWritesLate() {
	c.store.lateExecution = func() (time.Duration, bool) {
		return 2*time.Second + c.randomDuration(10*time.Second), c.rng.IntN(4) == 0
	}
	c.schedule(c.randomDelay(), func() { c.store.lateExecution = nil })
}

// answersLost lets some be carried out at once, with only the answer lost.
func (c *mixedFaults) dropWriteResponses() {
	c.store.lateExecution = func() (time.Duration, bool) { return 0, c.rng.IntN(3) == 0 }
	c.schedule(c.randomDelay(), func() { c.store.lateExecution = nil })
}

// slowState holds up each call to the state service.
func (c *mixedFaults) delayStoreCalls() {
	c.store.requestDelay = func() time.Duration { return c.randomDuration(c.machineLease() / 16) }
	c.schedule(c.randomDelay(), func() { c.store.requestDelay = nil })
}

// mute takes all controllers from some workers.
func (c *mixedFaults) cutWorkersFromControllers() {
	isolated := map[string]bool{}
	c.forRandomWorkers(func(worker *fakeWorker) { isolated[worker.name] = true })
	c.workerReaches = func(worker *fakeWorker, _ string) bool { return !isolated[worker.name] }
	c.schedule(c.randomDelay(), func() { c.workerReaches = nil })
}

// cancelAndHang cancels jobs and lets machines hang at that moment.
func (c *mixedFaults) cancelJobsAndHangMachines() {
	c.cancelSomeJobs(3, 200*time.Millisecond)
	c.schedule(c.randomDuration(400*time.Millisecond), c.hangMachines)
}

// cancelAtEnd cancels jobs when their last task is about to end.
func (c *mixedFaults) cancelJobsAtCompletion() {
	for _, worker := range c.sortedWorkers() {
		for _, task := range worker.tasks {
			if id := jobIDOf(task.taskKey); task.state == protocol.TaskRunning && c.rng.IntN(4) == 0 {
				c.schedule(max(0, task.endsAt-c.now)+c.randomDuration(400*time.Millisecond), func() { c.cancelWithRetries(id) })
			}
		}
	}
}

// refuseWithPeers lets a node be refused by the state service and the other nodes at once.
func (c *mixedFaults) refuseAndIsolateController() {
	name := c.randomNode()
	c.store.refusedNodes[name] = true
	c.isolateNode(name)
	c.schedule(c.randomDelay(), func() { delete(c.store.refusedNodes, name); c.healCuts() })
}

// answersHeldUp holds up answers to workers, for some beyond the four seconds.
func (c *mixedFaults) delayWorkerResponses() {
	c.forRandomWorkers(func(worker *fakeWorker) {
		worker.responseDelay = c.randomDuration(6 * time.Second)
		c.schedule(c.randomDelay(), func() { worker.responseDelay = 0 })
	})
}

// refusedThenOut is the first combination: the leader refused alone, then an outage for all.
func (c *mixedFaults) refuseLeaderThenStopStore() {
	name := c.leaderName()
	if name == "" {
		return
	}
	c.store.refusedNodes[name] = true
	c.schedule(c.randomDelay(), func() { delete(c.store.refusedNodes, name) })
	c.cancelSomeJobs(3, c.machineLease()/3)
	c.schedule(c.randomDuration(c.machineLease()/2), func() {
		c.store.setDown(true)
		c.schedule(c.cancelLimit()*5/4, func() { c.store.setDown(false) })
	})
}
