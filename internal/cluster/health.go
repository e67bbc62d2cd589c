package cluster

import (
	"math"
	"time"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/config"
)

// DelayTask delays the next attempt of a task, and lets it avoid a machine for one worker lease.
func (s *State) DelayTask(j *Job, taskIndex int, m *Machine, delay time.Duration) {
	history := j.FailureHistories[taskIndex]
	if history == nil {
		history = &FailureHistory{}
		j.FailureHistories[taskIndex] = history
	}
	history.RetryAfter = s.Clock.Now() + delay
	history.AvoidedMachine = m.Name
	history.AvoidUntil = history.RetryAfter + s.workerLease()
}

// Thresholds that tell faulty jobs from unhealthy machines.
const (
	// jobFaultMachines is the number of machines on which a job without any success must have
	// failed to count as failing everywhere.
	jobFaultMachines = 3
	// machineFaultTasks is the number of consecutive failures that make a machine unhealthy.
	machineFaultTasks = 2
)

// maxProbeDelay bounds the delay until a job that fails everywhere is tried again. Its fault may
// lie in its input, and no job may be left without an attempt for 90 s.
const maxProbeDelay = MaxStartDelay / 4

// RecordTaskFailure records the failure of a task that ran for runDuration. The task is retried at
// once on another machine. After the second failure it backs off, as an accepted job has to run in
// the end.
func (s *State) RecordTaskFailure(m *Machine, j *Job, taskIndex int, runDuration time.Duration) {
	j.FailedMachines[m.Name] = true
	j.longestFailedRun = max(j.longestFailedRun, runDuration)
	if len(j.FailedMachines) >= jobFaultMachines && j.DoneTasks == 0 {
		// The job fails everywhere, so the fault is its own and not the machines'.
		if !j.FailsEverywhere {
			s.Log.Info("job fails everywhere", "job", j.Spec.ID)
			for _, attempt := range j.Attempts {
				if attempt.Phase == AttemptAssigned {
					s.ReleaseAttempt(attempt)
				}
			}
		}
		j.FailsEverywhere = true
	}
	s.DelayTask(j, taskIndex, m, 0)
	history := j.FailureHistories[taskIndex]
	history.failures++
	if history.failures > 1 {
		history.RetryAfter = s.Clock.Now() + min(s.HeartbeatInterval()<<min(history.failures-1, 10), 4*s.workerLease())
	}
	if j.FailsEverywhere {
		// From now on one task at a time probes the job. Retrying each of hundreds of tasks
		// takes capacity from work that succeeds.
		if s.Clock.Now() >= j.NextProbeAt { // else the attempt started before the job was known to fail
			j.FailedProbes++
			j.NextProbeAt = s.Clock.Now() + min(s.workerLease()<<min(j.FailedProbes, 10)/2, maxProbeDelay)
		}
		history.RetryAfter = s.Clock.Now()
		return
	}
	m.ConsecutiveFailures++
	m.FailedJobs[j.Spec.ID] = true
	if m.ConsecutiveFailures >= machineFaultTasks && !m.Unhealthy &&
		(len(m.FailedJobs) > 1 || j.DoneTasks > 0 || m.ConsecutiveFailures >= 2*machineFaultTasks) {
		m.Unhealthy = true
		s.BeginDrain(m, Unhealthy)
	}
}

// OutlivesFailures reports whether a task of a job that fails everywhere has been running so much
// longer than any failed attempt did that the machines were at fault. Waiting for the task to end
// would cost a healthy job, whose first tasks all met faulty machines, the duration of a whole
// task.
func (s *State) OutlivesFailures(j *Job) bool {
	faultless := 2 * (j.longestFailedRun + s.HeartbeatInterval())
	for _, attempt := range j.Attempts {
		if attempt.Phase == AttemptRunning && s.Clock.Now()-attempt.RunningSince > faultless {
			return true
		}
	}
	return false
}

// Thresholds of the detection of slow machines.
const (
	// maxPaceSamples is the number of recent tasks that are considered.
	maxPaceSamples = 4
	// minPaceSamples is the least number of tasks that allow a decision.
	minPaceSamples = 2
	// slowPaceFactor is the mean ratio of real to typical duration from which a machine counts
	// as slow. Durations differ by a factor of two anyway.
	slowPaceFactor = 2.2
	// minSiblingSamples is the number of finished tasks of a job that give its typical duration.
	minSiblingSamples = 3
)

// RecordPace records how long a machine took for a task in comparison with the other tasks of the
// job. The estimate can't serve for that: it is wrong for all tasks of a job alike.
func (s *State) RecordPace(m *Machine, j *Job, duration time.Duration) {
	if typical, ok := j.typicalTaskDuration(); ok {
		if len(m.logDurationRatios) == maxPaceSamples {
			m.logDurationRatios = m.logDurationRatios[1:]
		}
		m.logDurationRatios = append(m.logDurationRatios, math.Log(float64(duration)/float64(typical)))
	}
	j.logDurationSum += math.Log(float64(duration))
	j.durationSamples++
	j.typicalDuration = time.Duration(math.Exp(j.logDurationSum / j.durationSamples))
}

// typicalTaskDuration returns the typical duration of the finished tasks of the job, if there are
// enough of them.
func (j *Job) typicalTaskDuration() (time.Duration, bool) {
	if j.durationSamples < minSiblingSamples {
		return 0, false
	}
	return j.typicalDuration, true
}

// DrainIfSlow drains a machine that runs its tasks far slower than other machines run their
// siblings. An attempt on it is rescheduled if it would end sooner when started anew.
func (s *State) DrainIfSlow(m *Machine) {
	if !m.Up || m.DrainReason == SlowExecution {
		return
	}
	logSlowdown, samples := s.logSlowdown(m)
	if samples < minPaceSamples || logSlowdown < math.Log(slowPaceFactor) {
		return
	}
	slowdown := math.Exp(logSlowdown)
	s.Log.Info("machine slow", "machine", m.Name, "slowdown", slowdown, "tasks", samples)
	s.BeginDrain(m, SlowExecution)
	for _, attempt := range m.AttemptsInOrder {
		s.leaveSlowMachine(attempt, slowdown)
	}
}

// logSlowdown returns the mean logarithm of the ratio of actual to typical duration of the last
// tasks of a machine, and the number of tasks. A running task past its typical duration counts
// like a finished one.
func (s *State) logSlowdown(m *Machine) (mean float64, samples int) {
	logRatioSum := 0.0
	for _, logRatio := range m.logDurationRatios {
		logRatioSum += logRatio
		samples++
	}
	for _, attempt := range m.AttemptsInOrder {
		if attempt.Phase != AttemptRunning || attempt.Job.MovedTasks[attempt.TaskIndex] {
			continue
		}
		elapsed := s.Clock.Now() - attempt.RunningSince
		if typical, ok := attempt.Job.typicalTaskDuration(); ok && elapsed > 3*typical/2 {
			logRatioSum += math.Log(float64(elapsed) / float64(typical))
			samples++
		}
	}
	return logRatioSum / float64(samples), samples
}

// leaveSlowMachine stops or reschedules an attempt on a slow machine, unless it will end there
// sooner.
func (s *State) leaveSlowMachine(attempt *TaskAttempt, slowdown float64) {
	expected := s.ExpectedTaskDuration(attempt.Job)
	if typical, ok := attempt.Job.typicalTaskDuration(); ok {
		expected = typical
	}
	elapsed := s.Clock.Now() - attempt.RunningSince
	remaining := time.Duration(float64(expected)*slowdown) - elapsed
	if remaining < elapsed && elapsed > expected {
		remaining = elapsed // overdue: the slowdown is only a lower bound
	}
	switch {
	case attempt.StopGrace != nil || attempt.Job.MovedTasks[attempt.TaskIndex]:
	case attempt.Phase != AttemptRunning:
		s.RequestStop(attempt, 0)
	case attempt.Job.Spec.CheckpointIntervalSeconds > 0:
		s.RescheduleAttempt(attempt, s.CheckpointGraceS(attempt))
	case remaining > expected:
		s.RescheduleAttempt(attempt, 0)
	}
}

// RescheduleAttempt stops an attempt so that its task restarts on another machine, once for each
// task. A task that simply takes longer than its siblings looks slow on every machine and would be
// stopped again and again.
func (s *State) RescheduleAttempt(attempt *TaskAttempt, grace float64) {
	if attempt.Job.MovedTasks == nil {
		attempt.Job.MovedTasks = map[int]bool{}
	}
	attempt.Job.MovedTasks[attempt.TaskIndex] = true
	s.RequestStop(attempt, grace)
}

// ApplyPreemptionNotice drains a spot machine that the cloud is about to preempt, and stops the
// attempts that would not end before that.
func (s *State) ApplyPreemptionNotice(m *Machine, secondsLeft *float64) {
	if secondsLeft == nil {
		return
	}
	timeLeft := config.Seconds(*secondsLeft)
	if m.preemptionNotice == clock.Never {
		s.Log.Info("preemption notice", "machine", m.Name, "left", timeLeft)
		s.SchedulingNeeded = true
	}
	m.preemptionNotice = s.Clock.Now() + timeLeft
	s.BeginDrain(m, PreemptionNoticed)
	for _, attempt := range m.AttemptsInOrder {
		if attempt.StopGrace != nil {
			continue
		}
		if s.RemainingDuration(attempt) <= timeLeft {
			continue
		}
		grace := 0.0
		if attempt.Job.Spec.CheckpointIntervalSeconds > 0 {
			grace = *secondsLeft
		}
		s.RequestStop(attempt, grace)
	}
}

// BeginDrain cordons a machine and has it returned once it is empty. A later reason replaces an
// earlier one, but surplus capacity replaces none.
func (s *State) BeginDrain(m *Machine, reason DrainReason) {
	if m.DrainReason == "" || reason != SurplusCapacity {
		m.DrainReason = reason
	}
	if !m.Draining {
		m.Draining = true
		s.SchedulingNeeded = true
		for _, attempt := range m.AttemptsInOrder {
			if attempt.Phase == AttemptAssigned {
				s.ReleaseAttempt(attempt)
			}
		}
	}
}

// CancelDrain uncordons a draining machine.
func (s *State) CancelDrain(m *Machine) {
	m.Draining, m.DrainReason, m.SurplusSince, s.SchedulingNeeded = false, "", s.Clock.Now(), true
}
