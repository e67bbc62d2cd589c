package controller

import (
	"bytes"
	"maps"
	"slices"

	"hitchdoor/internal/cluster"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// bitmapLayout is the number of tasks that one part of a stored bitmap covers.
type bitmapLayout struct {
	bitmapPartTasks       int
	legacyBitmapPartTasks int // the same at protocol level 0
}

// newBitmapLayout derives the layout from the limits of the key-value store.
func newBitmapLayout(cluster *config.Cluster) bitmapLayout {
	return bitmapLayout{
		bitmapPartTasks:       storage.TasksPerBitmapPart(cluster.Store.MaxValueBytes()),
		legacyBitmapPartTasks: storage.TasksPerBitmapPart(int(cluster.Store.ValueKB * 1024)),
	}
}

// addJob adds an open job to the job table and returns it. It returns the known job if there is
// one, and nil if the job is terminal.
func (l *leader) addJob(record storage.JobRecord, version uint64) *cluster.Job {
	id := record.Spec.ID
	if j := l.Jobs[id]; j != nil {
		return j
	}
	if _, ended := l.node.terminalJobs.byID[id]; ended {
		return nil
	}
	if l.EndedJobs[id] {
		return nil
	}
	acceptedAt := min(l.node.instantFromUnixMilli(record.AcceptedAtMillis), l.node.now)
	j := &cluster.Job{
		Spec: record.Spec, AcceptedAt: acceptedAt, EligibleAt: acceptedAt, RecordVersion: version,
		Attempts: map[int]*cluster.TaskAttempt{}, PendingTasks: record.Spec.TaskCount,
		FailureHistories: map[int]*cluster.FailureHistory{}, FailedMachines: map[string]bool{},
		PendingSince: l.node.now, ImageCheckedAt: clock.Never, Dependencies: cluster.NewDependencies(),
	}
	l.layOutBitmap(j)
	l.Jobs[id] = j
	l.writer.SetModRevision(storage.JobKey(id), version)
	l.addDependencies(j)
	if l.recordsLoaded {
		l.admission.countAccepted(&record.Spec)
		l.node.traceStep(id, stepLoaded, "")
	}
	return j
}

// adoptStoredJob adds a job that was read from the key-value store to the job table.
func (l *leader) adoptStoredJob(id string, item storage.Item) *cluster.Job {
	if !l.recordsLoaded {
		return nil
	}
	if j := l.Jobs[id]; j != nil {
		return j
	}
	l.loadJobs([]storage.Item{item})
	return l.Jobs[id]
}

// layOutBitmap divides the job's bitmap into parts that fit the value size limit. Controllers of
// version level 0 use larger parts and identify them by number, so a job of several parts keeps
// that layout as long as such a controller may become leader.
func (l *leader) layOutBitmap(j *cluster.Job) {
	id := j.Spec.ID
	tasksPerPart, partKey := l.bitmapPartTasks, func(part int) string { return storage.BitmapKeyFromTask(id, part*l.bitmapPartTasks) }
	switch {
	case j.Spec.TaskCount <= tasksPerPart:
		partKey = func(int) string { return storage.BitmapKey(id, 0) }
	case !l.node.clusterSupports(protocolLevelDependencies):
		tasksPerPart, partKey = l.legacyBitmapPartTasks, func(part int) string { return storage.BitmapKey(id, part) }
	}
	j.TasksPerPart, j.BitmapParts = tasksPerPart, nil
	for firstTask := 0; firstTask < j.Spec.TaskCount; firstTask += tasksPerPart {
		j.BitmapParts = append(j.BitmapParts, &cluster.BitmapPart{
			Key: partKey(len(j.BitmapParts)), SizeBytes: (min(tasksPerPart, j.Spec.TaskCount-firstTask) + 7) / 8})
	}
}

// upgradeBitmapLayouts switches jobs to the layout that level 0 cannot read. Bits are only ever
// set, so a reader that finds both layouts merges them; the old parts are deleted last.
func (l *leader) upgradeBitmapLayouts() {
	for _, id := range slices.Sorted(maps.Keys(l.Jobs)) {
		j := l.Jobs[id]
		if j.Spec.TaskCount <= l.bitmapPartTasks || j.Terminal {
			continue
		}
		oldParts := j.BitmapParts
		var doneTasks []int
		for index := range j.Spec.TaskCount {
			if j.TaskState(index) == cluster.TaskDone {
				doneTasks = append(doneTasks, index)
			}
		}
		l.layOutBitmap(j)
		for _, index := range doneTasks {
			j.SetTaskBit(index)
		}
		for _, part := range j.BitmapParts {
			l.storeBitmapPart(j, part)
		}
		for _, part := range oldParts {
			part.Superseded = true
			l.dropStoredKey(part.Key)
		}
	}
}

// markTaskDone counts a task as finished and finishes the job after its last task.
func (l *leader) markTaskDone(j *cluster.Job, index int) {
	switch j.TaskState(index) {
	case cluster.TaskDone:
		return
	case cluster.TaskPending:
		j.PendingTasks--
	}
	part := j.SetTaskBit(index)
	j.DoneTasks++
	delete(j.FailureHistories, index)
	j.FailsEverywhere, j.FailedProbes = false, 0
	l.SchedulingNeeded = true
	if j.Terminal {
		return
	}
	if j.DoneTasks == j.Spec.TaskCount {
		l.finishJob(j, protocol.JobDone)
		return
	}
	l.storeBitmapPart(j, part)
}

// storeBitmapPart queues the write of one bitmap part. The value is taken when the write is
// formed, so tasks that finish meanwhile share the write.
func (l *leader) storeBitmapPart(j *cluster.Job, part *cluster.BitmapPart) {
	if part.WriteQueued {
		return
	}
	part.WriteQueued = true
	var written []byte
	l.writer.Enqueue(storage.PriorityLow, storage.Change{
		BuildWrites: func() []storage.Write {
			written = append([]byte(nil), part.Bits...)
			if j.Terminal || part.Superseded || bytes.Equal(written, part.StoredBits) || l.quarantine.contains(part.Key) {
				return nil
			}
			return []storage.Write{storage.Put(part.Key, storage.EncodeBitmap(written))}
		},
		OnApplied: func() {
			part.WriteQueued = false
			if j.Terminal || part.Superseded {
				return
			}
			if l.quarantine.contains(part.Key) {
				return // nothing was written, so workers must retain the results
			}
			part.StoredBits = written
			if !bytes.Equal(part.StoredBits, part.Bits) {
				l.storeBitmapPart(j, part)
			}
		},
	})
}

// finishJob makes a job terminal. Users are notified only after the terminal record is durable.
func (l *leader) finishJob(j *cluster.Job, state protocol.JobState) {
	j.Terminal, j.Cancelled = true, state == protocol.JobCancelled
	id := j.Spec.ID
	final := storage.TerminalRecord{State: state, TaskCount: j.Spec.TaskCount, DoneTasks: j.DoneTasks}
	for _, r := range j.Attempts {
		l.RequestStop(r, 0)
	}
	if j.Cancelled && !j.DependencyCancelled {
		l.relaxDeadlines(j)
	}
	l.writer.Enqueue(l.completionPriority(j), storage.Change{
		BuildWrites: func() []storage.Write {
			final.EndedAtMillis = l.node.nowUnixMilli()
			return []storage.Write{storage.Delete(storage.JobKey(id)), storage.Put(storage.TerminalKey(id), final)}
		},
		OnSent: func() {
			j.CompletionUncertain = true
			if j.Cancelled {
				l.forEachDependent(j, func(dependent *cluster.Job) { dependent.CompletionUncertain = true })
			}
		},
		OnApplied: func() {
			l.node.log.Debug("job finished", "job", id, "state", state, "class", j.Spec.Class, "tasks", j.Spec.TaskCount,
				"after", l.node.now-j.AcceptedAt, "waited", j.EligibleAt-j.AcceptedAt,
				"firstStart", j.FirstStartAt-j.AcceptedAt, "lastStart", j.LastStartAt-j.AcceptedAt, "expected", l.ExpectedTaskDuration(j))
			l.node.traceStep(id, stepTerminal, string(state)+" after "+l.jobAge(j))
			l.node.terminalJobs.put(id, final)
			l.EndedJobs[id] = true
			delete(l.Jobs, id)
			delete(l.RunnableJobs, id)
			l.releaseDependents(id, final, true)
			for _, origin := range l.cancelWaiters[id] {
				l.node.reply(origin, 200, 0, protocol.JobStatus{ID: id, State: state})
			}
			delete(l.cancelWaiters, id)
			for _, part := range j.BitmapParts {
				l.dropStoredKey(part.Key)
			}
			for i := 0; l.writer.ModRevision(storage.DependenciesKey(id, i)) != 0; i++ {
				l.dropStoredKey(storage.DependenciesKey(id, i))
			}
		},
	})
}

// dropStoredKey queues the deletion of a key, with low priority, if it is stored when the write
// is formed.
func (l *leader) dropStoredKey(key string) {
	l.writer.Enqueue(storage.PriorityLow, storage.Change{BuildWrites: func() []storage.Write {
		if l.writer.ModRevision(key) == 0 || l.quarantine.contains(key) {
			return nil
		}
		return []storage.Write{storage.Delete(key)}
	}})
}
