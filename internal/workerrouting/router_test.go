package workerrouting

import (
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// fakeHost is a Host with a settable time and settable unreachable peers.
type fakeHost struct {
	now         clock.Instant
	unreachable map[string]bool
}

func (h *fakeHost) Now() clock.Instant { return h.now }

func (h *fakeHost) PeerReachable(name string) bool { return !h.unreachable[name] }

// newTestRouter returns a router of a cluster of three controllers with a worker lease of 14 s.
func newTestRouter() (*Router, *fakeHost) {
	host := &fakeHost{now: time.Hour, unreachable: map[string]bool{}}
	cluster := &config.Cluster{ControllerCount: 3}
	cluster.Workers.LeaseS = 14
	return NewRouter(host, cluster, []string{"n1", "n2"}), host
}

// A worker that comes back soon after its redirect can't reach the leader. The follower must relay its
// heartbeats instead of redirecting it again and again, and retry the redirect after two worker leases.
func TestReturningWorkerIsRelayed(t *testing.T) {
	router, host := newTestRouter()
	for _, step := range []struct {
		after time.Duration
		want  Decision
	}{
		{0, RedirectToLeader},
		{time.Second, RelayToLeader},
		{2*14*time.Second - 1, RelayToLeader},
		{1, RedirectToLeader},
		{router.nodeSearchDuration(), RedirectToLeader},
	} {
		host.now += step.after
		if got := router.DecideOnFollower("m-1", "n1"); got != step.want {
			t.Errorf("heartbeat of m-1 at %v: got decision %d, want %d", host.now, got, step.want)
		}
	}
}

// A worker that a follower can't pass to any leader must be counted as stranded until the leader responds
// to a relayed heartbeat. The route of a worker that does not come back must be removed.
func TestStrandedWorkersAreCounted(t *testing.T) {
	router, host := newTestRouter()
	if got := router.DecideOnFollower("m-1", ""); got != RejectHeartbeat {
		t.Errorf("without a leader: got decision %d, want RejectHeartbeat", got)
	}
	if recent, stranded := router.CountWorkers(); recent != 1 || stranded != 1 {
		t.Errorf("without a leader: got %d recent and %d stranded workers, want 1 and 1", recent, stranded)
	}
	router.RecordServed("m-1")
	if recent, stranded := router.CountWorkers(); recent != 1 || stranded != 0 {
		t.Errorf("after the leader responded: got %d recent and %d stranded workers, want 1 and 0", recent, stranded)
	}
	host.now += router.nodeSearchDuration()
	if recent, _ := router.CountWorkers(); recent != 0 {
		t.Errorf("after nodeSearchDuration: got %d workers seen recently, want 0", recent)
	}
	if router.ExpireRoutes(); len(router.Routes) > 0 {
		t.Errorf("after nodeSearchDuration: got %d routes, want 0", len(router.Routes))
	}
}

// A full leader must redirect workers to the reachable peer with the most spare connections, but no
// more workers than that peer has spare connections. If a worker comes back, the leader must serve it
// itself.
func TestLeaderRedirectsToSpareConnections(t *testing.T) {
	router, host := newTestRouter()
	router.Connections.Update(90, 100)
	router.RecordPeerHeartbeat("n1", protocol.PeerHeartbeat{SpareConnections: 1})
	router.RecordPeerHeartbeat("n2", protocol.PeerHeartbeat{SpareConnections: 2})
	host.unreachable["n2"] = true
	if target, _ := router.RedirectFromLeader("m-1"); target != "n1" {
		t.Errorf("m-1: redirected to %q, want the only reachable peer n1", target)
	}
	if target, redirect := router.RedirectFromLeader("m-2"); redirect {
		t.Errorf("m-2: redirected to %q, want no redirect: n1 has no spare connection left, n2 is unreachable", target)
	}
	host.unreachable["n2"] = false
	if target, redirect := router.RedirectFromLeader("m-1"); redirect {
		t.Errorf("m-1 after it came back: redirected to %q, want no redirect", target)
	}
	if target, _ := router.RedirectFromLeader("m-3"); target != "n2" {
		t.Errorf("m-3: redirected to %q, want n2", target)
	}
	if router.Connections.Open != 88 {
		t.Errorf("after two redirects: got %d open connections, want 88", router.Connections.Open)
	}
}
