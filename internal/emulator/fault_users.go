package emulator

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hitchdoor/internal/fakes"
	"hitchdoor/internal/history"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
)

// Behaviour of the users of a fault test.
const (
	queryTimeout       = 2 * time.Second // as the protocol states it; that of other requests is longer
	requestTimeout     = 5 * time.Second
	maxConnectAttempts = 3
	cancelShare        = 0.2 // share of jobs that are cancelled
	repeatShare        = 0.3 // share of jobs whose submission is repeated
	closeLookShare     = 0.3 // share of answers after which the user asks at all controllers at once
	finalQuestions     = 3   // questions about a job that is over
)

// faultUsers act as the users of a fault test: they submit jobs through a load balancer, ask about them
// until they are over and some time longer, repeat submissions and cancel some jobs.
type faultUsers struct {
	options      *Options
	fleet        *fakes.Fleet
	balancer     *fakes.LoadBalancer
	nodes        map[string]string // client addresses by controller name
	history      *history.Recorder
	client       *http.Client
	pollInterval time.Duration

	mu   sync.Mutex
	open map[string]bool // accepted jobs whose end no user knows
	jobs sync.WaitGroup
}

// newFaultUsers returns users that have submitted nothing yet.
func newFaultUsers(options *Options, fleet *fakes.Fleet, balancer *fakes.LoadBalancer, nodes map[string]string,
	recorder *history.Recorder) *faultUsers {
	return &faultUsers{options: options, fleet: fleet, balancer: balancer, nodes: nodes, history: recorder,
		client:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		pollInterval: max(time.Second, options.HeartbeatInterval), open: map[string]bool{}}
}

// openJobs returns the number of accepted jobs whose end no user knows.
func (u *faultUsers) openJobs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.open)
}

// submitJobs submits jobs until the deadline, and returns without waiting for their ends.
func (u *faultUsers) submitJobs(ctx context.Context, deadline time.Time) {
	generator := newLoadGenerator(u.options, u.fleet, nil)
	jobRate, tasksPerJob, runTime := u.options.loadShape()
	for number := 0; ; number++ {
		pause := time.Duration(generator.rng.ExpFloat64() / jobRate * float64(time.Second))
		if time.Now().Add(pause).After(deadline) || !sleep(ctx, pause) {
			return
		}
		job := generator.newJob(number, tasksPerJob, runTime)
		rng := rand.New(rand.NewPCG(u.options.Seed, uint64(number)+100))
		u.jobs.Go(func() { u.followJob(ctx, job, rng) })
	}
}

// followJob submits a job and asks about it until it is over.
func (u *faultUsers) followJob(ctx context.Context, job protocol.Job, rng *rand.Rand) {
	u.fleet.UploadJob(job)
	u.history.Record(history.Event{Kind: history.JobSubmitted, Job: job.ID, TaskCount: job.TaskCount})
	body, err := protocol.EncodeSubmission(&job)
	if err != nil || !u.submit(ctx, job.ID, body) {
		return
	}
	u.setOpen(job.ID, true)
	if rng.Float64() < closeLookShare {
		u.askEverywhere(ctx, job.ID)
	}
	cancelAfter := time.Duration(rng.Float64() * float64(u.options.LeaseDuration))
	cancels, repeats := rng.Float64() < cancelShare, rng.Float64() < repeatShare
	for acceptedAt := time.Now(); ; {
		if !sleep(ctx, time.Duration((0.5+rng.Float64())*float64(u.pollInterval))) {
			return
		}
		over := false
		switch {
		case cancels && time.Since(acceptedAt) > cancelAfter:
			over = u.cancel(ctx, job.ID)
		case repeats && rng.Float64() < repeatShare:
			over = u.request(ctx, protocol.RequestSubmit, job.ID, body).state.IsTerminal()
		default:
			over = u.request(ctx, protocol.RequestQuery, job.ID, nil).state.IsTerminal()
		}
		if over {
			break
		}
	}
	u.setOpen(job.ID, false)
	u.askAgain(ctx, job.ID, body, rng)
}

// askAgain asks about a job that is over, at all controllers and at once, and repeats its submission.
func (u *faultUsers) askAgain(ctx context.Context, jobID string, body []byte, rng *rand.Rand) {
	for range finalQuestions {
		u.askEverywhere(ctx, jobID)
		if !sleep(ctx, time.Duration(rng.Float64()*float64(u.options.LeaseDuration))) {
			return
		}
	}
	u.request(ctx, protocol.RequestSubmit, jobID, body)
}

// setOpen records whether a job is accepted and not known to be over.
func (u *faultUsers) setOpen(jobID string, open bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if open {
		u.open[jobID] = true
		return
	}
	delete(u.open, jobID)
}

// submit submits a job, with retries, and returns whether it was accepted.
func (u *faultUsers) submit(ctx context.Context, jobID string, body []byte) bool {
	for deadline := time.Now().Add(protocol.SubmissionRetryWindow); time.Now().Before(deadline); {
		answer := u.request(ctx, protocol.RequestSubmit, jobID, body)
		if answer.accepted() {
			return true
		}
		if !sleep(ctx, max(answer.retryAfter, time.Second)) {
			return false
		}
	}
	return false
}

// cancel requests the cancellation of a job once, and returns whether the job is over.
func (u *faultUsers) cancel(ctx context.Context, jobID string) bool {
	u.history.Record(history.Event{Kind: history.CancelRequested, Job: jobID})
	u.fleet.RecordCancelRequest(jobID)
	answer := u.request(ctx, protocol.RequestCancel, jobID, nil)
	if answer.status == http.StatusOK && answer.state == protocol.JobCancelled {
		u.fleet.RecordCancelConfirmation(jobID)
	}
	return answer.state.IsTerminal()
}

// askEverywhere queries a job at all controllers at once, not through the load balancer.
func (u *faultUsers) askEverywhere(ctx context.Context, jobID string) {
	var questions sync.WaitGroup
	for name, address := range u.nodes {
		questions.Go(func() { u.send(ctx, protocol.RequestQuery, jobID, nil, name, address) })
	}
	questions.Wait()
}

// userAnswer is the response to a user's request. Status 0 means that there was none.
type userAnswer struct {
	status     int
	state      protocol.JobState
	retryAfter time.Duration
	refused    bool // no connection was made
}

// accepted reports whether the answer says that the job is accepted.
func (a userAnswer) accepted() bool {
	return a.status == http.StatusOK || a.status == http.StatusCreated
}

// request sends a request through the load balancer, which tries up to maxConnectAttempts controllers.
func (u *faultUsers) request(ctx context.Context, kind protocol.RequestKind, jobID string, body []byte) userAnswer {
	var refusedBy []string
	for range maxConnectAttempts {
		name, address := u.balancer.Connect(refusedBy)
		if name == "" {
			break
		}
		answer := u.send(ctx, kind, jobID, body, name, address)
		u.balancer.Disconnected(name, answer.refused)
		if !answer.refused {
			return answer
		}
		refusedBy = append(refusedBy, name)
	}
	return userAnswer{}
}

// send sends a request to a controller and records the answer.
func (u *faultUsers) send(ctx context.Context, kind protocol.RequestKind, jobID string, body []byte, node,
	address string) userAnswer {
	sentAt := time.Now()
	answer := u.exchange(ctx, kind, jobID, body, address)
	u.history.Record(history.Event{Kind: history.Answered, Job: jobID, Node: node, Request: kind,
		Status: answer.status, State: answer.state, SentAt: u.history.Since(sentAt)})
	return answer
}

// exchange sends a request and decodes the response.
func (u *faultUsers) exchange(ctx context.Context, kind protocol.RequestKind, jobID string, body []byte,
	address string) userAnswer {
	method, path, timeout := http.MethodPost, "/work", requestTimeout
	switch kind {
	case protocol.RequestQuery:
		method, path, timeout = http.MethodGet, "/work/"+jobID, queryTimeout
	case protocol.RequestCancel:
		path = "/work/" + jobID + "/cancel"
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return userAnswer{}
	}
	response, err := u.client.Do(request)
	if err != nil {
		return userAnswer{refused: ctx.Err() == nil}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return userAnswer{}
	}
	answer := userAnswer{status: response.StatusCode}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	answer.retryAfter = time.Duration(seconds) * time.Second
	var state protocol.JobStatus
	if answer.accepted() && json.Unmarshal(raw, &state) == nil {
		answer.state = state.State
	}
	return answer
}
