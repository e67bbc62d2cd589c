package election

import (
	"time"

	"hitchdoor/internal/clock"
)

// candidacyPause records this node's resignations. After a resignation the node starts no candidacy
// for some time, so that another node can become the leader.
type candidacyPause struct {
	consecutiveResignations int           // each within resignationMemoryLeases of the previous one
	lastResignation         clock.Instant // when this node last resigned
	until                   clock.Instant // when the pause ends
}

const (
	// After a resignation a node starts no candidacy for firstPauseLeases. The pause doubles
	// with each further resignation up to maxPauseLeases. It starts again at firstPauseLeases if
	// the previous resignation is more than resignationMemoryLeases ago. All three constants
	// count worker leases.
	firstPauseLeases        = 1
	maxPauseLeases          = 8
	resignationMemoryLeases = 32
	// maxPauseDoublings prevents the doubled pause from overflowing time.Duration.
	maxPauseDoublings = 8
)

// extend records a resignation and starts a pause, which is longer after each consecutive resignation.
func (p *candidacyPause) extend(now clock.Instant, workerLease time.Duration) {
	if now-p.lastResignation > resignationMemoryLeases*workerLease {
		p.consecutiveResignations = 0
	}
	p.lastResignation = now
	doublings := min(p.consecutiveResignations, maxPauseDoublings)
	p.until = now + min(maxPauseLeases*workerLease, firstPauseLeases*workerLease<<doublings)
	p.consecutiveResignations++
}

// resign ends this node's term as the leader and pauses its candidacies, so that another node can
// become the leader.
func (e *Election) resign(reason string) {
	e.pause.extend(e.host.Now(), e.workerLease())
	e.leaderKey.absentSince = clock.Never
	e.StepDown(reason)
}

// CandidacyPaused reports whether this node must not become a candidate because it resigned recently.
// The pause ends early if the leader key has been absent for one worker lease.
func (e *Election) CandidacyPaused() bool {
	now := e.host.Now()
	return now < e.pause.until && e.leaderKey.absentFor(now) < e.workerLease()
}
