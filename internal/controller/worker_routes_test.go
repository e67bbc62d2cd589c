package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
)

// newConnectionLimitedSimulation returns a simulation whose nodes accept a limited number of worker
// connections each, with the given number of machines up.
func newConnectionLimitedSimulation(t *testing.T, nodes, sockets, machines int) *simulation {
	t.Helper()
	sim := newSimulationWithTimings(t, nodes, deployments[3])
	sim.connectionLimit = sockets
	sim.taskDuration = func(string, int) time.Duration { return 10 * time.Minute }
	sim.waitForLeader()
	for i := range machines {
		sim.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	sim.cloud.capacity, sim.cloud.rejectReturns = machines, true // so that a lost machine shows as a lease that has expired
	if !sim.advanceUntil(30*time.Second, func() bool { return len(sim.workers) >= machines }) {
		t.Fatal("machines did not come up")
	}
	return sim
}

// connectionCount returns the number of machines that are connected to a node.
func (sim *simulation) connectionCount(node string) int { return sim.openConnections[node] }

// checkLeasesHeld checks that no machine's lease has expired.
func (sim *simulation) checkLeasesHeld(when string) {
	sim.t.Helper()
	lost := 0
	for _, worker := range sim.workers {
		if worker.epoch > 1 {
			lost++
		}
	}
	if lost > 0 {
		sim.t.Errorf("%s: the leases of %d of %d machines ran out", when, lost, len(sim.workers))
	}
}

// Four thousand machines exceed the connections of three controllers together: their heartbeats are
// spread, and their leases hold while the leader is replaced and after a restart of all
// controllers, when all of them connect again at once.
func TestFourThousandMachines(t *testing.T) {
	const machines, sockets = 4000, 1200
	sim := newConnectionLimitedSimulation(t, 5, sockets, machines)
	c := newUserSimulation(sim, 1)
	jobs := 8
	for i := range jobs {
		c.submitWithRetries(jobSpec(fmt.Sprintf("j-%d", i), 50))
	}
	sim.advance(2 * sim.nodes["n0"].workerLease())
	sim.checkLeasesHeld("all up")
	if served := sim.connectionCount(sim.leaderName()); served > sockets*7/8 {
		t.Errorf("the leader has %d of %d connections in use", served, sockets)
	}
	if l := sim.nodes[sim.leaderName()].leader; !l.AllReconciled() || len(l.MachinesByName()) != machines {
		t.Errorf("%d machines are known", len(l.MachinesByName()))
	}
	started := sim.totalStarts()
	if started != jobs*50 {
		t.Errorf("%d tasks started", started)
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
		t.Error("not all machines are accounted for within a lease")
	}
	sim.advance(sim.nodes["n0"].workerLease())
	sim.checkLeasesHeld("after an end of all")
	if again := sim.totalStarts(); again != started {
		t.Errorf("%d tasks were started anew", again-started)
	}
	sim.checkStartedOnce()
}

// A single remaining controller has a connection for each fourth machine. It serves all of them in
// turns: none waits without a response, and no lease expires.
func TestSingleControllerServesWorkersInTurns(t *testing.T) {
	const machines, sockets = 400, 100
	sim := newConnectionLimitedSimulation(t, 3, sockets, machines)
	newUserSimulation(sim, 1).submitWithRetries(jobSpec("j-1", 200))
	sim.advance(time.Minute)
	for _, name := range sim.followers() {
		sim.crashNode(name)
	}
	sim.advance(4 * sim.nodes["n0"].workerLease())
	if sim.leaderName() == "" {
		t.Fatal("it does not lead")
	}
	sim.checkLeasesHeld("alone")
	sim.checkStartedOnce()
}

// A full leader redirects new workers to the node with the most free connections, once; a worker
// that returns can't reach that node, so it is served.
func TestFullLeaderRedirectsNewWorkers(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	for i, name := range sim.followers() {
		leaderNode.Step(leaderNode.monotonicNow(sim.now),
			[]Command{InboundMessage{From: name,
				Message: protocol.PeerHeartbeat{ProcessID: 7, VersionLevel: protocolLevel,
					SpareConnections: 10 * (i + 1)}}})
	}
	roomiest := sim.followers()[1]
	report := func(name string, seq uint64) Reply {
		heartbeat := &protocol.WorkerHeartbeat{Machine: name, Type: "c4", Zone: "a", Epoch: 1, Sequence: seq}
		for _, e := range leaderNode.Step(leaderNode.monotonicNow(sim.now),
			[]Command{Request{Origin: Origin{RequestID: 1}, Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}}) {
			if reply, is := e.(Reply); is {
				return reply
			}
		}
		t.Fatal("no answer")
		return Reply{}
	}
	if r := report("m-1", 1); r.Status != 200 {
		t.Errorf("with room: %+v", r)
	}
	leaderNode.Step(leaderNode.monotonicNow(sim.now), []Command{ServerLoad{Open: 90, Limit: 100}})
	if r := report("m-1", 2); r.Status != 200 {
		t.Errorf("one that is served: %+v", r)
	}
	if r := report("m-2", 1); r.Status != 421 || string(r.Body) != `{"reportaA":"`+roomiest+`"}` {
		t.Errorf("a newcomer: %d %s", r.Status, r.Body)
	}
	if r := report("m-2", 2); r.Status != 200 {
		t.Errorf("back again: %+v", r)
	}
	for _, name := range sim.followers() {
		leaderNode.Step(leaderNode.monotonicNow(sim.now),
			[]Command{InboundMessage{From: name,
				Message: protocol.PeerHeartbeat{ProcessID: 7, VersionLevel: protocolLevel, ConnectionsFull: true}}})
	}
	if r := report("m-3", 1); r.Status != 200 {
		t.Errorf("with all nodes full: %+v", r)
	}
}

// Most machines are relayed while the relaying controller, or the leader, crashes, pauses or is cut
// one way, at any moment of a heartbeat: no task runs twice, every job completes, and a worker
// never gets a response older than the one it waits for.
func TestRelayingNodeFails(t *testing.T) {
	faults := map[string]func(sim *simulation, leader, relaying string){
		"relaying node ends": func(sim *simulation, _, relaying string) {
			sim.restartAfter(relaying, 300*time.Millisecond)
		},
		"relaying node stands": func(sim *simulation, _, relaying string) { sim.nodes[relaying].pauseBeforeEffects = 6 * time.Second },
		"leader ends": func(sim *simulation, leader, _ string) {
			sim.restartAfter(leader,
				300*time.Millisecond)
		},
		"leader stands": func(sim *simulation, leader, _ string) { sim.nodes[leader].pauseBeforeEffects = 30 * time.Second },
		"answers don't get through": func(sim *simulation, leader, relaying string) {
			sim.cutOneWayFor(leader,
				relaying, 20*time.Second)
		},
		"reports don't get through": func(sim *simulation, leader, relaying string) { sim.cutOneWayFor(relaying, leader, 20*time.Second) },
		"held back": func(sim *simulation, leader, relaying string) {
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
				c := newUserSimulation(sim, uint64(offset))
				for i := range 6 {
					c.submitWithRetries(jobSpec(fmt.Sprintf("j-%d", i), 12))
				}
				sim.advance(15*time.Second + time.Duration(offset)*311*time.Millisecond)
				leader := sim.leaderName()
				relaying := sim.followers()[offset%2]
				if sim.connectionCount(relaying) == 0 {
					relaying = sim.followers()[(offset+1)%2]
				}
				if sim.connectionCount(relaying) == 0 {
					t.Fatal("no machine is relayed for")
				}
				inject(sim, leader, relaying)
				sim.advance(25 * time.Second)
				c.waitForCompletion(5 * time.Minute)
			}
		})
	}
}

// Where the leader is full, a follower relays heartbeats without redirecting their workers first;
// where it has room for some, as many are redirected, in proportion, and no more.
func TestFollowerRelaysForFullLeader(t *testing.T) {
	sim := newSimulation(t, 3)
	leader := sim.waitForLeader()
	f := sim.nodes[sim.followers()[0]]
	counts := func(beat protocol.PeerHeartbeat, workers string) (sent, relayed int) {
		beat.Term, beat.IsLeader, beat.ProcessID, beat.VersionLevel = leader.leader.term, true, leader.processID, protocolLevel
		batch := []Command{InboundMessage{From: leader.name, Message: beat}}
		for i := range 20 {
			heartbeat := &protocol.WorkerHeartbeat{Machine: fmt.Sprintf("m-%s-%d", workers, i), Type: "c4",
				Zone: "a", Epoch: 1, Sequence: 1}
			batch = append(batch, Request{Origin: Origin{RequestID: uint64(i + 1)},
				Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat})
		}
		for _, e := range f.Step(f.monotonicNow(sim.now), batch) {
			switch e := e.(type) {
			case Reply:
				sent++
			case OutboundMessage:
				if _, forwarded := e.Message.(protocol.ForwardedRequest); forwarded {
					relayed++
				}
			}
		}
		return sent, relayed
	}
	for _, x := range []struct {
		name          string
		beat          protocol.PeerHeartbeat
		sent, relayed int
	}{
		{"an earlier version", protocol.PeerHeartbeat{}, 20, 0},
		{"full", protocol.PeerHeartbeat{ConnectionsFull: true}, 0, 20},
		{"room for ten, of which half", protocol.PeerHeartbeat{SpareConnections: 10}, 5, 15},
	} {
		if sent, relayed := counts(x.beat, x.name); sent != x.sent || relayed != x.relayed {
			t.Errorf("%s: %d are sent to the leader, %d relayed", x.name, sent, relayed)
		}
	}
}

// A response that was delayed beyond the worker's timeout is not passed on: the relaying controller
// may have been paused while it held the response.
func TestLateResponseIsDiscarded(t *testing.T) {
	sim := newSimulation(t, 3)
	leader := sim.waitForLeader()
	f := sim.nodes[sim.followers()[0]]
	heartbeat := &protocol.WorkerHeartbeat{Machine: "m-1", Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
	for _, x := range []struct {
		after  time.Duration
		status int
	}{{f.workerRouter.RelayTimeout() - step, 200}, {f.workerRouter.RelayTimeout(), 503}} {
		f.workerRouter.RouteOf("m-1").RelayUntil = f.now + time.Hour
		f.Step(f.monotonicNow(sim.now),
			[]Command{InboundMessage{From: leader.name,
				Message: protocol.PeerHeartbeat{Term: leader.leader.term, IsLeader: true, ProcessID: leader.processID}},
				Request{Origin: Origin{RequestID: 1}, Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}})
		answer := InboundMessage{From: leader.name,
			Message: protocol.ForwardedResponse{ID: f.forwards.LastID, Status: 200, Body: []byte("{}")}}
		sim.now += x.after
		got := 0
		for _, e := range f.Step(f.monotonicNow(sim.now), []Command{answer}) {
			if reply, is := e.(Reply); is {
				got = reply.Status
			}
		}
		if got != x.status {
			t.Errorf("%v after the report: %d, not %d", x.after, got, x.status)
		}
	}
}

// All machines report at once while a leader reads the records. Each is connected to some node, so
// none is rejected for their number.
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
		if reply, is := e.(Reply); is {
			t.Fatalf("a report is answered %d", reply.Status)
		}
	}
}

// A leader whose attempt counter is exhausted hands over to a new term, as its next attempt numbers
// would be those of the term after.
func TestAttemptNumbersAreNeverReused(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	term := leaderNode.leader.term
	leaderNode.leader.attemptCounter = maxAttemptCounter - 1
	last := leaderNode.leader.NextAttemptNumber()
	sim.advance(20 * step)
	if next := sim.waitForLeader().leader; next.term <= term || next.NextAttemptNumber() <= last {
		t.Errorf("term %d goes on after %d", next.term, term)
	}
}
