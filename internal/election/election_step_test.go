package election

import (
	"math/rand/v2"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// recordingHost is the host of an election that is tested alone. Its key-value store has no leader
// key, answers every other request at once with storeStatus, and counts terms from 1.
type recordingHost struct {
	now         clock.Instant
	election    *Election
	storeStatus int
	condition   LeaderCondition
	sent        []protocol.PeerMessage
	ledTerms    []uint64
	reasons     []string // of the steps down
}

func (h *recordingHost) Now() clock.Instant { return h.now }

func (h *recordingHost) CallStore(_, path string, _ any, onResponse func(storage.Response)) {
	response := storage.Response{Status: h.storeStatus}
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
func (h *recordingHost) SteppedDown(reason string) { h.reasons = append(h.reasons, reason) }

// newElectionAlone returns the election of one of three nodes, with its host.
func newElectionAlone() (*Election, *recordingHost) {
	settings := &config.Cluster{ControllerCount: 3}
	settings.Workers.LeaseS = 24
	host := &recordingHost{storeStatus: 200}
	host.election = New(Options{Node: "n0", ProcessID: 5, Peers: []string{"n1", "n2"},
		Cluster: settings, Rand: rand.New(rand.NewPCG(1, 2)), Host: host})
	return host.election, host
}

// run advances the time in steps of 5 ms, for a span or until a condition holds.
func (h *recordingHost) run(span time.Duration, done func() bool) bool {
	for end := h.now + span; h.now < end; h.now += 5 * time.Millisecond {
		h.election.Tick()
		if done() {
			return true
		}
	}
	return false
}

// becomeCandidate lets the time pass until the node is a candidate.
func (h *recordingHost) becomeCandidate(t *testing.T) {
	t.Helper()
	h.now = 2 * h.election.LeaderLease()
	if !h.run(h.election.workerLease(), func() bool { return h.election.Status().IsCandidate }) {
		t.Fatal("no candidacy without a leader key")
	}
}

// lead makes the node the leader by the vote of one peer.
func (h *recordingHost) lead(t *testing.T) {
	t.Helper()
	h.becomeCandidate(t)
	h.election.HandleMessage("n1", protocol.Vote{Term: 1, Granted: true})
	if !h.election.HoldsLeaderLease() {
		t.Fatal("a quorum of votes made no leader")
	}
}

func TestElectionNeedsQuorumOfVotesInItsTerm(t *testing.T) {
	e, host := newElectionAlone()
	host.becomeCandidate(t)
	e.HandleMessage("n1", protocol.Vote{Term: 2, Granted: true})
	e.HandleMessage("n1", protocol.Vote{Term: 1})
	if e.HoldsLeaderLease() || len(host.ledTerms) != 0 {
		t.Error("leads without a vote in its term")
	}
	e.HandleMessage("n1", protocol.Vote{Term: 1, Granted: true})
	if !e.HoldsLeaderLease() || len(host.ledTerms) != 1 || host.ledTerms[0] != 1 {
		t.Errorf("terms led after a quorum of votes: %v", host.ledTerms)
	}
}

func TestElectionLeadsByGrantsOfQuorum(t *testing.T) {
	e, host := newElectionAlone()
	host.lead(t)
	host.storeStatus = 503
	asked := func() bool { return e.Status().LeaseValidUntil-host.now < time.Second }
	if !host.run(e.LeaderLease(), asked) {
		t.Fatal("the lease was renewed by a store that is down")
	}
	last, isHeartbeat := host.sent[len(host.sent)-1].(protocol.PeerHeartbeat)
	if !isHeartbeat || !last.IsLeader || !last.WantsLeaseGrant {
		t.Fatalf("asks for no lease grant: %+v", last)
	}
	e.HandleMessage("n1", protocol.LeaseGrant{Term: 9, HeartbeatSentAt: host.now})
	e.HandleMessage("n2", protocol.LeaseGrant{Term: 1, HeartbeatSentAt: clock.Forever / 2})
	granted := host.now
	host.run(e.workerLease(), func() bool { return len(host.reasons) > 0 })
	if end := granted + SafeLeaseSpan(e.LeaderLease()); host.now < end || host.now > end+5*time.Millisecond {
		t.Errorf("led until %v by a grant requested at %v", host.now, granted)
	}
	if len(host.reasons) != 1 || host.reasons[0] != "leader lease expired" || e.HoldsLeaderLease() {
		t.Errorf("stepped down for %q", host.reasons)
	}
}

func TestElectionStepsDownForTheHost(t *testing.T) {
	for _, condition := range []LeaderCondition{{StepDownReason: "term exhausted"}, {ResignReason: "workers elsewhere"}} {
		e, host := newElectionAlone()
		host.lead(t)
		host.condition = condition
		e.Tick()
		reason := condition.StepDownReason + condition.ResignReason
		if len(host.reasons) != 1 || host.reasons[0] != reason || e.HoldsLeaderLease() {
			t.Errorf("%+v: stepped down for %q", condition, host.reasons)
		}
		if e.CandidacyPaused() != (condition.ResignReason != "") {
			t.Errorf("%+v: candidacy paused: %v", condition, e.CandidacyPaused())
		}
	}
}
