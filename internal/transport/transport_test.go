package transport

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/controller"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/tracing"
)

// handlerFunc is a RequestHandler that calls a function for each request and keeps no traces.
type handlerFunc func(controller.Request) controller.Reply

// Handle calls the function.
func (f handlerFunc) Handle(_ context.Context, r controller.Request, _ time.Duration) controller.Reply {
	return f(r)
}

// Trace returns nil.
func (f handlerFunc) Trace(string) []tracing.Step { return nil }

// runForTest runs a function until the end of the test, which cancels its context and waits for it.
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

// serveConnections accepts connections until the end of the test. It calls serve with each, and
// closes those that are still open at the end.
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

// newHTTPClient returns a client with connections of its own, which are closed at the end of the test.
func newHTTPClient(t *testing.T) *http.Client {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// ignoreMessage is a DeliverFunc.
func ignoreMessage(context.Context, controller.InboundMessage) {}

// startServer starts a server for the duration of the test and returns its URL.
func startServer(t *testing.T, handler handlerFunc) string {
	t.Helper()
	url, _ := newTestServer(t, handler)
	return url
}

// newTestServer starts a server for the duration of the test and returns its URL and the server.
func newTestServer(t *testing.T, handler handlerFunc) (string, *Server) {
	t.Helper()
	listener := listenOnLoopback(t)
	server := NewServer(handler, ServerOptions{MaxConnections: 16, IdleTimeout: 5 * time.Second,
		RequestTimeout: time.Second})
	runForTest(t, func(ctx context.Context) { server.Serve(ctx, listener) })
	return "http://" + listener.Addr().String(), server
}

// What is malformed is refused before it reaches the owner; what can't be taken
// is answered with when to come back.
func TestServerStatuses(t *testing.T) {
	var last controller.Request
	url := startServer(t, func(r controller.Request) controller.Reply {
		last = r
		if r.Kind == protocol.RequestSubmit {
			return controller.Reply{Status: 503, RetryAfter: 2}
		}
		return controller.Reply{Status: 200, Body: []byte(`{}`)}
	})
	client := newHTTPClient(t)
	job := `{"uid":"j-1","lote":"c","dono":"t","feitio":"batch","vez":"low","pecas":1,"cores":1,"accelerators":0,"ramGb":1,
		"molde":"i","pullGb":1,"samePlace":false,"apart":false,"avulsas":true,"previstoS":1,"marcoS":0,"guardaS":0}`
	for _, c := range []struct {
		path, body string
		status     int
	}{
		{"/work", "{", 400},
		{"/work", strings.Repeat(" ", protocol.MaxBodyBytes) + job, 400},
		{"/work", strings.Repeat("x", 4*protocol.MaxBodyBytes), 400},
		{"/work", job, 503},
		{"/work/j-1/cancel", "", 200},
		{"/v1/report", `{"maquina":"m-1","turno":1,"contagem":1}`, 200},
		{"/v1/report", `{}`, 400},
	} {
		resp, err := client.Post(url+c.path, "application/json", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != c.status {
			t.Errorf("%s %.20q: %d", c.path, c.body, resp.StatusCode)
		}
		if c.status == 503 && resp.Header.Get("Retry-After") != "2" {
			t.Errorf("no Retry-After: %v", resp.Header)
		}
	}
	resp, err := client.Get(url + "/work/j-7")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if last.Kind != protocol.RequestQuery || last.JobID != "j-7" {
		t.Errorf("query reached the owner as %+v", last)
	}
}

// At its limit the server goes on serving the connections it has, tells the load
// balancer that it is well, and turns others away with when to come back.
func TestServerAtItsLimit(t *testing.T) {
	url, server := newTestServer(t, func(controller.Request) controller.Reply {
		return controller.Reply{Status: 200, Body: []byte(`{}`)}
	})
	const served = 15 // of 16
	// closed waits until the server is done with all other connections: on a busy machine it
	// takes a moment after the client has its answer, and the next one found no place.
	closed := func() {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); server.ConnectionLoad().Open > served; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections stay open", server.ConnectionLoad().Open)
			}
		}
		time.Sleep(20 * time.Millisecond) // the server's worker is free a little later
	}
	ask := func(c *http.Client, path string) *http.Response {
		resp, err := c.Get(url + path)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp
	}
	var clients []*http.Client
	for range served {
		c := newHTTPClient(t)
		clients = append(clients, c)
		if resp := ask(c, "/work/j-1"); resp.StatusCode != 200 {
			t.Fatalf("connection %d: %d", len(clients), resp.StatusCode)
		}
	}
	for range 3 {
		late := newHTTPClient(t)
		if resp := ask(late, "/work/j-1"); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" ||
			!resp.Close {
			t.Errorf("one too many: %d %v", resp.StatusCode, resp.Header)
		}
		closed()
		balancer := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if resp := ask(balancer, "/healthz"); resp.StatusCode != 200 {
			t.Errorf("health: %d", resp.StatusCode)
		}
		closed()
	}
	for _, c := range clients {
		if resp := ask(c, "/work/j-1"); resp.StatusCode != 200 {
			t.Errorf("a connection that was served: %d", resp.StatusCode)
		}
	}
}

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

// Lines reach the other controller; strangers and nonsense are cut off.
func TestPeers(t *testing.T) {
	ln := listenOnLoopback(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	got := make(chan controller.InboundMessage, 16)
	b := NewPeerLinks("b", []config.Peer{{Node: "a", Address: "127.0.0.1:1"}},
		PeerLinkOptions{IdleTimeout: time.Second, QueueLength: 64, Log: log},
		func(_ context.Context, m controller.InboundMessage) { got <- m })
	runForTest(t, func(ctx context.Context) { b.Serve(ctx, ln) })
	a := NewPeerLinks("a", []config.Peer{{Node: "b", Address: ln.Addr().String()}},
		PeerLinkOptions{IdleTimeout: time.Second, QueueLength: 64, Log: log}, ignoreMessage)
	runForTest(t, a.Maintain)
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for done := false; !done; {
		select {
		case m := <-got:
			if m.From != "a" || m.Message != (protocol.PeerHeartbeat{Term: 5}) {
				t.Fatalf("%+v", m)
			}
			done = true
		case <-tick.C:
			a.Send("b", protocol.PeerHeartbeat{Term: 5})
		case <-deadline:
			t.Fatal("nothing arrived")
		}
	}
	conn, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write([]byte("{\"node\":\"stranger\"}\n"))
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("a stranger was listened to: %v", err)
	}
}

// A service that cuts its answers short, sends too much, trickles, never ends or stays mute
// costs each call its timeout at most, and no connection for longer: the next call finds one.
func TestClientWithUnfitServers(t *testing.T) {
	const timeout = 300 * time.Millisecond
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	trickle := func(conn net.Conn, text string) {
		for i := 0; ; i = (i + 1) % len(text) {
			if _, err := conn.Write([]byte(text[i : i+1])); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for name, answer := range map[string]func(net.Conn){
		"cut short":           func(c net.Conn) { io.WriteString(c, head+"Content-Length: 10\r\n\r\n{}"); c.Close() },
		"closed at once":      func(c net.Conn) { c.Close() },
		"said to be too long": func(c net.Conn) { io.WriteString(c, head+"Content-Length: 999999999\r\n\r\n{}") },
		"too long": func(c net.Conn) {
			io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := io.WriteString(c, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n"); err != nil {
					return
				}
			}
		},
		"too long a header": func(c net.Conn) {
			for {
				if _, err := io.WriteString(c, "X-"+strings.Repeat("x", 1000)); err != nil {
					return
				}
			}
		},
		"trickling header": func(c net.Conn) { trickle(c, head) },
		"trickling body": func(c net.Conn) {
			io.WriteString(c, head+"Content-Length: 9999\r\n\r\n")
			trickle(c, "x")
		},
		"mute":     func(net.Conn) {},
		"not HTTP": func(c net.Conn) { io.WriteString(c, "220 ready\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := listenOnLoopback(t)
			var fit atomic.Bool
			serveConnections(t, ln, func(conn net.Conn) {
				conn.Read(make([]byte, 1024))
				if fit.Load() {
					io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
					return
				}
				answer(conn)
			})
			const connections = 2
			c := newTestClient(t, ln.Addr().String(), ClientOptions{MaxConnections: connections, DialTimeout: time.Second,
				IdleTimeout: time.Second, MaxResponseBytes: 1 << 16})
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
func TestServersGoOnWithoutFileDescriptors(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	listen := func() net.Listener {
		t.Helper()
		ln := listenOnLoopback(t)
		return NewRetryingListener(&failingListener{Listener: ln, failures: 3}, log)
	}
	ended := make(chan error, 2)
	users, peers := listen(), listen()
	ask := handlerFunc(func(controller.Request) controller.Reply {
		return controller.Reply{Status: 200, Body: []byte("{}")}
	})
	server := NewServer(ask, ServerOptions{MaxConnections: 16, IdleTimeout: 5 * time.Second,
		RequestTimeout: time.Second})
	runForTest(t, func(ctx context.Context) { ended <- server.Serve(ctx, users) })
	links := NewPeerLinks("a", []config.Peer{{Node: "b", Address: "127.0.0.1:1"}},
		PeerLinkOptions{IdleTimeout: time.Second, QueueLength: 64, Log: log}, ignoreMessage)
	runForTest(t, func(ctx context.Context) { ended <- links.Serve(ctx, peers) })
	client := newHTTPClient(t)
	client.Timeout = 5 * time.Second
	resp, err := client.Get("http://" + users.Addr().String() + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	select {
	case err := <-ended:
		t.Fatalf("a server ended: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	peers.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("a listener that is closed does not end its server")
	}
}

// With few connections left, a worker's connection is closed after its answer, so that more
// workers than there are connections are served in turns; below that it stays open.
func TestServerTakesWorkersInTurns(t *testing.T) {
	url := startServer(t, func(controller.Request) controller.Reply {
		return controller.Reply{Status: 200, Body: []byte(`{"bastao":1,"ordens":[]}`)}
	})
	report := "POST /v1/report HTTP/1.1\r\nHost: x\r\nContent-Length: 29\r\n\r\n" + `{"maquina":"m-1","turno":1  }`
	ask := func(conn net.Conn) *http.Response {
		t.Helper()
		if _, err := io.WriteString(conn, report); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp
	}
	const connections, kept = 16, 14
	for i := range 3 * connections {
		conn, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if resp := ask(conn); resp.StatusCode != 200 || resp.Close != (i >= kept) {
			t.Fatalf("worker %d: %d, closed %v", i, resp.StatusCode, resp.Close)
		}
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if i >= kept {
			io.Copy(io.Discard, conn) // until it is closed
		}
	}
}

// A connection between controllers on which bytes leave and nothing returns is given up after
// the time for which a link may be silent, and made anew; a node of an earlier version, which
// acknowledges nothing, is left alone.
func TestHalfOpenLinkIsMadeAnew(t *testing.T) {
	const quiet = 200 * time.Millisecond
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, acknowledges := range []bool{true, false} {
		ln := listenOnLoopback(t)
		var connections atomic.Int32
		serveConnections(t, ln, func(conn net.Conn) {
			first := connections.Add(1) == 1
			lines := bufio.NewScanner(conn)
			for count := 0; lines.Scan(); count++ {
				if acknowledges && (!first || count < 3) { // then nothing returns
					conn.Write([]byte{acknowledgement})
				}
			}
		})
		links := NewPeerLinks("a", []config.Peer{{Node: "b", Address: ln.Addr().String()}},
			PeerLinkOptions{IdleTimeout: quiet, QueueLength: 64, Log: log}, ignoreMessage)
		runForTest(t, links.Maintain)
		for range 60 {
			links.Send("b", protocol.PeerHeartbeat{Term: 5})
			time.Sleep(quiet / 10)
		}
		want := int32(1)
		if acknowledges {
			want = 2
		}
		if got := connections.Load(); got != want {
			t.Errorf("acknowledges %v: %d connections", acknowledges, got)
		}
	}
}

// A node acknowledges lines only to one that asks for it: an earlier version takes any byte
// that comes back for the end of the link.
func TestAcksOnlyWhereAsked(t *testing.T) {
	ln := listenOnLoopback(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	links := NewPeerLinks("b", []config.Peer{{Node: "a", Address: "127.0.0.1:1"}},
		PeerLinkOptions{IdleTimeout: 5 * time.Second, QueueLength: 64, Log: log}, ignoreMessage)
	runForTest(t, func(ctx context.Context) { links.Serve(ctx, ln) })
	for hello, acks := range map[string]bool{`{"node":"a"}`: false, `{"node":"a","acks":true}`: true} {
		conn, err := net.Dial("tcp4", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, hello+"\n"+`{"type":"beat","sent":1,"up":1,"run":5}`+"\n")
		conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); (err == nil) != acks {
			t.Errorf("%s: %v", hello, err)
		}
	}
}
