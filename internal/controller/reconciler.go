package controller

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// applyHeartbeat updates the state of a machine from its heartbeat. It returns the commands that
// stop or forget tasks that should not be on the machine.
func (l *leader) applyHeartbeat(m *cluster.Machine, heartbeat *protocol.WorkerHeartbeat, via string) []protocol.Command {
	tokenAcknowledged := l.carriesToken(heartbeat)
	if heartbeat.Epoch > m.Epoch && m.Epoch != 0 {
		l.beginEpoch(m)
	}
	sameRoute := l.arrivedBySameRoute(m, heartbeat, via)
	if sameRoute {
		l.recordDelivery(m, via)
	}
	l.trackCommandDelivery(m, heartbeat, tokenAcknowledged, sameRoute)
	if m.TokenAcknowledged != tokenAcknowledged || !m.Up {
		m.TokenAcknowledged, m.Up, l.SchedulingNeeded, l.TotalsValid = tokenAcknowledged, true, true, false
	}
	m.Epoch, m.HeartbeatSeq, m.LastHeartbeat, m.Address, m.RelayPeer = heartbeat.Epoch, heartbeat.Sequence, l.node.now, heartbeat.Address, via
	previousUnknownTasks := m.UnknownTasks
	commands := l.reconcileMachine(m, heartbeat)
	if (m.UnknownTasks > 0) != (previousUnknownTasks > 0) {
		l.TotalsValid = false
	}
	if tokenAcknowledged && !m.Reconciled {
		m.Reconciled, l.SchedulingNeeded, l.TotalsValid = true, true, false
	}
	return commands
}

// carriesToken reports whether a heartbeat carries the fencing token of the current term.
func (l *leader) carriesToken(heartbeat *protocol.WorkerHeartbeat) bool {
	return heartbeat.FencingToken == l.term
}

// cancelMissedHeartbeatDrain cancels the drain of a machine that missed heartbeats and reports
// again, unless its termination has been requested already. The worker or this leader may only
// have been partitioned. Without this, a thousand machines were returned after an outage of the
// cloud API although they had been running tasks again for half a minute.
func (l *leader) cancelMissedHeartbeatDrain(m *cluster.Machine) {
	if m.DrainReason != cluster.HeartbeatMissed || m.TerminationRequested {
		return
	}
	l.CancelDrain(m)
	if m.Unhealthy {
		l.BeginDrain(m, cluster.Unhealthy)
	}
}

// reportingMachine returns the machine that sent a heartbeat and adds it if it is unknown. It
// returns nil for a machine that has been removed, or whose heartbeat is a late copy.
func (l *leader) reportingMachine(heartbeat *protocol.WorkerHeartbeat) *cluster.Machine {
	if m := l.Machines[heartbeat.Machine]; m != nil {
		l.adoptReportedType(m, heartbeat)
		return m
	}
	if _, removed := l.RemovedMachines[heartbeat.Machine]; removed {
		return nil
	}
	inventoryIncomplete := l.InventoryIncomplete()
	if len(heartbeat.Tasks) > 0 && !inventoryIncomplete {
		// A machine is stored before its first task starts, and its record is deleted only
		// after it has certainly ended. An unrecorded machine with tasks is therefore a late
		// copy of a heartbeat from before its return. It must neither block jobs nor count
		// against a quota.
		l.recovery.NoteMismatch(recovery.MachineNotRecorded, heartbeat.Machine, "")
		return nil
	}
	l.recovery.NoteMismatch(recovery.MachineNotRecorded, heartbeat.Machine, "")
	m := l.NewMachine(heartbeat.Machine, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	// No leader has stored the machine, so none has started a task on it. It is used only
	// once its heartbeats carry the token of this term.
	m.Reconciled = !inventoryIncomplete
	l.node.log.Info("heartbeat from unknown machine", "machine", m.Name, "type", m.TypeName)
	return m
}

// adoptReportedType sets the type of a machine from its heartbeat where its record could not be
// read.
func (l *leader) adoptReportedType(m *cluster.Machine, heartbeat *protocol.WorkerHeartbeat) {
	if m.TypeName != "" || heartbeat.Type == "" {
		return
	}
	m.TypeName, m.Zone, m.Spot, m.MachineType = heartbeat.Type, heartbeat.Zone, heartbeat.Spot, l.node.catalog[heartbeat.Type]
	l.InvalidateMachineIndex()
	l.recordMachine(m, true)
}

// isStaleHeartbeat reports whether a heartbeat must be ignored because it comes from another
// worker, arrives late, or is a copy.
func (l *leader) isStaleHeartbeat(m *cluster.Machine, heartbeat *protocol.WorkerHeartbeat) bool {
	if m.Address != "" && heartbeat.Address != "" && heartbeat.Address != m.Address {
		// Two workers use one name, or a copy was altered on the way. The first one stays
		// accepted until its lease has certainly expired: a new epoch of the other would be
		// mistaken for the end of all tasks of the first.
		if !m.DuplicateName {
			m.DuplicateName = true
			l.node.log.Warn("two workers use one machine name", "machine", m.Name,
				"address", m.Address, "otherAddress", heartbeat.Address)
		}
		return true
	}
	if heartbeat.Epoch < m.Epoch || (heartbeat.Epoch == m.Epoch && heartbeat.Sequence <= m.HeartbeatSeq) || heartbeat.Epoch <= m.FencedEpoch {
		return true // late, or of a fenced epoch, which never gets a 200 again
	}
	// A reconciled machine runs nothing that an earlier leader started: its record says so, or
	// its lease has certainly expired without a response. All later starts carry the token of
	// this term, so a heartbeat with tasks but without the token is an old copy.
	return m.Reconciled && !l.carriesToken(heartbeat) && len(heartbeat.Tasks) > 0
}

// beginEpoch handles the first heartbeat of a new worker epoch. The worker has killed all earlier
// tasks.
func (l *leader) beginEpoch(m *cluster.Machine) {
	l.recovery.NoteMismatch(recovery.NewerEpoch, m.Name, "")
	m.UnknownTasks, l.TotalsValid = 0, false
	for _, attempt := range m.AttemptsInOrder {
		if attempt.Phase != cluster.AttemptAssigned {
			l.ReleaseAttempt(attempt)
		}
	}
	if l.node.now-m.LastHeartbeat >= l.node.workerLease()/2 {
		return
	}
	// Heartbeats arrived without a gap. Either the worker's lease expired because responses do
	// not reach it, or the worker restarted at once. The next command that it executes decides,
	// or a second new epoch without any sign of a delivered response.
	m.MissedResponses++
	if m.UnexpectedRestart {
		m.MissedResponses = max(m.MissedResponses, maxMissedResponses)
	}
	m.UnexpectedRestart = true
}
