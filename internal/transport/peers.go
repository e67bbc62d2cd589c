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

	"hitchdoor/internal/config"
	"hitchdoor/internal/controller"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
)

// maxLineBytes is the maximum size of one message between controllers, which is encoded as one line.
// It leaves room for the body of a forwarded request or response and the fields around it.
const maxLineBytes = 256 << 10

// handshake is the first line on a connection. The node that opened the connection sends it. Nodes
// that handle acknowledgements set AcceptsAcknowledgements. Nodes of earlier versions do not set this
// field, and treat any received byte as the end of the connection.
type handshake struct {
	Node                    string `json:"node"`
	AcceptsAcknowledgements bool   `json:"acks,omitempty"`
}

// acknowledgement is the byte that a receiver sends back at intervals while messages arrive, if the
// handshake allows it. It lets the sender detect a half-open connection, on which writes succeed but
// nothing arrives, without relying on the operating system.
const acknowledgement = '\n'

// PeerLinks maintains an outgoing connection to each other controller and accepts the incoming ones.
// Each connection carries messages from the node that opened it, and acknowledgements in the opposite
// direction. Maintain runs the outgoing connections and Serve the incoming ones.
type PeerLinks struct {
	node        string
	addresses   map[string]string                    // by node name
	outgoing    map[string]chan protocol.PeerMessage // queued messages by node name
	deliver     DeliverFunc
	log         *slog.Logger
	idleTimeout time.Duration
}

// DeliverFunc processes a message from another controller. It may block until the context is
// cancelled.
type DeliverFunc func(ctx context.Context, message controller.InboundMessage)

// PeerLinkOptions are the limits of the links between controllers.
type PeerLinkOptions struct {
	// IdleTimeout is how long the receiver waits for the next message, and the sender for the next
	// acknowledgement, before it closes the link. The sender then opens a new one. IdleTimeout also
	// limits how long a dial or a write may take.
	IdleTimeout time.Duration
	// QueueLength is the maximum number of messages queued for a link. It must be large enough for
	// the time after an interruption of the link, when the relayed heartbeats of all workers of a
	// node, and the responses to them, are queued at once.
	QueueLength int
	Log         *slog.Logger
}

// NewPeerLinks returns the links to the given peers. The links call deliver with each message that
// arrives from a peer, concurrently for different connections.
func NewPeerLinks(node string, peers []config.Peer, options PeerLinkOptions, deliver DeliverFunc) *PeerLinks {
	links := &PeerLinks{node: node, addresses: map[string]string{}, outgoing: map[string]chan protocol.PeerMessage{},
		deliver: deliver, log: options.Log, idleTimeout: options.IdleTimeout}
	for _, peer := range peers {
		links.addresses[peer.Node] = peer.Address
		links.outgoing[peer.Node] = make(chan protocol.PeerMessage, options.QueueLength)
	}
	return links
}

// Maintain keeps the outgoing links to all peers open until the context is cancelled. It returns when
// all of them are closed.
func (p *PeerLinks) Maintain(ctx context.Context) {
	var links sync.WaitGroup
	for node, address := range p.addresses {
		links.Go(func() { p.maintainLink(ctx, address, p.outgoing[node]) })
	}
	links.Wait()
}

// Send queues a message for a peer. It drops the message if the queue of the link is full.
func (p *PeerLinks) Send(to string, message protocol.PeerMessage) {
	select {
	case p.outgoing[to] <- message:
	default:
	}
}

// maintainLink keeps the link to a peer open and writes the queued messages to it until the context
// is cancelled.
func (p *PeerLinks) maintainLink(ctx context.Context, address string, queue chan protocol.PeerMessage) {
	dialer := net.Dialer{Timeout: p.idleTimeout}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp4", address); err == nil {
			p.runLink(ctx, conn, queue)
		}
		// Messages that were queued while the link was down are outdated and therefore dropped.
		for len(queue) > 0 {
			<-queue
		}
		// The random delay spreads the reconnections of nodes that were disconnected together.
		sleep(ctx, p.idleTimeout/16+rand.N(p.idleTimeout/8))
	}
}

// sleep waits for the given duration or until the context is cancelled.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runLink writes the queued messages to a connection until the connection fails, an acknowledgement is
// overdue or the context is cancelled. Then it closes the connection.
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

// readAcknowledgements reads acknowledgements until the connection is closed or the next
// acknowledgement is overdue. Nodes of earlier versions send none, so the deadline applies only after
// the first one.
func (p *PeerLinks) readAcknowledgements(conn net.Conn) {
	buffer := make([]byte, 256)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		conn.SetReadDeadline(time.Now().Add(p.idleTimeout))
	}
}

// writeMessages sends the handshake and then the queued messages until the connection fails, a message
// cannot be encoded or the context is cancelled.
func (p *PeerLinks) writeMessages(ctx context.Context, conn net.Conn, queue chan protocol.PeerMessage) {
	greeting, err := json.Marshal(handshake{Node: p.node, AcceptsAcknowledgements: true})
	if err != nil {
		return
	}
	buffer := *bytes.NewBuffer(append(greeting, '\n'))
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

// appendLines appends a message and the messages queued behind it, so that one write sends them all. It
// stops when the buffer contains maxLineBytes or more.
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

// appendLine appends a message, encoded as one line.
func appendLine(buffer *bytes.Buffer, message protocol.PeerMessage) error {
	raw, err := protocol.EncodePeerMessage(message)
	if err != nil {
		return err
	}
	buffer.Write(raw)
	return buffer.WriteByte('\n')
}

// MaxPeerConnections returns the maximum number of connections between one controller and the others.
// nodes is the number of all controllers. Each peer accounts for one outgoing connection, and each
// node for 8 incoming ones, because connections that the other side has abandoned may still be open.
func MaxPeerConnections(nodes int) int { return nodes - 1 + 8*nodes }

// Serve accepts connections from peers until the context is cancelled or the listener fails. It closes
// the listener and all connections, and returns when no goroutine reads from them any more. It closes
// new connections immediately while the number of incoming connections is at its limit.
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

// serveConnection handles an incoming connection until it is closed or the context is cancelled. Then
// it closes the connection.
func (p *PeerLinks) serveConnection(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
	defer stopClosing()
	p.readMessages(ctx, conn)
}

// readMessages reads the handshake and then delivers messages until the connection is closed, is idle
// for too long or carries a malformed message. It returns at once if the handshake is invalid or names
// an unknown node.
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

// acknowledge sends an acknowledgement, which tells the peer that its messages arrive.
func (p *PeerLinks) acknowledge(conn net.Conn, now time.Time) error {
	conn.SetWriteDeadline(now.Add(p.idleTimeout))
	_, err := conn.Write([]byte{acknowledgement})
	return err
}

// deliverLine decodes and delivers a message from a peer. It returns false if the message is malformed.
// It ignores a message of an unknown type.
func (p *PeerLinks) deliverLine(ctx context.Context, peer string, line []byte) bool {
	message, err := protocol.DecodePeerMessage(line)
	var unknown *protocol.UnknownPeerMessageError
	switch {
	case errors.As(err, &unknown):
		// Nodes of later versions may send message types that this version does not know.
		p.log.Debug("unknown peer message ignored", "peer", peer, "error", err)
	case err != nil:
		p.log.Warn("malformed peer message", "peer", peer, "error", err)
		return false
	default:
		p.deliver(ctx, controller.InboundMessage{From: peer, Message: message})
	}
	return true
}
