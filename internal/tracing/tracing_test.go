package tracing

import (
	"fmt"
	"testing"
	"time"
)

// Steps come back as they were recorded, by job, and only the last ones are kept.
func TestRecorderKeepsTheLastSteps(t *testing.T) {
	recorder := NewRecorder("n1", 10)
	firstAt := time.Unix(1_000_000, 0)
	for i := range 25 {
		recorder.Record(Step{Job: fmt.Sprintf("j-%d", i%2), Name: "verdict",
			At: firstAt.Add(time.Duration(i) * time.Second), Note: "admitted", Term: 3, Epoch: 7})
	}
	steps := recorder.StepsOf("j-0")
	if len(steps) != 5 {
		t.Fatalf("%d steps are kept", len(steps))
	}
	want := Step{Job: "j-0", Node: "n1", Name: "verdict", At: firstAt.Add(16 * time.Second),
		Note: "admitted", Term: 3, Epoch: 7}
	if got := steps[0]; !got.At.Equal(want.At) || got.Job != want.Job || got.Node != want.Node ||
		got.Name != want.Name || got.Note != want.Note || got.Term != want.Term || got.Epoch != want.Epoch {
		t.Errorf("%+v, not %+v", got, want)
	}
	if len(recorder.StepsOf("j-2")) != 0 || TraceID("j-0") == TraceID("j-1") || !TraceID("j-0").IsValid() {
		t.Error("traces are not told apart")
	}
}
