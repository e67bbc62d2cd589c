package transport

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/controller"
	"hitchdoor/internal/protocol"
)

// Lines reach the other controller; strangers and nonsense are cut off.
func TestPeers(t *testing.T) {
	ln := listenOnLoopback(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	got := make(chan controller.InboundMessage, 16)
	b := NewPeerLinks("b", []config.Peer{{Node: "a", Address: "127.0.0.1:1"}},
		PeerLinkOptions{IdleTimeout: time.Second, QueueLength: 64, Log: log},
		func(_ context.Context, m controller.InboundMessage) { got <- m })
	runForTest(t, func(ctx context.Context) { b.Serve(ctx, ln) })
	a := NewPeerLinks("a", []config.Peer{{Node: "b", Address: ln.Addr().String()}},
		PeerLinkOptions{IdleTimeout: time.Second, QueueLength: 64, Log: log}, ignoreMessage)
	runForTest(t, a.Maintain)
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for done := false; !done; {
		select {
		case m := <-got:
			if m.From != "a" || m.Message != (protocol.PeerHeartbeat{Term: 5}) {
				t.Fatalf("%+v", m)
			}
			done = true
		case <-tick.C:
			a.Send("b", protocol.PeerHeartbeat{Term: 5})
		case <-deadline:
			t.Fatal("nothing arrived")
		}
	}
	conn, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write([]byte("{\"node\":\"stranger\"}\n"))
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("a stranger was listened to: %v", err)
	}
}

// A connection between controllers on which bytes leave and nothing returns is given up after
// the time for which a link may be silent, and made anew; a node of an earlier version, which
// acknowledges nothing, is left alone.
func TestHalfOpenLinkIsMadeAnew(t *testing.T) {
	for _, c := range []struct {
		name            string
		acknowledges    bool
		wantConnections int32
	}{{"acknowledged", true, 2}, {"of an earlier version", false, 1}} {
		t.Run(c.name, func(t *testing.T) {
			if got := connectionsToHalfOpenPeer(t, c.acknowledges); got != c.wantConnections {
				t.Errorf("acknowledges %v: %d connections", c.acknowledges, got)
			}
		})
	}
}

// connectionsToHalfOpenPeer sends messages to a peer that acknowledges the first ones, if any, and then
// none on its first connection. It returns the number of connections.
func connectionsToHalfOpenPeer(t *testing.T, acknowledges bool) int32 {
	t.Helper()
	const quiet = 200 * time.Millisecond
	ln := listenOnLoopback(t)
	var connections atomic.Int32
	serveConnections(t, ln, func(conn net.Conn) {
		first := connections.Add(1) == 1
		lines := bufio.NewScanner(conn)
		for count := 0; lines.Scan(); count++ {
			if acknowledges && (!first || count < 3) { // then nothing returns
				conn.Write([]byte{acknowledgement})
			}
		}
	})
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	links := NewPeerLinks("a", []config.Peer{{Node: "b", Address: ln.Addr().String()}},
		PeerLinkOptions{IdleTimeout: quiet, QueueLength: 64, Log: log}, ignoreMessage)
	runForTest(t, links.Maintain)
	for range 60 {
		links.Send("b", protocol.PeerHeartbeat{Term: 5})
		time.Sleep(quiet / 10)
	}
	return connections.Load()
}

// A node acknowledges lines only to one that asks for it: an earlier version takes any byte
// that comes back for the end of the link.
func TestAcksOnlyWhereAsked(t *testing.T) {
	ln := listenOnLoopback(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	links := NewPeerLinks("b", []config.Peer{{Node: "a", Address: "127.0.0.1:1"}},
		PeerLinkOptions{IdleTimeout: 5 * time.Second, QueueLength: 64, Log: log}, ignoreMessage)
	runForTest(t, func(ctx context.Context) { links.Serve(ctx, ln) })
	for hello, acks := range map[string]bool{`{"node":"a"}`: false, `{"node":"a","acks":true}`: true} {
		t.Run(hello, func(t *testing.T) {
			conn, err := net.Dial("tcp4", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			io.WriteString(conn, hello+"\n"+`{"type":"beat","sent":1,"up":1,"run":5}`+"\n")
			conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			if _, err := conn.Read(make([]byte, 1)); (err == nil) != acks {
				t.Errorf("%s: %v", hello, err)
			}
		})
	}
}
