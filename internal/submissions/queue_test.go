package submissions

import (
	"net/http"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// queueHost is a key-value store that keeps the transactions of a submission queue until the test
// answers them.
type queueHost struct {
	now         clock.Instant
	unavailable bool
	sent        []storage.Txn
	responses   []func(status int, body []byte)
}

func (h *queueHost) Now() clock.Instant { return h.now }

func (h *queueHost) StoreUnavailable() bool { return h.unavailable }

func (h *queueHost) ExecuteTxn(txn storage.Txn, onResponse func(status int, body []byte)) {
	h.sent = append(h.sent, txn)
	h.responses = append(h.responses, onResponse)
}

// answerNext answers the oldest transaction without a response.
func (h *queueHost) answerNext(status int, body string) {
	onResponse := h.responses[0]
	h.responses = h.responses[1:]
	onResponse(status, []byte(body))
}

// newTestQueue returns a queue that writes 10 records per second, and up to 10 at once.
func newTestQueue(host Host) *Queue {
	cluster := &config.Cluster{ControllerCount: 2}
	cluster.Workers.LeaseS = 14
	cluster.Resources.MaxConnections = 20
	return NewQueue(host, cluster, ratelimit.NewTokenBucket(10, 10))
}

// newTestWrite returns the write of a job, whose results are appended to the list.
func newTestWrite(jobID string, results *[]Result) *Write {
	record := storage.JobRecord{Spec: protocol.Job{ID: jobID}}
	return &Write{Record: record, Writes: []storage.Write{storage.Put(storage.JobKey(jobID), record)},
		Deadline: time.Minute, PolicyVersion: 7, OnResult: func(result Result) { *results = append(*results, result) }}
}

// Each response that ends a write is passed on as its outcome.
func TestOutcomesOfSubmissionWrites(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   Result
	}{
		{"written", http.StatusOK, `{"edicao":12}`, Result{Accepted, 12}},
		{"not readable", http.StatusOK, `{`, Result{Outcome: Failed}},
		{"too large", http.StatusBadRequest, "", Result{Outcome: TooLarge}},
		{"refused", http.StatusServiceUnavailable, "", Result{Outcome: StoreRefused}},
		{"conflict of unknown cause", http.StatusConflict, `{}`, Result{Outcome: JobKnown}},
		{"unexpected", http.StatusTeapot, "", Result{Outcome: Failed}},
	} {
		host := &queueHost{}
		var results []Result
		newTestQueue(host).Add(newTestWrite("j-1", &results))
		if len(host.sent) != 1 || len(host.sent[0].Conditions) != 3 || host.sent[0].Conditions[2].ModRevision != 7 {
			t.Fatalf("%s: sent %+v", test.name, host.sent)
		}
		host.answerNext(test.status, test.body)
		if len(results) != 1 || results[0] != test.want {
			t.Errorf("%s: %+v, not %+v", test.name, results, test.want)
		}
	}
}

// A write without a response, or over the rate limit, is sent again a few times.
func TestSubmissionWritesAreRetried(t *testing.T) {
	for status, want := range map[int]Outcome{0: Failed, http.StatusTooManyRequests: OverCapacity} {
		host := &queueHost{}
		queue := newTestQueue(host)
		var results []Result
		queue.Add(newTestWrite("j-1", &results))
		for range maxRetries {
			host.answerNext(status, "")
			host.now += time.Second
			queue.WritePending()
		}
		if len(results) > 0 || len(host.sent) != 1+maxRetries {
			t.Errorf("status %d: sent %d times, results %+v", status, len(host.sent), results)
		}
		host.answerNext(status, "")
		if len(results) != 1 || results[0].Outcome != want {
			t.Errorf("status %d: %+v", status, results)
		}
	}
}

// Writes beyond the budget wait, those beyond the queue's limit are rejected, and so are all whose
// deadline passes. After a refusal by the rate limit the rate is shared with the other node.
func TestSubmissionQueueLimitsItsRate(t *testing.T) {
	host := &queueHost{now: time.Second}
	queue := newTestQueue(host)
	var results []Result
	for range 31 {
		queue.Add(newTestWrite("j-1", &results))
	}
	if len(host.sent) != 10 || len(results) != 1 || results[0].Outcome != OverCapacity {
		t.Fatalf("%d sent, results %+v", len(host.sent), results)
	}
	host.now += time.Second / 2
	if queue.WritePending(); len(host.sent) != 15 {
		t.Errorf("%d sent after half a second", len(host.sent))
	}
	queue.onRateLimited()
	queue.WritePending()
	host.now += time.Second
	if queue.WritePending(); len(host.sent) != 20 {
		t.Errorf("%d sent in the second after a refusal", len(host.sent))
	}
	host.now = time.Minute
	if queue.WritePending(); len(host.sent) != 20 || len(results) != 11 {
		t.Errorf("%d sent and %d rejected at the deadline", len(host.sent), len(results))
	}
}
