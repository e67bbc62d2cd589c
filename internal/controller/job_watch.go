package controller

import (
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// The leader's watch on jobs that other nodes accept.

// watchJobs watches the open jobs in the key-value store with a long poll, as any node may write
// a submission.
func (l *leader) watchJobs() {
	node := l.node
	l.watchActive = true
	sent, longPoll := node.now, node.workerLease()/2
	node.callService(TargetStore, "GET",
		storage.WatchPath(storage.JobPrefix, l.watchRevision, longPoll.Milliseconds()), nil,
		4*node.workerLease(), func(result CallResult) {
			if node.leader != l {
				return
			}
			var events storage.WatchResponse
			switch {
			case result.Status == 200 && json.Unmarshal(result.Body, &events) == nil:
				l.applyJobEvents(events, node.now < sent+longPoll/2)
			case result.Status == 410:
				// The revision was compacted: list the open jobs again. Loaded jobs stay.
				l.rereadJobs()
			case result.Status == 503:
				l.watchFailures = 1 // an outage, perhaps a short one: keep the pause short
				l.scheduleWatch()
			case l.watchFailures == 0:
				l.watchFailures = 1
				l.scheduleWatch()
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
func (l *leader) applyJobEvents(events storage.WatchResponse, early bool) {
	for _, event := range events.Events {
		if event.PutKey != "" {
			l.loadJobs([]storage.Item{{Key: event.PutKey, Value: event.Value, ModRevision: event.ModRevision}})
		}
	}
	if early && (len(events.Events) == 0 || events.Revision <= l.watchRevision) {
		l.watchFailures = min(l.watchFailures+1, maxWatchFailures)
		l.scheduleWatch()
		return
	}
	l.watchRevision = max(l.watchRevision, events.Revision)
	l.watchActive, l.watchFailures = false, 0
}

// rereadJobs lists the open jobs again and then resumes watching.
func (l *leader) rereadJobs() {
	l.watchFailures = min(l.watchFailures+1, maxWatchFailures)
	l.readPages(storage.JobPrefix, "", l.loadJobs, l.scheduleWatch)
}

// scheduleWatch resumes watching after a pause that doubles with each consecutive failure.
func (l *leader) scheduleWatch() {
	at := l.node.now + l.node.workerLease()/100<<l.watchFailures
	l.delayedCalls = append(l.delayedCalls, delayedCall{at, func() { l.watchActive = false }})
}
