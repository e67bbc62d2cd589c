package records

import (
	"net/http"
	"time"

	"hitchdoor/internal/storage"
)

// JobWatch watches the key-value store for new open jobs with long polls, because any node may accept
// a submission and store its job.
type JobWatch struct {
	loader   *Loader
	host     JobWatchHost
	clock    Clock
	active   bool // a long poll or a listing is in flight, or the pause before the next long poll has not ended
	failures int  // number of consecutive long polls that failed or were answered early without anything new
}

// JobWatchHost is the part of the leader that JobWatch calls.
type JobWatchHost interface {
	Delayer
	// WatchStore sends a long poll to the key-value store and passes its response to onResponse,
	// unless the term has ended by then.
	WatchStore(path string, timeout time.Duration, onResponse func(storage.Response))
}

// NewJobWatch returns the watch of a new leader. It continues at the revision up to which the loader
// has read the open jobs.
func NewJobWatch(loader *Loader, host JobWatchHost, clock Clock) *JobWatch {
	return &JobWatch{loader: loader, host: host, clock: clock}
}

// maxWatchFailures limits the number of counted failures, and thus the pause between two long polls,
// which doubles with each failure.
const maxWatchFailures = 4

// Tick sends the next long poll, unless the last one is in flight or the pause after it has not ended.
func (w *JobWatch) Tick() {
	if w.active {
		return
	}
	w.active = true
	sentAt, maxWait := w.clock.Now(), w.clock.WorkerLease()/2
	path := storage.WatchPath(storage.JobPrefix, w.loader.revision, maxWait.Milliseconds())
	w.host.WatchStore(path, 4*w.clock.WorkerLease(), func(response storage.Response) {
		answeredEarly := w.clock.Now() < sentAt+maxWait/2
		w.onResponse(response, answeredEarly)
	})
}

// onResponse handles the response to a long poll. answeredEarly means that the response arrived within
// half of the maximum wait that the poll requested.
func (w *JobWatch) onResponse(response storage.Response, answeredEarly bool) {
	var events storage.WatchResponse
	switch {
	case response.Decode(&events):
		w.applyEvents(events, answeredEarly)
	case response.Status == http.StatusGone:
		// The store has compacted the revision from which the poll was to continue, so the open jobs
		// are listed again. Jobs that are loaded already are kept.
		w.rereadJobs()
	case response.Status == http.StatusServiceUnavailable:
		w.failures = 1 // the store's outage may be short, so the pause does not grow
		w.scheduleWatch()
	case w.failures == 0:
		w.failures = 1
		w.scheduleWatch()
	default:
		// This is the second failure in a row. The events may be too large for one response,
		// whereas a paged listing succeeds.
		w.rereadJobs()
	}
}

// applyEvents loads the jobs from the events of a long poll. After a long poll that was answered early
// without anything new, the next one is delayed: otherwise the watch would become a busy loop.
func (w *JobWatch) applyEvents(events storage.WatchResponse, answeredEarly bool) {
	for _, event := range events.Events {
		if event.PutKey != "" {
			w.loader.LoadJob(storage.Item{Key: event.PutKey, Value: event.Value, ModRevision: event.ModRevision})
		}
	}
	if answeredEarly && (len(events.Events) == 0 || events.Revision <= w.loader.revision) {
		w.countFailure()
		w.scheduleWatch()
		return
	}
	w.loader.revision = max(w.loader.revision, events.Revision)
	w.active, w.failures = false, 0
}

// rereadJobs lists the open jobs again and then schedules the next long poll.
func (w *JobWatch) rereadJobs() {
	w.countFailure()
	w.loader.rereadJobs(w.scheduleWatch)
}

// countFailure counts a long poll that failed or was answered early without anything new.
func (w *JobWatch) countFailure() { w.failures = min(w.failures+1, maxWatchFailures) }

// scheduleWatch lets Tick send the next long poll after a pause that doubles with each consecutive failure.
func (w *JobWatch) scheduleWatch() {
	w.host.CallAfter(w.clock.WorkerLease()/100<<w.failures, func() { w.active = false })
}
