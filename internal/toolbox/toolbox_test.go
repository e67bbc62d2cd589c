package toolbox

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/reachability"
	"hitchdoor/internal/recovery"
)

// startFakeNodes starts a server per value that answers every query with that value.
func nodes[T any](t *testing.T, values ...T) Options {
	t.Helper()
	o := Options{Timeout: time.Second}
	for _, value := range values {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if err := json.NewEncoder(w).Encode(value); err != nil {
				t.Error(err)
			}
		}))
		t.Cleanup(server.Close)
		o.Nodes = append(o.Nodes, strings.TrimPrefix(server.URL, "http://"))
	}
	return o
}

// Each command reports what it could not find out, and names the node.
func TestToolsNameWhatTheyCouldNotFindOut(t *testing.T) {
	policy := &admission.Policy{Epoch: 7, LengthMS: 3500, Rest: admission.Everybody(admission.Group{})}
	group := admission.Group{Team: "a", Class: "c", Rank: 3}
	hears := func(names ...string) (heard []reachability.Heard) {
		for _, name := range names {
			heard = append(heard, reachability.Heard{Node: name, AgeMS: 5})
		}
		return heard
	}
	admissionOf := func(values ...admission.NodeStatus) func(*bytes.Buffer) error {
		return func(out *bytes.Buffer) error { return Admission(out, nodes(t, values...), "j-1") }
	}
	linksOf := func(values ...reachability.NodeStatus) func(*bytes.Buffer) error {
		return func(out *bytes.Buffer) error { return Links(out, nodes(t, values...)) }
	}
	link := func(name string, leads bool, follows string, heard ...string) reachability.NodeStatus {
		return reachability.NodeStatus{Node: name, Known: []string{"n0", "n1"}, Hears: hears(heard...),
			FreshMS: 1000, Leads: leads, Follows: follows, State: true}
	}
	recoveryOf := func(values ...recovery.NodeStatus) func(*bytes.Buffer) error {
		return func(out *bytes.Buffer) error { return Recovery(out, nodes(t, values...)) }
	}
	leading := recovery.NodeStatus{Node: "n0", Leads: true, Term: 4, Recovery: &recovery.Status{Phase: "collecting",
		Paced: true, WaitsFor: "3 of 60 machines",
		Mismatches: map[string]int{"job_never_stored": 2}, Budgets: []recovery.Budget{{Order: "start"}}}}
	for name, x := range map[string]struct {
		ask          func(*bytes.Buffer) error
		prints, lack string // lack: part of the error; empty: no error
	}{
		"admission agrees": {admissionOf(admission.NodeStatus{Node: "n0", Leads: true, Version: 4, Policy: policy},
			admission.NodeStatus{Node: "n1", Version: 4, Policy: policy, Job: &admission.JobStatus{ID: "j-1",
				Refused: &group, TurnInS: 12}}),
			"its turn comes in 12 s", ""},
		"admission disagrees": {admissionOf(admission.NodeStatus{Node: "n0", Leads: true, Version: 4,
			Policy: policy}, admission.NodeStatus{Node: "n1"}),
			"none: all are admitted", "n1 judges by another policy than n0"},
		"admission unreadable": {admissionOf(admission.NodeStatus{Node: "n0", Leads: true, Version: 4,
			Invalid: true}), "can't be read", "n0: the stored policy can't be read"},
		"admission two lead": {admissionOf(admission.NodeStatus{Node: "n0", Leads: true},
			admission.NodeStatus{Node: "n1", Leads: true}), "", "2 nodes say that they lead"},
		"links fine": {linksOf(link("n0", true, "", "n1"), link("n1", false, "n0", "n0")), "follows n0", ""},
		"links half-open": {linksOf(link("n0", true, "", "n1"), link("n1", false, "n0")), "cut",
			"half-open: n0 and n1"},
		"links one silent": {linksOf(link("n0", true, "", "n1")), "unknown", "what n1 hears is unknown"},
		"links two lead": {linksOf(link("n0", true, "", "n1"), link("n1", true, "", "n0")), "leads",
			"different leaders: n0, n1"},
		"links none lead": {linksOf(link("n0", false, "", "n1"), link("n1", false, "", "n0")), "follows nobody",
			"nobody leads"},
		"recovery fine": {recoveryOf(leading, recovery.NodeStatus{Node: "n1", Follows: "n0", Term: 4}),
			"waits for 3 of 60 machines", ""},
		"recovery of one silent": {func(out *bytes.Buffer) error {
			o := nodes(t, leading)
			o.Nodes = append(o.Nodes, "127.0.0.1:1")
			return Recovery(out, o)
		}, "job_never_stored  2", "127.0.0.1:1: no answer"},
		"recovery two lead": {recoveryOf(leading, recovery.NodeStatus{Node: "n1", Leads: true,
			Recovery: &recovery.Status{}}), "n0 leads for", "different leaders: [n0 n1]"},
		"recovery none leads": {recoveryOf(recovery.NodeStatus{Node: "n0"}), "follows nobody", "no leader answers"},
		"recovery sets aside": {recoveryOf(recovery.NodeStatus{Node: "n0", Leads: true,
			Recovery: &recovery.Status{}, SetAside: []recovery.Record{{Key: "job/j-1", Reason: "is torn",
				Newer: true}}}), "is torn (a newer", "1 records are set aside"},
		"recovery one name twice": {recoveryOf(leading, leading), "", "calls itself n0"},
		"links one name twice": {linksOf(link("n0", true, "", "n1"), link("n0", true, "", "n1")), "",
			"calls itself n0"},
	} {
		t.Run(name, func(t *testing.T) {
			out := &bytes.Buffer{}
			err := x.ask(out)
			if !strings.Contains(out.String(), x.prints) {
				t.Errorf("prints\n%s", out)
			}
			if (err == nil) != (x.lack == "") || err != nil && !strings.Contains(err.Error(), x.lack) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Invalid options are rejected with an error that names the flag.
func TestOptions(t *testing.T) {
	for want, o := range map[string]Options{
		"--nodes: missing": {Timeout: 1}, `--nodes: "x" is not`: {Nodes: []string{"x"}, Timeout: 1},
		"--timeout:": {Nodes: []string{"x:1"}},
	} {
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
