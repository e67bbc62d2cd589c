package controller

// costBreakdown is the machine cost of this term by use.
type costBreakdown struct{ booting, idle, fetching, working float64 }

// accountCosts adds the machine cost since the last call, divided by the use of the cores.
func (a *autoscaler) accountCosts() {
	now := a.leader.node.now
	hours := (now - a.costsCountedAt).Hours()
	a.costsCountedAt = now
	for _, m := range a.leader.machines {
		if m.machineType == nil {
			continue
		}
		cost := m.machineType.Price(m.spot) * hours
		if !m.up {
			a.costs.booting += cost
			continue
		}
		fetchingCores, runningCores := 0.0, 0.0
		for _, r := range m.attempts {
			if r.phase == attemptRunning || r.phase == attemptSaving {
				runningCores += r.job.spec.Cores
			} else {
				fetchingCores += r.job.spec.Cores
			}
		}
		a.costs.fetching += cost * fetchingCores / m.machineType.Cores
		a.costs.working += cost * runningCores / m.machineType.Cores
		a.costs.idle += cost * max(0, 1-(fetchingCores+runningCores)/m.machineType.Cores)
	}
}
