package standin

import (
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

func (l *orderLog) add(kind OrderKind, count int, cancelled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for range count {
		l.orders = append(l.orders, Order{At: now, Kind: kind, Cancelled: cancelled})
	}
}

// since lists the orders from some moment on.
func (l *orderLog) since(from time.Time) []Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, order := range l.orders {
		if !order.At.Before(from) {
			return append([]Order(nil), l.orders[i:]...)
		}
	}
	return nil
}
