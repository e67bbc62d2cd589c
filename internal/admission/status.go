package admission

// NodeStatus is what a controller tells an operator of admission, as JSON.
type NodeStatus struct {
	Node     string         `json:"node"`
	Leads    bool           `json:"leads"`
	Enabled  bool           `json:"enabled"` // by the node's settings
	Version  uint64         `json:"version"` // of the policy's record; 0: there is none
	Invalid  bool           `json:"invalid,omitempty"`
	AgeS     float64        `json:"ageS"` // since the node knows of the policy
	Policy   *Policy        `json:"policy"`
	Capacity float64        `json:"capacity,omitempty"` // jobs per epoch, on the leader
	Waiting  []WaitingGroup `json:"waiting,omitempty"`  // accepted jobs that have not begun, on the leader
	Job      *JobStatus     `json:"job,omitempty"`      // the one that was asked about
}

// WaitingGroup is how many jobs of a group are accepted and have not begun.
type WaitingGroup struct {
	Group
	Jobs int `json:"jobs"`
}

// JobStatus is what a controller knows of one job's admission.
type JobStatus struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	// Refused is the group by which this node refused the job last, if it did.
	Refused *Group `json:"refused,omitempty"`
	Admit   bool   `json:"admit,omitempty"`   // the policy admits it now
	TurnInS int    `json:"turnInS,omitempty"` // otherwise
}
