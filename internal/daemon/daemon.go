// Package daemon runs a controller: it feeds the owner with commands in batches
// and carries out the effects.
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
	// queuePerConnection is the length of the owner's queue, as a ratio to the connections:
	// all workers may report at once, and some through other controllers.
	queuePerConnection = 4
	batchSize          = 256
	// questionShare is the part of queue and batch, one in so many, that questions may fill.
	questionShare = 4
)

type daemon struct {
	start  time.Time
	queue  chan any
	server *transport.Server
	// questions wait apart: there may be many times as many as usual, and reports,
	// heartbeats, renewals, submissions and cancellations must not wait behind them.
	questions chan any
	node      *coordination.Node
	clients   map[coordination.Target]*transport.Client
	peers     *transport.Peers
	traces    *tracing.Recorder // nil: off

	mu      sync.Mutex
	tickets map[uint64]chan coordination.Reply
	last    uint64
}

// Run runs a controller until it fails, or hands over once ctx ends.
func Run(ctx context.Context, p *config.Platform, set config.Settings, build string, log *slog.Logger) error {
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
	opt := transport.ClientOptions{Dial: lease / 8, Idle: lease / 2, MaxBody: maxAnswer(&p.Cluster)}
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
	log.Info("started", "node", p.Node, "users", p.ClientListen, "peers", p.PeerBind)
	return d.loop(ctx, report/24, failed)
}

// queueSize is the length of the owner's queue.
func queueSize(c *config.Cluster) int { return queuePerConnection * c.Resources.MaxConnections }

// answerShare is the part of the memory, one in so many, that one answer of another service
// may take: several may come at once.
const answerShare = 16

// maxAnswer bounds an answer in bytes. A watch may bring every change of an outage at once.
func maxAnswer(c *config.Cluster) int {
	return int(c.Resources.MemMB * (1 << 20) / answerShare)
}

// sockets is how a controller's connections are shared out.
type sockets struct{ state, cloud, peers, server int }

// shareSockets keeps for the state service, the cloud and the other controllers what
// authority and machines depend on, and leaves all others to workers and users: the
// leader has a connection of each machine, so they are what limits a deployment.
func shareSockets(c *config.Cluster) sockets {
	all := c.Resources.MaxConnections
	s := sockets{
		state: max(4, all/16),
		// No more calls can be under way than may be made while one is waited for.
		cloud: max(4, min(all/16, int(c.Cloud.RPS*c.Workers.LeaseS/4))),
		peers: transport.PeerConnections(c.Count),
	}
	// A few are left for listeners, logs and connections that are just being closed.
	s.server = max(8, all-s.state-s.cloud-s.peers-all/64)
	return s
}

// loop is the owner: it alone touches the node.
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

// gather fills a batch with what waits, questions last and not too many at once.
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

// fromPeer takes a message of another controller. A question that it passes on and that
// can't be answered now is refused at once.
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

// Trace lists the steps of a job that are kept here.
func (d *daemon) Trace(job string) []tracing.Step {
	if d.traces == nil {
		return nil
	}
	return d.traces.Of(job)
}

// Ask hands a request to the owner. A full queue, or an owner that does not
// answer in time, is answered with when to come back.
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

func (d *daemon) drop(ticket uint64) {
	d.mu.Lock()
	delete(d.tickets, ticket)
	d.mu.Unlock()
}
