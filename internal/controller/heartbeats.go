package controller

import (
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// onWorkerHeartbeat processes the heartbeat of a worker and responds with the commands for it.
func (l *leader) onWorkerHeartbeat(request Request) {
	node, heartbeat := l.node, request.Heartbeat
	if !l.recordsLoaded {
		l.queueEarlyHeartbeat(request)
		return
	}
	l.lastWorkerHeartbeat = node.now
	if heartbeat.FencingToken > l.term {
		l.recovery.NoteMismatch(recovery.NewerToken, heartbeat.Machine, "")
		// The worker has seen a newer leader and would drop the responses of this one.
		node.replyUnavailable(request.Origin)
		node.stepDown("a worker has seen a higher token")
		return
	}
	m := l.reportingMachine(heartbeat)
	if m == nil || l.isStaleHeartbeat(m, heartbeat) {
		node.replyUnavailable(request.Origin)
		return
	}
	commands := l.applyHeartbeat(m, heartbeat, request.Origin.Peer)
	if l.drainIfCommandsUndelivered(m) {
		// The response would be lost, and a 200 would only postpone the time from which the
		// worker's lease has certainly expired.
		node.replyUnavailable(request.Origin)
		return
	}
	l.cancelMissedHeartbeatDrain(m)
	l.ApplyPreemptionNotice(m, heartbeat.PreemptionNoticeSeconds)
	if !m.UseDurable {
		l.recordMachine(m, true)
	}
	l.ScheduleOnMachine(m)
	l.sendNextTransaction()
	if node.leader != l || !node.holdsLeaderLease() {
		node.replyUnavailable(request.Origin)
		return
	}
	m.LastResponse, m.UnconfirmedResponse = node.now, &protocol.HeartbeatResponse{FencingToken: l.term, Commands: l.appendAttemptCommands(m, commands)}
	node.reply(request.Origin, 200, 0, m.UnconfirmedResponse)
}

// queueEarlyHeartbeat holds a heartbeat until all records have been read.
func (l *leader) queueEarlyHeartbeat(request Request) {
	if len(l.earlyHeartbeats) >= l.node.maxEarlyHeartbeats() || l.node.election.storeUnavailable() {
		l.node.replyUnavailable(request.Origin)
		return
	}
	l.earlyHeartbeats = append(l.earlyHeartbeats, request)
}
