package fleet

import (
	"testing"

	"hitchdoor/internal/protocol"
)

// A task may run only on an offering that is large enough and that the constraints of its job allow.
// MatchesConstraints must check only the constraints.
func TestOfferingFits(t *testing.T) {
	for name, test := range map[string]struct {
		job               protocol.Job
		fits, constraints bool
	}{
		"any type":          {protocol.Job{Cores: 4, MemoryGB: 16, SpotAllowed: true}, true, true},
		"its type and zone": {protocol.Job{Cores: 1, MachineTypes: []string{"g8", "c4"}, Zone: "a", SpotAllowed: true}, true, true},
		"another type":      {protocol.Job{Cores: 1, MachineTypes: []string{"g8"}, SpotAllowed: true}, false, false},
		"another zone":      {protocol.Job{Cores: 1, Zone: "b", SpotAllowed: true}, false, false},
		"no spot":           {protocol.Job{Cores: 1}, false, false},
		"too many cores":    {protocol.Job{Cores: 5, SpotAllowed: true}, false, true},
		"too much memory":   {protocol.Job{Cores: 1, MemoryGB: 17, SpotAllowed: true}, false, true},
		"accelerators":      {protocol.Job{Cores: 1, Accelerators: 1, SpotAllowed: true}, false, true},
		"an unknown zone":   {protocol.Job{Cores: 1, Zone: "z", SpotAllowed: true}, false, false},
	} {
		if got := spotSmall.Fits(&test.job, smallType); got != test.fits {
			t.Errorf("%s: Fits: got %v, want %v", name, got, test.fits)
		}
		if got := spotSmall.MatchesConstraints(&test.job); got != test.constraints {
			t.Errorf("%s: MatchesConstraints: got %v, want %v", name, got, test.constraints)
		}
		if spotSmall.Fits(&test.job, nil) {
			t.Errorf("%s: the job fits on a machine of an unknown type, want that it does not", name)
		}
	}
}
