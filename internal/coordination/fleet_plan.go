package coordination

import (
	"math"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/fleet"
	"hitchdoor/internal/storage"
)

// Inputs of the capacity plan, and how the plan is carried out.

// applyPlan has a capacity plan made and carries it out.
func (f *fleetControl) plan() {
	l, n := f.l, f.l.n
	f.account()
	f.decay()
	held := map[*fleet.Machine]*machine{}
	view := f.view(held)
	plan := f.planner.Plan(view)
	f.target = plan.Target
	for _, m := range plan.TakeBack {
		l.keep(held[m])
	}
	if len(plan.Rent) > 0 {
		f.rent(plan.Rent)
	}
	f.logPlan(plan, view.Usual)
	for _, m := range plan.Needed {
		held[m].spareSince = n.now
	}
	for _, m := range plan.Surplus {
		l.leave(held[m], surplus)
	}
	if view.MayShrink {
		f.gather(machinesOf(held, append(view.Kept, plan.TakeBack...)))
	}
}

// heldMachines returns the machines that entries of a plan stand for.
func machinesOf(held map[*fleet.Machine]*machine, list []*fleet.Machine) []*machine {
	machines := make([]*machine, 0, len(list))
	for _, m := range list {
		machines = append(machines, held[m])
	}
	return machines
}

// planView returns the input of the planner. It adds to machineOf which machine each entry stands
// for.
func (f *fleetControl) view(held map[*fleet.Machine]*machine) *fleet.View {
	l, n := f.l, f.l.n
	v := &fleet.View{Now: n.now, Catalog: n.catalog, Demand: f.demandView(),
		Usual: f.forecast.Usual(), UsualImage: f.usualImage(),
		MayRent: l.mayRent(), MayShrink: l.mayShrink()}
	for _, m := range l.held() {
		if m.kind == nil || m.returning || m.emptying && m.why != surplus {
			continue
		}
		x := &fleet.Machine{Name: m.name, Option: m.option(), Type: m.kind, Up: m.up,
			Reserved: m.reservedFor != nil, IdleTo: l.idleTo(m)}
		held[x] = m
		if m.emptying {
			v.Leaving = append(v.Leaving, x)
		} else {
			v.Kept = append(v.Kept, x)
		}
	}
	for _, r := range f.rentals {
		v.Rentals = append(v.Rentals, r.Rental)
	}
	for _, r := range l.order {
		if j := r.j; !(j.bad && n.now < j.probeAt) && !j.gone && j.pending > 0 {
			v.Waiting = append(v.Waiting, fleet.Wish{Spec: &j.spec, Pending: j.pending})
		}
	}
	return v
}

// demandInputs returns the input of the demand for cores.
func (f *fleetControl) demandView() fleet.Demand {
	l, n := f.l, f.l.n
	d := fleet.Demand{Now: n.now, Boot: l.bootTime(), Begin: planBegin}
	if f.patient {
		// Otherwise headroom is held for work that has to start soon anyway.
		d.Forecast = f.forecast
	}
	pull := l.pull()
	totals := l.currentTotals()
	unserved := l.unservedShare(&totals)
	for _, j := range l.runnable {
		if j.gone {
			continue
		}
		x := l.fleetJob(j, pull)
		if l.mayRunUnseen(j, &totals) {
			x.Work *= unserved
		}
		d.Jobs = append(d.Jobs, x)
	}
	return d
}

// surelyPendingShare returns the share of the work that may be running on unreconciled machines
// which is certainly still pending, as those machines can't run more than their cores allow.
// Without it, a fleet that was short of machines did not scale out until the leases of machines
// that hung had expired.
func (l *leadership) unservedShare(totals *machineTotals) float64 {
	if !l.restrained() {
		return 1
	}
	pending := 0.0
	for _, j := range l.runnable {
		if !j.gone && l.mayRunUnseen(j, totals) {
			pending += float64(j.pending) * j.spec.Cores
		}
	}
	return max(0, 1-totals.unknown.cores/max(pending, slack))
}

// planJob returns the planner's view of a job.
func (l *leadership) fleetJob(j *job, p pull) fleet.Job {
	x := fleet.Job{Cores: j.spec.Cores, Each: l.expected(j) + p.time(j.spec.ImageGB),
		Work: l.workLeft(j, p), Failing: j.bad, Due: l.due(j), From: j.from,
		Reserve: l.reserve(j), Begun: j.begun(), Share: l.shares[j.spec.Class]}
	for _, d := range l.next(j, l.bootTime()) {
		x.Next = append(x.Next, fleet.Upcoming{Each: l.expected(d) + p.time(d.spec.ImageGB),
			Due: l.dueFrom(d, l.n.now) - l.n.now, Work: l.workLeft(d, p)})
	}
	return x
}

// requiredCores returns how many cores the open jobs require, given that heldCores are held.
func (f *fleetControl) demand(held float64) float64 {
	d := f.demandView()
	return d.Cores(held)
}

// logPlan logs the figures of a plan, at most four times per worker lease.
func (f *fleetControl) logPlan(plan *fleet.Plan, usual float64) {
	l, n := f.l, f.l.n
	if n.now <= f.loggedAt+n.lease()/4 {
		return
	}
	f.loggedAt = n.now
	used, up, pending := 0.0, 0.0, 0.0
	for _, m := range l.machines {
		used += m.cores
		if m.up && m.kind != nil {
			up += m.kind.Cores
		}
	}
	for _, j := range l.runnable {
		pending += float64(j.pending) * j.spec.Cores
	}
	n.log.Debug("capacity plan", "held", plan.Held, "up", up, "used", used, "pending", pending,
		"demand", plan.Demand, "usual", usual, "target", plan.Target,
		"costs", f.spent, "pendingWrites", l.writer.Pending())
}

// meanImageGB returns the mean image size of the runnable jobs, in GB.
func (f *fleetControl) usualImage() float64 {
	sum := 0.0
	for _, j := range f.l.runnable {
		sum += j.spec.ImageGB
	}
	return sum / max(1, float64(len(f.l.runnable)))
}

// startSLOReserve returns the part of a job's SLO on starting that the plan does not count on, as
// slack for takeovers, outages and lost machines.
func (l *leadership) reserve(j *job) time.Duration {
	if j.spec.DeadlineS != nil {
		return 0
	}
	return l.startAim(j) * startReserve / 100
}

// startSLOReservePercent is that part in percent.
const startReserve = 40

// consolidate moves the few tasks that keep a surplus machine from being returned. It does so only
// if all of them write checkpoints, other machines have room for them, and both the tasks and the
// idle cores of the machine would go on for at least twice as long as the move takes.
func (f *fleetControl) gather(kept []*machine) {
	l, n := f.l, f.l.n
	free := 0.0
	for _, m := range kept {
		if m.ready() && !m.emptying {
			free += m.kind.Cores - m.cores
		}
	}
	for _, j := range l.runnable {
		if !j.gone {
			free -= float64(j.pending) * j.spec.Cores
		}
	}
	for _, m := range l.held() {
		if m.why != surplus || !m.emptying || len(m.list) == 0 || m.cores > free || n.now-m.rentedAt < minCharge {
			continue
		}
		move, last, takes := 0.0, 0.0, 0.0
		for _, r := range m.list {
			if r.job.spec.CheckpointS <= 0 || r.phase != phaseRunning || r.stop != nil || n.now-r.started < countsAfter {
				move = math.Inf(1)
				break
			}
			each := r.job.spec.SaveS + r.job.spec.ImageGB/m.kind.PullGBPerS + 2*n.report().Seconds()
			move += each * r.job.spec.Cores
			last, takes = max(last, l.remaining(r).Seconds()), max(takes, each)
		}
		if last < 2*takes || l.idleTo(m)*m.kind.Cores < 2*move {
			continue
		}
		free -= m.cores
		for _, r := range m.list {
			l.stopRun(r, l.saveGrace(r))
		}
	}
}

// recordArrival adds the work of a new job to the forecast.
func (f *fleetControl) arrived(j *job) {
	f.decay()
	work := float64(j.spec.Tasks) * j.spec.Cores * f.l.expected(j).Seconds()
	f.forecast.Arrived(j.spec.Class, work, f.l.due(j)-j.from)
}

// decayForecast decays the forecast up to the present.
func (f *fleetControl) decay() { f.forecast.Decay(f.l.n.now, !f.l.n.elect.stateDown()) }

// forecastValueDivisor limits the stored forecast to this fraction, one in so many, of the largest
// value.
const forecastShare = 2

// saveForecast stores the forecast for the next leader, every two worker leases.
func (f *fleetControl) saveForecast() {
	n := f.l.n
	if n.now < f.savedAt+2*n.lease() || f.forecast.Empty() {
		return
	}
	f.savedAt = n.now
	f.l.writer.Add(storage.Lazy, storage.Unit{Build: func() []storage.Write {
		f.decay()
		return []storage.Write{storage.Set(storage.FlowKey,
			f.forecast.Record(n.wallMS(), n.cfg.Cluster.State.ValueBytes()/forecastShare))}
	}})
}

// loadForecast restores the forecast that an earlier leader stored.
func (f *fleetControl) loadForecast(items []storage.Item) {
	n := f.l.n
	for _, it := range items {
		if it.Key != storage.FlowKey {
			continue
		}
		// The version is needed in any case, as a record that can't be read is overwritten.
		f.l.writer.Know(it.Key, it.Version)
		var rec storage.FlowRecord
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			n.log.Warn("stored forecast unreadable", "error", err)
			continue
		}
		f.recordAt = min(n.instantOf(rec.AtMS), n.now)
		f.forecast.Restore(rec, f.recordAt)
		f.decay()
	}
}

// inheritUsualLoad takes the cores held at a takeover as the usual load, unless the restored
// forecast and the arrivals since then amount to more.
func (f *fleetControl) inherit() {
	held := 0.0
	for _, m := range f.l.machines {
		if m.kind != nil {
			held += m.kind.Cores
		}
	}
	f.accountedAt = f.l.n.now
	if f.forecast.Empty() {
		f.forecast.Begin(f.l.n.now)
	}
	// Jobs accepted after the forecast was stored count as arrivals too, as do those submitted
	// before there was a first leader.
	for _, j := range f.l.byAge() {
		if j.from > f.recordAt {
			f.arrived(j)
		}
	}
	f.forecast.Inherit(held / (1 + f.l.n.set.Headroom))
}
