package coordination

import (
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// The leader's watch on jobs that other nodes accept.

// watchJobs watches the open jobs in the key-value store with a long poll, as any node may write
// a submission.
func (l *leadership) watch() {
	n := l.n
	l.watching = true
	sent, wait := n.now, n.lease()/2
	n.call(State, "GET",
		storage.FollowPath(storage.JobPrefix, l.watchRevision, wait.Milliseconds()), nil,
		4*n.lease(), func(r Result) {
			if n.lead != l {
				return
			}
			var events storage.Events
			switch {
			case r.Status == 200 && json.Unmarshal(r.Body, &events) == nil:
				l.takeEvents(events, n.now < sent+wait/2)
			case r.Status == 410:
				// The revision was compacted: list the open jobs again. Loaded jobs stay.
				l.rereadJobs()
			case r.Status == 503:
				l.watchFailures = 1 // an outage, perhaps a short one: keep the pause short
				l.watchLater()
			case l.watchFailures == 0:
				l.watchFailures = 1
				l.watchLater()
			default:
				// The second failure in a row. The events may be too large for one response, while
				// a paged listing succeeds.
				l.rereadJobs()
			}
		})
}

// maxWatchFailures limits the pause between two watches, which doubles with each failure.
const maxWatchFailures = 4

// applyJobEvents loads the jobs from the events of a watch. After a watch that returned early
// without anything new, the next one is delayed: otherwise the watch would become a busy loop.
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

// rereadJobs lists the open jobs again and then resumes watching.
func (l *leadership) rereadJobs() {
	l.watchFailures = min(l.watchFailures+1, maxWatchFailures)
	l.readAll(storage.JobPrefix, "", l.loadJobs, l.watchLater)
}

// scheduleWatch resumes watching after a pause that doubles with each consecutive failure.
func (l *leadership) watchLater() {
	at := l.n.now + l.n.lease()/100<<l.watchFailures
	l.timers = append(l.timers, timer{at, func() { l.watching = false }})
}
