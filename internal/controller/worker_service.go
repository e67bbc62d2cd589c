package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/reachability"
)

// Time spans after which a leader reacts to the state of its links, in worker leases.
const (
	// strandedResignLeases is how long a leader serves too few workers before it resigns in favour
	// of a node at which workers are stranded. It limits these resignations to one per worker lease.
	strandedResignLeases = 1.0
	// relayAfterLeases is how long a leader that no worker reaches waits before it makes its peers
	// relay for all workers that connect to them. Once every directProbeIntervalLeases, the peers
	// redirect a few workers to the leader during directProbeLeases, to test the direct route.
	relayAfterLeases          = 0.5
	directProbeIntervalLeases = 4.0
	directProbeLeases         = 0.25
)

// strandedMajorityFactor is the ratio of workers stranded at another node to workers served by this
// leader above which the stranded ones clearly outnumber the served ones.
const strandedMajorityFactor = 2

// workerServiceLinks is what workerService needs to know about the links between controllers.
type workerServiceLinks interface {
	// WorkersReachPeers reports whether some peer reports that workers connect to it.
	WorkersReachPeers() bool
	// Successor returns the other node with the most stranded workers. The count is 0 if there is
	// none.
	Successor() reachability.StrandedCount
}

// workerService tracks whether workers receive this leader's responses, directly or through other
// nodes. From that it decides whether the leader needs relays, and whether it should resign in favour
// of another node at which workers are stranded. A worker is stranded at a node that it reaches and that
// can neither serve the worker nor relay its heartbeats.
type workerService struct {
	timing  *timing
	links   workerServiceLinks
	state   *cluster.State
	enabled bool // the settings let leaders act on the state of links

	lastWorkerHeartbeat clock.Instant
	// lastNotOutnumbered is when the workers stranded at another node last did not clearly outnumber
	// the workers served by this leader.
	lastNotOutnumbered    clock.Instant
	lastDelivery          clock.Instant // when a response was last known to have reached its worker
	lastDirectDelivery    clock.Instant // when a response was last known to have reached its worker directly
	workersElsewhereSince clock.Instant // since when workers connect to other nodes; clock.Never: they don't
}

// newWorkerService returns the state at the start of a term. All times of served workers start at
// now, so that a new leader does not resign before it has had time to serve workers.
func newWorkerService(timing *timing, links workerServiceLinks, state *cluster.State, enabled bool) workerService {
	now := timing.now
	return workerService{timing: timing, links: links, state: state, enabled: enabled,
		lastWorkerHeartbeat: now, lastNotOutnumbered: now, lastDelivery: now, lastDirectDelivery: now,
		workersElsewhereSince: clock.Never}
}

// recordDelivery records that a response has reached a machine's worker. relayPeer is the peer that
// relayed the response, or empty.
func (s *workerService) recordDelivery(machine *cluster.Machine, relayPeer string) {
	s.lastDelivery, machine.LastDelivery = s.timing.now, s.timing.now
	if relayPeer == "" {
		s.lastDirectDelivery = s.timing.now
	}
}

// needsRelays reports whether peers should relay for all workers that connect to them. This is the
// case if workers connect to other nodes while no response is delivered directly: the workers can't
// reach this node, and each redirect to it would cost a worker seconds of its lease.
func (s *workerService) needsRelays() bool {
	return s.timeWithoutDirectDelivery() > s.timing.workerLeases(relayAfterLeases)
}

// probesDirectRoute reports whether a few workers should be redirected to this node now although
// relays are needed. There is no other way to detect that workers can reach this node again.
func (s *workerService) probesDirectRoute() bool {
	return s.timeWithoutDirectDelivery()%s.timing.workerLeases(directProbeIntervalLeases) <
		s.timing.workerLeases(directProbeLeases)
}

// timeWithoutDirectDelivery returns how long workers have connected to other nodes while no
// response was delivered directly.
func (s *workerService) timeWithoutDirectDelivery() time.Duration {
	if !s.enabled || !s.links.WorkersReachPeers() {
		s.workersElsewhereSince = clock.Never
		return 0
	}
	if s.workersElsewhereSince == clock.Never {
		s.workersElsewhereSince = s.timing.now
	}
	return s.timing.now - max(s.workersElsewhereSince, s.lastDirectDelivery)
}

// resignReason returns why this leader should resign in favour of another node that would serve more
// workers, or "" if it should not. It should if workers are stranded at another node and this leader
// has served none for one worker lease, or if the stranded workers have clearly outnumbered the served
// ones for as long.
func (s *workerService) resignReason() string {
	now := s.timing.now
	successor := s.links.Successor()
	if !s.enabled || successor.Workers == 0 {
		s.lastNotOutnumbered = now
		return "" // in this common case, don't iterate over all machines
	}
	if successor.Workers <= strandedMajorityFactor*s.recentlyServedWorkers() {
		s.lastNotOutnumbered = now
	}
	resignDelay := s.timing.workerLeases(strandedResignLeases)
	if now-s.lastDelivery >= resignDelay || now-s.lastNotOutnumbered >= resignDelay {
		return "workers stranded at " + successor.Node
	}
	return ""
}

// recentlyServedWorkers returns the number of machines whose worker received a response within
// the last worker lease.
func (s *workerService) recentlyServedWorkers() int {
	count := 0
	for _, machine := range s.state.Machines {
		if machine.Up && s.timing.now-machine.LastDelivery < s.timing.workerLease() {
			count++
		}
	}
	return count
}
