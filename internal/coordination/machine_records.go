package coordination

import (
	"maps"
	"slices"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// machineRecords tracks how the machines are stored: in groups, with one record for each group.
type machineRecords struct {
	catalogShape string // machine types last stored, without prices

	groups     []*group
	groupBytes int // size limit of a group's record
	groupsFrom int // lowest number for a new group
}

// newMachineRecords returns the state before any machine is recorded.
func newMachineRecords(c *config.Cluster) machineRecords {
	return machineRecords{groupBytes: storage.GroupBytes(c.State.ValueBytes())}
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
	l.catalog = l.n.catalog
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

// recordMachine makes the machine durable by name, and as used before its first task.
func (l *leadership) record(m *machine, used bool) {
	if m.group != nil && (m.wantsUse || !used) {
		return
	}
	m.wantsUse = used
	if m.group == nil {
		l.addToGroup(l.roomyGroup(l.entryBytes(m)), m)
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
func (l *leadership) addToGroup(g *group, m *machine) {
	m.group = g
	g.machines[m.name] = m
	g.bytes += l.entryBytes(m)
}

// removeMachine removes a machine from the group.
func (l *leadership) removeFromGroup(g *group, m *machine) {
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
			l.addToGroup(l.roomyGroup(l.entryBytes(m)), m)
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
	l.deleteMachine(m)
	if g := m.group; g != nil {
		l.removeFromGroup(g, m)
		l.storeGroup(g, false)
	}
}
