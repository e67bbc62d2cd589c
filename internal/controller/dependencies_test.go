package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// dependentSpec returns a job with the given number of one-core tasks that depends on other jobs.
func dependentSpec(id string, tasks int, dependencies ...string) protocol.Job {
	job := jobSpec(id, tasks)
	job.Dependencies = dependencies
	return job
}

// newPipelineSimulation returns a simulation with a leader and two machines, in which every node has
// announced the present version. Jobs with dependencies are accepted only then.
func newPipelineSimulation(t *testing.T, nodes int) (*simulation, *simNode) {
	t.Helper()
	sim := newSimulation(t, nodes)
	leaderNode := sim.waitForLeader()
	sim.waitForNewVersion()
	sim.startMachines(2)
	return sim, leaderNode
}

// submitAccepted submits a job at a node and fails the test if the job is not created.
func (sim *simulation) submitAccepted(node string, job protocol.Job) {
	sim.t.Helper()
	if r := sim.submit(node, job); r.Status != 201 {
		sim.t.Fatalf("submission of %s: got status %d, want 201", job.ID, r.Status)
	}
}

// A job of a pipeline must not start before all its dependencies are done, whichever node accepted the
// job, and its objectives count from then. The simulation checks each start against the records.
func TestPipelineRunsInOrder(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	follower := sim.followers()[0]
	sim.submitAccepted(follower, jobSpec("j-a", 3))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-b", 2, "j-a"))
	sim.submitAccepted(follower, dependentSpec("j-c", 1, "j-a", "j-b"))
	if _, s := sim.queryJob(follower, "j-c"); s.State != protocol.JobQueued {
		t.Errorf("state of j-c, whose dependencies are pending: got %q, want queued", s.State)
	}
	if leaderNode.leader.RunnableJobs["j-b"] != nil || len(leaderNode.leader.BuildQueue()) > 1 {
		t.Error("a job with pending dependencies is part of the scheduling passes")
	}
	sim.waitForJobState("j-c", protocol.JobDone, time.Minute)
	if n := len(leaderNode.leader.dependencies.Dependents) + len(leaderNode.leader.dependencies.Lookups) +
		len(leaderNode.leader.RunnableJobs); n != 0 {
		t.Errorf("entries for terminal jobs in the leader: got %d, want 0", n)
	}
	// A job that is submitted after its dependencies are done starts at once, and a repeated
	// submission is answered with the state of the job.
	sim.submitAccepted(follower, dependentSpec("j-d", 1, "j-a", "j-c"))
	sim.waitForJobState("j-d", protocol.JobDone, 20*time.Second)
	if r := sim.submit(follower, dependentSpec("j-d", 1, "j-a", "j-c")); r.Status != 200 ||
		!strings.Contains(string(r.Body), "done") {
		t.Errorf("repeated submission of j-d: got %d %s, want 200 and the state done", r.Status, r.Body)
	}
}

// Several dependencies of a job that complete with one heartbeat must release it, and only once.
func TestCompletionsInOneHeartbeat(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	sim.cloud.capacity = 1
	sim.taskDuration = func(string, int) time.Duration { return 4 * time.Second }
	for _, id := range []string{"j-a", "j-b", "j-c"} {
		sim.submitAccepted(leaderNode.name, jobSpec(id, 1))
	}
	sim.submitAccepted(leaderNode.name, dependentSpec("j-d", 1, "j-a", "j-b", "j-c"))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-e", 1, "j-d", "j-b"))
	sim.waitForJobState("j-e", protocol.JobDone, time.Minute)
	sim.checkStartedOnce()
}

// A leader that releases a dependent before the completion of its dependency is stored could start it
// too early: the next leader may not know of the completion. So no dependent starts during an outage
// of the store.
func TestStartWaitsForDurableCompletion(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-b", 1, "j-a"))
	sim.advanceUntil(20*time.Second, func() bool { return sim.activeTaskCount("j-a") == 1 })
	sim.store.setDown(true)
	sim.advance(12 * time.Second) // j-a completes meanwhile
	if sim.startCounts["j-b/0"] != 0 {
		t.Fatal("j-b started before the completion of j-a was stored")
	}
	sim.store.setDown(false)
	sim.waitForJobState("j-b", protocol.JobDone, time.Minute)
}

// The store executes the transaction that makes a job terminal only after 3 s, and does not respond in
// time. The job's dependents must be released nevertheless, and only once.
func TestUncertainCompletionReleasesDependents(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-b", 1, "j-a"))
	sim.advanceUntil(20*time.Second, func() bool { return sim.activeTaskCount("j-a") == 1 })
	sim.store.holdTransaction = func(_ string, txn storage.Txn) bool {
		if !slices.ContainsFunc(txn.Writes,
			func(write storage.Write) bool { return write.PutKey == storage.TerminalKey("j-a") }) {
			return false
		}
		sim.store.holdTransaction = nil
		sim.schedule(3*time.Second, func() {
			for _, execute := range sim.store.heldTransactions {
				execute()
			}
		})
		return true
	}
	sim.waitForJobState("j-b", protocol.JobDone, time.Minute)
	sim.checkStartedOnce()
}

// A job that depends on itself or on a job that was never accepted could never run, so it is rejected,
// but not while the store can't be read: then users must retry. An accepted job must never be rejected,
// whatever has become of its dependencies.
func TestDependenciesNeverAccepted(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	follower := sim.followers()[0]
	for _, node := range []string{leaderNode.name, follower} {
		if r := sim.submit(node, dependentSpec("j-x", 1, "j-nobodys")); r.Status != 422 {
			t.Errorf("%s, dependency never accepted: got status %d, want 422", node, r.Status)
		}
		if r := sim.submit(node, dependentSpec("j-x", 1, "j-x")); r.Status != 422 {
			t.Errorf("%s, dependency on itself: got status %d, want 422", node, r.Status)
		}
	}
	sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
	sim.submitAccepted(follower, dependentSpec("j-b", 1, "j-a"))
	sim.cancelJob(leaderNode.name, "j-a")
	for _, node := range sim.names {
		if r := sim.submit(node, dependentSpec("j-b", 1, "j-a")); r.Status != 200 ||
			!strings.Contains(string(r.Body), string(protocol.JobCancelled)) {
			t.Errorf("%s, repeated submission: got %d %s, want 200 and the state cancelled", node, r.Status, r.Body)
		}
	}
	sim.store.setDown(true)
	sim.advance(2 * time.Second)
	for _, node := range sim.names {
		if r := sim.submit(node, dependentSpec("j-y", 1, "j-nobodys")); r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("%s, store down: got status %d, Retry-After %d, want 503 with Retry-After", node, r.Status,
				r.RetryAfter)
		}
	}
}

// A job with 60 dependencies must be accepted at once by any node. A follower asks the leader for the
// jobs that it does not know, because reading each of them would exceed the node's few reads per
// second.
func TestBroadPipeline(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return time.Second }
	var all []string
	for i := range 60 {
		all = append(all, fmt.Sprintf("j-%d", i))
		sim.submitAccepted(leaderNode.name, jobSpec(all[i], 1))
	}
	sim.submitAccepted(sim.followers()[0], dependentSpec("j-all", 1, all...))
	sim.waitForJobState("j-all", protocol.JobDone, 2*time.Minute)
}

// The IDs of 200 dependencies exceed the value limit of the store, so they are stored in several
// records. They are written with the job and deleted with it. Every node, and every new leader, must
// read them before it knows the job.
func TestDependenciesOverManyRecords(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.announceUpcomingLimits(1, 4, 60)
	sim.store.enforceUpcomingLimits = true
	leaderNode := sim.waitForLeader()
	sim.waitForNewVersion()
	sim.startMachines(4)
	sim.taskDuration = func(task string, _ int) time.Duration {
		if jobIDOf(task) == "j-000" {
			return time.Minute
		}
		return time.Second
	}
	var all []string
	for i := range 200 {
		all = append(all, fmt.Sprintf("j-%03d", i))
		sim.submitAccepted(leaderNode.name, jobSpec(all[i], 1))
	}
	follower := sim.followers()[0]
	sim.submitAccepted(follower, dependentSpec("j-all", 1, all...))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-most", 1, append(slices.Clone(all[1:]), "j-all")...))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-mine", 1, all...))
	for _, id := range []string{"j-all", "j-most", "j-mine"} {
		if n := len(sim.store.keys[storage.JobKey(id)].Value); n > 1024 || n == 0 {
			t.Errorf("record of %s: got %d bytes, want 1 to 1024", id, n)
		}
		if job := leaderNode.leader.Jobs[id]; job == nil || len(job.Spec.Dependencies) != 200 {
			t.Errorf("%s in the leader: got %+v, want a job with 200 dependencies", id, job)
		}
	}
	var broad []string
	for range 5 {
		broad = append(broad, all...)
	}
	for i := range broad {
		broad[i] = fmt.Sprintf("%s-%d", broad[i], i/200)
	}
	if r := sim.submit(leaderNode.name, dependentSpec("j-broad", 1, broad...)); r.Status != 400 {
		t.Errorf("more dependencies than can be stored: got status %d, want 400", r.Status)
	}
	sim.crashNode(leaderNode.name)
	leaderNode = sim.waitForLeader()
	sim.advance(time.Second)
	sim.cancelJob(leaderNode.name, "j-mine")
	sim.waitForJobState("j-most", protocol.JobDone, 5*time.Minute)
	if len(sim.store.oversizedKeys) > 0 {
		t.Errorf("keys with values over the limit: got %v, want none", sim.store.oversizedKeys)
	}
	sim.advance(5 * time.Second)
	for key := range sim.store.keys {
		if strings.HasPrefix(key, storage.DependenciesPrefix) {
			t.Errorf("%s is still stored, want it deleted with its job", key)
		}
	}
}

// The cancellation of a job must cancel all its dependents, also one that is submitted later, and no
// other jobs. Otherwise dependents of a cancelled job would wait for ever.
func TestCancelReachesAllDependents(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	follower := sim.followers()[0]
	sim.taskDuration = func(string, int) time.Duration { return 20 * time.Second }
	sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
	sim.submitAccepted(leaderNode.name, jobSpec("j-k", 1))
	sim.submitAccepted(follower, dependentSpec("j-b", 1, "j-a"))
	sim.submitAccepted(follower, dependentSpec("j-c", 1, "j-k", "j-b"))
	sim.submitAccepted(follower, dependentSpec("j-d", 1, "j-k"))
	if r := sim.cancelJob(follower, "j-b"); !strings.Contains(string(r.Body), string(protocol.JobCancelled)) {
		t.Fatalf("cancellation of j-b: got %d %s, want the state cancelled", r.Status, r.Body)
	}
	sim.submitAccepted(follower, dependentSpec("j-e", 1, "j-c"))
	for _, id := range []string{"j-b", "j-c", "j-e"} {
		sim.waitForJobState(id, protocol.JobCancelled, 2*time.Second)
	}
	for _, id := range []string{"j-a", "j-k", "j-d"} {
		sim.waitForJobState(id, protocol.JobDone, time.Minute)
	}
}

// Once the head of a pipeline of 150 jobs is cancelled, its cancellation record is the only record of
// the state of all dependents. Every node must report them as cancelled from then on, although their
// own terminal records can't be written yet, and a new leader continues from the stored records alone.
func TestCancelHeadOfLongPipeline(t *testing.T) {
	for _, fault := range []string{"none", "takeover", "outage"} {
		t.Run(fault, func(t *testing.T) {
			sim, leaderNode := newPipelineSimulation(t, 3)
			sim.taskDuration = func(string, int) time.Duration { return time.Hour }
			const length = 150
			sim.submitAccepted(leaderNode.name, jobSpec("j-0", 1))
			for i := 1; i < length; i++ {
				sim.submitAccepted(leaderNode.name, dependentSpec(fmt.Sprintf("j-%d", i), 1, fmt.Sprintf("j-%d", i-1)))
			}
			last := fmt.Sprintf("j-%d", length-1)
			if r := sim.cancelJob(leaderNode.name, "j-0"); !strings.Contains(string(r.Body),
				string(protocol.JobCancelled)) {
				t.Fatalf("cancellation of j-0: got %d %s, want the state cancelled", r.Status, r.Body)
			}
			if _, s := sim.queryJob(leaderNode.name, last); s.State != protocol.JobCancelled {
				t.Errorf("state of the last job after the reply to the cancellation: got %q, want cancelled", s.State)
			}
			confirmedAt := sim.now
			switch fault {
			case "takeover":
				sim.crashNode(leaderNode.name)
				sim.waitForLeader()
			case "outage":
				sim.store.setDown(true)
				sim.schedule(25*time.Second, func() { sim.store.setDown(false) })
			}
			for sim.now < confirmedAt+34*time.Second {
				for _, node := range sim.names {
					if sim.nodes[node].down {
						continue
					}
					if code, s := sim.queryJob(node, last); code == 404 ||
						code == 200 && s.State != protocol.JobCancelled {
						t.Fatalf("went_back: last job, %v after the cancellation, at %s: got status %d, state %q, "+
							"want cancelled or a status to retry", sim.now-confirmedAt, node, code, s.State)
					}
				}
				sim.advance(500 * time.Millisecond)
			}
			for i := range length {
				sim.waitForJobState(fmt.Sprintf("j-%d", i), protocol.JobCancelled, 30*time.Second)
			}
		})
	}
}

// A follower writes a submission while the leader cancels one of its dependencies. The dependent
// could be missed by the cancellation, and wait for ever. It must be accepted and then cancelled,
// also if the leader changes.
func TestSubmissionRacesWithCancellation(t *testing.T) {
	for _, crashLeader := range []bool{false, true} {
		sim, leaderNode := newPipelineSimulation(t, 3)
		follower := sim.followers()[0]
		sim.taskDuration = func(string, int) time.Duration { return time.Minute }
		sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
		sim.store.holdTransaction = func(_ string, txn storage.Txn) bool {
			return slices.ContainsFunc(txn.Writes,
				func(write storage.Write) bool { return write.PutKey == storage.JobKey("j-b") })
		}
		job := dependentSpec("j-b", 1, "j-a")
		sim.jobSpecs["j-b"] = job
		status := 0
		sim.sendRequest(follower, Request{Kind: protocol.RequestSubmit, JobID: "j-b", Job: &job},
			func(r Reply) { status = r.Status })
		sim.advance(200 * time.Millisecond)
		sim.cancelJob(leaderNode.name, "j-a")
		sim.store.holdTransaction = nil
		for _, execute := range sim.store.heldTransactions {
			execute() // executed after the cancellation
		}
		if crashLeader {
			sim.crashNode(leaderNode.name)
		}
		sim.advanceUntil(10*time.Second, func() bool { return status != 0 })
		if status != 201 && status != 200 {
			t.Errorf("leader crash %t: submission of j-b: got status %d, want 201 or 200", crashLeader, status)
		}
		sim.waitForJobState("j-b", protocol.JobCancelled, 20*time.Second)
	}
}

// A leader that has not yet read the state of a job must not report a dependent of the job as queued:
// a predecessor may have told the user that the dependent is cancelled.
func TestDependencyNotReadYet(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.store.putValue(storage.TerminalKey("j-a"), storage.TerminalRecord{State: protocol.JobCancelled, TaskCount: 1})
	sim.store.putValue(storage.JobKey("j-b"),
		storage.JobRecord{Spec: dependentSpec("j-b", 1, "j-a"), AcceptedAtMillis: time.Unix(1_000_000, 0).UnixMilli()})
	sim.store.putValue(storage.JobKey("j-c"),
		storage.JobRecord{Spec: dependentSpec("j-c", 1, "j-b"), AcceptedAtMillis: time.Unix(1_000_000, 0).UnixMilli()})
	for sim.now < 20*time.Second {
		if code, s := sim.queryJob("n0", "j-c"); code == 200 && s.State != protocol.JobCancelled {
			t.Fatalf("state of j-c at %v: got %q, want cancelled", sim.now, s.State)
		}
		sim.advance(20 * time.Millisecond)
	}
	if sim.terminalState("j-c") != protocol.JobCancelled {
		t.Error("no terminal record of j-c as cancelled is stored")
	}
}

// A job that is scheduled without regard to its dependents could make them late. It must be due at the
// deadline of the pipeline minus the expected durations on the longest path of its dependents, so that
// the slack of a pipeline counts once. It must have the rank of its most urgent dependent, if that is
// better, until that dependent is cancelled.
func TestDeadlineAndPriorityOfDependents(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	l := leaderNode.leader
	sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-b", 1, "j-a"))
	slow := dependentSpec("j-s", 1, "j-a")
	slow.EstimatedSeconds = 40
	sim.submitAccepted(leaderNode.name, slow)
	last := dependentSpec("j-z", 1, "j-b", "j-s")
	deadline := 120.0
	last.DeadlineSeconds, last.Priority = &deadline, "urgent"
	sim.submitAccepted(leaderNode.name, last)
	a, b, s, z := l.Jobs["j-a"], l.Jobs["j-b"], l.Jobs["j-s"], l.Jobs["j-z"]
	deadlineAt := z.AcceptedAt + 120*time.Second
	if want := deadlineAt - l.dependencies.ExpectedJobDuration(z, l.ImagePullRate()); l.Due(b) != want ||
		l.Due(s) != want {
		t.Errorf("due times: got j-b %v, j-s %v, want %v", l.Due(b), l.Due(s), want)
	}
	if want := deadlineAt - l.dependencies.ExpectedJobDuration(z,
		l.ImagePullRate()) - l.dependencies.ExpectedJobDuration(s, l.ImagePullRate()); l.Due(a) != want {
		t.Errorf("due time of j-a: got %v, want %v by the longest path, over j-s", l.Due(a), want)
	}
	if a.EffectiveRank() != 1 || b.EffectiveRank() != 1 || a.Spec.PriorityRank() != 2 {
		t.Errorf("effective ranks: got j-a %d, j-b %d, want 1 and 1; own rank of j-a: got %d, want 2",
			a.EffectiveRank(), b.EffectiveRank(), a.Spec.PriorityRank())
	}
	sim.cancelJob(leaderNode.name, "j-z")
	if a.EffectiveRank() != 2 || a.LatestEnd != clock.Forever {
		t.Errorf("j-a after the cancellation of j-z: got rank %d, latest end %v, want 2 and none", a.EffectiveRank(),
			a.LatestEnd)
	}
}

// A job with dependencies would be late from the beginning if its start limit and its objectives
// counted from its acceptance. The four minutes within which the job has to start, and its objectives,
// must count from the completion of its last dependency, also in a new leader.
func TestTimesCountFromLastDependency(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	sim.taskDuration = func(task string, _ int) time.Duration {
		if jobIDOf(task) == "j-a" {
			return 100 * time.Second
		}
		return time.Hour
	}
	sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-b", 1, "j-a"))
	sim.advanceUntil(3*time.Minute, func() bool { return sim.terminalState("j-a") != "" })
	completedAt := sim.now
	sim.crashNode(leaderNode.name)
	leaderNode = sim.waitForLeader()
	sim.advanceUntil(20*time.Second, func() bool { return sim.activeTaskCount("j-b") == 1 })
	b := leaderNode.leader.Jobs["j-b"]
	if eligibleAt := b.EligibleAt + leaderNode.bootedAt; eligibleAt < completedAt-time.Second ||
		eligibleAt > completedAt+time.Second {
		t.Errorf("j-b eligible at: got %v, want %v within 1s", eligibleAt, completedAt)
	}
	if b.AcceptedAt+leaderNode.bootedAt > 20*time.Second {
		t.Errorf("j-b accepted at: got %v, want at most 20s", b.AcceptedAt+leaderNode.bootedAt)
	}
}

// Machines for a job with pending dependencies must be rented neither early, when they would be idle,
// nor only when the job is released. The job adds nothing to the required cores until its last
// dependency is about to complete, just in time for machines to boot.
func TestNextStageIsPlannedInTime(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	a := jobSpec("j-a", 1)
	a.EstimatedSeconds = 60
	sim.submitAccepted(leaderNode.name, a)
	sim.advanceUntil(20*time.Second, func() bool { return sim.activeTaskCount("j-a") == 1 })
	sim.advance(time.Second)
	coresWithoutDependents := requiredCores(leaderNode.leader, 1000)
	sim.submitAccepted(leaderNode.name, dependentSpec("j-b", 200, "j-a"))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-c", 200, "j-a", "j-b")) // also depends on j-b
	if got := requiredCores(leaderNode.leader, 1000); got > coresWithoutDependents {
		t.Errorf("required cores with pending dependents: got %v, want at most %v", got, coresWithoutDependents)
	}
	sim.advance(56 * time.Second) // a machine boots in 5 s
	due := leaderNode.leader.DueFrom(leaderNode.leader.Jobs["j-b"], leaderNode.now) - leaderNode.now
	if got, want := requiredCores(leaderNode.leader, 1000), 200*5/due.Seconds(); got < want || got > 2*want {
		t.Errorf("required cores shortly before j-a completes: got %v, want %v to %v", got, want, 2*want)
	}
}

// Jobs that an earlier leader may have started wait until a new leader has reconciled all machines: no
// task that is unknown to the leader can run on them then. A job whose last dependency completes under
// the new leader must not wait for that: no earlier leader can have started it.
func TestReleasedJobIsNotBlocked(t *testing.T) {
	sim, first := newPipelineSimulation(t, 3)
	sim.taskDuration = func(task string, _ int) time.Duration {
		if jobIDOf(task) == "j-a" {
			return 12 * time.Second
		}
		return 200 * time.Second
	}
	sim.submitAndStart(first.name, jobSpec("j-1", 6), 6)
	sim.submitAndStart(first.name, jobSpec("j-a", 1), 1)
	sim.submitAccepted(first.name, dependentSpec("j-b", 1, "j-a"))
	unreachable := 0
	for _, worker := range sim.workers {
		if !slices.ContainsFunc(worker.tasks, func(t *fakeTask) bool { return jobIDOf(t.taskKey) == "j-a" }) {
			worker.unreachable = true
			unreachable++
		}
	}
	sim.cloud.rejectReturns = true // because a return would reconcile the machines sooner
	sim.crashNode(first.name)
	leaderNode := sim.waitForLeader()
	tookOverAt := sim.now
	if !sim.advanceUntil(30*time.Second, func() bool { return sim.activeTaskCount("j-b") == 1 }) ||
		unreachable == 0 {
		t.Fatalf("within 30 s: got %d running tasks of j-b and %d unreachable workers, want 1 and at least 1",
			sim.activeTaskCount("j-b"), unreachable)
	}
	if leaderNode.leader.ReconciledOnce {
		t.Errorf("j-b started only after all machines were reconciled, %v after the takeover", sim.now-tookOverAt)
	}
}

// Jobs with pending dependencies must not slow down the leader: 199 of them hardly add to the cost of
// scheduling passes and heartbeats, counted in machines and jobs examined.
func TestPendingDependenciesCostNothing(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	sim.submitAccepted(leaderNode.name, jobSpec("j-0", 1))
	sim.advanceUntil(20*time.Second, func() bool { return sim.activeTaskCount("j-0") == 1 })
	cost := func() int {
		examinedBefore := leaderNode.leader.CandidatesExamined
		sim.advance(15 * time.Second)
		return leaderNode.leader.CandidatesExamined - examinedBefore
	}
	before := cost()
	for i := 1; i < 200; i++ {
		sim.submitAccepted(leaderNode.name, dependentSpec(fmt.Sprintf("j-%d", i), 50, fmt.Sprintf("j-%d", i/2)))
	}
	if got := cost(); got > before+before/4 || len(leaderNode.leader.JobsByAge()) != 1 {
		t.Errorf("machines and jobs examined with 199 blocked jobs: got %d, want at most %d; "+
			"runnable jobs: got %d, want 1", got, before+before/4, len(leaderNode.leader.JobsByAge()))
	}
}
