package workerrouting

import (
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// fakeHost tells a router the time and which peers are unreachable.
type fakeHost struct {
	now         clock.Instant
	unreachable map[string]bool
}

func (h *fakeHost) Now() clock.Instant { return h.now }

func (h *fakeHost) PeerReachable(name string) bool { return !h.unreachable[name] }

// newTestRouter returns a router of a cluster of three.
func newTestRouter() (*Router, *fakeHost) {
	host := &fakeHost{now: time.Hour, unreachable: map[string]bool{}}
	cluster := &config.Cluster{ControllerCount: 3}
	cluster.Workers.LeaseS = 14
	return NewRouter(host, cluster, []string{"n1", "n2"}), host
}

// A follower redirects a worker once. One that comes back at once can't reach the leader, and is
// relayed for during two leases; then the direct route is tried again.
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
			t.Errorf("at %v: decision %d, not %d", host.now, got, step.want)
		}
	}
}

// Without a leader a worker is stranded until a relayed heartbeat is answered, and its route is
// forgotten once it does not come back.
func TestStrandedWorkersAreCounted(t *testing.T) {
	router, host := newTestRouter()
	if got := router.DecideOnFollower("m-1", ""); got != RejectHeartbeat {
		t.Errorf("without a leader: decision %d", got)
	}
	if recent, stranded := router.CountWorkers(); recent != 1 || stranded != 1 {
		t.Errorf("%d came, %d are stranded", recent, stranded)
	}
	router.RecordServed("m-1")
	if recent, stranded := router.CountWorkers(); recent != 1 || stranded != 0 {
		t.Errorf("once served, %d came, %d are stranded", recent, stranded)
	}
	host.now += router.nodeSearchDuration()
	if recent, _ := router.CountWorkers(); recent != 0 {
		t.Errorf("%d still count as recent", recent)
	}
	if router.ExpireRoutes(); len(router.Routes) > 0 {
		t.Errorf("%d routes are kept", len(router.Routes))
	}
}

// A full leader redirects to the reachable peer with the most spare connections, and uses up what
// that peer has reported.
func TestLeaderRedirectsToSpareConnections(t *testing.T) {
	router, host := newTestRouter()
	router.Connections.Update(90, 100)
	router.RecordPeerHeartbeat("n1", protocol.PeerHeartbeat{SpareConnections: 1})
	router.RecordPeerHeartbeat("n2", protocol.PeerHeartbeat{SpareConnections: 2})
	host.unreachable["n2"] = true
	if target, _ := router.RedirectFromLeader("m-1"); target != "n1" {
		t.Errorf("redirected to %q", target)
	}
	if target, redirect := router.RedirectFromLeader("m-2"); redirect {
		t.Errorf("redirected to %q, which is full or unreachable", target)
	}
	host.unreachable["n2"] = false
	if target, redirect := router.RedirectFromLeader("m-1"); redirect {
		t.Errorf("one that came back is redirected to %q", target)
	}
	if target, _ := router.RedirectFromLeader("m-3"); target != "n2" {
		t.Errorf("redirected to %q", target)
	}
	if router.Connections.Open != 88 {
		t.Errorf("%d connections count as open after two redirects", router.Connections.Open)
	}
}
