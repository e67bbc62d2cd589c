package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// A leader that loses the key-value store and the other controllers, but not its workers, answers
// no heartbeat beyond its lease, keeps none of its workers, and rejects users and the load
// balancer's health check at once. Another node leads meanwhile, and no task starts twice when the
// first is back.
func TestLeaderReachedOnlyByWorkers(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 3, 20*time.Second, 3, 8)
	sim.store.requestsDropped[leaderNode.name] = true
	sim.isolateNode(leaderNode.name)
	if !sim.advanceUntil(5*time.Second, func() bool { return !leaderNode.holdsLeaderLease() }) {
		t.Fatal("it leads on")
	}
	answers := map[string]int{}
	for name, worker := range sim.workers {
		answers[name] = worker.responseCount
	}
	if !sim.advanceUntil(8*time.Second,
		func() bool { return sim.leaderName() != "" && sim.leaderName() != leaderNode.name }) {
		t.Fatal("no other leads")
	}
	if !sim.advanceUntil(8*time.Second, func() bool {
		for name, worker := range sim.workers {
			if worker.responseCount == answers[name] {
				return false
			}
		}
		return true
	}) {
		t.Fatal("a worker has not found the new leader")
	}
	for _, r := range []Request{
		{Kind: protocol.RequestSubmit, JobID: "j-2", Job: &protocol.Job{ID: "j-2", Team: "free", TaskCount: 1}},
		{Kind: protocol.RequestQuery, JobID: "j-1"}, {Kind: protocol.RequestCancel, JobID: "j-1"},
	} {
		asked := sim.now
		if got := sim.requestAndWait(leaderNode.name, r); got.Status != 503 || got.RetryAfter == 0 ||
			sim.now-asked > time.Second {
			t.Errorf("%s: %d, come back after %d, answered in %v", r.Kind, got.Status, got.RetryAfter, sim.now-asked)
		}
	}
	if got := sim.requestAndWait(leaderNode.name, Request{Kind: protocol.RequestHealth}); got.Status != 503 {
		t.Errorf("health: %d", got.Status)
	}
	sim.healCuts()
	delete(sim.store.requestsDropped, leaderNode.name)
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	sim.checkStartedOnce()
}

// A leader that only the key-value store and the other controllers refuse is replaced. It neither
// stays leader by lease grants nor disturbs its successor.
func TestLeaderRefusedByStoreAndPeers(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 3, 25*time.Second, 3, 6)
	sim.store.refusedNodes[leaderNode.name] = true
	sim.isolateNode(leaderNode.name)
	if !sim.advanceUntil(9*time.Second,
		func() bool { return sim.leaderName() != "" && sim.leaderName() != leaderNode.name }) {
		t.Fatal("it is not replaced")
	}
	next := sim.leaderName()
	sim.advance(3 * time.Second)
	if got := sim.requestAndWait(leaderNode.name, Request{Kind: protocol.RequestHealth}); got.Status != 503 {
		t.Errorf("health: %d", got.Status)
	}
	sim.advance(7 * time.Second)
	sim.healCuts()
	delete(sim.store.refusedNodes, leaderNode.name)
	sim.advance(10 * time.Second)
	if sim.leaderName() != next {
		t.Errorf("%s leads, not %s", sim.leaderName(), next)
	}
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	sim.checkStartedOnce()
}

// A follower that is isolated in the same way redirects no worker to a leader that it no longer
// receives heartbeats from, and nothing else is affected.
func TestFollowerReachedOnlyByWorkers(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	f := sim.followers()[0]
	sim.store.requestsDropped[f] = true
	sim.isolateNode(f)
	sim.advance(5 * time.Second)
	heartbeat := &protocol.WorkerHeartbeat{Machine: "m-9", Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
	if got := sim.requestAndWait(f, Request{Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}); got.Status != 503 {
		t.Errorf("report: %d", got.Status)
	}
	if got := sim.requestAndWait(f, Request{Kind: protocol.RequestQuery, JobID: "j-1"}); got.Status != 503 ||
		got.RetryAfter == 0 {
		t.Errorf("query: %d, come back after %d", got.Status, got.RetryAfter)
	}
	if got := sim.requestAndWait(f, Request{Kind: protocol.RequestHealth}); got.Status != 503 {
		t.Errorf("health: %d", got.Status)
	}
	sim.submitAndStart(sim.leaderName(), jobSpec("j-1", 2), 2)
}

// Once all faults have ended, some query about each job is answered within 75 s, at whichever node
// it arrives: here after a store outage during which all controllers restart, with thousands of
// terminal jobs and hundreds of open ones, while the leader is still reading its records.
func TestJobsAreKnownAfterOutageAndRestart(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cloud.capacity = 1
	const over, open = 4000, 400
	for i := range over {
		sim.store.putValue(storage.TerminalKey(fmt.Sprintf("j-%d", i)),
			storage.TerminalRecord{State: protocol.JobDone, TaskCount: 1, DoneTasks: 1})
	}
	for i := over; i < over+open; i++ {
		sim.store.putValue(storage.JobKey(fmt.Sprintf("j-%d", i)),
			storage.JobRecord{Spec: jobSpec(fmt.Sprintf("j-%d", i), 3), AcceptedAtMillis: 1})
	}
	sim.waitForLeader()
	sim.store.setDown(true)
	for _, name := range sim.names {
		sim.crashNode(name)
	}
	sim.advance(3 * time.Second)
	for _, name := range sim.names {
		sim.restartNode(name)
	}
	sim.advance(10 * time.Second)
	sim.store.setDown(false)

	// Each job is queried every 5 s, at one node after the other.
	answered := map[int]bool{}
	for end := sim.now + 75*time.Second; sim.now < end && len(answered) < over+open; {
		round := sim.now + 5*time.Second
		for i := range over + open {
			if answered[i] {
				continue
			}
			sim.sendRequest(sim.names[(i+int(sim.now/time.Second))%3],
				Request{Kind: protocol.RequestQuery, JobID: fmt.Sprintf("j-%d", i)}, func(r Reply) {
					switch r.Status {
					case 200:
						answered[i] = true
					case 404:
						t.Errorf("j-%d is forgotten", i)
					}
				})
			if i%40 == 0 {
				sim.advance(step)
			}
		}
		if sim.now < round {
			sim.advance(round - sim.now)
		}
	}
	if len(answered) < over+open {
		t.Fatalf("%d of %d jobs were answered about", len(answered), over+open)
	}
}

// While the controllers refuse each other's connections, a lost leader is replaced nevertheless:
// votes are exchanged through the key-value store.
func TestLeaderLossWhileLinksAreCut(t *testing.T) {
	for _, nodes := range []int{3, 5, 7} {
		sim, leaderNode := newRunningSimulation(t, nodes, 20*time.Second, 3, 8)
		for _, name := range sim.followers() {
			sim.crashNode(name)
			sim.restartNode(name)
			sim.advance(70 * time.Millisecond) // so that they don't poll at the same time
		}
		sim.isolateAllNodes()
		sim.advance(4 * time.Second)
		if sim.leaderName() != leaderNode.name {
			t.Fatalf("%d nodes: refused connections alone cost the leader", nodes)
		}
		term := leaderNode.leader.term
		sim.crashNode(leaderNode.name)
		if !sim.advanceUntil(8*time.Second, func() bool { return sim.leaderName() != "" }) {
			t.Fatalf("%d nodes: nobody leads", nodes)
		}
		// A candidate that raises the term takes it from one that others vote for. With seven nodes
		// they repeated that until connections were accepted again.
		if raised := sim.nodes[sim.leaderName()].leader.term - term; raised > 2 {
			t.Errorf("%d nodes: the term was raised %d times", nodes, raised)
		}
		sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
		sim.checkStartedOnce()
	}
}

// A node that only the key-value store refuses forwards submissions to the leader, from the first
// one on. In an outage for all nodes users get Retry-After at once.
func TestSubmissionAtRefusedNode(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	sim.startMachines(1)
	f := sim.followers()[0]
	sim.store.refusedNodes[f] = true
	for i := range 3 {
		asked := sim.now
		if r := sim.submit(f, jobSpec(fmt.Sprintf("j-%d", i), 1)); r.Status != 201 ||
			sim.now-asked > 200*time.Millisecond {
			t.Errorf("submission %d: %d after %v", i, r.Status, sim.now-asked)
		}
		sim.advance(time.Second)
	}
	sim.store.setDown(true)
	sim.advance(2 * time.Second)
	asked := sim.now
	if r := sim.submit(f, jobSpec("j-9", 1)); r.Status != 503 || r.RetryAfter == 0 ||
		sim.now-asked > 200*time.Millisecond {
		t.Errorf("in an outage: %d, come back after %d, answered in %v", r.Status, r.RetryAfter, sim.now-asked)
	}
}

// A reply to a request that an earlier process of a node forwarded is discarded. A node that had
// restarted quickly passed the reply to one user's cancellation on as the reply to another user's
// submission, and that job was never stored.
func TestReplyToEarlierProcessIsDiscarded(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	sim.submit(leaderNode.name, jobSpec("j-1", 1))
	name := sim.followers()[0]
	forwarded := func(r Request, f func(Reply)) uint64 {
		sim.sendRequest(name, r, f)
		sim.advance(2 * step)
		if forwards := sim.nodes[name].forwards; forwards.Count() > 0 {
			return forwards.LastID
		}
		t.Fatal("not passed on")
		return 0
	}
	leaderNode.paused = true
	before := forwarded(Request{Kind: protocol.RequestCancel, JobID: "j-1"}, func(Reply) {})
	leaderNode.paused = false
	sim.crashNode(name)
	sim.restartNode(name)
	sim.advance(time.Second)
	leaderNode.paused = true
	var got *Reply
	forwarded(Request{Kind: protocol.RequestQuery, JobID: "j-2"}, func(r Reply) { got = &r })
	n := sim.nodes[name]
	n.inbox = append(n.inbox, InboundMessage{From: leaderNode.name,
		Message: protocol.ForwardedResponse{ID: before, Status: 200,
			Body: []byte(`{"uid":"j-1","situacao":"withdrawn"}`)}})
	sim.advance(5 * step)
	if got != nil {
		t.Errorf("it is handed %d %s", got.Status, got.Body)
	}
}

// Workers that were redirected to the leader and return because they can't reach it are relayed,
// however many there are; the routes are dropped once the leader is reachable.
func TestRelayForAnyNumberOfWorkers(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cfg.Resources.MaxConnections = 4000
	sim.waitForLeader()
	f := sim.nodes[sim.followers()[0]]
	const workers = 3000
	round := func() (sent, relayed int) {
		var batch []Command
		for i := range workers {
			heartbeat := &protocol.WorkerHeartbeat{Machine: fmt.Sprintf("m-%06d", i), Type: "c4", Zone: "a",
				Epoch: 1, Sequence: 1}
			batch = append(batch, Request{Origin: Origin{RequestID: uint64(i + 1)},
				Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat})
		}
		for _, e := range f.Step(f.monotonicNow(sim.now), batch) {
			switch e := e.(type) {
			case Reply:
				if e.Status == 421 {
					sent++
				}
			case OutboundMessage:
				if _, forwarded := e.Message.(protocol.ForwardedRequest); forwarded {
					relayed++
				}
			}
		}
		return sent, relayed
	}
	if sent, relayed := round(); sent != workers || relayed != 0 {
		t.Errorf("at first %d of %d are sent to the leader, %d relayed", sent, workers, relayed)
	}
	sim.advance(3 * time.Second)
	if sent, relayed := round(); sent != 0 || relayed != workers {
		t.Errorf("back again, %d are sent to the leader, %d of %d relayed", sent, relayed, workers)
	}
	sim.advance(4 * f.workerLease())
	if len(f.workerRouter.Routes) > 0 {
		t.Errorf("%d are remembered for good", len(f.workerRouter.Routes))
	}
}
