package controller

import (
	"testing"
	"time"

	"hitchdoor/internal/config"
)

// A team without a guarantee (the guest) borrows idle capacity with hour-long tasks, and work of a team
// with a guarantee of cores (the owner) could wait until these tasks end. Of the tasks that checkpoint,
// as many are preempted as the guaranteed work needs, each at most once and only after it has run long
// enough for its start to count. Tasks that don't checkpoint are not preempted.
func TestBorrowedCapacityIsReclaimed(t *testing.T) {
	for _, test := range []struct {
		name           string
		checkpointS    float64       // checkpoint interval of the guest's tasks; 0: no checkpoints
		guestRunTime   time.Duration // of the guest's tasks before the guaranteed work is submitted
		startLimit     time.Duration // time that the guaranteed tasks get to start
		wantPreemption bool          // of guest tasks, so that all guaranteed tasks start within startLimit
	}{
		{"tasks that checkpoint", 30, 40 * time.Second, 10 * time.Second, true},
		{"tasks that have just started", 30, 10 * time.Second, 10 * time.Second, false},
		{"tasks that have just started, longer limit", 30, 10 * time.Second, 35 * time.Second, true},
		{"tasks without checkpoints", 0, 40 * time.Second, 10 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
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
			guest.Priority, guest.EstimatedSeconds, guest.CheckpointIntervalSeconds, guest.CheckpointSaveSeconds =
				"low", 3600, test.checkpointS, 1
			sim.submitAndStart(leaderNode.name, guest, 8)
			sim.advance(test.guestRunTime)
			owner := jobSpec("j-owner", 3)
			owner.Team, owner.EstimatedSeconds = "owner", 60
			sim.submit(leaderNode.name, owner)
			if got := sim.advanceUntil(test.startLimit,
				func() bool { return sim.activeTaskCount("j-owner") == 3 }); got != test.wantPreemption {
				t.Fatalf("guaranteed tasks running within %v: got %d, want all 3: %t", test.startLimit,
					sim.activeTaskCount("j-owner"), test.wantPreemption)
			}
			if test.wantPreemption {
				sim.advance(time.Minute)
				if n := sim.activeTaskCount("j-guest"); n != 5 {
					t.Errorf("tasks of the guest running beside 3 guaranteed ones: got %d, want 5", n)
				}
			}
			for task, n := range sim.startCounts {
				if n > 2 {
					t.Errorf("starts of %s: got %d, want at most 2", task, n)
				}
			}
		})
	}
}
