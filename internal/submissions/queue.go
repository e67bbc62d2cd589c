// Package submissions queues the writes of accepted submissions, limits their rate and retries them.
// It does no I/O: transactions go out through its Host.
package submissions

import (
	"net/http"
	"slices"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// Queue writes the submissions that a node has admitted to the key-value store. It keeps
// them queued while the rate limit of writes is reached, because users submit in bursts.
type Queue struct {
	host           Host
	cluster        *config.Cluster
	budget         ratelimit.TokenBucket // writes; its burst is the rate of the whole cluster
	contendedUntil clock.Instant         // until then the rate is shared with other nodes
	pending        []*Write
}

// Host is what the queue needs from the controller.
type Host interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// StoreUnavailable reports whether the key-value store can't be reached.
	StoreUnavailable() bool
	// ExecuteTxn sends a transaction to the key-value store and passes on the status and body of the
	// response. Status 0 means that there was none.
	ExecuteTxn(txn storage.Txn, onResponse func(status int, body []byte))
}

// Write is the write of a submission, in one transaction.
type Write struct {
	Record        storage.JobRecord
	Writes        []storage.Write // of the record; encoded once, because they may be sent again
	Deadline      clock.Instant   // when it is rejected if it has not been written
	PolicyVersion uint64          // of the admission policy record that admitted it
	OnResult      func(Result)    // called when the write has ended
	retries       int
}

// Result is the result of the write of a submission.
type Result struct {
	Outcome  Outcome
	Revision uint64 // of the record, if it was accepted
}

// Outcome says how the write of a submission ended.
type Outcome int

// The outcomes of a write.
const (
	// Accepted means that the record is durable.
	Accepted Outcome = iota
	// PolicyChanged means that the policy of another epoch admitted the submission, and that the
	// job is unknown. The submission is to be evaluated again.
	PolicyChanged
	// JobKnown means that the job may have a record already.
	JobKnown
	// TooLarge means that the limits have become smaller than the record. An earlier copy of the
	// submission may have been accepted all the same.
	TooLarge
	// OverCapacity means that the submission could not be written in time.
	OverCapacity
	// StoreRefused means that the key-value store refuses to serve this node.
	StoreRefused
	// Failed means that it is unknown whether the record was written.
	Failed
)

// maxRetries is how often the write of a submission is retried.
const maxRetries = 3

// NewQueue returns an empty queue. The burst of the budget is the rate of the whole
// cluster.
func NewQueue(host Host, cluster *config.Cluster, budget ratelimit.TokenBucket) *Queue {
	return &Queue{host: host, cluster: cluster, budget: budget, contendedUntil: clock.Never}
}

// SetBudget replaces the budget of writes.
func (q *Queue) SetBudget(budget ratelimit.TokenBucket) { q.budget = budget }

// ClusterRate returns the rate at which the whole cluster may write submissions, per second.
func (q *Queue) ClusterRate() float64 { return q.budget.Burst }

// Add queues a write, unless too many are waiting.
func (q *Queue) Add(write *Write) {
	if len(q.pending) >= q.cluster.Resources.MaxConnections {
		write.OnResult(Result{Outcome: OverCapacity})
		return
	}
	q.pending = append(q.pending, write)
	q.WritePending()
}

// WritePending sends as many queued writes as the budget allows, and rejects those whose deadline
// has passed.
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

// updateRate sets the rate at which this node writes submissions. It is the rate of the whole
// cluster, because a burst mostly reaches one node. For one lease after a refusal by the rate
// limit, which shows that other nodes are writing too, it is an equal part of it.
func (q *Queue) updateRate() {
	now := q.host.Now()
	q.budget.Refill(now)
	q.budget.Rate = q.budget.Burst
	if now < q.contendedUntil {
		q.budget.Rate /= float64(q.cluster.ControllerCount)
	}
}

// onRateLimited records that the key-value store refused a submission because of its rate limit.
func (q *Queue) onRateLimited() {
	q.contendedUntil = q.host.Now() + q.cluster.WorkerLease()
	q.budget.Tokens = 0
}

// send sends a write in one transaction, on condition that the job is unknown and the admission
// policy is the one that admitted it.
func (q *Queue) send(write *Write) {
	jobID := write.Record.Spec.ID
	txn := storage.Txn{
		Conditions: []storage.Condition{
			{Key: storage.JobKey(jobID)},
			{Key: storage.TerminalKey(jobID)},
			{Key: storage.AdmissionPolicyKey, ModRevision: write.PolicyVersion},
		},
		Writes: write.Writes,
	}
	q.host.ExecuteTxn(txn, func(status int, body []byte) { q.onResponse(write, status, body) })
}

// onResponse handles the response to a write: it is sent again, or its result is passed on.
func (q *Queue) onResponse(write *Write, status int, body []byte) {
	rateLimited := status == http.StatusTooManyRequests
	if (status == 0 || rateLimited) && write.retries < maxRetries {
		// The rate limit was reached, or the response was lost. The transaction's conditions let only
		// one copy succeed, so a retry is safe.
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

// resultOf returns the result that a response to the write stands for.
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
		return Result{Outcome: JobKnown}
	case http.StatusBadRequest:
		return Result{Outcome: TooLarge}
	case http.StatusServiceUnavailable:
		return Result{Outcome: StoreRefused}
	case http.StatusTooManyRequests:
		return Result{Outcome: OverCapacity}
	}
	return Result{Outcome: Failed}
}

// onlyPolicyChanged reports whether a transaction failed only because the policy has changed. Then
// the job is still unknown and its submission is evaluated again.
func onlyPolicyChanged(failedKeys []string, jobID string) bool {
	return slices.Contains(failedKeys, storage.AdmissionPolicyKey) &&
		!slices.Contains(failedKeys, storage.JobKey(jobID)) && !slices.Contains(failedKeys, storage.TerminalKey(jobID))
}
