package coordination

// spending is where the money of this term has gone, as an operator would ask.
type spending struct{ booting, idle, fetching, working float64 }

// account adds what the machines have cost since the last plan, by use of cores.
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
