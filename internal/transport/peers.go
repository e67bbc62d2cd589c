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

// maxLine bounds one line between controllers: a forwarded body and its frame.
const maxLine = 256 << 10

// hello is the first line of a connection between controllers. Acks tells that the node that
// opened it takes acknowledgements; one of an earlier version takes any byte for its end.
type hello struct {
	Node string `json:"node"`
	Acks bool   `json:"acks,omitempty"`
}

// ack is what the other side says, now and then, of lines that it has read, if it is asked to.
// So a connection on which bytes leave and nothing returns is found without the operating system.
const ack = '\n'

// Peers keeps a connection to each other controller and takes theirs. Each
// connection carries lines one way only, from the node that opened it, and
// acknowledgements back.
type Peers struct {
	self  string
	out   map[string]chan protocol.PeerMessage
	known map[string]bool
	in    func(coordination.PeerMessage)
	log   *slog.Logger
	quiet time.Duration
}

// PeerOptions bound the links between controllers.
type PeerOptions struct {
	// Quiet is after what silence a link is closed and made anew.
	Quiet time.Duration
	// Queue is how many messages may wait for a link: reports of all workers of a node, and
	// the answers to them, come at once after an interruption.
	Queue int
	Log   *slog.Logger
}

// NewPeers makes the links to all known peers; in takes what they say.
func NewPeers(self string, known []config.Peer, opt PeerOptions, in func(coordination.PeerMessage)) *Peers {
	p := &Peers{self: self, out: map[string]chan protocol.PeerMessage{}, known: map[string]bool{}, in: in, log: opt.Log, quiet: opt.Quiet}
	for _, k := range known {
		p.known[k.Node] = true
		ch := make(chan protocol.PeerMessage, opt.Queue)
		p.out[k.Node] = ch
		go p.dial(k.PeerAddr, ch)
	}
	return p
}

// Send queues a message; if the link is behind, the message is dropped.
func (p *Peers) Send(to string, m protocol.PeerMessage) {
	select {
	case p.out[to] <- m:
	default:
	}
}

func (p *Peers) dial(addr string, ch chan protocol.PeerMessage) {
	for {
		conn, err := net.DialTimeout("tcp4", addr, p.quiet)
		if err == nil {
			p.write(conn, ch)
			conn.Close()
		}
		// What waited for the link is old by now.
		for len(ch) > 0 {
			<-ch
		}
		// Nodes that lost each other at once don't come back at once.
		time.Sleep(p.quiet/16 + rand.N(p.quiet/8))
	}
}

// watchAcks reads acknowledgements until the connection ends, or none comes for too long. An
// earlier version sends none, so silence counts only after the first.
func (p *Peers) watchAcks(conn net.Conn) {
	acks := make([]byte, 256)
	for {
		if _, err := conn.Read(acks); err != nil {
			return
		}
		conn.SetReadDeadline(time.Now().Add(p.quiet))
	}
}

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

// appendLine adds a message and its line break.
func appendLine(buf *bytes.Buffer, m protocol.PeerMessage) error {
	raw, err := protocol.EncodePeer(m)
	if err != nil {
		return err
	}
	buf.Write(raw)
	return buf.WriteByte('\n')
}

// PeerConnections bounds the connections between one of so many controllers and the
// others: one to each, and some from each, as old ones may linger.
func PeerConnections(nodes int) int { return nodes - 1 + 8*nodes }

// Serve takes the peers' connections until the listener fails.
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
			// A later version may say more; what this one does not know, it ignores.
			p.log.Debug("peer's message is ignored", "peer", h.Node, "error", err)
		case err != nil:
			p.log.Warn("peer's line can't be read", "peer", h.Node, "error", err)
			return
		default:
			p.in(coordination.PeerMessage{From: h.Node, Msg: m})
		}
	}
}
