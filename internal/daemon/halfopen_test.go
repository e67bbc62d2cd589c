package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/adminclient"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// The links of three controllers over real connections are blocked in one direction only, in turn
// and flapping, while jobs are submitted: no task runs on two machines at once, all jobs finish, and
// the operators' command reports the half-open link while it lasts.
func TestOneWayCutsOverLoopback(t *testing.T) {
	cluster := newTestCluster(t, 3, 200, config.Defaults())
	cluster.waitForLeader()
	leader := cluster.leader()
	var others []string
	for _, name := range cluster.nodes {
		if name != leader {
			others = append(others, name)
		}
	}
	jobs := 0
	submitFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			cluster.submitJob(cluster.nodes[jobs%len(cluster.nodes)],
				singleTaskJob(fmt.Sprintf("j-%d", jobs), "a", "c", protocol.PriorityStandard))
			jobs++
		}
	}
	submitFor(2 * time.Second)
	blockToAll := func(there, back bool) {
		for _, other := range others {
			cluster.blockLink(leader, other, there, back)
		}
	}
	for _, cut := range []struct {
		name string
		stop func(on bool)
	}{
		{"the leader's heartbeats", func(on bool) { blockToAll(on, false) }},
		{"workers' reports to the leader", func(on bool) { cluster.blockLink(workersEndpoint, leader, on, false) }},
		{"the leader's answers to workers", func(on bool) { cluster.blockLink(workersEndpoint, leader, false, on) }},
		{"the state service's answers", func(on bool) { cluster.blockLink(leader, storeEndpoint, false, on) }},
		{"one node's heartbeats to the leader", func(on bool) { cluster.blockLink(others[0], leader, on, false) }},
	} {
		cut.stop(true)
		submitFor(2 * time.Second)
		cut.stop(false)
		for range 3 { // and flapping
			submitFor(300 * time.Millisecond)
			cut.stop(true)
			submitFor(300 * time.Millisecond)
			cut.stop(false)
		}
	}
	cluster.blockLink(others[0], others[1], true, false)
	report := &bytes.Buffer{}
	cluster.eventually(10*time.Second, "the tool names the cut", func() bool {
		report.Reset()
		err := adminclient.PrintLinks(report, cluster.adminOptions())
		return err != nil && strings.Contains(err.Error(), "half-open")
	})
	cluster.unblockLinks()
	cluster.eventually(20*time.Second, "the tool finds nothing cut", func() bool {
		report.Reset()
		return adminclient.PrintLinks(report, cluster.adminOptions()) == nil
	})
	accepted := cluster.store.CountKeys(storage.JobPrefix) + cluster.store.CountKeys(storage.TerminalPrefix)
	cluster.eventually(60*time.Second, "the end of all jobs",
		func() bool { return cluster.store.CountKeys(storage.JobPrefix) == 0 })
	if over := cluster.store.CountKeys(storage.TerminalPrefix); over < accepted || accepted == 0 {
		t.Errorf("%d of %d accepted jobs are over", over, accepted)
	}
	if twice := cluster.fleet.DuplicatedTasks(); len(twice) > 0 {
		t.Errorf("on two machines at once: %v", twice)
	}
}

// leader returns the leader that the first node names.
func (l *testCluster) leader() string {
	var status struct {
		Leader string `json:"leader"`
	}
	l.getJSON(l.nodes[0], "/status", &status)
	return status.Leader
}
