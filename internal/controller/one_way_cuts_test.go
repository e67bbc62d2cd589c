package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/election"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reachability"
)

// halfOpenCut cuts one direction of some links if active is set, and restores it otherwise.
type halfOpenCut func(sim *simulation, leader string, active bool)

// halfOpenCuts are the one-way (half-open) cuts between a leader, the other nodes, the key-value store
// and workers, by name. Pairs of them are applied in the order of the names.
var halfOpenCuts = map[string]halfOpenCut{
	"leader to nodes": func(sim *simulation, leader string, active bool) {
		for _, other := range sim.names {
			sim.setOneWayCut(leader, other, active)
		}
	},
	"nodes to leader": func(sim *simulation, leader string, active bool) {
		for _, other := range sim.names {
			sim.setOneWayCut(other, leader, active)
		}
	},
	"leader to a node": func(sim *simulation, leader string, active bool) {
		sim.setOneWayCut(leader, sim.nextNode(leader), active)
	},
	"a node to leader": func(sim *simulation, leader string, active bool) {
		sim.setOneWayCut(sim.nextNode(leader), leader, active)
	},
	"leader to store":   func(sim *simulation, leader string, active bool) { sim.store.requestsDropped[leader] = active },
	"store to leader":   func(sim *simulation, leader string, active bool) { sim.store.responsesDropped[leader] = active },
	"workers to leader": func(sim *simulation, leader string, active bool) { sim.heartbeatsBlocked[leader] = active },
	"leader to workers": func(sim *simulation, leader string, active bool) { sim.responsesBlocked[leader] = active },
	"workers to all nodes but leader": func(sim *simulation, leader string, active bool) {
		for _, other := range sim.names {
			if other != leader {
				sim.heartbeatsBlocked[other] = active
			}
		}
	},
	"nodes from each other": func(sim *simulation, leader string, active bool) {
		for _, from := range sim.names {
			for _, to := range sim.names {
				if from != leader && to != leader {
					sim.setOneWayCut(from, to, active)
				}
			}
		}
	},
	"a one-way ring": func(sim *simulation, _ string, active bool) {
		for i, from := range sim.names {
			for k, to := range sim.names {
				if k != (i+1)%len(sim.names) {
					sim.setOneWayCut(from, to, active)
				}
			}
		}
	},
}

// setOneWayCut cuts or restores the link from one node to another, in this direction only.
func (sim *simulation) setOneWayCut(from, to string, active bool) {
	if from == to {
		return
	}
	if active {
		sim.oneWayCuts[[2]string{from, to}] = true
	} else {
		delete(sim.oneWayCuts, [2]string{from, to})
	}
}

// nextNode returns the node that follows another in the order of names; the first follows the last.
func (sim *simulation) nextNode(name string) string {
	return sim.names[(slices.Index(sim.names, name)+1)%len(sim.names)]
}

// leaderPossible reports whether some node has all the links that a leader needs under two cuts. With
// some pairs workers have no node that they can both reach and receive from, and no task can start.
func leaderPossible(first, second string) bool {
	workers := []string{"workers to leader", "leader to workers"}
	const others = "workers to all nodes but leader"
	return !(first == others && slices.Contains(workers, second) || second == others && slices.Contains(workers, first))
}

// maxRecoveryLeases is the number of worker leases within which tasks must start under any cut.
const maxRecoveryLeases = 4

// Under each one-way (half-open) cut alone and each pair of them, with three, five and seven nodes and
// drifting clocks, no task runs twice. A job that is submitted two seconds after the cut starts within
// four worker leases although the cut persists, unless no leader is possible. Once the cut heals, every
// job completes.
func TestHalfOpenCuts(t *testing.T) {
	names := slices.Sorted(maps.Keys(halfOpenCuts))
	for _, nodes := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			for i, first := range names {
				for _, second := range names[i:] {
					testHalfOpenCut(t, nodes, first, second)
				}
			}
		})
	}
}

func testHalfOpenCut(t *testing.T, nodes int, first, second string) {
	t.Helper()
	sim, leaderNode := newRunningSimulation(t, nodes, 20*time.Second, 4, 8)
	sim.scenario = first + ", " + second
	c := newUserSimulation(sim, uint64(nodes))
	c.driftClocks()
	leader, cutAt := leaderNode.name, sim.now
	halfOpenCuts[first](sim, leader, true)
	halfOpenCuts[second](sim, leader, true)
	sim.advance(2 * time.Second)
	c.submitWithRetries(jobSpec("j-2", 2))
	started := sim.advanceUntil(maxRecoveryLeases*leaderNode.workerLease(),
		func() bool { return sim.firstStartAt["j-2"] != 0 })
	if !started && leaderPossible(first, second) {
		t.Errorf("%d nodes, cuts %q and %q: no task of j-2 starts within %v; %s", nodes, first, second,
			sim.now-cutAt, sim.explainNoLeader())
	}
	sim.advance(leaderNode.workerLease())
	halfOpenCuts[first](sim, leader, false)
	halfOpenCuts[second](sim, leader, false)
	c.waitForCompletion(5 * time.Minute)
}

// Cuts that flap with periods from one interval of the heartbeats between controllers to 1.1 worker
// leases must neither stop the work nor cause more than one new leader in a worker lease.
func TestFlappingCuts(t *testing.T) {
	names := slices.Sorted(maps.Keys(halfOpenCuts))
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, period := range []float64{1.0 / election.HeartbeatsPerWorkerLease, 0.2, 0.5, 1.1} {
				sim, leaderNode := newRunningSimulation(t, 3, 3*time.Second, 4, 4)
				c := newUserSimulation(sim, 3)
				leader, lease := leaderNode.name, leaderNode.workerLease()
				halfPeriod := max(2*step, time.Duration(period*float64(lease))/2)
				const leases = 12
				end := sim.now + leases*lease
				active := false
				var flap func()
				flap = func() {
					if active = !active && sim.now < end; active || sim.now < end+halfPeriod {
						halfOpenCuts[name](sim, leader, active)
						sim.schedule(halfPeriod, flap)
					}
				}
				flap()
				firstTerm := leaderNode.leader.term
				for i := range 2 * leases {
					c.submitWithRetries(jobSpec(fmt.Sprintf("j-f%d", i), 1))
					sim.advance(lease / 2)
				}
				sim.advance(2 * halfPeriod)
				halfOpenCuts[name](sim, leader, false)
				c.waitForCompletion(5 * time.Minute)
				if terms := sim.waitForLeader().leader.term - firstTerm; terms > leases+2 {
					t.Errorf("period of %.2f leases: %d terms in %d leases, want at most %d", period, terms, leases, leases+2)
				}
			}
		})
	}
}

// A cut heals at different moments while jobs are submitted and cancelled. The messages that it held
// back are delivered then, and must neither violate an invariant nor keep a job from completing.
func TestCutHealsAtAnyMoment(t *testing.T) {
	names := slices.Sorted(maps.Keys(halfOpenCuts))
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for moment := range 6 {
				sim, leaderNode := newRunningSimulation(t, 3, 6*time.Second, 4, 6)
				c := newUserSimulation(sim, uint64(moment))
				sim.holdMessages = true
				leader := leaderNode.name
				halfOpenCuts[name](sim, leader, true)
				for i := range 5 {
					c.submitWithRetries(jobSpec(fmt.Sprintf("j-h%d", i), 2))
				}
				c.schedule(time.Second, func() { c.cancelWithRetries("j-1") })
				sim.advance(time.Duration(float64(moment+1) * 0.37 * float64(leaderNode.workerLease())))
				halfOpenCuts[name](sim, leader, false)
				sim.healCuts()
				c.waitForCompletion(5 * time.Minute)
			}
		})
	}
}

// Workers reach only one node, workerNode, which does not receive the leader's heartbeats and so can't
// relay for it. The leader must resign, and a node that can serve the workers must be elected,
// whatever further fault coincides with the change.
func TestHandOverUnderFaults(t *testing.T) {
	for name, inject := range map[string]func(sim *simulation, leader, workerNode string){
		"no further fault":     func(*simulation, string, string) {},
		"worker node restarts": func(sim *simulation, _, workerNode string) { sim.restartAfter(workerNode, 3*time.Second) },
		"leader restarts":      func(sim *simulation, leader, _ string) { sim.restartAfter(leader, 200*time.Millisecond) },
		"store outage": func(sim *simulation, _, _ string) {
			sim.store.setDown(true)
			sim.schedule(5*time.Second, func() { sim.store.setDown(false) })
		},
		"leader pauses": func(sim *simulation, leader, _ string) {
			sim.nodes[leader].pauseBeforeEffects = 9 * time.Second
		},
		"worker node pauses": func(sim *simulation, _, workerNode string) {
			sim.nodes[workerNode].pauseBeforeEffects = 3 * time.Second
		},
		"cut changes direction": func(sim *simulation, leader, workerNode string) {
			sim.setOneWayCut(leader, workerNode, false)
			sim.setOneWayCut(workerNode, leader, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for moment := range 5 {
				sim, leaderNode := newRunningSimulation(t, 3, 20*time.Second, 4, 8)
				c := newUserSimulation(sim, uint64(moment))
				leader := leaderNode.name
				workerNode, third := sim.nextNode(leader), sim.nextNode(sim.nextNode(leader))
				sim.heartbeatsBlocked[leader], sim.heartbeatsBlocked[third] = true, true
				sim.setOneWayCut(leader, workerNode, true)
				c.submitWithRetries(jobSpec("j-2", 2))
				sim.advance(time.Duration(moment+1) * leaderNode.workerLeases(strandedResignLeases) / 4)
				inject(sim, leader, workerNode)
				if !sim.advanceUntil(maxRecoveryLeases*leaderNode.workerLease(),
					func() bool { return sim.firstStartAt["j-2"] != 0 }) {
					t.Errorf("fault at moment %d: no task of j-2 starts within %d leases: %s", moment, maxRecoveryLeases,
						sim.explainNoLeader())
				}
				sim.oneWayCuts, sim.heartbeatsBlocked = map[[2]string]bool{}, map[string]bool{}
				c.waitForCompletion(5 * time.Minute)
			}
		})
	}
}

// linkTo returns the state of the link from this node to a peer, as the peer reports it.
func (n *Node) linkTo(name string) reachability.LinkState {
	return n.connectivity.matrix.Link(n.cfg.Node, name, n.now, n.leaderLease())
}

// A link report that can't be true changes no link state, and only the first one of a peer is logged.
// A heartbeat of an earlier version carries no report and leaves the state of the links unknown.
func TestInvalidLinkReports(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	peer := sim.followers()[0]
	before := leaderNode.linkTo(peer)
	for _, report := range []*protocol.LinkReport{
		{IncomingLinks: []reachability.IncomingLink{{Node: "nobody"}}},
		{IncomingLinks: []reachability.IncomingLink{{Node: peer}}},
		{IncomingLinks: []reachability.IncomingLink{{Node: leaderNode.name, AgeMS: -1}}}, {RecentWorkers: -1},
		{IncomingLinks: []reachability.IncomingLink{{Node: leaderNode.name, AgeMS: 1 << 50}}},
	} {
		leaderNode.Step(leaderNode.monotonicNow(sim.now),
			[]Command{InboundMessage{From: peer, Message: protocol.PeerHeartbeat{ProcessID: 3, Links: report}}})
	}
	if leaderNode.linkTo(peer) != before || before != reachability.LinkUp ||
		len(leaderNode.connectivity.invalidReportLogged) != 1 {
		t.Errorf("link to %s: got %v before and %v after invalid reports, want %v both times; "+
			"got %d peers whose invalid reports were logged, want 1", peer, before, leaderNode.linkTo(peer),
			reachability.LinkUp, len(leaderNode.connectivity.invalidReportLogged))
	}
	otherFollower := sim.nodes[sim.followers()[1]]
	otherFollower.connectivity = newConnectivity(otherFollower.name, otherFollower.peers)
	otherFollower.Step(otherFollower.monotonicNow(sim.now),
		[]Command{InboundMessage{From: peer, Message: protocol.PeerHeartbeat{ProcessID: 3}}})
	if got := otherFollower.linkTo(peer); got != reachability.LinkUnknown || otherFollower.twoWayPeerCount() == 0 {
		t.Errorf("after a heartbeat without a report the link is %v, want %v; %d peers with two-way contact, want some",
			got, reachability.LinkUnknown, otherFollower.twoWayPeerCount())
	}
}

// While no worker reaches the leader, the other nodes relay for all workers. From time to time they
// redirect a few workers to the leader. Otherwise no node would find out that the cut has healed and
// that the leader can serve workers directly again.
func TestRelayingEndsAfterCut(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 3, time.Hour, 4, 8)
	sim.heartbeatsBlocked[leaderNode.name] = true
	sim.advance(3 * leaderNode.workerLease())
	direct := func() int {
		count := 0
		for _, machine := range leaderNode.leader.Machines {
			if machine.Up && machine.RelayPeer == "" {
				count++
			}
		}
		return count
	}
	if leaderNode.leader == nil || direct() > 0 || !leaderNode.leader.needsRelays() {
		t.Fatalf("during the cut: %s is leader: got %t, want true; want no machine served directly and relays requested",
			leaderNode.name, leaderNode.leader != nil)
	}
	sim.heartbeatsBlocked[leaderNode.name] = false
	if !sim.advanceUntil(8*leaderNode.workerLease(),
		func() bool { return leaderNode.leader != nil && direct() == len(leaderNode.leader.Machines) }) {
		t.Errorf("%d of %d machines are served directly 8 worker leases after the cut, want all", direct(),
			len(leaderNode.leader.Machines))
	}
}

// A leader that serves a few workers must resign if clearly more workers reach only a node that does
// not receive its heartbeats. A leader that serves most of the workers must not.
func TestHandOverToNodeWithMostWorkers(t *testing.T) {
	for _, testCase := range []struct{ served, stranded int }{{1, 7}, {6, 2}} {
		sim, leaderNode := newRunningSimulation(t, 3, time.Hour, testCase.served+testCase.stranded, 4)
		leader, term := leaderNode.name, leaderNode.leader.term
		other, third := sim.nextNode(leader), sim.nextNode(sim.nextNode(leader))
		// The leader can neither rent nor return machines.
		sim.cloud.capacity, sim.cloud.rejectReturns = testCase.served+testCase.stranded, true
		strandedWorkers := map[string]bool{} // workers that reach only the other node
		for _, worker := range sim.sortedWorkers()[:testCase.stranded] {
			strandedWorkers[worker.name] = true
		}
		sim.workerReaches = func(worker *fakeWorker, node string) bool {
			return strandedWorkers[worker.name] == (node == other)
		}
		sim.heartbeatsBlocked[third] = true
		sim.setOneWayCut(leader, other, true)
		replaced := sim.advanceUntil(maxRecoveryLeases*leaderNode.workerLease(),
			func() bool { now := sim.leaderName(); return now != "" && now != leader })
		if replaced != (testCase.stranded > testCase.served) {
			t.Errorf("%d workers served, %d stranded: %q leads after %s: got replaced %v, want %v", testCase.served,
				testCase.stranded, sim.leaderName(), leader, replaced, testCase.stranded > testCase.served)
		}
		sim.advance(10 * leaderNode.workerLease())
		if terms := sim.waitForLeader().leader.term - term; terms > 6 {
			t.Errorf("%d workers served, %d stranded: got %d new terms in up to 14 worker leases, want at most 6",
				testCase.served, testCase.stranded, terms)
		}
	}
}
