// Package jobstore reads the records of jobs from the key-value store, within a rate budget, and caches
// what never changes: the records of terminal jobs and which jobs were accepted. It does no I/O: the
// host sends its requests.
package jobstore

import (
	"net/http"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/json"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/storage"
)

// ReadError is the error of a read that did not find out what is stored.
type ReadError struct{ Reason rejection.Reason }

// Error returns the reason as text.
func (e *ReadError) Error() string { return "read of a stored job: " + string(e.Reason) }

// Reader reads the records of jobs from the key-value store, on behalf of users and of the leader. It
// caches what never changes: the records of terminal jobs, and which jobs were accepted.
type Reader struct {
	host         Host
	readBudget   ratelimit.TokenBucket // limits the reads on behalf of users
	pollInterval time.Duration         // pause between two pages of the initial load
	terminalJobs terminalJobCache
	acceptedJobs RecentJobs[bool] // ids of jobs known to have been accepted
}

// Host is what a Reader needs from its node, which is one controller of the cluster.
type Host interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// Get sends a GET request to the key-value store. Status 0 means that no usable response
	// arrived.
	Get(path string, onResponse func(status int, body []byte))
	// StoreUnavailable reports whether the key-value store is considered down, so that requests that
	// need it are rejected at once.
	StoreUnavailable() bool
	// StoreReachable reports whether the last call to the key-value store succeeded.
	StoreReachable() bool
	// HasOpenJob reports whether this node is the leader and has the job among its open jobs.
	HasOpenJob(jobID string) bool
	// TerminalRecordRead is called with a job's terminal record that was read from the key-value store.
	TerminalRecordRead(jobID string, record storage.TerminalRecord)
	// TerminalRecordUnreadable is called with a terminal record that can't be decoded or is invalid, and
	// the reason.
	TerminalRecordUnreadable(jobID string, item storage.Item, err error)
}

// Callback receives the stored record of a job: its open record or its terminal record, or neither if
// the job is unknown. err is a *ReadError if the record could not be read, and nil otherwise.
type Callback func(openItem *storage.Item, terminal *storage.TerminalRecord, err error)

// NewReader returns a reader with empty caches. It makes at most readsPerSecond reads on behalf
// of users.
func NewReader(host Host, readsPerSecond float64, pollInterval time.Duration) *Reader {
	return &Reader{
		host:         host,
		readBudget:   ratelimit.NewTokenBucket(readsPerSecond, readsPerSecond),
		pollInterval: pollInterval,
		terminalJobs: terminalJobCache{RecentJobs: NewRecentJobs[storage.TerminalRecord](RecentJobsLimit)},
		acceptedJobs: NewRecentJobs[bool](RecentJobsLimit),
	}
}

// HasSpareReads reports whether at least half of the budget for reads on behalf of users is left.
func (r *Reader) HasSpareReads() bool {
	r.readBudget.Refill(r.host.Now())
	return r.readBudget.Tokens >= r.readBudget.Burst/2
}

// ReadItem reads the record with the given key. The callback gets the HTTP status, and nil unless the
// response contains the record.
func (r *Reader) ReadItem(key string, onRead func(status int, item *storage.Item)) {
	r.host.Get("/store/"+key, func(status int, body []byte) {
		var item storage.Item
		if status != http.StatusOK || json.Unmarshal(body, &item) != nil {
			onRead(status, nil)
			return
		}
		onRead(status, &item)
	})
}

// ReadJob reads a job's open or terminal record. It reads the open record first: a job changes from open
// to terminal and never back, so a job can't be missed between the two reads.
func (r *Reader) ReadJob(jobID string, onRead Callback) {
	if record, ok := r.TerminalRecord(jobID); ok {
		onRead(nil, &record, nil)
		return
	}
	if r.host.StoreUnavailable() {
		onRead(nil, nil, &ReadError{rejection.StoreUnavailable})
		return
	}
	if !r.readBudget.Take(r.host.Now(), 2) {
		onRead(nil, nil, &ReadError{rejection.ReadBudget})
		return
	}
	r.ReadItem(storage.JobKey(jobID), func(status int, item *storage.Item) {
		switch {
		case item != nil:
			r.RecordAccepted(jobID)
			onRead(item, nil, nil)
		case status == http.StatusNotFound:
			r.ReadTerminalRecord(jobID, func(terminal *storage.TerminalRecord, err error) {
				onRead(nil, terminal, err)
			})
		default:
			onRead(nil, nil, &ReadError{rejection.StoreFailed})
		}
	})
}

// ReadTerminalRecord reads and caches a job's terminal record. The callback gets nil if there is none,
// or, with a *ReadError, if it could not be read.
func (r *Reader) ReadTerminalRecord(jobID string, onRead func(terminal *storage.TerminalRecord, err error)) {
	r.ReadItem(storage.TerminalKey(jobID), func(status int, item *storage.Item) {
		if item != nil {
			r.cacheTerminalItem(*item)
		}
		terminal, known := r.TerminalRecord(jobID)
		switch {
		case known:
			onRead(&terminal, nil)
		case status == http.StatusNotFound:
			onRead(nil, nil)
		case item != nil:
			onRead(nil, &ReadError{rejection.UnreadableRecord})
		default:
			onRead(nil, &ReadError{rejection.StoreFailed})
		}
	})
}
