package controller

import (
	"slices"

	"hitchdoor/internal/clock"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// errorResponse is the response to a user about a job that the key-value store has no record of.
type errorResponse struct {
	status            int
	retryAfterSeconds int    // 0: the error is permanent
	Error             string `json:"error"`
}

// The responses to users about unknown jobs. Their texts are part of the HTTP interface.
var (
	jobNotFound       = errorResponse{404, 0, "no such job"}
	jobTooLarge       = errorResponse{400, 0, "the job is too large to be stored"}
	jobUnschedulable  = errorResponse{422, 0, "unknown team, or a task that fits no machine type or the team's limit"}
	unknownDependency = errorResponse{422, 0, "aguarda: names a job that was never accepted"}
	retryLater        = errorResponse{503, 1, "can't be taken now"}
)

// admissionDeferred is the response to a submission that the admission policy admits only after
// some seconds.
func admissionDeferred(retryAfterSeconds int) errorResponse {
	return errorResponse{503, retryAfterSeconds, "more is submitted than can be taken"}
}

// isSchedulable reports whether the job's team exists and may use enough resources for one task,
// and whether a task of the job fits some machine type.
func (n *Node) isSchedulable(spec *protocol.Job) bool {
	team := n.cfg.Cluster.Team(spec.Team)
	if team == nil {
		return false
	}
	if (team.MaxCPUs > 0 && spec.Cores > team.MaxCPUs) || (team.MaxGPUs > 0 && spec.Accelerators > team.MaxGPUs) {
		return false
	}
	for _, machineType := range n.catalog {
		if fleet.FitsType(spec, machineType) {
			return true
		}
	}
	return false
}

// pendingSubmission is a submission that waits to be written to the key-value store.
type pendingSubmission struct {
	request  Request
	record   storage.JobRecord
	writes   []storage.Write // of the record; encoded once, because they may be sent again
	leader   *leader         // the leader that received it; nil on a follower
	deadline clock.Instant   // when it is rejected if it has not been written
	retries  int
	// policyVersion is the version of the admission policy record that admitted it.
	policyVersion uint64
}

// submitToStore validates a submission and queues it to be written on condition that the job is
// unknown. The user is answered after the write. Any node may do so, because the leader watches
// the open jobs.
func (n *Node) submitToStore(request Request, asLeader *leader) {
	if n.catalog == nil || n.election.storeUnavailable() {
		n.replyUnavailable(request.Origin)
		return
	}
	record := storage.JobRecord{Spec: *request.Job, AcceptedAtMillis: n.nowUnixMilli()}
	limits := &n.cfg.Cluster.Store
	writes := storage.JobWrites(record, limits.MaxValueBytes())
	// A job that was accepted once stays accepted, even if the catalogue or the limits have
	// shrunk since, or if this node knows less than the one that accepted it. Therefore each
	// error below is returned only for a job that has no record.
	schedulable := n.isSchedulable(request.Job)
	switch {
	case !storage.FitsTxn(writes, limits.MaxValueBytes(), limits.MaxTxnOps()):
		n.answerFromStore(request, asLeader, jobTooLarge) // no record can hold it, so a retry can't succeed
		return
	case !schedulable && !n.catalogConfirmed:
		n.answerFromStore(request, asLeader, retryLater) // the stored catalogue may be outdated
		return
	case !schedulable:
		n.answerFromStore(request, asLeader, jobUnschedulable)
		return
	case slices.Contains(request.Job.Dependencies, request.Job.ID):
		n.answerFromStore(request, asLeader, unknownDependency)
		return
	case len(request.Job.Dependencies) > 0 && !n.clusterSupports(protocolLevelDependencies):
		// A node of an earlier version would ignore the dependencies and start the job at once.
		// Wait until the version record of each node says that it understands them.
		n.answerFromStore(request, asLeader, retryLater)
		return
	}
	unconfirmed := n.withoutKnownAcceptance(request.Job.Dependencies)
	if len(unconfirmed) > maxDirectJobReads && asLeader == nil && n.forwardSubmissionOnce(request) {
		return // the leader has most of them in memory
	}
	submission := pendingSubmission{request: request, record: record, writes: writes, leader: asLeader,
		deadline: n.now + n.workerLease()/10}
	n.readAcceptance(unconfirmed, func(ok, allAccepted bool) {
		switch {
		case !ok:
			n.answerFromStore(request, asLeader, retryLater)
		case !allAccepted:
			n.answerFromStore(request, asLeader, unknownDependency)
		default:
			n.evaluateSubmission(submission)
		}
	})
}

// queueSubmission queues an admitted submission for writing, because users submit in bursts and
// the key-value store limits the rate of writes.
func (n *Node) queueSubmission(submission pendingSubmission) {
	if len(n.pendingSubmissions) >= n.maxPendingRequests() {
		n.rejectForCapacity(submission)
		return
	}
	n.pendingSubmissions = append(n.pendingSubmissions, submission)
	n.writeQueuedSubmissions()
}

// noteContention records that the key-value store refused a submission because of its rate limit.
func (n *Node) noteContention() {
	n.contendedUntil = n.now + n.workerLease()
	n.submissionBudget.Tokens = 0
}

// updateSubmissionRate sets the rate at which this node writes submissions. It is the rate of the
// whole cluster, because a burst mostly reaches one node. For one lease after a refusal by the
// rate limit, which shows that other nodes are writing too, it is an equal part of it.
func (n *Node) updateSubmissionRate() {
	cluster := &n.cfg.Cluster
	n.submissionBudget.Refill(n.now)
	n.submissionBudget.Rate = n.submissionBudget.Burst
	if n.now < n.contendedUntil {
		n.submissionBudget.Rate /= float64(cluster.ControllerCount)
	}
}

// writeQueuedSubmissions writes as many queued submissions as the budget allows, and rejects those
// whose deadline has passed.
func (n *Node) writeQueuedSubmissions() {
	if len(n.pendingSubmissions) == 0 {
		return
	}
	n.updateSubmissionRate()
	queue := n.pendingSubmissions
	n.pendingSubmissions = nil
	for _, submission := range queue {
		switch {
		case n.now >= submission.deadline || n.election.storeUnavailable():
			n.rejectForCapacity(submission)
		case n.submissionBudget.Take(n.now, min(n.submissionBudget.Burst, float64(len(submission.writes)))):
			n.writeSubmission(submission)
		default:
			n.pendingSubmissions = append(n.pendingSubmissions, submission)
		}
	}
}

// writeSubmission writes a submission in one transaction, on condition that the job is unknown and
// the admission policy is the one that admitted it, and answers the user.
func (n *Node) writeSubmission(submission pendingSubmission) {
	jobID := submission.record.Spec.ID
	txn := storage.Txn{
		Conditions: []storage.Condition{{Key: storage.JobKey(jobID)}, {Key: storage.TerminalKey(jobID)},
			{Key: storage.AdmissionPolicyKey, ModRevision: submission.policyVersion}},
		Writes: submission.writes,
	}
	n.storeCall("POST", "/multi", txn, func(response CallResult) {
		var txnResult storage.TxnResponse
		switch {
		case response.Status == 200 && json.Unmarshal(response.Body, &txnResult) == nil:
			n.acceptedJobs.put(jobID, true)
			n.traceStep(jobID, stepStored, "")
			if submission.leader != nil && n.leader == submission.leader {
				for _, write := range submission.writes {
					submission.leader.writer.SetModRevision(write.Key(), txnResult.Revision)
				}
				submission.leader.addJob(submission.record, txnResult.Revision)
			}
			n.reply(submission.request.Origin, 201, 0, protocol.JobStatus{ID: jobID, State: protocol.JobQueued})
		case response.Status == 409 && submission.retries < maxSubmissionRetries &&
			json.Unmarshal(response.Body, &txnResult) == nil && onlyPolicyChanged(txnResult.FailedKeys, jobID):
			// The submission was admitted by the policy of another epoch.
			submission.retries++
			n.admissionPolicy.read(func() { n.evaluateSubmission(submission) })
		case response.Status == 409:
			n.answerFromStore(submission.request, submission.leader, retryLater)
		case response.Status == 400:
			// The limits have become smaller than the record. An earlier copy of the submission
			// may have been accepted all the same.
			n.answerFromStore(submission.request, submission.leader, jobTooLarge)
		case (response.Status == 0 || response.Status == 429) && submission.retries < maxSubmissionRetries:
			// The rate limit was reached, or the response was lost. The transaction's conditions
			// let only one copy succeed, so a retry is safe.
			submission.retries++
			if response.Status == 429 {
				n.noteContention()
			}
			n.queueSubmission(submission)
		case response.Status == 503 && submission.leader == nil && n.forwardSubmissionOnce(submission.request):
		case response.Status == 429:
			n.rejectForCapacity(submission)
		default:
			n.replyUnavailable(submission.request.Origin)
		}
	})
}

// onlyPolicyChanged reports whether a transaction failed only because the policy has changed. Then
// the job is still unknown and its submission is evaluated again.
func onlyPolicyChanged(failedKeys []string, jobID string) bool {
	return slices.Contains(failedKeys, storage.AdmissionPolicyKey) &&
		!slices.Contains(failedKeys, storage.JobKey(jobID)) && !slices.Contains(failedKeys, storage.TerminalKey(jobID))
}

// maxSubmissionRetries is how often the write of a submission is retried.
const maxSubmissionRetries = 3
