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

// Forecast is what has been learnt of the work that arrives, by class of jobs. Instants are on the
// caller's steady clock.
type Forecast struct {
	lease     time.Duration
	flows     map[string]*flow
	inherited float64       // work that a predecessor saw arrive, as flow.work
	decayedAt time.Duration // when the sums were last decayed
	silent    time.Duration // since the last arrival, while arrivals could be written
	since     time.Duration // since when arrivals are counted
}

// flow is the work that arrives of a class of jobs.
type flow struct {
	work float64       // in core seconds, decaying
	slow float64       // the same, decaying slowly
	jobs float64       // how many jobs that is
	due  time.Duration // how long after its arrival it is due, of the last job
}

const (
	// levelSpan is over how many worker leases the usual load is taken.
	levelSpan = 2
	// slowSpan is over how many times the span of the usual load the forecast goes.
	slowSpan = 6
	// luckyAbsences is how many jobs may stay away by luck, at a steady rate. Users who found no
	// node come back within about a lease, so that long says nothing.
	luckyAbsences = 3
	// forecastJobs is of how many jobs half of the forecast is believed: what a few
	// have brought is mostly luck, and machines rented for it cost more than they help.
	forecastJobs = 35
	// forgottenJobs is the decayed number of jobs at which a class is forgotten.
	forgottenJobs = 0.01
)

// NewForecast begins with nothing learnt. lease is the workers'.
func NewForecast(lease time.Duration) *Forecast {
	return &Forecast{lease: lease, flows: map[string]*flow{}}
}

// Span is over what time the usual load is taken.
func (f *Forecast) Span() time.Duration { return levelSpan * f.lease }

// Arrived counts the work, in core seconds, that a new job of a class brings. It is due so long
// after its arrival.
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
	x.due = max(0, due) // a job that waited for others may be late by then
}

// Decay brings the sums up to a moment. Time in which no job could be written is no silence.
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

// slowTime is over how many seconds the slowly decaying sums go: less than their full
// span while they have not been kept for that long.
func (f *Forecast) slowTime() float64 {
	span := slowSpan * f.Span().Seconds()
	seen := f.Span().Seconds() + (f.decayedAt - f.since).Seconds()
	return span * (1 - math.Exp(-seen/span))
}

// JobsSeen is how many jobs the slowly decaying sums go over.
func (f *Forecast) JobsSeen() float64 {
	jobs := 0.0
	for _, x := range f.flows {
		jobs += x.jobs
	}
	return jobs
}

// Confidence is how much of what usually comes is still expected. Sums that decay go on for
// minutes after the last job, and machines were held, and even rented anew, for work
// that nobody brought; that so many jobs in a row stay away is no luck.
func (f *Forecast) Confidence() float64 {
	missed := f.JobsSeen() / f.slowTime() * (f.silent - f.lease).Seconds()
	if missed <= luckyAbsences {
		return 1
	}
	return luckyAbsences / missed
}

// Usual is the usual load: the cores that the work which arrives keeps busy, over the last
// while. A new leader begins with what its predecessor held.
func (f *Forecast) Usual() float64 {
	work := f.inherited
	for _, x := range f.flows {
		work += x.work
	}
	return f.Confidence() * work / f.Span().Seconds()
}

// Coming is the work, in core seconds, that should arrive, as usual, early enough to be due within
// so many seconds. It passes ahead of what is due then, so room must be left for it.
func (f *Forecast) Coming(within float64) float64 {
	work := 0.0
	for _, x := range f.flows {
		work += x.slow * max(0, within-x.due.Seconds())
	}
	jobs := f.JobsSeen()
	trust := math.Pow(jobs, 4) / (math.Pow(jobs, 4) + math.Pow(forecastJobs, 4))
	return f.Confidence() * trust * work / f.slowTime()
}

// Empty tells whether nothing has been learnt.
func (f *Forecast) Empty() bool { return len(f.flows) == 0 }

// Record is what is stored for the next leader, at a time of day in milliseconds, in at most so
// many bytes: users name the classes, so their number and length are bounded here, the least
// work first. A value over the limit would be refused, and the leader would step down for it.
func (f *Forecast) Record(wallMS int64, maxBytes int) storage.FlowRecord {
	record := storage.FlowRecord{AtMS: wallMS, OverS: (f.decayedAt - f.since).Seconds(), Classes: map[string]storage.Flow{}}
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

// Restore takes over what the leader before had stored at an instant.
func (f *Forecast) Restore(record storage.FlowRecord, at time.Duration) {
	f.decayedAt = at
	f.since = at - config.Seconds(record.OverS)
	for class, x := range record.Classes {
		f.flows[class] = &flow{work: x.Work, slow: x.Slow, jobs: x.Jobs, due: config.Seconds(x.DueS)}
	}
}

// Begin counts arrivals from a moment on, where nothing was stored.
func (f *Forecast) Begin(now time.Duration) { f.decayedAt, f.since = now, now }

// Inherit takes the cores that are found at a takeover for the usual load, where what was
// stored of it, and what has arrived since, says less. What users did while nobody led is not
// known.
func (f *Forecast) Inherit(cores float64) {
	f.silent = 0
	f.inherited = max(0, cores-f.Usual()) * f.Span().Seconds()
}
