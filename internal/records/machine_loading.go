package records

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/json"
	"hitchdoor/internal/storage"
)

// LoadMachineGroups adds the machines of a page of group records.
func (l *Loader) LoadMachineGroups(items []storage.Item) {
	for _, item := range items {
		record, unreadable, err := storage.ReadMachineGroup(item)
		if err != nil {
			l.quarantine.addMachineGroup(item, err)
			continue
		}
		if len(unreadable) > 0 {
			l.loadDamagedMachineGroup(item, record, unreadable)
			continue
		}
		l.writer.SetModRevision(item.Key, item.ModRevision)
		group := l.machines.newGroup(item.Key)
		for name, entry := range record {
			l.loadGroupEntry(group, name, entry)
		}
	}
}

// loadGroupEntry adds a machine to a group, as described by its entry in the record of the group.
func (l *Loader) loadGroupEntry(group *cluster.MachineGroup, name string, entry storage.MachineRecord) {
	machine := l.state.Machines[name]
	if machine == nil {
		machine = l.addStoredMachine(name, entry)
	} else if machine.Group != nil {
		// An earlier leader stopped while moving the machine between groups, so both records contain it.
		l.machines.removeFromGroup(machine.Group, machine)
		l.machines.storeGroup(machine.Group, groupWriteLowPriority)
	}
	machine.UseDurable = machine.UseDurable || entry.Used
	machine.MarkedUsed, machine.Reconciled = machine.UseDurable, !machine.UseDurable
	l.machines.addToGroup(group, machine)
	if !entry.Used && machine.UseDurable {
		// So far, only the other group's record has the used mark. Store this group, with the mark,
		// before that record is deleted or rewritten without the machine.
		l.machines.storeGroup(group, groupWriteNormalPriority)
	}
}

// loadDamagedMachineGroup loads the machines of a group with unreadable entries. The group's record is
// quarantined, and its machines with readable entries are stored in other groups. Of a machine with an
// unreadable entry only the name is known, so the machine is treated as if it may be running any task.
func (l *Loader) loadDamagedMachineGroup(item storage.Item, record storage.MachineGroupRecord, unreadable []string) {
	slices.Sort(unreadable)
	l.quarantine.AddRecord(item, fmt.Errorf("the entries of these machines can't be read: %s",
		strings.Join(unreadable, ", ")))
	for _, name := range unreadable {
		record[name] = l.unreadableMachine()
	}
	for _, name := range slices.Sorted(maps.Keys(record)) {
		machine := l.state.Machines[name]
		if machine == nil {
			machine = l.addStoredMachine(name, record[name])
		}
		machine.UseDurable = machine.UseDurable || record[name].Used
		machine.Reconciled = machine.Reconciled && !record[name].Used
		if machine.TypeName != "" {
			l.machines.Record(machine, machine.UseDurable)
		}
	}
}

// LoadSingleMachines adds the machines of a page of single-machine records, which only earlier versions
// write. The machines are stored in groups, and their single records are deleted.
func (l *Loader) LoadSingleMachines(items []storage.Item) {
	for _, item := range items {
		var record storage.MachineRecord
		name := strings.TrimPrefix(item.Key, storage.SingleMachinePrefix)
		if err := json.Unmarshal(item.Value, &record); err != nil {
			l.quarantine.AddRecord(item, err)
			if l.state.Machines[name] == nil {
				l.addStoredMachine(name, l.unreadableMachine())
			}
			continue
		}
		l.writer.SetModRevision(item.Key, item.ModRevision)
		machine := l.state.Machines[name]
		if machine == nil {
			machine = l.addStoredMachine(name, record)
		}
		machine.Reconciled = machine.Reconciled && !record.Used
		l.machines.Record(machine, record.Used)
		l.dropStoredKey(item.Key)
	}
}

// unreadableMachine returns the entry that is assumed for a machine whose stored entry can't be read.
// The machine is marked as used, because it may be running any task.
func (l *Loader) unreadableMachine() storage.MachineRecord {
	return storage.MachineRecord{Used: true, RentedAtMillis: l.clock.UnixMilli(l.clock.Now())}
}

// addStoredMachine adds a machine to the cluster state from its stored record. A machine that an
// earlier leader has used is not reconciled yet: tasks that this leader does not know may run on it.
func (l *Loader) addStoredMachine(name string, record storage.MachineRecord) *cluster.Machine {
	machine := l.state.NewMachine(name, record.Type, record.Zone, record.Spot)
	machine.Reconciled = !record.Used
	machine.RentedAt = min(l.clock.InstantFromUnixMilli(record.RentedAtMillis), l.clock.Now())
	return machine
}
