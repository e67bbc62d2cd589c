package recovery

import (
	"math"
	"time"
)

// Operation is a kind of operation whose rate the recovery limits: a command to a worker, or a
// request to the cloud.
type Operation int

// These are the kinds of operations that have a budget.
const (
	StartTask Operation = iota
	StopTask
	RentMachine
	ReturnMachine

	operationKinds
)

// operationNames contains the names of the kinds in status responses and metrics.
var operationNames = [operationKinds]string{"start", "stop", "rent", "return"}

// String returns the name of the kind in status responses and metrics.
func (o Operation) String() string { return operationNames[o] }

// Urgency is the urgency of an operation. More urgent operations may use a larger part of a budget.
type Urgency int

// These are the urgencies in descending order.
const (
	// CancelledWork is the urgency of stopping cancelled work. Such operations never wait.
	CancelledWork Urgency = iota
	// LatencySensitive is the urgency of operations for jobs of priority prod or urgent, and of
	// rentals and returns of machines.
	LatencySensitive
	// OrdinaryWork is the urgency of all other operations.
	OrdinaryWork
)

// Limits contains the operators' settings for the rates of operations, in worker leases.
type Limits struct {
	// RefillLeases is the time in worker leases within which the leader may start tasks on all
	// cores.
	RefillLeases float64
	// ReplaceLeases is the time in worker leases within which the leader may rent or return all
	// machines.
	ReplaceLeases float64
}

// grantedRateShare is the share of the rate that is granted. It is below 1 because responses sent one
// after the other may arrive together. When the whole rate was granted, a thousand emulated workers received
// an eighth more than the limit in some second.
const grantedRateShare = 0.75

// stopRateShare is the ratio of the rate of stops to the rate of starts. Stops of cancelled work are
// not limited by it.
const stopRateShare = 0.5

// These constants determine the bursts, which are the capacities of the token buckets.
const (
	// taskBurstShare is the fraction of a heartbeat interval whose starts may be granted at once. A
	// controller responds in batches, and tokens that exceed the burst between two batches are
	// lost. When the burst was the cores of one machine, 4,000 machines got half of the rate.
	taskBurstShare = 1.0 / 24
	// minTaskBurst is the minimum burst of starts and stops.
	minTaskBurst = 4
	// minMachineBurst is the minimum burst of rentals and returns. It is above 1 because one rental
	// may request several machines.
	minMachineBurst = 20
	// machineBurstDivisor limits the burst of rentals and returns in large fleets to
	// 1/machineBurstDivisor of the machines.
	machineBurstDivisor = 16
)

// Rate is the limit of one kind of operation: a sustained rate, and a burst in addition to it.
type Rate struct {
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
}

// MaxInOneSecond returns the maximum number of operations of the kind in any period of one second.
func (r Rate) MaxInOneSecond() float64 { return r.PerSecond + r.Burst }

// Rates contains the limits of all kinds of operations, indexed by Operation.
type Rates [operationKinds]Rate

// Rates returns the limits for a fleet of the given machines and total cores. largestCores is the
// number of cores of its largest machine.
func (s Settings) Rates(machines int, cores, largestCores float64) Rates {
	return s.ratesFor(View{Machines: machines, Cores: cores, LargestCores: largestCores})
}

// ratesFor returns the limits for the fleet that a view describes.
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

// These are the reserves of a budget as shares of its burst. Ordinary operations wait while the
// tokens are below the reserve, so that tokens are left for more urgent operations. A team is ahead of
// another team if more operations were granted to it.
const (
	ordinaryReserve  = 0.25 // applies to teams that are not ahead of a waiting team
	aheadTeamReserve = 0.5  // applies to teams that are ahead of a waiting team
)

// pacer contains a token bucket for each kind of operation, and the usage of each team.
type pacer struct {
	rates      Rates
	tokens     [operationKinds]float64
	refilledAt [operationKinds]time.Duration
	teams      map[string]*teamUsage
}

// teamUsage is the number of operations granted to a team, and the time at which one last had to
// wait.
type teamUsage struct {
	granted        float64
	lastDeferredAt time.Duration
}

// newPacer returns a pacer with empty buckets for starts and stops, and with minMachineBurst tokens
// for rentals and returns.
func newPacer(now time.Duration) pacer {
	p := pacer{teams: map[string]*teamUsage{}}
	for i := range p.refilledAt {
		p.refilledAt[i] = now
	}
	// If these buckets were empty too, a small fleet would wait for seconds for its first machine.
	p.tokens[RentMachine], p.tokens[ReturnMachine] = minMachineBurst, minMachineBurst
	return p
}

// setRates sets the rates and leaves the tokens unchanged. In a new recovery, the buckets for starts and
// stops thus stay empty at first: the previous leader may just have used its whole burst.
func (p *pacer) setRates(rates Rates) { p.rates = rates }

// refillBucket adds the tokens for the time since the last refill, up to the burst.
func (p *pacer) refillBucket(now time.Duration, operation Operation) {
	rate := p.rates[operation]
	p.tokens[operation] = math.Min(rate.Burst,
		p.tokens[operation]+grantedRateShare*rate.PerSecond*(now-p.refilledAt[operation]).Seconds())
	p.refilledAt[operation] = now
}

// Allow reports whether an operation is within its budget now. If so, Allow takes one token from
// the budget. team is empty for operations that belong to no team.
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

// deferOperation records that an operation of a team has to wait. It returns false, the result of
// Allow. A waiting rental doesn't prolong the recovery, because rentals keep waiting for as long as
// the cloud has too few machines.
func (r *Recovery) deferOperation(now time.Duration, operation Operation, usage *teamUsage) bool {
	if operation != RentMachine {
		r.lastDeferredAt = now
	}
	usage.lastDeferredAt = now
	return false
}

// RefundOperations refunds count operations that were taken from the budget but not carried out.
func (r *Recovery) RefundOperations(now time.Duration, operation Operation, count int) {
	if r.phase == PhaseNormal || count <= 0 {
		return
	}
	r.pacer.refillBucket(now, operation)
	r.pacer.tokens[operation] = math.Min(r.pacer.rates[operation].Burst, r.pacer.tokens[operation]+float64(count))
}

// isAheadOfWaitingTeam reports whether a team has been granted more operations than another team
// that had to wait within the last period of length window.
func (p *pacer) isAheadOfWaitingTeam(now time.Duration, usage *teamUsage, window time.Duration) bool {
	for _, other := range p.teams {
		if other != usage && other.granted < usage.granted && now-other.lastDeferredAt < window {
			return true
		}
	}
	return false
}

// Budget is the remaining budget of a kind of operation, in the status for operators.
type Budget struct {
	Operation string  `json:"order"`
	Remaining float64 `json:"left"`
	Rate
}

// Budgets returns the budgets at now, or nil if the recovery is completed.
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
