package coordination

import "hitchdoor/internal/config"

// slotUsage counts the scheduler slots of all machines that are up, and the taken ones by class
// of work: batch, and latency-sensitive (priorities prod and urgent).
type slots struct {
	total        float64
	batch, quick int
	quickWaits   bool
}

// takenSlots returns the number of slots in use by both classes.
func (s *slots) taken() int { return s.batch + s.quick }

// schedulingPass is the state shared by all checks and placements of one pass.
type pass struct {
	slots
	machineTotals
	machines []*machine // candidates of this pass
}

// newSchedulingPass returns a pass without machines, from the present totals.
func (s *scheduler) newPass(quickWaits bool) *pass {
	p := &pass{machineTotals: s.currentTotals()}
	p.slots = slots{total: p.machineTotals.slots, batch: s.active[0], quick: s.active[1], quickWaits: quickWaits}
	return p
}

// scheduleQueue places tasks of the queued jobs on the machines of a pass. Within a rank,
// machines that already have the image come first: a fetch occupies cores without progress and
// may take as long as a task.
func (s *scheduler) admitAll(p *pass) {
	for waiting := s.order; len(waiting) > 0; {
		same := 1
		for same < len(waiting) && waiting[same].rank == waiting[0].rank {
			same++
		}
		for _, fetch := range []bool{false, true} {
			for _, r := range waiting[:same] {
				s.looked++
				if len(p.machines) == 1 && !p.machines[0].hasSpace() {
					return // the only machine of the pass is full
				}
				if j := r.j; j.pending > 0 && !j.gone {
					most := j.pending
					if r.rank == rankOverdue {
						most = j.spec.Tasks/beginShare + 1 - len(j.runs)
					}
					was := j.waits
					j.waits = s.admit(j, p, fetch, most)
					s.host.traceWait(j, was)
				}
			}
		}
		waiting = waiting[same:]
	}
}

// scheduleJob starts as many tasks of a job as the checks allow, at most maxTasks, and returns
// the check that stopped it.
func (s *scheduler) admit(j *job, p *pass, fetch bool, most int) waitReason {
	if j.held {
		return waitQuarantine
	}
	if s.host.mayRunUnseen(j, &p.machineTotals) {
		return waitUnknown
	}
	if j.bad && s.outlives(j) {
		j.bad, j.probes = false, 0
		s.log.Info("job no longer fails everywhere", "job", j.spec.UID)
	}
	if j.bad {
		if len(j.runs) > 0 || s.clock.Now() < j.probeAt {
			return waitBackoff
		}
		most = 1
	}
	team := s.cluster.Team(j.spec.Team)
	use := s.usage[j.spec.Team]
	if team == nil || use == nil {
		return waitTeam
	}
	var at *candidates
	stopped := waitNothing
	leading := true // no pending task has been skipped yet
	for index := j.first; index < j.spec.Tasks; index++ {
		if j.pending == 0 || most <= 0 {
			return stopped
		}
		if j.taskState(index) != taskPending {
			if leading {
				j.first = index + 1 // avoids scanning up to 100,000 tasks again
			}
			continue
		}
		leading = false
		t := j.failures[index]
		if t != nil && s.clock.Now() < t.after {
			stopped = waitBackoff
			continue
		}
		if reason := s.checkLimits(j, p, team, use); reason != waitNothing {
			return reason
		}
		avoid := ""
		if t != nil && s.clock.Now() < t.until {
			avoid = t.avoid
		}
		if at == nil {
			at = s.candidates(j, p.machines, fetch)
		}
		m := at.leastLoaded(avoid)
		if m == nil {
			if avoid != "" {
				stopped = waitRoom
				continue
			}
			if at.quick {
				return waitImage
			}
			return waitRoom
		}
		if m.emptying && m.why == surplus {
			s.keep(m)
		}
		s.place(&run{job: j, index: index, attempt: s.host.nextAttempt(), m: m, phase: phaseAssigned, since: s.clock.Now()})
		at.placed(m)
		most--
		if pressing(&j.spec) {
			p.quick++
		} else {
			p.batch++
		}
	}
	return stopped
}

// checkLimits makes the three checks for one more task of a job, in order: scheduler slots, team
// quota, overall quota.
func (s *scheduler) checkLimits(j *job, p *pass, team *config.Team, use *usage) waitReason {
	switch {
	case !s.slotFree(j, p):
		return waitSlots
	case team.CPUsMax > 0 && use.cores+p.unknown.cores+j.spec.Cores > team.CPUsMax+slack,
		team.GPUsMax > 0 && use.accelerators+p.unknown.accelerators+j.spec.Accelerators > team.GPUsMax+slack:
		return waitTeam
	case float64(p.taken()+1) > p.total:
		return waitOverall
	}
	return waitNothing
}

// hasFreeSlot reports whether the job's class has a free scheduler slot. Batch work borrows the
// slots reserved for latency-sensitive work unless that is delayed.
func (s *scheduler) slotFree(j *job, p *pass) bool {
	if pressing(&j.spec) {
		return float64(p.quick+1) <= p.total
	}
	limit := p.total
	if p.quickWaits {
		limit *= s.settings.ClassShare
	}
	return float64(p.batch+1) <= limit
}
