package admission

import (
	"cmp"
	"math"
	"slices"
)

// Load is what became of a group's submissions during an epoch, on all controllers.
type Load struct {
	Group
	Weight     float64
	Accepted   int // jobs
	TurnedAway int // attempts that the policy admits, for lack of room
	Refused    int // attempts by the policy
}

// Capacity is what an epoch can take.
type Capacity struct {
	Jobs  float64
	Short bool // nobody is turned away for it yet, but more must not be accepted
}

// Settings bound what a Control publishes.
type Settings struct {
	LengthMS     int64 // of an epoch
	EpochsToTurn int   // within how many epochs a job's turn should come
	MaxShares    int   // that a policy may name
}

// Control works out the policy of each epoch. One lives as long as a leadership.
type Control struct {
	settings Settings
	policy   *Policy
	groups   map[Group]*estimate
	calm     int // epochs in a row in which all could have been admitted
}

// Constants of the control loop.
const (
	// calmShare of the capacity is the most that may be asked for in each of calmEpochs
	// before a policy ends. One begins only above all of the capacity.
	calmShare  = 0.7
	calmEpochs = 3
	// aim is the share of the capacity that is given out: the rest is for users who come
	// late, and for those who came since the arc passed them.
	aim = 0.9
	// growth is the most by which a step grows from one epoch to the next: the demand is an
	// estimate from what the arc has just let in.
	growth = 2.0
	// memory is the weight that an epoch keeps in that estimate after the next one.
	memory = 0.6
	// minStep is the least step, as a share of the ring: so a turn comes after a bounded
	// number of epochs whatever the estimates say.
	minStep = 1.0 / 4096
	// forgotten is the demand in jobs below which a group that no policy names is dropped.
	forgotten = 0.01
)

// NewControl makes a control that goes on from a policy that an earlier leader published, if
// there is one.
func NewControl(settings Settings, policy *Policy) *Control {
	c := &Control{settings: settings, policy: policy, groups: map[Group]*estimate{}}
	if policy != nil {
		for _, s := range policy.Shares {
			c.groups[s.Group] = &estimate{admitted: s.Demand, exposed: 1}
		}
	}
	return c
}

// Policy is the one in force, or nil.
func (c *Control) Policy() *Policy { return c.policy }

// Next works out the policy of the epoch that begins, from what came in the one that ends and
// what the next can take. It is nil while there is no overload. A new series of epochs begins
// at firstEpoch.
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

// overloaded tells whether more came than an epoch can take.
func overloaded(loads []Load, capacity Capacity) bool {
	accepted, turnedAway := 0, 0
	for _, l := range loads {
		accepted += l.Accepted
		turnedAway += l.TurnedAway
	}
	return (turnedAway > 0 || capacity.Short) && float64(accepted+turnedAway) > capacity.Jobs
}

// estimate is what is known of a group's demand. An arc samples the ring: what the newest
// part of it let in, over its share of the ring, is what waits all round. Both are summed up
// before they are divided, so that few jobs, or none, in one epoch say little.
type estimate struct {
	admitted float64 // jobs, decaying
	exposed  float64 // shares of the ring, decaying
	weight   float64
}

func (e *estimate) demand() float64 { return e.admitted / e.exposed }

// observe updates the estimates.
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

// admitted adds what an epoch's arc let in of a group.
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

// demands lists the groups, in a fixed order.
func (c *Control) demands() []Demand {
	out := make([]Demand, 0, len(c.groups))
	for group, e := range c.groups {
		weight := e.weight
		if weight <= 0 {
			weight = 1 // nothing came of it since it was read from a policy
		}
		out = append(out, Demand{Group: group, Jobs: e.demand(), Weight: weight})
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class), a.Rank-b.Rank)
	})
	return out
}

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

// openArcs gives a share to each group that can't have all it asks for. If a policy can't
// name them all, those with the least demand share one arc, with the groups that are not
// known yet.
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

// nextShare moves a group's arc on, by the share of its jobs that it is given.
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

// lastShare is a group's share of the last epoch. A new one begins somewhere on the ring, so
// that no job is always among the last.
func (c *Control) lastShare(epoch uint64, group Group) Share {
	if c.policy != nil {
		if last := c.policy.share(group); last.Group == group && last.Open() < Ring {
			return *last
		}
	}
	return Share{Group: group, Tail: uint32(epoch * 0x9E3779B97F4A7C15 >> 32)}
}
