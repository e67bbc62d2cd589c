package controller

import (
	"net/http"
	"slices"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// submissionQueue writes the submissions that a node has admitted to the key-value store. It keeps
// them queued while the rate limit of writes is reached, because users submit in bursts.
type submissionQueue struct {
	host           submissionHost
	cluster        *config.Cluster
	budget         ratelimit.TokenBucket // writes; its burst is the rate of the whole cluster
	contendedUntil clock.Instant         // until then the rate is shared with other nodes
	pending        []*submissionWrite
}

// submissionHost is what the queue needs from the controller.
type submissionHost interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// StoreUnavailable reports whether the key-value store can't be reached.
	StoreUnavailable() bool
	// ExecuteTxn sends a transaction to the key-value store and passes on the status and body of the
	// response. Status 0 means that there was none.
	ExecuteTxn(txn storage.Txn, onResponse func(status int, body []byte))
}

// submissionWrite is the write of a submission, in one transaction.
type submissionWrite struct {
	record        storage.JobRecord
	writes        []storage.Write   // of the record; encoded once, because they may be sent again
	deadline      clock.Instant     // when it is rejected if it has not been written
	policyVersion uint64            // of the admission policy record that admitted it
	onResult      func(writeResult) // called when the write has ended
	retries       int
}

// writeResult is the result of the write of a submission.
type writeResult struct {
	outcome  writeOutcome
	revision uint64 // of the record, if it was accepted
}

// writeOutcome says how the write of a submission ended.
type writeOutcome int

// The outcomes of a write.
const (
	// writeAccepted means that the record is durable.
	writeAccepted writeOutcome = iota
	// writePolicyChanged means that the policy of another epoch admitted the submission, and that the
	// job is unknown. The submission is to be evaluated again.
	writePolicyChanged
	// writeJobKnown means that the job may have a record already.
	writeJobKnown
	// writeTooLarge means that the limits have become smaller than the record. An earlier copy of the
	// submission may have been accepted all the same.
	writeTooLarge
	// writeOverCapacity means that the submission could not be written in time.
	writeOverCapacity
	// writeStoreRefused means that the key-value store refuses to serve this node.
	writeStoreRefused
	// writeFailed means that it is unknown whether the record was written.
	writeFailed
)

// maxSubmissionRetries is how often the write of a submission is retried.
const maxSubmissionRetries = 3

// newSubmissionQueue returns an empty queue. The burst of the budget is the rate of the whole
// cluster.
func newSubmissionQueue(host submissionHost, cluster *config.Cluster, budget ratelimit.TokenBucket) *submissionQueue {
	return &submissionQueue{host: host, cluster: cluster, budget: budget, contendedUntil: clock.Never}
}

// setBudget replaces the budget of writes.
func (q *submissionQueue) setBudget(budget ratelimit.TokenBucket) { q.budget = budget }

// clusterRate returns the rate at which the whole cluster may write submissions, per second.
func (q *submissionQueue) clusterRate() float64 { return q.budget.Burst }

// add queues a write, unless too many are waiting.
func (q *submissionQueue) add(write *submissionWrite) {
	if len(q.pending) >= q.cluster.Resources.MaxConnections {
		write.onResult(writeResult{outcome: writeOverCapacity})
		return
	}
	q.pending = append(q.pending, write)
	q.writePending()
}

// writePending sends as many queued writes as the budget allows, and rejects those whose deadline
// has passed.
func (q *submissionQueue) writePending() {
	if len(q.pending) == 0 {
		return
	}
	now := q.host.Now()
	q.updateRate()
	pending := q.pending
	q.pending = nil
	for _, write := range pending {
		switch {
		case now >= write.deadline || q.host.StoreUnavailable():
			write.onResult(writeResult{outcome: writeOverCapacity})
		case q.budget.Take(now, min(q.budget.Burst, float64(len(write.writes)))):
			q.send(write)
		default:
			q.pending = append(q.pending, write)
		}
	}
}

// updateRate sets the rate at which this node writes submissions. It is the rate of the whole
// cluster, because a burst mostly reaches one node. For one lease after a refusal by the rate
// limit, which shows that other nodes are writing too, it is an equal part of it.
func (q *submissionQueue) updateRate() {
	now := q.host.Now()
	q.budget.Refill(now)
	q.budget.Rate = q.budget.Burst
	if now < q.contendedUntil {
		q.budget.Rate /= float64(q.cluster.ControllerCount)
	}
}

// noteContention records that the key-value store refused a submission because of its rate limit.
func (q *submissionQueue) noteContention() {
	q.contendedUntil = q.host.Now() + config.Seconds(q.cluster.Workers.LeaseS)
	q.budget.Tokens = 0
}

// send sends a write in one transaction, on condition that the job is unknown and the admission
// policy is the one that admitted it.
func (q *submissionQueue) send(write *submissionWrite) {
	jobID := write.record.Spec.ID
	txn := storage.Txn{
		Conditions: []storage.Condition{
			{Key: storage.JobKey(jobID)},
			{Key: storage.TerminalKey(jobID)},
			{Key: storage.AdmissionPolicyKey, ModRevision: write.policyVersion},
		},
		Writes: write.writes,
	}
	q.host.ExecuteTxn(txn, func(status int, body []byte) { q.onResponse(write, status, body) })
}

// onResponse handles the response to a write: it is sent again, or its result is passed on.
func (q *submissionQueue) onResponse(write *submissionWrite, status int, body []byte) {
	rateLimited := status == http.StatusTooManyRequests
	if (status == 0 || rateLimited) && write.retries < maxSubmissionRetries {
		// The rate limit was reached, or the response was lost. The transaction's conditions let only
		// one copy succeed, so a retry is safe.
		write.retries++
		if rateLimited {
			q.noteContention()
		}
		q.add(write)
		return
	}
	result := write.resultOf(status, body)
	if result.outcome == writePolicyChanged {
		write.retries++
	}
	write.onResult(result)
}

// resultOf returns the result that a response to the write stands for.
func (w *submissionWrite) resultOf(status int, body []byte) writeResult {
	var response storage.TxnResponse
	switch status {
	case http.StatusOK:
		if json.Unmarshal(body, &response) == nil {
			return writeResult{outcome: writeAccepted, revision: response.Revision}
		}
	case http.StatusConflict:
		if w.retries < maxSubmissionRetries && json.Unmarshal(body, &response) == nil &&
			onlyPolicyChanged(response.FailedKeys, w.record.Spec.ID) {
			return writeResult{outcome: writePolicyChanged}
		}
		return writeResult{outcome: writeJobKnown}
	case http.StatusBadRequest:
		return writeResult{outcome: writeTooLarge}
	case http.StatusServiceUnavailable:
		return writeResult{outcome: writeStoreRefused}
	case http.StatusTooManyRequests:
		return writeResult{outcome: writeOverCapacity}
	}
	return writeResult{outcome: writeFailed}
}

// onlyPolicyChanged reports whether a transaction failed only because the policy has changed. Then
// the job is still unknown and its submission is evaluated again.
func onlyPolicyChanged(failedKeys []string, jobID string) bool {
	return slices.Contains(failedKeys, storage.AdmissionPolicyKey) &&
		!slices.Contains(failedKeys, storage.JobKey(jobID)) && !slices.Contains(failedKeys, storage.TerminalKey(jobID))
}
