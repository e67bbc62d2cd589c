package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"hitchdoor/internal/fakes"
	"hitchdoor/internal/history"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
)

// Bounds that the protocol sets for what users may notice.
const (
	answerLimit   = 75 * time.Second
	lateDoneLimit = 3 * time.Second
	waitingLimit  = 90 * time.Second
	// tailAfterLimits is how much longer than the longest bound a run goes on while jobs are open.
	tailAfterLimits = 10 * time.Second
	// unusedLeases is how long a machine may be rented without being served, in worker leases: it boots,
	// or its lease expires and it is returned, with one lease for each.
	unusedLeases = 3
)

// FaultTestOptions configure a fault test.
type FaultTestOptions struct {
	Options
	FaultDuration time.Duration // how long faults are injected
	LogDirectory  string        // directory for the controllers' logs and the history; empty: they are dropped
}

// FaultTestResult is the outcome of a fault test.
type FaultTestResult struct {
	Violations []history.Violation
	Jobs       int           // jobs that were accepted
	LongestGap time.Duration // longest time after the faults that an open job had no answer
}

// Failure returns a *FailureError if there are violations, nil otherwise.
func (r *FaultTestResult) Failure() error {
	if len(r.Violations) == 0 {
		return nil
	}
	counts := map[string]int{}
	for _, violation := range r.Violations {
		counts[violation.Rule]++
	}
	failure := &FailureError{}
	for _, rule := range slices.Sorted(maps.Keys(counts)) {
		failure.Reasons = append(failure.Reasons, fmt.Sprintf("%s: %d", rule, counts[rule]))
	}
	return failure
}

// faultTest is the state of one call of RunFaultTest.
type faultTest struct {
	options  *FaultTestOptions
	recorder *history.Recorder
	store    *fakes.Store
	fleet    *fakes.Fleet
	set      *controllerSet
	network  *faultNetwork
	balancer *fakes.LoadBalancer
	users    *faultUsers
	logs     []io.Closer

	mu      sync.Mutex
	pending sync.WaitGroup // restarts in progress
}

// RunFaultTest runs controllers under the faults of a schedule that the seed determines, and checks what
// users, workers and the cloud have observed. It returns an error if the run could not be completed.
func RunFaultTest(ctx context.Context, options FaultTestOptions) (*FaultTestResult, error) {
	options.LoadDuration, options.LoseControllersAt = options.FaultDuration, 0
	if err := options.Validate(); err != nil {
		return nil, err
	}
	planned := newSchedule(options.Seed, options.Controllers, options.LeaseDuration, options.FaultDuration)
	if options.SummaryOutput != nil {
		fmt.Fprintf(options.SummaryOutput, "seed %d, %d machines, %d controllers, lease %v\n%s\n", options.Seed,
			options.Machines, options.Controllers, options.LeaseDuration, planned)
	}
	run := &faultTest{options: &options, recorder: history.NewRecorder()}
	defer run.close()
	if err := run.setUp(ctx); err != nil {
		return nil, asInterrupted(ctx, err)
	}
	if err := run.play(ctx, planned); err != nil {
		return nil, asInterrupted(ctx, err)
	}
	return run.result(), nil
}

// setUp starts all parts of the test and waits until a controller leads.
func (f *faultTest) setUp(ctx context.Context) (err error) {
	options := f.options
	if f.store, err = fakes.NewStore(storeWriteRPS); err != nil {
		return err
	}
	f.fleet, err = fakes.NewFleet(fakes.FleetSettings{HeartbeatInterval: options.HeartbeatInterval,
		LeaseDuration: options.LeaseDuration, BootTime: options.HeartbeatInterval,
		MaxMachines: options.Machines + options.Machines/4, InitialMachines: options.Machines,
		CoresPerMachine: coresPerMachine, Seed: options.Seed, History: f.recorder})
	if err != nil {
		return err
	}
	f.set, err = newControllerSet(&options.Options, func(members []*controller) (routes, error) {
		network, err := newFaultNetwork(members, f.store, options.Seed)
		if err != nil {
			return routes{}, err
		}
		f.network = network
		return network.routes(f.fleet.Server.Address()), nil
	})
	if err != nil {
		return err
	}
	if err := f.watchLogs(); err != nil {
		return err
	}
	if err := f.set.startAll(); err != nil {
		return err
	}
	if err := f.set.waitForLeader(ctx, leaderTimeout); err != nil {
		return err
	}
	f.fleet.SetNodes(f.set.clientAddresses())
	f.balancer = fakes.NewLoadBalancer(f.set.clientAddresses())
	f.users = newFaultUsers(&options.Options, f.fleet, f.balancer, f.set.clientAddresses(), f.recorder)
	return nil
}

// invariantMessage is the message with which a controller logs a violated invariant.
const invariantMessage = `msg="invariant violated"`

// watchLogs records violated invariants that controllers log, and writes the logs to files if asked to.
func (f *faultTest) watchLogs() error {
	for _, member := range f.set.members {
		output := io.Discard
		if directory := f.options.LogDirectory; directory != "" {
			file, err := os.Create(filepath.Join(directory, member.name+".log"))
			if err != nil {
				return fmt.Errorf("--logs: %w", err)
			}
			f.logs, output = append(f.logs, file), file
		}
		member.onLogLine = func(line string) {
			fmt.Fprintf(output, "%8.3f %s\n", f.recorder.Since(time.Now()).Seconds(), line)
			if strings.Contains(line, invariantMessage) {
				f.recorder.Record(history.Event{Kind: history.InvariantLogged, Node: member.name, Detail: line})
			}
		}
	}
	return nil
}

// close ends all parts of the test.
func (f *faultTest) close() {
	if f.balancer != nil {
		f.balancer.Close()
	}
	if f.set != nil {
		f.set.close()
	}
	if f.network != nil {
		f.network.close()
	}
	if f.fleet != nil {
		f.fleet.Close()
	}
	if f.store != nil {
		f.store.Server.Close()
	}
	for _, log := range f.logs {
		log.Close()
	}
}

// play injects the faults while users submit jobs, ends them, and waits until all accepted jobs are over or
// the longest bound has passed.
func (f *faultTest) play(ctx context.Context, planned schedule) error {
	ctx, cancel := context.WithCancel(ctx)
	defer f.users.jobs.Wait()
	defer cancel()
	startedAt := time.Now()
	f.users.jobs.Go(func() { f.users.submitJobs(ctx, startedAt.Add(f.options.FaultDuration)) })
	if err := f.inject(ctx, planned, startedAt); err != nil {
		return err
	}
	f.recorder.Record(history.Event{Kind: history.FaultsEnded})
	deadline := time.Now().Add(waitingLimit + tailAfterLimits)
	settled := time.Now().Add(f.options.cancelTimeout())
	for time.Now().Before(deadline) && (f.users.openJobs() > 0 || time.Now().Before(settled)) {
		f.recordExits()
		if !sleep(ctx, progressInterval) {
			return ctx.Err()
		}
	}
	f.recordExits()
	for _, usage := range f.set.processUsages() {
		f.recorder.Record(history.Event{Kind: history.MemoryMeasured, Node: usage.Node, MemoryMB: usage.PeakMemoryMB})
	}
	return ctx.Err()
}

// recordExits records controllers that have ended without being killed, and starts them again.
func (f *faultTest) recordExits() {
	for _, member := range f.set.members {
		if reason, exited := member.unexpectedExit(); exited {
			f.recorder.Record(history.Event{Kind: history.ControllerExited, Node: member.name, Detail: reason})
			member.start(f.options.Program, f.set.settingsFile)
		}
	}
}

// writeHistory writes the events to a file, one a line, if logs are kept.
func (f *faultTest) writeHistory(events []history.Event) {
	if f.options.LogDirectory == "" {
		return
	}
	lines := &bytes.Buffer{}
	for _, event := range events {
		raw, err := json.Marshal(event)
		if err != nil {
			continue
		}
		lines.Write(append(raw, '\n'))
	}
	if err := os.WriteFile(filepath.Join(f.options.LogDirectory, "history.jsonl"), lines.Bytes(), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "--logs:", err)
	}
}

// result checks the history of the run.
func (f *faultTest) result() *FaultTestResult {
	end := f.recorder.Since(time.Now())
	limits := history.Limits{Answer: answerLimit, Cancel: f.options.cancelTimeout(), LateDone: lateDoneLimit,
		Waiting: waitingLimit, Unused: unusedLeases * f.options.LeaseDuration, MemoryMB: memoryMB,
		CoresPerMachine: coresPerMachine}
	events := f.recorder.Events()
	f.writeHistory(events)
	result := &FaultTestResult{Violations: history.Check(events, end, limits),
		LongestGap: history.LongestAnswerGap(events, end)}
	accepted := map[string]bool{}
	for _, event := range events {
		if event.Kind == history.Answered && event.Request == protocol.RequestSubmit && event.Status != 0 &&
			event.Status < 300 {
			accepted[event.Job] = true
		}
	}
	result.Jobs = len(accepted)
	return result
}
