// Package reachability tracks the state of each direction of the links between controllers, and finds
// the node that should replace a leader behind a one-way partition. It reads no clock: callers pass in
// the time.
package reachability

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// NodeReport is what a node reports in its heartbeats about its links, the key-value store and workers.
type NodeReport struct {
	IncomingLinks   []IncomingLink // the links on which the node receives heartbeats
	StoreReachable  bool           // whether the key-value store responds to the node
	RecentWorkers   int            // number of workers that recently contacted the node
	StrandedWorkers int            // number of those that the node could neither serve nor relay
	// MostStranded is the other node that reported the most stranded workers to this node. It is
	// forwarded because that node's own heartbeats may not reach the leader.
	MostStranded StrandedCount
}

// StrandedCount is the number of workers that contacted a node but could not be served through it.
type StrandedCount struct {
	Node    string `json:"node"`
	Workers int    `json:"stranded"`
}

// IncomingLink is the link from another node, with the time since a heartbeat last arrived on it.
type IncomingLink struct {
	Node  string `json:"node"`
	AgeMS int64  `json:"ageMs"`
}

// Age returns the time since the last heartbeat arrived.
func (l IncomingLink) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// LinkState is the state of the link from one node to another. The opposite direction has its own state.
type LinkState int

// These are the states of a link, as the receiving node reports them.
const (
	LinkUnknown LinkState = iota // the receiving node has not reported recently
	LinkUp                       // the receiving node reported a recent heartbeat from the sender
	LinkDown                     // the receiving node reported, but no recent heartbeat from the sender
)

// String returns the name of the state as operators see it.
func (l LinkState) String() string { return [...]string{"unknown", "works", "cut"}[l] }

// receivedReport is the latest report of a node and the time at which it arrived.
type receivedReport struct {
	receivedAt time.Duration
	report     NodeReport
}

// Matrix is one node's view of the links between all nodes, from the latest report of each node.
type Matrix struct {
	nodes       map[string]bool
	sortedNodes []string // the keys of nodes; the set of nodes is fixed
	reports     map[string]receivedReport
}

// NewMatrix returns a matrix of the given nodes without any reports.
func NewMatrix(nodes []string) *Matrix {
	m := &Matrix{nodes: map[string]bool{}, reports: map[string]receivedReport{}}
	for _, node := range nodes {
		m.nodes[node] = true
	}
	m.sortedNodes = slices.Sorted(maps.Keys(m.nodes))
	return m
}

// maxAgeMS is the largest age in milliseconds that a duration can hold.
const maxAgeMS = int64(math.MaxInt64 / time.Millisecond)

// InvalidReportError is the error of RecordReport for an invalid report.
type InvalidReportError struct{ Reason string }

// Error describes what is invalid.
func (e *InvalidReportError) Error() string { return "reachability report: " + e.Reason }

// RecordReport records a node's report in place of its previous one. It ignores an invalid report and
// returns an *InvalidReportError.
func (m *Matrix) RecordReport(from string, receivedAt time.Duration, report NodeReport) error {
	if !m.nodes[from] {
		return &InvalidReportError{fmt.Sprintf("sent by unknown node %q", from)}
	}
	if report.RecentWorkers < 0 || report.StrandedWorkers < 0 || report.MostStranded.Workers < 0 ||
		len(report.IncomingLinks) > len(m.nodes) {
		return &InvalidReportError{fmt.Sprintf("%q reports a negative count or more than %d links", from, len(m.nodes))}
	}
	for _, link := range report.IncomingLinks {
		switch {
		case link.Node == from:
			return &InvalidReportError{fmt.Sprintf("%q reports a heartbeat from itself", from)}
		case !m.nodes[link.Node]:
			return &InvalidReportError{fmt.Sprintf("%q reports a heartbeat from unknown node %q", from, link.Node)}
		case link.AgeMS < 0:
			return &InvalidReportError{fmt.Sprintf("%q reports a heartbeat from %q with the negative age %d ms",
				from, link.Node, link.AgeMS)}
		case link.AgeMS > maxAgeMS:
			return &InvalidReportError{fmt.Sprintf("%q reports a heartbeat from %q with the impossible age %d ms",
				from, link.Node, link.AgeMS)}
		}
	}
	m.reports[from] = receivedReport{receivedAt: receivedAt, report: report}
	return nil
}

// Link returns the state of the link from one node to another, as the receiving node reported it within
// the window before now.
func (m *Matrix) Link(from, to string, now, window time.Duration) LinkState {
	latest, ok := m.reports[to]
	if !ok || now-latest.receivedAt >= window {
		return LinkUnknown
	}
	for _, link := range latest.report.IncomingLinks {
		if link.Node == from && link.Age()+now-latest.receivedAt < window {
			return LinkUp
		}
	}
	return LinkDown
}

// LatestReport returns a node's latest report and whether it arrived within the window before now.
func (m *Matrix) LatestReport(node string, now, window time.Duration) (NodeReport, bool) {
	latest, ok := m.reports[node]
	return latest.report, ok && now-latest.receivedAt < window
}

// Successor returns the node, other than self, with the most stranded workers, and their number. That
// node could serve more of these workers if it were the leader. The name is empty if no other node
// has any. Reports older than the window are ignored.
func (m *Matrix) Successor(self string, now, window time.Duration) StrandedCount {
	successor, most := "", 0
	for _, node := range m.sortedNodes {
		report, ok := m.LatestReport(node, now, window)
		if node == self || !ok {
			continue
		}
		if report.StoreReachable && report.StrandedWorkers > most {
			successor, most = node, report.StrandedWorkers
		}
		if report.MostStranded.Node != self && report.MostStranded.Workers > most {
			successor, most = report.MostStranded.Node, report.MostStranded.Workers
		}
	}
	return StrandedCount{successor, most}
}

// MostStrandedElsewhere returns the node, other than self, that itself reported the most stranded
// workers within the window while the key-value store was reachable for it. The result is zero if
// there is no such node.
func (m *Matrix) MostStrandedElsewhere(self string, now, window time.Duration) StrandedCount {
	mostStranded := StrandedCount{}
	for _, node := range m.sortedNodes {
		if report, ok := m.LatestReport(node, now, window); node != self && ok &&
			report.StoreReachable && report.StrandedWorkers > mostStranded.Workers {
			mostStranded = StrandedCount{node, report.StrandedWorkers}
		}
	}
	return mostStranded
}

// TwoWayPeerCount returns the number of other nodes with which heartbeats are exchanged in both
// directions. receivesFrom reports whether heartbeats from a node arrive here. This suffices for a node
// without a recent report, because nodes of earlier versions don't report what they receive.
func (m *Matrix) TwoWayPeerCount(self string, now, window time.Duration, receivesFrom func(node string) bool) int {
	count := 0
	for node := range m.nodes {
		if node != self && receivesFrom(node) && m.Link(self, node, now, window) != LinkDown {
			count++
		}
	}
	return count
}
