package controller

import "hitchdoor/internal/clock"

// scheduler orders the pending jobs, makes the admission checks in their fixed order, places tasks on
// machines and preempts tasks in favour of guaranteed work.
type scheduler struct {
	*clusterState
	scheduleState
	host schedulerHost
}

// schedulerHost is what the scheduler needs from the leader.
type schedulerHost interface {
	// mayRunUnreported reports whether tasks of a job may be running on machines that are not
	// reconciled yet.
	mayRunUnreported(j *job, totals *machineTotals) bool
	// nextAttemptNumber returns a number that no other attempt has.
	nextAttemptNumber() uint64
	// traceBlocked records the check that blocks a job, when it changes.
	traceBlocked(j *job, was waitReason)
}

// scheduleState holds the results of the last full scheduling pass.
type scheduleState struct {
	lastPass          clock.Instant // last pass
	pendingOrder      []queuedJob   // pending jobs in scheduling order
	guaranteedJobs    map[*job]bool // jobs that fit into their team's guarantee
	urgentWorkDelayed bool          // urgent work had waited for too long
	preemptedAt       clock.Instant
	reconciledOnce    bool // all machines were reconciled at some time in this term
}

// passesPerHeartbeat is the maximum number of full scheduling passes per heartbeat interval.
const passesPerHeartbeat = 12

// schedule runs a full pass. For each job in queue order it checks the scheduler slots, the team
// quota and the overall quota, and then places the task on the best machine.
func (s *scheduler) schedule() {
	s.schedulingNeeded, s.lastPass = false, s.clock.Now()
	s.pendingOrder = s.buildQueue()
	s.urgentWorkDelayed = s.latencySensitiveWorkDelayed(s.pendingOrder)
	if len(s.pendingOrder) == 0 {
		s.renewReservations()
		return
	}
	pass := s.newSchedulingPass(s.urgentWorkDelayed)
	if pass.allReconciled && !s.reconciledOnce {
		s.reconciledOnce = true
		s.log.Info("all machines reconciled", "after", s.clock.Now()-s.startedAt)
	}
	for _, m := range s.machinesByName() {
		if (m.schedulable() || m.isLastResort()) && m.hasSpareCapacity() {
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
func (s *scheduler) scheduleOnMachine(m *machine) {
	if len(s.pendingOrder) == 0 || !m.schedulable() || m.draining || !m.hasSpareCapacity() {
		return
	}
	pass := s.newSchedulingPass(s.urgentWorkDelayed)
	pass.machines = []*machine{m}
	s.scheduleQueue(pass)
}

// releaseUndelivered releases attempts that were not delivered to their machine in time, because
// its heartbeats stopped or its responses are lost. Received heartbeats alone do not prove that
// the machine will ever start them.
func (s *scheduler) releaseUndelivered() {
	patience := 2*s.heartbeatInterval() + s.heartbeatInterval()/2
	for _, m := range s.machinesByName() {
		for _, r := range m.attemptsInOrder {
			if r.phase == attemptAssigned && s.clock.Now()-r.assignedAt > patience {
				s.releaseAttempt(r)
				s.delayTask(r.job, r.taskIndex, m, 0)
			}
		}
	}
}
