package controller

import (
	"maps"
	"slices"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// machineRecords tracks how the machines are stored: in groups, with one record for each group.
type machineRecords struct {
	storedCatalogShape string // machine types last stored, without prices

	unknownMachines []*machineGroup
	maxGroupBytes   int // size limit of a group's record
	minGroupNumber  int // lowest number for a new group
}

// newMachineRecords returns the state before any machine is recorded.
func newMachineRecords(cluster *config.Cluster) machineRecords {
	return machineRecords{maxGroupBytes: storage.MaxMachineGroupBytes(cluster.Store.MaxValueBytes())}
}

// addRentedMachine adds a machine that this leader rented. It needs no reconciliation, as no
// earlier leader placed tasks on it.
func (l *leader) addRentedMachine(name, typeName, zone string, spot bool, rentedAt clock.Instant) *machine {
	m := l.newMachine(name, typeName, zone, spot)
	m.reconciled, m.rentedAt = true, rentedAt
	l.recordMachine(m, false)
	return m
}

// addListedMachine adds a machine that the cloud lists and no record names. No leader placed
// tasks on it, unless machine records are unreadable and the inventory is therefore incomplete.
func (l *leader) addListedMachine(host protocol.Host) *machine {
	m := l.addRentedMachine(host.Name, host.Type, host.Zone, host.Spot, l.node.now-config.Seconds(max(host.RentedSeconds, 0)))
	m.reconciled = !l.inventoryIncomplete()
	return m
}

// applyMachineTypes updates the machines after a change of the machine type catalog.
func (l *leader) applyMachineTypes() {
	l.catalog = l.node.catalog
	for _, m := range l.machines {
		if machineType := l.node.catalog[m.typeName]; machineType != nil {
			m.machineType = machineType
		}
	}
	l.invalidateMachineIndex()
	l.schedulingNeeded = true
	l.storeCatalog()
}

// storeCatalog stores the machine types for the next start if they have changed. Price changes
// are frequent and do not cause a write.
func (l *leader) storeCatalog() {
	if !l.recordsLoaded || !l.node.catalogConfirmed {
		return
	}
	catalog, typesWithoutPrices := protocol.Catalog{}, []protocol.MachineType{}
	for _, name := range slices.Sorted(maps.Keys(l.node.catalog)) {
		machineType := *l.node.catalog[name]
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
func (l *leader) recordMachine(m *machine, used bool) {
	if m.group != nil && (m.markedUsed || !used) {
		return
	}
	m.markedUsed = used
	if m.group == nil {
		l.addToGroup(l.groupWithRoom(l.machineRecordBytes(m)), m)
	}
	l.storeMachineGroup(m.group, true)
}

// machineRecord returns the machine's entry in the record of its group.
func (l *leader) machineRecord(m *machine) storage.MachineRecord {
	return storage.MachineRecord{Type: m.typeName, Zone: m.zone, Spot: m.spot, Used: m.markedUsed,
		RentedAtMillis: l.node.startTime.Add(m.rentedAt).UnixMilli()}
}

// machineRecordBytes returns the encoded size of the machine's entry.
func (l *leader) machineRecordBytes(m *machine) int {
	return storage.MachineEntryBytes(m.name, l.machineRecord(m))
}

// addMachine adds a machine to the group.
func (l *leader) addToGroup(g *machineGroup, m *machine) {
	m.group = g
	g.machines[m.name] = m
	g.recordBytes += l.machineRecordBytes(m)
}

// removeMachine removes a machine from the group.
func (l *leader) removeFromGroup(g *machineGroup, m *machine) {
	delete(g.machines, m.name)
	g.recordBytes -= l.machineRecordBytes(m)
}

// groupWithRoom returns a group that has room for an entry of the given size, or a new group.
func (l *leader) groupWithRoom(recordBytes int) *machineGroup {
	for _, g := range l.unknownMachines {
		if g.recordBytes+recordBytes <= l.maxGroupBytes {
			return g
		}
	}
	usedKeys := map[string]bool{}
	for _, g := range l.unknownMachines {
		usedKeys[g.key] = true
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
	oversized := slices.DeleteFunc(slices.Clone(l.unknownMachines), func(g *machineGroup) bool {
		return g.recordBytes <= l.maxGroupBytes || len(g.machines) < 2
	})
	if len(oversized) == 0 {
		return
	}
	for _, g := range l.unknownMachines {
		l.minGroupNumber = max(l.minGroupNumber, storage.MachineGroupNumber(g.key)+1)
	}
	kept := slices.DeleteFunc(l.unknownMachines, func(g *machineGroup) bool { return slices.Contains(oversized, g) })
	l.unknownMachines = nil // so that the machines are assigned to new groups
	for _, oversizedGroup := range oversized {
		for _, name := range slices.Sorted(maps.Keys(oversizedGroup.machines)) {
			m := oversizedGroup.machines[name]
			l.addToGroup(l.groupWithRoom(l.machineRecordBytes(m)), m)
		}
	}
	for _, g := range l.unknownMachines {
		l.storeMachineGroup(g, true)
	}
	for _, oversizedGroup := range oversized {
		oversizedGroup.machines = nil
		l.dropStoredKey(oversizedGroup.key)
	}
	l.unknownMachines = append(kept, l.unknownMachines...)
}

// newMachineGroup adds an empty group with the given key.
func (l *leader) newMachineGroup(key string) *machineGroup {
	g := &machineGroup{key: key, machines: map[string]*machine{}}
	l.unknownMachines = append(l.unknownMachines, g)
	return g
}

// storeMachineGroup queues the write of a group, with the contents it has when the write is
// formed. Removed machines can wait for that; new or newly used ones get a higher priority
// (soon).
func (l *leader) storeMachineGroup(g *machineGroup, soon bool) {
	g.changedSinceWrite = true
	if g.soonWriteQueued || (g.lazyWriteQueued && !soon) {
		return
	}
	writeQueued, priority := &g.lazyWriteQueued, storage.PriorityLow
	if soon {
		writeQueued, priority = &g.soonWriteQueued, storage.PriorityNormal
	}
	*writeQueued = true
	var used []*machine
	l.writer.Enqueue(priority, storage.Change{
		BuildWrites: func() []storage.Write {
			used = used[:0]
			switch {
			case !g.changedSinceWrite || (len(g.machines) == 0 && l.writer.ModRevision(g.key) == 0):
				*writeQueued = false
				return nil
			case len(g.machines) == 0:
				return []storage.Write{storage.Delete(g.key)}
			}
			record := make(storage.MachineGroupRecord, len(g.machines))
			for name, m := range g.machines {
				record[name] = l.machineRecord(m)
				if m.markedUsed {
					used = append(used, m)
				}
			}
			return []storage.Write{storage.Put(g.key, record)}
		},
		OnSent: func() { *writeQueued, g.changedSinceWrite = false, false },
		OnRejected: func(alone bool) {
			if alone {
				l.maxGroupBytes = max(1, min(l.maxGroupBytes, g.recordBytes)/2)
				l.splitOversizedGroups()
				if len(g.machines) > 0 {
					l.node.log.Error("machine record rejected by key-value store", "group", g.key)
				}
				return
			}
			l.storeMachineGroup(g, soon)
		},
		OnApplied: func() {
			for _, m := range used {
				if !m.useDurable {
					m.useDurable, l.schedulingNeeded = true, true
				}
			}
		},
	})
}

// removeMachine removes a machine that is certain to be gone, with all its attempts.
func (l *leader) removeMachine(m *machine) {
	l.deleteMachine(m)
	if g := m.group; g != nil {
		l.removeFromGroup(g, m)
		l.storeMachineGroup(g, false)
	}
}
