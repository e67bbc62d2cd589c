package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/election"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

func TestOneLeaderAndQuickTakeover(t *testing.T) {
	sim := newSimulation(t, 3)
	first := sim.waitForLeader()
	term := first.leader.term
	sim.crashNode(first.name)
	start := sim.now
	second := sim.waitForLeader()
	if second.leader.term <= term {
		t.Fatalf("term %d after %d", second.leader.term, term)
	}
	if took := sim.now - start; took > 2*first.leaderLease() {
		t.Fatalf("takeover took %v", took)
	}
	// Restarted in the middle of the term, the old leader follows.
	sim.restartNode(first.name)
	sim.advance(10 * time.Second)
	if sim.leaderName() != second.name {
		t.Fatalf("%s leads", sim.leaderName())
	}
}

// A leader that only the key-value store refuses must stop by its own clock before another may
// lead, and must be replaced although its peers receive its heartbeats.
func TestLeaderRefusedByStoreIsReplaced(t *testing.T) {
	sim := newSimulation(t, 3)
	first := sim.waitForLeader()
	sim.store.refusedNodes[first.name] = true
	if !sim.advanceUntil(15*time.Second, func() bool { l := sim.leaderName(); return l != "" && l != first.name }) {
		t.Fatal("the refused leader was not replaced")
	}
}

// Outages exceed the leader's lease and the workers': lease grants of the peers extend the
// leadership, and with it the tasks continue.
func TestStoreOutageKeepsLeaderAndTasks(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 60 * time.Second }
	first := sim.waitForLeader()
	sim.submitAndStart(first.name, jobSpec("j-1", 3), 3)
	term := first.leader.term
	sim.store.setDown(true)
	for range 25 {
		sim.advance(time.Second)
		if sim.leaderName() != first.name {
			t.Fatalf("at %v %q leads", sim.now, sim.leaderName())
		}
	}
	if r := sim.submit(sim.followers()[0], jobSpec("j-2", 1)); r.Status != 503 || r.RetryAfter == 0 {
		t.Fatalf("submission in an outage: %d, come back after %d", r.Status, r.RetryAfter)
	}
	if code, s := sim.queryJob(sim.followers()[0], "j-1"); code != 200 || s.State != protocol.JobRunning {
		t.Fatalf("query in an outage: %d %v", code, s)
	}
	sim.store.setDown(false)
	sim.advance(5 * time.Second)
	if sim.leaderName() != first.name || first.leader.term != term {
		t.Fatal("leadership moved after the outage")
	}
	if sim.startCounts["j-1/0"] != 1 {
		t.Fatalf("a task started %d times", sim.startCounts["j-1/0"])
	}
	if r := sim.submit(sim.followers()[0], jobSpec("j-2", 1)); r.Status != 201 {
		t.Fatalf("submission after the outage: %d", r.Status)
	}
}

// sendsMessage tells whether an effect sends a message of type M to a peer.
func sendsMessage[M protocol.PeerMessage](effect Effect) bool {
	s, ok := effect.(OutboundMessage)
	if !ok {
		return false
	}
	_, is := s.Message.(M)
	return is
}

// A peer that has just restarted may have granted a lease that it no longer remembers, so it
// neither grants a lease nor votes for one span of a grant.
func TestRestartedPeerWaitsOutOneLeaseGrant(t *testing.T) {
	sim := newSimulation(t, 3)
	first := sim.waitForLeader()
	peer := sim.followers()[0]
	sim.crashNode(peer)
	sim.restartNode(peer)
	n := sim.nodes[peer]
	out := n.Step(step, []Command{InboundMessage{From: first.name, Message: protocol.VoteRequest{Term: 99}}})
	for _, e := range out {
		if sendsMessage[protocol.Vote](e) {
			t.Fatal("voted right after a restart")
		}
	}
	n.election.RecordStoreResponse(step, 503)
	out = n.Step(2*step, []Command{InboundMessage{From: first.name,
		Message: protocol.PeerHeartbeat{Term: 99, IsLeader: true, WantsLeaseGrant: true}}})
	for _, e := range out {
		if sendsMessage[protocol.LeaseGrant](e) {
			t.Fatal("granted a lease right after a restart")
		}
	}
}

// After a restart of all controllers the next leader does not wait out a lease grant, since every
// node has announced that it does not lead. Neither an announcement to an earlier process of a node
// nor one by a mere majority is enough: the missing node may lead by a grant.
func TestFullRestartWaitsForNoLeaseGrant(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	for _, name := range sim.names {
		sim.crashNode(name)
	}
	sim.advance(5 * time.Second) // the leader's lease has ended
	for _, name := range sim.names {
		sim.restartNode(name)
	}
	span := sim.nodes["n0"].leaderLease()
	if !sim.advanceUntil(span*2/3, func() bool { return sim.leaderName() != "" }) {
		t.Fatalf("nobody leads %v after a full restart", span*2/3)
	}
	n := New(Options{Platform: sim.nodes["n0"].cfg, Log: testLog(), Rand: rand.New(rand.NewPCG(1, 2)),
		StartTime: time.Unix(5, 0)})
	voted := func(from string, m protocol.PeerHeartbeat) bool {
		out := n.Step(n.now+step, []Command{InboundMessage{From: from, Message: m},
			InboundMessage{From: "n1", Message: protocol.VoteRequest{Term: 99}}})
		return slices.ContainsFunc(out, sendsMessage[protocol.Vote])
	}
	if voted("n1", protocol.PeerHeartbeat{ReceiverProcessID: n.processID}) {
		t.Error("votes while a peer is not heard")
	}
	if voted("n2", protocol.PeerHeartbeat{ReceiverProcessID: n.processID + 1}) {
		t.Error("votes by what its earlier process was told")
	}
	if voted("n2", protocol.PeerHeartbeat{ReceiverProcessID: n.processID, IsLeader: true, Term: 9}) {
		t.Error("votes while a peer leads")
	}
	if !voted("n2", protocol.PeerHeartbeat{ReceiverProcessID: n.processID}) {
		t.Error("waits for a grant that nobody can live by")
	}
}

// A peer that has granted a lease votes for nobody until the grant ends, and one that has voted for
// a candidate grants no lease to an older leader.
func TestLeaseGrantAndVoteExcludeEachOther(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.store.setDown(true)
	sim.advance(10 * time.Second)
	n := sim.nodes["n0"]
	now := sim.now - n.bootedAt
	sent := func(is func(effect Effect) bool, messages ...protocol.PeerMessage) bool {
		var batch []Command
		for _, m := range messages {
			batch = append(batch, InboundMessage{From: "n1", Message: m})
		}
		now += step
		return slices.ContainsFunc(n.Step(now, batch), is)
	}
	if !sent(sendsMessage[protocol.LeaseGrant],
		protocol.PeerHeartbeat{Term: 7, IsLeader: true, WantsLeaseGrant: true}) {
		t.Fatal("no lease granted in an outage")
	}
	if sent(sendsMessage[protocol.Vote], protocol.VoteRequest{Term: 8}) {
		t.Fatal("voted under a lease grant")
	}
	now += 2 * n.leaderLease()
	if !sent(sendsMessage[protocol.Vote], protocol.VoteRequest{Term: 8}) {
		t.Fatal("did not vote after the grant")
	}
	if sent(sendsMessage[protocol.LeaseGrant], protocol.PeerHeartbeat{Term: 7, IsLeader: true, WantsLeaseGrant: true}) {
		t.Fatal("granted a lease to an older leader after a vote")
	}
}

// A leader isolated from peers and workers, but not from the key-value store, would hold its key
// for ever and stop the service.
func TestIsolatedLeaderResigns(t *testing.T) {
	sim := newSimulation(t, 3)
	first := sim.waitForLeader()
	sim.submit(first.name, jobSpec("j-1", 2))
	sim.advance(10 * time.Second)
	for _, other := range sim.followers() {
		sim.linkCuts[[2]string{first.name, other}] = true
	}
	for _, worker := range sim.workers {
		worker.unreachable = true
	}
	if !sim.advanceUntil(15*time.Second, func() bool { l := sim.leaderName(); return l != "" && l != first.name }) {
		t.Fatal("the isolated leader was not replaced")
	}
}

// A transaction of a replaced leader that executes late changes nothing.
func TestLateTransactionOfOldLeader(t *testing.T) {
	sim := newSimulation(t, 3)
	first := sim.waitForLeader()
	sim.submit(first.name, jobSpec("j-1", 1))
	sim.store.holdTransaction = func(node string, txn storage.Txn) bool {
		if node != first.name || len(txn.Writes) == 0 {
			return false
		}
		for _, write := range txn.Writes {
			if write.PutKey == storage.TerminalKey("j-1") {
				return true
			}
		}
		return false
	}
	sim.sendRequest(first.name, Request{Kind: protocol.RequestCancel, JobID: "j-1"}, func(Reply) {})
	if !sim.advanceUntil(5*time.Second, func() bool { return len(sim.store.heldTransactions) > 0 }) {
		t.Fatal("the leader wrote nothing")
	}
	sim.crashNode(first.name)
	sim.waitForLeader()
	for _, f := range sim.store.heldTransactions {
		f()
	}
	if _, over := sim.store.keys[storage.TerminalKey("j-1")]; over {
		t.Fatal("a late transaction of the old leader was applied")
	}
	sim.store.holdTransaction = nil
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
}

// A lost response leaves the outcome of a transaction uncertain. The identical transaction is sent
// again, and a failed condition is then checked against the stored records.
func TestUnclearTransactionIsResolved(t *testing.T) {
	sim := newSimulation(t, 3)
	first := sim.waitForLeader()
	sim.submit(first.name, jobSpec("j-1", 2))
	sim.store.responsesToLose = 3
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	if sim.store.responsesToLose != 0 {
		t.Fatal("no answer was lost")
	}
	if sim.leaderName() != first.name {
		t.Fatal("an unclear outcome cost the leadership")
	}
}

// In a rolling restart each node is down once. A leader that drains is succeeded by the node that
// restarted last, which need not restart again, so leadership moves seldom.
func TestRollingRestartMovesLeadershipSeldom(t *testing.T) {
	for first := range 3 {
		sim := newSimulation(t, 3)
		leader := sim.waitForLeader().name
		began := leader
		sim.advance(20 * time.Second)
		moves := 0
		for i := range 3 {
			name := sim.names[(first+i)%3]
			sim.crashNode(name)
			sim.advance(3 * time.Second)
			sim.restartNode(name)
			sim.advance(20 * time.Second)
			if now := sim.leaderName(); now != leader {
				leader, moves = now, moves+1
			}
		}
		want := 1
		if began == sim.names[first] {
			want = 2 // drained first, before any other node has restarted
		}
		if moves > want {
			t.Fatalf("beginning at %s with %s leading, leadership moved %d times", sim.names[first], began, moves)
		}
	}
}

// The store refuses some nodes, messages are lost, nodes crash, restart at once and pause, and
// calls execute late. At most one node holds a leader lease, and a leader is elected within two
// leases once the faults have ended. Nothing else runs here, so that thousands of elections fit.
func TestAuthorityIsExclusive(t *testing.T) {
	forEachSeed(t, 200, 4000, func(t *testing.T, seed uint64) {
		c := newUserSimulation(newSimulationWithTimings(t, []int{3, 5, 7}[seed%3],
			deployments[seed/3%uint64(len(deployments))]), seed)
		span := c.machineLease() / election.LeaderLeasesPerWorkerLease
		soon := func() time.Duration { return time.Duration(c.rng.ExpFloat64() * float64(span) * 0.7) }
		c.driftClocks()
		c.holdMessages = seed%2 == 0
		if seed%4 == 1 {
			c.store.lateExecution = func() (time.Duration, bool) {
				return time.Duration(c.rng.ExpFloat64() * float64(span)), c.rng.IntN(8) == 0
			}
		}
		for end := c.now + 8*c.machineLease(); c.now < end; c.advance(soon() / 2) {
			name, other := c.randomNode(), c.randomNode()
			if l := c.leaderName(); l != "" && c.rng.IntN(3) == 0 {
				name = l
			}
			n := c.nodes[name]
			switch c.rng.IntN(8) {
			case 0, 1:
				c.store.refusedNodes[name] = true
				c.schedule(soon(), func() { delete(c.store.refusedNodes, name) })
			case 2:
				for _, some := range c.names {
					if c.rng.IntN(2) == 0 {
						c.store.refusedNodes[some] = true
						c.schedule(soon(), func() { delete(c.store.refusedNodes, some) })
					}
				}
			case 3:
				c.store.setDown(true)
				c.schedule(soon(), func() { c.store.setDown(false) })
			case 4, 5:
				c.linkCuts[[2]string{name, other}] = true
				c.schedule(soon(), c.healCuts)
			case 6:
				if !n.down {
					c.restartAfter(name, soon()/4)
				}
			case 7:
				if !n.down && !n.paused {
					c.pauseNode(n, soon(), func() {})
				}
			}
		}
		c.store.lateExecution = nil
		c.advance(12 * time.Second)
		c.store.refusedNodes = map[string]bool{}
		c.healCuts()
		if !c.advanceUntil(2*c.machineLease(), func() bool { return c.leaderName() != "" }) {
			t.Fatal("nobody leads, though all is well")
		}
	})
}

// A leader that only the key-value store refuses is replaced within a worker lease, with any number
// of nodes and from any moment on: a peer that the store serves grants it no lease. Such a grant
// would bind the peers for as long as the leader asks for it.
func TestLeaderRefusedAloneIsReplacedByAnyNumber(t *testing.T) {
	for _, nodes := range []int{3, 5, 7} {
		for offset := range 12 {
			t.Run(fmt.Sprintf("%d nodes/%d", nodes, offset), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, nodes)
				first := sim.waitForLeader()
				sim.advance(time.Duration(offset) * first.leaderLease() / 7)
				sim.store.refusedNodes[first.name] = true
				if !sim.advanceUntil(first.workerLease(),
					func() bool { l := sim.leaderName(); return l != "" && l != first.name }) {
					t.Fatalf("not replaced within %v", first.workerLease())
				}
			})
		}
	}
}

// A node that has voted for a candidate and restarts without a memory of its vote must not grant a
// lease to the old leader, because the candidate counts on the vote. Here the old leader leads by
// grants of two of five nodes. The store serves one of them again, so that its grant ends and it
// votes for the candidate as well; the other one and the restarted node would be the majority that
// extends the old leadership beside the new one.
func TestForgottenVoteGrantsNothing(t *testing.T) {
	changed := 0
	for offset := range 60 {
		sim := newSimulation(t, 5)
		old := sim.waitForLeader()
		others := sim.followers()
		candidate, voter, returning, faithful := others[0], others[1], others[2], others[3]
		for _, name := range []string{old.name, voter, returning, faithful} {
			sim.store.refusedNodes[name] = true
		}
		sim.linkCuts[[2]string{old.name, returning}] = true
		sim.advance(2*old.leaderLease() + time.Duration(offset)*20*time.Millisecond)
		delete(sim.store.refusedNodes, voter) // its present grant is the last one
		asks := func() bool {
			return slices.Contains(sim.nodes[candidate].election.Status().Votes, returning)
		}
		if sim.advanceUntil(old.leaderLease(), asks) {
			sim.restartAfter(returning, 20*time.Millisecond)
			sim.schedule(50*time.Millisecond, func() {
				sim.healCuts()
				sim.store.refusedNodes[returning] = true
			})
		}
		sim.advance(2 * old.leaderLease()) // the invariant checker fails on two leaders
		if sim.leaderName() == candidate {
			changed++
		}
	}
	if changed == 0 {
		t.Error("the candidate never led: the schedule was not brought about")
	}
}

// A lease counts from when its renewal was sent. Counted from the response, a leader whose
// responses are delayed would continue after its lease has ended in the key-value store.
func TestAuthorityCountsFromTheSentRenewal(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	now := leaderNode.monotonicNow(sim.now)
	var renewal ServiceCall
	for renewal.ID == 0 {
		now += step
		for _, effect := range leaderNode.Step(now, nil) {
			if call, ok := effect.(ServiceCall); ok && strings.HasSuffix(call.Path, "/touch") {
				renewal = call
			}
		}
	}
	sent := now
	leaderNode.Step(sent+leaderNode.storeTimeout()*9/10, []Command{CallResult{ID: renewal.ID, Status: 200}})
	if until := leaderNode.election.Status().LeaseValidUntil; until != sent+election.SafeLeaseSpan(leaderNode.leaderLease()) {
		t.Errorf("authority until %v after a renewal sent at %v", until, sent)
	}
}

// A leader that was paused for longer than its lease finds heartbeats and requests in its queue
// when it resumes, and its clocks have advanced: it answers none of them as the leader.
func TestPausedLeaderAnswersNothing(t *testing.T) {
	for _, kind := range []protocol.RequestKind{protocol.RequestHeartbeat, protocol.RequestQuery,
		protocol.RequestCancel} {
		t.Run(string(kind), func(t *testing.T) {
			sim, leaderNode := newRunningSimulation(t, 3, time.Hour, 1, 4)
			request := Request{Origin: Origin{RequestID: 1 << 40}, Kind: kind, JobID: "j-1"}
			if kind == protocol.RequestHeartbeat {
				request.Heartbeat = sim.sortedWorkers()[0].heartbeat()
			}
			for _, effect := range leaderNode.Step(leaderNode.monotonicNow(sim.now)+leaderNode.workerLease(),
				[]Command{request}) {
				if reply, ok := effect.(Reply); ok && reply.RequestID == request.Origin.RequestID &&
					reply.Status == 200 {
					t.Error("answered 200")
				}
			}
		})
	}
}

// acceptingStore is the host of an election whose key-value store has no leader key and accepts
// each request of a candidate. It has a clock of its own.
type acceptingStore struct {
	electionHost
	now      clock.Instant
	lastTerm uint64
}

func (h *acceptingStore) Now() clock.Instant { return h.now }

func (h *acceptingStore) CallStore(_, path string, _ any, onResponse func(storage.Response)) {
	switch path {
	case "/store/" + storage.TermKey:
		term := storage.Encode(storage.Term{Term: h.lastTerm})
		onResponse(storage.Response{Status: 200, Body: storage.Encode(storage.Item{Value: term})})
	case "/holds":
		onResponse(storage.Response{Status: 200, Body: storage.Encode(storage.Lease{ID: 1})})
	case "/multi":
		onResponse(storage.Response{Status: 200, Body: storage.Encode(storage.TxnResponse{})})
	default:
		onResponse(storage.Response{Status: 404})
	}
}

// forceLeadership makes a node the leader of a term, whoever else leads: it replaces the node's
// election by one without peers, at a store that accepts everything.
func forceLeadership(n *Node, term uint64) {
	host := &acceptingStore{electionHost: electionHost{n}, now: n.now, lastTerm: term - 1}
	alone := n.cfg.Cluster
	alone.ControllerCount = 1
	n.election = election.New(election.Options{Node: n.cfg.Node, ProcessID: n.processID, Cluster: &alone,
		Rand: n.rng, Host: host})
	for !n.holdsLeaderLease() {
		host.now += step
		n.election.Tick()
	}
}
