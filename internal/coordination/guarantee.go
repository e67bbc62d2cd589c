package coordination

import (
	"cmp"
	"slices"
	"time"
)

// jobsWithinGuarantee returns the jobs that fit into their team's guaranteed resources together
// with the team's earlier unfinished jobs (fair share).
func (l *leadership) guaranteed() map[*job]bool {
	if l.startWithin == 0 {
		return nil
	}
	used := map[string]usage{}
	inside := map[*job]bool{}
	for _, j := range l.byAge() {
		u := used[j.spec.Team]
		u.cores += float64(j.spec.Tasks) * j.spec.Cores
		u.accelerators += float64(j.spec.Tasks) * j.spec.Accelerators
		used[j.spec.Team] = u
		if t := l.n.team(j.spec.Team); t != nil && u.cores <= t.CPUs+slack && u.accelerators <= t.GPUs+slack {
			inside[j] = true
		}
	}
	return inside
}

// exceedsGuarantee reports whether the job's team uses more than its guarantee, if the settings
// have a start objective for guaranteed work.
func (l *leadership) beyondGuarantee(j *job) bool {
	t, use := l.n.team(j.spec.Team), l.usage[j.spec.Team]
	return l.startWithin > 0 && t != nil && use != nil &&
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
func (l *leadership) preempt() {
	n := l.n
	if l.startWithin == 0 || n.now < l.preemptedAt+n.report()/2 || !l.accountedAll() {
		return
	}
	l.preemptedAt = n.now
	need := map[*job]float64{}
	inside := l.guaranteedJobs
	for _, r := range l.order {
		j := r.j
		if inside[j] && !j.gone && !j.bad && j.pending > 0 && (j.waits == waitRoom || j.waits == waitImage) &&
			n.now > j.from+l.startWithin/preemptAfter {
			need[j] = float64(j.pending) * j.spec.Cores
		}
	}
	if len(need) == 0 {
		return
	}
	freed := 0.0
	var victims []*run
	for _, m := range l.held() {
		if !m.ready() {
			continue
		}
		for _, r := range m.list {
			switch {
			case r.stop != nil:
				freed += r.job.spec.Cores
			case r.phase == phaseRunning && r.job.spec.CheckpointS > 0 && n.now-r.started >= countsAfter &&
				!r.job.moved[r.index] && !inside[r.job] && l.beyondGuarantee(r.job):
				victims = append(victims, r)
			}
		}
	}
	slices.SortStableFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.job.spec.Rank(), a.job.spec.Rank()), cmp.Compare(l.remaining(b), l.remaining(a)))
	})
	given := map[string]float64{} // by team that exceeds its guarantee
	for _, w := range l.order {
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
					l.remaining(r) < time.Duration(2*r.job.spec.SaveS*float64(time.Second))+n.report() {
					continue
				}
				team := r.job.spec.Team
				if l.usage[team].cores-given[team] <= n.team(team).CPUs+slack {
					continue
				}
				given[team] += r.job.spec.Cores
				left -= r.job.spec.Cores
				l.move(r, l.saveGrace(r))
				victims[i] = nil
			}
		}
	}
	if len(given) > 0 {
		n.log.Info("tasks preempted for guaranteed work", "coresByTeam", given)
	}
}
