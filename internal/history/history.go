// Package history records what the users, the workers and the cloud observe of a cluster during a fault
// test, and checks that the cluster has kept its guarantees. It knows nothing of the controllers' state.
package history

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hitchdoor/internal/protocol"
)

// Kind is the kind of an Event.
type Kind int

// The kinds of events.
const (
	// JobSubmitted is the first submission of a job: Job, TaskCount.
	JobSubmitted Kind = iota
	// CancelRequested is the first request of a user to cancel a job: Job.
	CancelRequested
	// Answered is a response to a user's request: Job, Node, Request, Status, State, SentAt. Status 0
	// means that no response arrived.
	Answered
	// CommandExecuted is a command that a worker has executed: Task, Attempt, Machine, Command, Token,
	// HighestToken, SentAt (of the heartbeat whose response contained the command).
	CommandExecuted
	// TaskStarted is the begin of a task on a machine: Task, Attempt, Machine, SentAt as above.
	TaskStarted
	// TaskEnded is the end of a task on a machine: Task, Attempt, Machine, Completed.
	TaskEnded
	// MachineRented is a machine that the cloud has rented out: Machine.
	MachineRented
	// MachineServed is a heartbeat that was answered with status 200: Machine.
	MachineServed
	// MachineGone is a machine that was returned, or that the cloud has taken: Machine.
	MachineGone
	// FaultsEnded is the end of the last fault.
	FaultsEnded
	// ControllerExited is a controller process that ended by itself: Node, Detail.
	ControllerExited
	// MemoryMeasured is the peak memory of a controller process: Node, MemoryMB.
	MemoryMeasured
	// InvariantLogged is a violated invariant that a controller has logged: Node, Detail.
	InvariantLogged
)

// Event is one observation. Which fields are set depends on its kind.
type Event struct {
	At   time.Duration // since the start of the run
	Kind Kind

	Job, Machine, Node string
	Task               string
	Attempt            uint64
	TaskCount          int
	Completed          bool

	Request protocol.RequestKind
	Status  int
	State   protocol.JobState
	SentAt  time.Duration

	Command             protocol.CommandKind
	Token, HighestToken uint64
	MemoryMB            float64
	Detail              string
}

// Recorder collects the events of a run. It is safe for concurrent use. A nil recorder drops all events.
type Recorder struct {
	startedAt time.Time
	mu        sync.Mutex
	events    []Event
}

// NewRecorder returns a recorder whose run starts now.
func NewRecorder() *Recorder { return &Recorder{startedAt: time.Now()} }

// Since returns the time from the start of the run to the given time.
func (r *Recorder) Since(at time.Time) time.Duration {
	if r == nil {
		return 0
	}
	return at.Sub(r.startedAt)
}

// Record adds an event that happens now.
func (r *Recorder) Record(event Event) { r.RecordAt(event, time.Now()) }

// RecordAt adds an event that has happened at a time, for example the end of a lease that is noticed later.
func (r *Recorder) RecordAt(event Event, at time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	event.At = at.Sub(r.startedAt)
	r.events = append(r.events, event)
}

// Events returns all events so far, ordered by their times.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := slices.Clone(r.events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}
