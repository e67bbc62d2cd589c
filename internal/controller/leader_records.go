package controller

import (
	"strings"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// loadState is the progress of a leader that loads the stored records, and what depends on it.
type loadState struct {
	recordsLoaded     bool                     // all records have been loaded
	dependencyLookups map[string]clock.Instant // dependencies that are not open here: when to read their outcome
	lookupBudget      ratelimit.TokenBucket    // limits reads of dependencies and of quarantined records
	earlyHeartbeats   []Request                // workers' heartbeats received while loading
}

// newLoadState returns the state at the start of a term, with nothing loaded.
func newLoadState(node *Node) loadState {
	readRate := node.cfg.Cluster.Store.RequestsPerS * dependencyLookupShare
	return loadState{
		dependencyLookups: map[string]clock.Instant{}, lookupBudget: ratelimit.NewTokenBucket(readRate, readRate),
	}
}

// loadRecords reads all records. Scheduling starts only after all of them are loaded.
func (l *leader) loadRecords() {
	l.loader.readListings([]recordListing{
		{storage.VersionPrefix, l.node.applyProtocolLevels},
		{storage.DependenciesPrefix, l.loader.loadDependencies}, // before the jobs: later ones are read with their job
		{storage.JobPrefix, l.loader.loadJobs},
		{storage.BitmapPrefix, l.loader.loadBitmaps},
		{storage.MachineGroupPrefix, l.loader.loadMachineGroups},
		{storage.SingleMachinePrefix, l.loader.loadSingleMachines},
		{storage.RentalPrefix, l.loadRentals},
		{storage.ArrivalForecastKey, l.autoscaler.loadForecast},
		{storage.CatalogKey, l.writer.noteRevisions},
		{storage.AdmissionPolicyKey, l.admission.loadStoredPolicy},
	}, l.finishLoading)
}

// loadRentals adds the rentals that an earlier leader had stored but not completed.
func (l *leader) loadRentals(items []storage.Item) {
	for _, item := range items {
		rental, err := storage.ReadRental(item)
		if err != nil {
			l.quarantine.addRecord(item, err)
			continue
		}
		l.writer.SetModRevision(item.Key, item.ModRevision)
		l.autoscaler.pendingRentals = append(l.autoscaler.pendingRentals, &pendingRental{RentalRequest: rental, finishDurable: true})
	}
}

// recordsHost gives the records of a leader what they need from the leader and its node.
type recordsHost struct{ leader *leader }

// initRecords creates the parts that store the leader's records. leaderKeyVersion is the version of
// the leader key.
func (l *leader) initRecords(leaderKeyVersion uint64) {
	l.quarantine = newQuarantine(l)
	l.writer = newTransactionWriter(l, leaderKeyVersion)
	access := &recordAccess{state: l.State, writer: l.writer, quarantine: l.quarantine, clock: recordsHost{l}}
	l.machineRecords = newMachineRecords(access)
	l.jobRecords = newJobRecords(access, recordsHost{l})
	l.loader = newLoader(recordsHost{l}, l.machineRecords, l.jobRecords)
	l.jobWatch = &jobWatch{loader: l.loader, host: recordsHost{l}, clock: recordsHost{l}}
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

// WatchStore sends a long poll to the key-value store and passes its response to onResponse, unless
// the term has ended by then. It does not count for the availability of the store.
func (h recordsHost) WatchStore(path string, timeout time.Duration, onResponse func(storeResponse)) {
	node := h.leader.node
	node.callService(TargetStore, "GET", path, nil, timeout, func(result CallResult) {
		if node.leader == h.leader {
			onResponse(storeResponse{Status: result.Status, Body: result.Body})
		}
	})
}

// RecordsLoaded reports whether all records were read that were stored at the start of the term.
func (h recordsHost) RecordsLoaded() bool { return h.leader.recordsLoaded }

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
		n.leader.jobRecords.quarantineOpenRecord(id, final)
	}
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

// adoptStoredJob adds a job that was read from the key-value store to the job table.
func (l *leader) adoptStoredJob(id string, item storage.Item) *cluster.Job {
	if !l.recordsLoaded {
		return nil
	}
	if j := l.Jobs[id]; j != nil {
		return j
	}
	l.loader.loadJob(item)
	return l.Jobs[id]
}

// IsTerminal reports whether a job's terminal record is known.
func (h recordsHost) IsTerminal(jobID string) bool {
	_, ended := h.leader.node.terminalJobs.byID[jobID]
	return ended
}

// LegacyLeaderPossible reports whether a controller of version level 0 may become leader.
func (h recordsHost) LegacyLeaderPossible() bool {
	return !h.leader.node.clusterSupports(protocolLevelDependencies)
}

// JobAdded handles a job that was added to the job table.
func (h recordsHost) JobAdded(j *cluster.Job) {
	l := h.leader
	l.addDependencies(j)
	if l.recordsLoaded {
		l.admission.countAccepted(&j.Spec)
		l.node.traceStep(j.Spec.ID, stepLoaded, "")
	}
}

// CompletionPriority returns the write priority of a job's terminal record.
func (h recordsHost) CompletionPriority(j *cluster.Job) storage.Priority {
	return h.leader.completionPriority(j)
}

// RelaxDeadlines recomputes the deadlines of the jobs on which a cancelled job depended.
func (h recordsHost) RelaxDeadlines(cancelled *cluster.Job) { h.leader.relaxDeadlines(cancelled) }

// ForEachDependent visits all direct and indirect dependents of a job once.
func (h recordsHost) ForEachDependent(j *cluster.Job, visit func(dependent *cluster.Job)) {
	h.leader.forEachDependent(j, visit)
}

// JobFinished traces the end of a job and remembers its terminal record.
func (h recordsHost) JobFinished(j *cluster.Job, terminal storage.TerminalRecord) {
	l := h.leader
	l.node.traceStep(j.Spec.ID, stepTerminal, terminal.State+" after "+l.jobAge(j))
	l.node.terminalJobs.put(j.Spec.ID, terminal)
}

// JobEnded releases or cancels the dependents of an ended job and answers the users that wait for
// its cancellation.
func (h recordsHost) JobEnded(jobID string, terminal storage.TerminalRecord, writtenHere bool) {
	l := h.leader
	l.releaseDependents(jobID, terminal, writtenHere)
	status := protocol.JobStatus{ID: jobID, State: terminal.State}
	if !writtenHere {
		status = terminalJobState(jobID, terminal)
	}
	for _, origin := range l.cancelWaiters[jobID] {
		l.node.reply(origin, 200, 0, status)
	}
	delete(l.cancelWaiters, jobID)
}
