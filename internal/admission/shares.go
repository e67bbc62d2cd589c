package admission

import (
	"cmp"
	"maps"
	"slices"
)

// Demand is the number of jobs of a group that wait to be admitted.
type Demand struct {
	Group
	Jobs   float64
	Weight float64 // of its team; a guarantee raises it
}

// floorShare is the part of the capacity that is allotted evenly among teams, and within each
// team among its groups, whatever their priority. The rest is allotted by priority.
const floorShare = 0.25

// AllotCapacity divides a capacity in jobs among groups: first the minimum that each needs for all
// its jobs to be admitted in time, if there is enough for all; then floorShare of what is left
// evenly among teams and among the groups of each; then the rest by priority, and among equal
// priorities by weight. No group gets more than its demand. The result is in the order of the
// demands.
func Allot(capacity float64, demands []Demand, epochsToTurn int) []float64 {
	given := make([]float64, len(demands))
	if least := leastNeeded(demands, epochsToTurn); sum(least) <= capacity {
		copy(given, least)
	}
	floor := (capacity - sum(given)) * floorShare
	allotFloor(floor, demands, given)
	allotByRank(capacity-sum(given), demands, given)
	return given
}

// minimumAllotments is, for each group, the number of jobs per epoch by which all of it is admitted
// within epochsToTurn epochs.
func leastNeeded(demands []Demand, epochsToTurn int) []float64 {
	least := make([]float64, len(demands))
	for i, d := range demands {
		least[i] = d.Jobs / float64(max(1, epochsToTurn))
	}
	return least
}

// allotFloor adds an even portion of the amount for each team and group to the allotments.
func allotFloor(amount float64, demands []Demand, given []float64) {
	members := map[string][]int{}
	for i, d := range demands {
		members[d.Team] = append(members[d.Team], i)
	}
	teams := slices.Sorted(maps.Keys(members))
	wanted := make([]claim, len(teams))
	for t, team := range teams {
		wanted[t].weight = 1
		for _, i := range members[team] {
			wanted[t].demand += demands[i].Jobs - given[i]
		}
	}
	for t, part := range divide(amount, wanted) {
		allotTo(part, members[teams[t]], demands, given, func(Demand) float64 { return 1 })
	}
}

// allotByRank adds portions of the amount to the allotments by priority, most urgent first.
func allotByRank(amount float64, demands []Demand, given []float64) {
	byRank := map[int][]int{}
	for i, d := range demands {
		byRank[d.Rank] = append(byRank[d.Rank], i)
	}
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		before := sum(given)
		allotTo(amount, byRank[rank], demands, given, func(d Demand) float64 { return d.Weight })
		amount -= sum(given) - before
	}
}

// allotToMembers divides an amount among some of the groups.
func allotTo(amount float64, members []int, demands []Demand, given []float64, weight func(Demand) float64) {
	claims := make([]claim, len(members))
	for k, i := range members {
		claims[k] = claim{demand: demands[i].Jobs - given[i], weight: weight(demands[i])}
	}
	for k, part := range divide(amount, claims) {
		given[members[k]] += part
	}
}

// claim is a demand on an amount that is to be divided, and its weight.
type claim struct{ demand, weight float64 }

// divideMaxMin divides an amount by weighted max-min fairness: no claim gets more than its demand,
// and one that gets less gets no less, relative to its weight, than any other claim.
func divide(amount float64, claims []claim) []float64 {
	parts := make([]float64, len(claims))
	order := make([]int, len(claims))
	weights := 0.0
	for i, c := range claims {
		order[i] = i
		weights += c.weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].demand/claims[a].weight, claims[b].demand/claims[b].weight)
	})
	for _, i := range order {
		c := claims[i]
		parts[i] = max(0, min(c.demand, amount*c.weight/weights))
		amount -= parts[i]
		weights -= c.weight
	}
	return parts
}

// sum adds up the values.
func sum(values []float64) float64 {
	all := 0.0
	for _, v := range values {
		all += v
	}
	return all
}
