package reachability

import (
	"testing"
	"time"
)

const window = 10 * time.Second

// Each direction is known by itself; what is old, or was never said, is unknown.
func TestLinkByDirection(t *testing.T) {
	m := NewMatrix([]string{"a", "b", "c"})
	m.RecordReport("b", 0, NodeReport{IncomingLinks: []IncomingLink{{"a", 2000}}})
	for _, test := range []struct {
		from, to string
		now      time.Duration
		want     Link
	}{
		{"a", "b", 0, LinkUp}, {"b", "a", 0, LinkUnknown}, {"c", "b", 0, LinkDown}, {"a", "c", 0, LinkUnknown},
		{"a", "b", 7 * time.Second, LinkUp}, {"a", "b", 8 * time.Second, LinkDown}, {"a", "b", window, LinkUnknown},
	} {
		if got := m.Link(test.from, test.to, test.now, window); got != test.want {
			t.Errorf("%s to %s at %v: %v, not %v", test.from, test.to, test.now, got, test.want)
		}
	}
}

// Reports that can't be true are refused and change nothing.
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
			t.Errorf("%s: taken", name)
		}
	}
	if m.Link("a", "b", 0, window) != LinkUp {
		t.Error("a refused report changed what is known")
	}
}

// The successor is the node with the most workers that nobody serves, as it says itself or as
// a third node has heard; there is none without the state service, or long ago.
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
		"nothing known":          {nil, ""},
		"none stranded":          {map[string]NodeReport{"a": {StoreReachable: true}, "b": {StoreReachable: true}}, ""},
		"workers elsewhere":      {map[string]NodeReport{"a": {StoreReachable: true}, "b": stranded(3, true)}, "b"},
		"more workers elsewhere": {map[string]NodeReport{"a": stranded(4, true), "b": stranded(3, true)}, "a"},
		"without the state":      {map[string]NodeReport{"a": {StoreReachable: true}, "b": stranded(3, false)}, ""},
		"heard by a third":       {map[string]NodeReport{"a": relayed("b", 2)}, "b"},
		"the leader's own":       {map[string]NodeReport{"a": relayed("l", 2)}, ""},
	} {
		m := NewMatrix([]string{"l", "a", "b"})
		for node, report := range test.reports {
			if err := m.RecordReport(node, 0, report); err != nil {
				t.Fatal(err)
			}
		}
		if got := m.Successor("l", time.Second, window); got.Node != test.want ||
			(got.Workers > 0) != (test.want != "") {
			t.Errorf("%s: %+v, not %q", name, got, test.want)
		}
		if got := m.Successor("l", window, window); got != (StrandedCount{}) {
			t.Errorf("%s, long ago: %+v", name, got)
		}
	}
}

// Links that work both ways are counted; an earlier version says nothing, and counts.
func TestCountBidirectional(t *testing.T) {
	m := NewMatrix([]string{"a", "b", "c", "d"})
	m.RecordReport("b", 0, NodeReport{IncomingLinks: []IncomingLink{{"a", 0}}})
	m.RecordReport("c", 0, NodeReport{})
	receivesFrom := func(node string) bool { return node != "d" }
	if got := m.CountBidirectional("a", 0, window, receivesFrom); got != 1 {
		t.Errorf("%d", got)
	}
	// a says nothing; c says that it hears nobody
	if got := m.CountBidirectional("b", 0, window, receivesFrom); got != 1 {
		t.Errorf("%d", got)
	}
}
