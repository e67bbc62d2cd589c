package tracing

import (
	"fmt"
	"testing"
	"time"
)

// The recorder must return the steps of a job as they were recorded, without those of other jobs. When
// it is full, it must evict the oldest steps: here 10 of 25 are kept, half of them of each job.
func TestRecorderKeepsTheLastSteps(t *testing.T) {
	recorder := NewRecorder("n1", 10)
	firstAt := time.Unix(1_000_000, 0)
	for i := range 25 {
		recorder.Record(Step{Job: fmt.Sprintf("j-%d", i%2), Name: "verdict",
			At: firstAt.Add(time.Duration(i) * time.Second), Note: "admitted", Term: 3, Epoch: 7})
	}
	steps := recorder.StepsOf("j-0")
	if len(steps) != 5 {
		t.Fatalf("steps of j-0 that are kept: got %d, want 5", len(steps))
	}
	want := Step{Job: "j-0", Node: "n1", Name: "verdict", At: firstAt.Add(16 * time.Second),
		Note: "admitted", Term: 3, Epoch: 7}
	if got := steps[0]; !got.At.Equal(want.At) || got.Job != want.Job || got.Node != want.Node ||
		got.Name != want.Name || got.Note != want.Note || got.Term != want.Term || got.Epoch != want.Epoch {
		t.Errorf("oldest kept step of j-0: got %+v, want %+v", got, want)
	}
	if len(recorder.StepsOf("j-2")) != 0 || TraceID("j-0") == TraceID("j-1") || !TraceID("j-0").IsValid() {
		t.Error("got steps of the unknown job j-2, equal trace ids of j-0 and j-1, or an invalid trace id of j-0")
	}
}
