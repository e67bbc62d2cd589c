package emulator

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"hitchdoor/internal/json"
)

// Report holds the measurements of an emulation. Apart from Processes, they are observed at the
// workers, the users and the key-value store, and don't rely on what the controllers report about
// themselves.
type Report struct {
	Machines             int     `json:"machines"`
	Controllers          int     `json:"controllers"`
	Seed                 uint64  `json:"seed"`
	LoadS                float64 `json:"for_s"`
	LoseControllersAtS   float64 `json:"lose_controllers_at_s"`
	ControllerDowntimeS  float64 `json:"away_s"`
	LossesDuringRecovery int     `json:"lost_again"` // further losses of all controllers during the recovery
	HeartbeatIntervalS   float64 `json:"report_every_s"`
	LeaseS               float64 `json:"lease_s"`

	DuplicateStarts  int            `json:"duplicate_starts"` // tasks started while they ran on another machine
	WronglyStopped   int            `json:"stopped_wrongly"`  // see fakes.Fleet.WronglyStoppedTasks
	CancelledOverdue int            `json:"ran_cancelled"`    // tasks that ran too long after their cancellation
	Jobs             JobCounts      `json:"jobs"`
	Tasks            TaskCounts     `json:"tasks"`
	Operations       OperationRates `json:"orders_per_second"`
	Recovery         RecoveryTimes  `json:"recovery_s"`
	// Availability is zero if the controllers were not lost.
	Availability AvailabilityReport `json:"availability"`
	Mismatches   map[string]int     `json:"mismatches"`
	Processes    []ProcessUsage     `json:"processes"`
}

// TaskCounts counts the tasks by outcome.
type TaskCounts struct {
	Started     int     `json:"started"`
	Finished    int     `json:"finished"`
	Stopped     int     `json:"stopped"`
	LostByLease int     `json:"lost_by_lease"`
	LostRunS    float64 `json:"lost_run_s"` // run time of tasks that exited without completing
}

// RecoveryTimes are in seconds since the restart of the controllers. Nil means that the event was not
// observed.
type RecoveryTimes struct {
	FirstOperation *float64 `json:"first_order"` // first start or stop of a task
	BackToNormal   *float64 `json:"normal"`      // running tasks back at recoveredShare of the baseline
}

// Failure returns a *FailureError if the report shows a broken guarantee, nil otherwise.
func (r *Report) Failure() error {
	var reasons []string
	addReasonIf := func(failed bool, format string, args ...any) {
		if failed {
			reasons = append(reasons, fmt.Sprintf(format, args...))
		}
	}
	addReasonIf(r.DuplicateStarts > 0, "%d tasks were started while they ran elsewhere", r.DuplicateStarts)
	addReasonIf(r.CancelledOverdue > 0, "%d cancelled tasks went on for too long", r.CancelledOverdue)
	addReasonIf(r.Jobs.Forgotten > 0, "%d accepted jobs were forgotten", r.Jobs.Forgotten)
	addReasonIf(float64(r.Operations.Peak) > r.Operations.Limit && r.Operations.Limit > 0,
		"%d orders came within a second, the limit is %.0f", r.Operations.Peak, r.Operations.Limit)
	for _, kind := range slices.Sorted(maps.Keys(r.Operations.LimitByKind)) {
		peak, limit := r.Operations.PeakByKind[kind], r.Operations.LimitByKind[kind]
		addReasonIf(float64(peak) > limit, "%d orders to %s came within a second, the limit is %.0f", peak, kind, limit)
	}
	if reasons == nil {
		return nil
	}
	return &FailureError{reasons}
}

// writeFile writes the report to a JSON file.
func (r *Report) writeFile(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// WriteSummary prints the report as text.
func (r *Report) WriteSummary(out io.Writer) {
	fmt.Fprintf(out, "%d emulated machines, %d controllers, seed %d; users submitted jobs for %.0f s\n",
		r.Machines, r.Controllers, r.Seed, r.LoadS)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeRow := func(name, format string, args ...any) { fmt.Fprintf(table, "  "+name+"\t"+format+"\n", args...) }
	writeRow("jobs", "%d accepted, %d finished, %d cancelled, %d forgotten",
		r.Jobs.Accepted, r.Jobs.Finished, r.Jobs.Cancelled, r.Jobs.Forgotten)
	writeRow("tasks", "%d started, %d finished, %d lost with their machines' leases",
		r.Tasks.Started, r.Tasks.Finished, r.Tasks.LostByLease)
	writeRow("started twice at once", "%d", r.DuplicateStarts)
	writeRow("stopped wrongly", "%d", r.WronglyStopped)
	if r.LoseControllersAtS > 0 {
		writeRow("all controllers lost", "after %.0f s, for %.1f s; again during the recovery: %d times",
			r.LoseControllersAtS, r.ControllerDowntimeS, r.LossesDuringRecovery)
		writeRow("first order", "%s", formatSeconds(r.Recovery.FirstOperation))
		writeRow("work back to normal", "%s", formatSeconds(r.Recovery.BackToNormal))
		writeRow("first controller healthy", "%s", formatSeconds(r.Availability.FirstHealthyS))
		writeRow("records loaded by a leader", "%s", formatSeconds(r.Availability.LoadedS))
		writeRow("queries after the restart", "%d of %d answered, a job had no answer for %.1f s at most",
			r.Availability.Answered, r.Availability.Queries, r.Availability.LongestGapS)
		writeRow("orders a second", "at most %d, limit %.0f (median %d, 99%% %d)",
			r.Operations.Peak, r.Operations.Limit, r.Operations.P50, r.Operations.P99)
		for _, kind := range slices.Sorted(maps.Keys(r.Operations.LimitByKind)) {
			writeRow("to "+kind, "at most %d, limit %.0f",
				r.Operations.PeakByKind[kind], r.Operations.LimitByKind[kind])
		}
		for _, kind := range slices.Sorted(maps.Keys(r.Mismatches)) {
			writeRow("found "+kind, "%d", r.Mismatches[kind])
		}
	}
	for _, process := range r.Processes {
		writeRow("controller "+process.Node, "%.0f MB at its peak, %d connections, %.1f s of processor",
			process.PeakMemoryMB, process.Connections, process.CPUSeconds)
	}
	table.Flush()
	if err := r.Failure(); err != nil {
		fmt.Fprintln(out, "not as it should be:", err)
		return
	}
	fmt.Fprintln(out, "as it should be: no task twice at once, no job forgotten, orders within their limit")
}

// formatSeconds formats a value of RecoveryTimes.
func formatSeconds(value *float64) string {
	if value == nil {
		return "not while it was watched"
	}
	return fmt.Sprintf("%.1f s after the restart", *value)
}
