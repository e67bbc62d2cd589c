package coordination

import (
	"maps"
	"slices"
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// newRecovery begins the recovery of a leader.
func (n *Node) newRecovery() *recovery.Recovery { return recovery.New(n.recoverySettings(), n.now) }

func (n *Node) recoverySettings() recovery.Settings {
	return recovery.Settings{
		Report: n.report(), Lease: n.leaseOver(),
		Limits: recovery.Limits{Refill: n.set.RecoveryRefill, Replace: n.set.RecoveryReplace},
	}
}

// tickRecovery moves the recovery on, and resigns if the records can't be read.
func (l *leadership) tickRecovery() {
	if !l.loaded && l.recovery.ReadingTooLong(l.n.now) {
		l.n.stepDown("the records could not be read")
		return
	}
	if l.recovery.Over() {
		return
	}
	for _, moved := range l.recovery.Advance(l.n.now, l.recoveryView()) {
		l.n.log.Info("recovery", "phase", moved.To, "after", moved.After, "bound", moved.Bound,
			"machines", len(l.machines), "mismatches", mismatchTotal(l.recovery.Counts()))
		l.dirty = true
		switch moved.To {
		case recovery.Reconciling:
			l.noteSilentMachines()
		case recovery.Pacing:
			l.noteIdleJobs()
		}
	}
}

func (l *leadership) recoveryView() recovery.View {
	totals := l.currentTotals()
	return recovery.View{RecordsRead: l.loaded, NamesMissing: l.namesMissing(), Machines: len(l.machines),
		Unaccounted: totals.unaccounted, Cores: totals.held, LargestCores: totals.largest}
}

func mismatchTotal(counts recovery.Counts) int {
	total := 0
	counts.Each(func(kind recovery.Mismatch, count int) {
		if kind != recovery.AsStored {
			total += count
		}
	})
	return total
}

// note counts a mismatch, for this leader and for this process.
func (l *leadership) note(kind recovery.Mismatch, machine, subject string) {
	if l.recovery.Note(l.n.now, kind, machine, subject) {
		l.n.mismatches[kind]++
	}
}

// noteSilentMachines counts the machines that have not been heard once most others are.
func (l *leadership) noteSilentMachines() {
	for _, m := range l.held() {
		if !m.accounted && m.heard == never {
			l.note(recovery.MachineSilent, m.name, "")
		}
	}
}

// noteIdleJobs counts the older jobs that no worker holds a task of, once all are heard.
func (l *leadership) noteIdleJobs() {
	for _, j := range l.byAge() {
		if j.version <= l.writer.LeaderVer && len(j.runs) == 0 && j.pending > 0 {
			l.note(recovery.JobNotRunning, "", j.spec.UID)
		}
	}
}

// restrained tells whether decisions are held back by the recovery: it is switched on for fleets of
// this size, and not over. On a hunted day of 40 machines, whose controllers all ended six times
// while their workers were cut off, rentals that were held back cost a third of the jobs in time.
func (l *leadership) restrained() bool {
	return l.n.set.Recovery && !l.recovery.Over() && len(l.machines) >= l.n.set.RecoveryFrom
}

// mayRent tells whether machines may be rented.
func (l *leadership) mayRent() bool { return !l.restrained() || l.recovery.MayRent() }

// mayShrink tells whether machines may be given up as too many.
func (l *leadership) mayShrink() bool { return !l.restrained() || l.recovery.MayShrink() }

// allowOrder tells whether an order may be given now, by the budgets of the recovery.
func (l *leadership) allowOrder(order recovery.Order, urgency recovery.Urgency, team string) bool {
	return !l.restrained() || l.recovery.Allow(l.n.now, order, urgency, team)
}

// affordable is for how many of some machines an order may be given now.
func (l *leadership) affordable(order recovery.Order, count int) int {
	for i := range count {
		if !l.allowOrder(order, recovery.Pressing, "") {
			return i
		}
	}
	return count
}

// urgencyOf is that of orders for a job's tasks.
func urgencyOf(j *job) recovery.Urgency {
	switch {
	case j.gone:
		return recovery.Cancelled
	case j.rank() <= rankPressing:
		return recovery.Pressing
	default:
		return recovery.Ordinary
	}
}

// startsPerAnswer is the part of a machine's cores, one in so many, that one answer starts tasks
// on while starts are paced: more machines get some, and they report again as soon as these begin.
const startsPerAnswer = 4

// mayStart tells whether one more task may be started by an answer that starts some already.
func (l *leadership) mayStart(r *run, already int) bool {
	if !l.restrained() {
		return true
	}
	if most := max(1, int(r.m.kind.Cores/startsPerAnswer)); already >= most {
		return false
	}
	return l.allowOrder(recovery.StartTask, urgencyOf(r.job), r.job.spec.Team)
}

// mayRunUnseen tells whether tasks of a job may be running on machines that are not accounted
// for. A job accepted after the leader key was written can't have been started by an earlier
// leader, nor one that needs a job whose end this leader has written, nor one that may use none of
// those machines.
func (l *leadership) mayRunUnseen(j *job, totals *machineTotals) bool {
	if totals.complete || j.version > l.writer.LeaderVer || j.fresh {
		return false
	}
	if totals.anything {
		return true
	}
	for o := range totals.unknownOptions {
		// Sizes in the catalogue may have been others when an earlier leader started it.
		if o.MayServe(&j.spec) {
			return true
		}
	}
	return false
}

// reportedTask is a task in a report, with what this leader knows of it.
type reportedTask struct {
	protocol.TaskReport
	jobID string
	index int
	job   *job // nil: not open here
	run   *run // of the same task on the same machine, perhaps of another attempt; nil: none
}

// followed tells whether this leader follows this very attempt on the machine.
func (x *reportedTask) followed() bool { return x.run != nil && x.run.attempt == x.Attempt }

// reportedTask looks up a task that a machine reports.
func (l *leadership) reportedTask(m *machine, t protocol.TaskReport) *reportedTask {
	x := &reportedTask{TaskReport: t, run: m.runs[t.Task]}
	var ok bool
	x.jobID, x.index, ok = splitTask(t.Task)
	if j := l.jobs[x.jobID]; ok && j != nil && x.index < j.spec.Tasks {
		x.job = j
	}
	return x
}

// judgeTask tells what to do with a reported task, and counts it if it is not as stored.
func (l *leadership) judgeTask(m *machine, x *reportedTask, tokenShown bool) recovery.Action {
	facts := recovery.Task{Job: l.jobState(x.jobID, x.job), Exited: x.State == protocol.TaskExited, Done: x.Why == protocol.WhyDone,
		Followed: x.followed(), TokenShown: tokenShown}
	if x.job != nil {
		other := x.job.runs[x.index]
		facts.Elsewhere = other != nil && other != x.run || x.run != nil && !facts.Followed
		facts.Finished = x.job.taskState(x.index) == taskDone
	}
	action, kind, differs := recovery.Decide(facts)
	if differs && (kind != recovery.JobNeverStored || l.n.finals.read) {
		l.note(kind, m.name, x.Task)
	}
	return action
}

// jobState is what is known of a reported task's job.
func (l *leadership) jobState(id string, j *job) recovery.JobState {
	_, over := l.n.finals.byID[id]
	switch {
	case j != nil && j.gone || over || l.over[id]:
		return recovery.JobOver
	case l.quarantine.jobs[id]:
		return recovery.JobUnread
	case j != nil:
		return recovery.JobAccepted
	default:
		return recovery.JobUnknown
	}
}

// mayStopUnknown tells whether a task that should not be there may be stopped now. One whose job
// is over, or may be, is stopped before anything else.
func (l *leadership) mayStopUnknown(j *job) bool {
	if j == nil {
		return l.allowOrder(recovery.StopTask, recovery.Cancelled, "")
	}
	return l.allowOrder(recovery.StopTask, urgencyOf(j), j.spec.Team)
}

// noteOverCommitted counts a machine whose tasks take more than it has.
func (l *leadership) noteOverCommitted(m *machine) {
	if m.kind != nil && m.cores > m.kind.Cores+slack {
		l.note(recovery.OverCommitted, m.name, "")
	}
}

// recoveryStatus is what this node says about recovery.
func (n *Node) recoveryStatus() recovery.NodeStatus {
	s := recovery.NodeStatus{Node: n.cfg.Node, Leads: n.authority()}
	if leader := n.leaderPeer(); leader != nil {
		s.Follows, s.Term = leader.name, leader.term
	}
	if s.Leads {
		l := n.lead
		s.Follows, s.Term = "", l.term
		s.Recovery = l.recovery.Status(n.now)
		s.Recovery.Term, s.Recovery.Paced = l.term, n.set.Recovery && len(l.machines) >= n.set.RecoveryFrom
		for _, record := range l.quarantine.list() {
			s.SetAside = append(s.SetAside, record.status())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.unreadFinals)) {
		s.SetAside = append(s.SetAside, n.unreadFinals[id].status())
	}
	return s
}

func (r *damagedRecord) status() recovery.Record {
	return recovery.Record{Key: r.key, Reason: r.reason, Newer: r.newer}
}

func (n *Node) onRecovery(r Request) { n.reply(r.Origin, 200, 0, n.recoveryStatus()) }

// recoveryMetrics adds the figures of recovery.
func (n *Node) recoveryMetrics(p *metricsPage) {
	p.labelled("recovery_mismatches", "Mismatches that this process has found in recoveries, by kind.", "kind", func(each func(label string, value float64)) {
		n.mismatches.Each(func(kind recovery.Mismatch, count int) { each(kind.String(), float64(count)) })
	})
	setAside := len(n.unreadFinals)
	if n.authority() {
		l := n.lead
		setAside += len(l.quarantine.records)
		p.gauge("recovery_phase", "The leader's phase of recovery: 0 reading, 1 collecting, 2 reconciling, 3 pacing, 4 normal.", float64(l.recovery.Phase()))
		budgets := l.recovery.Budgets(n.now)
		if len(budgets) > 0 {
			p.labelled("recovery_budget", "Orders that may be given at once, by kind.", "order", func(each func(label string, value float64)) {
				for _, b := range budgets {
					each(b.Order, b.Left)
				}
			})
		}
	}
	p.gauge("records_set_aside", "Stored records that this node can't use.", float64(setAside))
}

// silenceAllows tells whether a machine may be returned for so long a silence.
func (l *leadership) silenceAllows(m *machine, silence time.Duration) bool {
	if m.accounted {
		return silence > l.n.lease()*6/10
	}
	return l.recovery.MayReturnSilent(silence)
}
