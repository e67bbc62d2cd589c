package cluster

import (
	"math"

	"hitchdoor/internal/protocol"
)

// SlotUnits is an amount of scheduler slots in hundredths of a slot. Whole numbers are used, so that the sum over
// all attempts returns to exactly 0.
type SlotUnits int

const (
	// UnitsPerSlot is the number of units in one slot.
	UnitsPerSlot SlotUnits = 100
	// minTaskUnits is what the smallest task occupies: four of them share a slot.
	minTaskUnits = UnitsPerSlot / 4
)

// Slots returns the amount as a number of slots.
func (u SlotUnits) Slots() float64 { return float64(u) / float64(UnitsPerSlot) }

// TaskSlots returns the slots that one task of a job occupies: one, or less if the task requires fewer cores than
// one slot stands for. If each small task occupied a whole slot, they would use up all slots while their machines
// have room.
func (s *State) TaskSlots(spec *protocol.Job) SlotUnits {
	units := math.Ceil(spec.Cores * s.Settings.SlotsPerCore * float64(UnitsPerSlot))
	return max(min(SlotUnits(units), UnitsPerSlot), minTaskUnits)
}

// addUsedSlots adds slots to those that the attempts of the job's class occupy.
func (s *State) addUsedSlots(job *Job, slots SlotUnits) {
	class := 0
	if IsLatencySensitive(&job.Spec) {
		class = 1
	}
	s.UsedSlots[class] += slots
}
