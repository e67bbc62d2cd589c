package autoscaler

import (
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// A draining machine must be returned to the cloud once it has neither tasks nor results, and removed once
// the cloud has confirmed the return. Results would be lost if the machine were returned earlier.
func TestDrainedMachineIsReturned(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	host.now = time.Hour
	idle, busy := host.addMachine("idle"), host.addMachine("busy")
	busy.RetainedResults = 1
	host.state.BeginDrain(idle, cluster.Unhealthy)
	host.state.BeginDrain(busy, cluster.Unhealthy)
	mayContinue := a.returns.requestReturns()
	if !mayContinue || !idle.Terminating || !idle.TerminationRequested {
		t.Fatalf("idle machine: got terminating %v, termination requested %v, further requests allowed %v, want all true",
			idle.Terminating, idle.TerminationRequested, mayContinue)
	}
	request := host.answer(t, 200, nil)
	if names := request.body.(protocol.MachineNames).Machines; request.path != "/hosts/return" || !slices.Equal(names, []string{"idle"}) {
		t.Errorf("return request: got %s of %v, want /hosts/return of idle", request.path, names)
	}
	if host.state.Machines["idle"] != nil || host.state.Machines["busy"] == nil {
		t.Errorf("machines after the return: got %v, want only busy", host.state.Machines)
	}
}

// After a return request that the cloud has not confirmed, the machine must stay draining, because the
// request may still take effect, and its return must be requested again.
func TestUnconfirmedReturnIsRepeated(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	host.now = time.Hour
	m := host.addMachine("m-1")
	host.state.BeginDrain(m, cluster.Unhealthy)
	a.returns.requestReturns()
	host.answer(t, 500, nil)
	if m.Terminating || !m.TerminationRequested || !m.Draining || !a.cloud.backingOff() {
		t.Errorf("terminating %v, termination requested %v, draining %v, backing off %v; want false, then all true",
			m.Terminating, m.TerminationRequested, m.Draining, a.cloud.backingOff())
	}
	host.now += time.Second
	if a.returns.requestReturns(); len(host.requests) != 1 {
		t.Error("the return was not requested again after a failed request")
	}
}

// When the budget of requests to the cloud is used up, no return may be sent and other requests must wait.
// A return that the recovery does not allow must not cost any of that budget.
func TestReturnsRespectBudgets(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	host.now = time.Hour
	host.state.BeginDrain(host.addMachine("m-1"), cluster.Unhealthy)
	host.requestBudget = 0
	mayContinue := a.returns.requestReturns()
	if mayContinue || len(host.requests) != 0 {
		t.Errorf("budget of requests used up: got %d requests sent, further requests allowed %v, want 0 and false",
			len(host.requests), mayContinue)
	}
	host.requestBudget, host.allowed = 1, 0
	mayContinue = a.returns.requestReturns()
	if !mayContinue || len(host.requests) != 0 || host.requestBudget != 1 {
		t.Errorf("return not allowed by the recovery: got %d requests sent, %d left in the budget, "+
			"further requests allowed %v, want 0, 1 and true", len(host.requests), host.requestBudget, mayContinue)
	}
}

// A surplus machine must be kept within its first minute, which is billed anyway, and until its idle
// retention ends, because work may arrive sooner than a new machine would boot.
func TestSurplusMachineIsKeptUntilRetentionEnds(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	host.now = time.Hour
	m := host.addMachine("m-1")
	host.state.BeginDrain(m, cluster.SurplusCapacity)
	m.SurplusSince = 0
	if a.returns.requestReturns(); len(host.requests) != 0 {
		t.Error("the return was requested within the first minute of the machine")
	}
	host.now += 2 * time.Minute
	m.SurplusSince = host.now
	if a.returns.requestReturns(); len(host.requests) != 0 {
		t.Error("the return was requested as soon as the machine became surplus")
	}
	host.now += time.Hour
	if a.returns.requestReturns(); len(host.requests) != 1 {
		t.Error("no return was requested an hour after the machine became surplus")
	}
}

// Silent machines must be drained, unless most machines are silent. In that case the leader itself is
// probably partitioned from its workers, and would return healthy machines to the cloud.
func TestSilentMachinesAreDrainedUnlessMostAre(t *testing.T) {
	for name, test := range map[string]struct {
		silent, reporting int
		drained           bool
	}{
		"half":         {2, 2, true},
		"most":         {3, 2, false},
		"only machine": {1, 0, false},
	} {
		a, host := newFakeAutoscaler(t)
		for i := range test.silent {
			host.addMachine("silent-" + string(rune('a'+i)))
		}
		host.now = 11 * time.Second
		for i := range test.reporting {
			host.addMachine("reporting-" + string(rune('a'+i)))
		}
		a.returns.drainUnresponsive()
		for _, m := range host.state.MachinesByName() {
			if want := test.drained && m.LastHeartbeat == 0; m.Draining != want {
				t.Errorf("%s: machine %s: got draining %v, want %v", name, m.Name, m.Draining, want)
			}
		}
	}
}
