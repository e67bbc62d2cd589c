package admission

import (
	"cmp"
	"maps"
	"slices"
)

// groupDemand is the estimated demand of a group of jobs.
type groupDemand struct {
	Group
	Jobs   float64 // number of jobs that wait to be admitted
	Weight float64 // weight of the group's team, above 0; it grows with the cores guaranteed to the team
}

// floorShare is the fraction of the capacity left after the minimum allocations that is divided
// evenly among teams, and within each team among its groups, regardless of priority. The rest is
// allocated by priority.
const floorShare = 0.25

// allocateCapacity divides the capacity of an epoch, in jobs, among groups in three steps:
//  1. Each group gets the minimum that admits all its jobs within maxEpochs, if the capacity
//     suffices for the minimum of every group. Otherwise this step is skipped.
//  2. floorShare of the remaining capacity is divided evenly among teams, and within each team
//     among its groups.
//  3. The rest is allocated by priority, and among groups of equal priority by weight.
//
// No group gets more than its demand. The result is in the order of demands.
func allocateCapacity(capacity float64, demands []groupDemand, maxEpochs int) []float64 {
	allocated := make([]float64, len(demands))
	if minimum := minimumAllocations(demands, maxEpochs); sum(minimum) <= capacity {
		copy(allocated, minimum)
	}
	floor := (capacity - sum(allocated)) * floorShare
	allocateFloor(floor, demands, allocated)
	allocateByPriority(capacity-sum(allocated), demands, allocated)
	return allocated
}

// minimumAllocations returns the number of jobs per epoch that each group needs for all its waiting
// jobs to be admitted within maxEpochs.
func minimumAllocations(demands []groupDemand, maxEpochs int) []float64 {
	minimum := make([]float64, len(demands))
	for i, demand := range demands {
		minimum[i] = demand.Jobs / float64(max(1, maxEpochs))
	}
	return minimum
}

// allocateFloor divides amount evenly among teams, and within each team among its groups, up to their
// demand. It adds the portions to allocated, which holds what each group has so far.
func allocateFloor(amount float64, demands []groupDemand, allocated []float64) {
	members := map[string][]int{}
	for i, demand := range demands {
		members[demand.Team] = append(members[demand.Team], i)
	}
	teams := slices.Sorted(maps.Keys(members))
	claims := make([]claim, len(teams))
	for teamIndex, team := range teams {
		claims[teamIndex].weight = 1
		for _, i := range members[team] {
			claims[teamIndex].demand += demands[i].Jobs - allocated[i]
		}
	}
	for teamIndex, portion := range divideMaxMin(amount, claims) {
		allocateAmong(portion, members[teams[teamIndex]], demands, allocated, func(groupDemand) float64 { return 1 })
	}
}

// allocateByPriority divides amount among groups, serving the most urgent priority first and equal
// priorities by weight, and adds the portions to allocated.
func allocateByPriority(amount float64, demands []groupDemand, allocated []float64) {
	byRank := map[int][]int{}
	for i, demand := range demands {
		byRank[demand.PriorityRank] = append(byRank[demand.PriorityRank], i)
	}
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		before := sum(allocated)
		byWeight := func(demand groupDemand) float64 { return demand.Weight }
		allocateAmong(amount, byRank[rank], demands, allocated, byWeight)
		amount -= sum(allocated) - before
	}
}

// allocateAmong divides amount among the groups with the indices in members by max-min fairness with
// the given weights, and adds the portions to allocated.
func allocateAmong(amount float64, members []int, demands []groupDemand, allocated []float64,
	weight func(groupDemand) float64) {
	claims := make([]claim, len(members))
	for k, i := range members {
		claims[k] = claim{demand: demands[i].Jobs - allocated[i], weight: weight(demands[i])}
	}
	for k, portion := range divideMaxMin(amount, claims) {
		allocated[members[k]] += portion
	}
}

// claim is a demand on the amount that divideMaxMin divides. The weight must be above 0.
type claim struct{ demand, weight float64 }

// divideMaxMin divides amount among claims by weighted max-min fairness: no claim gets more than its
// demand, and a claim that gets less than its demand gets at least as much, relative to its weight,
// as any other claim. The result is in the order of claims.
func divideMaxMin(amount float64, claims []claim) []float64 {
	portions := make([]float64, len(claims))
	order := make([]int, len(claims))
	remainingWeight := 0.0
	for i, claim := range claims {
		order[i] = i
		remainingWeight += claim.weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].demand/claims[a].weight, claims[b].demand/claims[b].weight)
	})
	for _, i := range order {
		claim := claims[i]
		portions[i] = max(0, min(claim.demand, amount*claim.weight/remainingWeight))
		amount -= portions[i]
		remainingWeight -= claim.weight
	}
	return portions
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}
