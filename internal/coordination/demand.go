package coordination

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/storage"
)

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

// demand is how many cores should be at work so that the jobs are in time:
// whatever is due by some moment must fit in the time until then. Jobs that are
// late already ask for little, as no speed helps them.
func (f *fleet) demand(held float64) float64 {
	l, n := f.l, f.l.n
	type load struct {
		due  time.Duration
		work float64
	}
	var loads []load
	strict, whole := 0.0, 0.0 // work weighted by the share that is to be in time
	boot := l.bootTime().Seconds()
	pull := l.pull()
	totals := l.currentTotals()
	for _, j := range l.runnable {
		if j.gone || l.restrained() && l.mayRunUnseen(j, &totals) {
			continue // machines that are not accounted for may be serving it
		}
		each := l.expected(j) + pull.time(j.spec.ImageGB)
		work := l.workLeft(j, pull)
		if j.bad {
			work = min(work, each.Seconds()*j.spec.Cores)
		}
		due := l.due(j) - n.now
		span := min(due-l.reserve(j), j.from+planBegin+each-n.now)
		switch {
		case span >= each:
		case !j.begun():
			span = each
		case due >= each:
			// The reserve is used up, but the aim can still be met. A job that was only
			// begun, lest it wait for too long, was taken for late here, and most of
			// its tasks were planned for after their time.
			span = due
		default:
			span = lateSpan * each
		}
		loads = append(loads, load{due: span, work: work})
		strict += work * l.shares[j.spec.Class]
		whole += work
		for _, d := range l.next(j, l.bootTime()) {
			each := l.expected(d) + pull.time(d.spec.ImageGB)
			loads = append(loads, load{due: max(l.dueFrom(d, n.now)-n.now, each), work: l.workLeft(d, pull)})
		}
	}
	fluid := fluid(strict / max(whole, 1))
	slices.SortFunc(loads, func(a, b load) int { return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.work, b.work)) })
	need, late := 0.0, 0.0
	for _, x := range loads {
		late += x.work
		span := x.due.Seconds()
		sum := late + f.coming(span)
		need = max(need, min(held, sum/(span*fluid)))
		if short := sum - held*span*fluid; short > 0 && span > 1.25*boot {
			need = max(need, held+short/((span-boot)*fluid))
		}
	}
	return need
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

// fluid is how much of a machine's time the plan counts on, where aims ask for such a
// share of the work to be in time. Tasks can be neither split nor stopped, so a plan
// that counts on all of it comes out late for some, and an outage or a takeover for
// more; where aims leave next to none of that, it is worth machines.
func fluid(share float64) float64 {
	return 1 / (1 + max(0, (share-looseShare)/(1-looseShare))*marginMost)
}

// The share up to which the plan has no margin, and its margin where all is to be in time.
const (
	looseShare = 0.9
	marginMost = 0.3
)

// levelSpan is over how many worker leases the usual load is taken.
const levelSpan = 2

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

// lateSpan is within how many times its run time a late job's work should start.
const lateSpan = 4

// flow is the work that arrives of a class of jobs.
type flow struct {
	work float64       // in core seconds, decaying
	slow float64       // the same, decaying slowly
	jobs float64       // how many jobs that is
	due  time.Duration // how long after its arrival it is due, of the last job
}

// arrived counts the work that a new job brings.
func (f *fleet) arrived(j *job) {
	f.decay()
	x := f.flows[j.spec.Class]
	if x == nil {
		x = &flow{}
		f.flows[j.spec.Class] = x
	}
	work := float64(j.spec.Tasks) * j.spec.Cores * f.l.expected(j).Seconds()
	x.work += work
	x.slow += work
	x.jobs++
	f.quiet = 0
	x.due = max(0, f.l.due(j)-j.from) // a job that waited for others may be late by then
}

func (f *fleet) span() float64 { return levelSpan * f.l.n.lease().Seconds() }

// slowSpan is over how many times the span of the usual load the forecast goes.
const slowSpan = 6

func (f *fleet) decay() {
	now := f.l.n.now
	by := math.Exp(-(now - f.flowAt).Seconds() / f.span())
	slowly := math.Pow(by, 1.0/slowSpan)
	for class, x := range f.flows {
		x.work *= by
		x.slow *= slowly
		if x.jobs *= slowly; x.jobs < 0.01 {
			delete(f.flows, class) // long forgotten
		}
	}
	f.inherited *= by
	if !f.l.n.elect.stateDown() {
		f.quiet += max(0, now-f.flowAt)
	}
	f.flowAt = now
}

// slowTime is over how many seconds the slowly decaying sums go: less than their full
// span while they have not been kept for that long.
func (f *fleet) slowTime() float64 {
	span := slowSpan * f.span()
	seen := f.span() + (f.l.n.now - f.flowsFrom).Seconds()
	return span * (1 - math.Exp(-seen/span))
}

// jobsSeen is how many jobs the slowly decaying sums go over.
func (f *fleet) jobsSeen() float64 {
	jobs := 0.0
	for _, x := range f.flows {
		jobs += x.jobs
	}
	return jobs
}

// believed is how much of what usually comes is still believed. Sums that decay go on for
// minutes after the last job, and machines were held, and even rented anew, for work
// that nobody brought; that so many jobs in a row stay away is no luck.
func (f *fleet) believed() float64 {
	missed := f.jobsSeen() / f.slowTime() * (f.quiet - f.l.n.lease()).Seconds()
	if missed <= luckyAbsences {
		return 1
	}
	return luckyAbsences / missed
}

// luckyAbsences is how many jobs may stay away by luck, at a steady rate. Users who found no
// node come back within about a lease, so that long says nothing.
const luckyAbsences = 3

// saveFlows stores what has been learnt of the arrivals, seldom, for the next leader.
func (f *fleet) saveFlows() {
	now := f.l.n.now
	if now < f.savedAt+2*f.l.n.lease() || len(f.flows) == 0 {
		return
	}
	f.savedAt = now
	f.l.writer.Add(storage.Lazy, storage.Unit{Build: func() []storage.Write {
		f.decay()
		rec := storage.FlowRecord{AtMS: f.l.n.wallMS(), OverS: (f.l.n.now - f.flowsFrom).Seconds(), Classes: map[string]storage.Flow{}}
		// Users name the classes, so their number and length are bounded here: a value
		// over the limit would be refused, and the leader would step down for it.
		names := slices.SortedFunc(maps.Keys(f.flows), func(a, b string) int {
			return cmp.Or(cmp.Compare(f.flows[b].slow, f.flows[a].slow), cmp.Compare(a, b))
		})
		size := len(storage.Encode(rec))
		for _, class := range names {
			x := f.flows[class]
			one := storage.Flow{Work: x.work, Slow: x.slow, Jobs: x.jobs, DueS: x.due.Seconds()}
			size += len(storage.Encode(map[string]storage.Flow{class: one}))
			if size > f.l.n.cfg.Cluster.State.ValueBytes()/2 {
				break
			}
			rec.Classes[class] = one
		}
		return []storage.Write{storage.Set(storage.FlowKey, rec)}
	}})
}

// loadFlows takes over what the leader before has learnt of the arrivals.
func (f *fleet) loadFlows(items []storage.Item) {
	for _, it := range items {
		var rec storage.FlowRecord
		if it.Key != storage.FlowKey {
			continue
		}
		// Known in any case: one that can't be read is only worth less, and is written anew.
		f.l.writer.Know(it.Key, it.Version)
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			f.l.n.log.Warn("what arrived before can't be read", "error", err)
			continue
		}
		f.flowAt = min(f.l.n.instantOf(rec.AtMS), f.l.n.now)
		f.recordAt = f.flowAt
		f.flowsFrom = f.flowAt - config.Seconds(rec.OverS)
		for class, x := range rec.Classes {
			f.flows[class] = &flow{work: x.Work, slow: x.Slow, jobs: x.Jobs, due: config.Seconds(x.DueS)}
		}
		f.decay()
	}
}

// usual is the usual load: the work that arrives per second, over the last
// while. A new leader begins with what its predecessor held.
func (f *fleet) usual() float64 {
	f.decay()
	work := f.inherited
	for _, x := range f.flows {
		work += x.work
	}
	return f.believed() * work / f.span()
}

// coming is the work that should arrive, as usual, early enough to be due within
// a time. It passes ahead of what is due then, so room must be left for it. Where
// work is to start soon, spare room is held for it anyway.
func (f *fleet) coming(within float64) float64 {
	if !f.patient {
		return 0
	}
	work := 0.0
	for _, x := range f.flows {
		work += x.slow * max(0, within-x.due.Seconds())
	}
	jobs := f.jobsSeen()
	trust := math.Pow(jobs, 4) / (math.Pow(jobs, 4) + math.Pow(forecastJobs, 4))
	return f.believed() * trust * work / f.slowTime()
}

// forecastJobs is of how many jobs half of the forecast is believed: what a few
// have brought is mostly luck, and machines rented for it cost more than they help.
const forecastJobs = 35

// inherit takes the cores found at a takeover for the usual load, where what was
// stored of it, and what has arrived since, says less.
func (f *fleet) inherit() {
	held := 0.0
	for _, m := range f.l.machines {
		if m.kind != nil {
			held += m.kind.Cores
		}
	}
	f.accountedAt = f.l.n.now
	if len(f.flows) == 0 {
		f.flowAt, f.flowsFrom = f.l.n.now, f.l.n.now
	}
	// Jobs that were accepted since the record was made have arrived, too; those that
	// came before the first leader did are half of what a day begins with.
	for _, j := range f.l.byAge() {
		if j.from > f.recordAt {
			f.arrived(j)
		}
	}
	f.quiet = 0 // what users did while nobody led is not known
	f.inherited = max(0, held/(1+f.l.n.set.Headroom)-f.usual()) * f.span()
}
