package reachability

// NodeStatus is what a controller tells an operator of links, as JSON.
type NodeStatus struct {
	Node       string   `json:"node"`
	Known      []string `json:"known"`             // the other nodes, by its settings
	Hears      []Heard  `json:"hears"`             // those that it has heard within a worker lease
	FreshMS    int64    `json:"freshMs"`           // after what time without a heartbeat a link counts as cut
	State      bool     `json:"state"`             // the state service answers it
	Leads      bool     `json:"leads"`             // by its own word
	Follows    string   `json:"follows,omitempty"` // the leader that it hears
	Term       uint64   `json:"term,omitempty"`    // of that, or of its own lead
	Pausing    bool     `json:"pausing,omitempty"` // it resigned lately and leaves it to others to stand
	Workers    int      `json:"workers"`           // that came to it lately; on the leader, machines
	Stranded   int      `json:"stranded"`          // of these, that it could not serve
	ServedAgoS float64  `json:"servedAgoS"`        // on the leader: since an answer is known to have reached a worker
}

// HearsNode tells whether the node hears another, as of its answer.
func (s *NodeStatus) HearsNode(name string) bool {
	for _, h := range s.Hears {
		if h.Node == name {
			return h.AgeMS < s.FreshMS
		}
	}
	return false
}
