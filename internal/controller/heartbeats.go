package controller

import (
	"slices"
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// onWorkerHeartbeat processes the heartbeat of a worker and responds with the commands for it.
func (l *leader) onWorkerHeartbeat(request Request) {
	node, heartbeat := l.node, request.Heartbeat
	if !l.recordsLoaded {
		l.queueEarlyHeartbeat(request)
		return
	}
	l.lastWorkerHeartbeat = node.now
	if heartbeat.FencingToken > l.term {
		l.noteMismatch(recovery.NewerToken, heartbeat.Machine, "")
		// The worker has seen a newer leader and would drop the responses of this one.
		node.replyUnavailable(request.Origin)
		node.stepDown("a worker has seen a higher token")
		return
	}
	m := l.reportingMachine(heartbeat)
	if m == nil || l.isStaleHeartbeat(m, heartbeat) {
		node.replyUnavailable(request.Origin)
		return
	}
	commands := l.applyHeartbeat(m, heartbeat, request.Origin.Peer)
	if l.drainIfCommandsUndelivered(m) {
		// The response would be lost, and a 200 would only postpone the time from which the
		// worker's lease has certainly expired.
		node.replyUnavailable(request.Origin)
		return
	}
	l.cancelMissedHeartbeatDrain(m)
	l.applyPreemptionNotice(m, heartbeat.PreemptionNoticeSeconds)
	if !m.useDurable {
		l.recordMachine(m, true)
	}
	l.scheduleOnMachine(m)
	l.sendNextTransaction()
	if node.leader != l || !node.holdsLeaderLease() {
		node.replyUnavailable(request.Origin)
		return
	}
	m.lastResponse, m.unconfirmedResponse = node.now, &protocol.HeartbeatResponse{FencingToken: l.term, Commands: l.appendAttemptCommands(m, commands)}
	node.reply(request.Origin, 200, 0, m.unconfirmedResponse)
}

// queueEarlyHeartbeat holds a heartbeat until all records have been read.
func (l *leader) queueEarlyHeartbeat(request Request) {
	if len(l.earlyHeartbeats) >= l.node.maxEarlyHeartbeats() || l.node.election.storeUnavailable() {
		l.node.replyUnavailable(request.Origin)
		return
	}
	l.earlyHeartbeats = append(l.earlyHeartbeats, request)
}

// applyHeartbeat updates the state of a machine from its heartbeat. It returns the commands that
// stop or forget tasks that should not be on the machine.
func (l *leader) applyHeartbeat(m *machine, heartbeat *protocol.WorkerHeartbeat, via string) []protocol.Command {
	tokenAcknowledged := l.carriesToken(heartbeat)
	if heartbeat.Epoch > m.epoch && m.epoch != 0 {
		l.beginEpoch(m)
	}
	sameRoute := l.arrivedBySameRoute(m, heartbeat, via)
	if sameRoute {
		l.recordDelivery(m, via)
	}
	l.trackCommandDelivery(m, heartbeat, tokenAcknowledged, sameRoute)
	if m.tokenAcknowledged != tokenAcknowledged || !m.up {
		m.tokenAcknowledged, m.up, l.schedulingNeeded, l.totalsValid = tokenAcknowledged, true, true, false
	}
	m.epoch, m.heartbeatSeq, m.lastHeartbeat, m.address, m.relayPeer = heartbeat.Epoch, heartbeat.Sequence, l.node.now, heartbeat.Address, via
	previousUnknownTasks := m.unknownTasks
	commands := l.reconcileMachine(m, heartbeat)
	if (m.unknownTasks > 0) != (previousUnknownTasks > 0) {
		l.totalsValid = false
	}
	if tokenAcknowledged && !m.reconciled {
		m.reconciled, l.schedulingNeeded, l.totalsValid = true, true, false
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
func (l *leader) cancelMissedHeartbeatDrain(m *machine) {
	if m.drainReason != heartbeatMissed || m.terminationRequested {
		return
	}
	l.cancelDrain(m)
	if m.unhealthy {
		l.beginDrain(m, unhealthy)
	}
}

// reportingMachine returns the machine that sent a heartbeat and adds it if it is unknown. It
// returns nil for a machine that has been removed, or whose heartbeat is a late copy.
func (l *leader) reportingMachine(heartbeat *protocol.WorkerHeartbeat) *machine {
	if m := l.machines[heartbeat.Machine]; m != nil {
		l.adoptReportedType(m, heartbeat)
		return m
	}
	if _, removed := l.removedMachines[heartbeat.Machine]; removed {
		return nil
	}
	inventoryIncomplete := l.inventoryIncomplete()
	if len(heartbeat.Tasks) > 0 && !inventoryIncomplete {
		// A machine is stored before its first task starts, and its record is deleted only
		// after it has certainly ended. An unrecorded machine with tasks is therefore a late
		// copy of a heartbeat from before its return. It must neither block jobs nor count
		// against a quota.
		l.noteMismatch(recovery.MachineNotRecorded, heartbeat.Machine, "")
		return nil
	}
	l.noteMismatch(recovery.MachineNotRecorded, heartbeat.Machine, "")
	m := l.newMachine(heartbeat.Machine, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	// No leader has stored the machine, so none has started a task on it. It is used only
	// once its heartbeats carry the token of this term.
	m.reconciled = !inventoryIncomplete
	l.node.log.Info("heartbeat from unknown machine", "machine", m.name, "type", m.typeName)
	return m
}

// adoptReportedType sets the type of a machine from its heartbeat where its record could not be
// read.
func (l *leader) adoptReportedType(m *machine, heartbeat *protocol.WorkerHeartbeat) {
	if m.typeName != "" || heartbeat.Type == "" {
		return
	}
	m.typeName, m.zone, m.spot, m.machineType = heartbeat.Type, heartbeat.Zone, heartbeat.Spot, l.node.catalog[heartbeat.Type]
	l.invalidateMachineIndex()
	l.recordMachine(m, true)
}

// isStaleHeartbeat reports whether a heartbeat must be ignored because it comes from another
// worker, arrives late, or is a copy.
func (l *leader) isStaleHeartbeat(m *machine, heartbeat *protocol.WorkerHeartbeat) bool {
	if m.address != "" && heartbeat.Address != "" && heartbeat.Address != m.address {
		// Two workers use one name, or a copy was altered on the way. The first one stays
		// accepted until its lease has certainly expired: a new epoch of the other would be
		// mistaken for the end of all tasks of the first.
		if !m.duplicateName {
			m.duplicateName = true
			l.node.log.Warn("two workers use one machine name", "machine", m.name,
				"address", m.address, "otherAddress", heartbeat.Address)
		}
		return true
	}
	if heartbeat.Epoch < m.epoch || (heartbeat.Epoch == m.epoch && heartbeat.Sequence <= m.heartbeatSeq) || heartbeat.Epoch <= m.fencedEpoch {
		return true // late, or of a fenced epoch, which never gets a 200 again
	}
	// A reconciled machine runs nothing that an earlier leader started: its record says so, or
	// its lease has certainly expired without a response. All later starts carry the token of
	// this term, so a heartbeat with tasks but without the token is an old copy.
	return m.reconciled && !l.carriesToken(heartbeat) && len(heartbeat.Tasks) > 0
}

// beginEpoch handles the first heartbeat of a new worker epoch. The worker has killed all earlier
// tasks.
func (l *leader) beginEpoch(m *machine) {
	l.noteMismatch(recovery.NewerEpoch, m.name, "")
	m.unknownTasks, l.totalsValid = 0, false
	for _, attempt := range m.attemptsInOrder {
		if attempt.phase != attemptAssigned {
			l.releaseAttempt(attempt)
		}
	}
	if l.node.now-m.lastHeartbeat >= l.node.workerLease()/2 {
		return
	}
	// Heartbeats arrived without a gap. Either the worker's lease expired because responses do
	// not reach it, or the worker restarted at once. The next command that it executes decides,
	// or a second new epoch without any sign of a delivered response.
	m.missedResponses++
	if m.unexpectedRestart {
		m.missedResponses = max(m.missedResponses, maxMissedResponses)
	}
	m.unexpectedRestart = true
}

// maxMissedResponses is the number of consecutive responses without a sign of delivery after which
// commands count as undelivered. A worker that hung for a moment, or whose response came after its
// timeout, misses one or two.
const maxMissedResponses = 3

// trackCommandDelivery looks in a heartbeat for signs that the last response was delivered: the
// fencing token, or the effect of its first command, as commands are executed in order. Delivery
// of a response without commands shows by the worker using the same route again. Without that rule
// a machine that had missed a response while idle got no more commands, and so could never show a
// sign of delivery.
func (l *leader) trackCommandDelivery(m *machine, heartbeat *protocol.WorkerHeartbeat, tokenAcknowledged, sameRoute bool) {
	lastResponse := m.unconfirmedResponse
	m.unconfirmedResponse = nil
	switch {
	case lastResponse == nil:
	case !tokenAcknowledged:
		m.missedResponses++
	case len(lastResponse.Commands) > 0:
		if !commandExecuted(lastResponse.Commands[0], heartbeat) {
			m.missedResponses++
			return
		}
		m.missedResponses, m.unexpectedRestart = 0, false
	case !m.tokenAcknowledged || sameRoute:
		m.missedResponses, m.unexpectedRestart = 0, false
	}
}

// commandExecuted reports whether a heartbeat shows that a command was executed.
func commandExecuted(command protocol.Command, heartbeat *protocol.WorkerHeartbeat) bool {
	taskIndex := slices.IndexFunc(heartbeat.Tasks,
		func(task protocol.TaskStatus) bool {
			return task.TaskID == command.TaskID && task.Attempt == command.Attempt
		})
	switch {
	case command.Kind == protocol.CommandStart:
		return taskIndex >= 0
	case taskIndex < 0:
		return true
	case command.Kind == protocol.CommandForget:
		return false
	default:
		return heartbeat.Tasks[taskIndex].State == protocol.TaskCheckpointing || heartbeat.Tasks[taskIndex].State == protocol.TaskExited
	}
}

// drainIfCommandsUndelivered drains a machine whose heartbeats arrive while responses do not reach
// it, and reports whether that is so. Its heartbeats look healthy: otherwise it would keep its
// assigned tasks, count as capacity, and block older jobs after a takeover. It gets no more tasks
// and responses and is returned. Its tasks end by a heartbeat, with the lease, or with the
// machine.
func (l *leader) drainIfCommandsUndelivered(m *machine) bool {
	if m.missedResponses < maxMissedResponses {
		return false
	}
	if m.drainReason != commandsUndelivered {
		undeliveredCount, upCount := 0, 0
		for _, other := range l.machinesByName() {
			if other.up {
				upCount++
				if other.missedResponses > 0 {
					undeliveredCount++
				}
			}
		}
		if upCount > 1 && 2*undeliveredCount > upCount {
			return false // responses of this node do not get through at all
		}
		l.node.log.Info("commands do not reach machine", "machine", m.name, "tasks", len(m.attempts))
		l.beginDrain(m, commandsUndelivered)
	}
	return true
}

// maxCommandsPerResponse keeps a response well below 64 KiB.
const maxCommandsPerResponse = 300

// appendAttemptCommands adds the commands to stop and start task attempts to those of the
// reconciliation.
func (l *leader) appendAttemptCommands(m *machine, commands []protocol.Command) []protocol.Command {
	if commands == nil {
		commands = []protocol.Command{}
	}
	startCount := 0
	for _, attempt := range m.attemptsInOrder {
		if len(commands) >= maxCommandsPerResponse {
			break
		}
		switch {
		case attempt.stopGrace != nil && attempt.phase != attemptAssigned:
			if !l.allowOperation(recovery.StopTask, urgencyOf(attempt.job), attempt.job.spec.Team) {
				continue
			}
			commands = append(commands, protocol.Command{
				Kind: protocol.CommandStop, TaskID: attempt.key(), Attempt: attempt.number, GraceSeconds: attempt.stopGrace})
		case attempt.phase == attemptAssigned && m.tokenAcknowledged && m.useDurable:
			if !l.mayStartTask(attempt, startCount) {
				continue
			}
			startCount++
			attempt.phase = attemptSent
			if !attempt.job.startCommandSent {
				attempt.job.startCommandSent = true
				l.node.traceStep(attempt.job.spec.ID, stepFirstStart, attempt.key()+" on "+m.name)
			}
			commands = append(commands, protocol.Command{Kind: protocol.CommandStart, TaskID: attempt.key(), Attempt: attempt.number})
		}
	}
	return commands
}

// reconcileMachine compares a heartbeat with the recorded state of its machine, and returns the
// commands that stop or forget tasks that should not be there.
func (l *leader) reconcileMachine(m *machine, heartbeat *protocol.WorkerHeartbeat) []protocol.Command {
	var commands []protocol.Command
	for _, attempt := range m.attemptsInOrder {
		attempt.reported = false
	}
	m.unknownTasks, m.retainedResults = 0, 0
	for _, task := range heartbeat.Tasks {
		if command := l.reconcileTask(m, task, l.carriesToken(heartbeat)); command != nil && len(commands) < maxCommandsPerResponse {
			commands = append(commands, *command)
		}
	}
	l.noteOvercommitted(m)
	for _, attempt := range m.attemptsInOrder {
		if attempt.reported || attempt.phase == attemptAssigned {
			continue
		}
		if attempt.phase == attemptSent {
			// The heartbeat is newer than the response with the start command, and workers
			// drop responses that they no longer wait for. The command was not executed and
			// never will be.
			if attempt.stopGrace != nil || attempt.job.terminal {
				l.releaseAttempt(attempt)
			} else {
				attempt.phase = attemptAssigned
			}
			continue
		}
		l.releaseAttempt(attempt)
	}
	return commands
}

// reconcileTask compares one reported task with the recorded state of its machine. It returns the
// command that stops or forgets the task if it should not be there, and nil otherwise.
func (l *leader) reconcileTask(m *machine, task protocol.TaskStatus, tokenAcknowledged bool) *protocol.Command {
	reported := l.lookUpReportedTask(m, task)
	if reported.isTracked() {
		reported.attempt.reported = true
	}
	switch l.reportedTaskAction(m, reported, tokenAcknowledged) {
	case recovery.IgnoreAttempt:
		if task.State == protocol.TaskExited {
			m.retainedResults++
		} else {
			m.unknownTasks++
		}
	case recovery.StoreResult, recovery.ForgetAttempt:
		if l.handleTaskExit(m, reported.job, reported.index, reported.attempt, task) {
			return &protocol.Command{Kind: protocol.CommandForget, TaskID: task.TaskID, Attempt: task.Attempt}
		}
		m.retainedResults++
	case recovery.AwaitToken:
		m.unknownTasks++
	case recovery.AdoptAttempt:
		attempt := &taskAttempt{job: reported.job, taskIndex: reported.index, number: task.Attempt, machine: m, phase: attemptSent, assignedAt: l.node.now}
		l.placeAttempt(attempt)
		attempt.reported = true
		l.updateAttempt(m, attempt, task)
	case recovery.KeepAttempt:
		l.updateAttempt(m, reported.attempt, task)
	case recovery.StopAttempt:
		m.unknownTasks++
		if !l.mayStopUnexpectedTask(reported.job) {
			return nil
		}
		noGrace := 0.0
		return &protocol.Command{Kind: protocol.CommandStop, TaskID: task.TaskID, Attempt: task.Attempt, GraceSeconds: &noGrace}
	}
	return nil
}

// updateAttempt updates a task attempt from the state that its machine reports.
func (l *leader) updateAttempt(m *machine, attempt *taskAttempt, task protocol.TaskStatus) {
	switch task.State {
	case protocol.TaskFetching:
		attempt.phase = attemptFetching
	case protocol.TaskRunning:
		if attempt.phase != attemptRunning {
			attempt.phase, attempt.runningSince = attemptRunning, l.node.now
			attempt.job.lastStartAt = l.node.now
			if attempt.job.firstStartAt == 0 {
				attempt.job.firstStartAt = l.node.now
				l.node.traceStep(attempt.job.spec.ID, stepFirstRunning, attempt.key()+" on "+m.name+" after "+l.jobAge(attempt.job))
				l.node.log.Debug("first task of job running", "job", attempt.job.spec.ID,
					"class", attempt.job.spec.Class, "tasks", attempt.job.spec.TaskCount, "after", l.node.now-attempt.job.eligibleAt)
			}
			m.touchImage(attempt.job.spec.Image, attempt.job.spec.ImageGB)
		}
	case protocol.TaskCheckpointing:
		attempt.phase = attemptSaving
	}
}

// handleTaskExit processes a task that has ended, and reports whether the worker may forget it. A
// result may be forgotten only once it is durable, as the worker has the only copy.
func (l *leader) handleTaskExit(m *machine, j *job, taskIndex int, attempt *taskAttempt, task protocol.TaskStatus) bool {
	now := l.node.now
	isTracked := attempt != nil && attempt.number == task.Attempt
	if j == nil {
		if isTracked {
			l.releaseAttempt(attempt)
		}
		return true // the job has ended, and its terminal record is durable
	}
	if task.ExitReason == protocol.ExitDone {
		if isTracked {
			if attempt.phase == attemptRunning && attempt.runningSince > attempt.assignedAt {
				duration := now - attempt.runningSince
				l.recordPace(m, j, duration)
				l.recordTaskDuration(j, duration)
			}
			m.consecutiveFailures = 0
			clear(m.failedJobs)
			clear(j.failedMachines)
			m.touchImage(j.spec.Image, j.spec.ImageGB)
			l.releaseAttempt(attempt)
		}
		if otherAttempt := j.attempts[taskIndex]; otherAttempt != nil && otherAttempt != attempt {
			l.requestStop(otherAttempt, 0)
		}
		l.markTaskDone(j, taskIndex)
		return j.taskDurable(taskIndex)
	}
	if !isTracked {
		return true
	}
	runDuration := time.Duration(0)
	if attempt.phase == attemptRunning {
		runDuration = now - attempt.runningSince
	}
	l.releaseAttempt(attempt)
	if j.terminal {
		return true
	}
	switch task.ExitReason {
	case protocol.ExitFailed:
		l.recordTaskFailure(m, j, taskIndex, runDuration)
	case protocol.ExitStopped:
	default: // refused: the recorded state of the machine was outdated
		l.delayTask(j, taskIndex, m, l.node.heartbeatInterval())
	}
	return true
}
