package reachability

// NodeStatus is a controller's state of its links, as operators see it in JSON.
type NodeStatus struct {
	Node            string         `json:"node"`
	Peers           []string       `json:"known"`             // the other nodes in its settings
	IncomingLinks   []IncomingLink `json:"hears"`             // those whose heartbeats arrived within a worker lease
	LinkTimeoutMS   int64          `json:"freshMs"`           // without a heartbeat, until a link is down
	StoreReachable  bool           `json:"state"`             // the key-value store responds to it
	IsLeader        bool           `json:"leads"`             // as it believes itself
	LeaderName      string         `json:"follows,omitempty"` // the leader whose heartbeats it receives
	Term            uint64         `json:"term,omitempty"`    // of that leader, or its own as leader
	CandidacyPaused bool           `json:"pausing,omitempty"` // it stepped down lately and does not stand again yet
	RecentWorkers   int            `json:"workers"`           // that contacted it lately; on the leader, machines
	StrandedWorkers int            `json:"stranded"`          // of these, those that it could not serve
	// SecondsSinceServed is, on the leader, the time since a response last reached a worker.
	SecondsSinceServed float64 `json:"servedAgoS"`
}

// ReceivesFrom reports whether the link from another node to this one was up at the time of the
// status.
func (s *NodeStatus) ReceivesFrom(node string) bool {
	for _, link := range s.IncomingLinks {
		if link.Node == node {
			return link.AgeMS < s.LinkTimeoutMS
		}
	}
	return false
}
