package workerrouting

import "testing"

// A node must become full at 13/16 of its connections and stay full until fewer than 11/16 are open.
// Without this hysteresis, workers would be redirected back and forth.
func TestFullnessHysteresis(t *testing.T) {
	connections := ServerConnections{}
	for _, step := range []struct {
		open  int
		full  bool
		spare int
	}{{0, false, 81}, {80, false, 1}, {82, true, 0}, {70, true, 0}, {68, false, 13}, {81, false, 0}, {200, true, 0}} {
		connections.Update(step.open, 100)
		if connections.Full != step.full || connections.Spare() != step.spare {
			t.Errorf("%d of 100 connections open: got full %v and %d spare, want %v and %d",
				step.open, connections.Full, connections.Spare(), step.full, step.spare)
		}
	}
}
