package coordination

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// Loading of the stored records by a new leader.

// loadState tracks what is being read from the key-value store.
type readingState struct {
	loaded       bool                      // all records have been loaded
	needs        map[string][]storage.Item // dependency records read before their jobs, by job id
	reading      map[string]bool           // jobs whose dependency records are being read
	needsReads   map[string]int            // reads of a job's dependency records
	unreadBits   map[string][]storage.Item // bitmap parts of jobs that are not loaded yet
	lookups      map[string]Instant        // dependencies that are not open here: when to read their outcome
	lookupBudget bucket                    // limits reads of dependencies and of quarantined records
	earlyReports []Request                 // workers' heartbeats received while loading
	quarantine   quarantine

	watchRevision uint64
	watching      bool // a watch is in flight or scheduled
	watchFailures int  // consecutive watches that failed or returned nothing new
}

// newLoadState returns the state at the start of a term, with nothing loaded.
func newReadingState(n *Node) readingState {
	reads := n.cfg.Cluster.State.RPS * lookupShare
	return readingState{
		needs: map[string][]storage.Item{}, reading: map[string]bool{},
		needsReads: map[string]int{},
		unreadBits: map[string][]storage.Item{}, lookups: map[string]Instant{},
		lookupBudget: newBucket(reads, reads), quarantine: newQuarantine(),
	}
}

// loadRecords reads all records. Scheduling starts only after all of them are loaded.
func (l *leadership) load() {
	steps := []struct {
		prefix string
		take   func([]storage.Item)
	}{
		{storage.VersionPrefix, l.n.takeVersions},
		{storage.NeedsPrefix, l.loadNeeds}, // before the jobs: later ones are read with their job
		{storage.JobPrefix, l.loadJobs},
		{storage.BitsPrefix, l.loadBits},
		{storage.GroupPrefix, l.loadGroups},
		{storage.MachinePrefix, l.loadMachines},
		{storage.RentPrefix, l.loadRentals},
		{storage.FlowKey, l.fleet.loadForecast},
		{storage.CatalogKey, l.knowAll},
		{storage.PolicyKey, l.admission.load},
	}
	var next func(int)
	next = func(i int) {
		if i == len(steps) {
			l.ready()
			return
		}
		l.readAll(steps[i].prefix, "", steps[i].take, func() { next(i + 1) })
	}
	next(0)
}

// maxPageItems limits one page of a listing, to bound memory use.
const pageItems = 200

// readPages reads all records with a prefix whose keys are after a key, page by page. It passes
// each page to apply and then calls onDone. A failed read is retried until this leader's term ends.
func (l *leadership) readAll(prefix, since string, take func([]storage.Item), then func()) {
	n := l.n
	n.stateCall("GET", storage.ListPath(prefix, since, pageItems), nil, func(r Result) {
		if n.lead != l {
			return
		}
		var page storage.Page
		if r.Status != 200 || json.Unmarshal(r.Body, &page) != nil {
			l.later(func() { l.readAll(prefix, since, take, then) })
			return
		}
		if prefix == storage.JobPrefix && since == "" {
			l.watchRevision = page.Revision
		}
		take(page.Items)
		if page.Truncated && len(page.Items) > 0 {
			l.readAll(prefix, page.Items[len(page.Items)-1].Key, take, then)
			return
		}
		then()
	})
}

// loadJobs adds the jobs of a page of records to the open jobs.
func (l *leadership) loadJobs(items []storage.Item) {
	for _, it := range items {
		id := strings.TrimPrefix(it.Key, storage.JobPrefix)
		if l.quarantine.jobs[id] {
			// The quarantined record was repaired, or is read again. The revision of a repaired
			// one would imply that no earlier leader has started the job, so only the next leader
			// loads it.
			l.quarantine.checkAt = l.n.now
			continue
		}
		rec, err := storage.ReadJob(it)
		if err != nil {
			l.holdUnreadJob(id, it, err)
			continue
		}
		if !rec.TakeNeeds(l.needs[id]) {
			l.readNeeds(it, rec.More)
			continue
		}
		delete(l.needs, id)
		if _, over := l.n.finals.byID[id]; over && !l.loaded {
			l.setAside(it, errOpenAndOver)
			continue
		}
		if l.addJob(rec, it.Version) != nil {
			bits := l.unreadBits[id]
			delete(l.unreadBits, id)
			l.loadBits(bits)
		}
	}
}

// loadDependencies keeps the records of dependencies that do not fit into the records of their
// jobs, until those jobs are loaded.
func (l *leadership) loadNeeds(items []storage.Item) {
	l.knowAll(items)
	for _, it := range items {
		id := storage.NeedsOf(it.Key)
		if _, err := storage.ReadNeeds(it); err != nil {
			l.holdUnreadJob(id, it, err)
		}
		l.needs[id] = append(l.needs[id], it)
	}
}

// readDependencies reads the dependency records of one job that was accepted since, and loads the
// job after that. A job loaded without its dependencies would start at once.
func (l *leadership) readNeeds(job storage.Item, records int) {
	id := strings.TrimPrefix(job.Key, storage.JobPrefix)
	if l.jobs[id] != nil || l.reading[id] || l.quarantine.jobs[id] {
		return
	}
	if l.needsReads[id]++; l.needsReads[id] > maxNeedsReads {
		l.holdUnreadJob(id, job, errNeedsMissing)
		return
	}
	l.reading[id] = true
	delete(l.needs, id)
	l.readAll(storage.NeedsPrefix+id+"/", "", l.loadNeeds, func() {
		delete(l.reading, id)
		if len(l.needs[id]) != records {
			l.later(func() { l.readNeeds(job, records) })
			return
		}
		l.loadJobs([]storage.Item{job})
	})
}

// maxDependencyReads limits the reads of a job's dependency records. They are written in one
// transaction with the job, so all of them exist unless a page was read before that.
const maxNeedsReads = 3

var errNeedsMissing = errors.New("names more records of the jobs that it needs than there are")

// dropStaleDependencies deletes the dependency records of jobs that are no longer open.
func (l *leadership) dropNeeds() {
	for _, id := range slices.Sorted(maps.Keys(l.needs)) {
		for _, it := range l.needs[id] {
			if l.jobs[id] == nil && !l.reading[id] && !l.quarantine.jobs[id] {
				l.dropKnown(it.Key)
			}
		}
		delete(l.needs, id)
	}
}

// loadBitmaps marks the tasks done that the bitmap parts list. Parts of jobs that are not loaded
// yet are kept until they are; parts of unknown jobs and of other layouts are deleted.
func (l *leadership) loadBits(items []storage.Item) {
	for _, it := range items {
		l.writer.Know(it.Key, it.Version)
		id, from, ok := storage.ParseBitsKey(it.Key, l.widePart)
		if !ok {
			continue // unknown key format, perhaps of a newer version
		}
		if l.reading[id] || l.quarantine.jobs[id] {
			l.unreadBits[id] = append(l.unreadBits[id], it)
			continue
		}
		j := l.jobs[id]
		if j == nil {
			l.dropKnown(it.Key)
			continue
		}
		bits, err := storage.ReadBits(it)
		if err != nil {
			l.holdJob(j, it, err)
			continue
		}
		if from >= j.spec.Tasks {
			l.dropKnown(it.Key)
			continue
		}
		at := slices.IndexFunc(j.parts, func(p *partState) bool { return p.key == it.Key })
		if at >= 0 {
			j.parts[at].stored = bits
		}
		for i := range bits {
			for b := 0; b < 8; b++ {
				index := from + i*8 + b
				if bits[i]&(1<<b) != 0 && index < j.spec.Tasks {
					l.setDone(j, index)
				}
			}
		}
		if at < 0 {
			l.dropKnown(it.Key) // other layout; its bits are written to the new parts first
		}
	}
}

// noteVersions records the versions of records whose content is read elsewhere.
func (l *leadership) knowAll(items []storage.Item) {
	for _, it := range items {
		l.writer.Know(it.Key, it.Version)
	}
}

// loadMachineGroups adds the machines of a page of group records.
func (l *leadership) loadGroups(items []storage.Item) {
	for _, it := range items {
		rec, unreadable, err := storage.ReadGroup(it)
		if err != nil {
			l.holdGroup(it, err)
			continue
		}
		if len(unreadable) > 0 {
			l.loadDamagedGroup(it, rec, unreadable)
			continue
		}
		l.writer.Know(it.Key, it.Version)
		g := l.newGroup(it.Key)
		for name, r := range rec {
			m := l.machines[name]
			if m == nil {
				m = l.loadMachine(name, r)
			} else if m.group != nil {
				// An earlier leader stopped while moving it between groups.
				l.removeFromGroup(m.group, m)
				l.storeGroup(m.group, false)
			}
			m.used = m.used || r.Used
			m.wantsUse, m.accounted = m.used, !m.used
			l.addToGroup(g, m)
			if !r.Used && m.used {
				l.storeGroup(g, true) // before the other group's record, which has the mark, is deleted
			}
		}
	}
}

// loadDamagedMachineGroup loads the machines of a group with unreadable entries. The group's
// record is quarantined and its machines are stored in other groups. Of a machine with an
// unreadable entry only the name is known, so it is treated as if it may be running any task.
func (l *leadership) loadDamagedGroup(it storage.Item, rec storage.GroupRecord, unreadable []string) {
	slices.Sort(unreadable)
	l.setAside(it, fmt.Errorf("the entries of these machines can't be read: %s",
		strings.Join(unreadable, ", ")))
	for _, name := range unreadable {
		rec[name] = storage.MachineRecord{Used: true, AtMS: l.n.wallMS()}
	}
	for _, name := range slices.Sorted(maps.Keys(rec)) {
		m := l.machines[name]
		if m == nil {
			m = l.loadMachine(name, rec[name])
		}
		m.used = m.used || rec[name].Used
		m.accounted = m.accounted && !rec[name].Used
		if m.typ != "" {
			l.record(m, m.used)
		}
	}
}

// loadSingleMachines adds the machines of single-machine records, as written by earlier versions,
// and moves them into groups.
func (l *leadership) loadMachines(items []storage.Item) {
	for _, it := range items {
		var rec storage.MachineRecord
		name := strings.TrimPrefix(it.Key, storage.MachinePrefix)
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			l.setAside(it, err)
			if l.machines[name] == nil {
				l.loadMachine(name, storage.MachineRecord{Used: true, AtMS: l.n.wallMS()})
			}
			continue
		}
		l.writer.Know(it.Key, it.Version)
		m := l.machines[name]
		if m == nil {
			m = l.loadMachine(name, rec)
		}
		m.accounted = m.accounted && !rec.Used
		l.record(m, rec.Used)
		l.dropKnown(it.Key)
	}
}

// addStoredMachine adds a machine from its stored record. A machine that was used by an earlier
// leader is not reconciled yet.
func (l *leadership) loadMachine(name string, rec storage.MachineRecord) *machine {
	m := l.newMachine(name, rec.Type, rec.Zone, rec.Spot)
	m.accounted = !rec.Used
	m.rentedAt = min(l.n.instantOf(rec.AtMS), l.n.now)
	return m
}

// loadRentals adds the rentals that an earlier leader had stored but not completed.
func (l *leadership) loadRentals(items []storage.Item) {
	for _, it := range items {
		rental, err := storage.ReadRental(it)
		if err != nil {
			l.setAside(it, err)
			continue
		}
		l.writer.Know(it.Key, it.Version)
		l.fleet.rentals = append(l.fleet.rentals, &renting{Rental: rental, durable: true})
	}
}
