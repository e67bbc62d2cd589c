package controller

import (
	"slices"
	"time"

	"hitchdoor/internal/cluster"

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
	l.ApplyPreemptionNotice(m, heartbeat.PreemptionNoticeSeconds)
	if !m.UseDurable {
		l.recordMachine(m, true)
	}
	l.ScheduleOnMachine(m)
	l.sendNextTransaction()
	if node.leader != l || !node.holdsLeaderLease() {
		node.replyUnavailable(request.Origin)
		return
	}
	m.LastResponse, m.UnconfirmedResponse = node.now, &protocol.HeartbeatResponse{FencingToken: l.term, Commands: l.appendAttemptCommands(m, commands)}
	node.reply(request.Origin, 200, 0, m.UnconfirmedResponse)
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
		l.noteMismatch(recovery.MachineNotRecorded, heartbeat.Machine, "")
		return nil
	}
	l.noteMismatch(recovery.MachineNotRecorded, heartbeat.Machine, "")
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
	m.TypeName, m.Zone, m.Spot, m.MachineType = heartbeat.Type, heartbeat.Zone, heartbeat.Spot, l.Catalog[heartbeat.Type]
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
	l.noteMismatch(recovery.NewerEpoch, m.Name, "")
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

// maxMissedResponses is the number of consecutive responses without a sign of delivery after which
// commands count as undelivered. A worker that hung for a moment, or whose response came after its
// timeout, misses one or two.
const maxMissedResponses = 3

// trackCommandDelivery looks in a heartbeat for signs that the last response was delivered: the
// fencing token, or the effect of its first command, as commands are executed in order. Delivery
// of a response without commands shows by the worker using the same route again. Without that rule
// a machine that had missed a response while idle got no more commands, and so could never show a
// sign of delivery.
func (l *leader) trackCommandDelivery(m *cluster.Machine, heartbeat *protocol.WorkerHeartbeat, tokenAcknowledged, sameRoute bool) {
	lastResponse := m.UnconfirmedResponse
	m.UnconfirmedResponse = nil
	switch {
	case lastResponse == nil:
	case !tokenAcknowledged:
		m.MissedResponses++
	case len(lastResponse.Commands) > 0:
		if !commandExecuted(lastResponse.Commands[0], heartbeat) {
			m.MissedResponses++
			return
		}
		m.MissedResponses, m.UnexpectedRestart = 0, false
	case !m.TokenAcknowledged || sameRoute:
		m.MissedResponses, m.UnexpectedRestart = 0, false
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
func (l *leader) drainIfCommandsUndelivered(m *cluster.Machine) bool {
	if m.MissedResponses < maxMissedResponses {
		return false
	}
	if m.DrainReason != cluster.CommandsUndelivered {
		undeliveredCount, upCount := 0, 0
		for _, other := range l.MachinesByName() {
			if other.Up {
				upCount++
				if other.MissedResponses > 0 {
					undeliveredCount++
				}
			}
		}
		if upCount > 1 && 2*undeliveredCount > upCount {
			return false // responses of this node do not get through at all
		}
		l.node.log.Info("commands do not reach machine", "machine", m.Name, "tasks", len(m.Attempts))
		l.BeginDrain(m, cluster.CommandsUndelivered)
	}
	return true
}

// maxCommandsPerResponse keeps a response well below 64 KiB.
const maxCommandsPerResponse = 300

// appendAttemptCommands adds the commands to stop and start task attempts to those of the
// reconciliation.
func (l *leader) appendAttemptCommands(m *cluster.Machine, commands []protocol.Command) []protocol.Command {
	if commands == nil {
		commands = []protocol.Command{}
	}
	startCount := 0
	for _, attempt := range m.AttemptsInOrder {
		if len(commands) >= maxCommandsPerResponse {
			break
		}
		switch {
		case attempt.StopGrace != nil && attempt.Phase != cluster.AttemptAssigned:
			if !l.allowOperation(recovery.StopTask, urgencyOf(attempt.Job), attempt.Job.Spec.Team) {
				continue
			}
			commands = append(commands, protocol.Command{
				Kind: protocol.CommandStop, TaskID: attempt.Key(), Attempt: attempt.Number, GraceSeconds: attempt.StopGrace})
		case attempt.Phase == cluster.AttemptAssigned && m.TokenAcknowledged && m.UseDurable:
			if !l.mayStartTask(attempt, startCount) {
				continue
			}
			startCount++
			attempt.Phase = cluster.AttemptSent
			if !attempt.Job.StartCommandSent {
				attempt.Job.StartCommandSent = true
				l.node.traceStep(attempt.Job.Spec.ID, stepFirstStart, attempt.Key()+" on "+m.Name)
			}
			commands = append(commands, protocol.Command{Kind: protocol.CommandStart, TaskID: attempt.Key(), Attempt: attempt.Number})
		}
	}
	return commands
}

// reconcileMachine compares a heartbeat with the recorded state of its machine, and returns the
// commands that stop or forget tasks that should not be there.
func (l *leader) reconcileMachine(m *cluster.Machine, heartbeat *protocol.WorkerHeartbeat) []protocol.Command {
	var commands []protocol.Command
	for _, attempt := range m.AttemptsInOrder {
		attempt.Reported = false
	}
	m.UnknownTasks, m.RetainedResults = 0, 0
	for _, task := range heartbeat.Tasks {
		if command := l.reconcileTask(m, task, l.carriesToken(heartbeat)); command != nil && len(commands) < maxCommandsPerResponse {
			commands = append(commands, *command)
		}
	}
	l.noteOvercommitted(m)
	for _, attempt := range m.AttemptsInOrder {
		if attempt.Reported || attempt.Phase == cluster.AttemptAssigned {
			continue
		}
		if attempt.Phase == cluster.AttemptSent {
			// The heartbeat is newer than the response with the start command, and workers
			// drop responses that they no longer wait for. The command was not executed and
			// never will be.
			if attempt.StopGrace != nil || attempt.Job.Terminal {
				l.ReleaseAttempt(attempt)
			} else {
				attempt.Phase = cluster.AttemptAssigned
			}
			continue
		}
		l.ReleaseAttempt(attempt)
	}
	return commands
}

// reconcileTask compares one reported task with the recorded state of its machine. It returns the
// command that stops or forgets the task if it should not be there, and nil otherwise.
func (l *leader) reconcileTask(m *cluster.Machine, task protocol.TaskStatus, tokenAcknowledged bool) *protocol.Command {
	reported := l.lookUpReportedTask(m, task)
	if reported.isTracked() {
		reported.attempt.Reported = true
	}
	switch l.reportedTaskAction(m, reported, tokenAcknowledged) {
	case recovery.IgnoreAttempt:
		if task.State == protocol.TaskExited {
			m.RetainedResults++
		} else {
			m.UnknownTasks++
		}
	case recovery.StoreResult, recovery.ForgetAttempt:
		if l.handleTaskExit(m, reported.job, reported.index, reported.attempt, task) {
			return &protocol.Command{Kind: protocol.CommandForget, TaskID: task.TaskID, Attempt: task.Attempt}
		}
		m.RetainedResults++
	case recovery.AwaitToken:
		m.UnknownTasks++
	case recovery.AdoptAttempt:
		attempt := &cluster.TaskAttempt{Job: reported.job, TaskIndex: reported.index, Number: task.Attempt, Machine: m, Phase: cluster.AttemptSent, AssignedAt: l.node.now}
		l.PlaceAttempt(attempt)
		attempt.Reported = true
		l.updateAttempt(m, attempt, task)
	case recovery.KeepAttempt:
		l.updateAttempt(m, reported.attempt, task)
	case recovery.StopAttempt:
		m.UnknownTasks++
		if !l.mayStopUnexpectedTask(reported.job) {
			return nil
		}
		noGrace := 0.0
		return &protocol.Command{Kind: protocol.CommandStop, TaskID: task.TaskID, Attempt: task.Attempt, GraceSeconds: &noGrace}
	}
	return nil
}

// updateAttempt updates a task attempt from the state that its machine reports.
func (l *leader) updateAttempt(m *cluster.Machine, attempt *cluster.TaskAttempt, task protocol.TaskStatus) {
	switch task.State {
	case protocol.TaskFetching:
		attempt.Phase = cluster.AttemptFetching
	case protocol.TaskRunning:
		if attempt.Phase != cluster.AttemptRunning {
			attempt.Phase, attempt.RunningSince = cluster.AttemptRunning, l.node.now
			attempt.Job.LastStartAt = l.node.now
			if attempt.Job.FirstStartAt == 0 {
				attempt.Job.FirstStartAt = l.node.now
				l.node.traceStep(attempt.Job.Spec.ID, stepFirstRunning, attempt.Key()+" on "+m.Name+" after "+l.jobAge(attempt.Job))
				l.node.log.Debug("first task of job running", "job", attempt.Job.Spec.ID,
					"class", attempt.Job.Spec.Class, "tasks", attempt.Job.Spec.TaskCount, "after", l.node.now-attempt.Job.EligibleAt)
			}
			m.TouchImage(attempt.Job.Spec.Image, attempt.Job.Spec.ImageGB)
		}
	case protocol.TaskCheckpointing:
		attempt.Phase = cluster.AttemptSaving
	}
}

// handleTaskExit processes a task that has ended, and reports whether the worker may forget it. A
// result may be forgotten only once it is durable, as the worker has the only copy.
func (l *leader) handleTaskExit(m *cluster.Machine, j *cluster.Job, taskIndex int, attempt *cluster.TaskAttempt, task protocol.TaskStatus) bool {
	now := l.node.now
	isTracked := attempt != nil && attempt.Number == task.Attempt
	if j == nil {
		if isTracked {
			l.ReleaseAttempt(attempt)
		}
		return true // the job has ended, and its terminal record is durable
	}
	if task.ExitReason == protocol.ExitDone {
		if isTracked {
			if attempt.Phase == cluster.AttemptRunning && attempt.RunningSince > attempt.AssignedAt {
				duration := now - attempt.RunningSince
				l.RecordPace(m, j, duration)
				l.RecordTaskDuration(j, duration)
			}
			m.ConsecutiveFailures = 0
			clear(m.FailedJobs)
			clear(j.FailedMachines)
			m.TouchImage(j.Spec.Image, j.Spec.ImageGB)
			l.ReleaseAttempt(attempt)
		}
		if otherAttempt := j.Attempts[taskIndex]; otherAttempt != nil && otherAttempt != attempt {
			l.RequestStop(otherAttempt, 0)
		}
		l.markTaskDone(j, taskIndex)
		return j.TaskDurable(taskIndex)
	}
	if !isTracked {
		return true
	}
	runDuration := time.Duration(0)
	if attempt.Phase == cluster.AttemptRunning {
		runDuration = now - attempt.RunningSince
	}
	l.ReleaseAttempt(attempt)
	if j.Terminal {
		return true
	}
	switch task.ExitReason {
	case protocol.ExitFailed:
		l.RecordTaskFailure(m, j, taskIndex, runDuration)
	case protocol.ExitStopped:
	default: // refused: the recorded state of the machine was outdated
		l.DelayTask(j, taskIndex, m, l.node.heartbeatInterval())
	}
	return true
}
