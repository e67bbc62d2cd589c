package coordination

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// quarantine holds the records that a leader has quarantined because they can't be decoded or
// contradict each other. Such a record is never written or deleted. What it describes is assumed
// to exist: its job is accepted and none of its tasks is started, and its machines may be running
// any task.
type quarantine struct {
	records map[string]*damagedRecord // by key
	jobs    map[string]bool           // jobs with too little known to add them to the open jobs
	checkAt Instant                   // next check whether the records have changed
}

// quarantinedRecord is one quarantined record.
type damagedRecord struct {
	key     string
	version uint64 // revision at which it was read
	reason  string
	newer   bool // some node has written a higher protocol level than this one's
}

// newQuarantine returns an empty quarantine.
func newQuarantine() quarantine {
	return quarantine{records: map[string]*damagedRecord{}, jobs: map[string]bool{}}
}

// contains reports whether the record with a key is quarantined.
func (q *quarantine) holds(key string) bool { return q.records[key] != nil }

// recordsByKey returns the quarantined records, sorted by key.
func (q *quarantine) list() []*damagedRecord {
	return slices.SortedFunc(maps.Values(q.records),
		func(a, b *damagedRecord) int { return cmp.Compare(a.key, b.key) })
}

// quarantineRecord adds a record to the quarantine and logs it once.
func (l *leadership) setAside(it storage.Item, err error) {
	if l.quarantine.holds(it.Key) {
		return
	}
	l.quarantine.records[it.Key] = l.n.damaged(it, err)
	l.quarantine.checkAt = l.n.now // check soon whether its job is terminal
}

// newQuarantinedRecord logs a record that can't be used and returns its description.
func (n *Node) damaged(it storage.Item, err error) *damagedRecord {
	record := &damagedRecord{key: it.Key, version: it.Version, reason: err.Error(),
		newer: n.versions.highest > level}
	var of *storage.RecordError
	if errors.As(err, &of) {
		record.reason = of.Reason
	}
	if record.newer {
		n.log.Info("record quarantined: a newer version may have written it", "key", it.Key, "reason", record.reason)
	} else {
		n.log.Error("record quarantined", "key", it.Key, "reason", record.reason)
	}
	return record
}

// quarantineUnreadableJob quarantines a record without which the specification of an open job is
// unknown. The job counts as accepted.
func (l *leadership) holdUnreadJob(id string, it storage.Item, err error) {
	l.setAside(it, err)
	l.quarantine.jobs[id] = true
	l.n.accepted.put(id, true)
}

// quarantineJob quarantines a record that belongs to an open job. The job's running tasks continue,
// and no others are started.
func (l *leadership) holdJob(j *job, it storage.Item, err error) {
	l.setAside(it, err)
	j.held = true
}

// quarantineMachineGroup quarantines a machine group in which not even the names can be decoded.
// Until the leases of its machines have expired, tasks of earlier leaders may run on machines that
// no readable record names.
func (l *leadership) holdGroup(it storage.Item, err error) {
	l.setAside(it, err)
	l.unnamedUntil, l.totalsValid = l.since+l.leaseOver(), false
}

// tickQuarantine periodically checks the quarantined records. Once one has changed because an
// operator repaired or deleted it, the leader steps down and the next one loads all records.
func (l *leadership) tickQuarantine() {
	q := &l.quarantine
	if l.unnamedUntil != never && l.n.now > l.unnamedUntil {
		l.unnamedUntil, l.totalsValid, l.dirty = never, false, true
	}
	if len(q.records) == 0 || l.n.now < q.checkAt || l.n.elect.stateLost() {
		return
	}
	q.checkAt = l.n.now + l.n.lease()
	for _, record := range q.list() {
		if !l.lookupBudget.take(l.n.now, 1) {
			return
		}
		l.checkRecord(record)
	}
}

// recheckRecord reads a quarantined record, and steps down if it has changed. It also reads whether
// the record's job is terminal.
func (l *leadership) checkRecord(record *damagedRecord) {
	n := l.n
	if id := storage.JobOf(record.key); l.quarantine.jobs[id] {
		n.readFinal(id, func(bool, *storage.FinalRecord) {})
	}
	n.stateCall("GET", "/store/"+record.key, nil, func(r Result) {
		var item storage.Item
		switch {
		case n.lead != l:
		case r.Status == 404, r.Status == 200 && json.Unmarshal(r.Body, &item) == nil &&
			item.Version != record.version:
			n.stepDown("quarantined record changed: " + record.key)
		}
	})
}

// quarantineOpenRecord handles a job with both an open and a terminal record. The terminal record
// takes precedence, as a user may have been notified of it. The open record is quarantined.
func (l *leadership) contradicted(id string, final storage.FinalRecord) {
	j := l.jobs[id]
	if j == nil || j.gone || j.ending || l.over[id] {
		return
	}
	l.n.log.Error("job has both an open and a terminal record", "job", id)
	j.gone, l.dirty = true, true
	for _, r := range j.runs {
		l.stopRun(r, 0)
	}
	l.setAside(storage.Item{Key: storage.JobKey(id), Version: j.version}, errOpenAndOver)
	delete(l.jobs, id)
	delete(l.runnable, id)
	l.ended(id, final, false)
	for _, o := range l.cancelWaiters[id] {
		l.n.reply(o, 200, 0, finalState(id, final))
	}
	delete(l.cancelWaiters, id)
}

var errOpenAndOver = errors.New("is of a job that is over")

// onTerminalRecord handles a job's terminal record that was read from the key-value store.
func (n *Node) finalFound(it storage.Item) {
	id := strings.TrimPrefix(it.Key, storage.FinalPrefix)
	final, err := storage.ReadFinal(it)
	if err != nil {
		if n.unreadFinals[id] == nil {
			n.unreadFinals[id] = n.damaged(it, err)
		}
		return
	}
	delete(n.unreadFinals, id)
	n.finals.put(id, final)
	if n.authority() {
		n.lead.contradicted(id, final)
	}
}
