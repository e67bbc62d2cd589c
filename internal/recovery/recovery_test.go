package recovery

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	heartbeatInterval = 4 * time.Second
	workerLease       = 22 * time.Second
)

var testSettings = Settings{HeartbeatInterval: heartbeatInterval, WorkerLease: workerLease,
	Limits: Limits{RefillLeases: 0.25, ReplaceLeases: 1}}

func newTestRecovery(now time.Duration) *Recovery { return New(testSettings, now) }

// TestReconcileTask guards against a reported task that gets another action than its kind of mismatch
// requires, such as a result that is forgotten before it is stored.
func TestReconcileTask(t *testing.T) {
	for name, test := range map[string]struct {
		task    ReportedTask
		action  Action
		kind    Mismatch
		differs bool
	}{
		"tracked attempt": {ReportedTask{JobState: JobStateOpen, Tracked: true},
			KeepAttempt, MatchesRecord, false},
		"untracked attempt with token": {ReportedTask{JobState: JobStateOpen, TokenAcknowledged: true},
			AdoptAttempt, MatchesRecord, true},
		"heartbeat without token": {ReportedTask{JobState: JobStateOpen}, AwaitToken, MatchesRecord, false},
		"without token, tracked elsewhere": {ReportedTask{JobState: JobStateOpen, TrackedElsewhere: true},
			AwaitToken, MatchesRecord, false},
		"with token, tracked elsewhere": {ReportedTask{JobState: JobStateOpen, TrackedElsewhere: true, TokenAcknowledged: true},
			StopAttempt, DuplicateTask, true},
		"completed task running": {ReportedTask{JobState: JobStateOpen, CompletionKnown: true, TokenAcknowledged: true},
			StopAttempt, CompletedTaskRunning, true},
		"job never stored": {ReportedTask{}, StopAttempt, JobNeverStored, true},
		"job terminal":     {ReportedTask{JobState: JobStateTerminal}, StopAttempt, JobTerminal, true},
		"job terminal, attempt tracked": {ReportedTask{JobState: JobStateTerminal, Tracked: true},
			KeepAttempt, MatchesRecord, false},
		"job quarantined": {ReportedTask{JobState: JobStateQuarantined, TokenAcknowledged: true},
			IgnoreAttempt, JobQuarantined, true},
		"job quarantined, task completed": {ReportedTask{JobState: JobStateQuarantined, Exited: true, Completed: true},
			IgnoreAttempt, JobQuarantined, true},
		"completion not stored": {ReportedTask{JobState: JobStateOpen, Exited: true, Completed: true},
			StoreResult, CompletionNotStored, true},
		"tracked attempt completed": {ReportedTask{JobState: JobStateOpen, Exited: true, Completed: true, Tracked: true},
			StoreResult, MatchesRecord, false},
		"completion known": {ReportedTask{JobState: JobStateOpen, Exited: true, Completed: true, CompletionKnown: true},
			StoreResult, MatchesRecord, false},
		"exited without completion": {ReportedTask{JobState: JobStateOpen, Exited: true},
			ForgetAttempt, MatchesRecord, false},
		"completed, job terminal": {ReportedTask{JobState: JobStateTerminal, Exited: true, Completed: true},
			ForgetAttempt, MatchesRecord, false},
		"completed, job never stored": {ReportedTask{Exited: true, Completed: true},
			ForgetAttempt, MatchesRecord, false},
		"job never stored, attempt tracked": {ReportedTask{Tracked: true}, StopAttempt, JobNeverStored, true},
	} {
		action, kind, differs := ReconcileTask(test.task)
		if action != test.action || kind != test.kind || differs != test.differs {
			t.Errorf("%s: got action %d, kind %v, differs %v, want %d, %v, %v",
				name, action, kind, differs, test.action, test.kind, test.differs)
		}
	}
}

// TestPhaseTransitions guards against a recovery that leaves a phase before its condition or timeout,
// or that remains in it for longer, and against phases that allow too much. Each step gives the time, the
// view of the fleet that the leader has then, and the phase that follows from it.
func TestPhaseTransitions(t *testing.T) {
	type phaseStep struct {
		at   time.Duration
		view View
		want Phase
	}
	allReconciled := View{RecordsRead: true, Machines: 100, Cores: 400, LargestCores: 4}
	unreconciled := func(n int) View { view := allReconciled; view.Unreconciled = n; return view }
	incomplete := allReconciled
	incomplete.InventoryIncomplete = true
	for name, steps := range map[string][]phaseStep{
		"no machines": {{0, View{}, PhaseReading}, {time.Second, View{RecordsRead: true}, PhaseNormal}},
		"takeover": {{1, unreconciled(100), PhaseCollecting}, {4 * time.Second, unreconciled(11), PhaseCollecting},
			{5 * time.Second, unreconciled(10), PhaseReconciling}, {6 * time.Second, allReconciled, PhasePacing},
			{10 * time.Second, allReconciled, PhaseNormal}},
		"one machine unresponsive": {{1, unreconciled(1), PhaseReconciling},
			{workerLease, unreconciled(1), PhaseReconciling}, {workerLease + 1, unreconciled(1), PhasePacing}},
		"slow arrival of heartbeats": {{1, unreconciled(90), PhaseCollecting},
			{5 * time.Second, unreconciled(80), PhaseCollecting}, {9 * time.Second, unreconciled(70), PhaseCollecting},
			{10 * time.Second, unreconciled(69), PhaseReconciling}},
		"most machines unresponsive": {{1, unreconciled(80), PhaseCollecting},
			{6 * time.Second, unreconciled(80), PhaseCollecting}, {7 * time.Second, unreconciled(80), PhaseReconciling},
			{workerLease + 1, unreconciled(80), PhasePacing}},
		"incomplete inventory": {{1, incomplete, PhaseCollecting}, {10 * time.Second, incomplete, PhaseReconciling},
			{workerLease - 1, incomplete, PhaseReconciling}, {workerLease + 1, incomplete, PhasePacing}},
		"all reconciled at once": {{1, allReconciled, PhasePacing}},
	} {
		r := newTestRecovery(0)
		for _, step := range steps {
			r.Advance(step.at, step.view)
			if r.Phase() != step.want {
				t.Errorf("%s: got phase %v at %v, want %v", name, r.Phase(), step.at, step.want)
			}
			if r.MayScaleOut() != (r.Phase() >= PhaseCollecting) || r.MayScaleIn() != (r.Phase() >= PhasePacing) ||
				r.MayReturnUnresponsive(workerLease) != (r.Phase() >= PhaseReconciling) {
				t.Errorf("%s at %v, phase %v: got scale out %v, scale in %v, return of unresponsive machines %v, want %v, %v, %v",
					name, step.at, r.Phase(), r.MayScaleOut(), r.MayScaleIn(), r.MayReturnUnresponsive(workerLease),
					r.Phase() >= PhaseCollecting, r.Phase() >= PhasePacing, r.Phase() >= PhaseReconciling)
			}
		}
	}
	r := newTestRecovery(0)
	r.Advance(1, unreconciled(1))
	early, late := r.MayReturnUnresponsive(5*time.Second), r.MayReturnUnresponsive(6*time.Second)
	if early || !late {
		t.Errorf("return of few unresponsive machines allowed: got %v after 5 s and %v after 6 s without heartbeats, "+
			"want false and true, because a quarter of a worker lease must pass", early, late)
	}
	r = newTestRecovery(0)
	early, late = r.ReadingTimedOut(4*workerLease), r.ReadingTimedOut(4*workerLease+1)
	if early || !late {
		t.Errorf("reading the records timed out: got %v after four worker leases and %v just after, want false and true",
			early, late)
	}
}

// TestOperationsStayWithinLimits guards against bursts above the limits after repeated takeovers,
// because each new leader starts with new budgets. No period of one second may contain more granted
// operations than the limit, whatever the length of the terms.
func TestOperationsStayWithinLimits(t *testing.T) {
	for _, termLength := range []time.Duration{200 * time.Millisecond, 3 * time.Second, workerLease} {
		rng := rand.New(rand.NewPCG(uint64(termLength), 1))
		view := View{RecordsRead: true, Machines: 1000, Cores: 4000, LargestCores: 32}
		limits := testSettings.Rates(view.Machines, view.Cores, view.LargestCores)
		var granted [operationKinds][]time.Duration
		now := time.Duration(0)
		for range 5 {
			r := newTestRecovery(now)
			for end := now + termLength; now < end && !r.Completed(); now += 20 * time.Millisecond {
				r.Advance(now, view)
				for range 200 {
					operation := Operation(rng.IntN(int(operationKinds)))
					if r.Allow(now, operation, Urgency(1+rng.IntN(2)), string(rune('a'+rng.IntN(3)))) {
						granted[operation] = append(granted[operation], now)
					}
				}
			}
		}
		for operation, times := range granted {
			rate, windowStart := limits[operation], 0
			for i := range times {
				for times[i]-times[windowStart] >= time.Second {
					windowStart++
				}
				if n := i - windowStart + 1; float64(n) > rate.MaxInOneSecond()+extraInitialTokens(Operation(operation)) {
					t.Fatalf("%v, terms of %v: got %d operations in the second until %v, want at most %v",
						Operation(operation), termLength, n, times[i],
						rate.MaxInOneSecond()+extraInitialTokens(Operation(operation)))
				}
			}
			initialTokens := 0.0 // tokens that the five leaders start with
			if Operation(operation) == RentMachine || Operation(operation) == ReturnMachine {
				initialTokens = 5 * minMachineBurst
			}
			if total := grantedRateShare*rate.PerSecond*now.Seconds() +
				max(rate.Burst, initialTokens); float64(len(times)) > total {
				t.Errorf("%v, terms of %v: got %d operations in %v, want at most %v",
					Operation(operation), termLength, len(times), now, total)
			}
		}
	}
}

// extraInitialTokens returns the tokens that four further leaders within one second start with. Only the
// budgets of rentals and returns start with tokens.
func extraInitialTokens(operation Operation) float64 {
	if operation == RentMachine || operation == ReturnMachine {
		return 4 * minMachineBurst
	}
	return 0
}

// TestBudgetsAreSharedByUrgencyAndTeam guards against urgent work that waits behind ordinary work, and
// against a team that uses up a budget by asking more often. While a budget is short, stops of
// cancelled work never wait, latency-sensitive starts go before ordinary ones, and teams get about
// equal shares.
func TestBudgetsAreSharedByUrgencyAndTeam(t *testing.T) {
	r := newTestRecovery(0)
	view := View{RecordsRead: true, Machines: 10, Unreconciled: 1, Cores: 110, LargestCores: 16}
	grantedByTeam := map[string]int{}
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		r.Advance(now, view)
		for range 20 {
			for _, team := range []string{"greedy", "greedy", "greedy", "modest"} {
				if r.Allow(now, StartTask, OrdinaryWork, team) {
					grantedByTeam[team]++
				}
			}
		}
		if now > 0 && now%(500*time.Millisecond) == 0 {
			if !r.Allow(now, StartTask, LatencySensitive, "urgent") {
				t.Errorf("start of latency-sensitive work deferred at %v, want it allowed", now)
			}
			if !r.Allow(now, StopTask, CancelledWork, "greedy") {
				t.Errorf("stop of cancelled work deferred at %v, want it allowed", now)
			}
		}
	}
	if grantedByTeam["modest"] < grantedByTeam["greedy"]*9/10 || grantedByTeam["greedy"] < 50 {
		t.Errorf("starts by team: got %v, want at least 50 for greedy and 9/10 of its starts for modest", grantedByTeam)
	}
	if budgets := r.Budgets(10 * time.Second); len(budgets) != int(operationKinds) ||
		!slices.ContainsFunc(budgets, func(b Budget) bool { return b.Operation == "start" && b.PerSecond == 20 }) {
		t.Errorf("got budgets %+v, want %d, with 20 starts per second", budgets, operationKinds)
	}
}

// TestRefundedAndDeferredRentals guards against rentals that use up their budget although the cloud did
// not rent the machines, and against a recovery that does not end while the cloud has too few machines.
// Rentals that wait do not prolong the recovery, but starts that wait do.
func TestRefundedAndDeferredRentals(t *testing.T) {
	for operation, want := range map[Operation]Phase{RentMachine: PhaseNormal, StartTask: PhasePacing} {
		r := newTestRecovery(0)
		view := View{RecordsRead: true, Machines: 60, Cores: 24, LargestCores: 8}
		allowed := 0
		for now := time.Duration(0); now < 3*heartbeatInterval; now += 100 * time.Millisecond {
			r.Advance(now, view)
			for r.Phase() != PhaseNormal && allowed < 1000 && r.Allow(now, operation, LatencySensitive, "") {
				allowed++
				if operation == RentMachine && allowed%10 != 0 {
					r.RefundOperations(now, operation, 1)
				}
			}
		}
		if r.Phase() != want {
			t.Errorf("while operations of kind %v wait: got phase %v, want %v", operation, r.Phase(), want)
		}
		if operation == RentMachine && allowed < 10 {
			t.Errorf("got %d allowed rentals, want at least 10", allowed)
		}
	}
}

// TestMismatchesAreCountedOnce guards against counts that grow with every heartbeat that shows the same
// mismatch, and against counts that change after the recovery is completed.
func TestMismatchesAreCountedOnce(t *testing.T) {
	r := newTestRecovery(0)
	for range 3 {
		r.NoteMismatch(0, DuplicateTask, "m-1", "j-1/0")
		r.NoteMismatch(0, MatchesRecord, "m-1", "j-1/1")
	}
	r.NoteMismatch(0, DuplicateTask, "m-2", "j-1/0")
	r.Advance(time.Minute, View{RecordsRead: true})
	r.NoteMismatch(time.Minute, MachineUnresponsive, "m-3", "")
	status := r.Status(time.Minute)
	if len(status.Mismatches) != 2 || status.Mismatches["on_two_machines"] != 2 ||
		status.Mismatches["as_stored"] != 1 || len(status.Samples) != 2 || status.Phase != "normal" {
		t.Errorf("got status %+v, want mismatches on_two_machines: 2 and as_stored: 1, 2 samples and phase normal", status)
	}
	for kind := range mismatchKinds {
		if kind.String() == "" {
			t.Errorf("mismatch kind %d has no name", kind)
		}
	}
}
