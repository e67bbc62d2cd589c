package reconcile

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// reconcilerFixture is a reconciler with one machine and one job. It also implements the clock, the
// Host and the RecoveryGate of the reconciler.
type reconcilerFixture struct {
	*Reconciler
	now     clock.Instant
	machine *cluster.Machine
	job     *cluster.Job

	mismatches         []recovery.Mismatch
	stopsDeferred      bool
	recordedMachines   []string // names of recorded machines
	completedTasks     []int    // indices of tasks marked as done
	closedJobStates    map[string]recovery.JobState
	firstStarts        int
	firstRunning       int
	terminalJobsLoaded bool
	deliveryConfirmed  bool // the route of each heartbeat confirms that the last response was delivered
}

const (
	fixtureTerm    = 7
	fixtureMachine = "m-1"
	fixtureJob     = "j-1"
)

func (f *reconcilerFixture) Now() clock.Instant { return f.now }

func (f *reconcilerFixture) NoteMismatch(kind recovery.Mismatch, _, _ string) {
	f.mismatches = append(f.mismatches, kind)
}
func (f *reconcilerFixture) MayStartTask(*cluster.TaskAttempt, int) bool { return true }
func (f *reconcilerFixture) MayStopTask(*cluster.Job) bool               { return !f.stopsDeferred }

func (f *reconcilerFixture) RecordMachine(machine *cluster.Machine) {
	f.recordedMachines = append(f.recordedMachines, machine.Name)
}
func (f *reconcilerFixture) MarkTaskDone(job *cluster.Job, taskIndex int) {
	f.completedTasks = append(f.completedTasks, taskIndex)
	job.SetTaskBit(taskIndex)
}
func (f *reconcilerFixture) ClosedJobState(jobID string) recovery.JobState {
	return f.closedJobStates[jobID]
}
func (f *reconcilerFixture) TerminalJobsLoaded() bool { return f.terminalJobsLoaded }
func (f *reconcilerFixture) ConfirmDelivery(*cluster.Machine, *protocol.WorkerHeartbeat, string) bool {
	return f.deliveryConfirmed
}
func (f *reconcilerFixture) TraceFirstStart(*cluster.TaskAttempt)   { f.firstStarts++ }
func (f *reconcilerFixture) TraceFirstRunning(*cluster.TaskAttempt) { f.firstRunning++ }

// newReconcilerFixture returns a fixture whose machine has sent its first heartbeat, which carries the
// token.
func newReconcilerFixture() *reconcilerFixture {
	f := &reconcilerFixture{now: time.Minute, closedJobStates: map[string]recovery.JobState{},
		terminalJobsLoaded: true, deliveryConfirmed: true}
	settings := &config.Cluster{}
	settings.Workers.HeartbeatIntervalS, settings.Workers.LeaseS = 4, 22
	state := cluster.New(cluster.Options{Clock: f, Config: settings, Settings: &config.Settings{},
		Log:     slog.New(slog.DiscardHandler),
		Catalog: map[string]*protocol.MachineType{"small": {Name: "small", Cores: 8, MemoryGB: 32, ImageCacheGB: 10}}})
	f.Reconciler = New(state, fixtureTerm, f, f)
	f.machine = state.NewMachine(fixtureMachine, "small", "a", false)
	f.machine.Reconciled, f.machine.UseDurable = true, true
	f.job = f.addJob(fixtureJob, 4)
	if _, ok := f.Reconcile(f.heartbeat(), ""); !ok {
		panic("first heartbeat not accepted")
	}
	return f
}

// addJob adds an open job with the given number of tasks.
func (f *reconcilerFixture) addJob(id string, tasks int) *cluster.Job {
	spec := protocol.Job{ID: id, Cores: 1, MemoryGB: 1, TaskCount: tasks, Priority: "standard"}
	job := cluster.NewJob(spec, 0, 0, 0)
	job.TasksPerPart = tasks
	job.BitmapParts = []*cluster.BitmapPart{{SizeBytes: (tasks + 7) / 8}}
	f.Jobs[id], f.RunnableJobs[id] = job, job
	return job
}

// placeAttempt places an attempt at a task of the job on the machine, in the given phase.
func (f *reconcilerFixture) placeAttempt(taskIndex int, phase cluster.AttemptPhase) *cluster.TaskAttempt {
	attempt := &cluster.TaskAttempt{Job: f.job, TaskIndex: taskIndex, Number: uint64(taskIndex + 1),
		Machine: f.machine, Phase: phase, AssignedAt: f.now, RunningSince: f.now}
	f.PlaceAttempt(attempt)
	return attempt
}

// heartbeat returns the machine's next heartbeat, which carries the token of the fixture's term.
func (f *reconcilerFixture) heartbeat(tasks ...protocol.TaskStatus) *protocol.WorkerHeartbeat {
	return &protocol.WorkerHeartbeat{Machine: fixtureMachine, Address: "10.0.0.1", Type: "small", Zone: "a", Epoch: 1,
		Sequence: f.machine.HeartbeatSeq + 1, FencingToken: fixtureTerm, Tasks: tasks}
}

// sendHeartbeat applies the machine's next heartbeat and returns the commands of the response.
func (f *reconcilerFixture) sendHeartbeat(t *testing.T, tasks ...protocol.TaskStatus) []protocol.Command {
	t.Helper()
	result, ok := f.Reconcile(f.heartbeat(tasks...), "")
	if !ok {
		t.Fatal("next heartbeat of m-1 not accepted")
	}
	return f.Respond(result).Commands
}

// taskStatus returns a reported status of the attempt that placeAttempt places for a task.
func (f *reconcilerFixture) taskStatus(taskIndex int, state protocol.TaskState,
	exitReason protocol.ExitReason) protocol.TaskStatus {
	return protocol.TaskStatus{TaskID: cluster.TaskKey(f.job.Spec.ID, taskIndex), Attempt: uint64(taskIndex + 1),
		State: state, ExitReason: exitReason}
}

// commandKinds returns the kinds of commands in their order.
func commandKinds(commands []protocol.Command) []protocol.CommandKind {
	kinds := []protocol.CommandKind{}
	for _, command := range commands {
		kinds = append(kinds, command.Kind)
	}
	return kinds
}

// TestTaskExitByReason guards against results that the worker is told to forget before they are
// durable, and against exits that count as failures although the task did not fail. Each exit reason
// determines the command, the release of the attempt, and the machine's and task's failure history.
func TestTaskExitByReason(t *testing.T) {
	forget := []protocol.CommandKind{protocol.CommandForget}
	for name, c := range map[string]struct {
		reason   protocol.ExitReason
		change   func(f *reconcilerFixture)
		commands []protocol.CommandKind
		done     bool
		released bool
		failures int           // consecutive failures of the machine
		retryIn  time.Duration // delay of the next attempt; clock.Never if there is no failure history
	}{
		"done, not durable": {reason: protocol.ExitDone,
			commands: []protocol.CommandKind{}, done: true, released: true, retryIn: clock.Never},
		"done, durable": {reason: protocol.ExitDone,
			change:   func(f *reconcilerFixture) { f.job.BitmapParts[0].StoredBits = []byte{1} },
			commands: forget, done: true, released: true, retryIn: clock.Never},
		"done, not tracked": {reason: protocol.ExitDone,
			change:   func(f *reconcilerFixture) { f.ReleaseAttempt(f.job.Attempts[0]) },
			commands: []protocol.CommandKind{}, done: true, released: true, retryIn: clock.Never},
		"stopped": {reason: protocol.ExitStopped, commands: forget, released: true, retryIn: clock.Never},
		"failed":  {reason: protocol.ExitFailed, commands: forget, released: true, failures: 1},
		"refused": {reason: protocol.ExitInsufficientResources,
			commands: forget, released: true, retryIn: 4 * time.Second},
		"failed, job is terminal": {reason: protocol.ExitFailed,
			change:   func(f *reconcilerFixture) { f.job.Terminal = true },
			commands: forget, released: true, retryIn: clock.Never},
		"failed, job is not open": {reason: protocol.ExitFailed,
			change:   func(f *reconcilerFixture) { delete(f.Jobs, fixtureJob) },
			commands: forget, released: true, retryIn: clock.Never},
		"failed, another attempt is tracked": {reason: protocol.ExitFailed,
			change:   func(f *reconcilerFixture) { f.job.Attempts[0].Number = 99 },
			commands: forget, released: true, retryIn: clock.Never},
	} {
		t.Run(name, func(t *testing.T) {
			f := newReconcilerFixture()
			f.placeAttempt(0, cluster.AttemptRunning)
			if c.change != nil {
				c.change(f)
			}
			if got := commandKinds(
				f.sendHeartbeat(t, f.taskStatus(0, protocol.TaskExited, c.reason))); !slices.Equal(got, c.commands) {
				t.Errorf("got commands %v, want %v", got, c.commands)
			}
			if done := slices.Equal(f.completedTasks, []int{0}); done != c.done {
				t.Errorf("got tasks %v marked as done, want only task 0: %v", f.completedTasks, c.done)
			}
			if released := len(f.job.Attempts) == 0; released != c.released {
				t.Errorf("got %d tracked attempts, want the attempt released: %v", len(f.job.Attempts), c.released)
			}
			if f.machine.Failures[f.job] != c.failures {
				t.Errorf("got %d consecutive failures of the machine, want %d", f.machine.Failures[f.job], c.failures)
			}
			retryIn := clock.Never
			if history := f.job.FailureHistories[0]; history != nil {
				retryIn = history.RetryAfter - f.now
			}
			if retryIn != c.retryIn {
				t.Errorf("got a retry of task 0 after %v, want %v", retryIn, c.retryIn)
			}
			if retained := len(c.commands) == 0; retained != (f.machine.RetainedResults == 1) {
				t.Errorf("got %d retained results, want 1 if no forget command is wanted: %v",
					f.machine.RetainedResults, retained)
			}
		})
	}
}

// TestCompletionStopsOtherAttempt guards against a second attempt that keeps running after the task
// is completed, and against failures that still count against a machine or job after a success.
func TestCompletionStopsOtherAttempt(t *testing.T) {
	f := newReconcilerFixture()
	other := f.NewMachine("m-2", "small", "a", false)
	attempt := &cluster.TaskAttempt{Job: f.job, TaskIndex: 0, Number: 50, Machine: other, Phase: cluster.AttemptRunning}
	f.PlaceAttempt(attempt)
	f.sendHeartbeat(t, f.taskStatus(0, protocol.TaskExited, protocol.ExitDone))
	if attempt.StopGrace == nil || *attempt.StopGrace != 0 {
		t.Error("completion of task 0 did not request a stop of its other attempt without grace")
	}
	f.placeAttempt(1, cluster.AttemptRunning)
	f.machine.Failures[&cluster.Job{}], f.machine.Failures[f.job], f.job.FailedMachines["m-9"] = 1, 1, true
	f.sendHeartbeat(t, f.taskStatus(1, protocol.TaskExited, protocol.ExitDone))
	if len(f.machine.Failures)+len(f.job.FailedMachines) != 0 {
		t.Error("failures of the machine or the job still recorded after a completed task, want none")
	}
}

// TestStaleHeartbeatsAreRefused guards against heartbeats that change the state although they are
// late, are copies, or come from another worker. The network may delay and duplicate them.
func TestStaleHeartbeatsAreRefused(t *testing.T) {
	for name, change := range map[string]func(f *reconcilerFixture, heartbeat *protocol.WorkerHeartbeat){
		"copy": func(f *reconcilerFixture, heartbeat *protocol.WorkerHeartbeat) {
			heartbeat.Sequence = f.machine.HeartbeatSeq
		},
		"earlier epoch": func(_ *reconcilerFixture, heartbeat *protocol.WorkerHeartbeat) { heartbeat.Epoch = 0 },
		"fenced epoch":  func(f *reconcilerFixture, _ *protocol.WorkerHeartbeat) { f.machine.FencedEpoch = 1 },
		"another address": func(_ *reconcilerFixture, heartbeat *protocol.WorkerHeartbeat) {
			heartbeat.Address = "10.0.0.2"
		},
		"earlier term":    func(_ *reconcilerFixture, heartbeat *protocol.WorkerHeartbeat) { heartbeat.FencingToken-- },
		"removed machine": func(f *reconcilerFixture, _ *protocol.WorkerHeartbeat) { f.DeleteMachine(f.machine) },
		"late copy of an unrecorded machine": func(_ *reconcilerFixture, heartbeat *protocol.WorkerHeartbeat) {
			heartbeat.Machine = "m-unknown"
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newReconcilerFixture()
			heartbeat := f.heartbeat(f.taskStatus(0, protocol.TaskRunning, ""))
			change(f, heartbeat)
			sequence := f.machine.HeartbeatSeq
			if _, ok := f.Reconcile(heartbeat, ""); ok {
				t.Error("stale heartbeat accepted")
			}
			if f.machine.HeartbeatSeq != sequence || len(f.job.Attempts) != 0 || f.Machines["m-unknown"] != nil {
				t.Error("stale heartbeat changed the sequence number, the attempts or the machines")
			}
		})
	}
}

// TestUnknownMachineIsAdded guards against tasks on a machine without a stored record: an unknown
// machine that reports no tasks is added and recorded at its first heartbeat.
func TestUnknownMachineIsAdded(t *testing.T) {
	f := newReconcilerFixture()
	heartbeat := f.heartbeat()
	heartbeat.Machine = "m-unknown"
	result, ok := f.Reconcile(heartbeat, "")
	if !ok || result.Machine != f.Machines["m-unknown"] || !result.Machine.Reconciled {
		t.Errorf("heartbeat of m-unknown: got accepted %v, want an accepted heartbeat and a reconciled machine", ok)
	}
	if !slices.Equal(f.recordedMachines, []string{"m-unknown"}) ||
		!slices.Equal(f.mismatches, []recovery.Mismatch{recovery.MachineNotRecorded}) {
		t.Errorf("got recorded machines %v and mismatches %v, want m-unknown and one %v",
			f.recordedMachines, f.mismatches, recovery.MachineNotRecorded)
	}
}

// TestUnreportedAttempts guards against attempts that stay tracked after they have ended, and against
// starts that get lost with an undelivered response. An unreported attempt has ended, unless its
// start command was not delivered.
func TestUnreportedAttempts(t *testing.T) {
	f := newReconcilerFixture()
	running := f.placeAttempt(0, cluster.AttemptRunning)
	sent := f.placeAttempt(1, cluster.AttemptSent)
	stopped := f.placeAttempt(2, cluster.AttemptSent)
	f.RequestStop(stopped, 0)
	assigned := f.placeAttempt(3, cluster.AttemptAssigned)
	commands := f.sendHeartbeat(t)
	if f.job.Attempts[0] == running || f.job.Attempts[2] == stopped {
		t.Error("unreported attempt at task 0 (running) or 2 (being stopped) is still tracked")
	}
	if f.job.Attempts[1] != sent || f.job.Attempts[3] != assigned {
		t.Error("attempt at task 1 or 3, whose start was not delivered, is no longer tracked")
	}
	if !slices.Equal(commandKinds(commands), []protocol.CommandKind{protocol.CommandStart, protocol.CommandStart}) ||
		f.firstStarts != 1 {
		t.Errorf("got commands %v and %d traced first starts, want 2 start commands and 1 first start",
			commandKinds(commands), f.firstStarts)
	}
}

// TestAdoptionWaitsForToken guards against adopting a task from a late copy of a heartbeat: a task of
// an earlier leader is adopted only when a heartbeat carries this leader's token.
func TestAdoptionWaitsForToken(t *testing.T) {
	f := newReconcilerFixture()
	f.machine.Reconciled = false
	heartbeat := f.heartbeat(f.taskStatus(0, protocol.TaskRunning, ""))
	heartbeat.FencingToken--
	if _, ok := f.Reconcile(heartbeat, ""); !ok || len(f.job.Attempts) != 0 || f.machine.UnknownTasks != 1 ||
		f.machine.Reconciled {
		t.Fatalf("without token: got accepted %v, %d attempts, %d unknown tasks, reconciled %v, want true, 0, 1, false",
			ok, len(f.job.Attempts), f.machine.UnknownTasks, f.machine.Reconciled)
	}
	f.sendHeartbeat(t, f.taskStatus(0, protocol.TaskRunning, ""))
	attempt := f.job.Attempts[0]
	if attempt == nil || attempt.Phase != cluster.AttemptRunning || f.machine.UnknownTasks != 0 ||
		!f.machine.Reconciled {
		t.Fatalf("with token: got attempt %+v, %d unknown tasks, reconciled %v, want a running attempt, 0, true",
			attempt, f.machine.UnknownTasks, f.machine.Reconciled)
	}
	if f.firstRunning != 1 || !slices.Equal(f.mismatches, []recovery.Mismatch{recovery.MatchesRecord}) {
		t.Errorf("got %d traced first running attempts and mismatches %v, want 1 and one %v",
			f.firstRunning, f.mismatches, recovery.MatchesRecord)
	}
}

// TestUnexpectedTaskIsStopped guards against stops beyond the budget, against mismatches for jobs
// whose terminal records have not been read yet, and against stopping tasks of quarantined jobs.
func TestUnexpectedTaskIsStopped(t *testing.T) {
	f := newReconcilerFixture()
	unknown := protocol.TaskStatus{TaskID: cluster.TaskKey("j-unknown", 0), Attempt: 1, State: protocol.TaskRunning}
	f.stopsDeferred, f.terminalJobsLoaded = true, false
	if commands := f.sendHeartbeat(t, unknown); len(commands) != 0 || f.machine.UnknownTasks != 1 ||
		len(f.mismatches) != 0 {
		t.Errorf("without budget: got commands %v, %d unknown tasks and mismatches %v, want none, 1 and none",
			commandKinds(commands), f.machine.UnknownTasks, f.mismatches)
	}
	f.stopsDeferred, f.terminalJobsLoaded = false, true
	commands := f.sendHeartbeat(t, unknown)
	if !slices.Equal(commandKinds(commands), []protocol.CommandKind{protocol.CommandStop}) ||
		*commands[0].GraceSeconds != 0 || !slices.Equal(f.mismatches, []recovery.Mismatch{recovery.JobNeverStored}) {
		t.Errorf("with budget: got commands %v and mismatches %v, want a stop without grace and one %v",
			commandKinds(commands), f.mismatches, recovery.JobNeverStored)
	}
	f.closedJobStates["j-unknown"] = recovery.JobStateQuarantined
	if commands := f.sendHeartbeat(t, unknown); len(commands) != 0 {
		t.Errorf("got commands %v for a task of a quarantined job, want none", commandKinds(commands))
	}
}

// TestCommandsPerResponseAreLimited guards against responses above 64 KiB when a machine is to start
// a large number of tasks at once.
func TestCommandsPerResponseAreLimited(t *testing.T) {
	f := newReconcilerFixture()
	f.job = f.addJob("j-large", 2*maxCommandsPerResponse)
	for i := range 2 * maxCommandsPerResponse {
		f.placeAttempt(i, cluster.AttemptAssigned)
	}
	if commands := f.sendHeartbeat(t); len(commands) != maxCommandsPerResponse {
		t.Errorf("got %d commands in one response, want %d", len(commands), maxCommandsPerResponse)
	}
}

// TestMachineThatExecutesNoCommandsIsDrained guards against a machine that keeps its tasks although
// responses do not reach it. It is drained and gets no more responses, unless most machines miss
// responses, because the fault is then not in the machine.
func TestMachineThatExecutesNoCommandsIsDrained(t *testing.T) {
	for others, drained := range map[int]bool{0: true, 1: false, 3: true} {
		f := newReconcilerFixture()
		for i := range others {
			other := f.NewMachine("other-"+string(rune('a'+i)), "small", "a", false)
			other.Up = true
			if others == 1 {
				other.MissedResponses = 1
			}
		}
		accepted := 0
		for range maxMissedResponses + 2 {
			if len(f.job.Attempts) == 0 {
				f.placeAttempt(0, cluster.AttemptAssigned)
			}
			if result, ok := f.Reconcile(f.heartbeat(), ""); ok {
				accepted++
				f.Respond(result)
			}
		}
		if (f.machine.DrainReason == cluster.CommandsUndelivered) != drained {
			t.Errorf("%d other machines: got drain reason %q, want %q: %v",
				others, f.machine.DrainReason, cluster.CommandsUndelivered, drained)
		}
		if allAccepted := accepted == maxMissedResponses+2; allAccepted == drained {
			t.Errorf("%d other machines: %d of %d heartbeats accepted, want all unless the machine is drained: %v",
				others, accepted, maxMissedResponses+2, drained)
		}
	}
}

// TestNewEpochEndsAttempts guards against attempts that stay tracked after their worker has killed
// them: a new epoch ends all attempts that were sent. A second new epoch without a sign of a
// delivered response shows that responses do not reach the worker, so the machine is drained.
func TestNewEpochEndsAttempts(t *testing.T) {
	f := newReconcilerFixture()
	f.placeAttempt(0, cluster.AttemptRunning)
	assigned := f.placeAttempt(1, cluster.AttemptAssigned)
	heartbeat := f.heartbeat()
	heartbeat.Epoch, heartbeat.Sequence = 2, 1
	if _, ok := f.Reconcile(heartbeat, ""); !ok || len(f.job.Attempts) != 1 || f.job.Attempts[1] != assigned {
		t.Errorf("heartbeat of epoch 2: got accepted %v and %d attempts, want true and only the unsent attempt at task 1",
			ok, len(f.job.Attempts))
	}
	if !f.machine.UnexpectedRestart || f.machine.MissedResponses != 1 ||
		!slices.Equal(f.mismatches, []recovery.Mismatch{recovery.NewerEpoch}) {
		t.Errorf("after epoch 2: got unexpected restart %v, %d missed responses and mismatches %v, want true, 1 and one %v",
			f.machine.UnexpectedRestart, f.machine.MissedResponses, f.mismatches, recovery.NewerEpoch)
	}
	heartbeat = f.heartbeat()
	heartbeat.Epoch = 3
	if _, ok := f.Reconcile(heartbeat, ""); ok || f.machine.DrainReason != cluster.CommandsUndelivered {
		t.Errorf("heartbeat of epoch 3: got accepted %v and drain reason %q, want false and %q",
			ok, f.machine.DrainReason, cluster.CommandsUndelivered)
	}
}
