package controller

import (
	"net/http"

	"hitchdoor/internal/protocol"
)

// Invariant is a statement that must hold at run time. Its values appear in logs and metrics.
type Invariant string

// The invariants that a controller checks.
const (
	// InvariantTerminalAnswer states that an answer about a job whose terminal record this controller
	// knows has the state of that record.
	InvariantTerminalAnswer Invariant = "answers about a terminal job have its state"
	// InvariantAcceptedAnswer states that no answer denies a job that this controller knew to be accepted when
	// the request arrived.
	InvariantAcceptedAnswer Invariant = "an accepted job is not denied"
	// InvariantControlFirst states that no control command waits while other commands are processed.
	InvariantControlFirst Invariant = "control commands do not wait behind others"
)

// invariants are all invariants, in the order of the metrics page.
var invariants = []Invariant{InvariantTerminalAnswer, InvariantAcceptedAnswer, InvariantControlFirst}

// replyJobStatus replies with the state of a job. All such answers to users pass here.
func (n *Node) replyJobStatus(origin Origin, httpStatus int, status protocol.JobStatus) {
	if record, terminal := n.jobReader.TerminalRecord(status.ID); terminal && record.State != status.State {
		n.reportViolation(InvariantTerminalAnswer, status.ID)
	}
	n.reply(origin, httpStatus, 0, status)
}

// replyError replies to a user with an error about a job.
func (n *Node) replyError(request Request, response errorResponse) {
	if response.status != http.StatusServiceUnavailable {
		n.checkNotAccepted(request)
	}
	n.reply(request.Origin, response.status, response.retryAfterSeconds, response)
}

// replyUnknownJob replies to the cancellation of a job that was never accepted. The response has no body.
func (n *Node) replyUnknownJob(request Request) {
	n.checkNotAccepted(request)
	n.reply(request.Origin, http.StatusNotFound, 0, nil)
}

// checkNotAccepted checks that the job whose existence a reply denies was not known to be accepted.
func (n *Node) checkNotAccepted(request Request) {
	if request.knownAccepted {
		n.reportViolation(InvariantAcceptedAnswer, requestedJob(request))
	}
}

// requestedJob returns the ID of the job that a user's request is about.
func requestedJob(request Request) string {
	if request.Job != nil {
		return request.Job.ID
	}
	return request.JobID
}

// reportViolation counts and logs a violated invariant. The controller goes on.
func (n *Node) reportViolation(invariant Invariant, detail string) {
	n.violations[invariant]++
	n.log.Error("invariant violated", "invariant", string(invariant), "detail", detail)
}
