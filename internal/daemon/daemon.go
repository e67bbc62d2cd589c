// Package daemon runs a controller: it feeds the owner with commands in batches
// and carries out the effects.
package daemon

import (
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
	"hitchdoor/internal/transport"
)

// Sizes of the owner's queue and batches.
const (
	queueSize = 4096
	batchSize = 256
)

type daemon struct {
	start   time.Time
	queue   chan any
	node    *coordination.Node
	clients map[coordination.Target]*transport.Client
	peers   *transport.Peers

	mu      sync.Mutex
	tickets map[uint64]chan coordination.Reply
	last    uint64
}

// Run runs a controller until it fails.
func Run(p *config.Platform, set config.Settings, log *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(p.Cluster.Resources.MemMB * set.MemoryRatio * (1 << 20)))

	lease := config.Seconds(p.Cluster.Workers.LeaseS)
	report := config.Seconds(p.Cluster.Workers.ReportS)
	d := &daemon{
		start:   time.Now(),
		queue:   make(chan any, queueSize),
		tickets: map[uint64]chan coordination.Reply{},
	}
	d.node = coordination.New(coordination.Options{
		Platform: p, Settings: set, Log: log, Wall: d.start,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	conns := p.Cluster.Resources.MaxConnections
	opt := transport.ClientOptions{Connections: max(4, conns/16), Dial: lease / 8, Idle: lease / 2, MaxBody: 16 << 20}
	d.clients = map[coordination.Target]*transport.Client{
		coordination.State: transport.NewClient(p.Outside.State, opt),
		coordination.Cloud: transport.NewClient(p.Outside.Cloud, opt),
	}
	users, err := net.Listen("tcp4", p.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	others, err := net.Listen("tcp4", p.PeerBind)
	if err != nil {
		return fmt.Errorf("peer_bind: %w", err)
	}
	d.peers = transport.NewPeers(p.Node, p.Known, lease/8, log, func(m coordination.PeerMessage) { d.queue <- m })
	server := transport.NewServer(d, transport.ServerOptions{
		Connections: max(8, conns*3/4), Idle: 8 * lease, Patience: lease / 4,
	})
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(users) }()
	go func() { failed <- d.peers.Serve(others) }()
	log.Info("started", "node", p.Node, "users", p.ClientListen, "peers", p.PeerBind)
	return d.loop(report/24, failed)
}

// loop is the owner: it alone touches the node.
func (d *daemon) loop(tick time.Duration, failed chan error) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	batch := make([]any, 0, batchSize)
	for {
		batch = batch[:0]
		select {
		case c := <-d.queue:
			batch = append(batch, c)
		case <-ticker.C:
		case err := <-failed:
			return err
		}
		for len(batch) < batchSize && len(d.queue) > 0 {
			batch = append(batch, <-d.queue)
		}
		for _, e := range d.node.Step(time.Since(d.start), batch) {
			d.carryOut(e)
		}
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
	}
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
	select {
	case d.queue <- r:
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
