package controller

import (
	"math/rand/v2"

	"hitchdoor/internal/config"
)

// process is the configuration and the identity of one process of a controller. It stays the same
// until the process ends, apart from the state of the random number generator.
type process struct {
	cfg      *config.Platform
	settings config.Settings
	rng      *rand.Rand
	// processID distinguishes this process from earlier ones of the same node.
	processID uint64
	build     string
}

// newProcess returns a process with a random ID.
func newProcess(options Options) process {
	id := options.Rand.Uint64() ^ uint64(options.StartTime.UnixNano()) | 1 // never 0, which means an unknown process
	return process{cfg: options.Platform, settings: options.Settings, rng: options.Rand, processID: id,
		build: options.Build}
}

// maxPendingRequests bounds the requests that are kept waiting. Each holds a connection, here or
// at a peer.
func (p *process) maxPendingRequests() int { return p.cfg.Cluster.Resources.MaxConnections }

// maxEarlyHeartbeats bounds the worker heartbeats that wait while a leader reads the stored
// records. Each holds a connection, here or at a peer.
func (p *process) maxEarlyHeartbeats() int {
	return p.maxPendingRequests() * p.cfg.Cluster.ControllerCount
}
