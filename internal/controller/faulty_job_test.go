package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
)

// A job that was submitted with a mistake fails on every machine. It must not take healthy machines out of
// use: once, such a job made all machines of a small fleet unhealthy, neither its cancellation nor anything
// else took that back, and a healthy job waited beside free cores until the long tasks on them had ended. In
// the end a machine that really fails every task is still returned.
func TestFaultyJobKeepsNoMachineOutOfUse(t *testing.T) {
	for name, c := range map[string]struct {
		machines, faultyJobs int
		cancelled            bool
	}{
		"one machine, cancelled":                 {1, 1, true},
		"one machine, not cancelled":             {1, 1, false},
		"two machines, cancelled":                {2, 1, true},
		"two machines, not cancelled":            {2, 1, false},
		"two machines, two jobs, cancelled":      {2, 2, true},
		"two machines, two jobs, not cancelled":  {2, 2, false},
		"five machines, two jobs, not cancelled": {5, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 3)
			leaderNode := sim.waitForLeader()
			sim.cloud.capacity = c.machines
			sim.startMachines(c.machines)
			sim.taskDuration = func(task string, _ int) time.Duration {
				switch jobIDOf(task) {
				case "j-long":
					return time.Hour
				case "j-healthy":
					return 5 * time.Second
				}
				return time.Second / 2
			}
			long := jobSpec("j-long", c.machines) // three of four cores on each machine
			long.Cores, long.EstimatedSeconds = 3, 3600
			sim.submitAndStart(leaderNode.name, long, c.machines)
			for i := range c.faultyJobs {
				id := fmt.Sprint("j-faulty-", i)
				sim.failingJobs[id] = true
				sim.submit(leaderNode.name, jobSpec(id, 22))
			}
			sim.advance(8 * time.Second)
			for i := range c.faultyJobs {
				if c.cancelled {
					sim.cancelJob(leaderNode.name, fmt.Sprint("j-faulty-", i))
				}
			}
			sim.submit(leaderNode.name, jobSpec("j-healthy", 4))
			if !sim.advanceUntil(90*time.Second, func() bool { return sim.startCounts["j-healthy/0"] > 0 }) {
				t.Fatalf("the healthy job has not started after 90 s: %s", sim.explainPending("j-healthy"))
			}
			sim.waitForJobState("j-healthy", protocol.JobDone, time.Minute)
			for _, machine := range leaderNode.leader.Machines {
				if c.cancelled && machine.Unhealthy {
					t.Errorf("%s is unhealthy after the cancellation of the faulty jobs, want it in use", machine.Name)
				}
			}
		})
	}
}
