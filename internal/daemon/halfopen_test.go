package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/adminclient"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Links of three controllers are blocked in one direction only, one after the other, first for a
// while and then flapping, while jobs are submitted over real connections. No task may run on two
// machines at once, all accepted jobs must finish, and the operators' links command must report a
// half-open link until it is unblocked.
func TestOneWayCutsOverLoopback(t *testing.T) {
	cluster := newTestCluster(t, 3, 200, config.Defaults())
	cluster.waitForLeader()
	leader := cluster.leader()
	others := slices.DeleteFunc(slices.Clone(cluster.nodes), func(name string) bool { return name == leader })
	users := &steadyUsers{cluster: cluster}
	users.submitFor(2 * time.Second)
	blockToAll := func(toListener, fromListener bool) {
		for _, other := range others {
			cluster.blockLink(leader, other, toListener, fromListener)
		}
	}
	for _, test := range []struct {
		name  string
		block func(blocked bool)
	}{
		{"the leader's heartbeats", func(blocked bool) { blockToAll(blocked, false) }},
		{"workers' heartbeats to the leader",
			func(blocked bool) { cluster.blockLink(workersEndpoint, leader, blocked, false) }},
		{"the leader's responses to workers",
			func(blocked bool) { cluster.blockLink(workersEndpoint, leader, false, blocked) }},
		{"the key-value store's responses",
			func(blocked bool) { cluster.blockLink(leader, storeEndpoint, false, blocked) }},
		{"one node's heartbeats to the leader",
			func(blocked bool) { cluster.blockLink(others[0], leader, blocked, false) }},
	} {
		t.Run(test.name, func(*testing.T) { users.submitWhileBlocked(test.block) })
	}
	cluster.checkLinksCommandReportsBlockedLink(others[0], others[1])
	cluster.checkAcceptedJobsEnd()
	if duplicated := cluster.fleet.DuplicatedTasks(); len(duplicated) > 0 {
		t.Errorf("tasks that ran on two machines at once: got %v, want none", duplicated)
	}
}

// steadyUsers submit jobs at a steady rate, to each node in turn.
type steadyUsers struct {
	cluster *testCluster
	jobs    int // submitted so far
}

// submitFor submits a job every 200 ms until the duration has passed. It ignores whether the jobs are
// accepted.
func (u *steadyUsers) submitFor(duration time.Duration) {
	nodes := u.cluster.nodes
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		job := singleTaskJob(fmt.Sprintf("j-%d", u.jobs), "a", "c", protocol.PriorityStandard)
		u.cluster.submitJob(nodes[u.jobs%len(nodes)], job)
		u.jobs++
	}
}

// submitWhileBlocked submits jobs while a link is blocked, and then while it is flapping.
func (u *steadyUsers) submitWhileBlocked(block func(blocked bool)) {
	block(true)
	u.submitFor(2 * time.Second)
	block(false)
	for range 3 {
		u.submitFor(300 * time.Millisecond)
		block(true)
		u.submitFor(300 * time.Millisecond)
		block(false)
	}
}

// checkLinksCommandReportsBlockedLink blocks the link from a node to another one. It checks that the
// operators' links command reports this link as half-open, and reports no problem once no link is
// blocked.
func (c *testCluster) checkLinksCommandReportsBlockedLink(from, to string) {
	c.t.Helper()
	c.blockLink(from, to, true, false)
	report := &bytes.Buffer{}
	c.eventually(10*time.Second, "the links command to report the half-open link", func() bool {
		report.Reset()
		var incomplete *adminclient.IncompleteError
		err := adminclient.PrintLinks(report, c.adminOptions())
		return errors.As(err, &incomplete) && strings.Contains(err.Error(), "half-open")
	})
	c.unblockLinks()
	c.eventually(20*time.Second, "the links command to report no problem", func() bool {
		report.Reset()
		return adminclient.PrintLinks(report, c.adminOptions()) == nil
	})
}

// checkAcceptedJobsEnd waits for the end of all accepted jobs. It fails the test if no job was accepted
// or a finished job has no terminal record.
func (c *testCluster) checkAcceptedJobsEnd() {
	c.t.Helper()
	accepted := c.store.CountKeys(storage.JobPrefix) + c.store.CountKeys(storage.TerminalPrefix)
	c.eventually(60*time.Second, "the end of all accepted jobs",
		func() bool { return c.store.CountKeys(storage.JobPrefix) == 0 })
	if finished := c.store.CountKeys(storage.TerminalPrefix); finished < accepted || accepted == 0 {
		c.t.Errorf("%d of %d accepted jobs have a terminal record, want all and at least one", finished, accepted)
	}
}

// leader returns the name of the leader according to the first node.
func (c *testCluster) leader() string {
	var status struct {
		Leader string `json:"leader"`
	}
	c.getJSON(c.nodes[0], "/status", &status)
	return status.Leader
}
