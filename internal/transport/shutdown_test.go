package transport

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/controller"
	"hitchdoor/internal/tracing"
)

// shutdownTimeout is the maximum time that the shutdown of a server or a client may take.
const shutdownTimeout = 3 * time.Second

// waitForShutdown fails the test if the channel is not closed within shutdownTimeout.
func waitForShutdown(t *testing.T, name string, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(shutdownTimeout):
		t.Fatalf("%s did not return within %v", name, shutdownTimeout)
	}
}

// runInBackground runs a function in a goroutine. The returned channel is closed when the function
// returns.
func runInBackground(run func()) (ended <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	return done
}

// blockingHandler is a RequestHandler that replies only once its context is cancelled.
type blockingHandler struct{ called chan struct{} }

// Handle signals called, waits until the context is cancelled and replies with status 503.
func (h blockingHandler) Handle(ctx context.Context, _ controller.Request, _ time.Duration) controller.Reply {
	h.called <- struct{}{}
	<-ctx.Done()
	return controller.Reply{Status: 503, RetryAfter: 1}
}

// Trace returns nil, as for a job without recorded steps.
func (blockingHandler) Trace(string) []tracing.Step { return nil }

// During its shutdown, a server must close its connections before it interrupts the handlers.
// Otherwise a client would take the reply of an interrupted handler for a valid response. Serve must
// return only after the handlers have returned.
func TestServerShutdown(t *testing.T) {
	handler := blockingHandler{called: make(chan struct{}, 1)}
	server := NewServer(handler, ServerOptions{MaxConnections: 16, IdleTimeout: time.Minute,
		RequestTimeout: time.Minute})
	listener := listenOnLoopback(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	served := runInBackground(func() { server.Serve(ctx, listener) })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, "GET /work/j-1 HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-handler.called
	cancel()
	waitForShutdown(t, "Serve", served)
	conn.SetReadDeadline(time.Now().Add(shutdownTimeout))
	if response, _ := io.ReadAll(conn); len(response) > 0 {
		t.Errorf("interrupted request: got response %q, want none", response)
	}
}

// Close must make a call in flight return without a response, long before its timeout, and later calls
// fail.
func TestClientClose(t *testing.T) {
	listener := listenOnLoopback(t)
	received := make(chan struct{}, 1)
	serveConnections(t, listener, func(conn net.Conn) {
		conn.Read(make([]byte, 1024))
		received <- struct{}{} // The service sends no response.
	})
	client := newTestClient(t, listener.Addr().String(), ClientOptions{MaxConnections: 2, DialTimeout: time.Minute,
		IdleTimeout: time.Minute, MaxResponseBytes: 1 << 16})
	call := controller.ServiceCall{ID: 7, Method: "GET", Path: "/follow", Timeout: time.Minute}
	returned := runInBackground(func() {
		if result := client.Do(call); result.ID != 7 || result.Status != 0 {
			t.Errorf("call in flight: got %+v, want ID 7 and status 0", result)
		}
	})
	<-received
	client.Close()
	waitForShutdown(t, "Do", returned)
	if result := client.Do(call); result.Status != 0 {
		t.Errorf("call after Close: got %+v, want status 0", result)
	}
}

// Serve and Maintain must return when their context is cancelled, in every state of a connection: while
// it waits for the handshake, while it is idle and while a message is being delivered.
func TestPeerLinksShutdown(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	for _, test := range []struct {
		name  string
		lines string // what a peer sends on the incoming connection
	}{
		{"without a handshake", ""},
		{"after the handshake", `{"node":"b"}` + "\n"},
		{"while a message is delivered", `{"node":"b"}` + "\n" + `{"type":"clear","term":5}` + "\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			incoming, peerListener := listenOnLoopback(t), listenOnLoopback(t)
			connected := make(chan struct{}, 1)
			serveConnections(t, peerListener, func(net.Conn) { connected <- struct{}{} })
			delivering := make(chan struct{}, 1)
			links := NewPeerLinks("a", []config.Peer{{Node: "b", Address: peerListener.Addr().String()}},
				PeerLinkOptions{IdleTimeout: time.Minute, QueueLength: 4, Log: log},
				func(ctx context.Context, _ controller.InboundMessage) {
					delivering <- struct{}{}
					<-ctx.Done()
				})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			served := runInBackground(func() { links.Serve(ctx, incoming) })
			maintained := runInBackground(func() { links.Maintain(ctx) })
			conn, err := net.Dial("tcp4", incoming.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			if _, err := io.WriteString(conn, test.lines); err != nil {
				t.Fatal(err)
			}
			<-connected
			if strings.Contains(test.lines, "clear") {
				<-delivering
			}
			cancel()
			waitForShutdown(t, "Serve", served)
			waitForShutdown(t, "Maintain", maintained)
		})
	}
}
