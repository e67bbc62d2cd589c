package controller

import (
	"log/slog"
	"net/http"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// storeResponseObserver is notified of each response of the key-value store before the caller of
// storeCall gets the response. Status 0 means that no usable response arrived.
type storeResponseObserver interface {
	StoreResponded(path string, status int)
}

// outbox collects the effects of a step and passes the results of service calls to their callbacks.
// It is the only part of a controller that emits effects.
type outbox struct {
	timing        *timing
	log           *slog.Logger
	storeObserver storeResponseObserver

	effects           []Effect
	nextCallID        uint64
	pendingCalls      map[uint64]func(CallResult)
	invalidResponseAt map[Target]clock.Instant // when the last response that failed validation arrived
}

// newOutbox returns an outbox without effects and pending calls.
func newOutbox(timing *timing, log *slog.Logger, storeObserver storeResponseObserver) outbox {
	return outbox{timing: timing, log: log, storeObserver: storeObserver,
		pendingCalls: map[uint64]func(CallResult){}, invalidResponseAt: map[Target]clock.Instant{}}
}

// emit adds an effect to those of the current step.
func (o *outbox) emit(effect Effect) { o.effects = append(o.effects, effect) }

// takeEffects removes the collected effects from the outbox and returns them.
func (o *outbox) takeEffects() []Effect {
	effects := o.effects
	o.effects = nil
	return effects
}

// callService emits a request to an external service and passes its validated result to onResult.
func (o *outbox) callService(target Target, method, path string, body any, timeout time.Duration,
	onResult func(CallResult)) {
	o.nextCallID++
	encodedBody := encodeBody(body)
	o.pendingCalls[o.nextCallID] = func(result CallResult) { onResult(o.validateResult(target, method, path, result)) }
	o.emit(ServiceCall{ID: o.nextCallID, Target: target, Method: method, Path: path, Body: encodedBody,
		Timeout: timeout})
}

// deliverResult passes a result to the callback of its call. It ignores a result for which no callback
// is left.
func (o *outbox) deliverResult(result CallResult) {
	onResult, ok := o.pendingCalls[result.ID]
	if !ok {
		return
	}
	delete(o.pendingCalls, result.ID)
	onResult(result)
}

// validateResult returns the result of a call. If the response is not one that the service can send,
// it returns status 0 instead, because the request may or may not have been executed.
func (o *outbox) validateResult(target Target, method, path string, result CallResult) CallResult {
	check := storage.CheckResponse
	if target == TargetCloud {
		check = protocol.CheckCloudResponse
	}
	err := check(method, path, result.Status, result.Body)
	if err == nil {
		return result
	}
	// During such a fault every response may be invalid. Only the first one after four worker leases
	// without an invalid response is logged.
	if last, seen := o.invalidResponseAt[target]; !seen || o.timing.now > last+4*o.timing.workerLease() {
		o.log.Warn("invalid response from service", "service", target.String(), "error", err)
	}
	o.invalidResponseAt[target] = o.timing.now
	return CallResult{ID: result.ID}
}

// storeTimeout returns the timeout of one call to the key-value store: 1/14 of a worker lease, which is
// less than half of a leader lease.
func (o *outbox) storeTimeout() time.Duration { return o.timing.workerLease() / 14 }

// storeCall emits a request to the key-value store. It notifies the observer of the response, which
// shows whether the store is available, before it passes the response to onResult.
func (o *outbox) storeCall(method, path string, body any, onResult func(CallResult)) {
	o.callService(TargetStore, method, path, body, o.storeTimeout(), func(result CallResult) {
		o.storeObserver.StoreResponded(path, result.Status)
		onResult(result)
	})
}

// send emits a message to one peer.
func (o *outbox) send(to string, message protocol.PeerMessage) {
	o.emit(OutboundMessage{To: to, Message: message})
}

// reply responds to a request, through the peer that forwarded it if there is one. retryAfter is in
// seconds; 0 means none.
func (o *outbox) reply(origin Origin, status, retryAfter int, body any) {
	encodedBody := encodeBody(body)
	if origin.Peer != "" {
		o.send(origin.Peer, protocol.ForwardedResponse{ID: origin.RequestID, Status: status, RetryAfter: retryAfter,
			Body: encodedBody})
		return
	}
	o.emit(Reply{RequestID: origin.RequestID, Status: status, RetryAfter: retryAfter, Body: encodedBody})
}

// replyUnavailable responds that the request can't be processed now and may be retried after a
// second.
func (o *outbox) replyUnavailable(origin Origin) {
	o.reply(origin, http.StatusServiceUnavailable, 1, nil)
}

// replyWithForwardedResponse passes the leader's response on to the sender of a forwarded request.
func (o *outbox) replyWithForwardedResponse(origin Origin, response protocol.ForwardedResponse) {
	o.reply(origin, response.Status, response.RetryAfter, []byte(response.Body))
}

// encodeBody encodes a request or response body as JSON. It returns nil for a nil body, and a []byte
// unchanged.
func encodeBody(body any) []byte {
	switch value := body.(type) {
	case nil:
		return nil
	case []byte:
		return value
	default:
		return storage.Encode(value)
	}
}
