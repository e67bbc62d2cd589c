package recovery

// JobState is the state of a reported task's job, as the leader knows it.
type JobState int

// The states of a job that the reconciliation distinguishes.
const (
	JobUnknown  JobState = iota // neither open nor known to be terminal
	JobOver                     // its terminal state is stored or decided
	JobUnread                   // its record can't be read
	JobAccepted                 // open
)

// ReportedTask is a task in a worker's heartbeat, with what the leader knows of it.
type Task struct {
	Job        JobState
	Exited     bool // the task has exited on that machine
	Done       bool // the task has exited and completed
	Followed   bool // this leader tracks this attempt on that machine
	Elsewhere  bool // this leader tracks another attempt at it, here or on another machine
	Finished   bool // it is known to be completed
	TokenShown bool // the heartbeat carries this leader's token, so it is no copy of an earlier one
}

// Action is what the leader does with a reported task.
type Action int

// The actions.
const (
	Follow      Action = iota // keep the attempt, which is tracked already
	Adopt                     // start to track the attempt
	AwaitToken                // do nothing until a heartbeat carries this leader's token
	LeaveAlone                // leave the task running and keep its result
	Stop                      // stop the task at once
	StoreResult               // store its result, and then tell the worker to forget it
	Forget                    // tell the worker to forget it
)

// ReconcileTask decides what to do with a reported task, and how it differs from the stored state.
// differs is false for what every leader sees in normal operation.
func Decide(t Task) (action Action, kind Mismatch, differs bool) {
	switch {
	case t.Job == JobUnread:
		return LeaveAlone, JobSetAside, true
	case t.Exited:
		return decideExited(t)
	case t.Job == JobUnknown:
		return Stop, JobNeverStored, true
	case t.Followed:
		return Follow, AsStored, false
	case t.Job == JobOver:
		return Stop, JobIsOver, true
	case !t.TokenShown:
		// The task was started by an earlier leader and goes on, but only a heartbeat with this
		// leader's token shows where. This one may be a delayed copy from an earlier term, and the
		// task may have moved since. If it were trusted, the attempt on the machine that does run
		// the task would be stopped as a duplicate.
		return AwaitToken, AsStored, false
	case t.Finished:
		return Stop, FinishedRunsAgain, true
	case t.Elsewhere:
		return Stop, OnTwoMachines, true
	default:
		return Adopt, AsStored, true
	}
}

// reconcileExitedTask is the part of ReconcileTask for exited tasks. The worker has the only copy
// of a result until it is stored. Everything else may be forgotten.
func decideExited(t Task) (action Action, kind Mismatch, differs bool) {
	switch {
	case t.Job != JobAccepted || !t.Done:
		return Forget, AsStored, false
	case t.Finished || t.Followed:
		return StoreResult, AsStored, false
	default:
		return StoreResult, FinishedNotStored, true
	}
}
