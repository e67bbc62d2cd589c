package controller

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"hash"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// These tests fix what other programs and operators see of a node: the names on its pages, its
// replies to users, its calls to the key-value store and the cloud, and its stored keys. The golden
// files in testdata were written by the code of commit 5adb309. The flag -update rewrites them. A
// changed golden file means a changed interface or scheduling decision, and needs a reason of its own.

var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares lines with a golden file. With the flag -update, it rewrites the file first.
func checkGolden(t *testing.T, fileName string, lines []string) {
	t.Helper()
	path := filepath.Join("testdata", fileName)
	got := strings.Join(lines, "\n") + "\n"
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	wantLines := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
	for i := range max(len(lines), len(wantLines)) {
		switch {
		case i >= len(lines):
			t.Fatalf("%s: line %d: got none, want %s", fileName, i+1, wantLines[i])
		case i >= len(wantLines):
			t.Fatalf("%s: line %d: got %s, want none", fileName, i+1, lines[i])
		case lines[i] != wantLines[i]:
			t.Fatalf("%s: line %d:\n got %s\nwant %s", fileName, i+1, lines[i], wantLines[i])
		}
	}
}

// nameSet is a set of field, metric and call names.
type nameSet map[string]bool

func (s nameSet) sorted() []string { return slices.Sorted(maps.Keys(s)) }

// addFields adds the paths of all fields of a JSON document, with the types of their values.
func (s nameSet) addFields(prefix string, raw []byte) error {
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return err
	}
	s.addValue(prefix, value)
	return nil
}

// addValue adds the paths of all fields of a decoded JSON value.
func (s nameSet) addValue(name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, field := range v {
			s.addValue(name+"."+machineName.ReplaceAllString(key, "m-N"), field)
		}
	case []any:
		for _, element := range v {
			s.addValue(name+"[]", element)
		}
	case nil:
		s[name+" null"] = true
	default:
		s[fmt.Sprintf("%s %T", name, v)] = true
	}
}

// machineName matches machine names. They are keys in machine group records, and are replaced by m-N, so
// that a field has the same path for all machines.
var machineName = regexp.MustCompile(`^m-\d{6}$`)

// addPages adds the field and metric names on all pages of a node. The admission page is read without a
// job and for jobID.
func (s nameSet) addPages(sim *simulation, node, jobID string) {
	sim.t.Helper()
	for _, page := range []struct {
		name string
		kind protocol.RequestKind
		id   string
	}{{"health", protocol.RequestHealth, ""}, {"status", protocol.RequestStatus, ""},
		{"links", protocol.RequestLinks, ""},
		{"recovery", protocol.RequestRecovery, ""}, {"admission", protocol.RequestAdmission, ""},
		{"admission", protocol.RequestAdmission, jobID}} {
		r := sim.requestAndWait(node, Request{Kind: page.kind, JobID: page.id})
		if r.Status != 200 {
			sim.t.Fatalf("page %s: got status %d, want 200", page.name, r.Status)
		}
		if err := s.addFields(page.name, r.Body); err != nil {
			sim.t.Fatal(err)
		}
	}
	for text := range strings.Lines(string(sim.requestAndWait(node, Request{Kind: protocol.RequestMetrics}).Body)) {
		text = strings.TrimSpace(text)
		switch {
		case strings.HasPrefix(text, "# HELP "): // help texts may change
		case strings.HasPrefix(text, "# TYPE "):
			s["metrics: "+text] = true
		default:
			s["metrics: "+text[:strings.LastIndexByte(text, ' ')]] = true // without the value
		}
	}
}

// The names on the pages of a leader and its followers must not change, because other programs read
// them. The pages are read with running jobs, under an admission policy, in a recovery, and with
// records that can't be read.
func TestPageNames(t *testing.T) {
	names := nameSet{}
	sim, leaderNode := newRunningSimulation(t, 3, 100*time.Second, 4, 8)
	waiting := jobSpec("j-2", 40)
	waiting.Team = "team"
	sim.submit(leaderNode.name, waiting)
	sim.sortedWorkers()[0].preemptionNotice = pointerTo(60.0)
	sim.store.putValue(storage.JobKey("j-damaged"), map[string]string{"spec": "damaged"})
	sim.advance(10 * time.Second)
	names.addPages(sim, leaderNode.name, "j-1")
	names.addPages(sim, sim.followers()[0], "j-1")
	sim.crashNode(leaderNode.name)
	sim.waitForLeader()
	for range 30 {
		names.addPages(sim, sim.leaderName(), "j-2")
		sim.advance(time.Second)
	}

	overloaded := newOverloadedSimulation(t, 3, true)
	users := newSubmitters(overloaded)
	for i := range 60 {
		users.submit(users.classJob("low", "low", i), retryOnTime)
	}
	if !overloaded.advanceUntil(20*time.Second, func() bool { return len(overloaded.acceptancesByEpoch) >= 2 }) {
		t.Fatalf("jobs were accepted in %d policy epochs within 20 s, want at least 2",
			len(overloaded.acceptancesByEpoch))
	}
	for range 10 {
		for _, node := range overloaded.names {
			for _, job := range []string{"j-low-0", "j-low-30", "j-low-59"} {
				names.addPages(overloaded.simulation, node, job)
			}
		}
	}
	checkGolden(t, "pages.txt", names.sorted())
}

// The wait reasons, drain reasons, trace steps and protocol level that the status page and traces show
// must not change, because operators and their tools match them.
func TestStatusAndTraceTexts(t *testing.T) {
	lines := []string{"jobs wait for:"}
	for _, waitReason := range []cluster.WaitReason{cluster.WaitDependencies, cluster.WaitBackoff,
		cluster.WaitReconciliation, cluster.WaitSlots, cluster.WaitTeamQuota,
		cluster.WaitOverallQuota, cluster.WaitCapacity, cluster.WaitImage, cluster.WaitQuarantine, cluster.WaitNone} {
		lines = append(lines, string(waitReason))
	}
	lines = append(lines, "machines leave because:")
	for _, drainReason := range []cluster.DrainReason{cluster.SurplusCapacity, cluster.PreemptionNoticed,
		cluster.SlowExecution, cluster.Unhealthy, cluster.CommandsUndelivered,
		cluster.HeartbeatMissed, cluster.NeverReported, cluster.InstanceFailed, cluster.NotListed} {
		lines = append(lines, string(drainReason))
	}
	lines = append(lines, "steps of traces:", stepAdmissionVerdict, stepRejected, stepStored, stepLoaded,
		stepBlocked, stepFirstStart, stepFirstRunning, stepTerminal,
		"level of records and messages:", fmt.Sprint(protocolLevel))
	checkGolden(t, "words.txt", lines)
}

// A leader must read the records that nodes of protocol level 0 stored: one record per machine,
// numbered parts of the bitmaps of completed tasks, and records without the later fields. The values
// are literals, so that a change of a Go type can't change them.
func TestRecordsOfEarlierVersions(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 100 * time.Second }
	host := sim.cloud.rentMachine("c4", "a", true)
	for id, tasks := range map[string]int{"j-0": 2, "j-1": 11, "j-2": 1} {
		sim.jobSpecs[id], sim.submitted[id] = jobSpec(id, tasks), true
	}
	sim.cancelRequested["j-2"] = true
	for i := range 10 {
		if i == 0 || i == 9 {
			sim.completedTasks[protocol.TaskID("j-1", i)] = true
		}
	}
	for i := range 2 {
		sim.completedTasks[protocol.TaskID("j-0", i)] = true
	}
	for key, value := range map[string]string{
		"term":              `{"term":7}`,
		"final/j-0":         `{"state":"done","tasks":2,"done":2}`,
		"final/j-2":         `{"state":"withdrawn","tasks":1,"done":0}`,
		"job/j-1":           `{"spec":{"uid":"j-1","lote":"c","dono":"free","feitio":"batch","vez":"standard","pecas":11,"cores":1,"accelerators":0,"ramGb":1,"molde":"i","pullGb":0,"portes":null,"praca":"","samePlace":false,"apart":false,"avulsas":true,"previstoS":5,"marcoS":0,"guardaS":0,"prazoS":null},"at":1000000000}`,
		"bits/j-1/000":      `{"b":"AQI="}`,
		"mach/" + host.name: `{"type":"c4","zone":"a","spot":true,"at":1000000000,"used":true}`,
	} {
		sim.store.putValue(key, json.RawMessage(value))
	}
	leaderNode := sim.waitForLeader()
	sim.advance(10 * time.Second)
	var lines []string
	for _, id := range []string{"j-0", "j-1", "j-2"} {
		r := sim.requestAndWait(leaderNode.name, Request{Kind: protocol.RequestQuery, JobID: id})
		lines = append(lines, fmt.Sprintf("%s: %d %s", id, r.Status, r.Body))
	}
	for i := range 11 {
		lines = append(lines, fmt.Sprintf("%s started %d times", protocol.TaskID("j-1", i),
			sim.startCounts[protocol.TaskID("j-1", i)]))
	}
	for _, key := range slices.Sorted(maps.Keys(sim.store.keys)) {
		if key != storage.ArrivalForecastKey {
			lines = append(lines, key+" "+string(sim.store.keys[key].Value))
		}
	}
	checkGolden(t, "records_taken_over.txt", lines)
}

// pointerTo returns a pointer to a copy of v.
func pointerTo[T any](v T) *T { return &v }

// The replies to users, workers and the load balancer must not change, because their programs parse
// them.
func TestReplies(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 5 * time.Second }
	var lines []string
	request := func(name, node string, r Request) {
		reply := sim.requestAndWait(node, r)
		lines = append(lines, fmt.Sprintf("%s: %d, retry after %d: %s", name, reply.Status,
			reply.RetryAfter, reply.Body))
	}
	userRequest := func(name, node string, kind protocol.RequestKind, job protocol.Job) {
		sim.jobSpecs[job.ID] = job
		r := Request{Kind: kind, JobID: job.ID}
		if kind == protocol.RequestSubmit {
			r.Job = &job
		}
		request(name, node, r)
	}
	userRequest("submission without a leader", "n0", protocol.RequestSubmit, jobSpec("j-1", 4))
	sim.waitForLeader()
	leader, follower := sim.leaderName(), sim.followers()[0]
	request("health", leader, Request{Kind: protocol.RequestHealth})
	userRequest("submission", follower, protocol.RequestSubmit, jobSpec("j-1", 4))
	userRequest("submission, repeated", leader, protocol.RequestSubmit, jobSpec("j-1", 4))
	userRequest("query", leader, protocol.RequestQuery, jobSpec("j-1", 4))
	sim.waitForJobState("j-1", protocol.JobRunning, time.Minute)
	userRequest("query of a running job", follower, protocol.RequestQuery, jobSpec("j-1", 4))
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	userRequest("query of a job that is done", follower, protocol.RequestQuery, jobSpec("j-1", 4))
	userRequest("cancellation of a job that is done", leader, protocol.RequestCancel, jobSpec("j-1", 4))
	userRequest("submission of a job that is done", follower, protocol.RequestSubmit, jobSpec("j-1", 4))
	userRequest("submission", leader, protocol.RequestSubmit, jobSpec("j-2", 4))
	userRequest("cancellation", follower, protocol.RequestCancel, jobSpec("j-2", 4))
	userRequest("cancellation, repeated", leader, protocol.RequestCancel, jobSpec("j-2", 4))
	userRequest("query of a cancelled job", leader, protocol.RequestQuery, jobSpec("j-2", 4))
	for _, node := range []string{leader, follower} {
		userRequest("query of an unknown job", node, protocol.RequestQuery, protocol.Job{ID: "j-404"})
		userRequest("cancellation of an unknown job", node, protocol.RequestCancel, protocol.Job{ID: "j-404"})
		unknownTeam, tooManyCores, unknownDependency := jobSpec("j-3", 1), jobSpec("j-4", 1), jobSpec("j-5", 1)
		unknownTeam.Team = "nobody"
		tooManyCores.Cores = 5
		unknownDependency.Dependencies = []string{"j-404"}
		userRequest("submission of an unknown team", node, protocol.RequestSubmit, unknownTeam)
		userRequest("submission that fits no machine", node, protocol.RequestSubmit, tooManyCores)
		userRequest("submission that needs an unknown job", node, protocol.RequestSubmit, unknownDependency)
	}
	large := jobSpec("j-6", 1)
	large.Image = strings.Repeat("x", int(sim.cfg.Store.ValueKB*1024))
	userRequest("submission that is too large to be stored", leader, protocol.RequestSubmit, large)
	heartbeat := &protocol.WorkerHeartbeat{Machine: "m-000099", Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
	request("report to a follower", follower, Request{Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat})
	request("report to the leader", leader, Request{Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat})
	sim.store.setDown(true)
	sim.advance(3 * time.Second)
	userRequest("query of an unknown job in an outage", follower, protocol.RequestQuery, protocol.Job{ID: "j-405"})
	userRequest("submission in an outage", leader, protocol.RequestSubmit, jobSpec("j-7", 1))
	checkGolden(t, "answers.txt", lines)
}

// digits matches the numbers in paths and keys. They are replaced by N in the golden files.
var digits = regexp.MustCompile(`\d+`)

// The calls to the key-value store and the cloud, and the keys and fields of stored records, must not
// change: the services and nodes of other versions depend on them.
func TestCallsAndRecords(t *testing.T) {
	calls, records := nameSet{}, nameSet{}
	watch := func(sim *simulation) {
		sim.onEffects = func(_ *simNode, effects []Effect) {
			for _, e := range effects {
				call, ok := e.(ServiceCall)
				if !ok {
					continue
				}
				name := goldenTargets[call.Target] + " " + call.Method + " " + digits.ReplaceAllString(call.Path, "N")
				calls[name] = true
				if len(call.Body) > 0 {
					if err := calls.addFields(name, withoutValues(t, call)); err != nil {
						t.Fatal(err)
					}
				}
				if call.Path != "/multi" {
					continue
				}
				var txn storage.Txn
				if err := json.Unmarshal(call.Body, &txn); err != nil {
					t.Fatal(err)
				}
				for _, write := range txn.Writes {
					if err := records.addFields(digits.ReplaceAllString(write.PutKey, "N"),
						write.Value); write.PutKey != "" && err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
	sim := newSimulation(t, 3)
	watch(sim)
	leaderNode := sim.waitForLeader()
	job, next := jobSpec("j-1", 6), jobSpec("j-2", 1)
	job.MachineTypes, job.DeadlineSeconds = []string{"c4"}, pointerTo(900.0)
	next.Dependencies = []string{"j-1"}
	sim.submit(sim.followers()[0], job)
	sim.submit(leaderNode.name, next)
	sim.waitForJobState("j-2", protocol.JobDone, 2*time.Minute)
	sim.isolateNode(leaderNode.name)
	sim.advance(time.Minute)
	sim.healCuts()
	sim.nodes[sim.leaderName()].inbox = append(sim.nodes[sim.leaderName()].inbox, Drain{})
	sim.advance(time.Minute)

	overloaded := newOverloadedSimulation(t, 3, true)
	watch(overloaded.simulation)
	users := newSubmitters(overloaded)
	for i := range 60 {
		users.submit(users.classJob("low", "low", i), retryOnTime)
	}
	overloaded.advance(40 * time.Second)
	checkGolden(t, "calls.txt", calls.sorted())
	checkGolden(t, "records.txt", records.sorted())
}

// withoutValues returns the body of a call. In a transaction, a placeholder replaces the values that
// are written.
func withoutValues(t *testing.T, call ServiceCall) []byte {
	if call.Path != "/multi" {
		return call.Body
	}
	var txn map[string][]map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &txn); err != nil {
		t.Fatal(err)
	}
	for _, write := range txn["writes"] {
		if _, ok := write["data"]; ok {
			write["data"] = json.RawMessage(`"record"`)
		}
	}
	return storage.Encode(txn)
}

// effectDigest hashes the effects of all nodes in order. It has a line for each span of simulated
// time, so that the first line that differs shows when a difference begins.
type effectDigest struct {
	simulation  *simulation
	hash        hash.Hash // of all effects since the beginning
	effectCount int       // since the beginning
	spanEnd     clock.Instant
	lines       []string
}

const digestSpan = 10 * time.Second

// goldenTargets are the names of the call targets in the golden files. They are independent of the
// names in the log, which may change.
var goldenTargets = map[Target]string{TargetStore: "state service", TargetCloud: "cloud"}

// newEffectDigest returns a digest of all further effects of a simulation.
func newEffectDigest(sim *simulation) *effectDigest {
	d := &effectDigest{simulation: sim, hash: sha256.New(), spanEnd: digestSpan}
	sim.onEffects = d.add
	return d
}

// add adds the effects of one step of a node.
func (d *effectDigest) add(n *simNode, effects []Effect) {
	for d.simulation.now > d.spanEnd {
		d.close()
	}
	for _, e := range effects {
		d.effectCount++
		fmt.Fprintf(d.hash, "%d %s ", d.simulation.now, n.name)
		switch e := e.(type) {
		case ServiceCall:
			fmt.Fprintf(d.hash, "call %d %s %s %s %s %d\n", e.ID, goldenTargets[e.Target], e.Method, e.Path,
				e.Body, e.Timeout)
		case Reply:
			fmt.Fprintf(d.hash, "reply %d %d %d %s\n", e.RequestID, e.Status, e.RetryAfter, e.Body)
		case OutboundMessage:
			raw, err := protocol.EncodePeerMessage(e.Message)
			if err != nil {
				d.simulation.t.Fatal(err)
			}
			fmt.Fprintf(d.hash, "send %s %s\n", e.To, raw)
		case TraceStep:
			fmt.Fprintf(d.hash, "trace %s\n", storage.Encode(e.Step))
		default:
			d.simulation.t.Fatalf("the digest does not support effect type %T", e)
		}
	}
}

// close adds the line of the current span and begins the next span.
func (d *effectDigest) close() {
	d.lines = append(d.lines, fmt.Sprintf("until %v: %d effects, %x", d.spanEnd, d.effectCount, d.hash.Sum(nil)[:8]))
	d.spanEnd += digestSpan
}

// A change that should not change behaviour could change the effects of a node or their order. In a
// simulation with fixed seeds, the same commands give the same effects in the same order, so their
// digests must match the golden files. An exception is several forwarded requests that expire in one
// step, because their replies come in map order; that doesn't happen here. Processors with fused
// multiply-add may give other digests.
func TestEffectDigests(t *testing.T) {
	for name, crashLeader := range map[string]bool{"effects_at_work.txt": false, "effects_leader_lost.txt": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			digest := newEffectDigest(sim)
			for _, name := range sim.names {
				sim.nodes[name].settings.MaxTraceSteps = 1
			}
			leaderNode := sim.waitForLeader()
			sim.startMachines(6)
			for i := range 6 {
				job := jobSpec(fmt.Sprintf("j-%d", i), 3+4*i)
				job.Priority = []protocol.Priority{"prod", "urgent", "standard", "low"}[i%4]
				job.Cores = 1 + float64(i%3)*0.3
				job.Class = []string{"c", "d"}[i%2]
				if i == 5 {
					job.Dependencies = []string{"j-0", "j-1"}
				}
				sim.submit(sim.followers()[i%2], job)
				sim.advance(time.Second)
			}
			sim.cancelJob(sim.followers()[0], "j-4")
			sim.advance(3 * time.Second)
			if crashLeader {
				sim.crashNode(leaderNode.name)
				sim.advance(20 * time.Second)
				sim.restartNode(leaderNode.name)
				sim.waitForLeader()
			}
			sim.waitForJobState("j-5", protocol.JobDone, 200*time.Second)
			sim.advance(60 * time.Second)
			digest.close()
			checkGolden(t, name, digest.lines)
		})
	}
}
