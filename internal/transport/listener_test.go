package transport

import (
	"context"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/controller"
)

// failingListener returns a number of errors before it accepts connections.
type failingListener struct {
	net.Listener
	failures int
}

// Accept fails as if all file descriptors were in use, or accepts a connection.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// With all file descriptors in use, connections can't be accepted for a while. Servers took
// that for their end, and the process ended with them.
func TestServersSurviveFileDescriptorExhaustion(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	listen := func() net.Listener {
		t.Helper()
		listener := listenOnLoopback(t)
		return NewRetryingListener(&failingListener{Listener: listener, failures: 3}, log)
	}
	serveResults := make(chan error, 2)
	userListener, peerListener := listen(), listen()
	handler := handlerFunc(func(controller.Request) controller.Reply {
		return controller.Reply{Status: 200, Body: []byte("{}")}
	})
	server := NewServer(handler, ServerOptions{MaxConnections: 16, IdleTimeout: 5 * time.Second,
		RequestTimeout: time.Second})
	runForTest(t, func(ctx context.Context) { serveResults <- server.Serve(ctx, userListener) })
	links := NewPeerLinks("a", []config.Peer{{Node: "b", Address: "127.0.0.1:1"}},
		PeerLinkOptions{IdleTimeout: time.Second, QueueLength: 64, Log: log}, ignoreMessage)
	runForTest(t, func(ctx context.Context) { serveResults <- links.Serve(ctx, peerListener) })
	client := newHTTPClient(t)
	client.Timeout = 5 * time.Second
	response, err := client.Get("http://" + userListener.Addr().String() + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	select {
	case err := <-serveResults:
		t.Fatalf("a server ended: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	peerListener.Close()
	select {
	case <-serveResults:
	case <-time.After(5 * time.Second):
		t.Error("a listener that is closed does not end its server")
	}
}
