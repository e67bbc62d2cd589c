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
	// 1/queryDivisor of the command queue's length, and they fill at most 1/queryDivisor of a batch.
	queryDivisor = 4
)

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

	longestWait, healthCheckDelay time.Duration // since the last call of takeLoad
}

// newOwnerQueue returns an empty queue for the given number of commands, and a quarter of it in queries.
func newOwnerQueue(length int) *ownerQueue {
	return &ownerQueue{control: make(chan queuedCommand, length), commands: make(chan queuedCommand, length),
		queries: make(chan queuedCommand, length/queryDivisor)}
}

// addControl queues a command on which this node's role depends. It waits while the queue is full, and drops
// the command if ctx ends.
func (q *ownerQueue) addControl(ctx context.Context, command controller.Command) {
	add(ctx, q.control, command)
}

// addCommand is addControl for a command that changes state otherwise.
func (q *ownerQueue) addCommand(ctx context.Context, command controller.Command) {
	add(ctx, q.commands, command)
}

// add sends a command to a channel. It waits while the channel is full, and drops the command if ctx ends.
func add(ctx context.Context, queue chan queuedCommand, command controller.Command) {
	select {
	case queue <- queuedCommand{command, time.Now()}:
	case <-ctx.Done():
	}
}

// tryAddRequest queues a request, and reports false if its queue is full.
func (q *ownerQueue) tryAddRequest(request controller.Request) bool {
	switch {
	case request.Kind == protocol.RequestHealth:
		return tryAdd(q.control, request)
	case request.IsReadOnly():
		return q.tryAddQuery(request)
	default:
		return tryAdd(q.commands, request)
	}
}

// tryAddQuery queues a command that changes no state, and reports false if the queue of queries is full.
func (q *ownerQueue) tryAddQuery(command controller.Command) bool { return tryAdd(q.queries, command) }

// tryAdd sends a command to a channel, and reports false if the channel is full.
func tryAdd(queue chan queuedCommand, command controller.Command) bool {
	select {
	case queue <- queuedCommand{command, time.Now()}:
		return true
	default:
		return false
	}
}

// fillBatch adds to a batch the control commands, then other commands, and then a limited number of queries.
func (q *ownerQueue) fillBatch(batch []controller.Command) []controller.Command {
	for len(batch) < maxBatchSize && len(q.control) > 0 {
		batch = append(batch, q.dequeue(<-q.control))
	}
	for len(batch) < maxBatchSize && len(q.commands) > 0 {
		batch = append(batch, q.dequeue(<-q.commands))
	}
	limit := min(maxBatchSize, len(batch)+maxBatchSize/queryDivisor)
	for len(batch) < limit && len(q.queries) > 0 {
		batch = append(batch, q.dequeue(<-q.queries))
	}
	return batch
}

// dequeue returns the command of a queue entry and records how long it has waited.
func (q *ownerQueue) dequeue(queued queuedCommand) controller.Command {
	waited := time.Since(queued.queuedAt)
	q.longestWait = max(q.longestWait, waited)
	if request, ok := queued.command.(controller.Request); ok && request.Kind == protocol.RequestHealth {
		q.healthCheckDelay = max(q.healthCheckDelay, waited)
	}
	return queued.command
}

// takeLoad returns the load of the queue since the last call.
func (q *ownerQueue) takeLoad() controller.QueueLoad {
	load := controller.QueueLoad{Depth: len(q.control) + len(q.commands) + len(q.queries), LongestWait: q.longestWait,
		HealthCheckDelay: q.healthCheckDelay}
	q.longestWait, q.healthCheckDelay = 0, 0
	return load
}
