package jobstore

import (
	"net/http"
	"strings"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// terminalJobCache caches the records of terminal jobs, which never change.
type terminalJobCache struct {
	RecentJobs[storage.TerminalRecord]

	// State of the initial load: whether it is complete, whether a request is in flight, the last
	// key that was read, and when the next request may be sent.
	loaded, loading bool
	lastKey         string
	nextReadAt      clock.Instant
}

// TerminalRecord returns the terminal record of a job, if it is cached.
func (r *Reader) TerminalRecord(jobID string) (storage.TerminalRecord, bool) {
	return r.terminalJobs.Get(jobID)
}

// CacheTerminalRecord caches the terminal record of a job that this node has read or written.
func (r *Reader) CacheTerminalRecord(jobID string, record storage.TerminalRecord) {
	r.terminalJobs.Put(jobID, record)
}

// cacheTerminalItem decodes and caches a terminal record that was read from the key-value store, and
// reports it to the host.
func (r *Reader) cacheTerminalItem(item storage.Item) {
	jobID := strings.TrimPrefix(item.Key, storage.TerminalPrefix)
	record, err := storage.ReadTerminal(item)
	if err != nil {
		r.host.TerminalRecordUnreadable(jobID, item, err)
		return
	}
	r.CacheTerminalRecord(jobID, record)
	r.host.TerminalRecordRead(jobID, record)
}

// TerminalJobsLoaded reports whether the initial load of the terminal records is complete or has filled
// the cache.
func (r *Reader) TerminalJobsLoaded() bool { return r.terminalJobs.loaded }

// LoadTerminalJobs reads the next page of terminal records until all are read or the cache is full. The
// node calls it in each step. If the records were read one by one when users poll after a restart of the
// node, thousands of reads would take longer than users may wait for an answer.
func (r *Reader) LoadTerminalJobs() {
	cache := &r.terminalJobs
	if cache.loaded || cache.loading || r.host.Now() < cache.nextReadAt || !r.host.StoreReachable() {
		return
	}
	cache.loading = true
	path := storage.ListPath(storage.TerminalPrefix, cache.lastKey, terminalPageSize)
	r.host.Get(path, func(status int, body []byte) {
		cache.loading, cache.nextReadAt = false, r.host.Now()+r.pollInterval
		var page storage.ListResponse
		if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
			return
		}
		for _, item := range page.Items {
			r.cacheTerminalItem(item)
			cache.lastKey = item.Key
		}
		cache.loaded = !page.Truncated || cache.full()
	})
}

// terminalPageSize is the number of records in one page of the initial load. It limits the memory and
// processor time that a step takes.
const terminalPageSize = 500

// TerminalState returns the state of a terminal job as users get it.
func TerminalState(jobID string, record storage.TerminalRecord) protocol.JobStatus {
	noneRunning := 0
	return protocol.JobStatus{ID: jobID, State: record.State, DoneTasks: &record.DoneTasks, RunningTasks: &noneRunning}
}
