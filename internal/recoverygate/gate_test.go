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

// gateClock is the time of a recovery gate under test.
type gateClock struct{ now clock.Instant }

func (c *gateClock) Now() clock.Instant { return c.now }

const (
	gateLeaderRevision = 100
	gateMinMachines    = 4
)

// newTestGate returns the gate of a new leader with a number of machines that are not reconciled.
func newTestGate(machines int) (*Gate, *gateClock, *recovery.MismatchCounts) {
	testClock := &gateClock{now: time.Minute}
	platform := &config.Cluster{}
	platform.Workers.HeartbeatIntervalS, platform.Workers.LeaseS = 4, 20
	settings := &config.Settings{PacedRecovery: true, RecoveryMinMachines: gateMinMachines, RecoveryRefillLeases: 0.25, RecoveryReplaceLeases: 1}
	state := cluster.New(cluster.Options{Clock: testClock, Config: platform, Settings: settings, Log: slog.New(slog.DiscardHandler),
		Catalog: map[string]*protocol.MachineType{"small": {Name: "small", Cores: 8, MemoryGB: 32}}})
	for i := range machines {
		state.NewMachine(fmt.Sprintf("m-%d", i), "small", "a", false)
	}
	counts := &recovery.MismatchCounts{}
	return New(state, gateLeaderRevision, counts), testClock, counts
}

// reconcileMachines makes machines of the gate's cluster reconciled.
func reconcileMachines(gate *Gate, count int) {
	for _, machine := range gate.state.MachinesByName()[:count] {
		machine.Reconciled = true
	}
	gate.state.TotalsValid = false
}

// Only a recovery of a large enough fleet that is not completed limits the leader, if the settings
// have it so.
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
			t.Errorf("%s: limited %v, scale out %v, scale in %v", name, gate.Limited(), gate.MayScaleOut(), gate.MayScaleIn())
		}
		reconcileMachines(gate, c.machines)
		for !gate.Completed() && testClock.now < 2*time.Minute {
			gate.Advance(true)
			testClock.now += time.Second
		}
		if gate.Phase() != recovery.PhaseNormal || gate.Limited() || !gate.MayScaleOut() || !gate.MayScaleIn() || gate.Budgets() != nil {
			t.Errorf("%s: phase %v", name, gate.Phase())
		}
	}
}

// Tasks of a job can run unreported only if an earlier leader can have started it on a machine that
// is not reconciled.
func TestJobsThatMayRunUnreported(t *testing.T) {
	for name, c := range map[string]struct {
		change func(gate *Gate, job *cluster.Job)
		may    bool
	}{
		"job of an earlier leader":  {func(*Gate, *cluster.Job) {}, true},
		"accepted in this term":     {func(_ *Gate, job *cluster.Job) { job.RecordVersion = gateLeaderRevision + 1 }, false},
		"released in this term":     {func(_ *Gate, job *cluster.Job) { job.ReleasedThisTerm = true }, false},
		"all machines reconciled":   {func(gate *Gate, _ *cluster.Job) { reconcileMachines(gate, gateMinMachines) }, false},
		"in another zone":           {func(_ *Gate, job *cluster.Job) { job.Spec.Zone = "b" }, false},
		"of another type":           {func(_ *Gate, job *cluster.Job) { job.Spec.MachineTypes = []string{"large"} }, false},
		"too large, by the catalog": {func(_ *Gate, job *cluster.Job) { job.Spec.Cores = 999 }, true},
		"elsewhere, but types unknown": {func(gate *Gate, job *cluster.Job) {
			job.Spec.Zone = "b"
			gate.state.MachinesByName()[0].TypeName = ""
		}, true},
	} {
		gate, _, _ := newTestGate(gateMinMachines)
		job := &cluster.Job{Spec: protocol.Job{ID: "j-1", Cores: 1, MemoryGB: 1}, RecordVersion: gateLeaderRevision}
		c.change(gate, job)
		totals := gate.state.CurrentMachineTotals()
		if may := gate.MayRunUnreported(job, &totals); may != c.may {
			t.Errorf("%s: %v", name, may)
		}
	}
}

// A mismatch is counted once per leader, and for the process.
func TestMismatchesAreCountedForTheProcess(t *testing.T) {
	gate, _, counts := newTestGate(1)
	counts[recovery.JobTerminal] = 5
	for range 2 {
		gate.NoteMismatch(recovery.JobTerminal, "m-0", "j-1/0")
	}
	leaderCounts := gate.Counts()
	if leaderCounts[recovery.JobTerminal] != 1 || counts[recovery.JobTerminal] != 6 {
		t.Errorf("leader %d, process %d", leaderCounts[recovery.JobTerminal], counts[recovery.JobTerminal])
	}
}

// Machines that send no heartbeat are counted at the end of the collecting phase, and jobs that no
// worker reports once all machines are reconciled.
func TestTransitionsCountMismatches(t *testing.T) {
	gate, testClock, counts := newTestGate(gateMinMachines)
	job := &cluster.Job{Spec: protocol.Job{ID: "j-1"}, RecordVersion: gateLeaderRevision, TaskProgress: cluster.TaskProgress{PendingTasks: 1}}
	laterJob := &cluster.Job{Spec: protocol.Job{ID: "j-2"}, RecordVersion: gateLeaderRevision + 1, TaskProgress: cluster.TaskProgress{PendingTasks: 1}}
	gate.state.RunnableJobs["j-1"], gate.state.RunnableJobs["j-2"] = job, laterJob
	reconcileMachines(gate, gateMinMachines-1)
	gate.Advance(true)
	testClock.now += 10 * time.Second
	gate.Advance(true)
	if gate.Phase() != recovery.PhaseReconciling || counts[recovery.MachineUnresponsive] != 1 {
		t.Errorf("phase %v, unresponsive machines %d", gate.Phase(), counts[recovery.MachineUnresponsive])
	}
	reconcileMachines(gate, gateMinMachines)
	gate.Advance(true)
	if gate.Phase() != recovery.PhasePacing || counts[recovery.JobNotRunning] != 1 {
		t.Errorf("phase %v, jobs not running %d", gate.Phase(), counts[recovery.JobNotRunning])
	}
}

// One response starts few tasks while starts are paced, and cancelled work is stopped at once.
func TestCommandsArePaced(t *testing.T) {
	gate, testClock, _ := newTestGate(gateMinMachines)
	machine := gate.state.MachinesByName()[0]
	job := &cluster.Job{Spec: protocol.Job{ID: "j-1", Priority: "standard"}, Dependencies: cluster.NewDependencies()}
	attempt := &cluster.TaskAttempt{Job: job, Machine: machine}
	gate.Advance(true)
	if gate.MayStartTask(attempt, 0) || gate.MayStopTask(job) {
		t.Error("a new leader begins with a budget for tasks")
	}
	if !gate.MayStopTask(nil) {
		t.Error("a task whose job is not open has to wait")
	}
	testClock.now += 4 * time.Second
	gate.Advance(true)
	maxStarts := int(machine.MachineType.Cores) / startsPerResponseDivisor
	if !gate.MayStartTask(attempt, maxStarts-1) || gate.MayStartTask(attempt, maxStarts) {
		t.Errorf("one response does not start %d tasks at most", maxStarts)
	}
	granted := gate.AllowedOperations(recovery.RentMachine, 1000)
	if granted == 0 || granted == 1000 || gate.AllowedOperations(recovery.RentMachine, 1) != 0 {
		t.Errorf("%d rentals granted", granted)
	}
	gate.RefundOperations(recovery.RentMachine, 2)
	if granted := gate.AllowedOperations(recovery.RentMachine, 5); granted != 2 {
		t.Errorf("%d rentals granted after a refund of 2", granted)
	}
}

// A reconciled machine is returned after most of a lease without a heartbeat, and another one as the
// recovery allows.
func TestUnresponsiveMachinesMayBeReturned(t *testing.T) {
	gate, _, _ := newTestGate(gateMinMachines)
	machine := gate.state.MachinesByName()[0]
	if gate.MayReturnUnresponsive(machine, time.Hour) {
		t.Error("a machine is returned before the records are read")
	}
	machine.Reconciled = true
	if gate.MayReturnUnresponsive(machine, 12*time.Second) || !gate.MayReturnUnresponsive(machine, 12*time.Second+1) {
		t.Error("a reconciled machine is not returned after 0.6 of a lease")
	}
}
