package admission

import (
	"cmp"
	"maps"
	"slices"
)

// groupDemand is the number of jobs of a group that wait to be admitted.
type groupDemand struct {
	Group
	Jobs   float64
	Weight float64 // of its team; a guarantee raises it
}

// floorShare is the part of the capacity that is allocated evenly among teams, and within each
// team among its groups, whatever their priority. The rest is allocated by priority.
const floorShare = 0.25

// allocateCapacity divides a capacity in jobs among groups: first the minimum that each needs for all
// its jobs to be admitted in time, if there is enough for all; then floorShare of what is left
// evenly among teams and among the groups of each; then the rest by priority, and among equal
// priorities by weight. No group gets more than its demand. The result is in the order of the
// demands.
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

// minimumAllocations returns, for each group, the number of jobs per epoch by which all of it is
// admitted within maxEpochs epochs.
func minimumAllocations(demands []groupDemand, maxEpochs int) []float64 {
	minimum := make([]float64, len(demands))
	for i, demand := range demands {
		minimum[i] = demand.Jobs / float64(max(1, maxEpochs))
	}
	return minimum
}

// allocateFloor adds an even portion of the amount for each team and group to the allotments.
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

// allocateByPriority adds portions of the amount to the allotments by priority, most urgent first.
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

// allocateAmong divides an amount among some of the groups.
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

// claim is a demand on an amount that is to be divided, and its weight.
type claim struct{ demand, weight float64 }

// divideMaxMin divides an amount by weighted max-min fairness: no claim gets more than its demand,
// and one that gets less gets no less, relative to its weight, than any other claim.
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

// sum adds up the values.
func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}
