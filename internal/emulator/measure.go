package emulator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hitchdoor/internal/fakes"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// Parameters of the measurements.
const (
	// sampleInterval is the time between two counts of the running tasks.
	sampleInterval = 100 * time.Millisecond
	// rateWindow is the length of the sliding window in which operations are counted.
	rateWindow = time.Second
	// recoveredShare is the share of the baseline at which the number of running tasks counts as
	// recovered.
	recoveredShare = 0.9
	// baselineSpan is the time before the loss over which the baseline is averaged.
	baselineSpan = 5 * time.Second
)

// sample is the number of running tasks at a point in time.
type sample struct {
	takenAt      time.Time
	runningTasks int
}

// sampler counts the running tasks at regular intervals.
type sampler struct {
	mu      sync.Mutex
	samples []sample
}

// run takes samples until the context is cancelled.
func (s *sampler) run(ctx context.Context, fleet *fakes.Fleet) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			running := fleet.RunningTasks()
			s.mu.Lock()
			s.samples = append(s.samples, sample{now, running})
			s.mu.Unlock()
		}
	}
}

// baseline returns the mean number of running tasks over baselineSpan before a point in time.
func (s *sampler) baseline(before time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, count := 0, 0
	for _, taken := range s.samples {
		if taken.takenAt.Before(before) && before.Sub(taken.takenAt) <= baselineSpan {
			total += taken.runningTasks
			count++
		}
	}
	return float64(total) / max(1, float64(count))
}

// recoveryTime returns the time from start until the number of running tasks reached recoveredShare
// of the baseline, and whether it did.
func (s *sampler) recoveryTime(start time.Time, baseline float64) (elapsed time.Duration, recovered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, taken := range s.samples {
		if taken.takenAt.After(start) && float64(taken.runningTasks) >= recoveredShare*baseline {
			return taken.takenAt.Sub(start), true
		}
	}
	return 0, false
}

// OperationRates are the numbers of operations that the workers and the cloud received, counted in
// sliding windows of rateWindow.
type OperationRates struct {
	// Peak, Limit and the percentiles are those of starts and stops of tasks together. Limit and
	// LimitByKind follow from the settings.
	Peak       int            `json:"peak"`
	Limit      float64        `json:"limit"`
	P50        int64          `json:"p50"`
	P90        int64          `json:"p90"`
	P99        int64          `json:"p99"`
	PeakByKind map[string]int `json:"peak_by_kind"`
	// LimitByKind has the limit of each kind of operation.
	LimitByKind map[string]float64 `json:"limit_by_kind"`
}

// countRates counts the operations in each window between two points in time. Stops of tasks of
// cancelled jobs don't count, because the rate limits don't apply to these stops.
func countRates(operations []fakes.Operation, from, to time.Time) OperationRates {
	rates := OperationRates{PeakByKind: map[string]int{}}
	var taskTimes []time.Time
	timesByKind := map[fakes.OperationKind][]time.Time{}
	for _, operation := range operations {
		if operation.ReceivedAt.Before(from) || operation.ReceivedAt.After(to) || operation.OfCancelledJob {
			continue
		}
		timesByKind[operation.Kind] = append(timesByKind[operation.Kind], operation.ReceivedAt)
		if operation.Kind == fakes.OperationStartTask || operation.Kind == fakes.OperationStopTask {
			taskTimes = append(taskTimes, operation.ReceivedAt)
		}
	}
	for kind, times := range timesByKind {
		rates.PeakByKind[string(kind)] = peakRate(times)
	}
	rates.Peak = peakRate(taskTimes)
	histogram := hdrhistogram.New(1, 1_000_000, 3)
	for end := from.Add(rateWindow); !end.After(to); end = end.Add(sampleInterval) {
		first, _ := slices.BinarySearchFunc(taskTimes, end.Add(-rateWindow), time.Time.Compare)
		last, _ := slices.BinarySearchFunc(taskTimes, end, time.Time.Compare)
		histogram.RecordValue(int64(last - first)) // can't fail: no rate is out of the histogram's range
	}
	rates.P50, rates.P90, rates.P99 = histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(90),
		histogram.ValueAtQuantile(99)
	return rates
}

// peakRate returns the maximum number of entries of times within any window of rateWindow. The times
// must be sorted.
func peakRate(times []time.Time) int {
	peak, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= rateWindow {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// storedRecords is the part of the stored records with which the workers' inventories are compared.
type storedRecords struct {
	openJobs, terminalJobs map[string]bool // by job ID
	machines               map[string]bool // by machine name
	finishedTasks          map[string]bool // by task ID
}

// readStoredRecords reads the stored records as a controller does after a restart. valueBytes is the
// store's limit of a value's size.
func readStoredRecords(store *fakes.Store, valueBytes int) storedRecords {
	records := storedRecords{openJobs: map[string]bool{}, terminalJobs: map[string]bool{},
		machines: map[string]bool{}, finishedTasks: map[string]bool{}}
	for _, item := range store.Items("") {
		switch {
		case strings.HasPrefix(item.Key, storage.JobPrefix):
			records.openJobs[strings.TrimPrefix(item.Key, storage.JobPrefix)] = true
		case strings.HasPrefix(item.Key, storage.TerminalPrefix):
			records.terminalJobs[strings.TrimPrefix(item.Key, storage.TerminalPrefix)] = true
		case strings.HasPrefix(item.Key, storage.MachineGroupPrefix):
			group := storage.MachineGroupRecord{}
			if json.Unmarshal(item.Value, &group) == nil {
				for name := range group {
					records.machines[name] = true
				}
			}
		case strings.HasPrefix(item.Key, storage.BitmapPrefix):
			records.readBitmap(item, valueBytes)
		}
	}
	return records
}

// readBitmap adds the finished tasks of one part of a job's bitmap. It ignores a part that can't be
// decoded.
func (r *storedRecords) readBitmap(item storage.Item, valueBytes int) {
	job, firstTask, ok := storage.ParseBitmapKey(item.Key, storage.TasksPerBitmapPart(valueBytes))
	bits, err := storage.ReadBitmap(item)
	if !ok || err != nil {
		return
	}
	for i := range bits {
		for bit := range 8 {
			if bits[i]&(1<<bit) != 0 {
				r.finishedTasks[protocol.TaskID(job, firstTask+i*8+bit)] = true
			}
		}
	}
}

// countMismatches compares the workers' inventories with the stored records. It counts the
// differences by the same kinds as the leader's reconciliation.
func countMismatches(inventories []fakes.MachineInventory, records storedRecords) recovery.MismatchCounts {
	var counts recovery.MismatchCounts
	seenTasks, jobsWithTasks, listedMachines := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, machine := range inventories {
		listedMachines[machine.Machine] = true
		if !records.machines[machine.Machine] {
			counts[recovery.MachineNotRecorded]++
		}
		if machine.Partitioned {
			counts[recovery.MachineUnresponsive]++
		}
		for _, reported := range machine.Tasks {
			job, _, _ := strings.Cut(reported.TaskID, "/")
			jobsWithTasks[job] = true
			if kind, differs := classifyTask(reported, job, records, seenTasks); differs {
				counts[kind]++
			}
		}
	}
	for name := range records.machines {
		if !listedMachines[name] {
			counts[recovery.MachineUnresponsive]++
		}
	}
	for job := range records.openJobs {
		if !jobsWithTasks[job] {
			counts[recovery.JobNotRunning]++
		}
	}
	return counts
}

// classifyTask returns the kind of mismatch between one reported task and the records, if any. It
// adds the task to seenTasks unless the task has exited.
func classifyTask(reported protocol.TaskStatus, job string, records storedRecords,
	seenTasks map[string]bool) (kind recovery.Mismatch, differs bool) {
	facts := recovery.ReportedTask{Exited: reported.State == protocol.TaskExited,
		Completed: reported.ExitReason == protocol.ExitDone, CompletionKnown: records.finishedTasks[reported.TaskID],
		TokenAcknowledged: true}
	switch {
	case records.terminalJobs[job]:
		facts.JobState = recovery.JobStateTerminal
	case records.openJobs[job]:
		facts.JobState = recovery.JobStateOpen
	}
	if !facts.Exited {
		facts.TrackedElsewhere = seenTasks[reported.TaskID]
		seenTasks[reported.TaskID] = true
	}
	_, kind, differs = recovery.ReconcileTask(facts)
	return kind, differs
}
