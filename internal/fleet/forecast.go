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

// Forecast estimates from past arrivals how much work will arrive, by job class. It keeps sums that
// decay exponentially over a short and a long window. Instants are readings of the caller's
// monotonic clock.
type Forecast struct {
	lease            time.Duration             // worker lease
	classes          map[string]*classArrivals // by job class
	inheritedWork    float64                   // core seconds added by InheritLoad, decaying like recentWork
	decayedAt        time.Duration             // instant up to which the sums are decayed
	sinceLastArrival time.Duration             // time since the last arrival in which jobs could be stored
	countingSince    time.Duration             // instant at which the counting of arrivals began
}

// classArrivals holds the decaying sums of the jobs that arrived in one class.
type classArrivals struct {
	recentWork   float64       // core seconds, decaying over the short window
	longTermWork float64       // core seconds, decaying over the long window
	jobCount     float64       // number of jobs, decaying over the long window
	dueAfter     time.Duration // time from the arrival of the last job until it was due
}

const (
	// shortWindowLeases is the length of the short window in worker leases. The sums over this window
	// determine the usual load.
	shortWindowLeases = 2
	// longWindowFactor is the ratio of the long window to the short one. The sums over the long window
	// determine the expected work.
	longWindowFactor = 6
	// toleratedMissingJobs is how many jobs in a row may fail to arrive by chance although the
	// arrival rate has not changed.
	toleratedMissingJobs = 3
	// halfTrustJobs is the number of jobs at which ExpectedWork returns half of the extrapolated
	// work. The arrivals of few jobs are mostly random, and machines rented for them cost more than
	// they help.
	halfTrustJobs = 35
	// minTrackedJobs is the decayed number of jobs below which a class is deleted.
	minTrackedJobs = 0.01
)

// NewForecast returns a forecast without arrivals. lease is the worker lease.
func NewForecast(lease time.Duration) *Forecast {
	return &Forecast{lease: lease, classes: map[string]*classArrivals{}}
}

// shortWindow returns the length of the short window.
func (f *Forecast) shortWindow() time.Duration { return shortWindowLeases * f.lease }

// RecordArrival adds the work, in core seconds, of a job that has just become eligible. dueAfter is the
// time from now until the job is due.
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

// DecayTo decays the sums up to now. writable means that jobs could be stored since the last call. If they
// could not, the time since that call does not count as time without arrivals.
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

// longWindowSeconds returns the time, in seconds, that the sums over the long window cover. It is
// shorter than the window until arrivals have been counted for long enough.
func (f *Forecast) longWindowSeconds() float64 {
	fullWindow := longWindowFactor * f.shortWindow().Seconds()
	observed := f.shortWindow().Seconds() + (f.decayedAt - f.countingSince).Seconds()
	return fullWindow * (1 - math.Exp(-observed/fullWindow))
}

// JobsSeen returns the number of jobs of all classes, decayed over the long window.
func (f *Forecast) JobsSeen() float64 {
	jobs := 0.0
	for _, arrivals := range f.classes {
		jobs += arrivals.jobCount
	}
	return jobs
}

// Confidence returns the share (0 to 1) of the usual arrivals that is still expected. It is 1 while jobs
// arrive, and falls once more jobs in a row are missing than chance explains. The sums decay only
// over minutes after the last job; without this factor, machines were held and even rented in these
// minutes for work that never arrived. The first worker lease of a gap does not count, because clients
// that found no node retry within about a lease.
func (f *Forecast) Confidence() float64 {
	missingJobs := f.JobsSeen() / f.longWindowSeconds() * (f.sinceLastArrival - f.lease).Seconds()
	if missingJobs <= toleratedMissingJobs {
		return 1
	}
	return toleratedMissingJobs / missingJobs
}

// UsualLoad returns the usual load: the number of cores that recent arrivals keep busy. For a new leader,
// it starts from the cores that the previous leader held (InheritLoad).
func (f *Forecast) UsualLoad() float64 {
	work := f.inheritedWork
	for _, arrivals := range f.classes {
		work += arrivals.recentWork
	}
	return f.Confidence() * work / f.shortWindow().Seconds()
}

// ExpectedWork returns the work, in core seconds, that is expected to arrive from now on and to be due
// within withinSeconds. Work that is due at the end of that time runs after the expected work, so the plan
// must leave capacity for both.
func (f *Forecast) ExpectedWork(withinSeconds float64) float64 {
	work := 0.0
	for _, arrivals := range f.classes {
		work += arrivals.longTermWork * max(0, withinSeconds-arrivals.dueAfter.Seconds())
	}
	jobs := f.JobsSeen()
	trust := math.Pow(jobs, 4) / (math.Pow(jobs, 4) + math.Pow(halfTrustJobs, 4))
	return f.Confidence() * trust * work / f.longWindowSeconds()
}

// Empty reports whether no class has arrivals.
func (f *Forecast) Empty() bool { return len(f.classes) == 0 }

// Snapshot returns the record for the next leader. Users choose the names of classes, so the record
// would be unbounded: the classes with the least work are left out if it would exceed maxBytes. The
// key-value store rejects a value over its limit, and the leader would then step down.
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

// Restore loads the forecast that an earlier leader recorded at storedAt.
func (f *Forecast) Restore(record storage.ArrivalForecastRecord, storedAt time.Duration) {
	f.decayedAt = storedAt
	f.countingSince = storedAt - config.Seconds(max(record.WindowSeconds, 0))
	for class, stored := range record.Classes {
		f.classes[class] = &classArrivals{
			recentWork: limitStored(stored.RecentWork), longTermWork: limitStored(stored.LongTermWork),
			jobCount: limitStored(stored.JobCount), dueAfter: config.Seconds(max(stored.DueSeconds, 0)),
		}
	}
}

// maxStored is the largest sum that is restored from a record. It is more than the work of the largest
// possible jobs, and powers and sums of it stay finite.
const maxStored = 1e50

// limitStored returns a stored sum within the range of possible sums.
func limitStored(sum float64) float64 { return min(max(sum, 0), maxStored) }

// StartCounting starts the counting of arrivals at now, for a leader that found no stored forecast.
func (f *Forecast) StartCounting(now time.Duration) { f.decayedAt, f.countingSince = now, now }

// InheritLoad raises the usual load at a takeover to the given number of cores, which follows from
// the machines held. It does nothing if the restored forecast and the arrivals since then amount to more.
// Arrivals while there was no leader are unknown, so the time since the last arrival restarts at 0.
func (f *Forecast) InheritLoad(cores float64) {
	f.sinceLastArrival = 0
	f.inheritedWork = max(0, cores-f.UsualLoad()) * f.shortWindow().Seconds()
}
