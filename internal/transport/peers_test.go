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

// A message must reach the other controller; a message that is sent before the link is open may be lost.
// The receiver must close a connection whose handshake names an unknown node.
func TestPeerMessageDelivery(t *testing.T) {
	listener := listenOnLoopback(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	received := make(chan controller.InboundMessage, 16)
	receiver := NewPeerLinks("b", []config.Peer{{Node: "a", Address: "127.0.0.1:1"}},
		PeerLinkOptions{IdleTimeout: time.Second, QueueLength: 64, Log: log},
		func(_ context.Context, message controller.InboundMessage) { received <- message })
	runForTest(t, func(ctx context.Context) { receiver.Serve(ctx, listener) })
	sender := NewPeerLinks("a", []config.Peer{{Node: "b", Address: listener.Addr().String()}},
		PeerLinkOptions{IdleTimeout: time.Second, QueueLength: 64, Log: log}, ignoreMessage)
	runForTest(t, sender.Maintain)
	deadline := time.After(10 * time.Second)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for done := false; !done; {
		select {
		case message := <-received:
			if message.From != "a" || message.Message != (protocol.PeerHeartbeat{Term: 5}) {
				t.Fatalf("message at b: got %+v, want a heartbeat with term 5 from a", message)
			}
			done = true
		case <-ticker.C:
			sender.Send("b", protocol.PeerHeartbeat{Term: 5})
		case <-deadline:
			t.Fatal("message at b: got none within 10 s, want a heartbeat")
		}
	}
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write([]byte("{\"node\":\"stranger\"}\n"))
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("connection of an unknown node: got error %v, want EOF", err)
	}
}

// On a half-open connection writes succeed but no acknowledgement returns. The sender must close it
// after the idle timeout and open a new one. It must keep the connection to a node of an earlier
// version, which never sends acknowledgements.
func TestHalfOpenLinkIsReopened(t *testing.T) {
	for _, test := range []struct {
		name            string
		acknowledges    bool
		wantConnections int32
	}{{"acknowledging peer", true, 2}, {"peer of an earlier version", false, 1}} {
		t.Run(test.name, func(t *testing.T) {
			if got := connectionsToHalfOpenPeer(t, test.acknowledges); got != test.wantConnections {
				t.Errorf("peer acknowledges %v: got %d connections, want %d",
					test.acknowledges, got, test.wantConnections)
			}
		})
	}
}

// connectionsToHalfOpenPeer sends messages to a peer and returns the number of connections that the
// sender opened meanwhile. If acknowledges is false, the peer acknowledges no message. Otherwise it
// acknowledges the first 3 lines of the first connection, which then is half-open, and all lines of
// later connections.
func connectionsToHalfOpenPeer(t *testing.T, acknowledges bool) int32 {
	t.Helper()
	const idleTimeout = 200 * time.Millisecond
	listener := listenOnLoopback(t)
	var connections atomic.Int32
	serveConnections(t, listener, func(conn net.Conn) {
		first := connections.Add(1) == 1
		scanner := bufio.NewScanner(conn)
		for count := 0; scanner.Scan(); count++ {
			if acknowledges && (!first || count < 3) {
				conn.Write([]byte{acknowledgement})
			}
		}
	})
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	links := NewPeerLinks("a", []config.Peer{{Node: "b", Address: listener.Addr().String()}},
		PeerLinkOptions{IdleTimeout: idleTimeout, QueueLength: 64, Log: log}, ignoreMessage)
	runForTest(t, links.Maintain)
	for range 60 {
		links.Send("b", protocol.PeerHeartbeat{Term: 5})
		time.Sleep(idleTimeout / 10)
	}
	return connections.Load()
}

// A node must send acknowledgements only if the handshake allows them: a node of an earlier version
// treats any received byte as the end of the connection.
func TestAcknowledgementsOnlyOnRequest(t *testing.T) {
	listener := listenOnLoopback(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	links := NewPeerLinks("b", []config.Peer{{Node: "a", Address: "127.0.0.1:1"}},
		PeerLinkOptions{IdleTimeout: 5 * time.Second, QueueLength: 64, Log: log}, ignoreMessage)
	runForTest(t, func(ctx context.Context) { links.Serve(ctx, listener) })
	for handshakeLine, wantAcknowledgement := range map[string]bool{
		`{"node":"a"}`: false, `{"node":"a","acks":true}`: true,
	} {
		t.Run(handshakeLine, func(t *testing.T) {
			conn, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			io.WriteString(conn, handshakeLine+"\n"+`{"type":"beat","sent":1,"up":1,"run":5}`+"\n")
			conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			if _, err := conn.Read(make([]byte, 1)); (err == nil) != wantAcknowledgement {
				t.Errorf("handshake %s: got acknowledgement %v (read error %v), want %v",
					handshakeLine, err == nil, err, wantAcknowledgement)
			}
		})
	}
}
