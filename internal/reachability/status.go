package reachability

// NodeStatus is a controller's state of its links, as operators see it in JSON.
type NodeStatus struct {
	Node       string   `json:"node"`
	Known      []string `json:"known"`             // the other nodes in its settings
	Hears      []Heard  `json:"hears"`             // those whose heartbeats arrived within a worker lease
	FreshMS    int64    `json:"freshMs"`           // the time without a heartbeat after which a link is down
	State      bool     `json:"state"`             // the key-value store responds to it
	Leads      bool     `json:"leads"`             // as it believes itself
	Follows    string   `json:"follows,omitempty"` // the leader whose heartbeats it receives
	Term       uint64   `json:"term,omitempty"`    // of that leader, or its own as leader
	Pausing    bool     `json:"pausing,omitempty"` // it stepped down lately and leaves candidacy to others
	Workers    int      `json:"workers"`           // that contacted it lately; on the leader, machines
	Stranded   int      `json:"stranded"`          // of these, those that it could not serve
	ServedAgoS float64  `json:"servedAgoS"`        // on the leader: since a response last reached a worker
}

// ReceivesFrom reports whether the link from another node to this one was up at the time of the
// status.
func (s *NodeStatus) HearsNode(name string) bool {
	for _, h := range s.Hears {
		if h.Node == name {
			return h.AgeMS < s.FreshMS
		}
	}
	return false
}
