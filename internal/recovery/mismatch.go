package recovery

import "time"

// Mismatch is a kind of difference between a worker's heartbeat and the stored state. The
// reconciliation resolves all mismatches of a kind in the same way.
type Mismatch int

// The kinds of mismatches, and how each is resolved.
const (
	// MatchesRecord: a running task of an open job. This leader adopts it.
	MatchesRecord Mismatch = iota
	// JobNeverStored: a task of a job that has no stored record, open or terminal. It is stopped.
	JobNeverStored
	// JobTerminal: a task of a terminal or cancelled job. It is stopped before anything else.
	JobTerminal
	// JobQuarantined: a task of a job whose record can't be read. It is left running and its result
	// is kept.
	JobQuarantined
	// DuplicateTask: a task of which this leader tracks another attempt. The reported one is stopped.
	DuplicateTask
	// CompletionNotStored: a completed task that is not stored as completed. Its completion is
	// stored, and the worker keeps the result until then.
	CompletionNotStored
	// CompletedTaskRunning: a running task that is stored as completed. It is stopped.
	CompletedTaskRunning
	// JobNotRunning: an open job of which no worker reports a task. Its tasks are scheduled as usual.
	JobNotRunning
	// MachineNotRecorded: a machine that no record names. It is added if it has no task. With tasks,
	// its heartbeat is a late copy and not answered, unless some machine records can't be read.
	MachineNotRecorded
	// MachineUnresponsive: a recorded machine that sends no heartbeat. It is returned, or the
	// recovery waits for the end of its lease.
	MachineUnresponsive
	// NewerEpoch: a machine whose lease expired after its last heartbeat. Its tasks are lost.
	NewerEpoch
	// NewerToken: a worker with the fencing token of a newer leader. This leader steps down.
	NewerToken
	// MachineOvercommitted: a machine whose tasks use more than its capacity. No task is stopped for
	// that, but it gets none until it has capacity again.
	MachineOvercommitted

	mismatchKinds
)

// mismatchNames are the names of the kinds in status responses and metrics.
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

// MismatchCounts holds a count for each kind of mismatch.
type MismatchCounts [mismatchKinds]int

// ByName returns the counts that are not zero, by the name of the kind.
func (c *MismatchCounts) ByName() map[string]int {
	byName := map[string]int{}
	for kind, count := range c {
		if count > 0 {
			byName[Mismatch(kind).String()] = count
		}
	}
	return byName
}

// ForEach calls visit with every kind and its count, in the order of the kinds.
func (c *MismatchCounts) ForEach(visit func(kind Mismatch, count int)) {
	for kind, count := range c {
		visit(Mismatch(kind), count)
	}
}

// MismatchSample is one mismatch, as operators see it.
type MismatchSample struct {
	Kind         string  `json:"kind"`
	Machine      string  `json:"machine,omitempty"`
	Subject      string  `json:"subject,omitempty"` // a task or a job
	AfterSeconds float64 `json:"afterS"`            // since the start of the recovery
}

// maxSamples bounds the samples that are kept.
const maxSamples = 200

// mismatchKey identifies a mismatch, so that it is counted once.
type mismatchKey struct {
	kind             Mismatch
	machine, subject string
}

// NoteMismatch counts a mismatch until the recovery is completed: each kind once per machine and
// subject, however often it is reported. It reports whether the mismatch was counted.
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

// Counts returns the number of mismatches of each kind.
func (r *Recovery) Counts() MismatchCounts { return r.counts }
