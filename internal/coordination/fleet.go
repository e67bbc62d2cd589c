package coordination

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// fleet rents and returns machines.
type fleet struct {
	l      *leadership
	timers []timer

	requests uint64
	rentals  []*renting
	refused  map[option]*refusal
	retryAt  Instant // after trouble with the cloud
	trouble  int

	listAt   Instant
	listing  bool
	listed   map[string]bool
	planAt   Instant
	returnAt Instant

	level  float64 // demand for cores, smoothed
	target float64
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
	dropped       bool
}

func (f *fleet) init(l *leadership) {
	f.l = l
	f.refused = map[option]*refusal{}
	f.listAt, f.planAt, f.retryAt, f.returnAt = never, never, never, never
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
	}
	if now < f.retryAt {
		return
	}
	f.sendReturns()
	f.sendRentals()
	f.list()
}

// failedCall backs off from a cloud that is down or refuses us.
func (f *fleet) failedCall(status int) {
	l := f.l
	f.trouble = min(f.trouble+1, 4)
	f.retryAt = l.n.now + (l.n.lease()/16)<<f.trouble
	l.n.log.Debug("cloud call failed", "status", status)
}

// retire finds machines that should go.
func (f *fleet) retire() {
	l, now := f.l, f.l.n.now
	silence := l.n.lease() * 6 / 10
	up, silent := 0, 0
	for _, m := range l.machines {
		if m.up {
			up++
			if now-max(m.heard, l.since) > silence {
				silent++
			}
		}
	}
	for _, name := range l.names() {
		m := l.machines[name]
		switch {
		case !m.up && m.heard == never:
			boot := l.n.lease()
			if m.kind != nil {
				boot += config.Seconds(3 * m.kind.ReadyS)
			}
			if now-m.rentedAt > boot && now-l.since > l.n.lease() {
				l.leave(m, "never came up")
			}
		case m.up && now-max(m.heard, l.since) > silence && 2*silent <= up:
			// Returning it makes sure, sooner than its lease does.
			l.leave(m, "silent")
		}
	}
}

// forced tells whether a machine is returned with whatever is on it.
func (m *machine) forced() bool {
	return m.failedListing || m.why == "silent" || m.why == "never came up" || m.why == "not listed"
}

func (f *fleet) sendReturns() {
	l, n := f.l, f.l.n
	var names []string
	for _, name := range l.names() {
		m := l.machines[name]
		if m.emptying && !m.returning && len(names) < 100 && (m.forced() || (len(m.runs) == 0 && m.results == 0 && m.strays == 0)) {
			names = append(names, name)
		}
	}
	if len(names) == 0 || n.now < f.returnAt || !n.cloudBudget.take(n.now, 1) {
		return
	}
	f.returnAt = n.now + n.report()/4
	for _, name := range names {
		l.machines[name].returning = true
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
				m.returning = false // but still leaving: a late copy may delete it
			}
		}
		if r.Status == 200 {
			f.trouble = 0
		} else {
			f.failedCall(r.Status)
		}
	})
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
			f.trouble = 0
			for _, h := range list.Machines {
				f.found(h)
			}
			if list.Truncated && len(list.Machines) > 0 {
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
		m = l.newMachine(h.UID, h.Type, h.Zone, h.Spot)
		m.accounted = true // no leader recorded it, so none gave it a task
		m.rentedAt = l.n.now - config.Seconds(h.HeldS)
		l.record(m, false)
		l.n.log.Info("unknown machine listed", "machine", m.name, "state", h.State)
	}
	if h.State == "failed" && !m.failedListing {
		m.failedListing = true
		l.leave(m, "failed")
	}
}

// missing looks for machines that a list should have shown. Lists lag, so only
// one that is old enough and silent counts; the return call makes sure.
func (f *fleet) missing(asked Instant) {
	l := f.l
	for _, name := range l.names() {
		m := l.machines[name]
		if !f.listed[name] && asked-m.rentedAt > 4*f.lag() && asked-max(m.heard, l.since) > l.n.lease()/2 {
			l.leave(m, "not listed")
		}
	}
}

// virtual is a machine in the plan: one that is held, or one to be rented.
type virtual struct {
	m          *machine
	opt        option
	kind       *protocol.MachineType
	cores, ram float64
	acc        float64
	used       bool
}

func (v *virtual) fits(j *protocol.Job) bool {
	return fitsType(j, v.kind) && (j.Zone == "" || j.Zone == v.opt.zone) && (j.Spot || !v.opt.spot) &&
		v.cores >= j.Cores-slack && v.ram >= j.RAM-slack && v.acc >= j.Accelerators-slack
}

func (v *virtual) add(j *protocol.Job) {
	v.cores -= j.Cores
	v.ram -= j.RAM
	v.acc -= j.Accelerators
	v.used = true
}

// parallel is how many of a job's tasks should run at once for it to be in time.
func (l *leadership) parallel(j *job) int {
	left := j.pending + len(j.runs)
	if left == 0 || j.gone {
		return len(j.runs)
	}
	if j.bad {
		return 1
	}
	each := l.expected(j) + l.fetchTime(j)
	span := l.due(j) - l.n.now
	waves := 1
	if each > 0 && span > each {
		waves = int(span / each)
	}
	return max(len(j.runs), (left+waves-1)/waves)
}

func (l *leadership) fetchTime(j *job) time.Duration {
	rate := 0.0
	for _, t := range l.n.catalog {
		rate = max(rate, t.PullGBPerS)
	}
	if rate <= 0 {
		return 0
	}
	return config.Seconds(j.spec.ImageGB / rate)
}

// plan packs what should run at once into the machines held, rents for what does
// not fit, and lets go of what has been idle beyond need.
func (f *fleet) plan() {
	l, n := f.l, f.l.n
	var vms []*virtual
	for _, name := range l.names() {
		m := l.machines[name]
		if m.kind == nil || m.emptying || m.returning {
			continue
		}
		vms = append(vms, &virtual{m: m, opt: option{m.typ, m.zone, m.spot}, kind: m.kind,
			cores: m.kind.Cores, ram: m.kind.RAM, acc: m.kind.Accelerators})
	}
	for _, r := range f.rentals {
		if k := n.catalog[r.Type]; k != nil {
			for range r.Count {
				vms = append(vms, &virtual{opt: option{r.Type, r.Zone, r.Spot}, kind: k, cores: k.Cores, ram: k.RAM, acc: k.Accelerators})
			}
		}
	}
	// Busy machines first, then cheap ones, so that the idle and dear empty.
	slices.SortStableFunc(vms, func(a, b *virtual) int {
		return cmp.Or(cmp.Compare(b.busy(), a.busy()), cmp.Compare(a.perCore(), b.perCore()))
	})
	jobs := make([]*job, 0, len(l.jobs))
	for _, j := range l.jobs {
		if !j.gone {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.spec.Cores, a.spec.Cores), cmp.Compare(a.spec.UID, b.spec.UID))
	})
	teams := map[string]float64{}
	demand := 0.0
	held := len(vms)
	var fresh []*virtual
	for _, j := range jobs {
		want := l.parallel(j)
		team := n.team(j.spec.Team)
		left := want
		for range want {
			if team != nil && team.CPUsMax > 0 && teams[j.spec.Team]+j.spec.Cores > team.CPUsMax {
				break
			}
			teams[j.spec.Team] += j.spec.Cores
			demand += j.spec.Cores
			placed := false
			for _, v := range vms {
				if v.fits(&j.spec) {
					v.add(&j.spec)
					placed = true
					break
				}
			}
			if !placed {
				v := f.open(&j.spec, float64(left)*j.spec.Cores, vms)
				if v == nil {
					break
				}
				v.add(&j.spec)
				vms = append(vms, v)
				fresh = append(fresh, v)
			}
			left--
		}
	}
	// The level follows demand up at once in part and down slowly.
	step := n.report().Seconds() / 2
	tau := levelSpan * n.lease().Seconds()
	f.level += (demand - f.level) * min(1, step/tau)
	f.target = f.level * (1 + n.set.Headroom)
	have := 0.0
	for _, v := range vms {
		have += v.kind.Cores
	}
	for have < f.target {
		v := f.open(nil, f.target-have, vms)
		if v == nil {
			break
		}
		vms = append(vms, v)
		fresh = append(fresh, v)
		have += v.kind.Cores
	}
	if len(fresh) > 0 {
		f.rent(fresh)
		return
	}
	for i := held - 1; i >= 0; i-- {
		v := vms[i]
		m := v.m
		if m == nil || v.used || len(m.runs) > 0 || !m.up || have-v.kind.Cores < f.target {
			continue
		}
		if n.now-m.idleSince > config.Seconds(n.set.IdleKeep*v.kind.ReadyS) {
			l.leave(m, "surplus")
			have -= v.kind.Cores
		}
	}
}

// levelSpan is over how many worker leases demand is smoothed.
const levelSpan = 8

func (v *virtual) busy() int {
	if v.m == nil || !v.m.up {
		return 0
	}
	return min(1, len(v.m.runs))
}

func (v *virtual) perCore() float64 { return v.kind.Price(v.opt.spot) / v.kind.Cores }

// open chooses what to rent for a job (nil: for spare room): the cheapest for
// the cores that would be used.
func (f *fleet) open(j *protocol.Job, cores float64, vms []*virtual) *virtual {
	n := f.l.n
	var best *virtual
	bestCost := math.Inf(1)
	for _, name := range sortedTypes(n.catalog) {
		k := n.catalog[name]
		zones := k.Zones
		for _, zone := range zones {
			for _, spot := range []bool{true, false} {
				if j == nil && !spot {
					continue
				}
				opt := option{k.Name, zone, spot}
				if r := f.refused[opt]; r != nil && n.now < r.until {
					continue
				}
				v := &virtual{opt: opt, kind: k, cores: k.Cores, ram: k.RAM, acc: k.Accelerators}
				if j != nil && !v.fits(j) {
					continue
				}
				cost := k.Price(spot) / math.Min(k.Cores, math.Max(cores, 1))
				if cost < bestCost {
					best, bestCost = v, cost
				}
			}
		}
	}
	return best
}

func sortedTypes(c map[string]*protocol.MachineType) []string {
	names := make([]string, 0, len(c))
	for name := range c {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// rent begins rentals for the machines that the plan opened.
func (f *fleet) rent(fresh []*virtual) {
	counts := map[option]int{}
	var order []option
	for _, v := range fresh {
		if counts[v.opt] == 0 {
			order = append(order, v.opt)
		}
		counts[v.opt]++
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
		f.rentals = append(f.rentals, r)
		key := storage.RentPrefix + r.Request
		l.writer.Add(storage.Unit{
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
			f.trouble = 0
			n.log.Info("machines rented", "request", r.Request, "type", r.Type, "zone", r.Zone, "spot", r.Spot,
				"asked", r.Count, "got", len(got.Machines), "target", f.target)
			for _, name := range got.Machines {
				if _, gone := l.gone[name]; gone || l.machines[name] != nil {
					continue
				}
				m := l.newMachine(name, r.Type, r.Zone, r.Spot)
				m.accounted = true
				l.record(m, false)
			}
			if len(got.Machines) < r.Count {
				f.refuse(opt)
			} else {
				delete(f.refused, opt)
			}
			f.settle(r)
		case res.Status == 503 && strings.Contains(string(res.Body), "no capacity"):
			f.trouble = 0
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
	f.l.writer.Add(storage.Unit{Build: func() []storage.Write { return []storage.Write{storage.Drop(key)} }})
}
