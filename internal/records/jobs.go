package records

import (
	"bytes"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Jobs stores the progress of the open jobs, as bitmaps of their finished tasks, and their
// ends.
type Jobs struct {
	*Access
	host   JobHost
	layout bitmapLayout
}

// JobHost is what the job records need from the leader.
type JobHost interface {
	JobDependencies
	// IsTerminal reports whether a job's terminal record is known.
	IsTerminal(jobID string) bool
	// LegacyLeaderPossible reports whether a controller of version level 0 may become leader.
	LegacyLeaderPossible() bool
	// JobAdded handles a job that was added to the job table.
	JobAdded(job *cluster.Job)
	// JobFinished handles a job whose terminal record this leader has written, before it is removed
	// from the job table.
	JobFinished(job *cluster.Job, terminal storage.TerminalRecord)
	// JobEnded handles the durable end of a job that was removed from the job table: it releases or
	// cancels the job's dependents and answers the users that wait for its cancellation. writtenHere
	// reports whether this leader has written the terminal record.
	JobEnded(jobID string, terminal storage.TerminalRecord, writtenHere bool)
}

// JobDependencies is what the job records need to know of the DAG of jobs.
type JobDependencies interface {
	// CompletionPriority returns the write priority of a job's terminal record.
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

// Add adds an open job to the job table and returns it. It returns the known job if there is
// one, and nil if the job is terminal.
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

// MarkTaskDone counts a task as finished and finishes the job after its last task.
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

// bitmapWrite is a queued write of one part of a job's bitmap.
type bitmapWrite struct {
	records *Jobs
	job     *cluster.Job
	part    *cluster.BitmapPart
	written []byte // bits when the write was built
}

// storeBitmapPart queues the write of one bitmap part. The value is taken when the write is
// formed, so tasks that finish meanwhile share the write.
func (r *Jobs) storeBitmapPart(job *cluster.Job, part *cluster.BitmapPart) {
	if part.WriteQueued {
		return
	}
	part.WriteQueued = true
	write := &bitmapWrite{records: r, job: job, part: part}
	r.writer.Enqueue(storage.PriorityLow, storage.Change{BuildWrites: write.buildWrites, OnApplied: write.onApplied})
}

// isObsolete reports whether the part need not be stored any more.
func (w *bitmapWrite) isObsolete() bool { return w.job.Terminal || w.part.Superseded }

// buildWrites returns the write of the part, or none if it is stored already or may not be written.
func (w *bitmapWrite) buildWrites() []storage.Write {
	w.written = append([]byte(nil), w.part.Bits...)
	if w.isObsolete() || bytes.Equal(w.written, w.part.StoredBits) || w.records.quarantine.contains(w.part.Key) {
		return nil
	}
	return []storage.Write{storage.Put(w.part.Key, storage.EncodeBitmap(w.written))}
}

// onApplied records the durable bits, and queues another write if tasks have finished since.
func (w *bitmapWrite) onApplied() {
	w.part.WriteQueued = false
	if w.isObsolete() {
		return
	}
	if w.records.quarantine.contains(w.part.Key) {
		return // nothing was written, so workers must retain the results
	}
	w.part.StoredBits = w.written
	if !bytes.Equal(w.part.StoredBits, w.part.Bits) {
		w.records.storeBitmapPart(w.job, w.part)
	}
}
