package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/workerrouting"
)

// newConnectionLimitedSimulation returns a simulation with the given number of running machines, in
// which each node accepts at most connectionLimit worker connections.
func newConnectionLimitedSimulation(t *testing.T, nodes, connectionLimit, machines int) *simulation {
	t.Helper()
	sim := newSimulationWithTimings(t, nodes, deployments[3])
	sim.connectionLimit = connectionLimit
	sim.taskDuration = func(string, int) time.Duration { return 10 * time.Minute }
	sim.waitForLeader()
	for i := range machines {
		sim.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	// With these settings, an unreachable machine is neither returned to the cloud nor replaced, and its
	// lease expires, which checkLeasesHeld reports.
	sim.cloud.capacity, sim.cloud.rejectReturns = machines, true
	if !sim.advanceUntil(30*time.Second, func() bool { return len(sim.workers) >= machines }) {
		t.Fatalf("running machines after 30 s: got %d, want %d", len(sim.workers), machines)
	}
	return sim
}

// connectionCount returns the number of workers that are connected to a node.
func (sim *simulation) connectionCount(node string) int { return sim.openConnections[node] }

// checkLeasesHeld fails the test if the lease of any machine has expired. when describes the moment.
func (sim *simulation) checkLeasesHeld(when string) {
	sim.t.Helper()
	expired := 0
	for _, worker := range sim.workers {
		if worker.epoch > 1 { // incremented when the lease expires
			expired++
		}
	}
	if expired > 0 {
		sim.t.Errorf("%s: expired leases of %d machines: got %d, want 0", when, len(sim.workers), expired)
	}
}

// Four thousand machines exceed the connections of three controllers together, and leases of machines
// that can't connect would expire. The heartbeats are spread over five controllers. No lease expires
// while the leader is replaced and after a restart of all controllers, when all workers connect again
// at once.
func TestFourThousandMachines(t *testing.T) {
	const machines, connectionLimit = 4000, 1200
	sim := newConnectionLimitedSimulation(t, 5, connectionLimit, machines)
	users := newUserSimulation(sim, 1)
	jobCount := 8
	for i := range jobCount {
		users.submitWithRetries(jobSpec(fmt.Sprintf("j-%d", i), 50))
	}
	sim.advance(2 * sim.nodes["n0"].workerLease())
	sim.checkLeasesHeld("with all controllers running")
	if served := sim.connectionCount(sim.leaderName()); served > connectionLimit*7/8 {
		t.Errorf("connections of the leader: got %d, want at most %d", served, connectionLimit*7/8)
	}
	if l := sim.nodes[sim.leaderName()].leader; !l.AllReconciled() || len(l.MachinesByName()) != machines {
		t.Errorf("machines in the leader: got %d, all reconciled %t, want %d, all reconciled", len(l.MachinesByName()),
			l.AllReconciled(), machines)
	}
	started := sim.totalStarts()
	if started != jobCount*50 {
		t.Errorf("started tasks: got %d, want %d", started, jobCount*50)
	}

	sim.restartAfter(sim.leaderName(), 10*time.Second)
	sim.advance(2 * sim.nodes["n0"].workerLease())
	sim.waitForLeader()
	sim.checkLeasesHeld("after a takeover")

	for _, name := range sim.names {
		sim.restartAfter(name, 8*time.Second)
	}
	sim.advance(8 * time.Second)
	sim.waitForLeader()
	if !sim.advanceUntil(sim.nodes["n0"].workerLease(),
		func() bool { l := sim.leaderName(); return l != "" && sim.nodes[l].leader.AllReconciled() }) {
		t.Error("not all machines were reconciled within a worker lease")
	}
	sim.advance(sim.nodes["n0"].workerLease())
	sim.checkLeasesHeld("after a restart of all controllers")
	if startedNow := sim.totalStarts(); startedNow != started {
		t.Errorf("tasks started again after the restart: got %d, want 0", startedNow-started)
	}
	sim.checkStartedOnce()
}

// A single remaining controller has one connection for every four machines. If the first workers kept
// their connections, the leases of the others would expire. It serves all workers in turns, so that
// none waits without a response and no lease expires.
func TestSingleControllerServesWorkersInTurns(t *testing.T) {
	const machines, connectionLimit = 400, 100
	sim := newConnectionLimitedSimulation(t, 3, connectionLimit, machines)
	newUserSimulation(sim, 1).submitWithRetries(jobSpec("j-1", 200))
	sim.advance(time.Minute)
	for _, name := range sim.followers() {
		sim.crashNode(name)
	}
	sim.advance(4 * sim.nodes["n0"].workerLease())
	if sim.leaderName() == "" {
		t.Fatal("the remaining controller is not the leader")
	}
	sim.checkLeasesHeld("with one controller")
	sim.checkStartedOnce()
}

// A full leader redirects a new worker to the node with the most free connections, but only once: a
// worker that returns can't reach that node, and would never be served. Workers that the leader
// already serves stay, and with all nodes full, new ones are served too.
func TestFullLeaderRedirectsNewWorkers(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	for i, name := range sim.followers() {
		leaderNode.Step(leaderNode.monotonicNow(sim.now),
			[]Command{InboundMessage{From: name,
				Message: protocol.PeerHeartbeat{ProcessID: 7, ProtocolLevel: protocolLevel,
					SpareConnections: 10 * (i + 1)}}})
	}
	leastLoaded := sim.followers()[1]
	sendHeartbeat := func(name string, sequence uint64) Reply {
		heartbeat := &protocol.WorkerHeartbeat{Machine: name, Type: "c4", Zone: "a", Epoch: 1, Sequence: sequence}
		for _, e := range leaderNode.Step(leaderNode.monotonicNow(sim.now),
			[]Command{Request{Origin: Origin{RequestID: 1}, Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}}) {
			if reply, ok := e.(Reply); ok {
				return reply
			}
		}
		t.Fatalf("heartbeat %d of %s: got no reply", sequence, name)
		return Reply{}
	}
	if r := sendHeartbeat("m-1", 1); r.Status != 200 {
		t.Errorf("with free connections: got %+v, want status 200", r)
	}
	leaderNode.Step(leaderNode.monotonicNow(sim.now), []Command{ServerLoad{Open: 90, Limit: 100}})
	if r := sendHeartbeat("m-1", 2); r.Status != 200 {
		t.Errorf("full leader, worker that it serves: got %+v, want status 200", r)
	}
	if r := sendHeartbeat("m-2", 1); r.Status != 421 || string(r.Body) != `{"reportaA":"`+leastLoaded+`"}` {
		t.Errorf("full leader, new worker: got %d %s, want 421 and a redirect to %s", r.Status, r.Body, leastLoaded)
	}
	if r := sendHeartbeat("m-2", 2); r.Status != 200 {
		t.Errorf("full leader, worker that returns after a redirect: got %+v, want status 200", r)
	}
	for _, name := range sim.followers() {
		leaderNode.Step(leaderNode.monotonicNow(sim.now),
			[]Command{InboundMessage{From: name,
				Message: protocol.PeerHeartbeat{ProcessID: 7, ProtocolLevel: protocolLevel, ConnectionsFull: true}}})
	}
	if r := sendHeartbeat("m-3", 1); r.Status != 200 {
		t.Errorf("all nodes full, new worker: got %+v, want status 200", r)
	}
}

// The heartbeats of most workers are relayed when the relaying controller or the leader crashes, pauses
// or loses its messages in one direction, at different moments of a heartbeat. Lost or late heartbeats
// and responses must not let a task run twice or keep a job from completing, and a worker must never
// get a response older than the one that it waits for.
func TestRelayingNodeFails(t *testing.T) {
	faults := map[string]func(sim *simulation, leader, relaying string){
		"relaying node crashes": func(sim *simulation, _, relaying string) {
			sim.restartAfter(relaying, 300*time.Millisecond)
		},
		"relaying node pauses": func(sim *simulation, _, relaying string) {
			sim.nodes[relaying].pauseBeforeEffects = 6 * time.Second
		},
		"leader crashes": func(sim *simulation, leader, _ string) {
			sim.restartAfter(leader, 300*time.Millisecond)
		},
		"leader pauses": func(sim *simulation, leader, _ string) {
			sim.nodes[leader].pauseBeforeEffects = 30 * time.Second
		},
		"responses to relaying node are lost": func(sim *simulation, leader, relaying string) {
			sim.cutOneWayFor(leader, relaying, 20*time.Second)
		},
		"heartbeats to leader are lost": func(sim *simulation, leader, relaying string) {
			sim.cutOneWayFor(relaying, leader, 20*time.Second)
		},
		"responses to relaying node are late": func(sim *simulation, leader, relaying string) {
			sim.holdMessages = true
			sim.cutOneWayFor(leader, relaying, 9*time.Second)
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for offset := range 4 {
				sim := newConnectionLimitedSimulation(t, 3, 8, 12)
				sim.taskDuration = func(string, int) time.Duration { return 20 * time.Second }
				users := newUserSimulation(sim, uint64(offset))
				for i := range 6 {
					users.submitWithRetries(jobSpec(fmt.Sprintf("j-%d", i), 12))
				}
				sim.advance(15*time.Second + time.Duration(offset)*311*time.Millisecond)
				leader := sim.leaderName()
				relaying := sim.followers()[offset%2]
				if sim.connectionCount(relaying) == 0 {
					relaying = sim.followers()[(offset+1)%2]
				}
				if sim.connectionCount(relaying) == 0 {
					t.Fatalf("offset %d: neither follower has a worker connection to relay", offset)
				}
				inject(sim, leader, relaying)
				sim.advance(25 * time.Second)
				users.waitForCompletion(5 * time.Minute)
			}
		})
	}
}

// If followers redirected all workers to a full leader, the workers would lose time with a connection
// that is refused. So a follower relays heartbeats at once if the leader is full. If the leader has free
// connections, each follower redirects an equal share of that number of workers and relays the others.
func TestFollowerRelaysForFullLeader(t *testing.T) {
	sim := newSimulation(t, 3)
	leader := sim.waitForLeader()
	follower := sim.nodes[sim.followers()[0]]
	sendHeartbeats := func(leaderHeartbeat protocol.PeerHeartbeat, workers string) (redirected, relayed int) {
		leaderHeartbeat.Term, leaderHeartbeat.IsLeader, leaderHeartbeat.ProcessID, leaderHeartbeat.ProtocolLevel =
			leader.leader.term, true, leader.processID, protocolLevel
		batch := []Command{InboundMessage{From: leader.name, Message: leaderHeartbeat}}
		for i := range 20 {
			heartbeat := &protocol.WorkerHeartbeat{Machine: fmt.Sprintf("m-%s-%d", workers, i), Type: "c4",
				Zone: "a", Epoch: 1, Sequence: 1}
			batch = append(batch, Request{Origin: Origin{RequestID: uint64(i + 1)},
				Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat})
		}
		for _, e := range follower.Step(follower.monotonicNow(sim.now), batch) {
			switch e := e.(type) {
			case Reply:
				redirected++
			case OutboundMessage:
				if _, forwarded := e.Message.(protocol.ForwardedRequest); forwarded {
					relayed++
				}
			}
		}
		return redirected, relayed
	}
	for _, test := range []struct {
		name                string
		leaderHeartbeat     protocol.PeerHeartbeat
		redirected, relayed int // of 20 workers
	}{
		{"an earlier version", protocol.PeerHeartbeat{}, 20, 0},
		{"full", protocol.PeerHeartbeat{ConnectionsFull: true}, 0, 20},
		{"room for ten, of which half", protocol.PeerHeartbeat{SpareConnections: 10}, 5, 15},
	} {
		if redirected, relayed := sendHeartbeats(test.leaderHeartbeat, test.name); redirected != test.redirected ||
			relayed != test.relayed {
			t.Errorf("leader %q: got %d workers redirected, %d relayed, want %d and %d", test.name, redirected, relayed,
				test.redirected, test.relayed)
		}
	}
}

// A relaying controller that pauses may pass on a response after the worker's timeout, when the worker
// waits for the response to a later heartbeat. It must discard a response that arrives after the relay
// timeout, and reply 503.
func TestLateResponseIsDiscarded(t *testing.T) {
	sim := newSimulation(t, 3)
	leader := sim.waitForLeader()
	follower := sim.nodes[sim.followers()[0]]
	heartbeat := &protocol.WorkerHeartbeat{Machine: "m-1", Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
	for _, test := range []struct {
		delay  time.Duration
		status int // that the worker gets
	}{{workerrouting.RelayTimeout(follower.workerLease()) - step, 200}, {workerrouting.RelayTimeout(follower.workerLease()), 503}} {
		follower.workerRouter.RouteOf("m-1").RelayUntil = follower.now + time.Hour
		follower.Step(follower.monotonicNow(sim.now),
			[]Command{InboundMessage{From: leader.name,
				Message: protocol.PeerHeartbeat{Term: leader.leader.term, IsLeader: true, ProcessID: leader.processID}},
				Request{Origin: Origin{RequestID: 1}, Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}})
		response := InboundMessage{From: leader.name,
			Message: protocol.ForwardedResponse{ID: follower.forwards.LastID, Status: 200, Body: []byte("{}")}}
		sim.now += test.delay
		got := 0
		for _, e := range follower.Step(follower.monotonicNow(sim.now), []Command{response}) {
			if reply, ok := e.(Reply); ok {
				got = reply.Status
			}
		}
		if got != test.status {
			t.Errorf("leader's response %v after the relayed heartbeat: worker got status %d, want %d", test.delay, got,
				test.status)
		}
	}
}

// After a takeover, the heartbeats of all 4,000 machines may reach the leader at once while it still
// reads the records. Each worker is connected to some node, so the leader must reject no heartbeat
// because of their number, although they exceed its own connection limit.
func TestEarlyHeartbeatsOfAllMachines(t *testing.T) {
	const machines = 4000
	sim := newSimulation(t, 5)
	sim.cfg.Resources.MaxConnections = 1000
	leaderNode := sim.waitForLeader()
	leaderNode.leader.recordsLoaded = false
	batch := make([]Command, 0, machines)
	for i := range machines {
		heartbeat := &protocol.WorkerHeartbeat{Machine: fmt.Sprintf("m-%06d", i), Type: "c4", Zone: "a",
			Epoch: 1, Sequence: 1}
		batch = append(batch, Request{Origin: Origin{RequestID: uint64(i + 1)},
			Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat})
	}
	for _, e := range leaderNode.Step(leaderNode.monotonicNow(sim.now), batch) {
		if reply, ok := e.(Reply); ok {
			t.Fatalf("early heartbeat: got a reply with status %d, want none yet", reply.Status)
		}
	}
}

// An attempt number contains the term and a counter. A counter that overflows would give the attempt
// numbers of the next term, so that two attempts could have the same number. A leader whose counter is
// nearly exhausted steps down, and a new term begins.
func TestAttemptNumbersAreNeverReused(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	term := leaderNode.leader.term
	leaderNode.leader.attemptCounter = maxAttemptCounter - 1
	last := leaderNode.leader.NextAttemptNumber()
	sim.advance(20 * step)
	if next := sim.waitForLeader().leader; next.term <= term || next.NextAttemptNumber() <= last {
		t.Errorf("got term %d, want a term after %d and an attempt number above %d", next.term, term, last)
	}
}
