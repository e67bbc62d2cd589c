package recovery

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	report = 4 * time.Second
	lease  = 22 * time.Second
)

var testSettings = Settings{HeartbeatInterval: report, WorkerLease: lease, Limits: Limits{RefillLeases: 0.25, ReplaceLeases: 1}}

func newTestRecovery(now time.Duration) *Recovery { return New(testSettings, now) }

// Each mismatch has one treatment.
func TestDecide(t *testing.T) {
	for name, x := range map[string]struct {
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
		action, kind, differs := ReconcileTask(x.task)
		if action != x.action || kind != x.kind || differs != x.differs {
			t.Errorf("%s: action %d, %v, %v", name, action, kind, differs)
		}
	}
}

// Phases end by their conditions, or by their bounds; what they allow follows from them.
func TestPhases(t *testing.T) {
	type moment struct {
		at   time.Duration
		view View
		want Phase
	}
	all := View{RecordsRead: true, Machines: 100, Cores: 400, LargestCores: 4}
	missing := func(n int) View { v := all; v.Unreconciled = n; return v }
	unnamed := all
	unnamed.InventoryIncomplete = true
	for name, moments := range map[string][]moment{
		"nothing held":      {{0, View{}, PhaseReading}, {time.Second, View{RecordsRead: true}, PhaseNormal}},
		"takeover":          {{1, missing(100), PhaseCollecting}, {4 * time.Second, missing(11), PhaseCollecting}, {5 * time.Second, missing(10), PhaseReconciling}, {6 * time.Second, all, PhasePacing}, {10 * time.Second, all, PhaseNormal}},
		"one stays away":    {{1, missing(1), PhaseReconciling}, {lease, missing(1), PhaseReconciling}, {lease + 1, missing(1), PhasePacing}},
		"many come slowly":  {{1, missing(90), PhaseCollecting}, {5 * time.Second, missing(80), PhaseCollecting}, {9 * time.Second, missing(70), PhaseCollecting}, {10 * time.Second, missing(69), PhaseReconciling}},
		"most stay away":    {{1, missing(80), PhaseCollecting}, {6 * time.Second, missing(80), PhaseCollecting}, {7 * time.Second, missing(80), PhaseReconciling}, {lease + 1, missing(80), PhasePacing}},
		"names missing":     {{1, unnamed, PhaseCollecting}, {10 * time.Second, unnamed, PhaseReconciling}, {lease - 1, unnamed, PhaseReconciling}, {lease + 1, unnamed, PhasePacing}},
		"all there at once": {{1, all, PhasePacing}},
	} {
		r := newTestRecovery(0)
		for _, m := range moments {
			r.Advance(m.at, m.view)
			if r.Phase() != m.want {
				t.Errorf("%s: %v at %v, not %v", name, r.Phase(), m.at, m.want)
			}
			if r.MayScaleOut() != (r.Phase() >= PhaseCollecting) || r.MayScaleIn() != (r.Phase() >= PhasePacing) || r.MayReturnUnresponsive(lease) != (r.Phase() >= PhaseReconciling) {
				t.Errorf("%s at %v: what is allowed does not follow from %v", name, m.at, r.Phase())
			}
		}
	}
	r := newTestRecovery(0)
	r.Advance(1, missing(1))
	if r.MayReturnUnresponsive(5*time.Second) || !r.MayReturnUnresponsive(6*time.Second) {
		t.Error("a few silent machines are not waited for by a quarter of a lease")
	}
	if r := newTestRecovery(0); r.ReadingTimedOut(4*lease) || !r.ReadingTimedOut(4*lease+1) {
		t.Error("reading is not bounded by four leases")
	}
}

// However many leaders follow each other, and whatever asks for orders, no second holds more of
// them than the limit, though each leader begins its budgets anew.
func TestOrdersStayWithinTheirLimit(t *testing.T) {
	for _, perLeader := range []time.Duration{200 * time.Millisecond, 3 * time.Second, lease} {
		rng := rand.New(rand.NewPCG(uint64(perLeader), 1))
		view := View{RecordsRead: true, Machines: 1000, Cores: 4000, LargestCores: 32}
		limits := testSettings.Rates(view.Machines, view.Cores, view.LargestCores)
		var given [operationKinds][]time.Duration
		now := time.Duration(0)
		for range 5 {
			r := newTestRecovery(now)
			for end := now + perLeader; now < end && !r.Completed(); now += 20 * time.Millisecond {
				r.Advance(now, view)
				for range 200 {
					order := Operation(rng.IntN(int(operationKinds)))
					if r.Allow(now, order, Urgency(1+rng.IntN(2)), string(rune('a'+rng.IntN(3)))) {
						given[order] = append(given[order], now)
					}
				}
			}
		}
		for order, at := range given {
			rate, first := limits[order], 0
			for i := range at {
				for at[i]-at[first] >= time.Second {
					first++
				}
				if n := i - first + 1; float64(n) > rate.PerWindow()+windowExtra(Operation(order)) {
					t.Fatalf("%v, leaders of %v: %d orders within a second of %v, limit %v", Operation(order), perLeader, n, at[i], rate)
				}
			}
			first5 := 0.0 // what five leaders begin with
			if Operation(order) == RentMachine || Operation(order) == ReturnMachine {
				first5 = 5 * minMachineBurst
			}
			if total := grantedRateShare*rate.PerSecond*now.Seconds() + max(rate.Burst, first5); float64(len(at)) > total {
				t.Errorf("%v, leaders of %v: %d orders in %v, limit %v", Operation(order), perLeader, len(at), now, rate)
			}
		}
	}
}

// windowExtra is what leaders that follow each other within a second begin with: machines alone.
func windowExtra(order Operation) float64 {
	if order == RentMachine || order == ReturnMachine {
		return 4 * minMachineBurst
	}
	return 0
}

// While orders are short, cancelled work never waits, pressing work goes before the rest, and
// teams that ask have the same.
func TestBudgetsAreSharedByUrgencyAndTeam(t *testing.T) {
	r := newTestRecovery(0)
	view := View{RecordsRead: true, Machines: 10, Unreconciled: 1, Cores: 110, LargestCores: 16}
	got := map[string]int{}
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		r.Advance(now, view)
		for range 20 {
			for _, team := range []string{"greedy", "greedy", "greedy", "modest"} {
				if r.Allow(now, StartTask, OrdinaryWork, team) {
					got[team]++
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
	if got["modest"] < got["greedy"]*9/10 || got["greedy"] < 50 {
		t.Errorf("teams got %v", got)
	}
	if budgets := r.Budgets(10 * time.Second); len(budgets) != int(operationKinds) || !slices.ContainsFunc(budgets, func(b Budget) bool { return b.Operation == "start" && b.PerSecond == 20 }) {
		t.Errorf("budgets %+v", budgets)
	}
}

// What the cloud did not rent can be asked for again, and rentals that wait do not prolong the
// recovery, while starts that wait do.
func TestRentalsThatComeToNothing(t *testing.T) {
	for order, want := range map[Operation]Phase{RentMachine: PhaseNormal, StartTask: PhasePacing} {
		r := newTestRecovery(0)
		view := View{RecordsRead: true, Machines: 60, Cores: 24, LargestCores: 8}
		asked := 0
		for now := time.Duration(0); now < 3*report; now += 100 * time.Millisecond {
			r.Advance(now, view)
			for r.Phase() != PhaseNormal && asked < 1000 && r.Allow(now, order, LatencySensitive, "") {
				asked++
				if order == RentMachine && asked%10 != 0 {
					r.RefundOperations(now, order, 1)
				}
			}
		}
		if r.Phase() != want {
			t.Errorf("%v that wait: phase %v, not %v", order, r.Phase(), want)
		}
		if order == RentMachine && asked < 10 {
			t.Errorf("only %d machines were asked for", asked)
		}
	}
}

// A mismatch is counted once for each machine and task, and no more once the recovery is over.
func TestNotes(t *testing.T) {
	r := newTestRecovery(0)
	for range 3 {
		r.NoteMismatch(0, DuplicateTask, "m-1", "j-1/0")
		r.NoteMismatch(0, MatchesRecord, "m-1", "j-1/1")
	}
	r.NoteMismatch(0, DuplicateTask, "m-2", "j-1/0")
	r.Advance(time.Minute, View{RecordsRead: true})
	r.NoteMismatch(time.Minute, MachineUnresponsive, "m-3", "")
	s := r.Status(time.Minute)
	if len(s.Mismatches) != 2 || s.Mismatches["on_two_machines"] != 2 || s.Mismatches["as_stored"] != 1 || len(s.Samples) != 2 || s.Phase != "normal" {
		t.Errorf("status %+v", s)
	}
	for kind := range mismatchKinds {
		if kind.String() == "" {
			t.Errorf("kind %d has no name", kind)
		}
	}
}
