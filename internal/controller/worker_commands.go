package controller

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// maxCommandsPerResponse keeps a response well below 64 KiB.
const maxCommandsPerResponse = 300

// appendAttemptCommands adds the commands to stop and start task attempts to those of the
// reconciliation.
func (l *leader) appendAttemptCommands(m *cluster.Machine, commands []protocol.Command) []protocol.Command {
	if commands == nil {
		commands = []protocol.Command{}
	}
	startCount := 0
	for _, attempt := range m.AttemptsInOrder {
		if len(commands) >= maxCommandsPerResponse {
			break
		}
		switch {
		case attempt.StopGrace != nil && attempt.Phase != cluster.AttemptAssigned:
			if !l.recovery.MayStopTask(attempt.Job) {
				continue
			}
			commands = append(commands, protocol.Command{
				Kind: protocol.CommandStop, TaskID: attempt.Key(), Attempt: attempt.Number, GraceSeconds: attempt.StopGrace})
		case attempt.Phase == cluster.AttemptAssigned && m.TokenAcknowledged && m.UseDurable:
			if !l.recovery.MayStartTask(attempt, startCount) {
				continue
			}
			startCount++
			attempt.Phase = cluster.AttemptSent
			if !attempt.Job.StartCommandSent {
				attempt.Job.StartCommandSent = true
				l.node.traceStep(attempt.Job.Spec.ID, stepFirstStart, attempt.Key()+" on "+m.Name)
			}
			commands = append(commands, protocol.Command{Kind: protocol.CommandStart, TaskID: attempt.Key(), Attempt: attempt.Number})
		}
	}
	return commands
}
