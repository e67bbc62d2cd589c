package cluster

import (
	"math"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
)

// Thresholds for the detection of slow machines.
const (
	// maxSlowdownSamples is the number of most recent finished tasks of a machine that are considered.
	maxSlowdownSamples = 4
	// minSlowdownSamples is the minimum number of tasks required for a decision.
	minSlowdownSamples = 2
	// slowMachineFactor is the mean ratio of actual to typical run time from which a machine counts as
	// slow. Run times differ by a factor of two even without a slow machine.
	slowMachineFactor = 2.2
	// minSiblingSamples is the number of finished tasks from which a job has a typical run time.
	minSiblingSamples = 3
)

// RecordSlowdown records how long a finished task took on a machine, relative to the typical run time of
// the job's other tasks. The user's estimate is not suitable for the comparison, because its error is
// the same for all tasks of a job.
func (s *State) RecordSlowdown(machine *Machine, job *Job, duration time.Duration) {
	if duration <= 0 {
		return
	}
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

// typicalTaskDuration returns the typical run time of the finished tasks of the job. It returns false
// if fewer than minSiblingSamples tasks have finished.
func (j *Job) typicalTaskDuration() (time.Duration, bool) {
	if j.durationSamples < minSiblingSamples {
		return 0, false
	}
	return j.typicalDuration, true
}

// DrainIfSlow drains a machine that runs tasks far slower than other machines run tasks of the same
// jobs. Attempts on the machine that would end sooner if they restarted on another machine are rescheduled.
func (s *State) DrainIfSlow(machine *Machine) {
	if !machine.Up || machine.DrainReason == SlowExecution {
		return
	}
	logSlowdown, samples := s.logSlowdown(machine)
	if samples < minSlowdownSamples || logSlowdown < math.Log(slowMachineFactor) {
		return
	}
	slowdown := math.Exp(logSlowdown)
	s.Log.Info("machine runs tasks too slowly, draining it",
		"machine", machine.Name, "slowdown", slowdown, "tasks", samples)
	s.BeginDrain(machine, SlowExecution)
	for _, attempt := range machine.AttemptsInOrder {
		s.moveOffSlowMachine(attempt, slowdown)
	}
}

// logSlowdown returns the mean of log(actual / typical run time) of the last tasks of a machine, and
// the number of these tasks. A running task that has clearly exceeded its typical run time counts like
// a finished one.
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

// moveOffSlowMachine stops an attempt on a slow machine so that its task restarts on another one, unless
// the attempt is expected to end sooner where it is. An attempt that is not running yet, or that can save
// a checkpoint before it would end, is always stopped.
func (s *State) moveOffSlowMachine(attempt *TaskAttempt, slowdown float64) {
	expected := s.ExpectedTaskDuration(attempt.Job)
	if typical, ok := attempt.Job.typicalTaskDuration(); ok {
		expected = typical
	}
	elapsed := s.Clock.Now() - attempt.RunningSince
	remaining := config.Seconds(expected.Seconds()*slowdown) - elapsed
	if remaining < elapsed && elapsed > expected {
		remaining = elapsed // the attempt should have ended, so slowdown is only a lower bound
	}
	switch {
	case attempt.StopGrace != nil || attempt.Job.RescheduledTasks[attempt.TaskIndex]:
	case attempt.Phase != AttemptRunning:
		s.RequestStop(attempt, 0)
	case attempt.Job.Spec.CheckpointIntervalSeconds > 0 && s.CheckpointGrace(attempt) < remaining:
		s.RescheduleAttempt(attempt, s.CheckpointGrace(attempt).Seconds())
	case remaining > expected:
		s.RescheduleAttempt(attempt, 0)
	}
}

// RescheduleAttempt stops an attempt, with a grace period in seconds, so that its task restarts on
// another machine. It marks the task, and callers do not reschedule a marked task: one that simply takes
// longer than the other tasks of its job looks slow on every machine and would be stopped again and
// again.
func (s *State) RescheduleAttempt(attempt *TaskAttempt, grace float64) {
	if attempt.Job.RescheduledTasks == nil {
		attempt.Job.RescheduledTasks = map[int]bool{}
	}
	attempt.Job.RescheduledTasks[attempt.TaskIndex] = true
	s.RequestStop(attempt, grace)
}

// ApplyPreemptionNotice drains a spot machine that the cloud will preempt in secondsLeft, and stops the
// attempts that are not expected to end before that. A nil secondsLeft means that there is no notice.
func (s *State) ApplyPreemptionNotice(machine *Machine, secondsLeft *float64) {
	if secondsLeft == nil {
		return
	}
	timeLeft := config.Seconds(*secondsLeft)
	if machine.preemptionNotice == clock.Never {
		s.Log.Info("preemption notice received, draining machine", "machine", machine.Name, "left", timeLeft)
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

// BeginDrain cordons a machine, so that it is returned to the cloud once it is empty. It releases the
// attempts that were not sent yet. A later reason replaces an earlier one, except that surplus capacity
// never replaces another reason.
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

// CancelDrain uncordons a draining machine. The time for which the machine has been surplus counts anew
// from now on.
func (s *State) CancelDrain(machine *Machine) {
	machine.Draining, machine.DrainReason, machine.SurplusSince, s.SchedulingNeeded = false, "", s.Clock.Now(), true
}
