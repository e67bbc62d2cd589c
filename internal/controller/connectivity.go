package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reachability"
)

// connectivity is what a node knows of the links between all controllers, by direction. Package
// reachability evaluates the reports; this type collects them, so that one-way partitions are
// noticed.
type connectivity struct {
	self                string
	peers               map[string]*peer
	matrix              *reachability.Matrix
	invalidReportLogged map[string]bool // peers whose invalid reports were logged
}

// newConnectivity returns the state of a node that has heard of no link yet.
func newConnectivity(self string, peers map[string]*peer) connectivity {
	names := []string{self}
	for name := range peers {
		names = append(names, name)
	}
	return connectivity{self: self, peers: peers, matrix: reachability.NewMatrix(names),
		invalidReportLogged: map[string]bool{}}
}

// recordReport records a peer's connectivity report. An invalid report is ignored; its error is
// returned once per peer, to be logged.
func (c *connectivity) recordReport(sender string, now clock.Instant, report *protocol.LinkReport) error {
	if report == nil {
		return nil // an earlier version, which sends no report
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
	return c.matrix.CountBidirectional(c.self, now, window, func(node string) bool {
		peer := c.peers[node]
		return peer != nil && now-peer.LastContact < window
	})
}

// workersReachPeers reports whether some peer reported workers that connect to it within the window.
func (c *connectivity) workersReachPeers(now clock.Instant, window time.Duration) bool {
	for name := range c.peers {
		if report, ok := c.matrix.LatestReport(name, now, window); ok && report.RecentWorkers > 0 {
			return true
		}
	}
	return false
}
