// Package fleet makes the capacity plan: how many machines to hold, which to rent (scale out) and
// which to return (scale in), from the open jobs and a demand forecast. It does no I/O and has no
// clock: the caller passes the time and a view of jobs and machines, and carries out the plan.
package fleet

import (
	"slices"

	"hitchdoor/internal/protocol"
)

// Offering is what the cloud can be asked for: a machine type in a zone, spot (preemptible) or on
// demand.
type Offering struct {
	Type, Zone string
	Spot       bool
}

// FitsType reports whether a task of a job fits on an empty machine of a type.
func FitsType(job *protocol.Job, machineType *protocol.MachineType) bool {
	if len(job.MachineTypes) > 0 && !slices.Contains(job.MachineTypes, machineType.Name) {
		return false
	}
	if job.Zone != "" && len(machineType.Zones) > 0 && !slices.Contains(machineType.Zones, job.Zone) {
		return false
	}
	return job.Cores <= machineType.Cores && job.MemoryGB <= machineType.MemoryGB &&
		job.Accelerators <= machineType.Accelerators
}

// Fits reports whether tasks of a job may run on a machine of the offering. machineType is its type,
// or nil if that is not known.
func (o Offering) Fits(job *protocol.Job, machineType *protocol.MachineType) bool {
	return machineType != nil && FitsType(job, machineType) &&
		(job.Zone == "" || job.Zone == o.Zone) && (job.SpotAllowed || !o.Spot)
}

// MatchesConstraints reports whether the type, zone and spot constraints of a job allow the
// offering, whatever its size.
func (o Offering) MatchesConstraints(job *protocol.Job) bool {
	return (len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, o.Type)) &&
		(job.Zone == "" || job.Zone == o.Zone) && (job.SpotAllowed || !o.Spot)
}
