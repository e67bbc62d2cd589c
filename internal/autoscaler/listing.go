package autoscaler

import (
	"fmt"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// machineListing reads the machine list of the cloud, page by page, and compares it with the
// machines of the cluster state.
type machineListing struct {
	state    *cluster.State
	cloud    *cloudCalls
	machines MachineRegistry

	startedAt   clock.Instant   // when the last listing started; never: none has
	inProgress  bool            // a listing has started, and not all its pages are read
	listedNames map[string]bool // names of the machines in the pages read so far
}

// machinesPerPage is the maximum number of machines in a page of the list.
const machinesPerPage = 500

// startIfDue requests the first page of the list if no listing is in progress, the last listing started at
// least listLag ago, and the budget of requests to the cloud allows one.
func (l *machineListing) startIfDue() {
	now := l.state.Clock.Now()
	if l.inProgress || now < l.startedAt+l.listLag() || !l.cloud.takeRequest() {
		return
	}
	l.inProgress, l.startedAt, l.listedNames = true, now, map[string]bool{}
	l.requestPage("")
}

// requestPage requests the page that starts after the machine afterName or, if that is empty, the first
// page.
func (l *machineListing) requestPage(afterName string) {
	path := fmt.Sprintf("/hosts?limit=%d&since=%s", machinesPerPage, afterName)
	l.cloud.send("GET", path, nil, l.onPage)
}

// onPage processes a page of the list and requests the next one. After the last page, it drains the
// machines that the list lacks. A failed request ends the listing, and no machine is drained.
func (l *machineListing) onPage(response protocol.CloudResponse) {
	var page protocol.HostPage
	if !response.Decode(&page) {
		l.inProgress = false
		l.cloud.recordFailure(response.Status)
		return
	}
	l.cloud.recordSuccess()
	for _, host := range page.Machines {
		l.recordHost(host)
	}
	if page.Truncated {
		l.requestPage(page.Machines[len(page.Machines)-1].Name)
		return
	}
	l.inProgress = false
	l.drainUnlisted()
}

// recordHost adds a listed machine that the cluster state lacks, and drains one that is listed as
// failed. Machines removed in this term are ignored.
func (l *machineListing) recordHost(host protocol.Host) {
	l.listedNames[host.Name] = true
	if _, removed := l.state.RemovedMachines[host.Name]; removed {
		return
	}
	machine := l.state.Machines[host.Name]
	if machine == nil {
		machine = l.machines.AddListedMachine(host)
		l.state.Log.Info("cloud lists a machine without a record, adding it",
			"machine", machine.Name, "state", host.State)
	}
	silence := l.state.Clock.Now() - machine.LastHeartbeat
	if host.State == protocol.HostFailed && !machine.ListedAsFailed && silence > 2*l.state.HeartbeatInterval() {
		// A machine that sends heartbeats has not failed, whatever the list says, and its return to
		// the cloud would kill all its tasks. So only a silent machine is drained.
		machine.ListedAsFailed = true
		l.state.BeginDrain(machine, cluster.InstanceFailed)
	}
}

// drainUnlisted drains the machines that are missing from the complete list. Lists lag, so only
// machines that are old enough and silent are drained. If such a machine still exists, the return request
// that follows the drain ends it.
func (l *machineListing) drainUnlisted() {
	for _, machine := range l.state.MachinesByName() {
		oldEnough := l.startedAt-machine.RentedAt > 4*l.listLag()
		silent := l.startedAt-l.state.SilentSince(machine) > l.state.Config.WorkerLease()/2
		if !l.listedNames[machine.Name] && oldEnough && silent {
			l.state.BeginDrain(machine, cluster.NotListed)
		}
	}
}

// listLag returns the time by which the machine list of the cloud may be outdated. It is also the
// interval between two listings.
func (l *machineListing) listLag() time.Duration {
	return config.Seconds(l.state.Config.Cloud.ListLagS)
}
