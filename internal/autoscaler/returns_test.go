package autoscaler

import (
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// A machine is returned once its drain is complete, and removed when the cloud confirms that.
func TestDrainedMachineIsReturned(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	host.now = time.Hour
	idle, busy := host.addMachine("idle"), host.addMachine("busy")
	busy.RetainedResults = 1
	host.state.BeginDrain(idle, cluster.Unhealthy)
	host.state.BeginDrain(busy, cluster.Unhealthy)
	if !a.returns.requestReturns() || !idle.Terminating || !idle.TerminationRequested {
		t.Fatal("not requested")
	}
	request := host.answer(t, 200, nil)
	if names := request.body.(protocol.MachineNames).Machines; request.path != "/hosts/return" || !slices.Equal(names, []string{"idle"}) {
		t.Errorf("requested %s of %v", request.path, names)
	}
	if host.state.Machines["idle"] != nil || host.state.Machines["busy"] == nil {
		t.Errorf("machines left: %v", host.state.Machines)
	}
}

// After a return that was not confirmed, the machine goes on draining and is returned again.
func TestUnconfirmedReturnIsRepeated(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	host.now = time.Hour
	m := host.addMachine("m-1")
	host.state.BeginDrain(m, cluster.Unhealthy)
	a.returns.requestReturns()
	host.answer(t, 500, nil)
	if m.Terminating || !m.TerminationRequested || !m.Draining || !a.cloud.backingOff() {
		t.Errorf("terminating %v, requested %v, draining %v, backs off %v", m.Terminating, m.TerminationRequested, m.Draining, a.cloud.backingOff())
	}
	host.now += time.Second
	if a.returns.requestReturns(); len(host.requests) != 1 {
		t.Error("not requested again")
	}
}

// Without budget nothing is sent, and other requests have to wait. What the recovery does not allow
// costs no request.
func TestReturnsRespectBudgets(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	host.now = time.Hour
	host.state.BeginDrain(host.addMachine("m-1"), cluster.Unhealthy)
	host.requestBudget = 0
	if a.returns.requestReturns() || len(host.requests) != 0 {
		t.Error("returned without a request budget")
	}
	host.requestBudget, host.allowed = 1, 0
	if !a.returns.requestReturns() || len(host.requests) != 0 || host.requestBudget != 1 {
		t.Errorf("%d requests are sent, %d left", len(host.requests), host.requestBudget)
	}
}

// A surplus machine is kept while it is billed anyway, and while work may return.
func TestSurplusMachineIsKeptUntilRetentionEnds(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	host.now = time.Hour
	m := host.addMachine("m-1")
	host.state.BeginDrain(m, cluster.SurplusCapacity)
	m.SurplusSince = 0
	if a.returns.requestReturns(); len(host.requests) != 0 {
		t.Error("returned within its first minute")
	}
	host.now += 2 * time.Minute
	m.SurplusSince = host.now
	if a.returns.requestReturns(); len(host.requests) != 0 {
		t.Error("returned at once")
	}
	host.now += time.Hour
	if a.returns.requestReturns(); len(host.requests) != 1 {
		t.Error("never returned")
	}
}

// Silent machines are drained, unless most are silent: then the leader itself is cut off.
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
				t.Errorf("%s: %s is drained: %v", name, m.Name, m.Draining)
			}
		}
	}
}
