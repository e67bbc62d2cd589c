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

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// These tests pin what other programs and operators see of a node: the names on its pages, its
// replies to users, its calls to the key-value store and the cloud, and its stored keys. The golden
// files in testdata were written by the code of commit 5adb309. The flag -update rewrites them;
// that changes what others rely on, or a decision, and needs a reason of its own.

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden compares lines with a golden file.
func checkGolden(t *testing.T, file string, lines []string) {
	t.Helper()
	path := filepath.Join("testdata", file)
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
	wanted := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
	for i := range max(len(lines), len(wanted)) {
		switch {
		case i >= len(lines):
			t.Fatalf("%s: line %d is missing: %s", file, i+1, wanted[i])
		case i >= len(wanted):
			t.Fatalf("%s: line %d is new: %s", file, i+1, lines[i])
		case lines[i] != wanted[i]:
			t.Fatalf("%s: line %d:\n got %s\nwant %s", file, i+1, lines[i], wanted[i])
		}
	}
}

// nameSet is a set of names.
type nameSet map[string]bool

func (s nameSet) sorted() []string { return slices.Sorted(maps.Keys(s)) }

// addFields adds the names of all fields of a JSON document, with the types of their values.
func (s nameSet) addFields(prefix string, raw []byte) error {
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return err
	}
	s.addValue(prefix, value)
	return nil
}

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

// machineName matches machine names, which are keys within the record of a machine group.
var machineName = regexp.MustCompile(`^m-\d{6}$`)

// addPages adds the names on all pages of a node.
func (s nameSet) addPages(sim *simulation, node, job string) {
	sim.t.Helper()
	for _, page := range []struct {
		name string
		kind protocol.RequestKind
		id   string
	}{{"health", protocol.RequestHealth, ""}, {"status", protocol.RequestStatus, ""},
		{"links", protocol.RequestLinks, ""},
		{"recovery", protocol.RequestRecovery, ""}, {"admission", protocol.RequestAdmission, ""},
		{"admission", protocol.RequestAdmission, job}} {
		r := sim.requestAndWait(node, Request{Kind: page.kind, JobID: page.id})
		if r.Status != 200 {
			sim.t.Fatalf("%s: %d", page.name, r.Status)
		}
		if err := s.addFields(page.name, r.Body); err != nil {
			sim.t.Fatal(err)
		}
	}
	for text := range strings.Lines(string(sim.requestAndWait(node, Request{Kind: protocol.RequestMetrics}).Body)) {
		text = strings.TrimSpace(text)
		switch {
		case strings.HasPrefix(text, "# HELP "): // prose may change
		case strings.HasPrefix(text, "# TYPE "):
			s["metrics: "+text] = true
		default:
			s["metrics: "+text[:strings.LastIndexByte(text, ' ')]] = true // without the value
		}
	}
}

// The names on the pages of a leader and of its followers: with running jobs, under an admission
// policy, in a recovery, and with records that can't be read.
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

	c := newOverloadedSimulation(t, 3, true)
	a := newSubmitters(c)
	for i := range 60 {
		a.submit(a.classJob("low", "low", i), retryOnTime)
	}
	if !c.advanceUntil(20*time.Second, func() bool { return len(c.acceptancesByEpoch) >= 2 }) {
		t.Fatal("no admission by policy")
	}
	for range 10 {
		for _, node := range c.names {
			for _, job := range []string{"j-low-0", "j-low-30", "j-low-59"} {
				names.addPages(c.simulation, node, job)
			}
		}
	}
	checkGolden(t, "pages.txt", names.sorted())
}

// The words on the status page and in traces.
func TestStatusAndTraceTexts(t *testing.T) {
	lines := []string{"jobs wait for:"}
	for _, waits := range []cluster.WaitReason{cluster.WaitDependencies, cluster.WaitBackoff,
		cluster.WaitReconciliation, cluster.WaitSlots, cluster.WaitTeamQuota,
		cluster.WaitOverallQuota, cluster.WaitCapacity, cluster.WaitImage, cluster.WaitQuarantine, cluster.WaitNone} {
		lines = append(lines, string(waits))
	}
	lines = append(lines, "machines leave because:")
	for _, why := range []cluster.DrainReason{cluster.SurplusCapacity, cluster.PreemptionNoticed,
		cluster.SlowExecution, cluster.Unhealthy, cluster.CommandsUndelivered,
		cluster.HeartbeatMissed, cluster.NeverReported, cluster.InstanceFailed, cluster.NotListed} {
		lines = append(lines, string(why))
	}
	lines = append(lines, "steps of traces:", stepAdmissionVerdict, stepRejected, stepStored, stepLoaded,
		stepBlocked, stepFirstStart, stepFirstRunning, stepTerminal,
		"level of records and messages:", fmt.Sprint(protocolLevel))
	checkGolden(t, "words.txt", lines)
}

// A leader reads what level 0 stored: one record for each machine, bitmap parts by their numbers,
// records without the later fields. The values are literals, so that no change of a Go type changes
// them.
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

// pointerTo returns a pointer to a value.
func pointerTo[T any](v T) *T { return &v }

// The replies to users, workers and the load balancer.
func TestReplies(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 5 * time.Second }
	var lines []string
	ask := func(name, node string, r Request) {
		reply := sim.requestAndWait(node, r)
		lines = append(lines, fmt.Sprintf("%s: %d, retry after %d: %s", name, reply.Status,
			reply.RetryAfter, reply.Body))
	}
	user := func(name, node string, kind protocol.RequestKind, job protocol.Job) {
		sim.jobSpecs[job.ID] = job
		r := Request{Kind: kind, JobID: job.ID}
		if kind == protocol.RequestSubmit {
			r.Job = &job
		}
		ask(name, node, r)
	}
	user("submission without a leader", "n0", protocol.RequestSubmit, jobSpec("j-1", 4))
	sim.waitForLeader()
	l, f := sim.leaderName(), sim.followers()[0]
	ask("health", l, Request{Kind: protocol.RequestHealth})
	user("submission", f, protocol.RequestSubmit, jobSpec("j-1", 4))
	user("submission, repeated", l, protocol.RequestSubmit, jobSpec("j-1", 4))
	user("query", l, protocol.RequestQuery, jobSpec("j-1", 4))
	sim.waitForJobState("j-1", protocol.JobRunning, time.Minute)
	user("query of a running job", f, protocol.RequestQuery, jobSpec("j-1", 4))
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	user("query of a job that is done", f, protocol.RequestQuery, jobSpec("j-1", 4))
	user("cancellation of a job that is done", l, protocol.RequestCancel, jobSpec("j-1", 4))
	user("submission of a job that is done", f, protocol.RequestSubmit, jobSpec("j-1", 4))
	user("submission", l, protocol.RequestSubmit, jobSpec("j-2", 4))
	user("cancellation", f, protocol.RequestCancel, jobSpec("j-2", 4))
	user("cancellation, repeated", l, protocol.RequestCancel, jobSpec("j-2", 4))
	user("query of a cancelled job", l, protocol.RequestQuery, jobSpec("j-2", 4))
	for _, node := range []string{l, f} {
		user("query of an unknown job", node, protocol.RequestQuery, protocol.Job{ID: "j-404"})
		user("cancellation of an unknown job", node, protocol.RequestCancel, protocol.Job{ID: "j-404"})
		unknownTeam, tooMuch, needs := jobSpec("j-3", 1), jobSpec("j-4", 1), jobSpec("j-5", 1)
		unknownTeam.Team = "nobody"
		tooMuch.Cores = 5
		needs.Dependencies = []string{"j-404"}
		user("submission of an unknown team", node, protocol.RequestSubmit, unknownTeam)
		user("submission that fits no machine", node, protocol.RequestSubmit, tooMuch)
		user("submission that needs an unknown job", node, protocol.RequestSubmit, needs)
	}
	large := jobSpec("j-6", 1)
	large.Image = strings.Repeat("x", int(sim.cfg.Store.ValueKB*1024))
	user("submission that is too large to be stored", l, protocol.RequestSubmit, large)
	report := &protocol.WorkerHeartbeat{Machine: "m-000099", Type: "c4", Zone: "a", Epoch: 1, Sequence: 1}
	ask("report to a follower", f, Request{Kind: protocol.RequestHeartbeat, Heartbeat: report})
	ask("report to the leader", l, Request{Kind: protocol.RequestHeartbeat, Heartbeat: report})
	sim.store.setDown(true)
	sim.advance(3 * time.Second)
	user("query of an unknown job in an outage", f, protocol.RequestQuery, protocol.Job{ID: "j-405"})
	user("submission in an outage", l, protocol.RequestSubmit, jobSpec("j-7", 1))
	checkGolden(t, "answers.txt", lines)
}

// digits matches numbers in paths and keys.
var digits = regexp.MustCompile(`\d+`)

// The calls to the key-value store and the cloud, and the keys and fields of the stored records.
func TestCallsAndRecords(t *testing.T) {
	calls, records := nameSet{}, nameSet{}
	watch := func(sim *simulation) {
		sim.onEffects = func(_ *simNode, effects []Effect) {
			for _, e := range effects {
				call, is := e.(ServiceCall)
				if !is {
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

	c := newOverloadedSimulation(t, 3, true)
	watch(c.simulation)
	a := newSubmitters(c)
	for i := range 60 {
		a.submit(a.classJob("low", "low", i), retryOnTime)
	}
	c.advance(40 * time.Second)
	checkGolden(t, "calls.txt", calls.sorted())
	checkGolden(t, "records.txt", records.sorted())
}

// withoutValues returns the body of a call; for a transaction, without the values it writes.
func withoutValues(t *testing.T, call ServiceCall) []byte {
	if call.Path != "/multi" {
		return call.Body
	}
	var txn map[string][]map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &txn); err != nil {
		t.Fatal(err)
	}
	for _, wr := range txn["writes"] {
		if _, is := wr["data"]; is {
			wr["data"] = json.RawMessage(`"record"`)
		}
	}
	return storage.Encode(txn)
}

// effectDigest hashes all effects of all nodes in order, by spans of simulated time, so that a
// difference names the span in which it begins.
type effectDigest struct {
	simulation  *simulation
	hash        hash.Hash
	effectCount int
	spanEnd     clock.Instant
	lines       []string
}

const digestSpan = 10 * time.Second

// goldenTargets are the names of the call targets in the golden files, independent of the names in
// the log.
var goldenTargets = map[Target]string{TargetStore: "state service", TargetCloud: "cloud"}

func newEffectDigest(sim *simulation) *effectDigest {
	d := &effectDigest{simulation: sim, hash: sha256.New(), spanEnd: digestSpan}
	sim.onEffects = d.add
	return d
}

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
			d.simulation.t.Fatalf("effect %T", e)
		}
	}
}

func (d *effectDigest) close() {
	d.lines = append(d.lines, fmt.Sprintf("until %v: %d effects, %x", d.spanEnd, d.effectCount, d.hash.Sum(nil)[:8]))
	d.spanEnd += digestSpan
}

// A simulation with fixed seeds is deterministic: the same commands give the same effects in the
// same order. The exception is several forwarded requests that expire in one step, since their
// replies come in map order; none do here. Processors with fused multiply-add may give other
// digests.
func TestEffectDigests(t *testing.T) {
	for name, lose := range map[string]bool{"effects_at_work.txt": false, "effects_leader_lost.txt": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			d := newEffectDigest(sim)
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
			if lose {
				sim.crashNode(leaderNode.name)
				sim.advance(20 * time.Second)
				sim.restartNode(leaderNode.name)
				sim.waitForLeader()
			}
			sim.waitForJobState("j-5", protocol.JobDone, 200*time.Second)
			sim.advance(60 * time.Second)
			d.close()
			checkGolden(t, name, d.lines)
		})
	}
}
