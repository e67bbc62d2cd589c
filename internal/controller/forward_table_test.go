package controller

import (
	"testing"
	"time"
)

// A request is taken once, and not any more once it has expired.
func TestForwardsAreTakenOnce(t *testing.T) {
	table := newForwardTable[string](41)
	first := table.add("first", time.Second)
	second := table.add("second", 2*time.Second)
	if first != 42 || second != 43 || table.count() != 2 {
		t.Fatalf("IDs %d and %d, %d pending", first, second, table.count())
	}
	forward, found := table.take(first)
	if !found || forward.request != "first" || forward.deadline != time.Second {
		t.Errorf("taken: %+v, %v", forward, found)
	}
	if _, again := table.take(first); again {
		t.Error("taken twice")
	}
	var expired []string
	onExpired := func(request string) { expired = append(expired, request) }
	table.expire(2*time.Second-1, onExpired)
	if len(expired) > 0 {
		t.Errorf("expired before the deadline: %v", expired)
	}
	table.expire(2*time.Second, onExpired)
	if len(expired) != 1 || expired[0] != "second" || table.count() != 0 {
		t.Errorf("expired %v, %d pending", expired, table.count())
	}
	if _, late := table.take(second); late {
		t.Error("taken after the deadline")
	}
}
