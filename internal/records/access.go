package records

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/storage"
)

// Access holds the dependencies that Loader, Machines and Jobs share: the leader's state, the writer of
// the key-value store, the quarantine and the clock.
type Access struct {
	state      *cluster.State
	writer     *TransactionWriter
	quarantine *Quarantine
	clock      Clock
}

// NewAccess returns the shared dependencies for the term of a new leader.
func NewAccess(state *cluster.State, writer *TransactionWriter, quarantine *Quarantine, clock Clock) *Access {
	return &Access{state: state, writer: writer, quarantine: quarantine, clock: clock}
}

// dropStoredKey queues the deletion of a key, with low priority. Nothing is deleted if the key is not
// stored, or its record is quarantined, at the time when the transaction is built.
func (a *Access) dropStoredKey(key string) {
	a.writer.Enqueue(storage.PriorityLow, storage.Change{BuildWrites: func() []storage.Write {
		if a.writer.ModRevision(key) == 0 || a.quarantine.contains(key) {
			return nil
		}
		return []storage.Write{storage.Delete(key)}
	}})
}
