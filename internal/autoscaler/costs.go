package autoscaler

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
)

// costBreakdown is the machine cost of this term by use.
type costBreakdown struct{ booting, idle, fetching, working float64 }

// costAccount adds up the machine cost of a term.
type costAccount struct {
	costBreakdown
	state     *cluster.State
	updatedAt clock.Instant // time up to which the cost is counted
}

// update adds the machine cost since the last call, divided by the use of the cores.
func (c *costAccount) update() {
	now := c.state.Clock.Now()
	hours := (now - c.updatedAt).Hours()
	c.updatedAt = now
	for _, m := range c.state.Machines {
		if m.MachineType != nil {
			c.addMachine(m, m.MachineType.Price(m.Spot)*hours)
		}
	}
}

// addMachine adds the cost of one machine, divided by the use of its cores.
func (c *costAccount) addMachine(m *cluster.Machine, cost float64) {
	if !m.Up {
		c.booting += cost
		return
	}
	fetchingCores, runningCores := 0.0, 0.0
	for _, attempt := range m.Attempts {
		if attempt.Phase == cluster.AttemptRunning || attempt.Phase == cluster.AttemptSaving {
			runningCores += attempt.Job.Spec.Cores
		} else {
			fetchingCores += attempt.Job.Spec.Cores
		}
	}
	c.fetching += cost * fetchingCores / m.MachineType.Cores
	c.working += cost * runningCores / m.MachineType.Cores
	c.idle += cost * max(0, 1-(fetchingCores+runningCores)/m.MachineType.Cores)
}
