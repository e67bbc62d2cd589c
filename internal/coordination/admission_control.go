package coordination

import (
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// admissionControl is the leader's part of admission: it gathers what all nodes say of
// submissions, and publishes the policy of each epoch.
type admissionControl struct {
	l         *leadership
	control   *admission.Control
	loads     map[admission.Group]*admission.Load // of the epoch that runs
	epochAt   Instant                             // when it began
	writing   bool                                // the last policy is not yet durable
	maxShares int
}

// Constants of admission.
const (
	epochsPerLease = 4
	// turnShare of the time for which users repeat a submission is within which each job's
	// turn should come: the rest is for users who come late.
	turnShare = 2.0 / 3
	// shareBytes is more than what a share takes in its record.
	shareBytes = 256
	// openJobsShare of the memory may be taken by open jobs, of openJobBytes each.
	openJobsShare = 0.25
	openJobBytes  = 8 << 10
)

// epochLength is how long a policy holds.
func (n *Node) epochLength() time.Duration {
	return (n.lease() / epochsPerLease).Truncate(time.Millisecond)
}

func (a *admissionControl) init(l *leadership) {
	a.l, a.loads, a.epochAt = l, map[admission.Group]*admission.Load{}, l.n.now
	a.maxShares = max(1, (l.n.cfg.Cluster.State.ValueBytes()-shareBytes)/shareBytes)
}

// settings bound the policies.
func (a *admissionControl) settings() admission.Settings {
	n := a.l.n
	turn := turnShare * float64(protocol.RetrySpan)
	return admission.Settings{LengthMS: n.epochLength().Milliseconds(), MaxShares: a.maxShares,
		EpochsToTurn: max(1, int(turn/float64(n.epochLength())))}
}

// load takes the record that a predecessor left.
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

// enabled tells whether policies may be published: an operator wants them, and every node
// judges by them. One that has gone back to an earlier version is known by its heartbeats.
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

// take adds what a node says of the submissions that it had to turn away.
func (a *admissionControl) take(m protocol.AdmissionLoad) {
	if a.writing || m.Version != a.l.n.policy.version {
		return // judged by another policy
	}
	for _, g := range m.Groups {
		load := a.loadOf(admission.Group{Team: g.Team, Class: g.Class, Rank: g.Rank})
		if load != nil {
			load.TurnedAway += g.TurnedAway
			load.Refused += g.Refused
		}
	}
}

// accepted counts a job that some node has accepted.
func (a *admissionControl) accepted(j *protocol.Job) {
	if load := a.loadOf(groupOf(j)); load != nil {
		load.Accepted++
	}
}

// loadOf is the load of a group in this epoch, or nil if there are too many.
func (a *admissionControl) loadOf(group admission.Group) *admission.Load {
	load := a.loads[group]
	if load == nil && len(a.loads) < protocol.MaxGroupLoads {
		load = &admission.Load{Group: group, Weight: a.weight(group.Team)}
		a.loads[group] = load
	}
	return load
}

// weight is a team's among others: up to twice as much for the largest guarantee.
func (a *admissionControl) weight(name string) float64 {
	largest := 0.0
	for _, t := range a.l.n.cfg.Cluster.Teams {
		largest = max(largest, t.CPUs)
	}
	team := a.l.n.team(name)
	if team == nil || largest == 0 {
		return 1
	}
	return 1 + team.CPUs/largest
}

// capacity is what an epoch can take: what submissions may write, and no more than the
// memory for open jobs has room for by the time within which all that waits has its turn.
func (a *admissionControl) capacity() admission.Capacity {
	n := a.l.n
	epochs := n.epochLength().Seconds()
	byRate := n.submitBudget.burst * epochs
	most := openJobsShare * n.cfg.Cluster.Resources.MemMB * (1 << 20) / openJobBytes
	byMemory := max(1, (most-float64(len(a.l.jobs)))/float64(a.settings().EpochsToTurn))
	return admission.Capacity{Jobs: min(byRate, byMemory), Short: byMemory < byRate}
}

// tick begins the next epoch once the present one is over.
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
			a.publish(nil) // by a leader that had reason to, or one that can't be read
		}
		return
	}
	if a.control == nil {
		a.control = admission.NewControl(a.settings(), n.policy.policy)
	}
	had := a.control.Policy() != nil
	// Revisions grow by each policy, so a new series of epochs begins above all before it.
	next := a.control.Next(loads, a.capacity(), max(l.watchRevision, n.policy.revision)+1)
	if next == nil && !had {
		return
	}
	if (next != nil) != had {
		n.log.Info("admission by policy", "on", next != nil, "capacity", a.capacity().Jobs)
	}
	a.publish(next)
}

// endEpoch takes the loads of the epoch that ends.
func (a *admissionControl) endEpoch() []admission.Load {
	loads := make([]admission.Load, 0, len(a.loads))
	for _, load := range a.loads {
		loads = append(loads, *load)
	}
	clear(a.loads)
	return loads
}

// publish writes a policy, or removes the record. Like all that a leader writes, it is
// conditioned on the leader key, so a leader that has been replaced publishes nothing.
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
			a.writing, a.epochAt = false, n.now // it begins now that all are bound by it
			clear(a.loads)
			if policy == nil {
				n.policyEnded(max(n.policy.revision, l.writer.LastRevision()))
				n.readPolicy(nil) // for the revision that others are told
				return
			}
			n.takePolicy(storage.Item{Key: storage.PolicyKey, Value: write.Value, Version: l.writer.Version(storage.PolicyKey)})
		},
		Refused: func(bool) {
			// Values have become smaller: the next one names fewer groups.
			a.writing = false
			a.maxShares = max(1, a.maxShares/2)
			a.control = nil
		},
	})
}
