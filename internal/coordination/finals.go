package coordination

import (
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// recentSize bounds how many jobs are kept in memory of what never changes; older ones
// are read from the state service again.
const recentSize = 20_000

// recent remembers the last of what was learnt by the ids of jobs.
type recent[T any] struct {
	limit int
	byID  map[string]T
	order []string
}

func newRecent[T any](limit int) recent[T] { return recent[T]{limit: limit, byID: map[string]T{}} }

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

// finalCache remembers jobs that are over. They never change.
type finalCache struct {
	recent[storage.FinalRecord]

	// the reading after a start: whether it is complete or under way, what comes
	// next, and when
	read, busy bool
	since      string
	at         Instant
}

// tickFinals reads the jobs that are over, page by page, after a start: asked one by
// one when users poll, thousands of them would take longer than users may be left
// without any answer.
func (n *Node) tickFinals() {
	f := n.finals
	if f.read || f.busy || n.now < f.at || n.elect.stateDown() || n.elect.stateOK == never {
		return
	}
	f.busy = true
	n.stateCall("GET", storage.ListPath(storage.FinalPrefix, f.since, finalsPage), nil, func(r Result) {
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

// finalsPage bounds one page of that reading, in memory and processor time.
const finalsPage = 500

func finalState(id string, f storage.FinalRecord) protocol.JobState {
	none := 0
	return protocol.JobState{UID: id, State: f.State, Done: &f.Done, Running: &none}
}
