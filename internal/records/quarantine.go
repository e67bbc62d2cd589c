package records

import (
	"cmp"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"slices"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// Quarantine tracks the records that a leader can't use, because they can't be decoded or contradict
// each other. Such a record is never written or deleted. What the record describes is assumed to exist:
// a job counts as accepted, but none of its tasks is started, and a machine may be running any task.
type Quarantine struct {
	state          *cluster.State
	host           QuarantineHost
	clock          Clock
	lookupBudget   *ratelimit.TokenBucket        // limits the reads of quarantined records
	records        map[string]*QuarantinedRecord // by key
	unreadableJobs map[string]bool               // ids of open jobs that can't be added to the job table
	nextCheck      clock.Instant                 // when to check next whether the records have changed
}

// QuarantineHost is the part of the leader that Quarantine calls.
type QuarantineHost interface {
	Store
	// StoreUnavailable reports whether the key-value store is considered down.
	StoreUnavailable() bool
	// StepDown ends the leader's term.
	StepDown(reason string)
	// NewerVersionSeen reports whether any controller has stored a higher protocol level than that of
	// this version.
	NewerVersionSeen() bool
	// MarkJobAccepted records that a job is known to have been accepted.
	MarkJobAccepted(jobID string)
	// ReadTerminalRecord reads a job's terminal record, if there is one, and applies it.
	ReadTerminalRecord(jobID string)
}

// QuarantinedRecord is a stored record that can't be used, with the reason.
type QuarantinedRecord struct {
	key               string
	revision          uint64 // ModRevision with which the record was read
	reason            string
	maybeNewerVersion bool // a controller of a higher protocol level was seen and may have written the record
}

// NewQuarantine returns the empty quarantine of a new leader. lookupBudget limits its reads of records.
func NewQuarantine(state *cluster.State, host QuarantineHost, clock Clock,
	lookupBudget *ratelimit.TokenBucket) *Quarantine {
	return &Quarantine{
		state: state, host: host, clock: clock, lookupBudget: lookupBudget,
		records: map[string]*QuarantinedRecord{}, unreadableJobs: map[string]bool{},
	}
}

// errOpenAndTerminal is the reason to quarantine the open record of a job that also has a terminal
// record.
var errOpenAndTerminal = errors.New("belongs to a job that also has a terminal record")

// NewQuarantinedRecord logs a record that can't be used and returns it, with err as the reason.
func NewQuarantinedRecord(log *slog.Logger, item storage.Item, err error, newerVersionSeen bool) *QuarantinedRecord {
	record := &QuarantinedRecord{key: item.Key, revision: item.ModRevision, reason: err.Error(),
		maybeNewerVersion: newerVersionSeen}
	var recordError *storage.RecordError
	if errors.As(err, &recordError) {
		record.reason = recordError.Reason
	}
	if record.maybeNewerVersion {
		log.Info("record quarantined, a newer version may have written it", "key", item.Key, "reason", record.reason)
	} else {
		log.Error("record quarantined", "key", item.Key, "reason", record.reason)
	}
	return record
}

// Status returns the description of a quarantined record for operators.
func (r *QuarantinedRecord) Status() recovery.QuarantinedRecord {
	return recovery.QuarantinedRecord{Key: r.key, Reason: r.reason, MaybeNewerVersion: r.maybeNewerVersion}
}

// contains reports whether the record with the given key is quarantined.
func (q *Quarantine) contains(key string) bool { return q.records[key] != nil }

// IsUnreadableJob reports whether an open job can't be added to the job table, because its record or
// one of its dependency records is unreadable.
func (q *Quarantine) IsUnreadableJob(jobID string) bool { return q.unreadableJobs[jobID] }

// RecordCount returns the number of quarantined records.
func (q *Quarantine) RecordCount() int { return len(q.records) }

// RecordsByKey returns the quarantined records, sorted by key.
func (q *Quarantine) RecordsByKey() []*QuarantinedRecord {
	return slices.SortedFunc(maps.Values(q.records),
		func(a, b *QuarantinedRecord) int { return cmp.Compare(a.key, b.key) })
}

// AddRecord quarantines a record and logs it, unless it is quarantined already.
func (q *Quarantine) AddRecord(item storage.Item, err error) {
	if q.contains(item.Key) {
		return
	}
	q.records[item.Key] = NewQuarantinedRecord(q.state.Log, item, err, q.host.NewerVersionSeen())
	q.checkSoon() // the check also reads whether an unreadable job is terminal
}

// checkSoon makes the next tick check whether the quarantined records have changed.
func (q *Quarantine) checkSoon() { q.nextCheck = q.clock.Now() }

// addUnreadableJob quarantines a record without which the specification of an open job is not known.
// The job counts as accepted.
func (q *Quarantine) addUnreadableJob(id string, item storage.Item, err error) {
	q.AddRecord(item, err)
	q.unreadableJobs[id] = true
	q.host.MarkJobAccepted(id)
}

// addJob quarantines a record that belongs to a job in the job table. The job's running tasks continue,
// but no others are started.
func (q *Quarantine) addJob(job *cluster.Job, item storage.Item, err error) {
	q.AddRecord(item, err)
	job.Quarantined = true
}

// addMachineGroup quarantines a machine group of which not even the machines' names can be decoded.
// Until the worker leases of these machines have expired, tasks of earlier leaders may run on machines
// that no readable record names, so the inventory counts as incomplete.
func (q *Quarantine) addMachineGroup(item storage.Item, err error) {
	q.AddRecord(item, err)
	q.state.InventoryIncompleteUntil = q.state.StartedAt + q.state.WorkerLeaseTimeout()
	q.state.TotalsValid = false
}

// Tick ends the period in which the inventory is incomplete, and periodically checks the quarantined
// records. Once an operator has repaired or deleted one of them, the leader steps down and the next
// leader loads all records.
func (q *Quarantine) Tick() {
	q.expireIncompleteInventory()
	if len(q.records) == 0 || q.clock.Now() < q.nextCheck || q.host.StoreUnavailable() {
		return
	}
	q.nextCheck = q.clock.Now() + q.clock.WorkerLease()
	for _, record := range q.RecordsByKey() {
		if !q.lookupBudget.Take(q.clock.Now(), 1) {
			return
		}
		q.recheckRecord(record)
	}
}

// expireIncompleteInventory treats the inventory as complete once the worker leases of machines that no
// readable record names have expired.
func (q *Quarantine) expireIncompleteInventory() {
	state := q.state
	if state.InventoryIncompleteUntil == clock.Never || q.clock.Now() <= state.InventoryIncompleteUntil {
		return
	}
	state.InventoryIncompleteUntil = clock.Never
	state.TotalsValid = false
	state.SchedulingNeeded = true
}

// recheckRecord reads a quarantined record, and steps down if it has changed. If the record belongs to
// an unreadable job, recheckRecord also reads whether the job is terminal.
func (q *Quarantine) recheckRecord(record *QuarantinedRecord) {
	if id := storage.JobIDOfKey(record.key); q.IsUnreadableJob(id) {
		q.host.ReadTerminalRecord(id)
	}
	q.host.CallStore("GET", "/store/"+record.key, nil, func(response storage.Response) {
		if record.hasChanged(response) {
			q.host.StepDown("quarantined record changed: " + record.key)
		}
	})
}

// hasChanged reports whether the response to a read of the record shows that it was written again or
// deleted.
func (r *QuarantinedRecord) hasChanged(response storage.Response) bool {
	if response.Status == http.StatusNotFound {
		return true
	}
	var item storage.Item
	return response.Decode(&item) && item.ModRevision != r.revision
}
