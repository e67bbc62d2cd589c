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
	"hitchdoor/internal/coordination"
	"hitchdoor/internal/protocol"
)

// maxLineBytes bounds one message between controllers: a forwarded body and the fields around it.
const maxLine = 256 << 10

// handshake is the first line of a connection between controllers. AcceptsAcknowledgements is set
// by nodes that accept acknowledgements; a node of an earlier version takes any byte that it
// receives for the end of the connection.
type hello struct {
	Node string `json:"node"`
	Acks bool   `json:"acks,omitempty"`
}

// acknowledgement is sent back from time to time while messages are received, if the handshake
// allows it. The sender so detects a half-open connection, on which writes succeed but nothing
// arrives, without relying on the operating system.
const ack = '\n'

// PeerLinks keeps a connection to each other controller and accepts theirs. Each connection carries
// messages in one direction, from the node that opened it, and acknowledgements in the other.
type Peers struct {
	self  string
	out   map[string]chan protocol.PeerMessage
	known map[string]bool
	in    func(coordination.PeerMessage)
	log   *slog.Logger
	quiet time.Duration
}

// PeerLinkOptions are the limits of the links between controllers.
type PeerOptions struct {
	// IdleTimeout is how long a link may be idle before it is closed and opened again.
	Quiet time.Duration
	// QueueLength bounds the messages queued for a link. After an interruption the heartbeats of
	// all workers of a node, and the responses to them, are queued at once.
	Queue int
	Log   *slog.Logger
}

// NewPeerLinks opens the links to all known peers. It calls deliver with each message that a peer
// sends.
func NewPeers(self string, known []config.Peer, opt PeerOptions,
	in func(coordination.PeerMessage)) *Peers {
	p := &Peers{self: self, out: map[string]chan protocol.PeerMessage{}, known: map[string]bool{},
		in: in, log: opt.Log, quiet: opt.Quiet}
	for _, k := range known {
		p.known[k.Node] = true
		ch := make(chan protocol.PeerMessage, opt.Queue)
		p.out[k.Node] = ch
		go p.dial(k.PeerAddr, ch)
	}
	return p
}

// Send queues a message. It drops the message if the link's queue is full.
func (p *Peers) Send(to string, m protocol.PeerMessage) {
	select {
	case p.out[to] <- m:
	default:
	}
}

// maintainLink keeps the link to a peer open, and writes the queued messages to it.
func (p *Peers) dial(addr string, ch chan protocol.PeerMessage) {
	for {
		conn, err := net.DialTimeout("tcp4", addr, p.quiet)
		if err == nil {
			p.write(conn, ch)
			conn.Close()
		}
		// Messages that were queued while the link was down are outdated.
		for len(ch) > 0 {
			<-ch
		}
		// The random delay spreads the reconnections of nodes that were disconnected together.
		time.Sleep(p.quiet/16 + rand.N(p.quiet/8))
	}
}

// readAcknowledgements reads acknowledgements until the connection ends or the next one is overdue.
// Earlier versions send none, so the deadline applies only after the first.
func (p *Peers) watchAcks(conn net.Conn) {
	acks := make([]byte, 256)
	for {
		if _, err := conn.Read(acks); err != nil {
			return
		}
		conn.SetReadDeadline(time.Now().Add(p.quiet))
	}
}

// writeMessages sends the handshake and then the queued messages, until the connection fails.
func (p *Peers) write(conn net.Conn, ch chan protocol.PeerMessage) {
	closed := make(chan struct{})
	go func() {
		p.watchAcks(conn)
		close(closed)
	}()
	buf := bytes.Buffer{}
	if json.NewEncoder(&buf).Encode(hello{Node: p.self, Acks: true}) != nil {
		return
	}
	for {
		conn.SetWriteDeadline(time.Now().Add(p.quiet))
		if _, err := conn.Write(buf.Bytes()); err != nil {
			return
		}
		buf.Reset()
		select {
		case <-closed:
			return
		case m := <-ch:
			if appendLine(&buf, m) != nil {
				return
			}
			for len(ch) > 0 && buf.Len() < maxLine {
				if appendLine(&buf, <-ch) != nil {
					return
				}
			}
		}
	}
}

// appendLine appends an encoded message and a line break.
func appendLine(buf *bytes.Buffer, m protocol.PeerMessage) error {
	raw, err := protocol.EncodePeer(m)
	if err != nil {
		return err
	}
	buf.Write(raw)
	return buf.WriteByte('\n')
}

// MaxPeerConnections returns the limit of the connections between one controller and the others,
// given the number of controllers: one to each, and several from each, as connections that the
// other side has abandoned may still be open.
func PeerConnections(nodes int) int { return nodes - 1 + 8*nodes }

// Serve accepts the peers' connections until the listener fails.
func (p *Peers) Serve(ln net.Listener) error {
	slots := make(chan struct{}, PeerConnections(len(p.known)+1)-len(p.known))
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
			go func() {
				p.read(conn)
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
func (p *Peers) read(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 0, 4<<10), maxLine)
	next := func() bool {
		conn.SetReadDeadline(time.Now().Add(p.quiet))
		return lines.Scan()
	}
	var h hello
	if !next() || json.Unmarshal(lines.Bytes(), &h) != nil || !p.known[h.Node] {
		return
	}
	var acked time.Time
	for next() {
		if now := time.Now(); h.Acks && now.Sub(acked) > p.quiet/8 {
			acked = now
			conn.SetWriteDeadline(now.Add(p.quiet))
			if _, err := conn.Write([]byte{ack}); err != nil {
				return
			}
		}
		m, err := protocol.DecodePeer(lines.Bytes())
		var unknown *protocol.UnknownPeerTypeError
		switch {
		case errors.As(err, &unknown):
			// Later versions may send messages that this one does not know.
			p.log.Debug("unknown peer message ignored", "peer", h.Node, "error", err)
		case err != nil:
			p.log.Warn("malformed peer message", "peer", h.Node, "error", err)
			return
		default:
			p.in(coordination.PeerMessage{From: h.Node, Msg: m})
		}
	}
}
