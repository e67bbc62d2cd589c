package admissioncontrol

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

// Publisher adds up the rejected submissions that all nodes report and the accepted jobs, and publishes
// the admission policy of each epoch. Only the leader has one.
type Publisher struct {
	host           PublisherHost
	follower       *PolicyFollower // follower of the leader's own node
	state          *cluster.State
	writer         PolicyWriter
	log            *slog.Logger
	planner        *admission.Planner                  // nil if it must be created from the current policy
	EpochLoads     map[admission.Group]*admission.Load // loads of the current epoch
	EpochStartedAt clock.Instant                       // when the current epoch began
	publishing     bool                                // the last policy, or its removal, is not durable yet
	maxShares      int                                 // limits the shares of a policy so that its record can be stored
}

// PublisherHost is the interface through which a Publisher uses the controller that leads.
type PublisherHost interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// PoliciesAllowed reports whether the settings enable policies and every node understands them.
	PoliciesAllowed() bool
	// SubmissionsPerSecond returns the rate at which the whole cluster may write submissions.
	SubmissionsPerSecond() float64
}

// PolicyWriter writes the leader's records. It is implemented by storage.Writer.
type PolicyWriter interface {
	// Enqueue adds a change to the queue of writes.
	Enqueue(priority storage.Priority, change storage.Change)
	// ModRevision returns the last known revision of a record, or 0 if there is no record.
	ModRevision(key string) uint64
	// LastRevision returns the revision of the last transaction that was applied.
	LastRevision() uint64
}

// PublisherOptions are the dependencies of a Publisher.
type PublisherOptions struct {
	Host     PublisherHost
	Follower *PolicyFollower
	State    *cluster.State
	Writer   PolicyWriter
	Log      *slog.Logger
}

// These constants bound the policies that a leader publishes.
const (
	// admissionDeadlineShare is the fraction of the users' retry window within which each job should
	// be admitted. The rest of the window is a margin for users who retry late.
	admissionDeadlineShare = 2.0 / 3
	// maxShareBytes is an upper bound on the encoded size of a share in the policy's record.
	maxShareBytes = 256
	// OpenJobsMemoryShare is the fraction of a controller's memory that open jobs may use.
	OpenJobsMemoryShare = 0.25
	// OpenJobBytes is the estimated memory of an open job in bytes.
	OpenJobBytes = 8 << 10
)

// NewPublisher returns the publisher of a leader whose first epoch begins now.
func NewPublisher(options PublisherOptions) *Publisher {
	maxValueBytes := options.State.Config.Store.MaxValueBytes()
	return &Publisher{
		host: options.Host, follower: options.Follower, state: options.State, writer: options.Writer, log: options.Log,
		EpochLoads: map[admission.Group]*admission.Load{}, EpochStartedAt: options.Host.Now(),
		maxShares: max(1, (maxValueBytes-maxShareBytes)/maxShareBytes),
	}
}

// plannerSettings returns the bounds of the policies that the planner computes.
func (p *Publisher) plannerSettings() admission.Settings {
	epochLength := p.follower.EpochLength()
	admissionDeadline := admissionDeadlineShare * float64(protocol.SubmissionRetryWindow)
	return admission.Settings{EpochLengthMS: epochLength.Milliseconds(), MaxShares: p.maxShares,
		MaxEpochsUntilAdmitted: max(1, int(admissionDeadline/float64(epochLength)))}
}

// LoadStoredPolicy applies the policy's record if items contain it. Empty items mean that there was no
// record at the given revision of the key-value store.
func (p *Publisher) LoadStoredPolicy(items []storage.Item, revision uint64) {
	if len(items) == 0 {
		p.follower.ApplyRemoval(revision)
	}
	for _, item := range items {
		if item.Key == storage.AdmissionPolicyKey {
			p.follower.ApplyRecord(item)
		}
	}
}

// AddNodeLoad adds the rejected submissions that a node reports to the loads of the current epoch. A
// report that was counted under another policy is ignored.
func (p *Publisher) AddNodeLoad(message protocol.AdmissionLoad) {
	if p.publishing || message.PolicyRevision != p.follower.RecordRevision {
		return // counted under another policy
	}
	for _, nodeLoad := range message.Groups {
		group := admission.Group{Team: nodeLoad.Team, Class: nodeLoad.Class, PriorityRank: nodeLoad.PriorityRank}
		load := p.groupLoad(group)
		if load != nil {
			load.RejectedForCapacity += nodeLoad.RejectedForCapacity
			load.RejectedByPolicy += nodeLoad.RejectedByPolicy
		}
	}
}

// CountAccepted counts a job that any node has accepted in the current epoch.
func (p *Publisher) CountAccepted(spec *protocol.Job) {
	if load := p.groupLoad(GroupOf(spec)); load != nil {
		load.Accepted++
	}
}

// groupLoad returns the load of a group in the current epoch, or nil if there are MaxGroupLoads other
// groups already.
func (p *Publisher) groupLoad(group admission.Group) *admission.Load {
	load := p.EpochLoads[group]
	if load == nil && len(p.EpochLoads) < protocol.MaxGroupLoads {
		load = &admission.Load{Group: group, Weight: p.teamWeight(group.Team)}
		p.EpochLoads[group] = load
	}
	return load
}

// teamWeight returns a team's weight for the allocation of capacity. The weight grows with the cores
// guaranteed to the team, from 1 (none, or an unknown team) to 2 for the largest guarantee.
func (p *Publisher) teamWeight(teamName string) float64 {
	largestGuarantee := 0.0
	for _, other := range p.state.Config.Teams {
		largestGuarantee = max(largestGuarantee, other.GuaranteedCPUs)
	}
	team := p.state.Config.Team(teamName)
	if team == nil || largestGuarantee == 0 {
		return 1
	}
	return 1 + team.GuaranteedCPUs/largestGuarantee
}

// EpochCapacity returns the number of jobs that can be accepted in an epoch. It is limited by the rate of
// writes to the key-value store and by the memory that is left for open jobs. That memory is spread over the number of
// epochs within which every waiting job should be admitted.
func (p *Publisher) EpochCapacity() admission.Capacity {
	byRate := p.host.SubmissionsPerSecond() * p.follower.EpochLength().Seconds()
	maxOpenJobs := OpenJobsMemoryShare * p.state.Config.Resources.MemoryMB * (1 << 20) / OpenJobBytes
	byMemory := max(1, (maxOpenJobs-float64(len(p.state.Jobs)))/float64(p.plannerSettings().MaxEpochsUntilAdmitted))
	return admission.Capacity{Jobs: min(byRate, byMemory), MemoryLimited: byMemory < byRate}
}

// Tick starts the next epoch and publishes its policy once the current epoch has ended. revision is the
// latest revision of the key-value store that the leader knows.
func (p *Publisher) Tick(revision uint64) {
	now := p.host.Now()
	if now < p.EpochStartedAt+p.follower.EpochLength() || p.publishing {
		return
	}
	p.EpochStartedAt = now
	loads := p.takeEpochLoads()
	if !p.host.PoliciesAllowed() || p.follower.Invalid {
		p.planner = nil
		if p.writer.ModRevision(storage.AdmissionPolicyKey) != 0 {
			p.publishPolicy(nil) // removes a policy that is no longer allowed, or an invalid one
		}
		return
	}
	p.publishNextPolicy(loads, revision)
}

// publishNextPolicy publishes the policy that the planner computes from the loads of the last epoch. If
// no policy is needed, it removes the current one.
func (p *Publisher) publishNextPolicy(loads []admission.Load, revision uint64) {
	if p.planner == nil {
		p.planner = admission.NewPlanner(p.plannerSettings(), p.follower.Current)
	}
	hadPolicy := p.planner.Policy() != nil
	// Each write of a policy increases the revision. Epochs that are numbered from the next revision
	// therefore get higher numbers than all earlier ones.
	next := p.planner.NextPolicy(loads, p.EpochCapacity(), max(revision, p.follower.Revision)+1)
	if next == nil && !hadPolicy {
		return
	}
	if (next != nil) != hadPolicy {
		// capacity is in jobs per epoch.
		p.log.Info("admission policy turned on or off", "active", next != nil, "capacity", p.EpochCapacity().Jobs)
	}
	p.publishPolicy(next)
}

// takeEpochLoads returns and resets the loads of the epoch that ends.
func (p *Publisher) takeEpochLoads() []admission.Load {
	loads := make([]admission.Load, 0, len(p.EpochLoads))
	for _, load := range p.EpochLoads {
		loads = append(loads, *load)
	}
	clear(p.EpochLoads)
	return loads
}

// publishPolicy writes a policy, or removes the record if policy is nil. The write is conditional on the
// leader key, like all writes of a leader, so a leader that has been replaced publishes nothing.
func (p *Publisher) publishPolicy(policy *admission.Policy) {
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

// onPublished starts the epoch of a policy that has become durable, or the epoch after its removal.
func (p *Publisher) onPublished(hasPolicy bool, write storage.Write) {
	p.publishing = false
	p.EpochStartedAt = p.host.Now()
	clear(p.EpochLoads)
	if !hasPolicy {
		p.follower.ApplyRemoval(max(p.follower.Revision, p.writer.LastRevision()))
		p.follower.Read(nil) // gets the revision of the removal, which is announced to peers
		return
	}
	p.follower.ApplyRecord(storage.Item{Key: storage.AdmissionPolicyKey, Value: write.Value,
		ModRevision: p.writer.ModRevision(storage.AdmissionPolicyKey)})
}

// onRejected handles a policy that the key-value store refuses because its limit on the size of a value
// has become smaller. The next policy names fewer groups.
func (p *Publisher) onRejected() {
	p.publishing = false
	p.maxShares = max(1, p.maxShares/2)
	p.planner = nil
}

// WaitingGroups returns the number of accepted jobs without a started task by group, sorted by priority,
// team and class.
func WaitingGroups(state *cluster.State) []admission.WaitingGroup {
	counts := map[admission.Group]int{}
	for _, job := range state.RunnableJobs {
		if job.FirstStartAt == 0 && job.DoneTasks == 0 && len(job.Attempts) == 0 {
			counts[GroupOf(&job.Spec)]++
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
