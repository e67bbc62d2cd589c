package config

import (
	"fmt"
	"math"
	"net"
)

// Lower bounds of the limits of the key-value store.
const (
	// minTxnOps is the smallest limit of writes in a transaction with which the controllers can form theirs.
	minTxnOps = 4
	// minUpcomingValueKB is the lowest upcoming limit, in units of 1024 bytes, that is allowed for the
	// size of a value, and so of a job record.
	minUpcomingValueKB = 1.0
)

// validate returns an *InvalidSettingError that names the first invalid setting.
func (p *Platform) validate() error {
	for _, check := range []func() error{
		p.validateAddresses, p.validateControllerCount, p.Cluster.validateAmounts, p.Cluster.Store.validateLimits,
		p.Cluster.validateLease, p.Cluster.validateTeams, p.Cluster.validateObjectives,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// stringSetting is a string and its name in the settings file.
type stringSetting struct{ name, value string }

// validateAddresses checks that no node name or address is missing, that no other node has the name of
// this node, and that the addresses have the form host:port.
func (p *Platform) validateAddresses() error {
	addresses := []stringSetting{
		{"client_listen", p.ClientListen}, {"peer_bind", p.PeerBind},
		{"outside.cloud", p.Services.Cloud}, {"outside.state", p.Services.Store},
	}
	for _, setting := range append([]stringSetting{{"node", p.Node}}, addresses...) {
		if setting.value == "" {
			return invalidSetting(setting.name, "missing")
		}
	}
	for i, peer := range p.Peers {
		if peer.Node == "" || peer.Node == p.Node {
			return invalidSetting(fmt.Sprintf("known[%d].node", i), "missing, or this node's own")
		}
		addresses = append(addresses, stringSetting{fmt.Sprintf("known[%d].peer_addr", i), peer.Address})
	}
	for _, setting := range addresses {
		if _, _, err := net.SplitHostPort(setting.value); err != nil {
			return invalidSetting(setting.name, "%q is not host:port", setting.value)
		}
	}
	return nil
}

// validateControllerCount checks that ControllerCount is the number of peers plus 1, for this node.
func (p *Platform) validateControllerCount() error {
	if p.Cluster.ControllerCount != len(p.Peers)+1 {
		return invalidSetting("cluster.count", "%d, but known names %d other nodes",
			p.Cluster.ControllerCount, len(p.Peers))
	}
	return nil
}

// maxSetting is the largest interval, rate or size that is accepted. Products of several stay finite.
const maxSetting = 1e12

// validateAmounts checks that intervals, rates and sizes are above 0 and at most maxSetting.
func (c *Cluster) validateAmounts() error {
	for _, setting := range []struct {
		name  string
		value float64
	}{
		{"cluster.workers.report_s", c.Workers.HeartbeatIntervalS},
		{"cluster.workers.lease_s", c.Workers.LeaseS},
		{"cluster.workers.cancel_s", c.Workers.CancelS},
		{"cluster.state.rps", c.Store.RequestsPerS},
		{"cluster.state.write_rps", c.Store.WritesPerS},
		{"cluster.state.value_kb", c.Store.ValueKB},
		{"cluster.state.next.write_rps", c.Store.LowerWritesPerS()},
		{"cluster.cloud.rps", c.Cloud.RequestsPerS},
		{"cluster.cloud.list_lag_s", c.Cloud.ListLagS},
		{"cluster.resources.core_share", c.Resources.CoreShare},
		{"cluster.resources.mem_mb", c.Resources.MemoryMB},
		{"cluster.resources.max_connections", float64(c.Resources.MaxConnections)},
	} {
		if !(setting.value > 0) {
			return invalidSetting(setting.name, "must be above 0, is %v", setting.value)
		}
		if setting.value > maxSetting {
			return invalidSetting(setting.name, "must be at most %v, is %v", maxSetting, setting.value)
		}
	}
	return nil
}

// validateLimits checks that the limits of the key-value store are not below their lower bounds.
func (s *StoreLimits) validateLimits() error {
	if s.TxnOps < minTxnOps {
		return invalidSetting("cluster.state.txn_ops", "must be at least %d, is %d", minTxnOps, s.TxnOps)
	}
	if limit := s.Upcoming.ValueKB; limit != nil && !(*limit >= minUpcomingValueKB) {
		return invalidSetting("cluster.state.next.value_kb", "must be at least %v, is %v", minUpcomingValueKB, *limit)
	}
	if maxOps := s.MaxTxnOps(); maxOps < minTxnOps {
		return invalidSetting("cluster.state.next.txn_ops", "must be at least %d, is %d", minTxnOps, maxOps)
	}
	return nil
}

// validateLease checks that the worker lease is longer than the heartbeat interval of workers, so that
// heartbeats can renew the lease in time.
func (c *Cluster) validateLease() error {
	if c.Workers.LeaseS <= c.Workers.HeartbeatIntervalS {
		return invalidSetting("cluster.workers.lease_s", "must be above report_s (%v), is %v",
			c.Workers.HeartbeatIntervalS, c.Workers.LeaseS)
	}
	return nil
}

// validateTeams checks that each team has a unique name, and that no guarantee or quota is negative.
func (c *Cluster) validateTeams() error {
	seen := map[string]bool{}
	for i, team := range c.Teams {
		if team.Name == "" || seen[team.Name] {
			return invalidSetting(fmt.Sprintf("cluster.teams[%d].name", i), "missing or given twice")
		}
		seen[team.Name] = true
		for _, amount := range []float64{team.GuaranteedCPUs, team.MaxCPUs, team.GuaranteedGPUs, team.MaxGPUs} {
			if amount < 0 {
				return invalidSetting(fmt.Sprintf("cluster.teams[%d]", i), "%s: amounts can't be negative", team.Name)
			}
			if math.IsNaN(amount) || math.IsInf(amount, 0) {
				return invalidSetting(fmt.Sprintf("cluster.teams[%d]", i), "%s: amounts must be finite", team.Name)
			}
		}
	}
	return nil
}

// validateObjectives checks that shares are within 0..1 and that no time limit is negative.
func (c *Cluster) validateObjectives() error {
	for i, objective := range c.Objectives {
		if !(objective.MinShare >= 0 && objective.MinShare <= 1 && objective.WithinS >= 0) {
			return invalidSetting(fmt.Sprintf("cluster.objectives[%d]", i),
				"share must be within 0..1 and within_s not negative")
		}
	}
	return nil
}
