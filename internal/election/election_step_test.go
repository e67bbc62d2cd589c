package election

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// recordingHost is the host of an election under test and records what the election does. Its
// key-value store has no leader key and no term key, so the first candidacy is in term 1. The store
// responds to every other request at once with storeStatus.
type recordingHost struct {
	now             clock.Instant
	election        *Election
	storeStatus     int
	renewalDelay    time.Duration // time until the response to a lease renewal reaches the node
	delayed         []delayedResponse
	condition       LeaderCondition
	sent            []protocol.PeerMessage
	ledTerms        []uint64 // terms in which the node became the leader
	stepDownReasons []string
}

// delayedResponse is a response of the key-value store that reaches the node later.
type delayedResponse struct {
	dueAt   clock.Instant
	deliver func()
}

func (h *recordingHost) Now() clock.Instant { return h.now }

func (h *recordingHost) CallStore(_, path string, _ any, onResponse func(storage.Response)) {
	response := storage.Response{Status: h.storeStatus}
	if strings.HasSuffix(path, "/touch") && h.renewalDelay > 0 {
		h.delayed = append(h.delayed, delayedResponse{h.now + h.renewalDelay, func() { onResponse(response) }})
		return
	}
	switch path {
	case "/store/" + storage.LeaderKey, "/store/" + storage.TermKey:
		response.Status = 404
	case "/holds":
		response.Body = storage.Encode(storage.Lease{ID: 7})
	case "/multi":
		response.Body = storage.Encode(storage.TxnResponse{Revision: 3})
	}
	h.election.RecordStoreResponse(h.now, response.Status)
	onResponse(response)
}

func (h *recordingHost) SendMessage(_ string, message protocol.PeerMessage) {
	h.sent = append(h.sent, message)
}
func (h *recordingHost) DescribeController(*protocol.PeerHeartbeat) {}
func (h *recordingHost) TwoWayPeerCount() int                       { return 2 }
func (h *recordingHost) BecameLeader(term, _ uint64)                { h.ledTerms = append(h.ledTerms, term) }
func (h *recordingHost) LeaderCondition() LeaderCondition {
	h.condition.LastWorkerHeartbeat = h.now
	return h.condition
}
func (h *recordingHost) SteppedDown(reason string) {
	h.stepDownReasons = append(h.stepDownReasons, reason)
}

// newTestElection returns the election of node n0 in a cluster of three nodes, and its host.
func newTestElection() (*Election, *recordingHost) {
	settings := &config.Cluster{ControllerCount: 3}
	settings.Workers.LeaseS = 24
	host := &recordingHost{storeStatus: 200}
	host.election = New(Options{Node: "n0", ProcessID: 5, Peers: []string{"n1", "n2"},
		Cluster: settings, Rand: rand.New(rand.NewPCG(1, 2)), Host: host})
	return host.election, host
}

// runUntil calls Tick every 5 ms until the condition is true or the timeout has passed. It reports
// whether the condition became true.
func (h *recordingHost) runUntil(timeout time.Duration, condition func() bool) bool {
	for end := h.now + timeout; h.now < end; h.now += 5 * time.Millisecond {
		for len(h.delayed) > 0 && h.now >= h.delayed[0].dueAt {
			h.delayed[0].deliver()
			h.delayed = h.delayed[1:]
		}
		h.election.Tick()
		if condition() {
			return true
		}
	}
	return false
}

// becomeCandidate advances the time until the node is a candidate.
func (h *recordingHost) becomeCandidate(t *testing.T) {
	t.Helper()
	h.now = 2 * h.election.LeaderLease()
	if !h.runUntil(h.election.workerLease(), func() bool { return h.election.Status().IsCandidate }) {
		t.Fatal("no candidacy within a worker lease although there is no leader key")
	}
}

// becomeLeader makes the node the leader in term 1 by the vote of one peer.
func (h *recordingHost) becomeLeader(t *testing.T) {
	t.Helper()
	h.becomeCandidate(t)
	h.election.HandleMessage("n1", protocol.Vote{Term: 1, Granted: true})
	if !h.election.HoldsLeaderLease() {
		t.Fatal("node does not hold the leader lease after a quorum of votes")
	}
}

// A candidate that counted votes of another term, or votes that were not granted, could lead beside
// another leader.
func TestElectionNeedsQuorumOfVotesInItsTerm(t *testing.T) {
	e, host := newTestElection()
	host.becomeCandidate(t)
	e.HandleMessage("n1", protocol.Vote{Term: 2, Granted: true})
	e.HandleMessage("n1", protocol.Vote{Term: 1})
	if e.HoldsLeaderLease() || len(host.ledTerms) != 0 {
		t.Error("node leads without a granted vote in its term")
	}
	e.HandleMessage("n1", protocol.Vote{Term: 1, Granted: true})
	if !e.HoldsLeaderLease() || len(host.ledTerms) != 1 || host.ledTerms[0] != 1 {
		t.Errorf("terms led after a quorum of votes: got %v, want [1]", host.ledTerms)
	}
}

// While the key-value store is down, a leader continues to lead by the lease grants of a quorum. If a
// grant of another term, or one with a timestamp in the future, extended its lease, it could lead
// beside another leader.
func TestElectionLeadsByGrantsOfQuorum(t *testing.T) {
	e, host := newTestElection()
	host.becomeLeader(t)
	host.storeStatus = 503
	leaseNearlyExpired := func() bool { return e.Status().LeaseValidUntil-host.now < time.Second }
	if !host.runUntil(e.LeaderLease(), leaseNearlyExpired) {
		t.Fatal("leader lease is not about to expire although the store has responded with 503 for its duration")
	}
	last, isHeartbeat := host.sent[len(host.sent)-1].(protocol.PeerHeartbeat)
	if !isHeartbeat || !last.IsLeader || !last.WantsLeaseGrant {
		t.Fatalf("last message is not a leader's heartbeat that requests a lease grant: %+v", last)
	}
	e.HandleMessage("n1", protocol.LeaseGrant{Term: 9, HeartbeatSentAt: host.now})
	e.HandleMessage("n2", protocol.LeaseGrant{Term: 1, HeartbeatSentAt: clock.Forever / 2})
	grantedAt := host.now
	host.runUntil(e.workerLease(), func() bool { return len(host.stepDownReasons) > 0 })
	if end := grantedAt + GuaranteedLeaseDuration(e.LeaderLease()); host.now < end || host.now > end+5*time.Millisecond {
		t.Errorf("node led until %v by a grant received at %v, want until %v", host.now, grantedAt, end)
	}
	if len(host.stepDownReasons) != 1 || host.stepDownReasons[0] != "leader lease expired" || e.HoldsLeaderLease() {
		t.Errorf("step-down reasons: got %q, want only \"leader lease expired\"", host.stepDownReasons)
	}
}

// A leader steps down for a reason that only its host knows. If it resigns, it must also pause its
// candidacies: otherwise it could be elected again at once, before another node.
func TestElectionStepsDownAtHostRequest(t *testing.T) {
	for _, condition := range []LeaderCondition{{StepDownReason: "term exhausted"}, {ResignReason: "workers elsewhere"}} {
		e, host := newTestElection()
		host.becomeLeader(t)
		host.condition = condition
		e.Tick()
		reason := condition.StepDownReason + condition.ResignReason
		if len(host.stepDownReasons) != 1 || host.stepDownReasons[0] != reason || e.HoldsLeaderLease() {
			t.Errorf("%+v: step-down reasons: got %q, want only %q", condition, host.stepDownReasons, reason)
		}
		if e.CandidacyPaused() != (condition.ResignReason != "") {
			t.Errorf("%+v: CandidacyPaused: got %v, want %v",
				condition, e.CandidacyPaused(), condition.ResignReason != "")
		}
	}
}

// Guards against a leader that loses its lease although the key-value store renews it, because an overloaded
// process gets each response late, but within three quarters of the lease.
func TestLateRenewalResponsesKeepLeaderLease(t *testing.T) {
	e, host := newTestElection()
	host.becomeLeader(t)
	host.renewalDelay = e.LeaderLease() * 7 / 10
	host.runUntil(e.workerLease(), func() bool { return len(host.stepDownReasons) > 0 })
	if len(host.stepDownReasons) > 0 || !e.HoldsLeaderLease() {
		t.Errorf("step-down reasons: got %q, want none", host.stepDownReasons)
	}
}
