package autoscaler

import (
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// beginDurableRental begins a rental of three machines and makes its record durable.
func beginDurableRental(t *testing.T, a *Autoscaler, host *fakeAutoscalerHost) {
	t.Helper()
	a.rentals.begin([]fleet.Offering{spotC4, spotC4, spotC4})
	a.rentals.sendPending()
	if len(host.requests) != 0 {
		t.Fatal("sent before its record is durable")
	}
	if writes := host.applyChanges(); len(writes) != 1 || writes[0].Key() != storage.RentalPrefix+"r-7-1" {
		t.Fatalf("written: %v", writes)
	}
}

// A rental is requested once its record is durable, adds its machines, and is then deleted.
func TestRentalAddsItsMachines(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	beginDurableRental(t, a, host)
	a.rentals.sendPending()
	a.rentals.sendPending()
	request := host.answer(t, 200, protocol.MachineNames{Machines: []string{"m-1", "m-2", "m-3"}})
	want := protocol.RentalRequest{RequestID: "r-7-1", Type: "c4", Zone: "a", Spot: true, Count: 3}
	if request.method != "POST" || request.path != "/hosts" || request.body != want {
		t.Errorf("requested %v %v %v", request.method, request.path, request.body)
	}
	if len(host.state.Machines) != 3 || len(a.rentals.pending) != 0 || host.refunded != 0 {
		t.Errorf("%d machines, %d rentals pending, %d refunded", len(host.state.Machines), len(a.rentals.pending), host.refunded)
	}
	if writes := host.applyChanges(); len(writes) != 1 || writes[0].Key() != storage.RentalPrefix+"r-7-1" {
		t.Errorf("written at the end: %v", writes)
	}
}

// A rental whose outcome is unknown is sent again under the same name, after a backoff.
func TestRentalWithUnknownOutcomeIsSentAgain(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	beginDurableRental(t, a, host)
	a.rentals.sendPending()
	first := host.answer(t, 0, nil)
	if !a.cloud.backingOff() || len(a.rentals.pending) != 1 {
		t.Errorf("backs off: %v, pending: %d", a.cloud.backingOff(), len(a.rentals.pending))
	}
	a.rentals.sendPending()
	if second := host.answer(t, 200, protocol.MachineNames{Machines: []string{"m-1", "m-2", "m-3"}}); second.body != first.body {
		t.Errorf("sent first %v, then %v", first.body, second.body)
	}
}

// Machines that the cloud did not provide go back to the recovery budget, and a new plan without
// the offering is due.
func TestUnfilledRentalIsRefunded(t *testing.T) {
	for name, test := range map[string]struct {
		status, refunded int
		body             any
	}{
		"one machine":  {200, 2, protocol.MachineNames{Machines: []string{"m-1"}}},
		"no capacity":  {503, 3, "no capacity"},
		"not accepted": {400, 3, "unknown zone"},
	} {
		a, host := newFakeAutoscaler(t)
		beginDurableRental(t, a, host)
		a.rentals.sendPending()
		a.planning.plannedAt = host.now
		host.answer(t, test.status, test.body)
		if host.refunded != test.refunded || len(a.rentals.pending) != 0 || a.planning.plannedAt != clock.Never {
			t.Errorf("%s: %d refunded, %d pending, planned at %v", name, host.refunded, len(a.rentals.pending), a.planning.plannedAt)
		}
	}
}

// A rental is limited to what the recovery allows, and its number is not used again.
func TestRentalIsLimitedByRecovery(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	host.allowed = 0
	a.rentals.begin([]fleet.Offering{spotC4})
	if len(a.rentals.pending) != 0 || len(host.changes) != 0 {
		t.Error("a rental began that the recovery does not allow")
	}
	host.allowed = 2
	a.rentals.begin([]fleet.Offering{spotC4, spotC4, spotC4})
	if len(a.rentals.pending) != 1 || a.rentals.pending[0].Count != 2 || a.rentals.pending[0].RequestID != "r-7-2" {
		t.Errorf("pending: %v", a.rentals.pending)
	}
}

// The backoff doubles with each failed call up to a lease, and begins anew after a success.
func TestCloudBackoff(t *testing.T) {
	a, _ := newFakeAutoscaler(t)
	for i, want := range []time.Duration{2, 4, 8, 16, 16} {
		if a.cloud.recordFailure(500); a.cloud.retryAt != want*time.Second {
			t.Errorf("failure %d: retry at %v", i, a.cloud.retryAt)
		}
	}
	a.cloud.recordSuccess()
	if a.cloud.recordFailure(500); a.cloud.retryAt != 2*time.Second {
		t.Errorf("retry at %v after a success", a.cloud.retryAt)
	}
}
