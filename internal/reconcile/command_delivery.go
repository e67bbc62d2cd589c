package reconcile

import (
	"slices"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// maxMissedResponses is the number of consecutive responses without a sign of delivery after which
// commands count as undelivered. It is above 2 because a worker that hung for a moment, or whose
// response came after its timeout, misses one or two responses.
const maxMissedResponses = 3

// trackCommandDelivery checks whether a heartbeat shows that the last response was delivered, and
// counts consecutive responses without such a sign in machine.MissedResponses. The signs are the
// fencing token and the effect of the first command, because workers execute commands in order. If
// the response had no commands, deliveryConfirmed is the sign: the worker uses the same route again.
// Without this last rule, a machine that had missed a response while idle got no more commands and could
// never show a sign of delivery.
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

// commandExecuted reports whether a heartbeat shows the effect of a command. An attempt to start must
// be reported, an attempt to forget must not be reported, and an attempt to stop must be reported as
// checkpointing or exited, or not at all.
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

// drainIfCommandsUndelivered drains a machine whose heartbeats arrive although responses do not reach
// it, and reports whether it is drained for this reason. As its heartbeats look healthy, the machine
// would otherwise keep its assigned tasks, count as capacity, and hold up jobs of earlier terms after a
// takeover. It gets no more tasks or responses and is returned to the cloud. Its attempts end when a
// heartbeat shows that they have ended, when the worker lease expires, or when the machine terminates.
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
	r.Log.Info("draining machine: heartbeat responses do not reach it",
		"machine", machine.Name, "tasks", len(machine.Attempts))
	r.BeginDrain(machine, cluster.CommandsUndelivered)
	return true
}

// mostMachinesMissResponses reports whether more than half of the machines that are up miss responses.
// The fault is then in this node's connections and not in a single machine, so no machine is drained for it.
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
