package controller

import (
	"math"
	"time"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/config"
)

// delayTask delays the next attempt of a task, and lets it avoid a machine for one worker lease.
func (s *clusterState) delayTask(j *job, taskIndex int, m *machine, delay time.Duration) {
	history := j.failureHistories[taskIndex]
	if history == nil {
		history = &failureHistory{}
		j.failureHistories[taskIndex] = history
	}
	history.retryAfter, history.avoidedMachine, history.avoidUntil = s.clock.Now()+delay, m.name, s.clock.Now()+delay+s.workerLease()
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
const maxProbeDelay = maxStartDelay / 4

// recordTaskFailure records the failure of a task that ran for runDuration. The task is retried at
// once on another machine. After the second failure it backs off, as an accepted job has to run in
// the end.
func (s *clusterState) recordTaskFailure(m *machine, j *job, taskIndex int, runDuration time.Duration) {
	j.failedMachines[m.name] = true
	j.longestFailedRun = max(j.longestFailedRun, runDuration)
	if len(j.failedMachines) >= jobFaultMachines && j.doneTasks == 0 {
		// The job fails everywhere, so the fault is its own and not the machines'.
		if !j.failsEverywhere {
			s.log.Info("job fails everywhere", "job", j.spec.ID)
			for _, attempt := range j.attempts {
				if attempt.phase == attemptAssigned {
					s.releaseAttempt(attempt)
				}
			}
		}
		j.failsEverywhere = true
	}
	s.delayTask(j, taskIndex, m, 0)
	history := j.failureHistories[taskIndex]
	history.failures++
	if history.failures > 1 {
		history.retryAfter = s.clock.Now() + min(s.heartbeatInterval()<<min(history.failures-1, 10), 4*s.workerLease())
	}
	if j.failsEverywhere {
		// From now on one task at a time probes the job. Retrying each of hundreds of tasks
		// takes capacity from work that succeeds.
		if s.clock.Now() >= j.nextProbeAt { // else the attempt started before the job was known to fail
			j.failedProbes++
			j.nextProbeAt = s.clock.Now() + min(s.workerLease()<<min(j.failedProbes, 10)/2, maxProbeDelay)
		}
		history.retryAfter = s.clock.Now()
		return
	}
	m.consecutiveFailures++
	m.failedJobs[j.spec.ID] = true
	if m.consecutiveFailures >= machineFaultTasks && !m.unhealthy &&
		(len(m.failedJobs) > 1 || j.doneTasks > 0 || m.consecutiveFailures >= 2*machineFaultTasks) {
		m.unhealthy = true
		s.beginDrain(m, unhealthy)
	}
}

// outlivesFailures reports whether a task of a job that fails everywhere has been running so much
// longer than any failed attempt did that the machines were at fault. Waiting for the task to end
// would cost a healthy job, whose first tasks all met faulty machines, the duration of a whole
// task.
func (s *clusterState) outlivesFailures(j *job) bool {
	for _, attempt := range j.attempts {
		if attempt.phase == attemptRunning && s.clock.Now()-attempt.runningSince > 2*(j.longestFailedRun+s.heartbeatInterval()) {
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

// recordPace records how long a machine took for a task in comparison with the other tasks of the
// job. The estimate can't serve for that: it is wrong for all tasks of a job alike.
func (s *clusterState) recordPace(m *machine, j *job, duration time.Duration) {
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
func (j *job) typicalTaskDuration() (time.Duration, bool) {
	if j.durationSamples < minSiblingSamples {
		return 0, false
	}
	return j.typicalDuration, true
}

// drainIfSlow drains a machine that runs its tasks far slower than other machines run their
// siblings. An attempt on it is rescheduled if it would end sooner when started anew.
func (s *clusterState) drainIfSlow(m *machine) {
	if !m.up || m.drainReason == slowExecution {
		return
	}
	logPaceSum, sampleCount := 0.0, 0
	for _, logPace := range m.logDurationRatios {
		logPaceSum += logPace
		sampleCount++
	}
	for _, attempt := range m.attemptsInOrder {
		// A task past its typical duration counts like a finished one.
		if attempt.phase != attemptRunning || attempt.job.movedTasks[attempt.taskIndex] {
			continue
		}
		if typical, ok := attempt.job.typicalTaskDuration(); ok && s.clock.Now()-attempt.runningSince > 3*typical/2 {
			elapsed := s.clock.Now() - attempt.runningSince
			logPaceSum += math.Log(float64(elapsed) / float64(typical))
			sampleCount++
		}
	}
	if sampleCount < minPaceSamples || logPaceSum/float64(sampleCount) < math.Log(slowPaceFactor) {
		return
	}
	slowdown := math.Exp(logPaceSum / float64(sampleCount))
	s.log.Info("machine slow", "machine", m.name, "slowdown", slowdown, "tasks", sampleCount)
	s.beginDrain(m, slowExecution)
	for _, attempt := range m.attemptsInOrder {
		expected := s.expectedTaskDuration(attempt.job)
		if typical, ok := attempt.job.typicalTaskDuration(); ok {
			expected = typical
		}
		elapsed := s.clock.Now() - attempt.runningSince
		remaining := time.Duration(float64(expected)*slowdown) - elapsed
		if remaining < elapsed && elapsed > expected {
			remaining = elapsed // overdue: the slowdown is only a lower bound
		}
		switch {
		case attempt.stopGrace != nil || attempt.job.movedTasks[attempt.taskIndex]:
		case attempt.phase != attemptRunning:
			s.requestStop(attempt, 0)
		case attempt.job.spec.CheckpointIntervalSeconds > 0:
			s.rescheduleAttempt(attempt, s.checkpointGraceS(attempt))
		case remaining > expected:
			s.rescheduleAttempt(attempt, 0)
		}
	}
}

// rescheduleAttempt stops an attempt so that its task restarts on another machine, once for each
// task. A task that simply takes longer than its siblings looks slow on every machine and would be
// stopped again and again.
func (s *clusterState) rescheduleAttempt(attempt *taskAttempt, grace float64) {
	if attempt.job.movedTasks == nil {
		attempt.job.movedTasks = map[int]bool{}
	}
	attempt.job.movedTasks[attempt.taskIndex] = true
	s.requestStop(attempt, grace)
}

// applyPreemptionNotice drains a spot machine that the cloud is about to preempt, and stops the
// attempts that would not end before that.
func (s *clusterState) applyPreemptionNotice(m *machine, secondsLeft *float64) {
	if secondsLeft == nil {
		return
	}
	timeLeft := config.Seconds(*secondsLeft)
	if m.preemptionNotice == clock.Never {
		s.log.Info("preemption notice", "machine", m.name, "left", timeLeft)
		s.schedulingNeeded = true
	}
	m.preemptionNotice = s.clock.Now() + timeLeft
	s.beginDrain(m, preemptionNoticed)
	for _, attempt := range m.attemptsInOrder {
		if attempt.stopGrace != nil {
			continue
		}
		if s.remainingDuration(attempt) <= timeLeft {
			continue
		}
		grace := 0.0
		if attempt.job.spec.CheckpointIntervalSeconds > 0 {
			grace = *secondsLeft
		}
		s.requestStop(attempt, grace)
	}
}

// beginDrain cordons a machine and has it returned once it is empty. A later reason replaces an
// earlier one, but surplus capacity replaces none.
func (s *clusterState) beginDrain(m *machine, reason drainReason) {
	if m.drainReason == "" || reason != surplusCapacity {
		m.drainReason = reason
	}
	if !m.draining {
		m.draining = true
		s.schedulingNeeded = true
		for _, attempt := range m.attemptsInOrder {
			if attempt.phase == attemptAssigned {
				s.releaseAttempt(attempt)
			}
		}
	}
}

// cancelDrain uncordons a draining machine.
func (s *clusterState) cancelDrain(m *machine) {
	m.draining, m.drainReason, m.surplusSince, s.schedulingNeeded = false, "", s.clock.Now(), true
}
