package autoscaler

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// machineRentals stores the rentals that a plan contains, and then requests them from the cloud.
type machineRentals struct {
	state    *cluster.State
	cloud    *cloudCalls
	records  RecordWriter
	recovery RecoveryLimits
	machines MachineRegistry
	planning *capacityPlanning

	term           uint64           // term of the leader
	requestCounter uint64           // number in the last request ID of this term
	pending        []*pendingRental // in the order in which they were added
}

// pendingRental is a rental to which the cloud has not responded. Its request ID is stored before the
// request is sent. So no other node uses the ID for another request, and the next leader can repeat the
// request and gets the same response.
type pendingRental struct {
	protocol.RentalRequest
	durable         bool // the record of the rental is written
	inFlight        bool // the request is sent and has no response yet
	chargedMachines int  // number of machines charged to the recovery budget; 0 for a rental of an earlier leader
}

const (
	// maxPendingRentals is the number of pending rentals from which on plans add no further rentals.
	maxPendingRentals = 8
	// maxMachinesPerRental is the maximum number of machines in one rental request.
	maxMachinesPerRental = 50
)

// addStored adds a rental that an earlier leader stored and did not complete. Its request is sent
// again.
func (r *machineRentals) addStored(request protocol.RentalRequest) {
	r.pending = append(r.pending, &pendingRental{RentalRequest: request, durable: true})
}

// begin stores a rental for each offering of which the plan rents machines, within maxPendingRentals and
// the recovery budget. Its request is sent to the cloud once the record of the rental is durable.
func (r *machineRentals) begin(offerings []fleet.Offering) {
	counts := map[fleet.Offering]int{}
	var order []fleet.Offering
	for _, offering := range offerings {
		if counts[offering] == 0 {
			order = append(order, offering)
		}
		counts[offering]++
	}
	for _, offering := range order {
		if len(r.pending) >= maxPendingRentals {
			return
		}
		r.requestCounter++
		wantedCount := min(counts[offering], maxMachinesPerRental)
		allowedCount := r.recovery.AllowedOperations(recovery.RentMachine, wantedCount)
		if allowedCount == 0 {
			return
		}
		r.store(&pendingRental{chargedMachines: allowedCount, RentalRequest: protocol.RentalRequest{
			RequestID: r.currentRequestID(), Count: allowedCount,
			Type: offering.Type, Zone: offering.Zone, Spot: offering.Spot,
		}})
	}
}

// currentRequestID returns the request ID for the present value of the counter. The ID contains the
// term, so it is unique across terms.
func (r *machineRentals) currentRequestID() string {
	return "r-" + strconv.FormatUint(r.term, 10) + "-" + strconv.FormatUint(r.requestCounter, 10)
}

// store adds a rental to the pending ones and queues the write of its record.
func (r *machineRentals) store(rental *pendingRental) {
	r.pending = append(r.pending, rental)
	key := storage.RentalPrefix + rental.RequestID
	r.records.Enqueue(storage.PriorityNormal, storage.Change{
		BuildWrites: func() []storage.Write { return []storage.Write{storage.Put(key, rental.RentalRequest)} },
		OnApplied:   func() { rental.durable = true },
	})
}

// sendPending sends the durable rentals that are not in flight, within the budget of requests to the cloud.
func (r *machineRentals) sendPending() {
	for _, rental := range r.pending {
		if !rental.durable || rental.inFlight {
			continue
		}
		if !r.cloud.takeRequest() {
			return
		}
		rental.inFlight = true
		r.cloud.send("POST", "/hosts", rental.RentalRequest, func(response protocol.CloudResponse) {
			rental.inFlight = false
			r.onResponse(rental, response)
		})
	}
}

// onResponse processes the cloud's response to a rental. A rental whose outcome is unknown stays
// pending and is sent again.
func (r *machineRentals) onResponse(rental *pendingRental, response protocol.CloudResponse) {
	var rented protocol.MachineNames
	switch {
	case response.Decode(&rented):
		r.cloud.recordSuccess()
		r.addRented(rental, rented.Machines)
	case response.Status == http.StatusServiceUnavailable && strings.Contains(string(response.Body), "no capacity"):
		r.cloud.recordSuccess()
		r.state.Log.Debug("cloud has no capacity", "type", rental.Type, "zone", rental.Zone, "spot", rental.Spot)
		r.closeUnfilled(rental)
	case response.Status == http.StatusBadRequest:
		r.state.Log.Error("cloud rejected rental request as invalid",
			"request", rental.RequestID, "error", string(response.Body))
		r.closeUnfilled(rental)
	default:
		r.cloud.recordFailure(response.Status)
	}
}

// addRented adds the machines that the cloud provided and that are not known yet, and closes the
// rental. If the cloud provided fewer than requested, the offering is marked as unavailable.
func (r *machineRentals) addRented(rental *pendingRental, names []string) {
	r.state.Log.Info("machines rented", "request", rental.RequestID,
		"type", rental.Type, "zone", rental.Zone, "spot", rental.Spot,
		"requested", rental.Count, "count", len(names), "target", r.planning.targetCores)
	for _, name := range names {
		if _, removed := r.state.RemovedMachines[name]; removed || r.state.Machines[name] != nil {
			continue
		}
		r.machines.AddRentedMachine(name, &rental.RentalRequest)
	}
	r.refundUnrented(rental, len(names))
	if len(names) < rental.Count {
		r.markUnavailable(rental.offering())
	} else {
		r.planning.planner.MarkAvailable(rental.offering())
	}
	r.close(rental)
}

// closeUnfilled closes a rental for which the cloud provided no machine, and marks its offering as
// unavailable.
func (r *machineRentals) closeUnfilled(rental *pendingRental) {
	r.refundUnrented(rental, 0)
	r.markUnavailable(rental.offering())
	r.close(rental)
}

// refundUnrented refunds to the recovery budget what was charged for machines that the cloud did
// not provide. Without the refund, rental requests without effect used up the whole budget of a small
// fleet while the cloud had little capacity.
func (r *machineRentals) refundUnrented(rental *pendingRental, rentedCount int) {
	r.recovery.RefundOperations(recovery.RentMachine, rental.chargedMachines-rentedCount)
	rental.chargedMachines = 0
}

// markUnavailable excludes an offering from new rentals for some time. It makes a new plan due at once,
// which can rent another offering.
func (r *machineRentals) markUnavailable(offering fleet.Offering) {
	r.planning.planner.MarkUnavailable(offering, r.state.Clock.Now())
	r.planning.plannedAt = clock.Never
}

// close removes a rental and queues the deletion of its record. The records of its machines were queued
// earlier, and are written before the deletion.
func (r *machineRentals) close(rental *pendingRental) {
	r.pending = slices.DeleteFunc(r.pending, func(other *pendingRental) bool { return other == rental })
	key := storage.RentalPrefix + rental.RequestID
	r.records.Enqueue(storage.PriorityNormal, storage.Change{
		BuildWrites: func() []storage.Write { return []storage.Write{storage.Delete(key)} },
	})
}

// offering returns the offering that the rental requests.
func (r *pendingRental) offering() fleet.Offering {
	return fleet.Offering{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
}
