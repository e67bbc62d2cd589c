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

// Every node: which policy holds, and what it makes of a submission. The leader's part, which
// works policies out, is in admission_control.go.

// policyState is what a node knows of the admission policy's record.
type policyState struct {
	policy   *admission.Policy // nil: there is none, or none that can be read
	version  uint64            // of its record; 0: there is none
	revision uint64            // of the last change that is known here, the record's removal included
	since    Instant           // when it became known here: the epoch began no later
	invalid  bool              // the record can't be read; nothing is admitted by it
	reading  bool
	waiting  []func() // to be done once the record is read
	logged   uint64   // the version that the log has named as invalid
}

// groupOf is the group of jobs that a job belongs to.
func groupOf(j *protocol.Job) admission.Group {
	return admission.Group{Team: j.Team, Class: j.Class, Rank: j.Rank()}
}

// judgeSubmission lets a submission wait for its turn to be written, if the policy admits it,
// and otherwise says when its turn comes.
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

// refuse refuses a submission, unless the job is known already. Where that takes too many
// reads, the user is told to come back either way.
func (n *Node) refuse(s submission, why denial) {
	n.stateBudget.refill(n.now)
	if n.stateBudget.level < n.stateBudget.burst/2 {
		n.reply(s.r.Origin, why.status, why.retryAfter, why)
		return
	}
	n.answerKnown(s.r, s.lead, why)
}

// Bounds of what a policy can make users wait for, so that no record overflows a duration.
const (
	maxEpochsAhead = 1 << 16
	maxEpochMS     = 3_600_000
)

// retryAfter is in how many seconds a job's turn comes.
func (n *Node) retryAfter(v admission.Verdict) int {
	p := &n.policy
	epochs := time.Duration(min(v.Epochs, maxEpochsAhead))
	turn := p.since + epochs*time.Duration(min(p.policy.LengthMS, maxEpochMS))*time.Millisecond
	return max(1, int((turn-n.now+time.Second-1)/time.Second))
}

// turnAway tells a user to come back, as there is no room for an admitted submission. A job
// counts once in an epoch, however often its user comes back.
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

// newEpoch drops what was counted in the last one.
func (n *Node) newEpoch() {
	clear(n.loads)
	clear(n.turnedAway)
	n.turnedAwayAt = n.now
}

// countLoad adds to what this node says of a group's submissions.
func (n *Node) countLoad(group admission.Group, add func(*protocol.GroupLoad)) {
	load := n.loads[group]
	if load == nil {
		if len(n.loads) >= protocol.MaxGroupLoads {
			return // a flood under many names: the others are enough to see it by
		}
		load = &protocol.GroupLoad{Team: group.Team, Class: group.Class, Rank: group.Rank}
		n.loads[group] = load
	}
	add(load)
}

// tickAdmission says what this node had to turn away, once per heartbeat at most, and reads
// the policy if another node knows a newer one.
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

// heardRevision tells whether some peer knows a newer change of the record.
func (p *policyState) heardRevision(peers map[string]*peer) bool {
	for _, other := range peers {
		if other.policy > p.revision {
			return true
		}
	}
	return false
}

// readPolicy reads the record, and then does what waits for it.
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

// takePolicy takes the record as it was read or written.
func (n *Node) takePolicy(item storage.Item) {
	p := &n.policy
	if item.Version < p.revision {
		return // an older answer
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
			n.log.Error("admission policy can't be read; submissions are turned away", "version", item.Version, "error", err)
		}
		return
	}
	p.policy = policy
}

// policyEnded notes that there was no record at a revision of the state service.
func (n *Node) policyEnded(revision uint64) {
	p := &n.policy
	if revision < p.revision {
		return
	}
	if p.policy != nil || p.invalid {
		n.log.Info("no admission policy any more")
	}
	if p.version != 0 {
		n.newEpoch()
	}
	*p = policyState{revision: revision, reading: p.reading, waiting: p.waiting, logged: p.logged}
}

// policyMoved tells whether a submission was refused only because another policy holds by
// now: then the job is unknown as yet, and is judged anew.
func policyMoved(failed []string, id string) bool {
	return slices.Contains(failed, storage.PolicyKey) &&
		!slices.Contains(failed, storage.JobKey(id)) && !slices.Contains(failed, storage.FinalKey(id))
}

// onAdmission tells an operator by which policy this node judges, and of a job what it made
// of it.
func (n *Node) onAdmission(r Request) {
	s := admission.NodeStatus{Node: n.cfg.Node, Leads: n.authority(), Enabled: n.set.FairAdmission, Version: n.policy.version,
		Invalid: n.policy.invalid, Policy: n.policy.policy}
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

// admissionOf is what this node knows of a job's admission.
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

// waitingGroups counts the accepted jobs that have not begun, by group.
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
