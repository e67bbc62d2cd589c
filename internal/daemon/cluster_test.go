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

	"hitchdoor/internal/config"
	"hitchdoor/internal/fakes"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
)

// testCluster is a cluster of real controllers in this process, with real connections to each other
// and to fakes of the key-value store, the cloud and the workers.
type testCluster struct {
	t               testing.TB
	clusterConfig   config.Cluster
	settings        config.Settings
	store           *fakes.Store
	fleet           *fakes.Fleet
	nodes           []string
	clientAddresses map[string]string             // by node
	peerAddresses   map[string]string             // by node
	relays          map[[2]string]*fakes.Relay    // by endpoints: the one that connects, the one that listens
	stopNode        map[string]context.CancelFunc // cancels the context of Run, by node
	running         sync.WaitGroup                // counts the running controllers
	userClient      *http.Client                  // used by users and operators
}

// newTestCluster starts a cluster, which is stopped at the end of the test.
func newTestCluster(t testing.TB, nodeCount int, writeRPS float64, settings config.Settings) *testCluster {
	t.Helper()
	store, err := fakes.NewStore(writeRPS)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Server.Close)
	c := &testCluster{t: t, clusterConfig: testClusterConfig(nodeCount, writeRPS), settings: settings, store: store,
		clientAddresses: map[string]string{}, peerAddresses: map[string]string{},
		relays: map[[2]string]*fakes.Relay{}, stopNode: map[string]context.CancelFunc{},
		userClient: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(c.userClient.CloseIdleConnections)
	c.reserveAddresses(nodeCount)
	c.startFleet()
	for _, name := range c.nodes {
		c.startNode(name)
	}
	t.Cleanup(c.stop)
	return c
}

// testClusterConfig returns the part of the settings that all controllers share.
func testClusterConfig(nodeCount int, writeRPS float64) config.Cluster {
	var cluster config.Cluster
	cluster.ControllerCount, cluster.Zones = nodeCount, []string{"a"}
	cluster.Workers.HeartbeatIntervalS, cluster.Workers.LeaseS, cluster.Workers.CancelS = 0.5, 6, 15
	cluster.Store = config.StoreLimits{RequestsPerS: 2000, WritesPerS: writeRPS, ValueKB: 8, TxnOps: 20}
	cluster.Cloud.RequestsPerS, cluster.Cloud.ListLagS = 20, 1
	cluster.Resources = config.Resources{CoreShare: 1, MemoryMB: 200, MaxConnections: 400}
	cluster.Teams = []config.Team{{Name: "a"}, {Name: "b"}}
	return cluster
}

// reserveAddresses names the nodes and reserves their addresses until the end of the test.
func (c *testCluster) reserveAddresses(nodeCount int) {
	c.t.Helper()
	reservation, err := fakes.ReserveAddresses(2 * nodeCount)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(reservation.Close)
	addresses := reservation.Addresses()
	for i := range nodeCount {
		name := fmt.Sprintf("n%d", i)
		c.nodes = append(c.nodes, name)
		c.clientAddresses[name], c.peerAddresses[name] = addresses[2*i], addresses[2*i+1]
	}
}

// startFleet starts the cloud and its workers, which reach the controllers through relays.
func (c *testCluster) startFleet() {
	c.t.Helper()
	heartbeatAddresses := map[string]string{}
	for _, name := range c.nodes {
		heartbeatAddresses[name] = c.relayAddress(workersEndpoint, name, c.clientAddresses[name])
	}
	var err error
	c.fleet, err = fakes.NewFleet(fakes.FleetSettings{Nodes: heartbeatAddresses,
		HeartbeatInterval: 500 * time.Millisecond, LeaseDuration: 6 * time.Second,
		BootTime: 200 * time.Millisecond, TaskRunTime: 300 * time.Millisecond, MaxMachines: 12})
	if err != nil {
		c.t.Fatal(err)
	}
}

// stop stops the controllers, the fleet and the relays, and waits until the controllers have returned.
func (c *testCluster) stop() {
	for _, stop := range c.stopNode {
		stop()
	}
	c.fleet.Close()
	for _, relay := range c.relays {
		relay.Close()
	}
	c.running.Wait()
}

// Endpoints of relays, in addition to the names of the nodes.
const (
	workersEndpoint = "workers"
	storeEndpoint   = "key-value store"
)

// relayAddress returns the address of the relay between two endpoints. It starts the relay, which
// connects to the given address, if there is none yet.
func (c *testCluster) relayAddress(from, to, address string) string {
	c.t.Helper()
	endpoints := [2]string{from, to}
	if c.relays[endpoints] == nil {
		relay, err := fakes.NewRelay(address)
		if err != nil {
			c.t.Fatal(err)
		}
		c.relays[endpoints] = relay
	}
	return c.relays[endpoints].Address()
}

// blockLink sets which directions of a link are blocked. The endpoint from connects, and the endpoint
// to listens.
func (c *testCluster) blockLink(from, to string, toListener, fromListener bool) {
	c.relays[[2]string{from, to}].Block(toListener, fromListener)
}

// unblockLinks unblocks both directions of all links.
func (c *testCluster) unblockLinks() {
	for _, relay := range c.relays {
		relay.Block(false, false)
	}
}

// startNode starts a controller, which logs to standard error if LOG_LEVEL is debug.
func (c *testCluster) startNode(name string) {
	c.t.Helper()
	platform := &config.Platform{Node: name, ClientListen: c.clientAddresses[name], PeerBind: c.peerAddresses[name],
		Cluster: c.clusterConfig}
	platform.Services.Store = c.relayAddress(name, storeEndpoint, strings.TrimPrefix(c.store.Server.URL, "http://"))
	platform.Services.Cloud = strings.TrimPrefix(c.fleet.Server.URL, "http://")
	for _, other := range c.nodes {
		if other != name {
			platform.Peers = append(platform.Peers,
				config.Peer{Node: other, Address: c.relayAddress(name, other, c.peerAddresses[other])})
		}
	}
	logOutput := io.Discard
	if os.Getenv("LOG_LEVEL") == "debug" {
		logOutput = os.Stderr
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stopNode[name] = stop
	c.running.Go(func() {
		if err := Run(ctx, platform, c.settings, "test",
			slog.New(slog.NewTextHandler(logOutput, nil)).With("node", name)); err != nil {
			c.t.Errorf("controller %s failed: %v", name, err)
		}
	})
}

// getJSON sends a GET request to a node and decodes the response. It reports whether the response has
// status 200 and can be decoded.
func (c *testCluster) getJSON(node, path string, value any) bool {
	resp, err := c.userClient.Get("http://" + c.clientAddresses[node] + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(value) == nil
}

// waitForLeader waits until every node names a leader and knows the protocol levels of all nodes.
func (c *testCluster) waitForLeader() {
	c.t.Helper()
	c.eventually(20*time.Second, "all nodes to name a leader and to know each other's protocol levels", func() bool {
		for _, name := range c.nodes {
			var status struct {
				Leader string `json:"leader"`
				All    bool   `json:"levelOfAll"`
			}
			if !c.getJSON(name, "/status", &status) || status.Leader == "" || !status.All {
				return false
			}
		}
		return true
	})
}

// eventually fails the test unless a condition holds within a timeout.
func (c *testCluster) eventually(timeout time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out after %v waiting for %s", timeout, what)
		}
	}
}

// submitJob submits a job to a node, without retries. If the node does not respond, the status is 0.
func (c *testCluster) submitJob(node string, job protocol.Job) (status int, retryAfter time.Duration) {
	c.t.Helper()
	raw, err := protocol.EncodeSubmission(&job)
	if err != nil {
		c.t.Errorf("encoding job %s: %v", job.ID, err)
		return 0, 0
	}
	resp, err := c.userClient.Post("http://"+c.clientAddresses[node]+"/work", "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, time.Second
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return resp.StatusCode, time.Duration(seconds) * time.Second
}

// singleTaskJob returns a job with one task, which needs one core.
func singleTaskJob(id, team, class string, priority protocol.Priority) protocol.Job {
	return protocol.Job{ID: id, Class: class, Team: team, Kind: protocol.JobKindBatch, Priority: priority,
		TaskCount: 1, Cores: 1, MemoryGB: 1, Image: "i", SpotAllowed: true, EstimatedSeconds: 1}
}
