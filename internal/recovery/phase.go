// Package recovery decides how a new leader gets from stored records and workers' heartbeats to
// normal operation. It determines the phases of the recovery, the reconciliation of each task and
// machine that differs from the stored state, and the rates of commands to workers and requests to
// the cloud. A machine is reconciled once no task unknown to the leader can be running on it.
// The package has no side effects: the caller passes in the time and a view of the cluster, and
// carries out the decisions.
package recovery

import (
	"fmt"
	"time"
)

// Phase is a phase of a leader's recovery. Each phase ends when its condition is met, or after a
// timeout that is proportional to the worker lease.
type Phase int

// These are the phases in the order in which a recovery passes through them.
const (
	// PhaseReading is the phase in which the leader reads the stored records. It sends no commands to
	// workers and no requests to the cloud yet.
	PhaseReading Phase = iota
	// PhaseCollecting is the phase in which the leader waits for heartbeats of the recorded
	// machines. It starts work that no earlier leader can have started. It rents machines only for
	// work that can't be running on unreconciled machines, and returns no unresponsive machine to the
	// cloud.
	PhaseCollecting
	// PhaseReconciling is the phase in which most machines are reconciled, or no further machines
	// send heartbeats. The leader returns unresponsive machines to the cloud.
	PhaseReconciling
	// PhasePacing is the phase in which all machines are reconciled and the leader starts tasks at a
	// limited rate.
	PhasePacing
	// PhaseNormal is the phase after the recovery, in which nothing is limited.
	PhaseNormal
)

// phaseNames contains the names of the phases in status responses and logs.
var phaseNames = [...]string{"reading", "collecting", "reconciling", "pacing", "normal"}

// String returns the name of the phase in status responses and logs.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return phaseNames[p]
}

// These are the conditions and timeouts of the phases.
const (
	// fewUnreconciledDivisor determines how many unreconciled machines are few: at most
	// 1/fewUnreconciledDivisor of all machines. The collecting phase ends when there are few.
	fewUnreconciledDivisor = 10
	// maxCollectingLeases is the timeout of the collecting phase in worker leases.
	maxCollectingLeases = 0.45
	// fewUnreconciledSilenceLeases is the time in worker leases without a heartbeat after which an
	// unresponsive machine is returned to the cloud if few machines are unreconciled.
	fewUnreconciledSilenceLeases = 0.25
	// quietHeartbeatIntervals is the time in heartbeat intervals without a newly reconciled machine
	// after which the collecting phase ends. By then, all machines that can reach this leader have
	// done so.
	quietHeartbeatIntervals = 1.5
	// maxReadingLeases is the time in worker leases after which another leader should try to read
	// the records.
	maxReadingLeases = 4
	// maxPacingLeases is the timeout of the pacing phase in worker leases.
	maxPacingLeases = 1
)

// Settings contains the intervals and limits that the recovery depends on.
type Settings struct {
	HeartbeatInterval time.Duration // time between two heartbeats of a worker
	WorkerLease       time.Duration // duration of a worker lease, with an allowance for clock drift
	Limits            Limits
}

// View is a summary of the leader's cluster state at one time.
type View struct {
	RecordsRead         bool    // all stored records have been read
	InventoryIncomplete bool    // tasks may run on machines whose records can't be read
	Machines            int     // number of machines in the fleet
	Unreconciled        int     // number of machines on which tasks unknown to this leader may be running
	Cores               float64 // cores of all machines
	LargestCores        float64 // cores of the largest machine
}

// Transition is a change of phase.
type Transition struct {
	From, To Phase
	Duration time.Duration // duration of the phase that ended
	TimedOut bool          // the phase ended by its timeout, not by its condition
}

// Recovery is the state of one leader's recovery. Its times are on the caller's monotonic clock.
type Recovery struct {
	settings          Settings
	startedAt         time.Duration // when the recovery began
	phase             Phase
	phaseStartedAt    time.Duration
	view              View          // as last passed to Advance
	lastReconciledAt  time.Duration // when a machine was last reconciled
	lastDeferredAt    time.Duration // when an operation last had to wait for its budget
	pacer             pacer
	counts            MismatchCounts
	countedMismatches map[mismatchKey]bool
	samples           []MismatchSample
}

// New starts a recovery at now, in PhaseReading.
func New(settings Settings, now time.Duration) *Recovery {
	return &Recovery{settings: settings, startedAt: now, phaseStartedAt: now, lastDeferredAt: now,
		countedMismatches: map[mismatchKey]bool{}, pacer: newPacer(now)}
}

// Phase returns the current phase.
func (r *Recovery) Phase() Phase { return r.phase }

// Completed reports whether the recovery has reached PhaseNormal, in which it limits nothing.
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

// phaseEnds reports whether the end condition of the current phase is met, and whether the phase
// has timed out. It never lets PhaseReading time out: see ReadingTimedOut.
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

// ReadingTimedOut reports whether reading the records has taken so long that this leader should step
// down and another one should try.
func (r *Recovery) ReadingTimedOut(now time.Duration) bool {
	return r.phase == PhaseReading && now-r.phaseStartedAt > maxReadingLeases*r.settings.WorkerLease
}

// leaseFraction returns the worker lease multiplied by a fraction.
func (r *Recovery) leaseFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.settings.WorkerLease))
}

// MayScaleOut reports whether machines may be rented for work that can't be running on unreconciled
// machines already, as far as this work exceeds the cores of those machines.
func (r *Recovery) MayScaleOut() bool { return r.phase >= PhaseCollecting }

// MayScaleIn reports whether surplus machines may be returned to the cloud. The number of machines needed is
// unknown before all machines are reconciled.
func (r *Recovery) MayScaleIn() bool { return r.phase >= PhasePacing }

// MayReturnUnresponsive reports whether an unreconciled machine that has sent no heartbeat for the
// duration of silence may be returned to the cloud. The required silence is shorter if few machines
// are unreconciled, because each of them delays jobs that were accepted before this term. If many are
// unreconciled, they are probably up but can't reach this leader yet.
func (r *Recovery) MayReturnUnresponsive(silence time.Duration) bool {
	if r.phase < PhaseReconciling {
		return false
	}
	if r.view.Unreconciled*fewUnreconciledDivisor <= r.view.Machines {
		return silence > r.leaseFraction(fewUnreconciledSilenceLeases)
	}
	return silence > r.leaseFraction(maxCollectingLeases)
}

// waitReason describes what the current phase waits for, in the status for operators.
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
