package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/controller"
	"hitchdoor/internal/protocol"
)

// maxLineBytes bounds one message between controllers: a forwarded body and the fields around it.
const maxLineBytes = 256 << 10

// handshake is the first line of a connection between controllers. AcceptsAcknowledgements is set
// by nodes that accept acknowledgements; a node of an earlier version takes any byte that it
// receives for the end of the connection.
type handshake struct {
	Node                    string `json:"node"`
	AcceptsAcknowledgements bool   `json:"acks,omitempty"`
}

// acknowledgement is sent back from time to time while messages are received, if the handshake
// allows it. The sender so detects a half-open connection, on which writes succeed but nothing
// arrives, without relying on the operating system.
const acknowledgement = '\n'

// PeerLinks keeps a connection to each other controller and accepts theirs. Each connection carries
// messages in one direction, from the node that opened it, and acknowledgements in the other.
// Maintain runs the former, Serve the latter.
type PeerLinks struct {
	node        string
	addresses   map[string]string // by node
	outgoing    map[string]chan protocol.PeerMessage
	deliver     DeliverFunc
	log         *slog.Logger
	idleTimeout time.Duration
}

// DeliverFunc takes a message of another controller. It may wait until the context is cancelled.
type DeliverFunc func(ctx context.Context, message controller.InboundMessage)

// PeerLinkOptions are the limits of the links between controllers.
type PeerLinkOptions struct {
	// IdleTimeout is how long a link may be idle before it is closed and opened again.
	IdleTimeout time.Duration
	// QueueLength bounds the messages queued for a link. After an interruption the heartbeats of
	// all workers of a node, and the responses to them, are queued at once.
	QueueLength int
	Log         *slog.Logger
}

// NewPeerLinks returns the links to all known peers. They call deliver with each message that a peer
// sends.
func NewPeerLinks(node string, peers []config.Peer, options PeerLinkOptions, deliver DeliverFunc) *PeerLinks {
	links := &PeerLinks{node: node, addresses: map[string]string{}, outgoing: map[string]chan protocol.PeerMessage{},
		deliver: deliver, log: options.Log, idleTimeout: options.IdleTimeout}
	for _, peer := range peers {
		links.addresses[peer.Node] = peer.Address
		links.outgoing[peer.Node] = make(chan protocol.PeerMessage, options.QueueLength)
	}
	return links
}

// Maintain keeps the links to all peers open until the context is cancelled. It returns once all of
// them are closed.
func (p *PeerLinks) Maintain(ctx context.Context) {
	var links sync.WaitGroup
	for node, address := range p.addresses {
		links.Go(func() { p.maintainLink(ctx, address, p.outgoing[node]) })
	}
	links.Wait()
}

// Send queues a message. It drops the message if the link's queue is full.
func (p *PeerLinks) Send(to string, message protocol.PeerMessage) {
	select {
	case p.outgoing[to] <- message:
	default:
	}
}

// maintainLink keeps the link to a peer open, and writes the queued messages to it.
func (p *PeerLinks) maintainLink(ctx context.Context, address string, queue chan protocol.PeerMessage) {
	dialer := net.Dialer{Timeout: p.idleTimeout}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp4", address); err == nil {
			p.runLink(ctx, conn, queue)
		}
		// Messages that were queued while the link was down are outdated.
		for len(queue) > 0 {
			<-queue
		}
		// The random delay spreads the reconnections of nodes that were disconnected together.
		sleep(ctx, p.idleTimeout/16+rand.N(p.idleTimeout/8))
	}
}

// sleep waits for a duration, or until the context is cancelled.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runLink writes the queued messages to a connection until it fails, acknowledgements are overdue or
// the context is cancelled. It closes the connection.
func (p *PeerLinks) runLink(ctx context.Context, conn net.Conn, queue chan protocol.PeerMessage) {
	ctx, cancel := context.WithCancel(ctx)
	stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
	defer stopClosing()
	var reader sync.WaitGroup
	defer reader.Wait()
	reader.Go(func() {
		p.readAcknowledgements(conn)
		cancel()
	})
	p.writeMessages(ctx, conn, queue)
	cancel()
	conn.Close()
}

// readAcknowledgements reads acknowledgements until the connection ends or the next one is overdue.
// Earlier versions send none, so the deadline applies only after the first.
func (p *PeerLinks) readAcknowledgements(conn net.Conn) {
	buffer := make([]byte, 256)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		conn.SetReadDeadline(time.Now().Add(p.idleTimeout))
	}
}

// writeMessages sends the handshake and then the queued messages, until the connection fails or the
// context is cancelled.
func (p *PeerLinks) writeMessages(ctx context.Context, conn net.Conn, queue chan protocol.PeerMessage) {
	buffer := bytes.Buffer{}
	if json.NewEncoder(&buffer).Encode(handshake{Node: p.node, AcceptsAcknowledgements: true}) != nil {
		return
	}
	for {
		conn.SetWriteDeadline(time.Now().Add(p.idleTimeout))
		if _, err := conn.Write(buffer.Bytes()); err != nil {
			return
		}
		buffer.Reset()
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			if appendLines(&buffer, message, queue) != nil {
				return
			}
		}
	}
}

// appendLines appends an encoded message, and those that are queued behind it up to a limit.
func appendLines(buffer *bytes.Buffer, message protocol.PeerMessage, queue chan protocol.PeerMessage) error {
	if err := appendLine(buffer, message); err != nil {
		return err
	}
	for len(queue) > 0 && buffer.Len() < maxLineBytes {
		if err := appendLine(buffer, <-queue); err != nil {
			return err
		}
	}
	return nil
}

// appendLine appends an encoded message and a line break.
func appendLine(buffer *bytes.Buffer, message protocol.PeerMessage) error {
	raw, err := protocol.EncodePeerMessage(message)
	if err != nil {
		return err
	}
	buffer.Write(raw)
	return buffer.WriteByte('\n')
}

// MaxPeerConnections returns the limit of the connections between one controller and the others,
// given the number of controllers: one to each, and several from each, as connections that the
// other side has abandoned may still be open.
func MaxPeerConnections(nodes int) int { return nodes - 1 + 8*nodes }

// Serve accepts the peers' connections until the context is cancelled or the listener fails. It closes
// the listener and all connections, and returns once none is read any more.
func (p *PeerLinks) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var connections sync.WaitGroup
	defer connections.Wait()
	defer cancel()
	defer listener.Close()
	stopClosing := context.AfterFunc(ctx, func() { listener.Close() })
	defer stopClosing()
	slots := make(chan struct{}, MaxPeerConnections(len(p.addresses)+1)-len(p.addresses))
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
			connections.Go(func() {
				p.serveConnection(ctx, conn)
				<-slots
			})
		default:
			conn.Close()
		}
	}
}

// serveConnection reads a connection until it ends or the context is cancelled, and closes it.
func (p *PeerLinks) serveConnection(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
	defer stopClosing()
	p.readMessages(ctx, conn)
}

// readMessages reads the handshake and then delivers messages, until the connection ends, is idle for
// too long, or carries a malformed message.
func (p *PeerLinks) readMessages(ctx context.Context, conn net.Conn) {
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	scanLine := func() bool {
		conn.SetReadDeadline(time.Now().Add(p.idleTimeout))
		return scanner.Scan()
	}
	var peer handshake
	if !scanLine() || json.Unmarshal(scanner.Bytes(), &peer) != nil {
		return
	}
	if _, known := p.addresses[peer.Node]; !known {
		return
	}
	var acknowledgedAt time.Time
	for scanLine() {
		if now := time.Now(); peer.AcceptsAcknowledgements && now.Sub(acknowledgedAt) > p.idleTimeout/8 {
			acknowledgedAt = now
			if p.acknowledge(conn, now) != nil {
				return
			}
		}
		if !p.deliverLine(ctx, peer.Node, scanner.Bytes()) {
			return
		}
	}
}

// acknowledge tells the sender that its messages arrive.
func (p *PeerLinks) acknowledge(conn net.Conn, now time.Time) error {
	conn.SetWriteDeadline(now.Add(p.idleTimeout))
	_, err := conn.Write([]byte{acknowledgement})
	return err
}

// deliverLine decodes and delivers a message of a peer. It returns false if the message is malformed.
func (p *PeerLinks) deliverLine(ctx context.Context, peer string, line []byte) bool {
	message, err := protocol.DecodePeerMessage(line)
	var unknown *protocol.UnknownPeerMessageError
	switch {
	case errors.As(err, &unknown):
		// Later versions may send messages that this one does not know.
		p.log.Debug("unknown peer message ignored", "peer", peer, "error", err)
	case err != nil:
		p.log.Warn("malformed peer message", "peer", peer, "error", err)
		return false
	default:
		p.deliver(ctx, controller.InboundMessage{From: peer, Message: message})
	}
	return true
}
