// Package submissions queues the writes of admitted submissions, limits their rate and retries them. It
// does no I/O: its Host sends the transactions.
package submissions

import (
	"net/http"
	"slices"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/json"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// Queue writes the submissions that a node has admitted to the key-value store. Writes above the rate
// limit wait in the queue, because users submit in bursts.
type Queue struct {
	host           Host
	cluster        *config.Cluster
	budget         ratelimit.TokenBucket // limits the writes; its burst is the rate of the whole cluster
	contendedUntil clock.Instant         // time until which this node takes only an equal part of that rate
	pending        []*Write
}

// Host is the interface through which the queue uses its controller.
type Host interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// StoreUnavailable reports whether the key-value store is considered down.
	StoreUnavailable() bool
	// ExecuteTxn sends a transaction to the key-value store and passes the HTTP status and the body of
	// the response to onResponse. Status 0 means that no usable response arrived.
	ExecuteTxn(txn storage.Txn, onResponse func(status int, body []byte))
}

// Write is the write of a submission in one transaction.
type Write struct {
	Record         storage.JobRecord
	Writes         []storage.Write // encoded Record; encoded once, because it may be sent again
	Deadline       clock.Instant   // time at which the write is rejected if it is still queued
	PolicyRevision uint64          // revision of the policy record that admitted the submission; 0: no record
	OnResult       func(Result)    // called when the write has ended
	retries        int             // number of times that the write was sent again or its submission evaluated again
}

// Result is the result of the write of a submission.
type Result struct {
	Outcome  Outcome
	Revision uint64 // revision of the job's record if Outcome is Accepted
}

// Outcome is the way in which the write of a submission ended.
type Outcome int

// These are the outcomes of a write.
const (
	// Accepted means that the record is durable.
	Accepted Outcome = iota
	// PolicyChanged means that the policy has changed since it admitted the submission, and that the
	// job has no record. The submission must be evaluated again.
	PolicyChanged
	// JobMayExist means that the job may have a record already.
	JobMayExist
	// TooLarge means that the limits of the key-value store have become smaller than the record. An
	// earlier copy of the submission may nevertheless have been accepted.
	TooLarge
	// OverCapacity means that the submission could not be written in time: its deadline passed, the queue
	// was full, the key-value store was down, or the store's rate limit was reached at each retry.
	OverCapacity
	// StoreRefused means that the key-value store refuses this node with status 503. It may serve others.
	StoreRefused
	// Failed means that it is unknown whether the record was written.
	Failed
)

// maxRetries is the number of times that the write of a submission is retried.
const maxRetries = 3

// NewQueue returns an empty queue. The burst of budget must be the rate at which the whole cluster may
// write submissions.
func NewQueue(host Host, cluster *config.Cluster, budget ratelimit.TokenBucket) *Queue {
	return &Queue{host: host, cluster: cluster, budget: budget, contendedUntil: clock.Never}
}

// SetBudget replaces the rate limit of writes. The burst of budget has the same meaning as in NewQueue.
func (q *Queue) SetBudget(budget ratelimit.TokenBucket) { q.budget = budget }

// ClusterRate returns the rate at which the whole cluster may write submissions, per second.
func (q *Queue) ClusterRate() float64 { return q.budget.Burst }

// Add queues a write. If MaxConnections writes are waiting, the result is OverCapacity.
func (q *Queue) Add(write *Write) {
	if len(q.pending) >= q.cluster.Resources.MaxConnections {
		write.OnResult(Result{Outcome: OverCapacity})
		return
	}
	q.pending = append(q.pending, write)
	q.WritePending()
}

// WritePending sends as many queued writes as the budget allows. The node calls it in each step. It
// rejects writes whose deadline has passed, and all writes while the key-value store is unavailable.
func (q *Queue) WritePending() {
	if len(q.pending) == 0 {
		return
	}
	now := q.host.Now()
	q.updateRate()
	pending := q.pending
	q.pending = nil
	for _, write := range pending {
		switch {
		case now >= write.Deadline || q.host.StoreUnavailable():
			write.OnResult(Result{Outcome: OverCapacity})
		case q.budget.Take(now, min(q.budget.Burst, float64(len(write.Writes)))):
			q.send(write)
		default:
			q.pending = append(q.pending, write)
		}
	}
}

// updateRate sets the rate at which this node writes submissions. This is normally the rate of the whole
// cluster, because a burst mostly reaches one node. A refusal by the store's rate limit shows that other
// nodes are writing too. For one worker lease after that, the rate is an equal part of the cluster's rate.
func (q *Queue) updateRate() {
	now := q.host.Now()
	q.budget.Refill(now)
	q.budget.Rate = q.budget.Burst
	if now < q.contendedUntil {
		q.budget.Rate /= float64(q.cluster.ControllerCount)
	}
}

// onRateLimited reduces the rate after the key-value store has refused a submission because of its rate
// limit.
func (q *Queue) onRateLimited() {
	q.contendedUntil = q.host.Now() + q.cluster.WorkerLease()
	q.budget.Tokens = 0
}

// send sends a write in one transaction, on condition that the job has no record and that the admission
// policy is the one that admitted the submission.
func (q *Queue) send(write *Write) {
	jobID := write.Record.Spec.ID
	txn := storage.Txn{
		Conditions: []storage.Condition{
			{Key: storage.JobKey(jobID)},
			{Key: storage.TerminalKey(jobID)},
			{Key: storage.AdmissionPolicyKey, ModRevision: write.PolicyRevision},
		},
		Writes: write.Writes,
	}
	q.host.ExecuteTxn(txn, func(status int, body []byte) { q.onResponse(write, status, body) })
}

// onResponse handles the response to a write. It sends the write again or passes its result on.
func (q *Queue) onResponse(write *Write, status int, body []byte) {
	rateLimited := status == http.StatusTooManyRequests
	if (status == 0 || rateLimited) && write.retries < maxRetries {
		// The rate limit was reached, or the response was lost. A retry is safe because the conditions
		// of the transaction let only one copy succeed.
		write.retries++
		if rateLimited {
			q.onRateLimited()
		}
		q.Add(write)
		return
	}
	result := write.resultOf(status, body)
	if result.Outcome == PolicyChanged {
		write.retries++
	}
	write.OnResult(result)
}

// resultOf returns the result of the write that follows from the response to its last transaction.
func (w *Write) resultOf(status int, body []byte) Result {
	var response storage.TxnResponse
	switch status {
	case http.StatusOK:
		if json.Unmarshal(body, &response) == nil {
			return Result{Outcome: Accepted, Revision: response.Revision}
		}
	case http.StatusConflict:
		if w.retries < maxRetries && json.Unmarshal(body, &response) == nil &&
			onlyPolicyChanged(response.FailedKeys, w.Record.Spec.ID) {
			return Result{Outcome: PolicyChanged}
		}
		return Result{Outcome: JobMayExist}
	case http.StatusBadRequest:
		return Result{Outcome: TooLarge}
	case http.StatusServiceUnavailable:
		return Result{Outcome: StoreRefused}
	case http.StatusTooManyRequests:
		return Result{Outcome: OverCapacity}
	}
	return Result{Outcome: Failed}
}

// onlyPolicyChanged reports whether a transaction failed only because the policy has changed. In this
// case the job still has no record, and its submission must be evaluated again.
func onlyPolicyChanged(failedKeys []string, jobID string) bool {
	return slices.Contains(failedKeys, storage.AdmissionPolicyKey) &&
		!slices.Contains(failedKeys, storage.JobKey(jobID)) && !slices.Contains(failedKeys, storage.TerminalKey(jobID))
}
