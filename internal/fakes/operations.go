package fakes

import (
	"slices"
	"sync"
	"time"
)

// OperationKind is the kind of an Operation. Its values are the names of recovery.Operation.
type OperationKind string

// Kinds of operations.
const (
	OperationStartTask     OperationKind = "start"
	OperationStopTask      OperationKind = "stop"
	OperationRentMachine   OperationKind = "rent"
	OperationReturnMachine OperationKind = "return"
)

// Operation is one command that a worker received, or one machine of a request that the cloud
// received.
type Operation struct {
	ReceivedAt     time.Time
	Kind           OperationKind
	OfCancelledJob bool // a stop of a task whose job was cancelled by its user
}

// operationLog collects operations. It is safe for concurrent use.
type operationLog struct {
	mu         sync.Mutex
	operations []Operation
}

// record adds operations of one kind that were received at the same time.
func (l *operationLog) record(receivedAt time.Time, kind OperationKind, count int, cancelled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range count {
		l.operations = append(l.operations, Operation{ReceivedAt: receivedAt, Kind: kind, OfCancelledJob: cancelled})
	}
}

// since lists the operations that were received at or after a time, sorted by time of receipt.
func (l *operationLog) since(from time.Time) []Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	operations := slices.DeleteFunc(slices.Clone(l.operations),
		func(operation Operation) bool { return operation.ReceivedAt.Before(from) })
	slices.SortStableFunc(operations, func(a, b Operation) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	return operations
}
