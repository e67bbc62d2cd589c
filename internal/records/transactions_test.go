package records

import (
	"io"
	"log/slog"
	"slices"
	"testing"

	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// newTestWriter returns a transaction writer with a budget of tokens and a queued write of each key.
func newTestWriter(tokens float64, keys ...string) (*TransactionWriter, *testHost, *[]string) {
	host, applied := &testHost{}, &[]string{}
	budget := ratelimit.NewTokenBucket(0, tokens)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	writer := NewTransactionWriter(storage.NewWriter(10, 1), host, host, log, &budget)
	for _, key := range keys {
		writer.Enqueue(storage.PriorityNormal, storage.Change{
			BuildWrites: func() []storage.Write { return []storage.Write{storage.Put(key, 1)} },
			OnApplied:   func() { *applied = append(*applied, key) },
		})
	}
	return writer, host, applied
}

// Only one transaction is in flight, and none exceeds the write budget.
func TestTransactionWriterOneInFlightWithinBudget(t *testing.T) {
	writer, host, applied := newTestWriter(3, "a", "b", "c", "d")
	writer.SendNext()
	writer.SendNext()
	host.expectRequests(t, 1, "POST", "/multi")
	if writer.InFlightWrites() != 3 || writer.budget.Tokens != 0 {
		t.Fatalf("%d writes in flight, %v tokens left", writer.InFlightWrites(), writer.budget.Tokens)
	}
	host.respond(200, storage.TxnResponse{Revision: 7})
	host.expectRequests(t, 1, "POST", "/multi")
	if !slices.Equal(*applied, []string{"a", "b", "c"}) || writer.ModRevision("a") != 7 {
		t.Fatalf("applied %v, revision %d", *applied, writer.ModRevision("a"))
	}
	writer.budget.Tokens = 1
	writer.SendNext()
	host.expectRequests(t, 2, "POST", "/multi")
}

// A transaction without a usable response is sent again after a delay, byte for byte the same.
func TestTransactionWriterRetriesUnchanged(t *testing.T) {
	writer, host, applied := newTestWriter(5, "a")
	writer.SendNext()
	first := host.last().body
	host.respond(503, nil)
	if len(host.delayedCalls) != 1 || host.delayedCalls[0].delay != retryDelay(host) || writer.OutcomeUnknown() {
		t.Fatalf("delayed calls %v, outcome unknown %v", host.delayedCalls, writer.OutcomeUnknown())
	}
	host.delayedCalls[0].run()
	host.expectRequests(t, 2, "POST", "/multi")
	if string(host.last().body) != string(first) {
		t.Fatalf("sent again as %s, first %s", host.last().body, first)
	}
	host.respond(200, storage.TxnResponse{Revision: 3})
	if !slices.Equal(*applied, []string{"a"}) {
		t.Fatalf("applied %v", *applied)
	}
}

// A conflict ends the term, unless an earlier copy of the transaction was executed.
func TestTransactionWriterResolvesConflict(t *testing.T) {
	cases := []struct {
		name          string
		firstStatus   int // of the first attempt; 0: no response, so that the outcome is unclear
		storedAt      uint64
		wantStepDowns int
		wantApplied   int
	}{
		{"conflict at once", 409, 0, 1, 0},
		{"earlier copy executed", 0, 9, 0, 1},
		{"earlier copy not executed", 0, 0, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			writer, host, applied := newTestWriter(5, "a")
			writer.SendNext()
			host.respond(c.firstStatus, nil)
			if c.firstStatus == 0 {
				host.delayedCalls[0].run()
				host.respond(409, nil)
				host.expectRequests(t, 3, "GET", "/store/a")
				writer.SendNext()
				host.expectRequests(t, 3, "GET", "/store/a")
				respondWithStored(host, c.storedAt)
			}
			if len(host.stepDowns) != c.wantStepDowns || len(*applied) != c.wantApplied {
				t.Fatalf("step downs %v, applied %v", host.stepDowns, *applied)
			}
		})
	}
}

// respondWithStored answers the read of key a: the value 1 stored at a revision, or 0 for its absence.
func respondWithStored(host *testHost, revision uint64) {
	if revision == 0 {
		host.respond(404, nil)
		return
	}
	host.respond(200, storage.Item{Key: "a", Value: []byte("1"), ModRevision: revision})
}

// A read of the outcome that fails is repeated, and no other transaction is sent meanwhile.
func TestTransactionWriterRepeatsFailedOutcomeRead(t *testing.T) {
	writer, host, applied := newTestWriter(5, "a")
	writer.SendNext()
	host.respond(504, nil)
	host.delayedCalls[0].run()
	host.respond(400, nil)
	host.expectRequests(t, 3, "GET", "/store/a")
	host.respond(503, nil)
	writer.SendNext()
	host.expectRequests(t, 3, "GET", "/store/a")
	host.delayedCalls[1].run()
	host.expectRequests(t, 4, "GET", "/store/a")
	respondWithStored(host, 4)
	if !slices.Equal(*applied, []string{"a"}) || len(host.stepDowns) != 0 {
		t.Fatalf("applied %v, step downs %v", *applied, host.stepDowns)
	}
}

// A transaction that the key-value store rejects as invalid is split; a single write is abandoned.
func TestTransactionWriterSplitsRejectedTransaction(t *testing.T) {
	writer, host, applied := newTestWriter(20, "a", "b", "c", "d")
	writer.SendNext()
	host.respond(400, nil)
	writer.SendNext()
	if writer.InFlightWrites() >= 4 {
		t.Fatalf("%d writes in flight after a rejection of 4", writer.InFlightWrites())
	}
	for writer.InFlight() {
		host.respond(400, nil)
		writer.SendNext()
	}
	if writer.PendingChanges() != 0 || len(*applied) != 0 || len(host.stepDowns) != 0 {
		t.Fatalf("%d changes pending, applied %v, step downs %v", writer.PendingChanges(), *applied, host.stepDowns)
	}
}
