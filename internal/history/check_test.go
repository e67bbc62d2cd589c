package history

import (
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
)

// testLimits are limits with round figures.
var testLimits = Limits{Answer: 75 * time.Second, Cancel: 10 * time.Second, LateDone: 3 * time.Second,
	Waiting: 90 * time.Second, Unused: 20 * time.Second, MemoryMB: 100, CoresPerMachine: 4}

// at returns an event with its time in seconds.
func at(seconds float64, event Event) Event {
	event.At = time.Duration(seconds * float64(time.Second))
	return event
}

// answer returns the answer to a question that was sent a tenth of a second earlier.
func answer(seconds float64, request protocol.RequestKind, status int, state protocol.JobState) Event {
	event := at(seconds, Event{Kind: Answered, Job: "j-1", Node: "n0", Request: request, Status: status, State: state})
	event.SentAt = event.At - time.Second/10
	return event
}

// begin is a history of a job of one task that was accepted at 1 s, with a machine that is served.
func begin() []Event {
	return []Event{
		at(0, Event{Kind: MachineRented, Machine: "m-1"}),
		at(0.5, Event{Kind: MachineServed, Machine: "m-1"}),
		at(0.9, Event{Kind: JobSubmitted, Job: "j-1", TaskCount: 1}),
		answer(1, protocol.RequestSubmit, 201, protocol.JobQueued),
	}
}

// start returns the start of the job's task on a machine, asked for at the same time.
func start(seconds float64, machine string) Event {
	event := at(seconds, Event{Kind: TaskStarted, Task: "j-1/0", Machine: machine, Attempt: 1})
	event.SentAt = event.At
	return event
}

// Guards against a checker that overlooks a broken guarantee, or reports one that was kept: each rule has a
// history that breaks only this rule, and a sound history breaks none.
func TestEachBrokenRuleIsReported(t *testing.T) {
	cancelRequest := at(2, Event{Kind: CancelRequested, Job: "j-1"})
	cancelled := answer(3, protocol.RequestCancel, 200, protocol.JobCancelled)
	completed := at(4, Event{Kind: TaskEnded, Task: "j-1/0", Machine: "m-1", Attempt: 1, Completed: true})
	done := answer(5, protocol.RequestQuery, 200, protocol.JobDone)
	faultsEnded := at(1.5, Event{Kind: FaultsEnded})
	served := func(seconds float64) Event { return at(seconds, Event{Kind: MachineServed, Machine: "m-1"}) }
	sound := []Event{start(2, "m-1"), completed, done, answer(6, protocol.RequestQuery, 200, protocol.JobDone), served(9)}
	for _, c := range []struct {
		rule   string // empty: none is broken
		end    float64
		events []Event
	}{
		{"", 10, sound},
		{RuleDenied, 10, append(slices.Clone(sound), answer(7, protocol.RequestQuery, 404, ""))},
		{RuleOlderAnswer, 10, append(slices.Clone(sound), answer(7, protocol.RequestQuery, 200, protocol.JobRunning))},
		{RuleUnrequested, 10, []Event{cancelled}},
		{RuleEarlyDone, 10, []Event{start(2, "m-1"), done}},
		{RuleLateDone, 10, []Event{faultsEnded, start(2, "m-1"), completed,
			answer(7.2, protocol.RequestQuery, 200, protocol.JobRunning)}},
		{RuleStart, 10, []Event{cancelRequest, cancelled, start(3.5, "m-1")}},
		{RuleCancelled, 14, []Event{start(2, "m-1"), cancelRequest, cancelled, served(12)}},
		{RuleDuplicate, 10, []Event{start(2, "m-1"), start(2.1, "m-2"), served(9)}},
		{RuleToken, 10, []Event{at(2, Event{Kind: CommandExecuted, Machine: "m-1", Token: 4, HighestToken: 5})}},
		{RuleUnanswered, 78, []Event{start(1.2, "m-1"), faultsEnded, served(77)}},
		{RuleWaiting, 95, []Event{faultsEnded, served(15), served(30), answer(40, protocol.RequestQuery, 200,
			protocol.JobQueued), served(45), served(60), served(75), served(90)}},
		{RuleUnused, 30, []Event{start(2, "m-1"), completed, done}},
		{RuleExit, 10, []Event{at(2, Event{Kind: ControllerExited, Node: "n0"})}},
		{RuleMemory, 10, []Event{at(2, Event{Kind: MemoryMeasured, Node: "n0", MemoryMB: 101})}},
		{RuleInvariantLog, 10, []Event{at(2, Event{Kind: InvariantLogged, Node: "n0"})}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			violations := Check(append(begin(), c.events...), time.Duration(c.end*float64(time.Second)), testLimits)
			if c.rule == "" {
				if len(violations) > 0 {
					t.Errorf("a sound history: got violations %v, want none", violations)
				}
				return
			}
			if len(violations) != 1 || violations[0].Rule != c.rule {
				t.Errorf("got violations %v, want one of %q", violations, c.rule)
			}
		})
	}
}
