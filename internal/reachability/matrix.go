// Package reachability keeps what controllers know of the links between them, by direction,
// and says what a leader should do about half-open cuts. It is pure: times come from outside.
package reachability

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Report is what a node says in its heartbeats of the links that it sees.
type Report struct {
	Hears    []Heard // the other nodes that it has heard
	State    bool    // the state service answers it
	Workers  int     // that came to it lately
	Stranded int     // of these, that it could not serve
	// Worst is the other node from which it has heard of the most stranded workers: that may
	// not reach the leader itself.
	Worst Elsewhere
}

// Elsewhere is workers that another node can't serve.
type Elsewhere struct {
	Node     string `json:"node"`
	Stranded int    `json:"stranded"`
}

// Heard is a node that was heard, and how long ago.
type Heard struct {
	Node  string `json:"node"`
	AgeMS int64  `json:"ageMs"`
}

// Age is how long ago the node was heard.
func (h Heard) Age() time.Duration { return time.Duration(h.AgeMS) * time.Millisecond }

// Link is what is known of one direction between two nodes.
type Link int

// States of a link. What nobody has told lately is unknown, which is not the same as cut.
const (
	Unknown Link = iota
	Works
	Cut
)

// String is the link's state in words.
func (l Link) String() string { return [...]string{"unknown", "works", "cut"}[l] }

// row is what one node said last, and when it arrived.
type row struct {
	at     time.Duration
	report Report
}

// Matrix is what one node knows of all links.
type Matrix struct {
	nodes map[string]bool
	rows  map[string]row
}

// NewMatrix makes a matrix of some nodes.
func NewMatrix(nodes []string) *Matrix {
	m := &Matrix{nodes: map[string]bool{}, rows: map[string]row{}}
	for _, node := range nodes {
		m.nodes[node] = true
	}
	return m
}

// InvalidReportError says why a report can't be true.
type InvalidReportError struct{ Reason string }

func (e *InvalidReportError) Error() string { return "reachability report: " + e.Reason }

// Observe takes what a node says. A report that can't be true changes nothing.
func (m *Matrix) Observe(from string, at time.Duration, report Report) error {
	if !m.nodes[from] {
		return &InvalidReportError{fmt.Sprintf("of unknown node %q", from)}
	}
	if report.Workers < 0 || report.Stranded < 0 || report.Worst.Stranded < 0 || len(report.Hears) > len(m.nodes) {
		return &InvalidReportError{"impossible amounts"}
	}
	for _, h := range report.Hears {
		switch {
		case h.Node == from:
			return &InvalidReportError{fmt.Sprintf("%q says that it hears itself", from)}
		case !m.nodes[h.Node]:
			return &InvalidReportError{fmt.Sprintf("%q says that it hears unknown node %q", from, h.Node)}
		case h.AgeMS < 0:
			return &InvalidReportError{fmt.Sprintf("%q says that it heard %q in the future", from, h.Node)}
		}
	}
	m.rows[from] = row{at: at, report: report}
	return nil
}

// Link tells whether messages of one node reach another, as the latter said within a span.
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

// Latest is what a node said within a span.
func (m *Matrix) Latest(node string, now, span time.Duration) (Report, bool) {
	said, ok := m.rows[node]
	return said.report, ok && now-said.at < span
}

// Successor is the node to which the most workers come that neither it nor the leader serves,
// and how many they are. The name is empty if there is none. Nodes that have said nothing
// within the span count for nothing.
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

// WorstElsewhere is the node other than this one that has said lately that it has the most
// stranded workers.
func (m *Matrix) WorstElsewhere(self string, now, span time.Duration) Elsewhere {
	worst := Elsewhere{}
	for _, node := range slices.Sorted(maps.Keys(m.nodes)) {
		if said, ok := m.Latest(node, now, span); node != self && ok && said.State && said.Stranded > worst.Stranded {
			worst = Elsewhere{node, said.Stranded}
		}
	}
	return worst
}

// TwoWay counts the other nodes that hear this one and are heard by it. One that says nothing
// of what it hears is of an earlier version: where it is heard, it counts.
func (m *Matrix) TwoWay(self string, now, span time.Duration, heard func(node string) bool) int {
	count := 0
	for node := range m.nodes {
		if node != self && heard(node) && m.Link(self, node, now, span) != Cut {
			count++
		}
	}
	return count
}
