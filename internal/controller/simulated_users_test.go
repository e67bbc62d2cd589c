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

// userSimulation is a simulation with users who send requests to random nodes, repeat those that get no
// reply, and query often. The invariant checker checks their replies.
type userSimulation struct {
	*simulation
	rng *rand.Rand
}

// newUserSimulation adds users to a simulation. The seed determines all random choices.
func newUserSimulation(sim *simulation, seed uint64) *userSimulation {
	return &userSimulation{simulation: sim, rng: rand.New(rand.NewPCG(seed, 7))}
}

// driftClocks gives the nodes' monotonic clocks random rates within 0.05 % of simulated time. Two of them
// drift apart by up to about 0.1 %, which is the allowance of clock.WithDrift.
func (c *userSimulation) driftClocks() {
	for _, name := range c.names {
		c.nodes[name].clockRate = 1 + (c.rng.Float64()-0.5)/1000
	}
}

func (c *userSimulation) randomNode() string { return c.names[c.rng.IntN(len(c.names))] }

// acceptanceReported reports whether some reply to a user has shown that a job is accepted.
func (c *userSimulation) acceptanceReported(id string) bool { _, ok := c.acceptedAt[id]; return ok }

// sendUserRequest sends a request to a random node and calls onReply once: with the reply, or with
// status 0 after 5 s, when users give up.
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

// submitWithRetries submits a job until some node has accepted it, and gives up after 40 retries.
func (c *userSimulation) submitWithRetries(job protocol.Job) {
	var attempt func(int)
	attempt = func(retries int) {
		c.sendUserRequest(Request{Kind: protocol.RequestSubmit, JobID: job.ID, Job: &job}, func(r Reply) {
			switch {
			case r.Status == 201 || r.Status == 200:
			case r.Status != 503 && r.Status != 0:
				c.t.Errorf("submission of %s: got status %d, want 200, 201, 503 or no reply", job.ID, r.Status)
			case retries < 40:
				c.schedule(time.Second, func() { attempt(retries + 1) })
			}
		})
	}
	attempt(0)
}

// cancelWithRetries cancels a job until some node responds with status 200.
func (c *userSimulation) cancelWithRetries(id string) {
	c.sendUserRequest(Request{Kind: protocol.RequestCancel, JobID: id}, func(r Reply) {
		switch {
		case r.Status == 200:
		case r.Status == 404 || r.Status == 400:
			c.t.Errorf("cancellation of %s: got status %d, want neither 404 nor 400", id, r.Status)
		default:
			c.schedule(time.Second, func() { c.cancelWithRetries(id) })
		}
	})
}

// queryAllJobs queries all accepted jobs at random nodes, and one job that was never submitted.
func (c *userSimulation) queryAllJobs() {
	for _, id := range slices.Sorted(maps.Keys(c.acceptedAt)) {
		c.sendUserRequest(Request{Kind: protocol.RequestQuery, JobID: id}, func(Reply) {})
	}
	c.sendUserRequest(Request{Kind: protocol.RequestQuery, JobID: "j-nobodys"}, func(Reply) {})
}

// queryAfterEachChange makes users query a job at all nodes several times within milliseconds, and
// repeat its submission, after a reply first reports it as accepted, done or cancelled.
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

// markFaultsEnded tells the invariant checker that all faults have ended. From then on no job may stay
// pending while there is free capacity for it. All accepted jobs are queried every 5 s, and within 75 s
// each of them must have got a reply.
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
				c.reportViolation("forgotten", "no query of %s got a reply within 75 s of the last fault", id)
			}
		}
	})
}

// waitForCompletion marks the faults as ended. It then waits until every accepted job that was not
// cancelled is done, and the terminal records of the others are written.
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
	lastOpen := "" // a job that was open at the last check; while it stays open, the others need no check
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
		c.t.Fatalf("at %v: jobs without the expected terminal record: %s: %s", c.now, strings.Join(openJobs(), ", "),
			c.explainPending(openJobs()[0]))
	}
	c.queryAllJobs()
	c.advance(2 * time.Second)
}

// explainPending returns the state of a job that is not done, for failure messages.
func (sim *simulation) explainPending(id string) string {
	name := sim.leaderName()
	if name == "" {
		return "no node leads: " + sim.explainNoLeader()
	}
	leader := sim.nodes[name].leader
	job := leader.Jobs[id]
	if job == nil {
		return "the leader does not know the job"
	}
	description := fmt.Sprintf("%d tasks pending, blocked by %q", job.PendingTasks, job.BlockedBy)
	for _, attempt := range job.Attempts {
		description += fmt.Sprintf("; %s in phase %d on %s (up %v, token acknowledged %v, drain reason %q)",
			attempt.Key(), attempt.Phase, attempt.Machine.Name, attempt.Machine.Up, attempt.Machine.TokenAcknowledged,
			attempt.Machine.DrainReason)
	}
	for name, worker := range sim.workers {
		for _, task := range worker.tasks {
			if strings.HasPrefix(task.taskKey, id+"/") {
				description += fmt.Sprintf("; worker %s reports %+v to %s, hung %v, drops responses %v, "+
					"unreachable %v, epoch %d", name, *task, worker.node, worker.hung, worker.dropResponses,
					worker.unreachable, worker.epoch)
			}
		}
	}
	return description
}

// explainNoLeader returns the faults of the store and the election state of each node, for failure
// messages.
func (sim *simulation) explainNoLeader() string {
	description := fmt.Sprintf("store down %v, refused nodes %v, nodes with lost requests %v, leader key %q",
		sim.store.down, sim.store.refusedNodes, sim.store.requestsDropped, sim.store.keys[storage.LeaderKey].Value)
	for _, name := range sim.names {
		n := sim.nodes[name]
		status := n.election.Status()
		description += fmt.Sprintf("; %s: down %v, paused %v, draining %v, leader %v, candidate %v, store failing %v, "+
			"isolated %v, recent peers %d", name, n.down, n.paused, n.draining, n.leader != nil, status.IsCandidate,
			n.election.StoreFailing(), status.Isolated, n.election.RecentPeerCount(n.leaderLease()))
	}
	return description
}
