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
	lease            time.Duration // of the workers
	classes          map[string]*classArrivals
	inheritedWork    float64       // work that arrived under earlier leaders, in core seconds, decaying like recentWork
	decayedAt        time.Duration // time up to which the sums are decayed
	sinceLastArrival time.Duration // not counting times in which no job could be stored
	countingSince    time.Duration // when the counting of arrivals began
}

// classArrivals is the work that arrives of one class of jobs.
type classArrivals struct {
	recentWork   float64       // in core seconds, decaying over the short window
	longTermWork float64       // in core seconds, decaying over the long window
	jobCount     float64       // number of jobs, decaying over the long window
	dueAfter     time.Duration // time from arrival to due time, of the last job
}

const (
	// shortWindowLeases is the short window, over which the usual load is taken, in worker leases.
	shortWindowLeases = 2
	// longWindowFactor is the ratio of the long window, over which the forecast is taken, to the
	// short one.
	longWindowFactor = 6
	// toleratedMissingJobs is how many expected jobs may fail to arrive by chance at a steady
	// rate. Clients that found no node retry within about a lease, so a gap of that length has no
	// meaning.
	toleratedMissingJobs = 3
	// halfTrustJobs is the number of jobs at which half of the forecast is trusted. The arrivals
	// of few jobs are mostly random, and machines rented for them cost more than they help.
	halfTrustJobs = 35
	// minTrackedJobs is the decayed number of jobs below which a class is forgotten.
	minTrackedJobs = 0.01
)

// NewForecast returns an empty forecast. lease is the worker lease.
func NewForecast(lease time.Duration) *Forecast {
	return &Forecast{lease: lease, classes: map[string]*classArrivals{}}
}

// shortWindow returns the short shortWindow, over which the usual load is taken.
func (f *Forecast) shortWindow() time.Duration { return shortWindowLeases * f.lease }

// RecordArrival adds the work, in core seconds, of a new job of a class. The job is due dueAfter
// its arrival.
func (f *Forecast) RecordArrival(class string, work float64, dueAfter time.Duration) {
	arrivals := f.classes[class]
	if arrivals == nil {
		arrivals = &classArrivals{}
		f.classes[class] = arrivals
	}
	arrivals.recentWork += work
	arrivals.longTermWork += work
	arrivals.jobCount++
	f.sinceLastArrival = 0
	arrivals.dueAfter = max(0, dueAfter) // a job may be late already when its dependencies finish
}

// DecayTo decays the sums up to now. writable tells whether jobs could be stored since the last
// call; if not, that time does not count as one without arrivals.
func (f *Forecast) DecayTo(now time.Duration, writable bool) {
	decayFactor := math.Exp(-(now - f.decayedAt).Seconds() / f.shortWindow().Seconds())
	longDecayFactor := math.Pow(decayFactor, 1.0/longWindowFactor)
	for class, arrivals := range f.classes {
		arrivals.recentWork *= decayFactor
		arrivals.longTermWork *= longDecayFactor
		if arrivals.jobCount *= longDecayFactor; arrivals.jobCount < minTrackedJobs {
			delete(f.classes, class)
		}
	}
	f.inheritedWork *= decayFactor
	if writable {
		f.sinceLastArrival += max(0, now-f.decayedAt)
	}
	f.decayedAt = now
}

// longWindowSeconds returns the time that the sums of the long window cover: less than the full
// window until they have been kept for that long.
func (f *Forecast) longWindowSeconds() float64 {
	fullWindow := longWindowFactor * f.shortWindow().Seconds()
	observed := f.shortWindow().Seconds() + (f.decayedAt - f.countingSince).Seconds()
	return fullWindow * (1 - math.Exp(-observed/fullWindow))
}

// JobsSeen returns the number of jobs in the sums of the long window.
func (f *Forecast) JobsSeen() float64 {
	jobs := 0.0
	for _, arrivals := range f.classes {
		jobs += arrivals.jobCount
	}
	return jobs
}

// Confidence returns the share of the usual arrivals that is still expected. Decaying sums outlast
// the last job by minutes, in which machines were held and even rented for work that did not come.
// More jobs missing in a row than chance explains lower the confidence.
func (f *Forecast) Confidence() float64 {
	missingJobs := f.JobsSeen() / f.longWindowSeconds() * (f.sinceLastArrival - f.lease).Seconds()
	if missingJobs <= toleratedMissingJobs {
		return 1
	}
	return toleratedMissingJobs / missingJobs
}

// UsualLoad returns the number of cores that recent arrivals keep busy. The forecast of a new
// leader begins with what its predecessor held.
func (f *Forecast) UsualLoad() float64 {
	work := f.inheritedWork
	for _, arrivals := range f.classes {
		work += arrivals.recentWork
	}
	return f.Confidence() * work / f.shortWindow().Seconds()
}

// ExpectedWork returns the work, in core seconds, that should arrive early enough to be due within
// withinSeconds. It takes precedence over the work that is due then, so capacity has to be left
// for it.
func (f *Forecast) ExpectedWork(withinSeconds float64) float64 {
	work := 0.0
	for _, arrivals := range f.classes {
		work += arrivals.longTermWork * max(0, withinSeconds-arrivals.dueAfter.Seconds())
	}
	jobs := f.JobsSeen()
	trust := math.Pow(jobs, 4) / (math.Pow(jobs, 4) + math.Pow(halfTrustJobs, 4))
	return f.Confidence() * trust * work / f.longWindowSeconds()
}

// Empty reports whether no arrivals are known.
func (f *Forecast) Empty() bool { return len(f.classes) == 0 }

// Snapshot returns what is stored for the next leader, in at most maxBytes. Users choose the names
// of classes, so their number and length have to be bounded: the classes with the least work are
// left out. A value over the limit would be refused, and the leader would step down.
func (f *Forecast) Snapshot(unixMilli int64, maxBytes int) storage.ArrivalForecastRecord {
	record := storage.ArrivalForecastRecord{
		RecordedAtMillis: unixMilli,
		WindowSeconds:    (f.decayedAt - f.countingSince).Seconds(),
		Classes:          map[string]storage.ClassArrivals{},
	}
	classes := slices.SortedFunc(maps.Keys(f.classes), func(a, b string) int {
		return cmp.Or(cmp.Compare(f.classes[b].longTermWork, f.classes[a].longTermWork), cmp.Compare(a, b))
	})
	size := len(storage.Encode(record))
	for _, class := range classes {
		arrivals := f.classes[class]
		stored := storage.ClassArrivals{
			RecentWork: arrivals.recentWork, LongTermWork: arrivals.longTermWork,
			JobCount: arrivals.jobCount, DueSeconds: arrivals.dueAfter.Seconds(),
		}
		size += len(storage.Encode(map[string]storage.ClassArrivals{class: stored}))
		if size > maxBytes {
			break
		}
		record.Classes[class] = stored
	}
	return record
}

// Restore replaces the forecast by a stored one, which was made at storedAt.
func (f *Forecast) Restore(record storage.ArrivalForecastRecord, storedAt time.Duration) {
	f.decayedAt = storedAt
	f.countingSince = storedAt - config.Seconds(record.WindowSeconds)
	for class, stored := range record.Classes {
		f.classes[class] = &classArrivals{
			recentWork: stored.RecentWork, longTermWork: stored.LongTermWork,
			jobCount: stored.JobCount, dueAfter: config.Seconds(stored.DueSeconds),
		}
	}
}

// StartCounting starts the counting of arrivals where no forecast was stored.
func (f *Forecast) StartCounting(now time.Duration) { f.decayedAt, f.countingSince = now, now }

// InheritLoad takes the cores that are held at a takeover as the usual load, unless the restored
// forecast and the arrivals since then amount to more. Arrivals while there was no leader are
// unknown.
func (f *Forecast) InheritLoad(cores float64) {
	f.sinceLastArrival = 0
	f.inheritedWork = max(0, cores-f.UsualLoad()) * f.shortWindow().Seconds()
}
