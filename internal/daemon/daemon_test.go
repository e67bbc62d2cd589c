package daemon

import (
	"testing"

	"hitchdoor/internal/config"
)

// At the size of a large deployment a leader has a socket for each machine and for its
// users, and none of its own needs is given away for them. Three quarters were
// too few: 1,800 machines left room for 90 others.
func TestSocketsByNeed(t *testing.T) {
	for _, x := range []struct{ nodes, sockets, machines int }{{7, 2524, 1800}, {3, 3275, 1540}, {3, 900, 435}} {
		c := &config.Cluster{Count: x.nodes}
		c.Cloud.RPS, c.Workers.LeaseS, c.Resources.MaxConnections = 6, 26.5, x.sockets
		s := shareSockets(c)
		if s.server < x.machines*12/10 {
			t.Errorf("%d sockets: %d for %d machines and the users", x.sockets, s.server, x.machines)
		}
		if sum := s.state + s.cloud + s.peers + s.server; sum >= x.sockets {
			t.Errorf("%d sockets are shared out of %d", sum, x.sockets)
		}
	}
}
