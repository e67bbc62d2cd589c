// Package config reads and validates the two settings files of a controller: the platform's TOML,
// which the deployment provides, and the operators' YAML.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
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
	Known        []Peer `toml:"known"`
	Outside      struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Cluster Cluster `toml:"cluster"`
}

// Peer is another controller of the cluster.
type Peer struct {
	Node     string `toml:"node"`
	Location string `toml:"location"`
	PeerAddr string `toml:"peer_addr"`
}

// Cluster holds the settings that all controllers of a deployment share.
type Cluster struct {
	Count       int         `toml:"count"`
	Zones       []string    `toml:"zones"`
	TimeBoundMS float64     `toml:"time_bound_ms"`
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     struct {
		ReportS float64 `toml:"report_s"`
		LeaseS  float64 `toml:"lease_s"`
		CancelS float64 `toml:"cancel_s"`
	} `toml:"workers"`
	State State `toml:"state"`
	Cloud struct {
		RPS      float64 `toml:"rps"`
		ListLagS float64 `toml:"list_lag_s"`
	} `toml:"cloud"`
	Resources Resources `toml:"resources"`
}

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
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Upcoming are the limits that will apply from some moment on, without notice. Limits that are
	// not named stay as they are.
	Next struct {
		WriteRPS *float64 `toml:"write_rps"`
		ValueKB  *float64 `toml:"value_kb"`
		TxnOps   *int     `toml:"txn_ops"`
	} `toml:"next"`
}

// MaxValueBytes returns the largest size of a value that is allowed both now and later.
func (s *State) ValueBytes() int { return int(min(s.ValueKB, or(s.Next.ValueKB, s.ValueKB)) * 1024) }

// MaxTxnOps returns the largest number of operations in a transaction that is allowed both now and
// later.
func (s *State) Ops() int { return min(s.TxnOps, or(s.Next.TxnOps, s.TxnOps)) }

// LowerWritesPerS returns the lower of the present and the upcoming rate of writes.
func (s *State) LowerWriteRPS() float64 { return min(s.WriteRPS, or(s.Next.WriteRPS, s.WriteRPS)) }

// valueOr returns *p, or the fallback if p is nil.
func or[T any](p *T, otherwise T) T {
	if p == nil {
		return otherwise
	}
	return *p
}

// Resources is the share of its host that the controller may use.
type Resources struct {
	CoreShare      float64 `toml:"core_share"`
	MemMB          float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Team holds the guarantee and the quota of a team; a value of 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// LoadPlatform reads and validates the settings file of the platform.
func Load(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var p Platform
	if err := toml.Unmarshal(raw, &p); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return nil, fmt.Errorf("config: %s: line %d, column %d: %s: %s",
				path, row, col, strings.Join(de.Key(), "."), de.Error())
		}
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return &p, nil
}

// validate returns an error that names the first invalid setting.
func (p *Platform) check() error {
	text := []struct{ name, value string }{
		{"node", p.Node}, {"client_listen", p.ClientListen}, {"peer_bind", p.PeerBind},
		{"outside.cloud", p.Outside.Cloud}, {"outside.state", p.Outside.State},
	}
	for _, f := range text {
		if f.value == "" {
			return fmt.Errorf("%s: missing", f.name)
		}
	}
	addrs := text[1:]
	for i, k := range p.Known {
		if k.Node == "" || k.Node == p.Node {
			return fmt.Errorf("known[%d].node: missing, or this node's own", i)
		}
		addrs = append(addrs, struct{ name, value string }{fmt.Sprintf("known[%d].peer_addr", i), k.PeerAddr})
	}
	for _, f := range addrs {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return fmt.Errorf("%s: %q is not host:port", f.name, f.value)
		}
	}
	c := &p.Cluster
	if c.Count != len(p.Known)+1 {
		return fmt.Errorf("cluster.count: %d, but known names %d other nodes", c.Count, len(p.Known))
	}
	positive := []struct {
		name  string
		value float64
	}{
		{"cluster.workers.report_s", c.Workers.ReportS},
		{"cluster.workers.lease_s", c.Workers.LeaseS},
		{"cluster.workers.cancel_s", c.Workers.CancelS},
		{"cluster.state.rps", c.State.RPS},
		{"cluster.state.write_rps", c.State.WriteRPS},
		{"cluster.state.value_kb", c.State.ValueKB},
		{"cluster.state.next.write_rps", c.State.LowerWriteRPS()},
		{"cluster.cloud.rps", c.Cloud.RPS},
		{"cluster.cloud.list_lag_s", c.Cloud.ListLagS},
		{"cluster.resources.core_share", c.Resources.CoreShare},
		{"cluster.resources.mem_mb", c.Resources.MemMB},
		{"cluster.resources.max_connections", float64(c.Resources.MaxConnections)},
	}
	for _, f := range positive {
		if !(f.value > 0) {
			return fmt.Errorf("%s: must be above 0, is %v", f.name, f.value)
		}
	}
	if c.State.TxnOps < minTxnOps {
		return fmt.Errorf("cluster.state.txn_ops: must be at least %d, is %d", minTxnOps, c.State.TxnOps)
	}
	if next := c.State.Next.ValueKB; next != nil && !(*next >= minNextKB) {
		return fmt.Errorf("cluster.state.next.value_kb: must be at least %v, is %v", minNextKB, *next)
	}
	if ops := c.State.Ops(); ops < minTxnOps {
		return fmt.Errorf("cluster.state.next.txn_ops: must be at least %d, is %d", minTxnOps, ops)
	}
	if c.Workers.LeaseS <= c.Workers.ReportS {
		return fmt.Errorf("cluster.workers.lease_s: must be above report_s (%v), is %v", c.Workers.ReportS, c.Workers.LeaseS)
	}
	seen := map[string]bool{}
	for i, t := range c.Teams {
		if t.Name == "" || seen[t.Name] {
			return fmt.Errorf("cluster.teams[%d].name: missing or given twice", i)
		}
		seen[t.Name] = true
		for _, f := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if f < 0 {
				return fmt.Errorf("cluster.teams[%d]: %s: amounts can't be negative", i, t.Name)
			}
		}
	}
	for i, o := range c.Objectives {
		if o.Share < 0 || o.Share > 1 || o.WithinS < 0 {
			return fmt.Errorf("cluster.objectives[%d]: share must be within 0..1 and within_s not negative", i)
		}
	}
	return nil
}

// Lower bounds of the limits of the key-value store.
const (
	// minTxnOps is the least number of operations for which transactions are formed.
	minTxnOps = 4
	// minUpcomingValueKB is the lowest upcoming limit of the size of a value, and so of a job
	// record.
	minNextKB = 1.0
)

// maxDuration bounds the durations that Seconds returns, so that sums of several do not overflow
// whatever a user or another service sends.
const longest = 10 * 365 * 24 * time.Hour

// Seconds converts a number of seconds to a duration, limited to maxDuration either way.
func Seconds(s float64) time.Duration {
	switch d := s * float64(time.Second); {
	case d >= float64(longest):
		return longest
	case d <= -float64(longest):
		return -longest
	default:
		return time.Duration(d)
	}
}
