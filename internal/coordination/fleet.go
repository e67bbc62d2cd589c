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

// fleetControl rents and returns machines.
type fleetControl struct {
	l *leadership

	requests    uint64
	rentals     []*renting
	retryAt     Instant // after trouble with the cloud
	failedCalls int     // to the cloud, in a row

	listAt   Instant
	listing  bool
	listed   map[string]bool
	planAt   Instant
	returnAt Instant

	forecast    *fleet.Forecast
	planner     *fleet.Planner
	savedAt     Instant // when the forecast was stored
	recordAt    Instant // of the record that was taken over; never: there was none
	loggedAt    Instant
	accountedAt Instant
	spent       spending
	target      float64 // cores to hold
	patient     bool    // all aims leave time to queue
}

// renting is a rental under way. Its request name is durable before it is sent,
// so that no other node can use the name for something else, and the next
// leader can ask for its answer again.
type renting struct {
	protocol.Rental
	durable, busy bool
	charged       int // machines that were taken from the budget of a recovery
}

// The powers to which spare capacity is scaled by price: where aims ask for an early start, which
// only machines that are up already can meet, and elsewhere.
const (
	impatientPriceExponent = 0.3
	patientPriceExponent   = 2
)

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

func (f *fleetControl) lag() time.Duration { return config.Seconds(f.l.n.cfg.Cluster.Cloud.ListLagS) }

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
		// They end what costs, and what holds up jobs after a takeover: rentals, which
		// are asked for all the time where there is no capacity, must not take the
		// calls from them.
		if l.mayRent() {
			f.sendRentals()
		}
		f.list()
	}
}

// failedCall backs off from a cloud that is down or refuses us.
func (f *fleetControl) failedCall(status int) {
	l := f.l
	f.failedCalls = min(f.failedCalls+1, 4)
	f.retryAt = l.n.now + (l.n.lease()/16)<<f.failedCalls
	l.n.log.Debug("cloud call failed", "status", status)
}

// lastHeard is from when a machine's silence counts: from its last report, but not from
// before this leader could hear it.
func (l *leadership) lastHeard(m *machine) Instant { return max(m.heard, l.since) }

// retire finds machines that should go.
func (f *fleetControl) retire() {
	l, now := f.l, f.l.n.now
	quiet := func(m *machine) bool { return l.silenceAllows(m, now-l.lastHeard(m)) }
	up, missed := 0, 0
	// A machine that was used before is expected to report after a takeover too.
	expected := func(m *machine) bool { return m.up || (m.used && m.heard == never) }
	for _, m := range l.machines {
		if expected(m) {
			up++
			// Two reports missed are counted, though nothing is returned for them yet:
			// where a leader is cut off from its workers, those that spoke first after
			// it would be returned before it shows how many they are.
			if quiet(m) || now-l.lastHeard(m) > 2*l.n.report() {
				missed++
			}
		}
	}
	for _, m := range l.held() {
		l.checkPace(m)
		switch {
		case expected(m) && quiet(m) && 2*missed <= up:
			// Returning it makes sure, sooner than its lease does.
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

// forced tells whether a machine is returned with whatever is on it.
func (m *machine) forced() bool {
	switch m.why {
	case silent, neverUp, notListed:
		return true
	case deaf:
		return m.failedListing || !m.accounted || len(m.runs)+m.results == 0
	}
	return m.failedListing
}

// sendReturns returns what is to go, and tells whether no return waits for a call.
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
			continue // it is paid for, or work may be back before it would have booted again
		}
		if m.emptying && !m.returning && len(names) < 100 && (m.forced() || (len(m.runs) == 0 && m.results == 0 && m.unknownTasks == 0)) {
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
		n.cloudBudget.level++ // no call is made
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
				n.log.Info("machine returned", "machine", name, "why", m.why, "type", m.typ, "spot", m.spot)
				l.forgetMachine(m)
			} else {
				m.returning = false // but still leaving: a late copy may return it
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

// list reads the cloud's machine list, page by page.
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

func (f *fleetControl) found(h protocol.Host) {
	l := f.l
	f.listed[h.UID] = true
	if _, gone := l.gone[h.UID]; gone {
		return
	}
	m := l.machines[h.UID]
	if m == nil {
		m = l.listed(h)
		l.n.log.Info("unknown machine listed", "machine", m.name, "state", h.State)
	}
	if h.State == protocol.HostFailed && !m.failedListing && l.n.now-m.heard > 2*l.n.report() {
		// One that reports has not failed, whatever a list says: it would be returned with
		// all that it runs.
		m.failedListing = true
		l.leave(m, failedAlone)
	}
}

// missing looks for machines that a list should have shown. Lists lag, so only
// one that is old enough and silent counts; the return call makes sure.
func (f *fleetControl) missing(asked Instant) {
	l := f.l
	for _, m := range l.held() {
		if !f.listed[m.name] && asked-m.rentedAt > 4*f.lag() && asked-l.lastHeard(m) > l.n.lease()/2 {
			l.leave(m, notListed)
		}
	}
}

// keep takes a surplus machine back.
func (l *leadership) keep(m *machine) {
	m.emptying, m.why, m.spareSince, l.dirty = false, "", l.n.now, true
}

// minCharge is what the cloud charges for at least.
const minCharge = 60 * time.Second

// rent begins rentals for the machines that the plan chose.
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

// maxRentals bounds the rentals under way.
const maxRentals = 8

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
				"asked", r.Count, "got", len(got.Machines), "target", f.target)
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
			n.log.Debug("no capacity", "type", r.Type, "zone", r.Zone, "spot", r.Spot)
			r.refund(l, 0)
			f.refuse(opt)
			f.settle(r)
		case res.Status == 400:
			n.log.Error("rental refused as malformed", "request", r.Request, "body", string(res.Body))
			r.refund(l, 0)
			f.refuse(opt)
			f.settle(r)
		default:
			f.failedCall(res.Status)
		}
	})
}

// refund gives back to the budget what the cloud did not rent. Where it has next to no capacity, a
// small fleet's whole budget went for requests that brought nothing.
func (r *renting) refund(l *leadership, got int) {
	l.recovery.Refund(l.n.now, recovery.RentMachine, r.charged-got)
	r.charged = 0
}

// refuse leaves an option alone for a while, and plans anew.
func (f *fleetControl) refuse(o fleet.Option) {
	f.planner.Refuse(o, f.l.n.now)
	f.planAt = never
}

// settle ends a rental and drops its record; its machines are recorded first.
func (f *fleetControl) settle(r *renting) {
	f.rentals = slices.DeleteFunc(f.rentals, func(x *renting) bool { return x == r })
	key := storage.RentPrefix + r.Request
	f.l.writer.Add(storage.Soon, storage.Unit{Build: func() []storage.Write { return []storage.Write{storage.Drop(key)} }})
}
