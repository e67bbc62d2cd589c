package cluster

import (
	"math"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
)

// MachineTotals holds the sums over all machines that the scheduling checks need.
type MachineTotals struct {
	Slots         float64       // scheduler slots of the machines that are up
	AllReconciled bool          // no attempt of an earlier leader can be running unknown to this leader
	UnknownUsage  ResourceUsage // upper bound of the resources that unknown attempts use

	TotalCores, LargestMachineCores float64                 // cores of all machines, and of the largest one
	UnreconciledMachines            int                     // number of machines that are not reconciled yet
	UnreconciledOfferings           map[fleet.Offering]bool // offerings from which these machines were rented
	UnreconciledTypeUnknown         bool                    // the type of some of these machines is unknown
}

// unboundedUsage is the assumed usage of machines whose size is unknown.
var unboundedUsage = ResourceUsage{Cores: math.Inf(1), Accelerators: math.Inf(1)}

// CurrentMachineTotals returns the totals of all machines. It recomputes them if TotalsValid is false.
func (s *State) CurrentMachineTotals() MachineTotals {
	if s.TotalsValid {
		return s.totals
	}
	totals := MachineTotals{AllReconciled: true, UnreconciledOfferings: map[fleet.Offering]bool{}}
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

// addReconciliation counts a machine and its offering if it is not reconciled.
func (t *MachineTotals) addReconciliation(machine *Machine) {
	if machine.Reconciled {
		return
	}
	t.AllReconciled = false
	t.UnreconciledMachines++
	t.UnreconciledTypeUnknown = t.UnreconciledTypeUnknown || machine.TypeName == ""
	t.UnreconciledOfferings[machine.Offering()] = true
}

// addUnknownUsage adds all resources of a machine on which tasks unknown to this leader may be running.
// On a machine of an unknown type these resources have no upper bound, so all quotas count as used up.
// When they counted as zero, teams exceeded their quota through machines of types no longer sold.
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

// addCapacity adds the cores of a machine, and its slots if it is up and has acknowledged this term's
// fencing token. A machine of an unknown type counts for neither.
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

// AllReconciled reports whether all machines are known and reconciled, so that no attempt of an earlier
// leader can be running unknown to this one.
func (s *State) AllReconciled() bool { return s.CurrentMachineTotals().AllReconciled }

// InventoryIncomplete reports whether tasks of earlier leaders may be running on machines that are in
// no readable record.
func (s *State) InventoryIncomplete() bool {
	return s.Clock.Now() <= s.InventoryIncompleteUntil
}

// ImagePullRate is the mean rate at which the machines pull images, weighted by their cores.
type ImagePullRate struct{ weightedGBPerS, cores float64 }

// ImagePullRate returns the mean pull rate of all machines whose type is known.
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

// PullDuration returns how long it takes to pull an image of the given size, or 0 if the rate is
// unknown.
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

// BootTime returns the shortest boot time of all machine types in the catalog, or 0 if it is empty.
func (s *State) BootTime() time.Duration {
	shortest := 0.0
	for _, t := range s.Catalog {
		if shortest == 0 || t.BootSeconds < shortest {
			shortest = t.BootSeconds
		}
	}
	return config.Seconds(shortest)
}
