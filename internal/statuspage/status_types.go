// Package statuspage has the JSON types of the operators' status page and the text of the metrics page.
package statuspage

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/cluster"
)

// HealthResponse is the response body of a healthy node.
type HealthResponse struct {
	OK            bool   `json:"ok"`
	Build         string `json:"version"`
	ProtocolLevel int    `json:"level"`
}

// NodeStatus is the status of this node for operators.
type NodeStatus struct {
	Node                 string        `json:"node"`
	IsLeader             bool          `json:"leads"`
	Leader               string        `json:"leader,omitempty"`
	Term                 uint64        `json:"term,omitempty"`
	StoreFailing         bool          `json:"stateDown"`
	UptimeS              float64       `json:"uptimeS"`
	Build                string        `json:"version"`
	ProtocolLevel        int           `json:"level"`
	ClusterSupportsLevel bool          `json:"levelOfAll"`
	Peers                []PeerStatus  `json:"peers"`
	LeaderStatus         *LeaderStatus `json:"leading,omitempty"`
}

// PeerStatus is what this node knows of another controller. ProtocolLevel is 0 if the peer has
// not announced one.
type PeerStatus struct {
	Node          string `json:"node"`
	Reachable     bool   `json:"heard"`
	ProtocolLevel int    `json:"level"`
}

// LeaderStatus is the part of a node's status that only a leader has.
type LeaderStatus struct {
	RecordsLoaded bool            `json:"loaded"`
	AllReconciled bool            `json:"accounted"`
	RecoveryPhase string          `json:"recovery"`
	PendingWrites int             `json:"writesWaiting"`
	Jobs          []JobStatus     `json:"jobs"`
	Machines      []MachineStatus `json:"machines"`
	TargetCores   float64         `json:"targetCores"`
}

// JobStatus is the status of one open job.
type JobStatus struct {
	ID        string             `json:"id"`
	Class     string             `json:"class"`
	Team      string             `json:"team"`
	Done      int                `json:"done"`
	Active    int                `json:"active"`
	Pending   int                `json:"pending"`
	BlockedBy cluster.WaitReason `json:"waitsFor,omitempty"`
	AgeS      float64            `json:"ageS"`
}

// MachineStatus is the status of one machine.
type MachineStatus struct {
	Name        string              `json:"name"`
	Type        string              `json:"type"`
	Zone        string              `json:"zone"`
	Spot        bool                `json:"spot"`
	Up          bool                `json:"up"`
	Tasks       int                 `json:"tasks"`
	UsedCores   float64             `json:"coresUsed"`
	DrainReason cluster.DrainReason `json:"leaving,omitempty"`
}

// JobStatuses returns the status of the open jobs, sorted by ID.
func JobStatuses(state *cluster.State) []JobStatus {
	var statuses []JobStatus
	for _, job := range state.Jobs {
		blockedBy := job.BlockedBy
		if job.PendingDependencies > 0 {
			blockedBy = cluster.WaitDependencies
		}
		statuses = append(statuses, JobStatus{ID: job.Spec.ID, Class: job.Spec.Class, Team: job.Spec.Team,
			Done: job.DoneTasks, Active: len(job.Attempts), Pending: job.PendingTasks, BlockedBy: blockedBy,
			AgeS: (state.Clock.Now() - job.AcceptedAt).Round(time.Millisecond).Seconds()})
	}
	slices.SortFunc(statuses, func(a, b JobStatus) int { return cmp.Compare(a.ID, b.ID) })
	return statuses
}

// MachineStatuses returns the status of the machines, sorted by name.
func MachineStatuses(state *cluster.State) []MachineStatus {
	var statuses []MachineStatus
	for _, machine := range state.MachinesByName() {
		statuses = append(statuses, MachineStatus{Name: machine.Name, Type: machine.TypeName, Zone: machine.Zone,
			Spot: machine.Spot, Up: machine.Up, Tasks: len(machine.Attempts), UsedCores: machine.UsedCores,
			DrainReason: machine.DrainReason})
	}
	return statuses
}
