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

// quarantine holds the records that a leader has set aside, as they can't be read or contradict
// each other. Such a record is never written or deleted. What it stands for counts as existing:
// its job is known and none of its tasks is started, its machines may be running anything.
type quarantine struct {
	records map[string]*damagedRecord // by key
	jobs    map[string]bool           // jobs of which too little is known to list them as open
	groups  bool                      // machines are held whose names can't be read
	checkAt Instant                   // when the records are looked at again
}

// damagedRecord is one record that was set aside.
type damagedRecord struct {
	key     string
	version uint64 // revision at which it was read
	reason  string
	newer   bool // a newer version may have written it
}

func newQuarantine() quarantine {
	return quarantine{records: map[string]*damagedRecord{}, jobs: map[string]bool{}}
}

// holds tells whether the record under a key was set aside.
func (q *quarantine) holds(key string) bool { return q.records[key] != nil }

// list is the records set aside, by key.
func (q *quarantine) list() []*damagedRecord {
	return slices.SortedFunc(maps.Values(q.records), func(a, b *damagedRecord) int { return cmp.Compare(a.key, b.key) })
}

// setAside puts a record into quarantine and logs it once.
func (l *leadership) setAside(it storage.Item, err error) {
	if l.quarantine.holds(it.Key) {
		return
	}
	l.quarantine.records[it.Key] = l.n.damaged(it, err)
	l.quarantine.checkAt = l.n.now // its job may be over, which is to be known soon
}

// damaged describes and logs a record that can't be used.
func (n *Node) damaged(it storage.Item, err error) *damagedRecord {
	record := &damagedRecord{key: it.Key, version: it.Version, reason: err.Error(), newer: n.versions.highest > level}
	var of *storage.RecordError
	if errors.As(err, &of) {
		record.reason = of.Reason
	}
	if record.newer {
		n.log.Info("record set aside: a newer version may have written it", "key", it.Key, "reason", record.reason)
	} else {
		n.log.Error("record set aside", "key", it.Key, "reason", record.reason)
	}
	return record
}

// holdUnreadJob sets aside a record without which it isn't known what an open job is. The job
// counts as accepted.
func (l *leadership) holdUnreadJob(id string, it storage.Item, err error) {
	l.setAside(it, err)
	l.quarantine.jobs[id] = true
	l.n.accepted.put(id, true)
}

// holdJob sets aside a record that an open job needs: its running tasks go on, and none is
// started.
func (l *leadership) holdJob(j *job, it storage.Item, err error) {
	l.setAside(it, err)
	j.held = true
}

// holdGroup sets aside a group of machines of which not even the names can be read. Until the
// leases of its machines are surely over, tasks of earlier leaders may run on machines that
// no record names.
func (l *leadership) holdGroup(it storage.Item, err error) {
	l.setAside(it, err)
	l.quarantine.groups, l.totalsValid = true, false
}

// namesMissing tells whether tasks of earlier leaders may be running on machines that no
// readable record names.
func (l *leadership) namesMissing() bool {
	return l.quarantine.groups && l.n.now <= l.since+l.leaseOver()
}

// tickQuarantine looks at the records again from time to time. Once one has changed, as an
// operator has mended or deleted it, all records are read anew by the next leader.
func (l *leadership) tickQuarantine() {
	q := &l.quarantine
	if q.groups && l.n.now > l.since+l.leaseOver() {
		q.groups, l.totalsValid, l.dirty = false, false, true
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

// checkRecord reads a record that was set aside, and resigns if it has changed. It also finds out
// whether the record's job is over.
func (l *leadership) checkRecord(record *damagedRecord) {
	n := l.n
	if id := storage.JobOf(record.key); l.quarantine.jobs[id] {
		n.readFinal(id, func(bool, *storage.FinalRecord) {})
	}
	n.stateCall("GET", "/store/"+record.key, nil, func(r Result) {
		var item storage.Item
		switch {
		case n.lead != l:
		case r.Status == 404, r.Status == 200 && json.Unmarshal(r.Body, &item) == nil && item.Version != record.version:
			n.stepDown("a record that was set aside has changed: " + record.key)
		}
	})
}

// contradicted takes a job that is open by its record and over by another. The end counts, as a
// user may have been told it. The open record is set aside.
func (l *leadership) contradicted(id string, final storage.FinalRecord) {
	j := l.jobs[id]
	if j == nil || j.gone || j.ending || l.over[id] {
		return
	}
	l.n.log.Error("job is open and over", "job", id)
	j.gone, l.dirty = true, true
	for _, r := range j.runs {
		l.stopRun(r, 0)
	}
	l.setAside(storage.Item{Key: storage.JobKey(id), Version: j.version}, errOpenAndOver)
	delete(l.jobs, id)
	delete(l.runnable, id)
	l.ended(id, final, false)
	for _, o := range j.cancel {
		l.n.reply(o, 200, 0, finalState(id, final))
	}
	j.cancel = nil
}

var errOpenAndOver = errors.New("is of a job that is over")

// finalFound takes the end of a job that was read from the state service.
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
