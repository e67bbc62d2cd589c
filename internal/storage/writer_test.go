package storage

import (
	"fmt"
	"slices"
	"testing"
)

// countedChange returns a change with the given writes. Its OnApplied increments *applied.
func countedChange(applied *int, writes ...Write) Change {
	return Change{BuildWrites: func() []Write { return writes }, OnApplied: func() { *applied++ }}
}

// Guards against transactions above the write limit, and against transactions without a condition on
// the leader key and on each written key: a replaced leader could then overwrite newer records.
func TestWriterLimitsAndConditionsTransactions(t *testing.T) {
	writer := NewWriter(4, 77)
	writer.SetModRevision("a", 5)
	applied := 0
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		writer.Enqueue(PriorityNormal, countedChange(&applied, Put(key, 1)))
	}
	txn := writer.NextTxn(100)
	if len(txn.Writes) != 4 || len(txn.Conditions) != 5 {
		t.Fatalf("first transaction: %d writes, %d conditions; want 4 and 5", len(txn.Writes), len(txn.Conditions))
	}
	want := []Condition{{LeaderKey, 77}, {"a", 5}, {"b", 0}}
	if !slices.Equal(txn.Conditions[:3], want) {
		t.Fatalf("conditions of the first transaction: got %v, want them to begin with %v", txn.Conditions, want)
	}
	if writer.NextTxn(100) != nil {
		t.Fatal("got a second transaction while the first is in flight")
	}
	writer.CompleteInFlight(90)
	if applied != 4 || writer.ModRevision("a") != 90 {
		t.Fatalf("%d changes applied, revision %d of key a; want 4 and 90", applied, writer.ModRevision("a"))
	}
	if txn = writer.NextTxn(100); len(txn.Writes) != 1 {
		t.Fatalf("the second transaction has %d writes, want 1", len(txn.Writes))
	}
}

// Two changes of one key must not share a transaction, and the second one must be conditioned on the
// revision that the first one produced. Otherwise the store would reject the second one as a conflict.
func TestWriterSeparatesChangesOfOneKey(t *testing.T) {
	writer := NewWriter(10, 1)
	applied := 0
	writer.Enqueue(PriorityNormal, countedChange(&applied, Put("a", 1)))
	writer.Enqueue(PriorityNormal, countedChange(&applied, Delete("a")))
	if txn := writer.NextTxn(100); len(txn.Writes) != 1 {
		t.Fatalf("the first transaction has %d writes, want 1", len(txn.Writes))
	}
	writer.CompleteInFlight(8)
	if txn := writer.NextTxn(100); txn.Conditions[1] != (Condition{"a", 8}) {
		t.Fatalf("conditions of the second transaction: got %v, want key a at revision 8", txn.Conditions)
	}
	writer.CompleteInFlight(9)
	if writer.ModRevision("a") != 0 {
		t.Fatal("key a still has a revision after its deletion, want none")
	}
}

// A change that exceeds the write budget is not sent in part, and changes of a higher priority are sent
// first, even if they were queued later.
func TestWriterBudgetAndPriority(t *testing.T) {
	writer := NewWriter(10, 1)
	applied := 0
	writer.Enqueue(PriorityLow, countedChange(&applied, Put("low", 1)))
	writer.Enqueue(PriorityNormal, countedChange(&applied, Put("x", 1), Put("y", 1)))
	if writer.NextTxn(1) != nil {
		t.Fatal("got a transaction with a budget below the writes of the first change, want none")
	}
	if txn := writer.NextTxn(2); len(txn.Writes) != 2 || txn.Writes[0].PutKey != "x" {
		t.Fatalf("writes within a budget of 2: got %v, want x and y", txn.Writes)
	}
}

// If the outcome of a transaction is unknown, the stored value shows whether it was applied. The value
// is compared as JSON, as the store may return it with other spaces and another order of fields.
func TestWriterMatchesProbe(t *testing.T) {
	writer := NewWriter(10, 1)
	writer.SetModRevision("a", 3)
	applied := 0
	writer.Enqueue(PriorityNormal,
		countedChange(&applied, Delete("z"), Put("a", TerminalRecord{State: "done", TaskCount: 2})))
	writer.NextTxn(10)
	if writer.ProbeKey() != "a" {
		t.Fatalf("probe key %q, want a", writer.ProbeKey())
	}
	appliedItem := Item{Key: "a", Value: []byte(`{"tasks": 2, "state": "done", "done": 0}`), ModRevision: 9}
	if !writer.MatchesProbe(&appliedItem) {
		t.Fatal("the item that the transaction has written does not match, want a match")
	}
	oldItem := appliedItem
	oldItem.ModRevision = 3
	if writer.MatchesProbe(&oldItem) || writer.MatchesProbe(nil) {
		t.Fatalf("match: got %v for the item from before the transaction and %v for a missing one, want neither",
			writer.MatchesProbe(&oldItem), writer.MatchesProbe(nil))
	}
}

// A part of a bitmap must stay within the value limit, as the store would reject a larger one permanently.
// Bitmaps and their keys can be decoded again.
func TestBitmapPartsFitValueLimit(t *testing.T) {
	for _, limit := range []int{512, 8 << 10, 32 << 10} {
		t.Run(fmt.Sprintf("%d bytes", limit), func(t *testing.T) {
			bits := make([]byte, TasksPerBitmapPart(limit)/8)
			if size := len(Encode(EncodeBitmap(bits))); size > limit {
				t.Fatalf("record of a bitmap part: got %d bytes, want at most the value limit %d", size, limit)
			}
		})
	}
	bits := []byte{1, 0, 255}
	decoded, err := DecodeBitmap(EncodeBitmap(bits))
	if err != nil || string(decoded) != string(bits) {
		t.Fatalf("decoded bitmap is %v, error %v; want 1, 0, 255", decoded, err)
	}
	for _, key := range []string{BitmapKey("j-1", 12), BitmapKeyFromTask("j-1", 1200)} {
		if id, firstTask, ok := ParseBitmapKey(key, 100); id != "j-1" || firstTask != 1200 || !ok {
			t.Fatalf("key %s: job %q, first task %d, ok %v; want j-1, 1200, true", key, id, firstTask, ok)
		}
	}
}

// Changes that have nothing left to write are completed after their queue was processed, the last one
// first. A change that does not fit stays queued, with all changes behind it.
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
		t.Fatalf("the transaction has %d writes, want 1", len(txn.Writes))
	}
	want := []string{"build empty 1", "build full 1", "sent full 1", "build empty 2", "applied empty 2",
		"applied empty 1", "build empty 3", "build too large", "applied empty 3"}
	if !slices.Equal(events, want) {
		t.Errorf("got events %q, want %q", events, want)
	}
	if pending := writer.PendingChanges(); pending != 3 {
		t.Errorf("%d changes are pending, want 3", pending)
	}
}
