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

	slosAllowQueueing bool // all SLOs on starting leave the time to boot a machine
}

// planView is the input of the planner, with the machines that its entries stand for.
type planView struct {
	*fleet.View
	machineOf map[*fleet.Machine]*cluster.Machine
}

// machinesOf returns the machines that entries of a plan stand for.
func (v *planView) machinesOf(planned []*fleet.Machine) []*cluster.Machine {
	machines := make([]*cluster.Machine, 0, len(planned))
	for _, m := range planned {
		machines = append(machines, v.machineOf[m])
	}
	return machines
}

// addMachine adds a machine that is held.
func (v *planView) addMachine(m *cluster.Machine, planned *fleet.Machine) {
	v.machineOf[planned] = m
	if m.Draining {
		v.Draining = append(v.Draining, planned)
	} else {
		v.Kept = append(v.Kept, planned)
	}
}

// view returns the input of the planner.
func (i *planInput) view() *planView {
	now := i.state.Clock.Now()
	view := &planView{machineOf: map[*fleet.Machine]*cluster.Machine{}, View: &fleet.View{
		Now: now, Catalog: i.state.Catalog, Demand: i.demand(),
		UsualLoad: i.forecast.UsualLoad(), MeanImageGB: i.meanImageGB(),
		ScaleOutAllowed: i.recovery.MayScaleOut(), ScaleInAllowed: i.recovery.MayScaleIn(),
	}}
	for _, m := range i.state.MachinesByName() {
		if m.MachineType == nil || m.Terminating || m.Draining && m.DrainReason != cluster.SurplusCapacity {
			continue
		}
		view.addMachine(m, &fleet.Machine{Name: m.Name, Offering: m.Offering(), Type: m.MachineType, Up: m.Up,
			Reserved: m.ReservedFor != nil, IdleUntilEmpty: i.state.IdleUntilEmpty(m)})
	}
	for _, rental := range i.rentals.pending {
		view.PendingRentals = append(view.PendingRentals, rental.RentalRequest)
	}
	for _, j := range i.jobs.PendingJobs() {
		waitsForProbe := j.FailsEverywhere && now < j.NextProbeAt
		if !waitsForProbe && !j.Terminal && j.PendingTasks > 0 {
			view.PendingJobs = append(view.PendingJobs, fleet.PendingJob{Spec: &j.Spec, PendingTasks: j.PendingTasks})
		}
	}
	return view
}

// demand returns the input from which the planner derives the demand for cores.
func (i *planInput) demand() fleet.Demand {
	demand := fleet.Demand{Now: i.state.Clock.Now(), BootTime: i.state.BootTime(), StartWithin: cluster.PlannedStartWithin}
	if i.slosAllowQueueing {
		// Otherwise headroom is held for work that has to start soon anyway.
		demand.Forecast = i.forecast.Forecast
	}
	pullRate := i.state.ImagePullRate()
	totals := i.state.CurrentMachineTotals()
	surelyPending := i.surelyPendingShare(&totals)
	for _, j := range i.state.RunnableJobs {
		if j.Terminal {
			continue
		}
		planned := i.plannedJob(j, pullRate)
		if i.jobs.MayRunUnreported(j, &totals) {
			planned.RemainingWork *= surelyPending
		}
		demand.Jobs = append(demand.Jobs, planned)
	}
	return demand
}

// surelyPendingShare returns the share of the work that may be running on unreconciled machines
// which is certainly still pending, as those machines can't run more than their cores allow.
// Without it, a fleet that was short of machines did not scale out until the leases of machines
// that hung had expired.
func (i *planInput) surelyPendingShare(totals *cluster.MachineTotals) float64 {
	if !i.recovery.Limited() {
		return 1
	}
	pendingCores := 0.0
	for _, j := range i.state.RunnableJobs {
		if !j.Terminal && i.jobs.MayRunUnreported(j, totals) {
			pendingCores += float64(j.PendingTasks) * j.Spec.Cores
		}
	}
	return max(0, 1-totals.UnknownUsage.Cores/max(pendingCores, cluster.ResourceTolerance))
}

// plannedJob returns the planner's view of a job.
func (i *planInput) plannedJob(j *cluster.Job, pullRate cluster.ImagePullRate) fleet.Job {
	planned := fleet.Job{
		CoresPerTask:    j.Spec.Cores,
		TaskDuration:    i.taskDuration(j, pullRate),
		RemainingWork:   i.state.RemainingCoreSeconds(j, pullRate),
		FailsEverywhere: j.FailsEverywhere,
		Due:             i.state.Due(j),
		EligibleAt:      j.EligibleAt,
		SLOReserve:      i.startSLOReserve(j),
		Started:         j.HasStarted(),
		MinShare:        i.state.MinShare[j.Spec.Class],
	}
	now := i.state.Clock.Now()
	for _, dependent := range i.jobs.SoonReleasedDependents(j, i.state.BootTime()) {
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
func (i *planInput) taskDuration(j *cluster.Job, pullRate cluster.ImagePullRate) time.Duration {
	return i.state.ExpectedTaskDuration(j) + pullRate.PullDuration(j.Spec.ImageGB)
}

// meanImageGB returns the mean image size of the runnable jobs, in GB.
func (i *planInput) meanImageGB() float64 {
	sum := 0.0
	for _, j := range i.state.RunnableJobs {
		sum += j.Spec.ImageGB
	}
	return sum / max(1, float64(len(i.state.RunnableJobs)))
}

// startSLOReservePercent is the part of an SLO on starting, in percent, that the plan does not
// count on.
const startSLOReservePercent = 40

// startSLOReserve returns the part of a job's SLO on starting that the plan does not count on, as
// slack for takeovers, outages and lost machines.
func (i *planInput) startSLOReserve(j *cluster.Job) time.Duration {
	if j.Spec.DeadlineSeconds != nil {
		return 0
	}
	return i.state.StartSLO(j) * startSLOReservePercent / 100
}
