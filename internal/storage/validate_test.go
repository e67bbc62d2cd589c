package storage

import (
	"errors"
	"testing"

	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
)

// FuzzReadRecords reads arbitrary values as each kind of record. It guards against a panic on a
// corrupt record, an error that is no RecordError with the record's key, a record read from invalid
// JSON, and a job whose id or task count changes when it is encoded and read again.
func FuzzReadRecords(f *testing.F) {
	validJob := JobRecord{Spec: protocol.Job{ID: "j-1", Class: "c", Team: "t", Kind: protocol.JobKindBatch,
		Priority: protocol.PriorityLow, TaskCount: 3, Cores: 0.5}}
	for _, seed := range [][]byte{
		Encode(validJob), Encode(TerminalRecord{State: protocol.JobDone, TaskCount: 3}), Encode([]string{"j-2", "j-3"}),
		Encode(EncodeBitmap([]byte{5})), Encode(MachineGroupRecord{"m-1": {Type: "c4"}}),
		Encode(protocol.RentalRequest{RequestID: "r-1-1", Count: 2}),
		nil, []byte(`null`), []byte(`{}`), []byte(`[]`), []byte(`"x"`), []byte(`{"b":"%"}`), []byte(`{"m-1":7}`),
		[]byte(`{"spec":{"uid":"j-1","pecas":-1}}`), []byte(`{"state":`),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		check := func(item Item, record any, err error) {
			var recordError *RecordError
			switch {
			case err != nil && (!errors.As(err, &recordError) || recordError.Key != item.Key):
				t.Fatalf("%s: got error %v, want a RecordError with this key", item.Key, err)
			case err == nil && !json.Valid(value):
				t.Fatalf("%s: invalid JSON %q was read as %+v without an error", item.Key, value, record)
			}
		}
		newItem := func(key string) Item { return Item{Key: key, Value: value} }
		job, err := ReadJob(newItem(JobKey("j-1")))
		check(newItem(JobKey("j-1")), job, err)
		if err == nil {
			reread, err := ReadJob(Item{Key: JobKey("j-1"), Value: Encode(job)})
			if err != nil || reread.Spec.ID != "j-1" || reread.Spec.TaskCount != job.Spec.TaskCount {
				t.Fatalf("%+v was encoded and read again as %+v, error %v", job, reread, err)
			}
		}
		terminal, err := ReadTerminal(newItem(TerminalKey("j-1")))
		check(newItem(TerminalKey("j-1")), terminal, err)
		dependencies, err := ReadDependencies(newItem(DependenciesKey("j-1", 0)))
		check(newItem(DependenciesKey("j-1", 0)), dependencies, err)
		bits, err := ReadBitmap(newItem(BitmapKey("j-1", 0)))
		check(newItem(BitmapKey("j-1", 0)), bits, err)
		group, unreadable, err := ReadMachineGroup(newItem(MachineGroupKey(0)))
		check(newItem(MachineGroupKey(0)), group, err)
		for _, name := range unreadable {
			if _, readable := group[name]; readable {
				t.Fatalf("entry of machine %s is reported as both readable and unreadable", name)
			}
		}
		rental, err := ReadRental(newItem(RentalPrefix + "r-1-1"))
		check(newItem(RentalPrefix+"r-1-1"), rental, err)
	})
}
