package coordination

import (
	"slices"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// denial is what a user is told of a job that the state service does not know.
type denial struct {
	status     int
	retryAfter int    // in seconds; 0: for good
	Error      string `json:"error"`
}

var (
	noSuchJob    = denial{404, 0, "no such job"}
	tooLarge     = denial{400, 0, "the job is too large to be stored"}
	neverRuns    = denial{422, 0, "unknown team, or a task that fits no machine type or the team's limit"}
	needsNobodys = denial{422, 0, "aguarda: names a job that was never accepted"}
	comeBack     = denial{503, 1, "can't be taken now"}
)

// notYet is said of a job whose turn comes in some seconds.
func notYet(retryAfter int) denial {
	return denial{503, retryAfter, "more is submitted than can be taken"}
}

// canRun tells whether some machine type could ever run a task of the job, and
// whether its team exists and has room for one task.
func (n *Node) canRun(j *protocol.Job) bool {
	team := n.team(j.Team)
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

// submission is a submission that is to be written.
type submission struct {
	r      Request
	rec    storage.JobRecord
	writes []storage.Write // of the record: formed once, as they may be sent again
	lead   *leadership     // that took it, if any
	until  Instant         // when its user is told to come back instead
	tries  int
	// policyVersion is that of the record by which it was admitted.
	policyVersion uint64
}

// submitDirect writes a submission, conditioned on the job being unknown, and
// answers after the write. Any node may do so; the leader watches.
func (n *Node) submitDirect(r Request, lead *leadership) {
	if n.catalog == nil || n.elect.stateLost() {
		n.unavailable(r.Origin)
		return
	}
	rec := storage.JobRecord{Spec: *r.Job, AtMS: n.wallMS()}
	limits := &n.cfg.Cluster.State
	writes := storage.JobWrites(rec, limits.ValueBytes())
	// A job that was accepted once stays accepted, even if the catalogue has shrunk
	// since, or the limits, or if this node knows less than the one that took it: only
	// an unknown one is refused.
	canRun := n.canRun(r.Job)
	switch {
	case !storage.Fits(writes, limits.ValueBytes(), limits.Ops()):
		n.answerKnown(r, lead, tooLarge) // no record holds it, however often it is sent
		return
	case !canRun && !n.catalogSure:
		n.answerKnown(r, lead, comeBack) // the types may have changed since they were stored
		return
	case !canRun:
		n.answerKnown(r, lead, neverRuns)
		return
	case slices.Contains(r.Job.Needs, r.Job.UID):
		n.answerKnown(r, lead, needsNobodys)
		return
	case len(r.Job.Needs) > 0 && !n.allUnderstand(levelPipelines):
		// A node of the version before would start it at once. Nothing says that all are
		// new until each has written so.
		n.answerKnown(r, lead, comeBack)
		return
	}
	unknown := n.notKnownAccepted(r.Job.Needs)
	if len(unknown) > needsRead && lead == nil && n.passOn(r) {
		return // the leader knows most of them
	}
	s := submission{r: r, rec: rec, writes: writes, lead: lead, until: n.now + n.lease()/10}
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

// queueSubmission lets a submission wait for its turn: users come in bursts, and
// the state service takes only so many changes a second.
func (n *Node) queueSubmission(s submission) {
	if len(n.submits) >= n.maxWaiting() {
		n.turnAway(s)
		return
	}
	n.submits = append(n.submits, s)
	n.writeSubmissions()
}

// crowded notes that the state service refused a submission for the rate of changes.
func (n *Node) crowded() {
	n.crowdedUntil = n.now + n.lease()
	n.submitBudget.level = 0
}

// shareSubmissions lets this node have the whole rate of submissions, as users' bursts
// mostly reach one node, unless others need it too: each then has its part for a while.
func (n *Node) shareSubmissions() {
	c := &n.cfg.Cluster
	n.submitBudget.refill(n.now)
	n.submitBudget.rate = n.submitBudget.burst
	if n.now < n.crowdedUntil {
		n.submitBudget.rate /= float64(c.Count)
	}
}

// writeSubmissions sends what the budget allows, and turns away at once what
// can't be taken any more.
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
		case res.Status == 409 && s.tries < submitTries && json.Unmarshal(res.Body, &out) == nil && policyMoved(out.Failed, id):
			// Admitted by the policy of another epoch.
			s.tries++
			n.readPolicy(func() { n.judgeSubmission(s) })
		case res.Status == 409:
			n.answerKnown(s.r, s.lead, comeBack)
		case res.Status == 400:
			// Too large for what the limits have become; but an earlier copy may have been
			// taken.
			n.answerKnown(s.r, s.lead, tooLarge)
		case (res.Status == 0 || res.Status == 429) && s.tries < submitTries:
			// Too many changes at once, or an answer lost. Its condition lets only
			// one copy through, so it may be sent again.
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

// submitTries is how often a submission is sent again.
const submitTries = 3
