package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Job is the planner's view of an open job whose dependencies have all finished. Instants are on
// the caller's monotonic clock; work is in core seconds.
type Job struct {
	CoresPerTask       float64
	TaskDuration       time.Duration // expected duration of a task, including the pull of its image
	RemainingWork      float64       // of the tasks that have not ended
	FailsEverywhere    bool          // only one task at a time is tried
	Due                time.Duration // when the job should be complete
	EligibleAt         time.Duration // when its SLOs began to count
	SLOReserve         time.Duration // part of the SLO on starting that the plan does not count on
	Started            bool          // some task has started
	MinShare           float64       // share of the jobs of its class that has to be in time
	UpcomingDependents []UpcomingJob // jobs that depend on this one alone, once its end is near
}

// UpcomingJob is a job that will be released soon and then needs machines.
type UpcomingJob struct {
	TaskDuration time.Duration
	DueIn        time.Duration // after the present, if the job started now
	Work         float64
}

// Demand holds what the demand for cores follows from.
type Demand struct {
	Now         time.Duration
	BootTime    time.Duration // of a new machine
	StartWithin time.Duration // time within which every job should start
	Jobs        []Job
	Forecast    *Forecast // nil: nothing is planned for jobs that have not arrived
}

// workItem is work that is due after a time.
type workItem struct {
	dueIn       time.Duration
	coreSeconds float64
}

const (
	// lateTaskDurations is the multiple of its task duration within which the work of a late job
	// should start.
	lateTaskDurations = 4
	// minDueBootTimes is the multiple of the boot time that must be left before work is due for
	// machines to be rented for it.
	minDueBootTimes = 1.25
)

// RequiredCores returns how many cores should be at work for the jobs to be in time, given that
// heldCores are held: all work due by some moment must fit into the time until then. Jobs that are
// late already add little, as more cores do not help them.
func (d *Demand) RequiredCores(heldCores float64) float64 {
	items, onTimeShare := d.workItems()
	usableFraction := usableTimeFraction(onTimeShare)
	bootSeconds := d.BootTime.Seconds()
	slices.SortFunc(items, func(a, b workItem) int {
		return cmp.Or(cmp.Compare(a.dueIn, b.dueIn), cmp.Compare(a.coreSeconds, b.coreSeconds))
	})
	required, cumulativeWork := 0.0, 0.0
	for _, item := range items {
		cumulativeWork += item.coreSeconds
		spanSeconds := item.dueIn.Seconds()
		totalWork := cumulativeWork
		if d.Forecast != nil {
			totalWork += d.Forecast.ExpectedWork(spanSeconds)
		}
		required = max(required, min(heldCores, totalWork/(spanSeconds*usableFraction)))
		shortfall := totalWork - heldCores*spanSeconds*usableFraction
		if shortfall > 0 && spanSeconds > minDueBootTimes*bootSeconds {
			required = max(required, heldCores+shortfall/((spanSeconds-bootSeconds)*usableFraction))
		}
	}
	return required
}

// workItems returns the work with the time after which it is due, and the mean share of it that has to
// be in time.
func (d *Demand) workItems() (items []workItem, onTimeShare float64) {
	onTimeWork, totalWork := 0.0, 0.0
	for i := range d.Jobs {
		job := &d.Jobs[i]
		work := job.RemainingWork
		if job.FailsEverywhere {
			work = min(work, job.TaskDuration.Seconds()*job.CoresPerTask)
		}
		items = append(items, workItem{dueIn: d.completionSpan(job), coreSeconds: work})
		onTimeWork += work * job.MinShare
		totalWork += work
		for _, upcoming := range job.UpcomingDependents {
			dueIn := max(upcoming.DueIn, upcoming.TaskDuration)
			items = append(items, workItem{dueIn: dueIn, coreSeconds: upcoming.Work})
		}
	}
	return items, onTimeWork / max(totalWork, 1)
}

// completionSpan returns the time within which the work of a job should be done.
func (d *Demand) completionSpan(job *Job) time.Duration {
	untilDue := job.Due - d.Now
	span := min(untilDue-job.SLOReserve, job.EligibleAt+d.StartWithin+job.TaskDuration-d.Now)
	switch {
	case span >= job.TaskDuration:
		return span
	case !job.Started:
		return job.TaskDuration
	case untilDue >= job.TaskDuration:
		// The reserve is used up, but the SLO can still be met. Treating the job as late would
		// plan most of its tasks for after it is due: of a job that was started only because it
		// had been pending for long, most tasks have yet to run.
		return untilDue
	default:
		return lateTaskDurations * job.TaskDuration
	}
}

// Bounds of the margin that the plan adds to the machine time it counts on.
const (
	// maxShareWithoutMargin is the share of work in time up to which there is no margin.
	maxShareWithoutMargin = 0.9
	// maxMargin is the margin if all work has to be in time.
	maxMargin = 0.3
)

// usableTimeFraction returns the fraction of machine time that the plan counts on if onTimeShare
// of the work has to be in time. Tasks can be neither split nor interrupted, so a plan that counts
// on all of the time is late for some work, and for more of it after an outage or a takeover.
// Where the SLOs allow next to none of that, the additional machines are worth their price.
func usableTimeFraction(onTimeShare float64) float64 {
	return 1 / (1 + max(0, (onTimeShare-maxShareWithoutMargin)/(1-maxShareWithoutMargin))*maxMargin)
}
