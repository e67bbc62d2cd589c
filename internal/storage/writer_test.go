package storage

import (
	"fmt"
	"slices"
	"testing"
)

func countedChange(applied *int, writes ...Write) Change {
	return Change{BuildWrites: func() []Write { return writes }, OnApplied: func() { *applied++ }}
}

// Transactions keep within the limit of changes and are conditioned on the
// leader key and on every key that they touch.
func TestWriterLimitsAndConditionsTransactions(t *testing.T) {
	writer := NewWriter(4, 77)
	writer.SetModRevision("a", 5)
	applied := 0
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		writer.Enqueue(PriorityNormal, countedChange(&applied, Put(key, 1)))
	}
	txn := writer.NextTxn(100)
	if len(txn.Writes) != 4 || len(txn.Conditions) != 5 {
		t.Fatalf("%d writes, %d conditions", len(txn.Writes), len(txn.Conditions))
	}
	want := []Condition{{LeaderKey, 77}, {"a", 5}, {"b", 0}}
	if !slices.Equal(txn.Conditions[:3], want) {
		t.Fatalf("conditions %v", txn.Conditions)
	}
	if writer.NextTxn(100) != nil {
		t.Fatal("a second transaction beside the first")
	}
	writer.CompleteInFlight(90)
	if applied != 4 || writer.ModRevision("a") != 90 {
		t.Fatalf("%d done, version %d", applied, writer.ModRevision("a"))
	}
	if txn = writer.NextTxn(100); len(txn.Writes) != 1 {
		t.Fatalf("%d writes", len(txn.Writes))
	}
}

// Two changes of one key never share a transaction, and the second is
// conditioned on what the first left.
func TestWriterSeparatesChangesOfOneKey(t *testing.T) {
	writer := NewWriter(10, 1)
	applied := 0
	writer.Enqueue(PriorityNormal, countedChange(&applied, Put("a", 1)))
	writer.Enqueue(PriorityNormal, countedChange(&applied, Delete("a")))
	if txn := writer.NextTxn(100); len(txn.Writes) != 1 {
		t.Fatalf("%d writes", len(txn.Writes))
	}
	writer.CompleteInFlight(8)
	if txn := writer.NextTxn(100); txn.Conditions[1] != (Condition{"a", 8}) {
		t.Fatalf("conditions %v", txn.Conditions)
	}
	writer.CompleteInFlight(9)
	if writer.ModRevision("a") != 0 {
		t.Fatal("a dropped key has a version")
	}
}

// The budget of changes holds a unit back whole; lazy units give way.
func TestWriterBudgetAndPriority(t *testing.T) {
	writer := NewWriter(10, 1)
	applied := 0
	writer.Enqueue(PriorityLow, countedChange(&applied, Put("lazy", 1)))
	writer.Enqueue(PriorityNormal, countedChange(&applied, Put("x", 1), Put("y", 1)))
	if writer.NextTxn(1) != nil {
		t.Fatal("half a unit")
	}
	if txn := writer.NextTxn(2); len(txn.Writes) != 2 || txn.Writes[0].PutKey != "x" {
		t.Fatalf("writes %v", txn.Writes)
	}
}

// After an unclear outcome the stored value tells whether it was executed.
func TestWriterMatchesProbe(t *testing.T) {
	writer := NewWriter(10, 1)
	writer.SetModRevision("a", 3)
	applied := 0
	writer.Enqueue(PriorityNormal,
		countedChange(&applied, Delete("z"), Put("a", TerminalRecord{State: "done", TaskCount: 2})))
	writer.NextTxn(10)
	if writer.ProbeKey() != "a" {
		t.Fatalf("probe %q", writer.ProbeKey())
	}
	appliedItem := Item{Key: "a", Value: []byte(`{"tasks": 2, "state": "done", "done": 0}`), ModRevision: 9}
	if !writer.MatchesProbe(&appliedItem) {
		t.Fatal("an executed transaction does not match")
	}
	oldItem := appliedItem
	oldItem.ModRevision = 3
	if writer.MatchesProbe(&oldItem) || writer.MatchesProbe(nil) {
		t.Fatal("a transaction that was not executed matches")
	}
}

// The bitmap of the largest job is split to fit the value limit.
func TestBitmapPartsFitValueLimit(t *testing.T) {
	for _, limit := range []int{512, 8 << 10, 32 << 10} {
		t.Run(fmt.Sprintf("%d bytes", limit), func(t *testing.T) {
			bits := make([]byte, TasksPerBitmapPart(limit)/8)
			if size := len(Encode(EncodeBitmap(bits))); size > limit {
				t.Fatalf("%d bytes: a part takes %d", limit, size)
			}
		})
	}
	bits := []byte{1, 0, 255}
	decoded, err := DecodeBitmap(EncodeBitmap(bits))
	if err != nil || string(decoded) != string(bits) {
		t.Fatalf("%v, %v", decoded, err)
	}
	for _, key := range []string{BitmapKey("j-1", 12), BitmapKeyFromTask("j-1", 1200)} {
		if id, firstTask, ok := ParseBitmapKey(key, 100); id != "j-1" || firstTask != 1200 || !ok {
			t.Fatalf("%s: %q %d %v", key, id, firstTask, ok)
		}
	}
}

// Changes that have nothing left to write are completed once their queue has been gone through, the
// last one first; a change that does not fit stays queued with all behind it.
func TestWriterCompletesEmptyChanges(t *testing.T) {
	writer := NewWriter(2, 1)
	var events []string
	change := func(name string, writes ...Write) Change {
		return Change{
			BuildWrites: func() []Write { events = append(events, "build "+name); return writes },
			OnSent:      func() { events = append(events, "sent "+name) },
			OnApplied:   func() { events = append(events, "applied "+name) },
		}
	}
	writer.Enqueue(PriorityDependency, change("empty 1"))
	writer.Enqueue(PriorityDependency, change("full 1", Put("a", 1)))
	writer.Enqueue(PriorityDependency, change("empty 2"))
	writer.Enqueue(PriorityNormal, change("empty 3"))
	writer.Enqueue(PriorityNormal, change("too large", Put("b", 1), Put("c", 1)))
	writer.Enqueue(PriorityLow, change("behind", Put("d", 1)))
	if txn := writer.NextTxn(100); len(txn.Writes) != 1 {
		t.Fatalf("%d writes", len(txn.Writes))
	}
	want := []string{"build empty 1", "build full 1", "sent full 1", "build empty 2", "applied empty 2",
		"applied empty 1", "build empty 3", "build too large", "applied empty 3"}
	if !slices.Equal(events, want) {
		t.Errorf("events %q, not %q", events, want)
	}
	if pending := writer.PendingChanges(); pending != 3 {
		t.Errorf("%d changes are pending, not 3", pending)
	}
}
