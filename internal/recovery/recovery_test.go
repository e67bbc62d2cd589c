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

var testSettings = Settings{HeartbeatInterval: heartbeatInterval, WorkerLease: workerLease, Limits: Limits{RefillLeases: 0.25, ReplaceLeases: 1}}

func newTestRecovery(now time.Duration) *Recovery { return New(testSettings, now) }

// Each mismatch has one treatment.
func TestReconcileTask(t *testing.T) {
	for name, test := range map[string]struct {
		task    ReportedTask
		action  Action
		kind    Mismatch
		differs bool
	}{
		"goes on":                      {ReportedTask{JobState: JobStateOpen, Tracked: true}, KeepAttempt, MatchesRecord, false},
		"as stored":                    {ReportedTask{JobState: JobStateOpen, TokenAcknowledged: true}, AdoptAttempt, MatchesRecord, true},
		"perhaps a copy":               {ReportedTask{JobState: JobStateOpen}, AwaitToken, MatchesRecord, false},
		"perhaps a copy, elsewhere":    {ReportedTask{JobState: JobStateOpen, TrackedElsewhere: true}, AwaitToken, MatchesRecord, false},
		"on two machines":              {ReportedTask{JobState: JobStateOpen, TrackedElsewhere: true, TokenAcknowledged: true}, StopAttempt, DuplicateTask, true},
		"finished, runs again":         {ReportedTask{JobState: JobStateOpen, CompletionKnown: true, TokenAcknowledged: true}, StopAttempt, CompletedTaskRunning, true},
		"never stored":                 {ReportedTask{}, StopAttempt, JobNeverStored, true},
		"over":                         {ReportedTask{JobState: JobStateTerminal}, StopAttempt, JobTerminal, true},
		"over, being stopped":          {ReportedTask{JobState: JobStateTerminal, Tracked: true}, KeepAttempt, MatchesRecord, false},
		"record unread":                {ReportedTask{JobState: JobStateQuarantined, TokenAcknowledged: true}, IgnoreAttempt, JobQuarantined, true},
		"record unread, finished":      {ReportedTask{JobState: JobStateQuarantined, Exited: true, Completed: true}, IgnoreAttempt, JobQuarantined, true},
		"finished, not stored":         {ReportedTask{JobState: JobStateOpen, Exited: true, Completed: true}, StoreResult, CompletionNotStored, true},
		"finished now":                 {ReportedTask{JobState: JobStateOpen, Exited: true, Completed: true, Tracked: true}, StoreResult, MatchesRecord, false},
		"finished, stored":             {ReportedTask{JobState: JobStateOpen, Exited: true, Completed: true, CompletionKnown: true}, StoreResult, MatchesRecord, false},
		"ended without result":         {ReportedTask{JobState: JobStateOpen, Exited: true}, ForgetAttempt, MatchesRecord, false},
		"ended, job over":              {ReportedTask{JobState: JobStateTerminal, Exited: true, Completed: true}, ForgetAttempt, MatchesRecord, false},
		"ended, job never stored":      {ReportedTask{Exited: true, Completed: true}, ForgetAttempt, MatchesRecord, false},
		"never stored, though tracked": {ReportedTask{Tracked: true}, StopAttempt, JobNeverStored, true},
	} {
		action, kind, differs := ReconcileTask(test.task)
		if action != test.action || kind != test.kind || differs != test.differs {
			t.Errorf("%s: action %d, %v, %v", name, action, kind, differs)
		}
	}
}

// Phases end by their conditions, or by their bounds; what they allow follows from them.
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
		"nothing held":      {{0, View{}, PhaseReading}, {time.Second, View{RecordsRead: true}, PhaseNormal}},
		"takeover":          {{1, unreconciled(100), PhaseCollecting}, {4 * time.Second, unreconciled(11), PhaseCollecting}, {5 * time.Second, unreconciled(10), PhaseReconciling}, {6 * time.Second, allReconciled, PhasePacing}, {10 * time.Second, allReconciled, PhaseNormal}},
		"one stays away":    {{1, unreconciled(1), PhaseReconciling}, {workerLease, unreconciled(1), PhaseReconciling}, {workerLease + 1, unreconciled(1), PhasePacing}},
		"many come slowly":  {{1, unreconciled(90), PhaseCollecting}, {5 * time.Second, unreconciled(80), PhaseCollecting}, {9 * time.Second, unreconciled(70), PhaseCollecting}, {10 * time.Second, unreconciled(69), PhaseReconciling}},
		"most stay away":    {{1, unreconciled(80), PhaseCollecting}, {6 * time.Second, unreconciled(80), PhaseCollecting}, {7 * time.Second, unreconciled(80), PhaseReconciling}, {workerLease + 1, unreconciled(80), PhasePacing}},
		"names missing":     {{1, incomplete, PhaseCollecting}, {10 * time.Second, incomplete, PhaseReconciling}, {workerLease - 1, incomplete, PhaseReconciling}, {workerLease + 1, incomplete, PhasePacing}},
		"all there at once": {{1, allReconciled, PhasePacing}},
	} {
		r := newTestRecovery(0)
		for _, step := range steps {
			r.Advance(step.at, step.view)
			if r.Phase() != step.want {
				t.Errorf("%s: %v at %v, not %v", name, r.Phase(), step.at, step.want)
			}
			if r.MayScaleOut() != (r.Phase() >= PhaseCollecting) || r.MayScaleIn() != (r.Phase() >= PhasePacing) || r.MayReturnUnresponsive(workerLease) != (r.Phase() >= PhaseReconciling) {
				t.Errorf("%s at %v: what is allowed does not follow from %v", name, step.at, r.Phase())
			}
		}
	}
	r := newTestRecovery(0)
	r.Advance(1, unreconciled(1))
	if r.MayReturnUnresponsive(5*time.Second) || !r.MayReturnUnresponsive(6*time.Second) {
		t.Error("a few silent machines are not waited for by a quarter of a lease")
	}
	if r := newTestRecovery(0); r.ReadingTimedOut(4*workerLease) || !r.ReadingTimedOut(4*workerLease+1) {
		t.Error("reading is not bounded by four leases")
	}
}

// However many leaders follow each other, and whatever asks for orders, no second holds more of
// them than the limit, though each leader begins its budgets anew.
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
				if n := i - windowStart + 1; float64(n) > rate.PerWindow()+extraInitialTokens(Operation(operation)) {
					t.Fatalf("%v, leaders of %v: %d orders within a second of %v, limit %v", Operation(operation), termLength, n, times[i], rate)
				}
			}
			initialTokens := 0.0 // what five leaders begin with
			if Operation(operation) == RentMachine || Operation(operation) == ReturnMachine {
				initialTokens = 5 * minMachineBurst
			}
			if total := grantedRateShare*rate.PerSecond*now.Seconds() + max(rate.Burst, initialTokens); float64(len(times)) > total {
				t.Errorf("%v, leaders of %v: %d orders in %v, limit %v", Operation(operation), termLength, len(times), now, rate)
			}
		}
	}
}

// extraInitialTokens is what leaders that follow each other within a second begin with: machines alone.
func extraInitialTokens(operation Operation) float64 {
	if operation == RentMachine || operation == ReturnMachine {
		return 4 * minMachineBurst
	}
	return 0
}

// While orders are short, cancelled work never waits, pressing work goes before the rest, and
// teams that ask have the same.
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
				t.Errorf("pressing work waits at %v", now)
			}
			if !r.Allow(now, StopTask, CancelledWork, "greedy") {
				t.Errorf("cancelled work waits at %v", now)
			}
		}
	}
	if grantedByTeam["modest"] < grantedByTeam["greedy"]*9/10 || grantedByTeam["greedy"] < 50 {
		t.Errorf("teams got %v", grantedByTeam)
	}
	if budgets := r.Budgets(10 * time.Second); len(budgets) != int(operationKinds) || !slices.ContainsFunc(budgets, func(b Budget) bool { return b.Operation == "start" && b.PerSecond == 20 }) {
		t.Errorf("budgets %+v", budgets)
	}
}

// What the cloud did not rent can be asked for again, and rentals that wait do not prolong the
// recovery, while starts that wait do.
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
			t.Errorf("%v that wait: phase %v, not %v", operation, r.Phase(), want)
		}
		if operation == RentMachine && allowed < 10 {
			t.Errorf("only %d machines were asked for", allowed)
		}
	}
}

// A mismatch is counted once for each machine and task, and no more once the recovery is over.
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
	if len(status.Mismatches) != 2 || status.Mismatches["on_two_machines"] != 2 || status.Mismatches["as_stored"] != 1 || len(status.Samples) != 2 || status.Phase != "normal" {
		t.Errorf("status %+v", status)
	}
	for kind := range mismatchKinds {
		if kind.String() == "" {
			t.Errorf("kind %d has no name", kind)
		}
	}
}
