package election

import (
	"time"

	"hitchdoor/internal/clock"
)

// candidacyPause is the record of this node's resignations, after which it starts no candidacies
// for some time, so that another node can lead.
type candidacyPause struct {
	consecutiveResignations int           // consecutive ones, each within resignationMemoryLeases of the previous
	lastResignation         clock.Instant // last resignation
	until                   clock.Instant // this node starts no candidacy before
}

const (
	// After a resignation a node starts no candidacy for firstPauseLeases. The pause doubles
	// with each further resignation up to maxPauseLeases, and is reset if the last one is more
	// than resignationMemoryLeases ago. All are in worker leases.
	firstPauseLeases        = 1
	maxPauseLeases          = 8
	resignationMemoryLeases = 32
	// maxPauseDoublings keeps the doubled pause within the range of a duration.
	maxPauseDoublings = 8
)

// extend records a resignation, and pauses the candidacies for longer with each further one.
func (p *candidacyPause) extend(now clock.Instant, workerLease time.Duration) {
	if now-p.lastResignation > resignationMemoryLeases*workerLease {
		p.consecutiveResignations = 0
	}
	p.lastResignation = now
	doublings := min(p.consecutiveResignations, maxPauseDoublings)
	p.until = now + min(maxPauseLeases*workerLease, firstPauseLeases*workerLease<<doublings)
	p.consecutiveResignations++
}

// resign steps down and pauses this node's candidacies, longer with each resignation.
func (e *Election) resign(reason string) {
	e.pause.extend(e.host.Now(), e.workerLease())
	e.leaderKey.absentSince = clock.Never
	e.StepDown(reason)
}

// CandidacyPaused reports whether this node must not become a candidate after a resignation. The
// pause ends early if there has been no leader for one worker lease.
func (e *Election) CandidacyPaused() bool {
	now := e.host.Now()
	return now < e.pause.until && e.leaderKey.absentFor(now) < e.workerLease()
}
