package admission

import (
	"cmp"
	"math"
	"slices"
)

// Load counts the outcomes of a group's submissions during an epoch, on all controllers.
type Load struct {
	Group
	Weight              float64 // weight of the group's team
	Accepted            int     // accepted jobs
	RejectedForCapacity int     // jobs that the policy admits but that were rejected for lack of capacity
	RejectedByPolicy    int     // submission attempts that the policy does not admit yet
}

// Capacity is the number of jobs that can be accepted in an epoch.
type Capacity struct {
	Jobs float64
	// MemoryLimited means that Jobs is limited by the memory for open jobs, and not by the rate of writes.
	// A policy can then be needed before any submission has been rejected for lack of capacity, because no
	// more than Jobs may be accepted.
	MemoryLimited bool
}

// Settings are the bounds of the policies that a Planner computes.
type Settings struct {
	EpochLengthMS          int64 // length of an epoch in milliseconds
	MaxEpochsUntilAdmitted int   // number of epochs within which each job should be admitted
	MaxShares              int   // number of groups that may have a share of their own
}

// Planner computes the policy of each epoch on the leader. It keeps estimates of the demand from one epoch
// to the next.
type Planner struct {
	settings        Settings
	policy          *Policy
	estimates       map[Group]*demandEstimate
	underloadEpochs int // number of consecutive epochs with demand well below the capacity
}

// These constants parametrize the control loop of the Planner.
const (
	// underloadShare is the fraction of the capacity that the demand must not exceed in each of
	// underloadEpochsToEnd consecutive epochs before a policy ends. A policy starts only when the
	// demand exceeds the whole capacity. The hysteresis keeps the policy from being switched on and
	// off while the load is close to the capacity.
	underloadShare       = 0.7
	underloadEpochsToEnd = 3
	// targetUtilization is the fraction of the capacity that is allocated. The rest is a margin for
	// users who retry late, and for newly submitted jobs at positions that the arc already covers.
	targetUtilization = 0.9
	// maxStepGrowth is the largest factor by which a step grows from one epoch to the next. The
	// growth is limited because the demand is only estimated from recently admitted jobs.
	maxStepGrowth = 2.0
	// sampleRetention is the factor by which the weight of older samples in a demandEstimate decays
	// per epoch.
	sampleRetention = 0.6
	// minStepShare is the smallest step, as a fraction of the ring. It bounds the number of epochs
	// until a job is admitted, however wrong the estimates are.
	minStepShare = 1.0 / 4096
	// negligibleDemand is the demand, in jobs, below which the estimate of a group is dropped, unless the
	// group has a share of its own.
	negligibleDemand = 0.01
)

// NewPlanner returns a Planner that continues from policy, which an earlier leader published. A nil
// policy means that there is none.
func NewPlanner(settings Settings, policy *Policy) *Planner {
	planner := &Planner{settings: settings, policy: policy, estimates: map[Group]*demandEstimate{}}
	if policy != nil {
		for _, share := range policy.Shares {
			planner.estimates[share.Group] = &demandEstimate{admittedJobs: share.Demand, sampledShare: 1}
		}
	}
	return planner
}

// Policy returns the policy of the current epoch, or nil if there is none.
func (p *Planner) Policy() *Policy { return p.policy }

// NextPolicy computes the policy of the next epoch from the loads of the epoch that ends and the
// capacity of the next one. It returns nil while there is no overload. The first policy after an
// interval without one gets the epoch number firstEpoch.
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
	p.assignShares(next, demands,
		allocateCapacity(targetUtilization*capacity.Jobs, demands, p.settings.MaxEpochsUntilAdmitted))
	p.policy = next
	return next
}

// overloaded reports whether an epoch's submissions exceeded the capacity and a policy is needed:
// some of them were rejected, or the capacity is limited by memory.
func overloaded(loads []Load, capacity Capacity) bool {
	accepted, rejected := 0, 0
	for _, load := range loads {
		accepted += load.Accepted
		rejected += load.RejectedForCapacity
	}
	return (rejected > 0 || capacity.MemoryLimited) && float64(accepted+rejected) > capacity.Jobs
}

// demandEstimate estimates a group's demand by sampling the ring. The number of jobs that the newest
// step of the arc admitted, divided by the step's fraction of the ring, estimates the number of jobs
// that wait on the whole ring. Both values are summed over the epochs with exponential decay before
// the division, so that an epoch with few or no jobs changes the estimate only a little.
type demandEstimate struct {
	admittedJobs float64 // decayed sum of the jobs that the newest steps admitted
	sampledShare float64 // decayed sum of the fractions of the ring that those steps cover
	weight       float64 // weight of the group's team; 0 if it is not known yet
}

// demand returns the estimated number of jobs that wait to be admitted.
func (e *demandEstimate) demand() float64 { return e.admittedJobs / e.sampledShare }

// updateEstimates updates the estimates from the loads of an epoch. It drops estimates of negligible
// demand, except those of groups with a share of their own.
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

// addSample adds to a group's estimate the number of jobs that the newest step of its arc admitted in
// an epoch. Without a policy all jobs were admitted, and the sample replaces the estimate.
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

// demands returns the demands of all groups, sorted by team, class and priority.
func (p *Planner) demands() []groupDemand {
	demands := make([]groupDemand, 0, len(p.estimates))
	for group, estimate := range p.estimates {
		weight := estimate.weight
		if weight <= 0 {
			weight = 1 // the group was read from a stored policy and has had no submission since
		}
		demands = append(demands, groupDemand{Group: group, Jobs: estimate.demand(), Weight: weight})
	}
	slices.SortFunc(demands, func(a, b groupDemand) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class), a.PriorityRank-b.PriorityRank)
	})
	return demands
}

// countUnderload counts the consecutive epochs in which the demand is at most underloadShare of the
// capacity.
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

// assignShares gives next a share for each group whose demand can't be met in full. If there are more
// than MaxShares of them, those with the lowest demand use the default share, together with groups
// that have not submitted a job yet.
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
		case share.AdmittedPositions() >= Ring: // the default share admits the group as a whole
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

// nextShare returns a group's share for the next epoch. The arc advances by the fraction of the
// group's demand for which capacity is allocated, within the bounds of maxStepGrowth and
// minStepShare.
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

// currentShare returns a group's share in the current policy, or a new one if the group has no
// share of its own or is admitted as a whole. A new arc begins at a position that depends on the
// epoch, so that no job is always among the last to be admitted.
func (p *Planner) currentShare(epoch uint64, group Group) Share {
	if p.policy != nil {
		if last := p.policy.shareOf(group); last.Group == group && last.AdmittedPositions() < Ring {
			return *last
		}
	}
	return Share{Group: group, Start: uint32(epoch * 0x9E3779B97F4A7C15 >> 32)}
}
