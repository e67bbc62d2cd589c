package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// policyPublisher is the leader's part of admission: it adds up the submissions that all nodes
// report and publishes the policy of each epoch.
type policyPublisher struct {
	host           publisherHost
	follower       *policyFollower // of the node that leads
	state          *cluster.State
	writer         policyWriter
	log            *slog.Logger
	planner        *admission.Planner
	epochLoads     map[admission.Group]*admission.Load // of the current epoch
	epochStartedAt clock.Instant                       // when the current epoch began
	publishing     bool                                // the last policy is not durable yet
	maxShares      int                                 // of a policy, so that its record can be stored
}

// publisherHost is what publishing policies needs from the controller that leads.
type publisherHost interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// PoliciesAllowed reports whether the operators enable policies and every node understands them.
	PoliciesAllowed() bool
	// SubmissionsPerSecond returns the rate at which the cluster may write submissions.
	SubmissionsPerSecond() float64
}

// policyWriter writes the leader's records. It is implemented by storage.Writer.
type policyWriter interface {
	// Enqueue queues a change to be written.
	Enqueue(priority storage.Priority, change storage.Change)
	// ModRevision returns the known revision of a record, or 0 if there is none.
	ModRevision(key string) uint64
	// LastRevision returns the revision of the last transaction that was applied.
	LastRevision() uint64
}

// publisherOptions are the dependencies of a policyPublisher.
type publisherOptions struct {
	host     publisherHost
	follower *policyFollower
	state    *cluster.State
	writer   policyWriter
	log      *slog.Logger
}

// Constants of the policies that a leader publishes.
const (
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

// newPolicyPublisher returns the publisher of a leader whose first epoch begins now.
func newPolicyPublisher(options publisherOptions) *policyPublisher {
	maxValueBytes := options.state.Config.Store.MaxValueBytes()
	return &policyPublisher{
		host: options.host, follower: options.follower, state: options.state, writer: options.writer, log: options.log,
		epochLoads: map[admission.Group]*admission.Load{}, epochStartedAt: options.host.Now(),
		maxShares: max(1, (maxValueBytes-maxShareBytes)/maxShareBytes),
	}
}

// plannerSettings are the bounds of the policies.
func (p *policyPublisher) plannerSettings() admission.Settings {
	epochLength := p.follower.epochLength()
	turnDeadline := turnDeadlineShare * float64(protocol.SubmissionRetryWindow)
	return admission.Settings{EpochLengthMS: epochLength.Milliseconds(), MaxShares: p.maxShares,
		MaxEpochsToTurn: max(1, int(turnDeadline/float64(epochLength)))}
}

// loadStoredPolicy applies the record that an earlier leader left, or its absence at a revision of
// the key-value store.
func (p *policyPublisher) loadStoredPolicy(items []storage.Item, revision uint64) {
	if len(items) == 0 {
		p.follower.noteRemoved(revision)
	}
	for _, item := range items {
		if item.Key == storage.AdmissionPolicyKey {
			p.follower.applyRecord(item)
		}
	}
}

// addNodeLoad adds the rejected submissions that a node reports.
func (p *policyPublisher) addNodeLoad(message protocol.AdmissionLoad) {
	if p.publishing || message.PolicyRevision != p.follower.version {
		return // counted under another policy
	}
	for _, nodeLoad := range message.Groups {
		load := p.groupLoad(admission.Group{Team: nodeLoad.Team, Class: nodeLoad.Class, PriorityRank: nodeLoad.PriorityRank})
		if load != nil {
			load.RejectedForCapacity += nodeLoad.RejectedForCapacity
			load.RejectedByPolicy += nodeLoad.RejectedByPolicy
		}
	}
}

// countAccepted counts a job that some node has accepted.
func (p *policyPublisher) countAccepted(spec *protocol.Job) {
	if load := p.groupLoad(admissionGroup(spec)); load != nil {
		load.Accepted++
	}
}

// groupLoad is the load of a group in this epoch, or nil if there are too many groups.
func (p *policyPublisher) groupLoad(group admission.Group) *admission.Load {
	load := p.epochLoads[group]
	if load == nil && len(p.epochLoads) < protocol.MaxGroupLoads {
		load = &admission.Load{Group: group, Weight: p.teamWeight(group.Team)}
		p.epochLoads[group] = load
	}
	return load
}

// teamWeight is a team's weight among all teams. It grows with the team's guarantee, from 1 to 2.
func (p *policyPublisher) teamWeight(teamName string) float64 {
	largest := 0.0
	for _, t := range p.state.Config.Teams {
		largest = max(largest, t.GuaranteedCPUs)
	}
	team := p.state.Config.Team(teamName)
	if team == nil || largest == 0 {
		return 1
	}
	return 1 + team.GuaranteedCPUs/largest
}

// epochCapacity is the number of jobs that can be accepted in an epoch. It is limited by the rate
// of writes, and by the memory left for open jobs, spread over the epochs within which every
// waiting job is to be admitted.
func (p *policyPublisher) epochCapacity() admission.Capacity {
	byRate := p.host.SubmissionsPerSecond() * p.follower.epochLength().Seconds()
	maxOpenJobs := openJobsMemoryShare * p.state.Config.Resources.MemoryMB * (1 << 20) / openJobBytes
	byMemory := max(1, (maxOpenJobs-float64(len(p.state.Jobs)))/float64(p.plannerSettings().MaxEpochsToTurn))
	return admission.Capacity{Jobs: min(byRate, byMemory), MemoryLimited: byMemory < byRate}
}

// tick starts the next epoch once the current one is over. revision is the latest revision of the
// key-value store that the leader knows.
func (p *policyPublisher) tick(revision uint64) {
	now := p.host.Now()
	if now < p.epochStartedAt+p.follower.epochLength() || p.publishing {
		return
	}
	p.epochStartedAt = now
	loads := p.takeEpochLoads()
	if !p.host.PoliciesAllowed() || p.follower.invalid {
		p.planner = nil
		if p.writer.ModRevision(storage.AdmissionPolicyKey) != 0 {
			p.publishPolicy(nil) // remove the policy of an earlier leader, or an invalid one
		}
		return
	}
	p.publishNextPolicy(loads, revision)
}

// publishNextPolicy publishes the policy that follows from the loads of the last epoch, or removes
// the present one if none is needed.
func (p *policyPublisher) publishNextPolicy(loads []admission.Load, revision uint64) {
	if p.planner == nil {
		p.planner = admission.NewPlanner(p.plannerSettings(), p.follower.current)
	}
	hadPolicy := p.planner.Policy() != nil
	// Each policy that is written raises the revision, so a series of epochs that starts at the
	// next revision is numbered above all earlier ones.
	next := p.planner.NextPolicy(loads, p.epochCapacity(), max(revision, p.follower.revision)+1)
	if next == nil && !hadPolicy {
		return
	}
	if (next != nil) != hadPolicy {
		p.log.Info("admission policy switched", "active", next != nil, "capacity", p.epochCapacity().Jobs)
	}
	p.publishPolicy(next)
}

// takeEpochLoads returns the loads of the epoch that ends and resets them.
func (p *policyPublisher) takeEpochLoads() []admission.Load {
	loads := make([]admission.Load, 0, len(p.epochLoads))
	for _, load := range p.epochLoads {
		loads = append(loads, *load)
	}
	clear(p.epochLoads)
	return loads
}

// publishPolicy writes a policy, or removes the record if it is nil. Like all writes of a leader
// it is conditioned on the leader key, so a leader that has been replaced publishes nothing.
func (p *policyPublisher) publishPolicy(policy *admission.Policy) {
	p.publishing = true
	write := storage.Delete(storage.AdmissionPolicyKey)
	if policy != nil {
		write = storage.Put(storage.AdmissionPolicyKey, policy)
	}
	p.writer.Enqueue(storage.PriorityDependency, storage.Change{
		BuildWrites: func() []storage.Write { return []storage.Write{write} },
		OnApplied:   func() { p.onPublished(policy != nil, write) },
		OnRejected:  func(bool) { p.onRejected() },
	})
}

// onPublished applies a policy that has become durable, or its removal. The epoch begins now.
func (p *policyPublisher) onPublished(hasPolicy bool, write storage.Write) {
	p.publishing = false
	p.epochStartedAt = p.host.Now()
	clear(p.epochLoads)
	if !hasPolicy {
		p.follower.noteRemoved(max(p.follower.revision, p.writer.LastRevision()))
		p.follower.read(nil) // for the revision of the removal, which peers are told
		return
	}
	p.follower.applyRecord(storage.Item{Key: storage.AdmissionPolicyKey, Value: write.Value,
		ModRevision: p.writer.ModRevision(storage.AdmissionPolicyKey)})
}

// onRejected handles a policy that the key-value store refuses: its limit of a value's size has
// shrunk, so the next policy names fewer groups.
func (p *policyPublisher) onRejected() {
	p.publishing = false
	p.maxShares = max(1, p.maxShares/2)
	p.planner = nil
}

// waitingGroups counts, by group, the accepted jobs of which no task has started.
func waitingGroups(state *cluster.State) []admission.WaitingGroup {
	counts := map[admission.Group]int{}
	for _, job := range state.RunnableJobs {
		if job.FirstStartAt == 0 && job.DoneTasks == 0 && len(job.Attempts) == 0 {
			counts[admissionGroup(&job.Spec)]++
		}
	}
	groups := slices.SortedFunc(maps.Keys(counts), func(a, b admission.Group) int {
		return cmp.Or(a.PriorityRank-b.PriorityRank, cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	waiting := make([]admission.WaitingGroup, len(groups))
	for i, group := range groups {
		waiting[i] = admission.WaitingGroup{Group: group, Jobs: counts[group]}
	}
	return waiting
}
