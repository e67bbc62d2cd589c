package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// A leader loses the store and the other controllers, but not its workers. If it went on as leader,
// its workers would stay with it while another node leads. After its leader lease has expired, it
// answers no heartbeat, its workers find the new leader, and it rejects user requests and the load
// balancer's health check at once. No task starts twice when the links of that node are restored.
func TestLeaderReachedOnlyByWorkers(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 3, 20*time.Second, 3, 8)
	sim.store.requestsDropped[leaderNode.name] = true
	sim.isolateNode(leaderNode.name)
	if !sim.advanceUntil(5*time.Second, func() bool { return !leaderNode.holdsLeaderLease() }) {
		t.Fatal("the leader lease has not expired within 5 s")
	}
	responseCounts := map[string]int{}
	for name, worker := range sim.workers {
		responseCounts[name] = worker.responseCount
	}
	if !sim.advanceUntil(8*time.Second,
		func() bool { return sim.leaderName() != "" && sim.leaderName() != leaderNode.name }) {
		t.Fatal("no other node became leader within 8 s")
	}
	if !sim.advanceUntil(8*time.Second, func() bool {
		for name, worker := range sim.workers {
			if worker.responseCount == responseCounts[name] {
				return false
			}
		}
		return true
	}) {
		t.Fatal("some worker got no response from the new leader within 8 s")
	}
	for _, r := range []Request{
		{Kind: protocol.RequestSubmit, JobID: "j-2", Job: &protocol.Job{ID: "j-2", Team: "free", TaskCount: 1}},
		{Kind: protocol.RequestQuery, JobID: "j-1"}, {Kind: protocol.RequestCancel, JobID: "j-1"},
	} {
		sentAt := sim.now
		if got := sim.requestAndWait(leaderNode.name, r); got.Status != 503 || got.RetryAfter == 0 ||
			sim.now-sentAt > time.Second {
			t.Errorf("%s: got status %d, Retry-After %d after %v, want 503 with Retry-After within 1s", r.Kind,
				got.Status, got.RetryAfter, sim.now-sentAt)
		}
	}
	if got := sim.requestAndWait(leaderNode.name, Request{Kind: protocol.RequestHealth}); got.Status != 503 {
		t.Errorf("health check of the former leader: got status %d, want 503", got.Status)
	}
	sim.healCuts()
	delete(sim.store.requestsDropped, leaderNode.name)
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	sim.checkStartedOnce()
}

// A leader that the store refuses and that is cut off from the other controllers still has its workers.
// It must not stay leader by lease grants of other nodes, and must not disturb its successor when the
// faults end.
func TestLeaderRefusedByStoreAndPeers(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 3, 25*time.Second, 3, 6)
	sim.store.refusedNodes[leaderNode.name] = true
	sim.isolateNode(leaderNode.name)
	if !sim.advanceUntil(9*time.Second,
		func() bool { return sim.leaderName() != "" && sim.leaderName() != leaderNode.name }) {
		t.Fatal("no other node became leader within 9 s")
	}
	successor := sim.leaderName()
	sim.advance(3 * time.Second)
	if got := sim.requestAndWait(leaderNode.name, Request{Kind: protocol.RequestHealth}); got.Status != 503 {
		t.Errorf("health check of the former leader: got status %d, want 503", got.Status)
	}
	sim.advance(7 * time.Second)
	sim.healCuts()
	delete(sim.store.refusedNodes, leaderNode.name)
	sim.advance(10 * time.Second)
	if sim.leaderName() != successor {
		t.Errorf("leader after the faults: got %s, want %s", sim.leaderName(), successor)
	}
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	sim.checkStartedOnce()
}

// A follower that loses the store and the other controllers, but not its workers, must not redirect
// workers to a leader that it receives no heartbeats from. It answers heartbeats, queries and health
// checks with 503, and the rest of the cluster is not affected.
func TestFollowerReachedOnlyByWorkers(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	follower := sim.followers()[0]
	sim.store.requestsDropped[follower] = true
	sim.isolateNode(follower)
	sim.advance(5 * time.Second)
	heartbeat := &protocol.WorkerHeartbeat{Machine: "m-9", Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
	if got := sim.requestAndWait(follower,
		Request{Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}); got.Status != 503 {
		t.Errorf("worker heartbeat to the follower: got status %d, want 503", got.Status)
	}
	if got := sim.requestAndWait(follower, Request{Kind: protocol.RequestQuery, JobID: "j-1"}); got.Status != 503 ||
		got.RetryAfter == 0 {
		t.Errorf("query at the follower: got status %d, Retry-After %d, want 503 with Retry-After", got.Status,
			got.RetryAfter)
	}
	if got := sim.requestAndWait(follower, Request{Kind: protocol.RequestHealth}); got.Status != 503 {
		t.Errorf("health check of the follower: got status %d, want 503", got.Status)
	}
	sim.submitAndStart(sim.leaderName(), jobSpec("j-1", 2), 2)
}

// A node that has not yet read all records must not report an accepted job as unknown. After a store
// outage in which all controllers restart, with 4,000 terminal and 400 open jobs, a query about each
// job is answered within 75 s at whichever node it arrives, also while the leader reads its records.
func TestJobsAreKnownAfterOutageAndRestart(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cloud.capacity = 1
	const terminalJobs, openJobs = 4000, 400
	for i := range terminalJobs {
		sim.store.putValue(storage.TerminalKey(fmt.Sprintf("j-%d", i)),
			storage.TerminalRecord{State: protocol.JobDone, TaskCount: 1, DoneTasks: 1})
	}
	for i := terminalJobs; i < terminalJobs+openJobs; i++ {
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

	// Each job that is not yet found is queried every 5 s, at one node after the other.
	found := map[int]bool{}
	for end := sim.now + 75*time.Second; sim.now < end && len(found) < terminalJobs+openJobs; {
		round := sim.now + 5*time.Second
		for i := range terminalJobs + openJobs {
			if found[i] {
				continue
			}
			sim.sendRequest(sim.names[(i+int(sim.now/time.Second))%3],
				Request{Kind: protocol.RequestQuery, JobID: fmt.Sprintf("j-%d", i)}, func(r Reply) {
					switch r.Status {
					case 200:
						found[i] = true
					case 404:
						t.Errorf("query of j-%d: got status 404, want it known", i)
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
	if len(found) < terminalJobs+openJobs {
		t.Fatalf("jobs found by a query within 75 s: got %d, want %d", len(found), terminalJobs+openJobs)
	}
}

// A leader that crashes while the controllers can't connect to each other must be replaced: votes are
// then exchanged through the store.
func TestLeaderLossWhileLinksAreCut(t *testing.T) {
	for _, nodes := range []int{3, 5, 7} {
		sim, leaderNode := newRunningSimulation(t, nodes, 20*time.Second, 3, 8)
		for _, name := range sim.followers() {
			sim.crashNode(name)
			sim.restartNode(name)
			sim.advance(70 * time.Millisecond) // so that the followers don't poll the store at the same time
		}
		sim.isolateAllNodes()
		sim.advance(4 * time.Second)
		if sim.leaderName() != leaderNode.name {
			t.Fatalf("%d nodes: the leader changed without a crash, only because the links are cut", nodes)
		}
		term := leaderNode.leader.term
		sim.crashNode(leaderNode.name)
		if !sim.advanceUntil(8*time.Second, func() bool { return sim.leaderName() != "" }) {
			t.Fatalf("%d nodes: no leader within 8 s after the crash", nodes)
		}
		// A candidate that raises the term invalidates the votes for another one. Seven nodes can
		// repeat that until connections between them are possible again.
		if raised := sim.nodes[sim.leaderName()].leader.term - term; raised > 2 {
			t.Errorf("%d nodes: increase of the term: got %d, want at most 2", nodes, raised)
		}
		sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
		sim.checkStartedOnce()
	}
}

// A node that only the store refuses must not reject submissions or delay them: it forwards them to
// the leader, from the first one on. In an outage for all nodes, users get Retry-After at once.
func TestSubmissionAtRefusedNode(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	sim.startMachines(1)
	follower := sim.followers()[0]
	sim.store.refusedNodes[follower] = true
	for i := range 3 {
		sentAt := sim.now
		if r := sim.submit(follower, jobSpec(fmt.Sprintf("j-%d", i), 1)); r.Status != 201 ||
			sim.now-sentAt > 200*time.Millisecond {
			t.Errorf("submission %d: got status %d after %v, want 201 within 200ms", i, r.Status, sim.now-sentAt)
		}
		sim.advance(time.Second)
	}
	sim.store.setDown(true)
	sim.advance(2 * time.Second)
	sentAt := sim.now
	if r := sim.submit(follower, jobSpec("j-9", 1)); r.Status != 503 || r.RetryAfter == 0 ||
		sim.now-sentAt > 200*time.Millisecond {
		t.Errorf("submission in an outage: got status %d, Retry-After %d after %v, "+
			"want 503 with Retry-After within 200ms",
			r.Status, r.RetryAfter, sim.now-sentAt)
	}
}

// After a quick restart, a node may get the reply to a request that its earlier process forwarded.
// With equal request IDs, it would pass the reply to one user's cancellation on as the reply to
// another user's submission, and that job would never be stored. It must discard such a reply.
func TestReplyToEarlierProcessIsDiscarded(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	sim.submit(leaderNode.name, jobSpec("j-1", 1))
	follower := sim.followers()[0]
	forward := func(r Request, onReply func(Reply)) uint64 {
		sim.sendRequest(follower, r, onReply)
		sim.advance(2 * step)
		if forwards := sim.nodes[follower].forwards; forwards.Count() > 0 {
			return forwards.LastID
		}
		t.Fatal("the request was not forwarded")
		return 0
	}
	leaderNode.paused = true
	earlierID := forward(Request{Kind: protocol.RequestCancel, JobID: "j-1"}, func(Reply) {})
	leaderNode.paused = false
	sim.crashNode(follower)
	sim.restartNode(follower)
	sim.advance(time.Second)
	leaderNode.paused = true
	var got *Reply
	forward(Request{Kind: protocol.RequestQuery, JobID: "j-2"}, func(r Reply) { got = &r })
	n := sim.nodes[follower]
	n.inbox = append(n.inbox, InboundMessage{From: leaderNode.name,
		Message: protocol.ForwardedResponse{ID: earlierID, Status: 200,
			Body: []byte(`{"uid":"j-1","situacao":"withdrawn"}`)}})
	sim.advance(5 * step)
	if got != nil {
		t.Errorf("query of j-2: got the reply %d %s to an earlier request, want none", got.Status, got.Body)
	}
}

// Workers that were redirected to a leader that they can't reach return to the follower. It must relay
// their heartbeats, however many workers there are. It must remove their routes once no more heartbeats
// arrive, or the routes would accumulate.
func TestRelayForAnyNumberOfWorkers(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cfg.Resources.MaxConnections = 4000
	sim.waitForLeader()
	follower := sim.nodes[sim.followers()[0]]
	const workers = 3000
	round := func() (redirected, relayed int) {
		var batch []Command
		for i := range workers {
			heartbeat := &protocol.WorkerHeartbeat{Machine: fmt.Sprintf("m-%06d", i), Type: "c4", Zone: "a",
				Epoch: 1, Sequence: 1}
			batch = append(batch, Request{Origin: Origin{RequestID: uint64(i + 1)},
				Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat})
		}
		for _, e := range follower.Step(follower.monotonicNow(sim.now), batch) {
			switch e := e.(type) {
			case Reply:
				if e.Status == 421 {
					redirected++
				}
			case OutboundMessage:
				if _, forwarded := e.Message.(protocol.ForwardedRequest); forwarded {
					relayed++
				}
			}
		}
		return redirected, relayed
	}
	if redirected, relayed := round(); redirected != workers || relayed != 0 {
		t.Errorf("first heartbeats of %d workers: got %d redirected, %d relayed, want all redirected", workers,
			redirected, relayed)
	}
	sim.advance(3 * time.Second)
	if redirected, relayed := round(); redirected != 0 || relayed != workers {
		t.Errorf("second heartbeats of %[3]d workers: got %[1]d redirected, %[2]d relayed, want all relayed",
			redirected, relayed, workers)
	}
	sim.advance(4 * follower.workerLease())
	if len(follower.workerRouter.Routes) > 0 {
		t.Errorf("worker routes after 4 worker leases: got %d, want 0", len(follower.workerRouter.Routes))
	}
}

// A record that the key-value store rejects as invalid must be written again later. Otherwise nothing frees what
// waits for it in the term: the workers retain the results of completed tasks, or the users of a job never learn
// that it has ended.
func TestRejectedRecordsAreWrittenAgain(t *testing.T) {
	for name, prefix := range map[string]string{"bitmap": storage.BitmapPrefix, "terminal record": storage.TerminalPrefix} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			leaderNode := sim.waitForLeader()
			sim.startMachines(2)
			sim.taskDuration = func(task string, _ int) time.Duration {
				if task == "j-1/7" && prefix == storage.BitmapPrefix {
					return 50 * time.Second // the job is still open when its bitmap is accepted again
				}
				return 2 * time.Second
			}
			rejections := 0
			sim.store.rejectTransaction = func(txn storage.Txn) bool {
				rejected := slices.ContainsFunc(txn.Writes, func(w storage.Write) bool { return strings.HasPrefix(w.PutKey, prefix) })
				if rejected {
					rejections++
				}
				return rejected
			}
			sim.submit(leaderNode.name, jobSpec("j-1", 8))
			if !sim.advanceUntil(80*time.Second, func() bool { return rejections > 0 }) {
				t.Fatal("the store has rejected no transaction after 80 s")
			}
			term := leaderNode.leader.term
			sim.advance(5 * time.Second)
			sim.store.rejectTransaction = nil
			durable := func() bool {
				for key := range sim.store.keys {
					if strings.HasPrefix(key, prefix) {
						return true
					}
				}
				return false
			}
			if !sim.advanceUntil(2*config.Seconds(sim.cfg.Workers.LeaseS), durable) || leaderNode.leader.term != term {
				t.Errorf("record %s* is not stored in the same term two worker leases after it is accepted again", prefix)
			}
			sim.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
		})
	}
}
