package jobstore

// RecentJobsLimit bounds the jobs in each cache of immutable facts. Older ones are read from the
// key-value store again.
const RecentJobsLimit = 20_000

// RecentJobs caches a value per job id and evicts the oldest entries beyond its limit.
type RecentJobs[T any] struct {
	limit          int
	byID           map[string]T
	insertionOrder []string
}

// NewRecentJobs returns an empty cache.
func NewRecentJobs[T any](limit int) RecentJobs[T] {
	return RecentJobs[T]{limit: limit, byID: map[string]T{}}
}

// Get returns the value of a job, if it is cached.
func (c *RecentJobs[T]) Get(jobID string) (value T, ok bool) {
	value, ok = c.byID[jobID]
	return value, ok
}

// Put stores the value of a job and evicts the oldest entry if the cache is full.
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

// full reports whether the next new job evicts another.
func (c *RecentJobs[T]) full() bool { return len(c.byID) >= c.limit }
