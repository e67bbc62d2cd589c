package controller

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/storage"
)

// recordAccess is what all parts that load and store records need.
type recordAccess struct {
	state      *cluster.State
	writer     *transactionWriter
	quarantine *quarantine
	clock      recordClock
}

// newRecordAccess returns the access to the records of a new leader.
func newRecordAccess(state *cluster.State, writer *transactionWriter, quarantine *quarantine, clock recordClock) *recordAccess {
	return &recordAccess{state: state, writer: writer, quarantine: quarantine, clock: clock}
}

// dropStoredKey queues the deletion of a key, with low priority, if it is stored when the write
// is formed.
func (a *recordAccess) dropStoredKey(key string) {
	a.writer.Enqueue(storage.PriorityLow, storage.Change{BuildWrites: func() []storage.Write {
		if a.writer.ModRevision(key) == 0 || a.quarantine.contains(key) {
			return nil
		}
		return []storage.Write{storage.Delete(key)}
	}})
}
