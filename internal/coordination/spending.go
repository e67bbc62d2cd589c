package coordination

// costBreakdown is the machine cost of this term by use.
type spending struct{ booting, idle, fetching, working float64 }

// accountCosts adds the machine cost since the last call, divided by the use of the cores.
func (f *fleetControl) account() {
	now := f.l.n.now
	hours := (now - f.accountedAt).Hours()
	f.accountedAt = now
	for _, m := range f.l.machines {
		if m.kind == nil {
			continue
		}
		cost := m.kind.Price(m.spot) * hours
		if !m.up {
			f.spent.booting += cost
			continue
		}
		fetching, working := 0.0, 0.0
		for _, r := range m.runs {
			if r.phase == phaseRunning || r.phase == phaseSaving {
				working += r.job.spec.Cores
			} else {
				fetching += r.job.spec.Cores
			}
		}
		f.spent.fetching += cost * fetching / m.kind.Cores
		f.spent.working += cost * working / m.kind.Cores
		f.spent.idle += cost * max(0, 1-(fetching+working)/m.kind.Cores)
	}
}
