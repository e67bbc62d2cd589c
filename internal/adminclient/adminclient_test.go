package adminclient

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/json"
	"hitchdoor/internal/reachability"
	"hitchdoor/internal/recovery"
)

// startFakeNodes starts one server per value, which responds to every query with that value. It returns
// options with the addresses of the servers.
func startFakeNodes[T any](t *testing.T, values ...T) Options {
	t.Helper()
	options := Options{Timeout: time.Second}
	for _, value := range values {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			raw, err := json.Marshal(value)
			if err != nil {
				t.Error(err)
			}
			w.Write(raw)
		}))
		t.Cleanup(server.Close)
		options.Addresses = append(options.Addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return options
}

// Each command must print what the nodes report. If a node does not answer or the nodes contradict
// each other, the error must say so and name the node.
func TestCommandsReportIncompleteResults(t *testing.T) {
	policy := &admission.Policy{Epoch: 7, EpochLengthMS: 3500, DefaultShare: admission.FullShare(admission.Group{})}
	group := admission.Group{Team: "a", Class: "c", PriorityRank: 3}
	incomingLinks := func(names ...string) (links []reachability.IncomingLink) {
		for _, name := range names {
			links = append(links, reachability.IncomingLink{Node: name, AgeMS: 5})
		}
		return links
	}
	admissionCommand := func(values ...admission.NodeStatus) func(*bytes.Buffer) error {
		return func(out *bytes.Buffer) error { return PrintAdmission(out, startFakeNodes(t, values...), "j-1") }
	}
	linksCommand := func(values ...reachability.NodeStatus) func(*bytes.Buffer) error {
		return func(out *bytes.Buffer) error { return PrintLinks(out, startFakeNodes(t, values...)) }
	}
	linkStatus := func(name string, isLeader bool, leaderName string, senders ...string) reachability.NodeStatus {
		return reachability.NodeStatus{Node: name, Peers: []string{"n0", "n1"},
			IncomingLinks: incomingLinks(senders...), LinkTimeoutMS: 1000,
			IsLeader: isLeader, LeaderName: leaderName, StoreReachable: true}
	}
	recoveryCommand := func(values ...recovery.NodeStatus) func(*bytes.Buffer) error {
		return func(out *bytes.Buffer) error { return PrintRecovery(out, startFakeNodes(t, values...)) }
	}
	leaderStatus := recovery.NodeStatus{Node: "n0", IsLeader: true, Term: 4,
		Recovery: &recovery.Status{Phase: "collecting", Paced: true, WaitsFor: "3 of 60 machines",
			Mismatches: map[string]int{"job_never_stored": 2}, Budgets: []recovery.Budget{{Operation: "start"}}}}
	for name, test := range map[string]struct {
		run                   func(*bytes.Buffer) error
		wantOutput, wantError string // parts of the output and of the error; empty error: none
	}{
		"admission agrees": {admissionCommand(admission.NodeStatus{Node: "n0", IsLeader: true, PolicyRevision: 4,
			Policy: policy}, admission.NodeStatus{Node: "n1", PolicyRevision: 4, Policy: policy,
			Job: &admission.JobStatus{ID: "j-1", RejectedGroup: &group, SecondsUntilAdmitted: 12}}),
			"its turn comes in 12 s", ""},
		"admission disagrees": {admissionCommand(admission.NodeStatus{Node: "n0", IsLeader: true, PolicyRevision: 4,
			Policy: policy}, admission.NodeStatus{Node: "n1"}),
			"none: all are admitted", "n1 judges by another policy than n0"},
		"admission unreadable": {admissionCommand(admission.NodeStatus{Node: "n0", IsLeader: true, PolicyRevision: 4,
			Invalid: true}), "can't be read", "n0: the stored policy can't be read"},
		"admission of a job unreadable": {admissionCommand(admission.NodeStatus{Node: "n0", IsLeader: true,
			PolicyRevision: 4, Invalid: true, Job: &admission.JobStatus{ID: "j-1", RejectedGroup: &group}}),
			"invalid and admits no job", "n0: the stored policy can't be read"},
		"admission two leaders": {admissionCommand(admission.NodeStatus{Node: "n0", IsLeader: true},
			admission.NodeStatus{Node: "n1", IsLeader: true}), "", "2 nodes say that they lead"},
		"admission policy without steps": {admissionCommand(admission.NodeStatus{Node: "n0", IsLeader: true,
			PolicyRevision: 4, Policy: &admission.Policy{Epoch: 7, EpochLengthMS: 3500}}), "epoch 7",
			"n0: admission policy: invalid share"},
		"links all up": {linksCommand(linkStatus("n0", true, "", "n1"), linkStatus("n1", false, "n0", "n0")),
			"follows n0", ""},
		"links half-open": {linksCommand(linkStatus("n0", true, "", "n1"), linkStatus("n1", false, "n0")), "cut",
			"half-open: n0 and n1"},
		"links one node does not answer": {linksCommand(linkStatus("n0", true, "", "n1")), "unknown",
			"what n1 hears is unknown"},
		"links two leaders": {linksCommand(linkStatus("n0", true, "", "n1"), linkStatus("n1", true, "", "n0")), "leads",
			"different leaders: n0, n1"},
		"links no leader": {linksCommand(linkStatus("n0", false, "", "n1"), linkStatus("n1", false, "", "n0")),
			"follows nobody", "nobody leads"},
		"recovery in progress": {recoveryCommand(leaderStatus,
			recovery.NodeStatus{Node: "n1", LeaderName: "n0", Term: 4}),
			"waits for 3 of 60 machines", ""},
		"recovery one node does not answer": {func(out *bytes.Buffer) error {
			options := startFakeNodes(t, leaderStatus)
			options.Addresses = append(options.Addresses, "127.0.0.1:1")
			return PrintRecovery(out, options)
		}, "job_never_stored  2", "127.0.0.1:1: no answer"},
		"recovery two leaders": {recoveryCommand(leaderStatus, recovery.NodeStatus{Node: "n1", IsLeader: true,
			Recovery: &recovery.Status{}}), "n0 leads for", "different leaders: [n0 n1]"},
		"recovery no leader": {recoveryCommand(recovery.NodeStatus{Node: "n0"}), "follows nobody",
			"no leader answers"},
		"recovery quarantined record": {recoveryCommand(recovery.NodeStatus{Node: "n0", IsLeader: true,
			Recovery: &recovery.Status{}, Quarantined: []recovery.QuarantinedRecord{{Key: "job/j-1", Reason: "is torn",
				MaybeNewerVersion: true}}}), "is torn (a newer", "1 records are set aside"},
		"recovery duplicate node name": {recoveryCommand(leaderStatus, leaderStatus), "", "calls itself n0"},
		"links duplicate node name": {linksCommand(linkStatus("n0", true, "", "n1"), linkStatus("n0", true, "", "n1")),
			"", "calls itself n0"},
	} {
		t.Run(name, func(t *testing.T) {
			out := &bytes.Buffer{}
			err := test.run(out)
			if !strings.Contains(out.String(), test.wantOutput) {
				t.Errorf("output: want a text that contains %q, got\n%s", test.wantOutput, out)
			}
			if (err == nil) != (test.wantError == "") || err != nil && !strings.Contains(err.Error(), test.wantError) {
				t.Errorf("got error %v, want one that contains %q (none if empty)", err, test.wantError)
			}
		})
	}
}

// A response that is not a JSON object, an error status and a missing response must each have an
// error of their own, so that operators can tell them apart.
func TestResponseErrors(t *testing.T) {
	options := startFakeNodes(t, "no object")
	failing := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(failing.Close)
	options.Addresses = append(options.Addresses, strings.TrimPrefix(failing.URL, "http://"), "127.0.0.1:1")
	responses := queryAll[admission.NodeStatus](options, "/admission")
	var typeError *json.UnmarshalTypeError
	if err := responses[0].err; !errors.As(err, &typeError) {
		t.Errorf("JSON string instead of an object: got error %v, want a type error", err)
	}
	var statusError *StatusError
	if err := responses[1].err; !errors.As(err, &statusError) || statusError.Status != http.StatusNotFound {
		t.Errorf("status 404: got error %v, want a *StatusError with the status", err)
	}
	var noResponse *NoResponseError
	if err := responses[2].err; !errors.As(err, &noResponse) || noResponse.Timeout != options.Timeout {
		t.Errorf("no response: got error %v, want a *NoResponseError with the timeout", err)
	}
}

// Invalid options must be rejected with an error that names the flag.
func TestInvalidOptions(t *testing.T) {
	for want, options := range map[string]Options{
		"--nodes: missing": {Timeout: 1}, `--nodes: "x" is not`: {Addresses: []string{"x"}, Timeout: 1},
		"--timeout:": {Addresses: []string{"x:1"}},
	} {
		var invalid *InvalidOptionError
		if err := options.Validate(); !errors.As(err, &invalid) || !strings.Contains(err.Error(), want) {
			t.Errorf("invalid options: got error %v, want an *InvalidOptionError with %q", err, want)
		}
	}
}
