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

// failingListener fails a given number of times before it accepts connections.
type failingListener struct {
	net.Listener
	failures int // number of calls of Accept that still fail
}

// Accept returns the error for too many open files while failures remain. Then it accepts a connection.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// While all file descriptors are in use, Accept fails. A server that returned on this error would make
// the process exit; it must go on and serve later connections. Closing the listener must still stop it.
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
		t.Fatalf("a server returned although its listener is open: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	peerListener.Close()
	select {
	case <-serveResults:
	case <-time.After(5 * time.Second):
		t.Error("a server did not return within 5 s after its listener was closed")
	}
}
