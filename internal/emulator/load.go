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

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fakes"
	"hitchdoor/internal/protocol"
)

// Parameters of the load.
const (
	maxJobsPerSecond = 4.0 // upper bound of the mean rate
	heartbeatsPerRun = 8   // mean run time of a task, in heartbeat intervals
	minRunTime       = 4 * time.Second
	cancelOneIn      = 20 // one job in so many is cancelled by its user
	pollInterval     = time.Second
	// finalQueryTimeout is how long a job is queried at the end before it counts as forgotten.
	finalQueryTimeout = 15 * time.Second
)

// loadGenerator acts as the users: it submits jobs at a steady rate, polls their states and cancels
// some.
type loadGenerator struct {
	options   *Options
	fleet     *fakes.Fleet
	addresses []string // client addresses
	client    *http.Client
	rng       *rand.Rand
	followers sync.WaitGroup // counts the goroutines that follow a job

	mu          sync.Mutex
	accepted    map[string]bool
	finalStates map[string]protocol.JobState // terminal states that controllers have answered, by job
	forgotten   map[string]bool              // accepted jobs that a controller has denied, or none answered for
}

// newLoadGenerator returns a load generator that sends its requests to random controllers.
func newLoadGenerator(options *Options, fleet *fakes.Fleet, addresses []string) *loadGenerator {
	return &loadGenerator{options: options, fleet: fleet, addresses: addresses,
		rng:      rand.New(rand.NewPCG(options.Seed, 1)),
		client:   &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		accepted: map[string]bool{}, finalStates: map[string]protocol.JobState{}, forgotten: map[string]bool{}}
}

// submitJobs submits jobs until the deadline. It is an open-loop load: the times between jobs are
// exponentially distributed and don't depend on how the jobs fare. It returns once all jobs are
// terminal or the context is cancelled.
func (u *loadGenerator) submitJobs(ctx context.Context, deadline time.Time) {
	defer u.followers.Wait()
	runTime := max(minRunTime, heartbeatsPerRun*u.options.HeartbeatInterval)
	busyCores := u.options.Load * coresPerMachine * float64(u.options.Machines)
	jobRate := min(maxJobsPerSecond, busyCores/runTime.Seconds()/4)
	tasksPerJob := busyCores / runTime.Seconds() / jobRate
	for number := 0; ; number++ {
		pause := config.Seconds(u.rng.ExpFloat64() / jobRate)
		if time.Now().Add(pause).After(deadline) || !sleep(ctx, pause) {
			return
		}
		job := u.newJob(number, tasksPerJob, runTime)
		cancels := u.rng.IntN(cancelOneIn) == 0
		cancelAfter := time.Duration(u.rng.Float64() * float64(runTime))
		rng := rand.New(rand.NewPCG(u.options.Seed, uint64(number)+2))
		u.followers.Go(func() { u.followJob(ctx, job, rng, cancels, cancelAfter) })
	}
}

// newJob returns a random job.
func (u *loadGenerator) newJob(number int, meanTasks float64, runTime time.Duration) protocol.Job {
	priorities := []protocol.Priority{protocol.PriorityUrgent, protocol.PriorityStandard, protocol.PriorityStandard,
		protocol.PriorityLow}
	priority := priorities[u.rng.IntN(len(priorities))]
	return protocol.Job{ID: fmt.Sprintf("j-%d-%d", u.options.Seed, number), Class: string(priority),
		Team: teamName(u.rng.IntN(teamCount)), Kind: protocol.JobKindBatch, Priority: priority,
		TaskCount: max(1, int(meanTasks*(0.5+u.rng.Float64()))), Cores: 1, MemoryGB: 1, Image: "i", SpotAllowed: true,
		EstimatedSeconds: runTime.Seconds() * (0.5 + u.rng.Float64())}
}

// sleep waits. It returns false at once if the context is cancelled.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// followJob submits one job and polls it until it is terminal; cancels it after a while if asked to.
func (u *loadGenerator) followJob(ctx context.Context, job protocol.Job, rng *rand.Rand, cancels bool,
	cancelAfter time.Duration) {
	u.fleet.UploadJob(job)
	if !u.submitJob(ctx, job, rng) {
		return
	}
	acceptedAt := time.Now()
	for sleep(ctx, pollInterval) {
		if cancels && time.Since(acceptedAt) > cancelAfter {
			u.fleet.RecordCancelRequest(job.ID)
			if u.requestState(ctx, rng, http.MethodPost, "/work/"+job.ID+"/cancel", job.ID) {
				return
			}
			continue
		}
		if u.requestState(ctx, rng, http.MethodGet, "/work/"+job.ID, job.ID) {
			return
		}
	}
}

// submitJob submits a job, with retries, and returns whether it was accepted.
func (u *loadGenerator) submitJob(ctx context.Context, job protocol.Job, rng *rand.Rand) bool {
	raw, err := json.Marshal(job)
	if err != nil {
		return false
	}
	for deadline := time.Now().Add(protocol.SubmissionRetryWindow); time.Now().Before(deadline); {
		status, _, delay := u.sendRequest(ctx, rng, http.MethodPost, "/work", raw)
		if status == 200 || status == 201 {
			u.mu.Lock()
			u.accepted[job.ID] = true
			u.mu.Unlock()
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
func (u *loadGenerator) requestState(ctx context.Context, rng *rand.Rand, method, path, id string) (terminal bool) {
	status, body, _ := u.sendRequest(ctx, rng, method, path, nil)
	var state protocol.JobStatus
	u.mu.Lock()
	defer u.mu.Unlock()
	if status == 404 {
		u.forgotten[id] = true
	}
	if status != 200 || json.Unmarshal(body, &state) != nil {
		return false
	}
	if state.State == protocol.JobCancelled {
		u.fleet.RecordCancelConfirmation(id)
	}
	if state.State.IsTerminal() {
		u.finalStates[id] = state.State
		return true
	}
	return false
}

// sendRequest sends a request to a random controller. It returns status 0 without a response, and
// the delay before a retry.
func (u *loadGenerator) sendRequest(ctx context.Context, rng *rand.Rand, method, path string,
	body []byte) (status int, response []byte, retryAfter time.Duration) {
	address := u.addresses[rng.IntN(len(u.addresses))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, time.Second
	}
	request.Header.Set("Content-Type", "application/json")
	resp, err := u.client.Do(request)
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
// concurrency. A job that is denied, or that no controller answers for, counts as forgotten.
func (u *loadGenerator) queryOpenJobs(ctx context.Context) {
	u.mu.Lock()
	var openJobs []string
	for id := range u.accepted {
		if u.finalStates[id] == "" {
			openJobs = append(openJobs, id)
		}
	}
	u.mu.Unlock()
	slices.Sort(openJobs)
	var queries sync.WaitGroup
	semaphore := make(chan struct{}, 32)
	for i, id := range openJobs {
		rng := rand.New(rand.NewPCG(u.options.Seed, uint64(i)))
		queries.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			u.queryOpenJob(ctx, rng, id)
		})
	}
	queries.Wait()
}

// queryOpenJob queries one job until it is answered or finalQueryTimeout has passed.
func (u *loadGenerator) queryOpenJob(ctx context.Context, rng *rand.Rand, id string) {
	for deadline := time.Now().Add(finalQueryTimeout); time.Now().Before(deadline); {
		if status, _, _ := u.sendRequest(ctx, rng, http.MethodGet, "/work/"+id, nil); status == 200 {
			u.requestState(ctx, rng, http.MethodGet, "/work/"+id, id)
			return
		}
		if !sleep(ctx, pollInterval/2) {
			return
		}
	}
	u.mu.Lock()
	u.forgotten[id] = true
	u.mu.Unlock()
}

// JobCounts counts the jobs by outcome, as the controllers have answered to the users.
type JobCounts struct {
	Accepted  int `json:"accepted"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Forgotten int `json:"forgotten"`
}

// jobCounts returns the counts so far.
func (u *loadGenerator) jobCounts() JobCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	jobs := JobCounts{Accepted: len(u.accepted), Forgotten: len(u.forgotten)}
	for _, state := range u.finalStates {
		if state == protocol.JobDone {
			jobs.Finished++
		} else {
			jobs.Cancelled++
		}
	}
	return jobs
}
