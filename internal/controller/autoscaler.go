package controller

import (
	"slices"
	"strings"
	"time"

	"hitchdoor/internal/cluster"

	"hitchdoor/internal/clock"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// autoscaler rents machines from the cloud and returns them: it has a capacity plan made at
// regular intervals and carries it out.
type autoscaler struct {
	leader *leader

	requestCounter      uint64
	pendingRentals      []*pendingRental
	retryAt             clock.Instant // end of the backoff after a failed call to the cloud
	consecutiveFailures int           // of calls to the cloud

	listStartedAt clock.Instant
	listing       bool
	listedNames   map[string]bool
	plannedAt     clock.Instant
	nextReturnAt  clock.Instant

	forecast          *fleet.Forecast
	planner           *fleet.Planner
	forecastSavedAt   clock.Instant // when the forecast was last stored
	storedForecastAt  clock.Instant // time of the stored forecast that was restored; never: there was none
	planLoggedAt      clock.Instant
	costsCountedAt    clock.Instant
	costs             costBreakdown
	targetCores       float64 // cores to hold
	slosAllowQueueing bool    // all SLOs on starting leave the time to boot a machine
}

// pendingRental is a rental that the cloud has not answered. Its request name is stored before the
// request is sent: no other node can use the name for another request, and the next leader can
// repeat the request and gets the same answer.
type pendingRental struct {
	protocol.RentalRequest
	finishDurable, inFlight bool
	chargedMachines         int // machines charged to the recovery budget
}

// Defaults of fleet.Settings.CostSensitivity.
const (
	// startSLOCostSensitivity applies if some SLO on starting is so short that only machines that
	// are up already can meet it.
	startSLOCostSensitivity = 0.3
	// defaultCostSensitivity applies otherwise.
	defaultCostSensitivity = 2
)

// init prepares the autoscaler of a new leader.
func (a *autoscaler) init(l *leader) {
	a.leader = l
	costSensitivity := float64(defaultCostSensitivity)
	a.slosAllowQueueing = true
	for _, objective := range l.node.cfg.Cluster.Objectives {
		if (objective.Kind == "wait" || objective.Kind == "guarantee") && l.TooSoonToScaleOut(config.Seconds(objective.WithinS)) {
			costSensitivity, a.slosAllowQueueing = startSLOCostSensitivity, false
		}
	}
	if override := l.node.settings.CostSensitivity; override != nil {
		costSensitivity = *override
	}
	a.planner = fleet.NewPlanner(fleet.Settings{Headroom: l.node.settings.Headroom, CostSensitivity: costSensitivity, Lease: l.node.workerLease()})
	a.forecast = fleet.NewForecast(l.node.workerLease())
	a.listStartedAt, a.plannedAt, a.retryAt, a.nextReturnAt, a.planLoggedAt, a.forecastSavedAt = clock.Never, clock.Never, clock.Never, clock.Never, clock.Never, a.leader.node.now
	a.storedForecastAt = clock.Never
}

// listLag returns the time by which the machine list of the cloud may be outdated.
func (a *autoscaler) listLag() time.Duration {
	return config.Seconds(a.leader.node.cfg.Cluster.Cloud.ListLagS)
}

// tick makes a new plan if one is due and sends the requests to the cloud that may be sent now.
func (a *autoscaler) tick() {
	l, now := a.leader, a.leader.node.now
	if now >= a.plannedAt+l.node.heartbeatInterval()/2 {
		a.plannedAt = now
		l.ReleaseUndelivered()
		a.drainUnresponsive()
		if l.node.catalog != nil {
			a.applyPlan()
		}
		a.saveForecast()
	}
	if now < a.retryAt {
		return
	}
	if a.returnDrainedMachines() {
		// Returns go first: they end costs, and they unblock jobs after a takeover. Rentals are
		// repeated for as long as the cloud lacks capacity and must not use up the call budget.
		if l.mayScaleOut() {
			a.sendRentals()
		}
		a.listMachines()
	}
}

// recordCallFailure backs off after a call that the cloud did not answer or refused.
func (a *autoscaler) recordCallFailure(status int) {
	l := a.leader
	a.consecutiveFailures = min(a.consecutiveFailures+1, 4)
	a.retryAt = l.node.now + (l.node.workerLease()/16)<<a.consecutiveFailures
	l.node.log.Debug("cloud request failed", "status", status)
}

// drainUnresponsive drains machines that miss heartbeats, never reported, or run slowly.
func (a *autoscaler) drainUnresponsive() {
	l, now := a.leader, a.leader.node.now
	heartbeatOverdue := func(m *cluster.Machine) bool { return l.mayReturnUnresponsive(m, now-l.SilentSince(m)) }
	expectedCount, missedCount := 0, 0
	// After a takeover, machines that were used before are expected to report too.
	expectedToReport := func(m *cluster.Machine) bool { return m.Up || (m.UseDurable && m.LastHeartbeat == clock.Never) }
	for _, m := range l.Machines {
		if expectedToReport(m) {
			expectedCount++
			// Two missed heartbeats count here although they do not cause a drain yet. When
			// the leader itself is partitioned from its workers, the machines that reported
			// first would otherwise be returned before it shows that most are missing.
			if heartbeatOverdue(m) || now-l.SilentSince(m) > 2*l.node.heartbeatInterval() {
				missedCount++
			}
		}
	}
	for _, m := range l.MachinesByName() {
		l.DrainIfSlow(m)
		switch {
		case expectedToReport(m) && heartbeatOverdue(m) && 2*missedCount <= expectedCount:
			// Its return ends its tasks for certain, and sooner than its lease does.
			l.BeginDrain(m, cluster.HeartbeatMissed)
		case !m.Up && m.LastHeartbeat == clock.Never:
			bootLimit := l.node.workerLease()
			if m.MachineType != nil {
				bootLimit += config.Seconds(3 * m.MachineType.BootSeconds)
			}
			if now-m.RentedAt > bootLimit && now-l.StartedAt > l.node.workerLease() {
				l.BeginDrain(m, cluster.NeverReported)
			}
		}
	}
}

// returnDrainedMachines returns the machines whose drain is complete. It reports whether the call
// budget sufficed, so that other calls may follow.
func (a *autoscaler) returnDrainedMachines() bool {
	l, node := a.leader, a.leader.node
	if node.now < a.nextReturnAt {
		return true
	}
	a.nextReturnAt = node.now + node.heartbeatInterval()/cluster.LeaseChecksPerHeartbeat
	var names []string
	for _, m := range l.MachinesByName() {
		if m.DrainReason == cluster.SurplusCapacity && (node.now-m.RentedAt < minBilledTime ||
			node.now-m.SurplusSince < config.Seconds(node.settings.IdleRetention*m.MachineType.BootSeconds)) {
			continue // already billed, or work may return sooner than a new machine would boot
		}
		if m.Draining && !m.Terminating && len(names) < 100 &&
			(m.MayForceReturn() || (len(m.Attempts) == 0 && m.RetainedResults == 0 && m.UnknownTasks == 0)) {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 {
		return true
	}
	if !node.cloudBudget.Take(node.now, 1) {
		a.nextReturnAt = clock.Never
		return false
	}
	a.nextReturnAt = node.now + node.heartbeatInterval()/4
	if names = names[:l.allowedOperations(recovery.ReturnMachine, len(names))]; len(names) == 0 {
		node.cloudBudget.Tokens++ // no call is made, so its token goes back
		return true
	}
	for _, name := range names {
		l.Machines[name].Terminating, l.Machines[name].TerminationRequested = true, true
	}
	node.callService(TargetCloud, "POST", "/hosts/return", protocol.MachineNames{Machines: names}, node.workerLease()/4, func(result CallResult) {
		if node.leader != l {
			return
		}
		for _, name := range names {
			m := l.Machines[name]
			if m == nil {
				continue
			}
			if result.Status == 200 {
				node.log.Info("machine returned", "machine", name, "reason", m.DrainReason, "type", m.TypeName, "spot", m.Spot)
				l.removeMachine(m)
			} else {
				m.Terminating = false // it goes on draining, as a late copy of the request may return it
			}
		}
		if result.Status == 200 {
			a.consecutiveFailures = 0
		} else {
			a.recordCallFailure(result.Status)
		}
	})
	return true
}

// listMachines reads the machine list of the cloud, page by page.
func (a *autoscaler) listMachines() {
	l, node := a.leader, a.leader.node
	if a.listing || node.now < a.listStartedAt+a.listLag() || !node.cloudBudget.Take(node.now, 1) {
		return
	}
	a.listing, a.listStartedAt, a.listedNames = true, node.now, map[string]bool{}
	requestedAt := node.now
	var fetchPage func(afterUID string)
	fetchPage = func(afterUID string) {
		node.callService(TargetCloud, "GET", "/hosts?limit=500&since="+afterUID, nil, node.workerLease()/4, func(result CallResult) {
			if node.leader != l {
				return
			}
			var page protocol.HostPage
			if result.Status != 200 || json.Unmarshal(result.Body, &page) != nil {
				a.listing = false
				a.recordCallFailure(result.Status)
				return
			}
			a.consecutiveFailures = 0
			for _, host := range page.Machines {
				a.recordListedHost(host)
			}
			if page.Truncated {
				fetchPage(page.Machines[len(page.Machines)-1].Name)
				return
			}
			a.listing = false
			a.drainUnlisted(requestedAt)
		})
	}
	fetchPage("")
}

// recordListedHost adds a listed machine that is unknown, and drains one that is listed as failed.
func (a *autoscaler) recordListedHost(host protocol.Host) {
	l := a.leader
	a.listedNames[host.Name] = true
	if _, removed := l.RemovedMachines[host.Name]; removed {
		return
	}
	m := l.Machines[host.Name]
	if m == nil {
		m = l.addListedMachine(host)
		l.node.log.Info("cloud lists unknown machine", "machine", m.Name, "state", host.State)
	}
	if host.State == protocol.HostFailed && !m.ListedAsFailed && l.node.now-m.LastHeartbeat > 2*l.node.heartbeatInterval() {
		// A machine that sends heartbeats has not failed, whatever the list says. Its return
		// would kill all tasks on it.
		m.ListedAsFailed = true
		l.BeginDrain(m, cluster.InstanceFailed)
	}
}

// drainUnlisted drains the machines that are missing from a list which was requested at
// requestedAt. Lists lag, so only machines that are old enough and silent count, and the call that
// returns them settles it.
func (a *autoscaler) drainUnlisted(requestedAt clock.Instant) {
	l := a.leader
	for _, m := range l.MachinesByName() {
		if !a.listedNames[m.Name] && requestedAt-m.RentedAt > 4*a.listLag() && requestedAt-l.SilentSince(m) > l.node.workerLease()/2 {
			l.BeginDrain(m, cluster.NotListed)
		}
	}
}

// minBilledTime is the shortest time that the cloud bills.
const minBilledTime = 60 * time.Second

// beginRentals stores a rental for each offering that the plan scales out. They are sent once they
// are durable.
func (a *autoscaler) beginRentals(offerings []fleet.Offering) {
	counts := map[fleet.Offering]int{}
	var order []fleet.Offering
	for _, offering := range offerings {
		if counts[offering] == 0 {
			order = append(order, offering)
		}
		counts[offering]++
	}
	l := a.leader
	for _, offering := range order {
		if len(a.pendingRentals) >= maxPendingRentals {
			return
		}
		a.requestCounter++
		rental := &pendingRental{RentalRequest: protocol.RentalRequest{
			RequestID: "r-" + formatUint(l.term) + "-" + formatUint(a.requestCounter), Type: offering.Type, Zone: offering.Zone, Spot: offering.Spot,
			Count: min(counts[offering], 50),
		}}
		if rental.Count = l.allowedOperations(recovery.RentMachine, rental.Count); rental.Count == 0 {
			return
		}
		rental.chargedMachines = rental.Count
		a.pendingRentals = append(a.pendingRentals, rental)
		key := storage.RentalPrefix + rental.RequestID
		l.writer.Enqueue(storage.PriorityNormal, storage.Change{
			BuildWrites: func() []storage.Write { return []storage.Write{storage.Put(key, rental.RentalRequest)} },
			OnApplied:   func() { rental.finishDurable = true },
		})
	}
}

// maxPendingRentals bounds the pending rentals.
const maxPendingRentals = 8

// sendRentals sends the durable rentals that are not in flight, within the call budget.
func (a *autoscaler) sendRentals() {
	node := a.leader.node
	for _, rental := range a.pendingRentals {
		if !rental.finishDurable || rental.inFlight {
			continue
		}
		if !node.cloudBudget.Take(node.now, 1) {
			return
		}
		a.sendRental(rental)
	}
}

// sendRental requests the machines of one rental and processes the response. A rental whose
// outcome is unknown stays pending and is sent again.
func (a *autoscaler) sendRental(rental *pendingRental) {
	l, node := a.leader, a.leader.node
	rental.inFlight = true
	node.callService(TargetCloud, "POST", "/hosts", rental.RentalRequest, node.workerLease()/4, func(result CallResult) {
		if node.leader != l {
			return
		}
		rental.inFlight = false
		offering := fleet.Offering{Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot}
		var rented protocol.MachineNames
		switch {
		case result.Status == 200 && json.Unmarshal(result.Body, &rented) == nil:
			a.consecutiveFailures = 0
			node.log.Info("machines rented", "request", rental.RequestID, "type", rental.Type, "zone", rental.Zone, "spot", rental.Spot,
				"requested", rental.Count, "count", len(rented.Machines), "target", a.targetCores)
			for _, name := range rented.Machines {
				if _, removed := l.RemovedMachines[name]; removed || l.Machines[name] != nil {
					continue
				}
				l.addRentedMachine(name, rental.Type, rental.Zone, rental.Spot, node.now)
			}
			rental.refundUnrented(l, len(rented.Machines))
			if len(rented.Machines) < rental.Count {
				a.markUnavailable(offering)
			} else {
				a.planner.MarkAvailable(offering)
			}
			a.finishRental(rental)
		case result.Status == 503 && strings.Contains(string(result.Body), "no capacity"):
			a.consecutiveFailures = 0
			node.log.Debug("cloud has no capacity", "type", rental.Type, "zone", rental.Zone, "spot", rental.Spot)
			rental.refundUnrented(l, 0)
			a.markUnavailable(offering)
			a.finishRental(rental)
		case result.Status == 400:
			node.log.Error("rental rejected as malformed", "request", rental.RequestID, "error", string(result.Body))
			rental.refundUnrented(l, 0)
			a.markUnavailable(offering)
			a.finishRental(rental)
		default:
			a.recordCallFailure(result.Status)
		}
	})
}

// refundUnrented gives back to the recovery budget what was charged for machines that the cloud
// did not provide. Where capacity is scarce, the whole budget of a small fleet went to requests
// without effect.
func (r *pendingRental) refundUnrented(l *leader, rentedCount int) {
	l.recovery.RefundOperations(recovery.RentMachine, r.chargedMachines-rentedCount)
	r.chargedMachines = 0
}

// markUnavailable has an offering left out for a while, and makes a new plan due.
func (a *autoscaler) markUnavailable(offering fleet.Offering) {
	a.planner.MarkUnavailable(offering, a.leader.node.now)
	a.plannedAt = clock.Never
}

// finishRental removes a rental and deletes its record. Its machines are stored before that.
func (a *autoscaler) finishRental(rental *pendingRental) {
	a.pendingRentals = slices.DeleteFunc(a.pendingRentals, func(other *pendingRental) bool { return other == rental })
	key := storage.RentalPrefix + rental.RequestID
	a.leader.writer.Enqueue(storage.PriorityNormal, storage.Change{BuildWrites: func() []storage.Write { return []storage.Write{storage.Delete(key)} }})
}
