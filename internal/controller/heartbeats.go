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
func (l *leader) arrivedBySameRoute(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat, via string) bool {
	return len(l.node.peers) > 0 && machine.LastHeartbeat != clock.Never && machine.RelayPeer == via &&
		heartbeat.Epoch == machine.Epoch && heartbeat.Sequence == machine.HeartbeatSeq+1
}

// reconcilerAdapter gives the reconciler what it needs from the leader. It implements its host
// interface.
type reconcilerAdapter struct{ leader *leader }

// RecordMachine makes a machine durable as one that may have tasks.
func (a reconcilerAdapter) RecordMachine(machine *cluster.Machine) {
	a.leader.machineRecords.Record(machine, true)
}

// MarkTaskDone records that a task is completed and makes that durable.
func (a reconcilerAdapter) MarkTaskDone(job *cluster.Job, taskIndex int) {
	a.leader.jobRecords.MarkTaskDone(job, taskIndex)
}

// ClosedJobState returns the state of a job according to its terminal record, or to one that can't be
// read.
func (a reconcilerAdapter) ClosedJobState(jobID string) recovery.JobState {
	if _, isTerminal := a.leader.node.jobReader.TerminalRecord(jobID); isTerminal {
		return recovery.JobStateTerminal
	}
	if a.leader.quarantine.IsUnreadableJob(jobID) {
		return recovery.JobStateQuarantined
	}
	return recovery.JobStateUnknown
}

// TerminalJobsLoaded reports whether the records of all terminal jobs have been read.
func (a reconcilerAdapter) TerminalJobsLoaded() bool {
	return a.leader.node.jobReader.TerminalJobsLoaded()
}

// ConfirmDelivery reports whether the route of a heartbeat shows that the last response has reached
// the worker, and records that.
func (a reconcilerAdapter) ConfirmDelivery(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat,
	relayPeer string) bool {
	if !a.leader.arrivedBySameRoute(machine, heartbeat, relayPeer) {
		return false
	}
	a.leader.recordDelivery(machine, relayPeer)
	return true
}

// TraceFirstStart traces the first start command of a job in this term.
func (a reconcilerAdapter) TraceFirstStart(attempt *cluster.TaskAttempt) {
	a.leader.node.traceStep(attempt.Job.Spec.ID, stepFirstStart, attempt.Key()+" on "+attempt.Machine.Name)
}

// TraceFirstRunning traces the first task of a job that is running.
func (a reconcilerAdapter) TraceFirstRunning(attempt *cluster.TaskAttempt) {
	job := attempt.Job
	a.leader.node.traceStep(job.Spec.ID, stepFirstRunning,
		attempt.Key()+" on "+attempt.Machine.Name+" after "+a.leader.jobAge(job))
}
