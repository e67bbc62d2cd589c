// Package daemon runs a controller process. One goroutine, the owner, passes batches of commands
// (requests, messages of other controllers, results of calls) to the node, which is the state machine
// of the controller, and executes the effects that the node returns. The package connects the node
// with the transports and divides the process's connections and memory among them; it makes no
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
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/tracing"
	"hitchdoor/internal/transport"
)

// ticksPerHeartbeat is how often, within a heartbeat interval of the workers, the owner runs a step of
// the node even if no command is queued.
const ticksPerHeartbeat = 24

// daemon connects the node with the transports. Only the owner goroutine (runOwner) uses the node.
type daemon struct {
	startedAt  time.Time
	queue      *ownerQueue
	server     *transport.Server
	node       *controller.Node
	clients    map[controller.Target]*transport.Client
	startCall  func(controller.ServiceCall) // starts a call and returns; the result is queued later
	peerLinks  *transport.PeerLinks
	traces     *tracing.Recorder // nil: tracing is disabled
	rejections *rejection.Counters

	mu             sync.Mutex                       // guards the fields below
	pendingReplies map[uint64]chan controller.Reply // by request ID
	lastRequestID  uint64
}

// Run runs a controller until it fails, or until ctx is cancelled and the time for the handover to
// another leader (Node.DrainDuration) has passed. It returns once all its connections are closed.
func Run(ctx context.Context, platform *config.Platform, settings config.Settings, build string,
	log *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(platform.Cluster.Resources.MemoryMB * settings.MemoryLimitRatio * (1 << 20)))

	d := newDaemon(platform, settings, build, log)
	open, err := listen(platform, log)
	if err != nil {
		return err
	}
	log.Info("controller started", "node", platform.Node, "clientAddress", platform.ClientListen,
		"peerAddress", platform.PeerBind)
	return d.serve(ctx, open, config.Seconds(platform.Cluster.Workers.HeartbeatIntervalS)/ticksPerHeartbeat)
}

// newDaemon returns a daemon that has no listeners and no connections yet.
func newDaemon(platform *config.Platform, settings config.Settings, build string, log *slog.Logger) *daemon {
	cluster := &platform.Cluster
	workerLease := cluster.WorkerLease()
	budget := budgetConnections(cluster)
	d := &daemon{
		startedAt:      time.Now(),
		rejections:     rejection.NewCounters(),
		clients:        newClients(platform, budget, workerLease),
		pendingReplies: map[uint64]chan controller.Reply{},
	}
	senderTimeout := func(command controller.Command) time.Duration {
		return controller.SenderTimeout(command, cluster)
	}
	d.queue = newOwnerQueue(commandsPerConnection*cluster.Resources.MaxConnections, senderTimeout, d.rejectExpired)
	d.node = controller.New(controller.Options{
		Platform: platform, Settings: settings, Build: build, Log: log, StartTime: d.startedAt,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Rejections: d.rejections,
	})
	if settings.MaxTraceSteps > 0 {
		d.traces = tracing.NewRecorder(platform.Node, settings.MaxTraceSteps)
	}
	d.peerLinks = transport.NewPeerLinks(platform.Node, platform.Peers, transport.PeerLinkOptions{
		IdleTimeout: workerLease / 8, QueueLength: cluster.Resources.MaxConnections, Log: log,
	}, d.receivePeerMessage)
	d.server = transport.NewServer(d, transport.ServerOptions{
		MaxConnections: budget.server, IdleTimeout: 2 * workerLease, RequestTimeout: workerLease / 4,
		Rejections: d.rejections,
	})
	return d
}

// newClients returns the clients of the key-value store and the cloud.
func newClients(platform *config.Platform, budget connectionBudget,
	workerLease time.Duration) map[controller.Target]*transport.Client {
	options := transport.ClientOptions{DialTimeout: workerLease / 8, IdleTimeout: workerLease / 2,
		MaxResponseBytes: maxResponseBytes(&platform.Cluster)}
	newClient := func(address string, connections int) *transport.Client {
		options.MaxConnections = connections
		return transport.NewClient(address, options)
	}
	return map[controller.Target]*transport.Client{
		controller.TargetStore: newClient(platform.Services.Store, budget.store),
		controller.TargetCloud: newClient(platform.Services.Cloud, budget.cloud),
	}
}

// closeClients closes the connections to the key-value store and the cloud.
func (d *daemon) closeClients() {
	for _, client := range d.clients {
		client.Close()
	}
}

// listeners accept the connections of users and workers (clients) and of other controllers (peers).
type listeners struct{ clients, peers net.Listener }

// listen opens both listeners. Its errors start with the name of the setting whose address can't be
// opened.
func listen(platform *config.Platform, log *slog.Logger) (listeners, error) {
	clients, err := net.Listen("tcp4", platform.ClientListen)
	if err != nil {
		return listeners{}, fmt.Errorf("client_listen: %w", err)
	}
	peers, err := net.Listen("tcp4", platform.PeerBind)
	if err != nil {
		clients.Close()
		return listeners{}, fmt.Errorf("peer_bind: %w", err)
	}
	return listeners{
		clients: transport.NewRetryingListener(clients, log),
		peers:   transport.NewRetryingListener(peers, log),
	}, nil
}

// serve runs the transports and the owner. The transports keep running after ctx is cancelled,
// because the node needs them during the handover. They are stopped when the owner returns, and serve
// waits for the transports.
func (d *daemon) serve(ctx context.Context, open listeners, tickInterval time.Duration) error {
	transportContext, stopTransports := context.WithCancel(context.WithoutCancel(ctx))
	var transports sync.WaitGroup
	defer transports.Wait()
	defer d.closeClients()
	defer stopTransports()
	serverErrors := make(chan error, 2)
	transports.Go(func() { serverErrors <- d.server.Serve(transportContext, open.clients) })
	transports.Go(func() { serverErrors <- d.peerLinks.Serve(transportContext, open.peers) })
	transports.Go(func() { d.peerLinks.Maintain(transportContext) })
	d.startCall = func(call controller.ServiceCall) {
		transports.Go(func() { d.queue.addControl(transportContext, d.clients[call.Target].Do(call)) })
	}
	return d.runOwner(ctx, tickInterval, serverErrors)
}

// responseMemoryDivisor limits a response of the key-value store or the cloud to
// 1/responseMemoryDivisor of the memory, because several responses may arrive at once.
const responseMemoryDivisor = 16

// maxResponseBytes returns the size limit of a response of the key-value store or the cloud. After an
// outage, the response to a watch may contain all changes at once.
func maxResponseBytes(cluster *config.Cluster) int {
	return int(cluster.Resources.MemoryMB * (1 << 20) / responseMemoryDivisor)
}

// connectionBudget is the maximum number of connections, by their other end: the key-value store, the
// cloud, the other controllers (peers), and users and workers (server).
type connectionBudget struct{ store, cloud, peers, server int }

// budgetConnections reserves connections to the key-value store, the cloud and the other
// controllers, because the leader lease and the rented machines depend on them. All others are for
// workers and users: the leader has a connection from each machine, so the number of these
// connections limits the size of a deployment.
func budgetConnections(cluster *config.Cluster) connectionBudget {
	total := cluster.Resources.MaxConnections
	budget := connectionBudget{
		store: max(4, total/16),
		// The rate limit bounds how many calls can be in flight before the first of them times out.
		cloud: max(4, min(total/16, int(cluster.Cloud.RequestsPerS*cluster.Workers.LeaseS/4))),
		peers: transport.MaxPeerConnections(cluster.ControllerCount),
	}
	// The remaining 1/64 is for listeners, logs and connections that are being closed.
	budget.server = max(8, total-budget.store-budget.cloud-budget.peers-total/64)
	return budget
}

// runOwner is the owner goroutine, the only one that accesses the node. It returns nil when the time
// for the handover after the end of ctx is over, and the error of a transport that stops.
func (d *daemon) runOwner(ctx context.Context, tickInterval time.Duration, serverErrors chan error) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	shutdownRequested := ctx.Done()
	var handoverDone <-chan time.Time
	batch := make([]controller.Command, 0, maxBatchSize)
	for {
		batch = batch[:0]
		select {
		case queued := <-d.queue.control:
			batch = d.queue.appendUnexpired(batch, queued)
		case queued := <-d.queue.commands:
			batch = d.queue.appendUnexpired(batch, queued)
		case queued := <-d.queue.queries:
			batch = d.queue.appendUnexpired(batch, queued)
		case <-ticker.C:
			load := d.server.ConnectionLoad()
			load.Queue = d.queue.takeLoad()
			batch = append(batch, load)
		case <-shutdownRequested:
			shutdownRequested, handoverDone = nil, time.After(d.node.DrainDuration())
			batch = append(batch, controller.Drain{})
		case <-handoverDone:
			return nil
		case err := <-serverErrors:
			return err
		}
		batch = d.queue.fillBatch(batch)
		for _, effect := range d.node.Step(time.Since(d.startedAt), batch) {
			d.execute(effect)
		}
	}
}

// receivePeerMessage queues a message of another controller. It rejects a forwarded query at once if
// the query queue is full.
func (d *daemon) receivePeerMessage(ctx context.Context, message controller.InboundMessage) {
	switch {
	case !message.IsForwarding():
		d.queue.addControl(ctx, message)
		return
	case !message.IsReadOnly():
		d.queue.addCommand(ctx, message)
		return
	}
	if !d.queue.tryAddQuery(message) {
		d.rejections.Add(protocol.RequestQuery, rejection.QueueFull)
		response := message.UnavailableResponse()
		d.peerLinks.Send(response.To, response.Message)
	}
}

// rejectExpired rejects a request that has waited until its sender has, or almost has, given up.
func (d *daemon) rejectExpired(command controller.Command) {
	switch command := command.(type) {
	case controller.Request:
		d.rejections.Add(command.Kind, rejection.Expired)
		d.deliverReply(controller.Reply{RequestID: command.Origin.RequestID, Status: 503, RetryAfter: 1})
	case controller.InboundMessage:
		if request, ok := command.Message.(protocol.ForwardedRequest); ok {
			d.rejections.Add(request.Kind, rejection.Expired)
		}
		response := command.UnavailableResponse()
		d.peerLinks.Send(response.To, response.Message)
	}
}

// execute carries out one effect that the node returned, without waiting for its result.
func (d *daemon) execute(effect controller.Effect) {
	switch effect := effect.(type) {
	case controller.ServiceCall:
		d.startCall(effect)
	case controller.Reply:
		d.deliverReply(effect)
	case controller.OutboundMessage:
		d.peerLinks.Send(effect.To, effect.Message)
	case controller.TraceStep:
		if d.traces != nil {
			d.traces.Record(effect.Step)
		}
	}
}

// deliverReply passes a reply to the request that waits for it, and drops it if the request has timed
// out.
func (d *daemon) deliverReply(reply controller.Reply) {
	d.mu.Lock()
	replies := d.pendingReplies[reply.RequestID]
	delete(d.pendingReplies, reply.RequestID)
	d.mu.Unlock()
	if replies != nil {
		replies <- reply
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
// does not reply within the timeout, Handle returns status 503 with Retry-After.
func (d *daemon) Handle(ctx context.Context, request controller.Request, timeout time.Duration) controller.Reply {
	unavailable := controller.Reply{Status: 503, RetryAfter: 1}
	requestID, replies := d.registerRequest()
	request.Origin = controller.Origin{RequestID: requestID}
	if !d.queue.tryAddRequest(request) {
		d.rejections.Add(request.Kind, rejection.QueueFull)
		d.discardRequest(requestID)
		return unavailable
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply
	case <-timer.C:
		d.rejections.Add(request.Kind, rejection.ReplyTimeout)
	case <-ctx.Done():
	}
	d.discardRequest(requestID)
	return unavailable
}

// registerRequest returns the ID of a new request, and the channel that receives its reply.
func (d *daemon) registerRequest() (requestID uint64, replies chan controller.Reply) {
	replies = make(chan controller.Reply, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRequestID++
	d.pendingReplies[d.lastRequestID] = replies
	return d.lastRequestID, replies
}

// discardRequest removes a request that has failed or timed out, so that a late reply to it is
// dropped.
func (d *daemon) discardRequest(requestID uint64) {
	d.mu.Lock()
	delete(d.pendingReplies, requestID)
	d.mu.Unlock()
}
