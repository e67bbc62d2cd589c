package admission

// NodeStatus is a controller's state of admission, as operators see it in JSON.
type NodeStatus struct {
	Node             string         `json:"node"`
	IsLeader         bool           `json:"leads"`
	Enabled          bool           `json:"enabled"` // by the node's settings
	Version          uint64         `json:"version"` // of the policy's record; 0 if there is none
	Invalid          bool           `json:"invalid,omitempty"`
	PolicyAgeSeconds float64        `json:"ageS"` // since the node learnt of the policy
	Policy           *Policy        `json:"policy"`
	EpochCapacity    float64        `json:"capacity,omitempty"` // jobs per epoch, on the leader
	WaitingGroups    []WaitingGroup `json:"waiting,omitempty"`  // accepted jobs without a started task, on the leader
	Job              *JobStatus     `json:"job,omitempty"`      // the job that the request named
}

// WaitingGroup is the number of accepted jobs of a group of which no task has started.
type WaitingGroup struct {
	Group
	Jobs int `json:"jobs"`
}

// JobStatus is a controller's state of one job's admission.
type JobStatus struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	// RejectedGroup is the job's group if the policy rejected the job on this node and the job has
	// not been accepted since.
	RejectedGroup *Group `json:"refused,omitempty"`
	AdmittedNow   bool   `json:"admit,omitempty"`   // the policy admits the job now
	TurnInSeconds int    `json:"turnInS,omitempty"` // seconds until the policy admits it, otherwise
}
