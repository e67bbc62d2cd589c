// Package reconcile compares workers' heartbeats with the cluster state: it brings the state up to
// date and determines the commands of each response. It stores and sends nothing.
package reconcile

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// Reconciler compares the heartbeats of workers with the cluster state of one term: it brings the
// state up to date and determines the commands of each response. It changes the state through the
// transitions of package cluster, and sends and stores nothing itself.
//
// A heartbeat is processed in two steps. Reconcile applies it to the state. The leader may then
// schedule tasks on the machine, and Respond builds the response with all commands.
type Reconciler struct {
	*cluster.State
	fencingToken uint64 // the term, which responses and heartbeats carry
	recovery     RecoveryGate
	host         Host
}

// RecoveryGate is the recovery of the leader, which limits the commands of a new leader and
// counts how heartbeats differ from the stored state.
type RecoveryGate interface {
	// NoteMismatch counts a mismatch of a machine. The subject is a task, or empty.
	NoteMismatch(kind recovery.Mismatch, machine, subject string)
	// MayStartTask reports whether a response that starts some tasks already may start one more.
	MayStartTask(attempt *cluster.TaskAttempt, startedCount int) bool
	// MayStopTask reports whether a task may be stopped now. The job is nil if it is not open.
	MayStopTask(job *cluster.Job) bool
}

// Host is what the reconciler needs from the leader.
type Host interface {
	// RecordMachine makes a machine durable as one that may have tasks.
	RecordMachine(machine *cluster.Machine)
	// MarkTaskDone records that a task is completed and makes that durable.
	MarkTaskDone(job *cluster.Job, taskIndex int)
	// ClosedJobState returns the state of a job that may not be open: terminal or quarantined
	// according to its records, and otherwise unknown.
	ClosedJobState(jobID string) recovery.JobState
	// TerminalJobsLoaded reports whether the records of all terminal jobs have been read, so that a
	// job without any record was certainly never stored.
	TerminalJobsLoaded() bool
	// ConfirmDelivery reports whether the route of a heartbeat shows that the last response has
	// reached the worker, and records that. relayPeer is the peer that relayed the heartbeat.
	ConfirmDelivery(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat, relayPeer string) bool
	// TraceFirstStart records the first start command of a job in this term.
	TraceFirstStart(attempt *cluster.TaskAttempt)
	// TraceFirstRunning records the first task of a job that is running.
	TraceFirstRunning(attempt *cluster.TaskAttempt)
}

// New returns the reconciler of a term.
func New(state *cluster.State, term uint64, gate RecoveryGate, host Host) *Reconciler {
	return &Reconciler{State: state, fencingToken: term, recovery: gate, host: host}
}

// Result is the result of a heartbeat that was applied to the state of its machine.
type Result struct {
	Machine  *cluster.Machine
	commands []protocol.Command // stop or forget tasks that should not be on the machine
}

// Reconcile applies a heartbeat to the cluster state. relayPeer is the peer that relayed it, or empty.
// ok is false if the worker must get no commands and no renewal of its lease.
func (r *Reconciler) Reconcile(heartbeat *protocol.WorkerHeartbeat, relayPeer string) (result Result, ok bool) {
	machine := r.reportingMachine(heartbeat)
	if machine == nil || r.isStaleHeartbeat(machine, heartbeat) {
		return Result{}, false
	}
	commands := r.applyHeartbeat(machine, heartbeat, relayPeer)
	if r.drainIfCommandsUndelivered(machine) {
		// The response would be lost, and a 200 would only postpone the time from which the
		// worker's lease has certainly expired.
		return Result{}, false
	}
	r.cancelMissedHeartbeatDrain(machine)
	r.ApplyPreemptionNotice(machine, heartbeat.PreemptionNoticeSeconds)
	if !machine.UseDurable {
		r.host.RecordMachine(machine)
	}
	return Result{Machine: machine, commands: commands}, true
}

// Respond returns the response to the heartbeat of a reconciliation, with the commands that the state
// requires by now. The response may renew the worker's lease.
func (r *Reconciler) Respond(result Result) *protocol.HeartbeatResponse {
	machine := result.Machine
	commands := r.appendAttemptCommands(machine, result.commands)
	response := &protocol.HeartbeatResponse{FencingToken: r.fencingToken, Commands: commands}
	machine.LastResponse = r.Clock.Now()
	machine.UnconfirmedResponse = response
	return response
}

// applyHeartbeat updates the state of a machine from its heartbeat. It returns the commands that
// stop or forget tasks that should not be on the machine.
func (r *Reconciler) applyHeartbeat(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat,
	relayPeer string) []protocol.Command {
	tokenAcknowledged := r.carriesToken(heartbeat)
	if heartbeat.Epoch > machine.Epoch && machine.Epoch != 0 {
		r.beginEpoch(machine)
	}
	deliveryConfirmed := r.host.ConfirmDelivery(machine, heartbeat, relayPeer)
	trackCommandDelivery(machine, heartbeat, tokenAcknowledged, deliveryConfirmed)
	if machine.TokenAcknowledged != tokenAcknowledged || !machine.Up {
		machine.TokenAcknowledged, machine.Up = tokenAcknowledged, true
		r.markCapacityChanged()
	}
	machine.Epoch, machine.HeartbeatSeq = heartbeat.Epoch, heartbeat.Sequence
	machine.LastHeartbeat = r.Clock.Now()
	machine.Address, machine.RelayPeer = heartbeat.Address, relayPeer
	previousUnknownTasks := machine.UnknownTasks
	commands := r.reconcileTasks(machine, heartbeat)
	if (machine.UnknownTasks > 0) != (previousUnknownTasks > 0) {
		r.TotalsValid = false
	}
	if tokenAcknowledged && !machine.Reconciled {
		machine.Reconciled = true
		r.markCapacityChanged()
	}
	return commands
}

// markCapacityChanged has the totals of the machines recomputed and a scheduling pass made.
func (r *Reconciler) markCapacityChanged() {
	r.SchedulingNeeded = true
	r.TotalsValid = false
}

// carriesToken reports whether a heartbeat carries the fencing token of the current term.
func (r *Reconciler) carriesToken(heartbeat *protocol.WorkerHeartbeat) bool {
	return heartbeat.FencingToken == r.fencingToken
}

// cancelMissedHeartbeatDrain cancels the drain of a machine that missed heartbeats and reports
// again, unless its termination has been requested already. The worker or this leader may only
// have been partitioned. Without this, a thousand machines were returned after an outage of the
// cloud API although they had been running tasks again for half a minute.
func (r *Reconciler) cancelMissedHeartbeatDrain(machine *cluster.Machine) {
	if machine.DrainReason != cluster.HeartbeatMissed || machine.TerminationRequested {
		return
	}
	r.CancelDrain(machine)
	if machine.Unhealthy {
		r.BeginDrain(machine, cluster.Unhealthy)
	}
}

// reportingMachine returns the machine that sent a heartbeat and adds it if it is unknown. It
// returns nil for a machine that has been removed, or whose heartbeat is a late copy.
func (r *Reconciler) reportingMachine(heartbeat *protocol.WorkerHeartbeat) *cluster.Machine {
	if machine := r.Machines[heartbeat.Machine]; machine != nil {
		r.adoptReportedType(machine, heartbeat)
		return machine
	}
	if _, removed := r.RemovedMachines[heartbeat.Machine]; removed {
		return nil
	}
	r.recovery.NoteMismatch(recovery.MachineNotRecorded, heartbeat.Machine, "")
	inventoryIncomplete := r.InventoryIncomplete()
	if len(heartbeat.Tasks) > 0 && !inventoryIncomplete {
		// A machine is stored before its first task starts, and its record is deleted only
		// after it has certainly ended. An unrecorded machine with tasks is therefore a late
		// copy of a heartbeat from before its return. It must neither block jobs nor count
		// against a quota.
		return nil
	}
	machine := r.NewMachine(heartbeat.Machine, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	// No leader has stored the machine, so none has started a task on it. It is used only
	// once its heartbeats carry the token of this term.
	machine.Reconciled = !inventoryIncomplete
	r.Log.Info("heartbeat from unknown machine", "machine", machine.Name, "type", machine.TypeName)
	return machine
}

// adoptReportedType sets the type of a machine from its heartbeat where its record could not be
// read.
func (r *Reconciler) adoptReportedType(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat) {
	if machine.TypeName != "" || heartbeat.Type == "" {
		return
	}
	machine.TypeName, machine.Zone, machine.Spot = heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	machine.MachineType = r.Catalog[heartbeat.Type]
	r.InvalidateMachineIndex()
	r.host.RecordMachine(machine)
}

// isStaleHeartbeat reports whether a heartbeat must be ignored because it comes from another
// worker, arrives late, or is a copy.
func (r *Reconciler) isStaleHeartbeat(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat) bool {
	switch {
	case machine.Address != "" && heartbeat.Address != "" && heartbeat.Address != machine.Address:
		r.logDuplicateName(machine, heartbeat)
		return true
	case heartbeat.Epoch < machine.Epoch:
		return true
	case heartbeat.Epoch == machine.Epoch && heartbeat.Sequence <= machine.HeartbeatSeq:
		return true
	case heartbeat.Epoch <= machine.FencedEpoch:
		return true // a fenced epoch never gets a 200 again
	default:
		// A reconciled machine runs nothing that an earlier leader started: its record says so, or
		// its lease has certainly expired without a response. All later starts carry the token of
		// this term, so a heartbeat with tasks but without the token is an old copy.
		return machine.Reconciled && !r.carriesToken(heartbeat) && len(heartbeat.Tasks) > 0
	}
}

// logDuplicateName logs once that two workers use the name of a machine, or that a copy of a
// heartbeat was altered on the way. The first worker stays accepted until its lease has certainly
// expired: a new epoch of the other would be mistaken for the end of all tasks of the first.
func (r *Reconciler) logDuplicateName(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat) {
	if machine.DuplicateName {
		return
	}
	machine.DuplicateName = true
	r.Log.Warn("two workers use one machine name", "machine", machine.Name,
		"address", machine.Address, "otherAddress", heartbeat.Address)
}

// beginEpoch handles the first heartbeat of a new worker epoch. The worker has killed all earlier
// tasks.
func (r *Reconciler) beginEpoch(machine *cluster.Machine) {
	r.recovery.NoteMismatch(recovery.NewerEpoch, machine.Name, "")
	machine.UnknownTasks = 0
	r.TotalsValid = false
	for _, attempt := range machine.AttemptsInOrder {
		if attempt.Phase != cluster.AttemptAssigned {
			r.ReleaseAttempt(attempt)
		}
	}
	if r.Clock.Now()-machine.LastHeartbeat >= r.Config.WorkerLease()/2 {
		return
	}
	// Heartbeats arrived without a gap. Either the worker's lease expired because responses do
	// not reach it, or the worker restarted at once. The next command that it executes decides,
	// or a second new epoch without any sign of a delivered response.
	machine.MissedResponses++
	if machine.UnexpectedRestart {
		machine.MissedResponses = max(machine.MissedResponses, maxMissedResponses)
	}
	machine.UnexpectedRestart = true
}
