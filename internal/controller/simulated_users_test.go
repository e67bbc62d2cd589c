package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// userSimulation is a simulation with users who send requests to random nodes, repeat unanswered
// ones, and query often. The invariant checker checks their replies.
type userSimulation struct {
	*simulation
	rng *rand.Rand
}

func newUserSimulation(sim *simulation, seed uint64) *userSimulation {
	return &userSimulation{simulation: sim, rng: rand.New(rand.NewPCG(seed, 7))}
}

// driftClocks gives the nodes' monotonic clocks random rates within the permitted drift.
func (c *userSimulation) driftClocks() {
	for _, name := range c.names {
		c.nodes[name].clockRate = 1 + (c.rng.Float64()-0.5)/1000
	}
}

func (c *userSimulation) randomNode() string { return c.names[c.rng.IntN(len(c.names))] }

// knowsAccepted tells whether some user was told that a job is accepted.
func (c *userSimulation) knowsAccepted(id string) bool { _, ok := c.acceptedAt[id]; return ok }

// sendUserRequest sends a request to a random node, and gives up after 5 s as users do.
func (c *userSimulation) sendUserRequest(r Request, onReply func(Reply)) {
	done := false
	replyOnce := func(r Reply) {
		if !done {
			done = true
			onReply(r)
		}
	}
	c.sendRequest(c.randomNode(), r, replyOnce)
	c.schedule(5*time.Second, func() { replyOnce(Reply{}) })
}

// submitWithRetries submits a job until some node has accepted it, 40 times at most.
func (c *userSimulation) submitWithRetries(job protocol.Job) {
	var attempt func(int)
	attempt = func(retries int) {
		c.sendUserRequest(Request{Kind: protocol.RequestSubmit, JobID: job.ID, Job: &job}, func(r Reply) {
			switch {
			case r.Status == 201 || r.Status == 200:
			case r.Status != 503 && r.Status != 0:
				c.t.Errorf("%s: submission answered %d", job.ID, r.Status)
			case retries < 40:
				c.schedule(time.Second, func() { attempt(retries + 1) })
			}
		})
	}
	attempt(0)
}

// cancelWithRetries cancels a job until some node has confirmed it or reports it as done.
func (c *userSimulation) cancelWithRetries(id string) {
	c.sendUserRequest(Request{Kind: protocol.RequestCancel, JobID: id}, func(r Reply) {
		switch {
		case r.Status == 200:
		case r.Status == 404 || r.Status == 400:
			c.t.Errorf("%s: cancellation answered %d", id, r.Status)
		default:
			c.schedule(time.Second, func() { c.cancelWithRetries(id) })
		}
	})
}

// queryAllJobs queries all accepted jobs at random nodes, and one that nobody submitted.
func (c *userSimulation) queryAllJobs() {
	for _, id := range slices.Sorted(maps.Keys(c.acceptedAt)) {
		c.sendUserRequest(Request{Kind: protocol.RequestQuery, JobID: id}, func(Reply) {})
	}
	c.sendUserRequest(Request{Kind: protocol.RequestQuery, JobID: "j-nobodys"}, func(Reply) {})
}

// queryAfterEachChange lets users query all nodes repeatedly within milliseconds, and repeat the
// submission, as soon as any user was told that a job is accepted, done or cancelled.
func (c *userSimulation) queryAfterEachChange() {
	c.onJobState = func(id string, _ protocol.JobState) {
		job := c.jobSpecs[id]
		for i := range 6 {
			c.schedule(time.Duration(i*i)*step, func() {
				for _, name := range c.names {
					c.sendRequest(name, Request{Kind: protocol.RequestQuery, JobID: id}, func(Reply) {})
					if i%3 == 1 && job.ID == id {
						c.sendRequest(name, Request{Kind: protocol.RequestSubmit, JobID: id, Job: &job}, func(Reply) {})
					}
				}
			})
		}
	}
}

// markFaultsEnded declares all faults ended: from here on no job may be pending beside free
// capacity, and each job is queried every 5 s and has to be answered within 75 s.
func (c *userSimulation) markFaultsEnded() {
	c.faultsEndedAt = c.now
	var queryRepeatedly func()
	queryRepeatedly = func() {
		c.queryAllJobs()
		c.schedule(5*time.Second, queryRepeatedly)
	}
	queryRepeatedly()
	c.schedule(75*time.Second, func() {
		for id, at := range c.lastReplyAt {
			if at < c.faultsEndedAt && c.now >= c.faultsEndedAt {
				c.reportViolation("forgotten", "no question about %s is answered for 75 s", id)
			}
		}
	})
}

// waitForCompletion waits until every accepted job that was not cancelled is done, and the terminal
// records of the others are written.
func (c *userSimulation) waitForCompletion(d time.Duration) {
	c.t.Helper()
	c.markFaultsEnded()
	hasExpectedEnd := func(id string) bool {
		switch state := c.terminalState(id); {
		case state == protocol.JobCancelled:
			return c.mayBeCancelled(id)
		default:
			_, cancelled := c.cancelledAt(id)
			return state == protocol.JobDone && !cancelled
		}
	}
	openJobs := func() []string {
		return slices.DeleteFunc(slices.Sorted(maps.Keys(c.acceptedAt)), hasExpectedEnd)
	}
	lastOpen := "" // a job that was open at the last check: while it is, the others need no check
	allEnded := func() bool {
		if lastOpen != "" && !hasExpectedEnd(lastOpen) {
			return false
		}
		for id := range c.acceptedAt {
			if !hasExpectedEnd(id) {
				lastOpen = id
				return false
			}
		}
		return true
	}
	if !c.advanceUntil(d, allEnded) {
		c.t.Fatalf("at %v: not over as they should be: %s: %s", c.now, strings.Join(openJobs(), ", "),
			c.explainPending(openJobs()[0]))
	}
	c.queryAllJobs()
	c.advance(2 * time.Second)
}

// explainPending describes why a job that is not done is pending.
func (sim *simulation) explainPending(id string) string {
	name := sim.leaderName()
	if name == "" {
		return "nobody leads: " + sim.explainNoLeader()
	}
	leader := sim.nodes[name].leader
	job := leader.Jobs[id]
	if job == nil {
		return "the leader does not know it"
	}
	description := fmt.Sprintf("%d pending, waits for %q", job.PendingTasks, job.BlockedBy)
	for _, attempt := range job.Attempts {
		description += fmt.Sprintf("; %s in phase %d on %s (up %v, shown %v, %s)", attempt.Key(), attempt.Phase,
			attempt.Machine.Name, attempt.Machine.Up, attempt.Machine.TokenAcknowledged, attempt.Machine.DrainReason)
	}
	for name, worker := range sim.workers {
		for _, task := range worker.tasks {
			if strings.HasPrefix(task.taskKey, id+"/") {
				description += fmt.Sprintf("; %s reports %+v to %s, hanging %v, deaf %v, silent %v, session %d", name,
					*task, worker.node, worker.hung, worker.dropResponses, worker.unreachable, worker.epoch)
			}
		}
	}
	return description
}

// explainNoLeader describes the state of each node's election.
func (sim *simulation) explainNoLeader() string {
	description := fmt.Sprintf("state down %v, refuses %v, lost %v, leader key %q", sim.store.down,
		sim.store.refusedNodes, sim.store.requestsDropped, sim.store.keys[storage.LeaderKey].Value)
	for _, name := range sim.names {
		n := sim.nodes[name]
		status := n.election.Status()
		description += fmt.Sprintf("; %s: down %v, frozen %v, draining %v, leads %v, stands %v, state down %v, abstains %v, heard %d", name, n.down, n.paused, n.draining,
			n.leader != nil, status.IsCandidate, n.election.StoreFailing(), status.Isolated, n.election.RecentPeerCount(n.leaderLease()))
	}
	return description
}
