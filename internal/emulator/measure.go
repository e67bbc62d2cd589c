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

const (
	// sampleEvery is how often the tasks on machines are counted.
	sampleEvery = 100 * time.Millisecond
	// window is over what time orders are counted.
	window = time.Second
	// normalShare of the tasks that ran before the loss must run again for work to be normal.
	normalShare = 0.9
	// usualSpan is over what time before the loss those are counted.
	usualSpan = 5 * time.Second
)

type sample struct {
	at      time.Time
	running int
}

// sampler counts the tasks on machines from time to time.
type sampler struct {
	mu      sync.Mutex
	samples []sample
}

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

// usual is how many tasks ran, on the mean, in the time before a moment.
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

// normalAfter is how long after a moment as many tasks ran as before, nearly.
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

// OrderRates are how many orders the workers and the cloud received within a second.
type OrderRates struct {
	Peak       int            `json:"peak"`  // starts and stops
	Limit      float64        `json:"limit"` // by the settings
	P50        int64          `json:"p50"`
	P90        int64          `json:"p90"`
	P99        int64          `json:"p99"`
	PeakByKind map[string]int `json:"peak_by_kind"`
	// LimitByKind is by the settings, too.
	LimitByKind map[string]float64 `json:"limit_by_kind"`
}

// ratesOf counts the orders within a second, for every second between two moments. Stops of work
// that users have cancelled don't count, as they never wait.
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
		histogram.RecordValue(int64(last - first)) // no rate is out of its range
	}
	rates.P50, rates.P90, rates.P99 = histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(90), histogram.ValueAtQuantile(99)
	return rates
}

// peakOf is the most of some moments, in their order, that fall within a second.
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

// records is what the state service holds, as far as workers' tasks are concerned.
type records struct {
	open, over map[string]bool
	machines   map[string]bool
	finished   map[string]bool // tasks
}

// readRecords reads the stored state as a controller would.
func readRecords(state *standin.State, valueBytes int) records {
	r := records{open: map[string]bool{}, over: map[string]bool{}, machines: map[string]bool{}, finished: map[string]bool{}}
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

// mismatchesOf compares what the workers hold with what is stored, by the kinds that a leader
// tells apart.
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

// kindOf tells how one reported task stands to the records. It notes the task as seen.
func kindOf(t protocol.TaskReport, id string, r records, seen map[string]bool) (kind recovery.Mismatch, differs bool) {
	facts := recovery.Task{Exited: t.State == protocol.TaskExited, Done: t.Why == protocol.WhyDone, Finished: r.finished[t.Task], TokenShown: true}
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
