package emulator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/standin"
	"hitchdoor/internal/storage"
)

// Parameters of the measurements.
const (
	// sampleInterval is the time between two counts of the running tasks.
	sampleEvery = 100 * time.Millisecond
	// rateWindow is the length of the sliding window in which operations are counted.
	window = time.Second
	// recoveredShare is the share of the baseline at which the number of running tasks counts as
	// recovered.
	normalShare = 0.9
	// baselineSpan is the time before the loss over which the baseline is averaged.
	usualSpan = 5 * time.Second
)

// sample is the number of running tasks at a point in time.
type sample struct {
	at      time.Time
	running int
}

// sampler counts the running tasks at regular intervals.
type sampler struct {
	mu      sync.Mutex
	samples []sample
}

// run takes samples until done is closed.
func (s *sampler) run(fleet *standin.Fleet, over <-chan struct{}) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-over:
			return
		case now := <-ticker.C:
			running := fleet.Running()
			s.mu.Lock()
			s.samples = append(s.samples, sample{now, running})
			s.mu.Unlock()
		}
	}
}

// baseline returns the mean number of running tasks over baselineSpan before a point in time.
func (s *sampler) usual(before time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, count := 0, 0
	for _, x := range s.samples {
		if x.at.Before(before) && before.Sub(x.at) <= usualSpan {
			sum += x.running
			count++
		}
	}
	return float64(sum) / max(1, float64(count))
}

// recoveryTime returns the time from start until the number of running tasks reached recoveredShare
// of the baseline, and whether it did.
func (s *sampler) normalAfter(from time.Time, usual float64) (after time.Duration, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.samples {
		if x.at.After(from) && float64(x.running) >= normalShare*usual {
			return x.at.Sub(from), true
		}
	}
	return 0, false
}

// OperationRates are rates of the operations that the workers and the cloud received, counted in
// windows of rateWindow.
type OrderRates struct {
	Peak       int            `json:"peak"`  // of starts and stops of tasks together
	Limit      float64        `json:"limit"` // that follows from the settings
	P50        int64          `json:"p50"`
	P90        int64          `json:"p90"`
	P99        int64          `json:"p99"`
	PeakByKind map[string]int `json:"peak_by_kind"`
	// LimitByKind follows from the settings, too.
	LimitByKind map[string]float64 `json:"limit_by_kind"`
}

// countRates counts the operations in each window between two points in time. Stops of cancelled
// jobs don't count, as the rate limits don't apply to them.
func ratesOf(orders []standin.Order, from, to time.Time) OrderRates {
	rates := OrderRates{PeakByKind: map[string]int{}}
	var tasks []time.Time
	byKind := map[standin.OrderKind][]time.Time{}
	for _, order := range orders {
		if order.At.Before(from) || order.At.After(to) || order.Cancelled {
			continue
		}
		byKind[order.Kind] = append(byKind[order.Kind], order.At)
		if order.Kind == standin.OrderStart || order.Kind == standin.OrderStop {
			tasks = append(tasks, order.At)
		}
	}
	for kind, at := range byKind {
		rates.PeakByKind[string(kind)] = peakOf(at)
	}
	rates.Peak = peakOf(tasks)
	histogram := hdrhistogram.New(1, 1_000_000, 3)
	for end := from.Add(window); !end.After(to); end = end.Add(sampleEvery) {
		first, _ := slices.BinarySearchFunc(tasks, end.Add(-window), time.Time.Compare)
		last, _ := slices.BinarySearchFunc(tasks, end, time.Time.Compare)
		histogram.RecordValue(int64(last - first)) // can't fail: no rate is out of the histogram's range
	}
	rates.P50, rates.P90, rates.P99 = histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(90),
		histogram.ValueAtQuantile(99)
	return rates
}

// peakRate returns the maximum number of times in any window; times must be sorted.
func peakOf(at []time.Time) int {
	peak, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= window {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// storedRecords is what the key-value store holds about the workers' tasks.
type records struct {
	open, over map[string]bool
	machines   map[string]bool
	finished   map[string]bool // by task key
}

// readStoredRecords reads the stored records as a controller would.
func readRecords(state *standin.State, valueBytes int) records {
	r := records{open: map[string]bool{}, over: map[string]bool{},
		machines: map[string]bool{}, finished: map[string]bool{}}
	for _, it := range state.Items("") {
		switch {
		case strings.HasPrefix(it.Key, storage.JobPrefix):
			r.open[strings.TrimPrefix(it.Key, storage.JobPrefix)] = true
		case strings.HasPrefix(it.Key, storage.FinalPrefix):
			r.over[strings.TrimPrefix(it.Key, storage.FinalPrefix)] = true
		case strings.HasPrefix(it.Key, storage.GroupPrefix):
			group := storage.GroupRecord{}
			if json.Unmarshal(it.Value, &group) == nil {
				for name := range group {
					r.machines[name] = true
				}
			}
		case strings.HasPrefix(it.Key, storage.BitsPrefix):
			r.readBits(it, valueBytes)
		}
	}
	return r
}

// readBitmap adds the finished tasks of one part of a job's bitmap.
func (r *records) readBits(it storage.Item, valueBytes int) {
	id, from, ok := storage.ParseBitsKey(it.Key, storage.PartTasks(valueBytes))
	bits, err := storage.ReadBits(it)
	if !ok || err != nil {
		return
	}
	for i := range bits {
		for bit := range 8 {
			if bits[i]&(1<<bit) != 0 {
				r.finished[protocol.TaskKey(id, from+i*8+bit)] = true
			}
		}
	}
}

// countMismatches compares the workers' inventories with the stored records and counts the
// differences by the kinds of the leader's reconciliation.
func mismatchesOf(held []standin.Held, r records) recovery.Counts {
	var counts recovery.Counts
	seen, busy, there := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, machine := range held {
		there[machine.Machine] = true
		if !r.machines[machine.Machine] {
			counts[recovery.MachineNotRecorded]++
		}
		if machine.Silent {
			counts[recovery.MachineSilent]++
		}
		for _, t := range machine.Tasks {
			id, _, _ := strings.Cut(t.Task, "/")
			busy[id] = true
			if kind, differs := kindOf(t, id, r, seen); differs {
				counts[kind]++
			}
		}
	}
	for name := range r.machines {
		if !there[name] {
			counts[recovery.MachineSilent]++
		}
	}
	for id := range r.open {
		if !busy[id] {
			counts[recovery.JobNotRunning]++
		}
	}
	return counts
}

// classifyTask returns the kind of mismatch between one reported task and the records, if any. It
// marks the task as seen.
func kindOf(t protocol.TaskReport, id string, r records,
	seen map[string]bool) (kind recovery.Mismatch, differs bool) {
	facts := recovery.Task{Exited: t.State == protocol.TaskExited,
		Done: t.Why == protocol.WhyDone, Finished: r.finished[t.Task],
		TokenShown: true}
	switch {
	case r.over[id]:
		facts.Job = recovery.JobOver
	case r.open[id]:
		facts.Job = recovery.JobAccepted
	}
	if !facts.Exited {
		facts.Elsewhere = seen[t.Task]
		seen[t.Task] = true
	}
	_, kind, differs = recovery.Decide(facts)
	return kind, differs
}
