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

// dependentSpec returns a job of tasks one-core tasks that depends on the jobs needs.
func dependentSpec(id string, tasks int, needs ...string) protocol.Job {
	job := jobSpec(id, tasks)
	job.Dependencies = needs
	return job
}

// newPipelineSimulation returns a simulation with a leader and two machines, in which every node
// has announced the present version.
func newPipelineSimulation(t *testing.T, nodes int) (*simulation, *simNode) {
	t.Helper()
	sim := newSimulation(t, nodes)
	leaderNode := sim.waitForLeader()
	sim.waitForNewVersion()
	sim.startMachines(2)
	return sim, leaderNode
}

func (sim *simulation) submitAccepted(node string, job protocol.Job) {
	sim.t.Helper()
	if r := sim.submit(node, job); r.Status != 201 {
		sim.t.Fatalf("%s: submission answered %d", job.ID, r.Status)
	}
}

// A job of a pipeline starts only when all its dependencies are done, whichever node accepted it,
// and its deadlines count from then. (The simulation checks each start against the records.)
func TestPipelineRunsInOrder(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	other := sim.followers()[0]
	sim.submitAccepted(other, jobSpec("j-a", 3))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-b", 2, "j-a"))
	sim.submitAccepted(other, dependentSpec("j-c", 1, "j-a", "j-b"))
	if _, s := sim.queryJob(other, "j-c"); s.State != protocol.JobQueued {
		t.Errorf("a job that waits is called %q", s.State)
	}
	if leaderNode.leader.RunnableJobs["j-b"] != nil || len(leaderNode.leader.BuildQueue()) > 1 {
		t.Error("a job that waits for another takes part in the passes")
	}
	sim.waitForJobState("j-c", protocol.JobDone, time.Minute)
	if n := len(leaderNode.leader.dependencies.Dependents) + len(leaderNode.leader.dependencies.Lookups) + len(leaderNode.leader.RunnableJobs); n != 0 {
		t.Errorf("%d entries are left of jobs that are over", n)
	}
	// A job submitted after its dependencies are done starts at once, and a repeated submission is
	// answered with the state of the job.
	sim.submitAccepted(other, dependentSpec("j-d", 1, "j-a", "j-c"))
	sim.waitForJobState("j-d", protocol.JobDone, 20*time.Second)
	if r := sim.submit(other, dependentSpec("j-d", 1, "j-a", "j-c")); r.Status != 200 ||
		!strings.Contains(string(r.Body), "done") {
		t.Errorf("a repeat is answered %d %s", r.Status, r.Body)
	}
}

// Several jobs that end with one heartbeat release their common dependents, once.
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

// A completion that only the leader has seen releases nothing: the next leader may not know of it.
func TestStartWaitsForDurableCompletion(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-b", 1, "j-a"))
	sim.advanceUntil(20*time.Second, func() bool { return sim.activeTaskCount("j-a") == 1 })
	sim.store.setDown(true)
	sim.advance(12 * time.Second) // the job completes meanwhile
	if sim.startCounts["j-b/0"] != 0 {
		t.Fatal("started before the end of j-a was durable")
	}
	sim.store.setDown(false)
	sim.waitForJobState("j-b", protocol.JobDone, time.Minute)
}

// A job whose terminal write got no response has ended nevertheless: its dependents are released,
// once.
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
			for _, f := range sim.store.heldTransactions {
				f()
			}
		})
		return true
	}
	sim.waitForJobState("j-b", protocol.JobDone, time.Minute)
	sim.checkStartedOnce()
}

// A job that can't run, or whose dependencies were never accepted, is rejected. An accepted job is
// never rejected, whatever has become of its dependencies.
func TestDependenciesNeverAccepted(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	other := sim.followers()[0]
	for _, node := range []string{leaderNode.name, other} {
		if r := sim.submit(node, dependentSpec("j-x", 1, "j-nobodys")); r.Status != 422 {
			t.Errorf("%s: never accepted: %d", node, r.Status)
		}
		if r := sim.submit(node, dependentSpec("j-x", 1, "j-x")); r.Status != 422 {
			t.Errorf("%s: itself: %d", node, r.Status)
		}
	}
	sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
	sim.submitAccepted(other, dependentSpec("j-b", 1, "j-a"))
	sim.cancelJob(leaderNode.name, "j-a")
	for _, node := range sim.names {
		if r := sim.submit(node, dependentSpec("j-b", 1, "j-a")); r.Status != 200 ||
			!strings.Contains(string(r.Body), string(protocol.JobCancelled)) {
			t.Errorf("%s: a repeat is answered %d %s", node, r.Status, r.Body)
		}
	}
	sim.store.setDown(true)
	sim.advance(2 * time.Second)
	for _, node := range sim.names {
		if r := sim.submit(node, dependentSpec("j-y", 1, "j-nobodys")); r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("%s: nothing can be read: %d, Retry-After %d", node, r.Status, r.RetryAfter)
		}
	}
}

// A broad pipeline is accepted at once by any node. What the node does not know of that many jobs,
// it asks the leader, since reading each of them would exceed the node's few reads a second.
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

// The dependencies of a job may need more than one value of the store: they are stored with the
// job, read by any node and leader before the job is known, and deleted with it.
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
	other := sim.followers()[0]
	sim.submitAccepted(other, dependentSpec("j-all", 1, all...))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-most", 1, append(slices.Clone(all[1:]), "j-all")...))
	sim.submitAccepted(leaderNode.name, dependentSpec("j-mine", 1, all...))
	for _, id := range []string{"j-all", "j-most", "j-mine"} {
		if n := len(sim.store.keys[storage.JobKey(id)].Value); n > 1024 || n == 0 {
			t.Errorf("the record of %s has %d bytes", id, n)
		}
		if job := leaderNode.leader.Jobs[id]; job == nil || len(job.Spec.Dependencies) != 200 {
			t.Errorf("%s is known as %+v", id, job)
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
		t.Errorf("more than can be stored: answered %d", r.Status)
	}
	sim.crashNode(leaderNode.name)
	leaderNode = sim.waitForLeader()
	sim.advance(time.Second)
	sim.cancelJob(leaderNode.name, "j-mine")
	sim.waitForJobState("j-most", protocol.JobDone, 5*time.Minute)
	if len(sim.store.oversizedKeys) > 0 {
		t.Errorf("too large: %v", sim.store.oversizedKeys)
	}
	sim.advance(5 * time.Second)
	for key := range sim.store.keys {
		if strings.HasPrefix(key, storage.DependenciesPrefix) {
			t.Errorf("%s is kept", key)
		}
	}
}

// The cancellation of a job cancels all its dependents, also one that is submitted later, and no
// other jobs.
func TestCancelReachesAllDependents(t *testing.T) {
	sim, leaderNode := newPipelineSimulation(t, 3)
	other := sim.followers()[0]
	sim.taskDuration = func(string, int) time.Duration { return 20 * time.Second }
	sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
	sim.submitAccepted(leaderNode.name, jobSpec("j-k", 1))
	sim.submitAccepted(other, dependentSpec("j-b", 1, "j-a"))
	sim.submitAccepted(other, dependentSpec("j-c", 1, "j-k", "j-b"))
	sim.submitAccepted(other, dependentSpec("j-d", 1, "j-k"))
	if r := sim.cancelJob(other, "j-b"); !strings.Contains(string(r.Body), string(protocol.JobCancelled)) {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	sim.submitAccepted(other, dependentSpec("j-e", 1, "j-c"))
	for _, id := range []string{"j-b", "j-c", "j-e"} {
		sim.waitForJobState(id, protocol.JobCancelled, 2*time.Second)
	}
	for _, id := range []string{"j-a", "j-k", "j-d"} {
		sim.waitForJobState(id, protocol.JobDone, time.Minute)
	}
}

// The cancellation record of a job is the only record of the state of all its dependents. Every
// node reports them as cancelled from then on although their own terminal records can't be written,
// and the next leader continues from the records alone.
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
				t.Fatalf("%d %s", r.Status, r.Body)
			}
			if _, s := sim.queryJob(leaderNode.name, last); s.State != protocol.JobCancelled {
				t.Errorf("the last job is %q after the answer", s.State)
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
						t.Fatalf("went_back: at %v %s says %d %q of the last job", sim.now-confirmedAt, node,
							code, s.State)
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

// A submission that one node writes while the leader cancels one of its dependencies is accepted
// and then cancelled, whichever comes first, and in the next term too.
func TestSubmissionRacesWithCancellation(t *testing.T) {
	for _, crash := range []bool{false, true} {
		sim, leaderNode := newPipelineSimulation(t, 3)
		other := sim.followers()[0]
		sim.taskDuration = func(string, int) time.Duration { return time.Minute }
		sim.submitAccepted(leaderNode.name, jobSpec("j-a", 1))
		sim.store.holdTransaction = func(_ string, txn storage.Txn) bool {
			return slices.ContainsFunc(txn.Writes,
				func(write storage.Write) bool { return write.PutKey == storage.JobKey("j-b") })
		}
		job := dependentSpec("j-b", 1, "j-a")
		sim.jobSpecs["j-b"] = job
		accepted := 0
		sim.sendRequest(other, Request{Kind: protocol.RequestSubmit, JobID: "j-b", Job: &job},
			func(r Reply) { accepted = r.Status })
		sim.advance(200 * time.Millisecond)
		sim.cancelJob(leaderNode.name, "j-a")
		sim.store.holdTransaction = nil
		for _, f := range sim.store.heldTransactions {
			f() // written after the cancellation
		}
		if crash {
			sim.crashNode(leaderNode.name)
		}
		sim.advanceUntil(10*time.Second, func() bool { return accepted != 0 })
		if accepted != 201 && accepted != 200 {
			t.Errorf("the submission is answered %d", accepted)
		}
		sim.waitForJobState("j-b", protocol.JobCancelled, 20*time.Second)
	}
}

// A leader that has not yet read the state of a job does not report a dependent of it as queued: a
// predecessor may have told the user that it is cancelled.
func TestDependencyNotReadYet(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.store.putValue(storage.TerminalKey("j-a"), storage.TerminalRecord{State: protocol.JobCancelled, TaskCount: 1})
	sim.store.putValue(storage.JobKey("j-b"),
		storage.JobRecord{Spec: dependentSpec("j-b", 1, "j-a"), AcceptedAtMillis: time.Unix(1_000_000, 0).UnixMilli()})
	sim.store.putValue(storage.JobKey("j-c"),
		storage.JobRecord{Spec: dependentSpec("j-c", 1, "j-b"), AcceptedAtMillis: time.Unix(1_000_000, 0).UnixMilli()})
	for sim.now < 20*time.Second {
		if code, s := sim.queryJob("n0", "j-c"); code == 200 && s.State != protocol.JobCancelled {
			t.Fatalf("at %v it is called %q", sim.now, s.State)
		}
		sim.advance(20 * time.Millisecond)
	}
	if sim.terminalState("j-c") != protocol.JobCancelled {
		t.Error("its end is not written")
	}
}

// The slack of a pipeline is counted once: each job is due when the longest path of its dependents
// leaves no more time, and is as urgent as its most urgent dependent for as long as there is one.
func TestDeadlineAndPriorityOfDependents(t *testing.T) {
	sim, n := newPipelineSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	l := n.leader
	sim.submitAccepted(n.name, jobSpec("j-a", 1))
	sim.submitAccepted(n.name, dependentSpec("j-b", 1, "j-a"))
	slow := dependentSpec("j-s", 1, "j-a")
	slow.EstimatedSeconds = 40
	sim.submitAccepted(n.name, slow)
	last := dependentSpec("j-z", 1, "j-b", "j-s")
	deadline := 120.0
	last.DeadlineSeconds, last.Priority = &deadline, "urgent"
	sim.submitAccepted(n.name, last)
	a, b, s, z := l.Jobs["j-a"], l.Jobs["j-b"], l.Jobs["j-s"], l.Jobs["j-z"]
	end := z.AcceptedAt + 120*time.Second
	if want := end - l.dependencies.ExpectedJobDuration(z, l.ImagePullRate()); l.Due(b) != want || l.Due(s) != want {
		t.Errorf("b is due at %v, s at %v, not %v", l.Due(b), l.Due(s), want)
	}
	if want := end - l.dependencies.ExpectedJobDuration(z,
		l.ImagePullRate()) - l.dependencies.ExpectedJobDuration(s, l.ImagePullRate()); l.Due(a) != want {
		t.Errorf("a is due at %v, not %v: the longest way counts", l.Due(a), want)
	}
	if a.EffectiveRank() != 1 || b.EffectiveRank() != 1 || a.Spec.PriorityRank() != 2 {
		t.Errorf("ranks %d and %d", a.EffectiveRank(), b.EffectiveRank())
	}
	sim.cancelJob(n.name, "j-z")
	if a.EffectiveRank() != 2 || a.LatestEnd != clock.Forever {
		t.Errorf("rank %d, end by %v, though nothing needs it in time", a.EffectiveRank(), a.LatestEnd)
	}
}

// The four minutes within which a job has to start, and its objectives, count from the completion
// of its last dependency, for the next leader too.
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
	ended := sim.now
	sim.crashNode(leaderNode.name)
	leaderNode = sim.waitForLeader()
	sim.advanceUntil(20*time.Second, func() bool { return sim.activeTaskCount("j-b") == 1 })
	b := leaderNode.leader.Jobs["j-b"]
	if from := b.EligibleAt + leaderNode.bootedAt; from < ended-time.Second || from > ended+time.Second {
		t.Errorf("its times count from %v, not %v", from, ended)
	}
	if b.AcceptedAt+leaderNode.bootedAt > 20*time.Second {
		t.Errorf("accepted at %v", b.AcceptedAt+leaderNode.bootedAt)
	}
}

// A job with pending dependencies adds nothing to the backlog until the last dependency is about to
// complete: machines for it are then rented just in time to boot.
func TestNextStageIsPlannedInTime(t *testing.T) {
	sim, n := newPipelineSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	a := jobSpec("j-a", 1)
	a.EstimatedSeconds = 60
	sim.submitAccepted(n.name, a)
	sim.advanceUntil(20*time.Second, func() bool { return sim.activeTaskCount("j-a") == 1 })
	sim.advance(time.Second)
	alone := requiredCores(n.leader, 1000)
	sim.submitAccepted(n.name, dependentSpec("j-b", 200, "j-a"))
	sim.submitAccepted(n.name, dependentSpec("j-c", 200, "j-a", "j-b")) // also depends on j-b
	if got := requiredCores(n.leader, 1000); got > alone {
		t.Errorf("%v cores are planned for work that waits, %v without it", got, alone)
	}
	sim.advance(56 * time.Second) // a machine boots in 5 s
	due := n.leader.DueFrom(n.leader.Jobs["j-b"], n.now) - n.now
	if got, want := requiredCores(n.leader, 1000), 200*5/due.Seconds(); got < want || got > 2*want {
		t.Errorf("%v cores are planned for the next stage, not %v", got, want)
	}
}

// A stage that the new leader has released does not wait for machines whose reconciliation holds up
// older jobs: no earlier leader can have started it.
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
	silenced := 0
	for _, worker := range sim.workers {
		if !slices.ContainsFunc(worker.tasks, func(t *fakeTask) bool { return jobIDOf(t.taskKey) == "j-a" }) {
			worker.unreachable = true
			silenced++
		}
	}
	sim.cloud.rejectReturns = true // or a return would reconcile them sooner
	sim.crashNode(first.name)
	leaderNode := sim.waitForLeader()
	took := sim.now
	if !sim.advanceUntil(30*time.Second, func() bool { return sim.activeTaskCount("j-b") == 1 }) || silenced == 0 {
		t.Fatal("not started")
	}
	if leaderNode.leader.ReconciledOnce {
		t.Errorf("started only when all machines were accounted for, %v after the takeover", sim.now-took)
	}
}

// Jobs with pending dependencies add nothing to the cost of a scheduling pass or of a heartbeat.
func TestPendingDependenciesCostNothing(t *testing.T) {
	sim, n := newPipelineSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	sim.submitAccepted(n.name, jobSpec("j-0", 1))
	sim.advanceUntil(20*time.Second, func() bool { return sim.activeTaskCount("j-0") == 1 })
	cost := func() int {
		at := n.leader.CandidatesExamined
		sim.advance(15 * time.Second)
		return n.leader.CandidatesExamined - at
	}
	before := cost()
	for i := 1; i < 200; i++ {
		sim.submitAccepted(n.name, dependentSpec(fmt.Sprintf("j-%d", i), 50, fmt.Sprintf("j-%d", i/2)))
	}
	if got := cost(); got > before+before/4 || len(n.leader.JobsByAge()) != 1 {
		t.Errorf("looked at %d with 200 jobs that wait, %d without; %d are served", got, before,
			len(n.leader.JobsByAge()))
	}
}
