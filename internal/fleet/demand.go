package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Job is what the plan needs to know of an open job that waits for no others. Instants are on the
// caller's steady clock, work is in core seconds.
type Job struct {
	Cores   float64       // of a task
	Each    time.Duration // that a task takes, with the fetch of its image
	Work    float64       // left
	Failing bool          // it fails on every machine: one task at a time is tried
	Due     time.Duration // when it should be complete
	From    time.Duration // when its times began
	Reserve time.Duration // of its aim, that the plan does not count on
	Begun   bool
	Share   float64    // of its class's jobs that is to be in time
	Next    []Upcoming // jobs that wait for this one alone, once its end is near
}

// Upcoming is a job that will soon need machines.
type Upcoming struct {
	Each time.Duration
	Due  time.Duration // how long from now, if it were to begin now
	Work float64
}

// Demand is what the plan's demand for cores depends on, besides the forecast.
type Demand struct {
	Now      time.Duration
	Boot     time.Duration // that a machine takes to come up
	Begin    time.Duration // within which every job is to begin
	Jobs     []Job
	Forecast *Forecast // nil: nothing is planned for jobs to come
}

// load is work that is due within a time.
type load struct {
	due  time.Duration
	work float64
}

const (
	// lateSpan is within how many times its run time a late job's work should start.
	lateSpan = 4
	// bootMargin is how many times the boot time work must leave for machines to be rented for it.
	bootMargin = 1.25
)

// Cores is how many cores should be at work, of so many held, so that the jobs are in time:
// whatever is due by some moment must fit in the time until then. Jobs that are
// late already ask for little, as no speed helps them.
func (d *Demand) Cores(held float64) float64 {
	loads, strictShare := d.loads()
	usable := usableTime(strictShare)
	boot := d.Boot.Seconds()
	slices.SortFunc(loads, func(a, b load) int { return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.work, b.work)) })
	need, due := 0.0, 0.0
	for _, x := range loads {
		due += x.work
		span := x.due.Seconds()
		sum := due
		if d.Forecast != nil {
			sum += d.Forecast.Coming(span)
		}
		need = max(need, min(held, sum/(span*usable)))
		if short := sum - held*span*usable; short > 0 && span > bootMargin*boot {
			need = max(need, held+short/((span-boot)*usable))
		}
	}
	return need
}

// loads lists the work that is due, and the mean share of it that is to be in time.
func (d *Demand) loads() (loads []load, strictShare float64) {
	strict, whole := 0.0, 0.0
	for i := range d.Jobs {
		j := &d.Jobs[i]
		work := j.Work
		if j.Failing {
			work = min(work, j.Each.Seconds()*j.Cores)
		}
		loads = append(loads, load{due: d.span(j), work: work})
		strict += work * j.Share
		whole += work
		for _, next := range j.Next {
			loads = append(loads, load{due: max(next.Due, next.Each), work: next.Work})
		}
	}
	return loads, strict / max(whole, 1)
}

// span is within what time a job's work is to be done.
func (d *Demand) span(j *Job) time.Duration {
	due := j.Due - d.Now
	span := min(due-j.Reserve, j.From+d.Begin+j.Each-d.Now)
	switch {
	case span >= j.Each:
		return span
	case !j.Begun:
		return j.Each
	case due >= j.Each:
		// The reserve is used up, but the aim can still be met. A job that was only
		// begun, lest it wait for too long, was taken for late here, and most of
		// its tasks were planned for after their time.
		return due
	default:
		return lateSpan * j.Each
	}
}

// The share up to which the plan has no margin, and its margin where all is to be in time.
const (
	looseShare = 0.9
	marginMost = 0.3
)

// usableTime is how much of a machine's time the plan counts on, where aims ask for such a
// share of the work to be in time. Tasks can be neither split nor stopped, so a plan
// that counts on all of it comes out late for some, and an outage or a takeover for
// more; where aims leave next to none of that, it is worth machines.
func usableTime(share float64) float64 {
	return 1 / (1 + max(0, (share-looseShare)/(1-looseShare))*marginMost)
}
