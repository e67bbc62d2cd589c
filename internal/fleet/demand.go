package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Job is the planner's view of an open job whose dependencies have all finished. Instants are on
// the caller's monotonic clock; work is in core seconds.
type Job struct {
	Cores   float64
	Each    time.Duration // expected duration of a task, including the pull of its image
	Work    float64       // of the tasks that have not ended
	Failing bool          // only one task at a time is tried
	Due     time.Duration // when the job should be complete
	From    time.Duration // when its SLOs began to count
	Reserve time.Duration // part of the SLO on starting that the plan does not count on
	Begun   bool          // some task has started
	Share   float64       // share of the jobs of its class that has to be in time
	Next    []Upcoming    // jobs that depend on this one alone, once its end is near
}

// UpcomingJob is a job that will be released soon and then needs machines.
type Upcoming struct {
	Each time.Duration
	Due  time.Duration // after the present, if the job started now
	Work float64
}

// Demand holds what the demand for cores follows from.
type Demand struct {
	Now      time.Duration
	Boot     time.Duration // of a new machine
	Begin    time.Duration // time within which every job should start
	Jobs     []Job
	Forecast *Forecast // nil: nothing is planned for jobs that have not arrived
}

// dueWork is work that is due after a time.
type load struct {
	due  time.Duration
	work float64
}

const (
	// lateRunTimeFactor is the multiple of its task duration within which the work of a late job
	// should start.
	lateSpan = 4
	// bootTimeMargin is the multiple of the boot time that must be left before work is due for
	// machines to be rented for it.
	bootMargin = 1.25
)

// RequiredCores returns how many cores should be at work for the jobs to be in time, given that
// heldCores are held: all work due by some moment must fit into the time until then. Jobs that are
// late already add little, as more cores do not help them.
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

// loads returns the work with the time after which it is due, and the mean share of it that has to
// be in time.
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

// completionSpan returns the time within which the work of a job should be done.
func (d *Demand) span(j *Job) time.Duration {
	due := j.Due - d.Now
	span := min(due-j.Reserve, j.From+d.Begin+j.Each-d.Now)
	switch {
	case span >= j.Each:
		return span
	case !j.Begun:
		return j.Each
	case due >= j.Each:
		// The reserve is used up, but the SLO can still be met. Treating the job as late would
		// plan most of its tasks for after it is due: of a job that was started only because it
		// had been pending for long, most tasks have yet to run.
		return due
	default:
		return lateSpan * j.Each
	}
}

// Bounds of the margin that the plan adds to the machine time it counts on.
const (
	// relaxedShare is the share of work in time up to which there is no margin.
	looseShare = 0.9
	// maxMargin is the margin if all work has to be in time.
	marginMost = 0.3
)

// usableTimeFraction returns the fraction of machine time that the plan counts on if onTimeShare
// of the work has to be in time. Tasks can be neither split nor interrupted, so a plan that counts
// on all of the time is late for some work, and for more of it after an outage or a takeover.
// Where the SLOs allow next to none of that, the additional machines are worth their price.
func usableTime(share float64) float64 {
	return 1 / (1 + max(0, (share-looseShare)/(1-looseShare))*marginMost)
}
