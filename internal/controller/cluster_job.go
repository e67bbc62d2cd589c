package controller

import (
	"math"
	"time"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/protocol"
)

// job is an open job in the leader's state.
type job struct {
	spec          protocol.Job
	acceptedAt    clock.Instant // when the submission was accepted
	eligibleAt    clock.Instant // start of all time limits but the deadline: acceptance, or completion of the last dependency
	recordVersion uint64        // key-value store revision of the job record
	dependencies

	attempts         map[int]*taskAttempt // by task index
	pendingTasks     int                  // number of tasks without an attempt
	firstPendingTask int                  // no task with a lower index is pending
	doneTasks        int                  // number of finished tasks

	bitmapParts      []*bitmapPart           // bitmap of finished tasks
	tasksPerPart     int                     // tasks covered by each part
	failureHistories map[int]*failureHistory // by task index
	imageCheckedAt   clock.Instant           // scheduling pass for which imageAvailable was determined
	imageAvailable   bool                    // some schedulable machine has the job's image
	failedMachines   map[string]bool         // machines on which a task failed; cleared by the first success
	longestFailedRun time.Duration           // longest run of a task before it failed
	failsEverywhere  bool                    // the job itself is at fault, not the machines
	failedProbes     int                     // failures since failsEverywhere was set
	nextProbeAt      clock.Instant           // when the next single task is tried
	reservation      reservation
	movedTasks       map[int]bool // tasks already moved to another machine once, by index

	logDurationSum, durationSamples float64       // sum and number of logarithms of task run times
	typicalDuration                 time.Duration // geometric mean of task run times

	terminal                  bool          // cancelled or done: no task starts any more
	cancelled                 bool          // terminal because of a cancellation
	completionUncertain       bool          // the terminal record may be stored, but no response confirms it
	blockedBy                 waitReason    // the check that stopped the last scheduling attempt
	pendingSince              clock.Instant // since when the job has had pending tasks
	firstStartAt, lastStartAt clock.Instant // of its tasks
	startCommandSent          bool          // a start command was sent in this term
	quarantined               bool          // one of its records is quarantined: no task starts
}

// taskState is the progress of one task of an open job. It is derived from the job's bitmap of
// finished tasks and its attempts instead of being stored: one byte per task, for hundreds of
// jobs of up to 100,000 tasks, exceeded a controller's memory.
type taskState uint8

const (
	taskPending taskState = iota // neither started nor finished
	taskActive                   // has an attempt on a machine
	taskDone                     // its bit is set in the bitmap
)

// taskState returns the progress of a task.
func (j *job) taskState(index int) taskState {
	part, byteIndex, bit := j.bitmapPosition(index)
	switch {
	case byteIndex < len(part.bits) && part.bits[byteIndex]&bit != 0:
		return taskDone
	case j.attempts[index] != nil:
		return taskActive
	default:
		return taskPending
	}
}

// failureHistory records the failures of one task and its retry limits.
type failureHistory struct {
	failures       int
	retryAfter     clock.Instant // earliest time of the next attempt
	avoidedMachine string        // machine skipped during placement,
	avoidUntil     clock.Instant // until this time; afterwards it is used if no other fits
}

// bitmapPart is one part of a job's bitmap of finished tasks.
type bitmapPart struct {
	key         string
	sizeBytes   int    // of bits
	bits        []byte // nil until the first bit is set
	storedBits  []byte // last value known to be durable
	writeQueued bool   // a write is in the writer's queue
	superseded  bool   // replaced by another layout
}

// bitmapPosition returns the position of a task's bit: the part, the byte in it and the bit mask.
func (j *job) bitmapPosition(index int) (part *bitmapPart, byteIndex int, bit byte) {
	indexInPart := index % j.tasksPerPart
	return j.bitmapParts[index/j.tasksPerPart], indexInPart / 8, 1 << (indexInPart % 8)
}

// setTaskBit marks a task as finished in the bitmap and returns the changed part.
func (j *job) setTaskBit(index int) *bitmapPart {
	part, byteIndex, bit := j.bitmapPosition(index)
	if part.bits == nil {
		part.bits = make([]byte, part.sizeBytes)
	}
	part.bits[byteIndex] |= bit
	return part
}

// finishDurable reports whether a finished task's bit is stored in the key-value store.
func (j *job) taskDurable(index int) bool {
	part, byteIndex, bit := j.bitmapPosition(index)
	return byteIndex < len(part.storedBits) && part.storedBits[byteIndex]&bit != 0
}

// state returns the job's state as reported to users.
func (j *job) state() protocol.JobStatus {
	done, running := j.doneTasks, 0
	for _, r := range j.attempts {
		if r.phase == attemptRunning || r.phase == attemptSaving {
			running++
		}
	}
	state := protocol.JobStatus{ID: j.spec.ID, State: protocol.JobQueued, DoneTasks: &done, RunningTasks: &running}
	switch {
	case j.dependencyCancelled:
		state.State = protocol.JobCancelled
	case running > 0:
		state.State = protocol.JobRunning
	}
	return state
}

// effectiveRank returns the job's priority rank, or the best rank of its dependents if that is
// better.
func (j *job) effectiveRank() int { return min(j.spec.PriorityRank(), j.inheritedRank) }

// hasStarted reports whether some task of the job has been started.
func (j *job) hasStarted() bool { return j.doneTasks > 0 || len(j.attempts) > 0 || j.firstStartAt != 0 }

// dependencies holds a job's position in the DAG of jobs.
type dependencies struct {
	pendingDependencies int           // dependencies whose completion is not durable, or not known to this leader
	dependencyCancelled bool          // a dependency is durably cancelled
	releasedThisTerm    bool          // a dependency completed in this term, so no earlier leader can have started the job
	latestEnd           clock.Instant // latest end that keeps all dependents in time
	inheritedRank       int           // best priority rank of the dependents
}

// newDependencies returns the value of a job without any dependency or dependent.
func newDependencies() dependencies {
	return dependencies{latestEnd: clock.Forever, inheritedRank: math.MaxInt}
}

// reservation is the reserved machine of one job.
type reservation struct {
	machine    *machine      // nil: none
	searchedAt clock.Instant // when a machine was last searched
}

// waitReason is the check that keeps a job from starting a task, as shown by its status.
type waitReason string

// Values of waitReason, in the order of the checks.
const (
	waitDependencies   waitReason = "jobs that it needs"
	waitBackoff        waitReason = "backing off"
	waitReconciliation waitReason = "a machine is not accounted for"
	waitSlots          waitReason = "scheduler slots"
	waitTeamQuota      waitReason = "team quota"
	waitOverallQuota   waitReason = "overall quota"
	waitCapacity       waitReason = "no machine with room"
	waitImage          waitReason = "a machine with its image and room"
	// waitQuarantine: one of the job's records cannot be read.
	waitQuarantine waitReason = "a record of it that can't be read"
	waitNone       waitReason = ""
)

// isLatencySensitive reports whether a job belongs to the latency-sensitive class (priorities
// prod and urgent).
func isLatencySensitive(j *protocol.Job) bool { return j.PriorityRank() <= 1 }
