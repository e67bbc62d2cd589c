package records

import (
	"maps"
	"slices"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Machines stores the rented machines in groups, with one record for each group, and the catalog of
// machine types.
type Machines struct {
	*Access
	storedTypes string // JSON of the machine types last queued by StoreCatalog, without prices

	groups         []*cluster.MachineGroup
	maxGroupBytes  int // size limit of a group's record, in bytes
	minGroupNumber int // lowest number for a new group
}

// NewMachines returns the machine records of a new leader, without any machine.
func NewMachines(access *Access) *Machines {
	maxValueBytes := access.state.Config.Store.MaxValueBytes()
	return &Machines{Access: access, maxGroupBytes: storage.MaxMachineGroupBytes(maxValueBytes)}
}

// AddRented adds a machine that this leader rented, and queues the write of its record. The machine
// needs no reconciliation, as no earlier leader placed tasks on it.
func (r *Machines) AddRented(name, typeName, zone string, spot bool, rentedAt clock.Instant) *cluster.Machine {
	machine := r.state.NewMachine(name, typeName, zone, spot)
	machine.Reconciled, machine.RentedAt = true, rentedAt
	r.Record(machine, false)
	return machine
}

// AddListed adds a machine that is in the cloud's list but in no record. No leader placed tasks on the
// machine, unless machine records are unreadable and the inventory is therefore incomplete.
func (r *Machines) AddListed(host protocol.Host) *cluster.Machine {
	rentedAt := r.clock.Now() - config.Seconds(max(host.RentedSeconds, 0))
	machine := r.AddRented(host.Name, host.Type, host.Zone, host.Spot, rentedAt)
	machine.Reconciled = !r.state.InventoryIncomplete()
	return machine
}

// StoreCatalog stores the machine types, if they have changed and fit into a value, for nodes that start
// during an outage of the cloud. Price changes are frequent and do not cause a write.
func (r *Machines) StoreCatalog() {
	catalog, typesWithoutPrices := protocol.Catalog{}, []protocol.MachineType{}
	for _, name := range slices.Sorted(maps.Keys(r.state.Catalog)) {
		machineType := *r.state.Catalog[name]
		catalog.Types = append(catalog.Types, machineType)
		machineType.OnDemandPrice, machineType.SpotPrice = 0, 0
		typesWithoutPrices = append(typesWithoutPrices, machineType)
	}
	encodedTypes := string(storage.Encode(typesWithoutPrices))
	if encodedTypes == r.storedTypes || len(storage.Encode(catalog)) > r.state.Config.Store.MaxValueBytes() {
		return
	}
	r.storedTypes = encodedTypes
	r.writer.Enqueue(storage.PriorityLow, storage.Change{BuildWrites: func() []storage.Write {
		return []storage.Write{storage.Put(storage.CatalogKey, catalog)}
	}})
}

// Record queues the write of a machine's name and entry, unless they are stored or queued already. used
// marks the machine as used. The mark must be durable before the machine gets its first task.
func (r *Machines) Record(machine *cluster.Machine, used bool) {
	if machine.Group != nil && (machine.MarkedUsed || !used) {
		return
	}
	machine.MarkedUsed = used
	if machine.Group == nil {
		r.addToGroup(r.groupWithRoom(r.entryBytes(machine)), machine)
	}
	r.storeGroup(machine.Group, groupWriteNormalPriority)
}

// Remove removes a machine that certainly no longer exists, with all its attempts.
func (r *Machines) Remove(machine *cluster.Machine) {
	r.state.DeleteMachine(machine)
	if group := machine.Group; group != nil {
		r.removeFromGroup(group, machine)
		r.storeGroup(group, groupWriteLowPriority)
	}
}

// entry returns the machine's entry in the record of its group.
func (r *Machines) entry(machine *cluster.Machine) storage.MachineRecord {
	return storage.MachineRecord{
		Type: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot,
		Used: machine.MarkedUsed, RentedAtMillis: r.clock.UnixMilli(machine.RentedAt),
	}
}

// entryBytes returns the encoded size of the machine's name and entry, in bytes.
func (r *Machines) entryBytes(machine *cluster.Machine) int {
	return storage.MachineEntryBytes(machine.Name, r.entry(machine))
}

// addToGroup adds a machine to a group and to the size of the group's record.
func (r *Machines) addToGroup(group *cluster.MachineGroup, machine *cluster.Machine) {
	machine.Group = group
	group.Machines[machine.Name] = machine
	group.RecordBytes += r.entryBytes(machine)
}

// removeFromGroup removes a machine from a group and from the size of the group's record.
func (r *Machines) removeFromGroup(group *cluster.MachineGroup, machine *cluster.Machine) {
	delete(group.Machines, machine.Name)
	group.RecordBytes -= r.entryBytes(machine)
}

// groupWithRoom returns the first group with room for an entry of the given size, or else a new group.
func (r *Machines) groupWithRoom(entryBytes int) *cluster.MachineGroup {
	for _, group := range r.groups {
		if group.RecordBytes+entryBytes <= r.maxGroupBytes {
			return group
		}
	}
	return r.newGroup(r.unusedGroupKey())
}

// unusedGroupKey returns the first key, from minGroupNumber on, that belongs neither to a group nor to a
// quarantined record.
func (r *Machines) unusedGroupKey() string {
	usedKeys := map[string]bool{}
	for _, group := range r.groups {
		usedKeys[group.Key] = true
	}
	for number := r.minGroupNumber; ; number++ {
		if key := storage.MachineGroupKey(number); !usedKeys[key] && !r.quarantine.contains(key) {
			return key
		}
	}
}

// newGroup adds an empty group with the given key and returns it.
func (r *Machines) newGroup(key string) *cluster.MachineGroup {
	group := &cluster.MachineGroup{Key: key, Machines: map[string]*cluster.Machine{}}
	r.groups = append(r.groups, group)
	return group
}

// SplitOversizedGroups splits the groups whose record is too large to be written again, because
// protocol level 0 wrote larger records or the value limit of the key-value store was lowered. The
// machines are written into new groups before the old record is deleted. Until then, two records
// contain each machine. Controllers of protocol level 0 use the entry that they read last, so the new
// groups get later keys.
func (r *Machines) SplitOversizedGroups() {
	oversized, kept := r.partitionGroups()
	if len(oversized) == 0 {
		return
	}
	for _, group := range r.groups {
		r.minGroupNumber = max(r.minGroupNumber, storage.MachineGroupNumber(group.Key)+1)
	}
	r.groups = nil // so that the oversized groups' machines are assigned to new groups only
	for _, group := range oversized {
		r.moveToOtherGroups(group)
	}
	for _, group := range r.groups {
		r.storeGroup(group, groupWriteNormalPriority)
	}
	for _, group := range oversized {
		group.Machines = nil
		r.dropStoredKey(group.Key)
	}
	r.groups = append(kept, r.groups...)
}

// partitionGroups returns the groups that have several machines and whose record is too large, and the
// other groups.
func (r *Machines) partitionGroups() (oversized, kept []*cluster.MachineGroup) {
	for _, group := range r.groups {
		if group.RecordBytes > r.maxGroupBytes && len(group.Machines) > 1 {
			oversized = append(oversized, group)
		} else {
			kept = append(kept, group)
		}
	}
	return oversized, kept
}

// moveToOtherGroups adds the machines of a group to other groups, in the order of their names.
func (r *Machines) moveToOtherGroups(group *cluster.MachineGroup) {
	for _, name := range slices.Sorted(maps.Keys(group.Machines)) {
		machine := group.Machines[name]
		r.addToGroup(r.groupWithRoom(r.entryBytes(machine)), machine)
	}
}
