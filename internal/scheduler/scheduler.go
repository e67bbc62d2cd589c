// Package scheduler decides which task starts next and where. It orders the pending jobs, makes the
// admission checks (scheduler slots, team quota, overall quota), places tasks on the least loaded
// machines, reserves capacity for jobs that have waited too long, and preempts tasks to free capacity
// for guaranteed work, which fits into the resources that the settings guarantee to its team. The
// package changes the cluster state only through the transitions of package cluster. It sends no
// commands to workers: these are part of the responses to heartbeats.
package scheduler

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
)

// Scheduler runs scheduling passes over a cluster state, either over all machines or for the one
// whose heartbeat is being processed. The zero ScheduleState is ready to use.
type Scheduler struct {
	*cluster.State
	ScheduleState
	Host Host
}

// Host is the interface to the leader that the scheduler belongs to.
type Host interface {
	// MayRunUnreported reports whether tasks of a job may be running on machines that are not
	// reconciled yet: this leader does not know all their tasks.
	MayRunUnreported(job *cluster.Job, totals *cluster.MachineTotals) bool
	// NextAttemptNumber returns a number for a new attempt, which no other attempt has.
	NextAttemptNumber() uint64
	// TraceBlocked records in the job's trace the check that now blocks it, if that differs from previous.
	TraceBlocked(job *cluster.Job, previous cluster.WaitReason)
}

// ScheduleState holds the results of the last full scheduling pass.
type ScheduleState struct {
	LastPass                    clock.Instant         // start of the pass
	PendingOrder                []QueuedJob           // pending jobs in scheduling order
	guaranteedJobs              map[*cluster.Job]bool // see jobsWithinGuarantee
	latencySensitiveDelayed     bool                  // see LatencySensitiveWorkDelayed
	pendingWithoutCoresOrMemory bool                  // some pending job requires no cores or no memory
	preemptionTriedAt           clock.Instant         // time of the last search for tasks to preempt
	ReconciledOnce              bool                  // all machines were reconciled in some pass of this term
}

// PassesPerHeartbeat is the maximum number of full scheduling passes per heartbeat interval.
const PassesPerHeartbeat = 12

// Schedule runs a full scheduling pass. For each task of the pending jobs, in queue order, it checks
// the scheduler slots, the team quota and the overall quota, and then places the task on the best
// machine. Afterwards it renews the reservations and preempts tasks for guaranteed work.
func (s *Scheduler) Schedule() {
	s.SchedulingNeeded, s.LastPass = false, s.Clock.Now()
	s.PendingOrder = s.BuildQueue()
	s.latencySensitiveDelayed = s.LatencySensitiveWorkDelayed(s.PendingOrder)
	if len(s.PendingOrder) == 0 {
		s.renewReservations()
		return
	}
	pass := s.newSchedulingPass(s.latencySensitiveDelayed)
	if pass.AllReconciled && !s.ReconciledOnce {
		s.ReconciledOnce = true
		s.Log.Info("all machines reconciled", "after", s.Clock.Now()-s.StartedAt)
	}
	for _, machine := range s.MachinesByName() {
		if (machine.Schedulable() || machine.IsLastResort()) && s.mayHaveRoom(machine) {
			pass.machines = append(pass.machines, machine)
		}
	}
	s.scheduleQueue(pass)
	s.renewReservations()
	s.preemptForGuarantees()
}

// ScheduleOnMachine places pending tasks on a machine whose heartbeat is being processed, so that the
// response can start new tasks in place of finished ones. It uses the queue order of the last full
// pass, because a full pass for each heartbeat would cost machines x tasks.
func (s *Scheduler) ScheduleOnMachine(machine *cluster.Machine) {
	if len(s.PendingOrder) == 0 || !machine.Schedulable() || machine.Draining || !s.mayHaveRoom(machine) {
		return
	}
	pass := s.newSchedulingPass(s.latencySensitiveDelayed)
	pass.machines = []*cluster.Machine{machine}
	s.scheduleQueue(pass)
}

// mayHaveRoom reports whether a machine may have room for a task of a pending job.
func (s *Scheduler) mayHaveRoom(machine *cluster.Machine) bool {
	return machine.HasSpareCapacity() || s.pendingWithoutCoresOrMemory
}

// ReleaseUndelivered releases attempts whose start command has not reached their machine in time,
// because the machine's heartbeats have stopped or the responses to them are lost. The time limit
// also applies to machines whose heartbeats arrive, because those may never receive a response.
func (s *Scheduler) ReleaseUndelivered() {
	maxUndelivered := 2*s.HeartbeatInterval() + s.HeartbeatInterval()/2
	for _, machine := range s.MachinesByName() {
		for _, attempt := range machine.AttemptsInOrder {
			if attempt.Phase == cluster.AttemptAssigned && s.Clock.Now()-attempt.AssignedAt > maxUndelivered {
				s.ReleaseAttempt(attempt)
				s.DelayTask(attempt.Job, attempt.TaskIndex, machine, 0)
			}
		}
	}
}
