package coordination

import (
	"cmp"
	"slices"
	"time"
)

// jobsWithinGuarantee returns the jobs that fit into their team's guaranteed resources together
// with the team's earlier unfinished jobs (fair share).
func (s *scheduler) guaranteed() map[*job]bool {
	if s.startWithin == 0 {
		return nil
	}
	used := map[string]usage{}
	inside := map[*job]bool{}
	for _, j := range s.byAge() {
		u := used[j.spec.Team]
		u.cores += float64(j.spec.Tasks) * j.spec.Cores
		u.accelerators += float64(j.spec.Tasks) * j.spec.Accelerators
		used[j.spec.Team] = u
		if t := s.cluster.Team(j.spec.Team); t != nil && u.cores <= t.CPUs+slack && u.accelerators <= t.GPUs+slack {
			inside[j] = true
		}
	}
	return inside
}

// exceedsGuarantee reports whether the job's team uses more than its guarantee, if the settings
// have a start objective for guaranteed work.
func (s *scheduler) beyondGuarantee(j *job) bool {
	t, use := s.cluster.Team(j.spec.Team), s.usage[j.spec.Team]
	return s.startWithin > 0 && t != nil && use != nil &&
		(use.cores > t.CPUs+slack || use.accelerators > t.GPUs+slack)
}

// preemptAfterDivisor sets how long guaranteed work waits before preemption, as a fraction of its
// start objective. Short tasks end all the time, so most jobs start without it.
const preemptAfter = 4

// preemptForGuarantees frees capacity for waiting guaranteed work. It stops tasks that other
// teams run beyond their guarantee, provided that they checkpoint. A task is preempted at most
// once and only after running long enough for its start to count, so that borrowed capacity still
// does useful work. Without preemption, long tasks that borrowed a third of the cores made
// guaranteed work wait for minutes.
func (s *scheduler) preempt() {
	if s.startWithin == 0 || s.clock.Now() < s.preemptedAt+s.report()/2 || !s.accountedAll() {
		return
	}
	s.preemptedAt = s.clock.Now()
	need := map[*job]float64{}
	inside := s.guaranteedJobs
	for _, r := range s.order {
		j := r.j
		if inside[j] && !j.gone && !j.bad && j.pending > 0 && (j.waits == waitRoom || j.waits == waitImage) &&
			s.clock.Now() > j.from+s.startWithin/preemptAfter {
			need[j] = float64(j.pending) * j.spec.Cores
		}
	}
	if len(need) == 0 {
		return
	}
	freed := 0.0
	var victims []*run
	for _, m := range s.held() {
		if !m.ready() {
			continue
		}
		for _, r := range m.list {
			switch {
			case r.stop != nil:
				freed += r.job.spec.Cores
			case r.phase == phaseRunning && r.job.spec.CheckpointS > 0 && s.clock.Now()-r.started >= countsAfter &&
				!r.job.moved[r.index] && !inside[r.job] && s.beyondGuarantee(r.job):
				victims = append(victims, r)
			}
		}
	}
	slices.SortStableFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.job.spec.Rank(), a.job.spec.Rank()), cmp.Compare(s.remaining(b), s.remaining(a)))
	})
	given := map[string]float64{} // by team that exceeds its guarantee
	for _, w := range s.order {
		j := w.j
		left := need[j]
		taken := min(left, freed)
		left, freed = left-taken, freed-taken
		for _, image := range []bool{true, false} {
			for i, r := range victims {
				if left <= slack {
					break
				}
				if r == nil || r.m.hasImage(j.spec.Image) != image || r.job.spec.Team == j.spec.Team || !allowed(&j.spec, r.m) ||
					s.remaining(r) < time.Duration(2*r.job.spec.SaveS*float64(time.Second))+s.report() {
					continue
				}
				team := r.job.spec.Team
				if s.usage[team].cores-given[team] <= s.cluster.Team(team).CPUs+slack {
					continue
				}
				given[team] += r.job.spec.Cores
				left -= r.job.spec.Cores
				s.move(r, s.saveGrace(r))
				victims[i] = nil
			}
		}
	}
	if len(given) > 0 {
		s.log.Info("tasks preempted for guaranteed work", "coresByTeam", given)
	}
}
