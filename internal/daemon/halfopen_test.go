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

// The links of three controllers over real connections are blocked in one direction only, in turn
// and flapping, while jobs are submitted: no task runs on two machines at once, all jobs finish, and
// the operators' command reports the half-open link while it lasts.
func TestOneWayCutsOverLoopback(t *testing.T) {
	cluster := newTestCluster(t, 3, 200, config.Defaults())
	cluster.waitForLeader()
	leader := cluster.leader()
	others := slices.DeleteFunc(slices.Clone(cluster.nodes), func(name string) bool { return name == leader })
	users := &steadyUsers{cluster: cluster}
	users.submitFor(2 * time.Second)
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
		t.Run(cut.name, func(*testing.T) { users.submitDuringCut(cut.stop) })
	}
	cluster.checkToolNamesCut(others[0], others[1])
	cluster.checkAcceptedJobsEnd()
	if twice := cluster.fleet.DuplicatedTasks(); len(twice) > 0 {
		t.Errorf("on two machines at once: %v", twice)
	}
}

// steadyUsers submit jobs at a steady rate, to each node in turn.
type steadyUsers struct {
	cluster *testCluster
	jobs    int // submitted so far
}

// submitFor submits jobs for a while.
func (u *steadyUsers) submitFor(duration time.Duration) {
	nodes := u.cluster.nodes
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		job := singleTaskJob(fmt.Sprintf("j-%d", u.jobs), "a", "c", protocol.PriorityStandard)
		u.cluster.submitJob(nodes[u.jobs%len(nodes)], job)
		u.jobs++
	}
}

// submitDuringCut submits jobs while a link is cut, and then while it is flapping.
func (u *steadyUsers) submitDuringCut(stop func(on bool)) {
	stop(true)
	u.submitFor(2 * time.Second)
	stop(false)
	for range 3 {
		u.submitFor(300 * time.Millisecond)
		stop(true)
		u.submitFor(300 * time.Millisecond)
		stop(false)
	}
}

// checkToolNamesCut blocks the link from a node to another one, and checks that the operators' command
// names it, and no longer does once no link is blocked.
func (l *testCluster) checkToolNamesCut(from, to string) {
	l.t.Helper()
	l.blockLink(from, to, true, false)
	report := &bytes.Buffer{}
	l.eventually(10*time.Second, "the tool names the cut", func() bool {
		report.Reset()
		var incomplete *adminclient.IncompleteError
		err := adminclient.PrintLinks(report, l.adminOptions())
		return errors.As(err, &incomplete) && strings.Contains(err.Error(), "half-open")
	})
	l.unblockLinks()
	l.eventually(20*time.Second, "the tool finds nothing cut", func() bool {
		report.Reset()
		return adminclient.PrintLinks(report, l.adminOptions()) == nil
	})
}

// checkAcceptedJobsEnd waits for the end of all accepted jobs, and checks that there are any.
func (l *testCluster) checkAcceptedJobsEnd() {
	l.t.Helper()
	accepted := l.store.CountKeys(storage.JobPrefix) + l.store.CountKeys(storage.TerminalPrefix)
	l.eventually(60*time.Second, "the end of all jobs",
		func() bool { return l.store.CountKeys(storage.JobPrefix) == 0 })
	if over := l.store.CountKeys(storage.TerminalPrefix); over < accepted || accepted == 0 {
		l.t.Errorf("%d of %d accepted jobs are over", over, accepted)
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
