package controller

import (
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

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
		if !l.recovery.MayStopTask(reported.job) {
			return nil
		}
		noGrace := 0.0
		return &protocol.Command{Kind: protocol.CommandStop, TaskID: task.TaskID, Attempt: task.Attempt, GraceSeconds: &noGrace}
	}
	return nil
}

// reportedTask is a task in a worker's heartbeat, with this leader's state of it.
type reportedTask struct {
	protocol.TaskStatus
	jobID   string
	index   int
	job     *cluster.Job         // nil: the job is not open
	attempt *cluster.TaskAttempt // the attempt at this task on this machine, whatever its number; nil: none
}

// isTracked reports whether this leader tracks the reported attempt on the machine.
func (x *reportedTask) isTracked() bool { return x.attempt != nil && x.attempt.Number == x.Attempt }

// lookUpReportedTask looks up the state of a task that a machine reports.
func (l *leader) lookUpReportedTask(machine *cluster.Machine, report protocol.TaskStatus) *reportedTask {
	task := &reportedTask{TaskStatus: report, attempt: machine.Attempts[report.TaskID]}
	var ok bool
	task.jobID, task.index, ok = cluster.ParseTaskKey(report.TaskID)
	if j := l.Jobs[task.jobID]; ok && j != nil && task.index < j.Spec.TaskCount {
		task.job = j
	}
	return task
}

// reportedTaskAction decides what to do with a reported task, and counts a mismatch if there is one.
func (l *leader) reportedTaskAction(machine *cluster.Machine, task *reportedTask, tokenAcknowledged bool) recovery.Action {
	facts := recovery.ReportedTask{JobState: l.reconciliationJobState(task.jobID, task.job),
		Exited: task.State == protocol.TaskExited, Completed: task.ExitReason == protocol.ExitDone,
		Tracked: task.isTracked(), TokenAcknowledged: tokenAcknowledged}
	if task.job != nil {
		currentAttempt := task.job.Attempts[task.index]
		facts.TrackedElsewhere = currentAttempt != nil && currentAttempt != task.attempt ||
			task.attempt != nil && !facts.Tracked
		facts.CompletionKnown = task.job.TaskState(task.index) == cluster.TaskDone
	}
	action, kind, differs := recovery.ReconcileTask(facts)
	if differs && (kind != recovery.JobNeverStored || l.node.terminalJobs.loaded) {
		l.recovery.NoteMismatch(kind, machine.Name, task.TaskID)
	}
	return action
}

// reconciliationJobState is the state of a reported task's job, as the reconciliation needs it.
func (l *leader) reconciliationJobState(jobID string, job *cluster.Job) recovery.JobState {
	_, isTerminal := l.node.terminalJobs.byID[jobID]
	switch {
	case job != nil && job.Terminal || isTerminal || l.EndedJobs[jobID]:
		return recovery.JobStateTerminal
	case l.quarantine.unreadableJobs[jobID]:
		return recovery.JobStateQuarantined
	case job != nil:
		return recovery.JobStateOpen
	default:
		return recovery.JobStateUnknown
	}
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

// noteOvercommitted counts a machine whose tasks use more cores than it has.
func (l *leader) noteOvercommitted(machine *cluster.Machine) {
	if machine.MachineType != nil && machine.UsedCores > machine.MachineType.Cores+cluster.ResourceTolerance {
		l.recovery.NoteMismatch(recovery.MachineOvercommitted, machine.Name, "")
	}
}
