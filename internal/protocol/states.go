package protocol

// JobState is the state of a job. The values are the names used on the wire.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// IsTerminal reports whether a job that is in this state never leaves it.
func (s JobState) IsTerminal() bool { return s == JobDone || s == JobCancelled }

// JobKindBatch is the only kind of job that is accepted.
const JobKindBatch = "batch"

// TaskState is the state of a task on a machine. The values are the names used on the wire.
type TaskState string

// States of a task on a machine.
const (
	TaskPulling       TaskState = "fetching" // the machine pulls the task's image
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving" // the task saves a checkpoint before it stops
	TaskExited        TaskState = "exited" // the worker keeps the task's result until CommandForget
)

// ExitReason is the reason for which a task has exited. The values are the names used on the wire.
type ExitReason string

// Exit reasons of a task. The last three mean that the worker refused to start the task.
const (
	ExitDone                  ExitReason = "done"
	ExitStopped               ExitReason = "halted" // stopped by a command
	ExitFailed                ExitReason = "error"
	ExitInsufficientResources ExitReason = "full"    // the machine lacks free resources
	ExitDuplicateTask         ExitReason = "in_use"  // the machine has another attempt of the task
	ExitUnknownTask           ExitReason = "unknown" // no such job or task, or the job was not submitted
)

// CommandKind is what a command tells a worker to do. The values are the names used on the wire.
type CommandKind string

// Kinds of commands to a worker.
const (
	CommandStart  CommandKind = "start"
	CommandStop   CommandKind = "stop"
	CommandForget CommandKind = "forget" // discard the result of an exited attempt
)

// HostState is the state of a machine in the cloud's list. The values are the names used on the wire.
type HostState string

// States of a machine in the cloud's list that this program names. Other states keep the name that the
// cloud gives them.
const (
	HostRunning HostState = "running"
	HostFailed  HostState = "failed" // the machine stopped without having been returned to the cloud
)

// Priority is the priority of a job. The values are the names used on the wire.
type Priority string

// Priorities of jobs, from the most to the least urgent.
const (
	PriorityProduction Priority = "prod"
	PriorityUrgent     Priority = "urgent"
	PriorityStandard   Priority = "standard"
	PriorityLow        Priority = "low"
)

// unknownPriority is what PriorityName returns for a rank that no priority has.
const unknownPriority Priority = "unknown"

// priorityRanks maps each priority to its rank. The smallest rank is the most urgent.
var priorityRanks = map[Priority]int{PriorityProduction: 0, PriorityUrgent: 1, PriorityStandard: 2, PriorityLow: 3}

// PriorityName returns the priority that has a rank, or "unknown" if none has.
func PriorityName(rank int) Priority {
	for priority, priorityRank := range priorityRanks {
		if priorityRank == rank {
			return priority
		}
	}
	return unknownPriority
}

// PriorityRank returns the rank of the job's priority. Smaller ranks are scheduled first. An unknown
// priority has rank 0, but Validate rejects it.
func (j *Job) PriorityRank() int { return priorityRanks[j.Priority] }
