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

// machineReturns drains unresponsive and slow machines, and returns drained machines to the cloud.
type machineReturns struct {
	state    *cluster.State
	cloud    *cloudCalls
	recovery RecoveryLimits
	machines MachineRegistry

	nextRequestAt clock.Instant // when requestReturns looks for returnable machines again; never: at once
}

const (
	// minBilledTime is the shortest time for which the cloud bills a machine.
	minBilledTime = 60 * time.Second
	// maxMachinesPerReturn is the maximum number of machines in one return request.
	maxMachinesPerReturn = 100
	// returnRequestsPerHeartbeat is the maximum number of return requests per heartbeat interval.
	returnRequestsPerHeartbeat = 4
	// bootTimesUntilOverdue determines when a machine that has sent no heartbeat since its rental is
	// drained: after this number of boot times of its type, plus one worker lease.
	bootTimesUntilOverdue = 3
	// missedHeartbeatsUntilCounted is the number of heartbeat intervals without a heartbeat after
	// which mostRespond counts a machine as missing.
	missedHeartbeatsUntilCounted = 2
)

// drainUnresponsive drains machines whose heartbeats have stopped or never began, or that run tasks slowly.
func (r *machineReturns) drainUnresponsive() {
	mostRespond := r.mostRespond()
	for _, machine := range r.state.MachinesByName() {
		r.state.DrainIfSlow(machine)
		switch {
		case r.expectedToReport(machine) && r.heartbeatOverdue(machine) && mostRespond:
			// Returning the machine to the cloud ends its tasks for certain, and earlier than the
			// expiry of its worker lease would.
			r.state.BeginDrain(machine, cluster.HeartbeatMissed)
		case !machine.Up && machine.LastHeartbeat == clock.Never && r.bootOverdue(machine):
			r.state.BeginDrain(machine, cluster.NeverReported)
		}
	}
}

// mostRespond reports whether at least half of the machines that should send heartbeats do so. If not, the
// leader itself is probably partitioned from its workers.
func (r *machineReturns) mostRespond() bool {
	expectedCount, missedCount := 0, 0
	for _, machine := range r.state.Machines {
		if !r.expectedToReport(machine) {
			continue
		}
		expectedCount++
		// Two missed heartbeats count here, although a drain needs a longer silence. Otherwise, when
		// the leader itself is partitioned from its workers, the machines that have been silent
		// longest would be returned to the cloud before most machines are counted as missing.
		missed := r.silence(machine) > missedHeartbeatsUntilCounted*r.state.HeartbeatInterval()
		if r.heartbeatOverdue(machine) || missed {
			missedCount++
		}
	}
	return 2*missedCount <= expectedCount
}

// expectedToReport reports whether a machine should send heartbeats: it is up or, after a takeover,
// it may have tasks according to its record and has not sent a heartbeat to this leader yet.
func (r *machineReturns) expectedToReport(machine *cluster.Machine) bool {
	return machine.Up || (machine.UseDurable && machine.LastHeartbeat == clock.Never)
}

// silence returns the time since the last heartbeat of a machine, or since the start of the term if
// that is later.
func (r *machineReturns) silence(machine *cluster.Machine) time.Duration {
	return r.state.Clock.Now() - r.state.SilentSince(machine)
}

// heartbeatOverdue reports whether a machine has been silent for so long that it may be returned to the
// cloud.
func (r *machineReturns) heartbeatOverdue(machine *cluster.Machine) bool {
	return r.recovery.MayReturnUnresponsive(machine, r.silence(machine))
}

// bootOverdue reports whether a machine should have booted and sent its first heartbeat by now. It returns
// false during the first worker lease of a term.
func (r *machineReturns) bootOverdue(machine *cluster.Machine) bool {
	now := r.state.Clock.Now()
	bootLimit := r.state.Config.WorkerLease()
	if machine.MachineType != nil {
		bootLimit += config.Seconds(bootTimesUntilOverdue * machine.MachineType.BootSeconds)
	}
	return now-machine.RentedAt > bootLimit && now-r.state.StartedAt > r.state.Config.WorkerLease()
}

// requestReturns requests the return of machines that are ready for it, at limited rates. It returns
// false if the budget of requests to the cloud is used up, so that the caller sends no other request.
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

// returnableMachines returns the names of the draining machines that may be returned to the cloud now, at
// most maxMachinesPerReturn.
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

// worthKeeping reports whether a machine is surplus but kept for now. It is kept for minBilledTime after
// its rental, which is billed in any case. It is also kept for some time after it became surplus, because
// work may arrive sooner than a new machine would boot.
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

// isEmpty reports whether a machine has neither tasks nor results that its worker must retain.
func isEmpty(machine *cluster.Machine) bool {
	return len(machine.Attempts) == 0 && machine.RetainedResults == 0 && machine.UnknownTasks == 0
}

// sendReturnRequest marks machines as terminating and requests their return from the cloud.
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

// onResponse handles the cloud's response to a return request. It removes the machines if the cloud has
// confirmed their return. Otherwise, their return can be requested again.
func (r *machineReturns) onResponse(names []string, response protocol.CloudResponse) {
	returned := response.Status == http.StatusOK
	for _, name := range names {
		machine := r.state.Machines[name]
		if machine == nil {
			continue
		}
		if !returned {
			machine.Terminating = false // the drain continues, because the request may still take effect
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
