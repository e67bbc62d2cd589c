package recovery

// JobState is the state of a reported task's job, as the leader knows it.
type JobState int

// The states of a job that the reconciliation distinguishes.
const (
	JobStateUnknown     JobState = iota // neither open nor known to be terminal
	JobStateTerminal                    // its terminal state is stored or decided
	JobStateQuarantined                 // its record can't be read
	JobStateOpen                        // open
)

// ReportedTask is a task in a worker's heartbeat, with what the leader knows of it.
type ReportedTask struct {
	JobState          JobState
	Exited            bool // the task has exited on that machine
	Completed         bool // the task has exited and completed
	Tracked           bool // this leader tracks this attempt on that machine
	TrackedElsewhere  bool // this leader tracks another attempt at it, here or on another machine
	CompletionKnown   bool // it is known to be completed
	TokenAcknowledged bool // the heartbeat carries this leader's token, so it is no copy of an earlier one
}

// Action is what the leader does with a reported task.
type Action int

// The actions.
const (
	KeepAttempt   Action = iota // keep the attempt, which is tracked already
	AdoptAttempt                // start to track the attempt
	AwaitToken                  // do nothing until a heartbeat carries this leader's token
	IgnoreAttempt               // leave the task running and keep its result
	StopAttempt                 // stop the task at once
	StoreResult                 // store its result, and then tell the worker to forget it
	ForgetAttempt               // tell the worker to forget it
)

// ReconcileTask decides what to do with a reported task, and how it differs from the stored state.
// differs is false for what every leader sees in normal operation.
func ReconcileTask(task ReportedTask) (action Action, kind Mismatch, differs bool) {
	switch {
	case task.JobState == JobStateQuarantined:
		return IgnoreAttempt, JobQuarantined, true
	case task.Exited:
		return reconcileExitedTask(task)
	case task.JobState == JobStateUnknown:
		return StopAttempt, JobNeverStored, true
	case task.Tracked:
		return KeepAttempt, MatchesRecord, false
	case task.JobState == JobStateTerminal:
		return StopAttempt, JobTerminal, true
	case !task.TokenAcknowledged:
		// The task was started by an earlier leader and goes on, but only a heartbeat with this
		// leader's token shows where. This one may be a delayed copy from an earlier term, and the
		// task may have moved since. If it were trusted, the attempt on the machine that does run
		// the task would be stopped as a duplicate.
		return AwaitToken, MatchesRecord, false
	case task.CompletionKnown:
		return StopAttempt, CompletedTaskRunning, true
	case task.TrackedElsewhere:
		return StopAttempt, DuplicateTask, true
	default:
		return AdoptAttempt, MatchesRecord, true
	}
}

// reconcileExitedTask is the part of ReconcileTask for exited tasks. The worker has the only copy
// of a result until it is stored. Everything else may be forgotten.
func reconcileExitedTask(task ReportedTask) (action Action, kind Mismatch, differs bool) {
	switch {
	case task.JobState != JobStateOpen || !task.Completed:
		return ForgetAttempt, MatchesRecord, false
	case task.CompletionKnown || task.Tracked:
		return StoreResult, MatchesRecord, false
	default:
		return StoreResult, CompletionNotStored, true
	}
}
