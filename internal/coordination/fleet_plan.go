package coordination

import (
	"math"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/storage"
)

// What the plan of the fleet is made from, and how it is carried out.

// plan has the fleet planned and carries the plan out.
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

func machinesOf(held map[*fleet.Machine]*machine, list []*fleet.Machine) []*machine {
	machines := make([]*machine, 0, len(list))
	for _, m := range list {
		machines = append(machines, held[m])
	}
	return machines
}

// view is what the plan is made of. It notes which machine is which.
func (f *fleetControl) view(held map[*fleet.Machine]*machine) *fleet.View {
	l, n := f.l, f.l.n
	v := &fleet.View{Now: n.now, Catalog: n.catalog, Demand: f.demandView(), Usual: f.forecast.Usual(), UsualImage: f.usualImage(),
		MayRent: l.mayRent(), MayShrink: l.mayShrink()}
	for _, m := range l.held() {
		if m.kind == nil || m.returning || m.emptying && m.why != surplus {
			continue
		}
		x := &fleet.Machine{Name: m.name, Option: m.option(), Type: m.kind, Up: m.up, Reserved: m.reservedFor != nil, IdleTo: l.idleTo(m)}
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

// demandView is what the demand for cores follows from.
func (f *fleetControl) demandView() fleet.Demand {
	l, n := f.l, f.l.n
	d := fleet.Demand{Now: n.now, Boot: l.bootTime(), Begin: planBegin}
	if f.patient {
		// Elsewhere spare room is held for work that is to start soon anyway.
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

// unservedShare is the part of the work that may be running unseen which surely is not, as the
// machines that are not accounted for can't serve more than their cores. Without any of it, a fleet
// that was short of machines got none until the leases of those that hung were over.
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

// fleetJob is what the plan needs to know of a job.
func (l *leadership) fleetJob(j *job, p pull) fleet.Job {
	x := fleet.Job{Cores: j.spec.Cores, Each: l.expected(j) + p.time(j.spec.ImageGB), Work: l.workLeft(j, p), Failing: j.bad,
		Due: l.due(j), From: j.from, Reserve: l.reserve(j), Begun: j.begun(), Share: l.shares[j.spec.Class]}
	for _, d := range l.next(j, l.bootTime()) {
		x.Next = append(x.Next, fleet.Upcoming{Each: l.expected(d) + p.time(d.spec.ImageGB), Due: l.dueFrom(d, l.n.now) - l.n.now, Work: l.workLeft(d, p)})
	}
	return x
}

// demand is how many cores should be at work, of so many held.
func (f *fleetControl) demand(held float64) float64 {
	d := f.demandView()
	return d.Cores(held)
}

// logPlan tells the fleet's figures, seldom.
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
	n.log.Debug("fleet", "held", plan.Held, "up", up, "used", used, "pending", pending,
		"demand", plan.Demand, "usual", usual, "target", plan.Target, "spent", f.spent, "writes", l.writer.Pending())
}

// option is the kind of the machine.
func (m *machine) option() fleet.Option { return fleet.Option{Type: m.typ, Zone: m.zone, Spot: m.spot} }

// usualImage is the mean size of the open jobs' images, in GB.
func (f *fleetControl) usualImage() float64 {
	sum := 0.0
	for _, j := range f.l.runnable {
		sum += j.spec.ImageGB
	}
	return sum / max(1, float64(len(f.l.runnable)))
}

// pull is how fast the machines held fetch images, as a mean by their cores.
type pull struct{ rate, cores float64 }

func (l *leadership) pull() pull {
	var p pull
	for _, m := range l.machines {
		if m.kind != nil {
			p.rate += m.kind.PullGBPerS * m.kind.Cores
			p.cores += m.kind.Cores
		}
	}
	return p
}

// time is how long an image takes to fetch.
func (p pull) time(gb float64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return config.Seconds(gb * p.cores / p.rate)
}

// reserve is how much of a job's aim on starting the plan does not count on, so that
// takeovers, outages and lost machines find some slack.
func (l *leadership) reserve(j *job) time.Duration {
	if j.spec.DeadlineS != nil {
		return 0
	}
	return l.startAim(j) * startReserve / 100
}

const startReserve = 40

// planBegin is within what time the plan lets every job begin, even one without an
// aim, or with one that leaves more time: well inside mustBegin.
const planBegin = mustBegin * 3 / 5

// bootTime is how long a machine rented now usually takes to come up.
func (l *leadership) bootTime() time.Duration {
	boot := 0.0
	for _, t := range l.n.catalog {
		if boot == 0 || t.ReadyS < boot {
			boot = t.ReadyS
		}
	}
	return config.Seconds(boot)
}

// idleTo is for how long a machine's cores would be idle, on the mean, until the
// last of its tasks has ended.
func (l *leadership) idleTo(m *machine) float64 {
	last, work := 0.0, 0.0
	for _, r := range m.list {
		left := l.remaining(r).Seconds()
		last = max(last, left)
		work += left * r.job.spec.Cores
	}
	return last - work/m.kind.Cores
}

// countsAfter is how long a task must run without being stopped for its start to
// count towards the aims, by the protocol.
const countsAfter = 30 * time.Second

// gather moves the few tasks that keep a surplus machine from being returned, where
// all of them save when stopped, others have room for them, and both they and the
// machine's idle cores would go on for twice as long as the move takes.
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

// arrived counts the work that a new job brings.
func (f *fleetControl) arrived(j *job) {
	f.decay()
	work := float64(j.spec.Tasks) * j.spec.Cores * f.l.expected(j).Seconds()
	f.forecast.Arrived(j.spec.Class, work, f.l.due(j)-j.from)
}

// decay brings the forecast up to now.
func (f *fleetControl) decay() { f.forecast.Decay(f.l.n.now, !f.l.n.elect.stateDown()) }

// forecastShare is the part of a value, one in so much, that the stored forecast may fill.
const forecastShare = 2

// saveForecast stores what has been learnt of the arrivals, seldom, for the next leader.
func (f *fleetControl) saveForecast() {
	n := f.l.n
	if n.now < f.savedAt+2*n.lease() || f.forecast.Empty() {
		return
	}
	f.savedAt = n.now
	f.l.writer.Add(storage.Lazy, storage.Unit{Build: func() []storage.Write {
		f.decay()
		return []storage.Write{storage.Set(storage.FlowKey, f.forecast.Record(n.wallMS(), n.cfg.Cluster.State.ValueBytes()/forecastShare))}
	}})
}

// loadForecast takes over what the leader before has learnt of the arrivals.
func (f *fleetControl) loadForecast(items []storage.Item) {
	n := f.l.n
	for _, it := range items {
		if it.Key != storage.FlowKey {
			continue
		}
		// Known in any case: one that can't be read is only worth less, and is written anew.
		f.l.writer.Know(it.Key, it.Version)
		var rec storage.FlowRecord
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			n.log.Warn("the stored forecast can't be read", "error", err)
			continue
		}
		f.recordAt = min(n.instantOf(rec.AtMS), n.now)
		f.forecast.Restore(rec, f.recordAt)
		f.decay()
	}
}

// inherit takes the cores found at a takeover for the usual load, where what was
// stored of it, and what has arrived since, says less.
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
	// Jobs that were accepted since the record was made have arrived, too; those that
	// came before the first leader did are half of what a day begins with.
	for _, j := range f.l.byAge() {
		if j.from > f.recordAt {
			f.arrived(j)
		}
	}
	f.forecast.Inherit(held / (1 + f.l.n.set.Headroom))
}
