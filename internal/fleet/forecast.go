package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/storage"
)

// Forecast estimates the work that will arrive from past arrivals, by class of jobs. Instants are
// on the caller's monotonic clock.
type Forecast struct {
	lease     time.Duration // of the workers
	flows     map[string]*flow
	inherited float64       // work that arrived under earlier leaders, in core seconds, decaying like recentWork
	decayedAt time.Duration // time up to which the sums are decayed
	silent    time.Duration // not counting times in which no job could be stored
	since     time.Duration // when the counting of arrivals began
}

// classArrivals is the work that arrives of one class of jobs.
type flow struct {
	work float64       // in core seconds, decaying over the short window
	slow float64       // in core seconds, decaying over the long window
	jobs float64       // number of jobs, decaying over the long window
	due  time.Duration // time from arrival to due time, of the last job
}

const (
	// windowLeases is the short window, over which the usual load is taken, in worker leases.
	levelSpan = 2
	// longWindowFactor is the ratio of the long window, over which the forecast is taken, to the
	// short one.
	slowSpan = 6
	// toleratedMissingJobs is how many expected jobs may fail to arrive by chance at a steady
	// rate. Clients that found no node retry within about a lease, so a gap of that length has no
	// meaning.
	luckyAbsences = 3
	// halfTrustJobs is the number of jobs at which half of the forecast is trusted. The arrivals
	// of few jobs are mostly random, and machines rented for them cost more than they help.
	forecastJobs = 35
	// minTrackedJobs is the decayed number of jobs below which a class is forgotten.
	forgottenJobs = 0.01
)

// NewForecast returns an empty forecast. lease is the worker lease.
func NewForecast(lease time.Duration) *Forecast {
	return &Forecast{lease: lease, flows: map[string]*flow{}}
}

// Window returns the short window, over which the usual load is taken.
func (f *Forecast) Span() time.Duration { return levelSpan * f.lease }

// RecordArrival adds the work, in core seconds, of a new job of a class. The job is due dueAfter
// its arrival.
func (f *Forecast) Arrived(class string, work float64, due time.Duration) {
	x := f.flows[class]
	if x == nil {
		x = &flow{}
		f.flows[class] = x
	}
	x.work += work
	x.slow += work
	x.jobs++
	f.silent = 0
	x.due = max(0, due) // a job may be late already when its dependencies finish
}

// DecayTo decays the sums up to now. writable tells whether jobs could be stored since the last
// call; if not, that time does not count as one without arrivals.
func (f *Forecast) Decay(now time.Duration, writable bool) {
	by := math.Exp(-(now - f.decayedAt).Seconds() / f.Span().Seconds())
	slowly := math.Pow(by, 1.0/slowSpan)
	for class, x := range f.flows {
		x.work *= by
		x.slow *= slowly
		if x.jobs *= slowly; x.jobs < forgottenJobs {
			delete(f.flows, class)
		}
	}
	f.inherited *= by
	if writable {
		f.silent += max(0, now-f.decayedAt)
	}
	f.decayedAt = now
}

// longWindowSeconds returns the time that the sums of the long window cover: less than the full
// window until they have been kept for that long.
func (f *Forecast) slowTime() float64 {
	span := slowSpan * f.Span().Seconds()
	seen := f.Span().Seconds() + (f.decayedAt - f.since).Seconds()
	return span * (1 - math.Exp(-seen/span))
}

// JobsSeen returns the number of jobs in the sums of the long window.
func (f *Forecast) JobsSeen() float64 {
	jobs := 0.0
	for _, x := range f.flows {
		jobs += x.jobs
	}
	return jobs
}

// Confidence returns the share of the usual arrivals that is still expected. Decaying sums outlast
// the last job by minutes, in which machines were held and even rented for work that did not come.
// More jobs missing in a row than chance explains lower the confidence.
func (f *Forecast) Confidence() float64 {
	missed := f.JobsSeen() / f.slowTime() * (f.silent - f.lease).Seconds()
	if missed <= luckyAbsences {
		return 1
	}
	return luckyAbsences / missed
}

// UsualLoad returns the number of cores that recent arrivals keep busy. The forecast of a new
// leader begins with what its predecessor held.
func (f *Forecast) Usual() float64 {
	work := f.inherited
	for _, x := range f.flows {
		work += x.work
	}
	return f.Confidence() * work / f.Span().Seconds()
}

// ExpectedWork returns the work, in core seconds, that should arrive early enough to be due within
// withinSeconds. It takes precedence over the work that is due then, so capacity has to be left
// for it.
func (f *Forecast) Coming(within float64) float64 {
	work := 0.0
	for _, x := range f.flows {
		work += x.slow * max(0, within-x.due.Seconds())
	}
	jobs := f.JobsSeen()
	trust := math.Pow(jobs, 4) / (math.Pow(jobs, 4) + math.Pow(forecastJobs, 4))
	return f.Confidence() * trust * work / f.slowTime()
}

// Empty reports whether no arrivals are known.
func (f *Forecast) Empty() bool { return len(f.flows) == 0 }

// Snapshot returns what is stored for the next leader, in at most maxBytes. Users choose the names
// of classes, so their number and length have to be bounded: the classes with the least work are
// left out. A value over the limit would be refused, and the leader would step down.
func (f *Forecast) Record(wallMS int64, maxBytes int) storage.FlowRecord {
	record := storage.FlowRecord{
		AtMS: wallMS, OverS: (f.decayedAt - f.since).Seconds(), Classes: map[string]storage.Flow{}}
	classes := slices.SortedFunc(maps.Keys(f.flows), func(a, b string) int {
		return cmp.Or(cmp.Compare(f.flows[b].slow, f.flows[a].slow), cmp.Compare(a, b))
	})
	size := len(storage.Encode(record))
	for _, class := range classes {
		x := f.flows[class]
		one := storage.Flow{Work: x.work, Slow: x.slow, Jobs: x.jobs, DueS: x.due.Seconds()}
		size += len(storage.Encode(map[string]storage.Flow{class: one}))
		if size > maxBytes {
			break
		}
		record.Classes[class] = one
	}
	return record
}

// Restore replaces the forecast by a stored one, which was made at storedAt.
func (f *Forecast) Restore(record storage.FlowRecord, at time.Duration) {
	f.decayedAt = at
	f.since = at - config.Seconds(record.OverS)
	for class, x := range record.Classes {
		f.flows[class] = &flow{work: x.Work, slow: x.Slow, jobs: x.Jobs, due: config.Seconds(x.DueS)}
	}
}

// StartCounting starts the counting of arrivals where no forecast was stored.
func (f *Forecast) Begin(now time.Duration) { f.decayedAt, f.since = now, now }

// InheritLoad takes the cores that are held at a takeover as the usual load, unless the restored
// forecast and the arrivals since then amount to more. Arrivals while there was no leader are
// unknown.
func (f *Forecast) Inherit(cores float64) {
	f.silent = 0
	f.inherited = max(0, cores-f.Usual()) * f.Span().Seconds()
}
