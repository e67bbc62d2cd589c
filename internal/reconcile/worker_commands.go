package reconcile

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// maxCommandsPerResponse is the maximum number of commands in a response. It keeps the size of a
// response well below 64 KiB.
const maxCommandsPerResponse = 300

// appendAttemptCommands appends the commands to stop and start the attempts of a machine to the
// commands of the reconciliation.
func (r *Reconciler) appendAttemptCommands(machine *cluster.Machine, commands []protocol.Command) []protocol.Command {
	if commands == nil {
		commands = []protocol.Command{} // encoded as an empty list, not as null
	}
	startedCount := 0
	for _, attempt := range machine.AttemptsInOrder {
		if len(commands) >= maxCommandsPerResponse {
			break
		}
		switch {
		case attempt.StopGrace != nil && attempt.Phase != cluster.AttemptAssigned:
			if r.recovery.MayStopTask(attempt.Job) {
				commands = append(commands, protocol.Command{
					Kind: protocol.CommandStop, TaskID: attempt.Key(),
					Attempt: attempt.Number, GraceSeconds: attempt.StopGrace,
				})
			}
		case attempt.Phase == cluster.AttemptAssigned && machine.TokenAcknowledged && machine.UseDurable:
			if r.recovery.MayStartTask(attempt, startedCount) {
				startedCount++
				commands = append(commands, r.startCommand(attempt))
			}
		}
	}
	return commands
}

// startCommand returns the command to start an attempt, and marks the attempt as sent.
func (r *Reconciler) startCommand(attempt *cluster.TaskAttempt) protocol.Command {
	attempt.Phase = cluster.AttemptSent
	if !attempt.Job.StartCommandSent {
		attempt.Job.StartCommandSent = true
		r.host.TraceFirstStart(attempt)
	}
	return protocol.Command{Kind: protocol.CommandStart, TaskID: attempt.Key(), Attempt: attempt.Number}
}
