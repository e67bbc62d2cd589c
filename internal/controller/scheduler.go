package controller

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
)

// scheduler orders the pending jobs, makes the admission checks in their fixed order, places tasks on
// machines and preempts tasks in favour of guaranteed work.
type scheduler struct {
	*cluster.State
	scheduleState
	host schedulerHost
}

// schedulerHost is what the scheduler needs from the leader.
type schedulerHost interface {
	// mayRunUnreported reports whether tasks of a job may be running on machines that are not
	// reconciled yet.
	mayRunUnreported(j *cluster.Job, totals *cluster.MachineTotals) bool
	// nextAttemptNumber returns a number that no other attempt has.
	nextAttemptNumber() uint64
	// traceBlocked records the check that blocks a job, when it changes.
	traceBlocked(j *cluster.Job, was cluster.WaitReason)
}

// scheduleState holds the results of the last full scheduling pass.
type scheduleState struct {
	lastPass          clock.Instant         // last pass
	pendingOrder      []queuedJob           // pending jobs in scheduling order
	guaranteedJobs    map[*cluster.Job]bool // jobs that fit into their team's guarantee
	urgentWorkDelayed bool                  // urgent work had waited for too long
	preemptedAt       clock.Instant
	reconciledOnce    bool // all machines were reconciled at some time in this term
}

// passesPerHeartbeat is the maximum number of full scheduling passes per heartbeat interval.
const passesPerHeartbeat = 12

// schedule runs a full pass. For each job in queue order it checks the scheduler slots, the team
// quota and the overall quota, and then places the task on the best machine.
func (s *scheduler) schedule() {
	s.SchedulingNeeded, s.lastPass = false, s.Clock.Now()
	s.pendingOrder = s.buildQueue()
	s.urgentWorkDelayed = s.latencySensitiveWorkDelayed(s.pendingOrder)
	if len(s.pendingOrder) == 0 {
		s.renewReservations()
		return
	}
	pass := s.newSchedulingPass(s.urgentWorkDelayed)
	if pass.AllReconciled && !s.reconciledOnce {
		s.reconciledOnce = true
		s.Log.Info("all machines reconciled", "after", s.Clock.Now()-s.StartedAt)
	}
	for _, m := range s.MachinesByName() {
		if (m.Schedulable() || m.IsLastResort()) && m.HasSpareCapacity() {
			pass.machines = append(pass.machines, m)
		}
	}
	s.scheduleQueue(pass)
	s.renewReservations()
	s.preemptForGuarantees()
}

// scheduleOnMachine places waiting tasks on a machine that sends a heartbeat, in the queue order
// of the last full pass, so that the response carries new tasks in place of finished ones. A full
// pass for each heartbeat would cost machines x tasks.
func (s *scheduler) scheduleOnMachine(m *cluster.Machine) {
	if len(s.pendingOrder) == 0 || !m.Schedulable() || m.Draining || !m.HasSpareCapacity() {
		return
	}
	pass := s.newSchedulingPass(s.urgentWorkDelayed)
	pass.machines = []*cluster.Machine{m}
	s.scheduleQueue(pass)
}

// releaseUndelivered releases attempts that were not delivered to their machine in time, because
// its heartbeats stopped or its responses are lost. Received heartbeats alone do not prove that
// the machine will ever start them.
func (s *scheduler) releaseUndelivered() {
	patience := 2*s.HeartbeatInterval() + s.HeartbeatInterval()/2
	for _, m := range s.MachinesByName() {
		for _, r := range m.AttemptsInOrder {
			if r.Phase == cluster.AttemptAssigned && s.Clock.Now()-r.AssignedAt > patience {
				s.ReleaseAttempt(r)
				s.DelayTask(r.Job, r.TaskIndex, m, 0)
			}
		}
	}
}
