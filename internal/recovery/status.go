package recovery

import "time"

// Record is a stored record that was set aside.
type Record struct {
	Key    string `json:"key"`
	Reason string `json:"reason"`
	Newer  bool   `json:"newer,omitempty"` // a newer version may have written it
}

// Status is a leader's recovery, as operators read it.
type Status struct {
	Term       uint64         `json:"term"`
	Phase      string         `json:"phase"`
	Paced      bool           `json:"paced"`
	ForS       float64        `json:"forS"`   // how long the phase has lasted
	AfterS     float64        `json:"afterS"` // since the leader began
	WaitsFor   string         `json:"waitsFor,omitempty"`
	Machines   int            `json:"machines"`
	Missing    int            `json:"missing"`
	Mismatches map[string]int `json:"mismatches"`
	Samples    []Sample       `json:"samples,omitempty"`
	Budgets    []Budget       `json:"budgets,omitempty"`
}

// NodeStatus is what a controller says about recovery.
type NodeStatus struct {
	Node     string   `json:"node"`
	Leads    bool     `json:"leads"`
	Follows  string   `json:"follows,omitempty"`
	Term     uint64   `json:"term"`
	Recovery *Status  `json:"recovery,omitempty"`
	SetAside []Record `json:"setAside,omitempty"`
}

// Status describes the recovery at a moment.
func (r *Recovery) Status(now time.Duration) *Status {
	return &Status{
		Phase: r.phase.String(), ForS: (now - r.since).Seconds(), AfterS: (now - r.began).Seconds(), WaitsFor: r.WaitsFor(),
		Machines: r.view.Machines, Missing: r.view.Unaccounted, Mismatches: r.counts.ByName(), Samples: r.samples, Budgets: r.Budgets(now),
	}
}
