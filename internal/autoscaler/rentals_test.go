package autoscaler

import (
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// beginDurableRental begins a rental of three machines and makes its record durable. It checks that
// the rental is not sent to the cloud before the record is durable.
func beginDurableRental(t *testing.T, a *Autoscaler, host *fakeAutoscalerHost) {
	t.Helper()
	a.rentals.begin([]fleet.Offering{spotC4, spotC4, spotC4})
	a.rentals.sendPending()
	if len(host.requests) != 0 {
		t.Fatal("the rental was sent before its record was durable")
	}
	if writes := host.applyChanges(); len(writes) != 1 || writes[0].Key() != storage.RentalPrefix+"r-7-1" {
		t.Fatalf("writes for a new rental: got %v, want only the record of rental r-7-1", writes)
	}
}

// A rental must be requested from the cloud once its record is durable, and must not be requested again
// before the response. After the response, its machines must be added and its record deleted.
func TestRentalAddsItsMachines(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	beginDurableRental(t, a, host)
	a.rentals.sendPending()
	a.rentals.sendPending()
	request := host.answer(t, 200, protocol.MachineNames{Machines: []string{"m-1", "m-2", "m-3"}})
	want := protocol.RentalRequest{RequestID: "r-7-1", Type: "c4", Zone: "a", Spot: true, Count: 3}
	if request.method != "POST" || request.path != "/hosts" || request.body != want {
		t.Errorf("rental request: got %v %v %v, want POST /hosts %v", request.method, request.path, request.body, want)
	}
	if len(host.state.Machines) != 3 || len(a.rentals.pending) != 0 || host.refunded != 0 {
		t.Errorf("after the response: %d machines, %d rentals pending, %d operations refunded; want 3, 0, 0",
			len(host.state.Machines), len(a.rentals.pending), host.refunded)
	}
	if writes := host.applyChanges(); len(writes) != 1 || writes[0].Key() != storage.RentalPrefix+"r-7-1" {
		t.Errorf("writes after the response: got %v, want only the deletion of rental r-7-1", writes)
	}
}

// A rental whose outcome is unknown must be sent again with the same request ID, and a backoff must start.
// With another ID, the cloud might rent out the machines twice.
func TestRentalWithUnknownOutcomeIsSentAgain(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	beginDurableRental(t, a, host)
	a.rentals.sendPending()
	first := host.answer(t, 0, nil)
	if !a.cloud.backingOff() || len(a.rentals.pending) != 1 {
		t.Errorf("after a rental without a response: backing off %v, want true; %d rentals pending, want 1",
			a.cloud.backingOff(), len(a.rentals.pending))
	}
	a.rentals.sendPending()
	if second := host.answer(t, 200, protocol.MachineNames{Machines: []string{"m-1", "m-2", "m-3"}}); second.body != first.body {
		t.Errorf("body of the repeated rental request: got %v, want the first one's %v", second.body, first.body)
	}
}

// Machines that the cloud did not provide must be refunded to the recovery budget, and a new plan must be
// due at once. Otherwise rental requests without effect would use up the budget while the cloud has little
// capacity.
func TestUnfilledRentalIsRefunded(t *testing.T) {
	for name, test := range map[string]struct {
		status, refunded int
		body             any
	}{
		"one machine":     {200, 2, protocol.MachineNames{Machines: []string{"m-1"}}},
		"no capacity":     {503, 3, "no capacity"},
		"invalid request": {400, 3, "unknown zone"},
	} {
		a, host := newFakeAutoscaler(t)
		beginDurableRental(t, a, host)
		a.rentals.sendPending()
		a.planning.plannedAt = host.now
		host.answer(t, test.status, test.body)
		if host.refunded != test.refunded || len(a.rentals.pending) != 0 || a.planning.plannedAt != clock.Never {
			t.Errorf("%s: %d operations refunded, want %d; %d rentals pending, want 0; last plan at %v, want never",
				name, host.refunded, test.refunded, len(a.rentals.pending), a.planning.plannedAt)
		}
	}
}

// A rental must be limited to the number of machines that the recovery allows. If the recovery allows none,
// the request ID of the rental must not be used again.
func TestRentalIsLimitedByRecovery(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	host.allowed = 0
	a.rentals.begin([]fleet.Offering{spotC4})
	if len(a.rentals.pending) != 0 || len(host.changes) != 0 {
		t.Errorf("rental not allowed by the recovery: got %d rentals pending and %d changes of records, want none",
			len(a.rentals.pending), len(host.changes))
	}
	host.allowed = 2
	a.rentals.begin([]fleet.Offering{spotC4, spotC4, spotC4})
	if len(a.rentals.pending) != 1 || a.rentals.pending[0].Count != 2 || a.rentals.pending[0].RequestID != "r-7-2" {
		t.Errorf("pending rentals: got %v, want one of 2 machines with request ID r-7-2", a.rentals.pending)
	}
}

// The backoff must double with each failed request up to one worker lease, and must be the shortest again
// after a success. Without the reset, one later failure would stop all requests to the cloud for a lease.
func TestCloudBackoff(t *testing.T) {
	a, _ := newFakeAutoscaler(t)
	for i, want := range []time.Duration{2, 4, 8, 16, 16} {
		if a.cloud.recordFailure(500); a.cloud.retryAt != want*time.Second {
			t.Errorf("failure %d: got retry at %v, want %v", i, a.cloud.retryAt, want*time.Second)
		}
	}
	a.cloud.recordSuccess()
	if a.cloud.recordFailure(500); a.cloud.retryAt != 2*time.Second {
		t.Errorf("first failure after a success: got retry at %v, want 2s", a.cloud.retryAt)
	}
}
