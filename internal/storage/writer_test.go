package storage

import "testing"

func unit(done *int, writes ...Write) Unit {
	return Unit{Build: func() []Write { return writes }, Done: func() { *done++ }}
}

// Transactions keep within the limit of changes and are conditioned on the
// leader key and on every key that they touch.
func TestWriterSplitsAndConditions(t *testing.T) {
	w := NewWriter(4, 77)
	w.Know("a", 5)
	done := 0
	for _, k := range []string{"a", "b", "c", "d", "e"} {
		w.Add(Soon, unit(&done, Set(k, 1)))
	}
	txn := w.Next(100)
	if len(txn.Writes) != 4 || len(txn.If) != 5 {
		t.Fatalf("%d writes, %d conditions", len(txn.Writes), len(txn.If))
	}
	if txn.If[0] != (Cond{LeaderKey, 77}) || txn.If[1] != (Cond{"a", 5}) || txn.If[2] != (Cond{"b", 0}) {
		t.Fatalf("conditions %v", txn.If)
	}
	if w.Next(100) != nil {
		t.Fatal("a second transaction beside the first")
	}
	w.Applied(90)
	if done != 4 || w.Version("a") != 90 {
		t.Fatalf("%d done, version %d", done, w.Version("a"))
	}
	if txn = w.Next(100); len(txn.Writes) != 1 {
		t.Fatalf("%d writes", len(txn.Writes))
	}
}

// Two changes of one key never share a transaction, and the second is
// conditioned on what the first left.
func TestWriterKeepsChangesOfAKeyApart(t *testing.T) {
	w := NewWriter(10, 1)
	done := 0
	w.Add(Soon, unit(&done, Set("a", 1)))
	w.Add(Soon, unit(&done, Drop("a")))
	if txn := w.Next(100); len(txn.Writes) != 1 {
		t.Fatalf("%d writes", len(txn.Writes))
	}
	w.Applied(8)
	if txn := w.Next(100); txn.If[1] != (Cond{"a", 8}) {
		t.Fatalf("conditions %v", txn.If)
	}
	w.Applied(9)
	if w.Version("a") != 0 {
		t.Fatal("a dropped key has a version")
	}
}

// The budget of changes holds a unit back whole; lazy units give way.
func TestWriterBudgetAndOrder(t *testing.T) {
	w := NewWriter(10, 1)
	done := 0
	w.Add(Lazy, unit(&done, Set("lazy", 1)))
	w.Add(Soon, unit(&done, Set("x", 1), Set("y", 1)))
	if w.Next(1) != nil {
		t.Fatal("half a unit")
	}
	if txn := w.Next(2); len(txn.Writes) != 2 || txn.Writes[0].Set != "x" {
		t.Fatalf("writes %v", txn.Writes)
	}
}

// After an unclear outcome the stored value tells whether it was executed.
func TestWriterMatches(t *testing.T) {
	w := NewWriter(10, 1)
	w.Know("a", 3)
	done := 0
	w.Add(Soon, unit(&done, Drop("z"), Set("a", FinalRecord{State: "done", Tasks: 2})))
	w.Next(10)
	if w.Probe() != "a" {
		t.Fatalf("probe %q", w.Probe())
	}
	same := Item{Key: "a", Value: []byte(`{"tasks": 2, "state": "done", "done": 0}`), Version: 9}
	if !w.Matches(&same) {
		t.Fatal("an executed transaction does not match")
	}
	old := same
	old.Version = 3
	if w.Matches(&old) || w.Matches(nil) {
		t.Fatal("a transaction that was not executed matches")
	}
}

// The bitmap of the largest job is split to fit the value limit.
func TestBitsFitTheValue(t *testing.T) {
	for _, limit := range []int{512, 8 << 10, 32 << 10} {
		raw := make([]byte, PartTasks(limit)/8)
		if size := len(Encode(EncodeBits(raw))); size > limit {
			t.Fatalf("%d bytes: a part takes %d", limit, size)
		}
	}
	raw := []byte{1, 0, 255}
	back, err := DecodeBits(EncodeBits(raw))
	if err != nil || string(back) != string(raw) {
		t.Fatalf("%v, %v", back, err)
	}
	for _, key := range []string{BitsKey("j-1", 12), BitsFromKey("j-1", 1200)} {
		if id, from, ok := ParseBitsKey(key, 100); id != "j-1" || from != 1200 || !ok {
			t.Fatalf("%s: %q %d %v", key, id, from, ok)
		}
	}
}
