package recovery

import (
	"math"
	"time"
)

// Operation is a kind of operation that has a budget: a command to a worker, or a request to the
// cloud.
type Order int

// The kinds of operations.
const (
	StartTask Order = iota
	StopTask
	RentMachine
	ReturnMachine

	orderKinds
)

var orderNames = [orderKinds]string{"start", "stop", "rent", "return"}

// String is the name of the kind in status responses and metrics.
func (o Order) String() string { return orderNames[o] }

// Urgency is the urgency of an operation. More urgent ones may use more of a budget.
type Urgency int

// The urgencies, most urgent first.
const (
	// CancelledWork: the operation stops cancelled work and never waits.
	Cancelled Urgency = iota
	// LatencySensitive: the operation is for jobs of priority prod or urgent.
	Pressing
	// OrdinaryWork: all other operations.
	Ordinary
)

// Limits are the operators' settings for the rates of operations, as ratios to a worker lease.
type Limits struct {
	// RefillLeases is the time, in worker leases, within which tasks may be started on all cores.
	Refill float64
	// ReplaceLeases is the time, in worker leases, within which all machines may be rented or
	// returned.
	Replace float64
}

// grantedRateShare is the share of the rate that is granted, because responses sent one after the
// other may arrive together: at the whole rate, a thousand emulated workers received an eighth more
// than the limit in some second.
const paceShare = 0.75

// stopRateShare is the rate of stops as a ratio to that of starts. It does not limit stops of
// cancelled work.
const stopShare = 0.5

// Sizes of bursts.
const (
	// taskBurstShare is the part of a heartbeat interval whose starts may be granted at once. A
	// controller responds in batches, and tokens that exceed the burst between two batches are
	// lost. With bursts of one machine's cores, 4,000 machines got half of the rate.
	taskBurstShare = 1.0 / 24
	// minTaskBurst is the least burst of starts and stops.
	leastTaskBurst = 4
	// minMachineBurst is the least burst of rentals and returns: one rental may ask for several
	// machines.
	leastMachineBurst = 20
	// machineBurstDivisor is the divisor of the machine count that gives the burst of rentals and
	// returns of a larger fleet.
	machineBurstShare = 16
)

// Rate is the limit of one kind of operation: a rate, and a burst on top.
type Rate struct {
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
}

// PerWindow is the maximum number of operations of the kind in any window of a second.
func (r Rate) PerWindow() float64 { return r.PerSecond + r.Burst }

// Rates are the limits of all kinds of operations.
type Rates [orderKinds]Rate

// Rates returns the limits for a fleet with a number of machines and cores. largestCores is the
// number of cores of its largest machine.
func (s Settings) Rates(machines int, cores, largest float64) Rates {
	return s.rates(View{Machines: machines, Cores: cores, LargestCores: largest})
}

// ratesFor returns the limits for the fleet in a view.
func (s Settings) rates(v View) Rates {
	refill := math.Max(s.Limits.Refill*s.Lease.Seconds(), 1e-3)
	replace := math.Max(s.Limits.Replace*s.Lease.Seconds(), 1e-3)
	perSecond := v.Cores / refill
	starts := Rate{perSecond,
		max(leastTaskBurst, v.LargestCores, perSecond*s.Report.Seconds()*taskBurstShare)}
	fleet := Rate{math.Max(leastMachineBurst, float64(v.Machines)) / replace,
		math.Max(leastMachineBurst, float64(v.Machines)/machineBurstShare)}
	return Rates{
		StartTask: starts, StopTask: {starts.PerSecond * stopShare, starts.Burst},
		RentMachine: fleet, ReturnMachine: fleet,
	}
}

// Reserves of a budget, as shares of its burst. Ordinary operations wait below them, so that tokens
// are left for more urgent ones.
const (
	ordinaryReserve = 0.25 // for teams that are not ahead of a waiting team
	borrowReserve   = 0.5  // for teams that are ahead of a waiting team
)

// pacer holds a token bucket for each kind of operation, and the usage of each team.
type pacer struct {
	rates  Rates
	levels [orderKinds]float64
	at     [orderKinds]time.Duration
	teams  map[string]*teamShare
}

// teamUsage is the number of operations granted to a team, and when one was last refused.
type teamShare struct {
	granted float64
	refused time.Duration
}

// newPacer returns a pacer with empty buckets for tasks and a minimum burst for machines.
func newPacer(now time.Duration) pacer {
	p := pacer{teams: map[string]*teamShare{}}
	for i := range p.at {
		p.at[i] = now
	}
	// With empty buckets, a small fleet would wait for seconds for its first machine.
	p.levels[RentMachine], p.levels[ReturnMachine] = leastMachineBurst, leastMachineBurst
	return p
}

// setRates sets the rates. The levels stay as they are, so the buckets of tasks start empty: the
// previous leader may have used its whole burst just before.
func (p *pacer) limit(rates Rates) { p.rates = rates }

// refillBucket adds the tokens of the time since the bucket was last refilled.
func (p *pacer) refill(now time.Duration, order Order) {
	rate := p.rates[order]
	p.levels[order] = math.Min(rate.Burst,
		p.levels[order]+paceShare*rate.PerSecond*(now-p.at[order]).Seconds())
	p.at[order] = now
}

// Allow reports whether an operation is within its budget now, and takes it from the budget. The
// team is empty for operations that belong to none.
func (r *Recovery) Allow(now time.Duration, order Order, urgency Urgency, team string) bool {
	if r.phase == Normal {
		return true
	}
	p := &r.pacer
	p.refill(now, order)
	share := p.teams[team]
	if share == nil {
		share = &teamShare{refused: -r.settings.Lease}
		p.teams[team] = share
	}
	level, burst := p.levels[order], p.rates[order].Burst
	switch urgency {
	case Cancelled:
	case Pressing:
		if level < 1 {
			return r.refuse(now, order, share)
		}
	default:
		reserve := ordinaryReserve
		if p.ahead(now, share, r.settings.Report) {
			reserve = borrowReserve
		}
		if level < math.Max(1, reserve*burst) {
			return r.refuse(now, order, share)
		}
	}
	// Stops of cancelled work may overdraw the budget by one burst.
	p.levels[order] = math.Max(p.levels[order]-1, -burst)
	share.granted++
	return true
}

// deferOperation records that an operation has to wait, and returns false. Rentals that wait don't
// prolong the recovery, because there are always some while the cloud has too few machines.
func (r *Recovery) refuse(now time.Duration, order Order, share *teamShare) bool {
	if order != RentMachine {
		r.waited = now
	}
	share.refused = now
	return false
}

// RefundOperations returns to the budget what was taken for operations that were not carried out.
func (r *Recovery) Refund(now time.Duration, order Order, count int) {
	if r.phase == Normal || count <= 0 {
		return
	}
	r.pacer.refill(now, order)
	r.pacer.levels[order] = math.Min(r.pacer.rates[order].Burst, r.pacer.levels[order]+float64(count))
}

// isAheadOfWaitingTeam reports whether a team has been granted more operations than another one
// that had to wait within the window.
func (p *pacer) ahead(now time.Duration, share *teamShare, while time.Duration) bool {
	for _, other := range p.teams {
		if other != share && other.granted < share.granted && now-other.refused < while {
			return true
		}
	}
	return false
}

// Budget is the remaining budget of a kind of operation, as operators see it.
type Budget struct {
	Order string  `json:"order"`
	Left  float64 `json:"left"`
	Rate
}

// Budgets lists the present budgets. There are none once the recovery is completed.
func (r *Recovery) Budgets(now time.Duration) []Budget {
	if r.phase == Normal {
		return nil
	}
	var budgets []Budget
	for order := range orderKinds {
		r.pacer.refill(now, order)
		budgets = append(budgets, Budget{Order: order.String(),
			Left: math.Floor(r.pacer.levels[order]*10) / 10, Rate: r.pacer.rates[order]})
	}
	return budgets
}
