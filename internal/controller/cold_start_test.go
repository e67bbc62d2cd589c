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

// coldStart is a cluster with users whose controllers all crash at once and restart. It records
// what the recovering leaders start and rent.
type coldStart struct {
	*userSimulation
	downtime       time.Duration
	restartedAt    clock.Instant   // when the first controller restarted
	startTimes     []clock.Instant // of tasks started by a recovering leader
	rateLimits     recovery.Rates
	mismatchCounts map[recovery.Mismatch]int // maxima over all leaders
	leaderTerms    map[uint64]bool           // terms since the crash
}

// restartAllControllers crashes all controllers and restarts each after the downtime and a random
// part of the spread.
func (c *coldStart) restartAllControllers(spread time.Duration) {
	for _, name := range c.names {
		c.restartAfter(name, c.downtime+c.randomDuration(spread+step))
	}
	c.restartedAt = c.now + c.downtime
	c.rateLimits = recoverygate.RecoverySettings(&c.nodes[c.names[0]].cfg.Cluster,
		&c.nodes[c.names[0]].settings).Rates(len(c.cloud.hosts), 4*float64(len(c.cloud.hosts)), 4)
	c.watchRentals()
	c.watchStarts()
}

// recoveringLeader returns the leader if its recovery is not completed, and nil otherwise.
func (c *coldStart) recoveringLeader() *leader {
	if name := c.leaderName(); name != "" && !c.nodes[name].leader.recovery.Completed() {
		return c.nodes[name].leader
	}
	return nil
}

// watchRentals fails the test if a leader in the collecting phase rents machines although the
// unreconciled machines have cores for all tasks that may run unreported, no other task is pending,
// and the usual load fits the machines that there are.
func (c *coldStart) watchRentals() {
	c.interceptCall = func(call ServiceCall) (CallResult, bool) {
		if l := c.recoveringLeader(); call.Target == TargetCloud && call.Path == "/hosts" && l != nil &&
			l.recovery.Phase() <= recovery.PhaseCollecting &&
			strings.Contains(string(call.Body), "r-"+formatUint(l.term)+"-") {
			totals := l.CurrentMachineTotals()
			unknown, waiting, surely := totals.UnknownUsage.Cores, 0.0, 0
			for _, job := range l.RunnableJobs {
				if l.MayRunUnreported(job, &totals) {
					waiting += float64(job.PendingTasks) * job.Spec.Cores
				} else {
					surely += job.PendingTasks
				}
			}
			if usual := l.autoscaler.Forecast.UsualLoad() * (1 + l.node.settings.Headroom); !l.recordsLoaded || waiting <= unknown && surely == 0 && usual <= totals.TotalCores {
				c.reportViolation("rented too early", "in phase %v, %v cores wait, %v are unknown",
					l.recovery.Phase(), waiting, unknown)
			}
		}
		return CallResult{}, false
	}
}

// watchStarts records the starts that workers receive while a leader recovers, and the mismatches
// that such leaders count.
func (c *coldStart) watchStarts() {
	all := c.totalStarts()
	var poll func()
	poll = func() {
		now := c.totalStarts()
		if l := c.recoveringLeader(); l != nil && c.now > c.restartedAt {
			c.leaderTerms[l.term] = true
			for range now - all {
				c.startTimes = append(c.startTimes, c.now)
			}
			counts := l.recovery.Counts()
			counts.ForEach(func(kind recovery.Mismatch, count int) { c.mismatchCounts[kind] = max(c.mismatchCounts[kind], count) })
		}
		all = now
		c.schedule(step, poll)
	}
	poll()
}

// checkStarts fails the test if the starts within any second, or in all, exceed the rate limit.
// Each leader may add one burst to the sustained rate.
func (c *coldStart) checkStarts() {
	c.t.Helper()
	rate := c.rateLimits[recovery.StartTask]
	first := 0
	for i, at := range c.startTimes {
		for at-c.startTimes[first] >= time.Second {
			first++
		}
		if n := float64(i - first + 1); n > rate.PerWindow()*1.05+1 {
			c.t.Fatalf("%.0f starts within a second of %v, limit %.1f", n, at, rate.PerWindow())
		}
	}
	if len(c.startTimes) > 0 {
		span := (c.startTimes[len(c.startTimes)-1] - c.restartedAt).Seconds()
		if total := rate.PerSecond*span*1.05 + rate.Burst*float64(len(c.leaderTerms)); float64(len(c.startTimes)) > total {
			c.t.Fatalf("%d starts in %.1f s of %d leaders, limit %.0f", len(c.startTimes), span,
				len(c.leaderTerms), total)
		}
	}
}

// busyWorker returns the n-th worker that runs tasks, or any worker if none does.
func (c *coldStart) busyWorker(n int) *fakeWorker {
	busy := slices.DeleteFunc(slices.Clone(c.sortedWorkers()),
		func(worker *fakeWorker) bool { return len(worker.tasks) == 0 })
	if len(busy) == 0 {
		return c.sortedWorkers()[n%len(c.workers)]
	}
	return busy[n%len(busy)]
}

// onRecoveryPhase calls f once a leader has reached the phase p.
func (c *coldStart) onRecoveryPhase(p recovery.Phase, f func()) {
	var poll func()
	poll = func() {
		if name := c.leaderName(); name != "" && c.now > c.restartedAt && c.nodes[name].leader.recovery.Phase() >= p {
			f()
			return
		}
		c.schedule(step, poll)
	}
	poll()
}

// coldStartFaults are the faults combined with a crash of all controllers. Each is set up at the moment
// of the crash.
var coldStartFaults = map[string]func(c *coldStart){
	"mismatches of every kind": func(c *coldStart) {
		c.schedule(c.downtime/2, func() {
			never := &fakeTask{taskKey: "j-never-stored/0", attempt: 7, state: protocol.TaskRunning,
				endsAt: c.now + time.Hour}
			c.busyWorker(0).tasks = append(c.busyWorker(0).tasks, never)
			c.jobSpecs["j-never-stored"] = jobSpec("j-never-stored", 1)
			for _, t := range c.busyWorker(1).tasks {
				t.endsAt = c.now // finished, but not yet reported
			}
			c.busyWorker(2).unreachable = true
			for i := range 6 {
				key := fmt.Sprintf("j-never-stored/%d", i+1)
				c.busyWorker(4).tasks = append(c.busyWorker(4).tasks,
					&fakeTask{taskKey: key, attempt: 7, state: protocol.TaskRunning, endsAt: c.now + time.Hour})
			}
		})
		c.schedule(c.downtime+2*c.machineLease(), func() {
			for _, worker := range c.workers {
				worker.unreachable = false
			}
		})
	},
	"copies of reports from before the loss": func(c *coldStart) { c.replayHeartbeats() },
	"the state service is slow, then refuses one, then is out": func(c *coldStart) {
		c.store.requestDelay = func() time.Duration { return c.randomDuration(c.machineLease() / 30) }
		c.onRecoveryPhase(recovery.PhaseCollecting, func() {
			refused := c.leaderName()
			c.store.refusedNodes[refused] = true
			c.schedule(c.randomDuration(c.machineLease()/2), func() {
				delete(c.store.refusedNodes, refused)
				c.store.setDown(true)
				c.schedule(c.machineLease()/2+c.randomDuration(c.cancelLimit()), func() {
					c.store.setDown(false)
					c.store.requestDelay = nil
				})
			})
		})
	},
	"the cloud is down, and forgets machines": func(c *coldStart) {
		c.cloud.unavailable = true
		c.schedule(c.downtime+c.randomDuration(c.machineLease()), func() {
			c.cloud.unavailable = false
			c.cloud.listsEmpty = true
			c.schedule(c.randomDuration(c.machineLease()/3), func() { c.cloud.listsEmpty = false })
		})
	},
	"machines are taken back meanwhile": func(c *coldStart) {
		for _, worker := range c.sortedWorkers() {
			if c.rng.IntN(3) == 0 {
				c.schedule(c.randomDuration(c.downtime+c.machineLease()/4), func() { c.cloud.removeMachine(worker) })
			}
		}
	},
	"cancellations in each phase": func(c *coldStart) {
		for _, phase := range []recovery.Phase{recovery.PhaseReading, recovery.PhaseCollecting,
			recovery.PhaseReconciling, recovery.PhasePacing} {
			c.onRecoveryPhase(phase, func() { c.cancelSomeJobs(3, c.machineLease()/20) })
		}
	},
	"workers away for the whole recovery": func(c *coldStart) {
		c.forSomeWorkers(3, func(worker *fakeWorker) {
			worker.unreachable = true
			c.schedule(c.downtime+c.randomDuration(2*c.machineLease()), func() { worker.unreachable = false })
		})
	},
	"teams at their limits, machines silent": func(c *coldStart) {
		// At most as much as the team can run in a minute and a half after the faults. With a
		// longer queue some job would be pending for that long beside free capacity, which its team
		// leaves for a moment between two tasks.
		c.submitMoreJobs(4, c.downtime+c.machineLease(),
			func(_ int, j *protocol.Job) { j.Team, j.TaskCount = "team", 16 })
		c.forSomeWorkers(4, func(worker *fakeWorker) {
			worker.unreachable = true
			c.schedule(c.downtime+c.randomDuration(c.machineLease()), func() { worker.unreachable = false })
		})
	},
	"leaders end in each phase": func(c *coldStart) {
		for _, phase := range []recovery.Phase{recovery.PhaseReading, recovery.PhaseCollecting,
			recovery.PhaseReconciling, recovery.PhasePacing, recovery.PhasePacing} {
			c.onRecoveryPhase(phase, func() { c.restartAfter(c.leaderName(), c.randomDuration(time.Second)) })
		}
	},
	"one controller comes back alone": func(c *coldStart) {
		first := c.randomNode()
		for _, name := range c.names {
			if name != first {
				c.schedule(c.downtime, func() {
					c.crashNode(name)
					c.restartAfter(name, c.machineLease()/2+c.randomDuration(c.machineLease()))
				})
			}
		}
	},
	"a version before beside this one": func(c *coldStart) {
		old := c.names[0]
		c.crashNode(old)
		c.oldVersionNodes[old] = true
	},
}

// All controllers crash in the middle of work, for half a worker lease, about one, and three, and
// other faults hit the recovery. No invariant is violated, no machine is rented before the phase
// allows it, starts stay within their rate limit across leaders, and no task that runs legitimately
// is stopped.
func TestColdStart(t *testing.T) {
	for name, arrange := range coldStartFaults {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 6, 120, func(t *testing.T, seed uint64) {
				nodes := []int{3, 7}[seed%2]
				away := []float64{0.5, 0.97, 3}[seed%3]
				users, _ := newFaultCombination(t, nodes, deployments[seed%uint64(len(deployments))], seed, 8, 4)
				c := &coldStart{userSimulation: users, mismatchCounts: map[recovery.Mismatch]int{},
					leaderTerms: map[uint64]bool{}}
				c.scenario = name
				c.downtime = time.Duration(away * float64(c.machineLease()))
				c.submitMoreJobs(10, 2*c.machineLease(), nil)
				c.advance(c.randomDuration(5 * time.Second))
				c.restartAllControllers(c.machineLease() / 8)
				arrange(c)
				c.advance(c.downtime + 3*c.machineLease())
				c.checkStarts()
				c.checkStops(t)
				if name == "mismatches of every kind" {
					c.checkMismatches(t)
				}
				c.taskDuration = func(string, int) time.Duration { return 5 * time.Second }
				for _, worker := range c.sortedWorkers() {
					worker.unreachable = false
					for _, task := range worker.tasks {
						task.endsAt = min(task.endsAt, c.now+10*time.Second)
					}
				}
				c.waitForCompletion(4 * time.Minute)
			})
		})
	}
}

// checkStops fails the test if a task that ran legitimately was stopped.
func (c *coldStart) checkStops(t *testing.T) {
	t.Helper()
	for _, key := range c.stoppedTasks {
		if id := jobIDOf(key); c.submitted[id] && !c.mayBeCancelled(id) {
			t.Errorf("%s was stopped, though it ran rightly", key)
		}
	}
}

// checkMismatches fails the test if the leaders did not count the mismatches that were set up.
func (c *coldStart) checkMismatches(t *testing.T) {
	t.Helper()
	for _, kind := range []recovery.Mismatch{recovery.JobNeverStored, recovery.MachineUnresponsive} {
		if c.downtime < c.machineLease()*9/10 && c.mismatchCounts[kind] == 0 {
			t.Errorf("nobody found %v: %v", kind, c.mismatchCounts)
		}
	}
	if c.downtime < c.machineLease()*9/10 &&
		(c.mismatchCounts[recovery.MatchesRecord] == 0 ||
			c.mismatchCounts[recovery.CompletionNotStored] == 0) || c.downtime > c.machineLease() && c.mismatchCounts[recovery.JobNotRunning] == 0 {
		t.Errorf("found only %v", c.mismatchCounts)
	}
}

// Five leaders follow each other, and each crashes as soon as it has started some of the lost
// tasks. Together they exceed the start limit neither within a second nor in all.
func TestFiveLeadersOfOneRecovery(t *testing.T) {
	for _, nodes := range []int{3, 7} {
		users, _ := newFaultCombination(t, nodes, deployments[0], uint64(nodes), 20, 8)
		c := &coldStart{userSimulation: users, mismatchCounts: map[recovery.Mismatch]int{},
			leaderTerms: map[uint64]bool{}, downtime: 2 * users.machineLease()}
		c.restartAllControllers(0)
		c.advance(c.downtime)
		for range 5 {
			before := c.totalStarts()
			if !c.advanceUntil(c.machineLease()*2,
				func() bool { return c.leaderName() != "" && c.totalStarts() > before }) {
				t.Fatalf("%d nodes: no start: %s", nodes, c.explainNoLeader())
			}
			c.advance(c.randomDuration(time.Second))
			if name := c.leaderName(); name != "" {
				c.restartAfter(name, c.randomDuration(time.Second))
			}
		}
		c.advance(3 * c.machineLease())
		c.checkStarts()
		if len(c.leaderTerms) < 5 {
			t.Errorf("%d leaders", len(c.leaderTerms))
		}
		on := 0
		for i := range 20 {
			on += c.activeTaskCount(fmt.Sprintf("j-%d", i))
		}
		if on != 160 {
			t.Errorf("%d of 160 tasks run", on)
		}
	}
}

// A pending job that can't be on any of the unreachable machines starts at once; one that may be on
// them waits for reconciliation.
func TestLatencySensitiveWorkDoesNotWaitForUnreachableMachines(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	leaderNode := sim.waitForLeader()
	sim.startMachines(8)
	sim.submitAndStart(leaderNode.name, jobSpec("j-0", 16), 16)
	for _, worker := range sim.sortedWorkers() {
		worker.unreachable = worker.zone == "b"
	}
	sim.cloud.unavailable = true // so that none of them is returned
	for _, name := range sim.names {
		sim.crashNode(name)
	}
	for i, zone := range []string{"a", "b", ""} {
		job := jobSpec(fmt.Sprintf("j-%s%d", strings.Repeat("z", i+1), i), 2)
		job.Zone, job.Priority = zone, "urgent"
		sim.jobSpecs[job.ID] = job
		sim.store.putValue(storage.JobKey(job.ID), storage.JobRecord{Spec: job})
	}
	for _, name := range sim.names {
		sim.restartNode(name)
	}
	sim.waitForLeader()
	sim.advance(6 * time.Second)
	if a, b, any := sim.activeTaskCount("j-z0"), sim.activeTaskCount("j-zz1"), sim.activeTaskCount("j-zzz2"); a != 2 || b != 0 || any != 0 {
		t.Errorf("%d, %d and %d tasks run, not 2, 0 and 0", a, b, any)
	}
}
