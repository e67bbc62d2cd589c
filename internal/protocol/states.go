package protocol

// JobState is the state of a job, by its name on the wire.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "withdrawn"
)

// IsTerminal reports whether a job in this state never leaves it.
func (s JobState) IsTerminal() bool { return s == JobDone || s == JobCancelled }

// JobKindBatch is the only kind of jobs.
const JobKindBatch = "batch"

// TaskState is the state of a task on a machine, by its name on the wire.
type TaskState string

// States of a task on a machine.
const (
	TaskFetching      TaskState = "fetching"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving"
	TaskExited        TaskState = "exited"
)

// ExitReason is why a task has exited, by its name on the wire.
type ExitReason string

// Exit reasons of a task. The last three mean that the worker refused to start it.
const (
	ExitDone                  ExitReason = "done"
	ExitStopped               ExitReason = "halted" // stopped by command
	ExitFailed                ExitReason = "error"
	ExitInsufficientResources ExitReason = "full"    // not enough free resources on the machine
	ExitDuplicateTask         ExitReason = "in_use"  // the machine has another attempt of the task
	ExitUnknownTask           ExitReason = "unknown" // no such job or task, or the job was not submitted
)

// CommandKind is the kind of a command to a worker, by its name on the wire.
type CommandKind string

// Kinds of commands to a worker.
const (
	CommandStart  CommandKind = "start"
	CommandStop   CommandKind = "stop"
	CommandForget CommandKind = "forget"
)

// HostState is the state of a machine in the cloud's list, by its name on the wire.
type HostState string

// States of a machine in the cloud's list. Others are left as the cloud names them.
const (
	HostRunning HostState = "running"
	HostFailed  HostState = "failed" // it has stopped by itself
)

// Priority is the priority of a job, by its name on the wire.
type Priority string

// Priorities, the most urgent first.
const (
	PriorityProduction Priority = "prod"
	PriorityUrgent     Priority = "urgent"
	PriorityStandard   Priority = "standard"
	PriorityLow        Priority = "low"
)

// unknownPriority is the name of a rank that no priority has.
const unknownPriority Priority = "unknown"

// priorityRanks orders the priorities; the smallest rank is the most urgent.
var priorityRanks = map[Priority]int{PriorityProduction: 0, PriorityUrgent: 1, PriorityStandard: 2, PriorityLow: 3}

// PriorityName returns the priority with the given rank, or "unknown".
func PriorityName(rank int) Priority {
	for priority, priorityRank := range priorityRanks {
		if priorityRank == rank {
			return priority
		}
	}
	return unknownPriority
}

// PriorityRank returns the rank of the job's priority; smaller ranks are scheduled first.
func (j *Job) PriorityRank() int { return priorityRanks[j.Priority] }
