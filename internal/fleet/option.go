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
type Option struct {
	Type, Zone string
	Spot       bool
}

// FitsType reports whether a task of a job fits on an empty machine of a type.
func FitsType(j *protocol.Job, t *protocol.MachineType) bool {
	if len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) {
		return false
	}
	if j.Zone != "" && len(t.Zones) > 0 && !slices.Contains(t.Zones, j.Zone) {
		return false
	}
	return j.Cores <= t.Cores && j.RAM <= t.RAM && j.Accelerators <= t.Accelerators
}

// Fits reports whether tasks of a job may run on a machine of the offering. machineType is its type,
// or nil if that is not known.
func (o Option) Fits(j *protocol.Job, t *protocol.MachineType) bool {
	return t != nil && FitsType(j, t) && (j.Zone == "" || j.Zone == o.Zone) && (j.Spot || !o.Spot)
}

// MatchesConstraints reports whether the type, zone and spot constraints of a job allow the
// offering, whatever its size.
func (o Option) MayServe(j *protocol.Job) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, o.Type)) &&
		(j.Zone == "" || j.Zone == o.Zone) && (j.Spot || !o.Spot)
}
