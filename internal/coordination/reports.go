package coordination

import (
	"slices"
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// onReport takes a worker's report and answers it.
func (l *leadership) onReport(r Request) {
	n, rep := l.n, r.Report
	if !l.loaded {
		l.keepEarlyReport(r)
		return
	}
	l.heardWorker = n.now
	if rep.FencingToken > l.term {
		l.note(recovery.NewerToken, rep.Machine, "")
		// The worker has seen a newer leader: our answers would be dropped.
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
		// Whatever we say is lost, and a 200 would only put off the moment at which
		// its lease is surely over.
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

// keepEarlyReport lets a report wait until the records are read.
func (l *leadership) keepEarlyReport(r Request) {
	if len(l.earlyReports) >= l.n.maxEarlyReports() || l.n.elect.stateLost() {
		l.n.unavailable(r.Origin)
		return
	}
	l.earlyReports = append(l.earlyReports, r)
}

// takeReport brings what is known of a machine up to its report, and returns the commands that
// end what should not be there.
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

// shows tells whether a report shows the present term's token.
func (l *leadership) shows(rep *protocol.Report) bool { return rep.FencingToken == l.term }

// keepIfHeardAgain takes a machine back that was to be returned for its silence: it was cut
// off, or we were, and the cloud has not been asked yet. Where its interface is down, a
// thousand such machines were returned once it was back, though all of them had been running
// tasks again for half a minute.
func (l *leadership) keepIfHeardAgain(m *machine) {
	if m.why != silent || m.asked {
		return
	}
	l.keep(m)
	if m.sick {
		l.leave(m, sick)
	}
}

// reporter finds the machine that a report is of, or takes it in; nil for one that is gone.
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
		// A machine is durable by name before its first task, and its record is dropped only
		// once it is surely gone. So this is a late copy of what a returned machine once
		// said, however fresh it looks to a leader that remembers nothing of it: it must not
		// hold up jobs, nor fill a quota.
		l.note(recovery.MachineNotRecorded, rep.Machine, "")
		return nil
	}
	l.note(recovery.MachineNotRecorded, rep.Machine, "")
	m := l.newMachine(rep.Machine, rep.Type, rep.Zone, rep.Spot)
	// Nobody recorded it, so no leader has commanded a task to it; its report must still
	// show our token before it counts for anything.
	m.accounted = !missing
	l.n.log.Info("unknown machine reports", "machine", m.name, "type", m.typ)
	return m
}

// learnType takes the type of a machine from its report, where its record can't be read.
func (l *leadership) learnType(m *machine, rep *protocol.Report) {
	if m.typ != "" || rep.Type == "" {
		return
	}
	m.typ, m.zone, m.spot, m.kind = rep.Type, rep.Zone, rep.Spot, l.n.catalog[rep.Type]
	l.machinesChanged()
	l.record(m, true)
}

// outdated tells whether a report must not be acted upon: it is of another worker, late, or
// a copy.
func (l *leadership) outdated(m *machine, rep *protocol.Report) bool {
	if m.address != "" && rep.Address != "" && rep.Address != m.address {
		// Two workers under one name, or a copy that somebody altered. The one that spoke
		// first is heard until its lease is surely over: a new session of the other would be
		// taken for the end of all that the first one runs.
		if !m.twice {
			m.twice = true
			l.n.log.Warn("two workers report under one name", "machine", m.name, "address", m.address, "other", rep.Address)
		}
		return true
	}
	if rep.Session < m.session || (rep.Session == m.session && rep.Seq <= m.seq) || rep.Session <= m.lost {
		return true // late, or of a session that we have declared lost: never a 200
	}
	// Nothing of an earlier leader is on a machine that is accounted for, by its record or
	// because its lease has surely run out unanswered; whatever is started from now on comes
	// with our token. So tasks without it are a copy of what was on it once.
	return m.accounted && !l.shows(rep) && len(rep.Tasks) > 0
}

// beginSession takes the first report of a worker's new session: it has killed everything.
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
	// It spoke all along: either its lease ran out, as it hears no answer, or it was back at
	// once after an end. The next command that it gets will tell, or a second time without
	// any sign.
	m.missedAnswers++
	if m.restarted {
		m.missedAnswers = max(m.missedAnswers, deafAnswers)
	}
	m.restarted = true
}

// deafAnswers is how many answers in a row a machine must show no sign of before
// it is taken for deaf: one that hung for a moment, or whose answer came after it
// had stopped waiting, misses one or two.
const deafAnswers = 3

// hears looks in a report for signs that the last answer reached the machine: our
// token, or what it was told first, as commands are executed in their order. An answer
// without commands shows by the worker's staying with its node. Without that, a machine that
// had missed an answer and had nothing to do got no command, so it never showed a sign again,
// and no work for good.
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

// executed tells whether a report shows that a command was carried out.
func executed(c protocol.Command, rep *protocol.Report) bool {
	at := slices.IndexFunc(rep.Tasks, func(t protocol.TaskReport) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
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

// deaf finds a machine whose reports arrive while answers don't reach it. Its
// reports look alive, so without this it would keep the tasks given to it, count
// as room, and, after a takeover, hold up all older jobs for as long as it speaks.
// It gets no more work and no more answers, and is returned; what it runs ends by
// report, with its lease or with the machine.
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
			return false // then it is our answers that don't get through
		}
		l.n.log.Info("machine hears no answer", "machine", m.name, "tasks", len(m.runs))
		l.leave(m, deaf)
	}
	return true
}

// maxCommands bounds an answer well inside 64 KiB.
const maxCommands = 300

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
			commands = append(commands, protocol.Command{Op: protocol.OpStop, Task: r.key(), Attempt: r.attempt, GraceS: r.stop})
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

// reconcile compares a report with what we believe of the machine, and returns
// the commands that end what should not be there.
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
			// This report is newer than the answer that held the command, and
			// workers drop answers they no longer wait for: it was not executed
			// and never will be.
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

// reconcileTask compares one reported task with what we believe of the machine, and returns the
// command that ends it, if it should not be there.
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

// seen updates a run that is on its machine.
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
				l.n.log.Debug("job's first task runs", "job", r.job.spec.UID, "class", r.job.spec.Class, "tasks", r.job.spec.Tasks,
					"after", l.n.now-r.job.from)
			}
			m.touch(r.job.spec.Image, r.job.spec.ImageGB)
		}
	case protocol.TaskSaving:
		r.phase = phaseSaving
	}
}

// touch notes an image as the machine's most recently used.
func (m *machine) touch(name string, gb float64) {
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == name })
	m.images = append(m.images, image{name, gb})
	if m.kind == nil {
		return
	}
	total := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		total += m.images[i].gb
		if total > m.kind.CacheGB {
			m.images = slices.Clone(m.images[i+1:])
			return
		}
	}
}

func (m *machine) hasImage(name string) bool {
	return name == "" || slices.ContainsFunc(m.images, func(i image) bool { return i.name == name })
}

// exited handles a task that has ended and tells whether the worker may forget
// it: a result only once it is durable, as it is the only copy.
func (l *leadership) exited(m *machine, j *job, index int, r *run, t protocol.TaskReport) bool {
	now := l.n.now
	mine := r != nil && r.attempt == t.Attempt
	if j == nil {
		if mine {
			l.release(r)
		}
		return true // the job is over, and its end is durable
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
		return l.durable(j, index)
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
	default: // refused: our picture of the machine was behind
		l.delay(j, index, m, l.n.report())
	}
	return true
}
