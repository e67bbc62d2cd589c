package coordination

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// taskState is the progress of one task of an open job. It is derived from the job's bitmap of
// finished tasks and its attempts instead of being stored: one byte per task, for hundreds of
// jobs of up to 100,000 tasks, exceeded a controller's memory.
type taskState uint8

const (
	taskPending taskState = iota // neither started nor finished
	taskActive                   // has an attempt on a machine
	taskDone                     // its bit is set in the bitmap
)

// taskState returns the progress of a task.
func (j *job) taskState(index int) taskState {
	part, at, bit := j.partOf(index)
	switch {
	case at < len(part.bits) && part.bits[at]&bit != 0:
		return taskDone
	case j.runs[index] != nil:
		return taskActive
	default:
		return taskPending
	}
}

// job is an open job in the leader's state.
type job struct {
	spec    protocol.Job
	at      Instant // when the submission was accepted
	from    Instant // start of all time limits but the deadline: acceptance, or completion of the last dependency
	version uint64  // key-value store revision of the job record
	chain

	runs    map[int]*run // by task index
	pending int          // number of tasks without an attempt
	first   int          // no task with a lower index is pending
	done    int          // number of finished tasks

	parts       []*partState            // bitmap of finished tasks
	partTasks   int                     // tasks covered by each part
	failures    map[int]*failureHistory // by task index
	imageSeen   Instant                 // scheduling pass for which imageAvailable was determined
	imageHeld   bool                    // some schedulable machine has the job's image
	failedOn    map[string]bool         // machines on which a task failed; cleared by the first success
	failedAfter time.Duration           // longest run of a task before it failed
	bad         bool                    // the job itself is at fault, not the machines
	probes      int                     // failures since failsEverywhere was set
	probeAt     Instant                 // when the next single task is tried
	reservation reservation
	moved       map[int]bool // tasks already moved to another machine once, by index

	tookSum, tookCount float64       // sum and number of logarithms of task run times
	usual              time.Duration // geometric mean of task run times

	cancel                []Origin   // requests waiting for the durable cancellation
	gone                  bool       // cancelled or done: no task starts any more
	withdrawn             bool       // terminal because of a cancellation
	ending                bool       // the terminal record may be stored, but no response confirms it
	waits                 waitReason // the check that stopped the last scheduling attempt
	waiting               Instant    // since when the job has had pending tasks
	firstStart, lastStart Instant    // of its tasks
	commanded             bool       // a start command was sent in this term
	held                  bool       // one of its records is quarantined: no task starts
}

// failureHistory records the failures of one task and its retry limits.
type failureHistory struct {
	failures int
	after    Instant // earliest time of the next attempt
	avoid    string  // machine skipped during placement,
	until    Instant // until this time; afterwards it is used if no other fits
}

// bitmapPart is one part of a job's bitmap of finished tasks.
type partState struct {
	key     string
	size    int    // of bits
	bits    []byte // nil until the first bit is set
	stored  []byte // last value known to be durable
	queued  bool   // a write is in the writer's queue
	retired bool   // replaced by another layout
}

// taskAttempt is one attempt to run a task on a machine.
type run struct {
	job     *job
	index   int
	attempt uint64 // unique across terms
	m       *machine
	phase   phase
	since   Instant  // when the attempt was placed
	started Instant  // first heartbeat that showed it running
	stop    *float64 // seconds of grace of a requested stop; nil: no stop requested
	shown   bool     // contained in the heartbeat being processed
	name    string   // see key
}

// attemptPhase is how far an attempt has come on its machine.
type phase uint8

const (
	phaseAssigned phase = iota // not included in any heartbeat response yet
	phaseSent                  // included in a response that no heartbeat has confirmed yet
	phaseFetching              // the image is being fetched
	phaseRunning
	phaseSaving // the task is saving its state
)

// key returns the task key of the attempt, computed once.
func (r *run) key() string {
	if r.name == "" {
		r.name = taskKey(r.job.spec.UID, r.index)
	}
	return r.name
}

// taskKey returns the key that identifies a task on the wire and in logs.
func taskKey(id string, index int) string { return protocol.TaskKey(id, index) }

// parseTaskKey splits a task key into job ID and task index.
func splitTask(key string) (id string, index int, ok bool) {
	for i := len(key) - 1; i > 0; i-- {
		if key[i] == '/' {
			if i+1 == len(key) {
				return "", 0, false
			}
			for _, c := range key[i+1:] {
				if c < '0' || c > '9' || index > protocol.MaxTasks {
					return "", 0, false
				}
				index = index*10 + int(c-'0')
			}
			return key[:i], index, true
		}
	}
	return "", 0, false
}

// state returns the job's state as reported to users.
func (j *job) state() protocol.JobState {
	done, running := j.done, 0
	for _, r := range j.runs {
		if r.phase == phaseRunning || r.phase == phaseSaving {
			running++
		}
	}
	s := protocol.JobState{UID: j.spec.UID, State: protocol.Queued, Done: &done, Running: &running}
	switch {
	case j.doomed:
		s.State = protocol.Withdrawn
	case running > 0:
		s.State = protocol.Running
	}
	return s
}

// slo is a service-level objective of a job class: jobs are to be complete, or to have started,
// within a time limit.
type aim struct {
	within time.Duration // since the job became eligible
	start  bool          // applies to the start instead of the completion
}

// startSLO returns the tightest start objective of the job's class, or 0 if the class is measured
// by completion or has no objective.
func (l *leadership) startAim(j *job) time.Duration {
	if aims := l.aims[j.spec.Class]; len(aims) > 0 && aims[0].start {
		return aims[0].within
	}
	return 0
}

// due returns when the job should be complete: its deadline, or the first objective of its class
// that can still be met. A start objective applies only to classes without a completion
// objective; such jobs can wait for capacity on cheap machines.
//
// A job with dependents is due no later than their deadlines allow (latestEnd).
func (l *leadership) due(j *job) Instant { return l.dueFrom(j, j.from) }

// dueFrom returns the due time of a job that becomes eligible at the given time.
func (l *leadership) dueFrom(j *job, from Instant) Instant { return min(l.ownDue(j, from), j.endBy) }

// ownDue returns the due time by the job's own deadline or objectives. Without either, latestEnd
// or a bound in proportion to the run time applies.
func (l *leadership) ownDue(j *job, from Instant) Instant {
	if j.spec.DeadlineS != nil {
		return j.at + config.Seconds(*j.spec.DeadlineS)
	}
	aims := l.aims[j.spec.Class]
	for i, a := range aims {
		end := from + a.within
		if a.start {
			end += l.expected(j)
		}
		if i == len(aims)-1 || end-l.expected(j) > l.n.now {
			return end
		}
	}
	if j.endBy < forever {
		return j.endBy
	}
	// Without an objective the wait is still bounded, in proportion to the run time.
	return from + min(4*l.expected(j)+l.n.lease(), planBegin+l.expected(j))
}

// expectedTaskDuration returns the expected run time of one task: the user's estimate, corrected
// by the finished tasks of the job's class.
func (l *leadership) expected(j *job) time.Duration {
	bias := 0.0
	if c := l.classes[j.spec.Class]; c != nil {
		bias = c.bias
	}
	return config.Seconds(max(j.spec.EstimateS*math.Exp(bias), 1))
}

// classDurations holds the estimation error observed for a job class.
type class struct {
	bias  float64 // mean of log(actual / estimated run time)
	count float64 // weight of the mean, at most maxClassSamples
}

// recordTaskDuration updates the correction of the job's class by a finished task.
func (l *leadership) learn(j *job, took time.Duration) {
	if took <= 0 || j.spec.EstimateS <= 0 {
		return
	}
	c := l.classes[j.spec.Class]
	if c == nil {
		c = &class{}
		l.classes[j.spec.Class] = c
	}
	c.count = min(c.count+1, classMemory)
	c.bias += (math.Log(took.Seconds()/j.spec.EstimateS) - c.bias) / c.count
}

// maxClassSamples is the number of finished tasks over which the correction averages.
const classMemory = 60

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

// bitmapPosition returns the position of a task's bit: the part, the byte in it and the bit mask.
func (j *job) partOf(index int) (part *partState, at int, bit byte) {
	in := index % j.partTasks
	return j.parts[index/j.partTasks], in / 8, 1 << (in % 8)
}

// setTaskBit marks a task as finished in the bitmap and returns the changed part.
func (j *job) setBit(index int) *partState {
	part, at, bit := j.partOf(index)
	if part.bits == nil {
		part.bits = make([]byte, part.size)
	}
	part.bits[at] |= bit
	return part
}

// finishDurable reports whether a finished task's bit is stored in the key-value store.
func (l *leadership) durable(j *job, index int) bool {
	p, at, bit := j.partOf(index)
	return at < len(p.stored) && p.stored[at]&bit != 0
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
			for _, o := range j.cancel {
				l.n.reply(o, 200, 0, protocol.JobState{UID: id, State: state})
			}
			j.cancel = nil
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

// onUserRequest serves a user's request as the leader.
func (l *leadership) onUser(r Request) {
	n := l.n
	if !l.loaded && r.Kind != protocol.RequestSubmit {
		if r.Kind == protocol.RequestQuery {
			n.queryDirect(r, l)
			return
		}
		n.unavailable(r.Origin)
		return
	}
	switch r.Kind {
	case protocol.RequestSubmit:
		if j := l.jobs[r.Job.UID]; j != nil {
			l.answer(r, j)
			return
		}
		n.submitDirect(r, l)
	case protocol.RequestQuery:
		if j := l.jobs[r.ID]; j != nil {
			l.answer(r, j)
			return
		}
		n.queryDirect(r, l)
	case protocol.RequestCancel:
		l.onCancel(r)
	}
}

// answerJobState replies with a job's state. Once the transaction of the terminal record has been
// sent, another controller may have read the record and notified a user although this leader has
// no response yet. The state is then read from the key-value store, as the state in memory may be
// stale.
//
// The same holds for a job with unresolved dependencies: one may be cancelled, and an earlier
// leader may have reported that.
func (l *leadership) answer(r Request, j *job) {
	if !j.doomed && (j.ending || (j.awaits > 0 && len(l.lookups) > 0)) {
		l.n.answerKnown(r, l, comeBack)
		return
	}
	l.n.reply(r.Origin, 200, 0, j.state())
}

// onCancel serves a cancellation, also of a job that is not in the job table.
func (l *leadership) onCancel(r Request) {
	n := l.n
	if j := l.jobs[r.ID]; j != nil {
		l.cancelJob(j, r.Origin)
		return
	}
	if !protocol.ValidJobID(r.ID) {
		n.reply(r.Origin, 404, 0, nil)
		return
	}
	n.readJob(r.ID, func(ok bool, open *storage.Item, final *storage.FinalRecord) {
		switch {
		case !ok || n.lead != l || !n.authority():
			n.unavailable(r.Origin)
		case final != nil:
			n.reply(r.Origin, 200, 0, protocol.JobState{UID: r.ID, State: final.State})
		case open != nil:
			if j := l.adopt(r.ID, *open); j != nil {
				l.cancelJob(j, r.Origin)
				return
			}
			n.unavailable(r.Origin)
		default:
			n.reply(r.Origin, 404, 0, nil)
		}
	})
}

// cancelJob stops a job at once and replies when the cancellation is durable. While the key-value
// store is unavailable the user is told to retry; the cancellation remains in effect.
func (l *leadership) cancelJob(j *job, o Origin) {
	if j.doomed {
		l.n.reply(o, 200, 0, j.state())
		return
	}
	if !j.gone {
		l.finish(j, protocol.Withdrawn)
	}
	if l.n.elect.stateLost() {
		l.n.unavailable(o)
		return
	}
	j.cancel = append(j.cancel, o)
	if len(j.cancel) > l.n.maxWaiting() {
		l.n.unavailable(j.cancel[0])
		j.cancel = j.cancel[1:]
	}
}
