// Package autoscaler rents machines from the cloud and returns them to it. At regular intervals, it lets
// package fleet make a capacity plan, and carries out the plan. It does no I/O and reads no clock
// itself: the leader provides both.
package autoscaler

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Autoscaler rents machines from the cloud and returns them to it, by capacity plans that it makes at
// regular intervals. It belongs to one term of one leader.
type Autoscaler struct {
	state    *cluster.State
	records  RecordWriter
	recovery RecoveryLimits
	jobs     JobQueue

	cloud        *cloudCalls
	planning     *capacityPlanning
	input        *planInput
	rentals      *machineRentals
	returns      *machineReturns
	listing      *machineListing
	Forecast     *ArrivalForecast
	costs        costAccount
	planLoggedAt clock.Instant // when a plan was last logged; never: none yet
}

// Options are the dependencies of an autoscaler.
type Options struct {
	State     *cluster.State
	Term      uint64 // term of the leader; part of the request IDs of rentals
	Cloud     CloudClient
	Records   RecordWriter
	Recovery  RecoveryLimits
	Machines  MachineRegistry
	Jobs      JobQueue
	WallClock WallClock
	Store     StoreHealth
}

// capacityPlanning holds the planner, and the time and target of the last plan.
type capacityPlanning struct {
	planner     *fleet.Planner
	plannedAt   clock.Instant // when the last plan was made; never: a new plan is due at once
	targetCores float64       // number of cores that the last plan aims to hold
}

// Defaults of fleet.Settings.CostSensitivity. The lower it is, the more headroom is held on expensive
// machines.
const (
	// startSLOCostSensitivity applies if some SLO on starting is so short that only machines that
	// are up already can meet it.
	startSLOCostSensitivity = 0.3
	// defaultCostSensitivity applies if all SLOs on starting leave the time to boot a machine.
	defaultCostSensitivity = 2
)

const (
	// plansPerHeartbeat is the number of capacity plans per heartbeat interval.
	plansPerHeartbeat = 2
	// planLogsPerLease is the maximum number of log lines on capacity plans per worker lease.
	planLogsPerLease = 4
)

// New returns the autoscaler of a new leader. The first call of Tick makes a plan.
func New(options Options) *Autoscaler {
	state := options.State
	slosAllowQueueing := startSLOsAllowQueueing(state)
	cloud := newCloudCalls(state, options.Cloud)
	planning := &capacityPlanning{planner: newPlanner(state, slosAllowQueueing), plannedAt: clock.Never}
	forecast := newArrivalForecast(options)
	rentals := &machineRentals{state: state, cloud: cloud, records: options.Records, recovery: options.Recovery,
		machines: options.Machines, planning: planning, term: options.Term}
	return &Autoscaler{
		state: state, records: options.Records, recovery: options.Recovery, jobs: options.Jobs,
		cloud: cloud, planning: planning, Forecast: forecast, rentals: rentals,
		input: &planInput{state: state, jobs: options.Jobs, recovery: options.Recovery, rentals: rentals,
			forecast: forecast, slosAllowQueueing: slosAllowQueueing},
		returns: &machineReturns{state: state, cloud: cloud, recovery: options.Recovery, machines: options.Machines,
			nextRequestAt: clock.Never},
		listing:      &machineListing{state: state, cloud: cloud, machines: options.Machines, startedAt: clock.Never},
		costs:        costAccount{state: state},
		planLoggedAt: clock.Never,
	}
}

// startSLOsAllowQueueing reports whether all SLOs on starting leave the time to rent and boot a machine,
// so that jobs may be pending until it is up.
func startSLOsAllowQueueing(state *cluster.State) bool {
	for _, objective := range state.Config.Objectives {
		limitsStart := objective.Kind == "wait" || objective.Kind == "guarantee"
		if limitsStart && state.TooSoonToScaleOut(config.Seconds(objective.WithinS)) {
			return false
		}
	}
	return true
}

// newPlanner returns a planner with the cost sensitivity from the settings. If the settings have none, the
// default depends on whether the SLOs on starting allow queueing.
func newPlanner(state *cluster.State, slosAllowQueueing bool) *fleet.Planner {
	costSensitivity := float64(defaultCostSensitivity)
	if !slosAllowQueueing {
		costSensitivity = startSLOCostSensitivity
	}
	if override := state.Settings.CostSensitivity; override != nil {
		costSensitivity = *override
	}
	return fleet.NewPlanner(fleet.Settings{Headroom: state.Settings.Headroom, CostSensitivity: costSensitivity,
		Lease: state.Config.WorkerLease()})
}

// Tick makes and applies a new plan if one is due, and sends the requests to the cloud that the
// budgets allow now. The leader calls it in every step once all stored records are loaded.
func (a *Autoscaler) Tick() {
	now := a.state.Clock.Now()
	if now >= a.planning.plannedAt+a.state.HeartbeatInterval()/plansPerHeartbeat {
		a.planning.plannedAt = now
		a.jobs.ReleaseUndelivered()
		a.returns.drainUnresponsive()
		if a.state.Catalog != nil {
			a.ApplyPlan()
		}
		a.Forecast.save()
	}
	if a.cloud.backingOff() {
		return
	}
	// Returns of machines are sent first: they end costs, and they unblock jobs after a takeover.
	// Rentals are repeated for as long as the cloud lacks capacity, and must not use up the budget of
	// requests to the cloud.
	if !a.returns.requestReturns() {
		return
	}
	if a.recovery.MayScaleOut() {
		a.rentals.sendPending()
	}
	a.listing.startIfDue()
}

// ApplyPlan makes a capacity plan and carries it out: it begins rentals, begins or cancels drains, and
// moves tasks off surplus machines.
func (a *Autoscaler) ApplyPlan() {
	a.costs.update()
	a.Forecast.Decay()
	view := a.input.view()
	plan := a.planning.planner.Plan(view.View)
	a.planning.targetCores = plan.TargetCores
	for _, machine := range view.machinesOf(plan.CancelDrain) {
		a.state.CancelDrain(machine)
	}
	a.rentals.begin(plan.ScaleOut)
	a.logPlan(plan, view.UsualLoad)
	for _, machine := range view.machinesOf(plan.Needed) {
		machine.SurplusSince = a.state.Clock.Now()
	}
	for _, machine := range view.machinesOf(plan.Surplus) {
		a.state.BeginDrain(machine, cluster.SurplusCapacity)
	}
	if view.ScaleInAllowed {
		a.Consolidate(view.machinesOf(append(view.Kept, plan.CancelDrain...)))
	}
}

// logPlan logs the figures of a plan, at most planLogsPerLease times per worker lease.
func (a *Autoscaler) logPlan(plan *fleet.Plan, usualLoad float64) {
	now := a.state.Clock.Now()
	if now <= a.planLoggedAt+a.state.Config.WorkerLease()/planLogsPerLease {
		return
	}
	a.planLoggedAt = now
	usedCores, upCores, pendingCores := 0.0, 0.0, 0.0
	for _, machine := range a.state.Machines {
		usedCores += machine.UsedCores
		if machine.Up && machine.MachineType != nil {
			upCores += machine.MachineType.Cores
		}
	}
	for _, job := range a.state.RunnableJobs {
		pendingCores += float64(job.PendingTasks) * job.Spec.Cores
	}
	a.state.Log.Debug("capacity plan",
		"held", plan.HeldCores, "up", upCores, "used", usedCores, "pending", pendingCores,
		"demand", plan.DemandCores, "usual", usualLoad, "target", plan.TargetCores,
		"costs", a.costs.costBreakdown, "pendingWrites", a.records.PendingChanges())
}

// TargetCores returns the number of cores that the last plan aims to hold.
func (a *Autoscaler) TargetCores() float64 { return a.planning.targetCores }

// Demand returns the input from which the planner computes the demand for cores.
func (a *Autoscaler) Demand() fleet.Demand { return a.input.demand() }

// RecordArrival adds the work of a job that has become eligible to the forecast.
func (a *Autoscaler) RecordArrival(job *cluster.Job) { a.Forecast.recordArrival(job) }

// LoadForecast restores the forecast that an earlier leader stored.
func (a *Autoscaler) LoadForecast(items []storage.Item) { a.Forecast.load(items) }

// AddStoredRental adds a rental that an earlier leader stored and did not complete. Its request is sent to
// the cloud again.
func (a *Autoscaler) AddStoredRental(request protocol.RentalRequest) { a.rentals.addStored(request) }

// CompleteTakeover is called once all stored records are loaded. Costs are counted from now on, and the
// cores held determine the usual load.
func (a *Autoscaler) CompleteTakeover() {
	a.costs.updatedAt = a.state.Clock.Now()
	a.Forecast.inheritUsualLoad()
}
