package controller

import (
	"net/http"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/rejection"
)

// onWorkerHeartbeat processes the heartbeat of a worker and responds with the commands for that worker.
func (l *leader) onWorkerHeartbeat(request Request) {
	node, heartbeat := l.node, request.Heartbeat
	if !l.recordsLoaded {
		l.queueEarlyHeartbeat(request)
		return
	}
	l.lastWorkerHeartbeat = node.now
	if heartbeat.FencingToken > l.term {
		l.recovery.NoteMismatch(recovery.NewerToken, heartbeat.Machine, "")
		// The worker has seen the token of a newer leader and would discard this leader's response.
		node.reject(request, rejection.TermEnded)
		node.stepDown("a worker has seen a higher token")
		return
	}
	result, ok := l.reconciler.Reconcile(heartbeat, request.Origin.Peer)
	if !ok {
		node.reject(request, rejection.HeartbeatRefused)
		return
	}
	l.ScheduleOnMachine(result.Machine)
	l.writer.SendNext()
	if node.leader != l || !node.holdsLeaderLease() {
		node.reject(request, rejection.TermEnded)
		return
	}
	node.reply(request.Origin, http.StatusOK, 0, l.reconciler.Respond(result))
}

// queueEarlyHeartbeat queues a heartbeat until all records are loaded. It rejects the heartbeat if
// the queue is full or the key-value store is unavailable.
func (l *leader) queueEarlyHeartbeat(request Request) {
	if len(l.earlyHeartbeats) >= l.node.maxEarlyHeartbeats() || l.node.election.StoreUnavailable() {
		l.node.reject(request, rejection.LeaderLoading)
		return
	}
	l.earlyHeartbeats = append(l.earlyHeartbeats, request)
}

// arrivedBySameRoute reports whether a worker's heartbeat arrived by the same route as the previous
// one. If so, the response to the previous one has reached the worker, because a worker that gets no
// response turns to another node. In a cluster of a single node there is no other route, so that
// nothing can be concluded.
func (l *leader) arrivedBySameRoute(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat,
	relayPeer string) bool {
	return len(l.node.peers) > 0 && machine.LastHeartbeat != clock.Never && machine.RelayPeer == relayPeer &&
		heartbeat.Epoch == machine.Epoch && heartbeat.Sequence == machine.HeartbeatSeq+1
}

// reconcilerHost implements reconcile.Host for a leader.
type reconcilerHost struct{ leader *leader }

// RecordMachine queues a write that stores a machine as one that may have tasks.
func (h reconcilerHost) RecordMachine(machine *cluster.Machine) {
	h.leader.machineRecords.Record(machine, true)
}

// MarkTaskDone marks a task as completed and queues a write that stores the completion.
func (h reconcilerHost) MarkTaskDone(job *cluster.Job, taskIndex int) {
	h.leader.jobRecords.MarkTaskDone(job, taskIndex)
}

// ClosedJobState returns the state of a job according to its terminal record or unreadable record:
// terminal, or quarantined if the record can't be used. Without such a record the state is unknown.
func (h reconcilerHost) ClosedJobState(jobID string) recovery.JobState {
	if _, isTerminal := h.leader.node.jobReader.TerminalRecord(jobID); isTerminal {
		return recovery.JobStateTerminal
	}
	if h.leader.quarantine.IsUnreadableJob(jobID) {
		return recovery.JobStateQuarantined
	}
	return recovery.JobStateUnknown
}

// TerminalJobsLoaded reports whether the records of all terminal jobs have been read, so that a job
// without any record was certainly never stored.
func (h reconcilerHost) TerminalJobsLoaded() bool {
	return h.leader.node.jobReader.TerminalJobsLoaded()
}

// ConfirmDelivery reports whether the route of a heartbeat shows that this leader's last response has
// reached the worker. If so, it records the delivery. relayPeer is the peer that relayed the heartbeat, or empty.
func (h reconcilerHost) ConfirmDelivery(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat,
	relayPeer string) bool {
	if !h.leader.arrivedBySameRoute(machine, heartbeat, relayPeer) {
		return false
	}
	h.leader.recordDelivery(machine, relayPeer)
	return true
}

// TraceFirstStart adds the first start command of a job in this term to the job's trace.
func (h reconcilerHost) TraceFirstStart(attempt *cluster.TaskAttempt) {
	h.leader.node.traceStep(attempt.Job.Spec.ID, stepFirstStart, attempt.Key()+" on "+attempt.Machine.Name)
}

// TraceFirstRunning adds the first running attempt of a job to the job's trace.
func (h reconcilerHost) TraceFirstRunning(attempt *cluster.TaskAttempt) {
	job := attempt.Job
	h.leader.node.traceStep(job.Spec.ID, stepFirstRunning,
		attempt.Key()+" on "+attempt.Machine.Name+" after "+h.leader.jobAge(job))
}
