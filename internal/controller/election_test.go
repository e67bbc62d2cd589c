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

// After the crash of the leader a follower takes over within two leader leases and in a higher term.
// The old leader follows when it restarts, and no two nodes lead at a time.
func TestOneLeaderAndQuickTakeover(t *testing.T) {
	sim := newSimulation(t, 3)
	firstLeader := sim.waitForLeader()
	term := firstLeader.leader.term
	sim.crashNode(firstLeader.name)
	crashedAt := sim.now
	secondLeader := sim.waitForLeader()
	if secondLeader.leader.term <= term {
		t.Fatalf("the new leader has term %d, want a term above %d", secondLeader.leader.term, term)
	}
	if took := sim.now - crashedAt; took > 2*firstLeader.leaderLease() {
		t.Fatalf("the takeover took %v, want at most %v", took, 2*firstLeader.leaderLease())
	}
	sim.restartNode(firstLeader.name)
	sim.advance(10 * time.Second)
	if sim.leaderName() != secondLeader.name {
		t.Fatalf("%q leads after the restart of the old leader, want %s", sim.leaderName(), secondLeader.name)
	}
}

// A leader that only the key-value store refuses must step down when its lease expires by its own clock,
// before another node may lead. It must be replaced although its peers receive its heartbeats.
func TestLeaderRefusedByStoreIsReplaced(t *testing.T) {
	sim := newSimulation(t, 3)
	refusedLeader := sim.waitForLeader()
	sim.store.refusedNodes[refusedLeader.name] = true
	if !sim.advanceUntil(15*time.Second,
		func() bool { leader := sim.leaderName(); return leader != "" && leader != refusedLeader.name }) {
		t.Fatalf("the refused leader %s was not replaced within 15 s", refusedLeader.name)
	}
}

// A store outage lasts longer than the leader lease and the worker lease. Lease grants of the peers
// extend the leadership, so that the workers keep their leases and the tasks continue.
func TestStoreOutageKeepsLeaderAndTasks(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 60 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 3), 3)
	term := leaderNode.leader.term
	sim.store.setDown(true)
	for range 25 {
		sim.advance(time.Second)
		if sim.leaderName() != leaderNode.name {
			t.Fatalf("%q leads at %v, during the outage, want %s", sim.leaderName(), sim.now, leaderNode.name)
		}
	}
	if r := sim.submit(sim.followers()[0], jobSpec("j-2", 1)); r.Status != 503 || r.RetryAfter == 0 {
		t.Fatalf("submission during the outage: got status %d, Retry-After %d; want 503 with Retry-After", r.Status,
			r.RetryAfter)
	}
	if code, status := sim.queryJob(sim.followers()[0], "j-1"); code != 200 || status.State != protocol.JobRunning {
		t.Fatalf("query during the outage: got status %d, %v; want 200, state %q", code, status, protocol.JobRunning)
	}
	sim.store.setDown(false)
	sim.advance(5 * time.Second)
	if sim.leaderName() != leaderNode.name || leaderNode.leader.term != term {
		t.Fatalf("%q leads after the outage, want %s, still in term %d", sim.leaderName(), leaderNode.name, term)
	}
	if sim.startCounts["j-1/0"] != 1 {
		t.Fatalf("task j-1/0 started %d times, want once", sim.startCounts["j-1/0"])
	}
	if r := sim.submit(sim.followers()[0], jobSpec("j-2", 1)); r.Status != 201 {
		t.Fatalf("submission after the outage: got status %d, want 201", r.Status)
	}
}

// sendsMessage reports whether an effect sends a message of type M to a peer.
func sendsMessage[M protocol.PeerMessage](effect Effect) bool {
	outbound, ok := effect.(OutboundMessage)
	if !ok {
		return false
	}
	_, is := outbound.Message.(M)
	return is
}

// A peer that has just restarted may have granted a leader lease or voted, and no longer remembers that.
// So it neither grants a lease nor votes until a lease grant of its earlier process would have expired.
func TestRestartedPeerWaitsOutOneLeaseGrant(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	peer := sim.followers()[0]
	sim.crashNode(peer)
	sim.restartNode(peer)
	n := sim.nodes[peer]
	effects := n.Step(step, []Command{InboundMessage{From: leaderNode.name, Message: protocol.VoteRequest{Term: 99}}})
	for _, effect := range effects {
		if sendsMessage[protocol.Vote](effect) {
			t.Fatal("the restarted peer votes at once, want no vote before an earlier lease grant has expired")
		}
	}
	n.election.RecordStoreResponse(step, 503)
	effects = n.Step(2*step, []Command{InboundMessage{From: leaderNode.name,
		Message: protocol.PeerHeartbeat{Term: 99, IsLeader: true, WantsLeaseGrant: true}}})
	for _, effect := range effects {
		if sendsMessage[protocol.LeaseGrant](effect) {
			t.Fatal("the restarted peer grants a lease at once, want none before an earlier vote or grant has expired")
		}
	}
}

// After a restart of all controllers the nodes vote without waiting for earlier lease grants to
// expire, because every node has announced that it does not lead. Announcements of a majority are not
// enough, since the missing node may lead by a grant. An announcement to an earlier process of the
// voter does not count either.
func TestFullRestartWaitsForNoLeaseGrant(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	for _, name := range sim.names {
		sim.crashNode(name)
	}
	sim.advance(5 * time.Second) // until the leader's lease in the store has expired
	for _, name := range sim.names {
		sim.restartNode(name)
	}
	lease := sim.nodes["n0"].leaderLease()
	if !sim.advanceUntil(lease*2/3, func() bool { return sim.leaderName() != "" }) {
		t.Fatalf("no node leads %v after a restart of all nodes", lease*2/3)
	}
	n := New(Options{Platform: sim.nodes["n0"].cfg, Log: testLog(), Rand: rand.New(rand.NewPCG(1, 2)),
		StartTime: time.Unix(5, 0)})
	voted := func(from string, heartbeat protocol.PeerHeartbeat) bool {
		effects := n.Step(n.now+step, []Command{InboundMessage{From: from, Message: heartbeat},
			InboundMessage{From: "n1", Message: protocol.VoteRequest{Term: 99}}})
		return slices.ContainsFunc(effects, sendsMessage[protocol.Vote])
	}
	if voted("n1", protocol.PeerHeartbeat{ReceiverProcessID: n.processID}) {
		t.Error("the restarted node votes before it has heard from n2")
	}
	if voted("n2", protocol.PeerHeartbeat{ReceiverProcessID: n.processID + 1}) {
		t.Error("the restarted node votes although n2's announcement was sent to its earlier process")
	}
	if voted("n2", protocol.PeerHeartbeat{ReceiverProcessID: n.processID, IsLeader: true, Term: 9}) {
		t.Error("the restarted node votes although n2 leads")
	}
	if !voted("n2", protocol.PeerHeartbeat{ReceiverProcessID: n.processID}) {
		t.Error("the restarted node does not vote although every peer has announced that it does not lead")
	}
}

// A node that has granted a leader lease votes for no candidate until the grant expires, and a node that
// has voted for a candidate grants no lease to the leader of an earlier term. Otherwise both the
// candidate and that leader could lead. Here n0 gets the messages of n1.
func TestLeaseGrantAndVoteExcludeEachOther(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.store.setDown(true)
	sim.advance(10 * time.Second)
	n := sim.nodes["n0"]
	now := sim.now - n.bootedAt
	sent := func(matches func(effect Effect) bool, messages ...protocol.PeerMessage) bool {
		var batch []Command
		for _, message := range messages {
			batch = append(batch, InboundMessage{From: "n1", Message: message})
		}
		now += step
		return slices.ContainsFunc(n.Step(now, batch), matches)
	}
	if !sent(sendsMessage[protocol.LeaseGrant],
		protocol.PeerHeartbeat{Term: 7, IsLeader: true, WantsLeaseGrant: true}) {
		t.Fatal("n0 grants no lease during a store outage, want a grant")
	}
	if sent(sendsMessage[protocol.Vote], protocol.VoteRequest{Term: 8}) {
		t.Fatal("n0 votes before the lease that it granted has expired")
	}
	now += 2 * n.leaderLease()
	if !sent(sendsMessage[protocol.Vote], protocol.VoteRequest{Term: 8}) {
		t.Fatal("n0 does not vote after the lease that it granted has expired")
	}
	if sent(sendsMessage[protocol.LeaseGrant], protocol.PeerHeartbeat{Term: 7, IsLeader: true, WantsLeaseGrant: true}) {
		t.Fatal("n0 grants a lease in term 7 after it has voted in term 8")
	}
}

// A leader that is isolated from peers and workers, but not from the key-value store, must resign.
// Otherwise it would keep the leader key for ever, and no job would be served.
func TestIsolatedLeaderResigns(t *testing.T) {
	sim := newSimulation(t, 3)
	isolatedLeader := sim.waitForLeader()
	sim.submit(isolatedLeader.name, jobSpec("j-1", 2))
	sim.advance(10 * time.Second)
	for _, other := range sim.followers() {
		sim.linkCuts[[2]string{isolatedLeader.name, other}] = true
	}
	for _, worker := range sim.workers {
		worker.unreachable = true
	}
	if !sim.advanceUntil(15*time.Second,
		func() bool { leader := sim.leaderName(); return leader != "" && leader != isolatedLeader.name }) {
		t.Fatalf("the isolated leader %s was not replaced within 15 s", isolatedLeader.name)
	}
}

// A transaction of a replaced leader that the store executes late must change nothing. Here it is the
// cancellation of a job that the new leader runs.
func TestLateTransactionOfOldLeader(t *testing.T) {
	sim := newSimulation(t, 3)
	oldLeader := sim.waitForLeader()
	sim.submit(oldLeader.name, jobSpec("j-1", 1))
	sim.store.holdTransaction = func(node string, txn storage.Txn) bool {
		if node != oldLeader.name || len(txn.Writes) == 0 {
			return false
		}
		for _, write := range txn.Writes {
			if write.PutKey == storage.TerminalKey("j-1") {
				return true
			}
		}
		return false
	}
	sim.sendRequest(oldLeader.name, Request{Kind: protocol.RequestCancel, JobID: "j-1"}, func(Reply) {})
	if !sim.advanceUntil(5*time.Second, func() bool { return len(sim.store.heldTransactions) > 0 }) {
		t.Fatal("the leader did not send the terminal record of j-1 within 5 s")
	}
	sim.crashNode(oldLeader.name)
	sim.waitForLeader()
	for _, execute := range sim.store.heldTransactions {
		execute()
	}
	if _, terminal := sim.store.keys[storage.TerminalKey("j-1")]; terminal {
		t.Fatal("the late transaction of the old leader was applied: j-1 has a terminal record")
	}
	sim.store.holdTransaction = nil
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
}

// A lost response leaves the outcome of a transaction uncertain. The leader sends the identical
// transaction again. If a condition of the second one fails, the stored records show whether the first
// one was executed. The leader must not step down.
func TestUncertainTransactionIsResolved(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	sim.submit(leaderNode.name, jobSpec("j-1", 2))
	sim.store.responsesToLose = 3
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	if sim.store.responsesToLose != 0 {
		t.Fatalf("%d of the 3 responses to lose were not lost", sim.store.responsesToLose)
	}
	if sim.leaderName() != leaderNode.name {
		t.Fatalf("%q leads after lost responses, want %s", sim.leaderName(), leaderNode.name)
	}
}

// In a rolling restart each node is down once. When the leader restarts, the node that restarted most
// recently must succeed it, because that node need not restart again. So leadership moves as seldom as
// possible.
func TestRollingRestartLeaderChanges(t *testing.T) {
	for first := range 3 {
		sim := newSimulation(t, 3)
		leader := sim.waitForLeader().name
		initialLeader := leader
		sim.advance(20 * time.Second)
		leaderChanges := 0
		for i := range 3 {
			name := sim.names[(first+i)%3]
			sim.crashNode(name)
			sim.advance(3 * time.Second)
			sim.restartNode(name)
			sim.advance(20 * time.Second)
			if newLeader := sim.leaderName(); newLeader != leader {
				leader, leaderChanges = newLeader, leaderChanges+1
			}
		}
		maxChanges := 1
		if initialLeader == sim.names[first] {
			maxChanges = 2 // the leader restarts first, so its successor restarts later
		}
		if leaderChanges > maxChanges {
			t.Fatalf("restart from %s on, with %s as leader: leadership moved %d times, want at most %d",
				sim.names[first], initialLeader, leaderChanges, maxChanges)
		}
	}
}

// The store refuses some nodes or is down, messages are lost or delayed, nodes crash, restart and
// pause, and the store executes calls late. At most one node holds a leader lease at any time, and a
// leader is elected within two worker leases of the last fault. No jobs run, so that thousands of
// elections fit into the test.
func TestLeaderLeaseIsExclusive(t *testing.T) {
	forEachSeed(t, 200, 4000, func(t *testing.T, seed uint64) {
		c := newUserSimulation(newSimulationWithTimings(t, []int{3, 5, 7}[seed%3],
			deployments[seed/3%uint64(len(deployments))]), seed)
		leaderLease := c.machineLease() / election.LeaderLeasesPerWorkerLease
		randomDelay := func() time.Duration { return time.Duration(c.rng.ExpFloat64() * float64(leaderLease) * 0.7) }
		c.driftClocks()
		c.holdMessages = seed%2 == 0
		if seed%4 == 1 {
			c.store.lateExecution = func() (time.Duration, bool) {
				return time.Duration(c.rng.ExpFloat64() * float64(leaderLease)), c.rng.IntN(8) == 0
			}
		}
		for end := c.now + 8*c.machineLease(); c.now < end; c.advance(randomDelay() / 2) {
			name, other := c.randomNode(), c.randomNode()
			if leader := c.leaderName(); leader != "" && c.rng.IntN(3) == 0 {
				name = leader
			}
			n := c.nodes[name]
			switch c.rng.IntN(8) {
			case 0, 1:
				c.store.refusedNodes[name] = true
				c.schedule(randomDelay(), func() { delete(c.store.refusedNodes, name) })
			case 2:
				for _, refused := range c.names {
					if c.rng.IntN(2) == 0 {
						c.store.refusedNodes[refused] = true
						c.schedule(randomDelay(), func() { delete(c.store.refusedNodes, refused) })
					}
				}
			case 3:
				c.store.setDown(true)
				c.schedule(randomDelay(), func() { c.store.setDown(false) })
			case 4, 5:
				c.linkCuts[[2]string{name, other}] = true
				c.schedule(randomDelay(), c.healCuts)
			case 6:
				if !n.down {
					c.restartAfter(name, randomDelay()/4)
				}
			case 7:
				if !n.down && !n.paused {
					c.pauseNode(n, randomDelay(), func() {})
				}
			}
		}
		c.store.lateExecution = nil
		c.advance(12 * time.Second)
		c.store.refusedNodes = map[string]bool{}
		c.healCuts()
		if !c.advanceUntil(2*c.machineLease(), func() bool { return c.leaderName() != "" }) {
			t.Fatalf("no node leads %v after the last fault", 2*c.machineLease())
		}
	})
}

// A leader that only the key-value store refuses is replaced within a worker lease, with any number
// of nodes and whenever the refusal begins, because a peer that the store serves grants it no lease.
// Such grants would keep the peers from voting for as long as the leader requests them.
func TestRefusedLeaderIsReplacedInAnyClusterSize(t *testing.T) {
	for _, nodes := range []int{3, 5, 7} {
		for offset := range 12 {
			t.Run(fmt.Sprintf("%d nodes/%d", nodes, offset), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, nodes)
				refusedLeader := sim.waitForLeader()
				sim.advance(time.Duration(offset) * refusedLeader.leaderLease() / 7)
				sim.store.refusedNodes[refusedLeader.name] = true
				if !sim.advanceUntil(refusedLeader.workerLease(),
					func() bool { leader := sim.leaderName(); return leader != "" && leader != refusedLeader.name }) {
					t.Fatalf("the refused leader %s was not replaced within %v", refusedLeader.name,
						refusedLeader.workerLease())
				}
			})
		}
	}
}

// A node that has voted for a candidate and restarts without a memory of its vote must not grant a
// lease to the old leader, because the candidate relies on the vote. Here the old leader leads by
// grants of two of the five nodes. One of them, voter, is served by the store again, so that its
// grant expires and it votes for the candidate too. The other one, granter, and the restarted node
// would complete the old leader's quorum, and two nodes would lead.
func TestNoLeaseGrantAfterForgottenVote(t *testing.T) {
	candidateLed := 0
	for offset := range 60 {
		sim := newSimulation(t, 5)
		oldLeader := sim.waitForLeader()
		others := sim.followers()
		candidate, voter, restartedVoter, granter := others[0], others[1], others[2], others[3]
		for _, name := range []string{oldLeader.name, voter, restartedVoter, granter} {
			sim.store.refusedNodes[name] = true
		}
		sim.linkCuts[[2]string{oldLeader.name, restartedVoter}] = true
		sim.advance(2*oldLeader.leaderLease() + time.Duration(offset)*20*time.Millisecond)
		delete(sim.store.refusedNodes, voter) // from now on voter grants no more leases
		hasRestartedVote := func() bool {
			return slices.Contains(sim.nodes[candidate].election.Status().Votes, restartedVoter)
		}
		if sim.advanceUntil(oldLeader.leaderLease(), hasRestartedVote) {
			sim.restartAfter(restartedVoter, 20*time.Millisecond)
			sim.schedule(50*time.Millisecond, func() {
				sim.healCuts()
				sim.store.refusedNodes[restartedVoter] = true
			})
		}
		sim.advance(2 * oldLeader.leaderLease()) // two leaders would fail in the invariant checker
		if sim.leaderName() == candidate {
			candidateLed++
		}
	}
	if candidateLed == 0 {
		t.Error("the candidate leads with none of the 60 offsets, so the test covers nothing")
	}
}

// The leader lease counts from when its renewal was sent. If it counted from the response, a leader
// whose responses are delayed would lead on after its lease in the key-value store has expired.
func TestLeaderLeaseCountsFromSentRenewal(t *testing.T) {
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
	sentAt := now
	leaderNode.Step(sentAt+leaderNode.storeTimeout()*9/10, []Command{CallResult{ID: renewal.ID, Status: 200}})
	if validUntil := leaderNode.election.Status().LeaseValidUntil; validUntil !=
		sentAt+election.GuaranteedLeaseDuration(leaderNode.leaderLease()) {
		t.Errorf("leader lease valid until %v after a renewal sent at %v, want %v", validUntil, sentAt,
			sentAt+election.GuaranteedLeaseDuration(leaderNode.leaderLease()))
	}
}

// A leader that was paused for longer than its lease finds heartbeats and requests in its queue when
// it resumes. Its clock has advanced meanwhile, so it must not answer any of them as the leader.
func TestPausedLeaderDoesNotReplyAsLeader(t *testing.T) {
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
					t.Errorf("a leader whose lease has expired replies 200 to a %s", kind)
				}
			}
		})
	}
}

// acceptingStore is an election host whose key-value store has no leader key and accepts each request
// of a candidate. It has its own clock.
type acceptingStore struct {
	electionHost
	now      clock.Instant
	lastTerm uint64
}

func (host *acceptingStore) Now() clock.Instant { return host.now }

func (host *acceptingStore) CallStore(_, path string, _ any, onResponse func(storage.Response)) {
	switch path {
	case "/store/" + storage.TermKey:
		term := storage.Encode(storage.Term{Term: host.lastTerm})
		onResponse(storage.Response{Status: 200, Body: storage.Encode(storage.Item{Value: term})})
	case "/holds":
		onResponse(storage.Response{Status: 200, Body: storage.Encode(storage.Lease{ID: 1})})
	case "/multi":
		onResponse(storage.Response{Status: 200, Body: storage.Encode(storage.TxnResponse{})})
	default:
		onResponse(storage.Response{Status: 404})
	}
}

// forceLeadership makes a node the leader of a term, even if another node leads. It replaces the
// node's election by one of a single-node cluster with a store that accepts every request.
func forceLeadership(n *Node, term uint64) {
	host := &acceptingStore{electionHost: electionHost{n}, now: n.now, lastTerm: term - 1}
	singleNodeCluster := n.cfg.Cluster
	singleNodeCluster.ControllerCount = 1
	n.election = election.New(election.Options{Node: n.cfg.Node, ProcessID: n.processID, Cluster: &singleNodeCluster,
		Rand: n.rng, Host: host})
	for !n.holdsLeaderLease() {
		host.now += step
		n.election.Tick()
	}
}
