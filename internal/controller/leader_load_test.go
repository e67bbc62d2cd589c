package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// newBenchmarkLeader returns a leader with half as many machines again as a large deployment: all
// full, with tens of thousands of pending tasks.
func newBenchmarkLeader(b *testing.B) (*simulation, *simNode) {
	defer b.ReportAllocs()
	return newBusyLeader(&testing.T{}, 1800, 300)
}

// newBusyLeader returns a leader of full machines, with 60 jobs of the given number of tasks.
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

// The cost of a heartbeat, counted in machines and jobs examined, is the same with four times the
// machines and tasks, also for latency-sensitive work that prefers a machine with its image.
func TestHeartbeatCostIsIndependentOfClusterSize(t *testing.T) {
	cost := func(machines, tasks int) int {
		sim, n := newBusyLeader(t, machines, tasks)
		l, now := n.leader, sim.now-n.bootedAt
		l.GuaranteedStartWithin = 10 * time.Second
		for i, r := range l.PendingOrder {
			r.Job.EligibleAt, r.Job.Spec.Image, r.Job.Spec.ImageGB = now, fmt.Sprintf("new%d", i), 1
			if i < len(l.PendingOrder)/2 {
				r.Job.Spec.MemoryGB = 15 // fits on no machine, but is examined for each
			}
			l.Slos[r.Job.Spec.Class] = []cluster.Slo{{Limit: 10 * time.Second, OnStart: true}}
		}
		at := l.CandidatesExamined
		for i, machine := range l.MachinesByName()[:21] {
			heartbeat := sim.workers[machine.Name].heartbeat()
			if i%2 == 0 { // a task has completed
				heartbeat.Tasks[0].State, heartbeat.Tasks[0].ExitReason = protocol.TaskExited, protocol.ExitDone
			}
			heartbeat.Sequence = machine.HeartbeatSeq + 1
			if !n.holdsLeaderLease() {
				t.Fatal("the lease has ended, though the clock stands still")
			}
			l.onWorkerHeartbeat(Request{Origin: Origin{RequestID: uint64(i)}, Kind: protocol.RequestHeartbeat,
				Heartbeat: heartbeat})
			if machine.HeartbeatSeq != heartbeat.Sequence {
				t.Fatal("a report was not taken")
			}
			if i == 0 {
				at = l.CandidatesExamined // the first one after a pass looks up the images
			}
		}
		return l.CandidatesExamined - at
	}
	small, large := cost(24, 20), cost(96, 80)
	if small == 0 || large > small*5/4 {
		t.Errorf("20 reports looked at %d machines and jobs, and at %d with four times as many", small, large)
	}
}

// BenchmarkReport measures a leader's step for a heartbeat. Heartbeats are most of its work, so the
// cost must not grow with machines x tasks.
func BenchmarkReport(b *testing.B) {
	sim, leaderNode := newBenchmarkLeader(b)
	machine := leaderNode.leader.Machines["m-000001"]
	heartbeat := sim.workers["m-000001"].heartbeat()
	now := sim.now - leaderNode.bootedAt
	for i := 0; b.Loop(); i++ {
		// The clock doesn't advance, so the leader's lease holds.
		heartbeat.Sequence = machine.HeartbeatSeq + 1
		leaderNode.Step(now, []Command{Request{Origin: Origin{RequestID: uint64(i)},
			Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}})
	}
	if machine.HeartbeatSeq != heartbeat.Sequence {
		b.Fatal("the reports were not taken")
	}
}

// BenchmarkPass measures a full scheduling pass when a tenth of the machines have room.
func BenchmarkPass(b *testing.B) {
	_, leaderNode := newBenchmarkLeader(b)
	for b.Loop() {
		for i, machine := range leaderNode.leader.MachinesByName() {
			if i%10 == 0 {
				for _, r := range machine.AttemptsInOrder {
					leaderNode.leader.ReleaseAttempt(r)
				}
			}
		}
		leaderNode.leader.Schedule()
	}
}

// BenchmarkPlan measures one plan of the fleet.
func BenchmarkPlan(b *testing.B) {
	_, leaderNode := newBenchmarkLeader(b)
	for b.Loop() {
		leaderNode.leader.autoscaler.ApplyPlan()
	}
}
