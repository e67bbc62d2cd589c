package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// Small tasks that keep arriving take each core as it becomes free, so that a task as large as a
// whole machine would never find room. So a machine is reserved for an overdue job. Each job with such
// tasks must start within four minutes, and the oldest one must complete, also if the jobs are bound to
// one machine type or zone, if there are several, and if the leader changes meanwhile.
func TestJobWithLargeTasksStartsOnFullFleet(t *testing.T) {
	for _, test := range []struct {
		name     string
		jobs     int
		cores    float64
		sameZone bool
		crash    bool
	}{
		{name: "a task of a whole machine", jobs: 1, cores: 4},
		{name: "three quarters of a machine", jobs: 1, cores: 3},
		{name: "bound to one zone", jobs: 1, cores: 4, sameZone: true},
		{name: "six at once", jobs: 6, cores: 4},
		{name: "a change of leader", jobs: 2, cores: 4, crash: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 3)
			sim.cloud.capacity = 6
			users := newUserSimulation(sim, 1)
			sim.taskDuration = func(string, int) time.Duration {
				return 15*time.Second + users.randomDuration(45*time.Second)
			}
			sim.waitForLeader()
			sim.startMachines(6)
			submittedAt := sim.now + 30*time.Second
			sim.schedule(30*time.Second, func() {
				for i := range test.jobs {
					largeJob := jobSpec(fmt.Sprintf("j-wide-%d", i), 8)
					largeJob.Priority, largeJob.Cores, largeJob.SameZone, largeJob.EstimatedSeconds =
						"low", test.cores, test.sameZone, 30
					if i%2 == 1 {
						largeJob.Zone = "b"
					}
					users.submitWithRetries(largeJob)
				}
			})
			if test.crash {
				sim.schedule(120*time.Second, users.replaceLeader)
			}
			smallJobs := 0
			fillUntil := func(end clock.Instant) { // submits more small jobs than the machines can process
				for ; sim.now < end; smallJobs++ {
					job := jobSpec(fmt.Sprintf("j-small-%d", smallJobs), 3)
					job.EstimatedSeconds = 30
					users.submitWithRetries(job)
					sim.advance(2 * time.Second)
				}
			}
			fillUntil(submittedAt + cluster.MaxStartDelay)
			for i := range test.jobs {
				if id := fmt.Sprintf("j-wide-%d", i); sim.firstStartAt[id] == 0 {
					t.Errorf("%s has not started within %v: %s", id, cluster.MaxStartDelay, sim.explainPending(id))
				}
			}
			fillUntil(submittedAt + 3*cluster.MaxStartDelay)
			// Six large jobs are more than half of what the machines can process in this time, so
			// only the oldest one, which is served first, must be done.
			if id := "j-wide-0"; sim.terminalState(id) != protocol.JobDone {
				t.Errorf("%s is not done after %v: %s", id, 3*cluster.MaxStartDelay, sim.explainPending(id))
			}
		})
	}
}

// A machine that stays reserved for a cancelled job, with no other job pending, would be kept for
// ever. The reservation must end when its job no longer waits.
func TestReservationEndsWithItsJob(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 1, 10*time.Minute, 1, 3)
	sim.cloud.capacity = 1
	largeJob := jobSpec("j-wide", 1)
	largeJob.Cores = 4
	sim.submit(leaderNode.name, largeJob)
	reserved := func() bool { return leaderNode.leader.Machines["m-000001"].ReservedFor != nil }
	if !sim.advanceUntil(cluster.MaxStartDelay, reserved) {
		t.Fatalf("no machine was reserved within %v: %s", cluster.MaxStartDelay, sim.explainPending("j-wide"))
	}
	sim.cancelJob(leaderNode.name, "j-wide")
	if !sim.advanceUntil(5*time.Second, func() bool { return !reserved() }) {
		t.Error("m-000001 is still reserved 5 s after the cancellation of j-wide")
	}
}
