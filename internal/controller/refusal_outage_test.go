package controller

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"hitchdoor/internal/election"
	"hitchdoor/internal/protocol"
)

// refusalOutageScenarios are faults beside the store's refusal and outage, by name. They let a terminal
// state be reported while the old leader does not know of it, or let the old leader keep its workers.
// The length of a name selects the runs of the scenario that are in the sample.
var refusalOutageScenarios = map[string]func(c *userSimulation, old string){
	"plain": func(*userSimulation, string) {},
	"replies lost": func(c *userSimulation, _ string) {
		c.store.lateExecution = func() (time.Duration, bool) { return 0, c.rng.IntN(2) == 0 }
		c.schedule(c.machineLease(), func() { c.store.lateExecution = nil })
	},
	"writes late": func(c *userSimulation, _ string) {
		c.store.lateExecution = func() (time.Duration, bool) {
			return 2*time.Second + time.Duration(c.rng.IntN(10_000))*time.Millisecond, c.rng.IntN(3) == 0
		}
		c.schedule(c.machineLease(), func() { c.store.lateExecution = nil })
	},
	"the successor dies": func(c *userSimulation, old string) {
		c.onNextLeader(old, func(name string) {
			c.schedule(time.Duration(c.rng.IntN(2000))*time.Millisecond,
				func() { c.restartAfter(name, c.cancelLimit()) })
		})
	},
	"successor restarts right away": func(c *userSimulation, old string) {
		c.onNextLeader(old, func(name string) {
			c.schedule(time.Duration(c.rng.IntN(2000))*time.Millisecond,
				func() { c.restartAfter(name, 100*time.Millisecond) })
		})
	},
	"successor node is isolated": func(c *userSimulation, old string) {
		c.onNextLeader(old, func(name string) {
			c.schedule(time.Duration(c.rng.IntN(2000))*time.Millisecond, func() { c.isolateNode(name) })
		})
	},
	"peers all restart": func(c *userSimulation, old string) {
		c.onNextLeader(old, func(string) {
			c.schedule(time.Duration(c.rng.IntN(2000))*time.Millisecond, func() {
				for _, name := range c.names {
					if name != old {
						c.restartAfter(name, time.Duration(50+c.rng.IntN(400))*time.Millisecond)
					}
				}
			})
		})
	},
	"old leader briefly isolated": func(c *userSimulation, old string) {
		c.isolateNode(old)
		c.schedule(c.machineLease()/4, c.healCuts)
	},
	"old leader's process paused": func(c *userSimulation, old string) {
		c.pauseNode(c.nodes[old], time.Duration(c.rng.IntN(int(c.machineLease()/3))), func() {})
	},
	"nodes restart during election": func(c *userSimulation, old string) {
		for i := range 4 {
			c.schedule(time.Duration(i)*c.machineLease()/12, func() {
				if name := c.randomNode(); name != old && !c.nodes[name].down {
					c.restartAfter(name, time.Duration(50+c.rng.IntN(400))*time.Millisecond)
				}
			})
		}
	},
}

// The key-value store refuses the leader alone, its successor confirms cancellations, and then the
// store is down for all nodes for longer than cancel_s, while workers keep sending heartbeats to the
// old leader. No task of a cancelled job may run on for longer than cancel_s. The refusal begins up to
// 3.2 leader leases before the outage, and users send cancellations all along.
func TestCancelledBetweenRefusalAndOutage(t *testing.T) {
	t.Cleanup(func() {
		if !t.Failed() && confirmedBySuccessor.Load() == 0 {
			t.Error("in no run did a successor confirm a cancellation before the outage, so the test covers nothing")
		}
	})
	offsets := 12 // each run adds a random delay of up to one interval of the heartbeats between controllers
	if sweepAll() {
		offsets = 320 // about a twentieth of that interval apart
	}
	for scenario, prepare := range refusalOutageScenarios {
		t.Run(scenario, func(t *testing.T) {
			for i := range offsets {
				for k, timings := range deployments {
					for m, nodes := range []int{3, 7} {
						if !sweepAll() && (i+len(scenario))%(2*len(deployments)) != 2*k+m {
							continue
						}
						t.Run(fmt.Sprintf("%d nodes, lease %v, offset %d", nodes, timings.machineLease, i),
							func(t *testing.T) {
								t.Parallel()
								testRefusalThenOutage(t, nodes, timings, uint64(i),
									time.Duration(float64(i)/float64(offsets)*maxOutageDelayLeases/
										election.LeaderLeasesPerWorkerLease*timings.machineLease*1e9), prepare)
							})
					}
				}
			}
		})
	}
}

// maxOutageDelayLeases is the largest delay from the refusal to the outage, in leader leases. A
// successor is elected after one or two leader leases.
const maxOutageDelayLeases = 3.2

// confirmedBySuccessor counts the runs in which some user was told of a terminal state before the
// outage and the old leader no longer led.
var confirmedBySuccessor atomic.Int64

// testRefusalThenOutage runs one combination: the refusal, the outage that begins outageAfter later,
// and the scenario's faults, which prepare injects.
func testRefusalThenOutage(t *testing.T, nodes int, timings workerTimings, seed uint64, outageAfter time.Duration,
	prepare func(*userSimulation, string)) {
	const jobs = 8
	c, leaderNode := newUserSimulationWithJobs(t, nodes, timings, seed, jobs, 2)
	outageAfter += time.Duration(c.rng.Float64() * float64(c.machineLease()) / 32)
	// Half of the machines reach only the old leader.
	c.workerReaches = func(worker *fakeWorker, node string) bool {
		return node == leaderNode.name || worker.name[len(worker.name)-1]%2 == 0
	}
	prepare(c, leaderNode.name)
	c.store.refusedNodes[leaderNode.name] = true
	c.schedule(c.machineLease()/2, func() { delete(c.store.refusedNodes, leaderNode.name) })
	for i := range jobs - 1 {
		delay := time.Duration(c.rng.Int64N(int64(outageAfter + c.machineLease()/8)))
		c.schedule(delay, func() { c.cancelWithRetries(fmt.Sprintf("j-%d", i)) })
	}
	c.schedule(outageAfter, func() {
		c.store.setDown(true)
		if len(c.terminalAt) > 0 && c.leaderName() != leaderNode.name {
			confirmedBySuccessor.Add(1)
		}
	})
	c.schedule(outageAfter+c.cancelLimit()*5/4, func() { c.store.setDown(false); c.workerReaches = nil; c.healCuts() })
	c.advance(outageAfter + c.cancelLimit()*5/4 + c.machineLease())
	c.taskDuration = func(string, int) time.Duration { return time.Second }
	c.waitForCancellations(jobs - 1)
}

// waitForCancellations waits until the given number of jobs, from j-0 on, are cancelled durably.
func (c *userSimulation) waitForCancellations(jobs int) {
	c.t.Helper()
	if !c.advanceUntil(time.Minute, func() bool {
		for i := range jobs {
			if c.terminalState(fmt.Sprintf("j-%d", i)) != protocol.JobCancelled {
				return false
			}
		}
		return true
	}) {
		c.t.Fatalf("at %v: not all of the %d jobs have a terminal record as cancelled after 1 min", c.now, jobs)
	}
	c.queryAllJobs()
	c.advance(c.cancelLimit())
}
