package transport

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/coordination"
	"hitchdoor/internal/protocol"
)

type asker func(coordination.Request) coordination.Reply

func (f asker) Ask(r coordination.Request, _ time.Duration) coordination.Reply { return f(r) }

func serve(t *testing.T, f asker) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go NewServer(f, ServerOptions{Connections: 16, Idle: 5 * time.Second, Patience: time.Second}).Serve(ln)
	return "http://" + ln.Addr().String()
}

// What is malformed is refused before it reaches the owner; what can't be taken
// is answered with when to come back.
func TestServerStatuses(t *testing.T) {
	var last coordination.Request
	url := serve(t, func(r coordination.Request) coordination.Reply {
		last = r
		if r.Kind == coordination.ReqSubmit {
			return coordination.Reply{Status: 503, RetryAfter: 2}
		}
		return coordination.Reply{Status: 200, Body: []byte(`{}`)}
	})
	job := `{"uid":"j-1","lote":"c","dono":"t","feitio":"batch","vez":"low","pecas":1,"cores":1,"accelerators":0,"ramGb":1,
		"molde":"i","pullGb":1,"samePlace":false,"apart":false,"avulsas":true,"previstoS":1,"marcoS":0,"guardaS":0}`
	for _, c := range []struct {
		path, body string
		status     int
	}{
		{"/work", "{", 400},
		{"/work", strings.Repeat(" ", protocol.MaxBody) + job, 400},
		{"/work", strings.Repeat("x", 4*protocol.MaxBody), 400},
		{"/work", job, 503},
		{"/work/j-1/cancel", "", 200},
		{"/v1/report", `{"maquina":"m-1","turno":1,"contagem":1}`, 200},
		{"/v1/report", `{}`, 400},
	} {
		resp, err := http.Post(url+c.path, "application/json", strings.NewReader(c.body))
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
	resp, err := http.Get(url + "/work/j-7")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if last.Kind != coordination.ReqQuery || last.ID != "j-7" {
		t.Errorf("query reached the owner as %+v", last)
	}
}

// At its limit the server goes on serving the connections it has, tells the load
// balancer that it is well, and turns others away with when to come back.
func TestServerAtItsLimit(t *testing.T) {
	url := serve(t, func(coordination.Request) coordination.Reply {
		return coordination.Reply{Status: 200, Body: []byte(`{}`)}
	})
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
	for range 15 { // of 16
		c := &http.Client{Transport: &http.Transport{}}
		clients = append(clients, c)
		if resp := ask(c, "/work/j-1"); resp.StatusCode != 200 {
			t.Fatalf("connection %d: %d", len(clients), resp.StatusCode)
		}
	}
	for range 3 {
		late := &http.Client{Transport: &http.Transport{}}
		if resp := ask(late, "/work/j-1"); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
			t.Errorf("one too many: %d %v", resp.StatusCode, resp.Header)
		}
		balancer := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if resp := ask(balancer, "/healthz"); resp.StatusCode != 200 {
			t.Errorf("health: %d", resp.StatusCode)
		}
		time.Sleep(50 * time.Millisecond) // until both are closed
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
	calls := 0
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			calls++
			conn.Read(make([]byte, 1024))
			conn.Close() // executed, perhaps, and not answered
		}
	}()
	c := NewClient(ln.Addr().String(), ClientOptions{Connections: 4, Dial: time.Second, Idle: time.Second, MaxBody: 1 << 20})
	r := c.Do(coordination.Call{ID: 7, Method: "POST", Path: "/multi", Body: []byte("{}"), Timeout: time.Second})
	if r.ID != 7 || r.Status != 0 || calls != 1 {
		t.Fatalf("%+v after %d calls", r, calls)
	}
	url := serve(t, func(coordination.Request) coordination.Reply {
		return coordination.Reply{Status: 200, Body: []byte(`{"a":1}`)}
	})
	c = NewClient(strings.TrimPrefix(url, "http://"), ClientOptions{Connections: 4, Dial: time.Second, Idle: time.Second, MaxBody: 1 << 20})
	r = c.Do(coordination.Call{ID: 8, Method: "GET", Path: "/work/j-1", Timeout: time.Second})
	if r.Status != 200 || string(r.Body) != `{"a":1}` {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
}

// Lines reach the other controller; strangers and nonsense are cut off.
func TestPeers(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	got := make(chan coordination.PeerMessage, 16)
	b := NewPeers("b", []config.Peer{{Node: "a", PeerAddr: "127.0.0.1:1"}}, time.Second, log, func(m coordination.PeerMessage) { got <- m })
	go b.Serve(ln)
	a := NewPeers("a", []config.Peer{{Node: "b", PeerAddr: ln.Addr().String()}}, time.Second, log, func(coordination.PeerMessage) {})
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for done := false; !done; {
		select {
		case m := <-got:
			if m.From != "a" || m.Msg.Type != "beat" || m.Msg.Term != 5 {
				t.Fatalf("%+v", m)
			}
			done = true
		case <-tick.C:
			a.Send("b", coordination.Message{Type: "beat", Term: 5})
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
