package coordination

import (
	"math"
	"time"

	"hitchdoor/internal/protocol"
)

// job is an open job in the leader's state.
type job struct {
	spec    protocol.Job
	at      Instant // when the submission was accepted
	from    Instant // start of all time limits but the deadline: acceptance, or completion of the last dependency
	version uint64  // key-value store revision of the job record
	chain

	runs    map[int]*run // by task index
	pending int          // number of tasks without an attempt
	first   int          // no task with a lower index is pending
	done    int          // number of finished tasks

	parts       []*partState            // bitmap of finished tasks
	partTasks   int                     // tasks covered by each part
	failures    map[int]*failureHistory // by task index
	imageSeen   Instant                 // scheduling pass for which imageAvailable was determined
	imageHeld   bool                    // some schedulable machine has the job's image
	failedOn    map[string]bool         // machines on which a task failed; cleared by the first success
	failedAfter time.Duration           // longest run of a task before it failed
	bad         bool                    // the job itself is at fault, not the machines
	probes      int                     // failures since failsEverywhere was set
	probeAt     Instant                 // when the next single task is tried
	reservation reservation
	moved       map[int]bool // tasks already moved to another machine once, by index

	tookSum, tookCount float64       // sum and number of logarithms of task run times
	usual              time.Duration // geometric mean of task run times

	gone                  bool       // cancelled or done: no task starts any more
	withdrawn             bool       // terminal because of a cancellation
	ending                bool       // the terminal record may be stored, but no response confirms it
	waits                 waitReason // the check that stopped the last scheduling attempt
	waiting               Instant    // since when the job has had pending tasks
	firstStart, lastStart Instant    // of its tasks
	commanded             bool       // a start command was sent in this term
	held                  bool       // one of its records is quarantined: no task starts
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
	part, at, bit := j.partOf(index)
	switch {
	case at < len(part.bits) && part.bits[at]&bit != 0:
		return taskDone
	case j.runs[index] != nil:
		return taskActive
	default:
		return taskPending
	}
}

// failureHistory records the failures of one task and its retry limits.
type failureHistory struct {
	failures int
	after    Instant // earliest time of the next attempt
	avoid    string  // machine skipped during placement,
	until    Instant // until this time; afterwards it is used if no other fits
}

// bitmapPart is one part of a job's bitmap of finished tasks.
type partState struct {
	key     string
	size    int    // of bits
	bits    []byte // nil until the first bit is set
	stored  []byte // last value known to be durable
	queued  bool   // a write is in the writer's queue
	retired bool   // replaced by another layout
}

// bitmapPosition returns the position of a task's bit: the part, the byte in it and the bit mask.
func (j *job) partOf(index int) (part *partState, at int, bit byte) {
	in := index % j.partTasks
	return j.parts[index/j.partTasks], in / 8, 1 << (in % 8)
}

// setTaskBit marks a task as finished in the bitmap and returns the changed part.
func (j *job) setBit(index int) *partState {
	part, at, bit := j.partOf(index)
	if part.bits == nil {
		part.bits = make([]byte, part.size)
	}
	part.bits[at] |= bit
	return part
}

// finishDurable reports whether a finished task's bit is stored in the key-value store.
func (j *job) durable(index int) bool {
	p, at, bit := j.partOf(index)
	return at < len(p.stored) && p.stored[at]&bit != 0
}

// state returns the job's state as reported to users.
func (j *job) state() protocol.JobState {
	done, running := j.done, 0
	for _, r := range j.runs {
		if r.phase == phaseRunning || r.phase == phaseSaving {
			running++
		}
	}
	s := protocol.JobState{UID: j.spec.UID, State: protocol.Queued, Done: &done, Running: &running}
	switch {
	case j.doomed:
		s.State = protocol.Withdrawn
	case running > 0:
		s.State = protocol.Running
	}
	return s
}

// effectiveRank returns the job's priority rank, or the best rank of its dependents if that is
// better.
func (j *job) rank() int { return min(j.spec.Rank(), j.urgency) }

// hasStarted reports whether some task of the job has been started.
func (j *job) begun() bool { return j.done > 0 || len(j.runs) > 0 || j.firstStart != 0 }

// dependencies holds a job's position in the DAG of jobs.
type chain struct {
	awaits  int     // dependencies whose completion is not durable, or not known to this leader
	doomed  bool    // a dependency is durably cancelled
	fresh   bool    // a dependency completed in this term, so no earlier leader can have started the job
	endBy   Instant // latest end that keeps all dependents in time
	urgency int     // best priority rank of the dependents
}

// newDependencies returns the value of a job without any dependency or dependent.
func newChain() chain { return chain{endBy: forever, urgency: math.MaxInt} }

// reservation is the reserved machine of one job.
type reservation struct {
	machine *machine // nil: none
	triedAt Instant  // when a machine was last searched
}

// waitReason is the check that keeps a job from starting a task, as shown by its status.
type waitReason string

// Values of waitReason, in the order of the checks.
const (
	waitNeeds   waitReason = "jobs that it needs"
	waitBackoff waitReason = "backing off"
	waitUnknown waitReason = "a machine is not accounted for"
	waitSlots   waitReason = "scheduler slots"
	waitTeam    waitReason = "team quota"
	waitOverall waitReason = "overall quota"
	waitRoom    waitReason = "no machine with room"
	waitImage   waitReason = "a machine with its image and room"
	// waitQuarantine: one of the job's records cannot be read.
	waitQuarantine waitReason = "a record of it that can't be read"
	waitNothing    waitReason = ""
)

// isLatencySensitive reports whether a job belongs to the latency-sensitive class (priorities
// prod and urgent).
func pressing(j *protocol.Job) bool { return j.Rank() <= 1 }
