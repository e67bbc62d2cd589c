package reachability

import (
	"testing"
	"time"
)

const span = 10 * time.Second

// Each direction is known by itself; what is old, or was never said, is unknown.
func TestLinkByDirection(t *testing.T) {
	m := NewMatrix([]string{"a", "b", "c"})
	m.RecordReport("b", 0, NodeReport{IncomingLinks: []IncomingLink{{"a", 2000}}})
	for _, x := range []struct {
		from, to string
		now      time.Duration
		want     Link
	}{
		{"a", "b", 0, LinkUp}, {"b", "a", 0, LinkUnknown}, {"c", "b", 0, LinkDown}, {"a", "c", 0, LinkUnknown},
		{"a", "b", 7 * time.Second, LinkUp}, {"a", "b", 8 * time.Second, LinkDown}, {"a", "b", span, LinkUnknown},
	} {
		if got := m.Link(x.from, x.to, x.now, span); got != x.want {
			t.Errorf("%s to %s at %v: %v, not %v", x.from, x.to, x.now, got, x.want)
		}
	}
}

// Reports that can't be true are refused and change nothing.
func TestObserveRefusesImpossibleReports(t *testing.T) {
	m := NewMatrix([]string{"a", "b"})
	good := NodeReport{IncomingLinks: []IncomingLink{{"a", 5}}}
	if err := m.RecordReport("b", 0, good); err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		from   string
		report NodeReport
	}{
		"unknown sender":  {"x", good},
		"own name":        {"a", good},
		"unknown node":    {"b", NodeReport{IncomingLinks: []IncomingLink{{"x", 5}}}},
		"from the future": {"b", NodeReport{IncomingLinks: []IncomingLink{{"a", -5}}}},
		"negative":        {"b", NodeReport{StrandedWorkers: -1}},
		"too many":        {"b", NodeReport{IncomingLinks: []IncomingLink{{"a", 5}, {"a", 5}, {"a", 5}}}},
	} {
		if m.RecordReport(x.from, time.Second, x.report) == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if m.Link("a", "b", 0, span) != LinkUp {
		t.Error("a refused report changed what is known")
	}
}

// The successor is the node with the most workers that nobody serves, as it says itself or as
// a third node has heard; there is none without the state service, or long ago.
func TestSuccessor(t *testing.T) {
	stranded := func(workers int, state bool) NodeReport {
		return NodeReport{StoreReachable: state, StrandedWorkers: workers}
	}
	told := func(node string, workers int) NodeReport {
		return NodeReport{MostStranded: StrandedCount{node, workers}}
	}
	for name, x := range map[string]struct {
		reports map[string]NodeReport
		want    string
	}{
		"nothing known":          {nil, ""},
		"none stranded":          {map[string]NodeReport{"a": {StoreReachable: true}, "b": {StoreReachable: true}}, ""},
		"workers elsewhere":      {map[string]NodeReport{"a": {StoreReachable: true}, "b": stranded(3, true)}, "b"},
		"more workers elsewhere": {map[string]NodeReport{"a": stranded(4, true), "b": stranded(3, true)}, "a"},
		"without the state":      {map[string]NodeReport{"a": {StoreReachable: true}, "b": stranded(3, false)}, ""},
		"heard by a third":       {map[string]NodeReport{"a": told("b", 2)}, "b"},
		"the leader's own":       {map[string]NodeReport{"a": told("l", 2)}, ""},
	} {
		m := NewMatrix([]string{"l", "a", "b"})
		for node, report := range x.reports {
			if err := m.RecordReport(node, 0, report); err != nil {
				t.Fatal(err)
			}
		}
		if got := m.Successor("l", time.Second, span); got.Node != x.want || (got.Workers > 0) != (x.want != "") {
			t.Errorf("%s: %+v, not %q", name, got, x.want)
		}
		if got := m.Successor("l", span, span); got != (StrandedCount{}) {
			t.Errorf("%s, long ago: %+v", name, got)
		}
	}
}

// Links that work both ways are counted; an earlier version says nothing, and counts.
func TestTwoWay(t *testing.T) {
	m := NewMatrix([]string{"a", "b", "c", "d"})
	m.RecordReport("b", 0, NodeReport{IncomingLinks: []IncomingLink{{"a", 0}}})
	m.RecordReport("c", 0, NodeReport{})
	heard := func(node string) bool { return node != "d" }
	if got := m.CountBidirectional("a", 0, span, heard); got != 1 {
		t.Errorf("%d", got)
	}
	if got := m.CountBidirectional("b", 0, span, heard); got != 1 { // a says nothing; c says that it hears nobody
		t.Errorf("%d", got)
	}
}
