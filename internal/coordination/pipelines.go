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

// A job with dependencies takes no part in scheduling until the completion of each is durable,
// because the next leader may not know what only this leader has observed. The stored records
// alone decide: a job is cancelled once the terminal record of any job that it depends on says
// so. Nothing more has to be written, and a new leader continues from the same records.

// addDependencies registers a new job with its dependencies and updates their deadlines and
// ranks.
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
			// The cancellation of the dependency, or of one before it, may have been read by another
			// controller.
			j.ending = j.ending || (before.ending && (before.withdrawn || !before.gone))
		} else {
			// The record may follow with the next page or the watch, or the job may be terminal.
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

// releaseJob makes a job without pending dependencies available to scheduling.
func (l *leadership) unblock(j *job) {
	l.runnable[j.spec.UID] = j
	j.waiting = l.n.now
	l.dirty = true
	if l.loaded {
		l.fleet.arrived(j)
	}
}

// soonReleasedDependents returns the jobs for which this is the last pending dependency, if it
// should end within the horizon (the boot time of a machine), so that capacity and images can be
// prepared.
func (l *leadership) next(j *job, near time.Duration) []*job {
	after := l.after[j.spec.UID]
	if len(after) == 0 || j.pending > 0 {
		return nil
	}
	want := l.expected(j)
	for _, r := range j.runs {
		if l.remainingOf(r, want) > max(near, want/8) { // an overdue attempt may end at any time
			return nil
		}
	}
	return slices.DeleteFunc(slices.Clone(after), func(d *job) bool { return d.gone || d.awaits > 1 })
}

// releaseDependents processes the durable terminal record of a job: its dependents are cancelled
// or released. writtenHere reports whether this leader has written the record.
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

// cancelWithDependents cancels a job and all its dependents because a dependency is cancelled.
// That cancellation is already durable, so users are notified at once; the terminal records of
// the jobs are written with low priority.
func (l *leadership) doom(j *job) {
	var doomed []*job
	for todo := []*job{j}; len(todo) > 0; todo = todo[1:] {
		d := todo[0]
		if d.doomed {
			continue
		}
		d.doomed = true
		doomed = append(doomed, d)
		for _, o := range l.cancelWaiters[d.spec.UID] {
			l.n.reply(o, 200, 0, d.state())
		}
		delete(l.cancelWaiters, d.spec.UID)
		if !d.gone {
			l.finish(d, protocol.Withdrawn)
		}
		todo = append(todo, l.after[d.spec.UID]...)
	}
	l.relax(doomed...)
}

// forEachDependent visits all direct and indirect dependents of a job once.
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

// relaxDeadlines recomputes latestEnd and inheritedRank of the jobs on which cancelled jobs
// depended.
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

// completionPriority returns the write priority of a job's terminal record, which matters when
// writes are throttled.
func (l *leadership) importance(j *job) storage.Priority {
	switch {
	case j.doomed:
		return storage.Lazy // it follows from records already stored
	case j.withdrawn:
		return storage.Cancels
	case len(l.after[j.spec.UID]) > 0:
		return storage.Releases
	}
	return storage.Soon
}

// tightenDeadlines propagates deadlines and ranks from the given jobs to their direct and
// indirect dependencies. A job is due when the longest path from it to a deadline (the critical
// path) leaves no more time, so the slack of a pipeline is counted only once.
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

// expectedJobDuration returns the expected time from the completion of a job's last dependency to
// its own: its longest task, the image fetch, and the two heartbeats that carry the start and the
// end.
func (l *leadership) lasts(j *job, p pull) time.Duration {
	longest := math.Exp(taskSpread * math.Sqrt(2*math.Log(float64(j.spec.Tasks))))
	return time.Duration(longest*float64(l.expected(j))) + p.time(j.spec.ImageGB) + 2*l.n.report()
}

// taskDurationLogDeviation is the standard deviation of the logarithms of the run times of a
// job's tasks.
const taskSpread = 0.25

// tickDependencyLookups reads the state of dependencies that are not in the job table.
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

// lookUpDependency reads the terminal record of a dependency, or its open record if there is
// none. If neither is found, the job moved from one to the other between the reads, and a later
// lookup finds it.
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

// readDependencies reads the IDs of the jobs on which an open job depends.
func (n *Node) needsOf(open *storage.Item, then func(ok bool, ids []string)) {
	rec, err := storage.ReadJob(*open)
	if err != nil {
		// If the job may have dependencies, one may be cancelled, which cancels this job too.
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

// readEffectiveState reads a job's state from the records: an open job is cancelled if any of its
// direct or indirect dependencies is. All controllers answer by this rule, so none contradicts
// what another has told a user.
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

// anyDependencyCancelled reads whether a direct or indirect dependency of an open job, or one of
// otherIDs, is cancelled. A completed job needs no check, as all its dependencies were completed
// before.
func (n *Node) anyWithdrawn(open *storage.Item, more []string, seen map[string]bool, then func(ok, withdrawn bool)) {
	n.needsOf(open, func(ok bool, ids []string) {
		if !ok {
			then(false, false)
			return
		}
		n.oneWithdrawn(append(slices.Clone(more), ids...), seen, then)
	})
}

// anyJobCancelled reads whether any of some jobs, or of their dependencies, is cancelled.
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

// withoutKnownAcceptance returns the IDs that this node does not know to be accepted. Acceptance
// is never withdrawn, so a known one needs no further check.
func (n *Node) notKnownAccepted(ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		_, over := n.finals.byID[id]
		return over || n.accepted.byID[id] || (n.lead != nil && n.lead.jobs[id] != nil)
	})
}

// maxDirectJobReads is the number of jobs whose acceptance a node reads itself instead of asking
// the leader.
const needsRead = 4

// readAcceptance reads whether all of some jobs were accepted by any node. Only the key-value
// store counts: another node may have accepted one a moment ago.
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
