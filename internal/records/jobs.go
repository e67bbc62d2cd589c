package records

import (
	"bytes"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Jobs adds and removes jobs in the job table. It stores the progress of open jobs, as bitmaps of their
// finished tasks, and their terminal records.
type Jobs struct {
	*Access
	host   JobHost
	layout bitmapLayout
}

// JobHost is the part of the leader that Jobs calls.
type JobHost interface {
	JobDependencies
	Delayer
	// IsTerminal reports whether a job's terminal record is known.
	IsTerminal(jobID string) bool
	// LegacyLeaderPossible reports whether a controller of protocol level 0 (an earlier version, which
	// can't read the current bitmap layout) may become leader.
	LegacyLeaderPossible() bool
	// JobAdded is called after a job was added to the job table.
	JobAdded(job *cluster.Job)
	// TerminalRecordWritten is called when the terminal record that this leader has written for a job is
	// durable, before the job is removed from the job table.
	TerminalRecordWritten(job *cluster.Job, terminal storage.TerminalRecord)
	// JobEnded is called after a job with a durable terminal record was removed from the job table.
	// It releases or cancels the job's dependents and responds to the users who wait for its
	// cancellation. writtenHere tells whether this leader has written the terminal record.
	JobEnded(jobID string, terminal storage.TerminalRecord, writtenHere bool)
}

// JobDependencies is the part of the jobs' dependency graph, a DAG, that Jobs calls.
type JobDependencies interface {
	// CompletionPriority returns the priority with which a job's terminal record is written.
	CompletionPriority(job *cluster.Job) storage.Priority
	// RelaxDeadlines recomputes the deadlines of the jobs on which a cancelled job depended.
	RelaxDeadlines(cancelled *cluster.Job)
	// ForEachDependent visits all direct and indirect dependents of a job once.
	ForEachDependent(job *cluster.Job, visit func(dependent *cluster.Job))
}

// NewJobs returns the job records of a new leader.
func NewJobs(access *Access, host JobHost) *Jobs {
	return &Jobs{Access: access, host: host, layout: newBitmapLayout(access.state.Config)}
}

// Add adds an open job to the job table and returns the job. modRevision is the ModRevision of its
// record. Add returns the existing job if the table contains it already, and nil if the job is terminal.
func (r *Jobs) Add(record storage.JobRecord, modRevision uint64) *cluster.Job {
	id := record.Spec.ID
	if job := r.state.Jobs[id]; job != nil {
		return job
	}
	if r.host.IsTerminal(id) || r.state.EndedJobs[id] {
		return nil
	}
	now := r.clock.Now()
	acceptedAt := min(r.clock.InstantFromUnixMilli(record.AcceptedAtMillis), now)
	job := cluster.NewJob(record.Spec, acceptedAt, modRevision, now)
	r.layOutBitmap(job)
	r.state.Jobs[id] = job
	r.writer.SetModRevision(storage.JobKey(id), modRevision)
	r.host.JobAdded(job)
	return job
}

// MarkTaskDone marks a task as done and finishes the job after its last task. It does nothing if the
// task is done already.
func (r *Jobs) MarkTaskDone(job *cluster.Job, index int) {
	switch job.TaskState(index) {
	case cluster.TaskDone:
		return
	case cluster.TaskPending:
		job.PendingTasks--
	}
	part := job.SetTaskBit(index)
	job.DoneTasks++
	delete(job.FailureHistories, index)
	job.FailsEverywhere, job.FailedProbes = false, 0
	r.state.SchedulingNeeded = true
	if job.Terminal {
		return
	}
	if job.DoneTasks == job.Spec.TaskCount {
		r.Finish(job, protocol.JobDone)
		return
	}
	r.storeBitmapPart(job, part)
}

// bitmapWrite is a queued change that stores one part of a job's bitmap.
type bitmapWrite struct {
	records *Jobs
	job     *cluster.Job
	part    *cluster.BitmapPart
	written []byte // copy of the bits from which the write was built
}

// storeBitmapPart queues the write of one bitmap part, unless one is queued. The bits are copied when the
// transaction is built, so all tasks that finish before then share the write.
func (r *Jobs) storeBitmapPart(job *cluster.Job, part *cluster.BitmapPart) {
	if part.WriteQueued {
		return
	}
	part.WriteQueued = true
	write := &bitmapWrite{records: r, job: job, part: part}
	r.writer.Enqueue(storage.PriorityLow, storage.Change{BuildWrites: write.buildWrites, OnApplied: write.onApplied,
		OnAbandoned: write.onAbandoned})
}

// abandonedRetryLeases is the time, in worker leases, after which a record that the key-value store has rejected
// as invalid is written again. Until then the workers retain the results, and the users of a job that has ended
// are not told of its end.
const abandonedRetryLeases = 1

// callAfterAbandoned calls retry when a record that was rejected may be written again.
func (r *Jobs) callAfterAbandoned(retry func()) {
	r.host.CallAfter(abandonedRetryLeases*r.clock.WorkerLease(), retry)
}

// isObsolete reports whether the part need not be stored any more, because the job is terminal or its
// bitmap has a new layout.
func (w *bitmapWrite) isObsolete() bool { return w.job.Terminal || w.part.Superseded }

// buildWrites returns the write of the part. It returns none if the part is obsolete, its bits are
// stored already or its record is quarantined.
func (w *bitmapWrite) buildWrites() []storage.Write {
	w.written = append([]byte(nil), w.part.Bits...)
	if w.isObsolete() || bytes.Equal(w.written, w.part.StoredBits) || w.records.quarantine.contains(w.part.Key) {
		return nil
	}
	return []storage.Write{storage.Put(w.part.Key, storage.EncodeBitmap(w.written))}
}

// onAbandoned writes the part again after a while.
func (w *bitmapWrite) onAbandoned() {
	w.records.callAfterAbandoned(func() {
		w.part.WriteQueued = false
		if !w.isObsolete() {
			w.records.storeBitmapPart(w.job, w.part)
		}
	})
}

// onApplied records which bits are durable, and queues another write if further tasks have finished.
func (w *bitmapWrite) onApplied() {
	w.part.WriteQueued = false
	if w.isObsolete() {
		return
	}
	if w.records.quarantine.contains(w.part.Key) {
		return // nothing was written: the bits are not durable, so workers must retain the tasks' results
	}
	w.part.StoredBits = w.written
	if !bytes.Equal(w.part.StoredBits, w.part.Bits) {
		w.records.storeBitmapPart(w.job, w.part)
	}
}
