// Package fleet plans how many machines to hold, which to rent and which to give up, from the open
// jobs and a forecast of those to come. It is pure: the caller brings the time and a view of jobs
// and machines, and carries out the plan.
package fleet

import (
	"slices"

	"hitchdoor/internal/protocol"
)

// Option is a kind of machine that can be asked for.
type Option struct {
	Type, Zone string
	Spot       bool
}

// FitsType tells whether a task of a job fits a machine type.
func FitsType(j *protocol.Job, t *protocol.MachineType) bool {
	if len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) {
		return false
	}
	if j.Zone != "" && len(t.Zones) > 0 && !slices.Contains(t.Zones, j.Zone) {
		return false
	}
	return j.Cores <= t.Cores && j.RAM <= t.RAM && j.Accelerators <= t.Accelerators
}

// Fits tells whether a job may use such a machine, of a type that is nil if it is not known.
func (o Option) Fits(j *protocol.Job, t *protocol.MachineType) bool {
	return t != nil && FitsType(j, t) && (j.Zone == "" || j.Zone == o.Zone) && (j.Spot || !o.Spot)
}

// MayServe tells whether a job asks for such a machine, whatever its size is.
func (o Option) MayServe(j *protocol.Job) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, o.Type)) && (j.Zone == "" || j.Zone == o.Zone) && (j.Spot || !o.Spot)
}
