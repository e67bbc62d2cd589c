package controller

import (
	"testing"
	"time"

	"hitchdoor/internal/config"
)

// A team without a guarantee borrows idle capacity and is preempted in time: of its tasks that
// checkpoint, as many are stopped as guaranteed work needs, not before their start counts, and each
// once. Tasks that don't checkpoint run on.
func TestBorrowedCapacityIsReclaimed(t *testing.T) {
	for _, c := range []struct {
		name       string
		checkpoint float64
		ran        time.Duration
		begins     time.Duration
		within     bool
	}{
		{"tasks that save", 30, 40 * time.Second, 10 * time.Second, true},
		{"tasks that have just started", 30, 10 * time.Second, 10 * time.Second, false},
		{"tasks that save, later", 30, 10 * time.Second, 35 * time.Second, true},
		{"tasks that don't save", 0, 40 * time.Second, 10 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			sim.cfg.Teams = append(sim.cfg.Teams, config.Team{Name: "owner", GuaranteedCPUs: 4})
			sim.cfg.Objectives = []config.Objective{{Kind: "guarantee", WithinS: 10, MinShare: 0.9}}
			for _, name := range sim.names {
				sim.startNode(name)
			}
			sim.cloud.capacity = 2
			sim.taskDuration = func(string, int) time.Duration { return time.Hour }
			leaderNode := sim.waitForLeader()
			sim.startMachines(2)
			guest := jobSpec("j-guest", 12)
			guest.Priority, guest.EstimatedSeconds, guest.CheckpointIntervalSeconds, guest.CheckpointSaveSeconds = "low", 3600, c.checkpoint, 1
			sim.submitAndStart(leaderNode.name, guest, 8)
			sim.advance(c.ran)
			owner := jobSpec("j-owner", 3)
			owner.Team, owner.EstimatedSeconds = "owner", 60
			sim.submit(leaderNode.name, owner)
			if got := sim.advanceUntil(c.begins,
				func() bool { return sim.activeTaskCount("j-owner") == 3 }); got != c.within {
				t.Fatalf("%d of 3 guaranteed tasks run after %v", sim.activeTaskCount("j-owner"), c.begins)
			}
			if c.within {
				sim.advance(time.Minute)
				if n := sim.activeTaskCount("j-guest"); n != 5 {
					t.Errorf("%d of the guest's tasks run beside 3, not 5", n)
				}
			}
			for task, n := range sim.startCounts {
				if n > 2 {
					t.Errorf("%s was started %d times", task, n)
				}
			}
		})
	}
}
