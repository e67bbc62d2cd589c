package controller

import (
	"time"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// admissionControl is the leader's part of admission: it adds up the submissions that all nodes
// report and publishes the policy of each epoch.
type admissionControl struct {
	leader         *leader
	planner        *admission.Planner
	epochLoads     map[admission.Group]*admission.Load // of the current epoch
	epochStartedAt clock.Instant                       // when the current epoch began
	publishing     bool                                // the last policy is not durable yet
	maxShares      int
}

// Constants of the leader's part of admission.
const (
	// epochsPerLease is the number of epochs in a worker lease.
	epochsPerLease = 4
	// turnDeadlineShare is the part of the time for which users retry a submission within which
	// each job should be admitted. The rest is a margin for users who retry late.
	turnDeadlineShare = 2.0 / 3
	// maxShareBytes is an upper bound of the encoded size of a share in the policy's record.
	maxShareBytes = 256
	// openJobsMemoryShare is the part of the memory that open jobs may use.
	openJobsMemoryShare = 0.25
	// openJobBytes is the memory of an open job, as estimated.
	openJobBytes = 8 << 10
)

// epochLength is how long a policy is in force.
func (n *Node) epochLength() time.Duration {
	return (n.workerLease() / epochsPerLease).Truncate(time.Millisecond)
}

// start prepares admission for the leader that owns it.
func (a *admissionControl) start(owner *leader) {
	a.leader, a.epochLoads, a.epochStartedAt = owner, map[admission.Group]*admission.Load{}, owner.node.now
	a.maxShares = max(1, (owner.node.cfg.Cluster.Store.MaxValueBytes()-maxShareBytes)/maxShareBytes)
}

// plannerSettings are the bounds of the policies.
func (a *admissionControl) plannerSettings() admission.Settings {
	node := a.leader.node
	turnDeadline := turnDeadlineShare * float64(protocol.SubmissionRetryWindow)
	return admission.Settings{EpochLengthMS: node.epochLength().Milliseconds(), MaxShares: a.maxShares,
		MaxEpochsToTurn: max(1, int(turnDeadline/float64(node.epochLength())))}
}

// loadStoredPolicy applies the record that an earlier leader left, or its absence.
func (a *admissionControl) loadStoredPolicy(items []storage.Item) {
	a.leader.writer.noteRevisions(items)
	if len(items) == 0 {
		a.leader.node.notePolicyRemoved(a.leader.loader.jobsRevision())
	}
	for _, item := range items {
		if item.Key == storage.AdmissionPolicyKey {
			a.leader.node.applyPolicyRecord(item)
		}
	}
}

// mayPublish reports whether policies may be published: the operators enable them, and every node
// understands them. The heartbeats show a node that was downgraded since it wrote its version.
func (a *admissionControl) mayPublish() bool {
	node := a.leader.node
	if !node.settings.FairAdmission || !node.clusterSupports(protocolLevelAdmission) {
		return false
	}
	for _, peer := range node.peers {
		if node.now-peer.lastContact < node.leaderLease() && peer.protocolLevel < protocolLevelAdmission {
			return false
		}
	}
	return true
}

// addNodeLoad adds the rejected submissions that a node reports.
func (a *admissionControl) addNodeLoad(message protocol.AdmissionLoad) {
	if a.publishing || message.PolicyRevision != a.leader.node.admissionPolicy.version {
		return // counted under another policy
	}
	for _, nodeLoad := range message.Groups {
		load := a.groupLoad(admission.Group{Team: nodeLoad.Team, Class: nodeLoad.Class, PriorityRank: nodeLoad.PriorityRank})
		if load != nil {
			load.RejectedForCapacity += nodeLoad.RejectedForCapacity
			load.RejectedByPolicy += nodeLoad.RejectedByPolicy
		}
	}
}

// countAccepted counts a job that some node has accepted.
func (a *admissionControl) countAccepted(spec *protocol.Job) {
	if load := a.groupLoad(admissionGroup(spec)); load != nil {
		load.Accepted++
	}
}

// groupLoad is the load of a group in this epoch, or nil if there are too many groups.
func (a *admissionControl) groupLoad(group admission.Group) *admission.Load {
	load := a.epochLoads[group]
	if load == nil && len(a.epochLoads) < protocol.MaxGroupLoads {
		load = &admission.Load{Group: group, Weight: a.teamWeight(group.Team)}
		a.epochLoads[group] = load
	}
	return load
}

// teamWeight is a team's weight among all teams. It grows with the team's guarantee, from 1 to 2.
func (a *admissionControl) teamWeight(teamName string) float64 {
	largest := 0.0
	for _, t := range a.leader.node.cfg.Cluster.Teams {
		largest = max(largest, t.GuaranteedCPUs)
	}
	team := a.leader.node.cfg.Cluster.Team(teamName)
	if team == nil || largest == 0 {
		return 1
	}
	return 1 + team.GuaranteedCPUs/largest
}

// epochCapacity is the number of jobs that can be accepted in an epoch. It is limited by the rate
// of writes, and by the memory left for open jobs, spread over the epochs within which every
// waiting job is to be admitted.
func (a *admissionControl) epochCapacity() admission.Capacity {
	node := a.leader.node
	epochSeconds := node.epochLength().Seconds()
	byRate := node.submissionBudget.Burst * epochSeconds
	maxOpenJobs := openJobsMemoryShare * node.cfg.Cluster.Resources.MemoryMB * (1 << 20) / openJobBytes
	byMemory := max(1, (maxOpenJobs-float64(len(a.leader.Jobs)))/float64(a.plannerSettings().MaxEpochsToTurn))
	return admission.Capacity{Jobs: min(byRate, byMemory), MemoryLimited: byMemory < byRate}
}

// tick starts the next epoch once the current one is over.
func (a *admissionControl) tick() {
	leader, node := a.leader, a.leader.node
	if node.now < a.epochStartedAt+node.epochLength() || a.publishing {
		return
	}
	a.epochStartedAt = node.now
	loads := a.takeEpochLoads()
	if !a.mayPublish() || node.admissionPolicy.invalid {
		a.planner = nil
		if leader.writer.ModRevision(storage.AdmissionPolicyKey) != 0 {
			a.publishPolicy(nil) // remove the policy of an earlier leader, or an invalid one
		}
		return
	}
	if a.planner == nil {
		a.planner = admission.NewPlanner(a.plannerSettings(), node.admissionPolicy.current)
	}
	hadPolicy := a.planner.Policy() != nil
	// Each policy that is written raises the revision, so a series of epochs that starts at the
	// next revision is numbered above all earlier ones.
	next := a.planner.NextPolicy(loads, a.epochCapacity(), max(leader.loader.jobsRevision(), node.admissionPolicy.revision)+1)
	if next == nil && !hadPolicy {
		return
	}
	if (next != nil) != hadPolicy {
		node.log.Info("admission policy switched", "active", next != nil, "capacity", a.epochCapacity().Jobs)
	}
	a.publishPolicy(next)
}

// takeEpochLoads returns the loads of the epoch that ends and resets them.
func (a *admissionControl) takeEpochLoads() []admission.Load {
	loads := make([]admission.Load, 0, len(a.epochLoads))
	for _, load := range a.epochLoads {
		loads = append(loads, *load)
	}
	clear(a.epochLoads)
	return loads
}

// publishPolicy writes a policy, or removes the record if it is nil. Like all writes of a leader
// it is conditioned on the leader key, so a leader that has been replaced publishes nothing.
func (a *admissionControl) publishPolicy(policy *admission.Policy) {
	leader, node := a.leader, a.leader.node
	a.publishing = true
	write := storage.Delete(storage.AdmissionPolicyKey)
	if policy != nil {
		write = storage.Put(storage.AdmissionPolicyKey, policy)
	}
	leader.writer.Enqueue(storage.PriorityDependency, storage.Change{
		BuildWrites: func() []storage.Write { return []storage.Write{write} },
		OnApplied: func() {
			a.publishing, a.epochStartedAt = false, node.now // the epoch begins when the policy is durable
			clear(a.epochLoads)
			if policy == nil {
				node.notePolicyRemoved(max(node.admissionPolicy.revision, leader.writer.LastRevision()))
				node.readPolicy(nil) // for the revision of the removal, which peers are told
				return
			}
			node.applyPolicyRecord(storage.Item{Key: storage.AdmissionPolicyKey, Value: write.Value,
				ModRevision: leader.writer.ModRevision(storage.AdmissionPolicyKey)})
		},
		OnRejected: func(bool) {
			// The limit of a value's size has shrunk: the next policy names fewer groups.
			a.publishing = false
			a.maxShares = max(1, a.maxShares/2)
			a.planner = nil
		},
	})
}
