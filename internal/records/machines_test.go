package records

import (
	"bytes"
	"io"
	"log/slog"
	"testing"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// newTestMachineRecords returns the machine records of an empty cluster, with the given size limit of a
// group's record, and their host.
func newTestMachineRecords(maxGroupBytes int) (*Machines, *testHost) {
	host := &testHost{}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	budget := ratelimit.NewTokenBucket(0, 100)
	state := cluster.New(cluster.Options{Clock: host, Config: &config.Cluster{}, Settings: &config.Settings{}, Log: log})
	writer := NewTransactionWriter(storage.NewWriter(20, 1), host, host, log, &budget)
	quarantine := NewQuarantine(state, nil, host, &budget)
	records := NewMachines(NewAccess(state, writer, quarantine, host))
	records.maxGroupBytes = maxGroupBytes
	return records, host
}

// Guards against a task on a machine that the store does not mark as used, which a new leader would not
// reconcile: the mark counts as durable only once its write is applied.
func TestMachineRecordsMarkUseDurable(t *testing.T) {
	records, host := newTestMachineRecords(1000)
	machine := records.AddRented("m-1", "small", "zone", false, 0)
	records.Record(machine, true)
	records.writer.SendNext()
	host.expectRequests(t, 1, "POST", "/multi")
	if machine.UseDurable {
		t.Fatal("the used mark counts as durable before its write is applied")
	}
	host.respond(200, storage.TxnResponse{Revision: 5})
	if !machine.UseDurable || records.writer.PendingChanges() != 0 {
		t.Fatalf("used mark durable: %v, %d changes pending; want true and 0",
			machine.UseDurable, records.writer.PendingChanges())
	}
}

// The record of a group must be deleted when its last machine is removed. Otherwise the next leader would
// load machines that no longer exist. A group that was never stored needs no write.
func TestMachineRecordsDeleteEmptyGroup(t *testing.T) {
	records, host := newTestMachineRecords(1000)
	records.Remove(records.AddRented("m-1", "small", "zone", false, 0))
	records.writer.SendNext()
	if len(host.requests) != 0 {
		t.Fatalf("got a write for an empty group that was never stored: %s", host.last().body)
	}
	machine := records.AddRented("m-2", "small", "zone", false, 0)
	records.writer.SendNext()
	host.respond(200, storage.TxnResponse{Revision: 5})
	key := machine.Group.Key
	records.Remove(machine)
	records.writer.SendNext()
	if want := storage.Encode(storage.Delete(key)); !bytes.Contains(host.last().body, want) {
		t.Fatalf("transaction after the removal of the last machine: got %s, want it to contain %s",
			host.last().body, want)
	}
}

// Guards against machines that are in no record after a split. A group that the key-value store rejects
// must be split into groups within the size limit, and these must be written before the old record is
// deleted.
func TestMachineRecordsSplitRejectedGroup(t *testing.T) {
	records, host := newTestMachineRecords(1000)
	for _, name := range []string{"m-1", "m-2", "m-3", "m-4"} {
		records.AddRented(name, "small", "zone", false, 0)
	}
	if len(records.groups) != 1 {
		t.Fatalf("%d groups for the machines, want 1", len(records.groups))
	}
	rejected := records.groups[0]
	records.writer.SetModRevision(rejected.Key, 3)
	records.writer.SendNext()
	host.respond(400, nil)
	if len(records.groups) != 2 || rejected.Machines != nil {
		t.Fatalf("after the rejection: %d groups, %d machines left in the rejected one; want 2 and none",
			len(records.groups), len(rejected.Machines))
	}
	for _, group := range records.groups {
		if group.RecordBytes > records.maxGroupBytes || group.Key <= rejected.Key {
			t.Fatalf("group %s has %d bytes, want a later key than the rejected group and at most %d bytes",
				group.Key, group.RecordBytes, records.maxGroupBytes)
		}
	}
	records.writer.SendNext()
	if body := host.last().body; bytes.Contains(body, storage.Encode(storage.Delete(rejected.Key))) &&
		!bytes.Contains(body, []byte(records.groups[1].Key)) {
		t.Fatalf("the transaction deletes the old record without writing the last new group: %s", body)
	}
	host.respond(200, storage.TxnResponse{Revision: 8})
	if records.writer.ModRevision(rejected.Key) != 0 || records.writer.ModRevision(records.groups[0].Key) != 8 {
		t.Fatalf("old record at revision %d, new group at revision %d; want 0 and 8",
			records.writer.ModRevision(rejected.Key), records.writer.ModRevision(records.groups[0].Key))
	}
}
