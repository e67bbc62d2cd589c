package controller

import (
	"net/http"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/admissioncontrol"
)

// admissionStatus returns the HTTP status and the body of the admission page: this node's policy and,
// if the request names a job, whether that job is admitted.
func (p statusPages) admissionStatus(request Request) (int, any) {
	n := p.node
	policy := n.admissionPolicy
	status := admission.NodeStatus{Node: n.cfg.Node, IsLeader: n.holdsLeaderLease(), Enabled: n.settings.FairAdmission,
		PolicyRevision: policy.RecordRevision, Invalid: policy.Invalid, Policy: policy.Current}
	if policy.RecordRevision != 0 {
		status.PolicyAgeSeconds = (n.now - policy.KnownSince).Round(time.Millisecond).Seconds()
	}
	if status.IsLeader {
		status.EpochCapacity = n.leader.admission.EpochCapacity().Jobs
		status.WaitingGroups = admissioncontrol.WaitingGroups(n.leader.State)
	}
	if request.JobID != "" {
		status.Job = p.jobAdmissionStatus(request.JobID)
	}
	return http.StatusOK, status
}

// jobAdmissionStatus returns what this node knows about the admission of a job. A job that this node
// has not rejected by a policy has no RejectedGroup.
func (p statusPages) jobAdmissionStatus(jobID string) *admission.JobStatus {
	n := p.node
	status := &admission.JobStatus{ID: jobID, Accepted: n.jobReader.KnownAccepted(jobID)}
	group, rejected := n.policyRejections.Get(jobID)
	if status.Accepted || !rejected {
		return status
	}
	status.RejectedGroup = &group
	if n.admissionPolicy.Invalid {
		return status // nothing is admitted until the leader has removed the policy
	}
	verdict := n.admissionPolicy.Current.Evaluate(group, jobID)
	status.AdmittedNow = verdict.Admit
	if !status.AdmittedNow {
		status.SecondsUntilAdmitted = n.admissionPolicy.RetryAfterSeconds(verdict)
	}
	return status
}
