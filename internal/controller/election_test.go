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
	firstLeader := sim.waitForLeader()
	term := firstLeader.leader.term
	sim.crashNode(firstLeader.name)
	crashedAt := sim.now
	secondLeader := sim.waitForLeader()
	if secondLeader.leader.term <= term {
		t.Fatalf("term %d after %d", secondLeader.leader.term, term)
	}
	if took := sim.now - crashedAt; took > 2*firstLeader.leaderLease() {
		t.Fatalf("takeover took %v", took)
	}
	// Restarted in the middle of the term, the old leader follows.
	sim.restartNode(firstLeader.name)
	sim.advance(10 * time.Second)
	if sim.leaderName() != secondLeader.name {
		t.Fatalf("%s leads", sim.leaderName())
	}
}

// A leader that only the key-value store refuses must stop by its own clock before another may
// lead, and must be replaced although its peers receive its heartbeats.
func TestLeaderRefusedByStoreIsReplaced(t *testing.T) {
	sim := newSimulation(t, 3)
	refusedLeader := sim.waitForLeader()
	sim.store.refusedNodes[refusedLeader.name] = true
	if !sim.advanceUntil(15*time.Second,
		func() bool { leader := sim.leaderName(); return leader != "" && leader != refusedLeader.name }) {
		t.Fatal("the refused leader was not replaced")
	}
}

// Outages exceed the leader's lease and the workers': lease grants of the peers extend the
// leadership, and with it the tasks continue.
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
			t.Fatalf("at %v %q leads", sim.now, sim.leaderName())
		}
	}
	if r := sim.submit(sim.followers()[0], jobSpec("j-2", 1)); r.Status != 503 || r.RetryAfter == 0 {
		t.Fatalf("submission in an outage: %d, come back after %d", r.Status, r.RetryAfter)
	}
	if code, status := sim.queryJob(sim.followers()[0], "j-1"); code != 200 || status.State != protocol.JobRunning {
		t.Fatalf("query in an outage: %d %v", code, status)
	}
	sim.store.setDown(false)
	sim.advance(5 * time.Second)
	if sim.leaderName() != leaderNode.name || leaderNode.leader.term != term {
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
	outbound, ok := effect.(OutboundMessage)
	if !ok {
		return false
	}
	_, is := outbound.Message.(M)
	return is
}

// A peer that has just restarted may have granted a lease that it no longer remembers, so it
// neither grants a lease nor votes for one span of a grant.
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
			t.Fatal("voted right after a restart")
		}
	}
	n.election.RecordStoreResponse(step, 503)
	effects = n.Step(2*step, []Command{InboundMessage{From: leaderNode.name,
		Message: protocol.PeerHeartbeat{Term: 99, IsLeader: true, WantsLeaseGrant: true}}})
	for _, effect := range effects {
		if sendsMessage[protocol.LeaseGrant](effect) {
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
	lease := sim.nodes["n0"].leaderLease()
	if !sim.advanceUntil(lease*2/3, func() bool { return sim.leaderName() != "" }) {
		t.Fatalf("nobody leads %v after a full restart", lease*2/3)
	}
	n := New(Options{Platform: sim.nodes["n0"].cfg, Log: testLog(), Rand: rand.New(rand.NewPCG(1, 2)),
		StartTime: time.Unix(5, 0)})
	voted := func(from string, heartbeat protocol.PeerHeartbeat) bool {
		effects := n.Step(n.now+step, []Command{InboundMessage{From: from, Message: heartbeat},
			InboundMessage{From: "n1", Message: protocol.VoteRequest{Term: 99}}})
		return slices.ContainsFunc(effects, sendsMessage[protocol.Vote])
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
		t.Fatal("the isolated leader was not replaced")
	}
}

// A transaction of a replaced leader that executes late changes nothing.
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
		t.Fatal("the leader wrote nothing")
	}
	sim.crashNode(oldLeader.name)
	sim.waitForLeader()
	for _, execute := range sim.store.heldTransactions {
		execute()
	}
	if _, terminal := sim.store.keys[storage.TerminalKey("j-1")]; terminal {
		t.Fatal("a late transaction of the old leader was applied")
	}
	sim.store.holdTransaction = nil
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
}

// A lost response leaves the outcome of a transaction uncertain. The identical transaction is sent
// again, and a failed condition is then checked against the stored records.
func TestUncertainTransactionIsResolved(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	sim.submit(leaderNode.name, jobSpec("j-1", 2))
	sim.store.responsesToLose = 3
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	if sim.store.responsesToLose != 0 {
		t.Fatal("no answer was lost")
	}
	if sim.leaderName() != leaderNode.name {
		t.Fatal("an unclear outcome cost the leadership")
	}
}

// In a rolling restart each node is down once. A leader that drains is succeeded by the node that
// restarted last, which need not restart again, so leadership moves seldom.
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
			maxChanges = 2 // drained first, before any other node has restarted
		}
		if leaderChanges > maxChanges {
			t.Fatalf("beginning at %s with %s leading, leadership moved %d times", sim.names[first], initialLeader, leaderChanges)
		}
	}
}

// The store refuses some nodes, messages are lost, nodes crash, restart at once and pause, and
// calls execute late. At most one node holds a leader lease, and a leader is elected within two
// leases once the faults have ended. Nothing else runs here, so that thousands of elections fit.
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
			t.Fatal("nobody leads, though all is well")
		}
	})
}

// A leader that only the key-value store refuses is replaced within a worker lease, with any number
// of nodes and from any moment on: a peer that the store serves grants it no lease. Such a grant
// would bind the peers for as long as the leader asks for it.
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
					t.Fatalf("not replaced within %v", refusedLeader.workerLease())
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
		delete(sim.store.refusedNodes, voter) // its present grant is the last one
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
		sim.advance(2 * oldLeader.leaderLease()) // the invariant checker fails on two leaders
		if sim.leaderName() == candidate {
			candidateLed++
		}
	}
	if candidateLed == 0 {
		t.Error("the candidate never led: the schedule was not brought about")
	}
}

// A lease counts from when its renewal was sent. Counted from the response, a leader whose
// responses are delayed would continue after its lease has ended in the key-value store.
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
		sentAt+election.SafeLeaseSpan(leaderNode.leaderLease()) {
		t.Errorf("authority until %v after a renewal sent at %v", validUntil, sentAt)
	}
}

// A leader that was paused for longer than its lease finds heartbeats and requests in its queue
// when it resumes, and its clocks have advanced: it answers none of them as the leader.
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

// forceLeadership makes a node the leader of a term, whoever else leads: it replaces the node's
// election by one without peers, at a store that accepts everything.
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
