package cluster

import (
	"math"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// Job is an open job in the leader's state.
type Job struct {
	Spec       protocol.Job
	AcceptedAt clock.Instant // when the submission was accepted
	// EligibleAt is when the job was accepted or, if it has dependencies, when the last of them was
	// completed. All time limits except the deadline count from then.
	EligibleAt     clock.Instant
	RecordRevision uint64 // revision of the job record in the key-value store

	Dependencies
	TaskProgress
	JobFailures
	JobDurations
	JobLifecycle

	Reservation    Reservation
	BlockedBy      WaitReason    // the check that failed when the job was last scheduled
	PendingSince   clock.Instant // when the job last began to have pending tasks
	ImageCheckedAt clock.Instant // scheduling pass for which ImageAvailable was determined
	ImageAvailable bool          // some schedulable machine has the job's image
}

// TaskProgress is the progress of the tasks of a job.
type TaskProgress struct {
	Attempts         map[int]*TaskAttempt // by task index
	PendingTasks     int                  // number of unfinished tasks without an attempt
	FirstPendingTask int                  // no task with a lower index is pending
	DoneTasks        int                  // number of finished tasks
	BitmapParts      []*BitmapPart        // bitmap of finished tasks, in parts
	TasksPerPart     int                  // number of tasks that each part covers
	RescheduledTasks map[int]bool         // tasks once stopped to restart elsewhere, by index
}

// JobFailures is the failure history of a job and its tasks.
type JobFailures struct {
	FailureHistories map[int]*FailureHistory // by task index
	FailedMachines   map[string]bool         // machines on which a task failed; cleared by the first success
	longestFailedRun time.Duration           // longest run time of a failed attempt
	FailsEverywhere  bool                    // the job itself is at fault, not the machines
	FailedProbes     int                     // failures since FailsEverywhere was set
	NextProbeAt      clock.Instant           // earliest time of the next probe, the retry of a single task
}

// JobDurations holds statistics on the run times of the finished tasks of a job.
type JobDurations struct {
	logDurationSum, durationSamples float64       // sum and number of the logarithms of the run times
	typicalDuration                 time.Duration // geometric mean of the run times
}

// JobLifecycle is the state of a job as a whole.
type JobLifecycle struct {
	Terminal  bool // cancelled or done; no further task starts
	Cancelled bool // terminal because it was cancelled
	// CompletionUncertain is set when the job's terminal record, or a dependency's, may be stored but the store
	// has not confirmed it.
	CompletionUncertain       bool
	StartCommandSent          bool          // a start command was sent in this term
	Quarantined               bool          // one of its records can't be read; no task starts
	FirstStartAt, LastStartAt clock.Instant // when this leader first and last saw a task begin to run; 0: never
}

// NewJob returns a job without dependencies whose tasks are all pending since now.
func NewJob(spec protocol.Job, acceptedAt clock.Instant, recordRevision uint64, now clock.Instant) *Job {
	return &Job{
		Spec: spec, AcceptedAt: acceptedAt, EligibleAt: acceptedAt, RecordRevision: recordRevision,
		Dependencies: NewDependencies(),
		TaskProgress: TaskProgress{Attempts: map[int]*TaskAttempt{}, PendingTasks: spec.TaskCount},
		JobFailures:  JobFailures{FailureHistories: map[int]*FailureHistory{}, FailedMachines: map[string]bool{}},
		PendingSince: now, ImageCheckedAt: clock.Never,
	}
}

// TaskState is the progress of one task of an open job. It is not kept in memory but derived from the
// job's attempts and its bitmap of finished tasks: one byte per task, for hundreds of jobs of up to
// 100,000 tasks, exceeded a controller's memory.
type TaskState uint8

// The states of a task.
const (
	TaskPending TaskState = iota // neither started nor finished
	taskActive                   // has an attempt on a machine
	TaskDone                     // its bit is set in the bitmap
)

// TaskState returns the progress of a task.
func (j *Job) TaskState(index int) TaskState {
	part, byteIndex, bit := j.bitmapPosition(index)
	switch {
	case byteIndex < len(part.Bits) && part.Bits[byteIndex]&bit != 0:
		return TaskDone
	case j.Attempts[index] != nil:
		return taskActive
	default:
		return TaskPending
	}
}

// FailureHistory records the failures of one task and where and when it may be retried.
type FailureHistory struct {
	failures       int
	RetryAfter     clock.Instant // earliest time of the next attempt
	AvoidedMachine string        // machine that placement skips until AvoidUntil
	AvoidUntil     clock.Instant // afterwards AvoidedMachine is a candidate like any other
}

// BitmapPart is one part of a job's bitmap of finished tasks.
type BitmapPart struct {
	Key         string // of the part's record in the key-value store
	SizeBytes   int    // length of Bits
	Bits        []byte // nil until the first bit is set
	StoredBits  []byte // last value of Bits known to be durable
	WriteQueued bool   // a write of this part is queued
	Superseded  bool   // a new bitmap layout has replaced this part
}

// bitmapPosition returns the position of a task's bit: the part, the index of the byte in it and the
// bit mask.
func (j *Job) bitmapPosition(index int) (part *BitmapPart, byteIndex int, bit byte) {
	indexInPart := index % j.TasksPerPart
	return j.BitmapParts[index/j.TasksPerPart], indexInPart / 8, 1 << (indexInPart % 8)
}

// SetTaskBit marks a task as finished in the bitmap and returns the changed part.
func (j *Job) SetTaskBit(index int) *BitmapPart {
	part, byteIndex, bit := j.bitmapPosition(index)
	if part.Bits == nil {
		part.Bits = make([]byte, part.SizeBytes)
	}
	part.Bits[byteIndex] |= bit
	return part
}

// TaskDurable reports whether a finished task's bit is stored in the key-value store.
func (j *Job) TaskDurable(index int) bool {
	part, byteIndex, bit := j.bitmapPosition(index)
	return byteIndex < len(part.StoredBits) && part.StoredBits[byteIndex]&bit != 0
}

// State returns the status of the job that users see while it is open.
func (j *Job) State() protocol.JobStatus {
	done, running := j.DoneTasks, 0
	for _, attempt := range j.Attempts {
		if attempt.Phase == AttemptRunning || attempt.Phase == AttemptCheckpointing {
			running++
		}
	}
	state := protocol.JobStatus{ID: j.Spec.ID, State: protocol.JobQueued, DoneTasks: &done, RunningTasks: &running}
	switch {
	case j.DependencyCancelled:
		state.State = protocol.JobCancelled
	case running > 0:
		state.State = protocol.JobRunning
	}
	return state
}

// EffectiveRank returns the job's priority rank, or the best rank of its dependents if that is
// better.
func (j *Job) EffectiveRank() int { return min(j.Spec.PriorityRank(), j.InheritedRank) }

// HasStarted reports whether some task of the job has been started.
func (j *Job) HasStarted() bool { return j.DoneTasks > 0 || len(j.Attempts) > 0 || j.FirstStartAt != 0 }

// Dependencies holds a job's position in the DAG of jobs.
type Dependencies struct {
	PendingDependencies int  // dependencies not known to be durably completed
	DependencyCancelled bool // a dependency is durably cancelled
	// ReleasedThisTerm is set once a dependency has completed in this term. No earlier leader can have
	// started such a job.
	ReleasedThisTerm bool
	LatestEnd        clock.Instant // latest end with which all dependents meet their deadlines; clock.Forever: none
	InheritedRank    int           // best (lowest) priority rank of the dependents; math.MaxInt: none
}

// NewDependencies returns the Dependencies of a job that has no dependencies and no dependents.
func NewDependencies() Dependencies {
	return Dependencies{LatestEnd: clock.Forever, InheritedRank: math.MaxInt}
}

// Reservation is the reservation of a machine for one job.
type Reservation struct {
	Machine    *Machine      // nil: none
	SearchedAt clock.Instant // last search for a machine to reserve
	StartsAt   clock.Instant // when the machine is expected to have room for the reserved task
}

// WaitReason is the check that failed when the scheduler last tried to start a task of a job. The status
// page shows it to operators as waitsFor; users don't see it.
type WaitReason string

// The values of WaitReason. Package scheduler determines the order of the checks.
const (
	WaitDependencies   WaitReason = "jobs that it needs"
	WaitBackoff        WaitReason = "backing off"
	WaitReconciliation WaitReason = "a machine is not accounted for"
	WaitSlots          WaitReason = "scheduler slots"
	WaitTeamQuota      WaitReason = "team quota"
	WaitOverallQuota   WaitReason = "overall quota"
	WaitCapacity       WaitReason = "no machine with room"
	WaitImage          WaitReason = "a machine with its image and room"
	// WaitQuarantine is the reason if one of the job's records cannot be read.
	WaitQuarantine WaitReason = "a record of it that can't be read"
	WaitNone       WaitReason = "" // no check failed
)

// RankLatencySensitive is the largest priority rank of latency-sensitive work. Smaller ranks come first.
const RankLatencySensitive = 1

// IsLatencySensitive reports whether a job belongs to the latency-sensitive class (priorities
// prod and urgent).
func IsLatencySensitive(j *protocol.Job) bool { return j.PriorityRank() <= RankLatencySensitive }
