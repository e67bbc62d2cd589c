package coordination

import (
	"bytes"
	"maps"
	"slices"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// bitmapLayout is the number of tasks that one part of a stored bitmap covers.
type bitmapLayout struct {
	partTasks int
	widePart  int // the same at protocol level 0
}

// newBitmapLayout derives the layout from the limits of the key-value store.
func newBitmapLayout(c *config.Cluster) bitmapLayout {
	return bitmapLayout{
		partTasks: storage.PartTasks(c.State.ValueBytes()),
		widePart:  storage.PartTasks(int(c.State.ValueKB * 1024)),
	}
}

// addJob adds an open job to the job table and returns it. It returns the known job if there is
// one, and nil if the job is terminal.
func (l *leadership) addJob(rec storage.JobRecord, version uint64) *job {
	id := rec.Spec.UID
	if j := l.jobs[id]; j != nil {
		return j
	}
	if _, over := l.n.finals.byID[id]; over {
		return nil
	}
	if l.over[id] {
		return nil
	}
	at := min(l.n.instantOf(rec.AtMS), l.n.now)
	j := &job{
		spec: rec.Spec, at: at, from: at, version: version,
		runs: map[int]*run{}, pending: rec.Spec.Tasks,
		failures: map[int]*failureHistory{}, failedOn: map[string]bool{},
		waiting: l.n.now, imageSeen: never, chain: newChain(),
	}
	l.layOut(j)
	l.jobs[id] = j
	l.writer.Know(storage.JobKey(id), version)
	l.await(j)
	if l.loaded {
		l.admission.accepted(&rec.Spec)
		l.n.trace(id, stepKnown, "")
	}
	return j
}

// adoptStoredJob adds a job that was read from the key-value store to the job table.
func (l *leadership) adopt(id string, item storage.Item) *job {
	if !l.loaded {
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
func (l *leadership) layOut(j *job) {
	id := j.spec.UID
	size, key := l.partTasks, func(part int) string { return storage.BitsFromKey(id, part*l.partTasks) }
	switch {
	case j.spec.Tasks <= size:
		key = func(int) string { return storage.BitsKey(id, 0) }
	case !l.n.allUnderstand(levelPipelines):
		size, key = l.widePart, func(part int) string { return storage.BitsKey(id, part) }
	}
	j.partTasks, j.parts = size, nil
	for from := 0; from < j.spec.Tasks; from += size {
		j.parts = append(j.parts, &partState{
			key: key(len(j.parts)), size: (min(size, j.spec.Tasks-from) + 7) / 8})
	}
}

// upgradeBitmapLayouts switches jobs to the layout that level 0 cannot read. Bits are only ever
// set, so a reader that finds both layouts merges them; the old parts are deleted last.
func (l *leadership) levelRaised() {
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[id]
		if j.spec.Tasks <= l.partTasks || j.gone {
			continue
		}
		old := j.parts
		var done []int
		for index := range j.spec.Tasks {
			if j.taskState(index) == taskDone {
				done = append(done, index)
			}
		}
		l.layOut(j)
		for _, index := range done {
			j.setBit(index)
		}
		for _, p := range j.parts {
			l.storeBits(j, p)
		}
		for _, p := range old {
			p.retired = true
			l.dropKnown(p.key)
		}
	}
}

// markTaskDone counts a task as finished and finishes the job after its last task.
func (l *leadership) setDone(j *job, index int) {
	switch j.taskState(index) {
	case taskDone:
		return
	case taskPending:
		j.pending--
	}
	p := j.setBit(index)
	j.done++
	delete(j.failures, index)
	j.bad, j.probes = false, 0
	l.dirty = true
	if j.gone {
		return
	}
	if j.done == j.spec.Tasks {
		l.finish(j, protocol.Done)
		return
	}
	l.storeBits(j, p)
}

// storeBitmapPart queues the write of one bitmap part. The value is taken when the write is
// formed, so tasks that finish meanwhile share the write.
func (l *leadership) storeBits(j *job, p *partState) {
	if p.queued {
		return
	}
	p.queued = true
	var written []byte
	l.writer.Add(storage.Lazy, storage.Unit{
		Build: func() []storage.Write {
			written = append([]byte(nil), p.bits...)
			if j.gone || p.retired || bytes.Equal(written, p.stored) || l.quarantine.holds(p.key) {
				return nil
			}
			return []storage.Write{storage.Set(p.key, storage.EncodeBits(written))}
		},
		Done: func() {
			p.queued = false
			if j.gone || p.retired {
				return
			}
			if l.quarantine.holds(p.key) {
				return // nothing was written, so workers must retain the results
			}
			p.stored = written
			if !bytes.Equal(p.stored, p.bits) {
				l.storeBits(j, p)
			}
		},
	})
}

// finishJob makes a job terminal. Users are notified only after the terminal record is durable.
func (l *leadership) finish(j *job, state string) {
	j.gone, j.withdrawn = true, state == protocol.Withdrawn
	id := j.spec.UID
	final := storage.FinalRecord{State: state, Tasks: j.spec.Tasks, Done: j.done}
	for _, r := range j.runs {
		l.stopRun(r, 0)
	}
	if j.withdrawn && !j.doomed {
		l.relax(j)
	}
	l.writer.Add(l.importance(j), storage.Unit{
		Build: func() []storage.Write {
			final.AtMS = l.n.wallMS()
			return []storage.Write{storage.Drop(storage.JobKey(id)), storage.Set(storage.FinalKey(id), final)}
		},
		Taken: func() {
			j.ending = true
			if j.withdrawn {
				l.eachAfter(j, func(d *job) { d.ending = true })
			}
		},
		Done: func() {
			l.n.log.Debug("job finished", "job", id, "state", state, "class", j.spec.Class, "tasks", j.spec.Tasks,
				"after", l.n.now-j.at, "waited", j.from-j.at,
				"firstStart", j.firstStart-j.at, "lastStart", j.lastStart-j.at, "expected", l.expected(j))
			l.n.trace(id, stepOver, state+" after "+l.sinceAccepted(j))
			l.n.finals.put(id, final)
			l.over[id] = true
			delete(l.jobs, id)
			delete(l.runnable, id)
			l.ended(id, final, true)
			for _, o := range l.cancelWaiters[id] {
				l.n.reply(o, 200, 0, protocol.JobState{UID: id, State: state})
			}
			delete(l.cancelWaiters, id)
			for _, p := range j.parts {
				l.dropKnown(p.key)
			}
			for i := 0; l.writer.Version(storage.NeedsKey(id, i)) != 0; i++ {
				l.dropKnown(storage.NeedsKey(id, i))
			}
		},
	})
}

// dropStoredKey queues the deletion of a key, with low priority, if it is stored when the write
// is formed.
func (l *leadership) dropKnown(key string) {
	l.writer.Add(storage.Lazy, storage.Unit{Build: func() []storage.Write {
		if l.writer.Version(key) == 0 || l.quarantine.holds(key) {
			return nil
		}
		return []storage.Write{storage.Drop(key)}
	}})
}
