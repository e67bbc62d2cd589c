package coordination

import (
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Handling of users' requests about jobs by the leader.

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
	waiters := append(l.cancelWaiters[j.spec.UID], o)
	if len(waiters) > l.n.maxWaiting() {
		l.n.unavailable(waiters[0])
		waiters = waiters[1:]
	}
	l.cancelWaiters[j.spec.UID] = waiters
}
