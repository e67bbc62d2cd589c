package controller

import (
	"net/http"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
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
	result, ok := l.reconciler.Reconcile(heartbeat, request.Origin.Peer)
	if !ok {
		node.replyUnavailable(request.Origin)
		return
	}
	l.ScheduleOnMachine(result.Machine)
	l.writer.SendNext()
	if node.leader != l || !node.holdsLeaderLease() {
		node.replyUnavailable(request.Origin)
		return
	}
	node.reply(request.Origin, http.StatusOK, 0, l.reconciler.Respond(result))
}

// queueEarlyHeartbeat holds a heartbeat until all records have been read.
func (l *leader) queueEarlyHeartbeat(request Request) {
	if len(l.earlyHeartbeats) >= l.node.maxEarlyHeartbeats() || l.node.election.StoreUnavailable() {
		l.node.replyUnavailable(request.Origin)
		return
	}
	l.earlyHeartbeats = append(l.earlyHeartbeats, request)
}

// arrivedBySameRoute reports whether a worker's heartbeat arrived by the same route as the one
// before it. If so, the response to the previous one has reached the worker: without a response
// the worker would have turned to another node. With a single node nothing can be concluded.
func (l *leader) arrivedBySameRoute(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat,
	relayPeer string) bool {
	return len(l.node.peers) > 0 && machine.LastHeartbeat != clock.Never && machine.RelayPeer == relayPeer &&
		heartbeat.Epoch == machine.Epoch && heartbeat.Sequence == machine.HeartbeatSeq+1
}

// reconcilerHost gives the reconciler what it needs from the leader. It implements its host
// interface.
type reconcilerHost struct{ leader *leader }

// RecordMachine makes a machine durable as one that may have tasks.
func (h reconcilerHost) RecordMachine(machine *cluster.Machine) {
	h.leader.machineRecords.Record(machine, true)
}

// MarkTaskDone records that a task is completed and makes that durable.
func (h reconcilerHost) MarkTaskDone(job *cluster.Job, taskIndex int) {
	h.leader.jobRecords.MarkTaskDone(job, taskIndex)
}

// ClosedJobState returns the state of a job according to its terminal record, or to one that can't be
// read.
func (h reconcilerHost) ClosedJobState(jobID string) recovery.JobState {
	if _, isTerminal := h.leader.node.jobReader.TerminalRecord(jobID); isTerminal {
		return recovery.JobStateTerminal
	}
	if h.leader.quarantine.IsUnreadableJob(jobID) {
		return recovery.JobStateQuarantined
	}
	return recovery.JobStateUnknown
}

// TerminalJobsLoaded reports whether the records of all terminal jobs have been read.
func (h reconcilerHost) TerminalJobsLoaded() bool {
	return h.leader.node.jobReader.TerminalJobsLoaded()
}

// ConfirmDelivery reports whether the route of a heartbeat shows that the last response has reached
// the worker, and records that.
func (h reconcilerHost) ConfirmDelivery(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat,
	relayPeer string) bool {
	if !h.leader.arrivedBySameRoute(machine, heartbeat, relayPeer) {
		return false
	}
	h.leader.recordDelivery(machine, relayPeer)
	return true
}

// TraceFirstStart traces the first start command of a job in this term.
func (h reconcilerHost) TraceFirstStart(attempt *cluster.TaskAttempt) {
	h.leader.node.traceStep(attempt.Job.Spec.ID, stepFirstStart, attempt.Key()+" on "+attempt.Machine.Name)
}

// TraceFirstRunning traces the first task of a job that is running.
func (h reconcilerHost) TraceFirstRunning(attempt *cluster.TaskAttempt) {
	job := attempt.Job
	h.leader.node.traceStep(job.Spec.ID, stepFirstRunning,
		attempt.Key()+" on "+attempt.Machine.Name+" after "+h.leader.jobAge(job))
}
