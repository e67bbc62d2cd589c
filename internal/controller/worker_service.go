package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/reachability"
)

// Time spans of a leader's decisions by its links, in worker leases.
const (
	// strandedResignLeases is how long a leader serves too few workers before it resigns for those
	// stranded at another node. It limits these resignations to one per worker lease.
	strandedResignLeases = 1.0
	// relayAfterLeases is how long a leader that no worker reaches waits before it makes its
	// peers relay for all workers that connect to them. Every directProbeIntervalLeases a few
	// workers are redirected to the leader for directProbeLeases, to test the direct route.
	relayAfterLeases          = 0.5
	directProbeIntervalLeases = 4.0
	directProbeLeases         = 0.25
)

// strandedMajorityFactor is the ratio of workers stranded elsewhere to those served here above
// which the stranded ones clearly outnumber the others.
const strandedMajorityFactor = 2

// workerServiceLinks is what workerService needs to know of the links between controllers.
type workerServiceLinks interface {
	// WorkersReachPeers reports whether some peer reports workers that connect to it.
	WorkersReachPeers() bool
	// Successor returns the other node with the most stranded workers, if there is one.
	Successor() reachability.StrandedCount
}

// workerService tracks whether workers receive responses, from this leader and through other
// nodes. By that it decides whether a leader needs relays, and whether it should resign for
// another node that workers reach.
type workerService struct {
	timing  *timing
	links   workerServiceLinks
	state   *cluster.State
	enabled bool // the settings let leaders act on the state of links

	lastWorkerHeartbeat clock.Instant
	// lastServedMajority is when the workers stranded at another node last did not clearly outnumber
	// those served here.
	lastServedMajority    clock.Instant
	lastDelivery          clock.Instant // last response known to have reached its worker
	lastDirectDelivery    clock.Instant // the same, without a relay
	workersElsewhereSince clock.Instant // since when workers connect to other nodes; never: they don't
}

// newWorkerService returns the state at the start of a term. The timestamps of services start at
// now, so that a new leader does not resign before it had time to serve workers.
func newWorkerService(timing *timing, links workerServiceLinks, state *cluster.State, enabled bool) workerService {
	now := timing.now
	return workerService{timing: timing, links: links, state: state, enabled: enabled,
		lastWorkerHeartbeat: now, lastServedMajority: now, lastDelivery: now, lastDirectDelivery: now,
		workersElsewhereSince: clock.Never}
}

// recordDelivery records that a response has reached a machine's worker, through the peer via if
// that is set.
func (s *workerService) recordDelivery(machine *cluster.Machine, relayPeer string) {
	s.lastDelivery, machine.LastDelivery = s.timing.now, s.timing.now
	if relayPeer == "" {
		s.lastDirectDelivery = s.timing.now
	}
}

// needsRelays reports whether peers should relay for all workers that connect to them. This is
// the case if workers connect to other nodes while no response is delivered directly: the
// workers can't reach this node, and a redirect would cost each of them seconds of its lease.
func (s *workerService) needsRelays() bool {
	return s.timeWithoutDirectDelivery() > s.timing.workerLeases(relayAfterLeases)
}

// probesDirectRoute reports whether a few workers should be redirected to this node now although
// relays are needed. There is no other way to detect that they can reach it again.
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

// resignReason returns why this leader should resign in favour of another node that would serve
// more workers, or "" if there is none. That is the case if workers are stranded at another node and
// either this leader has served none for one worker lease, or the stranded ones have clearly
// outnumbered those served here for as long.
func (s *workerService) resignReason() string {
	now := s.timing.now
	successor := s.links.Successor()
	if !s.enabled || successor.Workers == 0 {
		s.lastServedMajority = now
		return "" // the common case: don't iterate over all machines
	}
	if successor.Workers <= strandedMajorityFactor*s.recentlyServedWorkers() {
		s.lastServedMajority = now
	}
	resignDelay := s.timing.workerLeases(strandedResignLeases)
	if now-s.lastDelivery >= resignDelay || now-s.lastServedMajority >= resignDelay {
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
