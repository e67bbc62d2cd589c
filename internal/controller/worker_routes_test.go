package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
)

// withSockets is a simulation of nodes that take so many workers' connections each, with so
// many machines up.
func newConnectionLimitedSimulation(t *testing.T, nodes, sockets, machines int) *simulation {
	t.Helper()
	w := newSimulationWithTimings(t, nodes, deployments[3])
	w.connectionLimit = sockets
	w.taskDuration = func(string, int) time.Duration { return 10 * time.Minute }
	w.waitForLeader()
	for i := range machines {
		w.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	w.cloud.capacity, w.cloud.rejectReturns = machines, true // what is lost shows as a session that has ended
	if !w.advanceUntil(30*time.Second, func() bool { return len(w.workers) >= machines }) {
		t.Fatal("machines did not come up")
	}
	return w
}

// direct counts the machines that have a connection to a node.
func (w *simulation) connectionCount(node string) int { return w.openConnections[node] }

// sessionsHold checks that no machine's lease has run out.
func (w *simulation) checkLeasesHeld(when string) {
	w.t.Helper()
	lost := 0
	for _, x := range w.workers {
		if x.epoch > 1 {
			lost++
		}
	}
	if lost > 0 {
		w.t.Errorf("%s: the leases of %d of %d machines ran out", when, lost, len(w.workers))
	}
}

// Four thousand machines, more than three controllers together have connections for: their
// reports are spread, and their leases hold while the leader is replaced and after an end of
// all controllers, when all of them connect anew at once.
func TestFourThousandMachines(t *testing.T) {
	const machines, sockets = 4000, 1200
	w := newConnectionLimitedSimulation(t, 5, sockets, machines)
	c := newUserSimulation(w, 1)
	jobs := 8
	for i := range jobs {
		c.submitWithRetries(jobSpec(fmt.Sprintf("j-%d", i), 50))
	}
	w.advance(2 * w.nodes["n0"].workerLease())
	w.checkLeasesHeld("all up")
	if served := w.connectionCount(w.leaderName()); served > sockets*7/8 {
		t.Errorf("the leader has %d of %d connections in use", served, sockets)
	}
	if l := w.nodes[w.leaderName()].leader; !l.AllReconciled() || len(l.MachinesByName()) != machines {
		t.Errorf("%d machines are known", len(l.MachinesByName()))
	}
	started := w.totalStarts()
	if started != jobs*50 {
		t.Errorf("%d tasks started", started)
	}

	w.restartAfter(w.leaderName(), 10*time.Second)
	w.advance(2 * w.nodes["n0"].workerLease())
	w.waitForLeader()
	w.checkLeasesHeld("after a takeover")

	for _, name := range w.names {
		w.restartAfter(name, 8*time.Second)
	}
	w.advance(8 * time.Second)
	w.waitForLeader()
	if !w.advanceUntil(w.nodes["n0"].workerLease(), func() bool { l := w.leaderName(); return l != "" && w.nodes[l].leader.AllReconciled() }) {
		t.Error("not all machines are accounted for within a lease")
	}
	w.advance(w.nodes["n0"].workerLease())
	w.checkLeasesHeld("after an end of all")
	if again := w.totalStarts(); again != started {
		t.Errorf("%d tasks were started anew", again-started)
	}
	w.checkStartedOnce()
}

// A controller that remains alone has a connection for each fourth machine. It serves all
// of them in turns: none waits in silence, and no lease runs out.
func TestLoneControllerTakesTurns(t *testing.T) {
	const machines, sockets = 400, 100
	w := newConnectionLimitedSimulation(t, 3, sockets, machines)
	newUserSimulation(w, 1).submitWithRetries(jobSpec("j-1", 200))
	w.advance(time.Minute)
	for _, name := range w.followers() {
		w.crashNode(name)
	}
	w.advance(4 * w.nodes["n0"].workerLease())
	if w.leaderName() == "" {
		t.Fatal("it does not lead")
	}
	w.checkLeasesHeld("alone")
	w.checkStartedOnce()
}

// A full leader sends newcomers to the node with the most room, once; one that comes back
// can't get through there, so it is served.
func TestFullLeaderRedirectsNewcomers(t *testing.T) {
	w := newSimulation(t, 3)
	l := w.waitForLeader()
	for i, name := range w.followers() {
		l.Step(l.monotonicNow(w.now), []Command{InboundMessage{From: name, Message: protocol.PeerHeartbeat{ProcessID: 7, VersionLevel: protocolLevel, SpareConnections: 10 * (i + 1)}}})
	}
	roomiest := w.followers()[1]
	report := func(name string, seq uint64) Reply {
		rep := &protocol.WorkerHeartbeat{Machine: name, Type: "c4", Zone: "a", Epoch: 1, Sequence: seq}
		for _, e := range l.Step(l.monotonicNow(w.now), []Command{Request{Origin: Origin{RequestID: 1}, Kind: protocol.RequestHeartbeat, Heartbeat: rep}}) {
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
	l.Step(l.monotonicNow(w.now), []Command{ServerLoad{Open: 90, Limit: 100}})
	if r := report("m-1", 2); r.Status != 200 {
		t.Errorf("one that is served: %+v", r)
	}
	if r := report("m-2", 1); r.Status != 421 || string(r.Body) != `{"reportaA":"`+roomiest+`"}` {
		t.Errorf("a newcomer: %d %s", r.Status, r.Body)
	}
	if r := report("m-2", 2); r.Status != 200 {
		t.Errorf("back again: %+v", r)
	}
	for _, name := range w.followers() {
		l.Step(l.monotonicNow(w.now), []Command{InboundMessage{From: name, Message: protocol.PeerHeartbeat{ProcessID: 7, VersionLevel: protocolLevel, ConnectionsFull: true}}})
	}
	if r := report("m-3", 1); r.Status != 200 {
		t.Errorf("with all nodes full: %+v", r)
	}
}

// Most machines are relayed for while the controller that relays, or the leader, ends,
// stands still, or is cut off one way, at any moment of a report: no task runs twice, every
// job ends, and a worker is never handed an answer older than it waits for.
func TestRelayingNodeFails(t *testing.T) {
	troubles := map[string]func(w *simulation, leader, relaying string){
		"relaying node ends":        func(w *simulation, _, relaying string) { w.restartAfter(relaying, 300*time.Millisecond) },
		"relaying node stands":      func(w *simulation, _, relaying string) { w.nodes[relaying].pauseBeforeEffects = 6 * time.Second },
		"leader ends":               func(w *simulation, leader, _ string) { w.restartAfter(leader, 300*time.Millisecond) },
		"leader stands":             func(w *simulation, leader, _ string) { w.nodes[leader].pauseBeforeEffects = 30 * time.Second },
		"answers don't get through": func(w *simulation, leader, relaying string) { w.cutOneWayFor(leader, relaying, 20*time.Second) },
		"reports don't get through": func(w *simulation, leader, relaying string) { w.cutOneWayFor(relaying, leader, 20*time.Second) },
		"held back": func(w *simulation, leader, relaying string) {
			w.holdMessages = true
			w.cutOneWayFor(leader, relaying, 9*time.Second)
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for offset := range 4 {
				w := newConnectionLimitedSimulation(t, 3, 8, 12)
				w.taskDuration = func(string, int) time.Duration { return 20 * time.Second }
				c := newUserSimulation(w, uint64(offset))
				for i := range 6 {
					c.submitWithRetries(jobSpec(fmt.Sprintf("j-%d", i), 12))
				}
				w.advance(15*time.Second + time.Duration(offset)*311*time.Millisecond)
				leader := w.leaderName()
				relaying := w.followers()[offset%2]
				if w.connectionCount(relaying) == 0 {
					relaying = w.followers()[(offset+1)%2]
				}
				if w.connectionCount(relaying) == 0 {
					t.Fatal("no machine is relayed for")
				}
				trouble(w, leader, relaying)
				w.advance(25 * time.Second)
				c.waitForCompletion(5 * time.Minute)
			}
		})
	}
}

// Where the leader is full, a follower passes reports on without sending their workers there
// first; where it has room for some, so many are sent, in their share, and no more.
func TestFollowerRelaysForFullLeader(t *testing.T) {
	w := newSimulation(t, 3)
	leader := w.waitForLeader()
	f := w.nodes[w.followers()[0]]
	counts := func(beat protocol.PeerHeartbeat, workers string) (sent, relayed int) {
		beat.Term, beat.IsLeader, beat.ProcessID, beat.VersionLevel = leader.leader.term, true, leader.processID, protocolLevel
		batch := []Command{InboundMessage{From: leader.name, Message: beat}}
		for i := range 20 {
			rep := &protocol.WorkerHeartbeat{Machine: fmt.Sprintf("m-%s-%d", workers, i), Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
			batch = append(batch, Request{Origin: Origin{RequestID: uint64(i + 1)}, Kind: protocol.RequestHeartbeat, Heartbeat: rep})
		}
		for _, e := range f.Step(f.monotonicNow(w.now), batch) {
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

// An answer that was held up for longer than its worker waits is not passed on: the
// controller that relays may have stood still with it in its hands.
func TestLateAnswerIsNotPassedOn(t *testing.T) {
	w := newSimulation(t, 3)
	leader := w.waitForLeader()
	f := w.nodes[w.followers()[0]]
	rep := &protocol.WorkerHeartbeat{Machine: "m-1", Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
	for _, x := range []struct {
		after  time.Duration
		status int
	}{{f.workerRouter.RelayTimeout() - step, 200}, {f.workerRouter.RelayTimeout(), 503}} {
		f.workerRouter.RouteOf("m-1").RelayUntil = f.now + time.Hour
		f.Step(f.monotonicNow(w.now), []Command{InboundMessage{From: leader.name, Message: protocol.PeerHeartbeat{Term: leader.leader.term, IsLeader: true, ProcessID: leader.processID}},
			Request{Origin: Origin{RequestID: 1}, Kind: protocol.RequestHeartbeat, Heartbeat: rep}})
		answer := InboundMessage{From: leader.name, Message: protocol.ForwardedResponse{ID: f.forwards.LastID, Status: 200, Body: []byte("{}")}}
		w.now += x.after
		got := 0
		for _, e := range f.Step(f.monotonicNow(w.now), []Command{answer}) {
			if reply, is := e.(Reply); is {
				got = reply.Status
			}
		}
		if got != x.status {
			t.Errorf("%v after the report: %d, not %d", x.after, got, x.status)
		}
	}
}

// All machines report at once while a leader reads the records. Each has a connection at
// some node, so none is turned away for their number.
func TestEarlyHeartbeatsOfAllMachines(t *testing.T) {
	const machines = 4000
	w := newSimulation(t, 5)
	w.cfg.Resources.MaxConnections = 1000
	l := w.waitForLeader()
	l.leader.recordsLoaded = false
	batch := make([]Command, 0, machines)
	for i := range machines {
		rep := &protocol.WorkerHeartbeat{Machine: fmt.Sprintf("m-%06d", i), Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
		batch = append(batch, Request{Origin: Origin{RequestID: uint64(i + 1)}, Kind: protocol.RequestHeartbeat, Heartbeat: rep})
	}
	for _, e := range l.Step(l.monotonicNow(w.now), batch) {
		if reply, is := e.(Reply); is {
			t.Fatalf("a report is answered %d", reply.Status)
		}
	}
}

// A leader whose counter of attempts comes to its end hands over to a new term, as its next
// attempts would be those of the term after.
func TestAttemptsAreNeverUsedTwice(t *testing.T) {
	w := newSimulation(t, 3)
	l := w.waitForLeader()
	term := l.leader.term
	l.leader.attemptCounter = maxAttemptCounter - 1
	last := l.leader.NextAttemptNumber()
	w.advance(20 * step)
	if next := w.waitForLeader().leader; next.term <= term || next.NextAttemptNumber() <= last {
		t.Errorf("term %d goes on after %d", next.term, term)
	}
}
