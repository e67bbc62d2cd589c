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
	"hitchdoor/internal/coordination"
	"hitchdoor/internal/tracing"
	"hitchdoor/internal/transport"
)

// Sizes of the owner's queue and batches.
const (
	// commandsPerConnection is the length of the command queue per connection. All workers may
	// send a heartbeat at once, some of them through other controllers.
	queuePerConnection = 4
	// maxBatchSize bounds the commands of one step.
	batchSize = 256
	// queryDivisor sets the share of queue and batch (1/queryDivisor) that queries may fill.
	questionShare = 4
)

// daemon connects the node with the transports. Only the owner goroutine (runOwner) uses the node;
// mu guards the fields below it.
type daemon struct {
	start  time.Time
	queue  chan any
	server *transport.Server
	// queryQueue holds read-only requests. During an overload there are many of them, and
	// heartbeats, lease renewals, submissions and cancellations must not be queued behind them.
	questions chan any
	node      *coordination.Node
	clients   map[coordination.Target]*transport.Client
	peers     *transport.Peers
	traces    *tracing.Recorder // nil: tracing is disabled

	mu      sync.Mutex
	tickets map[uint64]chan coordination.Reply
	last    uint64
}

// Run runs a controller until it fails, or until ctx is cancelled and the node has handed over.
func Run(ctx context.Context, p *config.Platform, set config.Settings, build string,
	log *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(p.Cluster.Resources.MemMB * set.MemoryRatio * (1 << 20)))

	lease := config.Seconds(p.Cluster.Workers.LeaseS)
	report := config.Seconds(p.Cluster.Workers.ReportS)
	d := &daemon{
		start:     time.Now(),
		queue:     make(chan any, queueSize(&p.Cluster)),
		questions: make(chan any, queueSize(&p.Cluster)/questionShare),
		tickets:   map[uint64]chan coordination.Reply{},
	}
	d.node = coordination.New(coordination.Options{
		Platform: p, Settings: set, Build: build, Log: log, Wall: d.start,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if set.TraceSteps > 0 {
		d.traces = tracing.NewRecorder(p.Node, set.TraceSteps)
	}
	conns := shareSockets(&p.Cluster)
	opt := transport.ClientOptions{Dial: lease / 8, Idle: lease / 2,
		MaxBody: maxAnswer(&p.Cluster)}
	client := func(addr string, connections int) *transport.Client {
		opt.Connections = connections
		return transport.NewClient(addr, opt)
	}
	d.clients = map[coordination.Target]*transport.Client{
		coordination.State: client(p.Outside.State, conns.state),
		coordination.Cloud: client(p.Outside.Cloud, conns.cloud),
	}
	users, err := net.Listen("tcp4", p.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	others, err := net.Listen("tcp4", p.PeerBind)
	if err != nil {
		return fmt.Errorf("peer_bind: %w", err)
	}
	d.peers = transport.NewPeers(p.Node, p.Known, transport.PeerOptions{
		Quiet: lease / 8, Queue: p.Cluster.Resources.MaxConnections, Log: log,
	}, d.fromPeer)
	d.server = transport.NewServer(d, transport.ServerOptions{
		Connections: conns.server, Idle: 2 * lease, Patience: lease / 4,
	})
	failed := make(chan error, 2)
	go func() { failed <- d.server.Serve(transport.Steady(users, log)) }()
	go func() { failed <- d.peers.Serve(transport.Steady(others, log)) }()
	log.Info("controller started", "node", p.Node, "clientAddress", p.ClientListen, "peerAddress", p.PeerBind)
	return d.loop(ctx, report/24, failed)
}

// commandQueueLength returns the length of the command queue.
func queueSize(c *config.Cluster) int { return queuePerConnection * c.Resources.MaxConnections }

// responseMemoryDivisor sets the share of memory (1/responseMemoryDivisor) that one response of
// another service may take, as several may arrive at once.
const answerShare = 16

// maxResponseBytes returns the size limit of a response. After an outage, the response of a watch may
// hold every change at once.
func maxAnswer(c *config.Cluster) int {
	return int(c.Resources.MemMB * (1 << 20) / answerShare)
}

// connectionBudget is the number of connections that each kind of link may use.
type sockets struct{ state, cloud, peers, server int }

// budgetConnections reserves connections to the key-value store, the cloud and the other
// controllers, as the leader lease and the rented machines depend on them. All others are for
// workers and users: the leader has a connection from each machine, so their number limits the size
// of a deployment.
func shareSockets(c *config.Cluster) sockets {
	all := c.Resources.MaxConnections
	s := sockets{
		state: max(4, all/16),
		// The rate limit bounds how many calls can be in flight before the first of them times out.
		cloud: max(4, min(all/16, int(c.Cloud.RPS*c.Workers.LeaseS/4))),
		peers: transport.PeerConnections(c.Count),
	}
	// The rest is for listeners, logs and connections that are being closed.
	s.server = max(8, all-s.state-s.cloud-s.peers-all/64)
	return s
}

// runOwner is the owner goroutine: it alone accesses the node.
func (d *daemon) loop(ctx context.Context, tick time.Duration, failed chan error) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	told := ctx.Done()
	var over <-chan time.Time
	batch := make([]any, 0, batchSize)
	for {
		batch = batch[:0]
		select {
		case c := <-d.queue:
			batch = append(batch, c)
		case c := <-d.questions:
			batch = append(batch, c)
		case <-ticker.C:
			batch = append(batch, d.server.Load())
		case <-told:
			told, over = nil, time.After(d.node.HandOver())
			batch = append(batch, coordination.Drain{})
		case <-over:
			return nil
		case err := <-failed:
			return err
		}
		batch = d.gather(batch)
		for _, e := range d.node.Step(time.Since(d.start), batch) {
			d.carryOut(e)
		}
	}
}

// fillBatch adds queued commands to a batch, and then a limited number of queries.
func (d *daemon) gather(batch []any) []any {
	for len(batch) < batchSize && len(d.queue) > 0 {
		batch = append(batch, <-d.queue)
	}
	most := min(batchSize, len(batch)+batchSize/questionShare)
	for len(batch) < most && len(d.questions) > 0 {
		batch = append(batch, <-d.questions)
	}
	return batch
}

// receivePeerMessage queues a message of another controller. A forwarded query is rejected at once
// if the query queue is full.
func (d *daemon) fromPeer(m coordination.PeerMessage) {
	if !m.IsQuestion() {
		d.queue <- m
		return
	}
	select {
	case d.questions <- m:
	default:
		refusal := m.Refusal()
		d.peers.Send(refusal.To, refusal.Msg)
	}
}

// execute executes one effect of the node.
func (d *daemon) carryOut(e any) {
	switch e := e.(type) {
	case coordination.Call:
		c := d.clients[e.Target]
		go func() { d.queue <- c.Do(e) }()
	case coordination.Reply:
		d.mu.Lock()
		ch := d.tickets[e.Ticket]
		delete(d.tickets, e.Ticket)
		d.mu.Unlock()
		if ch != nil {
			ch <- e
		}
	case coordination.Send:
		d.peers.Send(e.To, e.Msg)
	case coordination.TraceStep:
		if d.traces != nil {
			d.traces.Record(e.Step)
		}
	}
}

// Trace returns the recorded steps of a job; none if tracing is disabled.
func (d *daemon) Trace(job string) []tracing.Step {
	if d.traces == nil {
		return nil
	}
	return d.traces.Of(job)
}

// Handle passes a request to the owner and waits for the reply. If the queue is full or the owner
// does not reply in time, the reply is status 503 with Retry-After.
func (d *daemon) Ask(r coordination.Request, patience time.Duration) coordination.Reply {
	busy := coordination.Reply{Status: 503, RetryAfter: 1}
	ch := make(chan coordination.Reply, 1)
	d.mu.Lock()
	d.last++
	ticket := d.last
	d.tickets[ticket] = ch
	d.mu.Unlock()
	r.Origin = coordination.Origin{Ticket: ticket}
	queue := d.queue
	if r.IsQuestion() {
		queue = d.questions
	}
	select {
	case queue <- r:
	default:
		d.drop(ticket)
		return busy
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case reply := <-ch:
		return reply
	case <-timer.C:
		d.drop(ticket)
		return busy
	}
}

// discardTicket removes a pending reply that nobody waits for any more.
func (d *daemon) drop(ticket uint64) {
	d.mu.Lock()
	delete(d.tickets, ticket)
	d.mu.Unlock()
}
