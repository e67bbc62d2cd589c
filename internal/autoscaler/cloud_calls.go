package autoscaler

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// cloudCalls sends the autoscaler's requests to the cloud, and backs off after failed ones.
type cloudCalls struct {
	state               *cluster.State
	client              CloudClient
	retryAt             clock.Instant // end of the backoff after a failed call
	consecutiveFailures int
}

const (
	// cloudTimeoutsPerLease is how many timeouts of a cloud call fit into a worker lease.
	cloudTimeoutsPerLease = 4
	// baseBackoffsPerLease is how many of the shortest backoffs fit into a worker lease.
	baseBackoffsPerLease = 16
	// maxCountedFailures bounds the number of times that the backoff is doubled.
	maxCountedFailures = 4
)

// newCloudCalls returns a cloudCalls that is not backing off.
func newCloudCalls(state *cluster.State, client CloudClient) *cloudCalls {
	return &cloudCalls{state: state, client: client, retryAt: clock.Never}
}

// backingOff reports whether no request is to be sent yet.
func (c *cloudCalls) backingOff() bool { return c.state.Clock.Now() < c.retryAt }

// takeRequest reports whether the budget allows a request now, and takes it from the budget.
func (c *cloudCalls) takeRequest() bool { return c.client.TakeRequest() }

// returnRequest gives a taken request back to the budget, if it was not sent after all.
func (c *cloudCalls) returnRequest() { c.client.ReturnRequest() }

// send sends a request, for which the caller has taken a request from the budget. Only the
// following pages of a list go without.
func (c *cloudCalls) send(method, path string, body any, onResponse func(protocol.CloudResponse)) {
	c.client.Send(method, path, body, c.state.Config.WorkerLease()/cloudTimeoutsPerLease, onResponse)
}

// recordSuccess ends the doubling of the backoff after a call that the cloud answered.
func (c *cloudCalls) recordSuccess() { c.consecutiveFailures = 0 }

// recordFailure backs off after a call that the cloud did not answer or refused.
func (c *cloudCalls) recordFailure(status int) {
	c.consecutiveFailures = min(c.consecutiveFailures+1, maxCountedFailures)
	backoff := (c.state.Config.WorkerLease() / baseBackoffsPerLease) << c.consecutiveFailures
	c.retryAt = c.state.Clock.Now() + backoff
	c.state.Log.Debug("cloud request failed", "status", status)
}
