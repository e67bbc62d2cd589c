package controller

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
