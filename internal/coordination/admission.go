package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// This file is the part of admission that every node has: it follows the policy's record and
// evaluates submissions by it. The leader's part, which publishes policies, is in
// admission_control.go.

// admissionPolicyState is the admission policy's record as this node knows it.
type policyState struct {
	policy   *admission.Policy // nil: there is no record, or it is invalid
	version  uint64            // of the record; 0: there is none
	revision uint64            // of the last known change of the record, its removal included
	since    Instant           // when this node learnt of it; the epoch began no later
	invalid  bool              // the record can't be decoded, so no submission is admitted
	reading  bool
	waiting  []func() // called once the record is read
	logged   uint64   // the invalid version that was logged last
}

// admissionGroup is the admission group that a job belongs to.
func groupOf(j *protocol.Job) admission.Group {
	return admission.Group{Team: j.Team, Class: j.Class, Rank: j.Rank()}
}

// evaluateSubmission queues a submission to be written if the policy admits it, and otherwise
// answers when the policy will.
func (n *Node) judgeSubmission(s submission) {
	if n.policy.invalid {
		n.answerKnown(s.r, s.lead, comeBack)
		return
	}
	group := groupOf(s.r.Job)
	verdict := n.policy.policy.Judge(group, s.r.Job.UID)
	n.trace(s.r.Job.UID, stepVerdict, verdictNote(verdict))
	if verdict.Admit {
		s.policyVersion = n.policy.version
		n.queueSubmission(s)
		return
	}
	n.countLoad(group, func(l *protocol.GroupLoad) { l.Refused++ })
	n.refused.put(s.r.Job.UID, group)
	n.refuse(s, notYet(n.retryAfter(verdict)))
}

// rejectByPolicy rejects a submission that the policy does not admit yet, unless the job is known
// already. If too little of the read budget is left to find that out, it is rejected in either
// case; the user retries.
func (n *Node) refuse(s submission, why denial) {
	n.stateBudget.refill(n.now)
	if n.stateBudget.level < n.stateBudget.burst/2 {
		n.reply(s.r.Origin, why.status, why.retryAfter, why)
		return
	}
	n.answerKnown(s.r, s.lead, why)
}

// Bounds of the waiting time that follows from a policy, so that no record overflows a duration.
const (
	maxEpochsAhead = 1 << 16
	maxEpochMS     = 3_600_000
)

// retryAfterSeconds is the number of seconds until the policy admits a job.
func (n *Node) retryAfter(v admission.Verdict) int {
	p := &n.policy
	epochs := time.Duration(min(v.Epochs, maxEpochsAhead))
	turn := p.since + epochs*time.Duration(min(p.policy.LengthMS, maxEpochMS))*time.Millisecond
	return max(1, int((turn-n.now+time.Second-1)/time.Second))
}

// rejectForCapacity rejects an admitted submission that can't be written in time; the user retries.
// A job counts once per epoch, however often its user retries.
func (n *Node) turnAway(s submission) {
	id := s.r.Job.UID
	if !n.elect.stateLost() && s.policyVersion == n.policy.version && !n.turnedAway[id] {
		if len(n.turnedAway) < recentSize {
			n.turnedAway[id] = true
		}
		n.countLoad(groupOf(s.r.Job), func(l *protocol.GroupLoad) { l.TurnedAway++ })
	}
	n.trace(id, stepTurnedAway, "")
	n.unavailable(s.r.Origin)
}

// resetEpochCounts resets the counts of the last epoch.
func (n *Node) newEpoch() {
	clear(n.loads)
	clear(n.turnedAway)
	n.turnedAwayAt = n.now
}

// countGroupLoad updates the counts of a group's submissions that this node reports to the leader.
func (n *Node) countLoad(group admission.Group, add func(*protocol.GroupLoad)) {
	load := n.loads[group]
	if load == nil {
		if len(n.loads) >= protocol.MaxGroupLoads {
			return // submissions under very many names; the groups counted so far show the overload
		}
		load = &protocol.GroupLoad{Team: group.Team, Class: group.Class, Rank: group.Rank}
		n.loads[group] = load
	}
	add(load)
}

// tickAdmission reports the submissions that this node did not accept to the leader, at most once
// per heartbeat, and reads the policy if a peer knows a newer one.
func (n *Node) tickAdmission() {
	if n.policy.heardRevision(n.peers) && !n.policy.reading && !n.elect.stateDown() {
		n.readPolicy(nil)
	}
	if n.policy.version == 0 && n.now >= n.turnedAwayAt+n.epochLength() {
		clear(n.turnedAway)
		n.turnedAwayAt = n.now
	}
	if len(n.loads) == 0 || n.now < n.loadsAt+n.lease()/heartbeatsPerLease {
		return
	}
	n.loadsAt = n.now
	message := protocol.AdmissionLoad{Version: n.policy.version, Groups: sortedLoads(n.loads)}
	clear(n.loads)
	switch leader := n.leaderPeer(); {
	case n.authority():
		n.lead.admission.take(message)
	case leader != nil:
		n.send(leader.name, message)
	}
}

// sortedLoads lists the loads by team, class and rank.
func sortedLoads(loads map[admission.Group]*protocol.GroupLoad) []protocol.GroupLoad {
	out := make([]protocol.GroupLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b protocol.GroupLoad) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class), a.Rank-b.Rank)
	})
	return out
}

// isOutdated reports whether some peer knows a newer change of the record.
func (p *policyState) heardRevision(peers map[string]*peer) bool {
	for _, other := range peers {
		if other.policy > p.revision {
			return true
		}
	}
	return false
}

// readPolicy reads the record and then calls onRead, which may be nil, and all other callbacks
// that wait for it.
func (n *Node) readPolicy(then func()) {
	p := &n.policy
	if then != nil {
		p.waiting = append(p.waiting, then)
	}
	if p.reading {
		return
	}
	p.reading = true
	n.stateCall("GET", "/store/"+storage.PolicyKey, nil, func(r Result) {
		p.reading = false
		var item storage.Item
		var gone storage.TxnResult
		switch {
		case r.Status == 200 && json.Unmarshal(r.Body, &item) == nil:
			n.takePolicy(item)
		case r.Status == 404 && json.Unmarshal(r.Body, &gone) == nil:
			n.policyEnded(gone.Revision)
		}
		waiting := p.waiting
		p.waiting = nil
		for _, f := range waiting {
			f()
		}
	})
}

// applyPolicyRecord applies the record as it was read or written, unless it is older than the one
// known.
func (n *Node) takePolicy(item storage.Item) {
	p := &n.policy
	if item.Version < p.revision {
		return // a delayed response with an older version
	}
	if item.Version == p.version {
		return
	}
	p.version, p.revision, p.since = item.Version, item.Version, n.now
	n.newEpoch()
	policy := &admission.Policy{}
	err := json.Unmarshal(item.Value, policy)
	if err == nil {
		err = policy.Check()
	}
	if p.invalid = err != nil; p.invalid {
		p.policy = nil
		if p.logged != item.Version {
			p.logged = item.Version
			n.log.Error("admission policy invalid, rejecting submissions", "version", item.Version, "error", err)
		}
		return
	}
	p.policy = policy
}

// notePolicyRemoved records that there was no policy at a revision of the key-value store.
func (n *Node) policyEnded(revision uint64) {
	p := &n.policy
	if revision < p.revision {
		return
	}
	if p.policy != nil || p.invalid {
		n.log.Info("admission policy removed")
	}
	if p.version != 0 {
		n.newEpoch()
	}
	*p = policyState{revision: revision, reading: p.reading,
		waiting: p.waiting, logged: p.logged}
}

// onlyPolicyChanged reports whether a transaction failed only because the policy has changed. Then
// the job is still unknown and its submission is evaluated again.
func policyMoved(failed []string, id string) bool {
	return slices.Contains(failed, storage.PolicyKey) &&
		!slices.Contains(failed, storage.JobKey(id)) && !slices.Contains(failed, storage.FinalKey(id))
}

// onAdmissionStatus answers an operator's request for this node's admission policy and, if it
// names a job, for the job's admission.
func (n *Node) onAdmission(r Request) {
	s := admission.NodeStatus{Node: n.cfg.Node, Leads: n.authority(), Enabled: n.set.FairAdmission,
		Version: n.policy.version, Invalid: n.policy.invalid, Policy: n.policy.policy}
	if n.policy.version != 0 {
		s.AgeS = (n.now - n.policy.since).Round(time.Millisecond).Seconds()
	}
	if s.Leads {
		s.Capacity = n.lead.admission.capacity().Jobs
		s.Waiting = n.lead.waitingGroups()
	}
	if r.ID != "" {
		s.Job = n.admissionOf(r.ID)
	}
	n.reply(r.Origin, 200, 0, s)
}

// jobAdmissionStatus is what this node knows of a job's admission.
func (n *Node) admissionOf(id string) *admission.JobStatus {
	s := &admission.JobStatus{ID: id, Accepted: n.accepted.byID[id]}
	if _, over := n.finals.byID[id]; over || n.lead != nil && n.lead.jobs[id] != nil {
		s.Accepted = true
	}
	group, refused := n.refused.byID[id]
	if s.Accepted || !refused {
		return s
	}
	s.Refused = &group
	verdict := n.policy.policy.Judge(group, id)
	if s.Admit = verdict.Admit && !n.policy.invalid; !s.Admit {
		s.TurnInS = n.retryAfter(verdict)
	}
	return s
}

// waitingGroups counts, by group, the accepted jobs of which no task has started.
func (l *leadership) waitingGroups() []admission.WaitingGroup {
	counts := map[admission.Group]int{}
	for _, j := range l.runnable {
		if j.firstStart == 0 && j.done == 0 && len(j.runs) == 0 {
			counts[groupOf(&j.spec)]++
		}
	}
	groups := slices.SortedFunc(maps.Keys(counts), func(a, b admission.Group) int {
		return cmp.Or(a.Rank-b.Rank, cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	out := make([]admission.WaitingGroup, len(groups))
	for i, g := range groups {
		out[i] = admission.WaitingGroup{Group: g, Jobs: counts[g]}
	}
	return out
}
