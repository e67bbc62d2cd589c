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

// taskState is how far a task of an open job is. It is not kept, but follows from the job's
// bitmap of finished tasks and its runs: a byte for each task, of jobs of up to 100,000 that
// come by the hundred, was more than a controller's memory.
type taskState uint8

const (
	taskPending taskState = iota
	taskActive            // commanded to a machine, or found there
	taskDone
)

// taskState tells how far a task is.
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

// job is an open job as its leader knows it.
type job struct {
	spec    protocol.Job
	at      Instant // accepted
	from    Instant // when all times but the deadline begin: accepted, or the last job needed done
	version uint64  // revision of the record
	chain

	runs    map[int]*run
	pending int
	first   int // no task below it is pending
	done    int

	parts       []*partState // bitmap parts
	partTasks   int          // that each covers
	failures    map[int]*failureHistory
	imageSeen   Instant         // the pass for which it was looked whether
	imageHeld   bool            // some machine that is ready has the job's image
	failedOn    map[string]bool // machines on which a task failed, none having completed
	failedAfter time.Duration   // the longest that a task ran before it failed
	bad         bool            // it fails on every machine
	probes      int             // failures since it was taken for bad
	probeAt     Instant         // when one of its tasks is tried again
	reservation reservation
	moved       map[int]bool // tasks that were moved off a slow machine

	tookSum, tookCount float64 // logarithms of its finished tasks' run times
	usual              time.Duration

	cancel                []Origin   // who waits for the cancellation
	gone                  bool       // cancelled or done: nothing starts any more
	withdrawn             bool       // and that is why
	ending                bool       // its end may be written already, though no answer says so
	waits                 waitReason // which check stopped it last
	waiting               Instant    // since when it has had pending tasks
	firstStart, lastStart Instant    // of its tasks, for the log
	commanded             bool       // some task was given to a machine in this term
	held                  bool       // a record of it was set aside: no task is started
}

// failureHistory is that of a task that failed.
type failureHistory struct {
	failures int
	after    Instant
	avoid    string  // the machine that is passed over,
	until    Instant // for a while: where no other is to be had it must do
}

// partState is one part of the bitmap of finished tasks.
type partState struct {
	key     string
	size    int    // of the bits, in bytes
	bits    []byte // nil until one is set
	stored  []byte // what is durable
	queued  bool
	retired bool // another layout has replaced it
}

// run is one attempt of a task on a machine.
type run struct {
	job     *job
	index   int
	attempt uint64
	m       *machine
	phase   phase
	since   Instant // assigned
	started Instant // first seen running
	stop    *float64
	shown   bool   // by the report that is being read
	name    string // see key
}

type phase uint8

const (
	phaseAssigned phase = iota // not in any answer yet
	phaseSent                  // in an answer whose effect isn't known yet
	phaseFetching
	phaseRunning
	phaseSaving
)

func (r *run) key() string {
	if r.name == "" {
		r.name = taskKey(r.job.spec.UID, r.index)
	}
	return r.name
}

func taskKey(id string, index int) string { return protocol.TaskKey(id, index) }

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

// aim is what is expected of a class of jobs: to be complete, or else to have
// started, within a time.
type aim struct {
	within time.Duration
	start  bool
}

// startAim is the first aim on starting of the job's class, where it is due by such
// aims; otherwise 0.
func (l *leadership) startAim(j *job) time.Duration {
	if aims := l.aims[j.spec.Class]; len(aims) > 0 && aims[0].start {
		return aims[0].within
	}
	return 0
}

// due is when the job should be complete: its deadline, or the first aim of its
// class that can still be met. An aim on starting counts for a class that has
// none on finishing; such work can wait for room on cheap machines.
//
// A job that others need is due no later than they leave it time for.
func (l *leadership) due(j *job) Instant { return l.dueFrom(j, j.from) }

// dueFrom is the same of a job whose times begin at some moment.
func (l *leadership) dueFrom(j *job, from Instant) Instant { return min(l.ownDue(j, from), j.endBy) }

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
	// Nothing is said of such work: it is not to wait out of all proportion.
	return from + min(4*l.expected(j)+l.n.lease(), planBegin+l.expected(j))
}

// expected is how long one of the job's tasks should run: the owner's estimate,
// corrected by what finished tasks of the class have shown.
func (l *leadership) expected(j *job) time.Duration {
	bias := 0.0
	if c := l.classes[j.spec.Class]; c != nil {
		bias = c.bias
	}
	return config.Seconds(max(j.spec.EstimateS*math.Exp(bias), 1))
}

// class is what finished tasks have shown of a class of jobs.
type class struct {
	bias  float64 // mean log of real over estimated run time
	count float64
}

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

// classMemory is how many finished tasks a class's correction spans.
const classMemory = 60

// addJob takes an open job into the table; it may be there already.
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

// adopt takes a job that was found in the state service into the table.
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

// layOut divides the job's bitmap into parts that fit the value limit. Level 0 reads and
// writes larger ones, and takes what it finds for those by their numbers, so as long as
// nodes of it may lead, a job of many parts keeps its layout.
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

// levelRaised lays out anew what level 0 could not have read. Bits are only ever set,
// so a reader that finds both layouts takes all it finds; the old one is dropped last.
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

// partOf finds a task's bit: its part, and the byte and the bit in it.
func (j *job) partOf(index int) (part *partState, at int, bit byte) {
	in := index % j.partTasks
	return j.parts[index/j.partTasks], in / 8, 1 << (in % 8)
}

// setBit notes in the bitmap that a task is finished.
func (j *job) setBit(index int) *partState {
	part, at, bit := j.partOf(index)
	if part.bits == nil {
		part.bits = make([]byte, part.size)
	}
	part.bits[at] |= bit
	return part
}

// durable tells whether a finished task's bit is in the state service.
func (l *leadership) durable(j *job, index int) bool {
	p, at, bit := j.partOf(index)
	return at < len(p.stored) && p.stored[at]&bit != 0
}

// setDone counts a task as finished.
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

// storeBits queues the write of one part of the bitmap. The part is taken as it
// is when its turn comes, so tasks that finish meanwhile share the write.
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
				return // nothing was written, so the workers keep the results
			}
			p.stored = written
			if !bytes.Equal(p.stored, p.bits) {
				l.storeBits(j, p)
			}
		},
	})
}

// finish moves a job from the open ones to those that are over. Users are told
// only after the write.
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
			l.n.log.Debug("job over", "job", id, "state", state, "class", j.spec.Class, "tasks", j.spec.Tasks,
				"after", l.n.now-j.at, "waited", j.from-j.at, "firstStart", j.firstStart-j.at, "lastStart", j.lastStart-j.at, "expected", l.expected(j))
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

// dropKnown removes a key when there is time, if it is there by then.
func (l *leadership) dropKnown(key string) {
	l.writer.Add(storage.Lazy, storage.Unit{Build: func() []storage.Write {
		if l.writer.Version(key) == 0 || l.quarantine.holds(key) {
			return nil
		}
		return []storage.Write{storage.Drop(key)}
	}})
}

// onUser serves a user's request as the leader.
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

// answer tells a user how a job is. Once its end is on the way to the state service,
// another node may have read it there and told a user, though no answer has come
// here; so it is read, rather than told from a picture that may be older.
//
// The same holds for a job whose needs are not all known: one of them may be cancelled,
// and a predecessor may have told so.
func (l *leadership) answer(r Request, j *job) {
	if !j.doomed && (j.ending || (j.awaits > 0 && len(l.lookups) > 0)) {
		l.n.answerKnown(r, l, comeBack)
		return
	}
	l.n.reply(r.Origin, 200, 0, j.state())
}

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

// cancelJob stops a job at once and answers when its end is durable. While the
// state service is down the user is told to come back; the stop stands.
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
