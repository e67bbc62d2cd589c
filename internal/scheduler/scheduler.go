// Package scheduler decides which task starts next and where: it orders the pending jobs, makes the
// admission checks (scheduler slots, team quota, overall quota), places tasks on the least loaded
// machines, reserves room for jobs that waited too long and preempts tasks in favour of guaranteed
// work. It changes the cluster state through the transitions of package cluster alone, and sends
// nothing: the commands go out with the responses to heartbeats.
package scheduler

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
)

// Scheduler orders the pending jobs, makes the admission checks in their fixed order, places tasks on
// machines and preempts tasks in favour of guaranteed work.
type Scheduler struct {
	*cluster.State
	ScheduleState
	Host Host
}

// Host is what the scheduler needs from the leader.
type Host interface {
	// MayRunUnreported reports whether tasks of a job may be running on machines that are not
	// reconciled yet.
	MayRunUnreported(job *cluster.Job, totals *cluster.MachineTotals) bool
	// NextAttemptNumber returns a number that no other attempt has.
	NextAttemptNumber() uint64
	// TraceBlocked records the check that blocks a job, when it changes.
	TraceBlocked(job *cluster.Job, previous cluster.WaitReason)
}

// ScheduleState holds the results of the last full scheduling pass.
type ScheduleState struct {
	LastPass                clock.Instant         // time of the pass
	PendingOrder            []QueuedJob           // pending jobs in scheduling order
	guaranteedJobs          map[*cluster.Job]bool // jobs that fit into their team's guarantee
	latencySensitiveDelayed bool                  // latency-sensitive work has waited for too long
	preemptionTriedAt       clock.Instant         // when preemption was last tried
	ReconciledOnce          bool                  // all machines were reconciled at some time in this term
}

// PassesPerHeartbeat is the maximum number of full scheduling passes per heartbeat interval.
const PassesPerHeartbeat = 12

// Schedule runs a full pass. For each job in queue order it checks the scheduler slots, the team
// quota and the overall quota, and then places the task on the best machine.
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
		if (machine.Schedulable() || machine.IsLastResort()) && machine.HasSpareCapacity() {
			pass.machines = append(pass.machines, machine)
		}
	}
	s.scheduleQueue(pass)
	s.renewReservations()
	s.preemptForGuarantees()
}

// ScheduleOnMachine places waiting tasks on a machine that sends a heartbeat, in the queue order
// of the last full pass, so that the response carries new tasks in place of finished ones. A full
// pass for each heartbeat would cost machines x tasks.
func (s *Scheduler) ScheduleOnMachine(machine *cluster.Machine) {
	if len(s.PendingOrder) == 0 || !machine.Schedulable() || machine.Draining || !machine.HasSpareCapacity() {
		return
	}
	pass := s.newSchedulingPass(s.latencySensitiveDelayed)
	pass.machines = []*cluster.Machine{machine}
	s.scheduleQueue(pass)
}

// ReleaseUndelivered releases attempts that were not delivered to their machine in time, because
// its heartbeats stopped or its responses are lost. Received heartbeats alone do not prove that
// the machine will ever start them.
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
