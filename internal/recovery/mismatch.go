package recovery

import "time"

// Mismatch is a kind of difference between a worker's heartbeat and the stored state. The
// reconciliation resolves all mismatches of one kind in the same way.
type Mismatch int

// These are the kinds of mismatches. Each comment says how the leader resolves the kind.
const (
	// MatchesRecord is a running task of an open job, as the stored state expects. This leader
	// adopts the task. It is no mismatch, but is counted with them.
	MatchesRecord Mismatch = iota
	// JobNeverStored is a running task of a job that has no stored record, neither open nor terminal.
	// The task is stopped.
	JobNeverStored
	// JobTerminal is a running task of a completed or cancelled job. The task is stopped with the
	// highest urgency, CancelledWork.
	JobTerminal
	// JobQuarantined is a task of a job whose record can't be read. The task is left running, and
	// its worker retains its result.
	JobQuarantined
	// DuplicateTask is a reported attempt at a task of which this leader tracks another attempt. The
	// reported attempt is stopped.
	DuplicateTask
	// CompletionNotStored is a completed task that is not stored as completed. Its completion is
	// stored, and the worker retains the result until then.
	CompletionNotStored
	// CompletedTaskRunning is a running task that is stored as completed. The task is stopped.
	CompletedTaskRunning
	// JobNotRunning is an open job of which no worker reports a task. Its tasks are scheduled as
	// usual.
	JobNotRunning
	// MachineNotRecorded is a machine that reports but has no stored record. It is added if it
	// reports no tasks. If it reports tasks, its heartbeat is a late copy and gets no response,
	// unless some machine records can't be read.
	MachineNotRecorded
	// MachineUnresponsive is a recorded machine that sends no heartbeat. The machine is returned to
	// the cloud, or the recovery waits until its worker lease has expired.
	MachineUnresponsive
	// NewerEpoch is a machine whose worker has begun a new epoch, because the worker lease expired
	// or the worker restarted after its last heartbeat. The tasks of the earlier epoch are lost.
	NewerEpoch
	// NewerToken is a worker that reports the fencing token of a newer leader. This leader steps
	// down.
	NewerToken
	// MachineOvercommitted is a machine whose tasks use more than its capacity. None of its tasks
	// is stopped, but no task is placed on it until it has free capacity again.
	MachineOvercommitted

	mismatchKinds
)

// mismatchNames contains the names of the kinds in status responses and metrics.
var mismatchNames = [mismatchKinds]string{
	MatchesRecord:        "as_stored",
	JobNeverStored:       "job_never_stored",
	JobTerminal:          "job_is_over",
	JobQuarantined:       "job_set_aside",
	DuplicateTask:        "on_two_machines",
	CompletionNotStored:  "finished_not_stored",
	CompletedTaskRunning: "finished_runs_again",
	JobNotRunning:        "job_not_running",
	MachineNotRecorded:   "machine_not_recorded",
	MachineUnresponsive:  "machine_silent",
	NewerEpoch:           "newer_session",
	NewerToken:           "newer_token",
	MachineOvercommitted: "over_committed",
}

// String returns the name of the kind in status responses and metrics.
func (m Mismatch) String() string { return mismatchNames[m] }

// MismatchCounts contains the number of mismatches of each kind, indexed by Mismatch.
type MismatchCounts [mismatchKinds]int

// ByName returns the counts above zero, keyed by the name of the kind.
func (c *MismatchCounts) ByName() map[string]int {
	byName := map[string]int{}
	for kind, count := range c {
		if count > 0 {
			byName[Mismatch(kind).String()] = count
		}
	}
	return byName
}

// ForEach calls visit for every kind with its count, in ascending order of the kinds.
func (c *MismatchCounts) ForEach(visit func(kind Mismatch, count int)) {
	for kind, count := range c {
		visit(Mismatch(kind), count)
	}
}

// MismatchSample is one mismatch in the recovery status for operators.
type MismatchSample struct {
	Kind         string  `json:"kind"`
	Machine      string  `json:"machine,omitempty"`
	Subject      string  `json:"subject,omitempty"` // task key or job ID
	AfterSeconds float64 `json:"afterS"`            // time since the start of the recovery
}

// maxSamples is the maximum number of samples that a recovery keeps for its status.
const maxSamples = 200

// mismatchKey identifies a mismatch, so that a mismatch in many heartbeats is counted once.
type mismatchKey struct {
	kind             Mismatch
	machine, subject string
}

// NoteMismatch counts a mismatch, once for each kind, machine and subject. It counts nothing after
// the recovery is completed. It reports whether the mismatch was counted.
func (r *Recovery) NoteMismatch(now time.Duration, kind Mismatch, machine, subject string) bool {
	if r.phase == PhaseNormal {
		return false
	}
	key := mismatchKey{kind, machine, subject}
	if r.countedMismatches[key] {
		return false
	}
	r.countedMismatches[key] = true
	r.counts[kind]++
	if kind != MatchesRecord && len(r.samples) < maxSamples {
		r.samples = append(r.samples, MismatchSample{Kind: kind.String(), Machine: machine, Subject: subject,
			AfterSeconds: (now - r.startedAt).Seconds()})
	}
	return true
}

// Counts returns the mismatches counted so far.
func (r *Recovery) Counts() MismatchCounts { return r.counts }
