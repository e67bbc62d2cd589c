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
	retryAt             clock.Instant // end of the backoff after the last failed call
	consecutiveFailures int           // at most maxCountedFailures
}

const (
	// cloudTimeoutsPerLease is the ratio of a worker lease to the timeout of a cloud call.
	cloudTimeoutsPerLease = 4
	// baseBackoffsPerLease is the ratio of a worker lease to the base of the backoff. The backoff
	// after the first failure is twice the base.
	baseBackoffsPerLease = 16
	// maxCountedFailures bounds the doublings of the base backoff, and so the backoff to one worker
	// lease.
	maxCountedFailures = 4
)

// newCloudCalls returns a cloudCalls that is not backing off.
func newCloudCalls(state *cluster.State, client CloudClient) *cloudCalls {
	return &cloudCalls{state: state, client: client, retryAt: clock.Never}
}

// backingOff reports whether no request may be sent yet because of an earlier failure.
func (c *cloudCalls) backingOff() bool { return c.state.Clock.Now() < c.retryAt }

// takeRequest reports whether the budget allows a request now, and takes it from the budget.
func (c *cloudCalls) takeRequest() bool { return c.client.TakeRequest() }

// returnRequest refunds a request that was taken from the budget but not sent.
func (c *cloudCalls) returnRequest() { c.client.ReturnRequest() }

// send sends a request. The caller must have taken it from the budget, except for the second and
// later pages of the machine list, which cost no budget.
func (c *cloudCalls) send(method, path string, body any, onResponse func(protocol.CloudResponse)) {
	c.client.Send(method, path, body, c.state.Config.WorkerLease()/cloudTimeoutsPerLease, onResponse)
}

// recordSuccess resets the backoff after a call that the cloud answered.
func (c *cloudCalls) recordSuccess() { c.consecutiveFailures = 0 }

// recordFailure starts a backoff after a call that the cloud rejected or did not answer. status is 0
// if no usable response arrived.
func (c *cloudCalls) recordFailure(status int) {
	c.consecutiveFailures = min(c.consecutiveFailures+1, maxCountedFailures)
	backoff := (c.state.Config.WorkerLease() / baseBackoffsPerLease) << c.consecutiveFailures
	c.retryAt = c.state.Clock.Now() + backoff
	c.state.Log.Debug("cloud request failed, backing off", "status", status)
}
