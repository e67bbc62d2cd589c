package controller

import (
	"net/http"

	"hitchdoor/internal/admissioncontrol"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/election"
	"hitchdoor/internal/storage"
)

// This file connects a node with admission control: the node evaluates submissions by the admission
// policy and reports the rejected ones to the leader.

// admissionHost gives admission control access to its node. It implements
// admissioncontrol.PolicyHost and admissioncontrol.PublisherHost.
type admissionHost struct{ node *Node }

// Now returns the time of the current step.
func (h admissionHost) Now() clock.Instant { return h.node.now }

// ReadRecord reads a record of the key-value store and passes the HTTP status and the body of the
// response to onResponse. Status 0 means that there was no usable response.
func (h admissionHost) ReadRecord(key string, onResponse func(status int, body []byte)) {
	h.node.storeCall(http.MethodGet, "/store/"+key, nil, func(result CallResult) {
		onResponse(result.Status, result.Body)
	})
}

// SubmissionsPerSecond returns the rate at which the whole cluster may write submissions.
func (h admissionHost) SubmissionsPerSecond() float64 { return h.node.submissionQueue.ClusterRate() }

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
// there is none.
func (l *leader) loadAdmissionPolicy(items []storage.Item) {
	l.writer.NoteRevisions(items)
	l.admission.LoadStoredPolicy(items, l.loader.JobsRevision())
}

// evaluateSubmission queues a submission to be written if the admission policy admits it. Otherwise
// it rejects the submission and tells the user when to retry.
func (n *Node) evaluateSubmission(submission *userSubmission) {
	policy := n.admissionPolicy
	if policy.Invalid {
		n.replyFromStore(submission.request, submission.leader, retryLater)
		return
	}
	job := submission.request.Job
	group := admissioncontrol.GroupOf(job)
	verdict := policy.Current.Evaluate(group, job.ID)
	n.traceStep(job.ID, stepAdmissionVerdict, verdictNote(verdict))
	if verdict.Admit {
		submission.write.PolicyRevision = policy.RecordRevision
		n.submissionQueue.Add(submission.write)
		return
	}
	policy.CountPolicyRejection(group)
	n.policyRejections.Put(job.ID, group)
	n.rejectByPolicy(submission, admissionDeferred(policy.RetryAfterSeconds(verdict)))
}

// rejectByPolicy rejects a submission that the policy does not admit yet, unless the key-value store
// has a record of the job already. If too little of the read budget is left to look that up, it
// rejects the submission without the lookup; the user retries.
func (n *Node) rejectByPolicy(submission *userSubmission, response errorResponse) {
	if !n.jobReader.HasSpareReads() {
		n.reply(submission.request.Origin, response.status, response.retryAfterSeconds, response)
		return
	}
	n.replyFromStore(submission.request, submission.leader, response)
}

// rejectForCapacity rejects an admitted submission that can't be written in time; the user retries.
func (n *Node) rejectForCapacity(submission *userSubmission) {
	job := submission.request.Job
	if !n.election.StoreUnavailable() {
		n.admissionPolicy.CountCapacityRejection(job, submission.write.PolicyRevision)
	}
	n.traceStep(job.ID, stepRejected, "")
	n.replyUnavailable(submission.request.Origin)
}

// tickAdmission reads the admission policy if a peer knows a newer one, and reports the submissions
// that this node rejected to the leader, at most once per interval of the peers' heartbeats.
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
