package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// A machine whose heartbeats arrive but which gets no responses must get no more work and be returned
// to the cloud, and the tasks that were assigned to it must run elsewhere. The machine's heartbeats,
// which look healthy, once kept those tasks assigned to it for ever.
func TestMachineWithoutResponsesGetsNoWork(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.startMachines(2)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	sim.workers["m-000001"].dropResponses = true
	job := jobSpec("j-1", 60)
	job.EstimatedSeconds = 3600
	sim.submit(leaderNode.name, job)
	sim.advance(25 * time.Second)
	if got := sim.activeTaskCount("j-1"); got != 60 {
		t.Fatalf("%d of the 60 tasks of j-1 run after 25 s while m-000001 gets no responses to its heartbeats, want all",
			got)
	}
	next := jobSpec("j-2", 4)
	next.EstimatedSeconds = 3600
	sim.submit(leaderNode.name, next)
	if !sim.advanceUntil(12*time.Second, func() bool { return sim.activeTaskCount("j-2") == 4 }) {
		t.Fatalf("%d of the 4 tasks of j-2 run after 12 s while m-000001 gets no responses to its heartbeats, want all",
			sim.activeTaskCount("j-2"))
	}
	if !sim.advanceUntil(20*time.Second, func() bool { return sim.cloud.hosts["m-000001"] == nil }) {
		t.Fatal("the machine m-000001, which gets no responses, was not returned within 20 s")
	}
}

// Two machines stop getting responses at once, and the cloud rejects their return. Although both keep sending
// heartbeats, their tasks are rescheduled once the worker lease has certainly expired, because a
// response that does not arrive renews no lease.
func TestMachinesWithoutResponsesLoseTheirTasks(t *testing.T) {
	sim, _ := newRunningSimulation(t, 3, 25*time.Second, 4, 12)
	sim.cloud.rejectReturns = true
	for _, name := range []string{"m-000001", "m-000002"} {
		sim.workers[name].dropResponses = true
	}
	sim.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
}

// After a takeover a machine that gets no responses must not hold up jobs accepted before the takeover. Its
// heartbeats never carry the new fencing token, so the leader reconciles the machine, that is, knows
// its tasks, only when its lease has expired. Each response sent to the machine once postponed that.
func TestMachineWithoutResponsesAcrossTakeover(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(task string, _ int) time.Duration {
		if jobIDOf(task) == "j-1" {
			return 20 * time.Second
		}
		return 3 * time.Second
	}
	leaderNode := sim.waitForLeader()
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 6), 6)
	for _, worker := range sim.workers {
		worker.dropResponses = true
		break
	}
	sim.submit(leaderNode.name, jobSpec("j-2", 30))
	sim.crashNode(leaderNode.name)
	sim.advance(time.Second)
	newLeader := sim.waitForLeader()
	// All heartbeats of this machine arrive at the new leader, at the highest rate.
	for _, worker := range sim.workers {
		if worker.dropResponses {
			worker.node = newLeader.name
			sim.onHeartbeat = func(other *fakeWorker, _ *protocol.WorkerHeartbeat) {
				if other == worker {
					worker.node = newLeader.name
				}
			}
		}
	}
	sim.waitForJobState("j-2", protocol.JobDone, 50*time.Second)
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
}

// A machine is drained because responses do not reach it, and then they reach it again. None of its
// tasks may run twice, whether the machine has been returned to the cloud or not.
func TestMachineReceivesResponsesAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 12 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 4), 4)
	sim.cloud.rejectReturns = true
	for _, worker := range sim.workers {
		worker.dropResponses = true
	}
	sim.advance(22 * time.Second)
	for _, worker := range sim.workers {
		worker.dropResponses = false
	}
	sim.cloud.rejectReturns = false
	sim.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
}

// Copies of heartbeats arrive again seconds to well over a worker lease late: after newer heartbeats,
// after their machines were returned, and at a new leader that has no record of these machines. None
// of them may restore a machine or a task, or use up quota.
func TestLateHeartbeatCopiesOfReturnedMachines(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(task string, _ int) time.Duration {
		if jobIDOf(task) == "j-2" {
			return time.Hour
		}
		return 15 * time.Second
	}
	sim.waitForLeader()
	var copies []*protocol.WorkerHeartbeat
	sim.onHeartbeat = func(_ *fakeWorker, heartbeat *protocol.WorkerHeartbeat) {
		copied := *heartbeat
		copied.Tasks = append([]protocol.TaskStatus(nil), heartbeat.Tasks...)
		copies = append(copies, &copied)
	}
	job := jobSpec("j-1", 16)
	job.Team = "team" // its quota is 16 cores
	sim.startMachines(5)
	sim.submitAndStart(sim.leaderName(), job, 16)
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	// Waits until all machines are returned to the cloud and their records deleted.
	if !sim.advanceUntil(5*time.Minute,
		func() bool { return len(sim.workers) == 0 && len(sim.nodes[sim.leaderName()].leader.Machines) == 0 }) {
		t.Fatalf("after 5 min without work: got %d machines up and %d machines in the leader's records, want none",
			len(sim.workers), len(sim.nodes[sim.leaderName()].leader.Machines))
	}
	oldCopies := copies
	sim.onHeartbeat = nil
	replay := func() {
		for i := range oldCopies {
			heartbeat := *oldCopies[i]
			for _, name := range sim.names {
				sim.sendRequest(name, Request{Kind: protocol.RequestHeartbeat, Heartbeat: &heartbeat}, func(Reply) {})
			}
		}
		sim.advance(time.Second)
	}
	checkNothingRestored := func(when string) {
		t.Helper()
		leader := sim.nodes[sim.leaderName()].leader
		if totals := leader.CurrentMachineTotals(); totals.Slots != 0 || totals.UnknownUsage.Cores != 0 ||
			!totals.AllReconciled {
			t.Fatalf("%s: totals with machines of late copies: got %+v, want Slots 0, UnknownUsage.Cores 0 and "+
				"AllReconciled true", when, totals)
		}
		if usage := leader.TeamUsage["team"]; usage.Cores != 0 {
			t.Fatalf("%s: late copies use %v cores of the team's quota, want 0", when, usage.Cores)
		}
		for name, machine := range leader.Machines {
			if machine.Schedulable() {
				t.Fatalf("%s: late copies make %s schedulable", when, name)
			}
		}
	}
	replay()
	checkNothingRestored("at the same leader")
	sim.crashNode(sim.leaderName())
	sim.advance(time.Second)
	sim.waitForLeader()
	replay()
	checkNothingRestored("after a takeover")
	// A job that needs the full quota starts in spite of the late copies.
	job = jobSpec("j-2", 16)
	job.EstimatedSeconds = 3600
	job.Team = "team"
	sim.submit(sim.leaderName(), job)
	for i := range 30 {
		sim.advance(time.Second)
		replay()
		if sim.activeTaskCount("j-2") == 16 {
			return
		}
		if i == 29 {
			t.Fatalf("%d of the 16 tasks of j-2 run after 30 s with late copies, want all", sim.activeTaskCount("j-2"))
		}
	}
}

// Late copies of a heartbeat (up to 25 s, in any order) from a machine that is still up must change
// nothing: a task that has completed or moved must not be restored, and a running task must not be
// released.
func TestLateHeartbeatCopiesOfRunningMachines(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 4 * time.Second }
	leaderNode := sim.waitForLeader()
	count := 0
	sim.onHeartbeat = func(worker *fakeWorker, heartbeat *protocol.WorkerHeartbeat) {
		count++
		copied := *heartbeat
		copied.Tasks = append([]protocol.TaskStatus(nil), heartbeat.Tasks...)
		for _, delay := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 9 * time.Second,
			25 * time.Second} {
			sim.schedule(delay, func() {
				sim.sendRequest(leaderNode.name, Request{Kind: protocol.RequestHeartbeat, Heartbeat: &copied},
					func(r Reply) {
						if r.Status == 200 && (copied.Epoch < worker.epoch || copied.Sequence < worker.sequence-1) {
							t.Errorf("a copy of a heartbeat, %v late, got 200 after newer heartbeats", delay)
						}
					})
			})
		}
	}
	for i := range 6 {
		sim.submit(leaderNode.name, jobSpec(fmt.Sprintf("j-%d", i), 10))
		sim.advance(5 * time.Second)
		if i == 2 {
			sim.cancelJob(leaderNode.name, "j-2")
		}
	}
	sim.advance(40 * time.Second)
	for i := range 6 {
		want := protocol.JobDone
		if i == 2 {
			want = protocol.JobCancelled
		}
		sim.waitForJobState(fmt.Sprintf("j-%d", i), want, time.Minute)
	}
	sim.checkStartedOnce()
	if count == 0 {
		t.Fatal("no heartbeat was copied, so the test covers nothing")
	}
}

// A machine that restarts at once loses its tasks and begins a new epoch. It gets the tasks again and
// must not be drained as a machine that gets no responses.
func TestMachineRestartsAtOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 20 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.startMachines(1)
	sim.cloud.capacity = 1
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 4), 4)
	sim.advance(10 * time.Second)
	worker := sim.workers["m-000001"]
	worker.restartMachine()
	if !sim.advanceUntil(3*time.Second, func() bool { return sim.activeTaskCount("j-1") == 4 }) {
		t.Fatalf("%d of the 4 tasks of j-1 run 3 s after the restart of the machine, want all",
			sim.activeTaskCount("j-1"))
	}
	sim.waitForJobState("j-1", protocol.JobDone, 30*time.Second)
	if machine := leaderNode.leader.Machines["m-000001"]; machine == nil ||
		machine.DrainReason == cluster.CommandsUndelivered {
		t.Fatalf("m-000001 in the leader: got %+v, want it kept, with a DrainReason other than %q", machine,
			cluster.CommandsUndelivered)
	}
}

// When a leader loses contact with many machines together, it must not return the first of them to the
// cloud before it is clear how many are missing. A machine that sends heartbeats again must be kept.
func TestMachinesUnreachableTogetherAreKept(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 3, time.Hour, 9, 36)
	machineCount := len(sim.cloud.hosts)
	silence := func(count int, interval time.Duration) {
		for i := range count {
			sim.workers[fmt.Sprintf("m-%06d", i+1)].unreachable = true
			sim.advance(interval)
		}
	}
	restore := func() {
		for _, worker := range sim.workers {
			worker.unreachable = false
		}
	}
	// Six of nine machines become unreachable one after the other. When the first of them may be
	// returned to the cloud, the heartbeats of less than half of all machines are overdue.
	silence(6, 500*time.Millisecond)
	sim.advance(8 * time.Second)
	restore()
	sim.advance(5 * time.Second)
	if len(sim.cloud.hosts) < machineCount {
		t.Fatalf("%d machines are left after six were unreachable, want at least %d",
			len(sim.cloud.hosts), machineCount)
	}
	// Three of nine machines become unreachable while the cloud is down and accepts no returns.
	sim.cloud.unavailable = true
	silence(3, 0)
	sim.advance(10 * time.Second)
	if machine := leaderNode.leader.Machines["m-000001"]; machine.DrainReason != cluster.HeartbeatMissed {
		t.Fatalf("m-000001, which sends no heartbeats, has the drain reason %q, want %q", machine.DrainReason,
			cluster.HeartbeatMissed)
	}
	leaderNode.leader.Machines["m-000003"].Unhealthy = true
	restore()
	sim.advance(4 * time.Second)
	if machine := leaderNode.leader.Machines["m-000003"]; machine.DrainReason != cluster.Unhealthy {
		t.Errorf("m-000003, which is unhealthy, has the drain reason %q after it reported again, want %q",
			machine.DrainReason, cluster.Unhealthy)
	}
	sim.cloud.unavailable = false
	sim.advance(10 * time.Second)
	if len(sim.cloud.hosts) < machineCount {
		t.Errorf("%d machines are left after the cloud outage, want at least %d", len(sim.cloud.hosts), machineCount)
	}
	sim.checkStartedOnce()
}

// A copy of an old heartbeat reaches the next leader before any newer heartbeat and shows a task on
// the machine from which it has moved. The task must continue on its present machine, where the leader
// once ended it because of such a copy.
func TestStaleHeartbeatAtNextLeader(t *testing.T) {
	for nodes := 1; nodes <= 7; nodes += 2 {
		for offset := range 12 {
			t.Run(fmt.Sprintf("%d nodes, offset %d", nodes, offset), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, nodes)
				sim.taskDuration = func(string, int) time.Duration { return 80 * time.Second }
				leaderNode := sim.waitForLeader()
				sim.startMachines(1)
				job := jobSpec("j-1", 4)
				job.EstimatedSeconds = 80
				sim.submitAndStart(leaderNode.name, job, 4)
				copies := map[string]*protocol.WorkerHeartbeat{}
				sim.onHeartbeat = func(worker *fakeWorker, heartbeat *protocol.WorkerHeartbeat) {
					if len(heartbeat.Tasks) > 0 {
						copied := *heartbeat
						copies[worker.name] = &copied
					}
				}
				sim.advance(4 * time.Second)
				// The cloud announces a preemption, so that the tasks move. It neither takes the machines
				// away nor accepts their return.
				sim.cloud.rejectReturns = true
				noticeSeconds := 30.0
				var preempted []*fakeWorker
				for _, worker := range sim.sortedWorkers() {
					worker.preemptionNotice = &noticeSeconds
					preempted = append(preempted, worker)
				}
				sim.onHeartbeat = nil
				if !sim.advanceUntil(time.Minute, func() bool {
					return sim.activeTaskCount("j-1") == 4 && len(preempted[0].tasks)+len(preempted[len(preempted)-1].tasks) == 0
				}) {
					t.Fatalf("1 min after the notice: got %d tasks of j-1 running, want 4; got %d tasks on the first and "+
						"the last preempted machine, want 0", sim.activeTaskCount("j-1"),
						len(preempted[0].tasks)+len(preempted[len(preempted)-1].tasks))
				}
				sim.advance(5 * time.Second)
				startedTasks, startsBefore := len(sim.startCounts), sim.totalStarts()
				sim.restartAfter(sim.leaderName(), 300*time.Millisecond)
				sendCopies := func() {
					for _, heartbeat := range copies {
						for _, name := range sim.names {
							heartbeatCopy := *heartbeat
							sim.sendRequest(name, Request{Kind: protocol.RequestHeartbeat,
								Heartbeat: &heartbeatCopy}, func(Reply) {})
						}
					}
				}
				sim.advanceUntil(30*time.Second, func() bool { return sim.leaderName() != "" })
				for i := range 8 {
					sim.schedule(time.Duration(offset*i)*10*time.Millisecond, sendCopies)
				}
				sim.advance(20 * time.Second)
				if starts := sim.totalStarts(); len(sim.startCounts) != startedTasks || starts != startsBefore ||
					sim.activeTaskCount("j-1") != 4 {
					t.Errorf("after the takeover: got %d tasks running, want 4; got %d tasks ever started and %d starts, "+
						"want %d and %d as before it", sim.activeTaskCount("j-1"), len(sim.startCounts), starts,
						startedTasks, startsBefore)
				}
				sim.cloud.rejectReturns = false
				sim.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
			})
		}
	}
}
