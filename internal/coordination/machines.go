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

// machine is a rented machine as its leader knows it.
type machine struct {
	name, typ, zone string
	spot            bool
	kind            *protocol.MachineType // nil while the catalogue doesn't name it

	used, wantsUse bool // may have tasks: durable, and to be made so
	group          *group
	accounted      bool // nothing runs on it that this leader doesn't know of
	rentedAt       Instant

	up            bool
	address       string // whence it reports; empty: not known
	via           string // the peer that passed its last report on; empty: none
	session, seq  uint64
	lost          uint64                 // the highest session declared lost
	heard         Instant                // last report in order
	answered      Instant                // last answer that may have renewed its lease
	servedAt      Instant                // when an answer was last known to have reached it
	shown         bool                   // its last report shows our token: it has heard us
	missedAnswers int                    // answers in a row that its reports show no sign of
	twice         bool                   // another worker reports under its name
	restarted     bool                   // it began a new session though it spoke all along
	last          *protocol.ReportAnswer // the last answer, until the next report
	notice        Instant                // when the cloud takes it; never: no notice

	runs          map[string]*run
	list          []*run // the same, by attempt
	unknownTasks  int    // reported tasks that no run of ours stands for
	results       int    // reported results that the worker must still keep
	cores, ram    float64
	accelerators  float64
	images        []image // most recently used last
	reservedFor   *job    // whose next task finds room here first
	spareSince    Instant // since when it has been more than is needed
	failures      int     // in a row
	failedJobs    map[string]bool
	sick          bool
	emptying      bool // to be returned when empty
	returning     bool
	failedListing bool
	asked         bool      // the cloud was asked to return it, and may still do so
	why           cause     // why it is returned
	pace          []float64 // of its last tasks: log of real over expected run time
}

type image struct {
	name string
	gb   float64
}

func (l *leadership) newMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{name: name, typ: typ, zone: zone, spot: spot, runs: map[string]*run{},
		rentedAt: l.n.now, heard: never, answered: never, servedAt: never, notice: never, spareSince: l.n.now,
		failedJobs: map[string]bool{}, kind: l.n.catalog[typ]}
	l.machines[name] = m
	l.machinesChanged()
	return m
}

// obtained takes a machine that this leader rented, so that none gave it a task before.
func (l *leadership) obtained(name, typ, zone string, spot bool, rentedAt Instant) *machine {
	m := l.newMachine(name, typ, zone, spot)
	m.accounted, m.rentedAt = true, rentedAt
	l.record(m, false)
	return m
}

// listed takes a machine that the cloud lists and no leader recorded. None gave it a task, unless
// there are records of machines that can't be read.
func (l *leadership) listed(h protocol.Host) *machine {
	m := l.obtained(h.UID, h.Type, h.Zone, h.Spot, l.n.now-config.Seconds(max(h.HeldS, 0)))
	m.accounted = !l.namesMissing()
	return m
}

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

// storeCatalog stores the machine types for the next start, when they have changed;
// prices move all the time and are left as they were.
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

// group is the machines that one record names. One record for each machine took
// two changes before its first task, and hundreds of machines that came up together
// waited for theirs for as long as they had taken to boot.
type group struct {
	key      string
	machines map[string]*machine
	bytes    int  // of its record
	changed  bool // since the last write was formed
	queued   bool // a write waits, that will hold whatever changes until then
	hurried  bool // the same, ahead of what can wait
}

// record makes the machine's name durable, with used set before its first task.
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

func (l *leadership) entry(m *machine) storage.MachineRecord {
	return storage.MachineRecord{Type: m.typ, Zone: m.zone, Spot: m.spot, Used: m.wantsUse,
		AtMS: l.n.wall.Add(m.rentedAt).UnixMilli()}
}

func (l *leadership) entryBytes(m *machine) int { return storage.EntryBytes(m.name, l.entry(m)) }

func (g *group) add(l *leadership, m *machine) {
	m.group = g
	g.machines[m.name] = m
	g.bytes += l.entryBytes(m)
}

func (g *group) remove(l *leadership, m *machine) {
	delete(g.machines, m.name)
	g.bytes -= l.entryBytes(m)
}

// roomyGroup finds a group that has room for an entry, or makes one.
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

// splitGroups divides the groups that are too large to be written again: level 0 made
// larger ones, and the state service may take less than it did. Their machines are
// written into new groups first, and only then is the old record dropped. In between a
// machine is in both: level 0 takes the entry that it reads last, so the new ones get
// later keys.
func (l *leadership) splitGroups() {
	large := slices.DeleteFunc(slices.Clone(l.groups), func(g *group) bool { return g.bytes <= l.groupBytes || len(g.machines) < 2 })
	if len(large) == 0 {
		return
	}
	for _, g := range l.groups {
		l.groupsFrom = max(l.groupsFrom, storage.GroupNumber(g.key)+1)
	}
	kept := slices.DeleteFunc(l.groups, func(g *group) bool { return slices.Contains(large, g) })
	l.groups = nil // so that their machines go to new ones
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

func (l *leadership) newGroup(key string) *group {
	g := &group{key: key, machines: map[string]*machine{}}
	l.groups = append(l.groups, g)
	return g
}

// storeGroup queues the write of a group, as it is when its turn comes. Machines
// that are gone can wait for it, those that are to be used can't.
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
					l.n.log.Error("machine can't be recorded", "group", g.key)
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

// forgetMachine drops a machine that is surely gone, with everything on it.
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

// addRun and dropRun keep a machine's runs in order of their attempts, so that a
// step repeats. Whoever walks the list may release runs meanwhile: it is never
// changed in place below its end.
func (m *machine) addRun(r *run) {
	m.runs[r.key()] = r
	if n := len(m.list); n == 0 || m.list[n-1].attempt < r.attempt {
		m.list = append(m.list, r)
		return
	}
	at, _ := slices.BinarySearchFunc(m.list, r.attempt, func(x *run, attempt uint64) int { return cmp.Compare(x.attempt, attempt) })
	m.list = slices.Insert(slices.Clone(m.list), at, r)
}

func (m *machine) dropRun(r *run) {
	delete(m.runs, r.key())
	m.list = slices.DeleteFunc(slices.Clone(m.list), func(x *run) bool { return x == r })
}

// place books a run on its machine and with its team.
func (l *leadership) place(r *run) {
	j, m := r.job, r.m
	if j.taskState(r.index) == taskPending {
		j.pending--
	}
	j.runs[r.index] = r
	m.addRun(r)
	l.count(j, 1)
	m.touch(j.spec.Image, j.spec.ImageGB) // held, or fetched once for all
	m.cores += j.spec.Cores
	m.ram += j.spec.RAM
	m.accelerators += j.spec.Accelerators
	if u := l.usage[j.spec.Team]; u != nil {
		u.cores += j.spec.Cores
		u.accelerators += j.spec.Accelerators
	}
}

// release ends a run whose end is confirmed and gives back what it held.
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

// stopRun asks for a run's end; one that was never commanded ends at once.
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

// leaseOver is after what silence a worker's lease is surely over.
func (n *Node) leaseOver() time.Duration { return drift(n.lease()) + n.lease()/50 }

func (l *leadership) leaseOver() time.Duration { return l.n.leaseOver() }

// checksPerReport is how often, per report interval, all machines are looked at.
const checksPerReport = 8

// checkMachines declares lost what has been silent for a lease.
func (l *leadership) checkMachines() {
	now := l.n.now
	if now < l.checkedAt+l.n.report()/checksPerReport {
		return // each step would walk all machines: it comes with every report
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
			// Its session has ended by its own clock: what it ran is dead, and
			// the session never gets another 200.
			l.n.log.Info("machine silent for a lease", "machine", m.name, "tasks", len(m.runs))
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

// maxGone bounds the names of returned machines that are kept, within a term, so
// that neither a lagging list nor a late copy of a report brings one back.
const maxGone = 20_000

// held lists the machines in order of their names. The list is kept between
// changes: made anew at each step, it was two thirds of a busy leader's work.
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

// machinesChanged drops what is kept of the list of machines.
func (l *leadership) machinesChanged() { l.sorted, l.totalsValid = nil, false }
