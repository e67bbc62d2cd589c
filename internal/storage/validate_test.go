package storage

import (
	"errors"
	"testing"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
)

// FuzzReadRecords reads any value as each kind of record. None panics; what can't be used is a
// RecordError that names its key, and what can be is a record that reads the same once it is
// written again.
func FuzzReadRecords(f *testing.F) {
	job := JobRecord{Spec: protocol.Job{ID: "j-1", Class: "c", Team: "t", Kind: protocol.JobKindBatch,
		Priority: protocol.PriorityLow, TaskCount: 3, Cores: 0.5}}
	for _, seed := range [][]byte{
		Encode(job), Encode(TerminalRecord{State: protocol.JobDone, TaskCount: 3}), Encode([]string{"j-2", "j-3"}),
		Encode(EncodeBitmap([]byte{5})), Encode(MachineGroupRecord{"m-1": {Type: "c4"}}),
		Encode(protocol.RentalRequest{RequestID: "r-1-1", Count: 2}),
		nil, []byte(`null`), []byte(`{}`), []byte(`[]`), []byte(`"x"`), []byte(`{"b":"%"}`), []byte(`{"m-1":7}`),
		[]byte(`{"spec":{"uid":"j-1","pecas":-1}}`), []byte(`{"state":`),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		check := func(it Item, record any, err error) {
			var of *RecordError
			switch {
			case err != nil && (!errors.As(err, &of) || of.Key != it.Key):
				t.Fatalf("%s: %v", it.Key, err)
			case err == nil && !json.Valid(value):
				t.Fatalf("%s: %q is read as %+v", it.Key, value, record)
			}
		}
		item := func(key string) Item { return Item{Key: key, Value: value} }
		rec, err := ReadJob(item(JobKey("j-1")))
		check(item(JobKey("j-1")), rec, err)
		if err == nil {
			again, err := ReadJob(Item{Key: JobKey("j-1"), Value: Encode(rec)})
			if err != nil || again.Spec.ID != "j-1" || again.Spec.TaskCount != rec.Spec.TaskCount {
				t.Fatalf("%+v is read again as %+v, %v", rec, again, err)
			}
		}
		final, err := ReadTerminal(item(TerminalKey("j-1")))
		check(item(TerminalKey("j-1")), final, err)
		needs, err := ReadDependencies(item(DependenciesKey("j-1", 0)))
		check(item(DependenciesKey("j-1", 0)), needs, err)
		bits, err := ReadBitmap(item(BitmapKey("j-1", 0)))
		check(item(BitmapKey("j-1", 0)), bits, err)
		group, unreadable, err := ReadMachineGroup(item(MachineGroupKey(0)))
		check(item(MachineGroupKey(0)), group, err)
		for _, name := range unreadable {
			if _, read := group[name]; read {
				t.Fatalf("%s is both readable and not", name)
			}
		}
		rental, err := ReadRental(item(RentalPrefix + "r-1-1"))
		check(item(RentalPrefix+"r-1-1"), rental, err)
	})
}
