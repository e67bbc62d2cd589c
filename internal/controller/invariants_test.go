package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/admissioncontrol"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// invariantChecker is the part of the simulation that knows the rules. It hears every answer that a
// user gets, from any node and by any way, and sees every task on every machine. Answers
// are ordered by real time: a question that was asked after an answer had arrived may get
// nothing older, milliseconds later at another node included.
type invariantChecker struct {
	submitted map[string]bool
	accepted  map[string]clock.Instant     // when a user was first told so
	over      map[string]protocol.JobState // final states that users were told
	overAt    map[string]clock.Instant     // when the first of them was
	asked     map[string]bool              // jobs that a user has begun to cancel
	answered  map[string]clock.Instant     // when a question about a job was last answered
	finished  map[string]bool              // tasks that have completed
	begun     map[string]clock.Instant     // when a job's first task started
	calm      clock.Instant                // since when there are no troubles; never: there are
	waits     map[string]clock.Instant     // since when a job waits though there is room for it
	lookedAt  clock.Instant
	told      func(id string, state protocol.JobState) // is told what users are told for the first time
	judged    map[uint64]int                           // jobs accepted under a policy, by epoch
	what      string                                   // what is tested, for the messages
	caught    map[string]int                           // by rule, instead of failing the test: to test the checker itself
	load      machineLoad                              // what runs, as of the last check
	marked    bool                                     // the check is marked as a helper of the test
}

// machineLoad is what runs on the machines. It is made anew when a task begins or ends, and not
// at each step.
type machineLoad struct {
	valid   bool
	running []runningTask     // by machine, in the order of their names
	where   map[string]string // by task: its machine
	jobs    []jobLoad
	indices map[string]int     // of jobs, by id
	cores   map[string]float64 // by team
	gpus    map[string]float64 // the same, of accelerators
}

type runningTask struct {
	x   *worker
	key string
}

// jobLoad is how many tasks of a job run, and what each uses.
type jobLoad struct {
	id           string
	tasks        int
	teamSettings string
	cores, gpus  float64
}

func newInvariantChecker() invariantChecker {
	return invariantChecker{submitted: map[string]bool{}, accepted: map[string]clock.Instant{}, over: map[string]protocol.JobState{},
		overAt: map[string]clock.Instant{}, asked: map[string]bool{}, answered: map[string]clock.Instant{},
		finished: map[string]bool{}, begun: map[string]clock.Instant{}, load: newMachineLoad(), judged: map[uint64]int{}, calm: clock.Never, waits: map[string]clock.Instant{}}
}

func newMachineLoad() machineLoad {
	return machineLoad{where: map[string]string{}, indices: map[string]int{}, cores: map[string]float64{}, gpus: map[string]float64{}}
}

// broken reports that a rule is broken.
func (w *simulation) broken(rule, format string, args ...any) {
	w.t.Helper()
	if w.caught != nil {
		w.caught[rule]++
		return
	}
	w.t.Fatalf("%s at %v: %s: %s", w.what, w.now, rule, fmt.Sprintf(format, args...))
}

// hears judges the answer to a user's request that was sent at some moment.
func (w *simulation) hears(r Request, node string, sent clock.Instant, reply Reply) {
	w.t.Helper()
	id := r.JobID
	accepted, known := w.accepted[id]
	if reply.Status == 503 && reply.RetryAfter == 0 {
		w.broken("silent wait", "%s of %s at %s: 503 without Retry-After", r.Kind, id, node)
	}
	if known && sent >= accepted &&
		(reply.Status == 404 || r.Kind == protocol.RequestSubmit && (reply.Status == 400 || reply.Status == 422)) {
		w.broken("forgotten", "%s of %s at %s: %d", r.Kind, id, node, reply.Status)
	}
	if reply.Status != 200 && reply.Status != 201 {
		return
	}
	var s protocol.JobStatus
	if json.Unmarshal(reply.Body, &s) != nil {
		w.t.Fatalf("%s of %s: %s", r.Kind, id, reply.Body)
	}
	if !w.submitted[id] {
		w.broken("invented", "%s of %s at %s: %s", r.Kind, id, node, s.State)
	}
	w.answered[id] = w.now
	if !known {
		w.accepted[id] = w.now
		w.tells(id, "accepted")
	}
	was, over := w.over[id]
	final := s.State == protocol.JobDone || s.State == protocol.JobCancelled
	switch {
	case over && s.State != was && (final || sent >= w.overAt[id]):
		w.broken("went_back", "%s of %s at %s: %s after %s (asked at %v, told at %v)", r.Kind, id, node, s.State, was, sent, w.overAt[id])
	case s.State == protocol.JobCancelled && !w.mayBeCancelled(id):
		w.broken("went_back", "%s is cancelled, and nobody asked for it", id)
	case s.State == protocol.JobDone:
		for i := range w.specs[id].TaskCount {
			if !w.finished[cluster.TaskKey(id, i)] {
				w.broken("not_done", "%s is done, but %s is not", id, cluster.TaskKey(id, i))
				break
			}
		}
	}
	if since, orphan := w.cancelledAt(id); orphan && !over && sent > since+w.cancelSpan() && s.State != protocol.JobCancelled {
		w.broken("orphaned", "%s is %s", id, s.State)
	}
	if final && !over {
		w.over[id], w.overAt[id] = s.State, w.now
		w.tells(id, s.State)
	}
}

func (w *simulation) tells(id string, state protocol.JobState) {
	if w.told != nil {
		w.told(id, state)
	}
}

// mayBeCancelled tells whether a user has asked to cancel a job or one that it needs.
func (w *simulation) mayBeCancelled(id string) bool {
	return w.asked[id] || slices.ContainsFunc(w.specs[id].Dependencies, w.mayBeCancelled)
}

// cancelledAt is when users were first told that a job, or one that it needs, is cancelled;
// of the latter not before it was itself accepted.
func (w *simulation) cancelledAt(id string) (at clock.Instant, ok bool) {
	if w.over[id] == protocol.JobCancelled {
		at, ok = w.overAt[id], true
	}
	for _, need := range w.specs[id].Dependencies {
		since, is := w.cancelledAt(need)
		accepted, known := w.accepted[id]
		if since = max(since, accepted); is && known && (!ok || since < at) {
			at, ok = since, true
		}
	}
	return at, ok
}

func (w *simulation) cancelSpan() time.Duration { return config.Seconds(w.cfg.Workers.CancelS) }

// check looks for a rule that is broken at this moment.
func (w *simulation) check() {
	if !w.marked {
		w.marked = true // once is enough for a test, and it is slow
		w.t.Helper()
	}
	leaders := 0
	for _, n := range w.nodes {
		if n.leader != nil && !n.down && !n.frozen && n.holdsLeaderLease() {
			leaders++
		}
	}
	if leaders > 1 {
		w.broken("two leaders", "%d nodes have authority", leaders)
	}
	w.checkRunning()
	if w.calm != clock.Never && w.now >= w.lookedAt+time.Second {
		w.lookedAt = w.now
		w.checkWaiting(w.load.where, w.load.cores)
	}
}

// checkRunning looks for a rule that is broken by what runs on the machines. Where each task
// runs changes only with the list of those that run, and what teams use only with that list and
// the specifications of its jobs. Both are compared at each step, and the rest is judged at
// each step, as it depends on the time and on what users were told too, but once for each job.
func (w *simulation) checkRunning() {
	load := &w.load
	same := w.sameRunning()
	if !same {
		w.countRunning()
	}
	for i := range load.jobs {
		running := &load.jobs[i]
		j := w.specs[running.id]
		if running.teamSettings != j.Team || running.cores != j.Cores || running.gpus != j.Accelerators {
			running.teamSettings, running.cores, running.gpus = j.Team, j.Cores, j.Accelerators
			same = false
		}
		if since, cancelled := w.cancelledAt(running.id); cancelled && w.now > since+w.cancelSpan() {
			for _, t := range load.running {
				if jobOf(t.key) == running.id {
					w.t.Helper()
					w.broken("ran_cancelled", "%s is on %s, cancelled at %v (%s)", t.key, t.x.name, since, t.x.how())
				}
			}
		}
	}
	if !same {
		load.sum()
	}
	for _, team := range w.cfg.Teams {
		if team.MaxCPUs > 0 && load.cores[team.Name] > team.MaxCPUs || team.MaxGPUs > 0 && load.gpus[team.Name] > team.MaxGPUs {
			w.t.Helper()
			w.broken("quota", "%s uses %v cores, %v accelerators", team.Name, load.cores[team.Name], load.gpus[team.Name])
		}
	}
}

// sum adds up what each team uses.
func (l *machineLoad) sum() {
	clear(l.cores)
	clear(l.gpus)
	for _, j := range l.jobs {
		for range j.tasks {
			l.cores[j.teamSettings] += j.cores
			l.gpus[j.teamSettings] += j.gpus
		}
	}
}

// sameRunning tells whether the same tasks run on the same machines as at the last check.
func (w *simulation) sameRunning() bool {
	if !w.load.valid {
		return false
	}
	rest := w.load.running
	for _, x := range w.inOrder() {
		for _, t := range x.tasks {
			if t.state == protocol.TaskExited {
				continue
			}
			if len(rest) == 0 || rest[0].x != x || rest[0].key != t.key {
				return false
			}
			rest = rest[1:]
		}
	}
	return len(rest) == 0
}

// countRunning lists what runs, and looks for tasks that run twice. While one does, the list
// is made anew at each step, so that it is found at each.
func (w *simulation) countRunning() {
	load := &w.load
	load.valid = true
	load.running, load.jobs = load.running[:0], load.jobs[:0]
	clear(load.where)
	clear(load.indices)
	for _, x := range w.inOrder() {
		for _, t := range x.tasks {
			if t.state == protocol.TaskExited {
				continue
			}
			load.running = append(load.running, runningTask{x, t.key})
			if other, twice := load.where[t.key]; twice {
				load.valid = false
				w.t.Helper()
				w.broken("ran_twice", "%s is on %s and %s", t.key, other, x.name)
			}
			load.where[t.key] = x.name
			id := jobOf(t.key)
			i, known := load.indices[id]
			if !known {
				i = len(load.jobs)
				load.indices[id] = i
				load.jobs = append(load.jobs, jobLoad{id: id})
			}
			load.jobs[i].tasks++
		}
	}
}

// checkWaiting looks for jobs that wait, after all troubles, for 90 s though a machine
// that fits has room and their team is under its limit, and for jobs that have not begun
// after four minutes.
func (w *simulation) checkWaiting(where map[string]string, cores map[string]float64) {
	w.t.Helper()
	for _, id := range slices.Sorted(maps.Keys(w.accepted)) {
		if _, cancelled := w.cancelledAt(id); cancelled || w.over[id] != "" || w.mayBeCancelled(id) || w.mistake[id] {
			delete(w.waits, id)
			continue
		}
		if !w.hasRoom(id, where, cores) {
			delete(w.waits, id)
			continue
		}
		if w.waits[id] == 0 {
			w.waits[id] = w.now
		}
		if w.now > w.waits[id]+90*time.Second {
			w.broken("waits", "%s waits for 90 s beside a machine with room: %s", id, w.why(id))
		}
		from := max(w.calm, w.accepted[id])
		for _, need := range w.specs[id].Dependencies {
			from = max(from, w.overAt[need]) // times begin when all that it needs is done
		}
		if w.begun[id] == 0 && w.now > from+4*time.Minute {
			w.broken("waits", "%s has not begun after four minutes: %s", id, w.why(id))
		}
	}
}

// hasRoom tells whether a task of a job waits though it could run somewhere.
func (w *simulation) hasRoom(id string, where map[string]string, cores map[string]float64) bool {
	j := w.specs[id]
	if slices.ContainsFunc(j.Dependencies, func(need string) bool { return w.over[need] != protocol.JobDone }) {
		return false
	}
	waiting := false
	for i := range j.TaskCount {
		key := cluster.TaskKey(id, i)
		waiting = waiting || !w.finished[key] && where[key] == ""
	}
	for _, team := range w.cfg.Teams {
		if team.Name == j.Team && team.MaxCPUs > 0 && cores[team.Name]+j.Cores > team.MaxCPUs {
			return false
		}
	}
	if !waiting {
		return false
	}
	for _, x := range w.workers {
		used := 0.0
		for _, t := range x.tasks {
			if t.state != protocol.TaskExited {
				used += w.specs[jobOf(t.key)].Cores
			}
		}
		if x.notice == nil && !x.faulty && used+j.Cores <= 4 && w.misplaced(&j, x) == "" {
			return true
		}
	}
	return false
}

// misplaced tells why a job's next task may not start on a machine now, if so.
func (w *simulation) misplaced(j *protocol.Job, x *worker) string {
	switch {
	case len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, x.typ):
		return "type " + x.typ
	case j.Zone != "" && j.Zone != x.zone:
		return "zone " + x.zone
	case !j.SpotAllowed && x.spot:
		return "a spot machine"
	}
	if !j.SameZone && !j.Spread {
		return ""
	}
	same, other := 0, 0
	for _, y := range w.workers {
		for _, t := range y.tasks {
			if jobOf(t.key) == j.ID && t.state != protocol.TaskExited {
				if y.zone == x.zone {
					same++
				} else {
					other++
				}
			}
		}
	}
	switch {
	case j.SameZone && other > 0:
		return "not where the other tasks are"
	case j.Spread && same+1 > (j.TaskCount+1)/2:
		return "more than half in one zone"
	}
	return ""
}

// checkStart judges a start on a machine. An answer to a report takes four seconds at
// most, so a later start after the confirmation of a cancellation was commanded after it.
func (w *simulation) checkStart(x *worker, key string) {
	w.t.Helper()
	id := jobOf(key)
	j := w.specs[id]
	for _, need := range j.Dependencies {
		if w.final(need) != protocol.JobDone {
			w.broken("too_early", "%s, while the end of %s is %q", key, need, w.final(need))
		}
	}
	if why := w.misplaced(&j, x); why != "" {
		w.broken("wrong_place", "%s starts on %s: %s", key, x.name, why)
	}
	if since, cancelled := w.cancelledAt(id); cancelled && w.now > since+4*time.Second {
		w.broken("started after its cancellation", "%s, cancelled at %v", key, since)
	}
	if w.begun[id] == 0 {
		w.begun[id] = w.now
	}
}

func (x *worker) how() string {
	return fmt.Sprintf("session %d, token %d, reports to %s, hanging %v, silent %v, deaf %v", x.session, x.token, x.node, x.hanging, x.silent, x.dropAnswers)
}

// The invariant checker must be able to fail: each rule is broken here on purpose, by an answer that
// no node gives, or by a machine that no leader has told what it does.
func TestInvariantCheckerFindsEachViolation(t *testing.T) {
	state := func(s protocol.JobState) Reply {
		return Reply{Status: 200, Body: []byte(`{"uid":"j-1","situacao":"` + s + `"}`)}
	}
	query, submit := Request{Kind: protocol.RequestQuery, JobID: "j-1"}, Request{Kind: protocol.RequestSubmit, JobID: "j-1"}
	put := func(w *simulation, name, key string, attempt uint64) {
		w.workers[name].tasks = append(w.workers[name].tasks,
			&simTask{key: key, attempt: attempt, state: protocol.TaskRunning, end: w.now + time.Hour})
	}
	start := func(w *simulation, name, key string) {
		w.workers[name].execute(protocol.Command{Kind: protocol.CommandStart, TaskID: key, Attempt: 99})
	}
	for rule, breaks := range map[string]func(w *simulation){
		"forgotten":  func(w *simulation) { w.hears(query, "n0", w.now, Reply{Status: 404}) },
		"forgotten ": func(w *simulation) { w.hears(submit, "n0", w.now, Reply{Status: 422}) },
		"invented": func(w *simulation) {
			w.hears(Request{Kind: protocol.RequestQuery, JobID: "j-x"}, "n0", w.now, state(protocol.JobQueued))
		},
		"went_back": func(w *simulation) {
			w.over["j-1"], w.overAt["j-1"] = protocol.JobCancelled, w.now
			w.hears(query, "n0", w.now, state(protocol.JobRunning))
		},
		"went_back ":  func(w *simulation) { w.hears(query, "n0", w.now, state(protocol.JobCancelled)) },
		"not_done":    func(w *simulation) { w.hears(query, "n0", w.now, state(protocol.JobDone)) },
		"silent wait": func(w *simulation) { w.hears(query, "n0", w.now, Reply{Status: 503}) },
		"orphaned": func(w *simulation) {
			j := w.specs["j-1"]
			j.Dependencies = []string{"j-0"}
			w.specs["j-1"] = j
			w.over["j-0"], w.overAt["j-0"] = protocol.JobCancelled, w.now-time.Minute
			w.accepted["j-1"] -= time.Minute
			w.hears(query, "n0", w.now, state(protocol.JobQueued))
		},
		"ran_twice": func(w *simulation) {
			put(w, "m-000001", "j-1/0", 1)
			put(w, "m-000002", "j-1/0", 2)
			w.check()
		},
		"quota": func(w *simulation) {
			j := spec("j-2", 17)
			j.Team = "team"
			w.specs["j-2"] = j
			for i := range 17 {
				put(w, "m-000001", cluster.TaskKey("j-2", i), 1)
			}
			w.check()
		},
		"ran_cancelled": func(w *simulation) {
			w.over["j-1"], w.overAt["j-1"] = protocol.JobCancelled, w.now-w.cancelSpan()-time.Second
			put(w, "m-000001", "j-1/0", 1)
			w.check()
		},
		"started after its cancellation": func(w *simulation) {
			w.over["j-1"], w.overAt["j-1"] = protocol.JobCancelled, w.now-5*time.Second
			start(w, "m-000001", "j-1/0")
		},
		"too_early": func(w *simulation) {
			j := after("j-2", 1, "j-1")
			w.specs["j-2"] = j
			start(w, "m-000001", "j-2/0")
		},
		"wrong_place": func(w *simulation) {
			j := spec("j-2", 1)
			j.SpotAllowed = false
			w.specs["j-2"] = j
			start(w, "m-000001", "j-2/0")
		},
		"wrong_place ": func(w *simulation) {
			j := spec("j-2", 2)
			j.SameZone = true
			w.specs["j-2"] = j
			start(w, "m-000001", "j-2/0")
			start(w, "m-000002", "j-2/1")
		},
		"two leaders": func(w *simulation) {
			for _, n := range w.nodes {
				if n.leader == nil {
					forceLeadership(n.Node, 99)
				}
			}
			w.check()
		},
		"forgotten  ": func(w *simulation) {
			for _, n := range w.nodes {
				n.down = true
			}
			w.run(time.Second)
			(newUserSimulation(w, 1)).calmDown()
			w.run(76 * time.Second)
		},
		"waits ": func(w *simulation) {
			w.cloud.noSpot = true
			w.accepted["j-2"], w.specs["j-2"], w.calm = w.now, after("j-2", 1), w.now
			for i := range 8 {
				put(w, fmt.Sprintf("m-%06d", i%2+1), fmt.Sprintf("j-1/%d", i+1), 1) // no room
			}
			w.run(4*time.Minute + 2*time.Second)
		},
		"waits": func(w *simulation) {
			for _, n := range w.nodes {
				n.down = true
			}
			w.accepted["j-2"], w.specs["j-2"], w.calm = w.now, spec("j-2", 1), w.now
			w.run(92 * time.Second)
		},
	} {
		t.Run(rule, func(t *testing.T) {
			w := newSimulation(t, 3)
			w.runTime = func(string, int) time.Duration { return time.Hour }
			l := w.waitLeader()
			w.machines(2)
			w.submit(l.name, spec("j-1", 1))
			w.caught = map[string]int{}
			breaks(w)
			if rule = strings.TrimSpace(rule); w.caught[rule] == 0 {
				t.Fatalf("not caught: %v", w.caught)
			}
		})
	}
}

// checkPolicy judges a transaction that is about to be carried out: no job is accepted that
// the policy in force does not admit, unless its writer knows of no policies.
func (w *simulation) checkPolicy(t storage.Txn) {
	w.t.Helper()
	record, exists := w.state.keys[storage.AdmissionPolicyKey]
	if !exists || !slices.ContainsFunc(t.Conditions, func(c storage.Condition) bool { return c.Key == storage.AdmissionPolicyKey }) {
		return
	}
	policy := &admission.Policy{}
	if json.Unmarshal(record.Value, policy) != nil {
		policy = &admission.Policy{DefaultShare: admission.Share{Steps: []uint64{0}}} // nobody
	}
	for _, wr := range t.Writes {
		var job storage.JobRecord
		if !strings.HasPrefix(wr.PutKey, storage.JobPrefix) || json.Unmarshal(wr.Value, &job) != nil {
			continue
		}
		w.judged[policy.Epoch]++
		if !policy.Evaluate(admissioncontrol.GroupOf(&job.Spec), job.Spec.ID).Admit {
			w.broken("policy", "%s is accepted in epoch %d", job.Spec.ID, policy.Epoch)
		}
	}
}
