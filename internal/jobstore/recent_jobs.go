package jobstore

// RecentJobsLimit is the maximum number of jobs in each cache of facts that never change. The facts of
// evicted jobs are read from the key-value store again.
const RecentJobsLimit = 20_000

// RecentJobs caches a value for each job id. Beyond its limit, it evicts the entries that were added
// first.
type RecentJobs[T any] struct {
	limit          int
	byID           map[string]T
	insertionOrder []string
}

// NewRecentJobs returns an empty cache for up to limit jobs.
func NewRecentJobs[T any](limit int) RecentJobs[T] {
	return RecentJobs[T]{limit: limit, byID: map[string]T{}}
}

// Get returns the value of a job, if it is cached.
func (c *RecentJobs[T]) Get(jobID string) (value T, ok bool) {
	value, ok = c.byID[jobID]
	return value, ok
}

// Put caches the value of a job. If the job is new and the cache is full, Put evicts the oldest entry.
func (c *RecentJobs[T]) Put(jobID string, value T) {
	if _, ok := c.byID[jobID]; !ok {
		c.insertionOrder = append(c.insertionOrder, jobID)
		if len(c.insertionOrder) > c.limit {
			delete(c.byID, c.insertionOrder[0])
			c.insertionOrder = c.insertionOrder[1:]
		}
	}
	c.byID[jobID] = value
}

// full reports whether adding another job evicts an entry.
func (c *RecentJobs[T]) full() bool { return len(c.byID) >= c.limit }
