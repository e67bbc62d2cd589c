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
func TestClient(t *testing.T) {
	var calls atomic.Int32
	ln := listenOnLoopback(t)
	serveConnections(t, ln, func(conn net.Conn) {
		calls.Add(1)
		conn.Read(make([]byte, 1024))
		conn.Close() // executed, perhaps, and not answered
	})
	c := newTestClient(t, ln.Addr().String(), ClientOptions{MaxConnections: 4, DialTimeout: time.Second,
		IdleTimeout: time.Second, MaxResponseBytes: 1 << 20})
	r := c.Do(controller.ServiceCall{ID: 7, Method: "POST", Path: "/multi", Body: []byte("{}"), Timeout: time.Second})
	if r.ID != 7 || r.Status != 0 || calls.Load() != 1 {
		t.Fatalf("%+v after %d calls", r, calls.Load())
	}
	url := startServer(t, func(controller.Request) controller.Reply {
		return controller.Reply{Status: 200, Body: []byte(`{"a":1}`)}
	})
	c = newTestClient(t, strings.TrimPrefix(url, "http://"), ClientOptions{MaxConnections: 4, DialTimeout: time.Second,
		IdleTimeout: time.Second, MaxResponseBytes: 1 << 20})
	r = c.Do(controller.ServiceCall{ID: 8, Method: "GET", Path: "/work/j-1", Timeout: time.Second})
	if r.Status != 200 || string(r.Body) != `{"a":1}` {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
}

// responseHead begins the responses of the unfit servers.
const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// trickle sends a text again and again, a byte at a time, until the connection ends.
func trickle(conn net.Conn, text string) {
	for i := 0; ; i = (i + 1) % len(text) {
		if _, err := conn.Write([]byte(text[i : i+1])); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// repeat sends a text again and again until the connection ends.
func repeat(conn net.Conn, text string) {
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// unfitServers are what servers send in place of a response, by name.
var unfitServers = map[string]func(net.Conn){
	"cut short": func(c net.Conn) {
		io.WriteString(c, responseHead+"Content-Length: 10\r\n\r\n{}")
		c.Close()
	},
	"closed at once": func(c net.Conn) { c.Close() },
	"said to be too long": func(c net.Conn) {
		io.WriteString(c, responseHead+"Content-Length: 999999999\r\n\r\n{}")
	},
	"too long": func(c net.Conn) {
		io.WriteString(c, responseHead+"Transfer-Encoding: chunked\r\n\r\n")
		repeat(c, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n")
	},
	"too long a header": func(c net.Conn) { repeat(c, "X-"+strings.Repeat("x", 1000)) },
	"trickling header":  func(c net.Conn) { trickle(c, responseHead) },
	"trickling body": func(c net.Conn) {
		io.WriteString(c, responseHead+"Content-Length: 9999\r\n\r\n")
		trickle(c, "x")
	},
	"mute":     func(net.Conn) {},
	"not HTTP": func(c net.Conn) { io.WriteString(c, "220 ready\r\n") },
}

// A service that cuts its answers short, sends too much, trickles, never ends or stays mute
// costs each call its timeout at most, and no connection for longer: the next call finds one.
func TestClientWithUnfitServers(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, answer := range unfitServers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := listenOnLoopback(t)
			var fit atomic.Bool
			serveConnections(t, ln, func(conn net.Conn) {
				conn.Read(make([]byte, 1024))
				if fit.Load() {
					io.WriteString(conn, responseHead+"Content-Length: 2\r\n\r\n{}")
					return
				}
				answer(conn)
			})
			const connections = 2
			c := newTestClient(t, ln.Addr().String(), ClientOptions{MaxConnections: connections,
				DialTimeout: time.Second, IdleTimeout: time.Second, MaxResponseBytes: 1 << 16})
			call := controller.ServiceCall{ID: 1, Method: "GET", Path: "/store/x", Timeout: timeout}
			for range 2 * connections {
				began := time.Now()
				if r := c.Do(call); r.Status != 0 || r.Body != nil {
					t.Fatalf("%+v", r)
				}
				if took := time.Since(began); took > 2*timeout {
					t.Fatalf("a call took %v", took)
				}
			}
			fit.Store(true)
			if r := c.Do(call); r.Status != 200 {
				t.Errorf("the next call: %+v", r)
			}
		})
	}
}

// A redirect is not followed: it may lead anywhere.
func TestClientFollowsNoRedirect(t *testing.T) {
	url := startServer(t, func(controller.Request) controller.Reply { return controller.Reply{Status: 302} })
	c := newTestClient(t, strings.TrimPrefix(url, "http://"), ClientOptions{MaxConnections: 1, DialTimeout: time.Second,
		IdleTimeout: time.Second, MaxResponseBytes: 1 << 16})
	if r := c.Do(controller.ServiceCall{ID: 1, Method: "GET", Path: "/work/j-1",
		Timeout: time.Second}); r.Status != 302 {
		t.Errorf("%+v", r)
	}
}
