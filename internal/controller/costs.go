package controller

import "hitchdoor/internal/cluster"

// costBreakdown is the machine cost of this term by use.
type costBreakdown struct{ booting, idle, fetching, working float64 }

// accountCosts adds the machine cost since the last call, divided by the use of the cores.
func (a *autoscaler) accountCosts() {
	now := a.leader.node.now
	hours := (now - a.costsCountedAt).Hours()
	a.costsCountedAt = now
	for _, m := range a.leader.Machines {
		if m.MachineType == nil {
			continue
		}
		cost := m.MachineType.Price(m.Spot) * hours
		if !m.Up {
			a.costs.booting += cost
			continue
		}
		fetchingCores, runningCores := 0.0, 0.0
		for _, r := range m.Attempts {
			if r.Phase == cluster.AttemptRunning || r.Phase == cluster.AttemptSaving {
				runningCores += r.Job.Spec.Cores
			} else {
				fetchingCores += r.Job.Spec.Cores
			}
		}
		a.costs.fetching += cost * fetchingCores / m.MachineType.Cores
		a.costs.working += cost * runningCores / m.MachineType.Cores
		a.costs.idle += cost * max(0, 1-(fetchingCores+runningCores)/m.MachineType.Cores)
	}
}
