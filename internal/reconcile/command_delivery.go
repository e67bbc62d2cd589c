package reconcile

import (
	"slices"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// maxMissedResponses is the number of consecutive responses without a sign of delivery after which
// commands count as undelivered. A worker that hung for a moment, or whose response came after its
// timeout, misses one or two.
const maxMissedResponses = 3

// trackCommandDelivery looks in a heartbeat for signs that the last response was delivered: the
// fencing token, or the effect of its first command, as commands are executed in order. Delivery
// of a response without commands shows by the worker using the same route again. Without that rule
// a machine that had missed a response while idle got no more commands, and so could never show a
// sign of delivery.
func trackCommandDelivery(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat,
	tokenAcknowledged, deliveryConfirmed bool) {
	lastResponse := machine.UnconfirmedResponse
	machine.UnconfirmedResponse = nil
	switch {
	case lastResponse == nil:
	case !tokenAcknowledged:
		machine.MissedResponses++
	case len(lastResponse.Commands) > 0:
		if !commandExecuted(lastResponse.Commands[0], heartbeat) {
			machine.MissedResponses++
			return
		}
		machine.MissedResponses, machine.UnexpectedRestart = 0, false
	case !machine.TokenAcknowledged || deliveryConfirmed:
		machine.MissedResponses, machine.UnexpectedRestart = 0, false
	}
}

// commandExecuted reports whether a heartbeat shows that a command was executed.
func commandExecuted(command protocol.Command, heartbeat *protocol.WorkerHeartbeat) bool {
	taskIndex := slices.IndexFunc(heartbeat.Tasks,
		func(task protocol.TaskStatus) bool {
			return task.TaskID == command.TaskID && task.Attempt == command.Attempt
		})
	switch {
	case command.Kind == protocol.CommandStart:
		return taskIndex >= 0
	case taskIndex < 0:
		return true
	case command.Kind == protocol.CommandForget:
		return false
	default:
		state := heartbeat.Tasks[taskIndex].State
		return state == protocol.TaskCheckpointing || state == protocol.TaskExited
	}
}

// drainIfCommandsUndelivered drains a machine whose heartbeats arrive while responses do not reach
// it, and reports whether that is so. Its heartbeats look healthy: otherwise it would keep its
// assigned tasks, count as capacity, and block older jobs after a takeover. It gets no more tasks
// and responses and is returned. Its tasks end by a heartbeat, with the lease, or with the
// machine.
func (r *Reconciler) drainIfCommandsUndelivered(machine *cluster.Machine) bool {
	if machine.MissedResponses < maxMissedResponses {
		return false
	}
	if machine.DrainReason == cluster.CommandsUndelivered {
		return true
	}
	if r.mostMachinesMissResponses() {
		return false
	}
	r.Log.Info("commands do not reach machine", "machine", machine.Name, "tasks", len(machine.Attempts))
	r.BeginDrain(machine, cluster.CommandsUndelivered)
	return true
}

// mostMachinesMissResponses reports whether responses of this node do not get through at all, so that
// the fault is not that of a single machine.
func (r *Reconciler) mostMachinesMissResponses() bool {
	missingResponsesCount, upCount := 0, 0
	for _, machine := range r.MachinesByName() {
		if !machine.Up {
			continue
		}
		upCount++
		if machine.MissedResponses > 0 {
			missingResponsesCount++
		}
	}
	return upCount > 1 && 2*missingResponsesCount > upCount
}
