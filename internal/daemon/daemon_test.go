package daemon

import (
	"fmt"
	"testing"

	"hitchdoor/internal/config"
	"hitchdoor/internal/controller"
	"hitchdoor/internal/protocol"
)

// At the size of a large deployment a leader has a socket for each machine and for its
// users, and none of its own needs is given away for them. Three quarters were
// too few: 1,800 machines left room for 90 others.
func TestConnectionBudgetFitsAllMachines(t *testing.T) {
	for _, test := range []struct{ nodes, connections, machines int }{{7, 2524, 1800}, {3, 3275, 1540}, {3, 900, 435}} {
		t.Run(fmt.Sprintf("%d nodes, %d machines", test.nodes, test.machines), func(t *testing.T) {
			cluster := &config.Cluster{ControllerCount: test.nodes}
			cluster.Cloud.RequestsPerS, cluster.Workers.LeaseS = 6, 26.5
			cluster.Resources.MaxConnections = test.connections
			budget := budgetConnections(cluster)
			if budget.server < test.machines*12/10 {
				t.Errorf("%d sockets: %d for %d machines and the users", test.connections, budget.server, test.machines)
			}
			if sum := budget.store + budget.cloud + budget.peers + budget.server; sum >= test.connections {
				t.Errorf("%d sockets are shared out of %d", sum, test.connections)
			}
		})
	}
}

// A flood of questions, from users and passed on by another controller, keeps neither
// reports nor heartbeats waiting; what does not fit is refused at once.
func TestQueriesDoNotDelayOtherCommands(t *testing.T) {
	const size = 4096
	d := &daemon{
		commandQueue: make(chan controller.Command, size), queryQueue: make(chan controller.Command, size/queryDivisor),
		pendingReplies: map[uint64]chan controller.Reply{},
	}
	replies := make(chan controller.Reply, 2*size)
	for range 2 * cap(d.queryQueue) {
		go func() {
			replies <- d.Handle(t.Context(), controller.Request{Kind: protocol.RequestQuery, JobID: "j-1"}, 0)
		}()
	}
	for range 2 * cap(d.queryQueue) {
		if reply := <-replies; reply.Status != 503 || reply.RetryAfter == 0 {
			t.Fatalf("refused with %d, Retry-After %d", reply.Status, reply.RetryAfter)
		}
	}
	if len(d.queryQueue) != cap(d.queryQueue) {
		t.Fatalf("%d questions wait", len(d.queryQueue))
	}
	d.receivePeerMessage(t.Context(), controller.InboundMessage{From: "n1", Message: protocol.PeerHeartbeat{}})
	for range 3 {
		d.Handle(t.Context(), controller.Request{Kind: protocol.RequestHeartbeat}, 0)
	}
	batch := d.fillBatch(nil)
	if len(batch) != 4+maxBatchSize/queryDivisor {
		t.Fatalf("a batch of %d", len(batch))
	}
	for i, command := range batch {
		request, isRequest := command.(controller.Request)
		if query := isRequest && request.IsReadOnly(); query != (i >= 4) {
			t.Fatalf("at %d: %+v", i, command)
		}
	}
}
