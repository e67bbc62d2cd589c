package records

import (
	"io"
	"log/slog"
	"slices"
	"testing"

	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// newTestWriter returns a transaction writer with a budget of tokens and a queued write of each key, its
// host and the keys whose writes were applied.
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

// Guards against several transactions in flight, and against a transaction above the write budget.
func TestTransactionWriterOneInFlightWithinBudget(t *testing.T) {
	writer, host, applied := newTestWriter(3, "a", "b", "c", "d")
	writer.SendNext()
	writer.SendNext()
	host.expectRequests(t, 1, "POST", "/multi")
	if writer.InFlightWrites() != 3 || writer.budget.Tokens != 0 {
		t.Fatalf("%d writes in flight, %v tokens left; want 3 and 0", writer.InFlightWrites(), writer.budget.Tokens)
	}
	host.respond(200, storage.TxnResponse{Revision: 7})
	host.expectRequests(t, 1, "POST", "/multi")
	if !slices.Equal(*applied, []string{"a", "b", "c"}) || writer.ModRevision("a") != 7 {
		t.Fatalf("applied keys %v, key a at revision %d; want a, b, c and 7", *applied, writer.ModRevision("a"))
	}
	writer.budget.Tokens = 1
	writer.SendNext()
	host.expectRequests(t, 2, "POST", "/multi")
}

// A transaction without a usable response is sent again after a delay, byte for byte the same, so that
// the conditions let only one of the attempts succeed.
func TestTransactionWriterRetriesUnchanged(t *testing.T) {
	writer, host, applied := newTestWriter(5, "a")
	writer.SendNext()
	first := host.last().body
	host.respond(503, nil)
	if len(host.delayedCalls) != 1 || host.delayedCalls[0].delay != retryDelay(host) || writer.OutcomeUnknown() {
		t.Fatalf("delayed calls %v, outcome unknown: %v; want one retry and false",
			host.delayedCalls, writer.OutcomeUnknown())
	}
	host.delayedCalls[0].run()
	host.expectRequests(t, 2, "POST", "/multi")
	if string(host.last().body) != string(first) {
		t.Fatalf("transaction sent again as %s, want the first attempt %s", host.last().body, first)
	}
	host.respond(200, storage.TxnResponse{Revision: 3})
	if !slices.Equal(*applied, []string{"a"}) {
		t.Fatalf("keys applied after the retry: got %v, want a", *applied)
	}
}

// Guards against stepping down because of the leader's own write: a conflict ends the term, unless an
// earlier attempt with an unknown outcome was applied.
func TestTransactionWriterResolvesConflict(t *testing.T) {
	cases := []struct {
		name          string
		firstStatus   int    // status of the first attempt; 0 is no response, so that the outcome is unknown
		storedAt      uint64 // revision of the stored key; 0 if it does not exist
		wantStepDowns int
		wantApplied   int
	}{
		{"conflict at once", 409, 0, 1, 0},
		{"earlier attempt applied", 0, 9, 0, 1},
		{"earlier attempt not applied", 0, 0, 1, 0},
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
				t.Fatalf("stepped down for %v, applied %v; want %d step-downs, %d applied",
					host.stepDowns, *applied, c.wantStepDowns, c.wantApplied)
			}
		})
	}
}

// respondWithStored responds to the read of key a with the value 1 at a revision. With revision 0, the
// key does not exist.
func respondWithStored(host *testHost, revision uint64) {
	if revision == 0 {
		host.respond(404, nil)
		return
	}
	host.respond(200, storage.Item{Key: "a", Value: []byte("1"), ModRevision: revision})
}

// A failed read of the outcome must be repeated. Until it succeeds, no other transaction may be sent, as
// the conditions of that transaction could contain outdated revisions.
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
		t.Fatalf("applied %v, stepped down for %v; want a and none", *applied, host.stepDowns)
	}
}

// Guards against a leader that repeats a transaction above the store's limits forever, or steps down for
// it: a transaction rejected as invalid is split, and a single rejected write is abandoned.
func TestTransactionWriterSplitsRejectedTransaction(t *testing.T) {
	writer, host, applied := newTestWriter(20, "a", "b", "c", "d")
	writer.SendNext()
	host.respond(400, nil)
	writer.SendNext()
	if writer.InFlightWrites() >= 4 {
		t.Fatalf("%d writes in flight after a rejection of 4, want fewer", writer.InFlightWrites())
	}
	for writer.InFlight() {
		host.respond(400, nil)
		writer.SendNext()
	}
	if writer.PendingChanges() != 0 || len(*applied) != 0 || len(host.stepDowns) != 0 {
		t.Fatalf("%d changes pending, applied %v, stepped down for %v; want none",
			writer.PendingChanges(), *applied, host.stepDowns)
	}
}
