package admission

import (
	"cmp"
	"math"
	"slices"
)

// Load counts the outcomes of a group's submissions during an epoch, on all controllers.
type Load struct {
	Group
	Weight              float64
	Accepted            int // jobs
	RejectedForCapacity int // jobs that the policy admits, rejected for lack of capacity
	RejectedByPolicy    int // attempts that the policy does not admit yet
}

// Capacity is the number of jobs that can be accepted in an epoch.
type Capacity struct {
	Jobs          float64
	MemoryLimited bool // memory is the limit: nobody needs to be rejected yet, but no more may be accepted
}

// Settings are the bounds of the policies that a Planner makes.
type Settings struct {
	EpochLengthMS          int64 // of an epoch
	MaxEpochsUntilAdmitted int   // within how many epochs a job should be admitted
	MaxShares              int   // groups that a policy may name
}

// Planner computes the policy of each epoch. A leader has one for the whole of its term.
type Planner struct {
	settings        Settings
	policy          *Policy
	estimates       map[Group]*demandEstimate
	underloadEpochs int // consecutive epochs in which all could have been admitted
}

// Constants of the control loop.
const (
	// underloadShare is the share of the capacity that the demand must not exceed in each of
	// underloadEpochsToEnd consecutive epochs before a policy ends. A policy starts only when the
	// demand exceeds all of the capacity.
	underloadShare       = 0.7
	underloadEpochsToEnd = 3
	// targetUtilization is the share of the capacity that is allocated. The rest is a margin for
	// users who retry late, and for new jobs at positions that the arc has passed.
	targetUtilization = 0.9
	// maxStepGrowth is the most by which a step grows from one epoch to the next, because the
	// demand is only estimated from the jobs that the arc has admitted lately.
	maxStepGrowth = 2.0
	// sampleRetention is the factor by which the weight of older samples in that estimate decays
	// per epoch.
	sampleRetention = 0.6
	// minStepShare is the least step, as a share of the ring. It bounds the number of epochs until
	// a job is admitted, whatever the estimates are.
	minStepShare = 1.0 / 4096
	// negligibleDemand is the demand in jobs below which a group that no policy names is dropped.
	negligibleDemand = 0.01
)

// NewPlanner returns a Planner that continues from the policy of an earlier leader, if there is
// one.
func NewPlanner(settings Settings, policy *Policy) *Planner {
	planner := &Planner{settings: settings, policy: policy, estimates: map[Group]*demandEstimate{}}
	if policy != nil {
		for _, share := range policy.Shares {
			planner.estimates[share.Group] = &demandEstimate{admittedJobs: share.Demand, sampledShare: 1}
		}
	}
	return planner
}

// Policy returns the policy in force, or nil.
func (p *Planner) Policy() *Policy { return p.policy }

// NextPolicy computes the policy of the next epoch from the loads of the one that ends and the
// capacity of the next. It is nil while there is no overload. A new series of epochs is numbered
// from firstEpoch.
func (p *Planner) NextPolicy(loads []Load, capacity Capacity, firstEpoch uint64) *Policy {
	p.updateEstimates(loads)
	if p.policy == nil && !overloaded(loads, capacity) {
		clear(p.estimates)
		return nil
	}
	demands := p.demands()
	p.countUnderload(demands, capacity.Jobs)
	if p.underloadEpochs >= underloadEpochsToEnd {
		p.policy, p.underloadEpochs = nil, 0
		clear(p.estimates)
		return nil
	}
	next := &Policy{Epoch: firstEpoch, EpochLengthMS: p.settings.EpochLengthMS, DefaultShare: FullShare(Group{})}
	if p.policy != nil {
		next.Epoch = p.policy.Epoch + 1
	}
	p.assignShares(next, demands, allocateCapacity(targetUtilization*capacity.Jobs, demands, p.settings.MaxEpochsUntilAdmitted))
	p.policy = next
	return next
}

// overloaded reports whether more was submitted than an epoch has capacity for.
func overloaded(loads []Load, capacity Capacity) bool {
	accepted, rejected := 0, 0
	for _, load := range loads {
		accepted += load.Accepted
		rejected += load.RejectedForCapacity
	}
	return (rejected > 0 || capacity.MemoryLimited) && float64(accepted+rejected) > capacity.Jobs
}

// demandEstimate estimates a group's demand. An arc samples the ring: the jobs that its newest step
// admitted, divided by the step's share of the ring, estimate the jobs that wait on all of it.
// Both sums decay over the epochs and only then are divided, so that an epoch with few jobs, or
// none, changes little.
type demandEstimate struct {
	admittedJobs float64 // jobs, decaying
	sampledShare float64 // shares of the ring, decaying
	weight       float64
}

// demand returns the estimated number of jobs that wait.
func (e *demandEstimate) demand() float64 { return e.admittedJobs / e.sampledShare }

// updateEstimates updates the estimates from the loads of an epoch and drops negligible ones.
func (p *Planner) updateEstimates(loads []Load) {
	seen := map[Group]bool{}
	for _, load := range loads {
		seen[load.Group] = true
		p.addSample(load.Group, float64(load.Accepted+load.RejectedForCapacity))
		p.estimates[load.Group].weight = load.Weight
	}
	for group, estimate := range p.estimates {
		if !seen[group] {
			p.addSample(group, 0)
		}
		hasOwnShare := p.policy != nil && p.policy.shareOf(group) != &p.policy.DefaultShare
		if estimate.demand() < negligibleDemand && !hasOwnShare {
			delete(p.estimates, group)
		}
	}
}

// addSample adds the jobs of a group that the newest step of its arc admitted in an epoch.
func (p *Planner) addSample(group Group, jobs float64) {
	newestShare := 1.0
	if p.policy != nil {
		newestShare = float64(p.policy.shareOf(group).newestStep()) / Ring
	}
	estimate := p.estimates[group]
	if estimate == nil || p.policy == nil {
		estimate = &demandEstimate{}
		p.estimates[group] = estimate
	}
	estimate.admittedJobs = sampleRetention*estimate.admittedJobs + jobs
	estimate.sampledShare = sampleRetention*estimate.sampledShare + newestShare
}

// demands lists the demands of all groups by team, class and rank.
func (p *Planner) demands() []groupDemand {
	demands := make([]groupDemand, 0, len(p.estimates))
	for group, estimate := range p.estimates {
		weight := estimate.weight
		if weight <= 0 {
			weight = 1 // no submission since the group was read from a policy
		}
		demands = append(demands, groupDemand{Group: group, Jobs: estimate.demand(), Weight: weight})
	}
	slices.SortFunc(demands, func(a, b groupDemand) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class), a.PriorityRank-b.PriorityRank)
	})
	return demands
}

// countUnderload counts the consecutive epochs in which the demand is well below the capacity.
func (p *Planner) countUnderload(demands []groupDemand, capacity float64) {
	demandedJobs := 0.0
	for _, demand := range demands {
		demandedJobs += demand.Jobs
	}
	if demandedJobs <= underloadShare*capacity {
		p.underloadEpochs++
	} else {
		p.underloadEpochs = 0
	}
}

// assignShares sets a share for each group whose demand can't be met as a whole. If the policy
// can't name them all, the groups with the least demand have one share in common, together with
// groups that are still unknown.
func (p *Planner) assignShares(next *Policy, demands []groupDemand, allocated []float64) {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[b].Jobs, demands[a].Jobs) })
	var restDemand, restAllocated float64
	for _, i := range order {
		share := p.nextShare(next.Epoch, demands[i], allocated[i])
		switch {
		case share.OpenPositions() >= Ring:
		case len(next.Shares) < p.settings.MaxShares:
			next.Shares = append(next.Shares, share)
		default:
			restDemand += demands[i].Jobs
			restAllocated += allocated[i]
		}
	}
	if restDemand > 0 {
		next.DefaultShare = p.nextShare(next.Epoch, groupDemand{Jobs: restDemand}, restAllocated)
	}
}

// nextShare advances a group's arc by the fraction of its demand that it is allocated.
func (p *Planner) nextShare(epoch uint64, demand groupDemand, allocated float64) Share {
	fraction := 1.0
	if demand.Jobs > 0 {
		fraction = min(1, allocated/demand.Jobs)
	}
	share := p.currentShare(epoch, demand.Group)
	if step := share.newestStep(); step > 0 {
		fraction = min(fraction, maxStepGrowth*float64(step)/Ring)
	}
	if fraction = max(fraction, minStepShare); fraction >= 1 {
		return FullShare(demand.Group)
	}
	share.Demand = math.Round(demand.Jobs*10) / 10
	share.advanceArc(uint64(fraction * Ring))
	return share
}

// currentShare returns a group's share of the last epoch, or a new one. A new arc begins at a position
// that depends on the epoch, so that no job is always among the last.
func (p *Planner) currentShare(epoch uint64, group Group) Share {
	if p.policy != nil {
		if last := p.policy.shareOf(group); last.Group == group && last.OpenPositions() < Ring {
			return *last
		}
	}
	return Share{Group: group, Tail: uint32(epoch * 0x9E3779B97F4A7C15 >> 32)}
}
