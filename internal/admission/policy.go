// Package admission decides which submissions are accepted while more arrive than the cluster
// has capacity for. The package has no clock and does no I/O.
//
// The leader publishes a Policy for each epoch, an interval of some seconds. The decision about a job
// depends only on the policy and the job, so every controller makes the same decision. A hash of the
// job's id determines its position on a ring. For each group of jobs the policy admits an arc of that
// ring, and each epoch advances the arc, so that every job is admitted after a number of epochs that is
// known in advance.
package admission

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ring is the number of positions on the ring. An arc of this length admits every job.
const Ring = 1 << 32

// graceEpochs is the number of epochs for which a position stays admitted after the epoch in which the
// arc reached it, because a user may retry some seconds late.
const graceEpochs = 2

// Position returns a job's position on the ring, which is the upper half of the 64-bit xxHash (XXH64,
// seed 0) of its id. The function must never change, because controllers of different versions must
// compute the same position.
func Position(jobID string) uint32 { return uint32(xxhash.Sum64String(jobID) >> 32) }

// Group identifies the jobs of a team with the same class and priority. A policy can give each group
// a share of its own.
type Group struct {
	Team         string `json:"team"`
	Class        string `json:"class"`
	PriorityRank int    `json:"rank"` // smaller is more urgent
}

// Share is the part of a group that a policy admits: the jobs at the positions of an arc of the ring.
// The arc begins at Start, and its length is the sum of Steps.
type Share struct {
	Group
	Start uint32 `json:"tail"`
	// Steps are the advances of the end of the arc in the last epochs, newest last. A single step of
	// Ring admits every job.
	Steps  []uint64 `json:"steps"`
	Demand float64  `json:"demand"` // estimated number of jobs that wait to be admitted
}

// maxDemand is the largest demand of a valid share. It is more than any number of jobs, and the sum of
// all demands stays finite.
const maxDemand = 1e15

// FullShare returns a share that admits every job of a group.
func FullShare(group Group) Share { return Share{Group: group, Steps: []uint64{Ring}} }

// AdmittedPositions returns the number of positions that the share admits, at most Ring.
func (s *Share) AdmittedPositions() uint64 {
	open := uint64(0)
	for _, step := range s.Steps {
		open += step
	}
	return min(open, Ring)
}

// newestStep returns the number of positions by which the end of the arc advanced in the latest epoch,
// or 0 for a share without steps. Predictions assume that each later epoch advances the arc as much.
func (s *Share) newestStep() uint64 {
	if len(s.Steps) == 0 {
		return 0
	}
	return s.Steps[len(s.Steps)-1]
}

// Policy determines which submissions every controller admits during an epoch.
type Policy struct {
	Epoch         uint64  `json:"epoch"`
	EpochLengthMS int64   `json:"lengthMs"` // length of an epoch in milliseconds
	Shares        []Share `json:"shares"`
	DefaultShare  Share   `json:"rest"` // share of each group without a share of its own
}

// Verdict is the decision of a policy on a submission.
type Verdict struct {
	Admit bool
	// EpochsUntilAdmitted is the number of epochs until the job will be admitted if each of them advances
	// the arc at least as far as the latest epoch did. It is 0 if Admit is true.
	EpochsUntilAdmitted int
}

// Evaluate decides whether a job is admitted. A nil Policy admits every job.
func (p *Policy) Evaluate(group Group, jobID string) Verdict {
	if p == nil {
		return Verdict{Admit: true}
	}
	return p.shareOf(group).evaluate(Position(jobID))
}

// shareOf returns the share of a group, which is DefaultShare if the policy does not name the group.
func (p *Policy) shareOf(group Group) *Share {
	for i := range p.Shares {
		if p.Shares[i].Group == group {
			return &p.Shares[i]
		}
	}
	return &p.DefaultShare
}

// evaluate decides whether the share admits the jobs at a position.
func (s *Share) evaluate(position uint32) Verdict {
	offset := uint64(position - s.Start) // the uint32 difference wraps around at the size of the ring
	open := s.AdmittedPositions()
	if offset < open {
		return Verdict{Admit: true}
	}
	return Verdict{EpochsUntilAdmitted: 1 + int((offset-open)/s.newestStep())}
}

// EpochsToAdmitAll returns the number of epochs after which every job of the share has been admitted
// at least once. It is 0 if the share admits every job now.
func (s *Share) EpochsToAdmitAll() int {
	open := s.AdmittedPositions()
	if open >= Ring {
		return 0
	}
	return int((Ring - open + s.newestStep() - 1) / s.newestStep())
}

// advanceArc advances the end of the arc by step for the next epoch. The beginning of the arc advances
// past the oldest step once there are more than graceEpochs steps.
func (s *Share) advanceArc(step uint64) {
	steps := s.Steps
	if len(steps) > graceEpochs {
		s.Start += uint32(steps[0])
		steps = steps[1:]
	}
	s.Steps = append(slices.Clone(steps), step)
}

// InvalidPolicyError reports that a stored policy is invalid.
type InvalidPolicyError struct{ Reason string }

// Error returns the reason why the policy is invalid.
func (e *InvalidPolicyError) Error() string { return "admission policy: " + e.Reason }

// Validate returns an InvalidPolicyError if the values of a stored policy are out of range.
func (p *Policy) Validate() error {
	if p.Epoch == 0 || p.EpochLengthMS <= 0 {
		return &InvalidPolicyError{fmt.Sprintf("epoch %d with a length of %d ms: both must be above 0",
			p.Epoch, p.EpochLengthMS)}
	}
	for _, share := range append([]Share{p.DefaultShare}, p.Shares...) {
		invalidStep := slices.ContainsFunc(share.Steps, func(step uint64) bool { return step == 0 || step > Ring })
		validDemand := share.Demand >= 0 && share.Demand <= maxDemand
		if invalidStep || len(share.Steps) == 0 || len(share.Steps) > graceEpochs+1 || !validDemand {
			return &InvalidPolicyError{fmt.Sprintf("invalid share of team %q, class %q: steps or demand out of range",
				share.Team, share.Class)}
		}
	}
	return nil
}
