package coordination

import (
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// leader is the state of a node while it leads. It is created for one term and discarded when
// the node steps down.
type leadership struct {
	n    *Node
	term uint64

	*clusterState
	*scheduler
	readingState
	serviceState
	machineRecords
	bitmapLayout
	cancelWaiters map[string][]Origin // requests waiting for a durable cancellation, by job

	attempts  uint64
	writer    *storage.Writer
	probing   bool // a read of an unclear transaction's outcome is in flight
	timers    []timer
	recovery  *recovery.Recovery
	fleet     fleetControl
	admission admissionControl
}

// newLeader returns the leader state of a term. leaderKeyVersion is the version of the leader
// key, on which every write of the term is conditioned.
func newLeadership(n *Node, term, leaderVer uint64) *leadership {
	state := newClusterState(stateOptions{clock: n, cluster: &n.cfg.Cluster, settings: &n.set, log: n.log, catalog: n.catalog})
	l := &leadership{
		n: n, term: term, clusterState: state,
		readingState: newReadingState(n), serviceState: newServiceState(n.now), machineRecords: newMachineRecords(&n.cfg.Cluster), bitmapLayout: newBitmapLayout(&n.cfg.Cluster),
		cancelWaiters: map[string][]Origin{},
		writer:        storage.NewWriter(n.cfg.Cluster.State.Ops(), leaderVer), recovery: n.newRecovery(),
	}
	l.scheduler = &scheduler{clusterState: state, scheduleState: scheduleState{scheduled: never}, host: l}
	l.fleet.init(l)
	l.admission.init(l)
	return l
}

// attemptCounterBits is the width of the counter in an attempt number. The term is stored in
// the bits above it, so that no two attempts share a number. Together they stay under 2^53 for
// two million terms. With 24 bits, 4,000 machines with short tasks exhausted the counter within
// hours and overflowed into the numbers of the next term.
const attemptBits = 32

// maxAttemptCounter is where a leader steps down for a new term, some scheduling passes before
// its counter overflows.
const lastAttempt = 1<<attemptBits - 1<<24

// nextAttemptNumber returns a number that no other task attempt has.
func (l *leadership) nextAttempt() uint64 {
	l.attempts++
	return l.term<<attemptBits | l.attempts
}

// rejectWaitingRequests answers all pending requests with 503.
func (l *leadership) close() {
	for _, waiters := range l.cancelWaiters {
		for _, o := range waiters {
			l.n.unavailable(o)
		}
	}
	l.turnEarlyAway()
}

// rejectEarlyHeartbeats rejects the heartbeats that are queued until the records are loaded.
// Otherwise their workers would wait for a response until their timeout of four seconds.
func (l *leadership) turnEarlyAway() {
	for _, r := range l.earlyReports {
		l.n.reply(r.Origin, 503, 1, nil)
	}
	l.earlyReports = nil
}

// scheduleRetry calls retry after a short delay.
func (l *leadership) later(f func()) {
	at := l.n.now + l.n.lease()/50
	l.timers = append(l.timers, timer{at, f})
}

// delayedCall is a function to run at an instant.
type timer struct {
	at Instant
	f  func()
}

// finishLoading starts scheduling once all records are loaded.
func (l *leadership) ready() {
	l.loaded, l.dirty = true, true
	l.dropNeeds()
	l.splitGroups()
	l.fleet.inherit()
	l.storeCatalog()
	l.tickRecovery()
	l.n.log.Info("records loaded", "jobs", len(l.jobs), "machines", len(l.machines))
	early := l.earlyReports
	l.earlyReports = nil
	for _, r := range early {
		l.onReport(r)
	}
}

// tick runs the periodic work of a leader: delayed calls, recovery, scheduling, scaling and
// writes.
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
	if n.now >= l.scheduled+n.report()/passesPerReport &&
		(l.dirty || n.now >= l.scheduled+n.report()) {
		// Also without a change: pending jobs may have become due.
		l.schedule()
	}
	l.pump()
}
