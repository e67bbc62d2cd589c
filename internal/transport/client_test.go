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

// Do must return the response of the service, and status 0 without a second attempt if the service
// closes the connection before it responds: the service may have executed the call.
func TestClientReturnsResponsesAndNeverRetries(t *testing.T) {
	var calls atomic.Int32
	listener := listenOnLoopback(t)
	serveConnections(t, listener, func(conn net.Conn) {
		calls.Add(1)
		conn.Read(make([]byte, 1024))
		conn.Close() // The service may have executed the call, but sends no response.
	})
	client := newTestClient(t, listener.Addr().String(), ClientOptions{MaxConnections: 4, DialTimeout: time.Second,
		IdleTimeout: time.Second, MaxResponseBytes: 1 << 20})
	result := client.Do(controller.ServiceCall{ID: 7, Method: "POST", Path: "/multi", Body: []byte("{}"),
		Timeout: time.Second})
	if result.ID != 7 || result.Status != 0 || calls.Load() != 1 {
		t.Fatalf("connection closed without a response: got %+v after %d calls, want ID 7 and status 0 after 1 call",
			result, calls.Load())
	}
	url := startServer(t, func(controller.Request) controller.Reply {
		return controller.Reply{Status: 200, Body: []byte(`{"a":1}`)}
	})
	client = newTestClient(t, strings.TrimPrefix(url, "http://"), ClientOptions{MaxConnections: 4,
		DialTimeout: time.Second, IdleTimeout: time.Second, MaxResponseBytes: 1 << 20})
	result = client.Do(controller.ServiceCall{ID: 8, Method: "GET", Path: "/work/j-1", Timeout: time.Second})
	if result.Status != 200 || string(result.Body) != `{"a":1}` {
		t.Fatalf("complete response: got status %d and body %s, want 200 and {\"a\":1}", result.Status, result.Body)
	}
}

// responseHeader is the start of the responses that the misbehaving servers send.
const responseHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// writeSlowly sends a text repeatedly, one byte every 20 ms, until the connection is closed.
func writeSlowly(conn net.Conn, text string) {
	for i := 0; ; i = (i + 1) % len(text) {
		if _, err := conn.Write([]byte(text[i : i+1])); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// writeEndlessly sends a text repeatedly until the connection is closed.
func writeEndlessly(conn net.Conn, text string) {
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// misbehavingServers are functions that send something other than a valid response, by test name.
var misbehavingServers = map[string]func(net.Conn){
	"truncated body": func(conn net.Conn) {
		io.WriteString(conn, responseHeader+"Content-Length: 10\r\n\r\n{}")
		conn.Close()
	},
	"connection closed": func(conn net.Conn) { conn.Close() },
	"declared length too large": func(conn net.Conn) {
		io.WriteString(conn, responseHeader+"Content-Length: 999999999\r\n\r\n{}")
	},
	"body too large": func(conn net.Conn) {
		io.WriteString(conn, responseHeader+"Transfer-Encoding: chunked\r\n\r\n")
		writeEndlessly(conn, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n")
	},
	"header too large": func(conn net.Conn) { writeEndlessly(conn, "X-"+strings.Repeat("x", 1000)) },
	"slow header":      func(conn net.Conn) { writeSlowly(conn, responseHeader) },
	"slow body": func(conn net.Conn) {
		io.WriteString(conn, responseHeader+"Content-Length: 9999\r\n\r\n")
		writeSlowly(conn, "x")
	},
	"no response": func(net.Conn) {},
	"not HTTP":    func(conn net.Conn) { io.WriteString(conn, "220 ready\r\n") },
}

// A service may truncate its response, send too much, send it slowly or not at all. Each call must
// then fail within twice its timeout and release its connection. Otherwise all connections would end up
// in use and the next call would find none.
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
					t.Fatalf("call: got %+v, want status 0 and no body", result)
				}
				if duration := time.Since(startedAt); duration > 2*timeout {
					t.Fatalf("call: took %v, want at most %v", duration, 2*timeout)
				}
			}
			healthy.Store(true)
			if result := client.Do(call); result.Status != 200 {
				t.Errorf("call after the service recovered: got %+v, want status 200", result)
			}
		})
	}
}

// The client must not follow a redirect, which may lead to any host.
func TestClientFollowsNoRedirect(t *testing.T) {
	url := startServer(t, func(controller.Request) controller.Reply { return controller.Reply{Status: 302} })
	client := newTestClient(t, strings.TrimPrefix(url, "http://"), ClientOptions{MaxConnections: 1,
		DialTimeout: time.Second, IdleTimeout: time.Second, MaxResponseBytes: 1 << 16})
	if result := client.Do(controller.ServiceCall{ID: 1, Method: "GET", Path: "/work/j-1",
		Timeout: time.Second}); result.Status != 302 {
		t.Errorf("call that is redirected: got %+v, want status 302", result)
	}
}
