package cluster

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// TaskAttempt is one attempt to run a task on a machine.
type TaskAttempt struct {
	Job          *Job
	TaskIndex    int
	Number       uint64 // unique across terms
	Machine      *Machine
	Phase        AttemptPhase
	AssignedAt   clock.Instant // when the attempt was placed
	RunningSince clock.Instant // first heartbeat that showed it running
	StopGrace    *float64      // seconds of grace of a requested stop; nil: no stop requested
	Reported     bool          // contained in the heartbeat being processed
	cachedKey    string        // see key
}

// AttemptPhase is how far an attempt has come on its machine.
type AttemptPhase uint8

// The phases of an attempt, in their order.
const (
	AttemptAssigned AttemptPhase = iota // not included in any heartbeat response yet
	AttemptSent                         // included in a response that no heartbeat has confirmed yet
	AttemptFetching                     // the image is being fetched
	AttemptRunning
	AttemptSaving // the task is saving its state
)

// Key returns the task key of the attempt, computed once.
func (a *TaskAttempt) Key() string {
	if a.cachedKey == "" {
		a.cachedKey = TaskKey(a.Job.Spec.ID, a.TaskIndex)
	}
	return a.cachedKey
}

// TaskKey returns the key that identifies a task on the wire and in logs.
func TaskKey(id string, index int) string { return protocol.TaskID(id, index) }

// ParseTaskKey splits a task key into job ID and task index.
func ParseTaskKey(key string) (id string, index int, ok bool) {
	for i := len(key) - 1; i > 0; i-- {
		if key[i] == '/' {
			if i+1 == len(key) {
				return "", 0, false
			}
			for _, digit := range key[i+1:] {
				if digit < '0' || digit > '9' || index > protocol.MaxTasksPerJob {
					return "", 0, false
				}
				index = index*10 + int(digit-'0')
			}
			return key[:i], index, true
		}
	}
	return "", 0, false
}

// MinCountedRun is how long a task must run uninterrupted for its start to count towards the SLOs,
// by the worker protocol.
const MinCountedRun = 30 * time.Second
