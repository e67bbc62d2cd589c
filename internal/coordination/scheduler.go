package coordination

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
	mayRunUnseen(j *job, totals *machineTotals) bool
	// nextAttemptNumber returns a number that no other attempt has.
	nextAttempt() uint64
	// traceBlocked records the check that blocks a job, when it changes.
	traceWait(j *job, was waitReason)
}

// scheduleState holds the results of the last full scheduling pass.
type scheduleState struct {
	scheduled       Instant       // last pass
	order           []ranked      // pending jobs in scheduling order
	guaranteedJobs  map[*job]bool // jobs that fit into their team's guarantee
	pressingWaited  bool          // urgent work had waited for too long
	preemptedAt     Instant
	accountedBefore bool // all machines were reconciled at some time in this term
}

// passesPerHeartbeat is the maximum number of full scheduling passes per heartbeat interval.
const passesPerReport = 12

// schedule runs a full pass. For each job in queue order it checks the scheduler slots, the team
// quota and the overall quota, and then places the task on the best machine.
func (s *scheduler) schedule() {
	s.dirty, s.scheduled = false, s.clock.Now()
	s.order = s.waitingJobs()
	s.pressingWaited = s.quickWaits(s.order)
	if len(s.order) == 0 {
		s.renewReservations()
		return
	}
	p := s.newPass(s.pressingWaited)
	if p.complete && !s.accountedBefore {
		s.accountedBefore = true
		s.log.Info("all machines reconciled", "after", s.clock.Now()-s.since)
	}
	for _, m := range s.held() {
		if (m.ready() || m.lastResort()) && m.hasSpace() {
			p.machines = append(p.machines, m)
		}
	}
	s.admitAll(p)
	s.renewReservations()
	s.preempt()
}

// scheduleOnMachine places waiting tasks on a machine that sends a heartbeat, in the queue order
// of the last full pass, so that the response carries new tasks in place of finished ones. A full
// pass for each heartbeat would cost machines x tasks.
func (s *scheduler) fill(m *machine) {
	if len(s.order) == 0 || !m.ready() || m.emptying || !m.hasSpace() {
		return
	}
	p := s.newPass(s.pressingWaited)
	p.machines = []*machine{m}
	s.admitAll(p)
}

// releaseUndelivered releases attempts that were not delivered to their machine in time, because
// its heartbeats stopped or its responses are lost. Received heartbeats alone do not prove that
// the machine will ever start them.
func (s *scheduler) unassign() {
	patience := 2*s.report() + s.report()/2
	for _, m := range s.held() {
		for _, r := range m.list {
			if r.phase == phaseAssigned && s.clock.Now()-r.since > patience {
				s.release(r)
				s.delay(r.job, r.index, m, 0)
			}
		}
	}
}
