package coordination

import (
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// autoscaler rents machines from the cloud and returns them: it has a capacity plan made at
// regular intervals and carries it out.
type fleetControl struct {
	l *leadership

	requests    uint64
	rentals     []*renting
	retryAt     Instant // end of the backoff after a failed call to the cloud
	failedCalls int     // of calls to the cloud

	listAt   Instant
	listing  bool
	listed   map[string]bool
	planAt   Instant
	returnAt Instant

	forecast    *fleet.Forecast
	planner     *fleet.Planner
	savedAt     Instant // when the forecast was last stored
	recordAt    Instant // time of the stored forecast that was restored; never: there was none
	loggedAt    Instant
	accountedAt Instant
	spent       spending
	target      float64 // cores to hold
	patient     bool    // all SLOs on starting leave the time to boot a machine
}

// pendingRental is a rental that the cloud has not answered. Its request name is stored before the
// request is sent: no other node can use the name for another request, and the next leader can
// repeat the request and gets the same answer.
type renting struct {
	protocol.Rental
	durable, busy bool
	charged       int // machines charged to the recovery budget
}

// Defaults of fleet.Settings.CostSensitivity.
const (
	// startSLOCostSensitivity applies if some SLO on starting is so short that only machines that
	// are up already can meet it.
	impatientPriceExponent = 0.3
	// defaultCostSensitivity applies otherwise.
	patientPriceExponent = 2
)

// init prepares the autoscaler of a new leader.
func (f *fleetControl) init(l *leadership) {
	f.l = l
	exponent := float64(patientPriceExponent)
	f.patient = true
	for _, o := range l.n.cfg.Cluster.Objectives {
		if (o.Kind == "wait" || o.Kind == "guarantee") && l.tooSoonToRent(config.Seconds(o.WithinS)) {
			exponent, f.patient = impatientPriceExponent, false
		}
	}
	if set := l.n.set.PriceExponent; set != nil {
		exponent = *set
	}
	f.planner = fleet.NewPlanner(fleet.Settings{Headroom: l.n.set.Headroom, PriceExponent: exponent, Lease: l.n.lease()})
	f.forecast = fleet.NewForecast(l.n.lease())
	f.listAt, f.planAt, f.retryAt, f.returnAt, f.loggedAt, f.savedAt = never, never, never, never, never, f.l.n.now
	f.recordAt = never
}

// listLag returns the time by which the machine list of the cloud may be outdated.
func (f *fleetControl) lag() time.Duration { return config.Seconds(f.l.n.cfg.Cluster.Cloud.ListLagS) }

// tick makes a new plan if one is due and sends the requests to the cloud that may be sent now.
func (f *fleetControl) tick() {
	l, now := f.l, f.l.n.now
	if now >= f.planAt+l.n.report()/2 {
		f.planAt = now
		l.unassign()
		f.retire()
		if l.n.catalog != nil {
			f.plan()
		}
		f.saveForecast()
	}
	if now < f.retryAt {
		return
	}
	if f.sendReturns() {
		// Returns go first: they end costs, and they unblock jobs after a takeover. Rentals are
		// repeated for as long as the cloud lacks capacity and must not use up the call budget.
		if l.mayRent() {
			f.sendRentals()
		}
		f.list()
	}
}

// recordCallFailure backs off after a call that the cloud did not answer or refused.
func (f *fleetControl) failedCall(status int) {
	l := f.l
	f.failedCalls = min(f.failedCalls+1, 4)
	f.retryAt = l.n.now + (l.n.lease()/16)<<f.failedCalls
	l.n.log.Debug("cloud request failed", "status", status)
}

// drainUnresponsive drains machines that miss heartbeats, never reported, or run slowly.
func (f *fleetControl) retire() {
	l, now := f.l, f.l.n.now
	quiet := func(m *machine) bool { return l.silenceAllows(m, now-l.lastHeard(m)) }
	up, missed := 0, 0
	// After a takeover, machines that were used before are expected to report too.
	expected := func(m *machine) bool { return m.up || (m.used && m.heard == never) }
	for _, m := range l.machines {
		if expected(m) {
			up++
			// Two missed heartbeats count here although they do not cause a drain yet. When
			// the leader itself is partitioned from its workers, the machines that reported
			// first would otherwise be returned before it shows that most are missing.
			if quiet(m) || now-l.lastHeard(m) > 2*l.n.report() {
				missed++
			}
		}
	}
	for _, m := range l.held() {
		l.checkPace(m)
		switch {
		case expected(m) && quiet(m) && 2*missed <= up:
			// Its return ends its tasks for certain, and sooner than its lease does.
			l.leave(m, silent)
		case !m.up && m.heard == never:
			boot := l.n.lease()
			if m.kind != nil {
				boot += config.Seconds(3 * m.kind.ReadyS)
			}
			if now-m.rentedAt > boot && now-l.since > l.n.lease() {
				l.leave(m, neverUp)
			}
		}
	}
}

// returnDrainedMachines returns the machines whose drain is complete. It reports whether the call
// budget sufficed, so that other calls may follow.
func (f *fleetControl) sendReturns() bool {
	l, n := f.l, f.l.n
	if n.now < f.returnAt {
		return true
	}
	f.returnAt = n.now + n.report()/checksPerReport
	var names []string
	for _, m := range l.held() {
		if m.why == surplus && (n.now-m.rentedAt < minCharge ||
			n.now-m.spareSince < config.Seconds(n.set.IdleKeep*m.kind.ReadyS)) {
			continue // already billed, or work may return sooner than a new machine would boot
		}
		if m.emptying && !m.returning && len(names) < 100 &&
			(m.forced() || (len(m.runs) == 0 && m.results == 0 && m.unknownTasks == 0)) {
			names = append(names, m.name)
		}
	}
	if len(names) == 0 {
		return true
	}
	if !n.cloudBudget.take(n.now, 1) {
		f.returnAt = never
		return false
	}
	f.returnAt = n.now + n.report()/4
	if names = names[:l.affordable(recovery.ReturnMachine, len(names))]; len(names) == 0 {
		n.cloudBudget.level++ // no call is made, so its token goes back
		return true
	}
	for _, name := range names {
		l.machines[name].returning, l.machines[name].asked = true, true
	}
	n.call(Cloud, "POST", "/hosts/return", protocol.MachineNames{Machines: names}, n.lease()/4, func(r Result) {
		if n.lead != l {
			return
		}
		for _, name := range names {
			m := l.machines[name]
			if m == nil {
				continue
			}
			if r.Status == 200 {
				n.log.Info("machine returned", "machine", name, "reason", m.why, "type", m.typ, "spot", m.spot)
				l.forgetMachine(m)
			} else {
				m.returning = false // it goes on draining, as a late copy of the request may return it
			}
		}
		if r.Status == 200 {
			f.failedCalls = 0
		} else {
			f.failedCall(r.Status)
		}
	})
	return true
}

// listMachines reads the machine list of the cloud, page by page.
func (f *fleetControl) list() {
	l, n := f.l, f.l.n
	if f.listing || n.now < f.listAt+f.lag() || !n.cloudBudget.take(n.now, 1) {
		return
	}
	f.listing, f.listAt, f.listed = true, n.now, map[string]bool{}
	asked := n.now
	var page func(since string)
	page = func(since string) {
		n.call(Cloud, "GET", "/hosts?limit=500&since="+since, nil, n.lease()/4, func(r Result) {
			if n.lead != l {
				return
			}
			var list protocol.HostList
			if r.Status != 200 || json.Unmarshal(r.Body, &list) != nil {
				f.listing = false
				f.failedCall(r.Status)
				return
			}
			f.failedCalls = 0
			for _, h := range list.Machines {
				f.found(h)
			}
			if list.Truncated {
				page(list.Machines[len(list.Machines)-1].UID)
				return
			}
			f.listing = false
			f.missing(asked)
		})
	}
	page("")
}

// recordListedHost adds a listed machine that is unknown, and drains one that is listed as failed.
func (f *fleetControl) found(h protocol.Host) {
	l := f.l
	f.listed[h.UID] = true
	if _, gone := l.gone[h.UID]; gone {
		return
	}
	m := l.machines[h.UID]
	if m == nil {
		m = l.listed(h)
		l.n.log.Info("cloud lists unknown machine", "machine", m.name, "state", h.State)
	}
	if h.State == protocol.HostFailed && !m.failedListing && l.n.now-m.heard > 2*l.n.report() {
		// A machine that sends heartbeats has not failed, whatever the list says. Its return
		// would kill all tasks on it.
		m.failedListing = true
		l.leave(m, failedAlone)
	}
}

// drainUnlisted drains the machines that are missing from a list which was requested at
// requestedAt. Lists lag, so only machines that are old enough and silent count, and the call that
// returns them settles it.
func (f *fleetControl) missing(asked Instant) {
	l := f.l
	for _, m := range l.held() {
		if !f.listed[m.name] && asked-m.rentedAt > 4*f.lag() && asked-l.lastHeard(m) > l.n.lease()/2 {
			l.leave(m, notListed)
		}
	}
}

// minBilledTime is the shortest time that the cloud bills.
const minCharge = 60 * time.Second

// beginRentals stores a rental for each offering that the plan scales out. They are sent once they
// are durable.
func (f *fleetControl) rent(fresh []fleet.Option) {
	counts := map[fleet.Option]int{}
	var order []fleet.Option
	for _, opt := range fresh {
		if counts[opt] == 0 {
			order = append(order, opt)
		}
		counts[opt]++
	}
	l := f.l
	for _, opt := range order {
		if len(f.rentals) >= maxRentals {
			return
		}
		f.requests++
		r := &renting{Rental: protocol.Rental{
			Request: "r-" + utoa(l.term) + "-" + utoa(f.requests), Type: opt.Type, Zone: opt.Zone, Spot: opt.Spot,
			Count: min(counts[opt], 50),
		}}
		if r.Count = l.affordable(recovery.RentMachine, r.Count); r.Count == 0 {
			return
		}
		r.charged = r.Count
		f.rentals = append(f.rentals, r)
		key := storage.RentPrefix + r.Request
		l.writer.Add(storage.Soon, storage.Unit{
			Build: func() []storage.Write { return []storage.Write{storage.Set(key, r.Rental)} },
			Done:  func() { r.durable = true },
		})
	}
}

// maxPendingRentals bounds the pending rentals.
const maxRentals = 8

// sendRentals sends the durable rentals that are not in flight, within the call budget.
func (f *fleetControl) sendRentals() {
	n := f.l.n
	for _, r := range f.rentals {
		if !r.durable || r.busy {
			continue
		}
		if !n.cloudBudget.take(n.now, 1) {
			return
		}
		f.sendRental(r)
	}
}

// sendRental requests the machines of one rental and processes the response. A rental whose
// outcome is unknown stays pending and is sent again.
func (f *fleetControl) sendRental(r *renting) {
	l, n := f.l, f.l.n
	r.busy = true
	n.call(Cloud, "POST", "/hosts", r.Rental, n.lease()/4, func(res Result) {
		if n.lead != l {
			return
		}
		r.busy = false
		opt := fleet.Option{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
		var got protocol.MachineNames
		switch {
		case res.Status == 200 && json.Unmarshal(res.Body, &got) == nil:
			f.failedCalls = 0
			n.log.Info("machines rented", "request", r.Request, "type", r.Type, "zone", r.Zone, "spot", r.Spot,
				"requested", r.Count, "count", len(got.Machines), "target", f.target)
			for _, name := range got.Machines {
				if _, gone := l.gone[name]; gone || l.machines[name] != nil {
					continue
				}
				l.obtained(name, r.Type, r.Zone, r.Spot, n.now)
			}
			r.refund(l, len(got.Machines))
			if len(got.Machines) < r.Count {
				f.refuse(opt)
			} else {
				f.planner.Served(opt)
			}
			f.settle(r)
		case res.Status == 503 && strings.Contains(string(res.Body), "no capacity"):
			f.failedCalls = 0
			n.log.Debug("cloud has no capacity", "type", r.Type, "zone", r.Zone, "spot", r.Spot)
			r.refund(l, 0)
			f.refuse(opt)
			f.settle(r)
		case res.Status == 400:
			n.log.Error("rental rejected as malformed", "request", r.Request, "error", string(res.Body))
			r.refund(l, 0)
			f.refuse(opt)
			f.settle(r)
		default:
			f.failedCall(res.Status)
		}
	})
}

// refundUnrented gives back to the recovery budget what was charged for machines that the cloud
// did not provide. Where capacity is scarce, the whole budget of a small fleet went to requests
// without effect.
func (r *renting) refund(l *leadership, got int) {
	l.recovery.Refund(l.n.now, recovery.RentMachine, r.charged-got)
	r.charged = 0
}

// markUnavailable has an offering left out for a while, and makes a new plan due.
func (f *fleetControl) refuse(o fleet.Option) {
	f.planner.Refuse(o, f.l.n.now)
	f.planAt = never
}

// finishRental removes a rental and deletes its record. Its machines are stored before that.
func (f *fleetControl) settle(r *renting) {
	f.rentals = slices.DeleteFunc(f.rentals, func(x *renting) bool { return x == r })
	key := storage.RentPrefix + r.Request
	f.l.writer.Add(storage.Soon, storage.Unit{Build: func() []storage.Write { return []storage.Write{storage.Drop(key)} }})
}
