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

// mixedFaults is one short run of mixed faults. Its seed makes it reproducible.
type mixedFaults struct {
	*userSimulation
	mayLowerLimits bool // the store may switch to the lower limits that the settings announce
}

// TestMixedFaults mixes random faults in many short runs: crashes, quick restarts and pauses of
// controllers; cuts that delay messages, isolated zones, and controllers isolated from peers and
// store; store outages, lost responses and late transactions; machines that hang, restart at once,
// get no responses or are unreachable; cancellations combined with hangs or completions; late
// copies of heartbeats, also for the next leader; rolling upgrades from the previous version; and a
// store that lowers its limits. Jobs have dependencies. The invariant checker checks at each step that
// at most one node leads, no task runs twice and no team exceeds its quota. It also checks the replies
// to users, and every accepted job is done or cancelled in the end.
func TestMixedFaults(t *testing.T) {
	forEachSeed(t, 96, 6000, runMixedFaults)
}

func runMixedFaults(t *testing.T, seed uint64) {
	c := &mixedFaults{userSimulation: newUserSimulation(newSimulationWithTimings(t, 3+4*int(seed%3/2),
		deployments[seed/6%uint64(len(deployments))]), seed)}
	if seed%5 == 2 {
		// One team is guaranteed 8 cores. Tasks of other teams are preempted to provide them.
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
		// A rolling upgrade: all nodes start with the old version and are upgraded at random times. A node
		// that crashes before its upgrade restarts with the old version.
		for i, name := range c.names {
			c.oldVersionNodes[name] = true
			c.startNode(name)
			c.schedule(time.Duration(20+i*c.rng.IntN(12))*time.Second, func() { c.upgradeNode(name) })
		}
	}
	c.holdMessages = seed%2 == 0
	c.taskDuration = func(task string, _ int) time.Duration { return time.Duration(2+len(task)%9) * time.Second }
	if seed%5 == 2 {
		c.taskDuration = func(_ string, n int) time.Duration { return max(5, time.Duration(45/n)) * time.Second }
	}
	c.driftClocks()
	if seed%2 == 1 {
		c.queryAfterEachChange()
	}
	if seed%5 == 0 {
		c.replayHeartbeats()
	}
	previousHook := c.onHeartbeat
	c.onHeartbeat = func(worker *fakeWorker, heartbeat *protocol.WorkerHeartbeat) {
		if previousHook != nil {
			previousHook(worker, heartbeat)
		}
		if c.rng.IntN(4) == 0 {
			copied := *heartbeat
			copied.Tasks = append([]protocol.TaskStatus(nil), heartbeat.Tasks...)
			delay := time.Duration(c.rng.ExpFloat64() * float64(config.Seconds(c.cfg.Workers.LeaseS)))
			c.schedule(delay, func() {
				c.sendRequest(c.randomNode(), Request{Kind: protocol.RequestHeartbeat,
					Heartbeat: &copied}, func(Reply) {})
			})
		}
	}
	c.waitForLeader()
	c.startMachines(3)
	faults := []func(){c.crashControllers, c.cutRandomLinks, c.cutControllerFromPeersAndStore, c.stopStore,
		c.refuseController, c.loseStoreResponses, c.delayTransaction,
		c.dropWorkerResponses, c.hangMachines, c.makeMachinesUnreachable, c.restartMachines,
		c.restartControllersQuickly, c.isolateAllControllers, c.pauseControllers, c.cutZone,
		c.executeWritesLate, c.dropWriteResponses, c.cutWorkersFromControllers, c.cancelJobsAndHangMachines,
		c.cancelJobsAtCompletion, c.refuseAndIsolateController, c.delayStoreCalls, c.delayWorkerResponses,
		c.refuseLeaderThenStopStore, c.failJobs}
	for i := range 14 {
		c.submitUserWork(i)
		for range 1 + c.rng.IntN(2) {
			faults[c.rng.IntN(len(faults))]()
		}
		c.queryAllJobs()
		c.advance(time.Duration(c.rng.IntN(8000)) * time.Millisecond)
	}
	c.advance(c.cancelLimit()*5/4 + c.machineLease()) // lets every fault end by itself
	c.waitForCompletion(5 * time.Minute)
}

// submitUserWork submits a job. It may also cancel an earlier job, or let the store begin to enforce the
// lower limits that the settings announce.
func (c *mixedFaults) submitUserWork(i int) {
	job := jobSpec(fmt.Sprintf("j-%d", i), 1+c.rng.IntN(9))
	if c.rng.IntN(2) == 0 {
		job.Team = "team"
	}
	if c.rng.IntN(2) == 0 {
		job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = 10, 1
	}
	for range c.rng.IntN(4) {
		if id := fmt.Sprintf("j-%d", c.rng.IntN(i+1)); c.acceptanceReported(id) && len(c.oldVersionNodes) == 0 {
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
		if c.acceptanceReported(id) {
			c.cancelWithRetries(id)
		}
	}
}

// forRandomWorkers calls f for each worker with a probability of one third.
func (c *mixedFaults) forRandomWorkers(f func(*fakeWorker)) {
	for i := range c.cloud.lastMachineNumber {
		if worker := c.workers[fmt.Sprintf("m-%06d", i+1)]; worker != nil && c.rng.IntN(3) == 0 {
			f(worker)
		}
	}
}

// randomDelay returns a random duration of 0.2 s to 25.2 s, after which a fault ends.
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

// isolateAllControllers cuts all links between controllers.
func (c *mixedFaults) isolateAllControllers() {
	c.isolateAllNodes()
	c.schedule(c.randomDelay(), c.healCuts)
}

// cutControllerFromPeersAndStore isolates a controller from the store and the other controllers,
// but not from its workers.
func (c *mixedFaults) cutControllerFromPeersAndStore() {
	name := c.leaderName()
	if name == "" || c.rng.IntN(3) == 0 {
		name = c.randomNode()
	}
	c.store.requestsDropped[name] = true
	c.isolateNode(name)
	c.schedule(c.randomDelay(), func() { delete(c.store.requestsDropped, name); c.healCuts() })
}

// pauseControllers pauses controllers for a moment or for longer than every lease, some of them
// between a step and its effects.
func (c *mixedFaults) pauseControllers() {
	for range 1 + c.rng.IntN(2) {
		name := c.randomNode()
		if leader := c.leaderName(); leader != "" && c.rng.IntN(2) == 0 {
			name = leader
		}
		c.pauseController(name, time.Duration(c.rng.ExpFloat64()*float64(c.machineLease())/3))
	}
}

// failJobs makes some jobs fail on every machine until their users cancel them.
func (c *mixedFaults) failJobs() {
	for _, id := range slices.Sorted(maps.Keys(c.acceptedAt)) {
		if c.terminalStates[id] == "" && !c.failingJobs[id] && c.rng.IntN(4) == 0 {
			c.failingJobs[id] = true
			c.schedule(c.randomDelay(), func() { c.cancelWithRetries(id) })
		}
	}
}

// cutZone isolates one node together with the workers of zone a from everything else.
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

// delayTransaction holds back a transaction, which is executed up to a minute later.
func (c *mixedFaults) delayTransaction() {
	store := c.store
	store.holdTransaction = holdNextTransaction(store)
	c.schedule(time.Duration(c.rng.IntN(60))*time.Second, func() {
		held := store.heldTransactions
		store.heldTransactions = nil
		for _, execute := range held {
			execute()
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

// restartMachines restarts machines at once, with a new epoch and without tasks.
func (c *mixedFaults) restartMachines() {
	c.forRandomWorkers(func(worker *fakeWorker) {
		worker.restartMachine()
	})
}

// executeWritesLate executes some transactions and lease calls late, without a response.
func (c *mixedFaults) executeWritesLate() {
	c.store.lateExecution = func() (time.Duration, bool) {
		return 2*time.Second + c.randomDuration(10*time.Second), c.rng.IntN(4) == 0
	}
	c.schedule(c.randomDelay(), func() { c.store.lateExecution = nil })
}

// dropWriteResponses executes some writes at once, but drops their responses.
func (c *mixedFaults) dropWriteResponses() {
	c.store.lateExecution = func() (time.Duration, bool) { return 0, c.rng.IntN(3) == 0 }
	c.schedule(c.randomDelay(), func() { c.store.lateExecution = nil })
}

// delayStoreCalls delays each call to the key-value store.
func (c *mixedFaults) delayStoreCalls() {
	c.store.requestDelay = func() time.Duration { return c.randomDuration(c.machineLease() / 16) }
	c.schedule(c.randomDelay(), func() { c.store.requestDelay = nil })
}

// cutWorkersFromControllers isolates some workers from all controllers.
func (c *mixedFaults) cutWorkersFromControllers() {
	isolated := map[string]bool{}
	c.forRandomWorkers(func(worker *fakeWorker) { isolated[worker.name] = true })
	c.workerReaches = func(worker *fakeWorker, _ string) bool { return !isolated[worker.name] }
	c.schedule(c.randomDelay(), func() { c.workerReaches = nil })
}

// cancelJobsAndHangMachines cancels jobs and hangs machines at about the same moment.
func (c *mixedFaults) cancelJobsAndHangMachines() {
	c.cancelSomeJobs(3, 200*time.Millisecond)
	c.schedule(c.randomDuration(400*time.Millisecond), c.hangMachines)
}

// cancelJobsAtCompletion cancels jobs at about the moment when a task completes.
func (c *mixedFaults) cancelJobsAtCompletion() {
	for _, worker := range c.sortedWorkers() {
		for _, task := range worker.tasks {
			if id := jobIDOf(task.taskKey); task.state == protocol.TaskRunning && c.rng.IntN(4) == 0 {
				c.schedule(max(0, task.endsAt-c.now)+c.randomDuration(400*time.Millisecond),
					func() { c.cancelWithRetries(id) })
			}
		}
	}
}

// refuseAndIsolateController lets the store refuse a controller that is also isolated from the others.
func (c *mixedFaults) refuseAndIsolateController() {
	name := c.randomNode()
	c.store.refusedNodes[name] = true
	c.isolateNode(name)
	c.schedule(c.randomDelay(), func() { delete(c.store.refusedNodes, name); c.healCuts() })
}

// delayWorkerResponses delays responses to workers, some beyond the workers' timeout of four
// seconds.
func (c *mixedFaults) delayWorkerResponses() {
	c.forRandomWorkers(func(worker *fakeWorker) {
		worker.responseDelay = c.randomDuration(6 * time.Second)
		c.schedule(c.randomDelay(), func() { worker.responseDelay = 0 })
	})
}

// refuseLeaderThenStopStore lets the store refuse the leader alone and then have an outage for all
// nodes, while jobs are cancelled. TestCancelledBetweenRefusalAndOutage covers this combination in detail.
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
