package controller

import (
	"log/slog"

	"hitchdoor/internal/config"
	"hitchdoor/internal/ratelimit"
)

// Shares of the external services' rate limits. The leader gets most of the writes. Submissions,
// which every node writes, have their own share so that they never queue behind the leader's
// records. The shares leave a margin for requests of a previous leader that are still in flight.
const (
	leaderWriteShare      = 0.6
	submissionWriteShare  = 0.3 // total of all nodes, see submissions.Queue
	followerReadShare     = 0.1
	dependencyLookupShare = 0.2 // reads of dependencies' outcomes and of quarantined records
	cloudRequestShare     = 0.75
)

// submissionBudgetOwner is the submission queue, which spends the budget of submission writes.
type submissionBudgetOwner interface {
	SetBudget(budget ratelimit.TokenBucket)
}

// serviceBudgets limits the requests of a node to the external services. The limit of writes to
// the key-value store may fall once, to the lower rate from the settings.
type serviceBudgets struct {
	timing           *timing
	limits           *config.StoreLimits
	log              *slog.Logger
	submissionWrites submissionBudgetOwner // nil until the queue is created

	cloudBudget       ratelimit.TokenBucket
	leaderWriteBudget ratelimit.TokenBucket // writes of the leader's records
	writesThrottled   bool                  // writes are limited to the store's lower rate
}

// newServiceBudgets returns the budgets at the configured rates. The budget of submissions is returned
// separately, because the submission queue owns it.
func newServiceBudgets(timing *timing, cluster *config.Cluster, log *slog.Logger) (
	budgets serviceBudgets, submissionBudget ratelimit.TokenBucket) {
	cloudRate := cluster.Cloud.RequestsPerS * cloudRequestShare
	budgets = serviceBudgets{timing: timing, limits: &cluster.Store, log: log,
		cloudBudget: ratelimit.NewTokenBucket(cloudRate, max(1, cloudRate))}
	budgets.leaderWriteBudget, submissionBudget = newWriteBudgets(cluster.Store.WritesPerS)
	return budgets, submissionBudget
}

// newWriteBudgets splits a write rate between the leader's records and submissions. The
// leader's burst is at least two, because the leader's smallest unit of work has two writes.
func newWriteBudgets(rps float64) (leaderBudget, submissionBudget ratelimit.TokenBucket) {
	return ratelimit.NewTokenBucket(rps*leaderWriteShare, max(2, rps*leaderWriteShare)),
		ratelimit.NewTokenBucket(rps*submissionWriteShare, max(1, rps*submissionWriteShare))
}

// takeCloudRequest takes one request from the cloud budget. It reports false if none is left now.
func (b *serviceBudgets) takeCloudRequest() bool { return b.cloudBudget.Take(b.timing.now, 1) }

// returnCloudRequest refunds the cloud budget for a request that was not sent.
func (b *serviceBudgets) returnCloudRequest() { b.cloudBudget.Tokens++ }

// throttleWrites limits writes to the lower rate from the settings. It is called when the store
// rejects a write of this node or of a peer because the store's rate limit was exceeded. Finding the
// lower rate by repeated rejections would delay urgent writes as much as the others.
func (b *serviceBudgets) throttleWrites() {
	lowerRate := b.limits.LowerWritesPerS()
	if b.writesThrottled || lowerRate == b.limits.WritesPerS {
		return
	}
	b.writesThrottled = true
	b.log.Info("writes throttled to the lower rate", "rps", lowerRate)
	leaderBudget, submissionBudget := newWriteBudgets(lowerRate)
	leaderBudget.Tokens, leaderBudget.RefilledAt = 0, b.timing.now
	submissionBudget.Tokens, submissionBudget.RefilledAt = 0, b.timing.now
	b.leaderWriteBudget = leaderBudget
	b.submissionWrites.SetBudget(submissionBudget)
}
