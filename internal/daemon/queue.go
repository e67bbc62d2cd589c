package daemon

import (
	"context"
	"time"

	"hitchdoor/internal/controller"
	"hitchdoor/internal/protocol"
)

// Sizes of the owner's queue and batches.
const (
	// commandsPerConnection is the length of the command queue per connection. All workers may
	// send a heartbeat at once, some of them through other controllers.
	commandsPerConnection = 4
	// maxBatchSize is the maximum number of commands that the node processes in one step.
	maxBatchSize = 256
	// queryDivisor limits queries, so that they don't delay other commands. Their queue has
	// 1/queryDivisor of the command queue's length, and they fill at most 1/queryDivisor of a batch. The
	// same part of a batch is reserved for them, so that other commands don't delay them either.
	queryDivisor = 4
)

// A request that has waited for replyShareOfTimeout of the time that its sender waits is not processed any
// more. The rest of that time is left for the reply.
const replyShareOfTimeout = 0.75

// queuedCommand is a command that waits for the owner.
type queuedCommand struct {
	command  controller.Command
	queuedAt time.Time
}

// ownerQueue holds the commands that wait for the owner goroutine. Any goroutine may add commands; only
// the owner removes them.
type ownerQueue struct {
	// control holds what this node's role depends on: results of calls, among them renewals of the leader
	// lease, the other controllers' messages about elections, and health checks. They come at limited
	// rates and must not wait behind the heartbeats of the whole fleet.
	control chan queuedCommand
	// commands holds all other requests that change state.
	commands chan queuedCommand
	// queries holds read-only requests. During an overload there are many of them, and heartbeats,
	// lease renewals, submissions and cancellations must not be queued behind them.
	queries chan queuedCommand

	senderTimeout func(controller.Command) time.Duration // 0: the sender does not give up
	onExpired     func(controller.Command)               // called with each command that is not processed
	now           func() time.Time

	delayedControls int // since the last call of takeLoad, see controller.QueueLoad

	longestWait, healthCheckDelay time.Duration // since the last call of takeLoad
}

// newOwnerQueue returns an empty queue for the given number of commands, and a quarter of it in queries. It
// takes no command out of it whose sender has given up; onExpired gets those.
func newOwnerQueue(length int, senderTimeout func(controller.Command) time.Duration,
	onExpired func(controller.Command)) *ownerQueue {
	return &ownerQueue{senderTimeout: senderTimeout, onExpired: onExpired, now: time.Now,
		control: make(chan queuedCommand, length), commands: make(chan queuedCommand, length),
		queries: make(chan queuedCommand, length/queryDivisor)}
}

// addControl queues a command on which this node's role depends. It waits while the queue is full, and drops
// the command if ctx ends.
func (q *ownerQueue) addControl(ctx context.Context, command controller.Command) {
	q.add(ctx, q.control, command)
}

// addCommand is addControl for a command that changes state otherwise.
func (q *ownerQueue) addCommand(ctx context.Context, command controller.Command) {
	q.add(ctx, q.commands, command)
}

// add sends a command to a channel. It waits while the channel is full, and drops the command if ctx ends.
func (q *ownerQueue) add(ctx context.Context, queue chan queuedCommand, command controller.Command) {
	select {
	case queue <- queuedCommand{command, q.now()}:
	case <-ctx.Done():
	}
}

// tryAddRequest queues a request, and reports false if its queue is full.
func (q *ownerQueue) tryAddRequest(request controller.Request) bool {
	switch {
	case request.Kind == protocol.RequestHealth:
		return q.tryAdd(q.control, request)
	case request.IsReadOnly():
		return q.tryAddQuery(request)
	default:
		return q.tryAdd(q.commands, request)
	}
}

// tryAddQuery queues a command that changes no state, and reports false if the queue of queries is full.
func (q *ownerQueue) tryAddQuery(command controller.Command) bool {
	return q.tryAdd(q.queries, command)
}

// tryAdd sends a command to a channel, and reports false if the channel is full.
func (q *ownerQueue) tryAdd(queue chan queuedCommand, command controller.Command) bool {
	select {
	case queue <- queuedCommand{command, q.now()}:
		return true
	default:
		return false
	}
}

// fillBatch adds to a batch the control commands, then other commands, and then a limited number of queries.
func (q *ownerQueue) fillBatch(batch []controller.Command) []controller.Command {
	batch, controlEmpty := q.drain(q.control, batch, maxBatchSize)
	controls := len(batch)
	reserved := min(len(q.queries), maxBatchSize/queryDivisor)
	batch, _ = q.drain(q.commands, batch, maxBatchSize-reserved)
	batch, _ = q.drain(q.queries, batch, min(maxBatchSize, len(batch)+maxBatchSize/queryDivisor))
	if len(batch) > controls && !controlEmpty {
		q.delayedControls++
	}
	return batch
}

// drain adds queued commands to a batch until the batch has the given length or the channel is empty. It
// reports whether it found the channel empty.
func (q *ownerQueue) drain(queue chan queuedCommand, batch []controller.Command,
	length int) (filled []controller.Command, empty bool) {
	for len(batch) < length {
		if len(queue) == 0 {
			return batch, true
		}
		batch = q.appendUnexpired(batch, <-queue)
	}
	return batch, false
}

// appendUnexpired adds the command of a queue entry to a batch, unless its sender has given up. It records
// how long the command has waited.
func (q *ownerQueue) appendUnexpired(batch []controller.Command, queued queuedCommand) []controller.Command {
	waited := q.now().Sub(queued.queuedAt)
	q.longestWait = max(q.longestWait, waited)
	if request, ok := queued.command.(controller.Request); ok && request.Kind == protocol.RequestHealth {
		q.healthCheckDelay = max(q.healthCheckDelay, waited)
	}
	timeout := q.senderTimeout(queued.command)
	if timeout > 0 && waited.Seconds() >= replyShareOfTimeout*timeout.Seconds() {
		q.onExpired(queued.command)
		return batch
	}
	return append(batch, queued.command)
}

// takeLoad returns the load of the queue since the last call.
func (q *ownerQueue) takeLoad() controller.QueueLoad {
	load := controller.QueueLoad{Depth: len(q.control) + len(q.commands) + len(q.queries), LongestWait: q.longestWait,
		HealthCheckDelay: q.healthCheckDelay, DelayedControls: q.delayedControls}
	q.longestWait, q.healthCheckDelay, q.delayedControls = 0, 0, 0
	return load
}
