package recovery

import "time"

// Mismatch is a way in which what a worker reports and what is stored differ. Each has one
// treatment.
type Mismatch int

// The kinds of mismatches, with what is done about each.
const (
	// AsStored: a running task of an open job. It goes on under this leader.
	AsStored Mismatch = iota
	// JobNeverStored: a task of a job that the stored state never saw. It is stopped.
	JobNeverStored
	// JobIsOver: a task of a job that is over or cancelled. It is stopped, before anything else.
	JobIsOver
	// JobSetAside: a task of a job whose record can't be read. It goes on, its result is kept.
	JobSetAside
	// OnTwoMachines: a task that runs elsewhere under this leader. This copy is stopped.
	OnTwoMachines
	// FinishedNotStored: a finished task that is not stored as finished. It is stored, and its
	// worker keeps the result until then.
	FinishedNotStored
	// FinishedRunsAgain: a task that is stored as finished and runs. It is stopped.
	FinishedRunsAgain
	// JobNotRunning: an open job that no worker holds a task of. Its tasks start as they are due.
	JobNotRunning
	// MachineNotRecorded: a machine that no record names. It is taken in if it holds no task; with
	// tasks its report is a late copy, and not answered, unless records of machines can't be read.
	MachineNotRecorded
	// MachineSilent: a recorded machine that does not report. It is returned, or its lease awaited.
	MachineSilent
	// NewerSession: a machine whose lease has run out since it was heard. What it ran is lost.
	NewerSession
	// NewerToken: a worker that has seen a newer leader. This leader steps down.
	NewerToken
	// OverCommitted: a machine that holds more than it has room for. Nothing is stopped for it, and
	// it gets no task until it has room.
	OverCommitted

	mismatchKinds
)

var mismatchNames = [mismatchKinds]string{
	AsStored: "as_stored", JobNeverStored: "job_never_stored", JobIsOver: "job_is_over", JobSetAside: "job_set_aside",
	OnTwoMachines: "on_two_machines", FinishedNotStored: "finished_not_stored", FinishedRunsAgain: "finished_runs_again",
	JobNotRunning: "job_not_running", MachineNotRecorded: "machine_not_recorded", MachineSilent: "machine_silent",
	NewerSession: "newer_session", NewerToken: "newer_token", OverCommitted: "over_committed",
}

// String names the kind as status pages and metrics do.
func (m Mismatch) String() string { return mismatchNames[m] }

// Counts holds a number for each kind of mismatch.
type Counts [mismatchKinds]int

// ByName lists the counts that are not zero.
func (c *Counts) ByName() map[string]int {
	byName := map[string]int{}
	for kind, count := range c {
		if count > 0 {
			byName[Mismatch(kind).String()] = count
		}
	}
	return byName
}

// Each calls f with every kind and its count, in the order of the kinds.
func (c *Counts) Each(f func(kind Mismatch, count int)) {
	for kind, count := range c {
		f(Mismatch(kind), count)
	}
}

// Sample is one mismatch, as operators see it.
type Sample struct {
	Kind    string  `json:"kind"`
	Machine string  `json:"machine,omitempty"`
	Subject string  `json:"subject,omitempty"` // a task or a job
	AfterS  float64 `json:"afterS"`            // since the leader began
}

// maxSamples bounds the samples that are kept.
const maxSamples = 200

type noteKey struct {
	kind             Mismatch
	machine, subject string
}

// Note counts a mismatch while the recovery lasts: each machine and task once, however often it
// is reported. It tells whether this is the first time.
func (r *Recovery) Note(now time.Duration, kind Mismatch, machine, subject string) bool {
	if r.phase == Normal {
		return false
	}
	key := noteKey{kind, machine, subject}
	if r.noted[key] {
		return false
	}
	r.noted[key] = true
	r.counts[kind]++
	if kind != AsStored && len(r.samples) < maxSamples {
		r.samples = append(r.samples, Sample{Kind: kind.String(), Machine: machine, Subject: subject, AfterS: (now - r.began).Seconds()})
	}
	return true
}

// Counts is how many mismatches of each kind were noted.
func (r *Recovery) Counts() Counts { return r.counts }
