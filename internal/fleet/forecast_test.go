package fleet

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/storage"
)

// testLease is the worker lease in the tests.
const testLease = 20 * time.Second

// steadyForecast returns a forecast after 120 s with one job a second, and the instant of the last
// arrival.
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

// The sums of the forecast decay only over minutes, so machines were held for work that never came.
// Once more jobs in a row are missing than chance explains, less work must be expected. A gap in which no
// job could be stored, or within the time in which clients retry, must not count.
func TestConfidenceDropsWhenArrivalsStop(t *testing.T) {
	forecast, now := steadyForecast()
	steady, expected := forecast.UsualLoad(), forecast.ExpectedWork(100)
	if forecast.Confidence() != 1 || steady == 0 || expected == 0 {
		t.Fatalf("while jobs arrive: got confidence %v, want 1; got usual load %v and expected work %v, want neither 0",
			forecast.Confidence(), steady, expected)
	}
	now += 2 * testLease
	if forecast.DecayTo(now, false); forecast.Confidence() != 1 {
		t.Errorf("after a gap during a store outage: got confidence %v, want 1", forecast.Confidence())
	}
	now += testLease
	if forecast.DecayTo(now, true); forecast.Confidence() != 1 {
		t.Errorf("within the time in which clients retry: got confidence %v, want 1", forecast.Confidence())
	}
	now += testLease
	if forecast.DecayTo(now, true); forecast.Confidence() > 0.4 || forecast.ExpectedWork(100) > expected/3 {
		t.Errorf("after two leases without a job: got confidence %v, want at most 0.4; "+
			"got expected work %v, want at most a third of %v", forecast.Confidence(), forecast.ExpectedWork(100), expected)
	}
	forecast.RecordArrival("c", 10, 30*time.Second)
	if forecast.Confidence() != 1 {
		t.Errorf("after the next job: got confidence %v, want 1", forecast.Confidence())
	}
}

// The expected work of a period may include only work that arrives early enough to be due within the
// period. Otherwise capacity would be held for work that may run later.
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
		t.Errorf("expected work due within 200 s: got %v, want more than 0", got)
	}
	if got := forecast.ExpectedWork(50); got != 0 {
		t.Errorf("expected work due within 50 s: got %v, want 0", got)
	}
}

// The arrivals of few jobs are mostly random. If they were extrapolated like those of many, machines
// would be rented for work that may never arrive.
func TestFewJobsAreNotTrusted(t *testing.T) {
	few, many := NewForecast(testLease), NewForecast(testLease)
	few.RecordArrival("c", 100, 0)
	for range 100 {
		many.RecordArrival("c", 1, 0)
	}
	if few.ExpectedWork(100) > many.ExpectedWork(100)/1000 {
		t.Errorf("expected work after one job: got %v, want at most a thousandth of the %v after 100 jobs "+
			"with the same total work", few.ExpectedWork(100), many.ExpectedWork(100))
	}
}

// The next leader must start from the forecast of the previous leader, although the clocks of the two
// differ. Without the record, each leader would have to learn the arrivals again.
func TestRestoredForecastMatchesPredecessor(t *testing.T) {
	forecast, now := steadyForecast()
	record := forecast.Snapshot(0, math.MaxInt)
	restored := NewForecast(testLease)
	restoredAt := 7 * time.Second // on the clock of the next leader
	restored.Restore(record, restoredAt)
	if got, want := restored.ExpectedWork(100), forecast.ExpectedWork(100); math.Abs(got-want) > want/1e6 {
		t.Errorf("restored expected work: got %v, want the previous leader's %v", got, want)
	}
	if got, want := restored.JobsSeen(), forecast.JobsSeen(); got != want {
		t.Errorf("restored number of jobs: got %v, want the previous leader's %v", got, want)
	}
	forecast.DecayTo(now+testLease, true)
	restored.DecayTo(restoredAt+testLease, true)
	if got, want := restored.UsualLoad(), forecast.UsualLoad(); math.Abs(got-want) > want/1e6 {
		t.Errorf("restored usual load after one more lease: got %v, want the previous leader's %v", got, want)
	}
}

// Users choose the names of classes. However many and long these are, the record must stay within its
// limit, because the store would reject a larger value. The classes with the most work must be kept.
func TestSnapshotFitsItsLimit(t *testing.T) {
	forecast := NewForecast(testLease)
	for i := range 300 {
		forecast.RecordArrival(strings.Repeat("x", 100)+fmt.Sprint(i), float64(1+i), 0)
	}
	const maxBytes = 8 << 10
	record := forecast.Snapshot(1_000, maxBytes)
	if size := len(storage.Encode(record)); size > maxBytes || size < maxBytes/2 {
		t.Errorf("record of %d bytes, want at most %d and at least half of that", size, maxBytes)
	}
	if record.RecordedAtMillis != 1_000 {
		t.Errorf("time of the record: got %d ms, want 1000", record.RecordedAtMillis)
	}
	for i := range len(record.Classes) {
		if _, kept := record.Classes[strings.Repeat("x", 100)+fmt.Sprint(299-i)]; !kept {
			t.Errorf("the record has %d classes but not the class with the %d-th most work, want those with the most work",
				len(record.Classes), i+1)
		}
	}
}

// A class without arrivals is deleted once its sums have decayed. Otherwise every class name ever
// used would stay in memory and in the record.
func TestClassWithoutArrivalsIsDeleted(t *testing.T) {
	forecast, now := steadyForecast()
	if forecast.Empty() {
		t.Error("the forecast is empty after 120 jobs, want it not to be")
	}
	if forecast.DecayTo(now+time.Hour, true); !forecast.Empty() || forecast.UsualLoad() != 0 {
		t.Errorf("an hour after the last job: got empty %v and usual load %v, want true and 0",
			forecast.Empty(), forecast.UsualLoad())
	}
}

// The cores held at a takeover must count as the usual load, unless the arrivals amount to more. A new
// leader without a stored forecast would otherwise return the previous leader's machines to the cloud.
func TestInheritedLoad(t *testing.T) {
	forecast := NewForecast(testLease)
	forecast.StartCounting(time.Minute)
	forecast.InheritLoad(50)
	if got := forecast.UsualLoad(); got != 50 {
		t.Errorf("usual load after a takeover with 50 cores: got %v, want 50", got)
	}
	forecast.DecayTo(time.Minute+forecast.shortWindow(), true)
	if got, want := forecast.UsualLoad(), 50/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("usual load one short window after the takeover: got %v, want %v", got, want)
	}
	busy, _ := steadyForecast()
	load := busy.UsualLoad()
	if busy.InheritLoad(load / 2); busy.UsualLoad() != load {
		t.Errorf("usual load %v became %v after half of it was inherited, want no change", load, busy.UsualLoad())
	}
}
