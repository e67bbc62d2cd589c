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
type Report struct {
	Hears    []Heard // the other nodes whose heartbeats it receives
	State    bool    // the key-value store responds to it
	Workers  int     // workers that contacted it lately
	Stranded int     // of these, the workers that it could neither serve nor relay
	// MostStranded is the other node that reported the most stranded workers. It is passed on
	// because that node's heartbeats may not reach the leader.
	Worst Elsewhere
}

// StrandedCount is the number of workers that contacted a node and that it can't serve.
type Elsewhere struct {
	Node     string `json:"node"`
	Stranded int    `json:"stranded"`
}

// IncomingLink is the link from a node whose heartbeat was received, and how long ago that was.
type Heard struct {
	Node  string `json:"node"`
	AgeMS int64  `json:"ageMs"`
}

// Age is the time since the last heartbeat arrived.
func (h Heard) Age() time.Duration { return time.Duration(h.AgeMS) * time.Millisecond }

// Link is the state of one direction of the link between two nodes.
type Link int

// States of a link. A link that nobody has reported lately is unknown, which is different from
// down.
const (
	Unknown Link = iota
	Works
	Cut
)

// String is the name of the link's state.
func (l Link) String() string { return [...]string{"unknown", "works", "cut"}[l] }

// receivedReport is the last report of a node, and when it arrived.
type row struct {
	at     time.Duration
	report Report
}

// Matrix is one node's knowledge of all links.
type Matrix struct {
	nodes map[string]bool
	rows  map[string]row
}

// NewMatrix returns an empty matrix of the nodes.
func NewMatrix(nodes []string) *Matrix {
	m := &Matrix{nodes: map[string]bool{}, rows: map[string]row{}}
	for _, node := range nodes {
		m.nodes[node] = true
	}
	return m
}

// InvalidReportError reports that a node's report is invalid.
type InvalidReportError struct{ Reason string }

// Error describes what is invalid.
func (e *InvalidReportError) Error() string { return "reachability report: " + e.Reason }

// RecordReport records a node's report. An invalid one changes nothing and returns an
// InvalidReportError.
func (m *Matrix) Observe(from string, at time.Duration, report Report) error {
	if !m.nodes[from] {
		return &InvalidReportError{fmt.Sprintf("from unknown node %q", from)}
	}
	if report.Workers < 0 || report.Stranded < 0 || report.Worst.Stranded < 0 ||
		len(report.Hears) > len(m.nodes) {
		return &InvalidReportError{"counts out of range"}
	}
	for _, h := range report.Hears {
		switch {
		case h.Node == from:
			return &InvalidReportError{fmt.Sprintf("%q reports a heartbeat from itself", from)}
		case !m.nodes[h.Node]:
			return &InvalidReportError{fmt.Sprintf("%q reports a heartbeat from unknown node %q", from, h.Node)}
		case h.AgeMS < 0:
			return &InvalidReportError{fmt.Sprintf("%q reports a heartbeat from %q in the future", from, h.Node)}
		}
	}
	m.rows[from] = row{at: at, report: report}
	return nil
}

// Link is the state of the link from one node to another, as the latter reported within the window.
func (m *Matrix) Link(from, to string, now, span time.Duration) Link {
	said, ok := m.rows[to]
	if !ok || now-said.at >= span {
		return Unknown
	}
	for _, h := range said.report.Hears {
		if h.Node == from && h.Age()+now-said.at < span {
			return Works
		}
	}
	return Cut
}

// LatestReport returns a node's last report, and whether it is within the window.
func (m *Matrix) Latest(node string, now, span time.Duration) (Report, bool) {
	said, ok := m.rows[node]
	return said.report, ok && now-said.at < span
}

// Successor is the other node with the most stranded workers, which would serve more of them as the
// leader, and their number. The name is empty if there is none. Reports older than the window are
// ignored.
func (m *Matrix) Successor(self string, now, span time.Duration) Elsewhere {
	best, most := "", 0
	for _, node := range slices.Sorted(maps.Keys(m.nodes)) {
		said, ok := m.Latest(node, now, span)
		if node == self || !ok {
			continue
		}
		if said.State && said.Stranded > most {
			best, most = node, said.Stranded
		}
		if said.Worst.Node != self && said.Worst.Stranded > most {
			best, most = said.Worst.Node, said.Worst.Stranded
		}
	}
	return Elsewhere{best, most}
}

// MostStrandedElsewhere is the other node that reported the most stranded workers within the window.
func (m *Matrix) WorstElsewhere(self string, now, span time.Duration) Elsewhere {
	worst := Elsewhere{}
	for _, node := range slices.Sorted(maps.Keys(m.nodes)) {
		if said, ok := m.Latest(node, now, span); node != self && ok &&
			said.State && said.Stranded > worst.Stranded {
			worst = Elsewhere{node, said.Stranded}
		}
	}
	return worst
}

// CountBidirectional counts the other nodes with which heartbeats pass in both directions. A node
// of an earlier version doesn't report what it receives; it counts if its heartbeats are received.
func (m *Matrix) TwoWay(self string, now, span time.Duration, heard func(node string) bool) int {
	count := 0
	for node := range m.nodes {
		if node != self && heard(node) && m.Link(self, node, now, span) != Cut {
			count++
		}
	}
	return count
}
