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
	"hitchdoor/internal/fakes"
	"hitchdoor/internal/protocol"
)

// testCluster is a cluster of real controllers in this process that talk over real connections to
// fakes of the key-value store, the cloud and the workers.
type testCluster struct {
	t               testing.TB
	shared          config.Cluster
	settings        config.Settings
	store           *fakes.Store
	fleet           *fakes.Fleet
	nodes           []string
	clientAddresses map[string]string             // client addresses, by node
	peerAddresses   map[string]string             // peer addresses, by node
	relays          map[[2]string]*fakes.Relay    // by the two endpoints: who connects, who listens
	stopNode        map[string]context.CancelFunc // by node
	running         sync.WaitGroup                // counts the running controllers
	users           *http.Client                  // of users and operators
}

// newTestCluster starts a cluster that is stopped at the end of the test.
func newTestCluster(t testing.TB, nodeCount int, writeRPS float64, settings config.Settings) *testCluster {
	t.Helper()
	store, err := fakes.NewStore(writeRPS)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Server.Close)
	l := &testCluster{t: t, shared: testSettings(nodeCount, writeRPS), settings: settings, store: store,
		clientAddresses: map[string]string{}, peerAddresses: map[string]string{},
		relays: map[[2]string]*fakes.Relay{}, stopNode: map[string]context.CancelFunc{},
		users: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(l.users.CloseIdleConnections)
	l.reserveAddresses(nodeCount)
	l.startFleet()
	for _, name := range l.nodes {
		l.startNode(name)
	}
	t.Cleanup(l.stop)
	return l
}

// testSettings returns the settings that all controllers share.
func testSettings(nodeCount int, writeRPS float64) config.Cluster {
	var shared config.Cluster
	shared.ControllerCount, shared.Zones = nodeCount, []string{"a"}
	shared.Workers.HeartbeatIntervalS, shared.Workers.LeaseS, shared.Workers.CancelS = 0.5, 6, 15
	shared.Store = config.StoreLimits{RequestsPerS: 2000, WritesPerS: writeRPS, ValueKB: 8, TxnOps: 20}
	shared.Cloud.RequestsPerS, shared.Cloud.ListLagS = 20, 1
	shared.Resources = config.Resources{CoreShare: 1, MemoryMB: 200, MaxConnections: 400}
	shared.Teams = []config.Team{{Name: "a"}, {Name: "b"}}
	return shared
}

// reserveAddresses names the nodes and reserves their addresses until the end of the test.
func (l *testCluster) reserveAddresses(nodeCount int) {
	l.t.Helper()
	reservation, err := fakes.ReserveAddresses(2 * nodeCount)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(reservation.Close)
	addresses := reservation.Addresses()
	for i := range nodeCount {
		name := fmt.Sprintf("n%d", i)
		l.nodes = append(l.nodes, name)
		l.clientAddresses[name], l.peerAddresses[name] = addresses[2*i], addresses[2*i+1]
	}
}

// startFleet starts the cloud and its workers, which reach the controllers through relays.
func (l *testCluster) startFleet() {
	l.t.Helper()
	heartbeatAddresses := map[string]string{}
	for _, name := range l.nodes {
		heartbeatAddresses[name] = l.relayAddress(workersEndpoint, name, l.clientAddresses[name])
	}
	var err error
	l.fleet, err = fakes.NewFleet(fakes.FleetSettings{Nodes: heartbeatAddresses,
		HeartbeatInterval: 500 * time.Millisecond, LeaseDuration: 6 * time.Second,
		BootTime: 200 * time.Millisecond, TaskRunTime: 300 * time.Millisecond, MaxMachines: 12})
	if err != nil {
		l.t.Fatal(err)
	}
}

// stop stops the controllers, the fleet and the relays, and waits for them.
func (l *testCluster) stop() {
	for _, stop := range l.stopNode {
		stop()
	}
	l.fleet.Close()
	for _, relay := range l.relays {
		relay.Close()
	}
	l.running.Wait()
}

// Endpoints of relays besides the nodes.
const (
	workersEndpoint = "workers"
	storeEndpoint   = "state service"
)

// relayAddress returns the address of the relay between two endpoints, and starts it if needed.
func (l *testCluster) relayAddress(from, to, address string) string {
	l.t.Helper()
	ends := [2]string{from, to}
	if l.relays[ends] == nil {
		relay, err := fakes.NewRelay(address)
		if err != nil {
			l.t.Fatal(err)
		}
		l.relays[ends] = relay
	}
	return l.relays[ends].Address()
}

// blockLink sets which directions are blocked between two endpoints: towards the one that listens,
// and back.
func (l *testCluster) blockLink(from, to string, toListener, fromListener bool) {
	l.relays[[2]string{from, to}].Block(toListener, fromListener)
}

// unblockLinks unblocks both directions of all links.
func (l *testCluster) unblockLinks() {
	for _, relay := range l.relays {
		relay.Block(false, false)
	}
}

// startNode starts a controller.
func (l *testCluster) startNode(name string) {
	l.t.Helper()
	platform := &config.Platform{Node: name, ClientListen: l.clientAddresses[name], PeerBind: l.peerAddresses[name],
		Cluster: l.shared}
	platform.Services.Store = l.relayAddress(name, storeEndpoint, strings.TrimPrefix(l.store.Server.URL, "http://"))
	platform.Services.Cloud = strings.TrimPrefix(l.fleet.Server.URL, "http://")
	for _, other := range l.nodes {
		if other != name {
			platform.Peers = append(platform.Peers,
				config.Peer{Node: other, Address: l.relayAddress(name, other, l.peerAddresses[other])})
		}
	}
	logOutput := io.Discard
	if os.Getenv("LOG_LEVEL") == "debug" {
		logOutput = os.Stderr
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stopNode[name] = stop
	l.running.Go(func() {
		if err := Run(ctx, platform, l.settings, "test",
			slog.New(slog.NewTextHandler(logOutput, nil)).With("node", name)); err != nil {
			l.t.Errorf("%s: %v", name, err)
		}
	})
}

// getJSON sends a GET request to a node and decodes the response. It returns false unless that is a
// 200 that can be decoded.
func (l *testCluster) getJSON(node, path string, body any) bool {
	resp, err := l.users.Get("http://" + l.clientAddresses[node] + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(body) == nil
}

// waitForLeader waits until all nodes know each other's versions and the same leader.
func (l *testCluster) waitForLeader() {
	l.t.Helper()
	l.eventually(20*time.Second, "a leader that all nodes know", func() bool {
		for _, name := range l.nodes {
			var status struct {
				Leader string `json:"leader"`
				All    bool   `json:"levelOfAll"`
			}
			if !l.getJSON(name, "/status", &status) || status.Leader == "" || !status.All {
				return false
			}
		}
		return true
	})
}

// eventually fails the test unless a condition holds within a timeout.
func (l *testCluster) eventually(timeout time.Duration, what string, condition func() bool) {
	l.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			l.t.Fatalf("not within %v: %s", timeout, what)
		}
	}
}

// submitJob submits a job to a node, without retries.
func (l *testCluster) submitJob(node string, job protocol.Job) (status int, retryAfter time.Duration) {
	l.t.Helper()
	raw, err := json.Marshal(job)
	if err != nil {
		l.t.Errorf("%s: %v", job.ID, err)
		return 0, 0
	}
	resp, err := l.users.Post("http://"+l.clientAddresses[node]+"/work", "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, time.Second
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return resp.StatusCode, time.Duration(seconds) * time.Second
}

// singleTaskJob returns a job with one task.
func singleTaskJob(id, team, class string, priority protocol.Priority) protocol.Job {
	return protocol.Job{ID: id, Class: class, Team: team, Kind: protocol.JobKindBatch, Priority: priority,
		TaskCount: 1, Cores: 1, MemoryGB: 1, Image: "i", SpotAllowed: true, EstimatedSeconds: 1}
}
