package autoscaler

import (
	"net/http"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// machineReturns drains the machines that no longer serve, and returns drained machines to the
// cloud.
type machineReturns struct {
	state    *cluster.State
	cloud    *cloudCalls
	recovery RecoveryLimits
	machines MachineRegistry

	nextRequestAt clock.Instant
}

const (
	// minBilledTime is the shortest time that the cloud bills.
	minBilledTime = 60 * time.Second
	// maxMachinesPerReturn bounds the machines of one request.
	maxMachinesPerReturn = 100
	// returnRequestsPerHeartbeat is the maximum number of return requests per heartbeat interval.
	returnRequestsPerHeartbeat = 4
	// bootTimesUntilOverdue is how many times its boot time a machine may take, in addition to a
	// worker lease, until it is taken for one that never reports.
	bootTimesUntilOverdue = 3
	// missedHeartbeatsUntilCounted is the number of missed heartbeats from which a machine counts
	// among those that are missing.
	missedHeartbeatsUntilCounted = 2
)

// drainUnresponsive drains machines that miss heartbeats, never reported, or run slowly.
func (r *machineReturns) drainUnresponsive() {
	mostRespond := r.mostRespond()
	for _, machine := range r.state.MachinesByName() {
		r.state.DrainIfSlow(machine)
		switch {
		case r.expectedToReport(machine) && r.heartbeatOverdue(machine) && mostRespond:
			// Its return ends its tasks for certain, and sooner than its lease does.
			r.state.BeginDrain(machine, cluster.HeartbeatMissed)
		case !machine.Up && machine.LastHeartbeat == clock.Never && r.bootOverdue(machine):
			r.state.BeginDrain(machine, cluster.NeverReported)
		}
	}
}

// mostRespond reports whether at least half of the machines that are expected to report do so. If
// not, the leader itself is probably partitioned from its workers.
func (r *machineReturns) mostRespond() bool {
	expectedCount, missedCount := 0, 0
	for _, machine := range r.state.Machines {
		if !r.expectedToReport(machine) {
			continue
		}
		expectedCount++
		// Two missed heartbeats count here although they do not cause a drain yet. When
		// the leader itself is partitioned from its workers, the machines that reported
		// first would otherwise be returned before it shows that most are missing.
		missed := r.silence(machine) > missedHeartbeatsUntilCounted*r.state.HeartbeatInterval()
		if r.heartbeatOverdue(machine) || missed {
			missedCount++
		}
	}
	return 2*missedCount <= expectedCount
}

// expectedToReport reports whether a machine should send heartbeats. After a takeover, machines
// that were used before are expected to report too.
func (r *machineReturns) expectedToReport(machine *cluster.Machine) bool {
	return machine.Up || (machine.UseDurable && machine.LastHeartbeat == clock.Never)
}

// silence returns for how long a machine has been silent in this term.
func (r *machineReturns) silence(machine *cluster.Machine) time.Duration {
	return r.state.Clock.Now() - r.state.SilentSince(machine)
}

// heartbeatOverdue reports whether a machine has been silent for so long that it may be returned.
func (r *machineReturns) heartbeatOverdue(machine *cluster.Machine) bool {
	return r.recovery.MayReturnUnresponsive(machine, r.silence(machine))
}

// bootOverdue reports whether a machine should have sent its first heartbeat long ago.
func (r *machineReturns) bootOverdue(machine *cluster.Machine) bool {
	now := r.state.Clock.Now()
	bootLimit := r.state.Config.WorkerLease()
	if machine.MachineType != nil {
		bootLimit += config.Seconds(bootTimesUntilOverdue * machine.MachineType.BootSeconds)
	}
	return now-machine.RentedAt > bootLimit && now-r.state.StartedAt > r.state.Config.WorkerLease()
}

// requestReturns returns the machines whose drain is complete. It reports whether the request
// budget sufficed, so that other requests may follow.
func (r *machineReturns) requestReturns() bool {
	now := r.state.Clock.Now()
	if now < r.nextRequestAt {
		return true
	}
	r.nextRequestAt = now + r.state.HeartbeatInterval()/cluster.LeaseChecksPerHeartbeat
	names := r.returnableMachines()
	if len(names) == 0 {
		return true
	}
	if !r.cloud.takeRequest() {
		r.nextRequestAt = clock.Never
		return false
	}
	r.nextRequestAt = now + r.state.HeartbeatInterval()/returnRequestsPerHeartbeat
	allowedCount := r.recovery.AllowedOperations(recovery.ReturnMachine, len(names))
	if allowedCount == 0 {
		r.cloud.returnRequest()
		return true
	}
	r.sendReturnRequest(names[:allowedCount])
	return true
}

// returnableMachines returns the names of machines that may be returned now, as many as fit into
// one request.
func (r *machineReturns) returnableMachines() []string {
	var names []string
	for _, machine := range r.state.MachinesByName() {
		if len(names) == maxMachinesPerReturn {
			break
		}
		if machine.Draining && !machine.Terminating && !r.worthKeeping(machine) &&
			(machine.MayForceReturn() || isEmpty(machine)) {
			names = append(names, machine.Name)
		}
	}
	return names
}

// worthKeeping reports whether a surplus machine is kept for now: it is already billed, or work
// may return sooner than a new machine would boot.
func (r *machineReturns) worthKeeping(machine *cluster.Machine) bool {
	if machine.DrainReason != cluster.SurplusCapacity {
		return false
	}
	now := r.state.Clock.Now()
	if now-machine.RentedAt < minBilledTime {
		return true
	}
	idleRetention := config.Seconds(r.state.Settings.IdleRetention * machine.MachineType.BootSeconds)
	return now-machine.SurplusSince < idleRetention
}

// isEmpty reports whether neither tasks nor results are on a machine.
func isEmpty(machine *cluster.Machine) bool {
	return len(machine.Attempts) == 0 && machine.RetainedResults == 0 && machine.UnknownTasks == 0
}

// sendReturnRequest requests the return of machines.
func (r *machineReturns) sendReturnRequest(names []string) {
	for _, name := range names {
		machine := r.state.Machines[name]
		machine.Terminating, machine.TerminationRequested = true, true
	}
	request := protocol.MachineNames{Machines: names}
	r.cloud.send("POST", "/hosts/return", request, func(response protocol.CloudResponse) {
		r.onResponse(names, response)
	})
}

// onResponse removes the machines that the cloud has taken back.
func (r *machineReturns) onResponse(names []string, response protocol.CloudResponse) {
	returned := response.Status == http.StatusOK
	for _, name := range names {
		machine := r.state.Machines[name]
		if machine == nil {
			continue
		}
		if !returned {
			machine.Terminating = false // it goes on draining, as a late copy of the request may return it
			continue
		}
		r.state.Log.Info("machine returned", "machine", name, "reason", machine.DrainReason,
			"type", machine.TypeName, "spot", machine.Spot)
		r.machines.RemoveMachine(machine)
	}
	if returned {
		r.cloud.recordSuccess()
	} else {
		r.cloud.recordFailure(response.Status)
	}
}
