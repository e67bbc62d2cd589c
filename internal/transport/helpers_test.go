package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"hitchdoor/internal/controller"
	"hitchdoor/internal/tracing"
)

// handlerFunc is a RequestHandler that calls a function for each request and records no steps.
type handlerFunc func(controller.Request) controller.Reply

// Handle returns the result of the function and ignores the context and the timeout.
func (f handlerFunc) Handle(_ context.Context, request controller.Request, _ time.Duration) controller.Reply {
	return f(request)
}

// Trace returns nil, as for a job without recorded steps.
func (f handlerFunc) Trace(string) []tracing.Step { return nil }

// runForTest runs a function in a goroutine. At the end of the test it cancels the function's context
// and waits until the function returns.
func runForTest(t *testing.T, run func(ctx context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// listenOnLoopback returns a listener that is closed at the end of the test.
func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// serveConnections accepts connections until the end of the test and calls serve with each. It keeps
// the connections open until the end of the test, unless serve closes them.
func serveConnections(t *testing.T, listener net.Listener, serve func(net.Conn)) {
	t.Helper()
	runForTest(t, func(ctx context.Context) {
		var serving sync.WaitGroup
		defer serving.Wait()
		stopClosing := context.AfterFunc(ctx, func() { listener.Close() })
		defer stopClosing()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer conn.Close()
				stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
				defer stopClosing()
				serve(conn)
				<-ctx.Done()
			})
		}
	})
}

// newTestClient returns a client that is closed at the end of the test.
func newTestClient(t *testing.T, address string, options ClientOptions) *Client {
	t.Helper()
	client := NewClient(address, options)
	t.Cleanup(client.Close)
	return client
}

// newHTTPClient returns a client with its own connection pool, which is closed at the end of the test.
func newHTTPClient(t *testing.T) *http.Client {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// ignoreMessage is a DeliverFunc that drops every message.
func ignoreMessage(context.Context, controller.InboundMessage) {}

// startServer starts a server for the duration of the test and returns its URL.
func startServer(t *testing.T, handler handlerFunc) string {
	t.Helper()
	url, _ := newTestServer(t, handler)
	return url
}

// newTestServer starts a server with 16 connections for the duration of the test. It returns the URL and
// the server.
func newTestServer(t *testing.T, handler handlerFunc) (string, *Server) {
	t.Helper()
	listener := listenOnLoopback(t)
	server := NewServer(handler, ServerOptions{MaxConnections: 16, IdleTimeout: 5 * time.Second,
		RequestTimeout: time.Second})
	runForTest(t, func(ctx context.Context) { server.Serve(ctx, listener) })
	return "http://" + listener.Addr().String(), server
}
