package reconcile

import (
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// reportedTask is a task in a worker's heartbeat, with this leader's state of the task.
type reportedTask struct {
	protocol.TaskStatus
	machine *cluster.Machine // the machine that reports the task
	jobID   string
	index   int
	job     *cluster.Job // nil if the job is not open
	// attempt is the attempt at this task that the leader tracks on machine, nil if none. Its number may
	// differ from the reported one.
	attempt *cluster.TaskAttempt
}

// isTracked reports whether this leader tracks the reported attempt on the reporting machine.
func (t *reportedTask) isTracked() bool { return t.attempt != nil && t.attempt.Number == t.Attempt }

// lookUpReportedTask looks up the job and the attempt of a task that a machine reports.
func (r *Reconciler) lookUpReportedTask(machine *cluster.Machine, report protocol.TaskStatus) *reportedTask {
	task := &reportedTask{TaskStatus: report, machine: machine, attempt: machine.Attempts[report.TaskID]}
	var ok bool
	task.jobID, task.index, ok = cluster.ParseTaskKey(report.TaskID)
	if job := r.Jobs[task.jobID]; ok && job != nil && task.index < job.Spec.TaskCount {
		task.job = job
	}
	return task
}

// reconcileTasks compares the tasks in a heartbeat with the tracked attempts of its machine. It
// returns the commands to stop or forget tasks that should not be on the machine, at most
// maxCommandsPerResponse.
func (r *Reconciler) reconcileTasks(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat) []protocol.Command {
	var commands []protocol.Command
	for _, attempt := range machine.AttemptsInOrder {
		attempt.Reported = false
	}
	machine.UnknownTasks, machine.RetainedResults = 0, 0
	tokenAcknowledged := r.carriesToken(heartbeat)
	for _, report := range heartbeat.Tasks {
		command := r.reconcileTask(r.lookUpReportedTask(machine, report), tokenAcknowledged)
		if command != nil && len(commands) < maxCommandsPerResponse {
			commands = append(commands, *command)
		}
	}
	r.noteOvercommitted(machine)
	for _, attempt := range machine.AttemptsInOrder {
		if !attempt.Reported {
			r.reconcileUnreported(attempt)
		}
	}
	return commands
}

// reconcileUnreported processes an attempt that its machine does not report. The attempt has ended,
// unless its start command was not executed.
func (r *Reconciler) reconcileUnreported(attempt *cluster.TaskAttempt) {
	switch attempt.Phase {
	case cluster.AttemptAssigned: // the start command has not been sent
	case cluster.AttemptSent:
		// The heartbeat is newer than the response with the start command, and workers drop
		// responses that they no longer wait for. So the command was not executed and never
		// will be.
		if attempt.StopGrace != nil || attempt.Job.Terminal {
			r.ReleaseAttempt(attempt)
		} else {
			attempt.Phase = cluster.AttemptAssigned
		}
	default:
		r.ReleaseAttempt(attempt)
	}
}

// noteOvercommitted counts a mismatch if the attempts on a machine use more cores than the machine has.
func (r *Reconciler) noteOvercommitted(machine *cluster.Machine) {
	if machine.MachineType != nil && machine.UsedCores > machine.MachineType.Cores+cluster.ResourceTolerance {
		r.recovery.NoteMismatch(recovery.MachineOvercommitted, machine.Name, "")
	}
}

// reconcileTask compares one reported task with this leader's state of it. It returns the command to
// stop or forget the task, or nil if the task needs none.
func (r *Reconciler) reconcileTask(task *reportedTask, tokenAcknowledged bool) *protocol.Command {
	if task.isTracked() {
		task.attempt.Reported = true
	}
	switch r.reportedTaskAction(task, tokenAcknowledged) {
	case recovery.IgnoreAttempt:
		if task.State == protocol.TaskExited {
			task.machine.RetainedResults++
		} else {
			task.machine.UnknownTasks++
		}
	case recovery.StoreResult, recovery.ForgetAttempt:
		return r.reconcileExitedTask(task)
	case recovery.AwaitToken:
		task.machine.UnknownTasks++
	case recovery.AdoptAttempt:
		r.adoptAttempt(task)
	case recovery.KeepAttempt:
		r.updateAttempt(task.attempt, task.TaskStatus)
	case recovery.StopAttempt:
		return r.stopUnexpectedTask(task)
	}
	return nil
}

// reportedTaskAction returns the action for a reported task, and counts the mismatch if there is one.
// It counts recovery.JobNeverStored only after all terminal records have been read.
func (r *Reconciler) reportedTaskAction(task *reportedTask, tokenAcknowledged bool) recovery.Action {
	facts := recovery.ReportedTask{
		JobState:          r.jobState(task.jobID, task.job),
		Exited:            task.State == protocol.TaskExited,
		Completed:         task.ExitReason == protocol.ExitDone,
		Tracked:           task.isTracked(),
		TokenAcknowledged: tokenAcknowledged,
	}
	if task.job != nil {
		currentAttempt := task.job.Attempts[task.index]
		facts.TrackedElsewhere = currentAttempt != nil && currentAttempt != task.attempt ||
			task.attempt != nil && !facts.Tracked
		facts.CompletionKnown = task.job.TaskState(task.index) == cluster.TaskDone
	}
	action, kind, differs := recovery.ReconcileTask(facts)
	if differs && (kind != recovery.JobNeverStored || r.host.TerminalJobsLoaded()) {
		r.recovery.NoteMismatch(kind, task.machine.Name, task.TaskID)
	}
	return action
}

// jobState returns the state of a reported task's job for recovery.ReconcileTask. job is nil if the
// job is not open.
func (r *Reconciler) jobState(jobID string, job *cluster.Job) recovery.JobState {
	if job != nil && job.Terminal || r.EndedJobs[jobID] {
		return recovery.JobStateTerminal
	}
	state := r.host.ClosedJobState(jobID)
	if state == recovery.JobStateUnknown && job != nil {
		return recovery.JobStateOpen
	}
	return state
}

// adoptAttempt starts to track a reported attempt that an earlier leader started.
func (r *Reconciler) adoptAttempt(task *reportedTask) {
	attempt := &cluster.TaskAttempt{Job: task.job, TaskIndex: task.index, Number: task.Attempt, Machine: task.machine,
		Phase: cluster.AttemptSent, AssignedAt: r.Clock.Now()}
	r.PlaceAttempt(attempt)
	attempt.Reported = true
	r.updateAttempt(attempt, task.TaskStatus)
}

// stopUnexpectedTask returns the command to stop a task that should not be on the machine, or nil
// while the budget for stops is exhausted.
func (r *Reconciler) stopUnexpectedTask(task *reportedTask) *protocol.Command {
	task.machine.UnknownTasks++
	if !r.recovery.MayStopTask(task.job) {
		return nil
	}
	noGrace := 0.0
	return &protocol.Command{
		Kind: protocol.CommandStop, TaskID: task.TaskID, Attempt: task.Attempt, GraceSeconds: &noGrace,
	}
}

// updateAttempt updates the phase of a tracked attempt from the state that its machine reports.
func (r *Reconciler) updateAttempt(attempt *cluster.TaskAttempt, report protocol.TaskStatus) {
	switch report.State {
	case protocol.TaskPulling:
		attempt.Phase = cluster.AttemptPulling
	case protocol.TaskRunning:
		if attempt.Phase != cluster.AttemptRunning {
			r.beginRunning(attempt)
		}
	case protocol.TaskCheckpointing:
		attempt.Phase = cluster.AttemptCheckpointing
	}
}

// beginRunning processes the first heartbeat that shows that an attempt is running.
func (r *Reconciler) beginRunning(attempt *cluster.TaskAttempt) {
	job, now := attempt.Job, r.Clock.Now()
	attempt.Phase, attempt.RunningSince = cluster.AttemptRunning, now
	job.LastStartAt = now
	if job.FirstStartAt == 0 {
		job.FirstStartAt = now
		r.host.TraceFirstRunning(attempt)
		r.Log.Debug("first task of job running", "job", job.Spec.ID,
			"class", job.Spec.Class, "tasks", job.Spec.TaskCount, "after", now-job.EligibleAt)
	}
	attempt.Machine.TouchImage(job.Spec.Image, job.Spec.ImageGB)
}

// reconcileExitedTask processes a task that has exited. It returns the command to forget the task, or
// nil while the worker must retain the result.
func (r *Reconciler) reconcileExitedTask(task *reportedTask) *protocol.Command {
	if !r.handleTaskExit(task) {
		task.machine.RetainedResults++
		return nil
	}
	return &protocol.Command{Kind: protocol.CommandForget, TaskID: task.TaskID, Attempt: task.Attempt}
}

// handleTaskExit processes a task that has exited, and reports whether the worker may forget the task.
// The worker must retain a result until it is durable, because the worker has the only copy.
func (r *Reconciler) handleTaskExit(task *reportedTask) bool {
	switch {
	case task.job == nil:
		// The job is not open: either its terminal record is durable, or the job was never stored.
		if task.isTracked() {
			r.ReleaseAttempt(task.attempt)
		}
		return true
	case task.ExitReason == protocol.ExitDone:
		r.handleCompletion(task)
		return task.job.TaskDurable(task.index)
	default:
		if task.isTracked() {
			r.handleIncompleteExit(task)
		}
		return true
	}
}

// handleCompletion marks a task as completed, and stops any other attempt at it.
func (r *Reconciler) handleCompletion(task *reportedTask) {
	if task.isTracked() {
		r.releaseCompletedAttempt(task)
	}
	if other := task.job.Attempts[task.index]; other != nil && other != task.attempt {
		r.RequestStop(other, 0)
	}
	r.host.MarkTaskDone(task.job, task.index)
}

// releaseCompletedAttempt releases an attempt that has completed its task. The success resets the
// failures of the machine and of the job that would mark either of them as faulty.
func (r *Reconciler) releaseCompletedAttempt(task *reportedTask) {
	job, machine, attempt := task.job, task.machine, task.attempt
	if attempt.Phase == cluster.AttemptRunning && attempt.RunningSince > attempt.AssignedAt {
		duration := r.Clock.Now() - attempt.RunningSince
		r.RecordSlowdown(machine, job, duration)
		r.RecordTaskDuration(job, duration)
	}
	r.RecordTaskSuccess(machine, job, attempt.AssignedAt)
	machine.TouchImage(job.Spec.Image, job.Spec.ImageGB)
	r.ReleaseAttempt(attempt)
}

// handleIncompleteExit releases an attempt that has exited without completing its task, because it
// failed, was stopped or was refused.
func (r *Reconciler) handleIncompleteExit(task *reportedTask) {
	runDuration := time.Duration(0)
	if task.attempt.Phase == cluster.AttemptRunning {
		runDuration = r.Clock.Now() - task.attempt.RunningSince
	}
	r.ReleaseAttempt(task.attempt)
	if task.job.Terminal {
		return
	}
	switch task.ExitReason {
	case protocol.ExitFailed:
		r.RecordTaskFailure(task.machine, task.job, task.index, runDuration)
	case protocol.ExitStopped:
	default: // the worker refused the task, because this leader's state of the machine was outdated
		r.DelayTask(task.job, task.index, task.machine, r.HeartbeatInterval())
	}
}
