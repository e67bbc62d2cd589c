package emulator

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"
)

// Guards against broken guarantees under random faults that overlap, with controllers as processes.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runFaults(t, FaultTestOptions{FaultDuration: 20 * time.Second,
				Options: Options{Machines: 40, Controllers: 3, Seed: seed, Load: 0.5}})
		})
	}
}

// Guards against lost results, and jobs that are done too late for it, after workers were cut from their controller for
// a moment: each waits for the response to its heartbeat for so long that its machine is returned as silent.
func TestResultsSurviveShortCutOfWorkers(t *testing.T) {
	runFaults(t, FaultTestOptions{FaultDuration: 30 * time.Second,
		Options: Options{Machines: 60, Controllers: 3, Seed: 362, Load: 0.5}})
}

// runFaults runs a fault test and reports its violations.
func runFaults(t *testing.T, options FaultTestOptions) {
	t.Helper()
	summary := &bytes.Buffer{}
	options.SummaryOutput = summary
	result, err := RunFaultTest(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	if result.Jobs == 0 {
		t.Error("no job was accepted")
	}
	if t.Failed() {
		t.Log(summary)
	}
}

// Guards against a seed that no longer stands for one schedule, by which failures are reported.
func TestSeedDeterminesSchedule(t *testing.T) {
	lease, duration := 6*time.Second, time.Minute
	first := newSchedule(3, 5, lease, duration).String()
	if again := newSchedule(3, 5, lease, duration).String(); again != first {
		t.Errorf("seed 3: got first\n%s\nand then\n%s", first, again)
	}
	if other := newSchedule(4, 5, lease, duration).String(); other == first {
		t.Error("seeds 3 and 4 give the same schedule")
	}
}

// Guards against a fault test that starts with options that can't be used, in place of an error in one line.
func TestFaultTestRejectsInvalidOptions(t *testing.T) {
	_, err := RunFaultTest(t.Context(), FaultTestOptions{FaultDuration: time.Second,
		Options: Options{Machines: 0, Controllers: 3, Load: 0.5}})
	var invalid *InvalidOptionError
	if !errors.As(err, &invalid) || invalid.Flag != "--machines" {
		t.Errorf("0 machines: got error %v, want one about --machines", err)
	}
}
