package recovery

import "time"

// QuarantinedRecord is a stored record that can't be read, in the status for operators.
type QuarantinedRecord struct {
	Key               string `json:"key"`
	Reason            string `json:"reason"`
	MaybeNewerVersion bool   `json:"newer,omitempty"` // a newer version of the controller may have written the record
}

// Status is the state of a leader's recovery, in the status for operators.
type Status struct {
	Term           uint64           `json:"term"`
	Phase          string           `json:"phase"`
	Paced          bool             `json:"paced"`  // the limits of the recovery apply to this fleet
	PhaseSeconds   float64          `json:"forS"`   // time since the phase began
	ElapsedSeconds float64          `json:"afterS"` // time since the recovery began
	WaitsFor       string           `json:"waitsFor,omitempty"`
	Machines       int              `json:"machines"`
	Unreconciled   int              `json:"missing"`
	Mismatches     map[string]int   `json:"mismatches"`
	Samples        []MismatchSample `json:"samples,omitempty"`
	Budgets        []Budget         `json:"budgets,omitempty"`
}

// NodeStatus is what one controller reports to operators about recovery. Recovery is nil unless the
// controller leads.
type NodeStatus struct {
	Node        string              `json:"node"`
	IsLeader    bool                `json:"leads"`
	LeaderName  string              `json:"follows,omitempty"`
	Term        uint64              `json:"term"`
	Recovery    *Status             `json:"recovery,omitempty"`
	Quarantined []QuarantinedRecord `json:"setAside,omitempty"`
}

// Status returns the current state of the recovery. The caller sets Term and Paced.
func (r *Recovery) Status(now time.Duration) *Status {
	return &Status{
		Phase: r.phase.String(), PhaseSeconds: (now - r.phaseStartedAt).Seconds(),
		ElapsedSeconds: (now - r.startedAt).Seconds(), WaitsFor: r.waitReason(),
		Machines: r.view.Machines, Unreconciled: r.view.Unreconciled,
		Mismatches: r.counts.ByName(), Samples: r.samples, Budgets: r.Budgets(now),
	}
}
