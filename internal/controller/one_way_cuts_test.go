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

// halfOpenCut stops, or restores, one direction of some links.
type halfOpenCut func(sim *simulation, leader string, active bool)

// halfOpenCuts are the cuts between a leader, the other nodes, the key-value store and workers.
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
		sim.setOneWayCut(leader,
			sim.nextNode(leader), active)
	},
	"a node to leader": func(sim *simulation, leader string, active bool) {
		sim.setOneWayCut(sim.nextNode(leader), leader, active)
	},
	"leader to state":   func(sim *simulation, leader string, active bool) { sim.store.requestsDropped[leader] = active },
	"state to leader":   func(sim *simulation, leader string, active bool) { sim.store.responsesDropped[leader] = active },
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
	"a ring": func(sim *simulation, _ string, active bool) {
		for i, from := range sim.names {
			for k, to := range sim.names {
				if k != (i+1)%len(sim.names) {
					sim.setOneWayCut(from, to, active)
				}
			}
		}
	},
}

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

// nextNode returns the node after another, in order of name.
func (sim *simulation) nextNode(name string) string {
	return sim.names[(slices.Index(sim.names, name)+1)%len(sim.names)]
}

// leaderPossible tells whether some node has all the links that a leader needs. With some pairs of
// cuts no worker has a node that it can both reach and receive from, and no progress is possible.
func leaderPossible(first, second string) bool {
	workers := []string{"workers to leader", "leader to workers"}
	const others = "workers to all nodes but leader"
	return !(first == others && slices.Contains(workers, second) || second == others && slices.Contains(workers, first))
}

// maxRecoveryLeases is the number of leases within which tasks start again, under any cut.
const maxRecoveryLeases = 4

// Each cut alone and each pair of them, for three, five and seven nodes with drifting clocks: no
// task starts twice, and a job that is submitted two seconds after the cut starts within four
// leases although the cut persists. Once it heals every job completes.
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
		t.Errorf("%d nodes, %s, %s: nothing begins within %v; %s", nodes, first, second, sim.now-cutAt, sim.explainNoLeader())
	}
	sim.advance(leaderNode.workerLease())
	halfOpenCuts[first](sim, leader, false)
	halfOpenCuts[second](sim, leader, false)
	c.waitForCompletion(5 * time.Minute)
}

// Cuts that flap, with periods around the heartbeat interval, half of the lease and the lease: work
// continues, and there is at most one new leader in a lease.
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
					t.Errorf("period of %.2f leases: %d terms in %d leases", period, terms, leases)
				}
			}
		})
	}
}

// A cut heals at any moment after it began, and the messages it held back are delivered then, while
// jobs are submitted and cancelled.
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

// Workers reach only one node, which does not receive the leader's heartbeats: the leader resigns,
// and a node that can serve the workers is elected, whatever fault coincides with the change.
func TestHandOverUnderFaults(t *testing.T) {
	for name, inject := range map[string]func(sim *simulation, leader, workerNode string){
		"nothing":         func(*simulation, string, string) {},
		"that node ends":  func(sim *simulation, _, workerNode string) { sim.restartAfter(workerNode, 3*time.Second) },
		"the leader ends": func(sim *simulation, leader, _ string) { sim.restartAfter(leader, 200*time.Millisecond) },
		"an outage": func(sim *simulation, _, _ string) {
			sim.store.setDown(true)
			sim.schedule(5*time.Second, func() { sim.store.setDown(false) })
		},
		"the leader stands": func(sim *simulation, leader, _ string) {
			sim.nodes[leader].pauseBeforeEffects = 9 * time.Second
		},
		"that node is slow": func(sim *simulation, _, workerNode string) {
			sim.nodes[workerNode].pauseBeforeEffects = 3 * time.Second
		},
		"the cut turns over": func(sim *simulation, leader, workerNode string) {
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
					t.Errorf("moment %d: nothing begins: %s", moment, sim.explainNoLeader())
				}
				sim.oneWayCuts, sim.heartbeatsBlocked = map[[2]string]bool{}, map[string]bool{}
				c.waitForCompletion(5 * time.Minute)
			}
		})
	}
}

// linkTo returns the state of the link from this node to a peer, by the reports of the peer.
func (n *Node) linkTo(name string) reachability.Link {
	return n.connectivity.matrix.Link(n.cfg.Node, name, n.now, n.leaderLease())
}

// A link report of a peer that can't be true changes nothing and is logged once; a message of an
// earlier version, which carries no report, leaves the links unknown.
func TestInvalidLinkReports(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	peer := sim.followers()[0]
	before := leaderNode.linkTo(peer)
	for _, report := range []*protocol.LinkReport{
		{IncomingLinks: []reachability.IncomingLink{{Node: "nobody"}}},
		{IncomingLinks: []reachability.IncomingLink{{Node: peer}}},
		{IncomingLinks: []reachability.IncomingLink{{Node: leaderNode.name, AgeMS: -1}}}, {RecentWorkers: -1},
	} {
		leaderNode.Step(leaderNode.monotonicNow(sim.now),
			[]Command{InboundMessage{From: peer, Message: protocol.PeerHeartbeat{ProcessID: 3, Links: report}}})
	}
	if leaderNode.linkTo(peer) != before || before != reachability.LinkUp ||
		len(leaderNode.connectivity.invalidReportLogged) != 1 {
		t.Errorf("link %v after %v", leaderNode.linkTo(peer), before)
	}
	otherFollower := sim.nodes[sim.followers()[1]]
	otherFollower.connectivity = newConnectivity(otherFollower.name, otherFollower.peers)
	otherFollower.Step(otherFollower.monotonicNow(sim.now),
		[]Command{InboundMessage{From: peer, Message: protocol.PeerHeartbeat{ProcessID: 3}}})
	if got := otherFollower.linkTo(peer); got != reachability.LinkUnknown || otherFollower.twoWayPeerCount() == 0 {
		t.Errorf("an earlier version: %v, %d two ways", got, otherFollower.twoWayPeerCount())
	}
}

// While no worker reaches the leader the others relay. They retry from time to time whether workers
// do, so that workers are served directly once the cut has healed.
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
		t.Fatal("the leader does not have others relay")
	}
	sim.heartbeatsBlocked[leaderNode.name] = false
	if !sim.advanceUntil(8*leaderNode.workerLease(),
		func() bool { return leaderNode.leader != nil && direct() == len(leaderNode.leader.Machines) }) {
		t.Errorf("%d of %d are served directly", direct(), len(leaderNode.leader.Machines))
	}
}

// A leader that still serves a few workers while clearly more reach only a node that does not
// receive its heartbeats hands over as well; one that serves most of them stays.
func TestHandOverToNodeWithMostWorkers(t *testing.T) {
	for _, testCase := range []struct{ served, stranded int }{{1, 7}, {6, 2}} {
		sim, leaderNode := newRunningSimulation(t, 3, time.Hour, testCase.served+testCase.stranded, 4)
		leader, term := leaderNode.name, leaderNode.leader.term
		other, third := sim.nextNode(leader), sim.nextNode(sim.nextNode(leader))
		sim.cloud.capacity, sim.cloud.rejectReturns = testCase.served+testCase.stranded, true // or it would rent others
		strandedWorkers := map[string]bool{}                                                  // workers that reach the other node only
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
			t.Errorf("%d served, %d stranded: %s leads after %s", testCase.served, testCase.stranded, sim.leaderName(), leader)
		}
		sim.advance(10 * leaderNode.workerLease())
		if terms := sim.waitForLeader().leader.term - term; terms > 6 {
			t.Errorf("%d served, %d stranded: %d terms in 12 leases", testCase.served, testCase.stranded, terms)
		}
	}
}
