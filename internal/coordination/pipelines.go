package coordination

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// A job that needs others waits, and takes no part in anything, until the end of each
// is durable: what this leader alone has seen, the next one may not know. Only the
// records decide, so nothing more has to be written: whoever reads them knows that a job
// is cancelled once the end of any job before it says so, and a leader that takes over
// goes on from there.

// chain is how a job stands to those that it needs and those that need it.
type chain struct {
	awaits  int     // jobs that it needs whose end is not durable, or not known here
	doomed  bool    // one of them is cancelled, durably
	fresh   bool    // one of them has ended in this term: no earlier leader can have started it
	endBy   Instant // when it must be done for those after it to be in time
	urgency int     // the best rank of those after it
}

// forever is an instant after any other.
const forever Instant = math.MaxInt64

func newChain() chain { return chain{endBy: forever, urgency: math.MaxInt} }

// rank is the job's priority, or a better one of a job that needs it.
func (j *job) rank() int { return min(j.spec.Rank(), j.urgency) }

// await lets a new job wait for those that it needs, and those before it hear of it.
func (l *leadership) await(j *job) {
	doomed := false
	for _, id := range j.spec.Needs {
		if f, over := l.n.finals.byID[id]; over {
			doomed = doomed || f.State == protocol.Withdrawn
			j.from = max(j.from, min(l.n.instantOf(f.AtMS), l.n.now))
			continue
		}
		j.awaits++
		l.after[id] = append(l.after[id], j)
		if before := l.jobs[id]; before != nil {
			doomed = doomed || before.doomed
			// Its cancellation, or that of one before it, may have been read elsewhere.
			j.ending = j.ending || (before.ending && (before.withdrawn || !before.gone))
		} else {
			// It may come with the next page, or by the watch, or be long over.
			l.lookups[id] = l.n.now
		}
	}
	delete(l.lookups, j.spec.UID)
	l.hasten(l.after[j.spec.UID]...)
	switch {
	case doomed:
		l.doom(j)
	case j.awaits == 0:
		l.unblock(j)
	default:
		l.hasten(j)
	}
}

// unblock makes a job that needs no others any more one of those that are served.
func (l *leadership) unblock(j *job) {
	l.runnable[j.spec.UID] = j
	j.waiting = l.n.now
	l.dirty = true
	if l.loaded {
		l.fleet.arrived(j)
	}
}

// next are the jobs that wait for a job alone, once its end is as near as a machine takes
// to come up: what they need is made ready meanwhile.
func (l *leadership) next(j *job, near time.Duration) []*job {
	after := l.after[j.spec.UID]
	if len(after) == 0 || j.pending > 0 {
		return nil
	}
	want := l.expected(j)
	for _, r := range j.runs {
		if l.remainingOf(r, want) > max(near, want/8) { // an overdue one may end at any time
			return nil
		}
	}
	return slices.DeleteFunc(slices.Clone(after), func(d *job) bool { return d.gone || d.awaits > 1 })
}

// ended tells those that wait for a job that its end is durable; ours tells whether this
// leader has written it.
func (l *leadership) ended(id string, final storage.FinalRecord, ours bool) {
	waiting := l.after[id]
	delete(l.after, id)
	delete(l.lookups, id)
	for _, d := range waiting {
		switch {
		case d.gone:
		case final.State == protocol.Withdrawn:
			l.doom(d)
		default:
			d.from = max(d.from, min(l.n.instantOf(final.AtMS), l.n.now))
			d.fresh = d.fresh || ours
			if d.awaits--; d.awaits == 0 {
				l.unblock(d)
			}
		}
	}
}

// doom ends a job, and all that need it, because one before them is cancelled. That is
// durable already, so their users may be told at once; their own ends are written as
// there is time, however many they are.
func (l *leadership) doom(j *job) {
	var doomed []*job
	for todo := []*job{j}; len(todo) > 0; todo = todo[1:] {
		d := todo[0]
		if d.doomed {
			continue
		}
		d.doomed = true
		doomed = append(doomed, d)
		for _, o := range d.cancel {
			l.n.reply(o, 200, 0, d.state())
		}
		d.cancel = nil
		if !d.gone {
			l.finish(d, protocol.Withdrawn)
		}
		todo = append(todo, l.after[d.spec.UID]...)
	}
	l.relax(doomed...)
}

// eachAfter does something with all jobs that need a job, directly or through others.
func (l *leadership) eachAfter(j *job, f func(*job)) {
	seen := map[*job]bool{}
	for todo := slices.Clone(l.after[j.spec.UID]); len(todo) > 0; todo = todo[1:] {
		if d := todo[0]; !seen[d] {
			seen[d] = true
			f(d)
			todo = append(todo, l.after[d.spec.UID]...)
		}
	}
}

// relax works out anew what jobs that are cancelled have asked of those before them.
func (l *leadership) relax(jobs ...*job) {
	var before, after []*job
	for todo := slices.Clone(jobs); len(todo) > 0; todo = todo[1:] {
		for _, id := range todo[0].spec.Needs {
			if b := l.jobs[id]; b != nil && !b.gone && (b.endBy != forever || b.urgency != math.MaxInt) {
				b.endBy, b.urgency = forever, math.MaxInt
				before, todo = append(before, b), append(todo, b)
			}
		}
	}
	for _, b := range before {
		after = append(after, l.after[b.spec.UID]...)
	}
	l.hasten(after...)
}

// importance is that of a job's end, where not all that waits can be written.
func (l *leadership) importance(j *job) storage.Priority {
	switch {
	case j.doomed:
		return storage.Lazy // it follows from what is written
	case j.withdrawn:
		return storage.Cancels
	case len(l.after[j.spec.UID]) > 0:
		return storage.Releases
	}
	return storage.Soon
}

// hasten works out, for all jobs before some jobs, until when they must be done for these
// to be in time, and how urgent that makes them. The slack of a pipeline is thus spent
// once: a job is due when the longest way from it to an end leaves no more time.
func (l *leadership) hasten(jobs ...*job) {
	if len(jobs) == 0 {
		return
	}
	pull := l.pull()
	for todo := slices.Clone(jobs); len(todo) > 0; todo = todo[1:] {
		d := todo[0]
		if d.gone {
			continue
		}
		end := d.endBy
		if d.spec.DeadlineS != nil {
			end = min(end, l.ownDue(d, d.from))
		}
		if end < forever {
			end -= l.lasts(d, pull)
		}
		for _, id := range d.spec.Needs {
			b := l.jobs[id]
			if b == nil || b.gone || (end >= b.endBy && d.rank() >= b.urgency) {
				continue
			}
			b.endBy, b.urgency = min(b.endBy, end), min(b.urgency, d.rank())
			l.dirty = true
			todo = append(todo, b)
		}
	}
}

// lasts is how long a job takes from the end of the last that it needs to its own: its
// longest task, the fetch of its image, and the reports that carry the start and the end.
func (l *leadership) lasts(j *job, p pull) time.Duration {
	longest := math.Exp(taskSpread * math.Sqrt(2*math.Log(float64(j.spec.Tasks))))
	return time.Duration(longest*float64(l.expected(j))) + p.time(j.spec.ImageGB) + 2*l.n.report()
}

// taskSpread is by how much the run times of a job's tasks differ, as the standard
// deviation of their logarithms.
const taskSpread = 0.25

// tickLookups reads what became of needed jobs that are not open here.
func (l *leadership) tickLookups() {
	for _, id := range slices.Sorted(maps.Keys(l.lookups)) {
		switch at := l.lookups[id]; {
		case l.jobs[id] != nil || l.after[id] == nil:
			delete(l.lookups, id)
		case l.n.now >= at && !l.n.elect.stateLost() && l.lookupBudget.take(l.n.now, 1):
			l.lookups[id] = l.n.now + l.n.lease()/probesPerLease
			l.lookUp(id)
		}
	}
}

// lookUp reads the end of a needed job, and the open record where there is none. One
// that has neither was moved from one to the other in between.
func (l *leadership) lookUp(id string) {
	n := l.n
	n.readFinal(id, func(ok bool, final *storage.FinalRecord) {
		switch {
		case n.lead != l:
		case final != nil:
			l.ended(id, *final, false)
		case ok:
			n.stateCall("GET", "/store/"+storage.JobKey(id), nil, func(r Result) {
				var item storage.Item
				if n.lead == l && r.Status == 200 && json.Unmarshal(r.Body, &item) == nil {
					l.adopt(id, item)
				}
			})
		}
	})
}

// needsOf reads which jobs an open one needs.
func (n *Node) needsOf(open *storage.Item, then func(ok bool, ids []string)) {
	rec, err := storage.ReadJob(*open)
	if err != nil {
		// Where it may need others, one of them may be cancelled, and this one be called so.
		then(!storage.MayNeedOthers(*open), nil)
		return
	}
	if rec.TakeNeeds(nil) {
		then(true, rec.Spec.Needs)
		return
	}
	n.stateCall("GET", storage.ListPath(storage.NeedsPrefix+rec.Spec.UID+"/", "", rec.More), nil, func(r Result) {
		var page storage.Page
		ok := r.Status == 200 && json.Unmarshal(r.Body, &page) == nil && rec.TakeNeeds(page.Items)
		then(ok, rec.Spec.Needs)
	})
}

// readTruth reads what the records say of a job: an open one is cancelled if some job
// before it is. Each node answers by this, so that none takes back what another has
// told.
func (n *Node) readTruth(id string, then func(ok bool, open *storage.Item, final *storage.FinalRecord)) {
	n.readJob(id, func(ok bool, open *storage.Item, final *storage.FinalRecord) {
		if open == nil {
			then(ok, open, final)
			return
		}
		n.anyWithdrawn(open, nil, map[string]bool{}, func(ok, withdrawn bool) {
			switch {
			case !ok:
				then(false, nil, nil)
			case withdrawn:
				then(true, nil, &storage.FinalRecord{State: protocol.Withdrawn})
			default:
				then(true, open, nil)
			}
		})
	})
}

// anyWithdrawn tells whether a job that an open one needs, directly or through others, or
// one of some more jobs, is cancelled. What is done had all its needs done.
func (n *Node) anyWithdrawn(open *storage.Item, more []string, seen map[string]bool, then func(ok, withdrawn bool)) {
	n.needsOf(open, func(ok bool, ids []string) {
		if !ok {
			then(false, false)
			return
		}
		n.oneWithdrawn(append(slices.Clone(more), ids...), seen, then)
	})
}

// oneWithdrawn is the same of some jobs.
func (n *Node) oneWithdrawn(ids []string, seen map[string]bool, then func(ok, withdrawn bool)) {
	for i, id := range ids {
		if seen[id] {
			continue
		}
		seen[id] = true
		n.readJob(id, func(ok bool, open *storage.Item, final *storage.FinalRecord) {
			switch {
			case !ok:
				then(false, false)
			case final != nil && final.State == protocol.Withdrawn:
				then(true, true)
			case open != nil:
				n.anyWithdrawn(open, ids[i+1:], seen, then)
			default:
				n.oneWithdrawn(ids[i+1:], seen, then)
			}
		})
		return
	}
	then(true, false)
}

// notKnownAccepted are those of some jobs of which this node does not know that they were
// accepted. What was accepted once has been for ever.
func (n *Node) notKnownAccepted(ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		_, over := n.finals.byID[id]
		return over || n.accepted.byID[id] || (n.lead != nil && n.lead.jobs[id] != nil)
	})
}

// needsRead is how many jobs a node reads at once, rather than ask the leader, to learn
// whether they were accepted.
const needsRead = 4

// wereAccepted reads whether all of some jobs were accepted, by any node. Only what the
// state service says counts: another node may have taken one a moment ago.
func (n *Node) wereAccepted(ids []string, then func(ok, all bool)) {
	left, readable, all := len(ids), true, true
	if left == 0 {
		then(true, true)
		return
	}
	for _, id := range ids {
		n.readJob(id, func(ok bool, open *storage.Item, final *storage.FinalRecord) {
			readable = readable && ok
			all = all && (open != nil || final != nil)
			if left--; left == 0 {
				then(readable, all)
			}
		})
	}
}
