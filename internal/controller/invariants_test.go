package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/admissioncontrol"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// invariantChecker is the part of the simulation that checks the invariants. It observes every
// reply that a user gets, from any node and by any route, and every task on every machine. Replies
// must follow the real-time order: a query that is sent after a reply has arrived must not get an
// older state, not even milliseconds later from another node.
type invariantChecker struct {
	submitted          map[string]bool              // jobs that users have submitted
	acceptedAt         map[string]clock.Instant     // time of the first reply that reports acceptance, by job
	terminalStates     map[string]protocol.JobState // terminal states in replies, by job
	terminalAt         map[string]clock.Instant     // time of the first reply with a terminal state, by job
	cancelRequested    map[string]bool              // jobs for which a user has sent a cancellation
	lastReplyAt        map[string]clock.Instant     // time of the last successful reply, by job
	completedTasks     map[string]bool              // keys of tasks that have completed on some machine
	firstStartAt       map[string]clock.Instant     // time of the first task start, by job
	startedAttempts    map[startedAttempt]bool      // attempts whose start commands machines have carried out
	faultsEndedAt      clock.Instant                // clock.Never while there are faults
	waitingSince       map[string]clock.Instant     // since when a job is pending although there is room for it
	lastWaitingCheck   clock.Instant
	onJobState         func(id string, state protocol.JobState) // called when a reply first says accepted or ended
	acceptancesByEpoch map[uint64]int                           // accepted jobs, by epoch of the admission policy
	scenario           string                                   // the test case, for failure messages
	caughtViolations   map[string]int                           // counts by rule while the checker is tested, else nil
	load               machineLoad                              // running tasks as of the last check
	helperMarked       bool                                     // checkInvariants has called t.Helper
}

// startedAttempt is a task attempt on a machine. A machine loses its tasks with each epoch of its worker.
type startedAttempt struct {
	machine, taskKey string
	epoch, attempt   uint64
}

// machineLoad lists the tasks that run on the machines, and what they use. It is rebuilt when a task
// starts or ends, and not at each step.
type machineLoad struct {
	valid         bool
	running       []runningTask     // in order of machine names
	machineByTask map[string]string // machine names, by task key
	jobs          []jobLoad
	jobIndices    map[string]int     // index into jobs, by job id
	coresByTeam   map[string]float64 // cores in use
	gpusByTeam    map[string]float64 // accelerators in use
}

type runningTask struct {
	worker  *fakeWorker
	taskKey string
}

// jobLoad is the number of running tasks of a job, and what each of them uses.
type jobLoad struct {
	id          string
	taskCount   int
	team        string
	cores, gpus float64
}

func newInvariantChecker() invariantChecker {
	return invariantChecker{submitted: map[string]bool{}, acceptedAt: map[string]clock.Instant{},
		terminalStates: map[string]protocol.JobState{},
		terminalAt:     map[string]clock.Instant{}, cancelRequested: map[string]bool{},
		lastReplyAt:    map[string]clock.Instant{},
		completedTasks: map[string]bool{}, firstStartAt: map[string]clock.Instant{}, load: newMachineLoad(),
		startedAttempts:    map[startedAttempt]bool{},
		acceptancesByEpoch: map[uint64]int{}, faultsEndedAt: clock.Never, waitingSince: map[string]clock.Instant{}}
}

func newMachineLoad() machineLoad {
	return machineLoad{machineByTask: map[string]string{}, jobIndices: map[string]int{},
		coresByTeam: map[string]float64{}, gpusByTeam: map[string]float64{}}
}

// reportViolation fails the test, or counts the violation if the checker itself is tested. Rules
// whose names need an explanation are:
//
//   - forgotten: a reply reports an accepted job as unknown or rejected, or its queries get no reply
//   - invented: a job that was never submitted has a state
//   - went_back: a terminal state changes, or a job is cancelled without a request
//   - not_done: a job is reported as done before all its tasks have completed
//   - orphaned: a job is still open when the limit after the cancellation of a dependency has passed
//   - ran_twice: a task runs on two machines
//   - started again: a machine carries out the start command of an attempt that has ended there
//   - ran_cancelled: a task of a cancelled job still runs when the limit has passed
//   - too_early: a task starts before the dependencies of its job are done
//   - wrong_place: a task starts on a machine that its job does not allow
//   - quota: a team uses more than its quota
//   - waits: a job is not started although there is room for it
func (sim *simulation) reportViolation(rule, format string, args ...any) {
	sim.t.Helper()
	if sim.caughtViolations != nil {
		sim.caughtViolations[rule]++
		return
	}
	sim.t.Fatalf("%s at %v: %s: %s", sim.scenario, sim.now, rule, fmt.Sprintf(format, args...))
}

// checkReply checks the reply to a user's request that was sent at the given time.
func (sim *simulation) checkReply(r Request, node string, sentAt clock.Instant, reply Reply) {
	sim.t.Helper()
	id := r.JobID
	acceptedAt, known := sim.acceptedAt[id]
	if reply.Status == 503 && reply.RetryAfter == 0 {
		sim.reportViolation("no Retry-After", "%s of %s at %s: 503 without Retry-After", r.Kind, id, node)
	}
	if known && sentAt >= acceptedAt &&
		(reply.Status == 404 || r.Kind == protocol.RequestSubmit && (reply.Status == 400 || reply.Status == 422)) {
		sim.reportViolation("forgotten", "%s of %s at %s: status %d for an accepted job", r.Kind, id, node,
			reply.Status)
	}
	if reply.Status != 200 && reply.Status != 201 {
		return
	}
	var status protocol.JobStatus
	if json.Unmarshal(reply.Body, &status) != nil {
		sim.t.Fatalf("%s of %s: the reply %q is not a job status", r.Kind, id, reply.Body)
	}
	if !sim.submitted[id] {
		sim.reportViolation("invented", "%s of %s at %s: state %q of a job that was not submitted", r.Kind, id, node,
			status.State)
	}
	sim.lastReplyAt[id] = sim.now
	if !known {
		sim.acceptedAt[id] = sim.now
		sim.notifyJobState(id, "accepted")
	}
	terminalState, terminal := sim.terminalStates[id]
	endsJob := status.State == protocol.JobDone || status.State == protocol.JobCancelled
	switch {
	case terminal && status.State != terminalState && (endsJob || sentAt >= sim.terminalAt[id]):
		sim.reportViolation("went_back", "%s of %s at %s: state %q after %q (request sent at %v, earlier reply at %v)",
			r.Kind, id, node, status.State, terminalState, sentAt, sim.terminalAt[id])
	case status.State == protocol.JobCancelled && !sim.mayBeCancelled(id):
		sim.reportViolation("went_back", "%s is cancelled, but no user has cancelled it or a dependency", id)
	case status.State == protocol.JobDone:
		for i := range sim.jobSpecs[id].TaskCount {
			if !sim.completedTasks[cluster.TaskKey(id, i)] {
				sim.reportViolation("not_done", "%s is reported as done, but task %s has not completed", id,
					cluster.TaskKey(id, i))
				break
			}
		}
	}
	if since, cancelled := sim.cancelledAt(id); cancelled && !terminal && sentAt > since+sim.cancelLimit() &&
		status.State != protocol.JobCancelled {
		sim.reportViolation("orphaned", "%s is still %q after a dependency was cancelled", id, status.State)
	}
	if endsJob && !terminal {
		sim.terminalStates[id], sim.terminalAt[id] = status.State, sim.now
		sim.notifyJobState(id, status.State)
	}
}

// notifyJobState calls the test's onJobState function, if there is one.
func (sim *simulation) notifyJobState(id string, state protocol.JobState) {
	if sim.onJobState != nil {
		sim.onJobState(id, state)
	}
}

// mayBeCancelled reports whether a user has sent a cancellation of a job or of one of its
// dependencies.
func (sim *simulation) mayBeCancelled(id string) bool {
	return sim.cancelRequested[id] || slices.ContainsFunc(sim.jobSpecs[id].Dependencies, sim.mayBeCancelled)
}

// cancelledAt returns the time of the first reply which reports that a job, or one of its
// dependencies, is cancelled. A cancellation of a dependency counts from the acceptance of the job at
// the earliest.
func (sim *simulation) cancelledAt(id string) (at clock.Instant, ok bool) {
	if sim.terminalStates[id] == protocol.JobCancelled {
		at, ok = sim.terminalAt[id], true
	}
	for _, dependency := range sim.jobSpecs[id].Dependencies {
		since, cancelled := sim.cancelledAt(dependency)
		acceptedAt, known := sim.acceptedAt[id]
		if since = max(since, acceptedAt); cancelled && known && (!ok || since < at) {
			at, ok = since, true
		}
	}
	return at, ok
}

// cancelLimit returns the time within which the tasks of a cancelled job must end.
func (sim *simulation) cancelLimit() time.Duration { return config.Seconds(sim.cfg.Workers.CancelS) }

// checkInvariants checks at each step that at most one node leads, and the invariants of running and
// pending tasks.
func (sim *simulation) checkInvariants() {
	if !sim.helperMarked {
		sim.helperMarked = true // one call is enough for a test, and calls are slow
		sim.t.Helper()
	}
	leaders := 0
	for _, n := range sim.nodes {
		if n.leader != nil && !n.down && !n.paused && n.holdsLeaderLease() {
			leaders++
		}
	}
	if leaders > 1 {
		sim.reportViolation("two leaders", "%d nodes hold the leader lease, want at most one", leaders)
	}
	sim.checkRunningTasks()
	if sim.faultsEndedAt != clock.Never && sim.now >= sim.lastWaitingCheck+time.Second {
		sim.lastWaitingCheck = sim.now
		sim.checkWaitingJobs(sim.load.machineByTask, sim.load.coresByTeam)
	}
}

// checkRunningTasks checks the invariants of running tasks. The machine of each task changes only with
// the list of running tasks, and the usage of teams only with that list and the specifications of its
// jobs, so that both are recomputed only after such a change. The other checks depend on the time and
// on replies as well; they are made at each step, once for each job.
func (sim *simulation) checkRunningTasks() {
	load := &sim.load
	unchanged := sim.runningTasksUnchanged()
	if !unchanged {
		sim.collectRunningTasks()
	}
	for i := range load.jobs {
		usage := &load.jobs[i]
		job := sim.jobSpecs[usage.id]
		if usage.team != job.Team || usage.cores != job.Cores || usage.gpus != job.Accelerators {
			usage.team, usage.cores, usage.gpus = job.Team, job.Cores, job.Accelerators
			unchanged = false
		}
		if since, cancelled := sim.cancelledAt(usage.id); cancelled && sim.now > since+sim.cancelLimit() {
			for _, task := range load.running {
				if jobIDOf(task.taskKey) == usage.id {
					sim.t.Helper()
					sim.reportViolation("ran_cancelled", "%s still runs on %s, its job was cancelled at %v (%s)",
						task.taskKey, task.worker.name, since, task.worker.describe())
				}
			}
		}
	}
	if !unchanged {
		load.sumByTeam()
	}
	for _, team := range sim.cfg.Teams {
		if team.MaxCPUs > 0 && load.coresByTeam[team.Name] > team.MaxCPUs ||
			team.MaxGPUs > 0 && load.gpusByTeam[team.Name] > team.MaxGPUs {
			sim.t.Helper()
			sim.reportViolation("quota", "team %s exceeds its quota with %v cores and %v accelerators", team.Name,
				load.coresByTeam[team.Name], load.gpusByTeam[team.Name])
		}
	}
}

// sumByTeam computes the cores and accelerators that the tasks of each team use.
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

// runningTasksUnchanged reports whether the same tasks run on the same machines as at the last check.
func (sim *simulation) runningTasksUnchanged() bool {
	if !sim.load.valid {
		return false
	}
	remaining := sim.load.running
	for _, worker := range sim.sortedWorkers() {
		for _, task := range worker.tasks {
			if task.state == protocol.TaskExited {
				continue
			}
			if len(remaining) == 0 || remaining[0].worker != worker || remaining[0].taskKey != task.taskKey {
				return false
			}
			remaining = remaining[1:]
		}
	}
	return len(remaining) == 0
}

// collectRunningTasks lists the running tasks and checks that none runs twice. While one does, the
// list is rebuilt at each step, so that each step reports it.
func (sim *simulation) collectRunningTasks() {
	load := &sim.load
	load.valid = true
	load.running, load.jobs = load.running[:0], load.jobs[:0]
	clear(load.machineByTask)
	clear(load.jobIndices)
	for _, worker := range sim.sortedWorkers() {
		for _, task := range worker.tasks {
			if task.state == protocol.TaskExited {
				continue
			}
			load.running = append(load.running, runningTask{worker, task.taskKey})
			if other, duplicate := load.machineByTask[task.taskKey]; duplicate {
				load.valid = false
				sim.t.Helper()
				sim.reportViolation("ran_twice", "%s runs on %s and on %s", task.taskKey, other, worker.name)
			}
			load.machineByTask[task.taskKey] = worker.name
			id := jobIDOf(task.taskKey)
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

// checkWaitingJobs checks, after the faults have ended, that no job is pending for 90 s although a
// machine that fits has room and the team is within its quota, and that every job for which there is
// room starts within four minutes.
func (sim *simulation) checkWaitingJobs(machineByTask map[string]string, coresByTeam map[string]float64) {
	sim.t.Helper()
	for _, id := range slices.Sorted(maps.Keys(sim.acceptedAt)) {
		if _, cancelled := sim.cancelledAt(id); cancelled || sim.terminalStates[id] != "" ||
			sim.mayBeCancelled(id) || sim.failingJobs[id] {
			delete(sim.waitingSince, id)
			continue
		}
		if !sim.hasRoomFor(id, machineByTask, coresByTeam) {
			delete(sim.waitingSince, id)
			continue
		}
		if sim.waitingSince[id] == 0 {
			sim.waitingSince[id] = sim.now
		}
		if sim.now > sim.waitingSince[id]+90*time.Second {
			sim.reportViolation("waits", "%s is pending for 90 s although a machine has room: %s", id,
				sim.explainPending(id))
		}
		// The time counts from the last of the end of the faults, the acceptance and the end of each dependency.
		eligibleAt := max(sim.faultsEndedAt, sim.acceptedAt[id])
		for _, dependency := range sim.jobSpecs[id].Dependencies {
			eligibleAt = max(eligibleAt, sim.terminalAt[dependency])
		}
		if sim.firstStartAt[id] == 0 && sim.now > eligibleAt+4*time.Minute {
			sim.reportViolation("waits", "%s has not started after four minutes: %s", id, sim.explainPending(id))
		}
	}
}

// hasRoomFor reports whether a job has a pending task that some machine and the quota have room for.
func (sim *simulation) hasRoomFor(id string, machineByTask map[string]string, coresByTeam map[string]float64) bool {
	job := sim.jobSpecs[id]
	if slices.ContainsFunc(job.Dependencies,
		func(dependency string) bool { return sim.terminalStates[dependency] != protocol.JobDone }) {
		return false
	}
	hasPendingTask := false
	for i := range job.TaskCount {
		key := cluster.TaskKey(id, i)
		hasPendingTask = hasPendingTask || !sim.completedTasks[key] && machineByTask[key] == ""
	}
	for _, team := range sim.cfg.Teams {
		if team.Name == job.Team && team.MaxCPUs > 0 && coresByTeam[team.Name]+job.Cores > team.MaxCPUs {
			return false
		}
	}
	if !hasPendingTask {
		return false
	}
	for _, worker := range sim.workers {
		usedCores := 0.0
		for _, task := range worker.tasks {
			if task.state != protocol.TaskExited {
				usedCores += sim.jobSpecs[jobIDOf(task.taskKey)].Cores
			}
		}
		if worker.preemptionNotice == nil && !worker.faulty && usedCores+job.Cores <= 4 &&
			sim.placementViolation(&job, worker) == "" {
			return true
		}
	}
	return false
}

// placementViolation returns why the next task of a job may not start on a machine now, or "".
func (sim *simulation) placementViolation(job *protocol.Job, worker *fakeWorker) string {
	switch {
	case job.MachineTypes != nil && !slices.Contains(job.MachineTypes, worker.machineType):
		return "machine type " + worker.machineType
	case job.Zone != "" && job.Zone != worker.zone:
		return "zone " + worker.zone
	case !job.SpotAllowed && worker.spot:
		return "spot machine"
	}
	if !job.SameZone && !job.Spread {
		return ""
	}
	inSameZone, inOtherZones := 0, 0
	for _, other := range sim.workers {
		for _, task := range other.tasks {
			if jobIDOf(task.taskKey) == job.ID && task.state != protocol.TaskExited {
				if other.zone == worker.zone {
					inSameZone++
				} else {
					inOtherZones++
				}
			}
		}
	}
	switch {
	case job.SameZone && inOtherZones > 0:
		return "other tasks run in another zone"
	case job.Spread && inSameZone+1 > (job.TaskCount+1)/2:
		return "more than half of the tasks in one zone"
	}
	return ""
}

// checkStartCommand checks that a machine carries out a start command for the first time.
func (sim *simulation) checkStartCommand(worker *fakeWorker, command protocol.Command) {
	sim.t.Helper()
	started := startedAttempt{worker.name, command.TaskID, worker.epoch, command.Attempt}
	if sim.startedAttempts[started] {
		sim.reportViolation("started again", "attempt %d of %s on %s", command.Attempt, command.TaskID, worker.name)
	}
	sim.startedAttempts[started] = true
}

// checkTaskStart checks the start of a task on a machine. A response to a heartbeat takes at most
// four seconds. If a task starts later than that after the confirmation of a cancellation, its start
// command was therefore sent after the confirmation.
func (sim *simulation) checkTaskStart(worker *fakeWorker, key string) {
	sim.t.Helper()
	id := jobIDOf(key)
	job := sim.jobSpecs[id]
	for _, dependency := range job.Dependencies {
		if sim.terminalState(dependency) != protocol.JobDone {
			sim.reportViolation("too_early", "%s starts while its dependency %s has the terminal state %q", key,
				dependency, sim.terminalState(dependency))
		}
	}
	if reason := sim.placementViolation(&job, worker); reason != "" {
		sim.reportViolation("wrong_place", "%s starts on %s: %s", key, worker.name, reason)
	}
	if since, cancelled := sim.cancelledAt(id); cancelled && sim.now > since+4*time.Second {
		sim.reportViolation("started after its cancellation", "%s starts although its job was cancelled at %v", key,
			since)
	}
	if sim.firstStartAt[id] == 0 {
		sim.firstStartAt[id] = sim.now
	}
}

// describe returns the worker's state and faults, for failure messages.
func (worker *fakeWorker) describe() string {
	return fmt.Sprintf("epoch %d, fencing token %d, node %s, hung %v, unreachable %v, drops responses %v",
		worker.epoch, worker.fencingToken, worker.node, worker.hung, worker.unreachable, worker.dropResponses)
}

// TestInvariantCheckerFindsEachViolation checks that the invariant checker can fail. Each rule is
// violated by a reply that no node sends, or by a task that no leader started. Trailing blanks
// distinguish the cases of one rule.
func TestInvariantCheckerFindsEachViolation(t *testing.T) {
	replyWith := func(s protocol.JobState) Reply {
		return Reply{Status: 200, Body: []byte(`{"uid":"j-1","situacao":"` + s + `"}`)}
	}
	query, submit := Request{Kind: protocol.RequestQuery, JobID: "j-1"}, Request{Kind: protocol.RequestSubmit,
		JobID: "j-1"}
	addTask := func(sim *simulation, name, key string, attempt uint64) {
		sim.workers[name].tasks = append(sim.workers[name].tasks,
			&fakeTask{taskKey: key, attempt: attempt, state: protocol.TaskRunning, endsAt: sim.now + time.Hour})
	}
	startTask := func(sim *simulation, name, key string) {
		sim.workers[name].executeCommand(protocol.Command{Kind: protocol.CommandStart, TaskID: key, Attempt: 99})
	}
	for rule, violate := range map[string]func(sim *simulation){
		"forgotten":  func(sim *simulation) { sim.checkReply(query, "n0", sim.now, Reply{Status: 404}) },
		"forgotten ": func(sim *simulation) { sim.checkReply(submit, "n0", sim.now, Reply{Status: 422}) },
		"invented": func(sim *simulation) {
			sim.checkReply(Request{Kind: protocol.RequestQuery, JobID: "j-x"}, "n0", sim.now, replyWith(protocol.JobQueued))
		},
		"went_back": func(sim *simulation) {
			sim.terminalStates["j-1"], sim.terminalAt["j-1"] = protocol.JobCancelled, sim.now
			sim.checkReply(query, "n0", sim.now, replyWith(protocol.JobRunning))
		},
		"went_back ":     func(sim *simulation) { sim.checkReply(query, "n0", sim.now, replyWith(protocol.JobCancelled)) },
		"not_done":       func(sim *simulation) { sim.checkReply(query, "n0", sim.now, replyWith(protocol.JobDone)) },
		"no Retry-After": func(sim *simulation) { sim.checkReply(query, "n0", sim.now, Reply{Status: 503}) },
		"orphaned": func(sim *simulation) {
			job := sim.jobSpecs["j-1"]
			job.Dependencies = []string{"j-0"}
			sim.jobSpecs["j-1"] = job
			sim.terminalStates["j-0"], sim.terminalAt["j-0"] = protocol.JobCancelled, sim.now-time.Minute
			sim.acceptedAt["j-1"] -= time.Minute
			sim.checkReply(query, "n0", sim.now, replyWith(protocol.JobQueued))
		},
		"ran_twice": func(sim *simulation) {
			addTask(sim, "m-000001", "j-1/0", 1)
			addTask(sim, "m-000002", "j-1/0", 2)
			sim.checkInvariants()
		},
		"quota": func(sim *simulation) {
			job := jobSpec("j-2", 17)
			job.Team = "team"
			sim.jobSpecs["j-2"] = job
			for i := range 17 {
				addTask(sim, "m-000001", cluster.TaskKey("j-2", i), 1)
			}
			sim.checkInvariants()
		},
		"ran_cancelled": func(sim *simulation) {
			sim.terminalStates["j-1"], sim.terminalAt["j-1"] = protocol.JobCancelled, sim.now-sim.cancelLimit()-time.Second
			addTask(sim, "m-000001", "j-1/0", 1)
			sim.checkInvariants()
		},
		"started after its cancellation": func(sim *simulation) {
			sim.terminalStates["j-1"], sim.terminalAt["j-1"] = protocol.JobCancelled, sim.now-5*time.Second
			startTask(sim, "m-000001", "j-1/0")
		},
		"started again": func(sim *simulation) {
			startTask(sim, "m-000001", "j-1/0")
			sim.workers["m-000001"].executeCommand(
				protocol.Command{Kind: protocol.CommandForget, TaskID: "j-1/0", Attempt: 99})
			startTask(sim, "m-000001", "j-1/0")
		},
		"too_early": func(sim *simulation) {
			job := dependentSpec("j-2", 1, "j-1")
			sim.jobSpecs["j-2"] = job
			startTask(sim, "m-000001", "j-2/0")
		},
		"wrong_place": func(sim *simulation) {
			job := jobSpec("j-2", 1)
			job.SpotAllowed = false
			sim.jobSpecs["j-2"] = job
			startTask(sim, "m-000001", "j-2/0")
		},
		"wrong_place  ": func(sim *simulation) {
			job := jobSpec("j-2", 1)
			job.MachineTypes = []string{}
			sim.jobSpecs["j-2"] = job
			startTask(sim, "m-000001", "j-2/0")
		},
		"wrong_place ": func(sim *simulation) {
			job := jobSpec("j-2", 2)
			job.SameZone = true
			sim.jobSpecs["j-2"] = job
			startTask(sim, "m-000001", "j-2/0")
			startTask(sim, "m-000002", "j-2/1")
		},
		"two leaders": func(sim *simulation) {
			for _, n := range sim.nodes {
				if n.leader == nil {
					forceLeadership(n.Node, 99)
				}
			}
			sim.checkInvariants()
		},
		"forgotten  ": func(sim *simulation) {
			for _, n := range sim.nodes {
				n.down = true
			}
			sim.advance(time.Second)
			(newUserSimulation(sim, 1)).markFaultsEnded()
			sim.advance(76 * time.Second)
		},
		"waits ": func(sim *simulation) {
			sim.cloud.noSpot = true
			sim.acceptedAt["j-2"], sim.jobSpecs["j-2"], sim.faultsEndedAt = sim.now, dependentSpec("j-2", 1), sim.now
			for i := range 8 {
				addTask(sim, fmt.Sprintf("m-%06d", i%2+1), fmt.Sprintf("j-1/%d", i+1), 1) // fills both machines
			}
			sim.advance(4*time.Minute + 2*time.Second)
		},
		"waits": func(sim *simulation) {
			for _, n := range sim.nodes {
				n.down = true
			}
			sim.acceptedAt["j-2"], sim.jobSpecs["j-2"], sim.faultsEndedAt = sim.now, jobSpec("j-2", 1), sim.now
			sim.advance(92 * time.Second)
		},
	} {
		t.Run(rule, func(t *testing.T) {
			sim := newSimulation(t, 3)
			sim.taskDuration = func(string, int) time.Duration { return time.Hour }
			leaderNode := sim.waitForLeader()
			sim.startMachines(2)
			sim.submit(leaderNode.name, jobSpec("j-1", 1))
			sim.caughtViolations = map[string]int{}
			violate(sim)
			if rule = strings.TrimSpace(rule); sim.caughtViolations[rule] == 0 {
				t.Fatalf("the violation was not reported; reported rules: %v", sim.caughtViolations)
			}
		})
	}
}

// checkAdmissionPolicy checks before a transaction is executed that it accepts no job that the stored
// admission policy does not admit. Writers that do not support policies make no condition on the
// policy's key, and their transactions are not checked.
func (sim *simulation) checkAdmissionPolicy(t storage.Txn) {
	sim.t.Helper()
	record, exists := sim.store.keys[storage.AdmissionPolicyKey]
	if !exists || !slices.ContainsFunc(t.Conditions,
		func(c storage.Condition) bool { return c.Key == storage.AdmissionPolicyKey }) {
		return
	}
	policy := &admission.Policy{}
	if json.Unmarshal(record.Value, policy) != nil {
		policy = &admission.Policy{DefaultShare: admission.Share{Steps: []uint64{0}}} // admits no job
	}
	for _, write := range t.Writes {
		var job storage.JobRecord
		if !strings.HasPrefix(write.PutKey, storage.JobPrefix) || json.Unmarshal(write.Value, &job) != nil {
			continue
		}
		sim.acceptancesByEpoch[policy.Epoch]++
		if !policy.Evaluate(admissioncontrol.GroupOf(&job.Spec), job.Spec.ID).Admit {
			sim.reportViolation("policy", "%s is accepted in policy epoch %d, whose policy does not admit it",
				job.Spec.ID, policy.Epoch)
		}
	}
}
