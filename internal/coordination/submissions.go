package coordination

import (
	"slices"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// errorResponse is the response to a user about a job that the key-value store has no record of.
type denial struct {
	status     int
	retryAfter int    // 0: the error is permanent
	Error      string `json:"error"`
}

// The responses to users about unknown jobs. Their texts are part of the HTTP interface.
var (
	noSuchJob    = denial{404, 0, "no such job"}
	tooLarge     = denial{400, 0, "the job is too large to be stored"}
	neverRuns    = denial{422, 0, "unknown team, or a task that fits no machine type or the team's limit"}
	needsNobodys = denial{422, 0, "aguarda: names a job that was never accepted"}
	comeBack     = denial{503, 1, "can't be taken now"}
)

// admissionDeferred is the response to a submission that the admission policy admits only after
// some seconds.
func notYet(retryAfter int) denial {
	return denial{503, retryAfter, "more is submitted than can be taken"}
}

// isSchedulable reports whether the job's team exists and may use enough resources for one task,
// and whether a task of the job fits some machine type.
func (n *Node) canRun(j *protocol.Job) bool {
	team := n.cfg.Cluster.Team(j.Team)
	if team == nil {
		return false
	}
	if (team.CPUsMax > 0 && j.Cores > team.CPUsMax) || (team.GPUsMax > 0 && j.Accelerators > team.GPUsMax) {
		return false
	}
	for _, t := range n.catalog {
		if fleet.FitsType(j, t) {
			return true
		}
	}
	return false
}

// pendingSubmission is a submission that waits to be written to the key-value store.
type submission struct {
	r      Request
	rec    storage.JobRecord
	writes []storage.Write // of the record; encoded once, because they may be sent again
	lead   *leadership     // the leader that received it; nil on a follower
	until  Instant         // when it is rejected if it has not been written
	tries  int
	// policyVersion is the version of the admission policy record that admitted it.
	policyVersion uint64
}

// submitToStore validates a submission and queues it to be written on condition that the job is
// unknown. The user is answered after the write. Any node may do so, because the leader watches
// the open jobs.
func (n *Node) submitDirect(r Request, lead *leadership) {
	if n.catalog == nil || n.elect.stateLost() {
		n.unavailable(r.Origin)
		return
	}
	rec := storage.JobRecord{Spec: *r.Job, AtMS: n.wallMS()}
	limits := &n.cfg.Cluster.State
	writes := storage.JobWrites(rec, limits.ValueBytes())
	// A job that was accepted once stays accepted, even if the catalogue or the limits have
	// shrunk since, or if this node knows less than the one that accepted it. Therefore each
	// error below is returned only for a job that has no record.
	canRun := n.canRun(r.Job)
	switch {
	case !storage.Fits(writes, limits.ValueBytes(), limits.Ops()):
		n.answerKnown(r, lead, tooLarge) // no record can hold it, so a retry can't succeed
		return
	case !canRun && !n.catalogSure:
		n.answerKnown(r, lead, comeBack) // the stored catalogue may be outdated
		return
	case !canRun:
		n.answerKnown(r, lead, neverRuns)
		return
	case slices.Contains(r.Job.Needs, r.Job.UID):
		n.answerKnown(r, lead, needsNobodys)
		return
	case len(r.Job.Needs) > 0 && !n.allUnderstand(levelPipelines):
		// A node of an earlier version would ignore the dependencies and start the job at once.
		// Wait until the version record of each node says that it understands them.
		n.answerKnown(r, lead, comeBack)
		return
	}
	unknown := n.notKnownAccepted(r.Job.Needs)
	if len(unknown) > needsRead && lead == nil && n.passOn(r) {
		return // the leader has most of them in memory
	}
	s := submission{r: r, rec: rec, writes: writes, lead: lead,
		until: n.now + n.lease()/10}
	n.wereAccepted(unknown, func(ok, all bool) {
		switch {
		case !ok:
			n.answerKnown(r, lead, comeBack)
		case !all:
			n.answerKnown(r, lead, needsNobodys)
		default:
			n.judgeSubmission(s)
		}
	})
}

// queueSubmission queues an admitted submission for writing, because users submit in bursts and
// the key-value store limits the rate of writes.
func (n *Node) queueSubmission(s submission) {
	if len(n.submits) >= n.maxWaiting() {
		n.turnAway(s)
		return
	}
	n.submits = append(n.submits, s)
	n.writeSubmissions()
}

// noteContention records that the key-value store refused a submission because of its rate limit.
func (n *Node) crowded() {
	n.crowdedUntil = n.now + n.lease()
	n.submitBudget.level = 0
}

// updateSubmissionRate sets the rate at which this node writes submissions. It is the rate of the
// whole cluster, because a burst mostly reaches one node. For one lease after a refusal by the
// rate limit, which shows that other nodes are writing too, it is an equal part of it.
func (n *Node) shareSubmissions() {
	c := &n.cfg.Cluster
	n.submitBudget.refill(n.now)
	n.submitBudget.rate = n.submitBudget.burst
	if n.now < n.crowdedUntil {
		n.submitBudget.rate /= float64(c.Count)
	}
}

// writeQueuedSubmissions writes as many queued submissions as the budget allows, and rejects those
// whose deadline has passed.
func (n *Node) writeSubmissions() {
	if len(n.submits) == 0 {
		return
	}
	n.shareSubmissions()
	queue := n.submits
	n.submits = nil
	for _, s := range queue {
		switch {
		case n.now >= s.until || n.elect.stateLost():
			n.turnAway(s)
		case n.submitBudget.take(n.now, min(n.submitBudget.burst, float64(len(s.writes)))):
			n.writeSubmission(s)
		default:
			n.submits = append(n.submits, s)
		}
	}
}

// writeSubmission writes a submission in one transaction, on condition that the job is unknown and
// the admission policy is the one that admitted it, and answers the user.
func (n *Node) writeSubmission(s submission) {
	id := s.rec.Spec.UID
	txn := storage.Txn{
		If: []storage.Cond{{Key: storage.JobKey(id)}, {Key: storage.FinalKey(id)},
			{Key: storage.PolicyKey, Version: s.policyVersion}},
		Writes: s.writes,
	}
	n.stateCall("POST", "/multi", txn, func(res Result) {
		var out storage.TxnResult
		switch {
		case res.Status == 200 && json.Unmarshal(res.Body, &out) == nil:
			n.accepted.put(id, true)
			n.trace(id, stepStored, "")
			if s.lead != nil && n.lead == s.lead {
				for _, w := range s.writes {
					s.lead.writer.Know(w.Key(), out.Revision)
				}
				s.lead.addJob(s.rec, out.Revision)
			}
			n.reply(s.r.Origin, 201, 0, protocol.JobState{UID: id, State: protocol.Queued})
		case res.Status == 409 && s.tries < submitTries &&
			json.Unmarshal(res.Body, &out) == nil && policyMoved(out.Failed, id):
			// The submission was admitted by the policy of another epoch.
			s.tries++
			n.readPolicy(func() { n.judgeSubmission(s) })
		case res.Status == 409:
			n.answerKnown(s.r, s.lead, comeBack)
		case res.Status == 400:
			// The limits have become smaller than the record. An earlier copy of the submission
			// may have been accepted all the same.
			n.answerKnown(s.r, s.lead, tooLarge)
		case (res.Status == 0 || res.Status == 429) && s.tries < submitTries:
			// The rate limit was reached, or the response was lost. The transaction's conditions
			// let only one copy succeed, so a retry is safe.
			s.tries++
			if res.Status == 429 {
				n.crowded()
			}
			n.queueSubmission(s)
		case res.Status == 503 && s.lead == nil && n.passOn(s.r):
		case res.Status == 429:
			n.turnAway(s)
		default:
			n.unavailable(s.r.Origin)
		}
	})
}

// maxSubmissionRetries is how often the write of a submission is retried.
const submitTries = 3
