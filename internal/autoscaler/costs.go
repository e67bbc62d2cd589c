package autoscaler

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
)

// costBreakdown is the cost of the machines since the start of this term, by what their cores were used
// for. The names of the fields appear in the log line of a capacity plan.
type costBreakdown struct{ booting, idle, fetching, working float64 }

// costAccount adds up the machine cost of a term.
type costAccount struct {
	costBreakdown
	state     *cluster.State
	updatedAt clock.Instant // instant up to which the cost is counted
}

// update adds the cost of all machines since the last call, at the current prices per hour.
func (c *costAccount) update() {
	now := c.state.Clock.Now()
	hours := (now - c.updatedAt).Hours()
	c.updatedAt = now
	for _, machine := range c.state.Machines {
		if machine.MachineType != nil {
			c.addMachine(machine, machine.MachineType.Price(machine.Spot)*hours)
		}
	}
}

// addMachine splits the cost of one machine by the present use of its cores: pulling images, running
// tasks or idle. A machine that is not up counts as booting.
func (c *costAccount) addMachine(machine *cluster.Machine, cost float64) {
	if !machine.Up {
		c.booting += cost
		return
	}
	pullingCores, runningCores := 0.0, 0.0
	for _, attempt := range machine.Attempts {
		if attempt.Phase == cluster.AttemptRunning || attempt.Phase == cluster.AttemptCheckpointing {
			runningCores += attempt.Job.Spec.Cores
		} else {
			pullingCores += attempt.Job.Spec.Cores
		}
	}
	c.fetching += cost * pullingCores / machine.MachineType.Cores
	c.working += cost * runningCores / machine.MachineType.Cores
	c.idle += cost * max(0, 1-(pullingCores+runningCores)/machine.MachineType.Cores)
}
