package controller

import "hitchdoor/internal/clock"

const (
	// After a resignation a node starts no candidacy for firstPauseLeases. The pause doubles
	// with each further resignation up to maxPauseLeases, and is reset if the last one is more
	// than resignationMemoryLeases ago.
	firstPauseLeases        = 1.0
	maxPauseLeases          = 8.0
	resignationMemoryLeases = 32.0
)

// resign steps down and pauses this node's candidacies, longer with each resignation.
func (n *Node) resign(reason string) {
	links := &n.connectivity
	if n.now-links.lastResignation > n.workerLeases(resignationMemoryLeases) {
		links.consecutiveResignations = 0
	}
	links.lastResignation = n.now
	pause := min(n.workerLeases(maxPauseLeases),
		n.workerLeases(firstPauseLeases)<<min(links.consecutiveResignations, 8))
	links.consecutiveResignations++
	links.candidacyPausedUntil, links.leaderlessSince = n.now+pause, clock.Never
	n.stepDown(reason)
}

// candidacyPaused reports whether this node must not become a candidate after a resignation. The
// pause ends early if there has been no leader for one worker lease.
func (n *Node) candidacyPaused() bool {
	links := &n.connectivity
	return n.now < links.candidacyPausedUntil &&
		(links.leaderlessSince == clock.Never || n.now-links.leaderlessSince < n.workerLease())
}
