package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/protocol"
)

// Machine is what the plan needs to know of a machine that is held.
type Machine struct {
	Name     string
	Option   Option
	Type     *protocol.MachineType
	Up       bool
	Reserved bool    // room on it is kept for a task
	IdleTo   float64 // core-normalised seconds for which its cores would be idle until it is empty
}

func (m *Machine) perCore() float64 { return m.Type.PerCore(m.Option.Spot) }

// Wish is a job that waits for machines.
type Wish struct {
	Spec    *protocol.Job
	Pending int // tasks
}

// View is what a plan is made of.
type View struct {
	Now        time.Duration
	Catalog    map[string]*protocol.MachineType
	Kept       []*Machine        // held, and not to be returned
	Leaving    []*Machine        // being emptied, as there were too many
	Rentals    []protocol.Rental // under way
	Demand     Demand
	Usual      float64 // cores that are usually at work
	UsualImage float64 // in GB
	Waiting    []Wish  // in the order in which they are served
	MayRent    bool
	MayShrink  bool
}

// Plan is what to do.
type Plan struct {
	Held, Demand, Target float64 // cores
	TakeBack             []*Machine
	Rent                 []Option
	Needed, Surplus      []*Machine
}

// Settings are the operators', and what follows from the aims.
type Settings struct {
	Headroom float64 // spare cores, as a ratio to the usual load
	// PriceExponent is how much less spare capacity is held of dearer machines: it is scaled by
	// (cheapest price / price) to this power.
	PriceExponent float64
	Lease         time.Duration
}

// Planner remembers what was refused.
type Planner struct {
	settings Settings
	refused  map[Option]*refusal
}

// refusal remembers that an option had no capacity.
type refusal struct {
	until time.Duration
	times int
}

const (
	// maxFresh bounds the machines that one plan rents.
	maxFresh = 50
	// maxRefusals bounds, in leases, for how long an option is left alone.
	maxRefusals = 3
	// wholeMachine: less than this part of a machine is no reason to hold a whole one.
	wholeMachine = 0.25
)

// NewPlanner begins with nothing refused.
func NewPlanner(settings Settings) *Planner {
	return &Planner{settings: settings, refused: map[Option]*refusal{}}
}

// Refuse leaves an option alone for a while, longer each time.
func (p *Planner) Refuse(o Option, now time.Duration) {
	r := p.refused[o]
	if r == nil {
		r = &refusal{}
		p.refused[o] = r
	}
	r.times = min(r.times+1, maxRefusals)
	r.until = now + p.settings.Lease*time.Duration(r.times)
}

// Served notes that an option could be had.
func (p *Planner) Served(o Option) { delete(p.refused, o) }

// Plan compares the cores held with those needed, and says what is to be rented and what has been
// too much.
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

// draft is a plan that is being made.
type draft struct {
	planner  *Planner
	view     *View
	plan     *Plan
	kept     []*Machine
	cheapest float64 // price per core
}

// count counts the cores that are held, and those that are about to be.
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

// worth is how many cores should be held before one of such a price is: the
// dearer it is, the less is held for work that has not come yet.
func (d *draft) worth(perCore float64) float64 {
	s := &d.planner.settings
	return max(d.plan.Demand, d.view.Usual*(1+s.Headroom)*math.Pow(d.cheapest/perCore, s.PriceExponent))
}

// takeBack keeps what is still being emptied before anything is rented, the cheapest first.
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

// rentForAll rents up to the target.
func (d *draft) rentForAll() {
	for len(d.plan.Rent) < maxFresh && d.plan.Held < d.plan.Target {
		option, t := d.choose(nil, d.plan.Target-d.plan.Held)
		if t == nil || d.worth(t.PerCore(option.Spot))-d.plan.Held <= t.Cores*wholeMachine { // as in shrink
			return
		}
		d.plan.Rent = append(d.plan.Rent, option)
		d.plan.Held += t.Cores
	}
}

// rentForTheUnserved rents for jobs that no machine held, or about to be, can run.
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

// served tells whether some machine held, or about to be rented, can run the job.
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

// choose finds what to rent, for a job or (nil) for all: the cheapest for the
// cores that would be used.
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

// cost is the price of each core that would be used. Until a machine is up and has its first
// image, it costs money for nothing, and the work waits.
func (d *draft) cost(t *protocol.MachineType, spot bool, cores float64) float64 {
	idle := t.ReadyS + d.view.UsualImage/t.PullGBPerS
	span := levelSpan * d.planner.settings.Lease.Seconds()
	return t.Price(spot) * (1 + idle/span) / min(t.Cores, max(cores, 1))
}

// shrink gives up machines that are too many: the dear ones first,
// and among those the ones that would be idle for the shortest time until empty.
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
