package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/protocol"
)

// Machine is the planner's view of a machine that is held.
type Machine struct {
	Name     string
	Option   Option
	Type     *protocol.MachineType
	Up       bool    // it sends heartbeats
	Reserved bool    // capacity on it is reserved for a task
	IdleTo   float64 // mean seconds for which a core would be idle until the machine is empty
}

// pricePerCore returns the price of the machine per core.
func (m *Machine) perCore() float64 { return m.Type.PerCore(m.Option.Spot) }

// PendingJob is a job with pending tasks.
type Wish struct {
	Spec    *protocol.Job
	Pending int
}

// View is the input of a plan.
type View struct {
	Now        time.Duration
	Catalog    map[string]*protocol.MachineType
	Kept       []*Machine        // held and not draining
	Leaving    []*Machine        // draining as surplus
	Rentals    []protocol.Rental // requested, and not answered yet
	Demand     Demand
	Usual      float64 // cores that are usually busy
	UsualImage float64
	Waiting    []Wish // in scheduling order
	MayRent    bool
	MayShrink  bool
}

// Plan is a capacity plan: what to do to hold the cores that are needed.
type Plan struct {
	Held, Demand, Target float64    // cores
	TakeBack             []*Machine // draining machines to keep after all
	Rent                 []Option   // offerings to rent, one entry for each machine
	Needed, Surplus      []*Machine // kept machines that are needed, and those to drain
}

// Settings are the settings of a planner.
type Settings struct {
	Headroom float64 // spare cores, as a ratio to the usual load
	// CostSensitivity determines how much less headroom is held on dearer machines: it is scaled
	// by (lowest price / price) to this power.
	PriceExponent float64
	Lease         time.Duration // of the workers
}

// Planner makes capacity plans. It remembers which offerings had no capacity.
type Planner struct {
	settings Settings
	refused  map[Option]*refusal
}

// capacityBackoff is the time for which an offering without capacity is left out.
type refusal struct {
	until time.Duration
	times int
}

const (
	// maxMachinesPerPlan bounds the machines that one plan rents.
	maxFresh = 50
	// maxBackoffLeases bounds the backoff of an offering, in worker leases.
	maxRefusals = 3
	// minMachineFraction is the fraction of a machine that must be needed for a whole one to be
	// held.
	wholeMachine = 0.25
)

// NewPlanner returns a planner to which all offerings are available.
func NewPlanner(settings Settings) *Planner {
	return &Planner{settings: settings, refused: map[Option]*refusal{}}
}

// MarkUnavailable leaves out an offering for a while, longer after each refusal.
func (p *Planner) Refuse(o Option, now time.Duration) {
	r := p.refused[o]
	if r == nil {
		r = &refusal{}
		p.refused[o] = r
	}
	r.times = min(r.times+1, maxRefusals)
	r.until = now + p.settings.Lease*time.Duration(r.times)
}

// MarkAvailable ends the backoff of an offering that had capacity.
func (p *Planner) Served(o Option) { delete(p.refused, o) }

// Plan compares the cores held with those needed and returns what to rent, what to keep and what
// is surplus.
func (p *Planner) Plan(v *View) *Plan {
	d := &draft{planner: p, view: v, plan: &Plan{}, kept: slices.Clone(v.Kept), cheapest: math.Inf(1)}
	for _, t := range v.Catalog {
		d.cheapest = min(d.cheapest, t.PerCore(true), t.PerCore(false))
	}
	d.count()
	d.plan.Demand = v.Demand.Cores(d.plan.Held)
	d.plan.Target = max(d.plan.Demand, v.Usual*(1+p.settings.Headroom))
	d.takeBack()
	if v.MayRent {
		d.rentForAll()
		d.rentForTheUnserved()
	}
	if v.MayShrink {
		d.shrink()
	}
	return d.plan
}

// planBuilder is a plan that is being made.
type draft struct {
	planner  *Planner
	view     *View
	plan     *Plan
	kept     []*Machine
	cheapest float64 // of all offerings
}

// countHeldCores adds up the cores that are held or requested.
func (d *draft) count() {
	for _, m := range d.view.Kept {
		d.plan.Held += m.Type.Cores
	}
	for _, r := range d.view.Rentals {
		if t := d.view.Catalog[r.Type]; t != nil {
			d.plan.Held += t.Cores * float64(r.Count)
		}
	}
}

// coresWorthHolding returns the number of cores up to which machines of a price are worth holding:
// the dearer they are, the less headroom is held on them.
func (d *draft) worth(perCore float64) float64 {
	s := &d.planner.settings
	return max(d.plan.Demand, d.view.Usual*(1+s.Headroom)*math.Pow(d.cheapest/perCore, s.PriceExponent))
}

// cancelDrains keeps draining machines that are needed, before anything is rented, the cheapest
// first.
func (d *draft) takeBack() {
	leaving := slices.Clone(d.view.Leaving)
	slices.SortStableFunc(leaving, func(a, b *Machine) int { return cmp.Compare(a.perCore(), b.perCore()) })
	for _, m := range leaving {
		if d.plan.Held+m.Type.Cores/2 > d.worth(m.perCore()) {
			continue
		}
		d.plan.TakeBack = append(d.plan.TakeBack, m)
		d.plan.Held += m.Type.Cores
		d.kept = append(d.kept, m)
	}
}

// scaleOutToTarget rents machines up to the target.
func (d *draft) rentForAll() {
	for len(d.plan.Rent) < maxFresh && d.plan.Held < d.plan.Target {
		option, t := d.choose(nil, d.plan.Target-d.plan.Held)
		if t == nil || d.worth(t.PerCore(option.Spot))-d.plan.Held <= t.Cores*wholeMachine { // as in scaleIn
			return
		}
		d.plan.Rent = append(d.plan.Rent, option)
		d.plan.Held += t.Cores
	}
}

// scaleOutForUnplaceableJobs rents machines for the jobs that fit on none that is held or
// requested.
func (d *draft) rentForTheUnserved() {
	for _, w := range d.view.Waiting {
		if len(d.plan.Rent) >= maxFresh {
			return
		}
		if d.served(w.Spec) {
			continue
		}
		if option, t := d.choose(w.Spec, w.Spec.Cores*float64(w.Pending)); t != nil {
			d.plan.Rent = append(d.plan.Rent, option)
			d.plan.Held += t.Cores
		}
	}
}

// placeable reports whether a job fits on a machine that is held, requested, or about to be.
func (d *draft) served(j *protocol.Job) bool {
	for _, m := range d.kept {
		if m.Option.Fits(j, m.Type) {
			return true
		}
	}
	fits := func(o Option) bool { return o.Fits(j, d.view.Catalog[o.Type]) }
	for _, r := range d.view.Rentals {
		if fits(Option{r.Type, r.Zone, r.Spot}) {
			return true
		}
	}
	return slices.ContainsFunc(d.plan.Rent, fits)
}

// chooseOffering returns the offering with the lowest cost per used core, for one job, or for any
// if the job is nil. The machine type is nil if no offering is available.
func (d *draft) choose(j *protocol.Job, cores float64) (Option, *protocol.MachineType) {
	var best Option
	var bestType *protocol.MachineType
	bestCost := math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(d.view.Catalog)) {
		t := d.view.Catalog[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				option := Option{t.Name, zone, spot}
				if r := d.planner.refused[option]; r != nil && d.view.Now < r.until {
					continue
				}
				if j != nil && !option.Fits(j, t) {
					continue
				}
				if cost := d.cost(t, spot, cores); cost < bestCost {
					best, bestType, bestCost = option, t, cost
				}
			}
		}
	}
	return best, bestType
}

// costPerUsedCore returns the price of each core that would be used. It includes the time in which
// the machine boots and pulls its first image, which costs money while work waits.
func (d *draft) cost(t *protocol.MachineType, spot bool, cores float64) float64 {
	idle := t.ReadyS + d.view.UsualImage/t.PullGBPerS
	span := levelSpan * d.planner.settings.Lease.Seconds()
	return t.Price(spot) * (1 + idle/span) / min(t.Cores, max(cores, 1))
}

// scaleIn selects surplus machines: the dearest first, and of equal ones those with the least idle
// time until they are empty.
func (d *draft) shrink() {
	slices.SortStableFunc(d.kept, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(b.perCore(), a.perCore()), cmp.Compare(a.IdleTo, b.IdleTo))
	})
	held := d.plan.Held
	for _, m := range d.kept {
		if held-m.Type.Cores < d.worth(m.perCore())-m.Type.Cores*wholeMachine || !m.Up || m.Reserved {
			d.plan.Needed = append(d.plan.Needed, m)
			continue
		}
		held -= m.Type.Cores
		d.plan.Surplus = append(d.plan.Surplus, m)
	}
}
