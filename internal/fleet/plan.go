package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/protocol"
)

// Machine is the planner's view of a rented machine.
type Machine struct {
	Name           string
	Offering       Offering
	Type           *protocol.MachineType
	Up             bool    // the machine sends heartbeats and its worker lease has not expired
	Reserved       bool    // the machine is reserved for a job
	IdleUntilEmpty float64 // seconds for which a core is idle on average until the last of the present tasks ends
}

// pricePerCore returns the current price of the machine per core and hour.
func (m *Machine) pricePerCore() float64 { return m.Type.PricePerCore(m.Offering.Spot) }

// PendingJob is a job with tasks that are not assigned to a machine.
type PendingJob struct {
	Spec         *protocol.Job
	PendingTasks int
}

// View is the input of a plan.
type View struct {
	Now             time.Duration                    // instant of the plan
	Catalog         map[string]*protocol.MachineType // machine types, by name
	Kept            []*Machine                       // machines that are not draining
	Draining        []*Machine                       // machines that are draining as surplus
	PendingRentals  []protocol.RentalRequest         // rentals that the cloud has not answered
	Demand          Demand
	UsualLoad       float64      // cores that recent arrivals keep busy
	MeanImageGB     float64      // mean image size of the runnable jobs, in GB
	PendingJobs     []PendingJob // in scheduling order
	ScaleOutAllowed bool         // machines may be rented
	ScaleInAllowed  bool         // surplus machines may be returned
}

// Plan is a capacity plan: the cores to hold, and the machines to rent, keep and drain for that.
type Plan struct {
	// HeldCores are the cores of the kept machines, the pending rentals, CancelDrain and ScaleOut.
	// DemandCores are the cores that the jobs require. TargetCores is the larger of DemandCores and the
	// usual load plus headroom.
	HeldCores, DemandCores, TargetCores float64
	CancelDrain                         []*Machine // draining machines that are needed again
	ScaleOut                            []Offering // offerings to rent, one entry for each machine
	Needed, Surplus                     []*Machine // to keep, and to drain; both empty unless ScaleInAllowed
}

// Settings are the settings of a planner.
type Settings struct {
	Headroom float64 // spare cores, as a ratio to the usual load
	// CostSensitivity determines how much fewer cores are held on more expensive machines: the usual
	// load plus headroom is scaled by (lowest price / price) to the power of CostSensitivity.
	CostSensitivity float64
	Lease           time.Duration // worker lease
}

// Planner makes capacity plans. Between plans, it keeps only the backoffs of offerings that had no
// capacity.
type Planner struct {
	settings Settings
	backoffs map[Offering]*capacityBackoff
}

// capacityBackoff excludes an offering that had no capacity from new rentals for some time.
type capacityBackoff struct {
	until    time.Duration // end of the backoff
	refusals int           // consecutive rentals that the cloud could not fill, at most maxBackoffLeases
}

const (
	// maxMachinesPerPlan bounds the machines that one plan rents.
	maxMachinesPerPlan = 50
	// maxBackoffLeases bounds the backoff of an offering, in worker leases.
	maxBackoffLeases = 3
	// minMachineFraction is the fraction of a machine's cores that must be needed. Otherwise the
	// machine is neither rented nor kept.
	minMachineFraction = 0.25
)

// NewPlanner returns a planner without backoffs.
func NewPlanner(settings Settings) *Planner {
	return &Planner{settings: settings, backoffs: map[Offering]*capacityBackoff{}}
}

// MarkUnavailable excludes an offering from new rentals after the cloud had no capacity for it. The first
// backoff is one worker lease, and each further one is a lease longer, up to maxBackoffLeases.
func (p *Planner) MarkUnavailable(offering Offering, now time.Duration) {
	backoff := p.backoffs[offering]
	if backoff == nil {
		backoff = &capacityBackoff{}
		p.backoffs[offering] = backoff
	}
	backoff.refusals = min(backoff.refusals+1, maxBackoffLeases)
	backoff.until = now + p.settings.Lease*time.Duration(backoff.refusals)
}

// MarkAvailable ends the backoff of an offering for which the cloud had capacity.
func (p *Planner) MarkAvailable(offering Offering) { delete(p.backoffs, offering) }

// Plan compares the cores held with those needed and returns which machines to rent, to keep and to
// drain.
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

// planBuilder holds the state of one call of Planner.Plan.
type planBuilder struct {
	planner            *Planner
	view               *View
	plan               *Plan
	kept               []*Machine // machines that do not drain, among which scaleIn selects the surplus
	lowestPricePerCore float64    // lowest price per core and hour in the catalog
}

// countHeldCores adds up the cores of the kept machines and of the pending rentals.
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

// targetCoresAtPrice returns the total number of cores up to which machines at a price per core are held.
// The usual load plus headroom is scaled down for more expensive machines; the cores that the jobs
// require are held at any price.
func (b *planBuilder) targetCoresAtPrice(pricePerCore float64) float64 {
	settings := &b.planner.settings
	headroomShare := math.Pow(b.lowestPricePerCore/pricePerCore, settings.CostSensitivity)
	return max(b.plan.DemandCores, b.view.UsualLoad*(1+settings.Headroom)*headroomShare)
}

// cancelDrains cancels the drain of machines that are needed, the cheapest first. It runs before
// machines are rented, so that no machine is rented while a draining one can serve.
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

// scaleOutToTarget adds rentals until the target or maxMachinesPerPlan is reached, no offering is
// available, or the best available one is too expensive to hold more machines of it.
func (b *planBuilder) scaleOutToTarget() {
	for len(b.plan.ScaleOut) < maxMachinesPerPlan && b.plan.HeldCores < b.plan.TargetCores {
		offering, machineType := b.chooseOffering(nil, b.plan.TargetCores-b.plan.HeldCores)
		if machineType == nil {
			return
		}
		missingCores := b.targetCoresAtPrice(machineType.PricePerCore(offering.Spot)) - b.plan.HeldCores
		if missingCores <= machineType.Cores*minMachineFraction { // the same threshold as in scaleIn
			return
		}
		b.plan.ScaleOut = append(b.plan.ScaleOut, offering)
		b.plan.HeldCores += machineType.Cores
	}
}

// scaleOutForUnplaceableJobs adds a rental for each pending job that fits on no machine that is held,
// requested or already in the plan.
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

// placeable reports whether a task of a job would fit on a machine that is kept, requested or in the
// plan if that machine were empty.
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

// chooseOffering returns the available offering with the lowest cost per used core on which the job
// fits; a nil job fits on all. cores is the number of cores needed. The machine type is nil if there
// is no such offering.
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

// costPerUsedCore returns the price per hour of each core of a machine that would be used if the given
// number of cores is needed. It includes the time in which the machine boots and pulls its first image,
// because that time is paid for while work waits.
func (b *planBuilder) costPerUsedCore(machineType *protocol.MachineType, spot bool, cores float64) float64 {
	startupSeconds := machineType.BootSeconds + b.view.MeanImageGB/machineType.PullGBPerSecond
	windowSeconds := shortWindowLeases * b.planner.settings.Lease.Seconds()
	return machineType.Price(spot) * (1 + startupSeconds/windowSeconds) / min(machineType.Cores, max(cores, 1))
}

// scaleIn selects surplus machines: the most expensive first, and at the same price first those with the
// least idle time until they are empty. Booting and reserved machines are never surplus.
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
