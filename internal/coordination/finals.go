package coordination

import (
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// recentJobsLimit bounds the jobs in each cache of immutable facts. Older ones are read from the
// key-value store again.
const recentSize = 20_000

// recentJobs caches a value per job id and evicts the oldest entries beyond its limit.
type recent[T any] struct {
	limit int
	byID  map[string]T
	order []string
}

// newRecentJobs returns an empty cache.
func newRecent[T any](limit int) recent[T] { return recent[T]{limit: limit, byID: map[string]T{}} }

// put stores the value of a job and evicts the oldest entry if the cache is full.
func (c *recent[T]) put(id string, value T) {
	if _, ok := c.byID[id]; !ok {
		c.order = append(c.order, id)
		if len(c.order) > c.limit {
			delete(c.byID, c.order[0])
			c.order = c.order[1:]
		}
	}
	c.byID[id] = value
}

// terminalJobCache caches the records of terminal jobs, which never change.
type finalCache struct {
	recent[storage.FinalRecord]

	// State of the initial load: whether it is complete, whether a request is under way, the last
	// key that was read, and when the next request is due.
	read, busy bool
	since      string
	at         Instant
}

// loadTerminalJobs loads the terminal records page by page after a start. If they were read one by
// one as users poll, thousands of reads would take longer than users may be left without an answer.
func (n *Node) tickFinals() {
	f := n.finals
	if f.read || f.busy || n.now < f.at ||
		n.elect.stateDown() || n.elect.stateOK == never {
		return
	}
	f.busy = true
	n.stateCall("GET", storage.ListPath(storage.FinalPrefix, f.since, finalsPage), nil,
		func(r Result) {
			f.busy, f.at = false, n.now+n.lease()/probesPerLease
			var page storage.Page
			if r.Status != 200 || json.Unmarshal(r.Body, &page) != nil {
				return
			}
			for _, it := range page.Items {
				n.finalFound(it)
				f.since = it.Key
			}
			f.read = !page.Truncated || len(f.byID) >= f.limit
		})
}

// terminalPageSize is the number of records in one page of the initial load. It bounds the memory
// and processor time of a step.
const finalsPage = 500

// terminalJobState is the state of a terminal job as users see it.
func finalState(id string, f storage.FinalRecord) protocol.JobState {
	none := 0
	return protocol.JobState{UID: id, State: f.State, Done: &f.Done, Running: &none}
}
