package reachability

// NodeStatus is a controller's view of its links to other controllers and to workers. It is served to
// operators as JSON.
type NodeStatus struct {
	Node            string         `json:"node"`
	Peers           []string       `json:"known"`             // the other nodes in its configuration
	IncomingLinks   []IncomingLink `json:"hears"`             // links with a heartbeat in the last worker lease
	LinkTimeoutMS   int64          `json:"freshMs"`           // a link without a heartbeat for this long is down
	StoreReachable  bool           `json:"state"`             // whether the key-value store responds to it
	IsLeader        bool           `json:"leads"`             // whether it considers itself the leader
	LeaderName      string         `json:"follows,omitempty"` // the leader whose heartbeats it receives
	Term            uint64         `json:"term,omitempty"`    // term of LeaderName, or its own if it leads
	CandidacyPaused bool           `json:"pausing,omitempty"` // whether it has resigned and starts no candidacy yet
	// RecentWorkers is the number of workers that recently contacted the node. On the leader, it is the
	// number of machines.
	RecentWorkers int `json:"workers"`
	// StrandedWorkers is the number of workers that recently contacted the node and that it could
	// neither serve nor relay.
	StrandedWorkers int `json:"stranded"`
	// SecondsSinceServed is the time since a response of the leader last reached a worker. It is 0 on
	// nodes that don't lead.
	SecondsSinceServed float64 `json:"servedAgoS"`
}

// ReceivesFrom reports whether the link from the given node to this one was up when the status was
// created.
func (s *NodeStatus) ReceivesFrom(node string) bool {
	for _, link := range s.IncomingLinks {
		if link.Node == node {
			return link.AgeMS < s.LinkTimeoutMS
		}
	}
	return false
}
