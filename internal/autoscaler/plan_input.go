package autoscaler

import (
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/fleet"
)

// planInput derives the input of the planner from the cluster state.
type planInput struct {
	state    *cluster.State
	jobs     JobQueue
	recovery RecoveryLimits
	rentals  *machineRentals
	forecast *ArrivalForecast

	slosAllowQueueing bool // all SLOs on starting leave the time to rent and boot a machine
}

// planView is the input of the planner, with the cluster.Machine of each fleet.Machine in it.
type planView struct {
	*fleet.View
	machineOf map[*fleet.Machine]*cluster.Machine
}

// machinesOf returns the cluster.Machine of each of the given machines of the plan.
func (v *planView) machinesOf(planned []*fleet.Machine) []*cluster.Machine {
	machines := make([]*cluster.Machine, 0, len(planned))
	for _, entry := range planned {
		machines = append(machines, v.machineOf[entry])
	}
	return machines
}

// addMachine adds a machine to the kept or the draining machines of the view.
func (v *planView) addMachine(machine *cluster.Machine, planned *fleet.Machine) {
	v.machineOf[planned] = machine
	if machine.Draining {
		v.Draining = append(v.Draining, planned)
	} else {
		v.Kept = append(v.Kept, planned)
	}
}

// view returns the input of the planner. Machines of an unknown type, terminating ones, and those
// that are draining for any reason but surplus capacity are left out.
func (i *planInput) view() *planView {
	now := i.state.Clock.Now()
	view := &planView{machineOf: map[*fleet.Machine]*cluster.Machine{}, View: &fleet.View{
		Now: now, Catalog: i.state.Catalog, Demand: i.demand(),
		UsualLoad: i.forecast.UsualLoad(), MeanImageGB: i.meanImageGB(),
		ScaleOutAllowed: i.recovery.MayScaleOut(), ScaleInAllowed: i.recovery.MayScaleIn(),
	}}
	for _, machine := range i.state.MachinesByName() {
		if machine.MachineType == nil || machine.Terminating || machine.Draining && !isSurplus(machine) {
			continue
		}
		view.addMachine(machine, &fleet.Machine{
			Name: machine.Name, Offering: machine.Offering(), Type: machine.MachineType,
			Up: machine.Up, Reserved: machine.ReservedFor != nil, IdleUntilEmpty: i.state.IdleUntilEmpty(machine),
		})
	}
	for _, rental := range i.rentals.pending {
		view.PendingRentals = append(view.PendingRentals, rental.RentalRequest)
	}
	for _, job := range i.jobs.PendingJobs() {
		waitsForProbe := job.FailsEverywhere && now < job.NextProbeAt
		if !waitsForProbe && !job.Terminal && job.PendingTasks > 0 {
			pending := fleet.PendingJob{Spec: &job.Spec, PendingTasks: job.PendingTasks}
			view.PendingJobs = append(view.PendingJobs, pending)
		}
	}
	return view
}

// demand returns the input from which the planner computes the demand for cores.
func (i *planInput) demand() fleet.Demand {
	demand := fleet.Demand{
		Now: i.state.Clock.Now(), BootTime: i.state.BootTime(), StartWithin: cluster.PlannedStartWithin,
	}
	if i.slosAllowQueueing {
		// Otherwise the forecast is left out: headroom is held anyway for work that must start soon.
		demand.Forecast = i.forecast.Forecast
	}
	pullRate := i.state.ImagePullRate()
	totals := i.state.CurrentMachineTotals()
	pendingShare := i.minPendingShare(&totals)
	for _, job := range i.state.RunnableJobs {
		if job.Terminal {
			continue
		}
		planned := i.plannedJob(job, pullRate)
		if i.jobs.MayRunUnreported(job, &totals) {
			planned.RemainingWork *= pendingShare
		}
		demand.Jobs = append(demand.Jobs, planned)
	}
	return demand
}

// minPendingShare returns a share (0 to 1) of the work that may be running on unreconciled machines. At
// least this share is certainly still pending, as those machines can't run more than their cores allow.
// When none of that work was counted, a fleet that was short of machines did not scale out until the
// worker leases of hung machines had expired.
func (i *planInput) minPendingShare(totals *cluster.MachineTotals) float64 {
	if !i.recovery.Limited() {
		return 1
	}
	pendingCores := 0.0
	for _, job := range i.state.RunnableJobs {
		if !job.Terminal && i.jobs.MayRunUnreported(job, totals) {
			pendingCores += float64(job.PendingTasks) * job.Spec.Cores
		}
	}
	return max(0, 1-totals.UnknownUsage.Cores/max(pendingCores, cluster.ResourceTolerance))
}

// plannedJob returns the planner's view of a job.
func (i *planInput) plannedJob(job *cluster.Job, pullRate cluster.ImagePullRate) fleet.Job {
	planned := fleet.Job{
		CoresPerTask:    job.Spec.Cores,
		TaskDuration:    i.taskDuration(job, pullRate),
		RemainingWork:   i.state.RemainingCoreSeconds(job, pullRate),
		FailsEverywhere: job.FailsEverywhere,
		Due:             i.state.Due(job),
		EligibleAt:      job.EligibleAt,
		SLOReserve:      i.startSLOReserve(job),
		Started:         job.HasStarted(),
		MinShare:        i.state.MinShare[job.Spec.Class],
	}
	now := i.state.Clock.Now()
	for _, dependent := range i.jobs.SoonReleasedDependents(job, i.state.BootTime()) {
		planned.UpcomingDependents = append(planned.UpcomingDependents, fleet.UpcomingJob{
			TaskDuration: i.taskDuration(dependent, pullRate),
			DueIn:        i.state.DueFrom(dependent, now) - now,
			Work:         i.state.RemainingCoreSeconds(dependent, pullRate),
		})
	}
	return planned
}

// taskDuration returns the expected duration of one task of a job, including the pull of its
// image.
func (i *planInput) taskDuration(job *cluster.Job, pullRate cluster.ImagePullRate) time.Duration {
	return i.state.ExpectedTaskDuration(job) + pullRate.PullDuration(job.Spec.ImageGB)
}

// meanImageGB returns the mean image size of the runnable jobs, in GB.
func (i *planInput) meanImageGB() float64 {
	sum := 0.0
	for _, job := range i.state.RunnableJobs {
		sum += job.Spec.ImageGB
	}
	return sum / max(1, float64(len(i.state.RunnableJobs)))
}

// startSLOReservePercent is the part of the time limit of an SLO on starting, in percent, that the plan
// keeps as slack.
const startSLOReservePercent = 40

// startSLOReserve returns the part of the time limit of a job's SLO on starting that the plan keeps as
// slack for takeovers, outages and lost machines. It is 0 for a job with a deadline or without such an SLO.
func (i *planInput) startSLOReserve(job *cluster.Job) time.Duration {
	if job.Spec.DeadlineSeconds != nil {
		return 0
	}
	return i.state.StartSLO(job) * startSLOReservePercent / 100
}
