// Package admission decides which submissions are accepted while more arrive than the cluster
// has capacity for. It is pure: it has no clock and does no I/O.
//
// The leader publishes a Policy, numbered by epoch. The decision about a job depends on the
// policy and the job alone, so every controller makes the same one. A hash of the job's id is its
// position on a ring. For each group of jobs the policy admits an arc of that ring, and each epoch
// advances the arc, so that every job is admitted after a number of epochs that is known in
// advance.
package admission

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ring is the number of positions on the ring: an arc of this length holds every job.
const Ring = 1 << 32

// graceEpochs is for how many more epochs a position stays admitted while the arc advances evenly,
// because a user may retry some seconds late.
const graceEpochs = 2

// Position returns a job's place on the ring: the upper half of the 64-bit xxHash (XXH64, seed 0)
// of its id. Versions must agree on it, so it never changes.
func Position(jobID string) uint32 { return uint32(xxhash.Sum64String(jobID) >> 32) }

// Group is a group of jobs that may have a share of its own.
type Group struct {
	Team         string `json:"team"`
	Class        string `json:"class"`
	PriorityRank int    `json:"rank"` // of their priority; smaller is more urgent
}

// Share is the part of a group that a policy admits: an arc of the ring that begins at Tail and
// whose length is the sum of the last steps of its end.
type Share struct {
	Group
	Tail   uint32   `json:"tail"`
	Steps  []uint64 `json:"steps"`  // of the last epochs, the newest last; a single step of Ring admits all
	Demand float64  `json:"demand"` // estimated number of jobs that wait to be admitted
}

// FullShare returns the share of a group that is admitted as a whole.
func FullShare(group Group) Share { return Share{Group: group, Steps: []uint64{Ring}} }

// OpenPositions returns the number of positions that are admitted.
func (s *Share) OpenPositions() uint64 {
	open := uint64(0)
	for _, step := range s.Steps {
		open += step
	}
	return min(open, Ring)
}

// newestStep returns by how much the end of the arc advanced in the last epoch, and will again if
// nothing changes.
func (s *Share) newestStep() uint64 {
	if len(s.Steps) == 0 {
		return 0
	}
	return s.Steps[len(s.Steps)-1]
}

// Policy determines which submissions every controller admits during an epoch.
type Policy struct {
	Epoch         uint64  `json:"epoch"`
	EpochLengthMS int64   `json:"lengthMs"` // of an epoch
	Shares        []Share `json:"shares"`
	DefaultShare  Share   `json:"rest"` // of all groups that Shares does not name
}

// Verdict is the decision of a policy about a submission.
type Verdict struct {
	Admit bool
	// EpochsToTurn is the number of epochs until the job will be admitted, if it is not yet.
	EpochsToTurn int
}

// Evaluate decides about a submission. A nil Policy admits every job.
func (p *Policy) Evaluate(group Group, jobID string) Verdict {
	if p == nil {
		return Verdict{Admit: true}
	}
	return p.shareOf(group).evaluate(Position(jobID))
}

// shareOf returns the share of a group.
func (p *Policy) shareOf(group Group) *Share {
	for i := range p.Shares {
		if p.Shares[i].Group == group {
			return &p.Shares[i]
		}
	}
	return &p.DefaultShare
}

// evaluate decides about the job at a position.
func (s *Share) evaluate(position uint32) Verdict {
	offset := uint64(position - s.Tail) // modulo the ring
	open := s.OpenPositions()
	if offset < open {
		return Verdict{Admit: true}
	}
	return Verdict{EpochsToTurn: 1 + int((offset-open)/s.newestStep())}
}

// EpochsToAdmitAll returns the number of epochs after which every job of the share has been
// admitted once.
func (s *Share) EpochsToAdmitAll() int {
	open := s.OpenPositions()
	if open >= Ring {
		return 0
	}
	return int((Ring - open + s.newestStep() - 1) / s.newestStep())
}

// advanceArc advances the arc by one epoch, with a new step.
func (s *Share) advanceArc(step uint64) {
	steps := s.Steps
	if len(steps) > graceEpochs {
		s.Tail += uint32(steps[0])
		steps = steps[1:]
	}
	s.Steps = append(slices.Clone(steps), step)
}

// InvalidPolicyError reports that a stored policy is invalid.
type InvalidPolicyError struct{ Reason string }

// Error describes what is invalid.
func (e *InvalidPolicyError) Error() string { return "admission policy: " + e.Reason }

// Validate returns an InvalidPolicyError if a stored policy can't be used.
func (p *Policy) Validate() error {
	if p.Epoch == 0 || p.EpochLengthMS <= 0 {
		return &InvalidPolicyError{"epoch or its length missing"}
	}
	for _, share := range append([]Share{p.DefaultShare}, p.Shares...) {
		invalidStep := slices.ContainsFunc(share.Steps, func(step uint64) bool { return step == 0 || step > Ring })
		if invalidStep || len(share.Steps) == 0 || len(share.Steps) > graceEpochs+1 || !(share.Demand >= 0) {
			return &InvalidPolicyError{fmt.Sprintf("invalid share of team %q, class %q", share.Team, share.Class)}
		}
	}
	return nil
}
