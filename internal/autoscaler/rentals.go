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

// machineRentals stores the rentals that a plan asks for, and then requests them from the cloud.
type machineRentals struct {
	state    *cluster.State
	cloud    *cloudCalls
	records  RecordWriter
	recovery RecoveryLimits
	machines MachineRegistry
	planning *capacityPlanning

	term           uint64
	requestCounter uint64
	pending        []*pendingRental
}

// pendingRental is a rental that the cloud has not answered. Its request name is stored before the
// request is sent: no other node can use the name for another request, and the next leader can
// repeat the request and gets the same answer.
type pendingRental struct {
	protocol.RentalRequest
	durable         bool // its record is written
	inFlight        bool
	chargedMachines int // machines charged to the recovery budget
}

const (
	// maxPendingRentals bounds the pending rentals.
	maxPendingRentals = 8
	// maxMachinesPerRental bounds the machines of one request.
	maxMachinesPerRental = 50
)

// addStored adds a rental that an earlier leader stored and did not complete.
func (r *machineRentals) addStored(request protocol.RentalRequest) {
	r.pending = append(r.pending, &pendingRental{RentalRequest: request, durable: true})
}

// begin stores a rental for each offering that the plan scales out. They are sent once they are
// durable.
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

// currentRequestID returns the request name that belongs to the counter. It is unique across
// terms.
func (r *machineRentals) currentRequestID() string {
	return "r-" + strconv.FormatUint(r.term, 10) + "-" + strconv.FormatUint(r.requestCounter, 10)
}

// store adds a rental and queues the write of its record.
func (r *machineRentals) store(rental *pendingRental) {
	r.pending = append(r.pending, rental)
	key := storage.RentalPrefix + rental.RequestID
	r.records.Enqueue(storage.PriorityNormal, storage.Change{
		BuildWrites: func() []storage.Write { return []storage.Write{storage.Put(key, rental.RentalRequest)} },
		OnApplied:   func() { rental.durable = true },
	})
}

// sendPending sends the durable rentals that are not in flight, within the request budget.
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

// onResponse processes the response to a rental. A rental whose outcome is unknown stays pending
// and is sent again.
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
		r.state.Log.Error("rental rejected as malformed", "request", rental.RequestID, "error", string(response.Body))
		r.closeUnfilled(rental)
	default:
		r.cloud.recordFailure(response.Status)
	}
}

// addRented adds the machines that the cloud provided, and closes the rental.
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

// closeUnfilled closes a rental for which the cloud provided no machine.
func (r *machineRentals) closeUnfilled(rental *pendingRental) {
	r.refundUnrented(rental, 0)
	r.markUnavailable(rental.offering())
	r.close(rental)
}

// refundUnrented gives back to the recovery budget what was charged for machines that the cloud
// did not provide. Where capacity is scarce, the whole budget of a small fleet went to requests
// without effect.
func (r *machineRentals) refundUnrented(rental *pendingRental, rentedCount int) {
	r.recovery.RefundOperations(recovery.RentMachine, rental.chargedMachines-rentedCount)
	rental.chargedMachines = 0
}

// markUnavailable has an offering left out for a while, and makes a new plan due.
func (r *machineRentals) markUnavailable(offering fleet.Offering) {
	r.planning.planner.MarkUnavailable(offering, r.state.Clock.Now())
	r.planning.plannedAt = clock.Never
}

// close removes a rental and deletes its record. Its machines are stored before that.
func (r *machineRentals) close(rental *pendingRental) {
	r.pending = slices.DeleteFunc(r.pending, func(other *pendingRental) bool { return other == rental })
	key := storage.RentalPrefix + rental.RequestID
	r.records.Enqueue(storage.PriorityNormal, storage.Change{
		BuildWrites: func() []storage.Write { return []storage.Write{storage.Delete(key)} },
	})
}

// offering returns the offering that the rental asks for.
func (r *pendingRental) offering() fleet.Offering {
	return fleet.Offering{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
}
