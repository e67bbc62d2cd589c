package controller

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

// get returns the value of a job, if it is cached.
func (c *recentJobs[T]) get(jobID string) (value T, ok bool) {
	value, ok = c.byID[jobID]
	return value, ok
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

// full reports whether the next new job evicts another.
func (c *recentJobs[T]) full() bool { return len(c.byID) >= c.limit }
