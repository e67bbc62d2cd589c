package autoscaler

import (
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
	for _, m := range r.state.MachinesByName() {
		r.state.DrainIfSlow(m)
		switch {
		case r.expectedToReport(m) && r.heartbeatOverdue(m) && mostRespond:
			// Its return ends its tasks for certain, and sooner than its lease does.
			r.state.BeginDrain(m, cluster.HeartbeatMissed)
		case !m.Up && m.LastHeartbeat == clock.Never && r.bootOverdue(m):
			r.state.BeginDrain(m, cluster.NeverReported)
		}
	}
}

// mostRespond reports whether at least half of the machines that are expected to report do so. If
// not, the leader itself is probably partitioned from its workers.
func (r *machineReturns) mostRespond() bool {
	expectedCount, missedCount := 0, 0
	for _, m := range r.state.Machines {
		if !r.expectedToReport(m) {
			continue
		}
		expectedCount++
		// Two missed heartbeats count here although they do not cause a drain yet. When
		// the leader itself is partitioned from its workers, the machines that reported
		// first would otherwise be returned before it shows that most are missing.
		if r.heartbeatOverdue(m) || r.silence(m) > missedHeartbeatsUntilCounted*r.state.HeartbeatInterval() {
			missedCount++
		}
	}
	return 2*missedCount <= expectedCount
}

// expectedToReport reports whether a machine should send heartbeats. After a takeover, machines
// that were used before are expected to report too.
func (r *machineReturns) expectedToReport(m *cluster.Machine) bool {
	return m.Up || (m.UseDurable && m.LastHeartbeat == clock.Never)
}

// silence returns for how long a machine has been silent in this term.
func (r *machineReturns) silence(m *cluster.Machine) time.Duration {
	return r.state.Clock.Now() - r.state.SilentSince(m)
}

// heartbeatOverdue reports whether a machine has been silent for so long that it may be returned.
func (r *machineReturns) heartbeatOverdue(m *cluster.Machine) bool {
	return r.recovery.MayReturnUnresponsive(m, r.silence(m))
}

// bootOverdue reports whether a machine should have sent its first heartbeat long ago.
func (r *machineReturns) bootOverdue(m *cluster.Machine) bool {
	now := r.state.Clock.Now()
	bootLimit := workerLeaseOf(r.state)
	if m.MachineType != nil {
		bootLimit += config.Seconds(bootTimesUntilOverdue * m.MachineType.BootSeconds)
	}
	return now-m.RentedAt > bootLimit && now-r.state.StartedAt > workerLeaseOf(r.state)
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
	r.requestReturn(names[:allowedCount])
	return true
}

// returnableMachines returns the names of machines that may be returned now, as many as fit into
// one request.
func (r *machineReturns) returnableMachines() []string {
	var names []string
	for _, m := range r.state.MachinesByName() {
		if len(names) == maxMachinesPerReturn {
			break
		}
		if m.Draining && !m.Terminating && !r.worthKeeping(m) && (m.MayForceReturn() || isEmpty(m)) {
			names = append(names, m.Name)
		}
	}
	return names
}

// worthKeeping reports whether a surplus machine is kept for now: it is already billed, or work
// may return sooner than a new machine would boot.
func (r *machineReturns) worthKeeping(m *cluster.Machine) bool {
	if m.DrainReason != cluster.SurplusCapacity {
		return false
	}
	now := r.state.Clock.Now()
	if now-m.RentedAt < minBilledTime {
		return true
	}
	idleRetention := config.Seconds(r.state.Settings.IdleRetention * m.MachineType.BootSeconds)
	return now-m.SurplusSince < idleRetention
}

// isEmpty reports whether neither tasks nor results are on a machine.
func isEmpty(m *cluster.Machine) bool {
	return len(m.Attempts) == 0 && m.RetainedResults == 0 && m.UnknownTasks == 0
}

// requestReturn requests the return of machines.
func (r *machineReturns) requestReturn(names []string) {
	for _, name := range names {
		m := r.state.Machines[name]
		m.Terminating, m.TerminationRequested = true, true
	}
	r.cloud.send("POST", "/hosts/return", protocol.MachineNames{Machines: names}, func(response CloudResponse) {
		r.onResponse(names, response)
	})
}

// onResponse removes the machines that the cloud has taken back.
func (r *machineReturns) onResponse(names []string, response CloudResponse) {
	returned := response.Status == 200
	for _, name := range names {
		m := r.state.Machines[name]
		if m == nil {
			continue
		}
		if !returned {
			m.Terminating = false // it goes on draining, as a late copy of the request may return it
			continue
		}
		r.state.Log.Info("machine returned", "machine", name, "reason", m.DrainReason, "type", m.TypeName, "spot", m.Spot)
		r.machines.RemoveMachine(m)
	}
	if returned {
		r.cloud.recordSuccess()
	} else {
		r.cloud.recordFailure(response.Status)
	}
}
