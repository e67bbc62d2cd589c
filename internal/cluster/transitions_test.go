package cluster

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// fakeClock is a TimeSource whose time the test sets.
type fakeClock struct{ now clock.Instant }

func (f *fakeClock) Now() clock.Instant { return f.now }

// Durations of the worker protocol in these tests, and the start of the term.
const (
	testHeartbeat    = 4 * time.Second
	testLease        = 20 * time.Second
	testLeaseTimeout = 20*time.Second + 420*time.Millisecond // with the allowance for clock drift and a margin
	testTermStart    = time.Minute
)

// newTestState returns a State with team blue at the start of a term, and its clock.
func newTestState() (*State, *fakeClock) {
	timeSource := &fakeClock{now: testTermStart}
	platform := &config.Cluster{Teams: []config.Team{{Name: "blue"}}}
	platform.Workers.HeartbeatIntervalS, platform.Workers.LeaseS = testHeartbeat.Seconds(), testLease.Seconds()
	small := &protocol.MachineType{Name: "small", Cores: 8, MemoryGB: 32, Accelerators: 2, ImageCacheGB: 10}
	return New(Options{
		Clock: timeSource, Config: platform, Settings: &config.Settings{SlotsPerCore: 2, BaseSlots: 1},
		Log: slog.New(slog.DiscardHandler), Catalog: map[string]*protocol.MachineType{"small": small},
	}), timeSource
}

// newTestMachine adds a machine that is up and accepts tasks.
func newTestMachine(state *State, name string) *Machine {
	machine := state.NewMachine(name, "small", "a", false)
	machine.Up, machine.Reconciled, machine.TokenAcknowledged, machine.UseDurable = true, true, true, true
	machine.Epoch, machine.Address, machine.LastResponse = 5, "10.0.0.1", state.Clock.Now()
	return machine
}

// newTestJob adds a runnable job of team blue with four tasks.
func newTestJob(state *State, id string, priority protocol.Priority) *Job {
	spec := protocol.Job{ID: id, Team: "blue", Priority: priority, TaskCount: 4, Image: "img"}
	spec.Cores, spec.MemoryGB, spec.Accelerators = 2, 4, 1
	job := NewJob(spec, 0, 0, 0)
	job.TasksPerPart, job.BitmapParts = 4, []*BitmapPart{{SizeBytes: 1}}
	state.Jobs[id], state.RunnableJobs[id] = job, job
	return job
}

// placeAttempt places an attempt that is in the given phase. Its number is higher than those of the
// machine's other attempts.
func placeAttempt(state *State, job *Job, taskIndex int, machine *Machine, phase AttemptPhase) *TaskAttempt {
	number := uint64(len(machine.Attempts) + 1)
	attempt := &TaskAttempt{Job: job, TaskIndex: taskIndex, Number: number, Machine: machine, Phase: phase}
	state.PlaceAttempt(attempt)
	return attempt
}

// describeUsage formats everything that PlaceAttempt and ReleaseAttempt count.
func describeUsage(state *State, job *Job, machine *Machine) string {
	return fmt.Sprint(job.PendingTasks, len(job.Attempts), len(machine.Attempts), len(machine.AttemptsInOrder),
		machine.FreeCapacity(), *state.TeamUsage["blue"], state.UsedSlots)
}

// Placing an attempt and releasing it must change all counters by the same amounts, even if the attempt
// is released twice. Otherwise resources leak and quotas and slots seem used up.
func TestAttemptIsCountedUntilReleased(t *testing.T) {
	for priority, active := range map[protocol.Priority]string{
		protocol.PriorityLow: "[100 0]", protocol.PriorityStandard: "[100 0]",
		protocol.PriorityUrgent: "[0 100]", protocol.PriorityProduction: "[0 100]",
	} {
		state, timeSource := newTestState()
		job, machine := newTestJob(state, "j-1", priority), newTestMachine(state, "m-1")
		job.FirstPendingTask = 3
		before := describeUsage(state, job, machine)
		attempt := placeAttempt(state, job, 1, machine, AttemptRunning)
		if got, want := describeUsage(state, job, machine), "3 1 1 1 {6 28 1} {2 1} "+active; got != want || !machine.HasImage("img") {
			t.Errorf("%s job, after placing: got usage %s, want %s; image cached %v, want true",
				priority, got, want, machine.HasImage("img"))
		}
		timeSource.now += time.Second
		for range 2 { // the second release has no effect
			state.ReleaseAttempt(attempt)
			if got := describeUsage(state, job, machine); got != before || job.FirstPendingTask != 1 || !state.SchedulingNeeded {
				t.Errorf("%s job, after releasing: got usage %s, want %s; first pending task %d, want 1; "+
					"scheduling needed %v, want true", priority, got, before, job.FirstPendingTask, state.SchedulingNeeded)
			}
		}
		if job.PendingSince != 0 {
			t.Errorf("%s job: pending since %v, want 0, because other tasks were pending before", priority, job.PendingSince)
		}
	}
}

// A released task that is wrongly counted as pending runs twice; one that is wrongly not counted never
// runs. PendingSince must change only if no other task of the job was pending.
func TestReleasedTaskIsPendingUnlessItIsDoneOrHasAnotherAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(state *State, job *Job)
		pending int
		since   clock.Instant
	}{
		"last task placed": {func(*State, *Job) {}, 1, testTermStart},
		"done":             {func(_ *State, job *Job) { job.SetTaskBit(0) }, 0, 0},
		"another attempt": {func(state *State, job *Job) {
			placeAttempt(state, job, 0, newTestMachine(state, "m-2"), AttemptAssigned)
		}, 0, 0},
		"other tasks pending": {func(_ *State, job *Job) { job.PendingTasks = 2 }, 3, 0},
	} {
		state, _ := newTestState()
		job, machine := newTestJob(state, "j-1", protocol.PriorityStandard), newTestMachine(state, "m-1")
		job.PendingTasks = 1
		attempt := placeAttempt(state, job, 0, machine, AttemptRunning)
		c.change(state, job)
		state.ReleaseAttempt(attempt)
		if job.PendingTasks != c.pending || job.PendingSince != c.since || len(machine.Attempts) != 0 {
			t.Errorf("%s: job has %d tasks pending since %v, want %d since %v; machine has %d attempts, want 0",
				name, job.PendingTasks, job.PendingSince, c.pending, c.since, len(machine.Attempts))
		}
	}
}

// A later stop request with a longer grace period must not extend the time that an attempt has left. An
// attempt that was not sent yet is released without a stop command.
func TestRequestedStopKeepsTheShortestGrace(t *testing.T) {
	for _, c := range []struct {
		phase    AttemptPhase
		graces   []float64
		grace    float64
		released bool
	}{
		{AttemptAssigned, []float64{9}, 0, true},
		{AttemptSent, []float64{9}, 9, false},
		{AttemptPulling, []float64{9, 4}, 4, false},
		{AttemptRunning, []float64{4, 9}, 4, false},
		{AttemptCheckpointing, []float64{4, 0, 4}, 0, false},
	} {
		state, _ := newTestState()
		machine := newTestMachine(state, "m-1")
		attempt := placeAttempt(state, newTestJob(state, "j-1", protocol.PriorityStandard), 0, machine, c.phase)
		for _, grace := range c.graces {
			state.RequestStop(attempt, grace)
		}
		switch released := len(machine.Attempts) == 0; {
		case released != c.released:
			t.Errorf("attempt in phase %d: released %v, want %v", c.phase, released, c.released)
		case !released && (attempt.StopGrace == nil || *attempt.StopGrace != c.grace):
			t.Errorf("attempt in phase %d: grace period %v, want %v s", c.phase, attempt.StopGrace, c.grace)
		}
	}
}

// If a machine is fenced before its worker lease has certainly expired, a task may run twice. The lease
// counts from the last response, or from the start of the term if that is later.
func TestMachineIsFencedAfterLeaseTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		lastResponse, now clock.Instant
		fenced            bool
	}{
		"at the timeout":                 {testTermStart + time.Second, testTermStart + time.Second + testLeaseTimeout, false},
		"after the timeout":              {testTermStart + time.Second, testTermStart + time.Second + testLeaseTimeout + 1, true},
		"no response, at the timeout":    {clock.Never, testTermStart + testLeaseTimeout, false},
		"no response, after the timeout": {clock.Never, testTermStart + testLeaseTimeout + 1, true},
		"response before the term":       {testTermStart - time.Second, testTermStart + testLeaseTimeout, false},
	} {
		state, timeSource := newTestState()
		machine := newTestMachine(state, "m-1")
		machine.LastResponse, machine.Reconciled, machine.UnknownTasks = c.lastResponse, false, 2
		job := newTestJob(state, "j-1", protocol.PriorityStandard)
		placeAttempt(state, job, 0, machine, AttemptRunning)
		timeSource.now = c.now
		state.ExpireMachineLeases()
		got := fmt.Sprintf("up %v, reconciled %v, fenced %d, address %q, unknown %d, pending %d, drain %q", machine.Up,
			machine.Reconciled, machine.FencedEpoch, machine.Address, machine.UnknownTasks, job.PendingTasks, machine.DrainReason)
		want := `up true, reconciled false, fenced 0, address "10.0.0.1", unknown 2, pending 3, drain ""`
		if c.fenced {
			want = `up false, reconciled true, fenced 5, address "", unknown 0, pending 4, drain "silent"`
		}
		if got != want {
			t.Errorf("%s: got machine %s; want %s", name, got, want)
		}
	}
}

// Checking all leases on every heartbeat would be too expensive, but a late check delays the restart of
// the tasks of a lost machine.
func TestLeasesAreCheckedEightTimesPerHeartbeatInterval(t *testing.T) {
	state, timeSource := newTestState()
	machine := newTestMachine(state, "m-1")
	timeSource.now = testTermStart + testLeaseTimeout
	state.ExpireMachineLeases()
	timeSource.now += testHeartbeat/8 - 1
	if state.ExpireMachineLeases(); !machine.Up {
		t.Error("machine fenced before the next lease check was due")
	}
	timeSource.now++
	if state.ExpireMachineLeases(); machine.Up {
		t.Error("machine not fenced when the next lease check was due")
	}
}

// A machine that drains because of a fault must not become surplus, because a surplus machine accepts
// tasks. A drain releases only the attempts that were not sent yet.
func TestDrainReasonPrecedence(t *testing.T) {
	for _, c := range []struct {
		reasons []DrainReason
		final   DrainReason
	}{
		{[]DrainReason{SurplusCapacity}, SurplusCapacity},
		{[]DrainReason{SurplusCapacity, HeartbeatMissed}, HeartbeatMissed},
		{[]DrainReason{HeartbeatMissed, SurplusCapacity}, HeartbeatMissed},
		{[]DrainReason{HeartbeatMissed, PreemptionNoticed}, PreemptionNoticed},
	} {
		state, _ := newTestState()
		job, machine := newTestJob(state, "j-1", protocol.PriorityStandard), newTestMachine(state, "m-1")
		placeAttempt(state, job, 0, machine, AttemptAssigned)
		sent := placeAttempt(state, job, 1, machine, AttemptSent)
		for _, reason := range c.reasons {
			state.BeginDrain(machine, reason)
		}
		if !machine.Draining || machine.DrainReason != c.final || !state.SchedulingNeeded {
			t.Errorf("drain reasons %v: draining %v for %q, want true for %q; scheduling needed %v, want true",
				c.reasons, machine.Draining, machine.DrainReason, c.final, state.SchedulingNeeded)
		}
		if !slices.Equal(machine.AttemptsInOrder, []*TaskAttempt{sent}) || sent.StopGrace != nil {
			t.Errorf("drain reasons %v: %d attempts left, want only the one that was sent, without a stop request",
				c.reasons, len(machine.AttemptsInOrder))
		}
		if state.CancelDrain(machine); machine.Draining || machine.DrainReason != "" {
			t.Errorf("drain reasons %v, after CancelDrain: draining %v for %q, want false and no reason",
				c.reasons, machine.Draining, machine.DrainReason)
		}
	}
}

// The failures of a job that is cancelled, or found at fault, must not keep a machine out of use, but failures of
// other jobs must. A task that succeeds on an unhealthy machine shows which jobs were at fault, and one that was
// placed before the failures shows nothing.
func TestUnhealthyMachineIsUsedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		change func(state *State, machine *Machine, jobs []*Job)
		want   string // unhealthy, drain reason, whether the first job fails everywhere
	}{
		"nothing happens":      {func(*State, *Machine, []*Job) {}, "true sick false"},
		"one job is cancelled": {func(s *State, _ *Machine, jobs []*Job) { s.ExcuseMachines(jobs[0]) }, "false  false"},
		"another job is cancelled": {func(s *State, m *Machine, jobs []*Job) {
			s.RecordTaskFailure(m, jobs[2], 0, time.Second)
			s.ExcuseMachines(jobs[0])
		}, "true sick false"},
		"a job fails on three machines": {func(s *State, _ *Machine, jobs []*Job) {
			s.RecordTaskFailure(newTestMachine(s, "m-2"), jobs[0], 0, time.Second)
			s.RecordTaskFailure(newTestMachine(s, "m-3"), jobs[0], 0, time.Second)
		}, "false  true"},
		"a probe succeeds": {func(s *State, m *Machine, jobs []*Job) { s.RecordTaskSuccess(m, jobs[2], m.ProbedAt) },
			"false  true"},
		"an earlier task succeeds": {func(s *State, m *Machine, jobs []*Job) { s.RecordTaskSuccess(m, jobs[2], m.ProbedAt-1) },
			"true sick false"},
		"an earlier task succeeds, and then one job is cancelled": {func(s *State, m *Machine, jobs []*Job) {
			s.RecordTaskSuccess(m, jobs[2], m.ProbedAt-1)
			s.ExcuseMachines(jobs[0])
		}, "false  false"},
		"its return is requested": {func(s *State, m *Machine, jobs []*Job) {
			m.TerminationRequested = true
			s.ExcuseMachines(jobs[0])
		}, "false sick false"},
	} {
		state, _ := newTestState()
		machine, jobs := newTestMachine(state, "m-1"), []*Job{}
		for i := range 3 {
			jobs = append(jobs, newTestJob(state, fmt.Sprint("j-", i+1), protocol.PriorityStandard))
		}
		state.RecordTaskFailure(machine, jobs[0], 0, time.Second)
		state.RecordTaskFailure(machine, jobs[1], 0, time.Second)
		c.change(state, machine, jobs)
		if got := fmt.Sprint(machine.Unhealthy, " ", machine.DrainReason, " ", jobs[0].FailsEverywhere); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// A task that keeps failing is retried at least once a minute: no job may be left without an attempt for 90 s, however
// long the worker lease is from which the delays follow.
func TestRetryDelayIsLimited(t *testing.T) {
	state, timeSource := newTestState()
	state.Config.Workers.LeaseS = 60
	job, longest := newTestJob(state, "j-1", protocol.PriorityLow), time.Duration(0)
	for i := range 20 {
		machine := newTestMachine(state, fmt.Sprint("m-", i%2))
		state.RecordTaskFailure(machine, job, 0, time.Second)
		longest = max(longest, job.FailureHistories[0].RetryAfter-timeSource.now)
	}
	if longest != maxRetryDelay {
		t.Errorf("longest delay of a retry: got %v, want %v", longest, maxRetryDelay)
	}
}

// A task on a slow machine is stopped with the time that it needs to save a checkpoint, but not if the save
// takes longer than the rest of the task: a task whose owner gives years for it saved without end.
func TestSlowMachineGivesNoEndlessGrace(t *testing.T) {
	for name, c := range map[string]struct {
		saveSeconds float64
		want        string // grace period of the stop in seconds
	}{
		"a short save":                     {5, "14"},
		"a save of days":                   {1e6, "0"},
		"a save without any end":           {1e308, "0"},
		"a save of the longest limit":      {config.MaxDuration.Seconds(), "0"},
		"a save that takes almost no time": {5e-324, "4"},
	} {
		state, clock := newTestState()
		job := newTestJob(state, "j-1", protocol.PriorityLow)
		job.Spec.EstimatedSeconds, job.Spec.CheckpointIntervalSeconds, job.Spec.CheckpointSaveSeconds = 60, 30, c.saveSeconds
		attempt := placeAttempt(state, job, 0, newTestMachine(state, "m-1"), AttemptRunning)
		attempt.RunningSince = clock.now
		state.moveOffSlowMachine(attempt, 4)
		if attempt.StopGrace == nil || fmt.Sprint(*attempt.StopGrace) != c.want {
			t.Errorf("%s: grace of the stop: got %v, want %s s", name, attempt.StopGrace, c.want)
		}
	}
}

// A job that fails on three machines without any success must count as faulty. Repeated failures on one
// machine must count against the machine if a single faulty job cannot explain them. Otherwise a faulty
// job drains healthy machines, or a faulty machine keeps failing the tasks of healthy jobs.
func TestRepeatedFailuresMarkJobOrMachineFaulty(t *testing.T) {
	for name, c := range map[string]struct {
		failures  []string // number of the job and of the machine of each failure, one digit each
		doneTasks int
		fault     string // jobs that fail everywhere, unhealthy machines
	}{
		"one failure":                       {[]string{"11"}, 1, "[] []"},
		"one job twice on a machine":        {[]string{"11", "11"}, 0, "[] []"},
		"one job four times on a machine":   {[]string{"11", "11", "11", "11"}, 0, "[] [m-1]"},
		"a job with successes twice":        {[]string{"11", "11"}, 1, "[] [m-1]"},
		"two jobs on a machine":             {[]string{"11", "21"}, 0, "[] [m-1]"},
		"a job on two machines":             {[]string{"11", "12"}, 0, "[] []"},
		"a job four times on two machines":  {[]string{"11", "12", "11", "12", "11", "12", "11", "12"}, 0, "[] []"},
		"a job on three machines":           {[]string{"11", "12", "13"}, 0, "[j-1] []"},
		"with successes, on three machines": {[]string{"11", "12", "13"}, 1, "[] []"},
		"failures of a job known to fail":   {[]string{"11", "12", "13", "13", "13", "23"}, 0, "[j-1] []"},
		"failures of two other jobs":        {[]string{"11", "12", "13", "23", "33"}, 0, "[j-1] [m-3]"},
	} {
		state, _ := newTestState()
		var jobs, machines []string
		for i := range 3 {
			newTestJob(state, fmt.Sprint("j-", i+1), protocol.PriorityStandard).DoneTasks = c.doneTasks
			newTestMachine(state, fmt.Sprint("m-", i+1))
		}
		for _, failure := range c.failures {
			state.RecordTaskFailure(state.Machines["m-"+failure[1:]], state.Jobs["j-"+failure[:1]], 0, time.Second)
		}
		for _, job := range state.JobsByAge() {
			if job.FailsEverywhere {
				jobs = append(jobs, job.Spec.ID)
			}
		}
		for _, machine := range state.MachinesByName() {
			if machine.Unhealthy {
				machines = append(machines, machine.Name)
			}
			if machine.Unhealthy != (machine.DrainReason == Unhealthy) {
				t.Errorf("%s: machine %s is unhealthy: %v, but its drain reason is %q",
					name, machine.Name, machine.Unhealthy, machine.DrainReason)
			}
		}
		if got := fmt.Sprint(jobs, machines); got != c.fault {
			t.Errorf("%s: got faulty jobs and machines %s, want %s", name, got, c.fault)
		}
	}
}
