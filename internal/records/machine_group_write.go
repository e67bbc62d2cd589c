package records

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/storage"
)

// groupWriteUrgency says how soon a changed machine group must be written.
type groupWriteUrgency int

// Urgencies of the write of a machine group.
const (
	groupWriteLowPriority    groupWriteUrgency = iota // for removed machines
	groupWriteNormalPriority                          // for new machines, and for machines before their first task
)

// groupWrite is a queued change that stores a machine group as it is when the transaction is built.
type groupWrite struct {
	records      *Machines
	group        *cluster.MachineGroup
	urgency      groupWriteUrgency
	usedMachines []*cluster.Machine // machines that the record to be written marks as used
}

// storeGroup queues the write of a changed group, unless a queued write of at least this urgency will
// include the change.
func (r *Machines) storeGroup(group *cluster.MachineGroup, urgency groupWriteUrgency) {
	group.ChangedSinceWrite = true
	if group.NormalPriorityWriteQueued || (group.LowPriorityWriteQueued && urgency == groupWriteLowPriority) {
		return
	}
	write := &groupWrite{records: r, group: group, urgency: urgency}
	write.setQueued(true)
	r.writer.Enqueue(write.priority(), storage.Change{
		BuildWrites: write.buildWrites,
		OnSent:      write.onSent,
		OnRejected:  write.onRejected,
		OnApplied:   write.onApplied,
	})
}

// setQueued records in the group whether a write of this urgency is queued.
func (w *groupWrite) setQueued(queued bool) {
	if w.urgency == groupWriteNormalPriority {
		w.group.NormalPriorityWriteQueued = queued
	} else {
		w.group.LowPriorityWriteQueued = queued
	}
}

// priority returns the priority with which the write is queued.
func (w *groupWrite) priority() storage.Priority {
	if w.urgency == groupWriteNormalPriority {
		return storage.PriorityNormal
	}
	return storage.PriorityLow
}

// buildWrites returns the write of the group's record, or its deletion if the group is empty. It
// returns none if another write has included all changes, or if the group is empty and not stored.
func (w *groupWrite) buildWrites() []storage.Write {
	w.usedMachines = w.usedMachines[:0]
	isEmpty := len(w.group.Machines) == 0
	if !w.group.ChangedSinceWrite || (isEmpty && w.records.writer.ModRevision(w.group.Key) == 0) {
		w.setQueued(false)
		return nil
	}
	if isEmpty {
		return []storage.Write{storage.Delete(w.group.Key)}
	}
	return []storage.Write{storage.Put(w.group.Key, w.buildRecord())}
}

// buildRecord returns the group's record and notes the machines that it marks as used.
func (w *groupWrite) buildRecord() storage.MachineGroupRecord {
	record := make(storage.MachineGroupRecord, len(w.group.Machines))
	for name, machine := range w.group.Machines {
		record[name] = w.records.entry(machine)
		if machine.MarkedUsed {
			w.usedMachines = append(w.usedMachines, machine)
		}
	}
	return record
}

// onSent records that the write is no longer queued, so that later changes of the group need another.
func (w *groupWrite) onSent() {
	w.setQueued(false)
	w.group.ChangedSinceWrite = false
}

// onRejected handles the permanent rejection of a transaction with the write. If the transaction had
// other writes too, this write is queued again. If the key-value store rejects the write even alone, the
// store's value limit is lower than the settings say, so the group is split.
func (w *groupWrite) onRejected(alone bool) {
	r := w.records
	if !alone {
		r.storeGroup(w.group, w.urgency)
		return
	}
	r.maxGroupBytes = max(1, min(r.maxGroupBytes, w.group.RecordBytes)/2)
	r.SplitOversizedGroups()
	if len(w.group.Machines) > 0 {
		r.state.Log.Error("record of machine group rejected by key-value store, group can't be split",
			"group", w.group.Key)
	}
}

// onApplied marks the machines whose used mark has become durable, so that they may get tasks.
func (w *groupWrite) onApplied() {
	for _, machine := range w.usedMachines {
		if !machine.UseDurable {
			machine.UseDurable, w.records.state.SchedulingNeeded = true, true
		}
	}
}
