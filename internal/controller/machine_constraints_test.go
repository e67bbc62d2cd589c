package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// submissionFields are the fields of a valid submission, as they are on the wire.
var submissionFields = map[string]string{"lote": `"c"`, "dono": `"free"`, "feitio": `"batch"`, "vez": `"standard"`,
	"pecas": `2`, "cores": `1`, "accelerators": `0`, "ramGb": `1`, "molde": `"i"`, "pullGb": `0`, "portes": `null`,
	"praca": `null`, "samePlace": `false`, "apart": `false`, "avulsas": `true`, "previstoS": `5`, "marcoS": `0`,
	"guardaS": `0`, "prazoS": `null`}

// submissionBody returns a valid submission with one field replaced, or left out if its value is empty.
func submissionBody(t *testing.T, id, field, value string) []byte {
	t.Helper()
	fields := map[string]json.RawMessage{"uid": json.RawMessage(`"` + id + `"`)}
	for name, valid := range submissionFields {
		fields[name] = json.RawMessage(valid)
	}
	fields[field] = json.RawMessage(value)
	if value == "" {
		delete(fields, field)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// submitBody sends a submission to a node as its server does, and returns the HTTP status.
func (sim *simulation) submitBody(node string, body []byte) int {
	sim.t.Helper()
	job, err := protocol.ParseJob(body)
	if err != nil {
		return 400
	}
	return sim.submit(node, *job).Status
}

// Guards against a value of a field that is taken for another one: absent, null, empty and unknown differ.
func TestValuesOfEachSubmissionField(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	for field, want := range map[string]struct{ absent, null, empty, unknown int }{
		"uid": {400, 400, 400, 400}, "lote": {400, 400, 400, 201}, "dono": {400, 400, 400, 422},
		"feitio": {400, 400, 400, 400}, "vez": {400, 400, 400, 400}, "pecas": {400, 400, 400, 400},
		"cores": {400, 400, 400, 400}, "accelerators": {400, 400, 400, 400}, "ramGb": {400, 400, 400, 400},
		"molde": {400, 400, 201, 201}, "pullGb": {400, 400, 400, 400}, "portes": {201, 201, 422, 422},
		"praca": {201, 201, 422, 422}, "samePlace": {400, 400, 400, 400}, "apart": {400, 400, 400, 400},
		"avulsas": {400, 400, 400, 400}, "previstoS": {400, 400, 400, 400}, "marcoS": {400, 400, 400, 400},
		"guardaS": {400, 400, 400, 400}, "prazoS": {201, 201, 400, 400}, "aguarda": {201, 201, 201, 422},
	} {
		empty, unknown := `""`, `"j_unknown"`
		if field == "portes" || field == "aguarda" {
			empty, unknown = `[]`, `["j-unknown"]`
		}
		for name, c := range map[string]struct {
			value  string
			status int
		}{"absent": {"", want.absent}, "null": {"null", want.null}, "empty": {empty, want.empty},
			"unknown": {unknown, want.unknown}} {
			id := "j-" + field + "-" + name
			if got := sim.submitBody(leaderNode.name, submissionBody(t, id, field, c.value)); got != c.status {
				t.Errorf("submission with %s %s: got status %d, want %d", name, field, got, c.status)
			}
		}
	}
}

// Guards against the start of a job that allows no machine, whichever controller its submission reaches.
func TestJobsThatAllowNoMachineAreRejected(t *testing.T) {
	for field, values := range map[string][]string{"portes": {`[]`, `["other"]`, `[""]`, `[null]`}, "praca": {`""`, `"other"`}} {
		for _, way := range []string{"leader", "follower", "follower that the store refuses"} {
			t.Run(field+" at the "+way, func(t *testing.T) {
				sim := newSimulation(t, 3)
				node := sim.waitForLeader().name
				sim.startMachines(2)
				if way != "leader" {
					node = sim.followers()[0]
				}
				if way == "follower that the store refuses" {
					sim.store.refusedNodes[node] = true
					sim.advance(time.Second)
				}
				for i, value := range values {
					body := submissionBody(t, fmt.Sprintf("j-%d", i), field, value)
					for range 2 {
						if got := sim.submitBody(node, body); got != 422 {
							t.Errorf("submission with %s %s: got status %d, want 422", field, value, got)
						}
					}
				}
				sim.advance(20 * time.Second)
				if starts := sim.totalStarts(); starts > 0 {
					t.Errorf("%d tasks of jobs that allow no machine started, want none", starts)
				}
			})
		}
	}
}

// forwardToLeader sends a submission to the leader as a follower forwards it, and returns the status of the response.
func (sim *simulation) forwardToLeader(follower, id, body string) int {
	sim.t.Helper()
	status := 0
	sim.observeMessages(func(_ string, outbound OutboundMessage) {
		if response, ok := outbound.Message.(protocol.ForwardedResponse); ok && outbound.To == follower {
			status = response.Status
		}
	})
	leaderNode := sim.nodes[sim.leaderName()]
	leaderNode.inbox = append(leaderNode.inbox, InboundMessage{From: follower, Message: protocol.ForwardedRequest{
		ID: 1, Kind: protocol.RequestSubmit, JobID: id, Body: json.RawMessage(body)}})
	sim.advanceUntil(5*time.Second, func() bool { return status != 0 })
	sim.onEffects = nil
	return status
}

// Guards against a forwarded submission of an earlier version that is misread: it has an empty zone for null.
func TestSubmissionsForwardedByEarlierVersion(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	for i, c := range []struct {
		types  string
		status int
	}{{"null", 201}, {`["c4"]`, 201}, {"[]", 422}} {
		id := fmt.Sprintf("j-%d", i)
		sim.jobSpecs[id], sim.submitted[id] = jobSpec(id, 2), true
		body := earlierVersionJob(id, c.types)
		if got := sim.forwardToLeader(sim.followers()[0], id, body); got != c.status {
			t.Errorf("forwarded submission with portes %s and an empty zone: got status %d, want %d", c.types, got, c.status)
		}
	}
	for _, id := range []string{"j-0", "j-1"} {
		sim.waitForJobState(id, protocol.JobDone, time.Minute)
	}
}

// earlierVersionJob returns a job of two tasks as earlier versions encode it.
func earlierVersionJob(id, machineTypes string) string {
	return `{"uid":"` + id + `","lote":"c","dono":"free","feitio":"batch","vez":"urgent","pecas":2,"cores":1,` +
		`"accelerators":0,"ramGb":1,"molde":"i","pullGb":0,"portes":` + machineTypes + `,"praca":"","samePlace":false,` +
		`"apart":false,"avulsas":true,"previstoS":5,"marcoS":0,"guardaS":0,"prazoS":null}`
}

// Guards against a leader of an earlier version that accepts a forwarded job which allows no machine: it takes
// an empty list of types for all types.
func TestForwardedJobAllowsNoMachineInEarlierVersions(t *testing.T) {
	for field, value := range map[string]string{"portes": `[]`, "praca": `""`} {
		sim := newSimulation(t, 3)
		sim.waitForLeader()
		follower := sim.followers()[0]
		sim.store.refusedNodes[follower] = true
		sim.advance(time.Second)
		var forwarded protocol.Job
		sim.observeMessages(func(_ string, outbound OutboundMessage) {
			request, ok := outbound.Message.(protocol.ForwardedRequest)
			if !ok || request.Kind != protocol.RequestSubmit {
				return
			}
			if err := json.Unmarshal(request.Body, &forwarded); err != nil {
				t.Fatal(err)
			}
		})
		sim.submitBody(follower, submissionBody(t, "j-1", field, value))
		if len(forwarded.MachineTypes) == 0 || slices.Contains(forwarded.MachineTypes, "c4") {
			t.Errorf("%s %s is forwarded with the machine types %q, want a list without a known type", field, value,
				forwarded.MachineTypes)
		}
	}
}

// Guards against a job that an earlier version accepted though it allows no machine: it must stay known, get no
// machine, take nothing from other work and remain cancellable, also under a new leader. A stored empty zone
// means any zone, as earlier versions store null.
func TestStoredJobThatAllowsNoMachine(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	for id, types := range map[string]string{"j-none": "[]", "j-any": "null"} {
		sim.jobSpecs[id], sim.submitted[id] = jobSpec(id, 2), true
		sim.store.overwriteValue(storage.JobKey(id), `{"spec":`+earlierVersionJob(id, types)+`,"at":1000000000}`)
	}
	none := sim.jobSpecs["j-none"]
	none.MachineTypes = []string{}
	sim.jobSpecs["j-none"] = none
	sim.restartAllNodes(time.Second)
	sim.waitForLeader()
	sim.waitForJobState("j-any", protocol.JobDone, time.Minute)
	for range 2 {
		sim.waitForLeader()
		for _, name := range sim.names {
			if code, status := sim.queryJob(name, "j-none"); code != 200 || status.State != protocol.JobQueued {
				t.Errorf("query at %s: got status %d, state %q, want 200, %q", name, code, status.State, protocol.JobQueued)
			}
			if got := sim.submitBody(name, submissionBody(t, "j-none", "portes", "[]")); got != 200 {
				t.Errorf("repeated submission at %s: got status %d, want 200", name, got)
			}
			if got := sim.submitBody(name, submissionBody(t, "j-any", "praca", `""`)); got != 200 {
				t.Errorf("repeated submission with an empty zone at %s: got status %d, want 200", name, got)
			}
		}
		if !sim.advanceUntil(5*time.Minute, func() bool { return len(sim.cloud.hosts) == 0 }) {
			t.Errorf("%d machines are held for a job that allows none", len(sim.cloud.hosts))
		}
		sim.advance(2 * time.Minute)
		if len(sim.cloud.hosts) > 0 || sim.startCounts["j-none/0"] > 0 {
			t.Errorf("job that allows no machine: got %d machines and %d starts, want none", len(sim.cloud.hosts),
				sim.startCounts["j-none/0"])
		}
		leaderNode := sim.nodes[sim.leaderName()]
		if leaderNode.leader.LatencySensitiveWorkDelayed(leaderNode.leader.BuildQueue()) {
			t.Error("the urgent job that allows no machine holds batch work back")
		}
		sim.crashNode(leaderNode.name)
		sim.advance(time.Second)
		sim.restartNode(leaderNode.name)
	}
	sim.waitForLeader()
	if r := sim.cancelJob(sim.followers()[0], "j-none"); r.Status != 200 || !strings.Contains(string(r.Body), "withdrawn") {
		t.Errorf("cancellation: got status %d, body %s, want 200 and withdrawn", r.Status, r.Body)
	}
}

// Guards against the loss of tasks that a leader of an earlier version started although their job allows no
// machine: they are on their machines already, so they end there, and the job is done.
func TestRunningTasksOfJobThatAllowsNoMachine(t *testing.T) {
	sim, _ := newRunningSimulation(t, 3, 20*time.Second, 2, 4)
	key := storage.JobKey("j-1")
	sim.store.overwriteValue(key, strings.Replace(string(sim.store.keys[key].Value), `"portes":null`, `"portes":[]`, 1))
	sim.restartAllNodes(time.Second)
	sim.waitForLeader()
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	sim.checkStartedOnce()
}

// Guards against machines that are rented for a dependent that allows none, shortly before it would be released.
func TestNoCapacityForDependentThatAllowsNoMachine(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 1, 20*time.Second, 2, 4)
	dependent := dependentSpec("j-none", 8, "j-1")
	dependent.MachineTypes = []string{}
	sim.store.putValue(storage.JobKey("j-none"), storage.JobRecord{Spec: dependent, AcceptedAtMillis: 1_000_000_000})
	sim.crashNode(leaderNode.name)
	sim.restartNode(leaderNode.name)
	leader := sim.waitForLeader().leader
	if leader.Jobs["j-none"] == nil || !sim.advanceUntil(20*time.Second,
		func() bool { return len(leader.Jobs["j-1"].Attempts) == 4 }) {
		t.Fatal("the leader does not know the dependent, or the tasks of j-1")
	}
	if soon := leader.dependencies.SoonReleasedDependents(leader.Jobs["j-1"], time.Hour); len(soon) > 0 {
		t.Errorf("dependents for which machines are prepared: got %d, want none", len(soon))
	}
}
