package controller

import (
	"net/http"

	"hitchdoor/internal/admissioncontrol"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/election"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/storage"
)

// This file connects a node with admission control: the node evaluates submissions by the admission
// policy and reports the rejected ones to the leader.

// admissionHost implements admissioncontrol.PolicyHost and admissioncontrol.PublisherHost for a node.
type admissionHost struct{ node *Node }

// Now returns the time of the current step.
func (h admissionHost) Now() clock.Instant { return h.node.now }

// ReadRecord reads a record of the key-value store and passes the HTTP status and the body of the
// response to onResponse. Status 0 means that no usable response arrived.
func (h admissionHost) ReadRecord(key string, onResponse func(status int, body []byte)) {
	h.node.storeCall(http.MethodGet, "/store/"+key, nil, func(result CallResult) {
		onResponse(result.Status, result.Body)
	})
}

// SubmissionsPerSecond returns the rate at which the whole cluster may write submissions.
func (h admissionHost) SubmissionsPerSecond() float64 { return h.node.submissions.queue.ClusterRate() }

// PoliciesAllowed reports whether the operators enable policies and every node understands them. The
// level in a peer's heartbeat reveals a node that was downgraded after it had written its version
// record.
func (h admissionHost) PoliciesAllowed() bool {
	node := h.node
	if !node.settings.FairAdmission || !node.clusterSupports(protocolLevelAdmission) {
		return false
	}
	for _, peer := range node.peers {
		if node.PeerReachable(peer.Name) && peer.protocolLevel < protocolLevelAdmission {
			return false
		}
	}
	return true
}

// loadAdmissionPolicy loads the admission policy that an earlier leader stored. items is empty if
// no policy is stored.
func (l *leader) loadAdmissionPolicy(items []storage.Item) {
	l.writer.NoteRevisions(items)
	l.admission.LoadStoredPolicy(items, l.loader.JobsRevision())
}

// evaluate queues a submission to be written if the admission policy admits it. Otherwise,
// or if the stored policy is invalid, it tells the user when to retry.
func (h *submissionHandler) evaluate(submission *userSubmission) {
	policy := h.node.admissionPolicy
	if policy.Invalid {
		h.node.replyFromStore(submission.request, submission.leader, retryLater)
		return
	}
	job := submission.request.Job
	group := admissioncontrol.GroupOf(job)
	verdict := policy.Current.Evaluate(group, job.ID)
	h.node.traceStep(job.ID, stepAdmissionVerdict, verdictNote(verdict))
	if verdict.Admit {
		submission.write.PolicyRevision = policy.RecordRevision
		h.queue.Add(submission.write)
		return
	}
	policy.CountPolicyRejection(group)
	h.node.policyRejections.Put(job.ID, group)
	h.rejectByPolicy(submission, admissionDeferred(policy.RetryAfterSeconds(verdict)))
}

// rejectByPolicy rejects a submission that the policy does not admit yet, unless the key-value store
// has a record of the job already. If less than half of the budget for reads on behalf of users is
// left, it rejects the submission without looking for a record; the user retries.
func (h *submissionHandler) rejectByPolicy(submission *userSubmission, response errorResponse) {
	if !h.node.jobReader.HasSpareReads() {
		h.node.rejections.Add(protocol.RequestSubmit, rejection.Deferred)
		h.node.reply(submission.request.Origin, response.status, response.retryAfterSeconds, response)
		return
	}
	h.node.replyFromStore(submission.request, submission.leader, response)
}

// rejectForCapacity rejects an admitted submission that can't be written in time; the user retries. The
// rejection counts as load, except while the key-value store is unavailable.
func (h *submissionHandler) rejectForCapacity(submission *userSubmission) {
	job := submission.request.Job
	if !h.node.election.StoreUnavailable() {
		h.node.admissionPolicy.CountCapacityRejection(job, submission.write.PolicyRevision)
	}
	h.node.traceStep(job.ID, stepRejected, "")
	h.node.reject(submission.request, rejection.OverCapacity)
}

// tickAdmission reads the admission policy if a peer knows a newer one. It also reports to the leader
// the submissions that this node rejected, at most once per interval of the heartbeats between nodes.
func (n *Node) tickAdmission() {
	if n.admissionPolicy.NeedsRead() && !n.election.StoreFailing() {
		n.admissionPolicy.Read(nil)
	}
	n.admissionPolicy.StartEpochWithoutPolicy()
	report, due := n.admissionPolicy.TakeLoadReport(n.workerLease() / election.HeartbeatsPerWorkerLease)
	if !due {
		return
	}
	switch leaderPeer := n.leaderPeer(); {
	case n.holdsLeaderLease():
		n.leader.admission.AddNodeLoad(report)
	case leaderPeer != nil:
		n.send(leaderPeer.Name, report)
	}
}
