package cluster

import (
	"math"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
)

// Estimates predicts how long tasks run and determines when jobs are due, from the users' estimates,
// the run times of finished tasks and the objectives of the settings. It changes no job, attempt or
// machine; only the transitions of State do.
type Estimates struct {
	objectives
	workerTiming
	clock       TimeSource
	biasByClass map[string]*estimateBias // by job class
}

// newEstimates returns estimates without any record of finished tasks, as at the start of a term.
func newEstimates(timeSource TimeSource, settings *config.Cluster) Estimates {
	return Estimates{
		objectives: newObjectives(settings), workerTiming: workerTiming{settings},
		clock: timeSource, biasByClass: map[string]*estimateBias{},
	}
}

// StartSLO returns the tightest start objective of the job's class, or 0 if the class has completion
// objectives or none at all.
func (e *Estimates) StartSLO(job *Job) time.Duration {
	if slos := e.SLOs[job.Spec.Class]; len(slos) > 0 && slos[0].OnStart {
		return slos[0].Limit
	}
	return 0
}

// TooSoonToScaleOut reports whether a start objective is too short to rent a machine within it.
func (e *Estimates) TooSoonToScaleOut(limit time.Duration) bool { return limit < 2*e.workerLease() }

// Due returns when the job should be complete: its deadline, or the first objective of its class that
// can still be met. Start objectives apply only to classes without a completion objective, because
// jobs with a completion objective can wait for capacity on cheap machines.
//
// A job with dependents is due early enough for its dependents to meet their deadlines (LatestEnd).
func (e *Estimates) Due(job *Job) clock.Instant { return e.DueFrom(job, job.EligibleAt) }

// DueFrom returns the due time that the job would have if it became eligible at the given time.
func (e *Estimates) DueFrom(job *Job, from clock.Instant) clock.Instant {
	return min(e.OwnDue(job, from), job.LatestEnd)
}

// OwnDue returns the due time that follows from the job's own deadline or objectives. If it has
// neither, it is due at LatestEnd or, without dependents, after a time in proportion to its run time.
func (e *Estimates) OwnDue(job *Job, from clock.Instant) clock.Instant {
	if job.Spec.DeadlineSeconds != nil {
		return job.AcceptedAt + config.Seconds(*job.Spec.DeadlineSeconds)
	}
	slos := e.SLOs[job.Spec.Class]
	for i, objective := range slos {
		end := from + objective.Limit
		if objective.OnStart {
			end += e.ExpectedTaskDuration(job)
		}
		if i == len(slos)-1 || end-e.ExpectedTaskDuration(job) > e.clock.Now() {
			return end
		}
	}
	if job.LatestEnd < clock.Forever {
		return job.LatestEnd
	}
	// The wait of a job without any objective is bounded too, in proportion to its run time.
	return from + min(4*e.ExpectedTaskDuration(job)+e.workerLease(), PlannedStartWithin+e.ExpectedTaskDuration(job))
}

// ExpectedTaskDuration returns the expected run time of one task, at least 1 s: the user's estimate,
// corrected by the estimation error of the finished tasks of the job's class.
func (e *Estimates) ExpectedTaskDuration(job *Job) time.Duration {
	logBias := 0.0
	if bias := e.biasByClass[job.Spec.Class]; bias != nil {
		logBias = bias.logBias
	}
	return config.Seconds(max(job.Spec.EstimatedSeconds*math.Exp(logBias), 1))
}

// estimateBias is the mean error of the users' estimates, observed on the finished tasks of a job class.
type estimateBias struct {
	logBias float64 // mean of log(actual / estimated run time)
	samples float64 // weight of the mean, at most maxBiasSamples
}

// RecordTaskDuration updates the estimate bias of the job's class with the run time of a finished task.
func (e *Estimates) RecordTaskDuration(job *Job, duration time.Duration) {
	if duration <= 0 || job.Spec.EstimatedSeconds <= 0 {
		return
	}
	bias := e.biasByClass[job.Spec.Class]
	if bias == nil {
		bias = &estimateBias{}
		e.biasByClass[job.Spec.Class] = bias
	}
	logError := math.Log(duration.Seconds()) - math.Log(job.Spec.EstimatedSeconds)
	logError = min(max(logError, -maxLogError), maxLogError)
	bias.samples = min(bias.samples+1, maxBiasSamples)
	bias.logBias += (logError - bias.logBias) / bias.samples
}

const (
	// maxBiasSamples is the number of finished tasks over which the bias is averaged.
	maxBiasSamples = 60
	// maxLogError limits the logarithm of one estimate's error, to a factor of about 1,000. An estimate that
	// is further off says nothing about the other jobs of its class.
	maxLogError = 7
)

// RemainingDuration returns the expected remaining run time of an attempt.
func (e *Estimates) RemainingDuration(attempt *TaskAttempt) time.Duration {
	return e.RemainingOfExpected(attempt, e.ExpectedTaskDuration(attempt.Job))
}

// RemainingOfExpected returns the expected remaining run time of an attempt, given its expected total
// run time. For a running attempt it is at least an eighth of the total.
func (e *Estimates) RemainingOfExpected(attempt *TaskAttempt, expected time.Duration) time.Duration {
	if attempt.Phase == AttemptRunning {
		return max(expected-(e.clock.Now()-attempt.RunningSince), expected/8)
	}
	return expected
}

// CheckpointGrace returns the grace period in which an attempt can save a checkpoint. The period includes
// a margin for slow machines.
func (e *Estimates) CheckpointGrace(attempt *TaskAttempt) time.Duration {
	return config.Seconds(2*attempt.Job.Spec.CheckpointSaveSeconds) + e.HeartbeatInterval()
}

// RemainingCoreSeconds returns the remaining work of a job in core seconds. It includes image pulls.
func (e *Estimates) RemainingCoreSeconds(job *Job, pullRate ImagePullRate) float64 {
	expected := e.ExpectedTaskDuration(job)
	work := float64(job.PendingTasks) * (expected + pullRate.PullDuration(job.Spec.ImageGB)).Seconds()
	for _, attempt := range job.Attempts {
		work += e.RemainingOfExpected(attempt, expected).Seconds()
	}
	return work * job.Spec.Cores
}

// IdleUntilEmpty returns the time, in seconds, for which a core of the machine would be idle on average
// until the last task on the machine ends, if no further task were placed there.
func (e *Estimates) IdleUntilEmpty(machine *Machine) float64 {
	longestRemaining, work := 0.0, 0.0
	for _, attempt := range machine.AttemptsInOrder {
		remaining := e.RemainingDuration(attempt).Seconds()
		longestRemaining = max(longestRemaining, remaining)
		work += remaining * attempt.Job.Spec.Cores
	}
	return longestRemaining - work/machine.MachineType.Cores
}
