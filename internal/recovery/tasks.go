package recovery

// JobState is what a leader knows of a reported task's job.
type JobState int

// The states of a job, as far as its reported tasks are concerned.
const (
	JobUnknown  JobState = iota // neither open nor known to be over
	JobOver                     // its end is stored, or decided
	JobUnread                   // its record can't be read
	JobAccepted                 // open
)

// Task is what is known of a task that a worker reports.
type Task struct {
	Job        JobState
	Exited     bool // it has ended on that machine
	Done       bool // and has completed
	Followed   bool // this leader follows this very attempt on that machine
	Elsewhere  bool // this leader follows another attempt, or on another machine
	Finished   bool // it is known to be finished
	TokenShown bool // the report shows this leader's token, so it is no copy from before
}

// Action is what is done with a reported task.
type Action int

// The actions.
const (
	Follow      Action = iota // go on with it, as known
	Adopt                     // begin to follow it
	AwaitToken                // leave it alone until a report shows this leader's token
	LeaveAlone                // leave it alone, and what it has done too
	Stop                      // stop it at once
	StoreResult               // store its result, and have it forgotten once it is stored
	Forget                    // have it forgotten
)

// Decide tells what to do with a reported task, and in which way it differs from what is stored;
// differs is false for what every leader sees in normal work.
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
		// Started by an earlier leader. It goes on, but where is only known from a report that
		// shows our token: this one may be a copy from before the term, and the task may have moved
		// since. Taken at its word, such a copy had the task ended on the machine that does run it.
		return AwaitToken, AsStored, false
	case t.Finished:
		return Stop, FinishedRunsAgain, true
	case t.Elsewhere:
		return Stop, OnTwoMachines, true
	default:
		return Adopt, AsStored, true
	}
}

// decideExited is the part of Decide for tasks that have ended: a result is the only copy until
// it is stored, everything else may be forgotten.
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
