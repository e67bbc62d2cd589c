package controller

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"hitchdoor/internal/cluster"

	"hitchdoor/internal/ratelimit"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// Loading of the stored records by a new leader.

// loadState tracks what is being read from the key-value store.
type loadState struct {
	recordsLoaded       bool                      // all records have been loaded
	dependencyRecords   map[string][]storage.Item // dependency records read before their jobs, by job id
	loadingDependencies map[string]bool           // jobs whose dependency records are being read
	dependencyReadCount map[string]int            // reads of a job's dependency records
	deferredBitmaps     map[string][]storage.Item // bitmap parts of jobs that are not loaded yet
	lookupBudget        ratelimit.TokenBucket     // limits reads of dependencies and of quarantined records
	earlyHeartbeats     []Request                 // workers' heartbeats received while loading
	quarantine          quarantine

	watchRevision uint64
	watchActive   bool // a watch is in flight or scheduled
	watchFailures int  // consecutive watches that failed or returned nothing new
}

// newLoadState returns the state at the start of a term, with nothing loaded.
func newLoadState(node *Node) loadState {
	readRate := node.cfg.Cluster.Store.RequestsPerS * dependencyLookupShare
	return loadState{
		dependencyRecords: map[string][]storage.Item{}, loadingDependencies: map[string]bool{},
		dependencyReadCount: map[string]int{},
		deferredBitmaps:     map[string][]storage.Item{},
		lookupBudget:        ratelimit.NewTokenBucket(readRate, readRate), quarantine: newQuarantine(),
	}
}

// loadRecords reads all records. Scheduling starts only after all of them are loaded.
func (l *leader) loadRecords() {
	steps := []struct {
		prefix string
		take   func([]storage.Item)
	}{
		{storage.VersionPrefix, l.node.applyProtocolLevels},
		{storage.DependenciesPrefix, l.loadDependencies}, // before the jobs: later ones are read with their job
		{storage.JobPrefix, l.loadJobs},
		{storage.BitmapPrefix, l.loadBitmaps},
		{storage.MachineGroupPrefix, l.loadMachineGroups},
		{storage.SingleMachinePrefix, l.loadSingleMachines},
		{storage.RentalPrefix, l.loadRentals},
		{storage.ArrivalForecastKey, l.autoscaler.loadForecast},
		{storage.CatalogKey, l.noteVersions},
		{storage.AdmissionPolicyKey, l.loadAdmissionPolicy},
	}
	var next func(int)
	next = func(i int) {
		if i == len(steps) {
			l.finishLoading()
			return
		}
		l.readPages(steps[i].prefix, "", steps[i].take, func() { next(i + 1) })
	}
	next(0)
}

// maxPageItems limits one page of a listing, to bound memory use.
const maxPageItems = 200

// readPages reads all records with a prefix whose keys are after a key, page by page. It passes
// each page to apply and then calls onDone. A failed read is retried until this leader's term ends.
func (l *leader) readPages(prefix, afterKey string, apply func([]storage.Item), onDone func()) {
	node := l.node
	node.storeCall("GET", storage.ListPath(prefix, afterKey, maxPageItems), nil, func(result CallResult) {
		if node.leader != l {
			return
		}
		var page storage.ListResponse
		if result.Status != 200 || json.Unmarshal(result.Body, &page) != nil {
			l.scheduleRetry(func() { l.readPages(prefix, afterKey, apply, onDone) })
			return
		}
		if prefix == storage.JobPrefix && afterKey == "" {
			l.watchRevision = page.Revision
		}
		apply(page.Items)
		if page.Truncated && len(page.Items) > 0 {
			l.readPages(prefix, page.Items[len(page.Items)-1].Key, apply, onDone)
			return
		}
		onDone()
	})
}

// loadJobs adds the jobs of a page of records to the open jobs.
func (l *leader) loadJobs(items []storage.Item) {
	for _, item := range items {
		id := strings.TrimPrefix(item.Key, storage.JobPrefix)
		if l.quarantine.unreadableJobs[id] {
			// The quarantined record was repaired, or is read again. The revision of a repaired
			// one would imply that no earlier leader has started the job, so only the next leader
			// loads it.
			l.quarantine.nextCheck = l.node.now
			continue
		}
		record, err := storage.ReadJob(item)
		if err != nil {
			l.quarantineUnreadableJob(id, item, err)
			continue
		}
		if !record.RestoreDependencies(l.dependencyRecords[id]) {
			l.readDependencies(item, record.DependencyRecords)
			continue
		}
		delete(l.dependencyRecords, id)
		if _, over := l.node.jobReader.terminalRecord(id); over && !l.recordsLoaded {
			l.quarantineRecord(item, errOpenAndTerminal)
			continue
		}
		if l.addJob(record, item.ModRevision) != nil {
			bits := l.deferredBitmaps[id]
			delete(l.deferredBitmaps, id)
			l.loadBitmaps(bits)
		}
	}
}

// loadDependencies keeps the records of dependencies that do not fit into the records of their
// jobs, until those jobs are loaded.
func (l *leader) loadDependencies(items []storage.Item) {
	l.noteVersions(items)
	for _, item := range items {
		id := storage.JobIDOfDependenciesKey(item.Key)
		if _, err := storage.ReadDependencies(item); err != nil {
			l.quarantineUnreadableJob(id, item, err)
		}
		l.dependencyRecords[id] = append(l.dependencyRecords[id], item)
	}
}

// readDependencies reads the dependency records of one job that was accepted since, and loads the
// job after that. A job loaded without its dependencies would start at once.
func (l *leader) readDependencies(job storage.Item, records int) {
	id := strings.TrimPrefix(job.Key, storage.JobPrefix)
	if l.Jobs[id] != nil || l.loadingDependencies[id] || l.quarantine.unreadableJobs[id] {
		return
	}
	if l.dependencyReadCount[id]++; l.dependencyReadCount[id] > maxDependencyReads {
		l.quarantineUnreadableJob(id, job, errDependenciesMissing)
		return
	}
	l.loadingDependencies[id] = true
	delete(l.dependencyRecords, id)
	l.readPages(storage.DependenciesPrefix+id+"/", "", l.loadDependencies, func() {
		delete(l.loadingDependencies, id)
		if len(l.dependencyRecords[id]) != records {
			l.scheduleRetry(func() { l.readDependencies(job, records) })
			return
		}
		l.loadJobs([]storage.Item{job})
	})
}

// maxDependencyReads limits the reads of a job's dependency records. They are written in one
// transaction with the job, so all of them exist unless a page was read before that.
const maxDependencyReads = 3

var errDependenciesMissing = errors.New("names more records of the jobs that it needs than there are")

// dropStaleDependencies deletes the dependency records of jobs that are no longer open.
func (l *leader) dropStaleDependencies() {
	for _, id := range slices.Sorted(maps.Keys(l.dependencyRecords)) {
		for _, item := range l.dependencyRecords[id] {
			if l.Jobs[id] == nil && !l.loadingDependencies[id] && !l.quarantine.unreadableJobs[id] {
				l.dropStoredKey(item.Key)
			}
		}
		delete(l.dependencyRecords, id)
	}
}

// loadBitmaps marks the tasks done that the bitmap parts list. Parts of jobs that are not loaded
// yet are kept until they are; parts of unknown jobs and of other layouts are deleted.
func (l *leader) loadBitmaps(items []storage.Item) {
	for _, item := range items {
		l.writer.SetModRevision(item.Key, item.ModRevision)
		id, firstTask, ok := storage.ParseBitmapKey(item.Key, l.legacyBitmapPartTasks)
		if !ok {
			continue // unknown key format, perhaps of a newer version
		}
		if l.loadingDependencies[id] || l.quarantine.unreadableJobs[id] {
			l.deferredBitmaps[id] = append(l.deferredBitmaps[id], item)
			continue
		}
		j := l.Jobs[id]
		if j == nil {
			l.dropStoredKey(item.Key)
			continue
		}
		bits, err := storage.ReadBitmap(item)
		if err != nil {
			l.quarantineJob(j, item, err)
			continue
		}
		if firstTask >= j.Spec.TaskCount {
			l.dropStoredKey(item.Key)
			continue
		}
		partIndex := slices.IndexFunc(j.BitmapParts, func(p *cluster.BitmapPart) bool { return p.Key == item.Key })
		if partIndex >= 0 {
			j.BitmapParts[partIndex].StoredBits = bits
		}
		for i := range bits {
			for bit := 0; bit < 8; bit++ {
				index := firstTask + i*8 + bit
				if bits[i]&(1<<bit) != 0 && index < j.Spec.TaskCount {
					l.markTaskDone(j, index)
				}
			}
		}
		if partIndex < 0 {
			l.dropStoredKey(item.Key) // other layout; its bits are written to the new parts first
		}
	}
}

// noteVersions records the versions of records whose content is read elsewhere.
func (l *leader) noteVersions(items []storage.Item) {
	for _, item := range items {
		l.writer.SetModRevision(item.Key, item.ModRevision)
	}
}

// loadMachineGroups adds the machines of a page of group records.
func (l *leader) loadMachineGroups(items []storage.Item) {
	for _, item := range items {
		record, unreadable, err := storage.ReadMachineGroup(item)
		if err != nil {
			l.quarantineMachineGroup(item, err)
			continue
		}
		if len(unreadable) > 0 {
			l.loadDamagedMachineGroup(item, record, unreadable)
			continue
		}
		l.writer.SetModRevision(item.Key, item.ModRevision)
		group := l.newMachineGroup(item.Key)
		for name, entry := range record {
			m := l.Machines[name]
			if m == nil {
				m = l.addStoredMachine(name, entry)
			} else if m.Group != nil {
				// An earlier leader stopped while moving it between groups.
				l.removeFromGroup(m.Group, m)
				l.storeMachineGroup(m.Group, false)
			}
			m.UseDurable = m.UseDurable || entry.Used
			m.MarkedUsed, m.Reconciled = m.UseDurable, !m.UseDurable
			l.addToGroup(group, m)
			if !entry.Used && m.UseDurable {
				l.storeMachineGroup(group, true) // before the other group's record, which has the mark, is deleted
			}
		}
	}
}

// loadDamagedMachineGroup loads the machines of a group with unreadable entries. The group's
// record is quarantined and its machines are stored in other groups. Of a machine with an
// unreadable entry only the name is known, so it is treated as if it may be running any task.
func (l *leader) loadDamagedMachineGroup(item storage.Item, record storage.MachineGroupRecord, unreadable []string) {
	slices.Sort(unreadable)
	l.quarantineRecord(item, fmt.Errorf("the entries of these machines can't be read: %s",
		strings.Join(unreadable, ", ")))
	for _, name := range unreadable {
		record[name] = storage.MachineRecord{Used: true, RentedAtMillis: l.node.nowUnixMilli()}
	}
	for _, name := range slices.Sorted(maps.Keys(record)) {
		m := l.Machines[name]
		if m == nil {
			m = l.addStoredMachine(name, record[name])
		}
		m.UseDurable = m.UseDurable || record[name].Used
		m.Reconciled = m.Reconciled && !record[name].Used
		if m.TypeName != "" {
			l.recordMachine(m, m.UseDurable)
		}
	}
}

// loadSingleMachines adds the machines of single-machine records, as written by earlier versions,
// and moves them into groups.
func (l *leader) loadSingleMachines(items []storage.Item) {
	for _, item := range items {
		var record storage.MachineRecord
		name := strings.TrimPrefix(item.Key, storage.SingleMachinePrefix)
		if err := json.Unmarshal(item.Value, &record); err != nil {
			l.quarantineRecord(item, err)
			if l.Machines[name] == nil {
				l.addStoredMachine(name, storage.MachineRecord{Used: true, RentedAtMillis: l.node.nowUnixMilli()})
			}
			continue
		}
		l.writer.SetModRevision(item.Key, item.ModRevision)
		m := l.Machines[name]
		if m == nil {
			m = l.addStoredMachine(name, record)
		}
		m.Reconciled = m.Reconciled && !record.Used
		l.recordMachine(m, record.Used)
		l.dropStoredKey(item.Key)
	}
}

// addStoredMachine adds a machine from its stored record. A machine that was used by an earlier
// leader is not reconciled yet.
func (l *leader) addStoredMachine(name string, record storage.MachineRecord) *cluster.Machine {
	m := l.NewMachine(name, record.Type, record.Zone, record.Spot)
	m.Reconciled = !record.Used
	m.RentedAt = min(l.node.instantFromUnixMilli(record.RentedAtMillis), l.node.now)
	return m
}

// loadRentals adds the rentals that an earlier leader had stored but not completed.
func (l *leader) loadRentals(items []storage.Item) {
	for _, item := range items {
		rental, err := storage.ReadRental(item)
		if err != nil {
			l.quarantineRecord(item, err)
			continue
		}
		l.writer.SetModRevision(item.Key, item.ModRevision)
		l.autoscaler.addStoredRental(rental)
	}
}
