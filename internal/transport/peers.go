package transport

import (
	"bufio"
	"bytes"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
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
type PeerLinks struct {
	node        string
	outgoing    map[string]chan protocol.PeerMessage
	knownNodes  map[string]bool
	deliver     func(controller.InboundMessage)
	log         *slog.Logger
	idleTimeout time.Duration
}

// PeerLinkOptions are the limits of the links between controllers.
type PeerLinkOptions struct {
	// IdleTimeout is how long a link may be idle before it is closed and opened again.
	IdleTimeout time.Duration
	// QueueLength bounds the messages queued for a link. After an interruption the heartbeats of
	// all workers of a node, and the responses to them, are queued at once.
	QueueLength int
	Log         *slog.Logger
}

// NewPeerLinks opens the links to all known peers. It calls deliver with each message that a peer
// sends.
func NewPeerLinks(node string, peers []config.Peer, options PeerLinkOptions,
	deliver func(controller.InboundMessage)) *PeerLinks {
	links := &PeerLinks{node: node, outgoing: map[string]chan protocol.PeerMessage{}, knownNodes: map[string]bool{},
		deliver: deliver, log: options.Log, idleTimeout: options.IdleTimeout}
	for _, peer := range peers {
		links.knownNodes[peer.Node] = true
		queue := make(chan protocol.PeerMessage, options.QueueLength)
		links.outgoing[peer.Node] = queue
		go links.maintainLink(peer.Address, queue)
	}
	return links
}

// Send queues a message. It drops the message if the link's queue is full.
func (p *PeerLinks) Send(to string, message protocol.PeerMessage) {
	select {
	case p.outgoing[to] <- message:
	default:
	}
}

// maintainLink keeps the link to a peer open, and writes the queued messages to it.
func (p *PeerLinks) maintainLink(address string, queue chan protocol.PeerMessage) {
	for {
		conn, err := net.DialTimeout("tcp4", address, p.idleTimeout)
		if err == nil {
			p.writeMessages(conn, queue)
			conn.Close()
		}
		// Messages that were queued while the link was down are outdated.
		for len(queue) > 0 {
			<-queue
		}
		// The random delay spreads the reconnections of nodes that were disconnected together.
		time.Sleep(p.idleTimeout/16 + rand.N(p.idleTimeout/8))
	}
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

// writeMessages sends the handshake and then the queued messages, until the connection fails.
func (p *PeerLinks) writeMessages(conn net.Conn, queue chan protocol.PeerMessage) {
	closed := make(chan struct{})
	go func() {
		p.readAcknowledgements(conn)
		close(closed)
	}()
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
		case <-closed:
			return
		case message := <-queue:
			if appendLine(&buffer, message) != nil {
				return
			}
			for len(queue) > 0 && buffer.Len() < maxLineBytes {
				if appendLine(&buffer, <-queue) != nil {
					return
				}
			}
		}
	}
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

// Serve accepts the peers' connections until the listener fails.
func (p *PeerLinks) Serve(listener net.Listener) error {
	slots := make(chan struct{}, MaxPeerConnections(len(p.knownNodes)+1)-len(p.knownNodes))
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
			go func() {
				p.readMessages(conn)
				conn.Close()
				<-slots
			}()
		default:
			conn.Close()
		}
	}
}

// readMessages reads the handshake and then delivers messages, until the connection ends, is idle for
// too long, or carries a malformed message.
func (p *PeerLinks) readMessages(conn net.Conn) {
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	scanLine := func() bool {
		conn.SetReadDeadline(time.Now().Add(p.idleTimeout))
		return scanner.Scan()
	}
	var peerHandshake handshake
	if !scanLine() || json.Unmarshal(scanner.Bytes(), &peerHandshake) != nil || !p.knownNodes[peerHandshake.Node] {
		return
	}
	var acknowledgedAt time.Time
	for scanLine() {
		if now := time.Now(); peerHandshake.AcceptsAcknowledgements && now.Sub(acknowledgedAt) > p.idleTimeout/8 {
			acknowledgedAt = now
			conn.SetWriteDeadline(now.Add(p.idleTimeout))
			if _, err := conn.Write([]byte{acknowledgement}); err != nil {
				return
			}
		}
		message, err := protocol.DecodePeerMessage(scanner.Bytes())
		var unknown *protocol.UnknownPeerMessageError
		switch {
		case errors.As(err, &unknown):
			// Later versions may send messages that this one does not know.
			p.log.Debug("unknown peer message ignored", "peer", peerHandshake.Node, "error", err)
		case err != nil:
			p.log.Warn("malformed peer message", "peer", peerHandshake.Node, "error", err)
			return
		default:
			p.deliver(controller.InboundMessage{From: peerHandshake.Node, Message: message})
		}
	}
}
