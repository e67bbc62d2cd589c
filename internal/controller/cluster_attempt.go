package controller

import (
	"time"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/protocol"
)

// taskAttempt is one attempt to run a task on a machine.
type taskAttempt struct {
	job          *job
	taskIndex    int
	number       uint64 // unique across terms
	machine      *machine
	phase        attemptPhase
	assignedAt   clock.Instant // when the attempt was placed
	runningSince clock.Instant // first heartbeat that showed it running
	stopGrace    *float64      // seconds of grace of a requested stop; nil: no stop requested
	reported     bool          // contained in the heartbeat being processed
	cachedKey    string        // see key
}

// attemptPhase is how far an attempt has come on its machine.
type attemptPhase uint8

const (
	attemptAssigned attemptPhase = iota // not included in any heartbeat response yet
	attemptSent                         // included in a response that no heartbeat has confirmed yet
	attemptFetching                     // the image is being fetched
	attemptRunning
	attemptSaving // the task is saving its state
)

// key returns the task key of the attempt, computed once.
func (r *taskAttempt) key() string {
	if r.cachedKey == "" {
		r.cachedKey = taskKey(r.job.spec.ID, r.taskIndex)
	}
	return r.cachedKey
}

// taskKey returns the key that identifies a task on the wire and in logs.
func taskKey(id string, index int) string { return protocol.TaskID(id, index) }

// parseTaskKey splits a task key into job ID and task index.
func parseTaskKey(key string) (id string, index int, ok bool) {
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

// remainingDuration returns how long an attempt should still run.
func (s *clusterState) remainingDuration(attempt *taskAttempt) time.Duration {
	return s.remainingOfExpected(attempt, s.expectedTaskDuration(attempt.job))
}

// remainingOfExpected returns how long an attempt should still run, given its expected total
// duration.
func (s *clusterState) remainingOfExpected(attempt *taskAttempt, expected time.Duration) time.Duration {
	if attempt.phase == attemptRunning {
		return max(expected-(s.clock.Now()-attempt.runningSince), expected/8)
	}
	return expected
}

// checkpointGraceS returns the grace period, in seconds, for an attempt to save a checkpoint, with
// a margin for a slow machine.
func (s *clusterState) checkpointGraceS(attempt *taskAttempt) float64 {
	return 2*attempt.job.spec.CheckpointSaveSeconds + s.heartbeatInterval().Seconds()
}

// minCountedRun is how long a task must run uninterrupted for its start to count towards the SLOs,
// by the worker protocol.
const minCountedRun = 30 * time.Second
