package coordination

import (
	"hitchdoor/internal/config"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// leadership is all that a node knows while it leads. It is made anew for each
// term and dropped when the term ends.
type leadership struct {
	n     *Node
	term  uint64
	since Instant

	jobTable
	readingState
	objectives
	machineTable
	scheduleState
	serviceState

	attempts  uint64
	writer    *storage.Writer
	probing   bool // the outcome of a transaction is being read
	timers    []timer
	recovery  *recovery.Recovery
	fleet     fleetControl
	admission admissionControl
}

func newLeadership(n *Node, term, leaderVer uint64) *leadership {
	l := &leadership{
		n: n, term: term, since: n.now,
		jobTable: newJobTable(n), readingState: newReadingState(n), objectives: newObjectives(&n.cfg.Cluster), machineTable: newMachineTable(n),
		scheduleState: scheduleState{scheduled: never}, serviceState: newServiceState(n.now),
		writer: storage.NewWriter(n.cfg.Cluster.State.Ops(), leaderVer), recovery: n.newRecovery(),
	}
	l.fleet.init(l)
	l.admission.init(l)
	return l
}

// attemptBits is the counter's share of an attempt; the term is above it, so
// that an attempt is never used twice. Together they stay under 2^53 for two million terms.
// Of 24 bits, 4,000 machines with short tasks used up all within hours, and the next ones
// were those of the term after.
const attemptBits = 32

// lastAttempt is where a leader hands over to a new term, some passes before its counter ends.
const lastAttempt = 1<<attemptBits - 1<<24

func (l *leadership) nextAttempt() uint64 {
	l.attempts++
	return l.term<<attemptBits | l.attempts
}

// close answers everybody who waits.
func (l *leadership) close() {
	for _, j := range l.jobs {
		for _, o := range j.cancel {
			l.n.unavailable(o)
		}
	}
	l.turnEarlyAway()
}

// turnEarlyAway answers the reports that wait for the records to be read: workers would
// wait for four seconds for an answer that can't come now.
func (l *leadership) turnEarlyAway() {
	for _, r := range l.earlyReports {
		l.n.reply(r.Origin, 503, 1, nil)
	}
	l.earlyReports = nil
}

// later does something after a short while.
func (l *leadership) later(f func()) {
	at := l.n.now + l.n.lease()/50
	l.timers = append(l.timers, timer{at, f})
}

type timer struct {
	at Instant
	f  func()
}

// ready begins to decide.
func (l *leadership) ready() {
	l.loaded, l.dirty = true, true
	l.dropNeeds()
	l.splitGroups()
	l.fleet.inherit()
	l.storeCatalog()
	l.tickRecovery()
	l.n.log.Info("records read", "jobs", len(l.jobs), "machines", len(l.machines))
	early := l.earlyReports
	l.earlyReports = nil
	for _, r := range early {
		l.onReport(r)
	}
}

func (l *leadership) tick() {
	n := l.n
	timers := l.timers
	l.timers = nil
	for _, t := range timers {
		if n.now >= t.at {
			t.f()
		} else {
			l.timers = append(l.timers, t)
		}
	}
	if !l.loaded && n.elect.stateLost() {
		l.turnEarlyAway()
	}
	l.tickRecovery()
	if !l.loaded || n.lead != l {
		return
	}
	if !l.watching {
		l.watch()
	}
	l.tickLookups()
	l.tickQuarantine()
	if n.lead != l {
		return
	}
	l.checkMachines()
	l.fleet.tick()
	l.admission.tick()
	if n.now >= l.scheduled+n.report()/passesPerReport && (l.dirty || n.now >= l.scheduled+n.report()) {
		// Without any change, too: what waits may not wait any longer.
		l.schedule()
	}
	l.pump()
}

// team finds a team's settings.
func (n *Node) team(name string) *config.Team {
	for i := range n.cfg.Cluster.Teams {
		if n.cfg.Cluster.Teams[i].Name == name {
			return &n.cfg.Cluster.Teams[i]
		}
	}
	return nil
}
