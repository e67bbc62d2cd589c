package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// busy is a leader at the size of a large deployment, with half as many machines
// again: all full, and tens of thousands of tasks that wait.
func newBenchmarkLeader(b *testing.B) (*simulation, *simNode) {
	defer b.ReportAllocs()
	return newBusyLeader(&testing.T{}, 1800, 300)
}

// busyLeader is a leader of so many full machines, with 60 jobs of so many tasks.
func newBusyLeader(t *testing.T, machines, tasks int) (*simulation, *simNode) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return time.Hour }
	l := w.waitForLeader()
	w.cloud.bootTime = time.Second
	for i := range machines {
		w.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	w.advanceUntil(time.Minute, func() bool { return len(w.workers) >= machines })
	w.cloud.capacity = machines
	for i := range 60 {
		j := jobSpec(fmt.Sprintf("j-%d", i), tasks)
		j.Image = fmt.Sprintf("i%d", i%18)
		w.submit(l.name, j)
	}
	w.advance(15 * time.Second)
	return w, l
}

// What a report costs, counted in machines and jobs looked at, is the same with four
// times the machines and tasks, also for work that is to start soon and looks
// for a machine with its image.
func TestHeartbeatCostsTheSameAtAnySize(t *testing.T) {
	cost := func(machines, tasks int) int {
		w, n := newBusyLeader(t, machines, tasks)
		l, now := n.leader, w.now-n.bootedAt
		l.GuaranteedStartWithin = 10 * time.Second
		for i, r := range l.PendingOrder {
			r.Job.EligibleAt, r.Job.Spec.Image, r.Job.Spec.ImageGB = now, fmt.Sprintf("new%d", i), 1
			if i < len(l.PendingOrder)/2 {
				r.Job.Spec.MemoryGB = 15 // no room on any machine, but each is asked
			}
			l.Slos[r.Job.Spec.Class] = []cluster.Slo{{Limit: 10 * time.Second, OnStart: true}}
		}
		at := l.CandidatesExamined
		for i, m := range l.MachinesByName()[:21] {
			rep := w.workers[m.Name].heartbeat()
			if i%2 == 0 { // a task has ended
				rep.Tasks[0].State, rep.Tasks[0].ExitReason = protocol.TaskExited, protocol.ExitDone
			}
			rep.Sequence = m.HeartbeatSeq + 1
			if !n.holdsLeaderLease() {
				t.Fatal("the lease has ended, though the clock stands still")
			}
			l.onWorkerHeartbeat(Request{Origin: Origin{RequestID: uint64(i)}, Kind: protocol.RequestHeartbeat, Heartbeat: rep})
			if m.HeartbeatSeq != rep.Sequence {
				t.Fatal("a report was not taken")
			}
			if i == 0 {
				at = l.CandidatesExamined // the first one after a pass looks for the images
			}
		}
		return l.CandidatesExamined - at
	}
	small, large := cost(24, 20), cost(96, 80)
	if small == 0 || large > small*5/4 {
		t.Errorf("20 reports looked at %d machines and jobs, and at %d with four times as many", small, large)
	}
}

// BenchmarkReport measures a leader's step for a report. Reports are most of its
// work, so it must not grow with machines x tasks.
func BenchmarkReport(b *testing.B) {
	w, l := newBenchmarkLeader(b)
	m := l.leader.Machines["m-000001"]
	rep := w.workers["m-000001"].heartbeat()
	now := w.now - l.bootedAt
	for i := 0; b.Loop(); i++ {
		// The clock stands still, within the leader's lease.
		rep.Sequence = m.HeartbeatSeq + 1
		l.Step(now, []Command{Request{Origin: Origin{RequestID: uint64(i)}, Kind: protocol.RequestHeartbeat, Heartbeat: rep}})
	}
	if m.HeartbeatSeq != rep.Sequence {
		b.Fatal("the reports were not taken")
	}
}

// BenchmarkPass measures a full pass of admission when a tenth of the machines
// have room.
func BenchmarkPass(b *testing.B) {
	_, l := newBenchmarkLeader(b)
	for b.Loop() {
		for i, m := range l.leader.MachinesByName() {
			if i%10 == 0 {
				for _, r := range m.AttemptsInOrder {
					l.leader.ReleaseAttempt(r)
				}
			}
		}
		l.leader.Schedule()
	}
}

// BenchmarkPlan measures the planning of the fleet.
func BenchmarkPlan(b *testing.B) {
	_, l := newBenchmarkLeader(b)
	for b.Loop() {
		l.leader.autoscaler.ApplyPlan()
	}
}
