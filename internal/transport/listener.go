package transport

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// Bounds of the exponential backoff between failed attempts to accept a connection.
const (
	firstAcceptPause   = 5 * time.Millisecond
	longestAcceptPause = 500 * time.Millisecond
)

// retryingListener retries Accept after errors. Without it, a server would end, and with it the
// process, as soon as all file descriptors are in use.
type steadyListener struct {
	net.Listener
	log *slog.Logger
}

// NewRetryingListener wraps a listener so that Accept fails only once the listener is closed.
func Steady(listener net.Listener, log *slog.Logger) net.Listener {
	return &steadyListener{Listener: listener, log: log}
}

// Accept waits for the next connection, and retries after errors.
func (l *steadyListener) Accept() (net.Conn, error) {
	for pause := firstAcceptPause; ; pause = min(2*pause, longestAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if pause == firstAcceptPause {
			l.log.Warn("accept failed", "address", l.Addr().String(), "error", err)
		}
		time.Sleep(pause)
	}
}
