package transport

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
)

// These are the bounds of the exponential backoff after failed attempts to accept a connection.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
)

// retryingListener retries Accept after errors. Without the retries, a server would return, and the
// process would exit, as soon as all file descriptors are in use.
type retryingListener struct {
	net.Listener
	log       *slog.Logger
	closeOnce sync.Once
	closed    chan struct{} // closed by Close
}

// NewRetryingListener wraps a listener so that Accept fails only once the listener is closed.
func NewRetryingListener(listener net.Listener, log *slog.Logger) net.Listener {
	return &retryingListener{Listener: listener, log: log, closed: make(chan struct{})}
}

// Accept waits for the next connection and retries after errors. It logs only the first of several
// consecutive errors.
func (l *retryingListener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if delay == minAcceptDelay {
			l.log.Warn("accept failed", "address", l.Addr().String(), "error", err)
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(delay):
		}
	}
}

// Close closes the listener. A call of Accept that is waiting before its next attempt returns
// net.ErrClosed.
func (l *retryingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
