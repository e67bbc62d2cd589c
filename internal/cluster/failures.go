package cluster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hitchdoor/internal/clock"
)

// DelayTask delays the next attempt of a task. For one worker lease after the delay, the task is not
// placed on the given machine.
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

// Thresholds that distinguish faulty jobs from unhealthy machines.
const (
	// failsEverywhereMachines is the number of machines on which tasks of a job must have failed, and
	// none succeeded, for the job to count as failing everywhere.
	failsEverywhereMachines = 3
	// unhealthyAfterFailures is the number of consecutive failures that make a machine unhealthy.
	unhealthyAfterFailures = 2
)

// maxRetryDelay is the longest delay until a failed task is retried, or until a job that fails everywhere is
// probed: one of its tasks is tried again. The fault may lie in the job's input, and no job may be left without
// an attempt for 90 s.
const maxRetryDelay = MaxStartDelay / 4

// RecordTaskFailure records the failure of a task that ran for runDuration. After the first failure the
// task is retried at once on another machine. From the second failure on, it is retried after a backoff
// rather than given up, because an accepted job has to run in the end.
func (s *State) RecordTaskFailure(machine *Machine, job *Job, taskIndex int, runDuration time.Duration) {
	job.FailedMachines[machine.Name] = true
	job.longestFailedRun = max(job.longestFailedRun, runDuration)
	if len(job.FailedMachines) >= failsEverywhereMachines && job.DoneTasks == 0 {
		s.markFailsEverywhere(job)
	}
	s.backOffTask(job, taskIndex, machine)
	if job.FailsEverywhere {
		s.delayProbe(job)
		job.FailureHistories[taskIndex].RetryAfter = s.Clock.Now() // NextProbeAt delays the retry instead
		return
	}
	machine.Failures[job]++
	s.drainIfUnhealthy(machine)
}

// RecordTaskSuccess resets the failures of a machine and of a job after a task of the job has completed on the
// machine, in an attempt that was placed at placedAt. On an unhealthy machine, only an attempt that was placed
// since then shows anything: the machine is used again, and the jobs that failed on it without a completed task
// are at fault.
func (s *State) RecordTaskSuccess(machine *Machine, job *Job, placedAt clock.Instant) {
	clear(job.FailedMachines)
	if machine.Unhealthy && placedAt < machine.ProbedAt {
		return
	}
	if machine.Unhealthy {
		s.blameFailedJobs(machine, job)
		s.markHealthy(machine)
	}
	clear(machine.Failures)
}

// blameFailedJobs marks the jobs that failed on a machine and have completed no task as failing everywhere, except
// for the job that has just succeeded on it.
func (s *State) blameFailedJobs(machine *Machine, succeeded *Job) {
	byID := func(a, b *Job) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) }
	for _, failed := range slices.SortedFunc(maps.Keys(machine.Failures), byID) {
		if failed.DoneTasks == 0 && failed != succeeded && !failed.Terminal {
			s.markFailsEverywhere(failed)
		}
	}
}

// markFailsEverywhere marks a job as failing everywhere: its failures are not the fault of the machines.
// It releases the attempts that were not sent yet, because from now on only one task at a time probes
// the job.
func (s *State) markFailsEverywhere(job *Job) {
	if job.FailsEverywhere {
		return
	}
	s.ExcuseMachines(job)
	s.Log.Info("tasks of the job fail on several machines, retrying one task at a time", "job", job.Spec.ID)
	for _, attempt := range job.Attempts {
		if attempt.Phase == AttemptAssigned {
			s.ReleaseAttempt(attempt)
		}
	}
	job.FailsEverywhere = true
}

// backOffTask counts a failure of a task. From the second failure on, it delays the next attempt
// exponentially, up to four worker leases or maxRetryDelay.
func (s *State) backOffTask(job *Job, taskIndex int, machine *Machine) {
	s.DelayTask(job, taskIndex, machine, 0)
	history := job.FailureHistories[taskIndex]
	history.failures++
	if history.failures > 1 {
		backoff := s.HeartbeatInterval() << min(history.failures-1, 10)
		history.RetryAfter = s.Clock.Now() + min(backoff, 4*s.workerLease(), maxRetryDelay)
	}
}

// delayProbe delays the next probe of a job that fails everywhere. Retrying each of the job's hundreds
// of tasks would take capacity from work that succeeds.
func (s *State) delayProbe(job *Job) {
	if s.Clock.Now() < job.NextProbeAt {
		return // the failed attempt started before the job was known to fail everywhere
	}
	job.FailedProbes++
	job.NextProbeAt = s.Clock.Now() + min(s.workerLease()<<min(job.FailedProbes, 10)/2, maxRetryDelay)
}

// drainIfUnhealthy drains a machine once a single faulty job cannot explain its consecutive failures.
func (s *State) drainIfUnhealthy(machine *Machine) {
	if machine.Unhealthy || !machine.failuresShowFault() {
		return
	}
	machine.Unhealthy, machine.ProbedAt = true, s.Clock.Now()
	s.BeginDrain(machine, Unhealthy)
}

// failuresShowFault reports whether the machine is at fault for its consecutive failures. Those of a single job
// show it if other tasks of the job have completed, or if they are many and the job has failed on no other machine.
func (m *Machine) failuresShowFault() bool {
	total, failsOnlyHere, hasCompletedTasks := 0, false, false
	for job, count := range m.Failures {
		total += count
		failsOnlyHere = len(job.FailedMachines) <= 1
		hasCompletedTasks = job.DoneTasks > 0
	}
	switch {
	case total < unhealthyAfterFailures:
		return false
	case len(m.Failures) > 1 || hasCompletedTasks:
		return true
	default:
		return failsOnlyHere && total >= 2*unhealthyAfterFailures
	}
}

// ExcuseMachines takes back the failures of a job that is at fault, or that has ended without a completed task, so
// that nothing shows any more whose fault they were. An unhealthy machine is used again unless its other
// failures show that it is at fault.
func (s *State) ExcuseMachines(job *Job) {
	for _, machine := range s.MachinesByName() {
		if machine.Failures[job] == 0 {
			continue
		}
		delete(machine.Failures, job)
		if machine.Unhealthy && !machine.failuresShowFault() {
			s.markHealthy(machine)
		}
	}
}

// markHealthy cancels the drain of an unhealthy machine, unless it is drained for another reason or its return was
// requested.
func (s *State) markHealthy(machine *Machine) {
	if !machine.Unhealthy {
		return
	}
	s.Log.Info("machine is healthy after all, using it again", "machine", machine.Name)
	machine.Unhealthy = false
	if machine.DrainReason == Unhealthy && !machine.Terminating && !machine.TerminationRequested {
		s.CancelDrain(machine)
	}
}

// RunsPastFailurePoint reports whether a task of a job that fails everywhere has been running so much
// longer than any failed attempt that the machines must have been at fault. If the decision waited for
// the task to end, a healthy job whose first tasks all ran on faulty machines would lose the duration
// of a whole task.
func (s *State) RunsPastFailurePoint(job *Job) bool {
	minHealthyRun := 2 * (job.longestFailedRun + s.HeartbeatInterval())
	for _, attempt := range job.Attempts {
		if attempt.Phase == AttemptRunning && s.Clock.Now()-attempt.RunningSince > minHealthyRun {
			return true
		}
	}
	return false
}
