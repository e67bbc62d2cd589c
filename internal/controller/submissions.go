package controller

import (
	"net/http"
	"slices"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/storage"
	"hitchdoor/internal/submissions"
)

// errorResponse is the response to a user about a job that the key-value store has no record of.
type errorResponse struct {
	status            int
	retryAfterSeconds int    // 0: the error is permanent
	Error             string `json:"error"`
}

// unschedulableText tells a user why a job can't be scheduled.
const unschedulableText = "unknown team, or a task that fits no machine type or the team's limit"

// The responses to users about unknown jobs. Their texts are part of the HTTP interface.
var (
	jobNotFound       = errorResponse{http.StatusNotFound, 0, "no such job"}
	jobTooLarge       = errorResponse{http.StatusBadRequest, 0, "the job is too large to be stored"}
	jobUnschedulable  = errorResponse{http.StatusUnprocessableEntity, 0, unschedulableText}
	unknownDependency = errorResponse{http.StatusUnprocessableEntity, 0, "aguarda: names a job that was never accepted"}
	retryLater        = errorResponse{http.StatusServiceUnavailable, 1, "can't be taken now"}
)

// admissionDeferred is the response to a submission that the admission policy admits only after
// some seconds.
func admissionDeferred(retryAfterSeconds int) errorResponse {
	return errorResponse{http.StatusServiceUnavailable, retryAfterSeconds, "more is submitted than can be taken"}
}

// isSchedulable reports whether the job's team exists and may use enough resources for one task,
// and whether a task of the job fits some machine type.
func isSchedulable(spec *protocol.Job, cluster *config.Cluster, types map[string]*protocol.MachineType) bool {
	team := cluster.Team(spec.Team)
	if team == nil {
		return false
	}
	if (team.MaxCPUs > 0 && spec.Cores > team.MaxCPUs) || (team.MaxGPUs > 0 && spec.Accelerators > team.MaxGPUs) {
		return false
	}
	for _, machineType := range types {
		if fleet.FitsType(spec, machineType) {
			return true
		}
	}
	return false
}

// submissionHandler handles the submissions of users: it validates them, applies the admission policy and queues the
// writes of their records. Followers handle submissions as the leader does.
type submissionHandler struct {
	node  *Node
	queue *submissions.Queue
}

// newSubmissionHandler returns the handler of a node. budget limits the writes.
func newSubmissionHandler(node *Node, cluster *config.Cluster, budget ratelimit.TokenBucket) *submissionHandler {
	return &submissionHandler{node: node, queue: submissions.NewQueue(submissionHost{node}, cluster, budget)}
}

// userSubmission is a user's submission that this node handles.
type userSubmission struct {
	request Request
	leader  *leader // the leader that received it; nil on a follower
	write   *submissions.Write
}

// submissionHost implements submissions.Host for a node.
type submissionHost struct{ node *Node }

// Now returns the time of the current step.
func (h submissionHost) Now() clock.Instant { return h.node.now }

// StoreUnavailable reports whether the key-value store is considered down.
func (h submissionHost) StoreUnavailable() bool { return h.node.election.StoreUnavailable() }

// ExecuteTxn sends a transaction to the key-value store and passes the HTTP status and the body of the
// response to onResponse. Status 0 means that no usable response arrived.
func (h submissionHost) ExecuteTxn(txn storage.Txn, onResponse func(status int, body []byte)) {
	h.node.storeCall(http.MethodPost, "/multi", txn, func(result CallResult) {
		onResponse(result.Status, result.Body)
	})
}

// maxDirectJobReads is the largest number of dependencies whose acceptance a follower reads from the
// key-value store itself. It forwards a submission with more of them to the leader.
const maxDirectJobReads = 4

// submit validates a submission and queues it to be written on condition that the job has no
// record yet. The user gets the response after the write. Any node may write submissions, because the
// leader watches the open jobs. asLeader is the leader that received the submission, or nil on a follower.
func (h *submissionHandler) submit(request Request, asLeader *leader) {
	if !h.node.catalog.Known() {
		h.node.reject(request, rejection.CatalogUnknown)
		return
	}
	if h.node.election.StoreUnavailable() {
		h.node.reject(request, rejection.StoreUnavailable)
		return
	}
	submission := h.newSubmission(request, asLeader)
	if rejection := h.validate(request.Job, submission.write.Writes); rejection != nil {
		h.node.replyFromStore(request, asLeader, *rejection)
		return
	}
	unconfirmed := h.node.jobReader.WithoutKnownAccepted(request.Job.Dependencies)
	if len(unconfirmed) > maxDirectJobReads && asLeader == nil && h.node.forwards.sendSubmissionOnce(request) {
		return // the leader has most of the dependencies in memory
	}
	h.node.jobReader.ReadAcceptance(unconfirmed, func(allAccepted bool, err error) {
		switch {
		case err != nil:
			h.node.replyFromStore(request, asLeader, retryLater)
		case !allAccepted:
			h.node.replyFromStore(request, asLeader, unknownDependency)
		default:
			h.evaluate(submission)
		}
	})
}

// newSubmission returns a submission with the record to write for it.
func (h *submissionHandler) newSubmission(request Request, asLeader *leader) *userSubmission {
	record := storage.JobRecord{Spec: *request.Job, AcceptedAtMillis: h.node.nowUnixMilli()}
	submission := &userSubmission{request: request, leader: asLeader}
	submission.write = &submissions.Write{
		Record:   record,
		Writes:   storage.JobWrites(record, h.node.cfg.Cluster.Store.MaxValueBytes()),
		Deadline: h.node.now + h.node.workerLease()/10,
		OnResult: func(result submissions.Result) { h.onResult(submission, result) },
	}
	return submission
}

// validate returns why a job can't be accepted, or nil if it can. A job that was accepted
// once stays accepted, even if the catalog or the limits have shrunk since, or if this node knows
// less than the one that accepted it. The caller therefore returns each error to the user only if
// the job has no record.
func (h *submissionHandler) validate(job *protocol.Job, writes []storage.Write) *errorResponse {
	limits := &h.node.cfg.Cluster.Store
	schedulable := isSchedulable(job, &h.node.cfg.Cluster, h.node.catalog.Types)
	switch {
	case !storage.FitsTxn(writes, limits.MaxValueBytes(), limits.MaxTxnOps()):
		return &jobTooLarge // no record can hold it, so a retry can't succeed
	case !schedulable && !h.node.catalog.Confirmed:
		return &retryLater // the stored catalog may be outdated
	case !schedulable:
		return &jobUnschedulable
	case slices.Contains(job.Dependencies, job.ID):
		return &unknownDependency
	case len(job.Dependencies) > 0 && !h.node.clusterSupports(protocolLevelDependencies):
		// A leader of an earlier version would ignore the dependencies and start the job at once.
		// The user retries until the version record of every node shows that it supports them.
		return &retryLater
	}
	return nil
}

// onResult handles the outcome of the write of a submission and responds to the user.
func (h *submissionHandler) onResult(submission *userSubmission, result submissions.Result) {
	switch result.Outcome {
	case submissions.Accepted:
		h.onAccepted(submission, result.Revision)
	case submissions.PolicyChanged:
		h.node.admissionPolicy.Read(func() { h.evaluate(submission) })
	case submissions.JobMayExist:
		h.node.replyFromStore(submission.request, submission.leader, retryLater)
	case submissions.TooLarge:
		h.node.replyFromStore(submission.request, submission.leader, jobTooLarge)
	case submissions.OverCapacity:
		h.rejectForCapacity(submission)
	case submissions.StoreRefused:
		if submission.leader != nil || !h.node.forwards.sendSubmissionOnce(submission.request) {
			h.node.reject(submission.request, rejection.StoreUnavailable)
		}
	case submissions.Failed:
		h.node.reject(submission.request, rejection.StoreFailed)
	}
}

// onAccepted responds to the user whose job has a durable record. If a leader received the
// submission and still leads, it first adds the job to that leader's state.
func (h *submissionHandler) onAccepted(submission *userSubmission, revision uint64) {
	jobID := submission.request.Job.ID
	h.node.jobReader.RecordAccepted(jobID)
	h.node.traceStep(jobID, stepStored, "")
	if submission.leader != nil && h.node.leader == submission.leader {
		for _, write := range submission.write.Writes {
			submission.leader.writer.SetModRevision(write.Key(), revision)
		}
		submission.leader.jobRecords.Add(submission.write.Record, revision)
	}
	h.node.replyJobStatus(submission.request.Origin, http.StatusCreated,
		protocol.JobStatus{ID: jobID, State: protocol.JobQueued})
}
