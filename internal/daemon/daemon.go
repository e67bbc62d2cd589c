// Package daemon runs a controller process. One goroutine, the owner, passes batches of commands to
// the node (the state machine of the controller) and executes the effects that the node returns. The
// package connects the node with the transports and shares out connections and memory; it makes no
// scheduling decision.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/controller"
	"hitchdoor/internal/tracing"
	"hitchdoor/internal/transport"
)

// Sizes of the owner's queue and batches.
const (
	// commandsPerConnection is the length of the command queue per connection. All workers may
	// send a heartbeat at once, some of them through other controllers.
	commandsPerConnection = 4
	// maxBatchSize bounds the commands of one step.
	maxBatchSize = 256
	// queryDivisor sets the share of queue and batch (1/queryDivisor) that queries may fill.
	queryDivisor = 4
)

// daemon connects the node with the transports. Only the owner goroutine (runOwner) uses the node;
// mu guards the fields below it.
type daemon struct {
	startedAt    time.Time
	commandQueue chan controller.Command
	server       *transport.Server
	// queryQueue holds read-only requests. During an overload there are many of them, and
	// heartbeats, lease renewals, submissions and cancellations must not be queued behind them.
	queryQueue chan controller.Command
	node       *controller.Node
	clients    map[controller.Target]*transport.Client
	peerLinks  *transport.PeerLinks
	traces     *tracing.Recorder // nil: tracing is disabled

	mu             sync.Mutex
	pendingReplies map[uint64]chan controller.Reply
	lastTicket     uint64
}

// Run runs a controller until it fails, or until ctx is cancelled and the node has handed over.
func Run(ctx context.Context, platform *config.Platform, settings config.Settings, build string,
	log *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(platform.Cluster.Resources.MemoryMB * settings.MemoryLimitRatio * (1 << 20)))

	workerLease := config.Seconds(platform.Cluster.Workers.LeaseS)
	heartbeatInterval := config.Seconds(platform.Cluster.Workers.HeartbeatIntervalS)
	d := &daemon{
		startedAt:      time.Now(),
		commandQueue:   make(chan controller.Command, commandQueueLength(&platform.Cluster)),
		queryQueue:     make(chan controller.Command, commandQueueLength(&platform.Cluster)/queryDivisor),
		pendingReplies: map[uint64]chan controller.Reply{},
	}
	d.node = controller.New(controller.Options{
		Platform: platform, Settings: settings, Build: build, Log: log, StartTime: d.startedAt,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if settings.MaxTraceSteps > 0 {
		d.traces = tracing.NewRecorder(platform.Node, settings.MaxTraceSteps)
	}
	budget := budgetConnections(&platform.Cluster)
	options := transport.ClientOptions{DialTimeout: workerLease / 8, IdleTimeout: workerLease / 2,
		MaxResponseBytes: maxResponseBytes(&platform.Cluster)}
	newClient := func(addr string, connections int) *transport.Client {
		options.MaxConnections = connections
		return transport.NewClient(addr, options)
	}
	d.clients = map[controller.Target]*transport.Client{
		controller.TargetStore: newClient(platform.Services.Store, budget.store),
		controller.TargetCloud: newClient(platform.Services.Cloud, budget.cloud),
	}
	clientListener, err := net.Listen("tcp4", platform.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peerListener, err := net.Listen("tcp4", platform.PeerBind)
	if err != nil {
		return fmt.Errorf("peer_bind: %w", err)
	}
	d.peerLinks = transport.NewPeerLinks(platform.Node, platform.Peers, transport.PeerLinkOptions{
		IdleTimeout: workerLease / 8, QueueLength: platform.Cluster.Resources.MaxConnections, Log: log,
	}, d.receivePeerMessage)
	d.server = transport.NewServer(d, transport.ServerOptions{
		MaxConnections: budget.server, IdleTimeout: 2 * workerLease, RequestTimeout: workerLease / 4,
	})
	serverErrors := make(chan error, 2)
	go func() { serverErrors <- d.server.Serve(transport.NewRetryingListener(clientListener, log)) }()
	go func() { serverErrors <- d.peerLinks.Serve(transport.NewRetryingListener(peerListener, log)) }()
	log.Info("controller started", "node", platform.Node, "clientAddress", platform.ClientListen, "peerAddress", platform.PeerBind)
	return d.runOwner(ctx, heartbeatInterval/24, serverErrors)
}

// commandQueueLength returns the length of the command queue.
func commandQueueLength(cluster *config.Cluster) int {
	return commandsPerConnection * cluster.Resources.MaxConnections
}

// responseMemoryDivisor sets the share of memory (1/responseMemoryDivisor) that one response of
// another service may take, as several may arrive at once.
const responseMemoryDivisor = 16

// maxResponseBytes returns the size limit of a response. After an outage, the response of a watch may
// hold every change at once.
func maxResponseBytes(cluster *config.Cluster) int {
	return int(cluster.Resources.MemoryMB * (1 << 20) / responseMemoryDivisor)
}

// connectionBudget is the number of connections that each kind of link may use.
type connectionBudget struct{ store, cloud, peers, server int }

// budgetConnections reserves connections to the key-value store, the cloud and the other
// controllers, as the leader lease and the rented machines depend on them. All others are for
// workers and users: the leader has a connection from each machine, so their number limits the size
// of a deployment.
func budgetConnections(cluster *config.Cluster) connectionBudget {
	total := cluster.Resources.MaxConnections
	budget := connectionBudget{
		store: max(4, total/16),
		// The rate limit bounds how many calls can be in flight before the first of them times out.
		cloud: max(4, min(total/16, int(cluster.Cloud.RequestsPerS*cluster.Workers.LeaseS/4))),
		peers: transport.MaxPeerConnections(cluster.ControllerCount),
	}
	// The rest is for listeners, logs and connections that are being closed.
	budget.server = max(8, total-budget.store-budget.cloud-budget.peers-total/64)
	return budget
}

// runOwner is the owner goroutine: it alone accesses the node.
func (d *daemon) runOwner(ctx context.Context, tickInterval time.Duration, serverErrors chan error) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	shutdownRequested := ctx.Done()
	var handoverDone <-chan time.Time
	batch := make([]controller.Command, 0, maxBatchSize)
	for {
		batch = batch[:0]
		select {
		case command := <-d.commandQueue:
			batch = append(batch, command)
		case command := <-d.queryQueue:
			batch = append(batch, command)
		case <-ticker.C:
			batch = append(batch, d.server.ConnectionLoad())
		case <-shutdownRequested:
			shutdownRequested, handoverDone = nil, time.After(d.node.DrainDuration())
			batch = append(batch, controller.Drain{})
		case <-handoverDone:
			return nil
		case err := <-serverErrors:
			return err
		}
		batch = d.fillBatch(batch)
		for _, effect := range d.node.Step(time.Since(d.startedAt), batch) {
			d.execute(effect)
		}
	}
}

// fillBatch adds queued commands to a batch, and then a limited number of queries.
func (d *daemon) fillBatch(batch []controller.Command) []controller.Command {
	for len(batch) < maxBatchSize && len(d.commandQueue) > 0 {
		batch = append(batch, <-d.commandQueue)
	}
	limit := min(maxBatchSize, len(batch)+maxBatchSize/queryDivisor)
	for len(batch) < limit && len(d.queryQueue) > 0 {
		batch = append(batch, <-d.queryQueue)
	}
	return batch
}

// receivePeerMessage queues a message of another controller. A forwarded query is rejected at once
// if the query queue is full.
func (d *daemon) receivePeerMessage(message controller.InboundMessage) {
	if !message.IsReadOnly() {
		d.commandQueue <- message
		return
	}
	select {
	case d.queryQueue <- message:
	default:
		refusal := message.UnavailableResponse()
		d.peerLinks.Send(refusal.To, refusal.Message)
	}
}

// execute executes one effect of the node.
func (d *daemon) execute(effect controller.Effect) {
	switch effect := effect.(type) {
	case controller.ServiceCall:
		client := d.clients[effect.Target]
		go func() { d.commandQueue <- client.Do(effect) }()
	case controller.Reply:
		d.mu.Lock()
		replies := d.pendingReplies[effect.RequestID]
		delete(d.pendingReplies, effect.RequestID)
		d.mu.Unlock()
		if replies != nil {
			replies <- effect
		}
	case controller.OutboundMessage:
		d.peerLinks.Send(effect.To, effect.Message)
	case controller.TraceStep:
		if d.traces != nil {
			d.traces.Record(effect.Step)
		}
	}
}

// Trace returns the recorded steps of a job; none if tracing is disabled.
func (d *daemon) Trace(jobID string) []tracing.Step {
	if d.traces == nil {
		return nil
	}
	return d.traces.StepsOf(jobID)
}

// Handle passes a request to the owner and waits for the reply. If the queue is full or the owner
// does not reply in time, the reply is status 503 with Retry-After.
func (d *daemon) Handle(request controller.Request, timeout time.Duration) controller.Reply {
	unavailable := controller.Reply{Status: 503, RetryAfter: 1}
	replies := make(chan controller.Reply, 1)
	d.mu.Lock()
	d.lastTicket++
	ticket := d.lastTicket
	d.pendingReplies[ticket] = replies
	d.mu.Unlock()
	request.Origin = controller.Origin{RequestID: ticket}
	queue := d.commandQueue
	if request.IsReadOnly() {
		queue = d.queryQueue
	}
	select {
	case queue <- request:
	default:
		d.discardTicket(ticket)
		return unavailable
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply
	case <-timer.C:
		d.discardTicket(ticket)
		return unavailable
	}
}

// discardTicket removes a pending reply that nobody waits for any more.
func (d *daemon) discardTicket(ticket uint64) {
	d.mu.Lock()
	delete(d.pendingReplies, ticket)
	d.mu.Unlock()
}
