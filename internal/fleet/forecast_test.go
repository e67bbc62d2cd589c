package fleet

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/storage"
)

// testLease is the worker lease of the tests.
const testLease = 20 * time.Second

// steadyForecast returns a forecast that has seen one job a second until the instant that is
// returned with it.
func steadyForecast() (*Forecast, time.Duration) {
	forecast := NewForecast(testLease)
	now := time.Duration(0)
	for range 120 {
		now += time.Second
		forecast.DecayTo(now, true)
		forecast.RecordArrival("c", 10, 30*time.Second)
	}
	return forecast, now
}

// The sums of the forecast decay over minutes. Once far more jobs in a row fail to arrive than
// chance explains, less is expected; but a gap while no job could be stored, or for the time in
// which clients retry, has no meaning.
func TestConfidenceDropsWhenArrivalsStop(t *testing.T) {
	forecast, now := steadyForecast()
	steady, expected := forecast.UsualLoad(), forecast.ExpectedWork(100)
	if forecast.Confidence() != 1 || steady == 0 || expected == 0 {
		t.Fatalf("jobs arrive: confidence %v, usual load %v, expected work %v", forecast.Confidence(), steady, expected)
	}
	now += 2 * testLease
	if forecast.DecayTo(now, false); forecast.Confidence() != 1 {
		t.Error("a gap in an outage of the store counts")
	}
	now += testLease
	if forecast.DecayTo(now, true); forecast.Confidence() != 1 {
		t.Error("clients have had no time to retry")
	}
	now += testLease
	if forecast.DecayTo(now, true); forecast.Confidence() > 0.4 || forecast.ExpectedWork(100) > expected/3 {
		t.Errorf("two leases without a job: confidence %v, expected work %v of %v", forecast.Confidence(), forecast.ExpectedWork(100), expected)
	}
	forecast.RecordArrival("c", 10, 30*time.Second)
	if forecast.Confidence() != 1 {
		t.Error("no confidence after the next job")
	}
}

// Only work that arrives early enough to be due within the time is expected in it.
func TestExpectedWorkIsDueInTime(t *testing.T) {
	forecast := NewForecast(testLease)
	for second := range 60 {
		now := time.Duration(second) * time.Second
		forecast.DecayTo(now, true)
		forecast.RecordArrival("quick", 10, 60*time.Second)
		if second%10 == 0 {
			forecast.RecordArrival("patient", 10, 200*time.Second)
		}
	}
	if got := forecast.ExpectedWork(200); got <= 0 {
		t.Errorf("expected within 200 s: %v", got)
	}
	if got := forecast.ExpectedWork(50); got != 0 {
		t.Errorf("expected within 50 s: %v", got)
	}
}

// The arrivals of few jobs are mostly random, so little is expected from them.
func TestFewJobsAreNotTrusted(t *testing.T) {
	few, many := NewForecast(testLease), NewForecast(testLease)
	few.RecordArrival("c", 100, 0)
	for range 100 {
		many.RecordArrival("c", 1, 0)
	}
	if few.ExpectedWork(100) > many.ExpectedWork(100)/1000 {
		t.Errorf("expected after one job %v, after a hundred of the same work %v", few.ExpectedWork(100), many.ExpectedWork(100))
	}
}

// The next leader starts from the forecast of its predecessor.
func TestRestoredForecastMatchesPredecessor(t *testing.T) {
	forecast, now := steadyForecast()
	record := forecast.Snapshot(0, math.MaxInt)
	restored := NewForecast(testLease)
	restoredAt := 7 * time.Second // on the clock of the next leader
	restored.Restore(record, restoredAt)
	if got, want := restored.ExpectedWork(100), forecast.ExpectedWork(100); math.Abs(got-want) > want/1e6 {
		t.Errorf("expected work %v, of the predecessor %v", got, want)
	}
	if got, want := restored.JobsSeen(), forecast.JobsSeen(); got != want {
		t.Errorf("%v jobs seen, by the predecessor %v", got, want)
	}
	forecast.DecayTo(now+testLease, true)
	restored.DecayTo(restoredAt+testLease, true)
	if got, want := restored.UsualLoad(), forecast.UsualLoad(); math.Abs(got-want) > want/1e6 {
		t.Errorf("usual load a lease later %v, of the predecessor %v", got, want)
	}
}

// However many classes there are and long their names, the stored forecast fits its limit, and the
// classes with the most work are kept.
func TestSnapshotFitsItsLimit(t *testing.T) {
	forecast := NewForecast(testLease)
	for i := range 300 {
		forecast.RecordArrival(strings.Repeat("x", 100)+fmt.Sprint(i), float64(1+i), 0)
	}
	const maxBytes = 8 << 10
	record := forecast.Snapshot(1_000, maxBytes)
	if size := len(storage.Encode(record)); size > maxBytes || size < maxBytes/2 {
		t.Errorf("%d bytes of at most %d", size, maxBytes)
	}
	if record.RecordedAtMillis != 1_000 {
		t.Errorf("recorded at %d", record.RecordedAtMillis)
	}
	for i := range len(record.Classes) {
		if _, kept := record.Classes[strings.Repeat("x", 100)+fmt.Sprint(299-i)]; !kept {
			t.Errorf("%d classes are stored, without number %d by work", len(record.Classes), i)
		}
	}
}

// A class without arrivals is forgotten in the end.
func TestClassWithoutArrivalsIsDeleted(t *testing.T) {
	forecast, now := steadyForecast()
	if forecast.Empty() {
		t.Error("empty after 120 jobs")
	}
	if forecast.DecayTo(now+time.Hour, true); !forecast.Empty() || forecast.UsualLoad() != 0 {
		t.Errorf("an hour later: %v jobs seen, usual load %v", forecast.JobsSeen(), forecast.UsualLoad())
	}
}

// The cores held at a takeover are the usual load, unless the arrivals amount to more.
func TestInheritedLoad(t *testing.T) {
	forecast := NewForecast(testLease)
	forecast.StartCounting(time.Minute)
	forecast.InheritLoad(50)
	if got := forecast.UsualLoad(); got != 50 {
		t.Errorf("usual load %v after a takeover with 50 cores", got)
	}
	forecast.DecayTo(time.Minute+forecast.shortWindow(), true)
	if got, want := forecast.UsualLoad(), 50/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("usual load %v a window later, not %v", got, want)
	}
	busy, _ := steadyForecast()
	load := busy.UsualLoad()
	if busy.InheritLoad(load / 2); busy.UsualLoad() != load {
		t.Errorf("usual load %v, and %v once half of it is inherited", load, busy.UsualLoad())
	}
}
