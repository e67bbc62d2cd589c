package coordination

import (
	"math"
	"time"

	"hitchdoor/internal/config"
)

func (l *leadership) delay(j *job, index int, m *machine, d time.Duration) {
	t := j.failures[index]
	if t == nil {
		t = &failureHistory{}
		j.failures[index] = t
	}
	t.after, t.avoid, t.until = l.n.now+d, m.name, l.n.now+d+l.n.lease()
}

// Failures: from how many machines a job without any success is taken for bad,
// and from how many tasks in a row a machine is taken for sick.
const (
	badJobMachines   = 3
	sickMachineTasks = 2
)

// probeWithin is after what time, at most, a job that fails everywhere is tried again: a
// job may not be left waiting for 90 s, and its mistake may lie in what it reads.
const probeWithin = mustBegin / 4

// failed counts a failure of a task that ran for a time. The task is retried at once on
// another machine; if it fails again it backs off, as an accepted job must run in the end.
func (l *leadership) failed(m *machine, j *job, index int, ran time.Duration) {
	j.failedOn[m.name] = true
	j.failedAfter = max(j.failedAfter, ran)
	if len(j.failedOn) >= badJobMachines && j.done == 0 {
		// It fails everywhere: that is the job's own mistake, and no machine's.
		if !j.bad {
			l.n.log.Info("job fails on every machine", "job", j.spec.UID)
			for _, r := range j.runs {
				if r.phase == phaseAssigned {
					l.release(r)
				}
			}
		}
		j.bad = true
	}
	l.delay(j, index, m, 0)
	t := j.failures[index]
	t.failures++
	if t.failures > 1 {
		t.after = l.n.now + min(l.n.report()<<min(t.failures-1, 10), 4*l.n.lease())
	}
	if j.bad {
		// From now on one task at a time tells whether it still does. Each of hundreds of
		// tasks was tried again and again, at the price of work that runs.
		if l.n.now >= j.probeAt { // else it was started before that was known
			j.probes++
			j.probeAt = l.n.now + min(l.n.lease()<<min(j.probes, 10)/2, probeWithin)
		}
		t.after = l.n.now
		return
	}
	m.failures++
	m.failedJobs[j.spec.UID] = true
	if m.failures >= sickMachineTasks && !m.sick && (len(m.failedJobs) > 1 || j.done > 0 || m.failures >= 2*sickMachineTasks) {
		m.sick = true
		l.leave(m, sick)
	}
}

// outlives tells whether a task of a job that is taken for bad has been running for so much
// longer than any other did before it failed, that the machines were at fault. Waiting for
// its end would cost a healthy job, whose first tasks all met faulty machines, a whole run.
func (l *leadership) outlives(j *job) bool {
	for _, r := range j.runs {
		if r.phase == phaseRunning && l.n.now-r.started > 2*(j.failedAfter+l.n.report()) {
			return true
		}
	}
	return false
}

// Slow machines: how many of the last tasks are looked at, how many at least,
// and how many times the expected time they must take on the mean. Run times
// differ by a factor of two anyway.
const (
	paceMemory  = 4
	paceTasks   = 2
	paceTooSlow = 2.2
	// paceSiblings is how many tasks of a job tell how long the others take.
	paceSiblings = 3
)

// paced notes how fast a machine ran a task, against the job's other tasks:
// estimates are wrong for all tasks of a job alike.
func (l *leadership) paced(m *machine, j *job, took time.Duration) {
	if usual, ok := j.usualTook(); ok {
		if len(m.pace) == paceMemory {
			m.pace = m.pace[1:]
		}
		m.pace = append(m.pace, math.Log(float64(took)/float64(usual)))
	}
	j.tookSum += math.Log(float64(took))
	j.tookCount++
	j.usual = time.Duration(math.Exp(j.tookSum / j.tookCount))
}

// usualTook is how long the job's finished tasks took, once there are some.
func (j *job) usualTook() (time.Duration, bool) {
	if j.tookCount < paceSiblings {
		return 0, false
	}
	return j.usual, true
}

// checkPace empties a machine that runs its tasks far slower than their siblings
// run elsewhere. What is on it moves if it would be done sooner from the start.
func (l *leadership) checkPace(m *machine) {
	if !m.up || m.why == slow {
		return
	}
	sum, count := 0.0, 0
	for _, p := range m.pace {
		sum += p
		count++
	}
	for _, r := range m.list {
		// A task that is overdue says as much as one that has ended.
		if r.phase != phaseRunning || r.job.moved[r.index] {
			continue
		}
		if usual, ok := r.job.usualTook(); ok && l.n.now-r.started > 3*usual/2 {
			ran := l.n.now - r.started
			sum += math.Log(float64(ran) / float64(usual))
			count++
		}
	}
	if count < paceTasks || sum/float64(count) < math.Log(paceTooSlow) {
		return
	}
	factor := math.Exp(sum / float64(count))
	l.n.log.Info("machine is slow", "machine", m.name, "factor", factor, "tasks", count)
	l.leave(m, slow)
	for _, r := range m.list {
		want := l.expected(r.job)
		if usual, ok := r.job.usualTook(); ok {
			want = usual
		}
		ran := l.n.now - r.started
		left := time.Duration(float64(want)*factor) - ran
		if left < ran && ran > want {
			left = ran // overdue: the factor is but a lower bound
		}
		switch {
		case r.stop != nil || r.job.moved[r.index]:
		case r.phase != phaseRunning:
			l.stopRun(r, 0)
		case r.job.spec.CheckpointS > 0:
			l.move(r, l.saveGrace(r))
		case left > want:
			l.move(r, 0)
		}
	}
}

// move stops a run so that it goes on elsewhere, once: a task that simply takes
// longer than its siblings looks the same on every machine, and was stopped on one
// after the other for ever.
func (l *leadership) move(r *run, grace float64) {
	if r.job.moved == nil {
		r.job.moved = map[int]bool{}
	}
	r.job.moved[r.index] = true
	l.stopRun(r, grace)
}

// saveGrace is the time a task is given to save, with room for a slow machine.
func (l *leadership) saveGrace(r *run) float64 {
	return 2*r.job.spec.SaveS + l.n.report().Seconds()
}

// takeNotice drains a machine that the cloud is about to take.
func (l *leadership) takeNotice(m *machine, notice *float64) {
	if notice == nil {
		return
	}
	left := config.Seconds(*notice)
	if m.notice == never {
		l.n.log.Info("spot notice", "machine", m.name, "left", left)
		l.dirty = true
	}
	m.notice = l.n.now + left
	l.leave(m, noticed)
	for _, r := range m.list {
		if r.stop != nil {
			continue
		}
		if l.remaining(r) <= left {
			continue
		}
		grace := 0.0
		if r.job.spec.CheckpointS > 0 {
			grace = *notice
		}
		l.stopRun(r, grace)
	}
}

// remaining is how long a run should still take.
func (l *leadership) remaining(r *run) time.Duration { return l.remainingOf(r, l.expected(r.job)) }

// remainingOf is the same of a run that is expected to take want in all.
func (l *leadership) remainingOf(r *run, want time.Duration) time.Duration {
	if r.phase == phaseRunning {
		return max(want-(l.n.now-r.started), want/8)
	}
	return want
}

// cause is why a machine is returned, as operators read it.
type cause string

const (
	surplus     cause = "surplus"       // it is no longer needed
	noticed     cause = "notice"        // the cloud takes it soon
	slow        cause = "slow"          // it runs its tasks far slower than others
	sick        cause = "sick"          // tasks fail on it
	deaf        cause = "deaf"          // it hears no answer
	silent      cause = "silent"        // it does not report
	neverUp     cause = "never came up" // it has not reported yet
	failedAlone cause = "failed"        // it stopped on its own, says the cloud
	notListed   cause = "not listed"    // the cloud does not name it
)

// leave marks a machine to be returned as soon as it is empty.
func (l *leadership) leave(m *machine, why cause) {
	if m.why == "" || why != surplus {
		m.why = why
	}
	if !m.emptying {
		m.emptying = true
		l.dirty = true
		for _, r := range m.list {
			if r.phase == phaseAssigned {
				l.release(r)
			}
		}
	}
}
