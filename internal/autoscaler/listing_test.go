package autoscaler

import (
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// The list is read page by page. Unknown machines in it are added, and old, silent ones that it
// lacks are drained.
func TestMachineListIsReadPageByPage(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	forgotten := host.addMachine("m-4")
	host.now = time.Hour
	reporting := host.addMachine("m-5")
	reporting.RentedAt = 0
	a.listing.startIfDue()
	a.listing.startIfDue() // one at a time
	first := host.answer(t, 200, protocol.HostPage{Machines: []protocol.Host{{Name: "m-1", Type: "c4"}}, Truncated: true})
	if first.path != "/hosts?limit=500&since=" {
		t.Errorf("first page: %s", first.path)
	}
	second := host.answer(t, 200, protocol.HostPage{Machines: []protocol.Host{{Name: "m-2", Type: "c4"}}})
	if second.path != "/hosts?limit=500&since=m-1" {
		t.Errorf("second page: %s", second.path)
	}
	if host.state.Machines["m-1"] == nil || host.state.Machines["m-2"] == nil {
		t.Errorf("machines: %v", host.state.Machines)
	}
	if forgotten.DrainReason != cluster.NotListed || reporting.Draining {
		t.Errorf("drained for %q, and one that reports: %v", forgotten.DrainReason, reporting.Draining)
	}
	if a.listing.startIfDue(); len(host.requests) != 0 {
		t.Error("read again at once")
	}
	host.now += a.listing.listLag()
	if a.listing.startIfDue(); len(host.requests) != 1 {
		t.Error("not read again")
	}
}

// A page that can't be read ends the list: no machine is drained for not being in it.
func TestIncompleteListDrainsNothing(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	m := host.addMachine("m-2")
	host.now = time.Hour
	a.listing.startIfDue()
	host.answer(t, 200, protocol.HostPage{Machines: []protocol.Host{{Name: "m-1", Type: "c4"}}, Truncated: true})
	host.answer(t, 500, nil)
	if m.Draining || a.listing.inProgress || !a.cloud.backingOff() {
		t.Errorf("drained: %v, still read: %v, backs off: %v", m.Draining, a.listing.inProgress, a.cloud.backingOff())
	}
}

// A machine that is listed as failed is drained, unless it reports; one that was removed stays so.
func TestMachineListedAsFailedIsDrained(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	silent, removed := host.addMachine("m-1"), host.addMachine("m-3")
	host.now = time.Hour
	reporting := host.addMachine("m-2")
	host.state.DeleteMachine(removed)
	a.listing.startIfDue()
	host.answer(t, 200, protocol.HostPage{Machines: []protocol.Host{
		{Name: "m-1", State: protocol.HostFailed}, {Name: "m-2", State: protocol.HostFailed}, {Name: "m-3", State: protocol.HostFailed}}})
	if silent.DrainReason != cluster.InstanceFailed || !silent.ListedAsFailed || reporting.Draining {
		t.Errorf("drained for %q, and one that reports: %v", silent.DrainReason, reporting.Draining)
	}
	if host.state.Machines["m-3"] != nil {
		t.Error("a removed machine is back")
	}
}
