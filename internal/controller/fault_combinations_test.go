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

// The combinations of two faults that the users name. Each is swept over offsets and seeds:
// a single lucky timing is not a test of one. HITCHDOOR_SWEEP=1 sweeps all
// combinations instead of every few.
func sweepAll() bool { return os.Getenv("HITCHDOOR_SWEEP") != "" }

// eachSeed runs a test, in parallel, with as many seeds as usual, or as a sweep asks for.
func eachSeed(t *testing.T, usual, sweep uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	seeds := usual
	if sweepAll() {
		seeds = sweep
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// newFaultCombination is a simulation of the given proportions, with users, a leader, machines and
// jobs whose tasks run for very long.
func newFaultCombination(t *testing.T, nodes int, p proportions, seed uint64, jobs, tasks int) (*userSimulation, *simNode) {
	t.Helper()
	c := newUserSimulation(newSimulationOf(t, nodes, p), seed)
	c.runTime = func(string, int) time.Duration { return time.Hour }
	c.driftClocks()
	c.waitLeader()
	c.machines((jobs*tasks + 3) / 4)
	for i := range jobs {
		j := spec(fmt.Sprintf("j-%d", i), tasks)
		j.EstimatedSeconds = 3600
		c.submit(c.anyNode(), j)
	}
	if !c.until(time.Minute, func() bool {
		on := 0
		for i := range jobs {
			on += c.onMachines(fmt.Sprintf("j-%d", i))
		}
		return on == jobs*tasks
	}) {
		t.Fatal("not all tasks are on machines")
	}
	l := c.waitLeader()
	c.lookClosely()
	return c, l
}

func (c *userSimulation) lease() time.Duration { return config.Seconds(c.cfg.Workers.LeaseS) }

// whenLed does something, once, when some other node than the given one leads.
func (c *userSimulation) whenLed(but string, f func(name string)) {
	var look func()
	look = func() {
		if name := c.leader(); name != "" && name != but {
			f(name)
			return
		}
		c.after(step, look)
	}
	look()
}

// within is a random time up to a bound.
func (c *userSimulation) within(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

// someWorkers does something to a random share of the workers, one in so many.
func (c *userSimulation) someWorkers(oneIn int, f func(*worker)) {
	for _, x := range c.inOrder() {
		if c.rng.IntN(oneIn) == 0 {
			f(x)
		}
	}
}

// newLeader ends the leader, or tells it to end, and brings it back, often at once.
func (c *userSimulation) newLeader() {
	name := c.leader()
	if name == "" {
		return
	}
	if c.rng.IntN(3) == 0 {
		c.nodes[name].inbox = append(c.nodes[name].inbox, Drain{})
		c.after(c.within(c.lease()/8), func() { c.back(name, c.within(time.Second)) })
		return
	}
	c.back(name, c.within(c.lease()/[]time.Duration{1, 40}[c.rng.IntN(2)]))
}

// cancelSome cancels some of the jobs that are open, all within a moment.
func (c *userSimulation) cancelSome(oneIn int, moment time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.accepted)) {
		if c.over[id] == "" && c.rng.IntN(oneIn) == 0 {
			c.after(c.within(moment), func() { c.cancelUntil(id) })
		}
	}
}

// more submits jobs within some time.
func (c *userSimulation) more(jobs int, d time.Duration, change func(i int, j *protocol.Job)) {
	first := len(c.submitted)
	for i := range jobs {
		j := spec(fmt.Sprintf("j-%d", first+i), 1+c.rng.IntN(5))
		j.Team = []string{"team", "free"}[c.rng.IntN(2)]
		j.Priority = []protocol.Priority{"urgent", "standard", "low"}[c.rng.IntN(3)]
		if change != nil {
			change(i, &j)
		}
		c.submitted[j.ID] = true
		c.after(c.within(d), func() { c.submitUntil(j) })
	}
}

// holdBack keeps copies of the reports, and gives them to all nodes when there is another
// leader, and again and again for some time after.
func (c *userSimulation) holdBack() {
	var kept []*protocol.WorkerHeartbeat
	c.copies = func(_ *worker, rep *protocol.WorkerHeartbeat) {
		if c.rng.IntN(6) == 0 {
			again := *rep
			kept = append(kept, &again)
		}
	}
	seen := c.leader()
	var look func()
	look = func() {
		name := c.leader()
		if name == "" || name == seen {
			c.after(step, look)
			return
		}
		seen = name
		for _, rep := range kept {
			for _, node := range c.names {
				for range 2 {
					c.after(c.within(c.lease()/10), func() {
						again := *rep
						c.ask(node, Request{Kind: protocol.RequestHeartbeat, Heartbeat: &again}, func(Reply) {})
					})
				}
			}
		}
		kept = nil
		c.after(step, look)
	}
	look()
}

// faultCombinations are the users' other combinations, by what meets. Each gets a leader, eight
// machines and some jobs, and lasts for as long as it says.
var faultCombinations = map[string]func(c *userSimulation) time.Duration{
	"ends far apart, and a change of leader": func(c *userSimulation) time.Duration {
		c.runTime = func(task string, _ int) time.Duration {
			return 2*time.Second + time.Duration(task[len(task)-1]-'0')*20*time.Second
		}
		c.more(10, 10*time.Second, func(_ int, j *protocol.Job) { j.TaskCount = 2 + c.rng.IntN(2) })
		for i := range 3 {
			c.after(time.Duration(i)*15*time.Second+c.within(10*time.Second), c.newLeader)
		}
		return 50 * time.Second
	},
	"cancelled as soon as accepted, under close looks": func(c *userSimulation) time.Duration {
		look := c.told
		c.told = func(id string, state protocol.JobState) {
			look(id, state)
			if state == "accepted" && c.rng.IntN(2) == 0 {
				c.after(c.within(200*time.Millisecond), func() { c.cancelUntil(id) })
			}
		}
		c.more(30, 20*time.Second, nil)
		c.after(c.within(20*time.Second), c.newLeader)
		return 30 * time.Second
	},
	"only the answer of a transaction is lost": func(c *userSimulation) time.Duration {
		c.state.late = func() (time.Duration, bool) { return 0, c.rng.IntN(5) < 2 }
		c.more(20, 40*time.Second, nil)
		for i := range 4 {
			c.after(time.Duration(i)*10*time.Second, func() { c.cancelSome(4, time.Second) })
		}
		c.after(c.within(40*time.Second), c.newLeader)
		return 45 * time.Second
	},
	"transactions and lease calls are carried out late": func(c *userSimulation) time.Duration {
		c.state.late = func() (time.Duration, bool) {
			return 2*time.Second + c.within(10*time.Second), c.rng.IntN(4) == 0
		}
		c.more(20, 60*time.Second, nil)
		for i := range 4 {
			c.after(time.Duration(i)*15*time.Second, func() { c.cancelSome(4, time.Second) })
			c.after(time.Duration(i)*15*time.Second+c.within(3*time.Second), c.newLeader)
		}
		return 70 * time.Second
	},
	"more work than room, over slow links": func(c *userSimulation) time.Duration {
		c.cloud.capacity = 9
		c.state.slow = func() time.Duration { return c.within(600 * time.Millisecond) }
		c.more(40, 40*time.Second, func(_ int, j *protocol.Job) { j.Team = "free" })
		c.after(c.within(40*time.Second), c.newLeader)
		c.after(20*time.Second, func() { c.cancelSome(4, time.Second) })
		return 60 * time.Second
	},
	"controllers hand over and back, all end, one returns": func(c *userSimulation) time.Duration {
		c.more(15, 60*time.Second, nil)
		for i := range 3 {
			at := time.Duration(i) * 20 * time.Second
			c.after(at, c.newLeader)
			c.after(at+c.within(time.Second), c.newLeader)
			c.after(at+8*time.Second+c.within(4*time.Second), func() {
				first := c.anyNode()
				for _, name := range c.names {
					d := c.lease() / 2
					if name == first {
						d = c.within(time.Second)
					}
					c.back(name, d)
				}
				c.cancelSome(4, 3*time.Second)
			})
		}
		return 70 * time.Second
	},
	"workers reach no controller": func(c *userSimulation) time.Duration {
		mute := map[string]bool{}
		c.someWorkers(2, func(x *worker) { mute[x.name] = true })
		c.reach = func(x *worker, _ string) bool { return !mute[x.name] }
		c.more(10, 30*time.Second, nil)
		c.cancelSome(3, 2*time.Second)
		c.after(c.within(c.lease()), c.newLeader)
		c.after(c.lease()/2+c.within(c.lease()), func() { c.reach = nil })
		return 2 * c.lease()
	},
	"a leader ends while machines can't be reached or hear nothing": func(c *userSimulation) time.Duration {
		c.someWorkers(3, func(x *worker) { x.silent = true })
		c.someWorkers(3, func(x *worker) { x.dropAnswers = true })
		c.more(10, 30*time.Second, nil)
		c.after(c.within(6*time.Second), c.newLeader)
		c.after(c.within(10*time.Second), func() { c.cancelSome(3, 2*time.Second) })
		for _, x := range c.inOrder() {
			c.after(c.within(3*c.lease()/2), func() { x.silent, x.dropAnswers = false, false })
		}
		return 2 * c.lease()
	},
	"a zone is cut off for longer than a lease": func(c *userSimulation) time.Duration {
		inside := c.anyNode()
		c.reach = func(x *worker, node string) bool { return (x.zone == "a") == (node == inside) }
		c.state.lost[inside] = true
		c.holds = c.rng.IntN(2) == 0
		c.cutOff(inside)
		c.more(10, 30*time.Second, nil)
		c.cancelSome(3, 8*time.Second)
		c.after(c.within(c.lease()), c.newLeader)
		c.after(c.lease()*5/4+c.within(c.lease()/2), func() {
			c.reach = nil
			delete(c.state.lost, inside)
			c.mend()
		})
		return 2 * c.lease()
	},
	"cancelled as a controller's work changes hands": func(c *userSimulation) time.Duration {
		c.more(20, 40*time.Second, nil)
		for i := range 5 {
			at := 2*time.Second + time.Duration(i)*10*time.Second
			c.after(at, c.newLeader)
			c.after(at-2*time.Second, func() { c.cancelSome(3, 5*time.Second) })
		}
		return 55 * time.Second
	},
	"all controllers are away for longer than a lease": func(c *userSimulation) time.Duration {
		c.cancelSome(3, 2*time.Second)
		c.more(10, 2*time.Second, nil)
		c.after(c.within(2*time.Second), func() {
			for _, name := range c.names {
				if c.rng.IntN(2) == 0 {
					c.back(name, c.lease()*6/5+c.within(time.Second))
				} else {
					c.freeze(c.nodes[name], c.lease()*6/5+c.within(time.Second), func() {})
				}
			}
		})
		return 2 * c.lease()
	},
	"a half-cut leader, and cancellations through the new one": func(c *userSimulation) time.Duration {
		old := c.leader()
		c.reach = func(x *worker, node string) bool { return node == old || x.zone == "a" }
		c.state.lost[old] = true
		c.holds = c.rng.IntN(2) == 0
		c.cutOff(old)
		for range 3 {
			c.after(c.within(c.lease()), func() { c.cancelSome(4, time.Second) })
		}
		c.more(8, 20*time.Second, nil)
		c.after(c.cancelSpan()+c.within(c.lease()), func() {
			c.reach = nil
			delete(c.state.lost, old)
			c.mend()
		})
		return c.cancelSpan() + c.lease()
	},
	"ten leaders in two minutes, inside an outage too": func(c *userSimulation) time.Duration {
		c.more(20, 100*time.Second, nil)
		for i := range 10 {
			c.after(time.Duration(i)*12*time.Second+c.within(3*time.Second), c.newLeader)
			c.after(time.Duration(i)*12*time.Second+c.within(6*time.Second), func() { c.cancelSome(8, time.Second) })
		}
		at := c.within(90 * time.Second)
		c.after(at, func() { c.state.setDown(true) })
		c.after(at+5*time.Second+c.within(25*time.Second), func() { c.state.setDown(false) })
		return 2 * time.Minute
	},
	"machines up at once while writes lag, and the leader ends": func(c *userSimulation) time.Duration {
		c.cloud.boot = 300 * time.Millisecond
		c.state.slow = func() time.Duration { return c.within(c.lease() / 16) }
		c.more(30, 30*time.Second, nil)
		for i := range 3 {
			c.after(time.Duration(i)*10*time.Second+c.within(8*time.Second), c.newLeader)
		}
		return 40 * time.Second
	},
	"jobs bound to one zone lose machines": func(c *userSimulation) time.Duration {
		c.more(15, 30*time.Second, func(i int, j *protocol.Job) {
			j.SameZone, j.Spread = i%3 == 0, i%3 == 1
			if i%3 == 2 {
				j.Zone = "a"
			}
			j.TaskCount = 2 + c.rng.IntN(6)
		})
		for range 3 {
			c.after(c.within(30*time.Second), func() {
				c.someWorkers(4, func(x *worker) {
					delete(c.workers, x.name)
					delete(c.cloud.hosts, x.name)
				})
			})
		}
		c.after(c.within(30*time.Second), c.newLeader)
		c.after(c.within(30*time.Second), func() { c.cancelSome(5, time.Second) })
		return 45 * time.Second
	},
	"questions and cancellations meet the end of the last task": func(c *userSimulation) time.Duration {
		run := c.runTime
		c.runTime = func(task string, n int) time.Duration {
			d := run(task, n)
			id := jobOf(task)
			c.after(d+c.within(400*time.Millisecond), func() {
				j := c.specs[id]
				switch c.rng.IntN(3) {
				case 0:
					c.cancelUntil(id)
				case 1:
					c.submitUntil(j)
				default:
					c.user(Request{Kind: protocol.RequestQuery, JobID: id}, func(Reply) {})
				}
			})
			return d
		}
		c.more(30, 30*time.Second, func(_ int, j *protocol.Job) { j.TaskCount = 1 + c.rng.IntN(2) })
		return 45 * time.Second
	},
	"old reports after newer ones": func(c *userSimulation) time.Duration {
		c.copies = func(_ *worker, rep *protocol.WorkerHeartbeat) {
			if c.rng.IntN(2) == 0 {
				again := *rep
				c.after(time.Duration(c.rng.ExpFloat64()*float64(c.lease())), func() {
					c.ask(c.anyNode(), Request{Kind: protocol.RequestHeartbeat, Heartbeat: &again}, func(Reply) {})
				})
			}
		}
		c.someWorkers(3, func(x *worker) {
			c.after(c.within(20*time.Second), func() {
				x.restarted()
			})
		})
		c.more(15, 30*time.Second, nil)
		c.after(c.within(30*time.Second), c.newLeader)
		c.cancelSome(4, 20*time.Second)
		return 45 * time.Second
	},
	"reports held back until a new leader acts, at all nodes": func(c *userSimulation) time.Duration {
		c.holdBack()
		c.more(15, 40*time.Second, nil)
		for i := range 3 {
			c.after(4*time.Second+time.Duration(i)*14*time.Second, c.newLeader)
		}
		c.after(c.within(40*time.Second), func() { c.cancelSome(4, time.Second) })
		return 50 * time.Second
	},
	"teams at their limits, machines cut off or hanging, cancellations, a takeover": func(c *userSimulation) time.Duration {
		c.more(16, 5*time.Second, func(i int, j *protocol.Job) { j.Team, j.TaskCount = []string{"team", "small"}[i%2], 4 })
		at := 8*time.Second + c.within(4*time.Second)
		c.after(at, func() {
			c.cancelSome(2, time.Second)
			c.someWorkers(2, func(x *worker) {
				if c.rng.IntN(2) == 0 {
					x.silent = true
					c.after(c.within(2*c.lease()), func() { x.silent = false })
				} else {
					x.hanging = true
					c.after(c.within(c.lease()*3/2), func() { x.hanging = false })
				}
			})
		})
		c.after(at+c.within(3*time.Second)-time.Second, c.newLeader)
		return at + 2*c.lease()
	},
	"answers are held up for seconds": func(c *userSimulation) time.Duration {
		c.someWorkers(2, func(x *worker) { x.lag = c.within(6 * time.Second) })
		c.more(15, 30*time.Second, nil)
		c.cancelSome(3, 20*time.Second)
		c.after(c.within(30*time.Second), c.newLeader)
		for _, x := range c.inOrder() {
			c.after(20*time.Second+c.within(20*time.Second), func() { x.lag = 0 })
		}
		return 45 * time.Second
	},
	"a slow state service refuses the leader, then everybody": func(c *userSimulation) time.Duration {
		c.state.slow = func() time.Duration { return c.within(c.lease() / 20) }
		name := c.leader()
		c.state.refuse[name] = true
		c.cancelSome(3, 4*time.Second)
		c.more(6, 10*time.Second, nil)
		at := c.within(c.lease() / 2)
		c.after(at, func() { c.state.setDown(true) })
		c.after(at+c.cancelSpan()*5/4, func() {
			c.state.setDown(false)
			delete(c.state.refuse, name)
			c.state.slow = nil
		})
		return at + c.cancelSpan()*5/4 + 2*time.Second
	},
	"cancelled jobs' machines hang, and the leader changes": func(c *userSimulation) time.Duration {
		at := c.within(4 * time.Second)
		c.after(at, func() { c.cancelSome(2, 200*time.Millisecond) })
		c.after(at+c.within(400*time.Millisecond), func() {
			c.someWorkers(2, func(x *worker) {
				x.hanging = true
				c.after(c.within(c.lease()*3/2), func() { x.hanging = false })
			})
		})
		c.after(at+c.within(4*time.Second), c.newLeader)
		c.more(6, 10*time.Second, nil)
		return 2 * c.lease()
	},
	"controllers go silent for a minute or more": func(c *userSimulation) time.Duration {
		c.more(15, 40*time.Second, nil)
		at := c.within(10 * time.Second)
		c.after(at, func() {
			all := c.rng.IntN(3) == 0
			leader := c.leader()
			for _, name := range c.names {
				if all || name == leader {
					c.goSilent(name, time.Minute+c.within(30*time.Second))
				}
			}
		})
		for range 3 {
			c.after(max(0, at-time.Second)+c.within(3*time.Second), func() { c.cancelSome(4, time.Second) })
		}
		return at + 95*time.Second
	},
	"silent in an election, at a confirmation, in a write": func(c *userSimulation) time.Duration {
		c.more(20, 60*time.Second, nil)
		for i := range 4 {
			at := time.Duration(i) * 20 * time.Second
			c.after(at, c.newLeader)
			for range 2 {
				c.after(at+c.within(c.lease()/3), func() { c.goSilent(c.anyNode(), c.within(25*time.Second)) })
			}
			c.after(at+5*time.Second, func() {
				c.cancelSome(4, 200*time.Millisecond)
				if name := c.leader(); name != "" {
					c.after(c.within(100*time.Millisecond), func() { c.goSilent(name, c.within(20*time.Second)) })
				}
			})
		}
		return 110 * time.Second
	},
	"a flood of questions, and a controller stands still": func(c *userSimulation) time.Duration {
		c.more(15, 30*time.Second, nil)
		for i := range 600 {
			c.after(time.Duration(i)*50*time.Millisecond, c.poll)
		}
		for range 3 {
			c.after(c.within(25*time.Second), func() { c.goSilent(c.anyNode(), c.within(9*time.Second)) })
			c.after(c.within(30*time.Second), func() { c.cancelSome(5, time.Second) })
		}
		return 40 * time.Second
	},
	"jobs with a mistake beside a faulty machine, and a change of leader": func(c *userSimulation) time.Duration {
		c.more(12, 20*time.Second, func(i int, j *protocol.Job) {
			if i%4 == 0 {
				c.mistake[j.ID] = true
			}
		})
		c.after(5*time.Second, func() { c.someWorkers(6, func(x *worker) { x.faulty = true }) })
		c.after(c.within(40*time.Second), c.newLeader)
		c.after(80*time.Second, func() {
			for id := range c.mistake {
				c.cancelUntil(id)
			}
		})
		return 85 * time.Second
	},
	"machines come up late or never": func(c *userSimulation) time.Duration {
		c.cloud.bootOf = func() time.Duration {
			if c.rng.IntN(4) == 0 {
				return time.Hour
			}
			return time.Second + time.Duration(c.rng.ExpFloat64()*float64(20*time.Second))
		}
		c.more(30, 30*time.Second, nil)
		c.after(c.within(40*time.Second), c.newLeader)
		c.after(60*time.Second, func() { c.cloud.bootOf = nil })
		return 70 * time.Second
	},
	"odd requests": func(c *userSimulation) time.Duration {
		c.more(10, 20*time.Second, nil)
		for range 40 {
			c.after(c.within(40*time.Second), func() { c.oddRequest() })
		}
		c.after(c.within(30*time.Second), c.newLeader)
		return 40 * time.Second
	},
}

// goSilent lets a controller stand still, and go on as if nothing had been; some of them
// between a decision and what comes of it.
func (c *userSimulation) goSilent(name string, d time.Duration) {
	n := c.nodes[name]
	switch {
	case n.down || n.frozen:
	case c.rng.IntN(2) == 0:
		n.stall = d
	default:
		c.freeze(n, d, func() {})
	}
}

// oddRequest repeats a submission in another form, cancels what is over, or sends a job
// that fits no machine.
func (c *userSimulation) oddRequest() {
	ids := slices.Sorted(maps.Keys(c.accepted))
	if len(ids) == 0 {
		return
	}
	id := ids[c.rng.IntN(len(ids))]
	switch c.rng.IntN(3) {
	case 0:
		again := c.specs[id]
		again.Cores, again.TaskCount, again.Team = 400, 77, "nobody"
		c.user(Request{Kind: protocol.RequestSubmit, JobID: id, Job: &again}, func(Reply) {})
	case 1:
		if c.over[id] != "" {
			c.user(Request{Kind: protocol.RequestCancel, JobID: id}, func(Reply) {})
		}
	default:
		j := spec(fmt.Sprintf("j-odd-%d", c.rng.IntN(5)), 1)
		j.Cores = 400
		c.user(Request{Kind: protocol.RequestSubmit, JobID: j.ID, Job: &j}, func(r Reply) {
			if r.Status != 422 && r.Status != 503 && r.Status != 0 {
				c.t.Errorf("a job that fits no machine: %d", r.Status)
			}
		})
	}
}

// TestFaultCombinations brings about each of the combinations, with 3 and 7 nodes, in the proportions
// of each deployment, at random offsets; under close looks all along. Whatever met, in the
// end every job is done or cancelled, nothing waits beside room, and nothing is forgotten.
func TestFaultCombinations(t *testing.T) {
	for name, meet := range faultCombinations {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, 8, 60, func(t *testing.T, seed uint64) {
				w := newSimulationOf(t, []int{3, 7}[seed%2], deployments[seed/2%uint64(len(deployments))])
				w.cfg.Teams = append(w.cfg.Teams, config.Team{Name: "small", MaxCPUs: 8})
				c := newUserSimulation(w, seed*31+uint64(len(name)))
				for _, node := range c.names {
					c.start(node)
				}
				c.driftClocks()
				times := map[string]time.Duration{}
				c.runTime = func(task string, _ int) time.Duration {
					if times[task] == 0 {
						times[task] = time.Second + c.within(40*time.Second)
					}
					return times[task]
				}
				c.waitLeader()
				c.machines(8)
				c.lookClosely()
				c.more(8, 100*time.Millisecond, nil)
				c.run(8 * time.Second)
				c.run(meet(c))
				c.state.late, c.state.slow, c.copies = nil, nil, nil
				c.run(12 * time.Second) // what is late comes
				c.settle(5 * time.Minute)
			})
		})
	}
}

// One-task jobs come four a second for minutes, a quarter of them cancelled, while the
// state service takes changes at its rate and the leader changes: no backlog of changes
// grows, and cancellations are not confirmed later for it.
func TestSmallJobsByTheHundred(t *testing.T) {
	for k, p := range deployments {
		t.Run(fmt.Sprintf("lease %v", p.lease), func(t *testing.T) {
			t.Parallel()
			c := newUserSimulation(newSimulationOf(t, 3, p), uint64(k))
			c.state.limited = true
			c.runTime = func(string, int) time.Duration { return time.Second + c.within(6*time.Second) }
			c.waitLeader()
			c.machines(12)
			const minutes, rate = 3, 4
			slowest, most := time.Duration(0), 0
			for i := range minutes * 60 * rate {
				j := spec(fmt.Sprintf("j-%d", i), 1)
				c.after(time.Duration(i)*time.Second/rate, func() { c.submitUntil(j) })
				if i%4 == 0 {
					c.after(time.Duration(i)*time.Second/rate+time.Second+c.within(5*time.Second), func() {
						if !c.knows(j.ID) {
							return // it is not accepted yet, as the leader changes
						}
						asked := c.now
						c.user(Request{Kind: protocol.RequestCancel, JobID: j.ID}, func(r Reply) {
							if r.Status == 200 {
								slowest = max(slowest, c.now-asked)
							} else {
								c.cancelUntil(j.ID)
							}
						})
					})
				}
			}
			c.after(minutes*30*time.Second, c.newLeader)
			for end := c.now + minutes*time.Minute; c.now < end; c.run(time.Second) {
				if name := c.leader(); name != "" {
					most = max(most, c.nodes[name].leader.writer.PendingChanges())
				}
			}
			if slowest > 2*time.Second {
				t.Errorf("a cancellation was confirmed after %v", slowest)
			}
			if most > 60 {
				t.Errorf("%d changes waited", most)
			}
			c.settle(time.Minute)
		})
	}
}
