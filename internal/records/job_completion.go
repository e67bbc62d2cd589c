package records

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// jobCompletion is the queued change that replaces a job's open record with its terminal record.
type jobCompletion struct {
	records  *Jobs
	job      *cluster.Job
	terminal storage.TerminalRecord
}

// Finish makes a job terminal, stops its attempts and queues its terminal record. Users are notified
// only after that record is durable.
func (r *Jobs) Finish(job *cluster.Job, state protocol.JobState) {
	job.Terminal, job.Cancelled = true, state == protocol.JobCancelled
	terminal := storage.TerminalRecord{State: state, TaskCount: job.Spec.TaskCount, DoneTasks: job.DoneTasks}
	r.stopAttempts(job)
	if job.DoneTasks == 0 {
		r.state.ExcuseMachines(job)
	}
	if job.Cancelled && !job.DependencyCancelled {
		r.host.RelaxDeadlines(job)
	}
	completion := &jobCompletion{records: r, job: job, terminal: terminal}
	completion.enqueue()
}

// enqueue queues the change. If the key-value store rejects it, it is queued again after a while.
func (c *jobCompletion) enqueue() {
	c.records.writer.Enqueue(c.records.host.CompletionPriority(c.job), storage.Change{
		BuildWrites: c.buildWrites,
		OnSent:      c.onSent,
		OnApplied:   c.onApplied,
		OnAbandoned: func() { c.records.callAfterAbandoned(c.enqueue) },
	})
}

// buildWrites returns the deletion of the open record and the write of the terminal record. The job
// counts as ended at the current time.
func (c *jobCompletion) buildWrites() []storage.Write {
	id := c.job.Spec.ID
	c.terminal.EndedAtMillis = c.records.clock.UnixMilli(c.records.clock.Now())
	return []storage.Write{storage.Delete(storage.JobKey(id)), storage.Put(storage.TerminalKey(id), c.terminal)}
}

// onSent marks the completion of the job as uncertain: from now on, another controller may read the
// terminal record. If the job is cancelled, its dependents are cancelled too and are marked likewise.
func (c *jobCompletion) onSent() {
	c.job.CompletionUncertain = true
	if c.job.Cancelled {
		c.records.host.ForEachDependent(c.job, func(dependent *cluster.Job) { dependent.CompletionUncertain = true })
	}
}

// onApplied removes the job from the job table, now that its terminal record is durable, notifies the
// host and queues the deletion of the job's other records.
func (c *jobCompletion) onApplied() {
	r, id := c.records, c.job.Spec.ID
	c.log()
	r.host.TerminalRecordWritten(c.job, c.terminal)
	r.state.EndedJobs[id] = true
	r.removeOpenJob(id)
	r.host.JobEnded(id, c.terminal, true)
	c.dropOtherRecords()
}

// log writes a debug line with the times of the finished job, counted from its acceptance.
func (c *jobCompletion) log() {
	job, state := c.job, c.records.state
	state.Log.Debug("job finished", "job", job.Spec.ID, "state", c.terminal.State,
		"class", job.Spec.Class, "tasks", job.Spec.TaskCount,
		"after", c.records.clock.Now()-job.AcceptedAt, "waited", job.EligibleAt-job.AcceptedAt,
		"firstStart", job.FirstStartAt-job.AcceptedAt, "lastStart", job.LastStartAt-job.AcceptedAt,
		"expected", state.ExpectedTaskDuration(job))
}

// dropOtherRecords queues the deletion of the job's bitmap and of its dependency records.
func (c *jobCompletion) dropOtherRecords() {
	r, id := c.records, c.job.Spec.ID
	for _, part := range c.job.BitmapParts {
		r.dropStoredKey(part.Key)
	}
	for i := 0; r.writer.ModRevision(storage.DependenciesKey(id, i)) != 0; i++ {
		r.dropStoredKey(storage.DependenciesKey(id, i))
	}
}

// QuarantineOpenRecord handles an open job for which a terminal record was read, although this leader
// has not finished the job. The terminal record takes precedence, as a user may have been notified of
// the end of the job. The job is removed from the job table, and its open record is quarantined.
func (r *Jobs) QuarantineOpenRecord(id string, terminal storage.TerminalRecord) {
	job := r.state.Jobs[id]
	if job == nil || job.Terminal || job.CompletionUncertain || r.state.EndedJobs[id] {
		return
	}
	r.state.Log.Error("job has both an open and a terminal record", "job", id)
	job.Terminal, r.state.SchedulingNeeded = true, true
	r.stopAttempts(job)
	r.quarantine.AddRecord(storage.Item{Key: storage.JobKey(id), ModRevision: job.RecordRevision}, errOpenAndTerminal)
	r.removeOpenJob(id)
	r.host.JobEnded(id, terminal, false)
}

// stopAttempts requests that all attempts of a terminal job stop without a grace period.
func (r *Jobs) stopAttempts(job *cluster.Job) {
	for _, attempt := range job.Attempts {
		r.state.RequestStop(attempt, 0)
	}
}

// removeOpenJob removes a job from the job table and from the runnable jobs.
func (r *Jobs) removeOpenJob(id string) {
	delete(r.state.Jobs, id)
	delete(r.state.RunnableJobs, id)
}
