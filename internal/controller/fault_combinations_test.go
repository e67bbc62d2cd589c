package controller

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// sweepAll reports whether the environment variable HITCHDOOR_SWEEP asks for a sweep of all combinations
// of faults instead of a sample. Each combination is run with many offsets and seeds, since a single
// timing may pass by chance.
func sweepAll() bool { return os.Getenv("HITCHDOOR_SWEEP") != "" }

// forEachSeed runs a parallel subtest for each seed below sampleSeeds, or below sweepSeeds in a sweep.
func forEachSeed(t *testing.T, sampleSeeds, sweepSeeds uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	seeds := sampleSeeds
	if sweepAll() {
		seeds = sweepSeeds
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// newUserSimulationWithJobs returns a simulation with the given worker timings, users, machines, and jobs
// whose tasks all run, for an hour each. It also returns the leader.
func newUserSimulationWithJobs(t *testing.T, nodes int, timings workerTimings, seed uint64, jobs, tasks int) (
	*userSimulation, *simNode) {
	t.Helper()
	c := newUserSimulation(newSimulationWithTimings(t, nodes, timings), seed)
	c.taskDuration = func(string, int) time.Duration { return time.Hour }
	c.driftClocks()
	c.waitForLeader()
	c.startMachines((jobs*tasks + 3) / 4)
	for i := range jobs {
		job := jobSpec(fmt.Sprintf("j-%d", i), tasks)
		job.EstimatedSeconds = 3600
		c.submit(c.randomNode(), job)
	}
	if !c.advanceUntil(time.Minute, func() bool {
		active := 0
		for i := range jobs {
			active += c.activeTaskCount(fmt.Sprintf("j-%d", i))
		}
		return active == jobs*tasks
	}) {
		t.Fatal("not all tasks run on machines after a minute")
	}
	leaderNode := c.waitForLeader()
	c.queryAfterEachChange()
	return c, leaderNode
}

// machineLease returns the duration of a worker lease.
func (c *userSimulation) machineLease() time.Duration { return config.Seconds(c.cfg.Workers.LeaseS) }

// onNextLeader calls f once, as soon as a node other than except leads.
func (c *userSimulation) onNextLeader(except string, f func(name string)) {
	var poll func()
	poll = func() {
		if name := c.leaderName(); name != "" && name != except {
			f(name)
			return
		}
		c.schedule(step, poll)
	}
	poll()
}

// randomDuration returns a random duration below d.
func (c *userSimulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

// forSomeWorkers calls f for each worker with a probability of one in oneIn.
func (c *userSimulation) forSomeWorkers(oneIn int, f func(*fakeWorker)) {
	for _, worker := range c.sortedWorkers() {
		if c.rng.IntN(oneIn) == 0 {
			f(worker)
		}
	}
}

// replaceLeader crashes the leader, in a third of the cases after a drain, and restarts it after a
// random downtime of at most one worker lease, often far less.
func (c *userSimulation) replaceLeader() {
	name := c.leaderName()
	if name == "" {
		return
	}
	if c.rng.IntN(3) == 0 {
		c.nodes[name].inbox = append(c.nodes[name].inbox, Drain{})
		c.schedule(c.randomDuration(c.machineLease()/8), func() { c.restartAfter(name, c.randomDuration(time.Second)) })
		return
	}
	c.restartAfter(name, c.randomDuration(c.machineLease()/[]time.Duration{1, 40}[c.rng.IntN(2)]))
}

// cancelSomeJobs cancels each open job with a probability of one in oneIn, at a random time within a
// span.
func (c *userSimulation) cancelSomeJobs(oneIn int, span time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.acceptedAt)) {
		if c.terminalStates[id] == "" && c.rng.IntN(oneIn) == 0 {
			c.schedule(c.randomDuration(span), func() { c.cancelWithRetries(id) })
		}
	}
}

// submitMoreJobs submits random jobs at random times within a span. A change that is not nil alters
// each job first.
func (c *userSimulation) submitMoreJobs(jobs int, span time.Duration, change func(i int, job *protocol.Job)) {
	first := len(c.submitted)
	for i := range jobs {
		job := jobSpec(fmt.Sprintf("j-%d", first+i), 1+c.rng.IntN(5))
		job.Team = []string{"team", "free"}[c.rng.IntN(2)]
		job.Priority = []protocol.Priority{"urgent", "standard", "low"}[c.rng.IntN(3)]
		if change != nil {
			change(i, &job)
		}
		c.submitted[job.ID] = true
		c.schedule(c.randomDuration(span), func() { c.submitWithRetries(job) })
	}
}

// replayHeartbeats keeps copies of some heartbeats. When the leader has changed, each copy is sent to
// all nodes, twice within a tenth of a worker lease.
func (c *userSimulation) replayHeartbeats() {
	var copies []*protocol.WorkerHeartbeat
	c.onHeartbeat = func(_ *fakeWorker, heartbeat *protocol.WorkerHeartbeat) {
		if c.rng.IntN(6) == 0 {
			copied := *heartbeat
			copies = append(copies, &copied)
		}
	}
	lastLeader := c.leaderName()
	var poll func()
	poll = func() {
		name := c.leaderName()
		if name == "" || name == lastLeader {
			c.schedule(step, poll)
			return
		}
		lastLeader = name
		for _, heartbeat := range copies {
			for _, node := range c.names {
				for range 2 {
					c.schedule(c.randomDuration(c.machineLease()/10), func() {
						copied := *heartbeat
						c.sendRequest(node, Request{Kind: protocol.RequestHeartbeat, Heartbeat: &copied}, func(Reply) {})
					})
				}
			}
		}
		copies = nil
		c.schedule(step, poll)
	}
	poll()
}

// faultCombinations are the combinations of faults that TestFaultCombinations runs, by name. Each
// function gets a simulation with a leader, eight machines and some jobs. It schedules its faults and
// returns how long they last. The length of a name is part of the seed of its runs.
var faultCombinations = map[string]func(c *userSimulation) time.Duration{
	"long and short tasks, leaders replaced": func(c *userSimulation) time.Duration {
		c.taskDuration = func(task string, _ int) time.Duration {
			return 2*time.Second + time.Duration(task[len(task)-1]-'0')*20*time.Second
		}
		c.submitMoreJobs(10, 10*time.Second, func(_ int, j *protocol.Job) { j.TaskCount = 2 + c.rng.IntN(2) })
		for i := range 3 {
			c.schedule(time.Duration(i)*15*time.Second+c.randomDuration(10*time.Second), c.replaceLeader)
		}
		return 50 * time.Second
	},
	"cancellation at acceptance, and frequent queries": func(c *userSimulation) time.Duration {
		onJobState := c.onJobState
		c.onJobState = func(id string, state protocol.JobState) {
			onJobState(id, state)
			if state == "accepted" && c.rng.IntN(2) == 0 {
				c.schedule(c.randomDuration(200*time.Millisecond), func() { c.cancelWithRetries(id) })
			}
		}
		c.submitMoreJobs(30, 20*time.Second, nil)
		c.schedule(c.randomDuration(20*time.Second), c.replaceLeader)
		return 30 * time.Second
	},
	"executed transactions without a response": func(c *userSimulation) time.Duration {
		c.store.lateExecution = func() (time.Duration, bool) { return 0, c.rng.IntN(5) < 2 }
		c.submitMoreJobs(20, 40*time.Second, nil)
		for i := range 4 {
			c.schedule(time.Duration(i)*10*time.Second, func() { c.cancelSomeJobs(4, time.Second) })
		}
		c.schedule(c.randomDuration(40*time.Second), c.replaceLeader)
		return 45 * time.Second
	},
	"late execution of transactions and of lease calls": func(c *userSimulation) time.Duration {
		c.store.lateExecution = func() (time.Duration, bool) {
			return 2*time.Second + c.randomDuration(10*time.Second), c.rng.IntN(4) == 0
		}
		c.submitMoreJobs(20, 60*time.Second, nil)
		for i := range 4 {
			c.schedule(time.Duration(i)*15*time.Second, func() { c.cancelSomeJobs(4, time.Second) })
			c.schedule(time.Duration(i)*15*time.Second+c.randomDuration(3*time.Second), c.replaceLeader)
		}
		return 70 * time.Second
	},
	"too little capacity and a slow store": func(c *userSimulation) time.Duration {
		c.cloud.capacity = 9
		c.store.requestDelay = func() time.Duration { return c.randomDuration(600 * time.Millisecond) }
		c.submitMoreJobs(40, 40*time.Second, func(_ int, j *protocol.Job) { j.Team = "free" })
		c.schedule(c.randomDuration(40*time.Second), c.replaceLeader)
		c.schedule(20*time.Second, func() { c.cancelSomeJobs(4, time.Second) })
		return 60 * time.Second
	},
	"leader replaced twice, all nodes restart, one sooner": func(c *userSimulation) time.Duration {
		c.submitMoreJobs(15, 60*time.Second, nil)
		for i := range 3 {
			at := time.Duration(i) * 20 * time.Second
			c.schedule(at, c.replaceLeader)
			c.schedule(at+c.randomDuration(time.Second), c.replaceLeader)
			c.schedule(at+8*time.Second+c.randomDuration(4*time.Second), func() {
				firstBack := c.randomNode()
				for _, name := range c.names {
					downtime := c.machineLease() / 2
					if name == firstBack {
						downtime = c.randomDuration(time.Second)
					}
					c.restartAfter(name, downtime)
				}
				c.cancelSomeJobs(4, 3*time.Second)
			})
		}
		return 70 * time.Second
	},
	"workers reach no controller": func(c *userSimulation) time.Duration {
		isolated := map[string]bool{}
		c.forSomeWorkers(2, func(worker *fakeWorker) { isolated[worker.name] = true })
		c.workerReaches = func(worker *fakeWorker, _ string) bool { return !isolated[worker.name] }
		c.submitMoreJobs(10, 30*time.Second, nil)
		c.cancelSomeJobs(3, 2*time.Second)
		c.schedule(c.randomDuration(c.machineLease()), c.replaceLeader)
		c.schedule(c.machineLease()/2+c.randomDuration(c.machineLease()), func() { c.workerReaches = nil })
		return 2 * c.machineLease()
	},
	"leader replaced, workers are unreachable or without responses": func(c *userSimulation) time.Duration {
		c.forSomeWorkers(3, func(worker *fakeWorker) { worker.unreachable = true })
		c.forSomeWorkers(3, func(worker *fakeWorker) { worker.dropResponses = true })
		c.submitMoreJobs(10, 30*time.Second, nil)
		c.schedule(c.randomDuration(6*time.Second), c.replaceLeader)
		c.schedule(c.randomDuration(10*time.Second), func() { c.cancelSomeJobs(3, 2*time.Second) })
		for _, worker := range c.sortedWorkers() {
			c.schedule(c.randomDuration(3*c.machineLease()/2),
				func() { worker.unreachable, worker.dropResponses = false, false })
		}
		return 2 * c.machineLease()
	},
	"one zone isolated for longer than a lease": func(c *userSimulation) time.Duration {
		isolated := c.randomNode()
		c.workerReaches = func(worker *fakeWorker, node string) bool {
			return (worker.zone == "a") == (node == isolated)
		}
		c.store.requestsDropped[isolated] = true
		c.holdMessages = c.rng.IntN(2) == 0
		c.isolateNode(isolated)
		c.submitMoreJobs(10, 30*time.Second, nil)
		c.cancelSomeJobs(3, 8*time.Second)
		c.schedule(c.randomDuration(c.machineLease()), c.replaceLeader)
		c.schedule(c.machineLease()*5/4+c.randomDuration(c.machineLease()/2), func() {
			c.workerReaches = nil
			delete(c.store.requestsDropped, isolated)
			c.healCuts()
		})
		return 2 * c.machineLease()
	},
	"cancellations around the changes of the leader": func(c *userSimulation) time.Duration {
		c.submitMoreJobs(20, 40*time.Second, nil)
		for i := range 5 {
			at := 2*time.Second + time.Duration(i)*10*time.Second
			c.schedule(at, c.replaceLeader)
			c.schedule(at-2*time.Second, func() { c.cancelSomeJobs(3, 5*time.Second) })
		}
		return 55 * time.Second
	},
	"all nodes are down or paused longer than a lease": func(c *userSimulation) time.Duration {
		c.cancelSomeJobs(3, 2*time.Second)
		c.submitMoreJobs(10, 2*time.Second, nil)
		c.schedule(c.randomDuration(2*time.Second), func() {
			for _, name := range c.names {
				if c.rng.IntN(2) == 0 {
					c.restartAfter(name, c.machineLease()*6/5+c.randomDuration(time.Second))
				} else {
					c.pauseNode(c.nodes[name], c.machineLease()*6/5+c.randomDuration(time.Second), func() {})
				}
			}
		})
		return 2 * c.machineLease()
	},
	"a half-isolated leader, and cancellations at the new one": func(c *userSimulation) time.Duration {
		oldLeader := c.leaderName()
		c.workerReaches = func(worker *fakeWorker, node string) bool { return node == oldLeader || worker.zone == "a" }
		c.store.requestsDropped[oldLeader] = true
		c.holdMessages = c.rng.IntN(2) == 0
		c.isolateNode(oldLeader)
		for range 3 {
			c.schedule(c.randomDuration(c.machineLease()), func() { c.cancelSomeJobs(4, time.Second) })
		}
		c.submitMoreJobs(8, 20*time.Second, nil)
		c.schedule(c.cancelLimit()+c.randomDuration(c.machineLease()), func() {
			c.workerReaches = nil
			delete(c.store.requestsDropped, oldLeader)
			c.healCuts()
		})
		return c.cancelLimit() + c.machineLease()
	},
	"ten leaders in two minutes, and one store outage": func(c *userSimulation) time.Duration {
		c.submitMoreJobs(20, 100*time.Second, nil)
		for i := range 10 {
			c.schedule(time.Duration(i)*12*time.Second+c.randomDuration(3*time.Second), c.replaceLeader)
			c.schedule(time.Duration(i)*12*time.Second+c.randomDuration(6*time.Second),
				func() { c.cancelSomeJobs(8, time.Second) })
		}
		at := c.randomDuration(90 * time.Second)
		c.schedule(at, func() { c.store.setDown(true) })
		c.schedule(at+5*time.Second+c.randomDuration(25*time.Second), func() { c.store.setDown(false) })
		return 2 * time.Minute
	},
	"machines boot at once, writes delayed, leader is replaced": func(c *userSimulation) time.Duration {
		c.cloud.bootTime = 300 * time.Millisecond
		c.store.requestDelay = func() time.Duration { return c.randomDuration(c.machineLease() / 16) }
		c.submitMoreJobs(30, 30*time.Second, nil)
		for i := range 3 {
			c.schedule(time.Duration(i)*10*time.Second+c.randomDuration(8*time.Second), c.replaceLeader)
		}
		return 40 * time.Second
	},
	"jobs with zone options lose machines": func(c *userSimulation) time.Duration {
		c.submitMoreJobs(15, 30*time.Second, func(i int, j *protocol.Job) {
			j.SameZone, j.Spread = i%3 == 0, i%3 == 1
			if i%3 == 2 {
				j.Zone = "a"
			}
			j.TaskCount = 2 + c.rng.IntN(6)
		})
		for range 3 {
			c.schedule(c.randomDuration(30*time.Second), func() {
				c.forSomeWorkers(4, func(worker *fakeWorker) {
					delete(c.workers, worker.name)
					delete(c.cloud.hosts, worker.name)
				})
			})
		}
		c.schedule(c.randomDuration(30*time.Second), c.replaceLeader)
		c.schedule(c.randomDuration(30*time.Second), func() { c.cancelSomeJobs(5, time.Second) })
		return 45 * time.Second
	},
	"queries and cancellations around the end of the last task": func(c *userSimulation) time.Duration {
		taskDuration := c.taskDuration
		c.taskDuration = func(task string, n int) time.Duration {
			duration := taskDuration(task, n)
			id := jobIDOf(task)
			c.schedule(duration+c.randomDuration(400*time.Millisecond), func() {
				job := c.jobSpecs[id]
				switch c.rng.IntN(3) {
				case 0:
					c.cancelWithRetries(id)
				case 1:
					c.submitWithRetries(job)
				default:
					c.sendUserRequest(Request{Kind: protocol.RequestQuery, JobID: id}, func(Reply) {})
				}
			})
			return duration
		}
		c.submitMoreJobs(30, 30*time.Second, func(_ int, j *protocol.Job) { j.TaskCount = 1 + c.rng.IntN(2) })
		return 45 * time.Second
	},
	"delayed copies of heartbeats": func(c *userSimulation) time.Duration {
		c.onHeartbeat = func(_ *fakeWorker, heartbeat *protocol.WorkerHeartbeat) {
			if c.rng.IntN(2) == 0 {
				copied := *heartbeat
				c.schedule(time.Duration(c.rng.ExpFloat64()*float64(c.machineLease())), func() {
					c.sendRequest(c.randomNode(), Request{Kind: protocol.RequestHeartbeat,
						Heartbeat: &copied}, func(Reply) {})
				})
			}
		}
		c.forSomeWorkers(3, func(worker *fakeWorker) {
			c.schedule(c.randomDuration(20*time.Second), func() {
				worker.restartMachine()
			})
		})
		c.submitMoreJobs(15, 30*time.Second, nil)
		c.schedule(c.randomDuration(30*time.Second), c.replaceLeader)
		c.cancelSomeJobs(4, 20*time.Second)
		return 45 * time.Second
	},
	"heartbeats replayed to all nodes once a new leader acts": func(c *userSimulation) time.Duration {
		c.replayHeartbeats()
		c.submitMoreJobs(15, 40*time.Second, nil)
		for i := range 3 {
			c.schedule(4*time.Second+time.Duration(i)*14*time.Second, c.replaceLeader)
		}
		c.schedule(c.randomDuration(40*time.Second), func() { c.cancelSomeJobs(4, time.Second) })
		return 50 * time.Second
	},
	"teams at quota, machines unreachable or hung, cancellations, leaders replaced": func(c *userSimulation) time.Duration {
		c.submitMoreJobs(16, 5*time.Second,
			func(i int, j *protocol.Job) { j.Team, j.TaskCount = []string{"team", "small"}[i%2], 4 })
		at := 8*time.Second + c.randomDuration(4*time.Second)
		c.schedule(at, func() {
			c.cancelSomeJobs(2, time.Second)
			c.forSomeWorkers(2, func(worker *fakeWorker) {
				if c.rng.IntN(2) == 0 {
					worker.unreachable = true
					c.schedule(c.randomDuration(2*c.machineLease()), func() { worker.unreachable = false })
				} else {
					worker.hung = true
					c.schedule(c.randomDuration(c.machineLease()*3/2), func() { worker.hung = false })
				}
			})
		})
		c.schedule(at+c.randomDuration(3*time.Second)-time.Second, c.replaceLeader)
		return at + 2*c.machineLease()
	},
	"long delays of worker responses": func(c *userSimulation) time.Duration {
		c.forSomeWorkers(2, func(worker *fakeWorker) { worker.responseDelay = c.randomDuration(6 * time.Second) })
		c.submitMoreJobs(15, 30*time.Second, nil)
		c.cancelSomeJobs(3, 20*time.Second)
		c.schedule(c.randomDuration(30*time.Second), c.replaceLeader)
		for _, worker := range c.sortedWorkers() {
			c.schedule(20*time.Second+c.randomDuration(20*time.Second), func() { worker.responseDelay = 0 })
		}
		return 45 * time.Second
	},
	"a slow store refuses the leader and later has an outage": func(c *userSimulation) time.Duration {
		c.store.requestDelay = func() time.Duration { return c.randomDuration(c.machineLease() / 20) }
		name := c.leaderName()
		c.store.refusedNodes[name] = true
		c.cancelSomeJobs(3, 4*time.Second)
		c.submitMoreJobs(6, 10*time.Second, nil)
		at := c.randomDuration(c.machineLease() / 2)
		c.schedule(at, func() { c.store.setDown(true) })
		c.schedule(at+c.cancelLimit()*5/4, func() {
			c.store.setDown(false)
			delete(c.store.refusedNodes, name)
			c.store.requestDelay = nil
		})
		return at + c.cancelLimit()*5/4 + 2*time.Second
	},
	"machines of cancelled jobs hang, a leader is replaced": func(c *userSimulation) time.Duration {
		at := c.randomDuration(4 * time.Second)
		c.schedule(at, func() { c.cancelSomeJobs(2, 200*time.Millisecond) })
		c.schedule(at+c.randomDuration(400*time.Millisecond), func() {
			c.forSomeWorkers(2, func(worker *fakeWorker) {
				worker.hung = true
				c.schedule(c.randomDuration(c.machineLease()*3/2), func() { worker.hung = false })
			})
		})
		c.schedule(at+c.randomDuration(4*time.Second), c.replaceLeader)
		c.submitMoreJobs(6, 10*time.Second, nil)
		return 2 * c.machineLease()
	},
	"controllers pause for more than one minute": func(c *userSimulation) time.Duration {
		c.submitMoreJobs(15, 40*time.Second, nil)
		at := c.randomDuration(10 * time.Second)
		c.schedule(at, func() {
			all := c.rng.IntN(3) == 0
			leader := c.leaderName()
			for _, name := range c.names {
				if all || name == leader {
					c.pauseController(name, time.Minute+c.randomDuration(30*time.Second))
				}
			}
		})
		for range 3 {
			c.schedule(max(0, at-time.Second)+c.randomDuration(3*time.Second),
				func() { c.cancelSomeJobs(4, time.Second) })
		}
		return at + 95*time.Second
	},
	"paused in an election, in a confirmation, in a write": func(c *userSimulation) time.Duration {
		c.submitMoreJobs(20, 60*time.Second, nil)
		for i := range 4 {
			at := time.Duration(i) * 20 * time.Second
			c.schedule(at, c.replaceLeader)
			for range 2 {
				c.schedule(at+c.randomDuration(c.machineLease()/3),
					func() { c.pauseController(c.randomNode(), c.randomDuration(25*time.Second)) })
			}
			c.schedule(at+5*time.Second, func() {
				c.cancelSomeJobs(4, 200*time.Millisecond)
				if name := c.leaderName(); name != "" {
					c.schedule(c.randomDuration(100*time.Millisecond),
						func() { c.pauseController(name, c.randomDuration(20*time.Second)) })
				}
			})
		}
		return 110 * time.Second
	},
	"a flood of queries, and some controllers are paused": func(c *userSimulation) time.Duration {
		c.submitMoreJobs(15, 30*time.Second, nil)
		for i := range 600 {
			c.schedule(time.Duration(i)*50*time.Millisecond, c.queryAllJobs)
		}
		for range 3 {
			c.schedule(c.randomDuration(25*time.Second),
				func() { c.pauseController(c.randomNode(), c.randomDuration(9*time.Second)) })
			c.schedule(c.randomDuration(30*time.Second), func() { c.cancelSomeJobs(5, time.Second) })
		}
		return 40 * time.Second
	},
	"jobs that fail everywhere, a faulty machine, and a change of leader": func(c *userSimulation) time.Duration {
		c.submitMoreJobs(12, 20*time.Second, func(i int, j *protocol.Job) {
			if i%4 == 0 {
				c.failingJobs[j.ID] = true
			}
		})
		c.schedule(5*time.Second, func() { c.forSomeWorkers(6, func(worker *fakeWorker) { worker.faulty = true }) })
		c.schedule(c.randomDuration(40*time.Second), c.replaceLeader)
		c.schedule(80*time.Second, func() {
			for id := range c.failingJobs {
				c.cancelWithRetries(id)
			}
		})
		return 85 * time.Second
	},
	"slow and failing machine boots": func(c *userSimulation) time.Duration {
		c.cloud.nextBootTime = func() time.Duration {
			if c.rng.IntN(4) == 0 {
				return time.Hour
			}
			return time.Second + time.Duration(c.rng.ExpFloat64()*float64(20*time.Second))
		}
		c.submitMoreJobs(30, 30*time.Second, nil)
		c.schedule(c.randomDuration(40*time.Second), c.replaceLeader)
		c.schedule(60*time.Second, func() { c.cloud.nextBootTime = nil })
		return 70 * time.Second
	},
	"bad requests": func(c *userSimulation) time.Duration {
		c.submitMoreJobs(10, 20*time.Second, nil)
		for range 40 {
			c.schedule(c.randomDuration(40*time.Second), func() { c.sendInvalidRequest() })
		}
		c.schedule(c.randomDuration(30*time.Second), c.replaceLeader)
		return 40 * time.Second
	},
}

// pauseController suspends the steps of a controller, but not its clocks, unless it is already down or
// paused. Half of the pauses are between a step and its effects.
func (c *userSimulation) pauseController(name string, d time.Duration) {
	n := c.nodes[name]
	switch {
	case n.down || n.paused:
	case c.rng.IntN(2) == 0:
		n.pauseBeforeEffects = d
	default:
		c.pauseNode(n, d, func() {})
	}
}

// sendInvalidRequest repeats a submission with another specification, cancels a terminal job, or
// submits a job that fits no machine type.
func (c *userSimulation) sendInvalidRequest() {
	ids := slices.Sorted(maps.Keys(c.acceptedAt))
	if len(ids) == 0 {
		return
	}
	id := ids[c.rng.IntN(len(ids))]
	switch c.rng.IntN(3) {
	case 0:
		changed := c.jobSpecs[id]
		changed.Cores, changed.TaskCount, changed.Team = 400, 77, "nobody"
		c.sendUserRequest(Request{Kind: protocol.RequestSubmit, JobID: id, Job: &changed}, func(Reply) {})
	case 1:
		if c.terminalStates[id] != "" {
			c.sendUserRequest(Request{Kind: protocol.RequestCancel, JobID: id}, func(Reply) {})
		}
	default:
		job := jobSpec(fmt.Sprintf("j-odd-%d", c.rng.IntN(5)), 1)
		job.Cores = 400
		c.sendUserRequest(Request{Kind: protocol.RequestSubmit, JobID: job.ID, Job: &job}, func(r Reply) {
			if r.Status != 422 && r.Status != 503 && r.Status != 0 {
				c.t.Errorf("submission of a job that fits no machine type: got status %d, want 422, 503 or no reply",
					r.Status)
			}
		})
	}
}

// TestFaultCombinations guards against violations that need several faults at once. It runs each
// combination with 3 and 7 nodes, with the worker timings of each deployment, at random offsets,
// under frequent queries. In the end every job is done or cancelled, no job is pending while there is
// free capacity for it, and no accepted job is forgotten.
func TestFaultCombinations(t *testing.T) {
	for name, inject := range faultCombinations {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 8, 60, func(t *testing.T, seed uint64) {
				sim := newSimulationWithTimings(t, []int{3, 7}[seed%2], deployments[seed/2%uint64(len(deployments))])
				sim.cfg.Teams = append(sim.cfg.Teams, config.Team{Name: "small", MaxCPUs: 8})
				// The random choices depend on the length of the name: a combination that is renamed
				// repeats them only if its new name is as long as the old one.
				c := newUserSimulation(sim, seed*31+uint64(len(name)))
				for _, node := range c.names {
					c.startNode(node)
				}
				c.driftClocks()
				durations := map[string]time.Duration{}
				c.taskDuration = func(task string, _ int) time.Duration {
					if durations[task] == 0 {
						durations[task] = time.Second + c.randomDuration(40*time.Second)
					}
					return durations[task]
				}
				c.waitForLeader()
				c.startMachines(8)
				c.queryAfterEachChange()
				c.submitMoreJobs(8, 100*time.Millisecond, nil)
				c.advance(8 * time.Second)
				c.advance(inject(c))
				c.store.lateExecution, c.store.requestDelay, c.onHeartbeat = nil, nil, nil
				c.advance(12 * time.Second) // lets delayed calls arrive
				c.waitForCompletion(5 * time.Minute)
			})
		})
	}
}

// TestManySmallJobs guards against a growing backlog of writes and against delayed confirmations of
// cancellations. One-task jobs arrive at four a second for minutes and a quarter of them is cancelled,
// while the store limits its write rate and the leader changes.
func TestManySmallJobs(t *testing.T) {
	for seed, timings := range deployments {
		t.Run(fmt.Sprintf("lease %v", timings.machineLease), func(t *testing.T) {
			t.Parallel()
			c := newUserSimulation(newSimulationWithTimings(t, 3, timings), uint64(seed))
			c.store.limitWriteRate = true
			c.taskDuration = func(string, int) time.Duration { return time.Second + c.randomDuration(6*time.Second) }
			c.waitForLeader()
			c.startMachines(12)
			const minutes, jobsPerSecond = 3, 4
			slowestCancellation, mostPendingChanges := time.Duration(0), 0
			for i := range minutes * 60 * jobsPerSecond {
				job := jobSpec(fmt.Sprintf("j-%d", i), 1)
				c.schedule(time.Duration(i)*time.Second/jobsPerSecond, func() { c.submitWithRetries(job) })
				if i%4 == 0 {
					c.schedule(time.Duration(i)*time.Second/jobsPerSecond+time.Second+c.randomDuration(5*time.Second), func() {
						if !c.acceptanceReported(job.ID) {
							return // not accepted yet, because the leader changes
						}
						requestedAt := c.now
						c.sendUserRequest(Request{Kind: protocol.RequestCancel, JobID: job.ID}, func(r Reply) {
							if r.Status == 200 {
								slowestCancellation = max(slowestCancellation, c.now-requestedAt)
							} else {
								c.cancelWithRetries(job.ID)
							}
						})
					})
				}
			}
			c.schedule(minutes*30*time.Second, c.replaceLeader)
			for end := c.now + minutes*time.Minute; c.now < end; c.advance(time.Second) {
				if name := c.leaderName(); name != "" {
					mostPendingChanges = max(mostPendingChanges, c.nodes[name].leader.writer.PendingChanges())
				}
			}
			if slowestCancellation > 2*time.Second {
				t.Errorf("the slowest cancellation was confirmed after %v, want at most 2 s", slowestCancellation)
			}
			if mostPendingChanges > 60 {
				t.Errorf("%d changes were waiting at once to be stored, want at most 60", mostPendingChanges)
			}
			c.waitForCompletion(time.Minute)
		})
	}
}
