package admission

// NodeStatus is the admission state of a controller. It is encoded as JSON for operators.
type NodeStatus struct {
	Node             string         `json:"node"`
	IsLeader         bool           `json:"leads"`
	Enabled          bool           `json:"enabled"`            // the node's settings allow policies
	PolicyRevision   uint64         `json:"version"`            // revision of the policy record; 0: no record
	Invalid          bool           `json:"invalid,omitempty"`  // the record is invalid and no submission is admitted
	PolicyAgeSeconds float64        `json:"ageS"`               // time since the node learnt of the policy
	Policy           *Policy        `json:"policy"`             // nil if there is no record or it is invalid
	EpochCapacity    float64        `json:"capacity,omitempty"` // jobs per epoch; only on the leader
	WaitingGroups    []WaitingGroup `json:"waiting,omitempty"`  // accepted, not yet started jobs; only on the leader
	Job              *JobStatus     `json:"job,omitempty"`      // nil if the request names no job
}

// WaitingGroup is the number of accepted jobs of a group that have no started task.
type WaitingGroup struct {
	Group
	Jobs int `json:"jobs"`
}

// JobStatus is the admission state of one job on a controller.
type JobStatus struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"` // this node knows that the job was accepted
	// RejectedGroup is the job's group if the policy rejected the job on this node and the job has
	// not been accepted since.
	RejectedGroup *Group `json:"refused,omitempty"`
	AdmittedNow   bool   `json:"admit,omitempty"` // the policy admits the job now
	// SecondsUntilAdmitted is the time until the policy admits the job; 0 if it does now, or if the
	// policy is invalid.
	SecondsUntilAdmitted int `json:"turnInS,omitempty"`
}
