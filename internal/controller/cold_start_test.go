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

// coldStart simulates a cluster with users whose controllers all crash at once and restart. It
// records which tasks the recovering leaders start, and checks what they rent.
type coldStart struct {
	*userSimulation
	downtime       time.Duration
	restartedAt    clock.Instant             // when the first controller restarted
	startTimes     []clock.Instant           // of tasks started by a recovering leader
	rateLimits     recovery.Rates            // for the machines rented at the crash
	mismatchCounts map[recovery.Mismatch]int // maxima over all recovering leaders
	leaderTerms    map[uint64]bool           // terms of the recovering leaders since the crash
}

// restartAllControllers crashes all controllers and restarts each after the downtime plus a random
// delay of up to spread. It sets the rate limits and begins to watch rentals and starts.
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

// recoveringLeader returns the leader if its recovery is not completed; otherwise, and without a
// leader, it returns nil.
func (c *coldStart) recoveringLeader() *leader {
	if name := c.leaderName(); name != "" && !c.nodes[name].leader.recovery.Completed() {
		return c.nodes[name].leader
	}
	return nil
}

// watchRentals fails the test if a leader rents machines before it has read all records, or in the
// collecting phase without need: the unreconciled machines have cores for all tasks that may be running
// there unreported, no other task is pending, and the usual load with headroom fits the machines.
func (c *coldStart) watchRentals() {
	c.interceptCall = func(call ServiceCall) (CallResult, bool) {
		if l := c.recoveringLeader(); call.Target == TargetCloud && call.Path == "/hosts" && l != nil &&
			l.recovery.Phase() <= recovery.PhaseCollecting &&
			strings.Contains(string(call.Body), "r-"+formatUint(l.term)+"-") {
			totals := l.CurrentMachineTotals()
			unreconciledCores, maybeRunningCores, pendingTasks := totals.UnknownUsage.Cores, 0.0, 0
			for _, job := range l.RunnableJobs {
				if l.MayRunUnreported(job, &totals) {
					maybeRunningCores += float64(job.PendingTasks) * job.Spec.Cores
				} else {
					pendingTasks += job.PendingTasks
				}
			}
			if usualCores := l.autoscaler.Forecast.UsualLoad() * (1 + l.node.settings.Headroom); !l.recordsLoaded ||
				maybeRunningCores <= unreconciledCores && pendingTasks == 0 && usualCores <= totals.TotalCores {
				c.reportViolation("rented too early",
					"in phase %v, records loaded %t: tasks that may run unreported need %v cores, "+
						"unreconciled machines have %v",
					l.recovery.Phase(), l.recordsLoaded, maybeRunningCores, unreconciledCores)
			}
		}
		return CallResult{}, false
	}
}

// watchStarts records the starts that workers receive while a leader recovers, and the mismatches
// that such leaders count.
func (c *coldStart) watchStarts() {
	previous := c.totalStarts()
	var poll func()
	poll = func() {
		current := c.totalStarts()
		if l := c.recoveringLeader(); l != nil && c.now > c.restartedAt {
			c.leaderTerms[l.term] = true
			for range current - previous {
				c.startTimes = append(c.startTimes, c.now)
			}
			counts := l.recovery.Counts()
			counts.ForEach(func(kind recovery.Mismatch, count int) {
				c.mismatchCounts[kind] = max(c.mismatchCounts[kind], count)
			})
		}
		previous = current
		c.schedule(step, poll)
	}
	poll()
}

// checkStarts fails the test if the starts within any second, or in total, exceed the rate limit by more
// than a tolerance of 5 %. In total, each leader may add one burst to the sustained rate.
func (c *coldStart) checkStarts() {
	c.t.Helper()
	rate := c.rateLimits[recovery.StartTask]
	first := 0
	for i, at := range c.startTimes {
		for at-c.startTimes[first] >= time.Second {
			first++
		}
		if n := float64(i - first + 1); n > rate.MaxInOneSecond()*1.05+1 {
			c.t.Fatalf("starts within the second up to %v: got %.0f, want at most %.1f plus 5 %% and 1", at, n,
				rate.MaxInOneSecond())
		}
	}
	if len(c.startTimes) > 0 {
		span := (c.startTimes[len(c.startTimes)-1] - c.restartedAt).Seconds()
		if limit := rate.PerSecond*span*1.05 + rate.Burst*float64(len(c.leaderTerms)); float64(len(c.startTimes)) >
			limit {
			c.t.Fatalf("starts in %.1f s by %d leaders: got %d, want at most %.0f", span, len(c.leaderTerms),
				len(c.startTimes), limit)
		}
	}
}

// busyWorker returns the n-th worker that runs tasks, or the n-th of all workers if none does. n wraps
// around.
func (c *coldStart) busyWorker(n int) *fakeWorker {
	busy := slices.DeleteFunc(slices.Clone(c.sortedWorkers()),
		func(worker *fakeWorker) bool { return len(worker.tasks) == 0 })
	if len(busy) == 0 {
		return c.sortedWorkers()[n%len(c.workers)]
	}
	return busy[n%len(busy)]
}

// onRecoveryPhase calls action once, when a leader has reached the phase after the restart.
func (c *coldStart) onRecoveryPhase(phase recovery.Phase, action func()) {
	var poll func()
	poll = func() {
		if name := c.leaderName(); name != "" && c.now > c.restartedAt &&
			c.nodes[name].leader.recovery.Phase() >= phase {
			action()
			return
		}
		c.schedule(step, poll)
	}
	poll()
}

// coldStartFaults are the faults that TestColdStart combines with a crash of all controllers, by name.
// Each function is called at the moment of the crash and schedules its faults.
var coldStartFaults = map[string]func(c *coldStart){
	"mismatches of every kind": func(c *coldStart) {
		c.schedule(c.downtime/2, func() {
			neverStored := &fakeTask{taskKey: "j-never-stored/0", attempt: 7, state: protocol.TaskRunning,
				endsAt: c.now + time.Hour}
			c.busyWorker(0).tasks = append(c.busyWorker(0).tasks, neverStored)
			c.jobSpecs["j-never-stored"] = jobSpec("j-never-stored", 1)
			for _, t := range c.busyWorker(1).tasks {
				t.endsAt = c.now // completed, but not yet reported
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
	"heartbeats from before the crash are replayed": func(c *coldStart) { c.replayHeartbeats() },
	"the store is slow, then refuses the leader, then is down": func(c *coldStart) {
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
	"the cloud is down, then lists no machines": func(c *coldStart) {
		c.cloud.unavailable = true
		c.schedule(c.downtime+c.randomDuration(c.machineLease()), func() {
			c.cloud.unavailable = false
			c.cloud.listsEmpty = true
			c.schedule(c.randomDuration(c.machineLease()/3), func() { c.cloud.listsEmpty = false })
		})
	},
	"the cloud removes machines": func(c *coldStart) {
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
	"workers are unreachable during the recovery": func(c *coldStart) {
		c.forSomeWorkers(3, func(worker *fakeWorker) {
			worker.unreachable = true
			c.schedule(c.downtime+c.randomDuration(2*c.machineLease()), func() { worker.unreachable = false })
		})
	},
	"team at its quota, workers unreachable": func(c *coldStart) {
		// The team's quota lets these jobs run within a minute and a half after the faults. With a
		// longer queue, some job would be pending for that long beside free capacity, which the team
		// leaves unused for a moment between two tasks, and the invariant checker would report it.
		c.submitMoreJobs(4, c.downtime+c.machineLease(),
			func(_ int, j *protocol.Job) { j.Team, j.TaskCount = "team", 16 })
		c.forSomeWorkers(4, func(worker *fakeWorker) {
			worker.unreachable = true
			c.schedule(c.downtime+c.randomDuration(c.machineLease()), func() { worker.unreachable = false })
		})
	},
	"leaders crash in each phase": func(c *coldStart) {
		for _, phase := range []recovery.Phase{recovery.PhaseReading, recovery.PhaseCollecting,
			recovery.PhaseReconciling, recovery.PhasePacing, recovery.PhasePacing} {
			c.onRecoveryPhase(phase, func() { c.restartAfter(c.leaderName(), c.randomDuration(time.Second)) })
		}
	},
	"one controller restarts before the others": func(c *coldStart) {
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
	"one node runs the previous version": func(c *coldStart) {
		old := c.names[0]
		c.crashNode(old)
		c.oldVersionNodes[old] = true
	},
}

// While tasks run, all controllers are down for half a worker lease, for about one or for three, and
// other faults hit the recovery. New leaders that act on incomplete knowledge could start tasks
// twice, stop tasks that run legitimately, rent machines before the phase of the recovery allows it,
// or exceed the start rate limit together. No invariant may be violated.
func TestColdStart(t *testing.T) {
	for name, injectFaults := range coldStartFaults {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 6, 120, func(t *testing.T, seed uint64) {
				nodes := []int{3, 7}[seed%2]
				downtimeInLeases := []float64{0.5, 0.97, 3}[seed%3]
				users, _ := newUserSimulationWithJobs(t, nodes, deployments[seed%uint64(len(deployments))], seed, 8, 4)
				c := &coldStart{userSimulation: users, mismatchCounts: map[recovery.Mismatch]int{},
					leaderTerms: map[uint64]bool{}}
				c.scenario = name
				c.downtime = time.Duration(downtimeInLeases * float64(c.machineLease()))
				c.submitMoreJobs(10, 2*c.machineLease(), nil)
				c.advance(c.randomDuration(5 * time.Second))
				c.restartAllControllers(c.machineLease() / 8)
				injectFaults(c)
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

// checkStops fails the test if a task of a submitted job that no user may have cancelled was stopped.
func (c *coldStart) checkStops(t *testing.T) {
	t.Helper()
	for _, key := range c.stoppedTasks {
		if id := jobIDOf(key); c.submitted[id] && !c.mayBeCancelled(id) {
			t.Errorf("%s was stopped, want it running: no user cancelled its job", key)
		}
	}
}

// checkMismatches fails the test if the leaders did not count the mismatches that were set up. Tasks
// outlive a downtime below a worker lease, and are lost in a longer one.
func (c *coldStart) checkMismatches(t *testing.T) {
	t.Helper()
	for _, kind := range []recovery.Mismatch{recovery.JobNeverStored, recovery.MachineUnresponsive} {
		if c.downtime < c.machineLease()*9/10 && c.mismatchCounts[kind] == 0 {
			t.Errorf("mismatches of kind %v: got counts %v, want at least 1 of this kind", kind, c.mismatchCounts)
		}
	}
	if c.downtime < c.machineLease()*9/10 &&
		(c.mismatchCounts[recovery.MatchesRecord] == 0 ||
			c.mismatchCounts[recovery.CompletionNotStored] == 0) ||
		c.downtime > c.machineLease() && c.mismatchCounts[recovery.JobNotRunning] == 0 {
		t.Errorf("after a downtime of %v: got mismatches %v, want %v and %v after a short one, %v after a long one",
			c.downtime, c.mismatchCounts, recovery.MatchesRecord, recovery.CompletionNotStored, recovery.JobNotRunning)
	}
}

// Five leaders succeed each other, and each crashes as soon as it has started some of the lost tasks. A
// start limit that begins anew with each leader would allow too many starts. The leaders together must
// exceed the limit neither within a second nor in total, and all tasks must run in the end.
func TestFiveLeadersOfOneRecovery(t *testing.T) {
	for _, nodes := range []int{3, 7} {
		users, _ := newUserSimulationWithJobs(t, nodes, deployments[0], uint64(nodes), 20, 8)
		c := &coldStart{userSimulation: users, mismatchCounts: map[recovery.Mismatch]int{},
			leaderTerms: map[uint64]bool{}, downtime: 2 * users.machineLease()}
		c.restartAllControllers(0)
		c.advance(c.downtime)
		for range 5 {
			before := c.totalStarts()
			if !c.advanceUntil(c.machineLease()*2,
				func() bool { return c.leaderName() != "" && c.totalStarts() > before }) {
				t.Fatalf("%d nodes: no task was started within two leases: %s", nodes, c.explainNoLeader())
			}
			c.advance(c.randomDuration(time.Second))
			if name := c.leaderName(); name != "" {
				c.restartAfter(name, c.randomDuration(time.Second))
			}
		}
		c.advance(3 * c.machineLease())
		c.checkStarts()
		if len(c.leaderTerms) < 5 {
			t.Errorf("%d nodes: leader terms since the crash: got %d, want at least 5", nodes, len(c.leaderTerms))
		}
		running := 0
		for i := range 20 {
			running += c.activeTaskCount(fmt.Sprintf("j-%d", i))
		}
		if running != 160 {
			t.Errorf("%d nodes: running tasks: got %d, want 160", nodes, running)
		}
	}
}

// After a restart of all controllers, urgent jobs must not wait for the reconciliation of unreachable
// machines that can't run them: a job for zone a starts at once while the machines of zone b are
// unreachable. A job that may run in zone b must wait, or its tasks could run twice.
func TestLatencySensitiveWorkDoesNotWaitForUnreachableMachines(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	leaderNode := sim.waitForLeader()
	sim.startMachines(8)
	sim.submitAndStart(leaderNode.name, jobSpec("j-0", 16), 16)
	for _, worker := range sim.sortedWorkers() {
		worker.unreachable = worker.zone == "b"
	}
	sim.cloud.unavailable = true // so that no unreachable machine is returned
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
	if a, b, anyZone := sim.activeTaskCount("j-z0"), sim.activeTaskCount("j-zz1"),
		sim.activeTaskCount("j-zzz2"); a != 2 || b != 0 || anyZone != 0 {
		t.Errorf("running tasks for zone a, zone b, any zone: got %d, %d, %d, want 2, 0, 0", a, b, anyZone)
	}
}
