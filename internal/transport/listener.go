package transport

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// Pauses between tries to accept a connection, doubling from the first to the longest.
const (
	firstAcceptPause   = 5 * time.Millisecond
	longestAcceptPause = 500 * time.Millisecond
)

// steadyListener goes on accepting connections after errors. Where all file descriptors are
// in use, a server that takes the first error for its end would end the process.
type steadyListener struct {
	net.Listener
	log *slog.Logger
}

// Steady wraps a listener so that only its close ends it.
func Steady(listener net.Listener, log *slog.Logger) net.Listener {
	return &steadyListener{Listener: listener, log: log}
}

// Accept waits for the next connection.
func (l *steadyListener) Accept() (net.Conn, error) {
	for pause := firstAcceptPause; ; pause = min(2*pause, longestAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if pause == firstAcceptPause {
			l.log.Warn("connections can't be accepted", "address", l.Addr().String(), "error", err)
		}
		time.Sleep(pause)
	}
}
