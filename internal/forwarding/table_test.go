package forwarding

import (
	"testing"
	"time"
)

// A request is taken once, and not any more once it has expired.
func TestForwardsAreTakenOnce(t *testing.T) {
	table := NewTable[string](41)
	first := table.Add("first", time.Second)
	second := table.Add("second", 2*time.Second)
	if first != 42 || second != 43 || table.Count() != 2 {
		t.Fatalf("IDs %d and %d, %d pending", first, second, table.Count())
	}
	forward, found := table.Take(first)
	if !found || forward.Request != "first" || forward.Deadline != time.Second {
		t.Errorf("taken: %+v, %v", forward, found)
	}
	if _, again := table.Take(first); again {
		t.Error("taken twice")
	}
	var expired []string
	onExpired := func(request string) { expired = append(expired, request) }
	table.Expire(2*time.Second-1, onExpired)
	if len(expired) > 0 {
		t.Errorf("expired before the deadline: %v", expired)
	}
	table.Expire(2*time.Second, onExpired)
	if len(expired) != 1 || expired[0] != "second" || table.Count() != 0 {
		t.Errorf("expired %v, %d pending", expired, table.Count())
	}
	if _, late := table.Take(second); late {
		t.Error("taken after the deadline")
	}
}
