package workerrouting

import "testing"

// Below the mark nothing changes, and a node is full until clearly fewer are open.
func TestFullAndRoom(t *testing.T) {
	c := ServerConnections{}
	for _, x := range []struct {
		open int
		full bool
		room int
	}{{0, false, 81}, {80, false, 1}, {82, true, 0}, {70, true, 0}, {68, false, 13}, {81, false, 0}, {200, true, 0}} {
		c.Update(x.open, 100)
		if c.Full != x.full || c.Spare() != x.room {
			t.Errorf("%d open: full %v, room %d", x.open, c.Full, c.Spare())
		}
	}
}
