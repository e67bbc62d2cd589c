package controller

import (
	"bytes"
	"maps"
	"slices"

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
func (l *leader) addJob(record storage.JobRecord, version uint64) *job {
	id := record.Spec.ID
	if j := l.jobs[id]; j != nil {
		return j
	}
	if _, ended := l.node.terminalJobs.byID[id]; ended {
		return nil
	}
	if l.endedJobs[id] {
		return nil
	}
	acceptedAt := min(l.node.instantFromUnixMilli(record.AcceptedAtMillis), l.node.now)
	j := &job{
		spec: record.Spec, acceptedAt: acceptedAt, eligibleAt: acceptedAt, recordVersion: version,
		attempts: map[int]*taskAttempt{}, pendingTasks: record.Spec.TaskCount,
		failureHistories: map[int]*failureHistory{}, failedMachines: map[string]bool{},
		pendingSince: l.node.now, imageCheckedAt: clock.Never, dependencies: newDependencies(),
	}
	l.layOutBitmap(j)
	l.jobs[id] = j
	l.writer.SetModRevision(storage.JobKey(id), version)
	l.addDependencies(j)
	if l.recordsLoaded {
		l.admission.countAccepted(&record.Spec)
		l.node.traceStep(id, stepLoaded, "")
	}
	return j
}

// adoptStoredJob adds a job that was read from the key-value store to the job table.
func (l *leader) adoptStoredJob(id string, item storage.Item) *job {
	if !l.recordsLoaded {
		return nil
	}
	if j := l.jobs[id]; j != nil {
		return j
	}
	l.loadJobs([]storage.Item{item})
	return l.jobs[id]
}

// layOutBitmap divides the job's bitmap into parts that fit the value size limit. Controllers of
// version level 0 use larger parts and identify them by number, so a job of several parts keeps
// that layout as long as such a controller may become leader.
func (l *leader) layOutBitmap(j *job) {
	id := j.spec.ID
	tasksPerPart, partKey := l.bitmapPartTasks, func(part int) string { return storage.BitmapKeyFromTask(id, part*l.bitmapPartTasks) }
	switch {
	case j.spec.TaskCount <= tasksPerPart:
		partKey = func(int) string { return storage.BitmapKey(id, 0) }
	case !l.node.clusterSupports(protocolLevelDependencies):
		tasksPerPart, partKey = l.legacyBitmapPartTasks, func(part int) string { return storage.BitmapKey(id, part) }
	}
	j.tasksPerPart, j.bitmapParts = tasksPerPart, nil
	for firstTask := 0; firstTask < j.spec.TaskCount; firstTask += tasksPerPart {
		j.bitmapParts = append(j.bitmapParts, &bitmapPart{
			key: partKey(len(j.bitmapParts)), sizeBytes: (min(tasksPerPart, j.spec.TaskCount-firstTask) + 7) / 8})
	}
}

// upgradeBitmapLayouts switches jobs to the layout that level 0 cannot read. Bits are only ever
// set, so a reader that finds both layouts merges them; the old parts are deleted last.
func (l *leader) upgradeBitmapLayouts() {
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[id]
		if j.spec.TaskCount <= l.bitmapPartTasks || j.terminal {
			continue
		}
		oldParts := j.bitmapParts
		var doneTasks []int
		for index := range j.spec.TaskCount {
			if j.taskState(index) == taskDone {
				doneTasks = append(doneTasks, index)
			}
		}
		l.layOutBitmap(j)
		for _, index := range doneTasks {
			j.setTaskBit(index)
		}
		for _, part := range j.bitmapParts {
			l.storeBitmapPart(j, part)
		}
		for _, part := range oldParts {
			part.superseded = true
			l.dropStoredKey(part.key)
		}
	}
}

// markTaskDone counts a task as finished and finishes the job after its last task.
func (l *leader) markTaskDone(j *job, index int) {
	switch j.taskState(index) {
	case taskDone:
		return
	case taskPending:
		j.pendingTasks--
	}
	part := j.setTaskBit(index)
	j.doneTasks++
	delete(j.failureHistories, index)
	j.failsEverywhere, j.failedProbes = false, 0
	l.schedulingNeeded = true
	if j.terminal {
		return
	}
	if j.doneTasks == j.spec.TaskCount {
		l.finishJob(j, protocol.JobDone)
		return
	}
	l.storeBitmapPart(j, part)
}

// storeBitmapPart queues the write of one bitmap part. The value is taken when the write is
// formed, so tasks that finish meanwhile share the write.
func (l *leader) storeBitmapPart(j *job, part *bitmapPart) {
	if part.writeQueued {
		return
	}
	part.writeQueued = true
	var written []byte
	l.writer.Enqueue(storage.PriorityLow, storage.Change{
		BuildWrites: func() []storage.Write {
			written = append([]byte(nil), part.bits...)
			if j.terminal || part.superseded || bytes.Equal(written, part.storedBits) || l.quarantine.contains(part.key) {
				return nil
			}
			return []storage.Write{storage.Put(part.key, storage.EncodeBitmap(written))}
		},
		OnApplied: func() {
			part.writeQueued = false
			if j.terminal || part.superseded {
				return
			}
			if l.quarantine.contains(part.key) {
				return // nothing was written, so workers must retain the results
			}
			part.storedBits = written
			if !bytes.Equal(part.storedBits, part.bits) {
				l.storeBitmapPart(j, part)
			}
		},
	})
}

// finishJob makes a job terminal. Users are notified only after the terminal record is durable.
func (l *leader) finishJob(j *job, state string) {
	j.terminal, j.cancelled = true, state == protocol.JobCancelled
	id := j.spec.ID
	final := storage.TerminalRecord{State: state, TaskCount: j.spec.TaskCount, DoneTasks: j.doneTasks}
	for _, r := range j.attempts {
		l.requestStop(r, 0)
	}
	if j.cancelled && !j.dependencyCancelled {
		l.relaxDeadlines(j)
	}
	l.writer.Enqueue(l.completionPriority(j), storage.Change{
		BuildWrites: func() []storage.Write {
			final.EndedAtMillis = l.node.nowUnixMilli()
			return []storage.Write{storage.Delete(storage.JobKey(id)), storage.Put(storage.TerminalKey(id), final)}
		},
		OnSent: func() {
			j.completionUncertain = true
			if j.cancelled {
				l.forEachDependent(j, func(dependent *job) { dependent.completionUncertain = true })
			}
		},
		OnApplied: func() {
			l.node.log.Debug("job finished", "job", id, "state", state, "class", j.spec.Class, "tasks", j.spec.TaskCount,
				"after", l.node.now-j.acceptedAt, "waited", j.eligibleAt-j.acceptedAt,
				"firstStart", j.firstStartAt-j.acceptedAt, "lastStart", j.lastStartAt-j.acceptedAt, "expected", l.expectedTaskDuration(j))
			l.node.traceStep(id, stepTerminal, state+" after "+l.jobAge(j))
			l.node.terminalJobs.put(id, final)
			l.endedJobs[id] = true
			delete(l.jobs, id)
			delete(l.runnableJobs, id)
			l.releaseDependents(id, final, true)
			for _, origin := range l.cancelWaiters[id] {
				l.node.reply(origin, 200, 0, protocol.JobStatus{ID: id, State: state})
			}
			delete(l.cancelWaiters, id)
			for _, part := range j.bitmapParts {
				l.dropStoredKey(part.key)
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
