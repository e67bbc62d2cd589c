// Package reconcile compares workers' heartbeats with the cluster state, updates the state and
// determines the commands of each response. A machine is reconciled once no task unknown to this leader
// can be running on it. The package stores and sends nothing.
package reconcile

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// Reconciler compares the heartbeats of workers with the cluster state of one term. It changes the
// state through the transitions of package cluster.
//
// A heartbeat is processed in two steps. Reconcile applies it to the state. The leader may then
// schedule tasks on the machine, and Respond builds the response with all commands.
type Reconciler struct {
	*cluster.State
	fencingToken uint64 // the leader's term, which responses and later heartbeats carry
	recovery     RecoveryGate
	host         Host
}

// RecoveryGate limits the commands of a new leader and counts the differences between heartbeats and
// the stored state.
type RecoveryGate interface {
	// NoteMismatch counts a mismatch of a machine. subject is a task key, or empty.
	NoteMismatch(kind recovery.Mismatch, machine, subject string)
	// MayStartTask reports whether a response that already starts startedCount tasks may also
	// start attempt.
	MayStartTask(attempt *cluster.TaskAttempt, startedCount int) bool
	// MayStopTask reports whether a task of a job may be stopped now. job is nil if the job is not
	// open.
	MayStopTask(job *cluster.Job) bool
}

// Host provides the leader's functions that the reconciler calls.
type Host interface {
	// RecordMachine queues a write that stores a machine as one that may have tasks.
	RecordMachine(machine *cluster.Machine)
	// MarkTaskDone marks a task as completed and queues a write that stores the completion.
	MarkTaskDone(job *cluster.Job, taskIndex int)
	// ClosedJobState returns the state of a job according to its terminal record or unreadable
	// record: terminal or quarantined. The state is unknown if there is no such record.
	ClosedJobState(jobID string) recovery.JobState
	// TerminalJobsLoaded reports whether the records of all terminal jobs have been read, so that a
	// job without any record was certainly never stored.
	TerminalJobsLoaded() bool
	// ConfirmDelivery reports whether the route of a heartbeat shows that the last response has
	// reached the worker. If so, it records the delivery. relayPeer is the peer that relayed the
	// heartbeat, or empty.
	ConfirmDelivery(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat, relayPeer string) bool
	// TraceFirstStart adds the first start command of a job in this term to the job's trace.
	TraceFirstStart(attempt *cluster.TaskAttempt)
	// TraceFirstRunning adds the first running attempt of a job to the job's trace.
	TraceFirstRunning(attempt *cluster.TaskAttempt)
}

// New returns the reconciler for a term. The term is also the fencing token of its responses.
func New(state *cluster.State, term uint64, gate RecoveryGate, host Host) *Reconciler {
	return &Reconciler{State: state, fencingToken: term, recovery: gate, host: host}
}

// Result is the result of applying a heartbeat to the state of its machine.
type Result struct {
	Machine  *cluster.Machine
	commands []protocol.Command // commands that stop or forget tasks that should not be on the machine
}

// Reconcile applies a heartbeat to the cluster state. relayPeer is the peer that relayed the heartbeat,
// or empty. ok is false if the worker must get neither commands nor a renewal of its worker lease.
func (r *Reconciler) Reconcile(heartbeat *protocol.WorkerHeartbeat, relayPeer string) (result Result, ok bool) {
	machine := r.reportingMachine(heartbeat)
	if machine == nil || r.isStaleHeartbeat(machine, heartbeat) {
		return Result{}, false
	}
	commands := r.applyHeartbeat(machine, heartbeat, relayPeer)
	if r.drainIfCommandsUndelivered(machine) {
		// The response would be lost, and a response with status 200 would only postpone the time
		// after which the worker's lease has certainly expired.
		return Result{}, false
	}
	r.cancelMissedHeartbeatDrain(machine)
	r.ApplyPreemptionNotice(machine, heartbeat.PreemptionNoticeSeconds)
	if !machine.UseDurable {
		r.host.RecordMachine(machine)
	}
	return Result{Machine: machine, commands: commands}, true
}

// Respond returns the response to a heartbeat that Reconcile accepted, with the commands that the current
// state requires. The response may renew the worker's lease.
func (r *Reconciler) Respond(result Result) *protocol.HeartbeatResponse {
	machine := result.Machine
	commands := r.appendAttemptCommands(machine, result.commands)
	response := &protocol.HeartbeatResponse{FencingToken: r.fencingToken, Commands: commands}
	machine.LastResponse = r.Clock.Now()
	machine.UnconfirmedResponse = response
	return response
}

// applyHeartbeat updates the state of a machine from its heartbeat. It returns the commands to stop
// or forget tasks that should not be on the machine.
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

// markCapacityChanged requests a scheduling pass and invalidates the cached totals of the machines.
func (r *Reconciler) markCapacityChanged() {
	r.SchedulingNeeded = true
	r.TotalsValid = false
}

// carriesToken reports whether a heartbeat carries the fencing token of this term, so that it was sent
// after the worker received a response of this leader.
func (r *Reconciler) carriesToken(heartbeat *protocol.WorkerHeartbeat) bool {
	return heartbeat.FencingToken == r.fencingToken
}

// cancelMissedHeartbeatDrain cancels the drain of a machine that missed heartbeats and sends them
// again, unless its termination has already been requested. The worker or this leader may only have
// been partitioned. Without this rule, a thousand machines were returned after an outage of the cloud
// API although they had been running tasks again for half a minute.
func (r *Reconciler) cancelMissedHeartbeatDrain(machine *cluster.Machine) {
	if machine.DrainReason != cluster.HeartbeatMissed || machine.TerminationRequested {
		return
	}
	r.CancelDrain(machine)
	if machine.Unhealthy {
		r.BeginDrain(machine, cluster.Unhealthy)
	}
}

// reportingMachine returns the machine that sent a heartbeat, and adds the machine if it is unknown.
// It returns nil if the machine has been removed or the heartbeat is a late copy.
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
		// after it has certainly ended. A heartbeat with tasks from an unrecorded machine is
		// therefore a late copy from before the machine's return to the cloud. Such a machine must
		// neither block jobs nor count against a quota.
		return nil
	}
	machine := r.NewMachine(heartbeat.Machine, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	// If all records could be read, no leader has stored the machine, so none has started a task
	// on it. The machine gets tasks only once its heartbeats carry the token of this term.
	machine.Reconciled = !inventoryIncomplete
	r.Log.Info("heartbeat from unknown machine", "machine", machine.Name, "type", machine.TypeName)
	return machine
}

// adoptReportedType sets the type, zone and spot flag of a machine from its heartbeat if its type is
// unknown because its record could not be read.
func (r *Reconciler) adoptReportedType(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat) {
	if machine.TypeName != "" || heartbeat.Type == "" {
		return
	}
	machine.TypeName, machine.Zone, machine.Spot = heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	machine.MachineType = r.Catalog[heartbeat.Type]
	r.InvalidateMachineIndex()
	r.host.RecordMachine(machine)
}

// isStaleHeartbeat reports whether a heartbeat must be ignored because it comes from another worker
// with the same machine name, arrives late, or is a copy of an earlier heartbeat.
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
		return true // a fenced epoch never gets a response with status 200 again
	default:
		// A reconciled machine runs no task of an earlier leader that this leader does not know: its
		// record says so, its worker lease has certainly expired without a response, or a heartbeat with
		// this term's token has reported its tasks. All later starts carry this token, so a
		// heartbeat with tasks but without the token is an old copy.
		return machine.Reconciled && !r.carriesToken(heartbeat) && len(heartbeat.Tasks) > 0
	}
}

// logDuplicateName logs once per machine that two workers use its name, or that a copy of a heartbeat
// was altered in transit. Only heartbeats of the first worker are accepted until its worker lease has
// certainly expired. Otherwise a new epoch of the second worker would be mistaken for the end of all
// tasks of the first.
func (r *Reconciler) logDuplicateName(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat) {
	if machine.DuplicateName {
		return
	}
	machine.DuplicateName = true
	r.Log.Warn("heartbeat ignored: another worker uses the same machine name", "machine", machine.Name,
		"address", machine.Address, "otherAddress", heartbeat.Address)
}

// beginEpoch processes the first heartbeat of a new epoch of a worker. It releases the attempts that
// were sent to the machine, because the worker has killed all tasks of earlier epochs.
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
	// not reach it, or the worker restarted at once. If the worker executes the next command, it had
	// restarted. If it begins another epoch without any sign of a delivered response, responses do
	// not reach it.
	machine.MissedResponses++
	if machine.UnexpectedRestart {
		machine.MissedResponses = max(machine.MissedResponses, maxMissedResponses)
	}
	machine.UnexpectedRestart = true
}
