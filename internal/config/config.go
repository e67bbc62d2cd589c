// Package config reads and validates the two settings files of a controller: the platform's TOML,
// which the deployment provides, and the operators' YAML.
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Platform is the settings file that the platform provides to each controller. Unknown fields are
// ignored.
type Platform struct {
	Node         string `toml:"node"`
	Location     string `toml:"location"`
	ClientListen string `toml:"client_listen"`
	PeerBind     string `toml:"peer_bind"`
	Peers        []Peer `toml:"known"`
	Services     struct {
		Cloud string `toml:"cloud"`
		Store string `toml:"state"`
	} `toml:"outside"`
	Cluster Cluster `toml:"cluster"`
}

// Peer is another controller of the cluster.
type Peer struct {
	Node     string `toml:"node"`
	Location string `toml:"location"`
	Address  string `toml:"peer_addr"`
}

// Cluster holds the settings that all controllers of a deployment share.
type Cluster struct {
	ControllerCount int         `toml:"count"`
	Zones           []string    `toml:"zones"`
	TimeBoundMS     float64     `toml:"time_bound_ms"`
	Teams           []Team      `toml:"teams"`
	Objectives      []Objective `toml:"objectives"`
	Workers         struct {
		HeartbeatIntervalS float64 `toml:"report_s"`
		LeaseS             float64 `toml:"lease_s"`
		CancelS            float64 `toml:"cancel_s"`
	} `toml:"workers"`
	Store StoreLimits `toml:"state"`
	Cloud struct {
		RequestsPerS float64 `toml:"rps"`
		ListLagS     float64 `toml:"list_lag_s"`
	} `toml:"cloud"`
	Resources Resources `toml:"resources"`
}

// WorkerLease returns the duration of the workers' lease, of which many other time spans are
// fractions or multiples.
func (c *Cluster) WorkerLease() time.Duration { return Seconds(c.Workers.LeaseS) }

// Team returns the team of a name, or nil if there is none.
func (c *Cluster) Team(name string) *Team {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}

// StoreLimits are the limits of the key-value store.
type StoreLimits struct {
	RequestsPerS float64 `toml:"rps"`
	WritesPerS   float64 `toml:"write_rps"`
	ValueKB      float64 `toml:"value_kb"`
	TxnOps       int     `toml:"txn_ops"`
	// Upcoming are the limits that will apply from some moment on, without notice. Limits that are
	// not named stay as they are.
	Upcoming struct {
		WritesPerS *float64 `toml:"write_rps"`
		ValueKB    *float64 `toml:"value_kb"`
		TxnOps     *int     `toml:"txn_ops"`
	} `toml:"next"`
}

// MaxValueBytes returns the largest size of a value that is allowed both now and later.
func (s *StoreLimits) MaxValueBytes() int {
	return int(min(s.ValueKB, valueOr(s.Upcoming.ValueKB, s.ValueKB)) * 1024)
}

// MaxTxnOps returns the largest number of operations in a transaction that is allowed both now and
// later.
func (s *StoreLimits) MaxTxnOps() int { return min(s.TxnOps, valueOr(s.Upcoming.TxnOps, s.TxnOps)) }

// LowerWritesPerS returns the lower of the present and the upcoming rate of writes.
func (s *StoreLimits) LowerWritesPerS() float64 {
	return min(s.WritesPerS, valueOr(s.Upcoming.WritesPerS, s.WritesPerS))
}

// valueOr returns *p, or the fallback if p is nil.
func valueOr[T any](p *T, fallback T) T {
	if p == nil {
		return fallback
	}
	return *p
}

// Resources is the share of its host that the controller may use.
type Resources struct {
	CoreShare      float64 `toml:"core_share"`
	MemoryMB       float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Team holds the guarantee and the quota of a team. A guarantee of 0 is none, a quota of 0 is unlimited.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind     string  `toml:"kind"`
	Class    string  `toml:"class"`
	WithinS  float64 `toml:"within_s"`
	MinShare float64 `toml:"share"`
}

// LoadPlatform reads and validates the settings file of the platform.
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var platform Platform
	if err := toml.Unmarshal(raw, &platform); err != nil {
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			return nil, fmt.Errorf("config: %s: %w", path, newTOMLSyntaxError(decodeError))
		}
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	if err := platform.validate(); err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return &platform, nil
}

// maxDuration bounds the durations that Seconds returns, so that sums of several do not overflow
// whatever a user or another service sends.
const maxDuration = 10 * 365 * 24 * time.Hour

// Seconds converts a number of seconds to a duration, limited to maxDuration either way.
func Seconds(seconds float64) time.Duration {
	switch nanoseconds := seconds * float64(time.Second); {
	case nanoseconds >= float64(maxDuration):
		return maxDuration
	case nanoseconds <= -float64(maxDuration):
		return -maxDuration
	default:
		return time.Duration(nanoseconds)
	}
}
