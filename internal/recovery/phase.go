// Package recovery decides how a new leader goes from stored records and workers' reports to
// normal work: which phase it is in, what it does with each task and machine that is not as
// stored, and how fast it gives orders. It is pure: the caller brings the time and what it sees,
// and carries out what is decided.
package recovery

import (
	"fmt"
	"time"
)

// Phase is how far a leader's recovery is. Each phase ends by a condition, and at the latest by
// a bound that is a ratio to the workers' lease.
type Phase int

// The phases, in their order.
const (
	// Reading: the stored records are read; nothing is ordered.
	Reading Phase = iota
	// Collecting: reports of the recorded machines come in. Work that no earlier leader can have
	// started is started; machines are rented for no more than what those that are not accounted for
	// can't be serving, and none is returned for its silence.
	Collecting
	// Reconciling: most machines are accounted for, or no more of them report. Silent ones are
	// returned.
	Reconciling
	// Pacing: all machines are accounted for; what has to start again starts at a limited rate.
	Pacing
	// Normal: nothing is limited any more.
	Normal
)

var phaseNames = [...]string{"reading", "collecting", "reconciling", "pacing", "normal"}

// String names the phase as operators read it.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return phaseNames[p]
}

// The ends of phases.
const (
	// fewUnknown: one machine in so many may be missing when reports are taken to be collected.
	fewUnknown = 10
	// collectShare is the part of a lease after which collecting ends in any case.
	collectShare = 0.45
	// fewSilence is the part of a lease for which a machine is waited for, where few are missing.
	fewSilence = 0.25
	// newsReports is for how many report intervals no machine may have been newly accounted for when
	// reports are taken to be collected: those that can reach this leader have done so.
	newsReports = 1.5
	// readingLeases is for how many leases records are read before another leader may try.
	readingLeases = 4
	// pacingLeases is for how many leases orders are paced at most.
	pacingLeases = 1
)

// Settings are the spans that the phases depend on.
type Settings struct {
	Report time.Duration // between two reports of a worker
	Lease  time.Duration // of a worker, as it counts for this leader: with drift
	Limits Limits
}

// View is what a leader sees of its machines at some moment.
type View struct {
	RecordsRead  bool
	NamesMissing bool // machines are held whose names can't be read
	Machines     int  // held
	Unaccounted  int  // of them, those that may run what this leader doesn't know of
	Cores        float64
	LargestCores float64 // of one machine
}

// Transition is a change of phase.
type Transition struct {
	From, To Phase
	After    time.Duration // how long the first one lasted
	Bound    bool          // it ended by its bound, not by its condition
}

// Recovery is the recovery of one leader.
type Recovery struct {
	settings Settings
	began    time.Duration // when the leadership began
	phase    Phase
	since    time.Duration // when the phase began
	view     View
	news     time.Duration // when a machine was last newly accounted for
	waited   time.Duration // when an order last had to wait for its budget
	pacer    pacer
	counts   Counts
	noted    map[noteKey]bool
	samples  []Sample
}

// New begins a recovery. Instants are on the caller's steady clock.
func New(settings Settings, now time.Duration) *Recovery {
	return &Recovery{settings: settings, began: now, since: now, waited: now, noted: map[noteKey]bool{}, pacer: newPacer(now)}
}

// Phase is the present phase.
func (r *Recovery) Phase() Phase { return r.phase }

// Over tells whether nothing is limited any more.
func (r *Recovery) Over() bool { return r.phase == Normal }

// Advance takes a new view and returns the changes of phase that follow from it.
func (r *Recovery) Advance(now time.Duration, view View) []Transition {
	if view.Unaccounted < r.view.Unaccounted || r.phase == Reading {
		r.news = now
	}
	r.view = view
	if r.phase == Normal {
		return nil
	}
	r.pacer.limit(r.settings.rates(view))
	var moved []Transition
	for r.phase != Normal {
		done, bound := r.ends(now)
		if !done && !bound {
			break
		}
		next := r.phase + 1
		if r.phase == Reading && view.Machines == 0 && !view.NamesMissing {
			next = Normal // nothing is held, so nothing can differ or come in a storm
		}
		moved = append(moved, Transition{From: r.phase, To: next, After: now - r.since, Bound: !done})
		r.phase, r.since = next, now
	}
	if r.phase == Normal {
		r.noted = nil
	}
	return moved
}

// ends tells whether the present phase's condition to end holds, and whether its bound is over.
// Reading has no bound of its own: see ReadingTooLong.
func (r *Recovery) ends(now time.Duration) (done, bound bool) {
	v := &r.view
	switch r.phase {
	case Reading:
		return v.RecordsRead, false
	case Collecting:
		few := v.Unaccounted*fewUnknown <= v.Machines
		quiet := now-r.news >= time.Duration(newsReports*float64(r.settings.Report))
		return (few || quiet) && !v.NamesMissing, now-r.since >= r.part(collectShare)
	case Reconciling:
		return v.Unaccounted == 0 && !v.NamesMissing, now-r.began > r.settings.Lease
	default:
		return now-max(r.waited, r.since) >= r.settings.Report, now-r.since >= pacingLeases*r.settings.Lease
	}
}

// ReadingTooLong tells whether records have been read for so long that another leader should try.
func (r *Recovery) ReadingTooLong(now time.Duration) bool {
	return r.phase == Reading && now-r.since > readingLeases*r.settings.Lease
}

func (r *Recovery) part(share float64) time.Duration {
	return time.Duration(share * float64(r.settings.Lease))
}

// MayRent tells whether machines may be rented for work that surely is not running unseen: as much
// of it as the machines that are not accounted for have no cores for.
func (r *Recovery) MayRent() bool { return r.phase >= Collecting }

// MayShrink tells whether machines may be given up as too many: what they are needed for is not
// known before all are accounted for.
func (r *Recovery) MayShrink() bool { return r.phase >= Pacing }

// MayReturnSilent tells whether a machine that has not been accounted for may be returned after
// so long a silence. A few that are missing are waited for less long than many: each holds up
// all older jobs, and of many it is likelier that they can't reach this leader yet.
func (r *Recovery) MayReturnSilent(silence time.Duration) bool {
	if r.phase < Reconciling {
		return false
	}
	if r.view.Unaccounted*fewUnknown <= r.view.Machines {
		return silence > r.part(fewSilence)
	}
	return silence > r.part(collectShare)
}

// WaitsFor is what the present phase waits for, in words.
func (r *Recovery) WaitsFor() string {
	switch r.phase {
	case Reading:
		return "the stored records"
	case Collecting, Reconciling:
		if r.view.NamesMissing {
			return "the leases of machines whose records can't be read"
		}
		return fmt.Sprintf("%d of %d machines", r.view.Unaccounted, r.view.Machines)
	case Pacing:
		return "orders that wait for their budget"
	default:
		return ""
	}
}
