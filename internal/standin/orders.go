package standin

import (
	"slices"
	"sync"
	"time"
)

// OperationKind is the kind of an Operation.
type OrderKind string

// Kinds of operations.
const (
	OrderStart  OrderKind = "start"
	OrderStop   OrderKind = "stop"
	OrderRent   OrderKind = "rent"
	OrderReturn OrderKind = "return"
)

// Operation is one command that a worker received, or one machine of a request that the cloud
// received.
type Order struct {
	At        time.Time
	Kind      OrderKind
	Cancelled bool // a stop of a task whose job was cancelled by its user
}

// operationLog collects operations. It is safe for concurrent use.
type orderLog struct {
	mu     sync.Mutex
	orders []Order
}

// record adds operations of one kind that were received at the same time.
func (l *orderLog) add(at time.Time, kind OrderKind, count int, cancelled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range count {
		l.orders = append(l.orders, Order{At: at, Kind: kind, Cancelled: cancelled})
	}
}

// since lists the operations received at or after a time, in the order of their receipt.
func (l *orderLog) since(from time.Time) []Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	orders := slices.DeleteFunc(slices.Clone(l.orders),
		func(o Order) bool { return o.At.Before(from) })
	slices.SortStableFunc(orders, func(a, b Order) int { return a.At.Compare(b.At) })
	return orders
}
