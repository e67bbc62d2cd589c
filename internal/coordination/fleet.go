package coordination

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// fleet rents and returns machines.
type fleet struct {
	l *leadership

	requests    uint64
	rentals     []*renting
	refused     map[option]*refusal
	retryAt     Instant // after trouble with the cloud
	failedCalls int     // to the cloud, in a row

	listAt   Instant
	listing  bool
	listed   map[string]bool
	planAt   Instant
	returnAt Instant

	flows       map[string]*flow // what arrives, by class
	inherited   float64          // work that a predecessor saw arrive, as flow.work
	flowAt      Instant          // when they were last decayed
	quiet       time.Duration    // since the last arrival, while arrivals could be written
	flowsFrom   Instant          // since when they are counted
	savedAt     Instant
	recordAt    Instant // of the record that was taken over; never: there was none
	loggedAt    Instant
	accountedAt Instant
	spent       spending
	target      float64 // cores to hold
	thrift      float64 // how much less is held of what is dearer
	patient     bool    // all aims leave time to queue
}

// option is a kind of machine that can be asked for.
type option struct {
	typ, zone string
	spot      bool
}

// refusal remembers that an option had no capacity.
type refusal struct {
	until Instant
	times int
}

// renting is a rental under way. Its request name is durable before it is sent,
// so that no other node can use the name for something else, and the next
// leader can ask for its answer again.
type renting struct {
	protocol.Rental
	durable, busy bool
}

func (f *fleet) init(l *leadership) {
	f.l = l
	f.refused = map[option]*refusal{}
	f.flows = map[string]*flow{}
	f.thrift, f.patient = 2, true
	for _, o := range l.n.cfg.Cluster.Objectives {
		if (o.Kind == "wait" || o.Kind == "guarantee") && l.tooSoonToRent(config.Seconds(o.WithinS)) {
			// Aims on starting soon are met only by machines that are up already;
			// other aims leave time to queue.
			f.thrift, f.patient = 0.3, false
		}
	}
	if t := l.n.set.Thrift; t != nil {
		f.thrift = *t
	}
	f.listAt, f.planAt, f.retryAt, f.returnAt, f.loggedAt, f.savedAt = never, never, never, never, never, f.l.n.now
	f.recordAt = never
}

func (f *fleet) lag() time.Duration { return config.Seconds(f.l.n.cfg.Cluster.Cloud.ListLagS) }

func (f *fleet) tick() {
	l, now := f.l, f.l.n.now
	if now >= f.planAt+l.n.report()/2 {
		f.planAt = now
		l.unassign()
		f.retire()
		if l.n.catalog != nil {
			f.plan()
		}
		f.saveFlows()
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
func (f *fleet) failedCall(status int) {
	l := f.l
	f.failedCalls = min(f.failedCalls+1, 4)
	f.retryAt = l.n.now + (l.n.lease()/16)<<f.failedCalls
	l.n.log.Debug("cloud call failed", "status", status)
}

// lastHeard is from when a machine's silence counts: from its last report, but not from
// before this leader could hear it.
func (l *leadership) lastHeard(m *machine) Instant { return max(m.heard, l.since) }

// retire finds machines that should go.
func (f *fleet) retire() {
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
func (f *fleet) sendReturns() bool {
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
func (f *fleet) list() {
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

func (f *fleet) found(h protocol.Host) {
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
func (f *fleet) missing(asked Instant) {
	l := f.l
	for _, m := range l.held() {
		if !f.listed[m.name] && asked-m.rentedAt > 4*f.lag() && asked-l.lastHeard(m) > l.n.lease()/2 {
			l.leave(m, notListed)
		}
	}
}

// plan compares the cores held with those needed, rents what is missing and
// lets go of what has been too much for a while.
func (f *fleet) plan() {
	l, n := f.l, f.l.n
	f.account()
	usual := f.usual()
	held := 0.0
	var kept []*machine
	var leaving []*machine
	for _, m := range l.held() {
		switch {
		case m.kind == nil || m.returning:
		case !m.emptying:
			kept = append(kept, m)
			held += m.kind.Cores
		case m.why == surplus:
			leaving = append(leaving, m)
		}
	}
	for _, r := range f.rentals {
		if k := n.catalog[r.Type]; k != nil {
			held += k.Cores * float64(r.Count)
		}
	}
	demand := f.demand(held)
	f.target = max(demand, usual*(1+n.set.Headroom))
	cheapest := math.Inf(1)
	for _, k := range n.catalog {
		cheapest = min(cheapest, k.PerCore(true), k.PerCore(false))
	}
	// worth is how many cores should be held before one of such a price is: the
	// dearer it is, the less is held for work that has not come yet.
	worth := func(perCore float64) float64 {
		return max(demand, usual*(1+n.set.Headroom)*math.Pow(cheapest/perCore, f.thrift))
	}
	// What is still emptying is taken back before anything is rented.
	slices.SortStableFunc(leaving, func(a, b *machine) int { return cmp.Compare(a.perCore(), b.perCore()) })
	for _, m := range leaving {
		if held+m.kind.Cores/2 > worth(m.perCore()) {
			continue
		}
		l.keep(m)
		held += m.kind.Cores
		kept = append(kept, m)
	}
	if !l.mayRent() {
		return // what the machines that are not accounted for do is not known
	}
	var fresh []option
	for len(fresh) < maxFresh && held < f.target {
		opt, k := f.choose(nil, f.target-held)
		if k == nil || worth(k.PerCore(opt.spot))-held <= k.Cores/4 { // as in shrink
			break
		}
		fresh = append(fresh, opt)
		held += k.Cores
	}
	for _, r := range l.order {
		j := r.j
		if (j.bad && n.now < j.probeAt) || j.gone || j.pending == 0 || len(fresh) >= maxFresh || f.served(j, kept, fresh) {
			continue
		}
		if opt, k := f.choose(&j.spec, j.spec.Cores*float64(j.pending)); k != nil {
			fresh = append(fresh, opt)
			held += k.Cores
		}
	}
	if len(fresh) > 0 {
		f.rent(fresh)
	}
	if n.now > f.loggedAt+n.lease()/4 {
		f.loggedAt = n.now
		used, up, pending := 0.0, 0.0, 0.0
		for _, m := range l.machines {
			used += m.cores
			if m.up && m.kind != nil {
				up += m.kind.Cores
			}
		}
		for _, j := range l.runnable {
			pending += float64(j.pending) * j.spec.Cores
		}
		n.log.Debug("fleet", "held", held, "up", up, "used", used, "pending", pending,
			"demand", demand, "usual", usual, "target", f.target, "spent", f.spent, "writes", l.writer.Pending())
	}
	if l.mayShrink() {
		f.shrink(kept, held, worth)
		f.gather(kept)
	}
}

// spending is where the money of this term has gone, as an operator would ask.
type spending struct{ booting, idle, fetching, working float64 }

// account adds what the machines have cost since the last plan, by use of cores.
func (f *fleet) account() {
	now := f.l.n.now
	hours := (now - f.accountedAt).Hours()
	f.accountedAt = now
	for _, m := range f.l.machines {
		if m.kind == nil {
			continue
		}
		cost := m.kind.Price(m.spot) * hours
		if !m.up {
			f.spent.booting += cost
			continue
		}
		fetching, working := 0.0, 0.0
		for _, r := range m.runs {
			if r.phase == phaseRunning || r.phase == phaseSaving {
				working += r.job.spec.Cores
			} else {
				fetching += r.job.spec.Cores
			}
		}
		f.spent.fetching += cost * fetching / m.kind.Cores
		f.spent.working += cost * working / m.kind.Cores
		f.spent.idle += cost * max(0, 1-(fetching+working)/m.kind.Cores)
	}
}

// keep takes a surplus machine back.
func (l *leadership) keep(m *machine) {
	m.emptying, m.why, m.spareSince, l.dirty = false, "", l.n.now, true
}

// maxFresh bounds the machines that one plan rents.
const maxFresh = 50

// minCharge is what the cloud charges for at least.
const minCharge = 60 * time.Second

// idleTo is for how long a machine's cores would be idle, on the mean, until the
// last of its tasks has ended.
func (l *leadership) idleTo(m *machine) float64 {
	last, work := 0.0, 0.0
	for _, r := range m.list {
		left := l.remaining(r).Seconds()
		last = max(last, left)
		work += left * r.job.spec.Cores
	}
	return last - work/m.kind.Cores
}

// shrink empties machines that have been too many for a while: the dear ones first,
// and among those the ones that would be idle for the shortest time until empty.
func (f *fleet) shrink(kept []*machine, held float64, worth func(float64) float64) {
	l, n := f.l, f.l.n
	if len(kept) == 0 {
		return
	}
	idle := make(map[*machine]float64, len(kept))
	for _, m := range kept {
		idle[m] = l.idleTo(m)
	}
	slices.SortStableFunc(kept, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(b.perCore(), a.perCore()), cmp.Compare(idle[a], idle[b]))
	})
	for _, m := range kept {
		// A quarter of a machine is no reason to hold a whole one.
		if held-m.kind.Cores < worth(m.perCore())-m.kind.Cores/4 || !m.up || m.reservedFor != nil {
			m.spareSince = n.now
			continue
		}
		held -= m.kind.Cores
		l.leave(m, surplus)
	}
}

// countsAfter is how long a task must run without being stopped for its start to
// count towards the aims, by the protocol.
const countsAfter = 30 * time.Second

// gather moves the few tasks that keep a surplus machine from being returned, where
// all of them save when stopped, others have room for them, and both they and the
// machine's idle cores would go on for twice as long as the move takes.
func (f *fleet) gather(kept []*machine) {
	l, n := f.l, f.l.n
	free := 0.0
	for _, m := range kept {
		if m.ready() && !m.emptying {
			free += m.kind.Cores - m.cores
		}
	}
	for _, j := range l.runnable {
		if !j.gone {
			free -= float64(j.pending) * j.spec.Cores
		}
	}
	for _, m := range l.held() {
		if m.why != surplus || !m.emptying || len(m.list) == 0 || m.cores > free || n.now-m.rentedAt < minCharge {
			continue
		}
		move, last, takes := 0.0, 0.0, 0.0
		for _, r := range m.list {
			if r.job.spec.CheckpointS <= 0 || r.phase != phaseRunning || r.stop != nil || n.now-r.started < countsAfter {
				move = math.Inf(1)
				break
			}
			each := r.job.spec.SaveS + r.job.spec.ImageGB/m.kind.PullGBPerS + 2*n.report().Seconds()
			move += each * r.job.spec.Cores
			last, takes = max(last, l.remaining(r).Seconds()), max(takes, each)
		}
		if last < 2*takes || l.idleTo(m)*m.kind.Cores < 2*move {
			continue
		}
		free -= m.cores
		for _, r := range m.list {
			l.stopRun(r, l.saveGrace(r))
		}
	}
}

func (m *machine) perCore() float64 { return m.kind.PerCore(m.spot) }

// served tells whether some machine held, or about to be rented, can run the job.
func (f *fleet) served(j *job, kept []*machine, fresh []option) bool {
	for _, m := range kept {
		if allowed(&j.spec, m) {
			return true
		}
	}
	fits := func(o option) bool {
		return fitsOption(&j.spec, o, f.l.n.catalog[o.typ])
	}
	for _, r := range f.rentals {
		if fits(option{r.Type, r.Zone, r.Spot}) {
			return true
		}
	}
	return slices.ContainsFunc(fresh, fits)
}

// choose finds what to rent, for a job or (nil) for all: the cheapest for the
// cores that would be used.
func (f *fleet) choose(j *protocol.Job, cores float64) (option, *protocol.MachineType) {
	n := f.l.n
	var best option
	var bestKind *protocol.MachineType
	bestCost := math.Inf(1)
	image := f.usualImage()
	for _, name := range slices.Sorted(maps.Keys(n.catalog)) {
		k := n.catalog[name]
		// Until it is up and has its first image, a machine costs money for
		// nothing, and the work waits.
		idle := k.ReadyS + image/k.PullGBPerS
		for _, zone := range k.Zones {
			for _, spot := range []bool{true, false} {
				opt := option{k.Name, zone, spot}
				if r := f.refused[opt]; r != nil && n.now < r.until {
					continue
				}
				if j != nil && !fitsOption(j, opt, k) {
					continue
				}
				cost := k.Price(spot) * (1 + idle/f.span()) / min(k.Cores, max(cores, 1))
				if cost < bestCost {
					best, bestKind, bestCost = opt, k, cost
				}
			}
		}
	}
	return best, bestKind
}

// usualImage is the mean size of the open jobs' images, in GB.
func (f *fleet) usualImage() float64 {
	sum := 0.0
	for _, j := range f.l.runnable {
		sum += j.spec.ImageGB
	}
	return sum / max(1, float64(len(f.l.runnable)))
}

// rent begins rentals for the machines that the plan chose.
func (f *fleet) rent(fresh []option) {
	counts := map[option]int{}
	var order []option
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
			Request: "r-" + utoa(l.term) + "-" + utoa(f.requests), Type: opt.typ, Zone: opt.zone, Spot: opt.spot,
			Count: min(counts[opt], 50),
		}}
		if r.Count = l.affordable(recovery.RentMachine, r.Count); r.Count == 0 {
			return
		}
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

func (f *fleet) sendRentals() {
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

func (f *fleet) sendRental(r *renting) {
	l, n := f.l, f.l.n
	r.busy = true
	n.call(Cloud, "POST", "/hosts", r.Rental, n.lease()/4, func(res Result) {
		if n.lead != l {
			return
		}
		r.busy = false
		opt := option{r.Type, r.Zone, r.Spot}
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
			if len(got.Machines) < r.Count {
				f.refuse(opt)
			} else {
				delete(f.refused, opt)
			}
			f.settle(r)
		case res.Status == 503 && strings.Contains(string(res.Body), "no capacity"):
			f.failedCalls = 0
			n.log.Debug("no capacity", "type", r.Type, "zone", r.Zone, "spot", r.Spot)
			f.refuse(opt)
			f.settle(r)
		case res.Status == 400:
			n.log.Error("rental refused as malformed", "request", r.Request, "body", string(res.Body))
			f.refuse(opt)
			f.settle(r)
		default:
			f.failedCall(res.Status)
		}
	})
}

// refuse leaves an option alone for a while, longer each time.
func (f *fleet) refuse(opt option) {
	r := f.refused[opt]
	if r == nil {
		r = &refusal{}
		f.refused[opt] = r
	}
	r.times = min(r.times+1, 3)
	r.until = f.l.n.now + f.l.n.lease()*time.Duration(r.times)
	f.planAt = never
}

// settle ends a rental and drops its record; its machines are recorded first.
func (f *fleet) settle(r *renting) {
	f.rentals = slices.DeleteFunc(f.rentals, func(x *renting) bool { return x == r })
	key := storage.RentPrefix + r.Request
	f.l.writer.Add(storage.Soon, storage.Unit{Build: func() []storage.Write { return []storage.Write{storage.Drop(key)} }})
}
