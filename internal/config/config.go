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
// ignored. All addresses have the form host:port.
type Platform struct {
	Node         string `toml:"node"`          // name of this node
	Location     string `toml:"location"`      // location of this node; this program does not use it
	ClientListen string `toml:"client_listen"` // address at which users, workers and operators connect
	PeerBind     string `toml:"peer_bind"`     // address at which other controllers connect
	Peers        []Peer `toml:"known"`         // all other controllers of the cluster
	Services     struct {
		Cloud string `toml:"cloud"` // address of the cloud
		Store string `toml:"state"` // address of the key-value store
	} `toml:"outside"`
	Cluster Cluster `toml:"cluster"`
}

// Peer is another controller of the cluster.
type Peer struct {
	Node     string `toml:"node"`
	Location string `toml:"location"`  // location of the node; this program does not use it
	Address  string `toml:"peer_addr"` // host:port
}

// Cluster holds the settings that all controllers of a deployment share. In the names of fields, S
// stands for seconds, MS for milliseconds, and PerS for a rate per second.
type Cluster struct {
	ControllerCount int         `toml:"count"`         // number of controllers, with this one
	Zones           []string    `toml:"zones"`         // this program uses the zones of the cloud's catalogue instead
	TimeBoundMS     float64     `toml:"time_bound_ms"` // part of the platform's file; this program does not use it
	Teams           []Team      `toml:"teams"`
	Objectives      []Objective `toml:"objectives"`
	Workers         struct {
		HeartbeatIntervalS float64 `toml:"report_s"` // interval at which a worker sends heartbeats
		LeaseS             float64 `toml:"lease_s"`  // without a response, a worker kills its tasks after this time
		CancelS            float64 `toml:"cancel_s"` // limit for stopping cancelled tasks; only validated
	} `toml:"workers"`
	Store StoreLimits `toml:"state"`
	Cloud struct {
		RequestsPerS float64 `toml:"rps"`        // limit of the rate of requests to the cloud
		ListLagS     float64 `toml:"list_lag_s"` // how far the cloud's list of machines may be outdated
	} `toml:"cloud"`
	Resources Resources `toml:"resources"`
}

// WorkerLease returns the duration of a worker lease: a worker that gets no response to its heartbeats for
// this long kills its tasks. Many other time spans are fractions or multiples of the worker lease.
func (c *Cluster) WorkerLease() time.Duration { return Seconds(c.Workers.LeaseS) }

// Team returns the team with the given name, or nil if the settings have no such team.
func (c *Cluster) Team(name string) *Team {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}

// StoreLimits are the limits of the key-value store, for all controllers together.
type StoreLimits struct {
	RequestsPerS float64 `toml:"rps"`       // rate of requests
	WritesPerS   float64 `toml:"write_rps"` // rate of writes
	ValueKB      float64 `toml:"value_kb"`  // size of one value, in units of 1024 bytes
	TxnOps       int     `toml:"txn_ops"`   // number of writes in one transaction
	// Upcoming are the limits that will replace the present ones at some later time, without notice.
	// A limit that is nil stays as it is.
	Upcoming struct {
		WritesPerS *float64 `toml:"write_rps"`
		ValueKB    *float64 `toml:"value_kb"`
		TxnOps     *int     `toml:"txn_ops"`
	} `toml:"next"`
}

// MaxValueBytes returns the largest size of a value that both the present and the upcoming limit allow.
func (s *StoreLimits) MaxValueBytes() int {
	return int(min(s.ValueKB, valueOr(s.Upcoming.ValueKB, s.ValueKB)) * 1024)
}

// MaxTxnOps returns the largest number of writes in a transaction that both the present and the upcoming
// limit allow.
func (s *StoreLimits) MaxTxnOps() int { return min(s.TxnOps, valueOr(s.Upcoming.TxnOps, s.TxnOps)) }

// LowerWritesPerS returns the lower of the present and the upcoming limit of the rate of writes.
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

// Resources are the limits of what the controller may use of the computer on which it runs.
type Resources struct {
	CoreShare      float64 `toml:"core_share"`      // processor share; only validated
	MemoryMB       float64 `toml:"mem_mb"`          // memory, in units of 1024 * 1024 bytes
	MaxConnections int     `toml:"max_connections"` // open connections, both accepted and dialled
}

// Team holds the guarantee and the quota of a team: the cores and accelerators that its jobs are to get
// when they need them, and the most that its jobs may use. A guarantee of 0 means that nothing is
// guaranteed, a quota of 0 that the team is not limited.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`     // guarantee, in CPU cores
	MaxCPUs        float64 `toml:"cpus_max"` // quota, in CPU cores
	GuaranteedGPUs float64 `toml:"gpus"`     // guarantee, in accelerators
	MaxGPUs        float64 `toml:"gpus_max"` // quota, in accelerators
}

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	// Kind is "finished" for an objective on the completion of jobs, "wait" for one on their start,
	// and "guarantee" for one on the start of work within the guarantees of teams.
	Kind     string  `toml:"kind"`
	Class    string  `toml:"class"`    // job class to which the objective applies; unused if Kind is "guarantee"
	WithinS  float64 `toml:"within_s"` // time limit in seconds
	MinShare float64 `toml:"share"`    // share of the jobs, 0 to 1, that must meet the time limit
}

// LoadPlatform reads and validates the settings file of the platform. The error wraps an
// *InvalidSettingError for an invalid setting, a *SyntaxError for a file that can't be decoded, and the
// error of the file system for a file that can't be read.
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var platform Platform
	if err := unmarshalTOML(raw, &platform); err != nil {
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

// MaxDuration bounds the durations that Seconds returns, so that sums of several do not overflow,
// whatever numbers a user or another service sends.
const MaxDuration = 10 * 365 * 24 * time.Hour

// Seconds converts a number of seconds to a duration, limited to the range from -MaxDuration to
// MaxDuration. The result for NaN is 0.
func Seconds(seconds float64) time.Duration {
	switch nanoseconds := seconds * float64(time.Second); {
	case nanoseconds > -float64(MaxDuration) && nanoseconds < float64(MaxDuration):
		return time.Duration(nanoseconds)
	case nanoseconds > 0:
		return MaxDuration
	case nanoseconds < 0:
		return -MaxDuration
	default:
		return 0
	}
}
