package recovery

import (
	"math"
	"time"
)

// Order is a kind of order that has a budget.
type Order int

// The kinds of orders.
const (
	StartTask Order = iota
	StopTask
	RentMachine
	ReturnMachine

	orderKinds
)

var orderNames = [orderKinds]string{"start", "stop", "rent", "return"}

// String names the kind of order as status pages and metrics do.
func (o Order) String() string { return orderNames[o] }

// Urgency orders what waits for a budget.
type Urgency int

// The urgencies, most urgent first.
const (
	// Cancelled: it ends cancelled work, and never waits.
	Cancelled Urgency = iota
	// Pressing: it is for prod or urgent jobs.
	Pressing
	// Ordinary: the rest.
	Ordinary
)

// Limits are the operators' settings for the rates of orders, as ratios.
type Limits struct {
	// Refill is the part of a worker lease within which all cores may be filled anew.
	Refill float64
	// Replace is the part of a worker lease within which all machines may be rented or returned.
	Replace float64
}

// paceShare of the rate is given out, as answers that left one after the other may arrive together:
// at the whole rate, a thousand emulated workers received an eighth more than the limit in some second.
const paceShare = 0.75

// stopShare is the rate of stops as a ratio to that of starts. Cancelled work is not part of it.
const stopShare = 0.5

// Bursts: a rental asks for a few machines at once.
const (
	// taskBurstShare is the part of a report interval whose starts may come at once: a controller
	// answers in batches, and what its budget could not hold between two of them is lost. With bursts
	// of one machine's cores, 4,000 machines got half of the rate.
	taskBurstShare    = 1.0 / 24
	leastTaskBurst    = 4
	leastMachineBurst = 20
	// machineBurstShare is one machine in so many that may be rented or returned at once.
	machineBurstShare = 16
)

// Rate is the limit of one kind of order: so many a second, and so many at once on top.
type Rate struct {
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
}

// PerWindow is the most orders of the kind that any window of a second can hold.
func (r Rate) PerWindow() float64 { return r.PerSecond + r.Burst }

// Rates are the limits of all kinds of orders.
type Rates [orderKinds]Rate

// Rates is what the limits come to for a fleet of so many machines and cores; largest is the cores
// of its largest machine.
func (s Settings) Rates(machines int, cores, largest float64) Rates {
	return s.rates(View{Machines: machines, Cores: cores, LargestCores: largest})
}

func (s Settings) rates(v View) Rates {
	refill := math.Max(s.Limits.Refill*s.Lease.Seconds(), 1e-3)
	replace := math.Max(s.Limits.Replace*s.Lease.Seconds(), 1e-3)
	perSecond := v.Cores / refill
	starts := Rate{perSecond, max(leastTaskBurst, v.LargestCores, perSecond*s.Report.Seconds()*taskBurstShare)}
	fleet := Rate{math.Max(leastMachineBurst, float64(v.Machines)) / replace, math.Max(leastMachineBurst, float64(v.Machines)/machineBurstShare)}
	return Rates{
		StartTask: starts, StopTask: {starts.PerSecond * stopShare, starts.Burst},
		RentMachine: fleet, ReturnMachine: fleet,
	}
}

// Thresholds of a budget, as shares of its burst: below them, orders of some urgency wait, so
// that more urgent ones find something left.
const (
	ordinaryReserve = 0.25 // of teams that have had the least
	borrowReserve   = 0.5  // of teams that have had more than another that asks
)

// pacer holds a token bucket for each kind of order, and what each team has had of the starts.
type pacer struct {
	rates  Rates
	levels [orderKinds]float64
	at     [orderKinds]time.Duration
	teams  map[string]*teamShare
}

// teamShare is what a team has had, and when it last had to wait.
type teamShare struct {
	granted float64
	refused time.Duration
}

func newPacer(now time.Duration) pacer {
	p := pacer{teams: map[string]*teamShare{}}
	for i := range p.at {
		p.at[i] = now
	}
	// A small fleet would wait for seconds for its first machine.
	p.levels[RentMachine], p.levels[ReturnMachine] = leastMachineBurst, leastMachineBurst
	return p
}

// limit sets the rates. Budgets of tasks begin empty: a leader that follows another one has no
// more to give in its first moment than time has brought.
func (p *pacer) limit(rates Rates) { p.rates = rates }

func (p *pacer) refill(now time.Duration, order Order) {
	rate := p.rates[order]
	p.levels[order] = math.Min(rate.Burst, p.levels[order]+paceShare*rate.PerSecond*(now-p.at[order]).Seconds())
	p.at[order] = now
}

// Allow tells whether an order may be given now, and takes it from its budget. Orders for no team
// in particular name none.
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
	p.levels[order] = math.Max(p.levels[order]-1, -burst) // cancelled work may overdraw it, but not for long
	share.granted++
	return true
}

// refuse notes that an order has to wait. Rentals don't prolong the recovery: where the cloud has too
// few machines, there are always some to ask for.
func (r *Recovery) refuse(now time.Duration, order Order, share *teamShare) bool {
	if order != RentMachine {
		r.waited = now
	}
	share.refused = now
	return false
}

// Refund gives back what was taken from a budget for orders that came to nothing.
func (r *Recovery) Refund(now time.Duration, order Order, count int) {
	if r.phase == Normal || count <= 0 {
		return
	}
	r.pacer.refill(now, order)
	r.pacer.levels[order] = math.Min(r.pacer.rates[order].Burst, r.pacer.levels[order]+float64(count))
}

// ahead tells whether a team has had more than another one that had to wait within a while.
func (p *pacer) ahead(now time.Duration, share *teamShare, while time.Duration) bool {
	for _, other := range p.teams {
		if other != share && other.granted < share.granted && now-other.refused < while {
			return true
		}
	}
	return false
}

// Budget is what is left of a kind of order.
type Budget struct {
	Order string  `json:"order"`
	Left  float64 `json:"left"`
	Rate
}

// Budgets lists the budgets at a moment; there are none once the recovery is over.
func (r *Recovery) Budgets(now time.Duration) []Budget {
	if r.phase == Normal {
		return nil
	}
	var budgets []Budget
	for order := range orderKinds {
		r.pacer.refill(now, order)
		budgets = append(budgets, Budget{Order: order.String(), Left: math.Floor(r.pacer.levels[order]*10) / 10, Rate: r.pacer.rates[order]})
	}
	return budgets
}
