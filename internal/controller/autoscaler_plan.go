package controller

import (
	"math"
	"time"

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
	machineOf := map[*fleet.Machine]*machine{}
	view := a.planView(machineOf)
	capacityPlan := a.planner.Plan(view)
	a.targetCores = capacityPlan.TargetCores
	for _, m := range capacityPlan.CancelDrain {
		l.cancelDrain(machineOf[m])
	}
	if len(capacityPlan.ScaleOut) > 0 {
		a.beginRentals(capacityPlan.ScaleOut)
	}
	a.logPlan(capacityPlan, view.UsualLoad)
	for _, m := range capacityPlan.Needed {
		machineOf[m].surplusSince = node.now
	}
	for _, m := range capacityPlan.Surplus {
		l.beginDrain(machineOf[m], surplusCapacity)
	}
	if view.ScaleInAllowed {
		a.consolidate(heldMachines(machineOf, append(view.Kept, capacityPlan.CancelDrain...)))
	}
}

// heldMachines returns the machines that entries of a plan stand for.
func heldMachines(machineOf map[*fleet.Machine]*machine, planned []*fleet.Machine) []*machine {
	machines := make([]*machine, 0, len(planned))
	for _, m := range planned {
		machines = append(machines, machineOf[m])
	}
	return machines
}

// planView returns the input of the planner. It adds to machineOf which machine each entry stands
// for.
func (a *autoscaler) planView(machineOf map[*fleet.Machine]*machine) *fleet.View {
	l, node := a.leader, a.leader.node
	view := &fleet.View{Now: node.now, Catalog: node.catalog, Demand: a.demandInputs(),
		UsualLoad: a.forecast.UsualLoad(), MeanImageGB: a.meanImageGB(),
		ScaleOutAllowed: l.mayScaleOut(), ScaleInAllowed: l.mayScaleIn()}
	for _, m := range l.machinesByName() {
		if m.machineType == nil || m.terminating || m.draining && m.drainReason != surplusCapacity {
			continue
		}
		planned := &fleet.Machine{Name: m.name, Offering: m.offering(), Type: m.machineType, Up: m.up,
			Reserved: m.reservedFor != nil, IdleUntilEmpty: l.idleUntilEmpty(m)}
		machineOf[planned] = m
		if m.draining {
			view.Draining = append(view.Draining, planned)
		} else {
			view.Kept = append(view.Kept, planned)
		}
	}
	for _, r := range a.pendingRentals {
		view.PendingRentals = append(view.PendingRentals, r.RentalRequest)
	}
	for _, r := range l.pendingOrder {
		if j := r.job; !(j.failsEverywhere && node.now < j.nextProbeAt) && !j.terminal && j.pendingTasks > 0 {
			view.PendingJobs = append(view.PendingJobs, fleet.PendingJob{Spec: &j.spec, PendingTasks: j.pendingTasks})
		}
	}
	return view
}

// demandInputs returns the input of the demand for cores.
func (a *autoscaler) demandInputs() fleet.Demand {
	l, node := a.leader, a.leader.node
	demand := fleet.Demand{Now: node.now, BootTime: l.bootTime(), StartWithin: plannedStartWithin}
	if a.slosAllowQueueing {
		// Otherwise headroom is held for work that has to start soon anyway.
		demand.Forecast = a.forecast
	}
	pullRate := l.imagePullRate()
	totals := l.currentMachineTotals()
	surelyPending := l.surelyPendingShare(&totals)
	for _, j := range l.runnableJobs {
		if j.terminal {
			continue
		}
		planned := l.planJob(j, pullRate)
		if l.mayRunUnreported(j, &totals) {
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
func (l *leader) surelyPendingShare(totals *machineTotals) float64 {
	if !l.limitedByRecovery() {
		return 1
	}
	pending := 0.0
	for _, j := range l.runnableJobs {
		if !j.terminal && l.mayRunUnreported(j, totals) {
			pending += float64(j.pendingTasks) * j.spec.Cores
		}
	}
	return max(0, 1-totals.unknownUsage.cores/max(pending, resourceTolerance))
}

// planJob returns the planner's view of a job.
func (l *leader) planJob(j *job, pullRate imagePullRate) fleet.Job {
	planned := fleet.Job{CoresPerTask: j.spec.Cores, TaskDuration: l.expectedTaskDuration(j) + pullRate.pullDuration(j.spec.ImageGB),
		RemainingWork: l.remainingCoreSeconds(j, pullRate), FailsEverywhere: j.failsEverywhere, Due: l.due(j), EligibleAt: j.eligibleAt,
		SLOReserve: l.startSLOReserve(j), Started: j.hasStarted(), MinShare: l.minShare[j.spec.Class]}
	for _, dependent := range l.soonReleasedDependents(j, l.bootTime()) {
		planned.UpcomingDependents = append(planned.UpcomingDependents, fleet.UpcomingJob{TaskDuration: l.expectedTaskDuration(dependent) + pullRate.pullDuration(dependent.spec.ImageGB),
			DueIn: l.dueFrom(dependent, l.node.now) - l.node.now, Work: l.remainingCoreSeconds(dependent, pullRate)})
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
	for _, m := range l.machines {
		used += m.usedCores
		if m.up && m.machineType != nil {
			up += m.machineType.Cores
		}
	}
	for _, j := range l.runnableJobs {
		pending += float64(j.pendingTasks) * j.spec.Cores
	}
	node.log.Debug("capacity plan", "held", plan.HeldCores, "up", up, "used", used, "pending", pending,
		"demand", plan.DemandCores, "usual", usualLoad, "target", plan.TargetCores,
		"costs", a.costs, "pendingWrites", l.writer.PendingChanges())
}

// meanImageGB returns the mean image size of the runnable jobs, in GB.
func (a *autoscaler) meanImageGB() float64 {
	sum := 0.0
	for _, j := range a.leader.runnableJobs {
		sum += j.spec.ImageGB
	}
	return sum / max(1, float64(len(a.leader.runnableJobs)))
}

// startSLOReserve returns the part of a job's SLO on starting that the plan does not count on, as
// slack for takeovers, outages and lost machines.
func (l *leader) startSLOReserve(j *job) time.Duration {
	if j.spec.DeadlineSeconds != nil {
		return 0
	}
	return l.startSLO(j) * startSLOReservePercent / 100
}

// startSLOReservePercent is that part in percent.
const startSLOReservePercent = 40

// consolidate moves the few tasks that keep a surplus machine from being returned. It does so only
// if all of them write checkpoints, other machines have room for them, and both the tasks and the
// idle cores of the machine would go on for at least twice as long as the move takes.
func (a *autoscaler) consolidate(kept []*machine) {
	l, node := a.leader, a.leader.node
	freeCores := 0.0
	for _, m := range kept {
		if m.schedulable() && !m.draining {
			freeCores += m.machineType.Cores - m.usedCores
		}
	}
	for _, j := range l.runnableJobs {
		if !j.terminal {
			freeCores -= float64(j.pendingTasks) * j.spec.Cores
		}
	}
	for _, m := range l.machinesByName() {
		if m.drainReason != surplusCapacity || !m.draining || len(m.attemptsInOrder) == 0 || m.usedCores > freeCores || node.now-m.rentedAt < minBilledTime {
			continue
		}
		moveCost, longestRemaining, longestMove := 0.0, 0.0, 0.0
		for _, attempt := range m.attemptsInOrder {
			if attempt.job.spec.CheckpointIntervalSeconds <= 0 || attempt.phase != attemptRunning || attempt.stopGrace != nil || node.now-attempt.runningSince < minCountedRun {
				moveCost = math.Inf(1)
				break
			}
			moveSeconds := attempt.job.spec.CheckpointSaveSeconds + attempt.job.spec.ImageGB/m.machineType.PullGBPerSecond + 2*node.heartbeatInterval().Seconds()
			moveCost += moveSeconds * attempt.job.spec.Cores
			longestRemaining, longestMove = max(longestRemaining, l.remainingDuration(attempt).Seconds()), max(longestMove, moveSeconds)
		}
		if longestRemaining < 2*longestMove || l.idleUntilEmpty(m)*m.machineType.Cores < 2*moveCost {
			continue
		}
		freeCores -= m.usedCores
		for _, attempt := range m.attemptsInOrder {
			l.requestStop(attempt, l.checkpointGraceS(attempt))
		}
	}
}

// recordArrival adds the work of a new job to the forecast.
func (a *autoscaler) recordArrival(j *job) {
	a.decayForecast()
	work := float64(j.spec.TaskCount) * j.spec.Cores * a.leader.expectedTaskDuration(j).Seconds()
	a.forecast.RecordArrival(j.spec.Class, work, a.leader.due(j)-j.eligibleAt)
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
	for _, m := range a.leader.machines {
		if m.machineType != nil {
			heldCores += m.machineType.Cores
		}
	}
	a.costsCountedAt = a.leader.node.now
	if a.forecast.Empty() {
		a.forecast.StartCounting(a.leader.node.now)
	}
	// Jobs accepted after the forecast was stored count as arrivals too, as do those submitted
	// before there was a first leader.
	for _, j := range a.leader.jobsByAge() {
		if j.eligibleAt > a.storedForecastAt {
			a.recordArrival(j)
		}
	}
	a.forecast.InheritLoad(heldCores / (1 + a.leader.node.settings.Headroom))
}
