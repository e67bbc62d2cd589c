package controller

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"hitchdoor/internal/cluster"

	"hitchdoor/internal/clock"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// quarantine holds the records that a leader has quarantined because they can't be decoded or
// contradict each other. Such a record is never written or deleted. What it describes is assumed
// to exist: its job is accepted and none of its tasks is started, and its machines may be running
// any task.
type quarantine struct {
	records        map[string]*quarantinedRecord // by key
	unreadableJobs map[string]bool               // jobs with too little known to add them to the open jobs
	nextCheck      clock.Instant                 // next check whether the records have changed
}

// quarantinedRecord is one quarantined record.
type quarantinedRecord struct {
	key              string
	revision         uint64 // revision at which it was read
	reason           string
	fromNewerVersion bool // some node has written a higher protocol level than this one's
}

// newQuarantine returns an empty quarantine.
func newQuarantine() quarantine {
	return quarantine{records: map[string]*quarantinedRecord{}, unreadableJobs: map[string]bool{}}
}

// contains reports whether the record with a key is quarantined.
func (q *quarantine) contains(key string) bool { return q.records[key] != nil }

// recordsByKey returns the quarantined records, sorted by key.
func (q *quarantine) recordsByKey() []*quarantinedRecord {
	return slices.SortedFunc(maps.Values(q.records),
		func(a, b *quarantinedRecord) int { return cmp.Compare(a.key, b.key) })
}

// quarantineRecord adds a record to the quarantine and logs it once.
func (l *leader) quarantineRecord(item storage.Item, err error) {
	if l.quarantine.contains(item.Key) {
		return
	}
	l.quarantine.records[item.Key] = l.node.newQuarantinedRecord(item, err)
	l.quarantine.nextCheck = l.node.now // check soon whether its job is terminal
}

// newQuarantinedRecord logs a record that can't be used and returns its description.
func (n *Node) newQuarantinedRecord(item storage.Item, err error) *quarantinedRecord {
	record := &quarantinedRecord{key: item.Key, revision: item.ModRevision, reason: err.Error(),
		fromNewerVersion: n.protocolLevels.highestSeen > protocolLevel}
	var recordError *storage.RecordError
	if errors.As(err, &recordError) {
		record.reason = recordError.Reason
	}
	if record.fromNewerVersion {
		n.log.Info("record quarantined: a newer version may have written it", "key", item.Key, "reason", record.reason)
	} else {
		n.log.Error("record quarantined", "key", item.Key, "reason", record.reason)
	}
	return record
}

// quarantineUnreadableJob quarantines a record without which the specification of an open job is
// unknown. The job counts as accepted.
func (l *leader) quarantineUnreadableJob(id string, item storage.Item, err error) {
	l.quarantineRecord(item, err)
	l.quarantine.unreadableJobs[id] = true
	l.node.jobReader.recordAccepted(id)
}

// quarantineJob quarantines a record that belongs to an open job. The job's running tasks continue,
// and no others are started.
func (l *leader) quarantineJob(j *cluster.Job, item storage.Item, err error) {
	l.quarantineRecord(item, err)
	j.Quarantined = true
}

// quarantineMachineGroup quarantines a machine group in which not even the names can be decoded.
// Until the leases of its machines have expired, tasks of earlier leaders may run on machines that
// no readable record names.
func (l *leader) quarantineMachineGroup(item storage.Item, err error) {
	l.quarantineRecord(item, err)
	l.InventoryIncompleteUntil, l.TotalsValid = l.StartedAt+l.WorkerLeaseTimeout(), false
}

// tickQuarantine periodically checks the quarantined records. Once one has changed because an
// operator repaired or deleted it, the leader steps down and the next one loads all records.
func (l *leader) tickQuarantine() {
	records := &l.quarantine
	if l.InventoryIncompleteUntil != clock.Never && l.node.now > l.InventoryIncompleteUntil {
		l.InventoryIncompleteUntil, l.TotalsValid, l.SchedulingNeeded = clock.Never, false, true
	}
	if len(records.records) == 0 || l.node.now < records.nextCheck || l.node.election.storeUnavailable() {
		return
	}
	records.nextCheck = l.node.now + l.node.workerLease()
	for _, record := range records.recordsByKey() {
		if !l.lookupBudget.Take(l.node.now, 1) {
			return
		}
		l.recheckRecord(record)
	}
}

// recheckRecord reads a quarantined record, and steps down if it has changed. It also reads whether
// the record's job is terminal.
func (l *leader) recheckRecord(record *quarantinedRecord) {
	node := l.node
	if id := storage.JobIDOfKey(record.key); l.quarantine.unreadableJobs[id] {
		node.jobReader.readTerminalRecord(id, func(bool, *storage.TerminalRecord) {})
	}
	node.storeCall("GET", "/store/"+record.key, nil, func(result CallResult) {
		var item storage.Item
		switch {
		case node.leader != l:
		case result.Status == 404, result.Status == 200 && json.Unmarshal(result.Body, &item) == nil &&
			item.ModRevision != record.revision:
			node.stepDown("quarantined record changed: " + record.key)
		}
	})
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
	l.quarantineRecord(storage.Item{Key: storage.JobKey(id), ModRevision: j.RecordVersion}, errOpenAndTerminal)
	delete(l.Jobs, id)
	delete(l.RunnableJobs, id)
	l.dependencies.releaseDependents(id, final, false)
	for _, origin := range l.cancelWaiters[id] {
		l.node.reply(origin, 200, 0, terminalJobState(id, final))
	}
	delete(l.cancelWaiters, id)
}

var errOpenAndTerminal = errors.New("is of a job that is over")

// onUnreadableTerminalRecord quarantines a job's terminal record that can't be decoded.
func (n *Node) onUnreadableTerminalRecord(jobID string, item storage.Item, err error) {
	if n.unreadableTerminalRecords[jobID] == nil {
		n.unreadableTerminalRecords[jobID] = n.newQuarantinedRecord(item, err)
	}
}

// onTerminalRecord handles a job's terminal record that was read from the key-value store.
func (n *Node) onTerminalRecord(jobID string, record storage.TerminalRecord) {
	delete(n.unreadableTerminalRecords, jobID)
	if n.holdsLeaderLease() {
		n.leader.quarantineOpenRecord(jobID, record)
	}
}
