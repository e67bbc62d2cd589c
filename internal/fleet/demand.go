package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Job is the planner's view of an open job whose dependencies have all finished. Instants are
// readings of the caller's monotonic clock; work is in core seconds.
type Job struct {
	CoresPerTask       float64
	TaskDuration       time.Duration // expected duration of a task, including the pull of its image
	RemainingWork      float64       // work of the tasks that have not ended
	FailsEverywhere    bool          // its tasks failed on several machines, so only one task at a time is tried
	Due                time.Duration // instant at which the job should be complete
	EligibleAt         time.Duration // instant from which the time limits of the job's SLOs count
	SLOReserve         time.Duration // slack that the plan keeps before Due; 0 without an SLO on starting
	Started            bool          // some task has started
	MinShare           float64       // share (0 to 1) of the jobs of its class that must be in time
	UpcomingDependents []UpcomingJob // jobs that wait only for this job; empty unless it should end within a boot time
}

// UpcomingJob is a job whose last pending dependency is about to finish. It needs machines from
// then on.
type UpcomingJob struct {
	TaskDuration time.Duration // expected duration of a task, including the pull of its image
	DueIn        time.Duration // time from now until the job would be due if it became eligible now
	Work         float64       // core seconds
}

// Demand is the input from which RequiredCores computes the demand for cores.
type Demand struct {
	Now         time.Duration // instant of the plan
	BootTime    time.Duration // time that a new machine takes to boot
	StartWithin time.Duration // longest time from a job's EligibleAt to its start that the plan accepts
	Jobs        []Job
	Forecast    *Forecast // work of jobs that have not arrived yet; nil: no capacity is planned for it
}

// workItem is an amount of work and the time left until it is due.
type workItem struct {
	dueIn       time.Duration
	coreSeconds float64
}

const (
	// lateTaskDurations is the time over which the work of a late job is spread, in durations of one
	// task of the job.
	lateTaskDurations = 4
	// minDueBootTimes is the time, in boot times, that must be left until work is due. Otherwise no
	// machines are rented for the work.
	minDueBootTimes = 1.25
)

// RequiredCores returns how many cores the jobs need to be in time, given that heldCores are held.
// At every moment, all work that is due by then must fit into the time until then. Cores beyond
// heldCores are usable only after a boot. Jobs that are already late add little, because more cores do
// not help them.
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

// workItems returns the work of all jobs and upcoming dependents, with the time left until it is due,
// and the share (0 to 1) of the jobs' work that must be in time: the mean of MinShare, weighted by work.
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

// completionSpan returns the time from now within which the remaining work of a job should be done.
func (d *Demand) completionSpan(job *Job) time.Duration {
	untilDue := job.Due - d.Now
	span := min(untilDue-job.SLOReserve, job.EligibleAt+d.StartWithin+job.TaskDuration-d.Now)
	switch {
	case span >= job.TaskDuration:
		return span
	case !job.Started:
		return job.TaskDuration
	case untilDue >= job.TaskDuration:
		// The reserve is used up, but the job can still be complete when it is due. A job that was
		// started only because it had been pending for long still has most of its tasks to run. If
		// the job were treated as late, these tasks would be planned for after the due time.
		return untilDue
	default:
		return lateTaskDurations * job.TaskDuration
	}
}

// The plan adds a margin to the machine time that the work needs. The margin grows with the share of work
// that must be in time.
const (
	// maxShareWithoutMargin is the largest share of work that must be in time for which there is no
	// margin.
	maxShareWithoutMargin = 0.9
	// maxMargin is the margin if all work must be in time, as a ratio to the time needed.
	maxMargin = 0.3
)

// usableTimeFraction returns the fraction of machine time that the plan counts on if onTimeShare
// of the work must be in time. Tasks can be neither split nor interrupted, so a plan that counts
// on all machine time completes some work late, and more work after an outage or a takeover.
// Where the SLOs allow almost no late work, the machines for the margin are worth their price.
func usableTimeFraction(onTimeShare float64) float64 {
	return 1 / (1 + max(0, (onTimeShare-maxShareWithoutMargin)/(1-maxShareWithoutMargin))*maxMargin)
}
