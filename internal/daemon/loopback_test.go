package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/standin"
)

// testCluster is a cluster of real controllers in this process that talk over real connections to
// fakes of the key-value store, the cloud and the workers.
type loopback struct {
	t       *testing.T
	cluster config.Cluster
	set     config.Settings
	state   *standin.State
	fleet   *standin.Fleet
	names   []string
	clients map[string]string             // client addresses, by node
	peers   map[string]string             // peer addresses, by node
	relays  map[[2]string]*standin.Relay  // by the two endpoints: who connects, who listens
	stop    map[string]context.CancelFunc // by node
	wait    sync.WaitGroup                // counts the running controllers
}

// newTestCluster starts a cluster that is stopped at the end of the test.
func newLoopback(t *testing.T, nodes int, writeRPS float64, set config.Settings) *loopback {
	t.Helper()
	l := &loopback{t: t, set: set, state: standin.NewState(writeRPS),
		clients: map[string]string{}, peers: map[string]string{},
		relays: map[[2]string]*standin.Relay{}, stop: map[string]context.CancelFunc{}}
	c := &l.cluster
	c.Count, c.Zones = nodes, []string{"a"}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = 0.5, 6, 15
	c.State.RPS, c.State.WriteRPS, c.State.ValueKB, c.State.TxnOps =
		2000, writeRPS, 8, 20
	c.Cloud.RPS, c.Cloud.ListLagS = 20, 1
	c.Resources.CoreShare, c.Resources.MemMB, c.Resources.MaxConnections = 1, 200, 400
	c.Teams = []config.Team{{Name: "a"}, {Name: "b"}}
	reservation, err := standin.ReserveAddresses(2 * nodes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reservation.Close)
	addresses := reservation.Addresses()
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		l.names = append(l.names, name)
		l.clients[name], l.peers[name] = addresses[2*i], addresses[2*i+1]
	}
	reports := map[string]string{}
	for _, name := range l.names {
		reports[name] = l.relay(workers, name, l.clients[name])
	}
	l.fleet = standin.NewFleet(standin.FleetSettings{Nodes: reports,
		Report: 500 * time.Millisecond, Lease: 6 * time.Second,
		Boot: 200 * time.Millisecond, RunTime: 300 * time.Millisecond, Most: 12})
	for _, name := range l.names {
		l.start(name)
	}
	t.Cleanup(func() {
		for _, stop := range l.stop {
			stop()
		}
		l.fleet.Close()
		for _, relay := range l.relays {
			relay.Close()
		}
		l.wait.Wait()
		l.state.Server.Close()
	})
	return l
}

// Endpoints of relays besides the nodes.
const (
	workers      = "workers"
	stateService = "state service"
)

// relayAddress returns the address of the relay between two endpoints, and starts it if needed.
func (l *loopback) relay(from, to, address string) string {
	l.t.Helper()
	ends := [2]string{from, to}
	if l.relays[ends] == nil {
		relay, err := standin.NewRelay(address)
		if err != nil {
			l.t.Fatal(err)
		}
		l.relays[ends] = relay
	}
	return l.relays[ends].Address()
}

// blockLink sets which directions are blocked between two endpoints: towards the one that listens,
// and back.
func (l *loopback) stopLink(from, to string, there, back bool) {
	l.relays[[2]string{from, to}].Stop(there, back)
}

// unblockLinks unblocks both directions of all links.
func (l *loopback) heal() {
	for _, relay := range l.relays {
		relay.Stop(false, false)
	}
}

// startNode starts a controller.
func (l *loopback) start(name string) {
	p := &config.Platform{Node: name, ClientListen: l.clients[name], PeerBind: l.peers[name],
		Cluster: l.cluster}
	p.Outside.State = l.relay(name, stateService, strings.TrimPrefix(l.state.Server.URL, "http://"))
	p.Outside.Cloud = strings.TrimPrefix(l.fleet.Server.URL, "http://")
	for _, other := range l.names {
		if other != name {
			p.Known = append(p.Known,
				config.Peer{Node: other, PeerAddr: l.relay(name, other, l.peers[other])})
		}
	}
	out := io.Discard
	if os.Getenv("LOG_LEVEL") == "debug" {
		out = os.Stderr
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stop[name] = stop
	l.wait.Go(func() {
		if err := Run(ctx, p, l.set, "test",
			slog.New(slog.NewTextHandler(out, nil)).With("node", name)); err != nil {
			l.t.Errorf("%s: %v", name, err)
		}
	})
}

// getJSON sends a GET request to a node and decodes the response. It returns false unless that is a
// 200 that can be decoded.
func (l *loopback) get(node, path string, body any) bool {
	resp, err := http.Get("http://" + l.clients[node] + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(body) == nil
}

// waitForLeader waits until all nodes know each other's versions and the same leader.
func (l *loopback) ready() {
	l.t.Helper()
	l.eventually(20*time.Second, "a leader that all nodes know", func() bool {
		for _, name := range l.names {
			var status struct {
				Leader string `json:"leader"`
				All    bool   `json:"levelOfAll"`
			}
			if !l.get(name, "/status", &status) || status.Leader == "" || !status.All {
				return false
			}
		}
		return true
	})
}

// eventually fails the test unless a condition holds within a timeout.
func (l *loopback) eventually(d time.Duration, what string, cond func() bool) {
	l.t.Helper()
	for end := time.Now().Add(d); !cond(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			l.t.Fatalf("not within %v: %s", d, what)
		}
	}
}

// submitJob submits a job to a node, without retries.
func (l *loopback) submit(node string, job protocol.Job) (status int, retryAfter time.Duration) {
	raw, err := json.Marshal(job)
	if err != nil {
		l.t.Fatal(err)
	}
	resp, err := http.Post("http://"+l.clients[node]+"/work", "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, time.Second
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return resp.StatusCode, time.Duration(seconds) * time.Second
}

// singleTaskJob returns a job with one task.
func smallJob(id, team, class, priority string) protocol.Job {
	return protocol.Job{UID: id, Class: class, Team: team, Kind: "batch", Priority: priority,
		Tasks: 1, Cores: 1, RAM: 1, Image: "i", Spot: true, EstimateS: 1}
}
