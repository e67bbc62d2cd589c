package protocol

import (
	"hitchdoor/internal/config"
)

// Upper limits of the amounts in messages and stored records. The protocol has none, but sums and products
// of unlimited amounts are infinite, and neither JSON nor a duration can hold an infinite value. A larger
// amount is therefore reduced to its limit where it is decoded. It is not rejected, because the message
// is valid, and a job of such an amount may have been accepted already.
const (
	// MaxAmount limits cores, accelerators, sizes in GB, rates and prices.
	MaxAmount = 1e9
	// maxRejectionsPerGroup limits the counts of an AdmissionLoad.
	maxRejectionsPerGroup = 1 << 30
)

// maxSeconds limits durations. It is the longest duration that config.Seconds returns.
var maxSeconds = config.MaxDuration.Seconds()

// LimitAmounts reduces the amounts of a job to their limits. The job must be valid.
func (j *Job) LimitAmounts() {
	for _, amount := range []*float64{&j.Cores, &j.Accelerators, &j.MemoryGB, &j.ImageGB} {
		*amount = min(*amount, MaxAmount)
	}
	for _, seconds := range []*float64{&j.EstimatedSeconds, &j.CheckpointIntervalSeconds, &j.CheckpointSaveSeconds} {
		*seconds = min(*seconds, maxSeconds)
	}
	if j.DeadlineSeconds != nil {
		deadline := min(*j.DeadlineSeconds, maxSeconds)
		j.DeadlineSeconds = &deadline
	}
}

// limitAmounts raises and reduces the amounts of a machine type to their limits.
func (t *MachineType) limitAmounts() {
	for _, limited := range []struct {
		amount           *float64
		minimum, maximum float64
	}{
		{&t.Cores, 0, MaxAmount}, {&t.Accelerators, 0, MaxAmount}, {&t.MemoryGB, 0, MaxAmount},
		{&t.ImageCacheGB, 0, MaxAmount}, {&t.PullGBPerSecond, minPullGBPerSecond, MaxAmount},
		{&t.OnDemandPrice, minPrice, MaxAmount}, {&t.SpotPrice, minPrice, MaxAmount}, {&t.BootSeconds, 0, maxSeconds},
	} {
		*limited.amount = min(max(*limited.amount, limited.minimum), limited.maximum)
	}
}

// limitAmounts reduces the preemption notice of a heartbeat to its limits.
func (h *WorkerHeartbeat) limitAmounts() {
	if h.PreemptionNoticeSeconds != nil {
		notice := min(max(*h.PreemptionNoticeSeconds, 0), maxSeconds)
		h.PreemptionNoticeSeconds = &notice
	}
}
