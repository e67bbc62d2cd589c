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
// whole machine would never find room. A machine is reserved for a job that is overdue, and the job
// starts within four minutes and, oldest first, completes. Jobs that are bound to one machine type
// or one zone, several at once, and a change of leader meanwhile are no exception.
func TestJobWithLargeTasksStartsOnFullFleet(t *testing.T) {
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 3)
			sim.cloud.capacity = 6
			users := newUserSimulation(sim, 1)
			sim.taskDuration = func(string, int) time.Duration { return 15*time.Second + users.randomDuration(45*time.Second) }
			sim.waitForLeader()
			sim.startMachines(6)
			submitted := sim.now + 30*time.Second
			sim.schedule(30*time.Second, func() {
				for i := range c.jobs {
					wide := jobSpec(fmt.Sprintf("j-wide-%d", i), 8)
					wide.Priority, wide.Cores, wide.SameZone, wide.EstimatedSeconds = "low", c.cores, c.sameZone, 30
					if i%2 == 1 {
						wide.Zone = "b"
					}
					users.submitWithRetries(wide)
				}
			})
			if c.crash {
				sim.schedule(120*time.Second, users.replaceLeader)
			}
			small := 0
			fillUntil := func(end clock.Instant) { // with more small work than the machines can process
				for ; sim.now < end; small++ {
					job := jobSpec(fmt.Sprintf("j-small-%d", small), 3)
					job.EstimatedSeconds = 30
					users.submitWithRetries(job)
					sim.advance(2 * time.Second)
				}
			}
			fillUntil(submitted + cluster.MaxStartDelay)
			for i := range c.jobs {
				if id := fmt.Sprintf("j-wide-%d", i); sim.firstStartAt[id] == 0 {
					t.Errorf("%s has not begun after four minutes: %s", id, sim.explainPending(id))
				}
			}
			fillUntil(submitted + 3*cluster.MaxStartDelay)
			// Six of them are more than half of what the machines can process in this time; the
			// oldest is served first.
			if id := "j-wide-0"; sim.terminalState(id) != protocol.JobDone {
				t.Errorf("%s is not done after %v: %s", id, 3*cluster.MaxStartDelay, sim.explainPending(id))
			}
		})
	}
}

// A reservation ends with the wait that it was made for: a machine that is reserved for a cancelled
// job, with no other job pending, would be kept for ever.
func TestReservationEndsWithItsJob(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 1, 10*time.Minute, 1, 3)
	sim.cloud.capacity = 1
	wide := jobSpec("j-wide", 1)
	wide.Cores = 4
	sim.submit(leaderNode.name, wide)
	reserved := func() bool { return leaderNode.leader.Machines["m-000001"].ReservedFor != nil }
	if !sim.advanceUntil(cluster.MaxStartDelay, reserved) {
		t.Fatalf("no machine is reserved: %s", sim.explainPending("j-wide"))
	}
	sim.cancelJob(leaderNode.name, "j-wide")
	if !sim.advanceUntil(5*time.Second, func() bool { return !reserved() }) {
		t.Error("the machine is still reserved")
	}
}
