// Package fleet makes the capacity plan: how many machines to hold, which to rent (scale out) and
// which to return to the cloud (scale in), from the open jobs and a forecast of arrivals. It does no I/O
// and reads no clock: the caller passes the time and a view of jobs and machines, and carries out the plan.
package fleet

import (
	"slices"

	"hitchdoor/internal/protocol"
)

// Offering is a kind of machine that the cloud rents out: a machine type in a zone, either spot
// (preemptible) or on demand.
type Offering struct {
	Type, Zone string
	Spot       bool
}

// FitsType reports whether a task of a job fits on an empty machine of a type, in a zone where the
// type is offered. A type that names no zones is taken to be offered in every zone.
func FitsType(job *protocol.Job, machineType *protocol.MachineType) bool {
	if !job.AllowsMachineType(machineType.Name) {
		return false
	}
	if job.Zone != "" && len(machineType.Zones) > 0 && !slices.Contains(machineType.Zones, job.Zone) {
		return false
	}
	return job.Cores <= machineType.Cores && job.MemoryGB <= machineType.MemoryGB &&
		job.Accelerators <= machineType.Accelerators
}

// Fits reports whether a task of a job may run on an empty machine of the offering. machineType is
// the offering's type; if it is nil (not in the catalog), no job fits.
func (o Offering) Fits(job *protocol.Job, machineType *protocol.MachineType) bool {
	return machineType != nil && FitsType(job, machineType) && o.MatchesConstraints(job)
}

// MatchesConstraints reports whether the type, zone and spot constraints of a job allow the
// offering, regardless of the machine's size.
func (o Offering) MatchesConstraints(job *protocol.Job) bool {
	return job.AllowsMachineType(o.Type) && (job.Zone == "" || job.Zone == o.Zone) && (job.SpotAllowed || !o.Spot)
}
