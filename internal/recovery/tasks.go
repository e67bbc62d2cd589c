package recovery

// JobState is what the leader knows about the state of a reported task's job.
type JobState int

// These are the job states that the reconciliation distinguishes.
const (
	JobStateUnknown     JobState = iota // the job is neither open nor known to be terminal
	JobStateTerminal                    // the terminal state of the job is stored or decided
	JobStateQuarantined                 // the record of the job can't be read
	JobStateOpen                        // the job is accepted and not terminal
)

// ReportedTask describes an attempt at a task in a worker's heartbeat, and what the leader knows
// about the task.
type ReportedTask struct {
	JobState          JobState
	Exited            bool // the attempt has exited
	Completed         bool // the attempt has exited and has completed the task
	Tracked           bool // this leader tracks the attempt on the reporting machine
	TrackedElsewhere  bool // this leader tracks another attempt at the task, on any machine
	CompletionKnown   bool // this leader knows that the task is completed
	TokenAcknowledged bool // the heartbeat carries this leader's token, so it is no copy from an earlier term
}

// Action is what the leader does with a reported attempt.
type Action int

// These are the actions for reported attempts.
const (
	KeepAttempt   Action = iota // update the attempt, which is tracked already
	AdoptAttempt                // start to track the attempt
	AwaitToken                  // do nothing until a heartbeat carries this leader's token
	IgnoreAttempt               // leave the attempt running, or its result with the worker
	StopAttempt                 // stop the attempt without a grace period
	StoreResult                 // store the result, and then tell the worker to forget the attempt
	ForgetAttempt               // tell the worker to forget the attempt
)

// ReconcileTask returns the action for a reported task, and the kind of mismatch with the stored
// state. The kind is to be counted only if differs is true. differs is false in the cases that also
// occur in normal operation.
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
		// An earlier leader started the task and it is still running, but only a heartbeat with
		// this leader's token shows on which machine. This heartbeat may be a delayed copy from an
		// earlier term, and the task may have moved since. If the leader trusted the copy, it would
		// stop the attempt on the machine that does run the task as a duplicate.
		return AwaitToken, MatchesRecord, false
	case task.CompletionKnown:
		return StopAttempt, CompletedTaskRunning, true
	case task.TrackedElsewhere:
		return StopAttempt, DuplicateTask, true
	default:
		return AdoptAttempt, MatchesRecord, true
	}
}

// reconcileExitedTask handles the exited tasks for ReconcileTask. The worker has the only copy of a
// result until the result is stored, so it may forget everything but such a result.
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
