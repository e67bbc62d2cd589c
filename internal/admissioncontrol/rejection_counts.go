package admissioncontrol

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// maxRejectedJobs limits the number of rejected jobs whose ids are kept in an epoch. Jobs above the limit
// are counted at each retry.
const maxRejectedJobs = 20_000

// rejectionCounts counts the submissions that this node rejects in an epoch until the counts are
// reported to the leader.
type rejectionCounts struct {
	unreported     map[admission.Group]*protocol.GroupLoad // counts since the last report
	reportedAt     clock.Instant                           // time of the last report
	rejectedJobs   map[string]bool                         // ids of the jobs rejected for capacity in this epoch
	epochStartedAt clock.Instant                           // start of the current epoch
}

// newRejectionCounts returns empty counts.
func newRejectionCounts() rejectionCounts {
	return rejectionCounts{unreported: map[admission.Group]*protocol.GroupLoad{}, rejectedJobs: map[string]bool{}}
}

// reset starts another epoch and drops the counts that have not been reported yet.
func (c *rejectionCounts) reset(now clock.Instant) {
	clear(c.unreported)
	c.startEpoch(now)
}

// startEpoch starts another epoch but keeps the counts that have not been reported yet.
func (c *rejectionCounts) startEpoch(now clock.Instant) {
	clear(c.rejectedJobs)
	c.epochStartedAt = now
}

// countPolicyRejection counts a submission attempt that the policy does not admit yet.
func (c *rejectionCounts) countPolicyRejection(group admission.Group) {
	if load := c.groupLoad(group); load != nil {
		load.RejectedByPolicy++
	}
}

// countCapacityRejection counts a job that the policy admits but that this node can't write in time. A
// job is counted once per epoch, however often its user retries.
func (c *rejectionCounts) countCapacityRejection(group admission.Group, jobID string) {
	if c.rejectedJobs[jobID] {
		return
	}
	if len(c.rejectedJobs) < maxRejectedJobs {
		c.rejectedJobs[jobID] = true
	}
	if load := c.groupLoad(group); load != nil {
		load.RejectedForCapacity++
	}
}

// groupLoad returns the counts of a group, or nil if MaxGroupLoads other groups have counts already,
// which happens if submissions use very many team or class names. The counts of these groups suffice
// to detect the overload.
func (c *rejectionCounts) groupLoad(group admission.Group) *protocol.GroupLoad {
	load := c.unreported[group]
	if load == nil {
		if len(c.unreported) >= protocol.MaxGroupLoads {
			return nil
		}
		load = &protocol.GroupLoad{Team: group.Team, Class: group.Class, PriorityRank: group.PriorityRank}
		c.unreported[group] = load
	}
	return load
}

// takeReport returns and resets the counts that have not been reported yet. It returns nil if there are
// none, or if the last report is more recent than interval.
func (c *rejectionCounts) takeReport(now clock.Instant, interval time.Duration) []protocol.GroupLoad {
	if len(c.unreported) == 0 || now < c.reportedAt+interval {
		return nil
	}
	c.reportedAt = now
	loads := sortedLoads(c.unreported)
	clear(c.unreported)
	return loads
}

// sortedLoads returns the loads sorted by team, class and priority.
func sortedLoads(loads map[admission.Group]*protocol.GroupLoad) []protocol.GroupLoad {
	sorted := make([]protocol.GroupLoad, 0, len(loads))
	for _, load := range loads {
		sorted = append(sorted, *load)
	}
	slices.SortFunc(sorted, func(a, b protocol.GroupLoad) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class), a.PriorityRank-b.PriorityRank)
	})
	return sorted
}
