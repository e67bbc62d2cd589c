package recovery

import (
	"math"
	"time"
)

// Operation is a kind of operation that has a budget: a command to a worker, or a request to the
// cloud.
type Operation int

// The kinds of operations.
const (
	StartTask Operation = iota
	StopTask
	RentMachine
	ReturnMachine

	operationKinds
)

// operationNames are the names of the kinds in status responses and metrics.
var operationNames = [operationKinds]string{"start", "stop", "rent", "return"}

// String returns the name of the kind in status responses and metrics.
func (o Operation) String() string { return operationNames[o] }

// Urgency is the urgency of an operation. More urgent ones may use more of a budget.
type Urgency int

// The urgencies, most urgent first.
const (
	// CancelledWork: the operation stops cancelled work and never waits.
	CancelledWork Urgency = iota
	// LatencySensitive: the operation is for jobs of priority prod or urgent.
	LatencySensitive
	// OrdinaryWork: all other operations.
	OrdinaryWork
)

// Limits are the operators' settings for the rates of operations, as ratios to a worker lease.
type Limits struct {
	// RefillLeases is the time, in worker leases, within which tasks may be started on all cores.
	RefillLeases float64
	// ReplaceLeases is the time, in worker leases, within which all machines may be rented or
	// returned.
	ReplaceLeases float64
}

// grantedRateShare is the share of the rate that is granted, because responses sent one after the
// other may arrive together: at the whole rate, a thousand emulated workers received an eighth more
// than the limit in some second.
const grantedRateShare = 0.75

// stopRateShare is the rate of stops as a ratio to that of starts. It does not limit stops of
// cancelled work.
const stopRateShare = 0.5

// Sizes of bursts.
const (
	// taskBurstShare is the part of a heartbeat interval whose starts may be granted at once. A
	// controller responds in batches, and tokens that exceed the burst between two batches are
	// lost. With bursts of one machine's cores, 4,000 machines got half of the rate.
	taskBurstShare = 1.0 / 24
	// minTaskBurst is the least burst of starts and stops.
	minTaskBurst = 4
	// minMachineBurst is the least burst of rentals and returns: one rental may ask for several
	// machines.
	minMachineBurst = 20
	// machineBurstDivisor is the divisor of the machine count that gives the burst of rentals and
	// returns of a larger fleet.
	machineBurstDivisor = 16
)

// Rate is the limit of one kind of operation: a rate, and a burst on top.
type Rate struct {
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
}

// PerWindow returns the maximum number of operations of the kind in any window of a second.
func (r Rate) PerWindow() float64 { return r.PerSecond + r.Burst }

// Rates are the limits of all kinds of operations.
type Rates [operationKinds]Rate

// Rates returns the limits for a fleet with a number of machines and cores. largestCores is the
// number of cores of its largest machine.
func (s Settings) Rates(machines int, cores, largestCores float64) Rates {
	return s.ratesFor(View{Machines: machines, Cores: cores, LargestCores: largestCores})
}

// ratesFor returns the limits for the fleet in a view.
func (s Settings) ratesFor(view View) Rates {
	refillSeconds := math.Max(s.Limits.RefillLeases*s.WorkerLease.Seconds(), 1e-3)
	replaceSeconds := math.Max(s.Limits.ReplaceLeases*s.WorkerLease.Seconds(), 1e-3)
	perSecond := view.Cores / refillSeconds
	startRate := Rate{perSecond,
		max(minTaskBurst, view.LargestCores, perSecond*s.HeartbeatInterval.Seconds()*taskBurstShare)}
	machineRate := Rate{math.Max(minMachineBurst, float64(view.Machines)) / replaceSeconds,
		math.Max(minMachineBurst, float64(view.Machines)/machineBurstDivisor)}
	return Rates{
		StartTask: startRate, StopTask: {startRate.PerSecond * stopRateShare, startRate.Burst},
		RentMachine: machineRate, ReturnMachine: machineRate,
	}
}

// Reserves of a budget, as shares of its burst. Ordinary operations wait below them, so that tokens
// are left for more urgent ones.
const (
	ordinaryReserve  = 0.25 // for teams that are not ahead of a waiting team
	aheadTeamReserve = 0.5  // for teams that are ahead of a waiting team
)

// pacer holds a token bucket for each kind of operation, and the usage of each team.
type pacer struct {
	rates      Rates
	tokens     [operationKinds]float64
	refilledAt [operationKinds]time.Duration
	teams      map[string]*teamUsage
}

// teamUsage is the number of operations granted to a team, and when one was last refused.
type teamUsage struct {
	granted        float64
	lastDeferredAt time.Duration
}

// newPacer returns a pacer with empty buckets for tasks and a minimum burst for machines.
func newPacer(now time.Duration) pacer {
	p := pacer{teams: map[string]*teamUsage{}}
	for i := range p.refilledAt {
		p.refilledAt[i] = now
	}
	// With empty buckets, a small fleet would wait for seconds for its first machine.
	p.tokens[RentMachine], p.tokens[ReturnMachine] = minMachineBurst, minMachineBurst
	return p
}

// setRates sets the rates. The levels stay as they are, so the buckets of tasks start empty: the
// previous leader may have used its whole burst just before.
func (p *pacer) setRates(rates Rates) { p.rates = rates }

// refillBucket adds the tokens of the time since the bucket was last refilled.
func (p *pacer) refillBucket(now time.Duration, operation Operation) {
	rate := p.rates[operation]
	p.tokens[operation] = math.Min(rate.Burst,
		p.tokens[operation]+grantedRateShare*rate.PerSecond*(now-p.refilledAt[operation]).Seconds())
	p.refilledAt[operation] = now
}

// Allow reports whether an operation is within its budget now, and takes it from the budget. The
// team is empty for operations that belong to none.
func (r *Recovery) Allow(now time.Duration, operation Operation, urgency Urgency, team string) bool {
	if r.phase == PhaseNormal {
		return true
	}
	pacer := &r.pacer
	pacer.refillBucket(now, operation)
	usage := pacer.teams[team]
	if usage == nil {
		usage = &teamUsage{lastDeferredAt: -r.settings.WorkerLease}
		pacer.teams[team] = usage
	}
	tokens, burst := pacer.tokens[operation], pacer.rates[operation].Burst
	switch urgency {
	case CancelledWork:
	case LatencySensitive:
		if tokens < 1 {
			return r.deferOperation(now, operation, usage)
		}
	default:
		reserve := ordinaryReserve
		if pacer.isAheadOfWaitingTeam(now, usage, r.settings.HeartbeatInterval) {
			reserve = aheadTeamReserve
		}
		if tokens < math.Max(1, reserve*burst) {
			return r.deferOperation(now, operation, usage)
		}
	}
	// Stops of cancelled work may overdraw the budget by one burst.
	pacer.tokens[operation] = math.Max(pacer.tokens[operation]-1, -burst)
	usage.granted++
	return true
}

// deferOperation records that an operation has to wait, and returns false. Rentals that wait don't
// prolong the recovery, because there are always some while the cloud has too few machines.
func (r *Recovery) deferOperation(now time.Duration, operation Operation, usage *teamUsage) bool {
	if operation != RentMachine {
		r.lastDeferredAt = now
	}
	usage.lastDeferredAt = now
	return false
}

// RefundOperations returns to the budget what was taken for operations that were not carried out.
func (r *Recovery) RefundOperations(now time.Duration, operation Operation, count int) {
	if r.phase == PhaseNormal || count <= 0 {
		return
	}
	r.pacer.refillBucket(now, operation)
	r.pacer.tokens[operation] = math.Min(r.pacer.rates[operation].Burst, r.pacer.tokens[operation]+float64(count))
}

// isAheadOfWaitingTeam reports whether a team has been granted more operations than another one
// that had to wait within the window.
func (p *pacer) isAheadOfWaitingTeam(now time.Duration, usage *teamUsage, window time.Duration) bool {
	for _, other := range p.teams {
		if other != usage && other.granted < usage.granted && now-other.lastDeferredAt < window {
			return true
		}
	}
	return false
}

// Budget is the remaining budget of a kind of operation, as operators see it.
type Budget struct {
	Operation string  `json:"order"`
	Remaining float64 `json:"left"`
	Rate
}

// Budgets lists the present budgets. There are none once the recovery is completed.
func (r *Recovery) Budgets(now time.Duration) []Budget {
	if r.phase == PhaseNormal {
		return nil
	}
	var budgets []Budget
	for operation := range operationKinds {
		r.pacer.refillBucket(now, operation)
		budgets = append(budgets, Budget{Operation: operation.String(),
			Remaining: math.Floor(r.pacer.tokens[operation]*10) / 10, Rate: r.pacer.rates[operation]})
	}
	return budgets
}
