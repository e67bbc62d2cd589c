package transport

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hitchdoor/internal/controller"
)

// The client gives back what was answered, and status 0 when nothing was. It
// never sends a call twice by itself.
func TestClientReturnsResponsesAndNeverRetries(t *testing.T) {
	var calls atomic.Int32
	listener := listenOnLoopback(t)
	serveConnections(t, listener, func(conn net.Conn) {
		calls.Add(1)
		conn.Read(make([]byte, 1024))
		conn.Close() // executed, perhaps, and not answered
	})
	client := newTestClient(t, listener.Addr().String(), ClientOptions{MaxConnections: 4, DialTimeout: time.Second,
		IdleTimeout: time.Second, MaxResponseBytes: 1 << 20})
	result := client.Do(controller.ServiceCall{ID: 7, Method: "POST", Path: "/multi", Body: []byte("{}"),
		Timeout: time.Second})
	if result.ID != 7 || result.Status != 0 || calls.Load() != 1 {
		t.Fatalf("%+v after %d calls", result, calls.Load())
	}
	url := startServer(t, func(controller.Request) controller.Reply {
		return controller.Reply{Status: 200, Body: []byte(`{"a":1}`)}
	})
	client = newTestClient(t, strings.TrimPrefix(url, "http://"), ClientOptions{MaxConnections: 4,
		DialTimeout: time.Second, IdleTimeout: time.Second, MaxResponseBytes: 1 << 20})
	result = client.Do(controller.ServiceCall{ID: 8, Method: "GET", Path: "/work/j-1", Timeout: time.Second})
	if result.Status != 200 || string(result.Body) != `{"a":1}` {
		t.Fatalf("%d %s", result.Status, result.Body)
	}
}

// responseHeader begins the responses of the unfit servers.
const responseHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// writeSlowly sends a text again and again, a byte at a time, until the connection ends.
func writeSlowly(conn net.Conn, text string) {
	for i := 0; ; i = (i + 1) % len(text) {
		if _, err := conn.Write([]byte(text[i : i+1])); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// writeEndlessly sends a text again and again until the connection ends.
func writeEndlessly(conn net.Conn, text string) {
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// misbehavingServers are what servers send in place of a response, by name.
var misbehavingServers = map[string]func(net.Conn){
	"cut short": func(conn net.Conn) {
		io.WriteString(conn, responseHeader+"Content-Length: 10\r\n\r\n{}")
		conn.Close()
	},
	"closed at once": func(conn net.Conn) { conn.Close() },
	"said to be too long": func(conn net.Conn) {
		io.WriteString(conn, responseHeader+"Content-Length: 999999999\r\n\r\n{}")
	},
	"too long": func(conn net.Conn) {
		io.WriteString(conn, responseHeader+"Transfer-Encoding: chunked\r\n\r\n")
		writeEndlessly(conn, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n")
	},
	"too long a header": func(conn net.Conn) { writeEndlessly(conn, "X-"+strings.Repeat("x", 1000)) },
	"trickling header":  func(conn net.Conn) { writeSlowly(conn, responseHeader) },
	"trickling body": func(conn net.Conn) {
		io.WriteString(conn, responseHeader+"Content-Length: 9999\r\n\r\n")
		writeSlowly(conn, "x")
	},
	"mute":     func(net.Conn) {},
	"not HTTP": func(conn net.Conn) { io.WriteString(conn, "220 ready\r\n") },
}

// A service that cuts its answers short, sends too much, trickles, never ends or stays mute
// costs each call its timeout at most, and no connection for longer: the next call finds one.
func TestClientWithMisbehavingServers(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, respond := range misbehavingServers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := listenOnLoopback(t)
			var healthy atomic.Bool
			serveConnections(t, listener, func(conn net.Conn) {
				conn.Read(make([]byte, 1024))
				if healthy.Load() {
					io.WriteString(conn, responseHeader+"Content-Length: 2\r\n\r\n{}")
					return
				}
				respond(conn)
			})
			const connections = 2
			client := newTestClient(t, listener.Addr().String(), ClientOptions{MaxConnections: connections,
				DialTimeout: time.Second, IdleTimeout: time.Second, MaxResponseBytes: 1 << 16})
			call := controller.ServiceCall{ID: 1, Method: "GET", Path: "/store/x", Timeout: timeout}
			for range 2 * connections {
				startedAt := time.Now()
				if result := client.Do(call); result.Status != 0 || result.Body != nil {
					t.Fatalf("%+v", result)
				}
				if duration := time.Since(startedAt); duration > 2*timeout {
					t.Fatalf("a call took %v", duration)
				}
			}
			healthy.Store(true)
			if result := client.Do(call); result.Status != 200 {
				t.Errorf("the next call: %+v", result)
			}
		})
	}
}

// A redirect is not followed: it may lead anywhere.
func TestClientFollowsNoRedirect(t *testing.T) {
	url := startServer(t, func(controller.Request) controller.Reply { return controller.Reply{Status: 302} })
	client := newTestClient(t, strings.TrimPrefix(url, "http://"), ClientOptions{MaxConnections: 1,
		DialTimeout: time.Second, IdleTimeout: time.Second, MaxResponseBytes: 1 << 16})
	if result := client.Do(controller.ServiceCall{ID: 1, Method: "GET", Path: "/work/j-1",
		Timeout: time.Second}); result.Status != 302 {
		t.Errorf("%+v", result)
	}
}
