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
	PhaseReading Phase = iota
	// PhaseCollecting: heartbeats of the recorded machines arrive. Work that no earlier leader can
	// have started is started. Machines are rented only for work that can't be running on machines
	// that are not reconciled, and no unresponsive machine is returned.
	PhaseCollecting
	// PhaseReconciling: most machines are reconciled, or no further ones send heartbeats.
	// Unresponsive machines are returned.
	PhaseReconciling
	// PhasePacing: all machines are reconciled. Tasks are started at a limited rate.
	PhasePacing
	// PhaseNormal: the recovery is completed and nothing is limited.
	PhaseNormal
)

// phaseNames are the names of the phases in status responses and logs.
var phaseNames = [...]string{"reading", "collecting", "reconciling", "pacing", "normal"}

// String returns the name of the phase in status responses and logs.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return phaseNames[p]
}

// Conditions and timeouts of the phases.
const (
	// fewUnreconciledDivisor: the collecting phase ends when at most one machine in so many is missing.
	fewUnreconciledDivisor = 10
	// maxCollectingLeases is the timeout of the collecting phase in leases.
	maxCollectingLeases = 0.45
	// fewUnreconciledSilenceLeases is the time in leases after which an unresponsive machine is returned
	// if few are missing.
	fewUnreconciledSilenceLeases = 0.25
	// quietHeartbeatIntervals is the time in heartbeat intervals without a newly reconciled machine
	// after which the collecting phase ends: the machines that can reach this leader have done so.
	quietHeartbeatIntervals = 1.5
	// maxReadingLeases is the time in leases after which another leader should try to read the
	// records.
	maxReadingLeases = 4
	// maxPacingLeases is the timeout of the pacing phase in leases.
	maxPacingLeases = 1
)

// Settings are the intervals and limits that the recovery depends on.
type Settings struct {
	HeartbeatInterval time.Duration // between two heartbeats of a worker
	WorkerLease       time.Duration // of a worker, with an allowance for clock drift
	Limits            Limits
}

// View is a leader's view of its machines at some moment.
type View struct {
	RecordsRead         bool
	InventoryIncomplete bool // there are machines whose records can't be read
	Machines            int
	Unreconciled        int // machines that may run tasks unknown to this leader
	Cores               float64
	LargestCores        float64 // of one machine
}

// Transition is a change of phase.
type Transition struct {
	From, To Phase
	Duration time.Duration // of the phase that ended
	TimedOut bool          // it ended by its timeout, not by its condition
}

// Recovery is the recovery of one leader.
type Recovery struct {
	settings          Settings
	startedAt         time.Duration
	phase             Phase
	phaseStartedAt    time.Duration
	view              View
	lastReconciledAt  time.Duration // when a machine was last reconciled
	lastDeferredAt    time.Duration // when an operation last had to wait for its budget
	pacer             pacer
	counts            MismatchCounts
	countedMismatches map[mismatchKey]bool
	samples           []MismatchSample
}

// New starts a recovery. Times are on the caller's monotonic clock.
func New(settings Settings, now time.Duration) *Recovery {
	return &Recovery{settings: settings, startedAt: now, phaseStartedAt: now, lastDeferredAt: now,
		countedMismatches: map[mismatchKey]bool{}, pacer: newPacer(now)}
}

// Phase returns the present phase.
func (r *Recovery) Phase() Phase { return r.phase }

// Completed reports whether the recovery is completed.
func (r *Recovery) Completed() bool { return r.phase == PhaseNormal }

// Advance applies a new view and returns the phase transitions that follow from it.
func (r *Recovery) Advance(now time.Duration, view View) []Transition {
	if view.Unreconciled < r.view.Unreconciled || r.phase == PhaseReading {
		r.lastReconciledAt = now
	}
	r.view = view
	if r.phase == PhaseNormal {
		return nil
	}
	r.pacer.setRates(r.settings.ratesFor(view))
	var transitions []Transition
	for r.phase != PhaseNormal {
		conditionMet, timedOut := r.phaseEnds(now)
		if !conditionMet && !timedOut {
			break
		}
		next := r.phase + 1
		if r.phase == PhaseReading && view.Machines == 0 && !view.InventoryIncomplete {
			next = PhaseNormal // without machines there is nothing to reconcile or to pace
		}
		transitions = append(transitions,
			Transition{From: r.phase, To: next, Duration: now - r.phaseStartedAt, TimedOut: !conditionMet})
		r.phase, r.phaseStartedAt = next, now
	}
	if r.phase == PhaseNormal {
		r.countedMismatches = nil
	}
	return transitions
}

// phaseEnds reports whether the present phase's condition to end holds, and whether it has timed
// out. PhaseReading does not time out here: see ReadingTimedOut.
func (r *Recovery) phaseEnds(now time.Duration) (conditionMet, timedOut bool) {
	view := &r.view
	switch r.phase {
	case PhaseReading:
		return view.RecordsRead, false
	case PhaseCollecting:
		fewUnreconciled := view.Unreconciled*fewUnreconciledDivisor <= view.Machines
		noneReconciledRecently := now-r.lastReconciledAt >=
			time.Duration(quietHeartbeatIntervals*float64(r.settings.HeartbeatInterval))
		return (fewUnreconciled || noneReconciledRecently) && !view.InventoryIncomplete,
			now-r.phaseStartedAt >= r.leaseFraction(maxCollectingLeases)
	case PhaseReconciling:
		return view.Unreconciled == 0 && !view.InventoryIncomplete, now-r.startedAt > r.settings.WorkerLease
	default:
		return now-max(r.lastDeferredAt, r.phaseStartedAt) >= r.settings.HeartbeatInterval,
			now-r.phaseStartedAt >= maxPacingLeases*r.settings.WorkerLease
	}
}

// ReadingTimedOut reports whether reading the records takes so long that another leader should try.
func (r *Recovery) ReadingTimedOut(now time.Duration) bool {
	return r.phase == PhaseReading && now-r.phaseStartedAt > maxReadingLeases*r.settings.WorkerLease
}

// leaseFraction returns a fraction, or a multiple, of a worker lease.
func (r *Recovery) leaseFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.settings.WorkerLease))
}

// MayScaleOut reports whether machines may be rented for work that can't be running unreported: as
// much of it as exceeds the cores of the machines that are not reconciled.
func (r *Recovery) MayScaleOut() bool { return r.phase >= PhaseCollecting }

// MayScaleIn reports whether machines may be returned because there are too many. How many are
// needed is unknown before all are reconciled.
func (r *Recovery) MayScaleIn() bool { return r.phase >= PhasePacing }

// MayReturnUnresponsive reports whether a machine that is not reconciled may be returned after a
// time without a heartbeat. The time is shorter if few machines are missing: each delays all older
// jobs, while many missing machines probably just can't reach this leader yet.
func (r *Recovery) MayReturnUnresponsive(silence time.Duration) bool {
	if r.phase < PhaseReconciling {
		return false
	}
	if r.view.Unreconciled*fewUnreconciledDivisor <= r.view.Machines {
		return silence > r.leaseFraction(fewUnreconciledSilenceLeases)
	}
	return silence > r.leaseFraction(maxCollectingLeases)
}

// waitReason describes what the present phase waits for. Operators see it.
func (r *Recovery) waitReason() string {
	switch r.phase {
	case PhaseReading:
		return "the stored records"
	case PhaseCollecting, PhaseReconciling:
		if r.view.InventoryIncomplete {
			return "the leases of machines whose records can't be read"
		}
		return fmt.Sprintf("%d of %d machines", r.view.Unreconciled, r.view.Machines)
	case PhasePacing:
		return "orders that wait for their budget"
	default:
		return ""
	}
}
