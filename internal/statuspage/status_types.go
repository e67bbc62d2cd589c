// Package statuspage defines the JSON types of the operators' status page and builds the text of the
// metrics page.
package statuspage

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/cluster"
)

// HealthResponse is the response body of a healthy node. ProtocolLevel is the level of records and
// messages that this version of the program understands.
type HealthResponse struct {
	OK            bool   `json:"ok"`      // always true
	Build         string `json:"version"` // version of the program
	ProtocolLevel int    `json:"level"`
}

// NodeStatus is the status of this node for operators. ProtocolLevel is the level of records and
// messages that this version of the program understands.
type NodeStatus struct {
	Node                 string        `json:"node"`             // name of this node
	IsLeader             bool          `json:"leads"`            // this node holds the leader lease
	Leader               string        `json:"leader,omitempty"` // name of the node that leads; empty: not known
	Term                 uint64        `json:"term,omitempty"`   // term of that leader; 0: not known
	StoreFailing         bool          `json:"stateDown"`        // the last call to the key-value store failed
	UptimeS              float64       `json:"uptimeS"`          // seconds since the process started
	Build                string        `json:"version"`          // version of the program
	ProtocolLevel        int           `json:"level"`
	ClusterSupportsLevel bool          `json:"levelOfAll"`        // all nodes are known to have at least this level
	Peers                []PeerStatus  `json:"peers"`             // in the order of the configuration
	LeaderStatus         *LeaderStatus `json:"leading,omitempty"` // nil: this node does not lead
}

// PeerStatus is what this node knows of another controller. ProtocolLevel is 0 if the peer has
// not announced one.
type PeerStatus struct {
	Node          string `json:"node"`
	Reachable     bool   `json:"heard"` // a message from the peer has arrived within the duration of a leader lease
	ProtocolLevel int    `json:"level"`
}

// LeaderStatus is the part of a node's status that only a leader has.
type LeaderStatus struct {
	RecordsLoaded bool            `json:"loaded"`        // the stored records are read
	AllReconciled bool            `json:"accounted"`     // no attempt unknown to this leader can be running
	RecoveryPhase string          `json:"recovery"`      // name of a recovery.Phase
	PendingWrites int             `json:"writesWaiting"` // changes that are not yet in the key-value store
	Jobs          []JobStatus     `json:"jobs"`          // open jobs, sorted by id
	Machines      []MachineStatus `json:"machines"`      // sorted by name
	TargetCores   float64         `json:"targetCores"`   // cores that the last capacity plan aims to hold
}

// JobStatus is the status of one open job. Done, Active and Pending are numbers of tasks.
type JobStatus struct {
	ID        string             `json:"id"`
	Class     string             `json:"class"`
	Team      string             `json:"team"`
	Done      int                `json:"done"`
	Active    int                `json:"active"`             // tasks with an attempt on a machine
	Pending   int                `json:"pending"`            // tasks without an attempt
	BlockedBy cluster.WaitReason `json:"waitsFor,omitempty"` // empty: nothing blocks the job
	AgeS      float64            `json:"ageS"`               // seconds since the job was accepted
}

// MachineStatus is the status of one machine.
type MachineStatus struct {
	Name        string              `json:"name"`
	Type        string              `json:"type"`
	Zone        string              `json:"zone"`
	Spot        bool                `json:"spot"`              // the cloud may preempt the machine
	Up          bool                `json:"up"`                // heartbeats arrive; the worker lease has not expired
	Tasks       int                 `json:"tasks"`             // number of task attempts on the machine
	UsedCores   float64             `json:"coresUsed"`         // cores that these attempts use
	DrainReason cluster.DrainReason `json:"leaving,omitempty"` // empty: the machine is not drained
}

// JobStatuses returns the status of the open jobs, sorted by id.
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
