package reachability

import (
	"testing"
	"time"
)

const span = 10 * time.Second

// Each direction is known by itself; what is old, or was never said, is unknown.
func TestLinkByDirection(t *testing.T) {
	m := NewMatrix([]string{"a", "b", "c"})
	m.Observe("b", 0, Report{Hears: []Heard{{"a", 2000}}})
	for _, x := range []struct {
		from, to string
		now      time.Duration
		want     Link
	}{
		{"a", "b", 0, Works}, {"b", "a", 0, Unknown}, {"c", "b", 0, Cut}, {"a", "c", 0, Unknown},
		{"a", "b", 7 * time.Second, Works}, {"a", "b", 8 * time.Second, Cut}, {"a", "b", span, Unknown},
	} {
		if got := m.Link(x.from, x.to, x.now, span); got != x.want {
			t.Errorf("%s to %s at %v: %v, not %v", x.from, x.to, x.now, got, x.want)
		}
	}
}

// Reports that can't be true are refused and change nothing.
func TestObserveRefusesImpossibleReports(t *testing.T) {
	m := NewMatrix([]string{"a", "b"})
	good := Report{Hears: []Heard{{"a", 5}}}
	if err := m.Observe("b", 0, good); err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		from   string
		report Report
	}{
		"unknown sender":  {"x", good},
		"own name":        {"a", good},
		"unknown node":    {"b", Report{Hears: []Heard{{"x", 5}}}},
		"from the future": {"b", Report{Hears: []Heard{{"a", -5}}}},
		"negative":        {"b", Report{Stranded: -1}},
		"too many":        {"b", Report{Hears: []Heard{{"a", 5}, {"a", 5}, {"a", 5}}}},
	} {
		if m.Observe(x.from, time.Second, x.report) == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if m.Link("a", "b", 0, span) != Works {
		t.Error("a refused report changed what is known")
	}
}

// The successor is the node with the most workers that nobody serves, as it says itself or as
// a third node has heard; there is none without the state service, or long ago.
func TestSuccessor(t *testing.T) {
	stranded := func(workers int, state bool) Report { return Report{State: state, Stranded: workers} }
	told := func(node string, workers int) Report { return Report{Worst: Elsewhere{node, workers}} }
	for name, x := range map[string]struct {
		reports map[string]Report
		want    string
	}{
		"nothing known":          {nil, ""},
		"none stranded":          {map[string]Report{"a": {State: true}, "b": {State: true}}, ""},
		"workers elsewhere":      {map[string]Report{"a": {State: true}, "b": stranded(3, true)}, "b"},
		"more workers elsewhere": {map[string]Report{"a": stranded(4, true), "b": stranded(3, true)}, "a"},
		"without the state":      {map[string]Report{"a": {State: true}, "b": stranded(3, false)}, ""},
		"heard by a third":       {map[string]Report{"a": told("b", 2)}, "b"},
		"the leader's own":       {map[string]Report{"a": told("l", 2)}, ""},
	} {
		m := NewMatrix([]string{"l", "a", "b"})
		for node, report := range x.reports {
			if err := m.Observe(node, 0, report); err != nil {
				t.Fatal(err)
			}
		}
		if got := m.Successor("l", time.Second, span); got.Node != x.want || (got.Stranded > 0) != (x.want != "") {
			t.Errorf("%s: %+v, not %q", name, got, x.want)
		}
		if got := m.Successor("l", span, span); got != (Elsewhere{}) {
			t.Errorf("%s, long ago: %+v", name, got)
		}
	}
}

// Links that work both ways are counted; an earlier version says nothing, and counts.
func TestTwoWay(t *testing.T) {
	m := NewMatrix([]string{"a", "b", "c", "d"})
	m.Observe("b", 0, Report{Hears: []Heard{{"a", 0}}})
	m.Observe("c", 0, Report{})
	heard := func(node string) bool { return node != "d" }
	if got := m.TwoWay("a", 0, span, heard); got != 1 {
		t.Errorf("%d", got)
	}
	if got := m.TwoWay("b", 0, span, heard); got != 1 { // a says nothing; c says that it hears nobody
		t.Errorf("%d", got)
	}
}
