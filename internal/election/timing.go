package election

import (
	"time"

	"hitchdoor/internal/config"
)

// timing derives the durations and the quorum of elections from the cluster settings.
type timing struct{ cluster *config.Cluster }

// Durations of the election as fractions of a worker lease.
const (
	LeaderLeasesPerWorkerLease   = 6 // a leader lease, or a lease grant, lasts 1/6 of a worker lease
	leaderKeyReadsPerWorkerLease = 28
	HeartbeatsPerWorkerLease     = 32
)

// workerLease returns the duration of a worker's lease.
func (t timing) workerLease() time.Duration { return t.cluster.WorkerLease() }

// LeaderLease returns the duration of the leader lease and of a peer's lease grant.
func (t timing) LeaderLease() time.Duration { return t.workerLease() / LeaderLeasesPerWorkerLease }

// leaderKeyReadInterval returns the interval at which a follower reads the leader key, and a
// candidate the stored votes.
func (t timing) leaderKeyReadInterval() time.Duration {
	return t.workerLease() / leaderKeyReadsPerWorkerLease
}

// peerHeartbeatInterval returns the interval of the heartbeats between controllers.
func (t timing) peerHeartbeatInterval() time.Duration {
	return t.workerLease() / HeartbeatsPerWorkerLease
}

// peersInQuorum returns how many peers form a quorum (a majority) together with this node.
func (t timing) peersInQuorum() int { return t.cluster.ControllerCount / 2 }

// GuaranteedLeaseDuration returns how long a lease of the key-value store, or a lease grant of a peer, is
// guaranteed to last by this node's clock.
func GuaranteedLeaseDuration(lease time.Duration) time.Duration {
	return lease - lease/500 - time.Millisecond
}
