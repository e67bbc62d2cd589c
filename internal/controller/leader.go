package controller

import (
	"hitchdoor/internal/admissioncontrol"
	"hitchdoor/internal/autoscaler"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/dependency"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reconcile"
	"hitchdoor/internal/records"
	"hitchdoor/internal/recoverygate"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/scheduler"
)

// leader is the state of a node while it leads. It is created for one term and discarded when
// the node steps down.
type leader struct {
	node *Node
	term uint64

	*cluster.State
	*scheduler.Scheduler
	loadState
	workerService
	cancelWaiters map[string][]Origin // requests waiting for a durable cancellation, by job ID

	attemptCounter uint64
	writer         *records.TransactionWriter
	machineRecords *records.Machines
	jobRecords     *records.Jobs
	quarantine     *records.Quarantine
	loader         *records.Loader
	jobWatch       *records.JobWatch
	delayedCalls   []delayedCall
	recovery       *recoverygate.Gate
	reconciler     *reconcile.Reconciler
	dependencies   *dependency.Graph
	autoscaler     *autoscaler.Autoscaler
	admission      *admissioncontrol.Publisher
}

// newLeader returns the leader state of a term. leaderKeyRevision is the revision of the leader
// key, on which every write of the term is conditioned.
func newLeader(node *Node, term, leaderKeyRevision uint64) *leader {
	state := cluster.New(cluster.Options{Clock: node, Config: &node.cfg.Cluster, Settings: &node.settings,
		Log: node.log, Catalog: node.catalog.Types})
	l := &leader{
		node: node, term: term, State: state,
		loadState:     newLoadState(node),
		workerService: newWorkerService(&node.timing, nodeLinks{node}, state, node.settings.LinkDecisions),
		cancelWaiters: map[string][]Origin{},
		recovery:      recoverygate.New(state, leaderKeyRevision, &node.mismatches),
	}
	l.initRecords(leaderKeyRevision)
	l.Scheduler = &scheduler.Scheduler{State: state, Host: l,
		ScheduleState: scheduler.ScheduleState{LastPass: clock.Never}}
	l.dependencies = dependency.New(state, dependencyHost{l}, node.workerLease()/pollsPerWorkerLease)
	l.reconciler = reconcile.New(state, term, l.recovery, reconcilerHost{leader: l})
	l.autoscaler = newLeaderAutoscaler(l)
	l.admission = admissioncontrol.NewPublisher(admissioncontrol.PublisherOptions{Host: admissionHost{node},
		Follower: node.admissionPolicy, State: state, Writer: l.writer, Log: node.log})
	return l
}

// attemptCounterBits is the width of the counter in an attempt number. The bits above it hold the
// term, so that no two attempts share a number. Attempt numbers stay under 2^53 for two million
// terms. With a width of 24 bits, 4,000 machines with short tasks exhausted the counter within
// hours, and it overflowed into the numbers of the next term.
const attemptCounterBits = 32

// maxAttemptCounter is the counter value at which a leader steps down, so that a new term begins. The
// margin of 2^24 to the overflow of the counter suffices for some scheduling passes.
const maxAttemptCounter = 1<<attemptCounterBits - 1<<24

// NextAttemptNumber returns a number that no other task attempt has, in this term or any other.
func (l *leader) NextAttemptNumber() uint64 {
	l.attemptCounter++
	return l.term<<attemptCounterBits | l.attemptCounter
}

// rejectWaitingRequests tells the senders of all requests that wait for the leader to retry.
func (l *leader) rejectWaitingRequests() {
	for _, waiters := range l.cancelWaiters {
		for _, origin := range waiters {
			l.node.rejectOrigin(protocol.RequestCancel, origin, rejection.TermEnded)
		}
	}
	l.rejectEarlyHeartbeats(rejection.TermEnded)
}

// rejectEarlyHeartbeats rejects the heartbeats that are queued until the records are loaded.
// Otherwise their workers would wait for a response until their timeout of four seconds.
func (l *leader) rejectEarlyHeartbeats(reason rejection.Reason) {
	for _, request := range l.earlyHeartbeats {
		l.node.reject(request, reason)
	}
	l.earlyHeartbeats = nil
}

// delayedCall is a function that the first tick at or after dueAt runs.
type delayedCall struct {
	dueAt clock.Instant
	run   func()
}

// finishLoading is called once all stored records are loaded. It starts scheduling and processes the
// heartbeats that were queued until then.
func (l *leader) finishLoading() {
	l.recordsLoaded, l.SchedulingNeeded = true, true
	l.loader.DropStaleDependencies()
	l.machineRecords.SplitOversizedGroups()
	l.autoscaler.CompleteTakeover()
	l.storeCatalog()
	l.tickRecovery()
	l.node.log.Info("leader has loaded the stored records", "jobs", len(l.Jobs), "machines", len(l.Machines))
	earlyHeartbeats := l.earlyHeartbeats
	l.earlyHeartbeats = nil
	for _, request := range earlyHeartbeats {
		l.onWorkerHeartbeat(request)
	}
}

// tick runs the periodic work of a leader: delayed calls, recovery, scheduling, scaling and
// writes.
func (l *leader) tick() {
	node := l.node
	calls := l.delayedCalls
	l.delayedCalls = nil
	for _, call := range calls {
		if node.now >= call.dueAt {
			call.run()
		} else {
			l.delayedCalls = append(l.delayedCalls, call)
		}
	}
	if !l.recordsLoaded && node.election.StoreUnavailable() {
		l.rejectEarlyHeartbeats(rejection.StoreUnavailable)
	}
	l.tickRecovery()
	if !l.recordsLoaded || node.leader != l {
		return
	}
	l.jobWatch.Tick()
	l.dependencies.TickLookups()
	l.quarantine.Tick()
	if node.leader != l {
		return
	}
	l.ExpireMachineLeases()
	l.autoscaler.Tick()
	l.admission.Tick(l.loader.JobsRevision())
	if node.now >= l.LastPass+node.heartbeatInterval()/scheduler.PassesPerHeartbeat &&
		(l.SchedulingNeeded || node.now >= l.LastPass+node.heartbeatInterval()) {
		// Without a change a pass still runs once per heartbeat interval, because pending jobs may have
		// become due.
		l.Schedule()
	}
	l.writer.SendNext()
}
