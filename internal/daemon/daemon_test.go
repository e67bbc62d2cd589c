package daemon

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/controller"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/rejection"
)

// In large deployments, the server's share of the connections must be enough for a leader's machines
// and users, and the shares together must stay below the limit. Guards against a share that is too
// small: with three quarters of all connections, 1,800 machines left only 90 connections for others.
func TestConnectionBudgetFitsAllMachines(t *testing.T) {
	for _, test := range []struct{ nodes, connections, machines int }{{7, 2524, 1800}, {3, 3275, 1540}, {3, 900, 435}} {
		t.Run(fmt.Sprintf("%d nodes, %d machines", test.nodes, test.machines), func(t *testing.T) {
			cluster := &config.Cluster{ControllerCount: test.nodes}
			cluster.Cloud.RequestsPerS, cluster.Workers.LeaseS = 6, 26.5
			cluster.Resources.MaxConnections = test.connections
			budget := budgetConnections(cluster)
			if budget.server < test.machines*12/10 {
				t.Errorf("server's share of %d connections: got %d, want at least %d",
					test.connections, budget.server, test.machines*12/10)
			}
			if sum := budget.store + budget.cloud + budget.peers + budget.server; sum >= test.connections {
				t.Errorf("the budget assigns %d connections, want fewer than %d", sum, test.connections)
			}
		})
	}
}

// newQueueTestDaemon returns a daemon of which only the queue is used. Its senders wait as long as those of a
// cluster with a worker lease of 22 s.
func newQueueTestDaemon(queueLength int) *daemon {
	d := &daemon{rejections: rejection.NewCounters(), pendingReplies: map[uint64]chan controller.Reply{}}
	cluster := &config.Cluster{}
	cluster.Workers.LeaseS = 22
	d.queue = newOwnerQueue(queueLength, func(command controller.Command) time.Duration {
		return controller.SenderTimeout(command, cluster)
	}, d.rejectExpired)
	return d
}

// A flood of queries must delay neither the heartbeats of workers nor those of other controllers.
// Queries that do not fit into their queue must be rejected at once, and the others must fill only a
// part of a batch, behind all other commands.
func TestQueriesDoNotDelayOtherCommands(t *testing.T) {
	const size = 4096
	d := newQueueTestDaemon(size)
	replies := make(chan controller.Reply, 2*size)
	for range 2 * cap(d.queue.queries) {
		go func() {
			replies <- d.Handle(t.Context(), controller.Request{Kind: protocol.RequestQuery, JobID: "j-1"}, 0)
		}()
	}
	for range 2 * cap(d.queue.queries) {
		if reply := <-replies; reply.Status != 503 || reply.RetryAfter == 0 {
			t.Fatalf("query: got status %d, Retry-After %d, want 503 with Retry-After",
				reply.Status, reply.RetryAfter)
		}
	}
	if len(d.queue.queries) != cap(d.queue.queries) {
		t.Fatalf("%d queries are queued, want a full queue of %d", len(d.queue.queries), cap(d.queue.queries))
	}
	d.receivePeerMessage(t.Context(), controller.InboundMessage{From: "n1", Message: protocol.PeerHeartbeat{}})
	for range 3 {
		d.Handle(t.Context(), controller.Request{Kind: protocol.RequestHeartbeat}, 0)
	}
	batch := d.queue.fillBatch(nil)
	if len(batch) != 4+maxBatchSize/queryDivisor {
		t.Fatalf("the batch has %d commands, want %d", len(batch), 4+maxBatchSize/queryDivisor)
	}
	for i, command := range batch {
		request, isRequest := command.(controller.Request)
		if query := isRequest && request.IsReadOnly(); query != (i >= 4) {
			t.Fatalf("command %d of the batch is %+v, want 4 other commands and then queries", i, command)
		}
	}
}

// Guards against leaders that lose their lease, and nodes that count as unhealthy, because the results of
// their calls, peers' messages and health checks wait behind the heartbeats of a large fleet.
func TestHeartbeatsDelayNeitherLeaseRenewalsNorHealthChecks(t *testing.T) {
	const fleetSize = 4000
	d := newQueueTestDaemon(2 * fleetSize)
	for range fleetSize {
		d.Handle(t.Context(), controller.Request{Kind: protocol.RequestHeartbeat}, 0)
	}
	d.receivePeerMessage(t.Context(), controller.InboundMessage{From: "n1", Message: protocol.PeerHeartbeat{}})
	d.Handle(t.Context(), controller.Request{Kind: protocol.RequestHealth}, 0)
	d.queue.addControl(t.Context(), controller.CallResult{ID: 1})
	found := map[string]bool{}
	for _, command := range d.queue.fillBatch(nil) {
		found[fmt.Sprintf("%T", command)] = true
		if request, ok := command.(controller.Request); ok {
			found[string(request.Kind)] = true
		}
	}
	for _, want := range []string{"controller.CallResult", "controller.InboundMessage", "health", "report"} {
		if !found[want] {
			t.Errorf("the first batch after %d heartbeats has no %s", fleetSize, want)
		}
	}
}

// Guards against a flood of heartbeats that leaves no room in a batch for queries.
func TestHeartbeatsDoNotStarveQueries(t *testing.T) {
	const fleetSize = 4000
	d := newQueueTestDaemon(4 * fleetSize)
	for range fleetSize {
		d.Handle(t.Context(), controller.Request{Kind: protocol.RequestHeartbeat}, 0)
		d.Handle(t.Context(), controller.Request{Kind: protocol.RequestQuery, JobID: "j-1"}, 0)
	}
	queries := 0
	for _, command := range d.queue.fillBatch(nil) {
		if request, ok := command.(controller.Request); ok && request.Kind == protocol.RequestQuery {
			queries++
		}
	}
	if want := maxBatchSize / queryDivisor; queries != want {
		t.Errorf("a batch beside %d heartbeats has %d queries, want %d", fleetSize, queries, want)
	}
}

// Guards against an overloaded owner that spends its time on requests whose senders have given up.
func TestExpiredRequestsAreRejectedUnprocessed(t *testing.T) {
	d := newQueueTestDaemon(16)
	now := time.Now()
	d.queue.now = func() time.Time { return now }
	requestID, reply := d.registerRequest()
	d.queue.tryAddRequest(controller.Request{Kind: protocol.RequestHeartbeat,
		Origin: controller.Origin{RequestID: requestID}})
	now = now.Add(protocol.HeartbeatTimeout)
	d.queue.addControl(t.Context(), controller.CallResult{ID: 1})
	d.Handle(t.Context(), controller.Request{Kind: protocol.RequestCancel, JobID: "j-1"}, 0)
	batch := d.queue.fillBatch(nil)
	if len(batch) != 2 {
		t.Errorf("the batch is %+v, want the result of the call and the cancellation only", batch)
	}
	if got := <-reply; got.Status != 503 || got.RetryAfter == 0 {
		t.Errorf("expired heartbeat: got status %d, Retry-After %d, want 503 with Retry-After", got.Status, got.RetryAfter)
	}
}
