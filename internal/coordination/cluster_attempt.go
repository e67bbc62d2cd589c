package coordination

import (
	"time"

	"hitchdoor/internal/protocol"
)

// taskAttempt is one attempt to run a task on a machine.
type run struct {
	job     *job
	index   int
	attempt uint64 // unique across terms
	m       *machine
	phase   phase
	since   Instant  // when the attempt was placed
	started Instant  // first heartbeat that showed it running
	stop    *float64 // seconds of grace of a requested stop; nil: no stop requested
	shown   bool     // contained in the heartbeat being processed
	name    string   // see key
}

// attemptPhase is how far an attempt has come on its machine.
type phase uint8

const (
	phaseAssigned phase = iota // not included in any heartbeat response yet
	phaseSent                  // included in a response that no heartbeat has confirmed yet
	phaseFetching              // the image is being fetched
	phaseRunning
	phaseSaving // the task is saving its state
)

// key returns the task key of the attempt, computed once.
func (r *run) key() string {
	if r.name == "" {
		r.name = taskKey(r.job.spec.UID, r.index)
	}
	return r.name
}

// taskKey returns the key that identifies a task on the wire and in logs.
func taskKey(id string, index int) string { return protocol.TaskKey(id, index) }

// parseTaskKey splits a task key into job ID and task index.
func splitTask(key string) (id string, index int, ok bool) {
	for i := len(key) - 1; i > 0; i-- {
		if key[i] == '/' {
			if i+1 == len(key) {
				return "", 0, false
			}
			for _, c := range key[i+1:] {
				if c < '0' || c > '9' || index > protocol.MaxTasks {
					return "", 0, false
				}
				index = index*10 + int(c-'0')
			}
			return key[:i], index, true
		}
	}
	return "", 0, false
}

// remainingDuration returns how long an attempt should still run.
func (s *clusterState) remaining(r *run) time.Duration { return s.remainingOf(r, s.expected(r.job)) }

// remainingOfExpected returns how long an attempt should still run, given its expected total
// duration.
func (s *clusterState) remainingOf(r *run, want time.Duration) time.Duration {
	if r.phase == phaseRunning {
		return max(want-(s.clock.Now()-r.started), want/8)
	}
	return want
}

// checkpointGraceS returns the grace period, in seconds, for an attempt to save a checkpoint, with
// a margin for a slow machine.
func (s *clusterState) saveGrace(r *run) float64 {
	return 2*r.job.spec.SaveS + s.report().Seconds()
}

// minCountedRun is how long a task must run uninterrupted for its start to count towards the SLOs,
// by the worker protocol.
const countsAfter = 30 * time.Second
