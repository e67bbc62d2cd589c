package history

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hitchdoor/internal/protocol"
)

// Limits are the bounds that the protocol sets.
type Limits struct {
	Answer   time.Duration // longest time without an answer about a job after the faults
	Cancel   time.Duration // time from the confirmation of a cancellation until all tasks are gone
	LateDone time.Duration // time from the end of a job's last task until its user hears that it is done
	Waiting  time.Duration // longest time that a job waits after the faults while a machine has room
	Unused   time.Duration // longest time that a machine is rented without being served, at the end
	MemoryMB float64       // memory limit of a controller

	CoresPerMachine int // each task takes one core
}

// Violation is a guarantee that the cluster has not kept.
type Violation struct {
	At     time.Duration
	Rule   string
	Detail string
}

// String returns the violation as a line of a report.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s  %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Rules, as violations name them.
const (
	RuleDenied       = "accepted job denied"
	RuleOlderAnswer  = "older answer"
	RuleUnrequested  = "cancelled without a request"
	RuleEarlyDone    = "done before every task has completed"
	RuleLateDone     = "done is reported late"
	RuleStart        = "start after a confirmed cancellation"
	RuleCancelled    = "cancelled task goes on"
	RuleDuplicate    = "task runs twice at once"
	RuleToken        = "command under an older token"
	RuleUnanswered   = "no answer about a job"
	RuleWaiting      = "job waits while a machine has room"
	RuleUnused       = "machine rented, not used and not returned"
	RuleExit         = "controller ended by itself"
	RuleMemory       = "controller over its memory limit"
	RuleInvariantLog = "controller logged a violated invariant"
)

// jobHistory is what is known of a job up to some time.
type jobHistory struct {
	taskCount       int
	cancelRequested bool
	accepted        bool
	acceptedAt      time.Duration
	finalState      protocol.JobState // state that a user was told first, if it is terminal
	finalAt         time.Duration
	completed       map[string]bool // tasks
	completedAt     time.Duration   // when the last task completed; valid if all have
	running         int             // tasks on machines
	idleSince       time.Duration   // since when no task is on a machine
	lastAnswerAt    time.Duration
}

// allCompleted reports whether every task has completed.
func (j *jobHistory) allCompleted() bool { return j.taskCount > 0 && len(j.completed) == j.taskCount }

// attempt identifies a task on a machine.
type attempt struct {
	task, machine string
	number        uint64
}

// machineHistory is what is known of a machine up to some time.
type machineHistory struct {
	rentedAt, servedAt time.Duration
	tasks              int
}

// checker replays a history.
type checker struct {
	limits        Limits
	jobs          map[string]*jobHistory
	machines      map[string]*machineHistory
	running       map[attempt]bool
	copies        map[string]int // machines that run a task, by task
	faultsEndedAt time.Duration  // negative until the faults have ended
	roomSince     time.Duration  // since when some machine has had room; negative: none has
	violations    []Violation
}

// newChecker returns a checker that has seen no events.
func newChecker(limits Limits) *checker {
	return &checker{limits: limits, jobs: map[string]*jobHistory{}, machines: map[string]*machineHistory{},
		running: map[attempt]bool{}, copies: map[string]int{}, faultsEndedAt: -1, roomSince: -1}
}

// Check returns the violations in a history, in the order of their times. end is when the run ended.
func Check(events []Event, end time.Duration, limits Limits) []Violation {
	c := newChecker(limits)
	for _, event := range events {
		c.apply(event)
	}
	c.checkEnd(end)
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return int(a.At - b.At) })
	return c.violations
}

// report adds a violation.
func (c *checker) report(at time.Duration, rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{at, rule, fmt.Sprintf(format, args...)})
}

// job returns the history of a job.
func (c *checker) job(id string) *jobHistory {
	if c.jobs[id] == nil {
		c.jobs[id] = &jobHistory{completed: map[string]bool{}}
	}
	return c.jobs[id]
}

// machine returns the history of a machine.
func (c *checker) machine(name string) *machineHistory {
	if c.machines[name] == nil {
		c.machines[name] = &machineHistory{}
	}
	return c.machines[name]
}

// apply checks one event against the history before it and adds it.
func (c *checker) apply(event Event) {
	switch event.Kind {
	case JobSubmitted:
		c.job(event.Job).taskCount = event.TaskCount
	case CancelRequested:
		c.job(event.Job).cancelRequested = true
	case Answered:
		c.applyAnswer(event)
	case CommandExecuted:
		if event.Token < event.HighestToken {
			c.report(event.At, RuleToken, "%v of %s on %s under token %d after %d", event.Command, event.Task,
				event.Machine, event.Token, event.HighestToken)
		}
	case TaskStarted:
		c.applyStart(event)
	case TaskEnded:
		c.applyTaskEnd(event)
	case MachineRented, MachineServed, MachineGone:
		c.applyMachine(event)
	case FaultsEnded:
		c.faultsEndedAt = event.At
	case ControllerExited:
		c.report(event.At, RuleExit, "%s: %s", event.Node, event.Detail)
	case MemoryMeasured:
		if event.MemoryMB > c.limits.MemoryMB {
			c.report(event.At, RuleMemory, "%s: %.0f MB of %.0f", event.Node, event.MemoryMB, c.limits.MemoryMB)
		}
	case InvariantLogged:
		c.report(event.At, RuleInvariantLog, "%s: %s", event.Node, event.Detail)
	}
	c.updateRoom(event.At)
}

// applyMachine adds a change of a machine.
func (c *checker) applyMachine(event Event) {
	switch event.Kind {
	case MachineRented:
		c.machine(event.Machine).rentedAt = event.At
	case MachineServed:
		c.machine(event.Machine).servedAt = event.At
	default:
		delete(c.machines, event.Machine)
	}
}

// applyAnswer checks an answer to a user.
func (c *checker) applyAnswer(event Event) {
	job := c.job(event.Job)
	switch event.Status {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		if job.accepted && event.SentAt > job.acceptedAt {
			c.report(event.At, RuleDenied, "%s: %s at %s got %d", event.Job, event.Request, event.Node, event.Status)
		}
		return
	case http.StatusOK, http.StatusCreated:
	default:
		return
	}
	c.checkAnswerGap(event.Job, job, event.At)
	job.lastAnswerAt = event.At
	if !job.accepted {
		job.accepted, job.acceptedAt, job.idleSince = true, event.At, event.At
	}
	c.checkState(event, job)
	if job.finalState == "" && event.State.IsTerminal() {
		job.finalState, job.finalAt = event.State, event.At
	}
}

// checkState checks the state in an answer against the job's history.
func (c *checker) checkState(event Event, job *jobHistory) {
	switch {
	case job.finalState != "" && event.State != job.finalState &&
		(event.State.IsTerminal() || event.SentAt > job.finalAt):
		c.report(event.At, RuleOlderAnswer, "%s: %s at %s got %q, a user was told %q %.3f s before the request",
			event.Job, event.Request, event.Node, event.State, job.finalState, (event.SentAt - job.finalAt).Seconds())
	case event.State == protocol.JobCancelled && !job.cancelRequested:
		c.report(event.At, RuleUnrequested, "%s at %s", event.Job, event.Node)
	case event.State == protocol.JobDone && !job.allCompleted():
		c.report(event.At, RuleEarlyDone, "%s at %s: %d of %d tasks", event.Job, event.Node, len(job.completed),
			job.taskCount)
	case !event.State.IsTerminal() && job.allCompleted() && c.afterFaults(job.completedAt) &&
		event.SentAt > job.completedAt+c.limits.LateDone:
		c.report(event.At, RuleLateDone, "%s at %s: %q %.3f s after its last task", event.Job, event.Node, event.State,
			(event.SentAt - job.completedAt).Seconds())
	}
}

// afterFaults reports whether a time is after the end of the faults.
func (c *checker) afterFaults(at time.Duration) bool {
	return c.faultsEndedAt >= 0 && at > c.faultsEndedAt
}

// checkAnswerGap checks how long a job whose user does not know its end has had no answer after the faults.
func (c *checker) checkAnswerGap(id string, job *jobHistory, now time.Duration) {
	if gap := c.answerGap(job, now); gap > c.limits.Answer {
		c.report(now, RuleUnanswered, "%s: none for %.1f s", id, gap.Seconds())
	}
}

// answerGap returns for how long after the faults a job whose end no user knows has had no answer.
func (c *checker) answerGap(job *jobHistory, now time.Duration) time.Duration {
	if !job.accepted || job.finalState != "" || !c.afterFaults(now) {
		return 0
	}
	return now - max(job.lastAnswerAt, c.faultsEndedAt)
}

// applyStart checks and adds the start of a task.
func (c *checker) applyStart(event Event) {
	job := c.job(jobOf(event.Task))
	c.checkWaiting(jobOf(event.Task), job, event.At)
	if job.finalState == protocol.JobCancelled && event.SentAt > job.finalAt {
		c.report(event.At, RuleStart, "%s on %s, asked for %.3f s after the confirmation", event.Task, event.Machine,
			(event.SentAt - job.finalAt).Seconds())
	}
	c.running[attempt{event.Task, event.Machine, event.Attempt}] = true
	job.running++
	c.machine(event.Machine).tasks++
	if c.copies[event.Task]++; c.copies[event.Task] > 1 {
		c.report(event.At, RuleDuplicate, "%s starts on %s", event.Task, event.Machine)
	}
}

// applyTaskEnd removes a task from its machine.
func (c *checker) applyTaskEnd(event Event) {
	key := attempt{event.Task, event.Machine, event.Attempt}
	if !c.running[key] {
		return
	}
	delete(c.running, key)
	c.copies[event.Task]--
	if machine := c.machines[event.Machine]; machine != nil {
		machine.tasks--
	}
	job := c.job(jobOf(event.Task))
	c.checkCancelledTask(job, event.Task, event.Machine, event.At)
	if job.running--; job.running == 0 {
		job.idleSince = event.At
	}
	if event.Completed && !job.completed[event.Task] {
		job.completed[event.Task], job.completedAt = true, event.At
	}
}

// checkCancelledTask checks that a task that was on a machine until now was not cancelled too long ago.
func (c *checker) checkCancelledTask(job *jobHistory, task, machine string, now time.Duration) {
	if job.finalState == protocol.JobCancelled && now > job.finalAt+c.limits.Cancel {
		c.report(now, RuleCancelled, "%s on %s, %.1f s after the confirmation", task, machine,
			(now - job.finalAt).Seconds())
	}
}

// updateRoom tracks since when some machine that is served has a free core.
func (c *checker) updateRoom(now time.Duration) {
	if c.faultsEndedAt < 0 {
		return
	}
	for _, machine := range c.machines {
		if machine.tasks < c.limits.CoresPerMachine && machine.servedAt > 0 && now-machine.servedAt < c.limits.Unused {
			if c.roomSince < 0 {
				c.roomSince = now
			}
			return
		}
	}
	c.roomSince = -1
}

// checkEnd checks the state at the end of the run.
func (c *checker) checkEnd(end time.Duration) {
	for id, job := range c.jobs {
		c.checkAnswerGap(id, job, end)
		c.checkWaiting(id, job, end)
	}
	for running := range c.running {
		c.checkCancelledTask(c.job(jobOf(running.task)), running.task, running.machine, end)
	}
	for name, machine := range c.machines {
		if end-max(machine.servedAt, machine.rentedAt, c.faultsEndedAt) > c.limits.Unused {
			c.report(end, RuleUnused, "%s, rented at %.1f s, last served at %.1f s", name, machine.rentedAt.Seconds(),
				machine.servedAt.Seconds())
		}
	}
}

// checkWaiting checks that an accepted job that is not over does not wait while a machine has room.
func (c *checker) checkWaiting(id string, job *jobHistory, end time.Duration) {
	if !job.accepted || job.finalState != "" || job.cancelRequested || job.running > 0 || job.allCompleted() ||
		c.roomSince < 0 {
		return
	}
	if waited := end - max(c.roomSince, job.idleSince, c.faultsEndedAt); waited > c.limits.Waiting {
		c.report(end, RuleWaiting, "%s: for %.1f s", id, waited.Seconds())
	}
}

// jobOf returns the job ID in a task ID.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}

// LongestAnswerGap returns the longest time after the end of the faults during which a job whose end no
// user knew had no answer.
func LongestAnswerGap(events []Event, end time.Duration) time.Duration {
	c := newChecker(Limits{})
	longest := time.Duration(0)
	for _, event := range events {
		if event.Kind == Answered && (event.Status == http.StatusOK || event.Status == http.StatusCreated) {
			longest = max(longest, c.answerGap(c.job(event.Job), event.At))
		}
		c.apply(event)
	}
	for _, job := range c.jobs {
		longest = max(longest, c.answerGap(job, end))
	}
	return longest
}
