package controller

import (
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// recentJobsLimit bounds the jobs in each cache of immutable facts. Older ones are read from the
// key-value store again.
const recentJobsLimit = 20_000

// recentJobs caches a value per job id and evicts the oldest entries beyond its limit.
type recentJobs[T any] struct {
	limit          int
	byID           map[string]T
	insertionOrder []string
}

// newRecentJobs returns an empty cache.
func newRecentJobs[T any](limit int) recentJobs[T] {
	return recentJobs[T]{limit: limit, byID: map[string]T{}}
}

// put stores the value of a job and evicts the oldest entry if the cache is full.
func (c *recentJobs[T]) put(jobID string, value T) {
	if _, ok := c.byID[jobID]; !ok {
		c.insertionOrder = append(c.insertionOrder, jobID)
		if len(c.insertionOrder) > c.limit {
			delete(c.byID, c.insertionOrder[0])
			c.insertionOrder = c.insertionOrder[1:]
		}
	}
	c.byID[jobID] = value
}

// terminalJobCache caches the records of terminal jobs, which never change.
type terminalJobCache struct {
	recentJobs[storage.TerminalRecord]

	// State of the initial load: whether it is complete, whether a request is under way, the last
	// key that was read, and when the next request is due.
	loaded, loading bool
	lastKey         string
	nextReadAt      clock.Instant
}

// loadTerminalJobs loads the terminal records page by page after a start. If they were read one by
// one as users poll, thousands of reads would take longer than users may be left without an answer.
func (n *Node) loadTerminalJobs() {
	cache := n.terminalJobs
	if cache.loaded || cache.loading || n.now < cache.nextReadAt ||
		!n.election.storeReachable() {
		return
	}
	cache.loading = true
	n.storeCall("GET", storage.ListPath(storage.TerminalPrefix, cache.lastKey, terminalPageSize), nil,
		func(result CallResult) {
			cache.loading, cache.nextReadAt = false, n.now+n.workerLease()/pollsPerLease
			var page storage.ListResponse
			if result.Status != 200 || json.Unmarshal(result.Body, &page) != nil {
				return
			}
			for _, item := range page.Items {
				n.onTerminalRecord(item)
				cache.lastKey = item.Key
			}
			cache.loaded = !page.Truncated || len(cache.byID) >= cache.limit
		})
}

// terminalPageSize is the number of records in one page of the initial load. It bounds the memory
// and processor time of a step.
const terminalPageSize = 500

// terminalJobState is the state of a terminal job as users see it.
func terminalJobState(jobID string, record storage.TerminalRecord) protocol.JobStatus {
	noneRunning := 0
	return protocol.JobStatus{ID: jobID, State: record.State, DoneTasks: &record.DoneTasks, RunningTasks: &noneRunning}
}
