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
	Name           string
	Offering       Offering
	Type           *protocol.MachineType
	Up             bool    // it sends heartbeats
	Reserved       bool    // capacity on it is reserved for a task
	IdleUntilEmpty float64 // mean seconds for which a core would be idle until the machine is empty
}

// pricePerCore returns the price of the machine per core.
func (m *Machine) pricePerCore() float64 { return m.Type.PricePerCore(m.Offering.Spot) }

// PendingJob is a job with pending tasks.
type PendingJob struct {
	Spec         *protocol.Job
	PendingTasks int
}

// View is the input of a plan.
type View struct {
	Now             time.Duration
	Catalog         map[string]*protocol.MachineType
	Kept            []*Machine               // held and not draining
	Draining        []*Machine               // draining as surplus
	PendingRentals  []protocol.RentalRequest // requested, and not answered yet
	Demand          Demand
	UsualLoad       float64 // cores that are usually busy
	MeanImageGB     float64
	PendingJobs     []PendingJob // in scheduling order
	ScaleOutAllowed bool
	ScaleInAllowed  bool
}

// Plan is a capacity plan: what to do to hold the cores that are needed.
type Plan struct {
	HeldCores, DemandCores, TargetCores float64    // cores
	CancelDrain                         []*Machine // draining machines to keep after all
	ScaleOut                            []Offering // offerings to rent, one entry for each machine
	Needed, Surplus                     []*Machine // kept machines that are needed, and those to drain
}

// Settings are the settings of a planner.
type Settings struct {
	Headroom float64 // spare cores, as a ratio to the usual load
	// CostSensitivity determines how much less headroom is held on more expensive machines: it is scaled
	// by (lowest price / price) to this power.
	CostSensitivity float64
	Lease           time.Duration // of the workers
}

// Planner makes capacity plans. It remembers which offerings had no capacity.
type Planner struct {
	settings Settings
	backoffs map[Offering]*capacityBackoff
}

// capacityBackoff is the time for which an offering without capacity is left out.
type capacityBackoff struct {
	until    time.Duration
	refusals int
}

const (
	// maxMachinesPerPlan bounds the machines that one plan rents.
	maxMachinesPerPlan = 50
	// maxBackoffLeases bounds the backoff of an offering, in worker leases.
	maxBackoffLeases = 3
	// minMachineFraction is the fraction of a machine that must be needed for a whole one to be
	// held.
	minMachineFraction = 0.25
)

// NewPlanner returns a planner to which all offerings are available.
func NewPlanner(settings Settings) *Planner {
	return &Planner{settings: settings, backoffs: map[Offering]*capacityBackoff{}}
}

// MarkUnavailable leaves out an offering for a while, longer after each refusal.
func (p *Planner) MarkUnavailable(offering Offering, now time.Duration) {
	backoff := p.backoffs[offering]
	if backoff == nil {
		backoff = &capacityBackoff{}
		p.backoffs[offering] = backoff
	}
	backoff.refusals = min(backoff.refusals+1, maxBackoffLeases)
	backoff.until = now + p.settings.Lease*time.Duration(backoff.refusals)
}

// MarkAvailable ends the backoff of an offering that had capacity.
func (p *Planner) MarkAvailable(offering Offering) { delete(p.backoffs, offering) }

// Plan compares the cores held with those needed and returns what to rent, what to keep and what
// is surplus.
func (p *Planner) Plan(view *View) *Plan {
	builder := &planBuilder{
		planner: p, view: view, plan: &Plan{},
		kept: slices.Clone(view.Kept), lowestPricePerCore: math.Inf(1),
	}
	for _, machineType := range view.Catalog {
		spotPrice, onDemandPrice := machineType.PricePerCore(true), machineType.PricePerCore(false)
		builder.lowestPricePerCore = min(builder.lowestPricePerCore, spotPrice, onDemandPrice)
	}
	builder.countHeldCores()
	builder.plan.DemandCores = view.Demand.RequiredCores(builder.plan.HeldCores)
	builder.plan.TargetCores = max(builder.plan.DemandCores, view.UsualLoad*(1+p.settings.Headroom))
	builder.cancelDrains()
	if view.ScaleOutAllowed {
		builder.scaleOutToTarget()
		builder.scaleOutForUnplaceableJobs()
	}
	if view.ScaleInAllowed {
		builder.scaleIn()
	}
	return builder.plan
}

// planBuilder is a plan that is being made.
type planBuilder struct {
	planner            *Planner
	view               *View
	plan               *Plan
	kept               []*Machine
	lowestPricePerCore float64 // of all offerings
}

// countHeldCores adds up the cores that are held or requested.
func (b *planBuilder) countHeldCores() {
	for _, machine := range b.view.Kept {
		b.plan.HeldCores += machine.Type.Cores
	}
	for _, rental := range b.view.PendingRentals {
		if machineType := b.view.Catalog[rental.Type]; machineType != nil {
			b.plan.HeldCores += machineType.Cores * float64(rental.Count)
		}
	}
}

// targetCoresAtPrice returns the number of cores up to which machines of a price are worth holding:
// the more expensive they are, the less headroom is held on them.
func (b *planBuilder) targetCoresAtPrice(pricePerCore float64) float64 {
	settings := &b.planner.settings
	headroomShare := math.Pow(b.lowestPricePerCore/pricePerCore, settings.CostSensitivity)
	return max(b.plan.DemandCores, b.view.UsualLoad*(1+settings.Headroom)*headroomShare)
}

// cancelDrains keeps draining machines that are needed, before anything is rented, the cheapest
// first.
func (b *planBuilder) cancelDrains() {
	draining := slices.Clone(b.view.Draining)
	slices.SortStableFunc(draining, func(a, b *Machine) int { return cmp.Compare(a.pricePerCore(), b.pricePerCore()) })
	for _, machine := range draining {
		if b.plan.HeldCores+machine.Type.Cores/2 > b.targetCoresAtPrice(machine.pricePerCore()) {
			continue
		}
		b.plan.CancelDrain = append(b.plan.CancelDrain, machine)
		b.plan.HeldCores += machine.Type.Cores
		b.kept = append(b.kept, machine)
	}
}

// scaleOutToTarget rents machines up to the target.
func (b *planBuilder) scaleOutToTarget() {
	for len(b.plan.ScaleOut) < maxMachinesPerPlan && b.plan.HeldCores < b.plan.TargetCores {
		offering, machineType := b.chooseOffering(nil, b.plan.TargetCores-b.plan.HeldCores)
		if machineType == nil {
			return
		}
		missingCores := b.targetCoresAtPrice(machineType.PricePerCore(offering.Spot)) - b.plan.HeldCores
		if missingCores <= machineType.Cores*minMachineFraction { // as in scaleIn
			return
		}
		b.plan.ScaleOut = append(b.plan.ScaleOut, offering)
		b.plan.HeldCores += machineType.Cores
	}
}

// scaleOutForUnplaceableJobs rents machines for the jobs that fit on none that is held or
// requested.
func (b *planBuilder) scaleOutForUnplaceableJobs() {
	for _, pending := range b.view.PendingJobs {
		if len(b.plan.ScaleOut) >= maxMachinesPerPlan {
			return
		}
		if b.placeable(pending.Spec) {
			continue
		}
		pendingCores := pending.Spec.Cores * float64(pending.PendingTasks)
		if offering, machineType := b.chooseOffering(pending.Spec, pendingCores); machineType != nil {
			b.plan.ScaleOut = append(b.plan.ScaleOut, offering)
			b.plan.HeldCores += machineType.Cores
		}
	}
}

// placeable reports whether a job fits on a machine that is held, requested, or about to be.
func (b *planBuilder) placeable(job *protocol.Job) bool {
	for _, machine := range b.kept {
		if machine.Offering.Fits(job, machine.Type) {
			return true
		}
	}
	fits := func(offering Offering) bool { return offering.Fits(job, b.view.Catalog[offering.Type]) }
	for _, rental := range b.view.PendingRentals {
		if fits(Offering{rental.Type, rental.Zone, rental.Spot}) {
			return true
		}
	}
	return slices.ContainsFunc(b.plan.ScaleOut, fits)
}

// chooseOffering returns the offering with the lowest cost per used core, for one job, or for any
// if the job is nil. The machine type is nil if no offering is available.
func (b *planBuilder) chooseOffering(job *protocol.Job, cores float64) (Offering, *protocol.MachineType) {
	var best Offering
	var bestType *protocol.MachineType
	bestCost := math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(b.view.Catalog)) {
		machineType := b.view.Catalog[name]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				offering := Offering{machineType.Name, zone, spot}
				if backoff := b.planner.backoffs[offering]; backoff != nil && b.view.Now < backoff.until {
					continue
				}
				if job != nil && !offering.Fits(job, machineType) {
					continue
				}
				if cost := b.costPerUsedCore(machineType, spot, cores); cost < bestCost {
					best, bestType, bestCost = offering, machineType, cost
				}
			}
		}
	}
	return best, bestType
}

// costPerUsedCore returns the price of each core that would be used. It includes the time in which
// the machine boots and pulls its first image, which costs money while work waits.
func (b *planBuilder) costPerUsedCore(machineType *protocol.MachineType, spot bool, cores float64) float64 {
	startupSeconds := machineType.BootSeconds + b.view.MeanImageGB/machineType.PullGBPerSecond
	windowSeconds := shortWindowLeases * b.planner.settings.Lease.Seconds()
	return machineType.Price(spot) * (1 + startupSeconds/windowSeconds) / min(machineType.Cores, max(cores, 1))
}

// scaleIn selects surplus machines: the most expensive first, and of equal ones those with the
// least idle time until they are empty.
func (b *planBuilder) scaleIn() {
	slices.SortStableFunc(b.kept, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(b.pricePerCore(), a.pricePerCore()), cmp.Compare(a.IdleUntilEmpty, b.IdleUntilEmpty))
	})
	heldCores := b.plan.HeldCores
	for _, machine := range b.kept {
		minCores := b.targetCoresAtPrice(machine.pricePerCore()) - machine.Type.Cores*minMachineFraction
		if heldCores-machine.Type.Cores < minCores || !machine.Up || machine.Reserved {
			b.plan.Needed = append(b.plan.Needed, machine)
			continue
		}
		heldCores -= machine.Type.Cores
		b.plan.Surplus = append(b.plan.Surplus, machine)
	}
}
