package forwarding

import (
	"testing"
	"time"
)

// A response must complete its request only once, and not after the request has expired. Otherwise the
// request would be answered twice.
func TestForwardsAreTakenOnce(t *testing.T) {
	table := NewTable[string](41)
	first := table.Add("first", time.Second)
	second := table.Add("second", 2*time.Second)
	if first != 42 || second != 43 || table.Count() != 2 {
		t.Fatalf("after adding two requests: got IDs %d and %d, %d pending, want 42 and 43, 2 pending",
			first, second, table.Count())
	}
	forward, found := table.Take(first)
	if !found || forward.Request != "first" || forward.Deadline != time.Second {
		t.Errorf("Take of ID 42: got %+v, found %v, want request first with deadline 1 s", forward, found)
	}
	if _, again := table.Take(first); again {
		t.Error("second Take of ID 42: got a forward, want not found")
	}
	var expired []string
	onExpired := func(request string) { expired = append(expired, request) }
	table.Expire(2*time.Second-1, onExpired)
	if len(expired) > 0 {
		t.Errorf("before the deadline: got expired requests %v, want none", expired)
	}
	table.Expire(2*time.Second, onExpired)
	if len(expired) != 1 || expired[0] != "second" || table.Count() != 0 {
		t.Errorf("at the deadline: got expired requests %v, %d pending, want [second], 0 pending",
			expired, table.Count())
	}
	if _, late := table.Take(second); late {
		t.Error("Take of the expired ID 43: got a forward, want not found")
	}
}
