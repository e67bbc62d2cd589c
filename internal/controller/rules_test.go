package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

func TestJobRunsToDone(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	follower := sim.followers()[0]
	if r := sim.submit(follower, jobSpec("j-1", 20)); r.Status != 201 {
		t.Fatalf("submission: %d", r.Status)
	}
	if r := sim.submit(follower, jobSpec("j-1", 20)); r.Status != 200 {
		t.Fatalf("repeated submission: %d", r.Status)
	}
	sim.waitForJobState("j-1", protocol.JobDone, 90*time.Second)
	for i := range 20 {
		if n := sim.startCounts[fmt.Sprintf("j-1/%d", i)]; n != 1 {
			t.Fatalf("task %d started %d times", i, n)
		}
	}
	if r := sim.submit(follower, jobSpec("j-1", 20)); r.Status != 200 {
		t.Fatalf("submission of a finished job: %d", r.Status)
	}
	// Idle machines are returned.
	if !sim.advanceUntil(5*time.Minute, func() bool { return len(sim.cloud.hosts) == 0 }) {
		t.Fatalf("%d machines kept for nothing", len(sim.cloud.hosts))
	}
}

// forgotten, went_back: accepted and terminal jobs stay so after all controllers have crashed at
// once.
func TestJobStatesSurviveFullRestart(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	sim.submit("n0", jobSpec("j-1", 1))
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	sim.submit("n1", jobSpec("j-2", 2))
	if r := sim.cancelJob("n2", "j-2"); r.Status != 200 {
		t.Fatalf("cancel: %d", r.Status)
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
				t.Fatalf("%s on %s: %d %v", id, name, code, s.State)
			}
		}
		if r := sim.submit(name, jobSpec("j-1", 1)); r.Status != 200 && r.Status != 503 {
			t.Fatalf("repeated submission: %d", r.Status)
		}
	}
	sim.waitForJobState("j-3", protocol.JobDone, 60*time.Second)
}

// invented, forgotten: a node answers 404 only after the key-value store has said so.
func TestUnknownJobs(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	for _, n := range sim.names {
		if code, _ := sim.queryJob(n, "j-404"); code != 404 {
			t.Fatalf("unknown job on %s: %d", n, code)
		}
	}
	sim.store.setDown(true)
	sim.advance(3 * time.Second)
	for _, n := range sim.names {
		if code, _ := sim.queryJob(n, "j-404"); code != 503 {
			t.Fatalf("unknown job in an outage on %s: %d", n, code)
		}
	}
}

// A submission whose write was executed, but whose reply was lost in a crash, is known when it is
// repeated.
func TestCrashBetweenWriteAndResponse(t *testing.T) {
	sim := newSimulation(t, 3)
	firstLeader := sim.waitForLeader()
	job := jobSpec("j-1", 1)
	sim.jobSpecs["j-1"] = job
	sim.sendRequest(firstLeader.name, Request{Kind: protocol.RequestSubmit, JobID: "j-1", Job: &job}, func(Reply) {})
	if !sim.advanceUntil(time.Second, func() bool { return sim.store.keys[storage.JobKey("j-1")].ModRevision != 0 }) {
		t.Fatal("nothing written")
	}
	sim.crashNode(firstLeader.name)
	if r := sim.submit(sim.followers()[0], job); r.Status != 200 {
		t.Fatalf("repeated submission: %d", r.Status)
	}
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
}

// ran_twice: a new leader finds the running tasks and lets them run.
func TestTakeoverKeepsRunningTasks(t *testing.T) {
	sim, firstLeader := newRunningSimulation(t, 3, 40*time.Second, 2, 8)
	sim.crashNode(firstLeader.name)
	sim.waitForLeader()
	sim.waitForJobState("j-1", protocol.JobDone, 90*time.Second)
	for i := range 8 {
		if n := sim.startCounts[fmt.Sprintf("j-1/%d", i)]; n != 1 {
			t.Fatalf("task %d started %d times", i, n)
		}
	}
}

// ran_twice: a machine that does not report to the new leader may still run tasks. Older jobs wait
// for its lease; a job accepted since can't be on it and need not wait.
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
	sim.cloud.rejectReturns = true // or a return would reconcile it sooner
	sim.crashNode(firstLeader.name)
	silentWorker.unreachable = true
	sim.waitForLeader()
	takeoverAt := sim.now
	sim.cloud.rentMachine("c4", "a", true)
	sim.submit(sim.leaderName(), jobSpec("j-2", 1))
	if !sim.advanceUntil(8*time.Second, func() bool { return sim.activeTaskCount("j-2") == 1 }) {
		t.Fatal("a new job waits for a machine it can't be on")
	}
	if blockedBy := sim.nodes[sim.leaderName()].leader.Jobs["j-1"].BlockedBy; blockedBy != cluster.WaitReconciliation {
		t.Fatalf("the old job waits for %q", blockedBy)
	}
	if !sim.advanceUntil(90*time.Second, func() bool { return sim.startCounts["j-1/0"] == 2 }) {
		t.Fatal("the lost tasks did not start again")
	}
	if sim.now-takeoverAt < config.Seconds(sim.cfg.Workers.LeaseS)-sim.nodes[sim.leaderName()].leaderLease() {
		t.Fatalf("started again after %v", sim.now-takeoverAt)
	}
}

// ran_twice: an epoch that was fenced never gets a 200, or its tasks would continue beside their
// second attempts.
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
		t.Fatal("the silent machine was not declared lost")
	}
	lateHeartbeat.Sequence += 100
	if r := sim.requestAndWait(leaderNode.name,
		Request{Kind: protocol.RequestHeartbeat, Heartbeat: lateHeartbeat}); r.Status == 200 {
		t.Fatal("a lost session got a 200")
	}
}

// A late heartbeat, older than one already processed, changes nothing and gets no 200.
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
			t.Fatal("a late report got a 200")
		}
		if len(machine.Attempts) != attemptCount {
			t.Fatal("a late report changed what is known of the machine")
		}
	}
	sim.advance(10 * time.Second)
	if sim.startCounts["j-1/0"] != 1 {
		t.Fatal("the task was started again")
	}
}

// A start command whose response was lost was not executed: the same attempt is sent again, and
// nothing is counted twice.
func TestLostStartCommandIsResent(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.submit(leaderNode.name, jobSpec("j-1", 1))
	if !sim.advanceUntil(30*time.Second, func() bool { return len(sim.workers) > 0 }) {
		t.Fatal("no machine")
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
		t.Fatalf("started %d times", sim.startCounts["j-1/0"])
	}
}

// ran_cancelled: a start command is in flight when the user cancels.
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
		t.Fatal("no start in flight")
	}
	if r := sim.cancelJob(sim.followers()[0], "j-1"); r.Status != 200 {
		t.Fatalf("cancel: %d", r.Status)
	}
	sim.advance(8 * time.Second)
	if n := sim.activeTaskCount("j-1"); n != 0 {
		t.Fatalf("%d tasks of a cancelled job are on machines", n)
	}
	sim.waitForJobState("j-1", protocol.JobCancelled, time.Second)
	if r := sim.cancelJob("n0", "j-404"); r.Status != 404 {
		t.Fatalf("cancel of an unknown job: %d", r.Status)
	}
}

// not_done, went_back: no user is told that a job is cancelled before that is durable.
func TestCancelWaitsForTheWrite(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	sim.submit(leaderNode.name, jobSpec("j-1", 4))
	sim.store.setDown(true)
	var reply *Reply
	sim.sendRequest(leaderNode.name, Request{Kind: protocol.RequestCancel, JobID: "j-1"}, func(r Reply) { reply = &r })
	sim.advance(4 * time.Second)
	if reply != nil && reply.Status == 200 {
		t.Fatal("told withdrawn without a write")
	}
	sim.store.setDown(false)
	sim.waitForJobState("j-1", protocol.JobCancelled, 10*time.Second)
}

// A worker forgets a result only once its bit is durable; until then the worker has the only copy.
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
			t.Fatal("a result was forgotten before its bit was written")
		}
	}
	sim.crashNode(firstLeader.name)
	sim.store.setDown(false)
	sim.waitForJobState("j-1", protocol.JobDone, 120*time.Second)
	if sim.startCounts["j-1/0"] != 1 {
		t.Fatalf("a finished task was started %d times", sim.startCounts["j-1/0"])
	}
}

// quota: what an unreachable machine may still run counts until it has certainly ended; the
// invariant checker checks the quota at each step.
func TestQuotaCountsUnreachableTasks(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 30 * time.Second }
	sim.waitForLeader()
	job := jobSpec("j-1", 40)
	job.Team = "team" // 16 cores
	sim.submit("n0", job)
	quotaFilled := func() bool { return sim.activeTaskCount("j-1") == 16 }
	if !sim.advanceUntil(60*time.Second, quotaFilled) {
		t.Fatalf("%d tasks run, not 16", sim.activeTaskCount("j-1"))
	}
	for _, worker := range sim.workers {
		if len(worker.tasks) > 1 {
			worker.unreachable = true
			break
		}
	}
	sim.crashNode(sim.leaderName())
	sim.waitForLeader()
	// A job accepted since then may start at once, but not within the quota that tasks on the
	// unreachable machine may still use.
	secondJob := jobSpec("j-2", 16)
	secondJob.Team = "team"
	sim.cloud.rejectReturns = true
	sim.startMachines(10)
	sim.submit(sim.leaderName(), secondJob)
	sim.advance(20 * time.Second)
	sim.cloud.rejectReturns = false
	sim.waitForJobState("j-1", protocol.JobDone, 6*time.Minute)
}

// wrong_place: machine types, zone, spot or on-demand, and the placement of the job's other tasks.
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
					t.Fatalf("%s on %s in zone %s, spot %v", task.taskKey, worker.name, worker.zone, worker.spot)
				}
			}
		}
		if len(tasksByZone["j-3"]) > 1 {
			t.Fatalf("one zone: %v", tasksByZone["j-3"])
		}
		for _, count := range tasksByZone["j-4"] {
			if count > 3 {
				t.Fatalf("apart: %v", tasksByZone["j-4"])
			}
		}
	}
	if len(startedJobs) != 4 {
		t.Fatalf("only %v ran", startedJobs)
	}
}

// The admission checks are made in order, and the job names the one that blocks it.
func TestAdmissionOrder(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 100 * time.Second }
	leaderNode := sim.waitForLeader()
	spec := jobSpec("j-1", 40)
	spec.Team = "team"
	sim.submit(leaderNode.name, spec)
	if !sim.advanceUntil(60*time.Second, func() bool { return sim.activeTaskCount("j-1") == 16 }) {
		t.Fatal("quota not filled")
	}
	leaderNode.leader.Schedule()
	job := leaderNode.leader.Jobs["j-1"]
	if job.BlockedBy != cluster.WaitTeamQuota {
		t.Fatalf("waits for %q", job.BlockedBy)
	}
	leaderNode.Node.settings.SlotsPerCore, leaderNode.Node.settings.BaseSlots = 0.01, 0
	leaderNode.leader.InvalidateMachineIndex()
	leaderNode.leader.Schedule()
	if job.BlockedBy != cluster.WaitSlots {
		t.Fatalf("waits for %q, though the slots come first", job.BlockedBy)
	}
}

// Reserved slots are lent to batch work until latency-sensitive work has been pending.
func TestBorrowedSlotsAreReclaimed(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	batch, urgent := jobSpec("j-1", 10), jobSpec("j-2", 1)
	urgent.Priority = "urgent"
	sim.submit(leaderNode.name, batch)
	sim.submit(leaderNode.name, urgent)
	leader := leaderNode.leader
	if leader.LatencySensitiveWorkDelayed(leader.BuildQueue()) {
		t.Fatal("lending ended at once")
	}
	leader.Jobs["j-2"].PendingSince = leader.node.now - config.Seconds(leader.node.settings.BorrowWaitS) - time.Second
	if !leader.LatencySensitiveWorkDelayed(leader.BuildQueue()) {
		t.Fatal("lending goes on though pressing work has waited")
	}
	if first := leader.BuildQueue()[0].Job.Spec.ID; first != "j-2" {
		t.Fatalf("%s passes first", first)
	}
}

// A failed task is retried at once on another machine; a machine on which every task fails is
// detected and returned.
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
		t.Fatal("the sick machine was kept")
	}
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	sim.waitForJobState("j-2", protocol.JobDone, 60*time.Second)
}

// A job that fails on every machine is at fault itself: no machine is marked unhealthy for it, and
// other work continues.
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
		t.Fatal("the job was not found bad")
	}
	for _, machine := range leaderNode.leader.Machines {
		if machine.Unhealthy {
			t.Fatalf("%s was condemned for a bad job", machine.Name)
		}
	}
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	if r := sim.cancelJob(leaderNode.name, "j-9"); r.Status != 200 {
		t.Fatalf("cancel: %d", r.Status)
	}
}

// A preemption notice drains the machine: tasks that checkpoint are stopped in time to save, and
// the machine gets no more work.
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
		t.Fatal("nothing was stopped")
	}
	for _, grace := range preempted.stopGraces {
		if grace < job.CheckpointSaveSeconds {
			t.Fatalf("stopped with %v s to save", grace)
		}
	}
	if !sim.advanceUntil(20*time.Second, func() bool { return sim.cloud.hosts[preempted.name] == nil }) {
		t.Fatal("the drained machine was not returned")
	}
	if !sim.advanceUntil(40*time.Second, func() bool { return sim.activeTaskCount("j-1") == 4 }) {
		t.Fatal("the tasks did not go on elsewhere")
	}
}

// The cloud may be down or out of spot machines: demand is kept, other machine types are tried, and
// no request id is used twice.
func TestCloudFaults(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.cloud.unavailable = true
	sim.submit(leaderNode.name, jobSpec("j-1", 4))
	sim.advance(20 * time.Second)
	sim.cloud.unavailable, sim.cloud.noSpot = false, true
	sim.waitForJobState("j-1", protocol.JobDone, 90*time.Second)
	if len(sim.cloud.hosts) > 4 {
		t.Fatalf("%d machines rented in a burst", len(sim.cloud.hosts))
	}
}

// A worker that can't reach the leader returns after its 421 and is then relayed, so that its lease
// holds.
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
		t.Fatalf("first report: %d", r.Status)
	}
	sim.advance(time.Second)
	if r := sendHeartbeat(); r.Status != 200 {
		t.Fatalf("report of a worker that came back: %d", r.Status)
	}
	if leaderNode.leader.Machines["m-9"] == nil {
		t.Fatal("the leader did not get the report")
	}
}

// A machine on which tasks run far slower than their siblings elsewhere is drained, and tasks that
// would complete sooner when started afresh move.
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
		t.Fatal("the slow machine was kept")
	}
	sim.waitForJobState("j-1", protocol.JobDone, 30*time.Second)
}

// The largest job fits the value limit (the fake store checks each write), and its completed tasks
// survive a takeover.
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
		t.Fatalf("%d tasks done", doneTasks())
	}
	sim.advance(3 * time.Second)
	before := doneTasks()
	sim.crashNode(sim.leaderName())
	newLeader := sim.waitForLeader()
	sim.advance(5 * time.Second)
	if doneTasks() < before*9/10 {
		t.Fatalf("%d tasks done before the takeover, %d after", before, doneTasks())
	}
	if parts := len(newLeader.leader.Jobs["j-1"].BitmapParts); parts < 2 {
		t.Fatalf("the bitmap is in %d part", parts)
	}
}

// A heartbeat may span several lines; between controllers a line is a message, so the parsed
// heartbeat is forwarded rather than the received bytes.
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
	for range 2 { // a worker that returns can't reach the leader and is relayed
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
					t.Fatalf("a message of several lines: %q", line)
				}
			}
		}
	}
	if !found {
		t.Fatal("not forwarded")
	}
}

// Submissions must not wait behind machine records: a burst of rented machines once used up the
// write rate, and submissions were rejected.
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
				t.Errorf("%s: answered %d after %v", job.ID, r.Status, sim.now-sentAt)
			}
			answered++
		})
	}
	if !sim.advanceUntil(time.Second, func() bool { return answered == 9 }) {
		t.Fatalf("%d of 9 submissions answered in a second", answered)
	}
}

// Hundreds of machines that boot together must be recorded by name before their first task, without
// one write for each.
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
		t.Fatal("machines did not come up")
	}
	if !sim.advanceUntil(3*time.Second, func() bool { return ready() == 300 }) {
		t.Fatalf("%d of 300 machines are ready", ready())
	}
	sim.crashNode(leaderNode.name)
	sim.restartNode(leaderNode.name)
	leaderNode = sim.waitForLeader()
	if n := len(leaderNode.leader.Machines); n != 300 {
		t.Fatalf("%d of 300 machines were read", n)
	}
	if !sim.advanceUntil(5*time.Minute, func() bool { return len(sim.cloud.hosts) == 0 }) {
		t.Fatalf("%d machines are kept", len(sim.cloud.hosts))
	}
	sim.advance(5 * time.Second)
	for key := range sim.store.keys {
		if strings.HasPrefix(key, storage.MachineGroupPrefix) {
			t.Errorf("%s is kept for machines that are gone", key)
		}
	}
}

// Records of single machines, as the previous version wrote them, are still read: a machine that
// had tasks is reconciled, and its record moves into a group.
func TestSingleMachineRecordsAreMigrated(t *testing.T) {
	sim := newSimulation(t, 1)
	worker := sim.cloud.rentMachine("c4", "a", true)
	sim.cloud.bootTime = time.Hour
	sim.cloud.rentMachine("c4", "a", true) // recorded, but never up
	sim.store.putValue(storage.SingleMachinePrefix+worker.name,
		storage.MachineRecord{Type: "c4", Zone: "a", Spot: true, Used: true})
	sim.store.putValue(storage.SingleMachinePrefix+"m-000002", storage.MachineRecord{Type: "c4", Zone: "a", Spot: true})
	leaderNode := sim.waitForLeader()
	if used, unused := leaderNode.leader.Machines[worker.name], leaderNode.leader.Machines["m-000002"]; used == nil ||
		used.Reconciled || unused == nil || !unused.Reconciled {
		t.Fatalf("read as %+v and %+v", used, unused)
	}
	sim.advance(2 * time.Second)
	for key := range sim.store.keys {
		if strings.HasPrefix(key, storage.SingleMachinePrefix) {
			t.Errorf("%s is kept", key)
		}
	}
	var record storage.MachineGroupRecord
	if json.Unmarshal(sim.store.keys[storage.MachineGroupKey(0)].Value, &record) != nil ||
		!record[worker.name].Used || record["m-000002"].Used {
		t.Errorf("moved as %+v", record)
	}
}

// A cluster that restarts while the cloud is down accepts jobs and uses the machines that it has,
// since the machine types are stored. A job that fits no stored type is not rejected permanently,
// as types may have been added since.
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
		t.Fatalf("answered %d", r.Status)
	}
	sim.waitForJobState("j-2", protocol.JobDone, time.Minute)
	largeJob := jobSpec("j-3", 1)
	largeJob.Cores = 64
	if r := sim.submit(sim.followers()[0], largeJob); r.Status != 503 {
		t.Errorf("a job that fits no stored type: %d", r.Status)
	}
	sim.cloud.unavailable = false
	sim.advance(time.Minute)
	if r := sim.submit(sim.followers()[0], largeJob); r.Status != 422 {
		t.Errorf("a job that fits no type: %d", r.Status)
	}
}

// A few long tasks that checkpoint must not keep a large surplus machine: they move to other
// machines with room, if that saves enough and violates no objective.
func TestCheckpointingTasksAreConsolidated(t *testing.T) {
	for _, testCase := range []struct {
		name   string
		change func(from, to *cluster.Machine, job *cluster.Job)
		moves  bool
	}{
		{"two of 32 cores are used for minutes", func(*cluster.Machine, *cluster.Machine, *cluster.Job) {}, true},
		{"they don't save", func(_, _ *cluster.Machine, job *cluster.Job) { job.Spec.CheckpointIntervalSeconds = 0 }, false},
		{"no other machine has room", func(_, to *cluster.Machine, _ *cluster.Job) { to.UsedCores = 31 }, false},
		{"they are nearly done", func(_, _ *cluster.Machine, job *cluster.Job) { job.Spec.EstimatedSeconds = 62 }, false},
		{"one has just started", func(from, _ *cluster.Machine, _ *cluster.Job) {
			from.AttemptsInOrder[0].RunningSince += 50 * time.Second
		}, false},
		{"the machine is needed", func(from, _ *cluster.Machine, _ *cluster.Job) {
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
				t.Errorf("%s: moved %v", testCase.name, attempt.StopGrace != nil)
			} else if testCase.moves && *attempt.StopGrace < spec.CheckpointSaveSeconds {
				t.Errorf("%s: %v s to save", testCase.name, *attempt.StopGrace)
			}
		}
	}
}

// A job whose record exceeds the value limit can't be stored, so it is rejected permanently; it
// once got 503 and was submitted again and again.
func TestJobTooLargeToStore(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.startMachines(1)
	job := jobSpec("j-1", 1)
	for i := range 1000 {
		job.MachineTypes = append(job.MachineTypes, fmt.Sprintf("type-%d", i))
	}
	if r := sim.submit(leaderNode.name, job); r.Status != 400 {
		t.Errorf("answered %d", r.Status)
	}
}

// Once the terminal record of a job is in the key-value store, any node may report it although the
// leader that wrote it has no response yet: the leader must not report an older state.
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
	sim.store.holdTransaction = func(_ string, txn storage.Txn) bool { // executed, but without a response
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
		t.Fatal("not written")
	}
	sim.submitAccepted(sim.followers()[0], dependentSpec("j-4", 1, "j-3"))
	for _, id := range []string{"j-1", "j-2", "j-3", "j-4"} { // its dependents are cancelled with it
		if _, status := sim.queryJob(leaderNode.name, id); status.State != protocol.JobCancelled {
			t.Fatalf("the leader says %q of %s after the end was written", status.State, id)
		}
	}
}

// quota: what may still run on a machine of a type that is no longer offered fills the quotas of
// all teams until it is reconciled; it once counted for nothing.
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
		t.Fatalf("%d tasks run beside 16 that may", n)
	}
	sim.cloud.rejectReturns = false
	sim.advance(30 * time.Second)
	if n := sim.activeTaskCount("j-1") + sim.activeTaskCount("j-2"); n == 0 {
		t.Fatal("the room does not come back")
	}
}

// A job with an error of its own fails on every machine until its user cancels it: after its first
// tasks it is retried one task at a time, takes next to no capacity, stays known, and runs as soon
// as the error is fixed where it reads it. A faulty machine is still detected beside it.
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
		t.Errorf("%d starts of two jobs with mistakes in two minutes, after %d", n, before)
	}
	sim.submitAndStart(leaderNode.name, jobSpec("j-3", 30), 8)
	faulty := sim.sortedWorkers()[0]
	faulty.faulty = true
	sim.waitForJobState("j-3", protocol.JobDone, time.Minute)
	for name, machine := range leaderNode.leader.Machines {
		if machine.Unhealthy && name != faulty.name {
			t.Errorf("%s is condemned", name)
		}
	}
	delete(sim.failingJobs, "j-2")
	sim.waitForJobState("j-2", protocol.JobDone, 2*time.Minute)
	if r := sim.cancelJob(leaderNode.name, "j-1"); r.Status != 200 {
		t.Fatalf("cancel: %d", r.Status)
	}
	sim.advance(time.Second)
	if n := sim.activeTaskCount("j-1"); n > 0 {
		t.Errorf("%d tasks run after the cancellation", n)
	}
}

// A small job whose first tasks ran only on faulty machines is treated as failing everywhere. It is
// retried on a machine on which it has not failed as soon as there is one, although the faulty ones
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
		t.Fatal("the job was not found bad")
	}
	for name, worker := range sim.workers {
		worker.faulty = job.FailedMachines[name]
	}
	sim.cloud.rentMachine("c4", "a", true)
	if !sim.advanceUntil(config.Seconds(sim.cfg.Workers.LeaseS)+12*time.Second,
		func() bool { return job.DoneTasks > 0 }) {
		t.Fatalf("nothing is done after %d more tries, failed on %v", job.FailedProbes, job.FailedMachines)
	}
	sim.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
}

// A healthy job whose first tasks all ran on faulty machines is treated as failing everywhere. The
// first task that runs for longer than those did shows otherwise, and the others follow at once
// rather than after its completion.
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
		t.Fatal("the job was not found bad")
	}
	for range 4 {
		sim.cloud.rentMachine("c4", "a", true) // these are not faulty
	}
	firstRunningAt := clock.Instant(0)
	if !sim.advanceUntil(2*time.Minute, func() bool {
		if n := sim.activeTaskCount("j-1"); n > 0 && firstRunningAt == 0 {
			firstRunningAt = sim.now
		}
		return sim.activeTaskCount("j-1") >= 8
	}) {
		t.Fatalf("%d tasks run: %s", sim.activeTaskCount("j-1"), sim.explainPending("j-1"))
	}
	if waited := sim.now - firstRunningAt; waited > taskDuration/4 {
		t.Errorf("the others began %v after the first", waited)
	}
}
