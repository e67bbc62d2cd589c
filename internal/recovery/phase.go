// Package recovery decides how a new leader gets from stored records and workers' heartbeats to
// normal operation: the phases of the recovery, the reconciliation of each task and machine that
// differs from the stored state, and the rates of commands and cloud requests. It is pure: the
// caller passes in the time and a view of the cluster, and carries out the decisions.
package recovery

import (
	"fmt"
	"time"
)

// Phase is the phase of a leader's recovery. Each ends when its condition holds, and at the latest
// after a timeout that is a ratio to the worker lease.
type Phase int

// The phases, in their order.
const (
	// PhaseReading: the stored records are read. No command or request is sent.
	Reading Phase = iota
	// PhaseCollecting: heartbeats of the recorded machines arrive. Work that no earlier leader can
	// have started is started. Machines are rented only for work that can't be running on machines
	// that are not reconciled, and no unresponsive machine is returned.
	Collecting
	// PhaseReconciling: most machines are reconciled, or no further ones send heartbeats.
	// Unresponsive machines are returned.
	Reconciling
	// PhasePacing: all machines are reconciled. Tasks are started at a limited rate.
	Pacing
	// PhaseNormal: the recovery is completed and nothing is limited.
	Normal
)

var phaseNames = [...]string{"reading", "collecting", "reconciling", "pacing", "normal"}

// String is the name of the phase in status responses and logs.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return phaseNames[p]
}

// Conditions and timeouts of the phases.
const (
	// fewMissingDivisor: the collecting phase ends when at most one machine in so many is missing.
	fewUnknown = 10
	// maxCollectingLeases is the timeout of the collecting phase in leases.
	collectShare = 0.45
	// fewMissingSilenceLeases is the time in leases after which an unresponsive machine is returned
	// if few are missing.
	fewSilence = 0.25
	// quietHeartbeatIntervals is the time in heartbeat intervals without a newly reconciled machine
	// after which the collecting phase ends: the machines that can reach this leader have done so.
	newsReports = 1.5
	// maxReadingLeases is the time in leases after which another leader should try to read the
	// records.
	readingLeases = 4
	// maxPacingLeases is the timeout of the pacing phase in leases.
	pacingLeases = 1
)

// Settings are the intervals and limits that the recovery depends on.
type Settings struct {
	Report time.Duration // between two heartbeats of a worker
	Lease  time.Duration // of a worker, with an allowance for clock drift
	Limits Limits
}

// View is a leader's view of its machines at some moment.
type View struct {
	RecordsRead  bool
	NamesMissing bool // there are machines whose records can't be read
	Machines     int
	Unaccounted  int // machines that may run tasks unknown to this leader
	Cores        float64
	LargestCores float64 // of one machine
}

// Transition is a change of phase.
type Transition struct {
	From, To Phase
	After    time.Duration // of the phase that ended
	Bound    bool          // it ended by its timeout, not by its condition
}

// Recovery is the recovery of one leader.
type Recovery struct {
	settings Settings
	began    time.Duration
	phase    Phase
	since    time.Duration
	view     View
	news     time.Duration // when a machine was last reconciled
	waited   time.Duration // when an operation last had to wait for its budget
	pacer    pacer
	counts   Counts
	noted    map[noteKey]bool
	samples  []Sample
}

// New starts a recovery. Times are on the caller's monotonic clock.
func New(settings Settings, now time.Duration) *Recovery {
	return &Recovery{settings: settings, began: now, since: now, waited: now,
		noted: map[noteKey]bool{}, pacer: newPacer(now)}
}

// Phase is the present phase.
func (r *Recovery) Phase() Phase { return r.phase }

// Completed reports whether the recovery is completed.
func (r *Recovery) Over() bool { return r.phase == Normal }

// Advance applies a new view and returns the phase transitions that follow from it.
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
			next = Normal // without machines there is nothing to reconcile or to pace
		}
		moved = append(moved,
			Transition{From: r.phase, To: next, After: now - r.since, Bound: !done})
		r.phase, r.since = next, now
	}
	if r.phase == Normal {
		r.noted = nil
	}
	return moved
}

// phaseEnds reports whether the present phase's condition to end holds, and whether it has timed
// out. PhaseReading does not time out here: see ReadingTimedOut.
func (r *Recovery) ends(now time.Duration) (done, bound bool) {
	v := &r.view
	switch r.phase {
	case Reading:
		return v.RecordsRead, false
	case Collecting:
		few := v.Unaccounted*fewUnknown <= v.Machines
		quiet := now-r.news >=
			time.Duration(newsReports*float64(r.settings.Report))
		return (few || quiet) && !v.NamesMissing,
			now-r.since >= r.part(collectShare)
	case Reconciling:
		return v.Unaccounted == 0 && !v.NamesMissing, now-r.began > r.settings.Lease
	default:
		return now-max(r.waited, r.since) >= r.settings.Report,
			now-r.since >= pacingLeases*r.settings.Lease
	}
}

// ReadingTimedOut reports whether reading the records takes so long that another leader should try.
func (r *Recovery) ReadingTooLong(now time.Duration) bool {
	return r.phase == Reading && now-r.since > readingLeases*r.settings.Lease
}

// leaseFraction is a fraction, or a multiple, of a worker lease.
func (r *Recovery) part(share float64) time.Duration {
	return time.Duration(share * float64(r.settings.Lease))
}

// MayScaleOut reports whether machines may be rented for work that can't be running unreported: as
// much of it as exceeds the cores of the machines that are not reconciled.
func (r *Recovery) MayRent() bool { return r.phase >= Collecting }

// MayScaleIn reports whether machines may be returned because there are too many. How many are
// needed is unknown before all are reconciled.
func (r *Recovery) MayShrink() bool { return r.phase >= Pacing }

// MayReturnUnresponsive reports whether a machine that is not reconciled may be returned after a
// time without a heartbeat. The time is shorter if few machines are missing: each delays all older
// jobs, while many missing machines probably just can't reach this leader yet.
func (r *Recovery) MayReturnSilent(silence time.Duration) bool {
	if r.phase < Reconciling {
		return false
	}
	if r.view.Unaccounted*fewUnknown <= r.view.Machines {
		return silence > r.part(fewSilence)
	}
	return silence > r.part(collectShare)
}

// WaitsFor describes what the present phase waits for. Operators see it.
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
