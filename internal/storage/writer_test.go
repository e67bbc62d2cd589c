package storage

import (
	"fmt"
	"slices"
	"testing"
)

func unit(done *int, writes ...Write) Change {
	return Change{BuildWrites: func() []Write { return writes }, OnApplied: func() { *done++ }}
}

// Transactions keep within the limit of changes and are conditioned on the
// leader key and on every key that they touch.
func TestWriterSplitsAndConditions(t *testing.T) {
	w := NewWriter(4, 77)
	w.SetModRevision("a", 5)
	done := 0
	for _, k := range []string{"a", "b", "c", "d", "e"} {
		w.Enqueue(PriorityNormal, unit(&done, Put(k, 1)))
	}
	txn := w.NextTxn(100)
	if len(txn.Writes) != 4 || len(txn.Conditions) != 5 {
		t.Fatalf("%d writes, %d conditions", len(txn.Writes), len(txn.Conditions))
	}
	want := []Condition{{LeaderKey, 77}, {"a", 5}, {"b", 0}}
	if !slices.Equal(txn.Conditions[:3], want) {
		t.Fatalf("conditions %v", txn.Conditions)
	}
	if w.NextTxn(100) != nil {
		t.Fatal("a second transaction beside the first")
	}
	w.CompleteInFlight(90)
	if done != 4 || w.ModRevision("a") != 90 {
		t.Fatalf("%d done, version %d", done, w.ModRevision("a"))
	}
	if txn = w.NextTxn(100); len(txn.Writes) != 1 {
		t.Fatalf("%d writes", len(txn.Writes))
	}
}

// Two changes of one key never share a transaction, and the second is
// conditioned on what the first left.
func TestWriterKeepsChangesOfAKeyApart(t *testing.T) {
	w := NewWriter(10, 1)
	done := 0
	w.Enqueue(PriorityNormal, unit(&done, Put("a", 1)))
	w.Enqueue(PriorityNormal, unit(&done, Delete("a")))
	if txn := w.NextTxn(100); len(txn.Writes) != 1 {
		t.Fatalf("%d writes", len(txn.Writes))
	}
	w.CompleteInFlight(8)
	if txn := w.NextTxn(100); txn.Conditions[1] != (Condition{"a", 8}) {
		t.Fatalf("conditions %v", txn.Conditions)
	}
	w.CompleteInFlight(9)
	if w.ModRevision("a") != 0 {
		t.Fatal("a dropped key has a version")
	}
}

// The budget of changes holds a unit back whole; lazy units give way.
func TestWriterBudgetAndOrder(t *testing.T) {
	w := NewWriter(10, 1)
	done := 0
	w.Enqueue(PriorityLow, unit(&done, Put("lazy", 1)))
	w.Enqueue(PriorityNormal, unit(&done, Put("x", 1), Put("y", 1)))
	if w.NextTxn(1) != nil {
		t.Fatal("half a unit")
	}
	if txn := w.NextTxn(2); len(txn.Writes) != 2 || txn.Writes[0].PutKey != "x" {
		t.Fatalf("writes %v", txn.Writes)
	}
}

// After an unclear outcome the stored value tells whether it was executed.
func TestWriterMatches(t *testing.T) {
	w := NewWriter(10, 1)
	w.SetModRevision("a", 3)
	done := 0
	w.Enqueue(PriorityNormal, unit(&done, Delete("z"), Put("a", TerminalRecord{State: "done", TaskCount: 2})))
	w.NextTxn(10)
	if w.ProbeKey() != "a" {
		t.Fatalf("probe %q", w.ProbeKey())
	}
	same := Item{Key: "a", Value: []byte(`{"tasks": 2, "state": "done", "done": 0}`), ModRevision: 9}
	if !w.MatchesProbe(&same) {
		t.Fatal("an executed transaction does not match")
	}
	old := same
	old.ModRevision = 3
	if w.MatchesProbe(&old) || w.MatchesProbe(nil) {
		t.Fatal("a transaction that was not executed matches")
	}
}

// The bitmap of the largest job is split to fit the value limit.
func TestBitsFitTheValue(t *testing.T) {
	for _, limit := range []int{512, 8 << 10, 32 << 10} {
		t.Run(fmt.Sprintf("%d bytes", limit), func(t *testing.T) {
			raw := make([]byte, TasksPerBitmapPart(limit)/8)
			if size := len(Encode(EncodeBitmap(raw))); size > limit {
				t.Fatalf("%d bytes: a part takes %d", limit, size)
			}
		})
	}
	raw := []byte{1, 0, 255}
	back, err := DecodeBitmap(EncodeBitmap(raw))
	if err != nil || string(back) != string(raw) {
		t.Fatalf("%v, %v", back, err)
	}
	for _, key := range []string{BitmapKey("j-1", 12), BitmapKeyFromTask("j-1", 1200)} {
		if id, from, ok := ParseBitmapKey(key, 100); id != "j-1" || from != 1200 || !ok {
			t.Fatalf("%s: %q %d %v", key, id, from, ok)
		}
	}
}

// Changes that have nothing left to write are completed once their queue has been gone through, the
// last one first; a change that does not fit stays queued with all behind it.
func TestWriterCompletesEmptyChanges(t *testing.T) {
	w := NewWriter(2, 1)
	var events []string
	change := func(name string, writes ...Write) Change {
		return Change{
			BuildWrites: func() []Write { events = append(events, "build "+name); return writes },
			OnSent:      func() { events = append(events, "sent "+name) },
			OnApplied:   func() { events = append(events, "applied "+name) },
		}
	}
	w.Enqueue(PriorityDependency, change("empty 1"))
	w.Enqueue(PriorityDependency, change("full 1", Put("a", 1)))
	w.Enqueue(PriorityDependency, change("empty 2"))
	w.Enqueue(PriorityNormal, change("empty 3"))
	w.Enqueue(PriorityNormal, change("too large", Put("b", 1), Put("c", 1)))
	w.Enqueue(PriorityLow, change("behind", Put("d", 1)))
	if txn := w.NextTxn(100); len(txn.Writes) != 1 {
		t.Fatalf("%d writes", len(txn.Writes))
	}
	want := []string{"build empty 1", "build full 1", "sent full 1", "build empty 2", "applied empty 2",
		"applied empty 1", "build empty 3", "build too large", "applied empty 3"}
	if !slices.Equal(events, want) {
		t.Errorf("events %q, not %q", events, want)
	}
	if pending := w.PendingChanges(); pending != 3 {
		t.Errorf("%d changes are pending, not 3", pending)
	}
}
