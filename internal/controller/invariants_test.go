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
	submitted          map[string]bool
	acceptedAt         map[string]clock.Instant     // when a user was first told so
	terminalStates     map[string]protocol.JobState // final states that users were told
	terminalAt         map[string]clock.Instant     // when the first of them was
	cancelRequested    map[string]bool              // jobs that a user has begun to cancel
	answeredAt         map[string]clock.Instant     // when a question about a job was last answered
	completedTasks     map[string]bool              // tasks that have completed
	firstStartAt       map[string]clock.Instant     // when a job's first task started
	faultsEndedAt      clock.Instant                // since when there are no troubles; never: there are
	waitingSince       map[string]clock.Instant     // since when a job waits though there is room for it
	lastWaitingCheck   clock.Instant
	onJobState         func(id string, state protocol.JobState) // is told what users are told for the first time
	acceptancesByEpoch map[uint64]int                           // jobs accepted under a policy, by epoch
	scenario           string                                   // what is tested, for the messages
	caughtViolations   map[string]int                           // by rule, instead of failing the test: to test the checker itself
	load               machineLoad                              // what runs, as of the last check
	helperMarked       bool                                     // the check is marked as a helper of the test
}

// machineLoad is what runs on the machines. It is made anew when a task begins or ends, and not
// at each step.
type machineLoad struct {
	valid         bool
	running       []runningTask     // by machine, in the order of their names
	machineByTask map[string]string // by task: its machine
	jobs          []jobLoad
	jobIndices    map[string]int     // of jobs, by id
	coresByTeam   map[string]float64 // by team
	gpusByTeam    map[string]float64 // the same, of accelerators
}

type runningTask struct {
	worker  *fakeWorker
	taskKey string
}

// jobLoad is how many tasks of a job run, and what each uses.
type jobLoad struct {
	id          string
	taskCount   int
	team        string
	cores, gpus float64
}

func newInvariantChecker() invariantChecker {
	return invariantChecker{submitted: map[string]bool{}, acceptedAt: map[string]clock.Instant{}, terminalStates: map[string]protocol.JobState{},
		terminalAt: map[string]clock.Instant{}, cancelRequested: map[string]bool{}, answeredAt: map[string]clock.Instant{},
		completedTasks: map[string]bool{}, firstStartAt: map[string]clock.Instant{}, load: newMachineLoad(), acceptancesByEpoch: map[uint64]int{}, faultsEndedAt: clock.Never, waitingSince: map[string]clock.Instant{}}
}

func newMachineLoad() machineLoad {
	return machineLoad{machineByTask: map[string]string{}, jobIndices: map[string]int{}, coresByTeam: map[string]float64{}, gpusByTeam: map[string]float64{}}
}

// broken reports that a rule is broken.
func (w *simulation) reportViolation(rule, format string, args ...any) {
	w.t.Helper()
	if w.caughtViolations != nil {
		w.caughtViolations[rule]++
		return
	}
	w.t.Fatalf("%s at %v: %s: %s", w.scenario, w.now, rule, fmt.Sprintf(format, args...))
}

// hears judges the answer to a user's request that was sent at some moment.
func (w *simulation) checkReply(r Request, node string, sent clock.Instant, reply Reply) {
	w.t.Helper()
	id := r.JobID
	accepted, known := w.acceptedAt[id]
	if reply.Status == 503 && reply.RetryAfter == 0 {
		w.reportViolation("silent wait", "%s of %s at %s: 503 without Retry-After", r.Kind, id, node)
	}
	if known && sent >= accepted &&
		(reply.Status == 404 || r.Kind == protocol.RequestSubmit && (reply.Status == 400 || reply.Status == 422)) {
		w.reportViolation("forgotten", "%s of %s at %s: %d", r.Kind, id, node, reply.Status)
	}
	if reply.Status != 200 && reply.Status != 201 {
		return
	}
	var status protocol.JobStatus
	if json.Unmarshal(reply.Body, &status) != nil {
		w.t.Fatalf("%s of %s: %s", r.Kind, id, reply.Body)
	}
	if !w.submitted[id] {
		w.reportViolation("invented", "%s of %s at %s: %s", r.Kind, id, node, status.State)
	}
	w.answeredAt[id] = w.now
	if !known {
		w.acceptedAt[id] = w.now
		w.notifyJobState(id, "accepted")
	}
	terminalState, terminal := w.terminalStates[id]
	endsJob := status.State == protocol.JobDone || status.State == protocol.JobCancelled
	switch {
	case terminal && status.State != terminalState && (endsJob || sent >= w.terminalAt[id]):
		w.reportViolation("went_back", "%s of %s at %s: %s after %s (asked at %v, told at %v)", r.Kind, id, node, status.State, terminalState, sent, w.terminalAt[id])
	case status.State == protocol.JobCancelled && !w.mayBeCancelled(id):
		w.reportViolation("went_back", "%s is cancelled, and nobody asked for it", id)
	case status.State == protocol.JobDone:
		for i := range w.jobSpecs[id].TaskCount {
			if !w.completedTasks[cluster.TaskKey(id, i)] {
				w.reportViolation("not_done", "%s is done, but %s is not", id, cluster.TaskKey(id, i))
				break
			}
		}
	}
	if since, orphan := w.cancelledAt(id); orphan && !terminal && sent > since+w.cancelLimit() && status.State != protocol.JobCancelled {
		w.reportViolation("orphaned", "%s is %s", id, status.State)
	}
	if endsJob && !terminal {
		w.terminalStates[id], w.terminalAt[id] = status.State, w.now
		w.notifyJobState(id, status.State)
	}
}

func (w *simulation) notifyJobState(id string, state protocol.JobState) {
	if w.onJobState != nil {
		w.onJobState(id, state)
	}
}

// mayBeCancelled tells whether a user has asked to cancel a job or one that it needs.
func (w *simulation) mayBeCancelled(id string) bool {
	return w.cancelRequested[id] || slices.ContainsFunc(w.jobSpecs[id].Dependencies, w.mayBeCancelled)
}

// cancelledAt is when users were first told that a job, or one that it needs, is cancelled;
// of the latter not before it was itself accepted.
func (w *simulation) cancelledAt(id string) (at clock.Instant, ok bool) {
	if w.terminalStates[id] == protocol.JobCancelled {
		at, ok = w.terminalAt[id], true
	}
	for _, need := range w.jobSpecs[id].Dependencies {
		since, is := w.cancelledAt(need)
		accepted, known := w.acceptedAt[id]
		if since = max(since, accepted); is && known && (!ok || since < at) {
			at, ok = since, true
		}
	}
	return at, ok
}

func (w *simulation) cancelLimit() time.Duration { return config.Seconds(w.cfg.Workers.CancelS) }

// check looks for a rule that is broken at this moment.
func (w *simulation) checkInvariants() {
	if !w.helperMarked {
		w.helperMarked = true // once is enough for a test, and it is slow
		w.t.Helper()
	}
	leaders := 0
	for _, n := range w.nodes {
		if n.leader != nil && !n.down && !n.paused && n.holdsLeaderLease() {
			leaders++
		}
	}
	if leaders > 1 {
		w.reportViolation("two leaders", "%d nodes have authority", leaders)
	}
	w.checkRunningTasks()
	if w.faultsEndedAt != clock.Never && w.now >= w.lastWaitingCheck+time.Second {
		w.lastWaitingCheck = w.now
		w.checkWaitingJobs(w.load.machineByTask, w.load.coresByTeam)
	}
}

// checkRunning looks for a rule that is broken by what runs on the machines. Where each task
// runs changes only with the list of those that run, and what teams use only with that list and
// the specifications of its jobs. Both are compared at each step, and the rest is judged at
// each step, as it depends on the time and on what users were told too, but once for each job.
func (w *simulation) checkRunningTasks() {
	load := &w.load
	same := w.runningTasksUnchanged()
	if !same {
		w.collectRunningTasks()
	}
	for i := range load.jobs {
		running := &load.jobs[i]
		j := w.jobSpecs[running.id]
		if running.team != j.Team || running.cores != j.Cores || running.gpus != j.Accelerators {
			running.team, running.cores, running.gpus = j.Team, j.Cores, j.Accelerators
			same = false
		}
		if since, cancelled := w.cancelledAt(running.id); cancelled && w.now > since+w.cancelLimit() {
			for _, t := range load.running {
				if jobIDOf(t.taskKey) == running.id {
					w.t.Helper()
					w.reportViolation("ran_cancelled", "%s is on %s, cancelled at %v (%s)", t.taskKey, t.worker.name, since, t.worker.describe())
				}
			}
		}
	}
	if !same {
		load.sumByTeam()
	}
	for _, team := range w.cfg.Teams {
		if team.MaxCPUs > 0 && load.coresByTeam[team.Name] > team.MaxCPUs || team.MaxGPUs > 0 && load.gpusByTeam[team.Name] > team.MaxGPUs {
			w.t.Helper()
			w.reportViolation("quota", "%s uses %v cores, %v accelerators", team.Name, load.coresByTeam[team.Name], load.gpusByTeam[team.Name])
		}
	}
}

// sum adds up what each team uses.
func (l *machineLoad) sumByTeam() {
	clear(l.coresByTeam)
	clear(l.gpusByTeam)
	for _, j := range l.jobs {
		for range j.taskCount {
			l.coresByTeam[j.team] += j.cores
			l.gpusByTeam[j.team] += j.gpus
		}
	}
}

// sameRunning tells whether the same tasks run on the same machines as at the last check.
func (w *simulation) runningTasksUnchanged() bool {
	if !w.load.valid {
		return false
	}
	rest := w.load.running
	for _, x := range w.sortedWorkers() {
		for _, t := range x.tasks {
			if t.state == protocol.TaskExited {
				continue
			}
			if len(rest) == 0 || rest[0].worker != x || rest[0].taskKey != t.taskKey {
				return false
			}
			rest = rest[1:]
		}
	}
	return len(rest) == 0
}

// countRunning lists what runs, and looks for tasks that run twice. While one does, the list
// is made anew at each step, so that it is found at each.
func (w *simulation) collectRunningTasks() {
	load := &w.load
	load.valid = true
	load.running, load.jobs = load.running[:0], load.jobs[:0]
	clear(load.machineByTask)
	clear(load.jobIndices)
	for _, x := range w.sortedWorkers() {
		for _, t := range x.tasks {
			if t.state == protocol.TaskExited {
				continue
			}
			load.running = append(load.running, runningTask{x, t.taskKey})
			if other, twice := load.machineByTask[t.taskKey]; twice {
				load.valid = false
				w.t.Helper()
				w.reportViolation("ran_twice", "%s is on %s and %s", t.taskKey, other, x.name)
			}
			load.machineByTask[t.taskKey] = x.name
			id := jobIDOf(t.taskKey)
			i, known := load.jobIndices[id]
			if !known {
				i = len(load.jobs)
				load.jobIndices[id] = i
				load.jobs = append(load.jobs, jobLoad{id: id})
			}
			load.jobs[i].taskCount++
		}
	}
}

// checkWaiting looks for jobs that wait, after all troubles, for 90 s though a machine
// that fits has room and their team is under its limit, and for jobs that have not begun
// after four minutes.
func (w *simulation) checkWaitingJobs(where map[string]string, cores map[string]float64) {
	w.t.Helper()
	for _, id := range slices.Sorted(maps.Keys(w.acceptedAt)) {
		if _, cancelled := w.cancelledAt(id); cancelled || w.terminalStates[id] != "" || w.mayBeCancelled(id) || w.failingJobs[id] {
			delete(w.waitingSince, id)
			continue
		}
		if !w.hasRoomFor(id, where, cores) {
			delete(w.waitingSince, id)
			continue
		}
		if w.waitingSince[id] == 0 {
			w.waitingSince[id] = w.now
		}
		if w.now > w.waitingSince[id]+90*time.Second {
			w.reportViolation("waits", "%s waits for 90 s beside a machine with room: %s", id, w.explainPending(id))
		}
		from := max(w.faultsEndedAt, w.acceptedAt[id])
		for _, need := range w.jobSpecs[id].Dependencies {
			from = max(from, w.terminalAt[need]) // times begin when all that it needs is done
		}
		if w.firstStartAt[id] == 0 && w.now > from+4*time.Minute {
			w.reportViolation("waits", "%s has not begun after four minutes: %s", id, w.explainPending(id))
		}
	}
}

// hasRoom tells whether a task of a job waits though it could run somewhere.
func (w *simulation) hasRoomFor(id string, where map[string]string, cores map[string]float64) bool {
	j := w.jobSpecs[id]
	if slices.ContainsFunc(j.Dependencies, func(need string) bool { return w.terminalStates[need] != protocol.JobDone }) {
		return false
	}
	waiting := false
	for i := range j.TaskCount {
		key := cluster.TaskKey(id, i)
		waiting = waiting || !w.completedTasks[key] && where[key] == ""
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
				used += w.jobSpecs[jobIDOf(t.taskKey)].Cores
			}
		}
		if x.preemptionNotice == nil && !x.faulty && used+j.Cores <= 4 && w.placementViolation(&j, x) == "" {
			return true
		}
	}
	return false
}

// misplaced tells why a job's next task may not start on a machine now, if so.
func (w *simulation) placementViolation(j *protocol.Job, x *fakeWorker) string {
	switch {
	case len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, x.machineType):
		return "type " + x.machineType
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
			if jobIDOf(t.taskKey) == j.ID && t.state != protocol.TaskExited {
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
func (w *simulation) checkTaskStart(x *fakeWorker, key string) {
	w.t.Helper()
	id := jobIDOf(key)
	j := w.jobSpecs[id]
	for _, need := range j.Dependencies {
		if w.terminalState(need) != protocol.JobDone {
			w.reportViolation("too_early", "%s, while the end of %s is %q", key, need, w.terminalState(need))
		}
	}
	if why := w.placementViolation(&j, x); why != "" {
		w.reportViolation("wrong_place", "%s starts on %s: %s", key, x.name, why)
	}
	if since, cancelled := w.cancelledAt(id); cancelled && w.now > since+4*time.Second {
		w.reportViolation("started after its cancellation", "%s, cancelled at %v", key, since)
	}
	if w.firstStartAt[id] == 0 {
		w.firstStartAt[id] = w.now
	}
}

func (x *fakeWorker) describe() string {
	return fmt.Sprintf("session %d, token %d, reports to %s, hanging %v, silent %v, deaf %v", x.epoch, x.fencingToken, x.node, x.hung, x.unreachable, x.dropResponses)
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
			&fakeTask{taskKey: key, attempt: attempt, state: protocol.TaskRunning, endsAt: w.now + time.Hour})
	}
	start := func(w *simulation, name, key string) {
		w.workers[name].executeCommand(protocol.Command{Kind: protocol.CommandStart, TaskID: key, Attempt: 99})
	}
	for rule, breaks := range map[string]func(w *simulation){
		"forgotten":  func(w *simulation) { w.checkReply(query, "n0", w.now, Reply{Status: 404}) },
		"forgotten ": func(w *simulation) { w.checkReply(submit, "n0", w.now, Reply{Status: 422}) },
		"invented": func(w *simulation) {
			w.checkReply(Request{Kind: protocol.RequestQuery, JobID: "j-x"}, "n0", w.now, state(protocol.JobQueued))
		},
		"went_back": func(w *simulation) {
			w.terminalStates["j-1"], w.terminalAt["j-1"] = protocol.JobCancelled, w.now
			w.checkReply(query, "n0", w.now, state(protocol.JobRunning))
		},
		"went_back ":  func(w *simulation) { w.checkReply(query, "n0", w.now, state(protocol.JobCancelled)) },
		"not_done":    func(w *simulation) { w.checkReply(query, "n0", w.now, state(protocol.JobDone)) },
		"silent wait": func(w *simulation) { w.checkReply(query, "n0", w.now, Reply{Status: 503}) },
		"orphaned": func(w *simulation) {
			j := w.jobSpecs["j-1"]
			j.Dependencies = []string{"j-0"}
			w.jobSpecs["j-1"] = j
			w.terminalStates["j-0"], w.terminalAt["j-0"] = protocol.JobCancelled, w.now-time.Minute
			w.acceptedAt["j-1"] -= time.Minute
			w.checkReply(query, "n0", w.now, state(protocol.JobQueued))
		},
		"ran_twice": func(w *simulation) {
			put(w, "m-000001", "j-1/0", 1)
			put(w, "m-000002", "j-1/0", 2)
			w.checkInvariants()
		},
		"quota": func(w *simulation) {
			j := jobSpec("j-2", 17)
			j.Team = "team"
			w.jobSpecs["j-2"] = j
			for i := range 17 {
				put(w, "m-000001", cluster.TaskKey("j-2", i), 1)
			}
			w.checkInvariants()
		},
		"ran_cancelled": func(w *simulation) {
			w.terminalStates["j-1"], w.terminalAt["j-1"] = protocol.JobCancelled, w.now-w.cancelLimit()-time.Second
			put(w, "m-000001", "j-1/0", 1)
			w.checkInvariants()
		},
		"started after its cancellation": func(w *simulation) {
			w.terminalStates["j-1"], w.terminalAt["j-1"] = protocol.JobCancelled, w.now-5*time.Second
			start(w, "m-000001", "j-1/0")
		},
		"too_early": func(w *simulation) {
			j := dependentSpec("j-2", 1, "j-1")
			w.jobSpecs["j-2"] = j
			start(w, "m-000001", "j-2/0")
		},
		"wrong_place": func(w *simulation) {
			j := jobSpec("j-2", 1)
			j.SpotAllowed = false
			w.jobSpecs["j-2"] = j
			start(w, "m-000001", "j-2/0")
		},
		"wrong_place ": func(w *simulation) {
			j := jobSpec("j-2", 2)
			j.SameZone = true
			w.jobSpecs["j-2"] = j
			start(w, "m-000001", "j-2/0")
			start(w, "m-000002", "j-2/1")
		},
		"two leaders": func(w *simulation) {
			for _, n := range w.nodes {
				if n.leader == nil {
					forceLeadership(n.Node, 99)
				}
			}
			w.checkInvariants()
		},
		"forgotten  ": func(w *simulation) {
			for _, n := range w.nodes {
				n.down = true
			}
			w.advance(time.Second)
			(newUserSimulation(w, 1)).markFaultsEnded()
			w.advance(76 * time.Second)
		},
		"waits ": func(w *simulation) {
			w.cloud.noSpot = true
			w.acceptedAt["j-2"], w.jobSpecs["j-2"], w.faultsEndedAt = w.now, dependentSpec("j-2", 1), w.now
			for i := range 8 {
				put(w, fmt.Sprintf("m-%06d", i%2+1), fmt.Sprintf("j-1/%d", i+1), 1) // no room
			}
			w.advance(4*time.Minute + 2*time.Second)
		},
		"waits": func(w *simulation) {
			for _, n := range w.nodes {
				n.down = true
			}
			w.acceptedAt["j-2"], w.jobSpecs["j-2"], w.faultsEndedAt = w.now, jobSpec("j-2", 1), w.now
			w.advance(92 * time.Second)
		},
	} {
		t.Run(rule, func(t *testing.T) {
			w := newSimulation(t, 3)
			w.taskDuration = func(string, int) time.Duration { return time.Hour }
			l := w.waitForLeader()
			w.startMachines(2)
			w.submit(l.name, jobSpec("j-1", 1))
			w.caughtViolations = map[string]int{}
			breaks(w)
			if rule = strings.TrimSpace(rule); w.caughtViolations[rule] == 0 {
				t.Fatalf("not caught: %v", w.caughtViolations)
			}
		})
	}
}

// checkPolicy judges a transaction that is about to be carried out: no job is accepted that
// the policy in force does not admit, unless its writer knows of no policies.
func (w *simulation) checkAdmissionPolicy(t storage.Txn) {
	w.t.Helper()
	record, exists := w.store.keys[storage.AdmissionPolicyKey]
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
		w.acceptancesByEpoch[policy.Epoch]++
		if !policy.Evaluate(admissioncontrol.GroupOf(&job.Spec), job.Spec.ID).Admit {
			w.reportViolation("policy", "%s is accepted in epoch %d", job.Spec.ID, policy.Epoch)
		}
	}
}
