package reachability

import (
	"testing"
	"time"
)

const window = 10 * time.Second

// Each direction of a link must have its own state. A direction whose receiving node has not reported, or
// only too long ago, must be unknown rather than down.
func TestLinkByDirection(t *testing.T) {
	m := NewMatrix([]string{"a", "b", "c"})
	m.RecordReport("b", 0, NodeReport{IncomingLinks: []IncomingLink{{"a", 2000}}})
	for _, test := range []struct {
		from, to string
		now      time.Duration
		want     LinkState
	}{
		{"a", "b", 0, LinkUp}, {"b", "a", 0, LinkUnknown}, {"c", "b", 0, LinkDown}, {"a", "c", 0, LinkUnknown},
		{"a", "b", 7 * time.Second, LinkUp}, {"a", "b", 8 * time.Second, LinkDown}, {"a", "b", window, LinkUnknown},
	} {
		if got := m.Link(test.from, test.to, test.now, window); got != test.want {
			t.Errorf("link from %s to %s at %v: got state %v, want %v", test.from, test.to, test.now, got, test.want)
		}
	}
}

// RecordReport must reject a report that can't be true, and leave the matrix unchanged.
func TestRecordReportRejectsInvalidReports(t *testing.T) {
	m := NewMatrix([]string{"a", "b"})
	validReport := NodeReport{IncomingLinks: []IncomingLink{{"a", 5}}}
	if err := m.RecordReport("b", 0, validReport); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		from   string
		report NodeReport
	}{
		"unknown sender":  {"x", validReport},
		"own name":        {"a", validReport},
		"unknown node":    {"b", NodeReport{IncomingLinks: []IncomingLink{{"x", 5}}}},
		"from the future": {"b", NodeReport{IncomingLinks: []IncomingLink{{"a", -5}}}},
		"negative":        {"b", NodeReport{StrandedWorkers: -1}},
		"too many":        {"b", NodeReport{IncomingLinks: []IncomingLink{{"a", 5}, {"a", 5}, {"a", 5}}}},
	} {
		if m.RecordReport(test.from, time.Second, test.report) == nil {
			t.Errorf("%s: RecordReport: got no error, want one", name)
		}
	}
	if m.Link("a", "b", 0, window) != LinkUp {
		t.Error("a rejected report changed the link from a to b, which was up")
	}
}

// The successor must be the node with the most stranded workers, by its own report or, because its
// heartbeats may not arrive, by the report of a third node. A node without access to the key-value store,
// the leader itself and a node with an outdated report must not be chosen.
func TestSuccessor(t *testing.T) {
	stranded := func(workers int, storeReachable bool) NodeReport {
		return NodeReport{StoreReachable: storeReachable, StrandedWorkers: workers}
	}
	relayed := func(node string, workers int) NodeReport {
		return NodeReport{MostStranded: StrandedCount{node, workers}}
	}
	for name, test := range map[string]struct {
		reports map[string]NodeReport
		want    string
	}{
		"no reports":            {nil, ""},
		"none stranded":         {map[string]NodeReport{"a": {StoreReachable: true}, "b": {StoreReachable: true}}, ""},
		"stranded at one node":  {map[string]NodeReport{"a": {StoreReachable: true}, "b": stranded(3, true)}, "b"},
		"stranded at two nodes": {map[string]NodeReport{"a": stranded(4, true), "b": stranded(3, true)}, "a"},
		"store unreachable":     {map[string]NodeReport{"a": {StoreReachable: true}, "b": stranded(3, false)}, ""},
		"reported by a third":   {map[string]NodeReport{"a": relayed("b", 2)}, "b"},
		"the leader itself":     {map[string]NodeReport{"a": relayed("l", 2)}, ""},
	} {
		m := NewMatrix([]string{"l", "a", "b"})
		for node, report := range test.reports {
			if err := m.RecordReport(node, 0, report); err != nil {
				t.Fatal(err)
			}
		}
		if got := m.Successor("l", time.Second, window); got.Node != test.want ||
			(got.Workers > 0) != (test.want != "") {
			t.Errorf("%s: successor: got %+v, want node %q", name, got, test.want)
		}
		if got := m.Successor("l", window, window); got != (StrandedCount{}) {
			t.Errorf("%s, outdated reports: successor: got %+v, want none", name, got)
		}
	}
}

// Only links on which heartbeats pass in both directions must be counted. A node of an earlier version
// does not report what it receives, and must count if its heartbeats arrive.
func TestTwoWayPeerCount(t *testing.T) {
	m := NewMatrix([]string{"a", "b", "c", "d"})
	m.RecordReport("b", 0, NodeReport{IncomingLinks: []IncomingLink{{"a", 0}}})
	m.RecordReport("c", 0, NodeReport{})
	receivesFrom := func(node string) bool { return node != "d" }
	if got := m.TwoWayPeerCount("a", 0, window, receivesFrom); got != 1 {
		t.Errorf("two-way links of a: got %d, want 1", got)
	}
	// Node a has sent no report, so its link with b counts. The link with c does not: c reports that
	// it receives no heartbeats.
	if got := m.TwoWayPeerCount("b", 0, window, receivesFrom); got != 1 {
		t.Errorf("two-way links of b: got %d, want 1", got)
	}
}
