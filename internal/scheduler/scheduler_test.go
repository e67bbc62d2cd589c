package scheduler

import (
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// testHost implements the time source and the Host of a scheduler under test.
type testHost struct {
	now              clock.Instant
	attempts         uint64
	mayRunUnreported bool
}

func (h *testHost) Now() clock.Instant { return h.now }
func (h *testHost) MayRunUnreported(*cluster.Job, *cluster.MachineTotals) bool {
	return h.mayRunUnreported
}
func (h *testHost) NextAttemptNumber() uint64                     { h.attempts++; return h.attempts }
func (h *testHost) TraceBlocked(*cluster.Job, cluster.WaitReason) {}

// testNow is the time at which the tests run their scheduling passes.
const testNow = 10 * time.Minute

// newTestScheduler returns a scheduler of a cluster with one machine of 10 cores. Team blue has a
// guarantee of 4 cores and a quota of 8 cores and 1 accelerator. Team green has neither.
func newTestScheduler() (*Scheduler, *testHost) {
	host := &testHost{now: testNow}
	platform := &config.Cluster{
		Teams:      []config.Team{{Name: "blue", GuaranteedCPUs: 4, MaxCPUs: 8, MaxGPUs: 1}, {Name: "green"}},
		Objectives: []config.Objective{{Kind: "guarantee", WithinS: 60}},
	}
	platform.Workers.HeartbeatIntervalS, platform.Workers.LeaseS = 4, 20
	machineType := &protocol.MachineType{Name: "ten", Cores: 10, MemoryGB: 40, Accelerators: 4, PullGBPerSecond: 1}
	state := cluster.New(cluster.Options{
		Clock: host, Config: platform, Settings: &config.Settings{SlotsPerCore: 2, BatchShare: 0.5, LoadSteps: 4},
		Log: slog.New(slog.DiscardHandler), Catalog: map[string]*protocol.MachineType{"ten": machineType},
	})
	machine := state.NewMachine("m-1", "ten", "a", false)
	machine.Up, machine.Reconciled, machine.TokenAcknowledged, machine.UseDurable = true, true, true, true
	return &Scheduler{State: state, Host: host}, host
}

// addTestJob adds a runnable job of team blue with two tasks of two cores each, due in ten minutes.
func addTestJob(s *Scheduler, id string, priority protocol.Priority) *cluster.Job {
	deadline := 600.0
	job := cluster.NewJob(protocol.Job{
		ID: id, Team: "blue", Priority: priority, TaskCount: 2, Cores: 2, MemoryGB: 1, EstimatedSeconds: 60,
		DeadlineSeconds: &deadline,
	}, testNow, 0, testNow)
	job.TasksPerPart, job.BitmapParts = 2, []*cluster.BitmapPart{{SizeBytes: 1}}
	s.Jobs[id], s.RunnableJobs[id] = job, job
	return job
}

// Slots are checked before the team quota, and the team quota before the overall quota. A job that
// fails several checks must report the first one, and a job that fails none must be placed.
func TestAdmissionCheckOrder(t *testing.T) {
	const batch, urgent = protocol.PriorityStandard, protocol.PriorityUrgent
	type change = func(job *cluster.Job, host *testHost)
	free, full := slotUsage{totalSlots: 4}, slotUsage{totalSlots: 4, batchSlots: 4}
	halfTaken, noBorrowing := slotUsage{totalSlots: 4, batchSlots: 2}, slotUsage{totalSlots: 4, batchSlots: 2, latencySensitiveDelayed: true}
	cores := func(cores float64) cluster.ResourceUsage { return cluster.ResourceUsage{Cores: cores} }
	retryAt := func(at clock.Instant) change { return func(job *cluster.Job, _ *testHost) { failTask(job, at) } }
	ofTeam := func(team string) change { return func(job *cluster.Job, _ *testHost) { job.Spec.Team = team } }
	overallFull := slotUsage{totalSlots: 4, batchSlots: 2, latencySensitiveSlots: 2}
	fullOfUrgent := slotUsage{totalSlots: 4, latencySensitiveSlots: 4}
	for name, c := range map[string]struct {
		priority  protocol.Priority
		slots     slotUsage
		teamUsage cluster.ResourceUsage
		unknown   cluster.ResourceUsage
		change    change
		blockedBy cluster.WaitReason
	}{
		"none":                         {priority: batch, slots: free},
		"quota just reached":           {priority: batch, slots: free, teamUsage: cores(6)},
		"quota":                        {priority: batch, slots: free, teamUsage: cores(7), blockedBy: cluster.WaitTeamQuota},
		"quota by unknown tasks":       {priority: batch, slots: free, unknown: cores(7), blockedBy: cluster.WaitTeamQuota},
		"quota of accelerators":        {priority: batch, slots: free, unknown: cluster.ResourceUsage{Accelerators: math.Inf(1)}, blockedBy: cluster.WaitTeamQuota},
		"no quota":                     {priority: batch, slots: free, unknown: cores(99), change: ofTeam("green")},
		"unknown team":                 {priority: batch, slots: free, change: ofTeam("red"), blockedBy: cluster.WaitTeamQuota},
		"slots":                        {priority: batch, slots: full, blockedBy: cluster.WaitSlots},
		"slots and quota":              {priority: batch, slots: full, teamUsage: cores(7), blockedBy: cluster.WaitSlots},
		"overall quota":                {priority: batch, slots: overallFull, blockedBy: cluster.WaitOverallQuota},
		"quota and overall quota":      {priority: batch, slots: overallFull, teamUsage: cores(7), blockedBy: cluster.WaitTeamQuota},
		"batch borrows slots":          {priority: batch, slots: halfTaken},
		"batch may not borrow slots":   {priority: batch, slots: noBorrowing, blockedBy: cluster.WaitSlots},
		"urgent, no borrowing":         {priority: urgent, slots: noBorrowing},
		"urgent, batch borrows slots":  {priority: urgent, slots: full, blockedBy: cluster.WaitOverallQuota},
		"urgent, slots":                {priority: urgent, slots: fullOfUrgent, blockedBy: cluster.WaitSlots},
		"batch, slots taken by urgent": {priority: batch, slots: fullOfUrgent, blockedBy: cluster.WaitOverallQuota},
		"backoff before slots":         {priority: batch, slots: full, change: retryAt(testNow + 1), blockedBy: cluster.WaitBackoff},
		"backoff over":                 {priority: batch, slots: free, change: retryAt(testNow)},
		"reconciliation before backoff": {priority: batch, slots: full, change: func(job *cluster.Job, host *testHost) {
			host.mayRunUnreported = true
			failTask(job, testNow+1)
		}, blockedBy: cluster.WaitReconciliation},
		"quarantine before reconciliation": {priority: batch, slots: full, change: func(job *cluster.Job, host *testHost) {
			host.mayRunUnreported = true
			job.Quarantined = true
		}, blockedBy: cluster.WaitQuarantine},
		"capacity after the checks": {priority: batch, slots: free, change: func(job *cluster.Job, _ *testHost) { job.Spec.MemoryGB = 41 }, blockedBy: cluster.WaitCapacity},
	} {
		s, host := newTestScheduler()
		job := addTestJob(s, "j-1", c.priority)
		*s.TeamUsage["blue"] = c.teamUsage
		if c.change != nil {
			c.change(job, host)
		}
		pass := &schedulingPass{slotUsage: c.slots, machines: s.MachinesByName()}
		pass.UnknownUsage = c.unknown
		blockedBy, placed := s.scheduleJob(job, pass, true, 1), len(job.Attempts) == 1
		if blockedBy != c.blockedBy || placed != (c.blockedBy == cluster.WaitNone) {
			t.Errorf("%s: job blocked by %q, want %q; task placed %v, want %v",
				name, blockedBy, c.blockedBy, placed, c.blockedBy == cluster.WaitNone)
		}
	}
}

// Reserved capacity is kept free for the reserved task, but a job that has been pending too long may use it until
// then. Otherwise the job could wait beside free capacity for as long as the tasks on the machine run.
func TestReservedCapacityIsBackfilled(t *testing.T) {
	for name, c := range map[string]struct {
		pendingFor, reservedStartsIn time.Duration
		want                         bool // the task, which is expected to run for 60 s, may start
	}{
		"ends before the reserved task":               {maxPendingBesideRoom + time.Second, time.Minute, true},
		"ends after the start of the reserved task":   {maxPendingBesideRoom + time.Second, 59 * time.Second, false},
		"ends before it, but not pending long enough": {maxPendingBesideRoom, time.Hour, false},
		"pending long, and the reserved task is due":  {time.Hour, -time.Second, false},
	} {
		s, _ := newTestScheduler()
		machine := s.Machines["m-1"]
		whole, job := addTestJob(s, "j-whole", protocol.PriorityLow), addTestJob(s, "j-1", protocol.PriorityLow)
		whole.Spec.Cores = machine.MachineType.Cores
		machine.ReservedFor, whole.Reservation.Machine = whole, machine
		whole.Reservation.StartsAt = testNow + c.reservedStartsIn
		job.PendingSince = testNow - c.pendingFor
		if got := s.fitsBesideReservation(job, machine); got != c.want {
			t.Errorf("%s: task fits beside the reservation: got %v, want %v", name, got, c.want)
		}
	}
}

// Small tasks share a slot, tasks of a slot's cores or more occupy a whole one, and a task that requires no cores
// occupies a quarter.
func TestSlotsOfSmallTasks(t *testing.T) {
	s, _ := newTestScheduler() // two slots for each core
	for cores, want := range map[float64]float64{0: 0.25, 0.1: 0.25, 0.125: 0.25, 0.2: 0.4, 0.25: 0.5, 0.5: 1, 1: 1, 1e9: 1} {
		if got := s.TaskSlots(&protocol.Job{Cores: cores}).Slots(); got != want {
			t.Errorf("slots of a task of %v cores: got %v, want %v", cores, got, want)
		}
	}
}

// failTask gives all tasks of a job a failure history that forbids retries before retryAfter.
func failTask(job *cluster.Job, retryAfter clock.Instant) {
	for i := range job.Spec.TaskCount {
		job.FailureHistories[i] = &cluster.FailureHistory{RetryAfter: retryAfter}
	}
}

// A job with a wrong rank starts too late or takes capacity from work that is due earlier. The cases
// include the exact ages and deadlines at which the rank changes.
func TestJobRank(t *testing.T) {
	started := func(job *cluster.Job) { job.FirstStartAt = testNow - time.Minute }
	age := func(job *cluster.Job, age time.Duration) { job.EligibleAt = testNow - age }
	deadline := func(seconds float64) func(*Scheduler, *cluster.Job) {
		return func(_ *Scheduler, job *cluster.Job) { *job.Spec.DeadlineSeconds = seconds }
	}
	for name, c := range map[string]struct {
		priority protocol.Priority
		change   func(s *Scheduler, job *cluster.Job)
		rank     int
		reserves bool
	}{
		"prod":                 {protocol.PriorityProduction, nil, 0, false},
		"urgent":               {protocol.PriorityUrgent, nil, rankLatencySensitive, false},
		"standard":             {protocol.PriorityStandard, nil, RankOnTime, false},
		"low":                  {protocol.PriorityLow, nil, RankOnTime, false},
		"dependent is prod":    {protocol.PriorityLow, func(_ *Scheduler, job *cluster.Job) { job.InheritedRank = 0 }, 0, false},
		"just in time":         {protocol.PriorityLow, deadline(60), RankOnTime, false},
		"late":                 {protocol.PriorityLow, deadline(59), RankLate, false},
		"late for a dependent": {protocol.PriorityLow, func(_ *Scheduler, job *cluster.Job) { job.LatestEnd = testNow }, RankLate, false},
		"urgent and late":      {protocol.PriorityUrgent, deadline(1), rankLatencySensitive, false},
		"late, nothing pending": {protocol.PriorityLow, func(_ *Scheduler, job *cluster.Job) {
			*job.Spec.DeadlineSeconds, job.PendingTasks = 1, 0
		}, RankOnTime, false},
		"not yet overdue":       {protocol.PriorityLow, func(_ *Scheduler, job *cluster.Job) { age(job, 90*time.Second) }, RankOnTime, false},
		"overdue":               {protocol.PriorityLow, func(_ *Scheduler, job *cluster.Job) { age(job, 90*time.Second+1) }, rankOverdue, true},
		"started, four minutes": {protocol.PriorityLow, func(_ *Scheduler, job *cluster.Job) { started(job); age(job, 4*time.Minute) }, RankOnTime, false},
		"started, older":        {protocol.PriorityLow, func(_ *Scheduler, job *cluster.Job) { started(job); age(job, 4*time.Minute+1) }, rankLatencySensitive, true},
		"older, beyond the guarantee": {protocol.PriorityLow, func(s *Scheduler, job *cluster.Job) {
			started(job)
			age(job, 4*time.Minute+1)
			s.TeamUsage["blue"].Cores = 5
		}, RankOnTime, false},
	} {
		s, _ := newTestScheduler()
		job := addTestJob(s, "j-1", c.priority)
		if c.change != nil {
			c.change(s, job)
		}
		queued := s.rankJob(job, s.ImagePullRate())
		if queued.Rank != c.rank || queued.mayReserve != c.reserves {
			t.Errorf("%s: job has rank %d, want %d; may reserve a machine %v, want %v",
				name, queued.Rank, c.rank, queued.mayReserve, c.reserves)
		}
	}
}

// The queue must be sorted by rank, then by latest start, then by ID, and must leave out jobs without
// pending tasks and terminal jobs.
func TestQueueOrder(t *testing.T) {
	s, _ := newTestScheduler()
	addTestJob(s, "j-on-time-b", protocol.PriorityLow)
	addTestJob(s, "j-on-time-a", protocol.PriorityStandard)
	*addTestJob(s, "j-sooner", protocol.PriorityLow).Spec.DeadlineSeconds = 500
	*addTestJob(s, "j-late", protocol.PriorityStandard).Spec.DeadlineSeconds = 1
	addTestJob(s, "j-overdue", protocol.PriorityLow).EligibleAt -= 2 * time.Minute
	addTestJob(s, "j-urgent", protocol.PriorityUrgent)
	addTestJob(s, "j-prod", protocol.PriorityProduction)
	addTestJob(s, "j-placed", protocol.PriorityProduction).PendingTasks = 0
	addTestJob(s, "j-cancelled", protocol.PriorityProduction).Terminal = true
	var ids []string
	for _, queued := range s.BuildQueue() {
		ids = append(ids, strings.TrimPrefix(queued.Job.Spec.ID, "j-"))
	}
	if got, want := strings.Join(ids, " "), "overdue prod urgent sooner on-time-a on-time-b late"; got != want {
		t.Errorf("job IDs in queue order: got %q, want %q", got, want)
	}
}

// If the machines cannot complete all jobs by their due times, the largest jobs must become late, so
// that as few jobs as possible are late. Ten cores complete nine core seconds of work per second.
func TestLargestJobsAreDemotedWhenSomeWouldBeLate(t *testing.T) {
	type jobCase struct {
		due, work float64 // due time in seconds from now, remaining work in core seconds
		rank      int
		demoted   bool
	}
	for name, c := range map[string]struct {
		jobs []jobCase
		idle bool // no machine is up
	}{
		"all in time":                     {jobs: []jobCase{{10, 90, RankOnTime, false}, {20, 90, RankOnTime, false}}},
		"the largest is demoted":          {jobs: []jobCase{{10, 80, RankOnTime, true}, {10, 50, RankOnTime, false}}},
		"one large instead of two small":  {jobs: []jobCase{{10, 40, RankOnTime, false}, {10, 90, RankOnTime, true}, {10, 40, RankOnTime, false}}},
		"of two equal, the one due first": {jobs: []jobCase{{10, 90, RankOnTime, true}, {15, 90, RankOnTime, false}}},
		"none that is due later":          {jobs: []jobCase{{10, 91, RankOnTime, true}, {50, 200, RankOnTime, false}}},
		"latency-sensitive work counts":   {jobs: []jobCase{{10, 80, rankLatencySensitive, false}, {10, 20, RankOnTime, true}}},
		"late work does not":              {jobs: []jobCase{{10, 900, RankLate, false}, {10, 90, RankOnTime, false}}},
		"no machine":                      {jobs: []jobCase{{10, 900, RankOnTime, false}}, idle: true},
	} {
		s, _ := newTestScheduler()
		s.Machines["m-1"].Up = !c.idle
		var all []*QueuedJob
		for _, j := range c.jobs {
			priority := protocol.PriorityStandard
			if j.rank == rankLatencySensitive {
				priority = protocol.PriorityUrgent
			}
			job := &cluster.Job{Spec: protocol.Job{Priority: priority}, Dependencies: cluster.NewDependencies()}
			job.PendingTasks = 1
			all = append(all, &QueuedJob{Job: job, Rank: j.rank, Due: testNow + config.Seconds(j.due), RemainingCoreSeconds: j.work})
		}
		s.DemoteLargestJobs(all)
		for i, j := range c.jobs {
			want := j.rank
			if j.demoted {
				want = RankLate
			}
			if all[i].Rank != want {
				t.Errorf("%s: job %d has rank %d, want %d", name, i, all[i].Rank, want)
			}
		}
	}
}
