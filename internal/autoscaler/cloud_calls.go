package autoscaler

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// cloudCalls sends the autoscaler's requests to the cloud. After a failed request, it backs off for a
// time that doubles with each further failure.
type cloudCalls struct {
	state               *cluster.State
	client              CloudClient
	retryAt             clock.Instant // end of the backoff after the last failed request; never: none failed yet
	consecutiveFailures int           // at most maxCountedFailures
}

const (
	// cloudTimeoutsPerLease is the ratio of a worker lease to the timeout of a request to the cloud.
	cloudTimeoutsPerLease = 4
	// baseBackoffsPerLease is the ratio of a worker lease to the base of the backoff. The base doubles
	// with each failure, also the first one.
	baseBackoffsPerLease = 16
	// maxCountedFailures limits the doublings of the base, so that no backoff exceeds one worker lease.
	maxCountedFailures = 4
)

// newCloudCalls returns a cloudCalls that is not backing off.
func newCloudCalls(state *cluster.State, client CloudClient) *cloudCalls {
	return &cloudCalls{state: state, client: client, retryAt: clock.Never}
}

// backingOff reports whether no request may be sent yet because of an earlier failure.
func (c *cloudCalls) backingOff() bool { return c.state.Clock.Now() < c.retryAt }

// takeRequest reports whether the budget allows a request to the cloud now. If so, it takes the request
// from the budget.
func (c *cloudCalls) takeRequest() bool { return c.client.TakeRequest() }

// returnRequest refunds a request that was taken from the budget but not sent.
func (c *cloudCalls) returnRequest() { c.client.ReturnRequest() }

// send sends a request. The caller must have taken it from the budget, except for the second and
// later pages of the machine list, which cost no budget.
func (c *cloudCalls) send(method, path string, body any, onResponse func(protocol.CloudResponse)) {
	c.client.Send(method, path, body, c.state.Config.WorkerLease()/cloudTimeoutsPerLease, onResponse)
}

// recordSuccess makes the next backoff start from the shortest one, after a request that the cloud has
// answered.
func (c *cloudCalls) recordSuccess() { c.consecutiveFailures = 0 }

// recordFailure starts a backoff after a request that the cloud rejected or did not answer. status is 0
// if no usable response arrived.
func (c *cloudCalls) recordFailure(status int) {
	c.consecutiveFailures = min(c.consecutiveFailures+1, maxCountedFailures)
	backoff := (c.state.Config.WorkerLease() / baseBackoffsPerLease) << c.consecutiveFailures
	c.retryAt = c.state.Clock.Now() + backoff
	c.state.Log.Debug("cloud request failed, backing off", "status", status)
}
