package coordination

import (
	"math"
	"time"

	"hitchdoor/internal/config"
)

// delayTask delays the next attempt of a task, and lets it avoid a machine for one worker lease.
func (s *clusterState) delay(j *job, index int, m *machine, d time.Duration) {
	t := j.failures[index]
	if t == nil {
		t = &failureHistory{}
		j.failures[index] = t
	}
	t.after, t.avoid, t.until = s.clock.Now()+d, m.name, s.clock.Now()+d+s.lease()
}

// Thresholds that tell faulty jobs from unhealthy machines.
const (
	// jobFaultMachines is the number of machines on which a job without any success must have
	// failed to count as failing everywhere.
	badJobMachines = 3
	// machineFaultTasks is the number of consecutive failures that make a machine unhealthy.
	sickMachineTasks = 2
)

// maxProbeDelay bounds the delay until a job that fails everywhere is tried again. Its fault may
// lie in its input, and no job may be left without an attempt for 90 s.
const probeWithin = mustBegin / 4

// recordTaskFailure records the failure of a task that ran for runDuration. The task is retried at
// once on another machine. After the second failure it backs off, as an accepted job has to run in
// the end.
func (s *clusterState) failed(m *machine, j *job, index int, ran time.Duration) {
	j.failedOn[m.name] = true
	j.failedAfter = max(j.failedAfter, ran)
	if len(j.failedOn) >= badJobMachines && j.done == 0 {
		// The job fails everywhere, so the fault is its own and not the machines'.
		if !j.bad {
			s.log.Info("job fails everywhere", "job", j.spec.UID)
			for _, r := range j.runs {
				if r.phase == phaseAssigned {
					s.release(r)
				}
			}
		}
		j.bad = true
	}
	s.delay(j, index, m, 0)
	t := j.failures[index]
	t.failures++
	if t.failures > 1 {
		t.after = s.clock.Now() + min(s.report()<<min(t.failures-1, 10), 4*s.lease())
	}
	if j.bad {
		// From now on one task at a time probes the job. Retrying each of hundreds of tasks
		// takes capacity from work that succeeds.
		if s.clock.Now() >= j.probeAt { // else the attempt started before the job was known to fail
			j.probes++
			j.probeAt = s.clock.Now() + min(s.lease()<<min(j.probes, 10)/2, probeWithin)
		}
		t.after = s.clock.Now()
		return
	}
	m.failures++
	m.failedJobs[j.spec.UID] = true
	if m.failures >= sickMachineTasks && !m.sick &&
		(len(m.failedJobs) > 1 || j.done > 0 || m.failures >= 2*sickMachineTasks) {
		m.sick = true
		s.leave(m, sick)
	}
}

// outlivesFailures reports whether a task of a job that fails everywhere has been running so much
// longer than any failed attempt did that the machines were at fault. Waiting for the task to end
// would cost a healthy job, whose first tasks all met faulty machines, the duration of a whole
// task.
func (s *clusterState) outlives(j *job) bool {
	for _, r := range j.runs {
		if r.phase == phaseRunning && s.clock.Now()-r.started > 2*(j.failedAfter+s.report()) {
			return true
		}
	}
	return false
}

// Thresholds of the detection of slow machines.
const (
	// maxPaceSamples is the number of recent tasks that are considered.
	paceMemory = 4
	// minPaceSamples is the least number of tasks that allow a decision.
	paceTasks = 2
	// slowPaceFactor is the mean ratio of real to typical duration from which a machine counts
	// as slow. Durations differ by a factor of two anyway.
	paceTooSlow = 2.2
	// minSiblingSamples is the number of finished tasks of a job that give its typical duration.
	paceSiblings = 3
)

// recordPace records how long a machine took for a task in comparison with the other tasks of the
// job. The estimate can't serve for that: it is wrong for all tasks of a job alike.
func (s *clusterState) paced(m *machine, j *job, took time.Duration) {
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

// typicalTaskDuration returns the typical duration of the finished tasks of the job, if there are
// enough of them.
func (j *job) usualTook() (time.Duration, bool) {
	if j.tookCount < paceSiblings {
		return 0, false
	}
	return j.usual, true
}

// drainIfSlow drains a machine that runs its tasks far slower than other machines run their
// siblings. An attempt on it is rescheduled if it would end sooner when started anew.
func (s *clusterState) checkPace(m *machine) {
	if !m.up || m.why == slow {
		return
	}
	sum, count := 0.0, 0
	for _, p := range m.pace {
		sum += p
		count++
	}
	for _, r := range m.list {
		// A task past its typical duration counts like a finished one.
		if r.phase != phaseRunning || r.job.moved[r.index] {
			continue
		}
		if usual, ok := r.job.usualTook(); ok && s.clock.Now()-r.started > 3*usual/2 {
			ran := s.clock.Now() - r.started
			sum += math.Log(float64(ran) / float64(usual))
			count++
		}
	}
	if count < paceTasks || sum/float64(count) < math.Log(paceTooSlow) {
		return
	}
	factor := math.Exp(sum / float64(count))
	s.log.Info("machine slow", "machine", m.name, "slowdown", factor, "tasks", count)
	s.leave(m, slow)
	for _, r := range m.list {
		want := s.expected(r.job)
		if usual, ok := r.job.usualTook(); ok {
			want = usual
		}
		ran := s.clock.Now() - r.started
		left := time.Duration(float64(want)*factor) - ran
		if left < ran && ran > want {
			left = ran // overdue: the slowdown is only a lower bound
		}
		switch {
		case r.stop != nil || r.job.moved[r.index]:
		case r.phase != phaseRunning:
			s.stopRun(r, 0)
		case r.job.spec.CheckpointS > 0:
			s.move(r, s.saveGrace(r))
		case left > want:
			s.move(r, 0)
		}
	}
}

// rescheduleAttempt stops an attempt so that its task restarts on another machine, once for each
// task. A task that simply takes longer than its siblings looks slow on every machine and would be
// stopped again and again.
func (s *clusterState) move(r *run, grace float64) {
	if r.job.moved == nil {
		r.job.moved = map[int]bool{}
	}
	r.job.moved[r.index] = true
	s.stopRun(r, grace)
}

// applyPreemptionNotice drains a spot machine that the cloud is about to preempt, and stops the
// attempts that would not end before that.
func (s *clusterState) takeNotice(m *machine, notice *float64) {
	if notice == nil {
		return
	}
	left := config.Seconds(*notice)
	if m.notice == never {
		s.log.Info("preemption notice", "machine", m.name, "left", left)
		s.dirty = true
	}
	m.notice = s.clock.Now() + left
	s.leave(m, noticed)
	for _, r := range m.list {
		if r.stop != nil {
			continue
		}
		if s.remaining(r) <= left {
			continue
		}
		grace := 0.0
		if r.job.spec.CheckpointS > 0 {
			grace = *notice
		}
		s.stopRun(r, grace)
	}
}

// beginDrain cordons a machine and has it returned once it is empty. A later reason replaces an
// earlier one, but surplus capacity replaces none.
func (s *clusterState) leave(m *machine, why cause) {
	if m.why == "" || why != surplus {
		m.why = why
	}
	if !m.emptying {
		m.emptying = true
		s.dirty = true
		for _, r := range m.list {
			if r.phase == phaseAssigned {
				s.release(r)
			}
		}
	}
}

// cancelDrain uncordons a draining machine.
func (s *clusterState) keep(m *machine) {
	m.emptying, m.why, m.spareSince, s.dirty = false, "", s.clock.Now(), true
}
