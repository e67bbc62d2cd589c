package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fakes"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
)

// Parameters of the load.
const (
	maxJobsPerSecond    = 4.0             // upper bound of the mean submission rate
	heartbeatsPerRun    = 8               // mean run time of a task, in heartbeat intervals
	minRunTime          = 4 * time.Second // lower bound of the mean run time of a task
	jobsPerCancellation = 20              // users cancel one job in this many
	// pollInterval is the time between two queries of a job's state by its user.
	pollInterval = time.Second
	// finalQueryTimeout is how long a job is queried at the end of the run, before it counts as
	// forgotten.
	finalQueryTimeout = 15 * time.Second
)

// loadGenerator acts as the users: it submits jobs at a constant mean rate, polls their states and
// cancels some.
type loadGenerator struct {
	options   *Options
	fleet     *fakes.Fleet
	addresses []string // client addresses of the controllers
	client    *http.Client
	// availability gets each query of an accepted job.
	availability *availability
	rng          *rand.Rand
	pollers      sync.WaitGroup // counts the goroutines that submit and poll a job

	mu          sync.Mutex
	accepted    map[string]bool              // IDs of the accepted jobs
	finalStates map[string]protocol.JobState // terminal states that controllers have reported, by job ID
	forgotten   map[string]bool              // IDs of the forgotten jobs, as JobCounts defines them
}

// newLoadGenerator returns a load generator that sends its requests to random controllers.
func newLoadGenerator(options *Options, fleet *fakes.Fleet, addresses []string) *loadGenerator {
	return &loadGenerator{options: options, fleet: fleet, addresses: addresses, availability: newAvailability(),
		rng:      rand.New(rand.NewPCG(options.Seed, 1)),
		client:   &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		accepted: map[string]bool{}, finalStates: map[string]protocol.JobState{}, forgotten: map[string]bool{}}
}

// submitJobs submits jobs until the deadline. The load is open-loop: the times between jobs are
// exponentially distributed and don't depend on the progress of earlier jobs. submitJobs returns once
// all jobs are terminal or the context is cancelled.
func (g *loadGenerator) submitJobs(ctx context.Context, deadline time.Time) {
	defer g.pollers.Wait()
	jobRate, tasksPerJob, runTime := g.options.loadShape()
	for number := 0; ; number++ {
		pause := config.Seconds(g.rng.ExpFloat64() / jobRate)
		if time.Now().Add(pause).After(deadline) || !sleep(ctx, pause) {
			return
		}
		job := g.newJob(number, tasksPerJob, runTime)
		cancels := g.rng.IntN(jobsPerCancellation) == 0
		cancelAfter := time.Duration(g.rng.Float64() * float64(runTime))
		rng := rand.New(rand.NewPCG(g.options.Seed, uint64(number)+2))
		g.pollers.Go(func() { g.submitAndPollJob(ctx, job, rng, cancels, cancelAfter) })
	}
}

// loadShape returns the mean rate of jobs per second, their mean number of tasks and the mean run time of
// a task, which together need the configured share of all cores.
func (o *Options) loadShape() (jobRate, tasksPerJob float64, runTime time.Duration) {
	runTime = max(minRunTime, heartbeatsPerRun*o.HeartbeatInterval)
	busyCores := o.Load * coresPerMachine * float64(o.Machines)
	jobRate = min(maxJobsPerSecond, busyCores/runTime.Seconds()/4)
	return jobRate, busyCores / runTime.Seconds() / jobRate, runTime
}

// newJob returns a job with a random priority and team. Its number of tasks and its run time are
// random, too, and deviate by at most half from the given means.
func (g *loadGenerator) newJob(number int, meanTasks float64, runTime time.Duration) protocol.Job {
	priorities := []protocol.Priority{protocol.PriorityUrgent, protocol.PriorityStandard, protocol.PriorityStandard,
		protocol.PriorityLow}
	priority := priorities[g.rng.IntN(len(priorities))]
	return protocol.Job{ID: fmt.Sprintf("j-%d-%d", g.options.Seed, number), Class: string(priority),
		Team: teamName(g.rng.IntN(teamCount)), Kind: protocol.JobKindBatch, Priority: priority,
		TaskCount: max(1, int(meanTasks*(0.5+g.rng.Float64()))), Cores: 1, MemoryGB: 1, Image: "i", SpotAllowed: true,
		EstimatedSeconds: runTime.Seconds() * (0.5 + g.rng.Float64())}
}

// sleep waits for the duration and returns true, or returns false as soon as the context is cancelled.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// submitAndPollJob submits one job and polls it until it is terminal. If cancels is set, it requests
// the job's cancellation once cancelAfter has passed since the job was accepted.
func (g *loadGenerator) submitAndPollJob(ctx context.Context, job protocol.Job, rng *rand.Rand, cancels bool,
	cancelAfter time.Duration) {
	g.fleet.UploadJob(job)
	if !g.submitJob(ctx, job, rng) {
		return
	}
	acceptedAt := time.Now()
	for sleep(ctx, pollInterval) {
		if cancels && time.Since(acceptedAt) > cancelAfter {
			g.fleet.RecordCancelRequest(job.ID)
			if g.requestState(ctx, rng, http.MethodPost, "/work/"+job.ID+"/cancel", job.ID) {
				return
			}
			continue
		}
		if g.requestState(ctx, rng, http.MethodGet, "/work/"+job.ID, job.ID) {
			return
		}
	}
}

// submitJob submits a job, with retries during protocol.SubmissionRetryWindow, and returns whether it
// was accepted.
func (g *loadGenerator) submitJob(ctx context.Context, job protocol.Job, rng *rand.Rand) bool {
	raw, err := protocol.EncodeSubmission(&job)
	if err != nil {
		return false
	}
	for deadline := time.Now().Add(protocol.SubmissionRetryWindow); time.Now().Before(deadline); {
		status, _, delay := g.sendRequest(ctx, rng, http.MethodPost, "/work", raw)
		if status == 200 || status == 201 {
			g.mu.Lock()
			g.accepted[job.ID] = true
			g.mu.Unlock()
			return true
		}
		if !sleep(ctx, delay) {
			return false
		}
	}
	return false
}

// requestState queries or cancels a job, depending on the method and the path, and returns whether
// the job is terminal.
func (g *loadGenerator) requestState(ctx context.Context, rng *rand.Rand, method, path, id string) (terminal bool) {
	status, body, _ := g.sendRequest(ctx, rng, method, path, nil)
	if method == http.MethodGet {
		g.availability.recordQuery(id, status == 200)
	}
	var state protocol.JobStatus
	g.mu.Lock()
	defer g.mu.Unlock()
	if status == 404 {
		g.forgotten[id] = true
	}
	if status != 200 || json.Unmarshal(body, &state) != nil {
		return false
	}
	if state.State == protocol.JobCancelled {
		g.fleet.RecordCancelConfirmation(id)
	}
	if state.State.IsTerminal() {
		g.finalStates[id] = state.State
		return true
	}
	return false
}

// sendRequest sends a request to a random controller. It returns the response and the delay after
// which a failed request may be retried. The status is 0 if there is no response.
func (g *loadGenerator) sendRequest(ctx context.Context, rng *rand.Rand, method, path string,
	body []byte) (status int, response []byte, retryAfter time.Duration) {
	address := g.addresses[rng.IntN(len(g.addresses))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, time.Second
	}
	request.Header.Set("Content-Type", "application/json")
	resp, err := g.client.Do(request)
	if err != nil {
		return 0, nil, 300 * time.Millisecond
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, time.Second
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return resp.StatusCode, raw, time.Duration(max(seconds, 1)) * time.Second
}

// queryOpenJobs queries all accepted jobs that are not known to be terminal, with bounded
// concurrency. It records the jobs that are forgotten.
func (g *loadGenerator) queryOpenJobs(ctx context.Context) {
	g.mu.Lock()
	var openJobs []string
	for id := range g.accepted {
		if g.finalStates[id] == "" {
			openJobs = append(openJobs, id)
		}
	}
	g.mu.Unlock()
	slices.Sort(openJobs)
	var queries sync.WaitGroup
	semaphore := make(chan struct{}, 32)
	for i, id := range openJobs {
		rng := rand.New(rand.NewPCG(g.options.Seed, uint64(i)))
		queries.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			g.queryOpenJob(ctx, rng, id)
		})
	}
	queries.Wait()
}

// queryOpenJob queries one job until a controller knows it. It records the job as forgotten if none
// does within finalQueryTimeout.
func (g *loadGenerator) queryOpenJob(ctx context.Context, rng *rand.Rand, id string) {
	for deadline := time.Now().Add(finalQueryTimeout); time.Now().Before(deadline); {
		if status, _, _ := g.sendRequest(ctx, rng, http.MethodGet, "/work/"+id, nil); status == 200 {
			g.requestState(ctx, rng, http.MethodGet, "/work/"+id, id)
			return
		}
		if !sleep(ctx, pollInterval/2) {
			return
		}
	}
	g.mu.Lock()
	g.forgotten[id] = true
	g.mu.Unlock()
}

// JobCounts counts the jobs by outcome, as the controllers have reported it to the users. A job is
// forgotten if it was accepted and a controller denies later that it exists, or if no controller
// answers the last queries for it.
type JobCounts struct {
	Accepted  int `json:"accepted"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Forgotten int `json:"forgotten"`
}

// jobCounts counts the jobs that were accepted so far, by outcome.
func (g *loadGenerator) jobCounts() JobCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	jobs := JobCounts{Accepted: len(g.accepted), Forgotten: len(g.forgotten)}
	for _, state := range g.finalStates {
		if state == protocol.JobDone {
			jobs.Finished++
		} else {
			jobs.Cancelled++
		}
	}
	return jobs
}
