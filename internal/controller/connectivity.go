package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reachability"
)

// connectivity collects the peers' reports about the links between all controllers, separately for
// each direction, so that one-way partitions are detected. Package reachability evaluates them.
type connectivity struct {
	self                string
	peers               map[string]*peer
	matrix              *reachability.Matrix
	invalidReportLogged map[string]bool // peers whose invalid reports were logged
}

// newConnectivity returns the state before any report has arrived. self is this node's name, and peers
// is the node's own map, which is read later.
func newConnectivity(self string, peers map[string]*peer) connectivity {
	names := []string{self}
	for name := range peers {
		names = append(names, name)
	}
	return connectivity{self: self, peers: peers, matrix: reachability.NewMatrix(names),
		invalidReportLogged: map[string]bool{}}
}

// recordReport records a peer's connectivity report. It ignores an invalid report, and returns the
// error only for the first one of each peer, so that the caller logs it once.
func (c *connectivity) recordReport(sender string, now clock.Instant, report *protocol.LinkReport) error {
	if report == nil {
		return nil // the peer runs an earlier version, which sends no reports
	}
	err := c.matrix.RecordReport(sender, now, report.ReachabilityReport())
	if err == nil || c.invalidReportLogged[sender] {
		return nil
	}
	c.invalidReportLogged[sender] = true
	return err
}

// twoWayPeerCount returns the number of peers with which messages passed in both directions within
// the window.
func (c *connectivity) twoWayPeerCount(now clock.Instant, window time.Duration) int {
	return c.matrix.TwoWayPeerCount(c.self, now, window, func(node string) bool {
		peer := c.peers[node]
		return peer != nil && now-peer.LastContact < window
	})
}

// workersReachPeers reports whether some peer has reported within the window that workers connect to
// that peer.
func (c *connectivity) workersReachPeers(now clock.Instant, window time.Duration) bool {
	for name := range c.peers {
		if report, ok := c.matrix.LatestReport(name, now, window); ok && report.RecentWorkers > 0 {
			return true
		}
	}
	return false
}
