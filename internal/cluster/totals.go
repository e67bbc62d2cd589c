package cluster

import (
	"math"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
)

// MachineTotals aggregates what the scheduling checks need to know of all machines.
type MachineTotals struct {
	Slots         float64       // of the machines that are up
	AllReconciled bool          // no attempt of an earlier leader runs unknown to this one
	UnknownUsage  ResourceUsage // upper bound of the resources in use by unknown attempts

	TotalCores, LargestMachineCores float64                 // cores of all machines, and of the largest one
	UnreconciledMachines            int                     // number of machines not reconciled yet
	UnreconciledOptions             map[fleet.Offering]bool // their options
	UnreconciledTypeUnknown         bool                    // some of them have an unknown type
}

// unboundedUsage is the usage of machines whose size is unknown.
var unboundedUsage = ResourceUsage{Cores: math.Inf(1), Accelerators: math.Inf(1)}

// CurrentMachineTotals returns the totals, recomputed if a machine has changed.
func (s *State) CurrentMachineTotals() MachineTotals {
	if s.TotalsValid {
		return s.totals
	}
	totals := MachineTotals{AllReconciled: true, UnreconciledOptions: map[fleet.Offering]bool{}}
	if s.InventoryIncomplete() {
		totals.AllReconciled, totals.UnreconciledTypeUnknown = false, true
		totals.UnknownUsage = unboundedUsage
	}
	for _, machine := range s.MachinesByName() {
		s.CandidatesExamined++
		totals.addReconciliation(machine)
		totals.addUnknownUsage(machine)
		totals.addCapacity(machine, s.Settings)
	}
	s.totals, s.TotalsValid = totals, true
	return totals
}

// addReconciliation adds whether a machine is reconciled, and its offering if it is not.
func (t *MachineTotals) addReconciliation(machine *Machine) {
	if machine.Reconciled {
		return
	}
	t.AllReconciled = false
	t.UnreconciledMachines++
	t.UnreconciledTypeUnknown = t.UnreconciledTypeUnknown || machine.TypeName == ""
	t.UnreconciledOptions[machine.Offering()] = true
}

// addUnknownUsage adds the whole of a machine on which tasks unknown to this leader may run. The
// resources in use on a machine of an unknown type have no upper bound, so no quota has room.
// Counting them as zero let teams exceed their quota through machines of types no longer sold.
func (t *MachineTotals) addUnknownUsage(machine *Machine) {
	if machine.Reconciled && machine.UnknownTasks == 0 {
		return
	}
	if machine.MachineType == nil {
		t.UnknownUsage = unboundedUsage
		return
	}
	t.UnknownUsage.Cores += machine.MachineType.Cores
	t.UnknownUsage.Accelerators += machine.MachineType.Accelerators
}

// addCapacity adds the cores of a machine, and its slots if it is up. A machine of an unknown type
// has neither.
func (t *MachineTotals) addCapacity(machine *Machine, settings *config.Settings) {
	machineType := machine.MachineType
	if machineType == nil {
		return
	}
	t.TotalCores += machineType.Cores
	t.LargestMachineCores = max(t.LargestMachineCores, machineType.Cores)
	if machine.Up && machine.TokenAcknowledged {
		t.Slots += settings.SlotsPerCore*machineType.Cores + settings.BaseSlots
	}
}

// AllReconciled reports whether no attempt of an earlier leader can be running unknown to this
// one.
func (s *State) AllReconciled() bool { return s.CurrentMachineTotals().AllReconciled }

// InventoryIncomplete reports whether tasks of earlier leaders may be running on machines that no
// readable record names.
func (s *State) InventoryIncomplete() bool {
	return s.Clock.Now() <= s.InventoryIncompleteUntil
}

// ImagePullRate is the rate at which the machines pull images, as a mean weighted by their cores.
type ImagePullRate struct{ weightedGBPerS, cores float64 }

// ImagePullRate returns the pull rate of the machines held.
func (s *State) ImagePullRate() ImagePullRate {
	var pullRate ImagePullRate
	for _, machine := range s.Machines {
		if machine.MachineType != nil {
			pullRate.weightedGBPerS += machine.MachineType.PullGBPerSecond * machine.MachineType.Cores
			pullRate.cores += machine.MachineType.Cores
		}
	}
	return pullRate
}

// PullDuration returns how long an image of a size takes to pull; 0 if the rate is unknown.
func (p ImagePullRate) PullDuration(sizeGB float64) time.Duration {
	if p.weightedGBPerS <= 0 {
		return 0
	}
	return config.Seconds(sizeGB * p.cores / p.weightedGBPerS)
}

// RetainedCores returns the cores of the machines that are up and not draining.
func (s *State) RetainedCores() float64 {
	cores := 0.0
	for _, machine := range s.Machines {
		if machine.MachineType != nil && machine.Up && !machine.Draining {
			cores += machine.MachineType.Cores
		}
	}
	return cores
}

// BootTime returns the shortest boot time of the machine types.
func (s *State) BootTime() time.Duration {
	shortest := 0.0
	for _, t := range s.Catalog {
		if shortest == 0 || t.BootSeconds < shortest {
			shortest = t.BootSeconds
		}
	}
	return config.Seconds(shortest)
}
