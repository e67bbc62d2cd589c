package fleet

import (
	"testing"
	"time"
)

// ampleHeldCores is a number of held cores that exceeds every demand in the tests.
const ampleHeldCores = 1000

// demandFor returns the demand of jobs at the instant now, without a forecast.
func demandFor(now time.Duration, jobs ...Job) Demand {
	return Demand{Now: now, BootTime: 5 * time.Second, StartWithin: 144 * time.Second, Jobs: jobs}
}

// requiredFor returns the cores that jobs require at the instant now if enough cores are held.
func requiredFor(now time.Duration, jobs ...Job) float64 {
	demand := demandFor(now, jobs...)
	return demand.RequiredCores(ampleHeldCores)
}

func TestNoCoresRequiredWithoutJobs(t *testing.T) {
	if got := requiredFor(0); got != 0 {
		t.Errorf("%v cores required without jobs, want 0", got)
	}
}

// All work that is due by some moment must fit into the time until then. If jobs that are due at about
// the same time were planned one by one, they would get too few cores.
func TestWorkDueEarlierCountsTowardsLaterJobs(t *testing.T) {
	first := Job{CoresPerTask: 1, TaskDuration: 10 * time.Second, RemainingWork: 1000, Due: 100 * time.Second, Started: true}
	second := Job{CoresPerTask: 1, TaskDuration: 10 * time.Second, RemainingWork: 3000, Due: 110 * time.Second, Started: true}
	if got := requiredFor(0, first); got != 10 {
		t.Errorf("%v cores required for the first job, want 10", got)
	}
	if got, want := requiredFor(0, second, first), 4000.0/110; got != want {
		t.Errorf("%v cores required for both jobs, want %v", got, want)
	}
}

// Work that the held cores can't do in time must be divided by the time that remains after a boot, as
// rented machines are idle until then. No machine may be rented for work that is due before it would be up.
func TestRequiredCoresAllowForBootTime(t *testing.T) {
	job := Job{CoresPerTask: 1, TaskDuration: 5 * time.Second, RemainingWork: 1000, Due: 25 * time.Second, Started: true}
	demand := demandFor(0, job)
	if got, want := demand.RequiredCores(20), 20+(1000-20*25)/20.0; got != want {
		t.Errorf("%v cores required with 20 held, want %v", got, want)
	}
	job.Due = 6 * time.Second
	demand = demandFor(0, job)
	if got := demand.RequiredCores(20); got != 20 {
		t.Errorf("%v cores required for work due before a machine boots, want the 20 held", got)
	}
}

// A job that was started only because it had been pending for long, and can still be complete in time,
// must be planned for its due time. If it were planned as a late job, most of its tasks would run after it
// is due.
func TestStartedJobIsPlannedForItsSLO(t *testing.T) {
	const now = 150 * time.Second
	job := Job{CoresPerTask: 1, TaskDuration: 50 * time.Second, RemainingWork: 100 * 50, Due: 250 * time.Second,
		SLOReserve: 80 * time.Second, MinShare: 0.9}
	notStarted := requiredFor(now, job)
	job.Started = true
	untilDue := 100.0
	if got := requiredFor(now, job); got < 100*50/untilDue || got > notStarted {
		t.Errorf("%v cores required after the start, want 50 to %v (required before the start)", got, notStarted)
	}
}

// The work of a late job must be spread over several task durations: more cores would not help the job,
// and would be rented for nothing.
func TestLateJobIsSpreadOverSeveralTaskDurations(t *testing.T) {
	job := Job{CoresPerTask: 1, TaskDuration: 50 * time.Second, RemainingWork: 1000, Due: 10 * time.Second, Started: true}
	if got := requiredFor(0, job); got != 1000/(4*50.0) {
		t.Errorf("%v cores required for a late job, want 5", got)
	}
}

// Of a job whose tasks fail on several machines, only one task at a time is tried, so no cores may be
// required for the other tasks.
func TestJobThatFailsEverywhereRequiresOneTask(t *testing.T) {
	job := Job{CoresPerTask: 2, TaskDuration: 50 * time.Second, RemainingWork: 10_000, Due: 100 * time.Second, Started: true, FailsEverywhere: true}
	if got := requiredFor(0, job); got != 1 {
		t.Errorf("%v cores required for a job that fails everywhere, want 1", got)
	}
}

// Where the SLOs allow almost no late jobs, the plan must count on less of the machines' time, because
// tasks can't be split to fill all of that time.
func TestStrictSLOsAddMargin(t *testing.T) {
	required := func(minShare float64) float64 {
		return requiredFor(0, Job{CoresPerTask: 1, TaskDuration: 20 * time.Second, RemainingWork: 200 * 20, Due: 100 * time.Second, MinShare: minShare})
	}
	loose, usual, strict := required(0.8), required(0.9), required(0.99)
	if loose != usual || strict < usual*1.2 || strict > usual*1.4 {
		t.Errorf("cores required: got %v at a share of 0.8, want %v as at 0.9; got %v at 0.99, want 1.2 to 1.4 times that",
			loose, usual, strict)
	}
}

// The next stage of a pipeline must be planned before the present stage has ended. Otherwise the machines
// for the next stage would start to boot only then.
func TestUpcomingDependentsRequireCores(t *testing.T) {
	job := Job{CoresPerTask: 1, TaskDuration: 60 * time.Second, RemainingWork: 4, Due: 100 * time.Second, Started: true}
	alone := requiredFor(0, job)
	job.UpcomingDependents = []UpcomingJob{{TaskDuration: 5 * time.Second, DueIn: 50 * time.Second, Work: 1000}}
	if got := requiredFor(0, job); got < 1000/50 || got > 2*1000/50 || got <= alone {
		t.Errorf("%v cores required with the next stage, want 20 to 40, and more than the %v without it", got, alone)
	}
}

// Work that is expected to arrive and will be due earlier than the present work must add to the demand,
// because the present work runs after it.
func TestForecastAddsToDemand(t *testing.T) {
	forecast := NewForecast(testLease)
	for second := range 120 {
		forecast.DecayTo(time.Duration(second)*time.Second, true)
		forecast.RecordArrival("c", 10, 10*time.Second)
	}
	now := 119 * time.Second
	demand := demandFor(now, Job{CoresPerTask: 1, TaskDuration: 10 * time.Second, RemainingWork: 1000, EligibleAt: now, Due: now + 100*time.Second, Started: true})
	without := demand.RequiredCores(ampleHeldCores)
	demand.Forecast = forecast
	if got, want := demand.RequiredCores(ampleHeldCores), without+forecast.ExpectedWork(100)/100; got != want || got <= without {
		t.Errorf("%v cores required with the forecast, want %v, and more than the %v without it", got, want, without)
	}
}
