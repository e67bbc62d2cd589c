package controller

import (
	"strings"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/storage"
)

// recordsHost gives the records of a leader what they need from the leader and its node.
type recordsHost struct{ leader *leader }

// initRecords creates the parts that store the leader's records. leaderKeyVersion is the version of
// the leader key.
func (l *leader) initRecords(leaderKeyVersion uint64) {
	l.quarantine = newQuarantine(l)
	l.writer = newTransactionWriter(l, leaderKeyVersion)
	access := &recordAccess{state: l.State, writer: l.writer, quarantine: l.quarantine, clock: recordsHost{l}}
	l.machineRecords = newMachineRecords(access)
}

// newTransactionWriter returns the writer of a leader whose key has the given version.
func newTransactionWriter(l *leader, leaderKeyVersion uint64) *transactionWriter {
	node, host := l.node, recordsHost{l}
	return &transactionWriter{
		Writer: storage.NewWriter(node.cfg.Cluster.Store.MaxTxnOps(), leaderKeyVersion),
		host:   host, clock: host, log: node.log, budget: &node.leaderWriteBudget,
	}
}

// Now returns the time of the current step.
func (h recordsHost) Now() clock.Instant { return h.leader.node.now }

// UnixMilli returns the wall clock time of an instant in Unix milliseconds.
func (h recordsHost) UnixMilli(at clock.Instant) int64 {
	return h.leader.node.startTime.Add(at).UnixMilli()
}

// InstantFromUnixMilli converts a stored wall clock time to an instant.
func (h recordsHost) InstantFromUnixMilli(milliseconds int64) clock.Instant {
	return h.leader.node.instantFromUnixMilli(milliseconds)
}

// WorkerLease returns the duration of the workers' lease.
func (h recordsHost) WorkerLease() time.Duration { return h.leader.node.workerLease() }

// CallStore sends a request to the key-value store and passes its response to onResponse, unless
// the term has ended by then.
func (h recordsHost) CallStore(method, path string, body any, onResponse func(storeResponse)) {
	node := h.leader.node
	node.storeCall(method, path, body, func(result CallResult) {
		if node.leader == h.leader {
			onResponse(storeResponse{Status: result.Status, Body: result.Body})
		}
	})
}

// CallAfter calls a function after a delay, if the term lasts until then.
func (h recordsHost) CallAfter(delay time.Duration, call func()) {
	l := h.leader
	l.delayedCalls = append(l.delayedCalls, delayedCall{l.node.now + delay, call})
}

// StepDown ends the leader's term.
func (h recordsHost) StepDown(reason string) { h.leader.node.stepDown(reason) }

// newQuarantine returns the empty quarantine of a new leader.
func newQuarantine(l *leader) *quarantine {
	host := recordsHost{l}
	return &quarantine{
		state: l.State, host: host, clock: host, lookupBudget: &l.lookupBudget,
		records: map[string]*quarantinedRecord{}, unreadableJobs: map[string]bool{},
	}
}

// StoreUnavailable reports whether the key-value store is considered down.
func (h recordsHost) StoreUnavailable() bool { return h.leader.node.election.storeUnavailable() }

// NewerVersionSeen reports whether a controller has written a higher protocol level than this
// version's.
func (h recordsHost) NewerVersionSeen() bool { return h.leader.node.newerVersionSeen() }

// newerVersionSeen reports whether a controller has written a higher protocol level than this
// version's.
func (n *Node) newerVersionSeen() bool { return n.protocolLevels.highestSeen > protocolLevel }

// MarkJobAccepted records that a job is known to have been accepted.
func (h recordsHost) MarkJobAccepted(jobID string) { h.leader.node.acceptedJobs.put(jobID, true) }

// ReadTerminalRecord reads a job's terminal record, if there is one, and applies it.
func (h recordsHost) ReadTerminalRecord(jobID string) {
	h.leader.node.readTerminalRecord(jobID, func(bool, *storage.TerminalRecord) {})
}

// onTerminalRecord handles a job's terminal record that was read from the key-value store.
func (n *Node) onTerminalRecord(item storage.Item) {
	id := strings.TrimPrefix(item.Key, storage.TerminalPrefix)
	final, err := storage.ReadTerminal(item)
	if err != nil {
		if n.unreadableTerminalRecords[id] == nil {
			n.unreadableTerminalRecords[id] = newQuarantinedRecord(n.log, item, err, n.newerVersionSeen())
		}
		return
	}
	delete(n.unreadableTerminalRecords, id)
	n.terminalJobs.put(id, final)
	if n.holdsLeaderLease() {
		n.leader.quarantineOpenRecord(id, final)
	}
}

// quarantineOpenRecord handles a job with both an open and a terminal record. The terminal record
// takes precedence, as a user may have been notified of it. The open record is quarantined.
func (l *leader) quarantineOpenRecord(id string, final storage.TerminalRecord) {
	j := l.Jobs[id]
	if j == nil || j.Terminal || j.CompletionUncertain || l.EndedJobs[id] {
		return
	}
	l.node.log.Error("job has both an open and a terminal record", "job", id)
	j.Terminal, l.SchedulingNeeded = true, true
	for _, r := range j.Attempts {
		l.RequestStop(r, 0)
	}
	l.quarantine.addRecord(storage.Item{Key: storage.JobKey(id), ModRevision: j.RecordVersion}, errOpenAndTerminal)
	delete(l.Jobs, id)
	delete(l.RunnableJobs, id)
	l.releaseDependents(id, final, false)
	for _, origin := range l.cancelWaiters[id] {
		l.node.reply(origin, 200, 0, terminalJobState(id, final))
	}
	delete(l.cancelWaiters, id)
}

// applyMachineTypes updates the machines after a change of the machine type catalog.
func (l *leader) applyMachineTypes() {
	l.Catalog = l.node.catalog
	for _, m := range l.Machines {
		if machineType := l.Catalog[m.TypeName]; machineType != nil {
			m.MachineType = machineType
		}
	}
	l.InvalidateMachineIndex()
	l.SchedulingNeeded = true
	l.storeCatalog()
}

// storeCatalog stores a confirmed catalog of machine types for the next start.
func (l *leader) storeCatalog() {
	if l.recordsLoaded && l.node.catalogConfirmed {
		l.machineRecords.storeCatalog()
	}
}
