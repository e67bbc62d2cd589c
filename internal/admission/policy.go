// Package admission decides which submissions are accepted while more arrive than the
// cluster can take. It is pure: it knows neither clocks nor networks.
//
// The leader publishes a Policy, numbered by epoch. The verdict about a job follows from the
// policy and the job alone, so every controller reaches the same one. A hash of the job's id
// places it on a ring. Of each group of jobs the policy opens an arc of that ring, and each
// epoch moves the arc on, so that every job's turn comes after a number of epochs that can be
// told in advance.
package admission

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ring is the number of positions on the ring: an arc of this length holds every job.
const Ring = 1 << 32

// graceEpochs is for how many epochs after the one in which it was opened a position stays
// open, where the arc moves evenly: a user may come back some seconds late.
const graceEpochs = 2

// Position is a job's place on the ring: the upper half of the 64-bit xxHash (XXH64, seed 0)
// of its id. Versions must agree on it, so it never changes.
func Position(jobID string) uint32 { return uint32(xxhash.Sum64String(jobID) >> 32) }

// Group is a group of jobs that have a share of their own.
type Group struct {
	Team  string `json:"team"`
	Class string `json:"class"`
	Rank  int    `json:"rank"` // of their priority; smaller is more urgent
}

// Share is what a policy admits of a group: an arc that begins at Tail and is as long as the
// last steps of its end together.
type Share struct {
	Group
	Tail   uint32   `json:"tail"`
	Steps  []uint64 `json:"steps"`  // of the last epochs, the newest last; one of Ring: everybody
	Demand float64  `json:"demand"` // jobs of the group that ask to be admitted, as estimated
}

// Everybody is the share of a group that is admitted as a whole.
func Everybody(group Group) Share { return Share{Group: group, Steps: []uint64{Ring}} }

// Open is how many positions are admitted.
func (s *Share) Open() uint64 {
	open := uint64(0)
	for _, step := range s.Steps {
		open += step
	}
	return min(open, Ring)
}

// step is by how much the arc's end moved on last, and will again if nothing changes.
func (s *Share) step() uint64 {
	if len(s.Steps) == 0 {
		return 0
	}
	return s.Steps[len(s.Steps)-1]
}

// Policy is what every controller admits during an epoch.
type Policy struct {
	Epoch    uint64  `json:"epoch"`
	LengthMS int64   `json:"lengthMs"` // of an epoch
	Shares   []Share `json:"shares"`
	Rest     Share   `json:"rest"` // of all groups that are not named
}

// Verdict is the decision about a job.
type Verdict struct {
	Admit bool
	// Epochs is how many epochs from now its turn comes, if it is not admitted.
	Epochs int
}

// Judge decides about a job. No policy admits every job.
func (p *Policy) Judge(group Group, jobID string) Verdict {
	if p == nil {
		return Verdict{Admit: true}
	}
	return p.share(group).judge(Position(jobID))
}

// share finds the share of a group.
func (p *Policy) share(group Group) *Share {
	for i := range p.Shares {
		if p.Shares[i].Group == group {
			return &p.Shares[i]
		}
	}
	return &p.Rest
}

func (s *Share) judge(position uint32) Verdict {
	from := uint64(position - s.Tail) // modulo the ring
	open := s.Open()
	if from < open {
		return Verdict{Admit: true}
	}
	return Verdict{Epochs: 1 + int((from-open)/s.step())}
}

// EpochsToAll is after how many epochs every job of the share has had its turn.
func (s *Share) EpochsToAll() int {
	open := s.Open()
	if open >= Ring {
		return 0
	}
	return int((Ring - open + s.step() - 1) / s.step())
}

// advance moves the arc on by one epoch, with a new step.
func (s *Share) advance(step uint64) {
	steps := s.Steps
	if len(steps) > graceEpochs {
		s.Tail += uint32(steps[0])
		steps = steps[1:]
	}
	s.Steps = append(slices.Clone(steps), step)
}

// InvalidPolicyError says why a stored policy can't be used.
type InvalidPolicyError struct{ Reason string }

func (e *InvalidPolicyError) Error() string { return "admission policy: " + e.Reason }

// Check tells whether a stored policy can be used.
func (p *Policy) Check() error {
	if p.Epoch == 0 || p.LengthMS <= 0 {
		return &InvalidPolicyError{"without an epoch or its length"}
	}
	for _, s := range append([]Share{p.Rest}, p.Shares...) {
		impossible := slices.ContainsFunc(s.Steps, func(step uint64) bool { return step == 0 || step > Ring })
		if impossible || len(s.Steps) == 0 || len(s.Steps) > graceEpochs+1 || !(s.Demand >= 0) {
			return &InvalidPolicyError{fmt.Sprintf("impossible share of team %q, class %q", s.Team, s.Class)}
		}
	}
	return nil
}
