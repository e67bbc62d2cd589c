package cluster

import (
	"math"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
)

// DelayTask delays the next attempt of a task, and lets it avoid a machine for one worker lease.
func (s *State) DelayTask(job *Job, taskIndex int, machine *Machine, delay time.Duration) {
	history := job.FailureHistories[taskIndex]
	if history == nil {
		history = &FailureHistory{}
		job.FailureHistories[taskIndex] = history
	}
	history.RetryAfter = s.Clock.Now() + delay
	history.AvoidedMachine = machine.Name
	history.AvoidUntil = history.RetryAfter + s.workerLease()
}

// Thresholds that tell faulty jobs from unhealthy machines.
const (
	// failsEverywhereMachines is the number of machines on which a job without any success must have
	// failed to count as failing everywhere.
	failsEverywhereMachines = 3
	// unhealthyAfterFailures is the number of consecutive failures that make a machine unhealthy.
	unhealthyAfterFailures = 2
)

// maxProbeDelay bounds the delay until a job that fails everywhere is tried again. Its fault may
// lie in its input, and no job may be left without an attempt for 90 s.
const maxProbeDelay = MaxStartDelay / 4

// RecordTaskFailure records the failure of a task that ran for runDuration. The task is retried at
// once on another machine. After the second failure it backs off, as an accepted job has to run in
// the end.
func (s *State) RecordTaskFailure(machine *Machine, job *Job, taskIndex int, runDuration time.Duration) {
	job.FailedMachines[machine.Name] = true
	job.longestFailedRun = max(job.longestFailedRun, runDuration)
	if len(job.FailedMachines) >= failsEverywhereMachines && job.DoneTasks == 0 {
		s.markFailsEverywhere(job)
	}
	s.backOffTask(job, taskIndex, machine)
	if job.FailsEverywhere {
		s.delayProbe(job)
		job.FailureHistories[taskIndex].RetryAfter = s.Clock.Now() // NextProbeAt holds instead
		return
	}
	s.recordMachineFailure(machine, job)
}

// markFailsEverywhere marks a job that fails everywhere: the fault is its own and not the machines'. Attempts
// that were not sent yet are released, because from now on one task at a time probes the job.
func (s *State) markFailsEverywhere(job *Job) {
	if job.FailsEverywhere {
		return
	}
	s.Log.Info("job fails everywhere", "job", job.Spec.ID)
	for _, attempt := range job.Attempts {
		if attempt.Phase == AttemptAssigned {
			s.ReleaseAttempt(attempt)
		}
	}
	job.FailsEverywhere = true
}

// backOffTask counts a failure of a task and delays its next attempt from the second failure on.
func (s *State) backOffTask(job *Job, taskIndex int, machine *Machine) {
	s.DelayTask(job, taskIndex, machine, 0)
	history := job.FailureHistories[taskIndex]
	history.failures++
	if history.failures > 1 {
		backoff := s.HeartbeatInterval() << min(history.failures-1, 10)
		history.RetryAfter = s.Clock.Now() + min(backoff, 4*s.workerLease())
	}
}

// delayProbe delays the next probe of a job that fails everywhere. Retrying each of hundreds of
// tasks would take capacity from work that succeeds.
func (s *State) delayProbe(job *Job) {
	if s.Clock.Now() < job.NextProbeAt {
		return // the attempt started before the job was known to fail
	}
	job.FailedProbes++
	job.NextProbeAt = s.Clock.Now() + min(s.workerLease()<<min(job.FailedProbes, 10)/2, maxProbeDelay)
}

// recordMachineFailure counts a failure of a task against its machine, and drains the machine once its
// consecutive failures can't be the fault of one job alone.
func (s *State) recordMachineFailure(machine *Machine, job *Job) {
	machine.ConsecutiveFailures++
	machine.FailedJobs[job.Spec.ID] = true
	if machine.Unhealthy || machine.ConsecutiveFailures < unhealthyAfterFailures {
		return
	}
	if len(machine.FailedJobs) > 1 || job.DoneTasks > 0 || machine.ConsecutiveFailures >= 2*unhealthyAfterFailures {
		machine.Unhealthy = true
		s.BeginDrain(machine, Unhealthy)
	}
}

// RunsPastFailurePoint reports whether a task of a job that fails everywhere has been running so much
// longer than any failed attempt did that the machines were at fault. Waiting for the task to end
// would cost a healthy job, whose first tasks all met faulty machines, the duration of a whole
// task.
func (s *State) RunsPastFailurePoint(job *Job) bool {
	minHealthyRun := 2 * (job.longestFailedRun + s.HeartbeatInterval())
	for _, attempt := range job.Attempts {
		if attempt.Phase == AttemptRunning && s.Clock.Now()-attempt.RunningSince > minHealthyRun {
			return true
		}
	}
	return false
}

// Thresholds of the detection of slow machines.
const (
	// maxSlowdownSamples is the number of recent tasks that are considered.
	maxSlowdownSamples = 4
	// minSlowdownSamples is the least number of tasks that allow a decision.
	minSlowdownSamples = 2
	// slowMachineFactor is the mean ratio of real to typical duration from which a machine counts
	// as slow. Durations differ by a factor of two anyway.
	slowMachineFactor = 2.2
	// minSiblingSamples is the number of finished tasks of a job that give its typical duration.
	minSiblingSamples = 3
)

// RecordPace records how long a machine took for a task in comparison with the other tasks of the
// job. The estimate can't serve for that: it is wrong for all tasks of a job alike.
func (s *State) RecordPace(machine *Machine, job *Job, duration time.Duration) {
	if typical, ok := job.typicalTaskDuration(); ok {
		if len(machine.logDurationRatios) == maxSlowdownSamples {
			machine.logDurationRatios = machine.logDurationRatios[1:]
		}
		machine.logDurationRatios = append(machine.logDurationRatios, math.Log(float64(duration)/float64(typical)))
	}
	job.logDurationSum += math.Log(float64(duration))
	job.durationSamples++
	job.typicalDuration = time.Duration(math.Exp(job.logDurationSum / job.durationSamples))
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
func (s *State) DrainIfSlow(machine *Machine) {
	if !machine.Up || machine.DrainReason == SlowExecution {
		return
	}
	logSlowdown, samples := s.logSlowdown(machine)
	if samples < minSlowdownSamples || logSlowdown < math.Log(slowMachineFactor) {
		return
	}
	slowdown := math.Exp(logSlowdown)
	s.Log.Info("machine slow", "machine", machine.Name, "slowdown", slowdown, "tasks", samples)
	s.BeginDrain(machine, SlowExecution)
	for _, attempt := range machine.AttemptsInOrder {
		s.moveOffSlowMachine(attempt, slowdown)
	}
}

// logSlowdown returns the mean logarithm of the ratio of actual to typical duration of the last
// tasks of a machine, and the number of tasks. A running task past its typical duration counts
// like a finished one.
func (s *State) logSlowdown(machine *Machine) (mean float64, samples int) {
	logRatioSum := 0.0
	for _, logRatio := range machine.logDurationRatios {
		logRatioSum += logRatio
		samples++
	}
	for _, attempt := range machine.AttemptsInOrder {
		if attempt.Phase != AttemptRunning || attempt.Job.RescheduledTasks[attempt.TaskIndex] {
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

// moveOffSlowMachine stops or reschedules an attempt on a slow machine, unless it will end there
// sooner.
func (s *State) moveOffSlowMachine(attempt *TaskAttempt, slowdown float64) {
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
	case attempt.StopGrace != nil || attempt.Job.RescheduledTasks[attempt.TaskIndex]:
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
	if attempt.Job.RescheduledTasks == nil {
		attempt.Job.RescheduledTasks = map[int]bool{}
	}
	attempt.Job.RescheduledTasks[attempt.TaskIndex] = true
	s.RequestStop(attempt, grace)
}

// ApplyPreemptionNotice drains a spot machine that the cloud is about to preempt, and stops the
// attempts that would not end before that.
func (s *State) ApplyPreemptionNotice(machine *Machine, secondsLeft *float64) {
	if secondsLeft == nil {
		return
	}
	timeLeft := config.Seconds(*secondsLeft)
	if machine.preemptionNotice == clock.Never {
		s.Log.Info("preemption notice", "machine", machine.Name, "left", timeLeft)
		s.SchedulingNeeded = true
	}
	machine.preemptionNotice = s.Clock.Now() + timeLeft
	s.BeginDrain(machine, PreemptionNoticed)
	for _, attempt := range machine.AttemptsInOrder {
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
func (s *State) BeginDrain(machine *Machine, reason DrainReason) {
	if machine.DrainReason == "" || reason != SurplusCapacity {
		machine.DrainReason = reason
	}
	if !machine.Draining {
		machine.Draining = true
		s.SchedulingNeeded = true
		for _, attempt := range machine.AttemptsInOrder {
			if attempt.Phase == AttemptAssigned {
				s.ReleaseAttempt(attempt)
			}
		}
	}
}

// CancelDrain uncordons a draining machine.
func (s *State) CancelDrain(machine *Machine) {
	machine.Draining, machine.DrainReason, machine.SurplusSince, s.SchedulingNeeded = false, "", s.Clock.Now(), true
}
