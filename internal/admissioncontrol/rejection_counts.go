package admissioncontrol

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// maxRejectedJobs bounds the jobs that are remembered as rejected in an epoch.
const maxRejectedJobs = 20_000

// rejectionCounts counts the submissions that this node rejects in an epoch, until they are
// reported to the leader.
type rejectionCounts struct {
	unreported     map[admission.Group]*protocol.GroupLoad
	reportedAt     clock.Instant   // last report
	rejectedJobs   map[string]bool // jobs rejected for capacity in this epoch
	epochStartedAt clock.Instant   // start of that epoch
}

// newRejectionCounts returns counts without any rejection.
func newRejectionCounts() rejectionCounts {
	return rejectionCounts{unreported: map[admission.Group]*protocol.GroupLoad{}, rejectedJobs: map[string]bool{}}
}

// reset starts the counts of another epoch.
func (c *rejectionCounts) reset(now clock.Instant) {
	clear(c.unreported)
	c.startEpoch(now)
}

// startEpoch starts another epoch but keeps the counts that are not reported yet.
func (c *rejectionCounts) startEpoch(now clock.Instant) {
	clear(c.rejectedJobs)
	c.epochStartedAt = now
}

// countPolicyRejection counts a submission that the policy does not admit yet.
func (c *rejectionCounts) countPolicyRejection(group admission.Group) {
	if load := c.groupLoad(group); load != nil {
		load.RejectedByPolicy++
	}
}

// countCapacityRejection counts an admitted job that this node can't write in time. A job counts once
// per epoch, however often its user retries.
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

// groupLoad returns the counts of a group, or nil if there are too many groups: submissions under
// very many names. The groups counted so far show the overload.
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

// takeReport returns the counts that are due to be reported, and resets them. It returns nil if
// there are none, or if the last report is more recent than the interval.
func (c *rejectionCounts) takeReport(now clock.Instant, interval time.Duration) []protocol.GroupLoad {
	if len(c.unreported) == 0 || now < c.reportedAt+interval {
		return nil
	}
	c.reportedAt = now
	loads := sortedLoads(c.unreported)
	clear(c.unreported)
	return loads
}

// sortedLoads lists the loads by team, class and rank.
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
