package recoverygate

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// gateClock is a settable clock for a gate under test.
type gateClock struct{ now clock.Instant }

func (c *gateClock) Now() clock.Instant { return c.now }

const (
	gateLeaderRevision = 100
	gateMinMachines    = 4
)

// newTestGate returns the gate of a new leader with the given number of unreconciled machines, its
// clock, and the mismatch counts of the process.
func newTestGate(machines int) (*Gate, *gateClock, *recovery.MismatchCounts) {
	testClock := &gateClock{now: time.Minute}
	platform := &config.Cluster{}
	platform.Workers.HeartbeatIntervalS, platform.Workers.LeaseS = 4, 20
	settings := &config.Settings{PacedRecovery: true, RecoveryMinMachines: gateMinMachines,
		RecoveryRefillLeases: 0.25, RecoveryReplaceLeases: 1}
	state := cluster.New(cluster.Options{Clock: testClock, Config: platform, Settings: settings,
		Log:     slog.New(slog.DiscardHandler),
		Catalog: map[string]*protocol.MachineType{"small": {Name: "small", Cores: 8, MemoryGB: 32}}})
	for i := range machines {
		state.NewMachine(fmt.Sprintf("m-%d", i), "small", "a", false)
	}
	counts := &recovery.MismatchCounts{}
	return New(state, gateLeaderRevision, counts), testClock, counts
}

// reconcileMachines marks the first count machines by name as reconciled.
func reconcileMachines(gate *Gate, count int) {
	for _, machine := range gate.state.MachinesByName()[:count] {
		machine.Reconciled = true
	}
	gate.state.TotalsValid = false
}

// TestGateLimitsLargeFleetsUntilCompleted guards against limits on small fleets, with disabled
// pacing, or after the recovery is completed.
func TestGateLimitsLargeFleetsUntilCompleted(t *testing.T) {
	for name, c := range map[string]struct {
		machines int
		disabled bool
		limited  bool
	}{
		"small fleet": {machines: gateMinMachines - 1},
		"disabled":    {machines: gateMinMachines, disabled: true},
		"large fleet": {machines: gateMinMachines, limited: true},
	} {
		gate, testClock, _ := newTestGate(c.machines)
		gate.state.Settings.PacedRecovery = !c.disabled
		if gate.Limited() != c.limited || gate.MayScaleOut() == c.limited || gate.MayScaleIn() == c.limited ||
			gate.Status(3).Paced != c.limited || gate.Status(3).Term != 3 {
			t.Errorf("%s: got limited %v, scale out allowed %v, scale in allowed %v, want %v, %v, %v; got status %+v, "+
				"want paced %v and term 3", name, gate.Limited(), gate.MayScaleOut(), gate.MayScaleIn(),
				c.limited, !c.limited, !c.limited, gate.Status(3), c.limited)
		}
		reconcileMachines(gate, c.machines)
		for !gate.Completed() && testClock.now < 2*time.Minute {
			gate.Advance(true)
			testClock.now += time.Second
		}
		if gate.Phase() != recovery.PhaseNormal || gate.Limited() || !gate.MayScaleOut() || !gate.MayScaleIn() ||
			gate.Budgets() != nil {
			t.Errorf("%s, after the recovery: got phase %v, limited %v, budgets %v, want %v without limits and budgets",
				name, gate.Phase(), gate.Limited(), gate.Budgets(), recovery.PhaseNormal)
		}
	}
}

// TestJobsThatMayRunUnreported guards against jobs that are held back although no earlier leader can
// have started them, and against jobs that are started a second time on another machine. Tasks can
// run unreported only if an earlier leader can have started them on an unreconciled machine.
func TestJobsThatMayRunUnreported(t *testing.T) {
	for name, c := range map[string]struct {
		change func(gate *Gate, job *cluster.Job)
		may    bool
	}{
		"job of an earlier leader":   {func(*Gate, *cluster.Job) {}, true},
		"accepted in this term":      {func(_ *Gate, job *cluster.Job) { job.RecordRevision = gateLeaderRevision + 1 }, false},
		"released in this term":      {func(_ *Gate, job *cluster.Job) { job.ReleasedThisTerm = true }, false},
		"all machines reconciled":    {func(gate *Gate, _ *cluster.Job) { reconcileMachines(gate, gateMinMachines) }, false},
		"in another zone":            {func(_ *Gate, job *cluster.Job) { job.Spec.Zone = "b" }, false},
		"of another machine type":    {func(_ *Gate, job *cluster.Job) { job.Spec.MachineTypes = []string{"large"} }, false},
		"of no machine type":         {func(_ *Gate, job *cluster.Job) { job.Spec.MachineTypes = []string{} }, true},
		"larger than any in catalog": {func(_ *Gate, job *cluster.Job) { job.Spec.Cores = 999 }, true},
		"in another zone, type unknown": {func(gate *Gate, job *cluster.Job) {
			job.Spec.Zone = "b"
			gate.state.MachinesByName()[0].TypeName = ""
		}, true},
	} {
		gate, _, _ := newTestGate(gateMinMachines)
		job := &cluster.Job{Spec: protocol.Job{ID: "j-1", Cores: 1, MemoryGB: 1}, RecordRevision: gateLeaderRevision}
		c.change(gate, job)
		totals := gate.state.CurrentMachineTotals()
		if may := gate.MayRunUnreported(job, &totals); may != c.may {
			t.Errorf("%s: MayRunUnreported: got %v, want %v", name, may, c.may)
		}
	}
}

// TestMismatchesAreCountedForTheProcess guards against a mismatch that is counted with every
// heartbeat that shows it, and against process counts that start anew with each leader.
func TestMismatchesAreCountedForTheProcess(t *testing.T) {
	gate, _, counts := newTestGate(1)
	counts[recovery.JobTerminal] = 5
	for range 2 {
		gate.NoteMismatch(recovery.JobTerminal, "m-0", "j-1/0")
	}
	leaderCounts := gate.Counts()
	if leaderCounts[recovery.JobTerminal] != 1 || counts[recovery.JobTerminal] != 6 {
		t.Errorf("got %d mismatches of kind JobTerminal of the leader and %d of the process, want 1 and 6",
			leaderCounts[recovery.JobTerminal], counts[recovery.JobTerminal])
	}
}

// TestTransitionsCountMismatches guards against machines and jobs that are counted as missing before
// they had time to report. Machines that send no heartbeat are counted at the end of the collecting
// phase, and jobs that no worker reports are counted once all machines are reconciled.
func TestTransitionsCountMismatches(t *testing.T) {
	gate, testClock, counts := newTestGate(gateMinMachines)
	job := &cluster.Job{Spec: protocol.Job{ID: "j-1"}, RecordRevision: gateLeaderRevision,
		TaskProgress: cluster.TaskProgress{PendingTasks: 1}}
	laterJob := &cluster.Job{Spec: protocol.Job{ID: "j-2"}, RecordRevision: gateLeaderRevision + 1,
		TaskProgress: cluster.TaskProgress{PendingTasks: 1}}
	gate.state.RunnableJobs["j-1"], gate.state.RunnableJobs["j-2"] = job, laterJob
	reconcileMachines(gate, gateMinMachines-1)
	gate.Advance(true)
	testClock.now += 10 * time.Second
	gate.Advance(true)
	if gate.Phase() != recovery.PhaseReconciling || counts[recovery.MachineUnresponsive] != 1 {
		t.Errorf("got phase %v and %d unresponsive machines, want %v and 1",
			gate.Phase(), counts[recovery.MachineUnresponsive], recovery.PhaseReconciling)
	}
	reconcileMachines(gate, gateMinMachines)
	gate.Advance(true)
	if gate.Phase() != recovery.PhasePacing || counts[recovery.JobNotRunning] != 1 {
		t.Errorf("got phase %v and %d jobs not running, want %v and 1",
			gate.Phase(), counts[recovery.JobNotRunning], recovery.PhasePacing)
	}
}

// TestCommandsArePaced guards against a new leader that sends commands beyond its budgets: the buckets
// for tasks start empty, one response starts few tasks, and rentals are limited. Stops of tasks whose
// job is not open are not delayed.
func TestCommandsArePaced(t *testing.T) {
	gate, testClock, _ := newTestGate(gateMinMachines)
	machine := gate.state.MachinesByName()[0]
	job := &cluster.Job{Spec: protocol.Job{ID: "j-1", Priority: "standard"}, Dependencies: cluster.NewDependencies()}
	attempt := &cluster.TaskAttempt{Job: job, Machine: machine}
	gate.Advance(true)
	if gate.MayStartTask(attempt, 0) || gate.MayStopTask(job) {
		t.Error("start or stop allowed at the beginning of the recovery, want an empty budget")
	}
	if !gate.MayStopTask(nil) {
		t.Error("stop of a task whose job is not open was deferred, want it allowed")
	}
	testClock.now += 4 * time.Second
	gate.Advance(true)
	maxStarts := int(machine.MachineType.Cores) / startsPerResponseDivisor
	if !gate.MayStartTask(attempt, maxStarts-1) || gate.MayStartTask(attempt, maxStarts) {
		t.Errorf("number of tasks that one response may start: want exactly %d, the limit for its machine", maxStarts)
	}
	granted := gate.AllowedOperations(recovery.RentMachine, 1000)
	if granted == 0 || granted == 1000 || gate.AllowedOperations(recovery.RentMachine, 1) != 0 {
		t.Errorf("got %d of 1000 rentals, want some but not all, and no further rental", granted)
	}
	gate.RefundOperations(recovery.RentMachine, 2)
	if granted := gate.AllowedOperations(recovery.RentMachine, 5); granted != 2 {
		t.Errorf("got %d rentals after a refund of 2, want 2", granted)
	}
}

// TestUnresponsiveMachinesMayBeReturned guards against returning machines that may just not have
// reached the new leader yet. A reconciled machine is returned after 0.6 of a lease without a
// heartbeat, and an unreconciled machine when the recovery allows it.
func TestUnresponsiveMachinesMayBeReturned(t *testing.T) {
	gate, _, _ := newTestGate(gateMinMachines)
	machine := gate.state.MachinesByName()[0]
	if gate.MayReturnUnresponsive(machine, time.Hour) {
		t.Error("return of an unreconciled machine allowed before the records are read")
	}
	machine.Reconciled = true
	if gate.MayReturnUnresponsive(machine, 12*time.Second) || !gate.MayReturnUnresponsive(machine, 12*time.Second+1) {
		t.Error("return of a reconciled machine must be allowed after 0.6 of a worker lease, and not before")
	}
}
