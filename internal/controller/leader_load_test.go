package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// newBenchmarkLeader returns a leader with 1,800 machines, half as many again as in a large deployment,
// and 18,000 tasks. The machines are full, and most tasks are pending.
func newBenchmarkLeader(b *testing.B) (*simulation, *simNode) {
	defer b.ReportAllocs()
	return newBusyLeader(&testing.T{}, 1800, 300)
}

// newBusyLeader returns a leader with the given number of machines, which are full, and with 60 jobs of
// the given number of tasks each.
func newBusyLeader(t *testing.T, machines, tasks int) (*simulation, *simNode) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	leaderNode := sim.waitForLeader()
	sim.cloud.bootTime = time.Second
	for i := range machines {
		sim.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	sim.advanceUntil(time.Minute, func() bool { return len(sim.workers) >= machines })
	sim.cloud.capacity = machines
	for i := range 60 {
		job := jobSpec(fmt.Sprintf("j-%d", i), tasks)
		job.Image = fmt.Sprintf("i%d", i%18)
		sim.submit(leaderNode.name, job)
	}
	sim.advance(15 * time.Second)
	return sim, leaderNode
}

// Heartbeats are most of a leader's work, so the cost of one must not grow with the cluster. Counted
// in machines and jobs examined, it is the same with four times the machines and tasks, also for
// latency-sensitive work that prefers a machine with its image.
func TestHeartbeatCostIsIndependentOfClusterSize(t *testing.T) {
	cost := func(machines, tasks int) int {
		sim, leaderNode := newBusyLeader(t, machines, tasks)
		l, now := leaderNode.leader, sim.now-leaderNode.bootedAt
		l.GuaranteedStartWithin = 10 * time.Second
		for i, queued := range l.PendingOrder {
			queued.Job.EligibleAt, queued.Job.Spec.Image, queued.Job.Spec.ImageGB = now, fmt.Sprintf("new%d", i), 1
			if i < len(l.PendingOrder)/2 {
				queued.Job.Spec.MemoryGB = 15 // fits on no machine, but is examined for each
			}
			l.SLOs[queued.Job.Spec.Class] = []cluster.SLO{{Limit: 10 * time.Second, OnStart: true}}
		}
		examinedBefore := l.CandidatesExamined
		for i, machine := range l.MachinesByName()[:21] {
			heartbeat := sim.workers[machine.Name].heartbeat()
			if i%2 == 0 { // a task has completed
				heartbeat.Tasks[0].State, heartbeat.Tasks[0].ExitReason = protocol.TaskExited, protocol.ExitDone
			}
			heartbeat.Sequence = machine.HeartbeatSeq + 1
			if !leaderNode.holdsLeaderLease() {
				t.Fatal("the leader lease has expired although the clock does not advance")
			}
			l.onWorkerHeartbeat(Request{Origin: Origin{RequestID: uint64(i)}, Kind: protocol.RequestHeartbeat,
				Heartbeat: heartbeat})
			if machine.HeartbeatSeq != heartbeat.Sequence {
				t.Fatalf("the leader did not process the heartbeat of %s", machine.Name)
			}
			if i == 0 {
				examinedBefore = l.CandidatesExamined // the first heartbeat after a pass looks up the images
			}
		}
		return l.CandidatesExamined - examinedBefore
	}
	small, large := cost(24, 20), cost(96, 80)
	if small == 0 || large > small*5/4 {
		t.Errorf("machines and jobs examined for 20 heartbeats: got %d, and %d at four times the size, "+
			"want more than 0 and at most a quarter more", small, large)
	}
}

// BenchmarkReport measures a leader's step for a heartbeat. Heartbeats are most of a leader's work, so
// the cost must not grow with the number of machines times tasks.
func BenchmarkReport(b *testing.B) {
	sim, leaderNode := newBenchmarkLeader(b)
	machine := leaderNode.leader.Machines["m-000001"]
	heartbeat := sim.workers["m-000001"].heartbeat()
	now := sim.now - leaderNode.bootedAt
	for i := 0; b.Loop(); i++ {
		// The clock doesn't advance, so the leader lease doesn't expire.
		heartbeat.Sequence = machine.HeartbeatSeq + 1
		leaderNode.Step(now, []Command{Request{Origin: Origin{RequestID: uint64(i)},
			Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}})
	}
	if machine.HeartbeatSeq != heartbeat.Sequence {
		b.Fatal("the leader did not process the last heartbeat")
	}
}

// BenchmarkPass measures a full scheduling pass when a tenth of the machines have room.
func BenchmarkPass(b *testing.B) {
	_, leaderNode := newBenchmarkLeader(b)
	for b.Loop() {
		for i, machine := range leaderNode.leader.MachinesByName() {
			if i%10 == 0 {
				for _, attempt := range machine.AttemptsInOrder {
					leaderNode.leader.ReleaseAttempt(attempt)
				}
			}
		}
		leaderNode.leader.Schedule()
	}
}

// BenchmarkPlan measures one planning pass of the autoscaler.
func BenchmarkPlan(b *testing.B) {
	_, leaderNode := newBenchmarkLeader(b)
	for b.Loop() {
		leaderNode.leader.autoscaler.ApplyPlan()
	}
}
