package admission

import (
	"cmp"
	"math"
	"slices"
)

// Load counts the outcomes of a group's submissions during an epoch, on all controllers.
type Load struct {
	Group
	Weight     float64
	Accepted   int // jobs
	TurnedAway int // jobs that the policy admits, rejected for lack of capacity
	Refused    int // attempts that the policy does not admit yet
}

// Capacity is the number of jobs that can be accepted in an epoch.
type Capacity struct {
	Jobs  float64
	Short bool // memory is the limit: nobody needs to be rejected yet, but no more may be accepted
}

// Settings are the bounds of the policies that a Planner makes.
type Settings struct {
	LengthMS     int64 // of an epoch
	EpochsToTurn int   // within how many epochs a job should be admitted
	MaxShares    int   // groups that a policy may name
}

// Planner computes the policy of each epoch. A leader has one for the whole of its term.
type Control struct {
	settings Settings
	policy   *Policy
	groups   map[Group]*estimate
	calm     int // consecutive epochs in which all could have been admitted
}

// Constants of the control loop.
const (
	// underloadShare is the share of the capacity that the demand must not exceed in each of
	// underloadEpochsToEnd consecutive epochs before a policy ends. A policy starts only when the
	// demand exceeds all of the capacity.
	calmShare  = 0.7
	calmEpochs = 3
	// targetUtilization is the share of the capacity that is allotted. The rest is a margin for
	// users who retry late, and for new jobs at positions that the arc has passed.
	aim = 0.9
	// maxStepGrowth is the most by which a step grows from one epoch to the next, because the
	// demand is only estimated from the jobs that the arc has admitted lately.
	growth = 2.0
	// sampleRetention is the factor by which the weight of older samples in that estimate decays
	// per epoch.
	memory = 0.6
	// minStepShare is the least step, as a share of the ring. It bounds the number of epochs until
	// a job is admitted, whatever the estimates are.
	minStep = 1.0 / 4096
	// negligibleDemand is the demand in jobs below which a group that no policy names is dropped.
	forgotten = 0.01
)

// NewPlanner returns a Planner that continues from the policy of an earlier leader, if there is
// one.
func NewControl(settings Settings, policy *Policy) *Control {
	c := &Control{settings: settings, policy: policy, groups: map[Group]*estimate{}}
	if policy != nil {
		for _, s := range policy.Shares {
			c.groups[s.Group] = &estimate{admitted: s.Demand, exposed: 1}
		}
	}
	return c
}

// Policy is the policy in force, or nil.
func (c *Control) Policy() *Policy { return c.policy }

// NextPolicy computes the policy of the next epoch from the loads of the one that ends and the
// capacity of the next. It is nil while there is no overload. A new series of epochs is numbered
// from firstEpoch.
func (c *Control) Next(loads []Load, capacity Capacity, firstEpoch uint64) *Policy {
	c.observe(loads)
	if c.policy == nil && !overloaded(loads, capacity) {
		clear(c.groups)
		return nil
	}
	demands := c.demands()
	c.countCalm(demands, capacity.Jobs)
	if c.calm >= calmEpochs {
		c.policy, c.calm = nil, 0
		clear(c.groups)
		return nil
	}
	next := &Policy{Epoch: firstEpoch, LengthMS: c.settings.LengthMS, Rest: Everybody(Group{})}
	if c.policy != nil {
		next.Epoch = c.policy.Epoch + 1
	}
	c.openArcs(next, demands, Allot(aim*capacity.Jobs, demands, c.settings.EpochsToTurn))
	c.policy = next
	return next
}

// overloaded reports whether more was submitted than an epoch has capacity for.
func overloaded(loads []Load, capacity Capacity) bool {
	accepted, turnedAway := 0, 0
	for _, l := range loads {
		accepted += l.Accepted
		turnedAway += l.TurnedAway
	}
	return (turnedAway > 0 || capacity.Short) && float64(accepted+turnedAway) > capacity.Jobs
}

// demandEstimate estimates a group's demand. An arc samples the ring: the jobs that its newest step
// admitted, divided by the step's share of the ring, estimate the jobs that wait on all of it.
// Both sums decay over the epochs and only then are divided, so that an epoch with few jobs, or
// none, changes little.
type estimate struct {
	admitted float64 // jobs, decaying
	exposed  float64 // shares of the ring, decaying
	weight   float64
}

// demand is the estimated number of jobs that wait.
func (e *estimate) demand() float64 { return e.admitted / e.exposed }

// updateEstimates updates the estimates from the loads of an epoch and drops negligible ones.
func (c *Control) observe(loads []Load) {
	seen := map[Group]bool{}
	for _, l := range loads {
		seen[l.Group] = true
		c.admitted(l.Group, float64(l.Accepted+l.TurnedAway))
		c.groups[l.Group].weight = l.Weight
	}
	for group, e := range c.groups {
		if !seen[group] {
			c.admitted(group, 0)
		}
		if e.demand() < forgotten && (c.policy == nil || c.policy.share(group) == &c.policy.Rest) {
			delete(c.groups, group)
		}
	}
}

// addSample adds the jobs of a group that the newest step of its arc admitted in an epoch.
func (c *Control) admitted(group Group, jobs float64) {
	newest := 1.0
	if c.policy != nil {
		newest = float64(c.policy.share(group).step()) / Ring
	}
	e := c.groups[group]
	if e == nil || c.policy == nil {
		e = &estimate{}
		c.groups[group] = e
	}
	e.admitted = memory*e.admitted + jobs
	e.exposed = memory*e.exposed + newest
}

// demands lists the demands of all groups by team, class and rank.
func (c *Control) demands() []Demand {
	out := make([]Demand, 0, len(c.groups))
	for group, e := range c.groups {
		weight := e.weight
		if weight <= 0 {
			weight = 1 // no submission since the group was read from a policy
		}
		out = append(out, Demand{Group: group, Jobs: e.demand(), Weight: weight})
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class), a.Rank-b.Rank)
	})
	return out
}

// countUnderload counts the consecutive epochs in which the demand is well below the capacity.
func (c *Control) countCalm(demands []Demand, capacity float64) {
	wanted := 0.0
	for _, d := range demands {
		wanted += d.Jobs
	}
	if wanted <= calmShare*capacity {
		c.calm++
	} else {
		c.calm = 0
	}
}

// assignShares sets a share for each group whose demand can't be met as a whole. If the policy
// can't name them all, the groups with the least demand have one share in common, together with
// groups that are still unknown.
func (c *Control) openArcs(next *Policy, demands []Demand, given []float64) {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[b].Jobs, demands[a].Jobs) })
	var rest, restGiven float64
	for _, i := range order {
		share := c.nextShare(next.Epoch, demands[i], given[i])
		switch {
		case share.Open() >= Ring:
		case len(next.Shares) < c.settings.MaxShares:
			next.Shares = append(next.Shares, share)
		default:
			rest += demands[i].Jobs
			restGiven += given[i]
		}
	}
	if rest > 0 {
		next.Rest = c.nextShare(next.Epoch, Demand{Jobs: rest}, restGiven)
	}
}

// nextShare advances a group's arc by the fraction of its demand that it is allotted.
func (c *Control) nextShare(epoch uint64, demand Demand, given float64) Share {
	part := 1.0
	if demand.Jobs > 0 {
		part = min(1, given/demand.Jobs)
	}
	share := c.lastShare(epoch, demand.Group)
	if step := share.step(); step > 0 {
		part = min(part, growth*float64(step)/Ring)
	}
	if part = max(part, minStep); part >= 1 {
		return Everybody(demand.Group)
	}
	share.Demand = math.Round(demand.Jobs*10) / 10
	share.advance(uint64(part * Ring))
	return share
}

// lastShare is a group's share of the last epoch, or a new one. A new arc begins at a position
// that depends on the epoch, so that no job is always among the last.
func (c *Control) lastShare(epoch uint64, group Group) Share {
	if c.policy != nil {
		if last := c.policy.share(group); last.Group == group && last.Open() < Ring {
			return *last
		}
	}
	return Share{Group: group, Tail: uint32(epoch * 0x9E3779B97F4A7C15 >> 32)}
}
