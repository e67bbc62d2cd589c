package controller

import (
	"maps"
	"slices"

	"hitchdoor/internal/cluster"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// machineRecords tracks how the machines are stored: in groups, with one record for each group.
type machineRecords struct {
	storedCatalogShape string // machine types last stored, without prices

	unknownMachines []*cluster.MachineGroup
	maxGroupBytes   int // size limit of a group's record
	minGroupNumber  int // lowest number for a new group
}

// newMachineRecords returns the state before any machine is recorded.
func newMachineRecords(cluster *config.Cluster) machineRecords {
	return machineRecords{maxGroupBytes: storage.MaxMachineGroupBytes(cluster.Store.MaxValueBytes())}
}

// addRentedMachine adds a machine that this leader rented. It needs no reconciliation, as no
// earlier leader placed tasks on it.
func (l *leader) addRentedMachine(name, typeName, zone string, spot bool, rentedAt clock.Instant) *cluster.Machine {
	m := l.NewMachine(name, typeName, zone, spot)
	m.Reconciled, m.RentedAt = true, rentedAt
	l.recordMachine(m, false)
	return m
}

// addListedMachine adds a machine that the cloud lists and no record names. No leader placed
// tasks on it, unless machine records are unreadable and the inventory is therefore incomplete.
func (l *leader) addListedMachine(host protocol.Host) *cluster.Machine {
	m := l.addRentedMachine(host.Name, host.Type, host.Zone, host.Spot, l.node.now-config.Seconds(max(host.RentedSeconds, 0)))
	m.Reconciled = !l.InventoryIncomplete()
	return m
}

// applyMachineTypes updates the machines after a change of the machine type catalog.
func (l *leader) applyMachineTypes() {
	l.Catalog = l.node.catalog.types
	for _, m := range l.Machines {
		if machineType := l.Catalog[m.TypeName]; machineType != nil {
			m.MachineType = machineType
		}
	}
	l.InvalidateMachineIndex()
	l.SchedulingNeeded = true
	l.storeCatalog()
}

// storeCatalog stores the machine types for the next start if they have changed. Price changes
// are frequent and do not cause a write.
func (l *leader) storeCatalog() {
	if !l.recordsLoaded || !l.node.catalog.confirmed {
		return
	}
	catalog, typesWithoutPrices := protocol.Catalog{}, []protocol.MachineType{}
	for _, name := range slices.Sorted(maps.Keys(l.Catalog)) {
		machineType := *l.Catalog[name]
		catalog.Types = append(catalog.Types, machineType)
		machineType.OnDemandPrice, machineType.SpotPrice = 0, 0
		typesWithoutPrices = append(typesWithoutPrices, machineType)
	}
	encoded := string(storage.Encode(typesWithoutPrices))
	if encoded == l.storedCatalogShape || len(storage.Encode(catalog)) > l.node.cfg.Cluster.Store.MaxValueBytes() {
		return
	}
	l.storedCatalogShape = encoded
	l.writer.Enqueue(storage.PriorityLow, storage.Change{BuildWrites: func() []storage.Write {
		return []storage.Write{storage.Put(storage.CatalogKey, catalog)}
	}})
}

// recordMachine makes the machine durable by name, and as used before its first task.
func (l *leader) recordMachine(m *cluster.Machine, used bool) {
	if m.Group != nil && (m.MarkedUsed || !used) {
		return
	}
	m.MarkedUsed = used
	if m.Group == nil {
		l.addToGroup(l.groupWithRoom(l.machineRecordBytes(m)), m)
	}
	l.storeMachineGroup(m.Group, true)
}

// machineRecord returns the machine's entry in the record of its group.
func (l *leader) machineRecord(m *cluster.Machine) storage.MachineRecord {
	return storage.MachineRecord{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot, Used: m.MarkedUsed,
		RentedAtMillis: l.node.startTime.Add(m.RentedAt).UnixMilli()}
}

// machineRecordBytes returns the encoded size of the machine's entry.
func (l *leader) machineRecordBytes(m *cluster.Machine) int {
	return storage.MachineEntryBytes(m.Name, l.machineRecord(m))
}

// addMachine adds a machine to the group.
func (l *leader) addToGroup(g *cluster.MachineGroup, m *cluster.Machine) {
	m.Group = g
	g.Machines[m.Name] = m
	g.RecordBytes += l.machineRecordBytes(m)
}

// removeMachine removes a machine from the group.
func (l *leader) removeFromGroup(g *cluster.MachineGroup, m *cluster.Machine) {
	delete(g.Machines, m.Name)
	g.RecordBytes -= l.machineRecordBytes(m)
}

// groupWithRoom returns a group that has room for an entry of the given size, or a new group.
func (l *leader) groupWithRoom(recordBytes int) *cluster.MachineGroup {
	for _, g := range l.unknownMachines {
		if g.RecordBytes+recordBytes <= l.maxGroupBytes {
			return g
		}
	}
	usedKeys := map[string]bool{}
	for _, g := range l.unknownMachines {
		usedKeys[g.Key] = true
	}
	for i := l.minGroupNumber; ; i++ {
		if key := storage.MachineGroupKey(i); !usedKeys[key] && !l.quarantine.contains(key) {
			return l.newMachineGroup(key)
		}
	}
}

// splitOversizedGroups divides groups whose record is too large to be written again: version
// level 0 wrote larger ones, and the value limit of the key-value store may have been lowered.
// The machines are written into new groups before the old record is deleted. In between both
// records hold a machine; level 0 uses the entry that it reads last, so the new groups get later
// keys.
func (l *leader) splitOversizedGroups() {
	oversized := slices.DeleteFunc(slices.Clone(l.unknownMachines), func(g *cluster.MachineGroup) bool {
		return g.RecordBytes <= l.maxGroupBytes || len(g.Machines) < 2
	})
	if len(oversized) == 0 {
		return
	}
	for _, g := range l.unknownMachines {
		l.minGroupNumber = max(l.minGroupNumber, storage.MachineGroupNumber(g.Key)+1)
	}
	kept := slices.DeleteFunc(l.unknownMachines, func(g *cluster.MachineGroup) bool { return slices.Contains(oversized, g) })
	l.unknownMachines = nil // so that the machines are assigned to new groups
	for _, oversizedGroup := range oversized {
		for _, name := range slices.Sorted(maps.Keys(oversizedGroup.Machines)) {
			m := oversizedGroup.Machines[name]
			l.addToGroup(l.groupWithRoom(l.machineRecordBytes(m)), m)
		}
	}
	for _, g := range l.unknownMachines {
		l.storeMachineGroup(g, true)
	}
	for _, oversizedGroup := range oversized {
		oversizedGroup.Machines = nil
		l.dropStoredKey(oversizedGroup.Key)
	}
	l.unknownMachines = append(kept, l.unknownMachines...)
}

// newMachineGroup adds an empty group with the given key.
func (l *leader) newMachineGroup(key string) *cluster.MachineGroup {
	g := &cluster.MachineGroup{Key: key, Machines: map[string]*cluster.Machine{}}
	l.unknownMachines = append(l.unknownMachines, g)
	return g
}

// storeMachineGroup queues the write of a group, with the contents it has when the write is
// formed. Removed machines can wait for that; new or newly used ones get a higher priority
// (soon).
func (l *leader) storeMachineGroup(g *cluster.MachineGroup, soon bool) {
	g.ChangedSinceWrite = true
	if g.SoonWriteQueued || (g.LazyWriteQueued && !soon) {
		return
	}
	writeQueued, priority := &g.LazyWriteQueued, storage.PriorityLow
	if soon {
		writeQueued, priority = &g.SoonWriteQueued, storage.PriorityNormal
	}
	*writeQueued = true
	var used []*cluster.Machine
	l.writer.Enqueue(priority, storage.Change{
		BuildWrites: func() []storage.Write {
			used = used[:0]
			switch {
			case !g.ChangedSinceWrite || (len(g.Machines) == 0 && l.writer.ModRevision(g.Key) == 0):
				*writeQueued = false
				return nil
			case len(g.Machines) == 0:
				return []storage.Write{storage.Delete(g.Key)}
			}
			record := make(storage.MachineGroupRecord, len(g.Machines))
			for name, m := range g.Machines {
				record[name] = l.machineRecord(m)
				if m.MarkedUsed {
					used = append(used, m)
				}
			}
			return []storage.Write{storage.Put(g.Key, record)}
		},
		OnSent: func() { *writeQueued, g.ChangedSinceWrite = false, false },
		OnRejected: func(alone bool) {
			if alone {
				l.maxGroupBytes = max(1, min(l.maxGroupBytes, g.RecordBytes)/2)
				l.splitOversizedGroups()
				if len(g.Machines) > 0 {
					l.node.log.Error("machine record rejected by key-value store", "group", g.Key)
				}
				return
			}
			l.storeMachineGroup(g, soon)
		},
		OnApplied: func() {
			for _, m := range used {
				if !m.UseDurable {
					m.UseDurable, l.SchedulingNeeded = true, true
				}
			}
		},
	})
}

// removeMachine removes a machine that is certain to be gone, with all its attempts.
func (l *leader) removeMachine(m *cluster.Machine) {
	l.DeleteMachine(m)
	if g := m.Group; g != nil {
		l.removeFromGroup(g, m)
		l.storeMachineGroup(g, false)
	}
}
