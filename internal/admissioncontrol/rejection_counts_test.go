package admissioncontrol

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/protocol"
)

// A job that is rejected for lack of capacity must be counted once per epoch, because retries would
// inflate the estimated demand. An attempt that the policy rejects must be counted each time.
func TestRejectionsAreCounted(t *testing.T) {
	counts := newRejectionCounts()
	urgent := admission.Group{Team: "b", Class: "c", PriorityRank: 1}
	low := admission.Group{Team: "a", Class: "c", PriorityRank: 3}
	for range 3 {
		counts.countCapacityRejection(urgent, "j-1")
		counts.countPolicyRejection(low)
	}
	counts.countCapacityRejection(urgent, "j-2")
	want := []protocol.GroupLoad{
		{Team: "a", Class: "c", PriorityRank: 3, RejectedByPolicy: 3},
		{Team: "b", Class: "c", PriorityRank: 1, RejectedForCapacity: 2},
	}
	if got := counts.takeReport(time.Minute, time.Second); !slices.Equal(got, want) {
		t.Errorf("reported loads: got %+v, want %+v", got, want)
	}
	if counts.countCapacityRejection(urgent, "j-1"); counts.takeReport(2*time.Minute, time.Second) != nil {
		t.Error("job j-1 was counted again in the same epoch")
	}
	counts.reset(2 * time.Minute)
	counts.countCapacityRejection(urgent, "j-1")
	if counts.takeReport(time.Minute+time.Second-1, time.Second) != nil {
		t.Error("counts were reported before the interval had passed")
	}
	if got := counts.takeReport(time.Minute+time.Second, time.Second); len(got) != 1 || got[0].RejectedForCapacity != 1 {
		t.Errorf("reported loads of the next epoch: got %+v, want one job rejected for capacity", got)
	}
}

// Submissions with very many team or class names must not let a report grow without bound.
func TestReportedGroupsAreBounded(t *testing.T) {
	counts := newRejectionCounts()
	for i := range protocol.MaxGroupLoads + 10 {
		counts.countPolicyRejection(admission.Group{Team: fmt.Sprint("t", i)})
	}
	if got := len(counts.takeReport(time.Minute, time.Second)); got != protocol.MaxGroupLoads {
		t.Errorf("%d groups were reported, want %d", got, protocol.MaxGroupLoads)
	}
}
