package controller

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
func (l *leader) trackCommandDelivery(m *cluster.Machine, heartbeat *protocol.WorkerHeartbeat, tokenAcknowledged, sameRoute bool) {
	lastResponse := m.UnconfirmedResponse
	m.UnconfirmedResponse = nil
	switch {
	case lastResponse == nil:
	case !tokenAcknowledged:
		m.MissedResponses++
	case len(lastResponse.Commands) > 0:
		if !commandExecuted(lastResponse.Commands[0], heartbeat) {
			m.MissedResponses++
			return
		}
		m.MissedResponses, m.UnexpectedRestart = 0, false
	case !m.TokenAcknowledged || sameRoute:
		m.MissedResponses, m.UnexpectedRestart = 0, false
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
		return heartbeat.Tasks[taskIndex].State == protocol.TaskCheckpointing || heartbeat.Tasks[taskIndex].State == protocol.TaskExited
	}
}

// drainIfCommandsUndelivered drains a machine whose heartbeats arrive while responses do not reach
// it, and reports whether that is so. Its heartbeats look healthy: otherwise it would keep its
// assigned tasks, count as capacity, and block older jobs after a takeover. It gets no more tasks
// and responses and is returned. Its tasks end by a heartbeat, with the lease, or with the
// machine.
func (l *leader) drainIfCommandsUndelivered(m *cluster.Machine) bool {
	if m.MissedResponses < maxMissedResponses {
		return false
	}
	if m.DrainReason != cluster.CommandsUndelivered {
		undeliveredCount, upCount := 0, 0
		for _, other := range l.MachinesByName() {
			if other.Up {
				upCount++
				if other.MissedResponses > 0 {
					undeliveredCount++
				}
			}
		}
		if upCount > 1 && 2*undeliveredCount > upCount {
			return false // responses of this node do not get through at all
		}
		l.node.log.Info("commands do not reach machine", "machine", m.Name, "tasks", len(m.Attempts))
		l.BeginDrain(m, cluster.CommandsUndelivered)
	}
	return true
}
