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
	Number       uint64 // number of the attempt, unique across terms
	Machine      *Machine
	Phase        AttemptPhase
	AssignedAt   clock.Instant // when the attempt was placed
	RunningSince clock.Instant // when a heartbeat to this leader first reported the task as running
	StopGrace    *float64      // grace period of the requested stop, in seconds; nil: no stop requested
	Reported     bool          // the heartbeat being processed contains the attempt
	slots        SlotUnits     // scheduler slots that the attempt occupies
	cachedKey    string        // result of Key; empty: not computed yet
}

// AttemptPhase is the progress of an attempt on its machine.
type AttemptPhase uint8

// The phases of an attempt, in the order in which it passes through them.
const (
	AttemptAssigned AttemptPhase = iota // its start command is not in any heartbeat response yet
	AttemptSent                         // its start command is in a response that no heartbeat has confirmed yet
	AttemptPulling                      // the machine is pulling the image
	AttemptRunning
	AttemptCheckpointing // the task is saving a checkpoint before it stops
)

// Key returns the task key of the attempt. The key is computed once and cached.
func (a *TaskAttempt) Key() string {
	if a.cachedKey == "" {
		a.cachedKey = TaskKey(a.Job.Spec.ID, a.TaskIndex)
	}
	return a.cachedKey
}

// TaskKey returns the key that identifies a task on the wire and in logs.
func TaskKey(id string, index int) string { return protocol.TaskID(id, index) }

// ParseTaskKey splits a task key into job ID and task index. ok is false if the key is malformed.
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

// MinCountedRun is how long a task must run without interruption for its start to count towards the
// SLOs, as the worker protocol defines it.
const MinCountedRun = 30 * time.Second
