package coordination

import (
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// admissionControl is the leader's part of admission: it adds up the submissions that all nodes
// report and publishes the policy of each epoch.
type admissionControl struct {
	l         *leadership
	control   *admission.Control
	loads     map[admission.Group]*admission.Load // of the current epoch
	epochAt   Instant                             // when the current epoch began
	writing   bool                                // the last policy is not durable yet
	maxShares int
}

// Constants of the leader's part of admission.
const (
	// epochsPerLease is the number of epochs in a worker lease.
	epochsPerLease = 4
	// turnDeadlineShare is the part of the time for which users retry a submission within which
	// each job should be admitted. The rest is a margin for users who retry late.
	turnShare = 2.0 / 3
	// maxShareBytes is an upper bound of the encoded size of a share in the policy's record.
	shareBytes = 256
	// openJobsMemoryShare is the part of the memory that open jobs may use.
	openJobsShare = 0.25
	// openJobBytes is the memory of an open job, as estimated.
	openJobBytes = 8 << 10
)

// epochLength is how long a policy is in force.
func (n *Node) epochLength() time.Duration {
	return (n.lease() / epochsPerLease).Truncate(time.Millisecond)
}

// start prepares admission for the leader that owns it.
func (a *admissionControl) init(l *leadership) {
	a.l, a.loads, a.epochAt = l, map[admission.Group]*admission.Load{}, l.n.now
	a.maxShares = max(1, (l.n.cfg.Cluster.State.ValueBytes()-shareBytes)/shareBytes)
}

// plannerSettings are the bounds of the policies.
func (a *admissionControl) settings() admission.Settings {
	n := a.l.n
	turn := turnShare * float64(protocol.RetrySpan)
	return admission.Settings{LengthMS: n.epochLength().Milliseconds(), MaxShares: a.maxShares,
		EpochsToTurn: max(1, int(turn/float64(n.epochLength())))}
}

// loadStoredPolicy applies the record that an earlier leader left, or its absence.
func (a *admissionControl) load(items []storage.Item) {
	a.l.knowAll(items)
	if len(items) == 0 {
		a.l.n.policyEnded(a.l.watchRevision)
	}
	for _, it := range items {
		if it.Key == storage.PolicyKey {
			a.l.n.takePolicy(it)
		}
	}
}

// mayPublish reports whether policies may be published: the operators enable them, and every node
// understands them. The heartbeats show a node that was downgraded since it wrote its version.
func (a *admissionControl) enabled() bool {
	n := a.l.n
	if !n.set.FairAdmission || !n.allUnderstand(levelAdmission) {
		return false
	}
	for _, p := range n.peers {
		if n.now-p.heard < n.termSpan() && p.level < levelAdmission {
			return false
		}
	}
	return true
}

// addNodeLoad adds the rejected submissions that a node reports.
func (a *admissionControl) take(m protocol.AdmissionLoad) {
	if a.writing || m.Version != a.l.n.policy.version {
		return // counted under another policy
	}
	for _, g := range m.Groups {
		load := a.loadOf(admission.Group{Team: g.Team, Class: g.Class, Rank: g.Rank})
		if load != nil {
			load.TurnedAway += g.TurnedAway
			load.Refused += g.Refused
		}
	}
}

// countAccepted counts a job that some node has accepted.
func (a *admissionControl) accepted(j *protocol.Job) {
	if load := a.loadOf(groupOf(j)); load != nil {
		load.Accepted++
	}
}

// groupLoad is the load of a group in this epoch, or nil if there are too many groups.
func (a *admissionControl) loadOf(group admission.Group) *admission.Load {
	load := a.loads[group]
	if load == nil && len(a.loads) < protocol.MaxGroupLoads {
		load = &admission.Load{Group: group, Weight: a.weight(group.Team)}
		a.loads[group] = load
	}
	return load
}

// teamWeight is a team's weight among all teams. It grows with the team's guarantee, from 1 to 2.
func (a *admissionControl) weight(name string) float64 {
	largest := 0.0
	for _, t := range a.l.n.cfg.Cluster.Teams {
		largest = max(largest, t.CPUs)
	}
	team := a.l.n.cfg.Cluster.Team(name)
	if team == nil || largest == 0 {
		return 1
	}
	return 1 + team.CPUs/largest
}

// epochCapacity is the number of jobs that can be accepted in an epoch. It is limited by the rate
// of writes, and by the memory left for open jobs, spread over the epochs within which every
// waiting job is to be admitted.
func (a *admissionControl) capacity() admission.Capacity {
	n := a.l.n
	epochs := n.epochLength().Seconds()
	byRate := n.submitBudget.burst * epochs
	most := openJobsShare * n.cfg.Cluster.Resources.MemMB * (1 << 20) / openJobBytes
	byMemory := max(1, (most-float64(len(a.l.jobs)))/float64(a.settings().EpochsToTurn))
	return admission.Capacity{Jobs: min(byRate, byMemory), Short: byMemory < byRate}
}

// tick starts the next epoch once the current one is over.
func (a *admissionControl) tick() {
	l, n := a.l, a.l.n
	if n.now < a.epochAt+n.epochLength() || a.writing {
		return
	}
	a.epochAt = n.now
	loads := a.endEpoch()
	if !a.enabled() || n.policy.invalid {
		a.control = nil
		if l.writer.Version(storage.PolicyKey) != 0 {
			a.publish(nil) // remove the policy of an earlier leader, or an invalid one
		}
		return
	}
	if a.control == nil {
		a.control = admission.NewControl(a.settings(), n.policy.policy)
	}
	had := a.control.Policy() != nil
	// Each policy that is written raises the revision, so a series of epochs that starts at the
	// next revision is numbered above all earlier ones.
	next := a.control.Next(loads, a.capacity(), max(l.watchRevision, n.policy.revision)+1)
	if next == nil && !had {
		return
	}
	if (next != nil) != had {
		n.log.Info("admission policy switched", "active", next != nil, "capacity", a.capacity().Jobs)
	}
	a.publish(next)
}

// takeEpochLoads returns the loads of the epoch that ends and resets them.
func (a *admissionControl) endEpoch() []admission.Load {
	loads := make([]admission.Load, 0, len(a.loads))
	for _, load := range a.loads {
		loads = append(loads, *load)
	}
	clear(a.loads)
	return loads
}

// publishPolicy writes a policy, or removes the record if it is nil. Like all writes of a leader
// it is conditioned on the leader key, so a leader that has been replaced publishes nothing.
func (a *admissionControl) publish(policy *admission.Policy) {
	l, n := a.l, a.l.n
	a.writing = true
	write := storage.Drop(storage.PolicyKey)
	if policy != nil {
		write = storage.Set(storage.PolicyKey, policy)
	}
	l.writer.Add(storage.Releases, storage.Unit{
		Build: func() []storage.Write { return []storage.Write{write} },
		Done: func() {
			a.writing, a.epochAt = false, n.now // the epoch begins when the policy is durable
			clear(a.loads)
			if policy == nil {
				n.policyEnded(max(n.policy.revision, l.writer.LastRevision()))
				n.readPolicy(nil) // for the revision of the removal, which peers are told
				return
			}
			n.takePolicy(storage.Item{Key: storage.PolicyKey, Value: write.Value,
				Version: l.writer.Version(storage.PolicyKey)})
		},
		Refused: func(bool) {
			// The limit of a value's size has shrunk: the next policy names fewer groups.
			a.writing = false
			a.maxShares = max(1, a.maxShares/2)
			a.control = nil
		},
	})
}
