package compatibility

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// TestStorageKeys guards against changed keys and request paths of the key-value store: a version
// with other keys would not find the records of the versions before it.
func TestStorageKeys(t *testing.T) {
	checkGolden(t, "keys.txt", []goldenLine{
		{"term", storage.TermKey},
		{"leader", storage.LeaderKey},
		{"flow", storage.ArrivalForecastKey},
		{"catalog", storage.CatalogKey},
		{"policy", storage.AdmissionPolicyKey},
		{"open job", storage.JobKey("j-1")},
		{"open jobs", storage.JobPrefix},
		{"ended job", storage.TerminalKey("j-1")},
		{"ended jobs", storage.TerminalPrefix},
		{"group 0", storage.MachineGroupKey(0)},
		{"group 12", storage.MachineGroupKey(12)},
		{"group 1234", storage.MachineGroupKey(1234)},
		{"groups", storage.MachineGroupPrefix},
		{"machine of earlier versions", storage.SingleMachinePrefix + "m-000001"},
		{"rental", storage.RentalPrefix + "r-4-17"},
		{"vote", storage.VotePrefix + "n1"},
		{"version", storage.VersionPrefix + "n1"},
		{"needs 0", storage.DependenciesKey("j-1", 0)},
		{"needs 12", storage.DependenciesKey("j-1", 12)},
		{"all needs", storage.DependenciesPrefix},
		{"bits by number", storage.BitmapKey("j-1", 0)},
		{"bits by number, 12", storage.BitmapKey("j-1", 12)},
		{"bits by first task", storage.BitmapKeyFromTask("j-1", 0)},
		{"bits by first task, 4096", storage.BitmapKeyFromTask("j-1", 4096)},
		{"all bits", storage.BitmapPrefix},
		{"list", storage.ListPath("job/", "", 500)},
		{"list from a key", storage.ListPath("job/", "job/j-1", 500)},
		{"follow", storage.WatchPath("job/", 431, 10000)},
	})
}

// TestStorageKeyParsing guards against a job, group or task that is parsed wrongly from a key,
// including the keys of earlier versions, and against changed sizes of bitmap parts and machine
// groups.
func TestStorageKeyParsing(t *testing.T) {
	var got []goldenLine
	for _, key := range []string{"job/j-1", "needs/j-1/003", "final/j-1", "leader", "jobs/j-1"} {
		got = append(got, goldenLine{key, "job " + storage.JobIDOfKey(key)})
	}
	for _, key := range []string{"needs/j-1/000", "needs/j-1/012"} {
		got = append(got, goldenLine{key, "needs of " + storage.JobIDOfDependenciesKey(key)})
	}
	for _, key := range []string{"machines/000", "machines/012", "machines/1234"} {
		got = append(got, goldenLine{key, fmt.Sprintf("group %d", storage.MachineGroupNumber(key))})
	}
	for _, key := range []string{"bits/j-1/000", "bits/j-1/002", "bits/j-1/from-000000", "bits/j-1/from-004096",
		"bits/j-1/from-x", "bits/j-1/-01", "bits/j-1"} {
		id, firstTask, ok := storage.ParseBitmapKey(key, 4000)
		got = append(got, goldenLine{key, fmt.Sprintf("job %q from task %d, %v", id, firstTask, ok)})
	}
	for _, limit := range []int{1, 1000, 8 << 10, 32 << 10} {
		got = append(got, goldenLine{fmt.Sprintf("values of %d bytes", limit),
			fmt.Sprintf("parts of %d tasks, groups of %d bytes", storage.TasksPerBitmapPart(limit),
				storage.MaxMachineGroupBytes(limit))})
	}
	checkGolden(t, "keys_read.txt", got)
}

// fullRecordCase returns the case of a stored record in which every field is set. Its line in the
// golden file is decoded by read, as the value of key.
func fullRecordCase[T any](name, key string, value T, read func(storage.Item) (T, error)) jsonCase {
	c := fullCase(name, value)
	c.decode = func(raw []byte) (any, error) { return read(storage.Item{Key: key, Value: raw}) }
	return c
}

// partialRecordCase returns the case of a stored record in which some fields may have their zero
// value, as in records of protocol level 0.
func partialRecordCase[T any](name, key string, value T, read func(storage.Item) (T, error)) jsonCase {
	c := fullRecordCase(name, key, value, read)
	c.allFieldsSet = false
	return c
}

// reencodeBitmap reads one part of a bitmap and encodes it again, so that the result can be compared
// with the record.
func reencodeBitmap(item storage.Item) (storage.BitmapRecord, error) {
	raw, err := storage.ReadBitmap(item)
	return storage.EncodeBitmap(raw), err
}

// readMachineGroup reads the record of a machine group. It returns an error if any entry is
// unreadable.
func readMachineGroup(item storage.Item) (storage.MachineGroupRecord, error) {
	record, unreadable, err := storage.ReadMachineGroup(item)
	if err == nil && len(unreadable) > 0 {
		err = fmt.Errorf("unreadable machines: %v, want none", unreadable)
	}
	return record, err
}

// TestStoredRecords guards against a changed format of stored records: a version that doesn't know
// the name of a field ignores the field's value.
func TestStoredRecords(t *testing.T) {
	machine := storage.MachineRecord{Type: "t1", Zone: "a", Spot: true, RentedAtMillis: 1_000_000_000_123, Used: true}
	share := admission.Share{Group: admission.Group{Team: "t", Class: "c", PriorityRank: 1}, Start: 5,
		Steps: []uint64{6, 7}, Demand: 8.5}
	job := minimalJob()
	job.ID = "j-77"
	checkJSONCases(t, "records.txt", []jsonCase{
		fullCase("term", storage.Term{Term: 9, Node: "n1"}),
		partialCase("term/level 0", storage.Term{Term: 9}),
		fullCase("leader", storage.Leader{Node: "n1", Term: 9}),
		fullCase("vote", storage.VoteRecord{Term: 9}),
		fullCase("version", storage.VersionRecord{Level: 1, Build: "v1"}),
		partialCase("version/no build", storage.VersionRecord{Level: 1}),
		fullRecordCase("job", storage.JobKey("j-77"),
			storage.JobRecord{Spec: fullJob(), AcceptedAtMillis: 1_000_000_000_123, DependencyRecords: 2}, storage.ReadJob),
		partialRecordCase("job/level 0", storage.JobKey("j-77"),
			storage.JobRecord{Spec: job, AcceptedAtMillis: 5}, storage.ReadJob),
		fullRecordCase("final", storage.TerminalKey("j-77"),
			storage.TerminalRecord{State: protocol.JobDone, TaskCount: 5, DoneTasks: 4, EndedAtMillis: 1_000_000_000_123},
			storage.ReadTerminal),
		partialRecordCase("final/level 0", storage.TerminalKey("j-77"),
			storage.TerminalRecord{State: protocol.JobCancelled, TaskCount: 5}, storage.ReadTerminal),
		fullRecordCase("needs", storage.DependenciesKey("j-77", 0), []string{"j-78", "j-79"}, storage.ReadDependencies),
		fullRecordCase("bits", storage.BitmapKeyFromTask("j-77", 0), storage.EncodeBitmap([]byte{1, 0, 255, 16}),
			reencodeBitmap),
		fullRecordCase("bits/by number", storage.BitmapKey("j-77", 0), storage.EncodeBitmap([]byte{7}), reencodeBitmap),
		fullRecordCase("rental", storage.RentalPrefix+"r-4-17",
			protocol.RentalRequest{RequestID: "r-4-17", Type: "t1", Zone: "a", Spot: true, Count: 12}, storage.ReadRental),
		fullCase("machine of earlier versions", machine),
		partialCase("machine/ordinary, unused", storage.MachineRecord{Type: "t1", Zone: "a", RentedAtMillis: 1}),
		fullRecordCase("group", storage.MachineGroupKey(3),
			storage.MachineGroupRecord{"m-000002": machine, "m-000001": {Type: "t2", Zone: "b", RentedAtMillis: 2}},
			readMachineGroup),
		fullCase("flow", storage.ArrivalForecastRecord{RecordedAtMillis: 1, WindowSeconds: 2.5,
			Classes: map[string]storage.ClassArrivals{
				"b": {RecentWork: 3.5, LongTermWork: 4.5, JobCount: 5.5, DueSeconds: 6.5}, "a": {}}}),
		fullCase("catalog", protocol.Catalog{Types: []protocol.MachineType{{Name: "t1", Cores: 4.5, Accelerators: 1.5,
			MemoryGB: 16.5, ImageCacheGB: 40.5, PullGBPerSecond: 0.75, OnDemandPrice: 0.375, SpotPrice: 0.125,
			BootSeconds: 45.5, Zones: []string{"a"}}}}),
		fullCase("policy", admission.Policy{Epoch: 3, EpochLengthMS: 4000, Shares: []admission.Share{share},
			DefaultShare: share}),
		partialCase("policy/no shares", admission.Policy{Epoch: 3, EpochLengthMS: 4000,
			DefaultShare: admission.FullShare(admission.Group{})}),
	})
}

// TestRecordErrors guards against an invalid record that is accepted, and against changed error
// texts, which operators see at /recovery. In a machine group, only the invalid entries are rejected.
func TestRecordErrors(t *testing.T) {
	var got []goldenLine
	addError := func(name string, err error) {
		if err == nil {
			t.Errorf("%s: got no error, want one", name)
			return
		}
		got = append(got, goldenLine{name, err.Error()})
	}
	item := func(key, raw string) storage.Item { return storage.Item{Key: key, Value: json.RawMessage(raw)} }
	encodedJob := string(storage.Encode(storage.JobRecord{Spec: fullJob()}))
	_, err := storage.ReadJob(item("job/j-77", `[]`))
	addError("job, a list", err)
	_, err = storage.ReadJob(item("job/j-78", encodedJob))
	addError("job, other key", err)
	_, err = storage.ReadJob(item("job/j-77", `{"spec":{"uid":"j-77"}}`))
	addError("job, impossible", err)
	_, err = storage.ReadJob(item("job/j-77", encodedJob[:len(encodedJob)-1]+`,"more":-1}`))
	addError("job, negative count", err)
	_, err = storage.ReadTerminal(item("final/j-1", `{"state":"queued"}`))
	addError("final", err)
	_, err = storage.ReadDependencies(item("needs/j-1/000", `{}`))
	addError("needs, no list", err)
	_, err = storage.ReadDependencies(item("needs/j-1/000", `["x"]`))
	addError("needs, no job", err)
	_, err = storage.ReadBitmap(item("bits/j-1/000", `{"b":""}`))
	addError("bits, empty", err)
	_, err = storage.ReadRental(item("rent/r-1", `{"pedido":"r-2"}`))
	addError("rental, other key", err)
	_, _, err = storage.ReadMachineGroup(item("machines/000", `[]`))
	addError("group, a list", err)
	checkGolden(t, "records_errors.txt", got)

	record, unreadable, err := storage.ReadMachineGroup(item("machines/000",
		`{"m-1":{"type":"t1","zone":"a","spot":true,"at":5,"used":true,"later":1},"m-2":7,"m-3":{"zone":"a"}}`))
	slices.Sort(unreadable)
	want := storage.MachineGroupRecord{"m-1": {Type: "t1", Zone: "a", Spot: true, RentedAtMillis: 5, Used: true}}
	if err != nil || !reflect.DeepEqual(record, want) || !reflect.DeepEqual(unreadable, []string{"m-2", "m-3"}) {
		t.Errorf("machine group: got %v, unreadable %v, error %v; want %v, unreadable [m-2 m-3]",
			record, unreadable, err, want)
	}
}

// TestJobWithManyDependencies guards against changed or unreadable records of a job whose
// dependencies exceed the size limit of a value. Such a job is stored as several records.
func TestJobWithManyDependencies(t *testing.T) {
	job := minimalJob()
	for i := range 60 {
		job.Dependencies = append(job.Dependencies, fmt.Sprintf("j-needed-%04d", i))
	}
	writes := storage.JobWrites(storage.JobRecord{Spec: job, AcceptedAtMillis: 5}, 400)
	var got []goldenLine
	for _, write := range writes {
		got = append(got, goldenLine{write.PutKey, string(write.Value)})
	}
	checkGolden(t, "records_many_needs.txt", got)
	var dependencyItems []storage.Item
	lines := readGolden(t, "records_many_needs.txt")
	for _, l := range lines[1:] {
		dependencyItems = append(dependencyItems, storage.Item{Key: l.name, Value: json.RawMessage(l.value)})
	}
	record, err := storage.ReadJob(storage.Item{Key: lines[0].name, Value: json.RawMessage(lines[0].value)})
	if err != nil || !record.RestoreDependencies(dependencyItems) ||
		!reflect.DeepEqual(record, storage.JobRecord{Spec: job, AcceptedAtMillis: 5}) {
		t.Errorf("job with many dependencies: got record %+v, error %v; want the job with all its dependencies", record, err)
	}
}
