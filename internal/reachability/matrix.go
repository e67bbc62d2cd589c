// Package reachability tracks the state of the links between controllers, by direction, and finds
// the node that should replace a leader behind a one-way partition. It is pure: the caller passes
// in the time.
package reachability

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// NodeReport is a node's report, in its heartbeats, of what it can reach.
type NodeReport struct {
	IncomingLinks   []IncomingLink // the other nodes whose heartbeats it receives
	StoreReachable  bool           // the key-value store responds to it
	RecentWorkers   int            // workers that contacted it lately
	StrandedWorkers int            // of these, the workers that it could neither serve nor relay
	// MostStranded is the other node that reported the most stranded workers. It is passed on
	// because that node's heartbeats may not reach the leader.
	MostStranded StrandedCount
}

// StrandedCount is the number of workers that contacted a node and that it can't serve.
type StrandedCount struct {
	Node    string `json:"node"`
	Workers int    `json:"stranded"`
}

// IncomingLink is the link from a node whose heartbeat was received, and how long ago that was.
type IncomingLink struct {
	Node  string `json:"node"`
	AgeMS int64  `json:"ageMs"`
}

// Age is the time since the last heartbeat arrived.
func (l IncomingLink) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// Link is the state of one direction of the link between two nodes.
type Link int

// States of a link. A link that nobody has reported lately is unknown, which is different from
// down.
const (
	LinkUnknown Link = iota
	LinkUp
	LinkDown
)

// String is the name of the link's state.
func (l Link) String() string { return [...]string{"unknown", "works", "cut"}[l] }

// receivedReport is the last report of a node, and when it arrived.
type receivedReport struct {
	receivedAt time.Duration
	report     NodeReport
}

// Matrix is one node's knowledge of all links.
type Matrix struct {
	nodes       map[string]bool
	sortedNodes []string // the nodes by name, which never change
	reports     map[string]receivedReport
}

// NewMatrix returns an empty matrix of the nodes.
func NewMatrix(nodes []string) *Matrix {
	m := &Matrix{nodes: map[string]bool{}, reports: map[string]receivedReport{}}
	for _, node := range nodes {
		m.nodes[node] = true
	}
	m.sortedNodes = slices.Sorted(maps.Keys(m.nodes))
	return m
}

// InvalidReportError reports that a node's report is invalid.
type InvalidReportError struct{ Reason string }

// Error describes what is invalid.
func (e *InvalidReportError) Error() string { return "reachability report: " + e.Reason }

// RecordReport records a node's report. An invalid one changes nothing and returns an
// InvalidReportError.
func (m *Matrix) RecordReport(from string, receivedAt time.Duration, report NodeReport) error {
	if !m.nodes[from] {
		return &InvalidReportError{fmt.Sprintf("from unknown node %q", from)}
	}
	if report.RecentWorkers < 0 || report.StrandedWorkers < 0 || report.MostStranded.Workers < 0 ||
		len(report.IncomingLinks) > len(m.nodes) {
		return &InvalidReportError{"counts out of range"}
	}
	for _, link := range report.IncomingLinks {
		switch {
		case link.Node == from:
			return &InvalidReportError{fmt.Sprintf("%q reports a heartbeat from itself", from)}
		case !m.nodes[link.Node]:
			return &InvalidReportError{fmt.Sprintf("%q reports a heartbeat from unknown node %q", from, link.Node)}
		case link.AgeMS < 0:
			return &InvalidReportError{fmt.Sprintf("%q reports a heartbeat from %q in the future", from, link.Node)}
		}
	}
	m.reports[from] = receivedReport{receivedAt: receivedAt, report: report}
	return nil
}

// Link is the state of the link from one node to another, as the latter reported within the window.
func (m *Matrix) Link(from, to string, now, window time.Duration) Link {
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

// LatestReport returns a node's last report, and whether it is within the window.
func (m *Matrix) LatestReport(node string, now, window time.Duration) (NodeReport, bool) {
	latest, ok := m.reports[node]
	return latest.report, ok && now-latest.receivedAt < window
}

// Successor is the other node with the most stranded workers, which would serve more of them as the
// leader, and their number. The name is empty if there is none. Reports older than the window are
// ignored.
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

// MostStrandedElsewhere is the other node that reported the most stranded workers within the window.
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

// CountBidirectional counts the other nodes with which heartbeats pass in both directions. A node
// of an earlier version doesn't report what it receives; it counts if its heartbeats are received.
func (m *Matrix) CountBidirectional(self string, now, window time.Duration, receivesFrom func(node string) bool) int {
	count := 0
	for node := range m.nodes {
		if node != self && receivesFrom(node) && m.Link(self, node, now, window) != LinkDown {
			count++
		}
	}
	return count
}
