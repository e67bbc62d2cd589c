package records

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/storage"
)

// Access is what all parts that load and store records need.
type Access struct {
	state      *cluster.State
	writer     *TransactionWriter
	quarantine *Quarantine
	clock      Clock
}

// NewAccess returns the access to the records of a new leader.
func NewAccess(state *cluster.State, writer *TransactionWriter, quarantine *Quarantine, clock Clock) *Access {
	return &Access{state: state, writer: writer, quarantine: quarantine, clock: clock}
}

// dropStoredKey queues the deletion of a key, with low priority, if it is stored when the write
// is formed.
func (a *Access) dropStoredKey(key string) {
	a.writer.Enqueue(storage.PriorityLow, storage.Change{BuildWrites: func() []storage.Write {
		if a.writer.ModRevision(key) == 0 || a.quarantine.contains(key) {
			return nil
		}
		return []storage.Write{storage.Delete(key)}
	}})
}
