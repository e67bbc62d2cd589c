package coordination

import (
	"slices"
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// onWorkerHeartbeat processes the heartbeat of a worker and responds with the commands for it.
func (l *leadership) onReport(r Request) {
	n, rep := l.n, r.Report
	if !l.loaded {
		l.keepEarlyReport(r)
		return
	}
	l.heardWorker = n.now
	if rep.FencingToken > l.term {
		l.note(recovery.NewerToken, rep.Machine, "")
		// The worker has seen a newer leader and would drop the responses of this one.
		n.unavailable(r.Origin)
		n.stepDown("a worker has seen a higher token")
		return
	}
	m := l.reporter(rep)
	if m == nil || l.outdated(m, rep) {
		n.unavailable(r.Origin)
		return
	}
	forget := l.takeReport(m, rep, r.Origin.Peer)
	if l.deaf(m) {
		// The response would be lost, and a 200 would only postpone the time from which the
		// worker's lease has certainly expired.
		n.unavailable(r.Origin)
		return
	}
	l.keepIfHeardAgain(m)
	l.takeNotice(m, rep.NoticeS)
	if !m.used {
		l.record(m, true)
	}
	l.fill(m)
	l.pump()
	if n.lead != l || !n.authority() {
		n.unavailable(r.Origin)
		return
	}
	m.answered, m.last = n.now, &protocol.ReportAnswer{FencingToken: l.term, Commands: l.commands(m, forget)}
	n.reply(r.Origin, 200, 0, m.last)
}

// queueEarlyHeartbeat holds a heartbeat until all records have been read.
func (l *leadership) keepEarlyReport(r Request) {
	if len(l.earlyReports) >= l.n.maxEarlyReports() || l.n.elect.stateLost() {
		l.n.unavailable(r.Origin)
		return
	}
	l.earlyReports = append(l.earlyReports, r)
}

// applyHeartbeat updates the state of a machine from its heartbeat. It returns the commands that
// stop or forget tasks that should not be on the machine.
func (l *leadership) takeReport(m *machine, rep *protocol.Report, via string) []protocol.Command {
	shown := l.shows(rep)
	if rep.Session > m.session && m.session != 0 {
		l.beginSession(m)
	}
	stayed := l.stayed(m, rep, via)
	if stayed {
		l.served(m, via)
	}
	l.hears(m, rep, shown, stayed)
	if m.shown != shown || !m.up {
		m.shown, m.up, l.dirty, l.totalsValid = shown, true, true, false
	}
	m.session, m.seq, m.heard, m.address, m.via = rep.Session, rep.Seq, l.n.now, rep.Address, via
	unknownTasks := m.unknownTasks
	forget := l.reconcile(m, rep)
	if (m.unknownTasks > 0) != (unknownTasks > 0) {
		l.totalsValid = false
	}
	if shown && !m.accounted {
		m.accounted, l.dirty, l.totalsValid = true, true, false
	}
	return forget
}

// carriesToken reports whether a heartbeat carries the fencing token of the current term.
func (l *leadership) shows(rep *protocol.Report) bool { return rep.FencingToken == l.term }

// cancelMissedHeartbeatDrain cancels the drain of a machine that missed heartbeats and reports
// again, unless its termination has been requested already. The worker or this leader may only
// have been partitioned. Without this, a thousand machines were returned after an outage of the
// cloud API although they had been running tasks again for half a minute.
func (l *leadership) keepIfHeardAgain(m *machine) {
	if m.why != silent || m.asked {
		return
	}
	l.keep(m)
	if m.sick {
		l.leave(m, sick)
	}
}

// reportingMachine returns the machine that sent a heartbeat and adds it if it is unknown. It
// returns nil for a machine that has been removed, or whose heartbeat is a late copy.
func (l *leadership) reporter(rep *protocol.Report) *machine {
	if m := l.machines[rep.Machine]; m != nil {
		l.learnType(m, rep)
		return m
	}
	if _, gone := l.gone[rep.Machine]; gone {
		return nil
	}
	missing := l.namesMissing()
	if len(rep.Tasks) > 0 && !missing {
		// A machine is stored before its first task starts, and its record is deleted only
		// after it has certainly ended. An unrecorded machine with tasks is therefore a late
		// copy of a heartbeat from before its return. It must neither block jobs nor count
		// against a quota.
		l.note(recovery.MachineNotRecorded, rep.Machine, "")
		return nil
	}
	l.note(recovery.MachineNotRecorded, rep.Machine, "")
	m := l.newMachine(rep.Machine, rep.Type, rep.Zone, rep.Spot)
	// No leader has stored the machine, so none has started a task on it. It is used only
	// once its heartbeats carry the token of this term.
	m.accounted = !missing
	l.n.log.Info("heartbeat from unknown machine", "machine", m.name, "type", m.typ)
	return m
}

// adoptReportedType sets the type of a machine from its heartbeat where its record could not be
// read.
func (l *leadership) learnType(m *machine, rep *protocol.Report) {
	if m.typ != "" || rep.Type == "" {
		return
	}
	m.typ, m.zone, m.spot, m.kind = rep.Type, rep.Zone, rep.Spot, l.n.catalog[rep.Type]
	l.machinesChanged()
	l.record(m, true)
}

// isStaleHeartbeat reports whether a heartbeat must be ignored because it comes from another
// worker, arrives late, or is a copy.
func (l *leadership) outdated(m *machine, rep *protocol.Report) bool {
	if m.address != "" && rep.Address != "" && rep.Address != m.address {
		// Two workers use one name, or a copy was altered on the way. The first one stays
		// accepted until its lease has certainly expired: a new epoch of the other would be
		// mistaken for the end of all tasks of the first.
		if !m.twice {
			m.twice = true
			l.n.log.Warn("two workers use one machine name", "machine", m.name,
				"address", m.address, "otherAddress", rep.Address)
		}
		return true
	}
	if rep.Session < m.session || (rep.Session == m.session && rep.Seq <= m.seq) || rep.Session <= m.lost {
		return true // late, or of a fenced epoch, which never gets a 200 again
	}
	// A reconciled machine runs nothing that an earlier leader started: its record says so, or
	// its lease has certainly expired without a response. All later starts carry the token of
	// this term, so a heartbeat with tasks but without the token is an old copy.
	return m.accounted && !l.shows(rep) && len(rep.Tasks) > 0
}

// beginEpoch handles the first heartbeat of a new worker epoch. The worker has killed all earlier
// tasks.
func (l *leadership) beginSession(m *machine) {
	l.note(recovery.NewerSession, m.name, "")
	m.unknownTasks, l.totalsValid = 0, false
	for _, x := range m.list {
		if x.phase != phaseAssigned {
			l.release(x)
		}
	}
	if l.n.now-m.heard >= l.n.lease()/2 {
		return
	}
	// Heartbeats arrived without a gap. Either the worker's lease expired because responses do
	// not reach it, or the worker restarted at once. The next command that it executes decides,
	// or a second new epoch without any sign of a delivered response.
	m.missedAnswers++
	if m.restarted {
		m.missedAnswers = max(m.missedAnswers, deafAnswers)
	}
	m.restarted = true
}

// maxMissedResponses is the number of consecutive responses without a sign of delivery after which
// commands count as undelivered. A worker that hung for a moment, or whose response came after its
// timeout, misses one or two.
const deafAnswers = 3

// trackCommandDelivery looks in a heartbeat for signs that the last response was delivered: the
// fencing token, or the effect of its first command, as commands are executed in order. Delivery
// of a response without commands shows by the worker using the same route again. Without that rule
// a machine that had missed a response while idle got no more commands, and so could never show a
// sign of delivery.
func (l *leadership) hears(m *machine, rep *protocol.Report, shown, stayed bool) {
	last := m.last
	m.last = nil
	switch {
	case last == nil:
	case !shown:
		m.missedAnswers++
	case len(last.Commands) > 0:
		if !executed(last.Commands[0], rep) {
			m.missedAnswers++
			return
		}
		m.missedAnswers, m.restarted = 0, false
	case !m.shown || stayed:
		m.missedAnswers, m.restarted = 0, false
	}
}

// commandExecuted reports whether a heartbeat shows that a command was executed.
func executed(c protocol.Command, rep *protocol.Report) bool {
	at := slices.IndexFunc(rep.Tasks,
		func(t protocol.TaskReport) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
	switch {
	case c.Op == protocol.OpStart:
		return at >= 0
	case at < 0:
		return true
	case c.Op == protocol.OpForget:
		return false
	default:
		return rep.Tasks[at].State == protocol.TaskSaving || rep.Tasks[at].State == protocol.TaskExited
	}
}

// drainIfCommandsUndelivered drains a machine whose heartbeats arrive while responses do not reach
// it, and reports whether that is so. Its heartbeats look healthy: otherwise it would keep its
// assigned tasks, count as capacity, and block older jobs after a takeover. It gets no more tasks
// and responses and is returned. Its tasks end by a heartbeat, with the lease, or with the
// machine.
func (l *leadership) deaf(m *machine) bool {
	if m.missedAnswers < deafAnswers {
		return false
	}
	if m.why != deaf {
		unsure, up := 0, 0
		for _, x := range l.held() {
			if x.up {
				up++
				if x.missedAnswers > 0 {
					unsure++
				}
			}
		}
		if up > 1 && 2*unsure > up {
			return false // responses of this node do not get through at all
		}
		l.n.log.Info("commands do not reach machine", "machine", m.name, "tasks", len(m.runs))
		l.leave(m, deaf)
	}
	return true
}

// maxCommandsPerResponse keeps a response well below 64 KiB.
const maxCommands = 300

// appendAttemptCommands adds the commands to stop and start task attempts to those of the
// reconciliation.
func (l *leadership) commands(m *machine, commands []protocol.Command) []protocol.Command {
	if commands == nil {
		commands = []protocol.Command{}
	}
	starts := 0
	for _, r := range m.list {
		if len(commands) >= maxCommands {
			break
		}
		switch {
		case r.stop != nil && r.phase != phaseAssigned:
			if !l.allowOrder(recovery.StopTask, urgencyOf(r.job), r.job.spec.Team) {
				continue
			}
			commands = append(commands, protocol.Command{
				Op: protocol.OpStop, Task: r.key(), Attempt: r.attempt, GraceS: r.stop})
		case r.phase == phaseAssigned && m.shown && m.used:
			if !l.mayStart(r, starts) {
				continue
			}
			starts++
			r.phase = phaseSent
			if !r.job.commanded {
				r.job.commanded = true
				l.n.trace(r.job.spec.UID, stepStart, r.key()+" on "+m.name)
			}
			commands = append(commands, protocol.Command{Op: protocol.OpStart, Task: r.key(), Attempt: r.attempt})
		}
	}
	return commands
}

// reconcileMachine compares a heartbeat with the recorded state of its machine, and returns the
// commands that stop or forget tasks that should not be there.
func (l *leadership) reconcile(m *machine, rep *protocol.Report) []protocol.Command {
	var commands []protocol.Command
	for _, r := range m.list {
		r.shown = false
	}
	m.unknownTasks, m.results = 0, 0
	for _, t := range rep.Tasks {
		if c := l.reconcileTask(m, t, l.shows(rep)); c != nil && len(commands) < maxCommands {
			commands = append(commands, *c)
		}
	}
	l.noteOverCommitted(m)
	for _, r := range m.list {
		if r.shown || r.phase == phaseAssigned {
			continue
		}
		if r.phase == phaseSent {
			// The heartbeat is newer than the response with the start command, and workers
			// drop responses that they no longer wait for. The command was not executed and
			// never will be.
			if r.stop != nil || r.job.gone {
				l.release(r)
			} else {
				r.phase = phaseAssigned
			}
			continue
		}
		l.release(r)
	}
	return commands
}

// reconcileTask compares one reported task with the recorded state of its machine. It returns the
// command that stops or forgets the task if it should not be there, and nil otherwise.
func (l *leadership) reconcileTask(m *machine, t protocol.TaskReport, tokenShown bool) *protocol.Command {
	x := l.reportedTask(m, t)
	if x.followed() {
		x.run.shown = true
	}
	switch l.judgeTask(m, x, tokenShown) {
	case recovery.LeaveAlone:
		if t.State == protocol.TaskExited {
			m.results++
		} else {
			m.unknownTasks++
		}
	case recovery.StoreResult, recovery.Forget:
		if l.exited(m, x.job, x.index, x.run, t) {
			return &protocol.Command{Op: protocol.OpForget, Task: t.Task, Attempt: t.Attempt}
		}
		m.results++
	case recovery.AwaitToken:
		m.unknownTasks++
	case recovery.Adopt:
		r := &run{job: x.job, index: x.index, attempt: t.Attempt, m: m, phase: phaseSent, since: l.n.now}
		l.place(r)
		r.shown = true
		l.seen(m, r, t)
	case recovery.Follow:
		l.seen(m, x.run, t)
	case recovery.Stop:
		m.unknownTasks++
		if !l.mayStopUnknown(x.job) {
			return nil
		}
		zero := 0.0
		return &protocol.Command{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero}
	}
	return nil
}

// updateAttempt updates a task attempt from the state that its machine reports.
func (l *leadership) seen(m *machine, r *run, t protocol.TaskReport) {
	switch t.State {
	case protocol.TaskFetching:
		r.phase = phaseFetching
	case protocol.TaskRunning:
		if r.phase != phaseRunning {
			r.phase, r.started = phaseRunning, l.n.now
			r.job.lastStart = l.n.now
			if r.job.firstStart == 0 {
				r.job.firstStart = l.n.now
				l.n.trace(r.job.spec.UID, stepRuns, r.key()+" on "+m.name+" after "+l.sinceAccepted(r.job))
				l.n.log.Debug("first task of job running", "job", r.job.spec.UID,
					"class", r.job.spec.Class, "tasks", r.job.spec.Tasks, "after", l.n.now-r.job.from)
			}
			m.touch(r.job.spec.Image, r.job.spec.ImageGB)
		}
	case protocol.TaskSaving:
		r.phase = phaseSaving
	}
}

// handleTaskExit processes a task that has ended, and reports whether the worker may forget it. A
// result may be forgotten only once it is durable, as the worker has the only copy.
func (l *leadership) exited(m *machine, j *job, index int, r *run, t protocol.TaskReport) bool {
	now := l.n.now
	mine := r != nil && r.attempt == t.Attempt
	if j == nil {
		if mine {
			l.release(r)
		}
		return true // the job has ended, and its terminal record is durable
	}
	if t.Why == protocol.WhyDone {
		if mine {
			if r.phase == phaseRunning && r.started > r.since {
				took := now - r.started
				l.paced(m, j, took)
				l.learn(j, took)
			}
			m.failures = 0
			clear(m.failedJobs)
			clear(j.failedOn)
			m.touch(j.spec.Image, j.spec.ImageGB)
			l.release(r)
		}
		if x := j.runs[index]; x != nil && x != r {
			l.stopRun(x, 0)
		}
		l.setDone(j, index)
		return j.durable(index)
	}
	if !mine {
		return true
	}
	ran := time.Duration(0)
	if r.phase == phaseRunning {
		ran = now - r.started
	}
	l.release(r)
	if j.gone {
		return true
	}
	switch t.Why {
	case protocol.WhyError:
		l.failed(m, j, index, ran)
	case protocol.WhyHalted:
	default: // refused: the recorded state of the machine was outdated
		l.delay(j, index, m, l.n.report())
	}
	return true
}
