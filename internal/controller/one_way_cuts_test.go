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

// A half-open cut stops one direction of some links. It can be begun and ended again.
type halfOpenCut func(w *simulation, leader string, on bool)

// halfOpenCuts are those between a leader, the other nodes, the state service and workers.
var halfOpenCuts = map[string]halfOpenCut{
	"leader to nodes": func(w *simulation, leader string, on bool) {
		for _, other := range w.names {
			w.setOneWayCut(leader, other, on)
		}
	},
	"nodes to leader": func(w *simulation, leader string, on bool) {
		for _, other := range w.names {
			w.setOneWayCut(other, leader, on)
		}
	},
	"leader to a node":  func(w *simulation, leader string, on bool) { w.setOneWayCut(leader, w.nextNode(leader), on) },
	"a node to leader":  func(w *simulation, leader string, on bool) { w.setOneWayCut(w.nextNode(leader), leader, on) },
	"leader to state":   func(w *simulation, leader string, on bool) { w.store.requestsDropped[leader] = on },
	"state to leader":   func(w *simulation, leader string, on bool) { w.store.responsesDropped[leader] = on },
	"workers to leader": func(w *simulation, leader string, on bool) { w.heartbeatsBlocked[leader] = on },
	"leader to workers": func(w *simulation, leader string, on bool) { w.responsesBlocked[leader] = on },
	"workers to all nodes but leader": func(w *simulation, leader string, on bool) {
		for _, other := range w.names {
			if other != leader {
				w.heartbeatsBlocked[other] = on
			}
		}
	},
	"nodes from each other": func(w *simulation, leader string, on bool) {
		for _, a := range w.names {
			for _, b := range w.names {
				if a != leader && b != leader {
					w.setOneWayCut(a, b, on)
				}
			}
		}
	},
	"a ring": func(w *simulation, _ string, on bool) {
		for i, a := range w.names {
			for k, b := range w.names {
				if k != (i+1)%len(w.names) {
					w.setOneWayCut(a, b, on)
				}
			}
		}
	},
}

func (w *simulation) setOneWayCut(from, to string, on bool) {
	if from == to {
		return
	}
	if on {
		w.oneWayCuts[[2]string{from, to}] = true
	} else {
		delete(w.oneWayCuts, [2]string{from, to})
	}
}

// after1 is the node after another, by name.
func (w *simulation) nextNode(name string) string {
	return w.names[(slices.Index(w.names, name)+1)%len(w.names)]
}

// reachable tells whether some node has all that a leader needs: with a pair of cuts after
// which every worker lacks a node that it both reaches and hears, nothing can go on.
func leaderPossible(a, b string) bool {
	workers := []string{"workers to leader", "leader to workers"}
	const others = "workers to all nodes but leader"
	return !(a == others && slices.Contains(workers, b) || b == others && slices.Contains(workers, a))
}

// cutSpan is within how many leases work begins again, whatever is cut.
const recoveryLeaseCount = 4

// Each cut alone and each pair of them, for three, five and seven nodes with drifting clocks:
// no task starts twice, and a job that is submitted two seconds after the cut begins within
// four leases, though the cut goes on. Once it heals everything is done.
func TestHalfOpenCuts(t *testing.T) {
	names := slices.Sorted(maps.Keys(halfOpenCuts))
	for _, nodes := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			for i, a := range names {
				for _, b := range names[i:] {
					testHalfOpenCut(t, nodes, a, b)
				}
			}
		})
	}
}

func testHalfOpenCut(t *testing.T, nodes int, a, b string) {
	t.Helper()
	w, l := newRunningSimulation(t, nodes, 20*time.Second, 4, 8)
	w.scenario = a + ", " + b
	c := newUserSimulation(w, uint64(nodes))
	c.driftClocks()
	leader, from := l.name, w.now
	halfOpenCuts[a](w, leader, true)
	halfOpenCuts[b](w, leader, true)
	w.advance(2 * time.Second)
	c.submitWithRetries(jobSpec("j-2", 2))
	began := w.advanceUntil(recoveryLeaseCount*l.workerLease(), func() bool { return w.firstStartAt["j-2"] != 0 })
	if !began && leaderPossible(a, b) {
		t.Errorf("%d nodes, %s, %s: nothing begins within %v; %s", nodes, a, b, w.now-from, w.explainNoLeader())
	}
	w.advance(l.workerLease())
	halfOpenCuts[a](w, leader, false)
	halfOpenCuts[b](w, leader, false)
	c.waitForCompletion(5 * time.Minute)
}

// Cuts that flap, at periods around the heartbeat, half of the lease and the lease: work goes
// on, and there is one new leader in a lease at most.
func TestFlappingCuts(t *testing.T) {
	names := slices.Sorted(maps.Keys(halfOpenCuts))
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, period := range []float64{1.0 / election.HeartbeatsPerWorkerLease, 0.2, 0.5, 1.1} {
				w, l := newRunningSimulation(t, 3, 3*time.Second, 4, 4)
				c := newUserSimulation(w, 3)
				leader, lease := l.name, l.workerLease()
				half := max(2*step, time.Duration(period*float64(lease))/2)
				const leases = 12
				end := w.now + leases*lease
				on := false
				var flap func()
				flap = func() {
					if on = !on && w.now < end; on || w.now < end+half {
						halfOpenCuts[name](w, leader, on)
						w.schedule(half, flap)
					}
				}
				flap()
				first := l.leader.term
				for i := range 2 * leases {
					c.submitWithRetries(jobSpec(fmt.Sprintf("j-f%d", i), 1))
					w.advance(lease / 2)
				}
				w.advance(2 * half)
				halfOpenCuts[name](w, leader, false)
				c.waitForCompletion(5 * time.Minute)
				if terms := w.waitForLeader().leader.term - first; terms > leases+2 {
					t.Errorf("period of %.2f leases: %d terms in %d leases", period, terms, leases)
				}
			}
		})
	}
}

// A cut that heals in the middle of things: at any moment after it began, with what it held
// back delivered then, while jobs are submitted and cancelled.
func TestCutHealsInBetween(t *testing.T) {
	names := slices.Sorted(maps.Keys(halfOpenCuts))
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for moment := range 6 {
				w, l := newRunningSimulation(t, 3, 6*time.Second, 4, 6)
				c := newUserSimulation(w, uint64(moment))
				w.holdMessages = true
				leader := l.name
				halfOpenCuts[name](w, leader, true)
				for i := range 5 {
					c.submitWithRetries(jobSpec(fmt.Sprintf("j-h%d", i), 2))
				}
				c.schedule(time.Second, func() { c.cancelWithRetries("j-1") })
				w.advance(time.Duration(float64(moment+1) * 0.37 * float64(l.workerLease())))
				halfOpenCuts[name](w, leader, false)
				w.healCuts()
				c.waitForCompletion(5 * time.Minute)
			}
		})
	}
}

// Workers come to one node alone, which does not hear the leader: that resigns, and another is
// elected that can serve them, whatever meets the change.
func TestHandOverUnderFaults(t *testing.T) {
	for name, trouble := range map[string]func(w *simulation, leader, stranded string){
		"nothing":         func(*simulation, string, string) {},
		"that node ends":  func(w *simulation, _, stranded string) { w.restartAfter(stranded, 3*time.Second) },
		"the leader ends": func(w *simulation, leader, _ string) { w.restartAfter(leader, 200*time.Millisecond) },
		"an outage": func(w *simulation, _, _ string) {
			w.store.setDown(true)
			w.schedule(5*time.Second, func() { w.store.setDown(false) })
		},
		"the leader stands": func(w *simulation, leader, _ string) { w.nodes[leader].pauseBeforeEffects = 9 * time.Second },
		"that node is slow": func(w *simulation, _, stranded string) { w.nodes[stranded].pauseBeforeEffects = 3 * time.Second },
		"the cut turns over": func(w *simulation, leader, stranded string) {
			w.setOneWayCut(leader, stranded, false)
			w.setOneWayCut(stranded, leader, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for moment := range 5 {
				w, l := newRunningSimulation(t, 3, 20*time.Second, 4, 8)
				c := newUserSimulation(w, uint64(moment))
				leader := l.name
				stranded, third := w.nextNode(leader), w.nextNode(w.nextNode(leader))
				w.heartbeatsBlocked[leader], w.heartbeatsBlocked[third] = true, true
				w.setOneWayCut(leader, stranded, true)
				c.submitWithRetries(jobSpec("j-2", 2))
				w.advance(time.Duration(moment+1) * l.workerLeases(strandedResignLeases) / 4)
				trouble(w, leader, stranded)
				if !w.advanceUntil(recoveryLeaseCount*l.workerLease(), func() bool { return w.firstStartAt["j-2"] != 0 }) {
					t.Errorf("moment %d: nothing begins: %s", moment, w.explainNoLeader())
				}
				w.oneWayCuts, w.heartbeatsBlocked = map[[2]string]bool{}, map[string]bool{}
				c.waitForCompletion(5 * time.Minute)
			}
		})
	}
}

// hearsUs tells whether a peer says that it hears this node.
func (n *Node) linkFrom(name string) reachability.Link {
	return n.connectivity.matrix.Link(n.cfg.Node, name, n.now, n.leaderLease())
}

// What a peer says of links and can't be true changes nothing and is named once; a message
// of an earlier version, without any of it, leaves the links unknown.
func TestImpossibleLinkReports(t *testing.T) {
	w := newSimulation(t, 3)
	l := w.waitForLeader()
	peer := w.followers()[0]
	before := l.linkFrom(peer)
	for _, bad := range []*protocol.LinkReport{
		{IncomingLinks: []reachability.IncomingLink{{Node: "nobody"}}}, {IncomingLinks: []reachability.IncomingLink{{Node: peer}}},
		{IncomingLinks: []reachability.IncomingLink{{Node: l.name, AgeMS: -1}}}, {RecentWorkers: -1},
	} {
		l.Step(l.monotonicNow(w.now), []Command{InboundMessage{From: peer, Message: protocol.PeerHeartbeat{ProcessID: 3, Links: bad}}})
	}
	if l.linkFrom(peer) != before || before != reachability.LinkUp || len(l.connectivity.invalidReportLogged) != 1 {
		t.Errorf("link %v after %v", l.linkFrom(peer), before)
	}
	fresh := w.nodes[w.followers()[1]]
	fresh.connectivity = newConnectivity(fresh.name, fresh.peers)
	fresh.Step(fresh.monotonicNow(w.now), []Command{InboundMessage{From: peer, Message: protocol.PeerHeartbeat{ProcessID: 3}}})
	if got := fresh.linkFrom(peer); got != reachability.LinkUnknown || fresh.twoWayPeerCount() == 0 {
		t.Errorf("an earlier version: %v, %d two ways", got, fresh.twoWayPeerCount())
	}
}

// While no worker reaches the leader the others relay; it is tried again from time to time
// whether they do, so once the cut has healed they are served directly.
func TestRelaysEndAfterTheCut(t *testing.T) {
	w, l := newRunningSimulation(t, 3, time.Hour, 4, 8)
	w.heartbeatsBlocked[l.name] = true
	w.advance(3 * l.workerLease())
	direct := func() int {
		count := 0
		for _, m := range l.leader.Machines {
			if m.Up && m.RelayPeer == "" {
				count++
			}
		}
		return count
	}
	if l.leader == nil || direct() > 0 || !l.leader.needsRelays() {
		t.Fatal("the leader does not have others relay")
	}
	w.heartbeatsBlocked[l.name] = false
	if !w.advanceUntil(8*l.workerLease(), func() bool { return l.leader != nil && direct() == len(l.leader.Machines) }) {
		t.Errorf("%d of %d are served directly", direct(), len(l.leader.Machines))
	}
}

// A leader that still serves a few workers, while clearly more come to a node that does not
// hear it, hands over, too; one that serves most of them stays.
func TestHandOverToWhereMostWorkersAre(t *testing.T) {
	for _, x := range []struct{ served, stranded int }{{1, 7}, {6, 2}} {
		w, l := newRunningSimulation(t, 3, time.Hour, x.served+x.stranded, 4)
		leader, term := l.name, l.leader.term
		other, third := w.nextNode(leader), w.nextNode(w.nextNode(leader))
		w.cloud.capacity, w.cloud.rejectReturns = x.served+x.stranded, true // else it would rent others
		split := map[string]bool{}                                          // those that reach the other node alone
		for _, m := range w.sortedWorkers()[:x.stranded] {
			split[m.name] = true
		}
		w.workerReaches = func(m *fakeWorker, node string) bool { return split[m.name] == (node == other) }
		w.heartbeatsBlocked[third] = true
		w.setOneWayCut(leader, other, true)
		moved := w.advanceUntil(recoveryLeaseCount*l.workerLease(), func() bool { now := w.leaderName(); return now != "" && now != leader })
		if moved != (x.stranded > x.served) {
			t.Errorf("%d served, %d stranded: %s leads after %s", x.served, x.stranded, w.leaderName(), leader)
		}
		w.advance(10 * l.workerLease())
		if terms := w.waitForLeader().leader.term - term; terms > 6 {
			t.Errorf("%d served, %d stranded: %d terms in 12 leases", x.served, x.stranded, terms)
		}
	}
}
