package coordination

import (
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// How a leader hears of jobs that other nodes have accepted.

// watch follows the open jobs: any node may have written a submission.
func (l *leadership) watch() {
	n := l.n
	l.watching = true
	sent, wait := n.now, n.lease()/2
	n.call(State, "GET", storage.FollowPath(storage.JobPrefix, l.watchRevision, wait.Milliseconds()), nil, 4*n.lease(), func(r Result) {
		if n.lead != l {
			return
		}
		var events storage.Events
		switch {
		case r.Status == 200 && json.Unmarshal(r.Body, &events) == nil:
			l.takeEvents(events, n.now < sent+wait/2)
		case r.Status == 410:
			// Too far behind: read the open jobs again. Jobs in the table stay.
			l.rereadJobs()
		case r.Status == 503:
			l.watchFailures = 1 // an outage, as short as may be
			l.watchLater()
		case l.watchFailures == 0:
			l.watchFailures = 1
			l.watchLater()
		default:
			// Twice in a row, so it may be what has changed that can't be told, as it is too
			// much for one answer; pages may get through.
			l.rereadJobs()
		}
	})
}

// maxWatchFailures bounds the pause between two watches, which doubles with each.
const maxWatchFailures = 4

// takeEvents takes what a watch has seen. One that comes back early and brings nothing new
// is no reason to ask again at once: that would be as fast as answers come.
func (l *leadership) takeEvents(events storage.Events, early bool) {
	for _, e := range events.Log {
		if e.Set != "" {
			l.loadJobs([]storage.Item{{Key: e.Set, Value: e.Value, Version: e.Version}})
		}
	}
	if early && (len(events.Log) == 0 || events.Revision <= l.watchRevision) {
		l.watchFailures = min(l.watchFailures+1, maxWatchFailures)
		l.watchLater()
		return
	}
	l.watchRevision = max(l.watchRevision, events.Revision)
	l.watching, l.watchFailures = false, 0
}

// rereadJobs reads the open jobs again, and then goes on watching.
func (l *leadership) rereadJobs() {
	l.watchFailures = min(l.watchFailures+1, maxWatchFailures)
	l.readAll(storage.JobPrefix, "", l.loadJobs, l.watchLater)
}

// watchLater watches again after a pause that grows while nothing comes of it.
func (l *leadership) watchLater() {
	at := l.n.now + l.n.lease()/100<<l.watchFailures
	l.timers = append(l.timers, timer{at, func() { l.watching = false }})
}
