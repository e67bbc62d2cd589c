package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// A job runs each of its tasks once and becomes done. Repeated submissions, also of the finished
// job, get 200, and machines without work are returned to the cloud.
func TestJobRunsToDone(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	follower := sim.followers()[0]
	if r := sim.submit(follower, jobSpec("j-1", 20)); r.Status != 201 {
		t.Fatalf("submission: got status %d, want 201", r.Status)
	}
	if r := sim.submit(follower, jobSpec("j-1", 20)); r.Status != 200 {
		t.Fatalf("repeated submission: got status %d, want 200", r.Status)
	}
	sim.waitForJobState("j-1", protocol.JobDone, 90*time.Second)
	for i := range 20 {
		if n := sim.startCounts[fmt.Sprintf("j-1/%d", i)]; n != 1 {
			t.Fatalf("task %d started %d times, want once", i, n)
		}
	}
	if r := sim.submit(follower, jobSpec("j-1", 20)); r.Status != 200 {
		t.Fatalf("submission of a finished job: got status %d, want 200", r.Status)
	}
	if !sim.advanceUntil(5*time.Minute, func() bool { return len(sim.cloud.hosts) == 0 }) {
		t.Fatalf("%d idle machines are kept, want none", len(sim.cloud.hosts))
	}
}

// Checks the invariants forgotten and went_back: after all controllers have crashed at once, every
// node still reports accepted jobs as accepted and terminal jobs in their terminal state.
func TestJobStatesSurviveFullRestart(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	sim.submit("n0", jobSpec("j-1", 1))
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	sim.submit("n1", jobSpec("j-2", 2))
	if r := sim.cancelJob("n2", "j-2"); r.Status != 200 {
		t.Fatalf("cancellation of j-2: got status %d, want 200", r.Status)
	}
	sim.submit("n1", jobSpec("j-3", 1))
	for _, name := range sim.names {
		sim.crashNode(name)
	}
	for _, name := range sim.names {
		sim.restartNode(name)
	}
	for _, name := range sim.names {
		for id, want := range map[string]protocol.JobState{"j-1": protocol.JobDone,
			"j-2": protocol.JobCancelled, "j-3": protocol.JobQueued} {
			if code, s := sim.queryJob(name, id); code != 200 || s.State != want {
				t.Fatalf("query of %s at %s: got status %d, state %q; want 200, %q", id, name, code, s.State, want)
			}
		}
		if r := sim.submit(name, jobSpec("j-1", 1)); r.Status != 200 && r.Status != 503 {
			t.Fatalf("repeated submission at %s: got status %d, want 200 or 503", name, r.Status)
		}
	}
	sim.waitForJobState("j-3", protocol.JobDone, 60*time.Second)
}

// Checks the invariants invented and forgotten: a node replies 404 only after the key-value store
// has confirmed that it has no record of the job. While the store is down it replies 503.
func TestUnknownJobs(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	for _, n := range sim.names {
		if code, _ := sim.queryJob(n, "j-404"); code != 404 {
			t.Fatalf("query of an unknown job at %s: got status %d, want 404", n, code)
		}
	}
	sim.store.setDown(true)
	sim.advance(3 * time.Second)
	for _, n := range sim.names {
		if code, _ := sim.queryJob(n, "j-404"); code != 503 {
			t.Fatalf("query of an unknown job at %s during a store outage: got status %d, want 503", n, code)
		}
	}
}

// A leader that crashes after the write of a submission, but before the reply, leaves a user who
// does not know the outcome. The repeated submission is recognized and gets 200, and the job runs.
func TestCrashBetweenWriteAndResponse(t *testing.T) {
	sim := newSimulation(t, 3)
	firstLeader := sim.waitForLeader()
	job := jobSpec("j-1", 1)
	sim.jobSpecs["j-1"] = job
	sim.sendRequest(firstLeader.name, Request{Kind: protocol.RequestSubmit, JobID: "j-1", Job: &job}, func(Reply) {})
	if !sim.advanceUntil(time.Second, func() bool { return sim.store.keys[storage.JobKey("j-1")].ModRevision != 0 }) {
		t.Fatal("the record of j-1 was not written within 1 s")
	}
	sim.crashNode(firstLeader.name)
	if r := sim.submit(sim.followers()[0], job); r.Status != 200 {
		t.Fatalf("repeated submission: got status %d, want 200", r.Status)
	}
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
}

// Checks the invariant ran_twice: a new leader learns of the running tasks from heartbeats and does
// not start them again.
func TestTakeoverKeepsRunningTasks(t *testing.T) {
	sim, firstLeader := newRunningSimulation(t, 3, 40*time.Second, 2, 8)
	sim.crashNode(firstLeader.name)
	sim.waitForLeader()
	sim.waitForJobState("j-1", protocol.JobDone, 90*time.Second)
	for i := range 8 {
		if n := sim.startCounts[fmt.Sprintf("j-1/%d", i)]; n != 1 {
			t.Fatalf("task %d started %d times, want once", i, n)
		}
	}
}

// Checks the invariant ran_twice: a machine that sends no heartbeat to the new leader may still run
// tasks, so jobs accepted before the takeover wait until the machine's worker lease has expired. A job
// accepted after the takeover can't have tasks on the machine and must not wait.
func TestTakeoverWaitsForSilentMachine(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 200 * time.Second }
	firstLeader := sim.waitForLeader()
	sim.submitAndStart(firstLeader.name, jobSpec("j-1", 4), 4)
	var silentWorker *fakeWorker
	for _, worker := range sim.workers {
		if len(worker.tasks) > 0 {
			silentWorker = worker
		}
	}
	sim.cloud.rejectReturns = true // otherwise the return to the cloud would reconcile the machine sooner
	sim.crashNode(firstLeader.name)
	silentWorker.unreachable = true
	sim.waitForLeader()
	takeoverAt := sim.now
	sim.cloud.rentMachine("c4", "a", true)
	sim.submit(sim.leaderName(), jobSpec("j-2", 1))
	if !sim.advanceUntil(8*time.Second, func() bool { return sim.activeTaskCount("j-2") == 1 }) {
		t.Fatal("no task of the new job j-2 runs after 8 s, although none can run on the silent machine")
	}
	if blockedBy := sim.nodes[sim.leaderName()].leader.Jobs["j-1"].BlockedBy; blockedBy != cluster.WaitReconciliation {
		t.Fatalf("the old job j-1 is blocked by %q, want %q", blockedBy, cluster.WaitReconciliation)
	}
	if !sim.advanceUntil(90*time.Second, func() bool { return sim.startCounts["j-1/0"] == 2 }) {
		t.Fatal("the lost tasks of j-1 did not start again within 90 s")
	}
	if sim.now-takeoverAt < config.Seconds(sim.cfg.Workers.LeaseS)-sim.nodes[sim.leaderName()].leaderLease() {
		t.Fatalf("the lost tasks started again %v after the takeover, before the worker lease had expired",
			sim.now-takeoverAt)
	}
}

// Checks the invariant ran_twice: a worker begins a new epoch when it restarts or loses its lease. A
// heartbeat of an epoch that was declared lost never gets 200, otherwise the tasks of that epoch would
// continue beside their second attempts.
func TestFencedEpochIsRejected(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 300 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 1), 1)
	var lostWorker *fakeWorker
	for _, worker := range sim.workers {
		if len(worker.tasks) > 0 {
			lostWorker = worker
		}
	}
	lateHeartbeat := lostWorker.heartbeat()
	lostWorker.unreachable, sim.cloud.unavailable = true, true
	if !sim.advanceUntil(30*time.Second, func() bool { return !leaderNode.leader.Machines[lostWorker.name].Up }) {
		t.Fatal("the machine that sends no heartbeats was not declared lost within 30 s")
	}
	lateHeartbeat.Sequence += 100
	if r := sim.requestAndWait(leaderNode.name,
		Request{Kind: protocol.RequestHeartbeat, Heartbeat: lateHeartbeat}); r.Status == 200 {
		t.Fatalf("a heartbeat of the lost epoch %d got 200", lateHeartbeat.Epoch)
	}
}

// A heartbeat that arrives after a newer one of its worker changes nothing and gets no 200. The late
// heartbeat of this test reports no tasks: if it were processed, the running task would count as lost
// and start again.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 100 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 1), 1)
	sim.advance(5 * time.Second)
	for _, worker := range sim.workers {
		machine := leaderNode.leader.Machines[worker.name]
		attemptCount := len(machine.Attempts)
		lateHeartbeat := &protocol.WorkerHeartbeat{Machine: worker.name, Type: worker.machineType, Zone: worker.zone,
			Spot: worker.spot, Epoch: worker.epoch, Sequence: 1, FencingToken: leaderNode.leader.term}
		if r := sim.requestAndWait(leaderNode.name,
			Request{Kind: protocol.RequestHeartbeat, Heartbeat: lateHeartbeat}); r.Status == 200 {
			t.Fatalf("a late heartbeat of %s got 200", worker.name)
		}
		if len(machine.Attempts) != attemptCount {
			t.Fatalf("%s has %d attempts after a late heartbeat, want %d", worker.name, len(machine.Attempts),
				attemptCount)
		}
	}
	sim.advance(10 * time.Second)
	if sim.startCounts["j-1/0"] != 1 {
		t.Fatalf("task j-1/0 started %d times, want once", sim.startCounts["j-1/0"])
	}
}

// A start command in a heartbeat response that is lost was not executed. The leader sends the same
// attempt again, and the task starts once.
func TestLostStartCommandIsResent(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.submit(leaderNode.name, jobSpec("j-1", 1))
	if !sim.advanceUntil(30*time.Second, func() bool { return len(sim.workers) > 0 }) {
		t.Fatal("no machine is up after 30 s")
	}
	for _, worker := range sim.workers {
		worker.dropResponses = true
	}
	sim.advance(9 * time.Second)
	for _, worker := range sim.workers {
		worker.dropResponses = false
	}
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	if sim.startCounts["j-1/0"] != 1 {
		t.Fatalf("task j-1/0 started %d times, want once", sim.startCounts["j-1/0"])
	}
}

// Checks the invariant ran_cancelled: a start command is on its way to a worker when the user
// cancels the job. The task must not keep running.
func TestCancelWithStartInFlight(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 300 * time.Second }
	sim.waitForLeader()
	sim.submit("n0", jobSpec("j-1", 6))
	startInFlight := func() bool {
		for _, machine := range sim.nodes[sim.leaderName()].leader.Machines {
			for _, attempt := range machine.Attempts {
				if attempt.Phase == cluster.AttemptSent {
					return true
				}
			}
		}
		return false
	}
	if !sim.advanceUntil(60*time.Second, startInFlight) {
		t.Fatal("no start command was sent within 60 s")
	}
	if r := sim.cancelJob(sim.followers()[0], "j-1"); r.Status != 200 {
		t.Fatalf("cancellation of j-1: got status %d, want 200", r.Status)
	}
	sim.advance(8 * time.Second)
	if n := sim.activeTaskCount("j-1"); n != 0 {
		t.Fatalf("%d tasks of the cancelled job run on machines, want none", n)
	}
	sim.waitForJobState("j-1", protocol.JobCancelled, time.Second)
	if r := sim.cancelJob("n0", "j-404"); r.Status != 404 {
		t.Fatalf("cancellation of an unknown job: got status %d, want 404", r.Status)
	}
}

// Checks the invariants not_done and went_back: no user is told that a job is cancelled before the
// cancellation is durable.
func TestCancelWaitsForTheWrite(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	sim.submit(leaderNode.name, jobSpec("j-1", 4))
	sim.store.setDown(true)
	var reply *Reply
	sim.sendRequest(leaderNode.name, Request{Kind: protocol.RequestCancel, JobID: "j-1"}, func(r Reply) { reply = &r })
	sim.advance(4 * time.Second)
	if reply != nil && reply.Status == 200 {
		t.Fatal("the cancellation was confirmed while the store was down and nothing was written")
	}
	sim.store.setDown(false)
	sim.waitForJobState("j-1", protocol.JobCancelled, 10*time.Second)
}

// A worker is told to forget a result only after the task's bit in the bitmap record is durable.
// Until then the worker has the only copy of the result.
func TestForgetOnlyAfterDoneIsDurable(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(key string, _ int) time.Duration {
		if key == "j-1/0" {
			return 2 * time.Second
		}
		return 60 * time.Second
	}
	firstLeader := sim.waitForLeader()
	sim.submitAndStart(firstLeader.name, jobSpec("j-1", 2), 2)
	sim.store.setDown(true)
	sim.advance(6 * time.Second)
	for _, worker := range sim.workers {
		if len(worker.forgottenTasks) > 0 {
			t.Fatalf("%s has forgotten the results of %v before their bits were written", worker.name,
				worker.forgottenTasks)
		}
	}
	sim.crashNode(firstLeader.name)
	sim.store.setDown(false)
	sim.waitForJobState("j-1", protocol.JobDone, 120*time.Second)
	if sim.startCounts["j-1/0"] != 1 {
		t.Fatalf("the completed task j-1/0 started %d times, want once", sim.startCounts["j-1/0"])
	}
}

// Checks the invariant quota: tasks that an unreachable machine may still run count against the
// team's quota until they have certainly ended. The invariant checker compares the quota with the
// running tasks at each step.
func TestQuotaCountsUnreachableTasks(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 30 * time.Second }
	sim.waitForLeader()
	job := jobSpec("j-1", 40)
	job.Team = "team" // its quota is 16 cores
	sim.submit("n0", job)
	quotaFilled := func() bool { return sim.activeTaskCount("j-1") == 16 }
	if !sim.advanceUntil(60*time.Second, quotaFilled) {
		t.Fatalf("%d tasks of j-1 run, want the 16 of the team's quota", sim.activeTaskCount("j-1"))
	}
	for _, worker := range sim.workers {
		if len(worker.tasks) > 1 {
			worker.unreachable = true
			break
		}
	}
	sim.crashNode(sim.leaderName())
	sim.waitForLeader()
	// A job accepted after the takeover may start at once, but must not use the part of the quota
	// that tasks on the unreachable machine may still use.
	secondJob := jobSpec("j-2", 16)
	secondJob.Team = "team"
	sim.cloud.rejectReturns = true
	sim.startMachines(10)
	sim.submit(sim.leaderName(), secondJob)
	sim.advance(20 * time.Second)
	sim.cloud.rejectReturns = false
	sim.waitForJobState("j-1", protocol.JobDone, 6*time.Minute)
}

// Checks the invariant wrong_place: tasks are placed by the zone that the job requires, by whether
// it allows spot machines, and by where its other tasks run: all in one zone, or at most half of
// them, rounded up, in one zone. The invariant checker checks the machine types too.
func TestPlacementConstraints(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 20 * time.Second }
	leaderNode := sim.waitForLeader()
	zoneB, onDemand, sameZone, spread := jobSpec("j-1", 3), jobSpec("j-2", 3), jobSpec("j-3", 6), jobSpec("j-4", 5)
	zoneB.Zone = "b"
	onDemand.SpotAllowed = false
	sameZone.SameZone = true
	spread.Spread = true
	for _, job := range []protocol.Job{zoneB, onDemand, sameZone, spread} {
		sim.submit(leaderNode.name, job)
	}
	startedJobs := map[string]bool{}
	for range 600 {
		sim.advance(100 * time.Millisecond)
		tasksByZone := map[string]map[string]int{}
		for _, worker := range sim.workers {
			for _, task := range worker.tasks {
				jobID := jobIDOf(task.taskKey)
				if task.state == protocol.TaskExited {
					continue
				}
				startedJobs[jobID] = true
				if tasksByZone[jobID] == nil {
					tasksByZone[jobID] = map[string]int{}
				}
				tasksByZone[jobID][worker.zone]++
				if (jobID == "j-1" && worker.zone != "b") || (jobID == "j-2" && worker.spot) {
					t.Fatalf("%s runs on %s in zone %s, spot %v; want zone b for j-1, no spot machine for j-2",
						task.taskKey, worker.name, worker.zone, worker.spot)
				}
			}
		}
		if len(tasksByZone["j-3"]) > 1 {
			t.Fatalf("tasks of j-3 by zone: got %v, want all in one zone", tasksByZone["j-3"])
		}
		for _, count := range tasksByZone["j-4"] {
			if count > 3 {
				t.Fatalf("tasks of j-4 by zone: got %v, want at most 3 of the 5 in one zone", tasksByZone["j-4"])
			}
		}
	}
	if len(startedJobs) != 4 {
		t.Fatalf("only the jobs %v started, want all 4", startedJobs)
	}
}

// The checks before the start of a task are made in a fixed order: the scheduler slots are checked
// before the team quota. BlockedBy of the job names the first check that fails.
func TestAdmissionOrder(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 100 * time.Second }
	leaderNode := sim.waitForLeader()
	spec := jobSpec("j-1", 40)
	spec.Team = "team"
	sim.submit(leaderNode.name, spec)
	if !sim.advanceUntil(60*time.Second, func() bool { return sim.activeTaskCount("j-1") == 16 }) {
		t.Fatalf("%d tasks run after 60 s, want the 16 of the team's quota", sim.activeTaskCount("j-1"))
	}
	leaderNode.leader.Schedule()
	job := leaderNode.leader.Jobs["j-1"]
	if job.BlockedBy != cluster.WaitTeamQuota {
		t.Fatalf("j-1 is blocked by %q, want %q", job.BlockedBy, cluster.WaitTeamQuota)
	}
	leaderNode.Node.settings.SlotsPerCore, leaderNode.Node.settings.BaseSlots = 0.01, 0
	leaderNode.leader.InvalidateMachineIndex()
	leaderNode.leader.Schedule()
	if job.BlockedBy != cluster.WaitSlots {
		t.Fatalf("j-1 is blocked by %q, want %q, which is checked first", job.BlockedBy, cluster.WaitSlots)
	}
}

// Slots that are reserved for latency-sensitive work are lent to batch work only until
// latency-sensitive work has been pending for longer than the setting BorrowWaitS.
func TestBorrowedSlotsAreReclaimed(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	batch, urgent := jobSpec("j-1", 10), jobSpec("j-2", 1)
	urgent.Priority = "urgent"
	sim.submit(leaderNode.name, batch)
	sim.submit(leaderNode.name, urgent)
	leader := leaderNode.leader
	if leader.LatencySensitiveWorkDelayed(leader.BuildQueue()) {
		t.Fatal("batch work stops borrowing slots at once, want it to stop after BorrowWaitS")
	}
	leader.Jobs["j-2"].PendingSince = leader.node.now - config.Seconds(leader.node.settings.BorrowWaitS) - time.Second
	if !leader.LatencySensitiveWorkDelayed(leader.BuildQueue()) {
		t.Fatal("batch work still borrows slots after latency-sensitive work has been pending for BorrowWaitS")
	}
	if first := leader.BuildQueue()[0].Job.Spec.ID; first != "j-2" {
		t.Fatalf("%s is first in the queue, want j-2", first)
	}
}

// A failed task is retried at once on another machine. A machine on which every task fails is marked
// unhealthy and returned to the cloud.
func TestUnhealthyMachineIsReturned(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 3 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.startMachines(3)
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 16), 8)
	var faulty *fakeWorker
	for _, worker := range sim.workers {
		if len(worker.tasks) > 0 {
			faulty = worker
		}
	}
	faulty.faulty = true
	sim.submit(leaderNode.name, jobSpec("j-2", 16))
	if !sim.advanceUntil(60*time.Second, func() bool { return sim.cloud.hosts[faulty.name] == nil }) {
		t.Fatalf("the faulty machine %s was not returned within 60 s", faulty.name)
	}
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	sim.waitForJobState("j-2", protocol.JobDone, 60*time.Second)
}

// A job whose tasks fail on every machine is itself at fault: no machine is marked unhealthy because
// of it, and other work continues.
func TestFailingJobMarksNoMachineUnhealthy(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 12), 4)
	failingJob := jobSpec("j-9", 6)
	sim.submit(leaderNode.name, failingJob)
	failRunningTasks := func() bool {
		for _, worker := range sim.workers {
			for _, task := range worker.tasks {
				if jobIDOf(task.taskKey) == "j-9" && task.state == protocol.TaskRunning {
					task.state, task.exitReason, worker.stateChanged = protocol.TaskExited, protocol.ExitFailed, true
				}
			}
		}
		return false
	}
	sim.advanceUntil(40*time.Second, failRunningTasks)
	if !leaderNode.leader.Jobs["j-9"].FailsEverywhere {
		t.Fatal("the job j-9 is not marked as failing everywhere after 40 s")
	}
	for _, machine := range leaderNode.leader.Machines {
		if machine.Unhealthy {
			t.Fatalf("%s is marked unhealthy because of the failing job j-9", machine.Name)
		}
	}
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	if r := sim.cancelJob(leaderNode.name, "j-9"); r.Status != 200 {
		t.Fatalf("cancellation of j-9: got status %d, want 200", r.Status)
	}
}

// A preemption notice drains the machine: tasks that write checkpoints are stopped early enough to
// save one, the machine gets no more work and is returned to the cloud, and the tasks continue elsewhere.
func TestPreemptionNoticeDrainsMachine(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 100 * time.Second }
	leaderNode := sim.waitForLeader()
	job := jobSpec("j-1", 4)
	job.EstimatedSeconds, job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = 100, 10, 3
	sim.submitAndStart(leaderNode.name, job, 4)
	var preempted *fakeWorker
	for _, worker := range sim.workers {
		if len(worker.tasks) > 0 {
			preempted = worker
		}
	}
	noticeSeconds := 20.0
	preempted.preemptionNotice, preempted.stateChanged = &noticeSeconds, true
	if !sim.advanceUntil(10*time.Second, func() bool { return len(preempted.stopGraces) > 0 }) {
		t.Fatal("no task was stopped within 10 s of the preemption notice")
	}
	for _, grace := range preempted.stopGraces {
		if grace < job.CheckpointSaveSeconds {
			t.Fatalf("a task was stopped with a grace period of %v s, want at least %v s for its checkpoint", grace,
				job.CheckpointSaveSeconds)
		}
	}
	if !sim.advanceUntil(20*time.Second, func() bool { return sim.cloud.hosts[preempted.name] == nil }) {
		t.Fatalf("the drained machine %s was not returned within 20 s", preempted.name)
	}
	if !sim.advanceUntil(40*time.Second, func() bool { return sim.activeTaskCount("j-1") == 4 }) {
		t.Fatalf("%d tasks of j-1 run elsewhere after 40 s, want 4", sim.activeTaskCount("j-1"))
	}
}

// The cloud is down and then has no spot machines. The leader must keep the demand until it can be met,
// try other offers, use no request id twice, and not rent a burst of machines after the outage.
func TestCloudFaults(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.cloud.unavailable = true
	sim.submit(leaderNode.name, jobSpec("j-1", 4))
	sim.advance(20 * time.Second)
	sim.cloud.unavailable, sim.cloud.noSpot = false, true
	sim.waitForJobState("j-1", protocol.JobDone, 90*time.Second)
	if len(sim.cloud.hosts) > 4 {
		t.Fatalf("%d machines rented after the outage, want at most 4", len(sim.cloud.hosts))
	}
}

// A worker that can't reach the leader goes back to the follower that redirected it with 421. The
// follower then relays the worker's heartbeats, so that the worker keeps its lease.
func TestFollowerRelaysHeartbeats(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	follower := sim.followers()[0]
	heartbeat := &protocol.WorkerHeartbeat{Machine: "m-9", Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
	sendHeartbeat := func() Reply {
		heartbeat.Sequence++
		return sim.requestAndWait(follower, Request{Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat})
	}
	if r := sendHeartbeat(); r.Status != 421 {
		t.Fatalf("first heartbeat of m-9: got status %d, want 421", r.Status)
	}
	sim.advance(time.Second)
	if r := sendHeartbeat(); r.Status != 200 {
		t.Fatalf("heartbeat of m-9 after the redirect: got status %d, want 200", r.Status)
	}
	if leaderNode.leader.Machines["m-9"] == nil {
		t.Fatal("the leader does not know m-9, whose heartbeat the follower has answered")
	}
}

// A machine on which tasks run far longer than the job's other tasks elsewhere is drained, and tasks
// that would complete sooner if started again elsewhere are moved.
func TestSlowMachineIsDrained(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.startMachines(3)
	var slowMachine string
	sim.taskDuration = func(string, int) time.Duration { return 5 * time.Second }
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 24), 8)
	for name, worker := range sim.workers {
		if len(worker.tasks) > 1 && (slowMachine == "" || name < slowMachine) {
			slowMachine = name
		}
	}
	for _, task := range sim.workers[slowMachine].tasks {
		task.endsAt += 200 * time.Second
	}
	if !sim.advanceUntil(30*time.Second, func() bool { return sim.cloud.hosts[slowMachine] == nil }) {
		t.Fatalf("the slow machine %s was not returned within 30 s", slowMachine)
	}
	sim.waitForJobState("j-1", protocol.JobDone, 30*time.Second)
}

// The records of the largest possible job stay within the store's value limit, which the fake store
// checks at each write, and the job's completed tasks survive a takeover.
func TestLargestJob(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return time.Second }
	sim.waitForLeader()
	job := jobSpec("j-1", protocol.MaxTasksPerJob)
	sim.submit("n0", job)
	doneTasks := func() int {
		newLeader := sim.leaderName()
		if newLeader == "" || sim.nodes[newLeader].leader.Jobs["j-1"] == nil {
			return 0
		}
		return sim.nodes[newLeader].leader.Jobs["j-1"].DoneTasks
	}
	if !sim.advanceUntil(40*time.Second, func() bool { return doneTasks() >= 40 }) {
		t.Fatalf("%d tasks are done after 40 s, want at least 40", doneTasks())
	}
	sim.advance(3 * time.Second)
	before := doneTasks()
	sim.crashNode(sim.leaderName())
	newLeader := sim.waitForLeader()
	sim.advance(5 * time.Second)
	if doneTasks() < before*9/10 {
		t.Fatalf("%d tasks are done after the takeover, want at least 90%% of the %d before it", doneTasks(), before)
	}
	if parts := len(newLeader.leader.Jobs["j-1"].BitmapParts); parts < 2 {
		t.Fatalf("the bitmap has %d parts, want at least 2", parts)
	}
}

// The body of a heartbeat may span several lines, but between controllers each line is a message. So
// a follower must forward the parsed heartbeat and not the received bytes.
func TestForwardedHeartbeatIsOneLine(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	follower := sim.nodes[sim.followers()[0]]
	heartbeat, err := protocol.ParseWorkerHeartbeat(
		[]byte("{\"maquina\":\"m-9\",\n\"porte\":\"c4\",\"praca\":\"a\",\"turno\":1,\n\"contagem\":1,\"pecas\":[]}\n"))
	if err != nil {
		t.Fatal(err)
	}
	found := false
	for range 2 { // the second heartbeat is forwarded, as from a worker that can't reach the leader
		for _, effect := range follower.Step(sim.now-follower.bootedAt+step,
			[]Command{Request{Origin: Origin{RequestID: 99}, Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}}) {
			outbound, ok := effect.(OutboundMessage)
			if !ok {
				continue
			}
			if _, forwarded := outbound.Message.(protocol.ForwardedRequest); forwarded {
				found = true
				line, err := protocol.EncodePeerMessage(outbound.Message)
				if err != nil || strings.Contains(string(line), "\n") {
					t.Fatalf("the forwarded heartbeat is not one line: %q, error %v", line, err)
				}
			}
		}
	}
	if !found {
		t.Fatal("the follower did not forward the heartbeat")
	}
}

// The records of a hundred machines that boot together use up the store's write rate. When submissions
// had to wait for these writes, the submissions were rejected, so they take precedence.
func TestSubmissionsPrecedeMachineRecords(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cfg.Store.WritesPerS = 25
	for _, name := range sim.names {
		sim.startNode(name)
	}
	sim.waitForLeader()
	sim.store.limitWriteRate = true
	for i := range 100 {
		sim.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	sim.advanceUntil(10*time.Second, func() bool { return len(sim.workers) == 100 })
	sentAt, answered := sim.now, 0
	for i := range 9 {
		job := jobSpec(fmt.Sprintf("j-%d", i), 3)
		sim.jobSpecs[job.ID] = job
		sim.sendRequest(sim.names[i%3], Request{Kind: protocol.RequestSubmit, JobID: job.ID, Job: &job}, func(r Reply) {
			if r.Status != 201 {
				t.Errorf("submission of %s: got status %d after %v, want 201", job.ID, r.Status, sim.now-sentAt)
			}
			answered++
		})
	}
	if !sim.advanceUntil(time.Second, func() bool { return answered == 9 }) {
		t.Fatalf("%d of 9 submissions got a reply within a second, want all", answered)
	}
}

// Hundreds of machines that boot together must be recorded by name before their first task. With one
// write for each machine, the store's write rate would delay the tasks, so machines share records. A
// new leader reads these records, and they are deleted when their machines are gone.
func TestMachineRecordsAreGrouped(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.cfg.Store.WritesPerS = 25
	sim.startNode("n0")
	leaderNode := sim.waitForLeader()
	sim.store.limitWriteRate = true
	for i := range 300 {
		sim.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	ready := func() int {
		count := 0
		for _, machine := range leaderNode.leader.Machines {
			if machine.Schedulable() {
				count++
			}
		}
		return count
	}
	if !sim.advanceUntil(10*time.Second, func() bool { return len(sim.workers) == 300 }) {
		t.Fatalf("%d of 300 machines are up after 10 s", len(sim.workers))
	}
	if !sim.advanceUntil(3*time.Second, func() bool { return ready() == 300 }) {
		t.Fatalf("%d of 300 machines are schedulable 3 s after all of them were up", ready())
	}
	sim.crashNode(leaderNode.name)
	sim.restartNode(leaderNode.name)
	leaderNode = sim.waitForLeader()
	if n := len(leaderNode.leader.Machines); n != 300 {
		t.Fatalf("the new leader has read %d machines, want 300", n)
	}
	if !sim.advanceUntil(5*time.Minute, func() bool { return len(sim.cloud.hosts) == 0 }) {
		t.Fatalf("%d idle machines are kept after 5 min, want none", len(sim.cloud.hosts))
	}
	sim.advance(5 * time.Second)
	for key := range sim.store.keys {
		if strings.HasPrefix(key, storage.MachineGroupPrefix) {
			t.Errorf("the record %s remains although its machines are gone", key)
		}
	}
}

// Records of single machines, as an earlier version wrote them, are still read. A used machine may have
// tasks, so it counts as not reconciled until the leader knows them; an unused machine counts as
// reconciled at once. The record of each machine moves into a group.
func TestSingleMachineRecordsAreMigrated(t *testing.T) {
	sim := newSimulation(t, 1)
	worker := sim.cloud.rentMachine("c4", "a", true)
	sim.cloud.bootTime = time.Hour
	sim.cloud.rentMachine("c4", "a", true) // m-000002 has a record, but never boots
	sim.store.putValue(storage.SingleMachinePrefix+worker.name,
		storage.MachineRecord{Type: "c4", Zone: "a", Spot: true, Used: true})
	sim.store.putValue(storage.SingleMachinePrefix+"m-000002", storage.MachineRecord{Type: "c4", Zone: "a", Spot: true})
	leaderNode := sim.waitForLeader()
	if used, unused := leaderNode.leader.Machines[worker.name], leaderNode.leader.Machines["m-000002"]; used == nil ||
		used.Reconciled || unused == nil || !unused.Reconciled {
		t.Fatalf("used and unused machine: got %+v and %+v, want the first not reconciled and the second reconciled",
			used, unused)
	}
	sim.advance(2 * time.Second)
	for key := range sim.store.keys {
		if strings.HasPrefix(key, storage.SingleMachinePrefix) {
			t.Errorf("the record %s of a single machine was not deleted", key)
		}
	}
	var record storage.MachineGroupRecord
	if json.Unmarshal(sim.store.keys[storage.MachineGroupKey(0)].Value, &record) != nil ||
		!record[worker.name].Used || record["m-000002"].Used {
		t.Errorf("the group record is %+v, want %s used and m-000002 unused", record, worker.name)
	}
}

// A cluster that restarts while the cloud is down accepts jobs and uses its machines, because the
// machine types are in the key-value store. A job that fits no stored type is not rejected permanently,
// because the cloud may have added types in the meantime.
func TestRestartDuringCloudOutage(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	sim.startMachines(2)
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 4), 4)
	sim.cloud.unavailable = true
	for _, name := range sim.names {
		sim.crashNode(name)
	}
	sim.advance(time.Second)
	for _, name := range sim.names {
		sim.restartNode(name)
	}
	sim.waitForLeader()
	sim.advance(time.Second)
	if r := sim.submit(sim.leaderName(), jobSpec("j-2", 4)); r.Status != 201 {
		t.Fatalf("submission while the cloud is down: got status %d, want 201", r.Status)
	}
	sim.waitForJobState("j-2", protocol.JobDone, time.Minute)
	largeJob := jobSpec("j-3", 1)
	largeJob.Cores = 64
	if r := sim.submit(sim.followers()[0], largeJob); r.Status != 503 {
		t.Errorf("submission of a job that fits no stored type, while the cloud is down: got status %d, want 503",
			r.Status)
	}
	sim.cloud.unavailable = false
	sim.advance(time.Minute)
	if r := sim.submit(sim.followers()[0], largeJob); r.Status != 422 {
		t.Errorf("submission of a job that fits no type of the current catalog: got status %d, want 422", r.Status)
	}
}

// A few long tasks that write checkpoints must not keep a large surplus machine in use. They move to
// other machines with free cores, if that saves enough machine time and violates no objective.
func TestCheckpointingTasksAreConsolidated(t *testing.T) {
	for _, testCase := range []struct {
		name   string
		change func(from, to *cluster.Machine, job *cluster.Job)
		moves  bool
	}{
		{"2 of 32 cores are used for minutes", func(*cluster.Machine, *cluster.Machine, *cluster.Job) {}, true},
		{"no checkpoints", func(_, _ *cluster.Machine, job *cluster.Job) { job.Spec.CheckpointIntervalSeconds = 0 }, false},
		{"no other machine has free cores", func(_, to *cluster.Machine, _ *cluster.Job) { to.UsedCores = 31 }, false},
		{"tasks are nearly done", func(_, _ *cluster.Machine, job *cluster.Job) { job.Spec.EstimatedSeconds = 62 }, false},
		{"a task has just started", func(from, _ *cluster.Machine, _ *cluster.Job) {
			from.AttemptsInOrder[0].RunningSince += 50 * time.Second
		}, false},
		{"the machine is not surplus", func(from, _ *cluster.Machine, _ *cluster.Job) {
			from.Draining, from.DrainReason = false, ""
		}, false},
	} {
		sim := newSimulation(t, 1)
		sim.cloud.machineTypes = []protocol.MachineType{{Name: "c4", Cores: 32, MemoryGB: 128,
			ImageCacheGB: 40, PullGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}}
		sim.startNode("n0")
		leaderNode := sim.waitForLeader()
		sim.startMachines(2)
		leader := leaderNode.leader
		from, to := leader.Machines["m-000001"], leader.Machines["m-000002"]
		leader.CancelDrain(to)
		from.Draining, from.DrainReason = true, cluster.SurplusCapacity
		from.RentedAt -= time.Hour
		spec := jobSpec("j-1", 2)
		spec.EstimatedSeconds, spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 300, 30, 4
		job := leader.jobRecords.Add(storage.JobRecord{Spec: spec, AcceptedAtMillis: leaderNode.nowUnixMilli()}, 1)
		for i := range 2 {
			leader.PlaceAttempt(&cluster.TaskAttempt{Job: job, TaskIndex: i, Number: leader.NextAttemptNumber(),
				Machine: from, Phase: cluster.AttemptRunning, RunningSince: leaderNode.now - time.Minute})
		}
		testCase.change(from, to, job)
		leader.autoscaler.Consolidate([]*cluster.Machine{to})
		for _, attempt := range from.AttemptsInOrder {
			if (attempt.StopGrace != nil) != testCase.moves {
				t.Errorf("%s: task is moved: got %v, want %v", testCase.name, attempt.StopGrace != nil, testCase.moves)
			} else if testCase.moves && *attempt.StopGrace < spec.CheckpointSaveSeconds {
				t.Errorf("%s: grace period of %v s, want at least %v s for the checkpoint", testCase.name,
					*attempt.StopGrace, spec.CheckpointSaveSeconds)
			}
		}
	}
}

// A job whose record exceeds the value limit can never be stored, so it is rejected permanently. When
// it got 503 instead, its user submitted it again and again.
func TestJobTooLargeToStore(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.startMachines(1)
	job := jobSpec("j-1", 1)
	for i := range 1000 {
		job.MachineTypes = append(job.MachineTypes, fmt.Sprintf("type-%d", i))
	}
	if r := sim.submit(leaderNode.name, job); r.Status != 400 {
		t.Errorf("submission of a job too large to store: got status %d, want 400", r.Status)
	}
}

// Once the terminal record of a job is in the key-value store, any node may report the terminal
// state, even before the leader that wrote the record has the response. The leader must not report an
// older state then, neither of the job nor of the jobs that depend on it.
func TestTerminalStateIsConsistentAcrossNodes(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	sim.startMachines(1)
	sim.cloud.capacity = 1
	sim.waitForNewVersion()
	sim.submit(leaderNode.name, jobSpec("j-1", 400))
	sim.submit(leaderNode.name, dependentSpec("j-2", 1, "j-1"))
	sim.submit(leaderNode.name, dependentSpec("j-3", 1, "j-2"))
	sim.advance(2 * time.Second)
	sim.store.holdTransaction = func(_ string, txn storage.Txn) bool { // the write is executed, but gets no response
		for _, write := range txn.Writes {
			if write.PutKey == storage.TerminalKey("j-1") {
				sim.store.holdTransaction = nil
				sim.store.executeTransaction(txn)
				return true
			}
		}
		return false
	}
	sim.sendRequest(leaderNode.name, Request{Kind: protocol.RequestCancel, JobID: "j-1"}, func(Reply) {})
	if !sim.advanceUntil(2*time.Second,
		func() bool { return sim.store.keys[storage.TerminalKey("j-1")].ModRevision > 0 }) {
		t.Fatal("the terminal record of j-1 was not written within 2 s")
	}
	sim.submitAccepted(sim.followers()[0], dependentSpec("j-4", 1, "j-3"))
	for _, id := range []string{"j-1", "j-2", "j-3", "j-4"} { // the dependents of j-1 are cancelled with it
		if _, status := sim.queryJob(leaderNode.name, id); status.State != protocol.JobCancelled {
			t.Fatalf("the leader reports %s as %q after the terminal record was written, want %q", id, status.State,
				protocol.JobCancelled)
		}
	}
}

// Checks the invariant quota: the size of a machine whose type is no longer in the catalog is
// unknown, so the tasks that may still run on the machine fill the quotas of all teams until the
// leader has reconciled it, that is, knows its tasks. These tasks once counted as nothing.
func TestQuotaCountsDiscontinuedMachineTypes(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	leaderNode := sim.waitForLeader()
	job := jobSpec("j-1", 16) // the team's quota
	job.Team, job.EstimatedSeconds = "team", 3600
	sim.submitAndStart(leaderNode.name, job, 16)
	sim.cloud.machineTypes = []protocol.MachineType{{Name: "c9", Cores: 4, MemoryGB: 16, ImageCacheGB: 40,
		PullGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}}
	sim.store.keys[storage.CatalogKey] = storage.Item{Key: storage.CatalogKey,
		Value: storage.Encode(protocol.Catalog{Types: sim.cloud.machineTypes}), ModRevision: 1}
	sim.cloud.rejectReturns = true
	for _, worker := range sim.workers {
		worker.hung = true
	}
	for _, name := range sim.names {
		sim.restartAfter(name, 100*time.Millisecond)
	}
	newLeader := sim.waitForLeader()
	job = jobSpec("j-2", 4)
	job.Team, job.EstimatedSeconds = "team", 3600
	sim.submit(newLeader.name, job)
	sim.advance(config.Seconds(sim.cfg.Workers.LeaseS) - 4*time.Second)
	if n := sim.activeTaskCount("j-2"); n > 0 {
		t.Fatalf("%d tasks of j-2 run, want none beside the 16 of j-1 that may still run", n)
	}
	sim.cloud.rejectReturns = false
	sim.advance(30 * time.Second)
	if n := sim.activeTaskCount("j-1") + sim.activeTaskCount("j-2"); n == 0 {
		t.Fatal("no task runs 30 s after the machines can be returned: the quota is still in use")
	}
}

// A job with an error of its own fails on every machine. After its first failures it is retried with
// one task at a time, so that it uses next to no capacity. It stays accepted until its user cancels
// it, and runs once the error is corrected outside of the job, in its input for instance. A faulty
// machine is still detected beside such jobs.
func TestFailingJobIsRetriedWithOneTask(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 2 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.startMachines(6)
	sim.failingJobs["j-1"], sim.failingJobs["j-2"] = true, true
	sim.submit(leaderNode.name, jobSpec("j-1", 60))
	sim.submit(leaderNode.name, jobSpec("j-2", 60))
	sim.advance(20 * time.Second)
	failingStarts := func() (n int) {
		for task, times := range sim.startCounts {
			if sim.failingJobs[jobIDOf(task)] {
				n += times
			}
		}
		return n
	}
	before := failingStarts()
	sim.advance(2 * time.Minute)
	if n := failingStarts() - before; n < 4 || n > 16 {
		t.Errorf("%d starts of the two failing jobs in 2 min, want 4 to 16; %d starts before", n, before)
	}
	sim.submitAndStart(leaderNode.name, jobSpec("j-3", 30), 8)
	faulty := sim.sortedWorkers()[0]
	faulty.faulty = true
	sim.waitForJobState("j-3", protocol.JobDone, time.Minute)
	for name, machine := range leaderNode.leader.Machines {
		if machine.Unhealthy && name != faulty.name {
			t.Errorf("%s is marked unhealthy, want only %s", name, faulty.name)
		}
	}
	delete(sim.failingJobs, "j-2")
	sim.waitForJobState("j-2", protocol.JobDone, 2*time.Minute)
	if r := sim.cancelJob(leaderNode.name, "j-1"); r.Status != 200 {
		t.Fatalf("cancellation of j-1: got status %d, want 200", r.Status)
	}
	sim.advance(time.Second)
	if n := sim.activeTaskCount("j-1"); n > 0 {
		t.Errorf("%d tasks of j-1 run after the cancellation, want none", n)
	}
}

// A small job whose first tasks ran only on faulty machines counts as failing everywhere. As soon as
// there is a machine on which it has not failed, it is retried there, although the faulty machines
// are idle and have its image.
func TestSmallJobOnFaultyMachines(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 2 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.startMachines(4)
	sim.submit(leaderNode.name, jobSpec("j-1", 4))
	var job *cluster.Job
	foundFailing := func() bool {
		for _, worker := range sim.workers {
			worker.faulty = true
		}
		job = leaderNode.leader.Jobs["j-1"]
		return job != nil && job.FailsEverywhere
	}
	if !sim.advanceUntil(time.Minute, foundFailing) {
		t.Fatal("the job j-1 is not marked as failing everywhere after 1 min")
	}
	for name, worker := range sim.workers {
		worker.faulty = job.FailedMachines[name]
	}
	sim.cloud.rentMachine("c4", "a", true)
	if !sim.advanceUntil(config.Seconds(sim.cfg.Workers.LeaseS)+12*time.Second,
		func() bool { return job.DoneTasks > 0 }) {
		t.Fatalf("no task is done after %d failed probes; the job has failed on %v", job.FailedProbes,
			job.FailedMachines)
	}
	sim.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
}

// A healthy job whose first tasks all ran on faulty machines counts as failing everywhere and is
// probed with one task. Once that task has run for clearly longer than the failed ones did, the
// machines were at fault, and the other tasks must start then and not only after it has completed.
func TestHealthyJobStopsProbingEarly(t *testing.T) {
	const taskDuration = 2 * time.Minute
	sim := newSimulation(t, 1)
	sim.cloud.capacity = 8
	sim.taskDuration = func(string, int) time.Duration { return taskDuration }
	leaderNode := sim.waitForLeader()
	sim.startMachines(4)
	for _, worker := range sim.workers {
		worker.faulty, worker.failureDelay = true, time.Second
	}
	sim.submit(leaderNode.name, jobSpec("j-1", 12))
	if !sim.advanceUntil(time.Minute,
		func() bool { job := leaderNode.leader.Jobs["j-1"]; return job != nil && job.FailsEverywhere }) {
		t.Fatal("the job j-1 is not marked as failing everywhere after 1 min")
	}
	for range 4 {
		sim.cloud.rentMachine("c4", "a", true) // these machines are healthy
	}
	firstRunningAt := clock.Instant(0)
	if !sim.advanceUntil(2*time.Minute, func() bool {
		if n := sim.activeTaskCount("j-1"); n > 0 && firstRunningAt == 0 {
			firstRunningAt = sim.now
		}
		return sim.activeTaskCount("j-1") >= 8
	}) {
		t.Fatalf("%d tasks of j-1 run after 2 min, want at least 8: %s", sim.activeTaskCount("j-1"),
			sim.explainPending("j-1"))
	}
	if waited := sim.now - firstRunningAt; waited > taskDuration/4 {
		t.Errorf("8 tasks ran only %v after the first one, want at most %v", waited, taskDuration/4)
	}
}
