package autoscaler

import (
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// The cloud's list must be read page by page. Unknown machines in the list must be added, and old, silent
// machines that the list lacks must be drained. If one page were taken for the whole list, the machines on
// the other pages would be drained.
func TestMachineListIsReadPageByPage(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	unlisted := host.addMachine("m-4")
	host.now = time.Hour
	reporting := host.addMachine("m-5")
	reporting.RentedAt = 0
	a.listing.startIfDue()
	a.listing.startIfDue() // has no effect while a listing is in progress
	first := host.answer(t, 200, protocol.HostPage{Machines: []protocol.Host{{Name: "m-1", Type: "c4"}}, Truncated: true})
	if first.path != "/hosts?limit=500&since=" {
		t.Errorf("request of the first page: got %s, want one with an empty since", first.path)
	}
	second := host.answer(t, 200, protocol.HostPage{Machines: []protocol.Host{{Name: "m-2", Type: "c4"}}})
	if second.path != "/hosts?limit=500&since=m-1" {
		t.Errorf("request of the second page: got %s, want one since m-1", second.path)
	}
	if host.state.Machines["m-1"] == nil || host.state.Machines["m-2"] == nil {
		t.Errorf("machines: got %v, want m-1 and m-2 among them", host.state.Machines)
	}
	if unlisted.DrainReason != cluster.NotListed || reporting.Draining {
		t.Errorf("unlisted machine: got drain reason %q, want %q; unlisted machine with heartbeats: got draining %v, "+
			"want false", unlisted.DrainReason, cluster.NotListed, reporting.Draining)
	}
	if a.listing.startIfDue(); len(host.requests) != 0 {
		t.Error("the list was requested again before the listing interval had passed")
	}
	host.now += a.listing.listLag()
	if a.listing.startIfDue(); len(host.requests) != 1 {
		t.Error("the list was not requested again after the listing interval")
	}
}

// A failed request of a page ends the listing. The list is then incomplete, so no machine may be
// drained for being missing from it.
func TestIncompleteListDrainsNothing(t *testing.T) {
	a, host := newFakeAutoscaler(t)
	m := host.addMachine("m-2")
	host.now = time.Hour
	a.listing.startIfDue()
	host.answer(t, 200, protocol.HostPage{Machines: []protocol.Host{{Name: "m-1", Type: "c4"}}, Truncated: true})
	host.answer(t, 500, nil)
	if m.Draining || a.listing.inProgress || !a.cloud.backingOff() {
		t.Errorf("after a failed page: draining %v, listing in progress %v, backing off %v; want false, false, true",
			m.Draining, a.listing.inProgress, a.cloud.backingOff())
	}
}

// A machine that is listed as failed must be drained, unless it sends heartbeats: its return to the cloud
// would kill its tasks. A removed machine that an outdated list still contains must not be added again.
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
		t.Errorf("silent machine: got drain reason %q, want %q; machine with heartbeats: got draining %v, want false",
			silent.DrainReason, cluster.InstanceFailed, reporting.Draining)
	}
	if host.state.Machines["m-3"] != nil {
		t.Error("the removed machine m-3 was added again")
	}
}
