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
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/standin"
)

// Parameters of the load.
const (
	jobsPerSecond = 4.0 // upper bound of the mean rate
	runReports    = 8   // mean run time of a task, in heartbeat intervals
	leastRun      = 4 * time.Second
	cancelOneIn   = 20 // one job in so many is cancelled by its user
	pollEvery     = time.Second
	// finalQueryTimeout is how long a job is queried at the end before it counts as forgotten.
	graceForAnswers = 15 * time.Second
)

// loadGenerator acts as the users: it submits jobs at a steady rate, polls their states and cancels
// some.
type users struct {
	options *Options
	fleet   *standin.Fleet
	nodes   []string // client addresses
	client  *http.Client
	rng     *rand.Rand
	wait    sync.WaitGroup // counts the goroutines that follow a job

	mu        sync.Mutex
	accepted  map[string]bool
	ended     map[string]string // terminal states that controllers have answered, by job
	forgotten map[string]bool   // accepted jobs that a controller has denied, or none answered for
}

// newLoadGenerator returns a load generator that sends its requests to random controllers.
func newUsers(o *Options, fleet *standin.Fleet, nodes []string) *users {
	return &users{options: o, fleet: fleet, nodes: nodes,
		rng:      rand.New(rand.NewPCG(o.Seed, 1)),
		client:   &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		accepted: map[string]bool{}, ended: map[string]string{}, forgotten: map[string]bool{}}
}

// submitJobs submits jobs until the deadline. It is an open-loop load: the times between jobs are
// exponentially distributed and don't depend on how the jobs fare.
func (u *users) submitAll(ctx context.Context, over time.Time) {
	run := max(leastRun, runReports*u.options.Report)
	busy := u.options.Load * coresPerMachine * float64(u.options.Machines)
	perSecond := min(jobsPerSecond, busy/run.Seconds()/4)
	tasks := busy / run.Seconds() / perSecond
	for i := 0; ; i++ {
		pause := config.Seconds(u.rng.ExpFloat64() / perSecond)
		if time.Now().Add(pause).After(over) || !sleep(ctx, pause) {
			return
		}
		job := u.newJob(i, tasks, run)
		cancelled := u.rng.IntN(cancelOneIn) == 0
		cancelAfter := time.Duration(u.rng.Float64() * float64(run))
		rng := rand.New(rand.NewPCG(u.options.Seed, uint64(i)+2))
		u.wait.Go(func() { u.follow(ctx, job, rng, cancelled, cancelAfter) })
	}
}

// newJob returns a random job.
func (u *users) newJob(i int, tasks float64, run time.Duration) protocol.Job {
	priority := []string{"urgent", "standard", "standard", "low"}[u.rng.IntN(4)]
	return protocol.Job{UID: fmt.Sprintf("j-%d-%d", u.options.Seed, i), Class: priority,
		Team: teamName(u.rng.IntN(teamCount)), Kind: "batch", Priority: priority,
		Tasks: max(1, int(tasks*(0.5+u.rng.Float64()))), Cores: 1, RAM: 1, Image: "i", Spot: true,
		EstimateS: run.Seconds() * (0.5 + u.rng.Float64())}
}

// sleep waits. It returns false at once if the context is cancelled.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// followJob submits one job and polls it until it is terminal; cancels it after a while if asked to.
func (u *users) follow(ctx context.Context, job protocol.Job, rng *rand.Rand, cancelled bool,
	cancelAfter time.Duration) {
	u.fleet.Upload(job)
	if !u.submit(ctx, job, rng) {
		return
	}
	from := time.Now()
	for sleep(ctx, pollEvery) {
		if cancelled && time.Since(from) > cancelAfter {
			u.fleet.CancelAsked(job.UID)
			if u.ask(ctx, rng, http.MethodPost, "/work/"+job.UID+"/cancel", job.UID) {
				return
			}
			continue
		}
		if u.ask(ctx, rng, http.MethodGet, "/work/"+job.UID, job.UID) {
			return
		}
	}
}

// submitJob submits a job, with retries, and returns whether it was accepted.
func (u *users) submit(ctx context.Context, job protocol.Job, rng *rand.Rand) bool {
	raw, err := json.Marshal(job)
	if err != nil {
		return false
	}
	for end := time.Now().Add(protocol.RetrySpan); time.Now().Before(end); {
		status, _, pause := u.call(ctx, rng, http.MethodPost, "/work", raw)
		if status == 200 || status == 201 {
			u.mu.Lock()
			u.accepted[job.UID] = true
			u.mu.Unlock()
			return true
		}
		if !sleep(ctx, pause) {
			return false
		}
	}
	return false
}

// requestState queries or cancels a job, depending on the method and the path, and returns whether
// the job is terminal.
func (u *users) ask(ctx context.Context, rng *rand.Rand, method, path, id string) (over bool) {
	status, body, _ := u.call(ctx, rng, method, path, nil)
	var state protocol.JobState
	u.mu.Lock()
	defer u.mu.Unlock()
	if status == 404 {
		u.forgotten[id] = true
	}
	if status != 200 || json.Unmarshal(body, &state) != nil {
		return false
	}
	if state.State == protocol.Withdrawn {
		u.fleet.CancelConfirmed(id)
	}
	if state.State == protocol.Done || state.State == protocol.Withdrawn {
		u.ended[id] = state.State
		return true
	}
	return false
}

// sendRequest sends a request to a random controller. It returns status 0 without a response, and
// the delay before a retry.
func (u *users) call(ctx context.Context, rng *rand.Rand, method, path string,
	body []byte) (status int, answer []byte, pause time.Duration) {
	node := u.nodes[rng.IntN(len(u.nodes))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
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
func (u *users) lastQuestions(ctx context.Context) {
	u.mu.Lock()
	var open []string
	for id := range u.accepted {
		if u.ended[id] == "" {
			open = append(open, id)
		}
	}
	u.mu.Unlock()
	slices.Sort(open)
	var wait sync.WaitGroup
	slots := make(chan struct{}, 32)
	for i, id := range open {
		rng := rand.New(rand.NewPCG(u.options.Seed, uint64(i)))
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			u.lastQuestion(ctx, rng, id)
		})
	}
	wait.Wait()
}

// queryOpenJob queries one job until it is answered or finalQueryTimeout has passed.
func (u *users) lastQuestion(ctx context.Context, rng *rand.Rand, id string) {
	for end := time.Now().Add(graceForAnswers); time.Now().Before(end); {
		if status, _, _ := u.call(ctx, rng, http.MethodGet, "/work/"+id, nil); status == 200 {
			u.ask(ctx, rng, http.MethodGet, "/work/"+id, id)
			return
		}
		if !sleep(ctx, pollEvery/2) {
			return
		}
	}
	u.mu.Lock()
	u.forgotten[id] = true
	u.mu.Unlock()
}

// JobCounts counts the jobs by outcome, as the controllers have answered to the users.
type Jobs struct {
	Accepted  int `json:"accepted"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Forgotten int `json:"forgotten"`
}

// jobCounts returns the counts so far.
func (u *users) jobs() Jobs {
	u.mu.Lock()
	defer u.mu.Unlock()
	jobs := Jobs{Accepted: len(u.accepted), Forgotten: len(u.forgotten)}
	for _, state := range u.ended {
		if state == protocol.Done {
			jobs.Finished++
		} else {
			jobs.Cancelled++
		}
	}
	return jobs
}
