package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
)

// tinySpec returns a batch job of low priority whose tasks take the given amounts and run for ten minutes.
func tinySpec(id string, tasks int, cores, memoryGB float64) protocol.Job {
	spec := jobSpec(id, tasks)
	spec.Priority, spec.Cores, spec.MemoryGB, spec.EstimatedSeconds = protocol.PriorityLow, cores, memoryGB, 600
	return spec
}

// No job may be left waiting for 90 s while a machine has room for its tasks and its team is within its quota,
// whatever holds it back: once, one-task jobs of a quarter core used up the scheduler slots, and other jobs, one
// of a higher priority, waited until these jobs ended. The machines have 4 cores, 16 GB and 14 slots each, and no
// more can be rented; the leader may return one that it does not need. Running tasks do not end, so nothing else makes room.
func TestNoJobIsLeftWaitingBesideRoom(t *testing.T) {
	const fourCores = 4.0
	for name, c := range map[string]struct {
		machines int
		submit   func(c *userSimulation) // submits the jobs that could hold back the others, and waits
		waiting  []protocol.Job          // jobs that must start within 90 s, all tasks of them
	}{
		"one-task jobs of a quarter core": {2, func(c *userSimulation) { c.submitTinyJobs(28, 0.1, 0.1) },
			[]protocol.Job{jobSpec("j-own", 4), tinySpec("j-late", 4, 0.1, 0.1)}},
		"one-task jobs of almost no cores": {2, func(c *userSimulation) { c.submitTinyJobs(120, 0.01, 0.01) },
			[]protocol.Job{jobSpec("j-own", 2), tinySpec("j-late", 40, 0.01, 0.01)}},
		"an array of almost no cores": {2, func(c *userSimulation) { c.submitAndStart("n0", tinySpec("j-array", 150, 0.01, 0.01), 28) },
			[]protocol.Job{jobSpec("j-own", 2)}},
		"tasks without any cores on a machine without free cores": {1,
			func(c *userSimulation) { c.submitAndStart("n0", tinySpec("j-full", 1, fourCores, 0.1), 1) },
			[]protocol.Job{tinySpec("j-memory", 2, 0, 1)}},
		"tasks without any memory on a machine without free memory": {1,
			func(c *userSimulation) { c.submitAndStart("n0", tinySpec("j-full", 1, 0.1, 16), 1) },
			[]protocol.Job{tinySpec("j-cores", 2, 1, 0)}},
		"batch work may not borrow slots": {2, func(c *userSimulation) {
			urgent := jobSpec("j-urgent", 1)
			urgent.Priority, urgent.Cores = protocol.PriorityUrgent, fourCores
			c.submitTinyJobs(48, 0.01, 0.01)
			c.submit("n0", urgent)
		}, []protocol.Job{tinySpec("j-late", 10, 0.01, 0.01)}},
		"a reservation for a task of a whole machine": {1, func(c *userSimulation) {
			c.submitAndStart("n0", tinySpec("j-long", 1, 1, 1), 1)
			whole := jobSpec("j-whole", 1)
			whole.Cores = fourCores
			c.submit("n0", whole)
			c.advance(100 * time.Second)
		}, []protocol.Job{jobSpec("j-own", 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newUserSimulation(newSimulation(t, 3), 1)
			sim.taskDuration = func(string, int) time.Duration { return 20 * time.Minute }
			sim.waitForLeader()
			sim.cloud.capacity = c.machines
			sim.startMachines(c.machines)
			c.submit(sim)
			for _, job := range c.waiting {
				sim.submit("n0", job)
			}
			sim.advance(90 * time.Second)
			for _, job := range c.waiting {
				if running := sim.activeTaskCount(job.ID); running != job.TaskCount {
					t.Errorf("tasks of %s that run after 90 s: got %d, want %d; %s", job.ID, running, job.TaskCount,
						sim.explainPending(job.ID))
				}
			}
		})
	}
}

// submitTinyJobs submits one-task jobs and waits until as many of them run as slots allow.
func (c *userSimulation) submitTinyJobs(count int, cores, memoryGB float64) {
	c.t.Helper()
	for i := range count {
		c.submit("n0", tinySpec(fmt.Sprintf("j-tiny-%d", i), 1, cores, memoryGB))
	}
	c.advance(10 * time.Second)
}

// Tasks that require nothing fit on a machine in any number, so only the size of a heartbeat limits them: a
// worker that had to report more could not send a heartbeat, and would lose its lease with all its tasks.
func TestHeartbeatsStayWithinTheLimitOfABody(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.cloud.capacity = 1
	sim.startMachines(1)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	largest := 0
	sim.onHeartbeat = func(_ *fakeWorker, heartbeat *protocol.WorkerHeartbeat) {
		largest = max(largest, len(encodeBody(heartbeat)))
	}
	sim.submit(leaderNode.name, tinySpec("j-nothing", 5000, 0, 0))
	sim.advance(3 * time.Minute)
	if running := sim.activeTaskCount("j-nothing"); largest > protocol.MaxBodyBytes || running < 400 {
		t.Errorf("largest heartbeat: got %d bytes with %d tasks, want at most %d bytes and at least 400 tasks",
			largest, running, protocol.MaxBodyBytes)
	}
}
