package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hitchdoor/internal/clock"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// This file is the part of admission that every node has: it follows the policy's record and
// evaluates submissions by it. The leader's part, which publishes policies, is in
// admission_control.go.

// admissionPolicyState is the admission policy's record as this node knows it.
type admissionPolicyState struct {
	current              *admission.Policy // nil: there is no record, or it is invalid
	version              uint64            // of the record; 0: there is none
	revision             uint64            // of the last known change of the record, its removal included
	knownSince           clock.Instant     // when this node learnt of it; the epoch began no later
	invalid              bool              // the record can't be decoded, so no submission is admitted
	reading              bool
	readCallbacks        []func() // called once the record is read
	loggedInvalidVersion uint64   // the invalid version that was logged last
}

// admissionGroup is the admission group that a job belongs to.
func admissionGroup(spec *protocol.Job) admission.Group {
	return admission.Group{Team: spec.Team, Class: spec.Class, PriorityRank: spec.PriorityRank()}
}

// evaluateSubmission queues a submission to be written if the policy admits it, and otherwise
// answers when the policy will.
func (n *Node) evaluateSubmission(submission pendingSubmission) {
	if n.admissionPolicy.invalid {
		n.answerFromStore(submission.request, submission.leader, retryLater)
		return
	}
	group := admissionGroup(submission.request.Job)
	verdict := n.admissionPolicy.current.Evaluate(group, submission.request.Job.ID)
	n.traceStep(submission.request.Job.ID, stepAdmissionVerdict, verdictNote(verdict))
	if verdict.Admit {
		submission.policyVersion = n.admissionPolicy.version
		n.queueSubmission(submission)
		return
	}
	n.countGroupLoad(group, func(load *protocol.GroupLoad) { load.RejectedByPolicy++ })
	n.policyRejections.put(submission.request.Job.ID, group)
	n.rejectByPolicy(submission, admissionDeferred(n.retryAfterSeconds(verdict)))
}

// rejectByPolicy rejects a submission that the policy does not admit yet, unless the job is known
// already. If too little of the read budget is left to find that out, it is rejected in either
// case; the user retries.
func (n *Node) rejectByPolicy(submission pendingSubmission, response errorResponse) {
	if !n.jobReader.hasSpareReads() {
		n.reply(submission.request.Origin, response.status, response.retryAfterSeconds, response)
		return
	}
	n.answerFromStore(submission.request, submission.leader, response)
}

// Bounds of the waiting time that follows from a policy, so that no record overflows a duration.
const (
	maxEpochsAhead = 1 << 16
	maxEpochMS     = 3_600_000
)

// retryAfterSeconds is the number of seconds until the policy admits a job.
func (n *Node) retryAfterSeconds(verdict admission.Verdict) int {
	state := &n.admissionPolicy
	epochs := time.Duration(min(verdict.EpochsToTurn, maxEpochsAhead))
	turn := state.knownSince + epochs*time.Duration(min(state.current.EpochLengthMS, maxEpochMS))*time.Millisecond
	return max(1, int((turn-n.now+time.Second-1)/time.Second))
}

// rejectForCapacity rejects an admitted submission that can't be written in time; the user retries.
// A job counts once per epoch, however often its user retries.
func (n *Node) rejectForCapacity(submission pendingSubmission) {
	jobID := submission.request.Job.ID
	if !n.election.storeUnavailable() && submission.policyVersion == n.admissionPolicy.version && !n.rejectedJobs[jobID] {
		if len(n.rejectedJobs) < recentJobsLimit {
			n.rejectedJobs[jobID] = true
		}
		n.countGroupLoad(admissionGroup(submission.request.Job), func(load *protocol.GroupLoad) { load.RejectedForCapacity++ })
	}
	n.traceStep(jobID, stepRejected, "")
	n.replyUnavailable(submission.request.Origin)
}

// resetEpochCounts resets the counts of the last epoch.
func (n *Node) resetEpochCounts() {
	clear(n.unreportedLoads)
	clear(n.rejectedJobs)
	n.rejectedJobsSince = n.now
}

// countGroupLoad updates the counts of a group's submissions that this node reports to the leader.
func (n *Node) countGroupLoad(group admission.Group, increment func(*protocol.GroupLoad)) {
	load := n.unreportedLoads[group]
	if load == nil {
		if len(n.unreportedLoads) >= protocol.MaxGroupLoads {
			return // submissions under very many names; the groups counted so far show the overload
		}
		load = &protocol.GroupLoad{Team: group.Team, Class: group.Class, PriorityRank: group.PriorityRank}
		n.unreportedLoads[group] = load
	}
	increment(load)
}

// tickAdmission reports the submissions that this node did not accept to the leader, at most once
// per heartbeat, and reads the policy if a peer knows a newer one.
func (n *Node) tickAdmission() {
	if n.admissionPolicy.isOutdated(n.peers) && !n.admissionPolicy.reading && !n.election.storeFailing() {
		n.readPolicy(nil)
	}
	if n.admissionPolicy.version == 0 && n.now >= n.rejectedJobsSince+n.epochLength() {
		clear(n.rejectedJobs)
		n.rejectedJobsSince = n.now
	}
	if len(n.unreportedLoads) == 0 || n.now < n.loadsReportedAt+n.workerLease()/peerHeartbeatsPerLease {
		return
	}
	n.loadsReportedAt = n.now
	message := protocol.AdmissionLoad{PolicyRevision: n.admissionPolicy.version, Groups: sortedLoads(n.unreportedLoads)}
	clear(n.unreportedLoads)
	switch leaderPeer := n.leaderPeer(); {
	case n.holdsLeaderLease():
		n.leader.admission.addNodeLoad(message)
	case leaderPeer != nil:
		n.send(leaderPeer.name, message)
	}
}

// sortedLoads lists the loads by team, class and rank.
func sortedLoads(loads map[admission.Group]*protocol.GroupLoad) []protocol.GroupLoad {
	sorted := make([]protocol.GroupLoad, 0, len(loads))
	for _, load := range loads {
		sorted = append(sorted, *load)
	}
	slices.SortFunc(sorted, func(a, b protocol.GroupLoad) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class), a.PriorityRank-b.PriorityRank)
	})
	return sorted
}

// isOutdated reports whether some peer knows a newer change of the record.
func (p *admissionPolicyState) isOutdated(peers map[string]*peer) bool {
	for _, other := range peers {
		if other.policyRevision > p.revision {
			return true
		}
	}
	return false
}

// readPolicy reads the record and then calls onRead, which may be nil, and all other callbacks
// that wait for it.
func (n *Node) readPolicy(onRead func()) {
	state := &n.admissionPolicy
	if onRead != nil {
		state.readCallbacks = append(state.readCallbacks, onRead)
	}
	if state.reading {
		return
	}
	state.reading = true
	n.storeCall("GET", "/store/"+storage.AdmissionPolicyKey, nil, func(result CallResult) {
		state.reading = false
		var item storage.Item
		var notFound storage.TxnResponse
		switch {
		case result.Status == 200 && json.Unmarshal(result.Body, &item) == nil:
			n.applyPolicyRecord(item)
		case result.Status == 404 && json.Unmarshal(result.Body, &notFound) == nil:
			n.notePolicyRemoved(notFound.Revision)
		}
		callbacks := state.readCallbacks
		state.readCallbacks = nil
		for _, callback := range callbacks {
			callback()
		}
	})
}

// applyPolicyRecord applies the record as it was read or written, unless it is older than the one
// known.
func (n *Node) applyPolicyRecord(item storage.Item) {
	state := &n.admissionPolicy
	if item.ModRevision < state.revision {
		return // a delayed response with an older version
	}
	if item.ModRevision == state.version {
		return
	}
	state.version, state.revision, state.knownSince = item.ModRevision, item.ModRevision, n.now
	n.resetEpochCounts()
	policy := &admission.Policy{}
	err := json.Unmarshal(item.Value, policy)
	if err == nil {
		err = policy.Validate()
	}
	if state.invalid = err != nil; state.invalid {
		state.current = nil
		if state.loggedInvalidVersion != item.ModRevision {
			state.loggedInvalidVersion = item.ModRevision
			n.log.Error("admission policy invalid, rejecting submissions", "version", item.ModRevision, "error", err)
		}
		return
	}
	state.current = policy
}

// notePolicyRemoved records that there was no policy at a revision of the key-value store.
func (n *Node) notePolicyRemoved(revision uint64) {
	state := &n.admissionPolicy
	if revision < state.revision {
		return
	}
	if state.current != nil || state.invalid {
		n.log.Info("admission policy removed")
	}
	if state.version != 0 {
		n.resetEpochCounts()
	}
	*state = admissionPolicyState{revision: revision, reading: state.reading,
		readCallbacks: state.readCallbacks, loggedInvalidVersion: state.loggedInvalidVersion}
}

// onlyPolicyChanged reports whether a transaction failed only because the policy has changed. Then
// the job is still unknown and its submission is evaluated again.
func onlyPolicyChanged(failedKeys []string, jobID string) bool {
	return slices.Contains(failedKeys, storage.AdmissionPolicyKey) &&
		!slices.Contains(failedKeys, storage.JobKey(jobID)) && !slices.Contains(failedKeys, storage.TerminalKey(jobID))
}

// onAdmissionStatus answers an operator's request for this node's admission policy and, if it
// names a job, for the job's admission.
func (n *Node) onAdmissionStatus(request Request) {
	status := admission.NodeStatus{Node: n.cfg.Node, IsLeader: n.holdsLeaderLease(), Enabled: n.settings.FairAdmission,
		Version: n.admissionPolicy.version, Invalid: n.admissionPolicy.invalid, Policy: n.admissionPolicy.current}
	if n.admissionPolicy.version != 0 {
		status.PolicyAgeSeconds = (n.now - n.admissionPolicy.knownSince).Round(time.Millisecond).Seconds()
	}
	if status.IsLeader {
		status.EpochCapacity = n.leader.admission.epochCapacity().Jobs
		status.WaitingGroups = n.leader.waitingGroups()
	}
	if request.JobID != "" {
		status.Job = n.jobAdmissionStatus(request.JobID)
	}
	n.reply(request.Origin, 200, 0, status)
}

// jobAdmissionStatus is what this node knows of a job's admission.
func (n *Node) jobAdmissionStatus(jobID string) *admission.JobStatus {
	status := &admission.JobStatus{ID: jobID, Accepted: n.jobReader.knownAccepted(jobID)}
	group, rejected := n.policyRejections.get(jobID)
	if status.Accepted || !rejected {
		return status
	}
	status.RejectedGroup = &group
	verdict := n.admissionPolicy.current.Evaluate(group, jobID)
	if status.AdmittedNow = verdict.Admit && !n.admissionPolicy.invalid; !status.AdmittedNow {
		status.TurnInSeconds = n.retryAfterSeconds(verdict)
	}
	return status
}

// waitingGroups counts, by group, the accepted jobs of which no task has started.
func (l *leader) waitingGroups() []admission.WaitingGroup {
	counts := map[admission.Group]int{}
	for _, job := range l.RunnableJobs {
		if job.FirstStartAt == 0 && job.DoneTasks == 0 && len(job.Attempts) == 0 {
			counts[admissionGroup(&job.Spec)]++
		}
	}
	groups := slices.SortedFunc(maps.Keys(counts), func(a, b admission.Group) int {
		return cmp.Or(a.PriorityRank-b.PriorityRank, cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	waiting := make([]admission.WaitingGroup, len(groups))
	for i, group := range groups {
		waiting[i] = admission.WaitingGroup{Group: group, Jobs: counts[group]}
	}
	return waiting
}
