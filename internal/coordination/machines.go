package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// machine is a rented machine in the leader's state.
type machine struct {
	name, typ, zone string
	spot            bool
	kind            *protocol.MachineType // nil while the type is missing from the catalog

	used, wantsUse bool // whether it may have tasks: as stored, and as to be stored
	group          *group
	accounted      bool // no attempt runs on it that this leader does not know
	rentedAt       Instant

	up            bool   // its heartbeats arrive, and its worker lease has not expired
	address       string // source address of its heartbeats; empty: unknown
	via           string // the peer that relayed its last heartbeat; empty: none
	session, seq  uint64
	lost          uint64                 // highest epoch whose worker lease has expired
	heard         Instant                // last heartbeat in sequence
	answered      Instant                // last response that may have renewed the worker lease
	servedAt      Instant                // when a response was last known to have arrived
	shown         bool                   // its last heartbeat carried this term's fencing token
	missedAnswers int                    // consecutive responses without effect on its heartbeats
	twice         bool                   // another worker sends heartbeats under the same name
	restarted     bool                   // it began a new epoch although its heartbeats never stopped
	last          *protocol.ReportAnswer // last response, until the next heartbeat
	notice        Instant                // when the cloud preempts it; never: no notice received

	runs          map[string]*run // by task key
	list          []*run          // the same attempts in order of their numbers
	unknownTasks  int             // reported tasks without a known attempt
	results       int             // reported results that the worker must retain
	cores, ram    float64         // resources used by its attempts, with accelerators
	accelerators  float64
	images        []image         // least recently used first
	reservedFor   *job            // the job that holds a reservation on it
	spareSince    Instant         // since when it has exceeded the required capacity
	failures      int             // consecutive task failures
	failedJobs    map[string]bool // distinct jobs among those failures
	sick          bool            // tasks fail on it through no fault of their jobs
	emptying      bool            // terminated once it is empty
	returning     bool            // a return request to the cloud is under way
	failedListing bool            // the cloud lists it as failed
	asked         bool            // the cloud may still carry out a return request
	why           cause           // reason for the drain
	pace          []float64       // log(actual / expected run time) of its last tasks
}

// cachedImage is an image in a machine's local cache.
type image struct {
	name string
	gb   float64
}

// newMachine adds a machine to the machine table.
func (l *leadership) newMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{name: name, typ: typ, zone: zone, spot: spot, runs: map[string]*run{},
		rentedAt: l.n.now, heard: never, answered: never, servedAt: never, notice: never, spareSince: l.n.now,
		failedJobs: map[string]bool{}, kind: l.n.catalog[typ]}
	l.machines[name] = m
	l.machinesChanged()
	return m
}

// addRentedMachine adds a machine that this leader rented. It needs no reconciliation, as no
// earlier leader placed tasks on it.
func (l *leadership) obtained(name, typ, zone string, spot bool, rentedAt Instant) *machine {
	m := l.newMachine(name, typ, zone, spot)
	m.accounted, m.rentedAt = true, rentedAt
	l.record(m, false)
	return m
}

// addListedMachine adds a machine that the cloud lists and no record names. No leader placed
// tasks on it, unless machine records are unreadable and the inventory is therefore incomplete.
func (l *leadership) listed(h protocol.Host) *machine {
	m := l.obtained(h.UID, h.Type, h.Zone, h.Spot, l.n.now-config.Seconds(max(h.HeldS, 0)))
	m.accounted = !l.namesMissing()
	return m
}

// applyMachineTypes updates the machines after a change of the machine type catalog.
func (l *leadership) typesChanged() {
	for _, m := range l.machines {
		if k := l.n.catalog[m.typ]; k != nil {
			m.kind = k
		}
	}
	l.machinesChanged()
	l.dirty = true
	l.storeCatalog()
}

// storeCatalog stores the machine types for the next start if they have changed. Price changes
// are frequent and do not cause a write.
func (l *leadership) storeCatalog() {
	if !l.loaded || !l.n.catalogSure {
		return
	}
	c, shape := protocol.Catalog{}, []protocol.MachineType{}
	for _, name := range slices.Sorted(maps.Keys(l.n.catalog)) {
		k := *l.n.catalog[name]
		c.Types = append(c.Types, k)
		k.Rate, k.SpotRate = 0, 0
		shape = append(shape, k)
	}
	now := string(storage.Encode(shape))
	if now == l.catalogShape || len(storage.Encode(c)) > l.n.cfg.Cluster.State.ValueBytes() {
		return
	}
	l.catalogShape = now
	l.writer.Add(storage.Lazy, storage.Unit{Build: func() []storage.Write {
		return []storage.Write{storage.Set(storage.CatalogKey, c)}
	}})
}

// machineGroup is a set of machines that share one record. With one record each, a machine needed
// two writes before its first task, and hundreds of machines that booted together waited for
// those writes as long as for their boot.
type group struct {
	key      string
	machines map[string]*machine
	bytes    int  // size of the record
	changed  bool // since the last write was formed
	queued   bool // a low-priority write is queued and will include later changes
	hurried  bool // the same with higher priority
}

// recordMachine makes the machine durable by name, and as used before its first task.
func (l *leadership) record(m *machine, used bool) {
	if m.group != nil && (m.wantsUse || !used) {
		return
	}
	m.wantsUse = used
	if m.group == nil {
		l.roomyGroup(l.entryBytes(m)).add(l, m)
	}
	l.storeGroup(m.group, true)
}

// machineRecord returns the machine's entry in the record of its group.
func (l *leadership) entry(m *machine) storage.MachineRecord {
	return storage.MachineRecord{Type: m.typ, Zone: m.zone, Spot: m.spot, Used: m.wantsUse,
		AtMS: l.n.wall.Add(m.rentedAt).UnixMilli()}
}

// machineRecordBytes returns the encoded size of the machine's entry.
func (l *leadership) entryBytes(m *machine) int { return storage.EntryBytes(m.name, l.entry(m)) }

// addMachine adds a machine to the group.
func (g *group) add(l *leadership, m *machine) {
	m.group = g
	g.machines[m.name] = m
	g.bytes += l.entryBytes(m)
}

// removeMachine removes a machine from the group.
func (g *group) remove(l *leadership, m *machine) {
	delete(g.machines, m.name)
	g.bytes -= l.entryBytes(m)
}

// groupWithRoom returns a group that has room for an entry of the given size, or a new group.
func (l *leadership) roomyGroup(entry int) *group {
	for _, g := range l.groups {
		if g.bytes+entry <= l.groupBytes {
			return g
		}
	}
	used := map[string]bool{}
	for _, g := range l.groups {
		used[g.key] = true
	}
	for i := l.groupsFrom; ; i++ {
		if key := storage.GroupKey(i); !used[key] && !l.quarantine.holds(key) {
			return l.newGroup(key)
		}
	}
}

// splitOversizedGroups divides groups whose record is too large to be written again: version
// level 0 wrote larger ones, and the value limit of the key-value store may have been lowered.
// The machines are written into new groups before the old record is deleted. In between both
// records hold a machine; level 0 uses the entry that it reads last, so the new groups get later
// keys.
func (l *leadership) splitGroups() {
	large := slices.DeleteFunc(slices.Clone(l.groups), func(g *group) bool {
		return g.bytes <= l.groupBytes || len(g.machines) < 2
	})
	if len(large) == 0 {
		return
	}
	for _, g := range l.groups {
		l.groupsFrom = max(l.groupsFrom, storage.GroupNumber(g.key)+1)
	}
	kept := slices.DeleteFunc(l.groups, func(g *group) bool { return slices.Contains(large, g) })
	l.groups = nil // so that the machines are assigned to new groups
	for _, old := range large {
		for _, name := range slices.Sorted(maps.Keys(old.machines)) {
			m := old.machines[name]
			l.roomyGroup(l.entryBytes(m)).add(l, m)
		}
	}
	for _, g := range l.groups {
		l.storeGroup(g, true)
	}
	for _, old := range large {
		old.machines = nil
		l.dropKnown(old.key)
	}
	l.groups = append(kept, l.groups...)
}

// newMachineGroup adds an empty group with the given key.
func (l *leadership) newGroup(key string) *group {
	g := &group{key: key, machines: map[string]*machine{}}
	l.groups = append(l.groups, g)
	return g
}

// storeMachineGroup queues the write of a group, with the contents it has when the write is
// formed. Removed machines can wait for that; new or newly used ones get a higher priority
// (soon).
func (l *leadership) storeGroup(g *group, hurry bool) {
	g.changed = true
	if g.hurried || (g.queued && !hurry) {
		return
	}
	waits, priority := &g.queued, storage.Lazy
	if hurry {
		waits, priority = &g.hurried, storage.Soon
	}
	*waits = true
	var used []*machine
	l.writer.Add(priority, storage.Unit{
		Build: func() []storage.Write {
			used = used[:0]
			switch {
			case !g.changed || (len(g.machines) == 0 && l.writer.Version(g.key) == 0):
				*waits = false
				return nil
			case len(g.machines) == 0:
				return []storage.Write{storage.Drop(g.key)}
			}
			rec := make(storage.GroupRecord, len(g.machines))
			for name, m := range g.machines {
				rec[name] = l.entry(m)
				if m.wantsUse {
					used = append(used, m)
				}
			}
			return []storage.Write{storage.Set(g.key, rec)}
		},
		Taken: func() { *waits, g.changed = false, false },
		Refused: func(alone bool) {
			if alone {
				l.groupBytes = max(1, min(l.groupBytes, g.bytes)/2)
				l.splitGroups()
				if len(g.machines) > 0 {
					l.n.log.Error("machine record rejected by key-value store", "group", g.key)
				}
				return
			}
			l.storeGroup(g, hurry)
		},
		Done: func() {
			for _, m := range used {
				if !m.used {
					m.used, l.dirty = true, true
				}
			}
		},
	})
}

// removeMachine removes a machine that is certain to be gone, with all its attempts.
func (l *leadership) forgetMachine(m *machine) {
	for _, r := range m.list {
		l.release(r)
	}
	if m.reservedFor != nil {
		l.unreserve(m.reservedFor)
	}
	delete(l.machines, m.name)
	l.machinesChanged()
	l.gone[m.name] = l.n.now
	l.dirty = true
	if g := m.group; g != nil {
		g.remove(l, m)
		l.storeGroup(g, false)
	}
}

// addAttempt adds an attempt to the machine. attemptsInOrder is sorted by attempt number to keep
// every step deterministic. Callers may release attempts while they iterate, so existing elements
// are never changed in place.
func (m *machine) addRun(r *run) {
	m.runs[r.key()] = r
	if n := len(m.list); n == 0 || m.list[n-1].attempt < r.attempt {
		m.list = append(m.list, r)
		return
	}
	at, _ := slices.BinarySearchFunc(m.list, r.attempt, func(x *run, attempt uint64) int {
		return cmp.Compare(x.attempt, attempt)
	})
	m.list = slices.Insert(slices.Clone(m.list), at, r)
}

// dropAttempt removes an attempt from the machine.
func (m *machine) dropRun(r *run) {
	delete(m.runs, r.key())
	m.list = slices.DeleteFunc(slices.Clone(m.list), func(x *run) bool { return x == r })
}

// placeAttempt binds an attempt to its machine and counts its resources for the machine and the
// team.
func (l *leadership) place(r *run) {
	j, m := r.job, r.m
	if j.taskState(r.index) == taskPending {
		j.pending--
	}
	j.runs[r.index] = r
	m.addRun(r)
	l.count(j, 1)
	m.touch(j.spec.Image, j.spec.ImageGB) // present, or fetched once for all tasks
	m.cores += j.spec.Cores
	m.ram += j.spec.RAM
	m.accelerators += j.spec.Accelerators
	if u := l.usage[j.spec.Team]; u != nil {
		u.cores += j.spec.Cores
		u.accelerators += j.spec.Accelerators
	}
}

// releaseAttempt removes an attempt whose end is confirmed and releases its resources.
func (l *leadership) release(r *run) {
	j, m := r.job, r.m
	if m.runs[r.key()] != r {
		return
	}
	m.dropRun(r)
	l.count(j, -1)
	if j.runs[r.index] == r {
		delete(j.runs, r.index)
	}
	m.cores -= j.spec.Cores
	m.ram -= j.spec.RAM
	m.accelerators -= j.spec.Accelerators
	if u := l.usage[j.spec.Team]; u != nil {
		u.cores -= j.spec.Cores
		u.accelerators -= j.spec.Accelerators
	}
	if len(m.runs) == 0 {
		m.cores, m.ram, m.accelerators = 0, 0, 0
	}
	if j.taskState(r.index) == taskPending {
		j.pending++
		j.first = min(j.first, r.index)
		if j.pending == 1 {
			j.waiting = l.n.now
		}
	}
	l.dirty = true
}

// requestStop requests the end of an attempt. An attempt that was never sent ends at once.
func (l *leadership) stopRun(r *run, grace float64) {
	if r.phase == phaseAssigned {
		l.release(r)
		return
	}
	if r.stop != nil && *r.stop <= grace {
		return
	}
	r.stop = &grace
}

// workerLeaseTimeout returns the silence after which a worker's lease is certain to have expired,
// with clock drift.
func (n *Node) leaseOver() time.Duration { return drift(n.lease()) + n.lease()/50 }

// workerLeaseTimeout returns the node's worker lease timeout.
func (l *leadership) leaseOver() time.Duration { return l.n.leaseOver() }

// leaseChecksPerHeartbeat is how often all worker leases are checked per heartbeat interval.
const checksPerReport = 8

// expireMachineLeases fences the machines whose worker lease has expired and releases their
// attempts.
func (l *leadership) checkMachines() {
	now := l.n.now
	if now < l.checkedAt+l.n.report()/checksPerReport {
		return // a scan of all machines is too expensive for every heartbeat
	}
	l.checkedAt = now
	for _, m := range l.held() {
		since := max(m.answered, l.since)
		if now <= since+l.leaseOver() {
			continue
		}
		if !m.accounted {
			m.accounted, l.dirty, l.totalsValid = true, true, false
		}
		if m.up {
			// The worker's own clock has ended its epoch, so its tasks have stopped, and the epoch never
			// gets another 200.
			l.n.log.Info("worker lease expired", "machine", m.name, "tasks", len(m.runs))
			m.up, l.totalsValid = false, false
			m.lost, m.address = m.session, ""
			m.unknownTasks = 0
			for _, r := range m.list {
				l.release(r)
			}
			l.leave(m, silent)
		}
	}
	if len(l.gone) > maxGone {
		for name, at := range l.gone {
			if now > at+8*config.Seconds(l.n.cfg.Cluster.Cloud.ListLagS)+l.n.lease() {
				delete(l.gone, name)
			}
		}
	}
}

// maxRemovedMachines is the number of removed machines above which old names are discarded.
// Within a term the names prevent a delayed listing or a late copy of a heartbeat from adding the
// machine again.
const maxGone = 20_000

// machinesByName returns the machines sorted by name. The list is cached between changes:
// rebuilding it in each step took two thirds of a busy leader's CPU time.
func (l *leadership) held() []*machine {
	if l.sorted == nil {
		l.sorted = make([]*machine, 0, len(l.machines))
		for _, m := range l.machines {
			l.sorted = append(l.sorted, m)
		}
		slices.SortFunc(l.sorted, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	}
	return l.sorted
}

// invalidateMachineIndex discards the cached machine list and totals.
func (l *leadership) machinesChanged() { l.sorted, l.totalsValid = nil, false }
