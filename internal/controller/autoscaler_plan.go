package controller

import (
	"math"
	"time"

	"hitchdoor/internal/cluster"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/fleet"
	"hitchdoor/internal/storage"
)

// Inputs of the capacity plan, and how the plan is carried out.

// applyPlan has a capacity plan made and carries it out.
func (a *autoscaler) applyPlan() {
	l, node := a.leader, a.leader.node
	a.accountCosts()
	a.decayForecast()
	machineOf := map[*fleet.Machine]*cluster.Machine{}
	view := a.planView(machineOf)
	capacityPlan := a.planner.Plan(view)
	a.targetCores = capacityPlan.TargetCores
	for _, m := range capacityPlan.CancelDrain {
		l.CancelDrain(machineOf[m])
	}
	if len(capacityPlan.ScaleOut) > 0 {
		a.beginRentals(capacityPlan.ScaleOut)
	}
	a.logPlan(capacityPlan, view.UsualLoad)
	for _, m := range capacityPlan.Needed {
		machineOf[m].SurplusSince = node.now
	}
	for _, m := range capacityPlan.Surplus {
		l.BeginDrain(machineOf[m], cluster.SurplusCapacity)
	}
	if view.ScaleInAllowed {
		a.consolidate(heldMachines(machineOf, append(view.Kept, capacityPlan.CancelDrain...)))
	}
}

// heldMachines returns the machines that entries of a plan stand for.
func heldMachines(machineOf map[*fleet.Machine]*cluster.Machine, planned []*fleet.Machine) []*cluster.Machine {
	machines := make([]*cluster.Machine, 0, len(planned))
	for _, m := range planned {
		machines = append(machines, machineOf[m])
	}
	return machines
}

// planView returns the input of the planner. It adds to machineOf which machine each entry stands
// for.
func (a *autoscaler) planView(machineOf map[*fleet.Machine]*cluster.Machine) *fleet.View {
	l, node := a.leader, a.leader.node
	view := &fleet.View{Now: node.now, Catalog: node.catalog, Demand: a.demandInputs(),
		UsualLoad: a.forecast.UsualLoad(), MeanImageGB: a.meanImageGB(),
		ScaleOutAllowed: l.mayScaleOut(), ScaleInAllowed: l.mayScaleIn()}
	for _, m := range l.MachinesByName() {
		if m.MachineType == nil || m.Terminating || m.Draining && m.DrainReason != cluster.SurplusCapacity {
			continue
		}
		planned := &fleet.Machine{Name: m.Name, Offering: m.Offering(), Type: m.MachineType, Up: m.Up,
			Reserved: m.ReservedFor != nil, IdleUntilEmpty: l.IdleUntilEmpty(m)}
		machineOf[planned] = m
		if m.Draining {
			view.Draining = append(view.Draining, planned)
		} else {
			view.Kept = append(view.Kept, planned)
		}
	}
	for _, r := range a.pendingRentals {
		view.PendingRentals = append(view.PendingRentals, r.RentalRequest)
	}
	for _, r := range l.PendingOrder {
		if j := r.Job; !(j.FailsEverywhere && node.now < j.NextProbeAt) && !j.Terminal && j.PendingTasks > 0 {
			view.PendingJobs = append(view.PendingJobs, fleet.PendingJob{Spec: &j.Spec, PendingTasks: j.PendingTasks})
		}
	}
	return view
}

// demandInputs returns the input of the demand for cores.
func (a *autoscaler) demandInputs() fleet.Demand {
	l, node := a.leader, a.leader.node
	demand := fleet.Demand{Now: node.now, BootTime: l.BootTime(), StartWithin: cluster.PlannedStartWithin}
	if a.slosAllowQueueing {
		// Otherwise headroom is held for work that has to start soon anyway.
		demand.Forecast = a.forecast
	}
	pullRate := l.ImagePullRate()
	totals := l.CurrentMachineTotals()
	surelyPending := l.surelyPendingShare(&totals)
	for _, j := range l.RunnableJobs {
		if j.Terminal {
			continue
		}
		planned := l.planJob(j, pullRate)
		if l.MayRunUnreported(j, &totals) {
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
func (l *leader) surelyPendingShare(totals *cluster.MachineTotals) float64 {
	if !l.limitedByRecovery() {
		return 1
	}
	pending := 0.0
	for _, j := range l.RunnableJobs {
		if !j.Terminal && l.MayRunUnreported(j, totals) {
			pending += float64(j.PendingTasks) * j.Spec.Cores
		}
	}
	return max(0, 1-totals.UnknownUsage.Cores/max(pending, cluster.ResourceTolerance))
}

// planJob returns the planner's view of a job.
func (l *leader) planJob(j *cluster.Job, pullRate cluster.ImagePullRate) fleet.Job {
	planned := fleet.Job{CoresPerTask: j.Spec.Cores, TaskDuration: l.ExpectedTaskDuration(j) + pullRate.PullDuration(j.Spec.ImageGB),
		RemainingWork: l.RemainingCoreSeconds(j, pullRate), FailsEverywhere: j.FailsEverywhere, Due: l.Due(j), EligibleAt: j.EligibleAt,
		SLOReserve: l.startSLOReserve(j), Started: j.HasStarted(), MinShare: l.MinShare[j.Spec.Class]}
	for _, dependent := range l.dependencies.soonReleasedDependents(j, l.BootTime()) {
		planned.UpcomingDependents = append(planned.UpcomingDependents, fleet.UpcomingJob{TaskDuration: l.ExpectedTaskDuration(dependent) + pullRate.PullDuration(dependent.Spec.ImageGB),
			DueIn: l.DueFrom(dependent, l.node.now) - l.node.now, Work: l.RemainingCoreSeconds(dependent, pullRate)})
	}
	return planned
}

// requiredCores returns how many cores the open jobs require, given that heldCores are held.
func (a *autoscaler) requiredCores(heldCores float64) float64 {
	demand := a.demandInputs()
	return demand.RequiredCores(heldCores)
}

// logPlan logs the figures of a plan, at most four times per worker lease.
func (a *autoscaler) logPlan(plan *fleet.Plan, usualLoad float64) {
	l, node := a.leader, a.leader.node
	if node.now <= a.planLoggedAt+node.workerLease()/4 {
		return
	}
	a.planLoggedAt = node.now
	used, up, pending := 0.0, 0.0, 0.0
	for _, m := range l.Machines {
		used += m.UsedCores
		if m.Up && m.MachineType != nil {
			up += m.MachineType.Cores
		}
	}
	for _, j := range l.RunnableJobs {
		pending += float64(j.PendingTasks) * j.Spec.Cores
	}
	node.log.Debug("capacity plan", "held", plan.HeldCores, "up", up, "used", used, "pending", pending,
		"demand", plan.DemandCores, "usual", usualLoad, "target", plan.TargetCores,
		"costs", a.costs, "pendingWrites", l.writer.PendingChanges())
}

// meanImageGB returns the mean image size of the runnable jobs, in GB.
func (a *autoscaler) meanImageGB() float64 {
	sum := 0.0
	for _, j := range a.leader.RunnableJobs {
		sum += j.Spec.ImageGB
	}
	return sum / max(1, float64(len(a.leader.RunnableJobs)))
}

// startSLOReserve returns the part of a job's SLO on starting that the plan does not count on, as
// slack for takeovers, outages and lost machines.
func (l *leader) startSLOReserve(j *cluster.Job) time.Duration {
	if j.Spec.DeadlineSeconds != nil {
		return 0
	}
	return l.StartSLO(j) * startSLOReservePercent / 100
}

// startSLOReservePercent is that part in percent.
const startSLOReservePercent = 40

// consolidate moves the few tasks that keep a surplus machine from being returned. It does so only
// if all of them write checkpoints, other machines have room for them, and both the tasks and the
// idle cores of the machine would go on for at least twice as long as the move takes.
func (a *autoscaler) consolidate(kept []*cluster.Machine) {
	l, node := a.leader, a.leader.node
	freeCores := 0.0
	for _, m := range kept {
		if m.Schedulable() && !m.Draining {
			freeCores += m.MachineType.Cores - m.UsedCores
		}
	}
	for _, j := range l.RunnableJobs {
		if !j.Terminal {
			freeCores -= float64(j.PendingTasks) * j.Spec.Cores
		}
	}
	for _, m := range l.MachinesByName() {
		if m.DrainReason != cluster.SurplusCapacity || !m.Draining || len(m.AttemptsInOrder) == 0 || m.UsedCores > freeCores || node.now-m.RentedAt < minBilledTime {
			continue
		}
		moveCost, longestRemaining, longestMove := 0.0, 0.0, 0.0
		for _, attempt := range m.AttemptsInOrder {
			if attempt.Job.Spec.CheckpointIntervalSeconds <= 0 || attempt.Phase != cluster.AttemptRunning || attempt.StopGrace != nil || node.now-attempt.RunningSince < cluster.MinCountedRun {
				moveCost = math.Inf(1)
				break
			}
			moveSeconds := attempt.Job.Spec.CheckpointSaveSeconds + attempt.Job.Spec.ImageGB/m.MachineType.PullGBPerSecond + 2*node.heartbeatInterval().Seconds()
			moveCost += moveSeconds * attempt.Job.Spec.Cores
			longestRemaining, longestMove = max(longestRemaining, l.RemainingDuration(attempt).Seconds()), max(longestMove, moveSeconds)
		}
		if longestRemaining < 2*longestMove || l.IdleUntilEmpty(m)*m.MachineType.Cores < 2*moveCost {
			continue
		}
		freeCores -= m.UsedCores
		for _, attempt := range m.AttemptsInOrder {
			l.RequestStop(attempt, l.CheckpointGraceS(attempt))
		}
	}
}

// recordArrival adds the work of a new job to the forecast.
func (a *autoscaler) recordArrival(j *cluster.Job) {
	a.decayForecast()
	work := float64(j.Spec.TaskCount) * j.Spec.Cores * a.leader.ExpectedTaskDuration(j).Seconds()
	a.forecast.RecordArrival(j.Spec.Class, work, a.leader.Due(j)-j.EligibleAt)
}

// decayForecast decays the forecast up to the present.
func (a *autoscaler) decayForecast() {
	a.forecast.DecayTo(a.leader.node.now, !a.leader.node.election.storeFailing())
}

// forecastValueDivisor limits the stored forecast to this fraction, one in so many, of the largest
// value.
const forecastValueDivisor = 2

// saveForecast stores the forecast for the next leader, every two worker leases.
func (a *autoscaler) saveForecast() {
	node := a.leader.node
	if node.now < a.forecastSavedAt+2*node.workerLease() || a.forecast.Empty() {
		return
	}
	a.forecastSavedAt = node.now
	a.leader.writer.Enqueue(storage.PriorityLow, storage.Change{BuildWrites: func() []storage.Write {
		a.decayForecast()
		return []storage.Write{storage.Put(storage.ArrivalForecastKey,
			a.forecast.Snapshot(node.nowUnixMilli(), node.cfg.Cluster.Store.MaxValueBytes()/forecastValueDivisor))}
	}})
}

// loadForecast restores the forecast that an earlier leader stored.
func (a *autoscaler) loadForecast(items []storage.Item) {
	node := a.leader.node
	for _, item := range items {
		if item.Key != storage.ArrivalForecastKey {
			continue
		}
		// The version is needed in any case, as a record that can't be read is overwritten.
		a.leader.writer.SetModRevision(item.Key, item.ModRevision)
		var record storage.ArrivalForecastRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			node.log.Warn("stored forecast unreadable", "error", err)
			continue
		}
		a.storedForecastAt = min(node.instantFromUnixMilli(record.RecordedAtMillis), node.now)
		a.forecast.Restore(record, a.storedForecastAt)
		a.decayForecast()
	}
}

// inheritUsualLoad takes the cores held at a takeover as the usual load, unless the restored
// forecast and the arrivals since then amount to more.
func (a *autoscaler) inheritUsualLoad() {
	heldCores := 0.0
	for _, m := range a.leader.Machines {
		if m.MachineType != nil {
			heldCores += m.MachineType.Cores
		}
	}
	a.costsCountedAt = a.leader.node.now
	if a.forecast.Empty() {
		a.forecast.StartCounting(a.leader.node.now)
	}
	// Jobs accepted after the forecast was stored count as arrivals too, as do those submitted
	// before there was a first leader.
	for _, j := range a.leader.JobsByAge() {
		if j.EligibleAt > a.storedForecastAt {
			a.recordArrival(j)
		}
	}
	a.forecast.InheritLoad(heldCores / (1 + a.leader.node.settings.Headroom))
}
