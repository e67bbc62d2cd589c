package standin

import (
	"slices"
	"sync"
	"time"
)

// OrderKind is a kind of order, as workers and the cloud receive them.
type OrderKind string

// The kinds of orders.
const (
	OrderStart  OrderKind = "start"
	OrderStop   OrderKind = "stop"
	OrderRent   OrderKind = "rent"
	OrderReturn OrderKind = "return"
)

// Order is an order as it was received.
type Order struct {
	At        time.Time
	Kind      OrderKind
	Cancelled bool // a stop of work that its user has cancelled
}

// orderLog collects orders.
type orderLog struct {
	mu     sync.Mutex
	orders []Order
}

// add notes orders that arrived at a moment.
func (l *orderLog) add(at time.Time, kind OrderKind, count int, cancelled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range count {
		l.orders = append(l.orders, Order{At: at, Kind: kind, Cancelled: cancelled})
	}
}

// since lists the orders from some moment on, in the order of their arrival.
func (l *orderLog) since(from time.Time) []Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	orders := slices.DeleteFunc(slices.Clone(l.orders), func(o Order) bool { return o.At.Before(from) })
	slices.SortStableFunc(orders, func(a, b Order) int { return a.At.Compare(b.At) })
	return orders
}
