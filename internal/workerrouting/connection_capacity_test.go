package workerrouting

import "testing"

// Below the mark nothing changes, and a node is full until clearly fewer are open.
func TestFullnessHysteresis(t *testing.T) {
	connections := ServerConnections{}
	for _, step := range []struct {
		open  int
		full  bool
		spare int
	}{{0, false, 81}, {80, false, 1}, {82, true, 0}, {70, true, 0}, {68, false, 13}, {81, false, 0}, {200, true, 0}} {
		connections.Update(step.open, 100)
		if connections.Full != step.full || connections.Spare() != step.spare {
			t.Errorf("%d open: full %v, room %d", step.open, connections.Full, connections.Spare())
		}
	}
}
