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
	w := newSimulation(t, 3)
	w.waitForLeader()
	f := w.followers()[0]
	if r := w.submit(f, jobSpec("j-1", 20)); r.Status != 201 {
		t.Fatalf("submission: %d", r.Status)
	}
	if r := w.submit(f, jobSpec("j-1", 20)); r.Status != 200 {
		t.Fatalf("repeated submission: %d", r.Status)
	}
	w.waitForJobState("j-1", protocol.JobDone, 90*time.Second)
	for i := range 20 {
		if n := w.startCounts[fmt.Sprintf("j-1/%d", i)]; n != 1 {
			t.Fatalf("task %d started %d times", i, n)
		}
	}
	if r := w.submit(f, jobSpec("j-1", 20)); r.Status != 200 {
		t.Fatalf("submission of a finished job: %d", r.Status)
	}
	// Idle machines go back.
	if !w.advanceUntil(5*time.Minute, func() bool { return len(w.cloud.hosts) == 0 }) {
		t.Fatalf("%d machines kept for nothing", len(w.cloud.hosts))
	}
}

// forgotten, went_back: what was accepted or over stays so after all
// controllers have been killed at once.
func TestNothingForgottenAfterFullRestart(t *testing.T) {
	w := newSimulation(t, 3)
	w.waitForLeader()
	w.submit("n0", jobSpec("j-1", 1))
	w.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	w.submit("n1", jobSpec("j-2", 2))
	if r := w.cancelJob("n2", "j-2"); r.Status != 200 {
		t.Fatalf("cancel: %d", r.Status)
	}
	w.submit("n1", jobSpec("j-3", 1))
	for _, n := range w.names {
		w.crashNode(n)
	}
	for _, n := range w.names {
		w.restartNode(n)
	}
	for _, n := range w.names {
		for id, want := range map[string]protocol.JobState{"j-1": protocol.JobDone, "j-2": protocol.JobCancelled, "j-3": protocol.JobQueued} {
			if code, s := w.queryJob(n, id); code != 200 || s.State != want {
				t.Fatalf("%s on %s: %d %v", id, n, code, s.State)
			}
		}
		if r := w.submit(n, jobSpec("j-1", 1)); r.Status != 200 && r.Status != 503 {
			t.Fatalf("repeated submission: %d", r.Status)
		}
	}
	w.waitForJobState("j-3", protocol.JobDone, 60*time.Second)
}

// invented, forgotten: 404 only after the state service has said so.
func TestUnknownJobs(t *testing.T) {
	w := newSimulation(t, 3)
	w.waitForLeader()
	for _, n := range w.names {
		if code, _ := w.queryJob(n, "j-404"); code != 404 {
			t.Fatalf("unknown job on %s: %d", n, code)
		}
	}
	w.store.setDown(true)
	w.advance(3 * time.Second)
	for _, n := range w.names {
		if code, _ := w.queryJob(n, "j-404"); code != 503 {
			t.Fatalf("unknown job in an outage on %s: %d", n, code)
		}
	}
}

// A submission whose write was executed, but whose answer was lost in a crash,
// is known when it is repeated.
func TestCrashBetweenWriteAndAnswer(t *testing.T) {
	w := newSimulation(t, 3)
	first := w.waitForLeader()
	j := jobSpec("j-1", 1)
	w.jobSpecs["j-1"] = j
	w.sendRequest(first.name, Request{Kind: protocol.RequestSubmit, JobID: "j-1", Job: &j}, func(Reply) {})
	if !w.advanceUntil(time.Second, func() bool { return w.store.keys[storage.JobKey("j-1")].ModRevision != 0 }) {
		t.Fatal("nothing written")
	}
	w.crashNode(first.name)
	if r := w.submit(w.followers()[0], j); r.Status != 200 {
		t.Fatalf("repeated submission: %d", r.Status)
	}
	w.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
}

// ran_twice: a new leader finds the tasks that run and lets them run.
func TestTakeoverKeepsRunningTasks(t *testing.T) {
	w, first := newRunningSimulation(t, 3, 40*time.Second, 2, 8)
	w.crashNode(first.name)
	w.waitForLeader()
	w.waitForJobState("j-1", protocol.JobDone, 90*time.Second)
	for i := range 8 {
		if n := w.startCounts[fmt.Sprintf("j-1/%d", i)]; n != 1 {
			t.Fatalf("task %d started %d times", i, n)
		}
	}
}

// ran_twice: a machine that the new leader does not hear may still run tasks. Old
// jobs wait for its lease; a job accepted since can't be on it and need not.
func TestTakeoverWaitsForSilentMachine(t *testing.T) {
	w := newSimulation(t, 3)
	w.taskDuration = func(string, int) time.Duration { return 200 * time.Second }
	first := w.waitForLeader()
	w.submitAndStart(first.name, jobSpec("j-1", 4), 4)
	var victim *fakeWorker
	for _, x := range w.workers {
		if len(x.tasks) > 0 {
			victim = x
		}
	}
	w.cloud.rejectReturns = true // or that would make sure sooner
	w.crashNode(first.name)
	victim.unreachable = true
	w.waitForLeader()
	took := w.now
	w.cloud.rentMachine("c4", "a", true)
	w.submit(w.leaderName(), jobSpec("j-2", 1))
	if !w.advanceUntil(8*time.Second, func() bool { return w.activeTaskCount("j-2") == 1 }) {
		t.Fatal("a new job waits for a machine it can't be on")
	}
	if waits := w.nodes[w.leaderName()].leader.Jobs["j-1"].BlockedBy; waits != cluster.WaitReconciliation {
		t.Fatalf("the old job waits for %q", waits)
	}
	if !w.advanceUntil(90*time.Second, func() bool { return w.startCounts["j-1/0"] == 2 }) {
		t.Fatal("the lost tasks did not start again")
	}
	if w.now-took < config.Seconds(w.cfg.Workers.LeaseS)-w.nodes[w.leaderName()].leaderLease() {
		t.Fatalf("started again after %v", w.now-took)
	}
}

// ran_twice: a session that was declared lost never gets a 200, or its tasks
// would live on beside their second runs.
func TestFencedEpochIsNeverAnswered(t *testing.T) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return 300 * time.Second }
	l := w.waitForLeader()
	w.submitAndStart(l.name, jobSpec("j-1", 1), 1)
	var victim *fakeWorker
	for _, x := range w.workers {
		if len(x.tasks) > 0 {
			victim = x
		}
	}
	late := victim.heartbeat()
	victim.unreachable, w.cloud.unavailable = true, true
	if !w.advanceUntil(30*time.Second, func() bool { return !l.leader.Machines[victim.name].Up }) {
		t.Fatal("the silent machine was not declared lost")
	}
	late.Sequence += 100
	if r := w.requestAndWait(l.name, Request{Kind: protocol.RequestHeartbeat, Heartbeat: late}); r.Status == 200 {
		t.Fatal("a lost session got a 200")
	}
}

// A late report, older than one already seen, changes nothing and gets no 200.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return 100 * time.Second }
	l := w.waitForLeader()
	w.submitAndStart(l.name, jobSpec("j-1", 1), 1)
	w.advance(5 * time.Second)
	for _, x := range w.workers {
		m := l.leader.Machines[x.name]
		runs := len(m.Attempts)
		late := &protocol.WorkerHeartbeat{Machine: x.name, Type: x.machineType, Zone: x.zone, Spot: x.spot, Epoch: x.epoch, Sequence: 1, FencingToken: l.leader.term}
		if r := w.requestAndWait(l.name, Request{Kind: protocol.RequestHeartbeat, Heartbeat: late}); r.Status == 200 {
			t.Fatal("a late report got a 200")
		}
		if len(m.Attempts) != runs {
			t.Fatal("a late report changed what is known of the machine")
		}
	}
	w.advance(10 * time.Second)
	if w.startCounts["j-1/0"] != 1 {
		t.Fatal("the task was started again")
	}
}

// A start whose answer was dropped was not executed: the same attempt is sent
// again, and nothing is counted twice.
func TestDroppedAnswerIsSentAgain(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitForLeader()
	w.submit(l.name, jobSpec("j-1", 1))
	if !w.advanceUntil(30*time.Second, func() bool { return len(w.workers) > 0 }) {
		t.Fatal("no machine")
	}
	for _, x := range w.workers {
		x.dropResponses = true
	}
	w.advance(9 * time.Second)
	for _, x := range w.workers {
		x.dropResponses = false
	}
	w.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	if w.startCounts["j-1/0"] != 1 {
		t.Fatalf("started %d times", w.startCounts["j-1/0"])
	}
}

// ran_cancelled: a start is in flight when the user cancels.
func TestCancelAgainstStartInFlight(t *testing.T) {
	w := newSimulation(t, 3)
	w.taskDuration = func(string, int) time.Duration { return 300 * time.Second }
	w.waitForLeader()
	w.submit("n0", jobSpec("j-1", 6))
	started := func() bool {
		for _, m := range w.nodes[w.leaderName()].leader.Machines {
			for _, r := range m.Attempts {
				if r.Phase == cluster.AttemptSent {
					return true
				}
			}
		}
		return false
	}
	if !w.advanceUntil(60*time.Second, started) {
		t.Fatal("no start in flight")
	}
	if r := w.cancelJob(w.followers()[0], "j-1"); r.Status != 200 {
		t.Fatalf("cancel: %d", r.Status)
	}
	w.advance(8 * time.Second)
	if n := w.activeTaskCount("j-1"); n != 0 {
		t.Fatalf("%d tasks of a cancelled job are on machines", n)
	}
	w.waitForJobState("j-1", protocol.JobCancelled, time.Second)
	if r := w.cancelJob("n0", "j-404"); r.Status != 404 {
		t.Fatalf("cancel of an unknown job: %d", r.Status)
	}
}

// not_done, went_back: no user hears "withdrawn" before it is durable.
func TestCancelWaitsForTheWrite(t *testing.T) {
	w := newSimulation(t, 3)
	first := w.waitForLeader()
	w.submit(first.name, jobSpec("j-1", 4))
	w.store.setDown(true)
	var got *Reply
	w.sendRequest(first.name, Request{Kind: protocol.RequestCancel, JobID: "j-1"}, func(r Reply) { got = &r })
	w.advance(4 * time.Second)
	if got != nil && got.Status == 200 {
		t.Fatal("told withdrawn without a write")
	}
	w.store.setDown(false)
	w.waitForJobState("j-1", protocol.JobCancelled, 10*time.Second)
}

// A result is forgotten by its worker only once its bit is durable; it is the
// only copy until then.
func TestForgetOnlyAfterDoneIsDurable(t *testing.T) {
	w := newSimulation(t, 3)
	w.taskDuration = func(key string, _ int) time.Duration {
		if key == "j-1/0" {
			return 2 * time.Second
		}
		return 60 * time.Second
	}
	first := w.waitForLeader()
	w.submitAndStart(first.name, jobSpec("j-1", 2), 2)
	w.store.setDown(true)
	w.advance(6 * time.Second)
	for _, x := range w.workers {
		if len(x.forgottenTasks) > 0 {
			t.Fatal("a result was forgotten before its bit was written")
		}
	}
	w.crashNode(first.name)
	w.store.setDown(false)
	w.waitForJobState("j-1", protocol.JobDone, 120*time.Second)
	if w.startCounts["j-1/0"] != 1 {
		t.Fatalf("a finished task was started %d times", w.startCounts["j-1/0"])
	}
}

// quota: what a silent machine may still run counts until it is surely over; the
// simulation's check holds the limit at each moment.
func TestQuotaCountsUnreachableTasks(t *testing.T) {
	w := newSimulation(t, 3)
	w.taskDuration = func(string, int) time.Duration { return 30 * time.Second }
	w.waitForLeader()
	j := jobSpec("j-1", 40)
	j.Team = "team" // 16 cores
	w.submit("n0", j)
	full := func() bool { return w.activeTaskCount("j-1") == 16 }
	if !w.advanceUntil(60*time.Second, full) {
		t.Fatalf("%d tasks run, not 16", w.activeTaskCount("j-1"))
	}
	for _, x := range w.workers {
		if len(x.tasks) > 1 {
			x.unreachable = true
			break
		}
	}
	w.crashNode(w.leaderName())
	w.waitForLeader()
	// A job accepted since then may start at once, but not into the share of
	// what the silent machine may still run.
	next := jobSpec("j-2", 16)
	next.Team = "team"
	w.cloud.rejectReturns = true
	w.startMachines(10)
	w.submit(w.leaderName(), next)
	w.advance(20 * time.Second)
	w.cloud.rejectReturns = false
	w.waitForJobState("j-1", protocol.JobDone, 6*time.Minute)
}

// wrong_place: types, zone, kind and the places of the job's other tasks.
func TestPlacementObeysTheJob(t *testing.T) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return 20 * time.Second }
	l := w.waitForLeader()
	zoned, plain, one, apart := jobSpec("j-1", 3), jobSpec("j-2", 3), jobSpec("j-3", 6), jobSpec("j-4", 5)
	zoned.Zone = "b"
	plain.SpotAllowed = false
	one.SameZone = true
	apart.Spread = true
	for _, j := range []protocol.Job{zoned, plain, one, apart} {
		w.submit(l.name, j)
	}
	seen := map[string]bool{}
	for range 600 {
		w.advance(100 * time.Millisecond)
		zones := map[string]map[string]int{}
		for _, x := range w.workers {
			for _, task := range x.tasks {
				id := jobIDOf(task.taskKey)
				if task.state == protocol.TaskExited {
					continue
				}
				seen[id] = true
				if zones[id] == nil {
					zones[id] = map[string]int{}
				}
				zones[id][x.zone]++
				if (id == "j-1" && x.zone != "b") || (id == "j-2" && x.spot) {
					t.Fatalf("%s on %s in zone %s, spot %v", task.taskKey, x.name, x.zone, x.spot)
				}
			}
		}
		if len(zones["j-3"]) > 1 {
			t.Fatalf("one zone: %v", zones["j-3"])
		}
		for _, count := range zones["j-4"] {
			if count > 3 {
				t.Fatalf("apart: %v", zones["j-4"])
			}
		}
	}
	if len(seen) != 4 {
		t.Fatalf("only %v ran", seen)
	}
}

// The checks of admission come in their order, and the job says which stopped it.
func TestAdmissionOrder(t *testing.T) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return 100 * time.Second }
	l := w.waitForLeader()
	j := jobSpec("j-1", 40)
	j.Team = "team"
	w.submit(l.name, j)
	if !w.advanceUntil(60*time.Second, func() bool { return w.activeTaskCount("j-1") == 16 }) {
		t.Fatal("quota not filled")
	}
	l.leader.Schedule()
	job := l.leader.Jobs["j-1"]
	if job.BlockedBy != cluster.WaitTeamQuota {
		t.Fatalf("waits for %q", job.BlockedBy)
	}
	l.Node.settings.SlotsPerCore, l.Node.settings.BaseSlots = 0.01, 0
	l.leader.InvalidateMachineIndex()
	l.leader.Schedule()
	if job.BlockedBy != cluster.WaitSlots {
		t.Fatalf("waits for %q, though the slots come first", job.BlockedBy)
	}
}

// Set-aside slots are lent to batch work until pressing work has waited.
func TestBorrowedSlotsComeBack(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitForLeader()
	low, urgent := jobSpec("j-1", 10), jobSpec("j-2", 1)
	urgent.Priority = "urgent"
	w.submit(l.name, low)
	w.submit(l.name, urgent)
	x := l.leader
	if x.LatencySensitiveWorkDelayed(x.BuildQueue()) {
		t.Fatal("lending ended at once")
	}
	x.Jobs["j-2"].PendingSince = x.node.now - config.Seconds(x.node.settings.BorrowWaitS) - time.Second
	if !x.LatencySensitiveWorkDelayed(x.BuildQueue()) {
		t.Fatal("lending goes on though pressing work has waited")
	}
	if first := x.BuildQueue()[0].Job.Spec.ID; first != "j-2" {
		t.Fatalf("%s passes first", first)
	}
}

// A failed task is retried at once on another machine; a machine that fails
// everything is found and returned.
func TestUnhealthyMachineIsReturned(t *testing.T) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return 3 * time.Second }
	l := w.waitForLeader()
	w.startMachines(3)
	w.submitAndStart(l.name, jobSpec("j-1", 16), 8)
	var sick *fakeWorker
	for _, x := range w.workers {
		if len(x.tasks) > 0 {
			sick = x
		}
	}
	sick.faulty = true
	w.submit(l.name, jobSpec("j-2", 16))
	if !w.advanceUntil(60*time.Second, func() bool { return w.cloud.hosts[sick.name] == nil }) {
		t.Fatal("the sick machine was kept")
	}
	w.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	w.waitForJobState("j-2", protocol.JobDone, 60*time.Second)
}

// A job that fails on every machine is the job's own mistake: no machine is
// condemned for it, and other work goes on.
func TestFailingJobMarksNoMachineUnhealthy(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitForLeader()
	w.submitAndStart(l.name, jobSpec("j-1", 12), 4)
	bad := jobSpec("j-9", 6)
	w.submit(l.name, bad)
	spoil := func() bool {
		for _, x := range w.workers {
			for _, task := range x.tasks {
				if jobIDOf(task.taskKey) == "j-9" && task.state == protocol.TaskRunning {
					task.state, task.exitReason, x.stateChanged = protocol.TaskExited, protocol.ExitFailed, true
				}
			}
		}
		return false
	}
	w.advanceUntil(40*time.Second, spoil)
	if !l.leader.Jobs["j-9"].FailsEverywhere {
		t.Fatal("the job was not found bad")
	}
	for _, m := range l.leader.Machines {
		if m.Unhealthy {
			t.Fatalf("%s was condemned for a bad job", m.Name)
		}
	}
	w.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	if r := w.cancelJob(l.name, "j-9"); r.Status != 200 {
		t.Fatalf("cancel: %d", r.Status)
	}
}

// A spot notice drains the machine: tasks that save are stopped with time to
// save, and the machine gets nothing more.
func TestSpotNoticeDrains(t *testing.T) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return 100 * time.Second }
	l := w.waitForLeader()
	j := jobSpec("j-1", 4)
	j.EstimatedSeconds, j.CheckpointIntervalSeconds, j.CheckpointSaveSeconds = 100, 10, 3
	w.submitAndStart(l.name, j, 4)
	var taken *fakeWorker
	for _, x := range w.workers {
		if len(x.tasks) > 0 {
			taken = x
		}
	}
	left := 20.0
	taken.preemptionNotice, taken.stateChanged = &left, true
	if !w.advanceUntil(10*time.Second, func() bool { return len(taken.stopGraces) > 0 }) {
		t.Fatal("nothing was stopped")
	}
	for _, g := range taken.stopGraces {
		if g < j.CheckpointSaveSeconds {
			t.Fatalf("stopped with %v s to save", g)
		}
	}
	if !w.advanceUntil(20*time.Second, func() bool { return w.cloud.hosts[taken.name] == nil }) {
		t.Fatal("the drained machine was not returned")
	}
	if !w.advanceUntil(40*time.Second, func() bool { return w.activeTaskCount("j-1") == 4 }) {
		t.Fatal("the tasks did not go on elsewhere")
	}
}

// The cloud may be down or have no cheap machines: demand is remembered, other
// kinds are tried, and no request name is used twice.
func TestCloudFaults(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitForLeader()
	w.cloud.unavailable = true
	w.submit(l.name, jobSpec("j-1", 4))
	w.advance(20 * time.Second)
	w.cloud.unavailable, w.cloud.noSpot = false, true
	w.waitForJobState("j-1", protocol.JobDone, 90*time.Second)
	if len(w.cloud.hosts) > 4 {
		t.Fatalf("%d machines rented in a burst", len(w.cloud.hosts))
	}
}

// A worker that can't reach the leader comes back after its 421, and is then
// relayed, so that its lease holds.
func TestFollowerRelaysForCutWorkers(t *testing.T) {
	w := newSimulation(t, 3)
	l := w.waitForLeader()
	f := w.followers()[0]
	rep := &protocol.WorkerHeartbeat{Machine: "m-9", Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
	ask := func() Reply {
		rep.Sequence++
		return w.requestAndWait(f, Request{Kind: protocol.RequestHeartbeat, Heartbeat: rep})
	}
	if r := ask(); r.Status != 421 {
		t.Fatalf("first report: %d", r.Status)
	}
	w.advance(time.Second)
	if r := ask(); r.Status != 200 {
		t.Fatalf("report of a worker that came back: %d", r.Status)
	}
	if l.leader.Machines["m-9"] == nil {
		t.Fatal("the leader did not get the report")
	}
}

// A machine that runs its tasks far slower than their siblings run elsewhere is
// emptied, and what would be done sooner from the start moves.
func TestSlowMachineIsDrained(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitForLeader()
	w.startMachines(3)
	var victim string
	w.taskDuration = func(string, int) time.Duration { return 5 * time.Second }
	w.submitAndStart(l.name, jobSpec("j-1", 24), 8)
	for name, x := range w.workers {
		if len(x.tasks) > 1 && (victim == "" || name < victim) {
			victim = name
		}
	}
	for _, task := range w.workers[victim].tasks {
		task.endsAt += 200 * time.Second
	}
	if !w.advanceUntil(30*time.Second, func() bool { return w.cloud.hosts[victim] == nil }) {
		t.Fatal("the slow machine was kept")
	}
	w.waitForJobState("j-1", protocol.JobDone, 30*time.Second)
}

// The largest job fits the value limit (the stand-in checks each write), and what
// is finished survives a takeover.
func TestLargestJob(t *testing.T) {
	w := newSimulation(t, 3)
	w.taskDuration = func(string, int) time.Duration { return time.Second }
	w.waitForLeader()
	j := jobSpec("j-1", protocol.MaxTasksPerJob)
	w.submit("n0", j)
	done := func() int {
		l := w.leaderName()
		if l == "" || w.nodes[l].leader.Jobs["j-1"] == nil {
			return 0
		}
		return w.nodes[l].leader.Jobs["j-1"].DoneTasks
	}
	if !w.advanceUntil(40*time.Second, func() bool { return done() >= 40 }) {
		t.Fatalf("%d tasks done", done())
	}
	w.advance(3 * time.Second)
	before := done()
	w.crashNode(w.leaderName())
	l := w.waitForLeader()
	w.advance(5 * time.Second)
	if done() < before*9/10 {
		t.Fatalf("%d tasks done before the takeover, %d after", before, done())
	}
	if parts := len(l.leader.Jobs["j-1"].BitmapParts); parts < 2 {
		t.Fatalf("the bitmap is in %d part", parts)
	}
}

// A report may be written over several lines; between controllers a line is a
// message, so what was parsed is forwarded and not what came.
func TestForwardedBodyIsOneLine(t *testing.T) {
	w := newSimulation(t, 3)
	w.waitForLeader()
	f := w.nodes[w.followers()[0]]
	rep, err := protocol.ParseWorkerHeartbeat([]byte("{\"maquina\":\"m-9\",\n\"porte\":\"c4\",\"praca\":\"a\",\"turno\":1,\n\"contagem\":1,\"pecas\":[]}\n"))
	if err != nil {
		t.Fatal(err)
	}
	asked := false
	for range 2 { // a worker that comes back can't reach the leader and is relayed
		for _, e := range f.Step(w.now-f.bootedAt+step, []Command{Request{Origin: Origin{RequestID: 99}, Kind: protocol.RequestHeartbeat, Heartbeat: rep}}) {
			s, ok := e.(OutboundMessage)
			if !ok {
				continue
			}
			if _, forwarded := s.Message.(protocol.ForwardedRequest); forwarded {
				asked = true
				line, err := protocol.EncodePeerMessage(s.Message)
				if err != nil || strings.Contains(string(line), "\n") {
					t.Fatalf("a message of several lines: %q", line)
				}
			}
		}
	}
	if !asked {
		t.Fatal("not forwarded")
	}
}

// Submissions must not wait behind the records of machines: a burst of rented
// machines once used up all changes and users were turned away.
func TestSubmissionsPassMachineRecords(t *testing.T) {
	w := newSimulation(t, 3)
	w.cfg.Store.WritesPerS = 25
	for _, name := range w.names {
		w.startNode(name)
	}
	w.waitForLeader()
	w.store.limitWriteRate = true
	for i := range 100 {
		w.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	w.advanceUntil(10*time.Second, func() bool { return len(w.workers) == 100 })
	sent, answered := w.now, 0
	for i := range 9 {
		j := jobSpec(fmt.Sprintf("j-%d", i), 3)
		w.jobSpecs[j.ID] = j
		w.sendRequest(w.names[i%3], Request{Kind: protocol.RequestSubmit, JobID: j.ID, Job: &j}, func(r Reply) {
			if r.Status != 201 {
				t.Errorf("%s: answered %d after %v", j.ID, r.Status, w.now-sent)
			}
			answered++
		})
	}
	if !w.advanceUntil(time.Second, func() bool { return answered == 9 }) {
		t.Fatalf("%d of 9 submissions answered in a second", answered)
	}
}

// Hundreds of machines that come up together must be durable by name before their
// first task without waiting for one another's changes.
func TestMachinesShareRecords(t *testing.T) {
	w := newSimulation(t, 1)
	w.cfg.Store.WritesPerS = 25
	w.startNode("n0")
	l := w.waitForLeader()
	w.store.limitWriteRate = true
	for i := range 300 {
		w.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	ready := func() int {
		count := 0
		for _, m := range l.leader.Machines {
			if m.Schedulable() {
				count++
			}
		}
		return count
	}
	if !w.advanceUntil(10*time.Second, func() bool { return len(w.workers) == 300 }) {
		t.Fatal("machines did not come up")
	}
	if !w.advanceUntil(3*time.Second, func() bool { return ready() == 300 }) {
		t.Fatalf("%d of 300 machines are ready", ready())
	}
	w.crashNode(l.name)
	w.restartNode(l.name)
	l = w.waitForLeader()
	if n := len(l.leader.Machines); n != 300 {
		t.Fatalf("%d of 300 machines were read", n)
	}
	if !w.advanceUntil(5*time.Minute, func() bool { return len(w.cloud.hosts) == 0 }) {
		t.Fatalf("%d machines are kept", len(w.cloud.hosts))
	}
	w.advance(5 * time.Second)
	for key := range w.store.keys {
		if strings.HasPrefix(key, storage.MachineGroupPrefix) {
			t.Errorf("%s is kept for machines that are gone", key)
		}
	}
}

// Records of single machines, as the version before wrote them, are still read: a
// machine that had tasks is waited for, and its record moves into a group.
func TestRecordsOfTheVersionBefore(t *testing.T) {
	w := newSimulation(t, 1)
	x := w.cloud.rentMachine("c4", "a", true)
	w.cloud.bootTime = time.Hour
	w.cloud.rentMachine("c4", "a", true) // recorded, but never up
	w.store.putValue(storage.SingleMachinePrefix+x.name, storage.MachineRecord{Type: "c4", Zone: "a", Spot: true, Used: true})
	w.store.putValue(storage.SingleMachinePrefix+"m-000002", storage.MachineRecord{Type: "c4", Zone: "a", Spot: true})
	l := w.waitForLeader()
	if a, b := l.leader.Machines[x.name], l.leader.Machines["m-000002"]; a == nil || a.Reconciled || b == nil || !b.Reconciled {
		t.Fatalf("read as %+v and %+v", a, b)
	}
	w.advance(2 * time.Second)
	for key := range w.store.keys {
		if strings.HasPrefix(key, storage.SingleMachinePrefix) {
			t.Errorf("%s is kept", key)
		}
	}
	var rec storage.MachineGroupRecord
	if json.Unmarshal(w.store.keys[storage.MachineGroupKey(0)].Value, &rec) != nil || !rec[x.name].Used || rec["m-000002"].Used {
		t.Errorf("moved as %+v", rec)
	}
}

// A cluster that starts anew while the cloud is down takes jobs and uses the machines
// it has: the machine types are stored. A job that no stored type fits is not refused
// for good, as types may have come since.
func TestStartWhileTheCloudIsDown(t *testing.T) {
	w := newSimulation(t, 3)
	l := w.waitForLeader()
	w.startMachines(2)
	w.submitAndStart(l.name, jobSpec("j-1", 4), 4)
	w.cloud.unavailable = true
	for _, name := range w.names {
		w.crashNode(name)
	}
	w.advance(time.Second)
	for _, name := range w.names {
		w.restartNode(name)
	}
	w.waitForLeader()
	w.advance(time.Second)
	if r := w.submit(w.leaderName(), jobSpec("j-2", 4)); r.Status != 201 {
		t.Fatalf("answered %d", r.Status)
	}
	w.waitForJobState("j-2", protocol.JobDone, time.Minute)
	big := jobSpec("j-3", 1)
	big.Cores = 64
	if r := w.submit(w.followers()[0], big); r.Status != 503 {
		t.Errorf("a job that fits no stored type: %d", r.Status)
	}
	w.cloud.unavailable = false
	w.advance(time.Minute)
	if r := w.submit(w.followers()[0], big); r.Status != 422 {
		t.Errorf("a job that fits no type: %d", r.Status)
	}
}

// A few long tasks that save must not keep a large surplus machine: they move to
// others that have room, if that is worth it and costs no aim.
func TestCheckpointingTasksAreConsolidated(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(from, to *cluster.Machine, j *cluster.Job)
		moves  bool
	}{
		{"two of 32 cores are used for minutes", func(*cluster.Machine, *cluster.Machine, *cluster.Job) {}, true},
		{"they don't save", func(_, _ *cluster.Machine, j *cluster.Job) { j.Spec.CheckpointIntervalSeconds = 0 }, false},
		{"no other machine has room", func(_, to *cluster.Machine, _ *cluster.Job) { to.UsedCores = 31 }, false},
		{"they are nearly done", func(_, _ *cluster.Machine, j *cluster.Job) { j.Spec.EstimatedSeconds = 62 }, false},
		{"one has just started", func(from, _ *cluster.Machine, _ *cluster.Job) {
			from.AttemptsInOrder[0].RunningSince += 50 * time.Second
		}, false},
		{"the machine is needed", func(from, _ *cluster.Machine, _ *cluster.Job) { from.Draining, from.DrainReason = false, "" }, false},
	} {
		w := newSimulation(t, 1)
		w.cloud.machineTypes = []protocol.MachineType{{Name: "c4", Cores: 32, MemoryGB: 128, ImageCacheGB: 40, PullGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}}
		w.startNode("n0")
		l := w.waitForLeader()
		w.startMachines(2)
		x := l.leader
		from, to := x.Machines["m-000001"], x.Machines["m-000002"]
		x.CancelDrain(to)
		from.Draining, from.DrainReason = true, cluster.SurplusCapacity
		from.RentedAt -= time.Hour
		spec := jobSpec("j-1", 2)
		spec.EstimatedSeconds, spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 300, 30, 4
		j := x.jobRecords.Add(storage.JobRecord{Spec: spec, AcceptedAtMillis: l.nowUnixMilli()}, 1)
		for i := range 2 {
			x.PlaceAttempt(&cluster.TaskAttempt{Job: j, TaskIndex: i, Number: x.NextAttemptNumber(), Machine: from, Phase: cluster.AttemptRunning, RunningSince: l.now - time.Minute})
		}
		c.change(from, to, j)
		x.autoscaler.Consolidate([]*cluster.Machine{to})
		for _, r := range from.AttemptsInOrder {
			if (r.StopGrace != nil) != c.moves {
				t.Errorf("%s: moved %v", c.name, r.StopGrace != nil)
			} else if c.moves && *r.StopGrace < spec.CheckpointSaveSeconds {
				t.Errorf("%s: %v s to save", c.name, *r.StopGrace)
			}
		}
	}
}

// A job whose record outgrows a value can't be kept, so it is refused for good; it
// was once turned away with 503, to be sent again and again.
func TestJobTooLargeToStore(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitForLeader()
	w.startMachines(1)
	j := jobSpec("j-1", 1)
	for i := range 1000 {
		j.MachineTypes = append(j.MachineTypes, fmt.Sprintf("type-%d", i))
	}
	if r := w.submit(l.name, j); r.Status != 400 {
		t.Errorf("answered %d", r.Status)
	}
}

// Once a job's end is in the state service, any node may tell it, though the leader
// that wrote it has got no answer yet: the leader must not say anything older.
func TestEndIsToldByAllOrNone(t *testing.T) {
	w := newSimulation(t, 3)
	l := w.waitForLeader()
	w.startMachines(1)
	w.cloud.capacity = 1
	w.waitForNewVersion()
	w.submit(l.name, jobSpec("j-1", 400))
	w.submit(l.name, dependentSpec("j-2", 1, "j-1"))
	w.submit(l.name, dependentSpec("j-3", 1, "j-2"))
	w.advance(2 * time.Second)
	w.store.holdTransaction = func(_ string, txn storage.Txn) bool { // executed, but not answered
		for _, wr := range txn.Writes {
			if wr.PutKey == storage.TerminalKey("j-1") {
				w.store.holdTransaction = nil
				w.store.executeTransaction(txn)
				return true
			}
		}
		return false
	}
	w.sendRequest(l.name, Request{Kind: protocol.RequestCancel, JobID: "j-1"}, func(Reply) {})
	if !w.advanceUntil(2*time.Second, func() bool { return w.store.keys[storage.TerminalKey("j-1")].ModRevision > 0 }) {
		t.Fatal("not written")
	}
	w.submitAccepted(w.followers()[0], dependentSpec("j-4", 1, "j-3"))
	for _, id := range []string{"j-1", "j-2", "j-3", "j-4"} { // those that need it are cancelled with it
		if _, s := w.queryJob(l.name, id); s.State != protocol.JobCancelled {
			t.Fatalf("the leader says %q of %s after the end was written", s.State, id)
		}
	}
}

// quota: what may still run on a machine of a type that is no longer sold fills the limits
// of all teams until it is known; it once counted for nothing.
func TestQuotaCountsTypesNoLongerSold(t *testing.T) {
	w := newSimulation(t, 3)
	w.taskDuration = func(string, int) time.Duration { return time.Hour }
	l := w.waitForLeader()
	j := jobSpec("j-1", 16) // the team's limit
	j.Team, j.EstimatedSeconds = "team", 3600
	w.submitAndStart(l.name, j, 16)
	w.cloud.machineTypes = []protocol.MachineType{{Name: "c9", Cores: 4, MemoryGB: 16, ImageCacheGB: 40, PullGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}}
	w.store.keys[storage.CatalogKey] = storage.Item{Key: storage.CatalogKey, Value: storage.Encode(protocol.Catalog{Types: w.cloud.machineTypes}), ModRevision: 1}
	w.cloud.rejectReturns = true
	for _, x := range w.workers {
		x.hung = true
	}
	for _, name := range w.names {
		w.restartAfter(name, 100*time.Millisecond)
	}
	next := w.waitForLeader()
	j = jobSpec("j-2", 4)
	j.Team, j.EstimatedSeconds = "team", 3600
	w.submit(next.name, j)
	w.advance(config.Seconds(w.cfg.Workers.LeaseS) - 4*time.Second)
	if n := w.activeTaskCount("j-2"); n > 0 {
		t.Fatalf("%d tasks run beside 16 that may", n)
	}
	w.cloud.rejectReturns = false
	w.advance(30 * time.Second)
	if n := w.activeTaskCount("j-1") + w.activeTaskCount("j-2"); n == 0 {
		t.Fatal("the room does not come back")
	}
}

// A job that was submitted with a mistake fails on every machine until its user cancels
// it: after its first tasks it is tried with one at a time, takes next to no room, stays
// known, and runs as soon as the mistake is mended where it reads it. A faulty machine is
// still found beside it.
func TestFailingJobIsRetriedWithOneTask(t *testing.T) {
	w := newSimulation(t, 3)
	w.taskDuration = func(string, int) time.Duration { return 2 * time.Second }
	l := w.waitForLeader()
	w.startMachines(6)
	w.failingJobs["j-1"], w.failingJobs["j-2"] = true, true
	w.submit(l.name, jobSpec("j-1", 60))
	w.submit(l.name, jobSpec("j-2", 60))
	w.advance(20 * time.Second)
	started := func() (n int) {
		for task, times := range w.startCounts {
			if w.failingJobs[jobIDOf(task)] {
				n += times
			}
		}
		return n
	}
	before := started()
	w.advance(2 * time.Minute)
	if n := started() - before; n < 4 || n > 16 {
		t.Errorf("%d starts of two jobs with mistakes in two minutes, after %d", n, before)
	}
	w.submitAndStart(l.name, jobSpec("j-3", 30), 8)
	faulty := w.sortedWorkers()[0]
	faulty.faulty = true
	w.waitForJobState("j-3", protocol.JobDone, time.Minute)
	for name, m := range l.leader.Machines {
		if m.Unhealthy && name != faulty.name {
			t.Errorf("%s is condemned", name)
		}
	}
	delete(w.failingJobs, "j-2")
	w.waitForJobState("j-2", protocol.JobDone, 2*time.Minute)
	if r := w.cancelJob(l.name, "j-1"); r.Status != 200 {
		t.Fatalf("cancel: %d", r.Status)
	}
	w.advance(time.Second)
	if n := w.activeTaskCount("j-1"); n > 0 {
		t.Errorf("%d tasks run after the cancellation", n)
	}
}

// A small job whose first tasks met faulty machines only is taken for one with a mistake,
// and is tried on a machine that it has not failed on as soon as there is one, though the
// faulty ones are idle and hold its image.
func TestSmallJobOnFaultyMachines(t *testing.T) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return 2 * time.Second }
	l := w.waitForLeader()
	w.startMachines(4)
	w.submit(l.name, jobSpec("j-1", 4))
	var j *cluster.Job
	bad := func() bool {
		for _, x := range w.workers {
			x.faulty = true
		}
		j = l.leader.Jobs["j-1"]
		return j != nil && j.FailsEverywhere
	}
	if !w.advanceUntil(time.Minute, bad) {
		t.Fatal("the job was not found bad")
	}
	for name, x := range w.workers {
		x.faulty = j.FailedMachines[name]
	}
	w.cloud.rentMachine("c4", "a", true)
	if !w.advanceUntil(config.Seconds(w.cfg.Workers.LeaseS)+12*time.Second, func() bool { return j.DoneTasks > 0 }) {
		t.Fatalf("nothing is done after %d more tries, failed on %v", j.FailedProbes, j.FailedMachines)
	}
	w.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
}

// A healthy job whose first tasks all met faulty machines is taken for one with a mistake.
// The first task that runs for longer than those did before they failed shows that it is
// not, and the others follow it at once rather than after its whole run.
func TestHealthyJobDoesNotPauseForAWholeRun(t *testing.T) {
	const takes = 2 * time.Minute
	w := newSimulation(t, 1)
	w.cloud.capacity = 8
	w.taskDuration = func(string, int) time.Duration { return takes }
	l := w.waitForLeader()
	w.startMachines(4)
	for _, x := range w.workers {
		x.faulty, x.failureDelay = true, time.Second
	}
	w.submit(l.name, jobSpec("j-1", 12))
	if !w.advanceUntil(time.Minute, func() bool { j := l.leader.Jobs["j-1"]; return j != nil && j.FailsEverywhere }) {
		t.Fatal("the job was not found bad")
	}
	for range 4 {
		w.cloud.rentMachine("c4", "a", true) // these are not faulty
	}
	first := clock.Instant(0)
	if !w.advanceUntil(2*time.Minute, func() bool {
		if n := w.activeTaskCount("j-1"); n > 0 && first == 0 {
			first = w.now
		}
		return w.activeTaskCount("j-1") >= 8
	}) {
		t.Fatalf("%d tasks run: %s", w.activeTaskCount("j-1"), w.explainPending("j-1"))
	}
	if waited := w.now - first; waited > takes/4 {
		t.Errorf("the others began %v after the first", waited)
	}
}
