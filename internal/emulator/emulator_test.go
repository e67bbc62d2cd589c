package emulator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hitchdoor/internal/config"
	"hitchdoor/internal/daemon"
	"hitchdoor/internal/fakes"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// TestMain runs a controller if the test binary is started with a controller's arguments, so that the
// tests need no other program. Otherwise it runs the tests, which fail if goroutines outlive them.
func TestMain(m *testing.M) {
	if len(os.Args) == 5 && os.Args[1] == "--config" {
		platform, err := config.LoadPlatform(os.Args[2])
		settings, settingsErr := config.LoadSettings(os.Args[4])
		if err = errors.Join(err, settingsErr); err == nil {
			err = daemon.Run(context.Background(), platform, settings, "test",
				slog.New(slog.NewTextHandler(io.Discard, nil)))
		}
		os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
	goleak.VerifyTestMain(m)
}

// testOptions returns options of a small emulation with one loss of all controllers.
func testOptions(t *testing.T) Options {
	t.Helper()
	return Options{Machines: 50, Controllers: 3, LoadDuration: 24 * time.Second, LoseControllersAt: 8 * time.Second,
		ControllerDowntime: 3 * time.Second, Seed: 1, Load: 0.7,
		ReportFile: filepath.Join(t.TempDir(), "report.json")}
}

// Guards against lost, duplicated or wrongly stopped work after three controller processes are killed
// at once and started again, within the workers' lease, after it, or repeatedly during the recovery:
// no task may run on two machines at once or be stopped without a reason, the rates of operations must
// stay within their limits, and no accepted job may be forgotten.
func TestRecoveryAfterLossOfAllControllers(t *testing.T) {
	withinLease := []recovery.Mismatch{recovery.MachineUnresponsive, recovery.JobNeverStored, recovery.MatchesRecord}
	afterLease := []recovery.Mismatch{recovery.MachineUnresponsive, recovery.JobNotRunning}
	for _, c := range []struct {
		name       string
		downtime   time.Duration
		loseAgain  []time.Duration
		mismatches []recovery.Mismatch
	}{
		{"within the lease", 3 * time.Second, nil, withinLease},
		{"after the lease", 7 * time.Second, nil, afterLease},
		{"again during the recovery", 7*time.Second + 1,
			[]time.Duration{1500 * time.Millisecond, time.Second, 2 * time.Second}, afterLease},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			options := testOptions(t)
			options.ControllerDowntime, options.LoseAgainAfter = c.downtime, c.loseAgain
			summary := &bytes.Buffer{}
			options.SummaryOutput = summary
			report, err := Run(t.Context(), options)
			if err != nil {
				t.Fatalf("%v\n%s", err, summary)
			}
			checkRecovered(t, report, summary.String())
			for _, kind := range c.mismatches {
				if report.Mismatches[kind.String()] == 0 {
					t.Errorf("mismatches of kind %v: got none, want at least one; all mismatches: %v", kind, report.Mismatches)
				}
			}
			checkReportFile(t, options.ReportFile, report)
		})
	}
}

// checkRecovered checks that a report shows accepted and finished jobs, started tasks, none that was
// stopped wrongly, and a recovery.
func checkRecovered(t *testing.T, report *Report, summary string) {
	t.Helper()
	if report.WronglyStopped != 0 || report.Jobs.Accepted == 0 || report.Jobs.Finished == 0 ||
		report.Tasks.Started == 0 {
		t.Errorf("got report %+v, want accepted and finished jobs, started tasks, and no task stopped wrongly", report)
	}
	if report.Recovery.FirstOperation == nil || report.Recovery.BackToNormal == nil ||
		report.Operations.Peak == 0 {
		t.Errorf("report: got a first operation %v, a return to normal %v, peak rate %v; want true, true and not 0; "+
			"summary:\n%s", report.Recovery.FirstOperation != nil, report.Recovery.BackToNormal != nil,
			report.Operations.Peak, summary)
	}
}

// checkReportFile checks that a file contains a report with the same job counts.
func checkReportFile(t *testing.T, path string, report *Report) {
	t.Helper()
	var stored Report
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &stored)
	}
	if err != nil || stored.Jobs != report.Jobs {
		t.Errorf("report file %s: got error %v, content %s, want job counts %+v", path, err, raw, report.Jobs)
	}
}

// Guards against runs that fail without a clear error or leave their settings files behind: whether
// an option is invalid, a program or file is missing, or the run is interrupted, the error must have
// one line and name the cause, and the temporary directory must be empty afterwards.
func TestFailedRunsReturnErrorAndLeaveNoFiles(t *testing.T) {
	for name, failure := range map[string]struct {
		change        func(options *Options)
		want          string
		invalidOption bool
	}{
		"no machines":          {func(options *Options) { options.Machines = 0 }, "--machines:", true},
		"too many controllers": {func(options *Options) { options.Controllers = 99 }, "--controllers:", true},
		"load ends before the restart": {func(options *Options) { options.ControllerDowntime = time.Minute },
			"--for: ends after", true},
		"second loss without a first": {func(options *Options) {
			options.LoseControllersAt, options.LoseAgainAfter = 0, []time.Duration{time.Second}
		}, "--lose-again-after:", true},
		"missing program": {func(options *Options) { options.Program = "/nowhere" }, "--program:", false},
		"program that exits": {func(options *Options) { options.Program = "/bin/false" },
			"has ended: exit status 1", false},
		"missing settings file": {func(options *Options) { options.Settings = "/nowhere" }, "settings:", false},
		"missing directory of the report": {func(options *Options) {
			options.ReportFile, options.LoadDuration, options.LoseControllersAt = "/nowhere/r", 2*time.Second, 0
		}, "--report:", false},
		"interrupted": {func(*Options) {}, ErrInterrupted.Error(), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("TMPDIR", t.TempDir())
			options := testOptions(t)
			failure.change(&options)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if name == "interrupted" {
				time.AfterFunc(4*time.Second, cancel)
			}
			_, err := Run(ctx, options)
			if err == nil || !strings.Contains(err.Error(), failure.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, failure.want)
			}
			if errors.Is(err, ErrInterrupted) != (name == "interrupted") {
				t.Errorf("got error %v, want ErrInterrupted only for an interrupted run", err)
			}
			var exited *ControllerExitedError
			if errors.As(err, &exited) != (name == "program that exits") {
				t.Errorf("got error %v, want a *ControllerExitedError only for a program that exits", err)
			}
			var invalid *InvalidOptionError
			if errors.As(err, &invalid) != failure.invalidOption {
				t.Errorf("got error %v, want an *InvalidOptionError only for an invalid option", err)
			}
			if remaining, _ := os.ReadDir(os.Getenv("TMPDIR")); len(remaining) > 0 {
				t.Errorf("files left in the temporary directory: got %v, want none", remaining)
			}
		})
	}
}

// Guards against broken guarantees that go unnoticed: a report with one must return a *FailureError
// that names it, so that the emulate command fails.
func TestReportFailureNamesBrokenGuarantee(t *testing.T) {
	for want, report := range map[string]Report{
		"1 tasks were started": {DuplicateStarts: 1}, "1 accepted jobs": {Jobs: JobCounts{Forgotten: 1}},
		"12 orders":         {Operations: OperationRates{Peak: 12, Limit: 11.5}},
		"1 cancelled tasks": {CancelledOverdue: 1},
	} {
		var failure *FailureError
		if err := report.Failure(); !errors.As(err, &failure) || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want a *FailureError with %q", err, want)
		}
	}
}

// Guards against wrong rates of operations, which are compared with the limits: each window of one
// second must be counted, without the operations of cancelled jobs, to which no limit applies.
func TestCountRates(t *testing.T) {
	from := time.Unix(1000, 0)
	var operations []fakes.Operation
	for _, ms := range []int{100, 900, 1050, 1099, 1100, 2500, 9000} {
		operations = append(operations, fakes.Operation{ReceivedAt: from.Add(time.Duration(ms) * time.Millisecond),
			Kind: fakes.OperationStartTask, OfCancelledJob: ms == 1099})
	}
	if rates := countRates(operations, from, from.Add(5*time.Second)); rates.Peak != 3 ||
		rates.PeakByKind["start"] != 3 || rates.P99 < 2 || rates.P50 > 1 {
		t.Errorf("got rates %+v, want peaks of 3, a P99 of at least 2 and a P50 of at most 1", rates)
	}
}

// Guards against an emulator that counts other mismatches than the leader's reconciliation finds. Each
// task and machine below differs in one way from the stored records or matches them.
func TestCountMismatches(t *testing.T) {
	task := func(key string, state protocol.TaskState, reason protocol.ExitReason) protocol.TaskStatus {
		return protocol.TaskStatus{TaskID: key, Attempt: 1, State: state, ExitReason: reason}
	}
	inventories := []fakes.MachineInventory{
		{Machine: "m-1", Tasks: []protocol.TaskStatus{task("j-open/0", protocol.TaskRunning, ""),
			task("j-open/1", protocol.TaskExited, protocol.ExitDone), task("j-open/2", protocol.TaskRunning, "")}},
		{Machine: "m-2", Partitioned: true, Tasks: []protocol.TaskStatus{task("j-open/0", protocol.TaskRunning, ""),
			task("j-terminal/0", protocol.TaskRunning, ""), task("j-unknown/0", protocol.TaskRunning, "")}},
	}
	records := storedRecords{openJobs: map[string]bool{"j-open": true, "j-idle": true},
		terminalJobs: map[string]bool{"j-terminal": true},
		machines:     map[string]bool{"m-1": true, "m-3": true}, finishedTasks: map[string]bool{"j-open/2": true}}
	counts := countMismatches(inventories, records)
	want := map[string]int{"as_stored": 1, "on_two_machines": 1, "finished_not_stored": 1, "finished_runs_again": 1,
		"job_is_over": 1, "job_never_stored": 1,
		"job_not_running": 1, "machine_not_recorded": 1, "machine_silent": 2}
	got := counts.ByName()
	for kind, count := range want {
		if got[kind] != count {
			t.Errorf("got %d mismatches of kind %s, want %d", got[kind], kind, count)
		}
	}
	if len(got) != len(want) {
		t.Errorf("got mismatches %v, want no other kinds than in %v", got, want)
	}
}
