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

// queueHost simulates a controller. It keeps the transactions of a submission queue until the test
// responds to them.
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

// answerNext responds to the oldest transaction that has had no response.
func (h *queueHost) answerNext(status int, body string) {
	onResponse := h.responses[0]
	h.responses = h.responses[1:]
	onResponse(status, []byte(body))
}

// newTestQueue returns a queue that writes 10 records per second in bursts of up to 10. At most 20 writes
// can wait.
func newTestQueue(host Host) *Queue {
	cluster := &config.Cluster{ControllerCount: 2}
	cluster.Workers.LeaseS = 14
	cluster.Resources.MaxConnections = 20
	return NewQueue(host, cluster, ratelimit.NewTokenBucket(10, 10))
}

// newTestWrite returns the write of a job. The write appends its results to results.
func newTestWrite(jobID string, results *[]Result) *Write {
	record := storage.JobRecord{Spec: protocol.Job{ID: jobID}}
	return &Write{Record: record, Writes: []storage.Write{storage.Put(storage.JobKey(jobID), record)},
		Deadline: time.Minute, PolicyRevision: 7, OnResult: func(result Result) { *results = append(*results, result) }}
}

// Each response that ends a write must lead to the right outcome, because the outcome determines whether
// the user is told that the job was accepted.
func TestOutcomesOfSubmissionWrites(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   Result
	}{
		{"written", http.StatusOK, `{"edicao":12}`, Result{Accepted, 12}},
		{"unreadable response", http.StatusOK, `{`, Result{Outcome: Failed}},
		{"too large", http.StatusBadRequest, "", Result{Outcome: TooLarge}},
		{"refused by the store", http.StatusServiceUnavailable, "", Result{Outcome: StoreRefused}},
		{"conflict of unknown cause", http.StatusConflict, `{}`, Result{Outcome: JobMayExist}},
		{"unexpected status", http.StatusTeapot, "", Result{Outcome: Failed}},
	} {
		host := &queueHost{}
		var results []Result
		newTestQueue(host).Add(newTestWrite("j-1", &results))
		if len(host.sent) != 1 || len(host.sent[0].Conditions) != 3 || host.sent[0].Conditions[2].ModRevision != 7 {
			t.Fatalf("%s: transactions: got %+v, want one on condition of the policy at revision 7",
				test.name, host.sent)
		}
		host.answerNext(test.status, test.body)
		if len(results) != 1 || results[0] != test.want {
			t.Errorf("%s: results: got %+v, want only %+v", test.name, results, test.want)
		}
	}
}

// A write must be sent again up to maxRetries times if there was no response or the store's rate limit
// was reached. Without a bound, a store that is down would be sent the same writes forever.
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
			t.Errorf("status %d: write sent %d times, want %d; results: got %+v, want none",
				status, len(host.sent), 1+maxRetries, results)
		}
		host.answerNext(status, "")
		if len(results) != 1 || results[0].Outcome != want {
			t.Errorf("status %d: results after the last retry: got %+v, want only outcome %d", status, results, want)
		}
	}
}

// Writes above the rate must wait in the queue, and must be rejected if the queue is full or their
// deadline has passed. After a refusal by the store's rate limit the node must halve its rate, because the
// other of the two nodes is writing too.
func TestSubmissionQueueLimitsItsRate(t *testing.T) {
	host := &queueHost{now: time.Second}
	queue := newTestQueue(host)
	var results []Result
	for range 31 {
		queue.Add(newTestWrite("j-1", &results))
	}
	if len(host.sent) != 10 || len(results) != 1 || results[0].Outcome != OverCapacity {
		t.Fatalf("%d writes were sent, want 10; results %+v, want one rejection for capacity", len(host.sent), results)
	}
	host.now += time.Second / 2
	if queue.WritePending(); len(host.sent) != 15 {
		t.Errorf("%d writes were sent after half a second, want 15", len(host.sent))
	}
	queue.onRateLimited()
	queue.WritePending()
	host.now += time.Second
	if queue.WritePending(); len(host.sent) != 20 {
		t.Errorf("%d writes were sent one second after a refusal, want 20", len(host.sent))
	}
	host.now = time.Minute
	if queue.WritePending(); len(host.sent) != 20 || len(results) != 11 {
		t.Errorf("%d writes were sent and %d rejected at the deadline, want 20 and 11", len(host.sent), len(results))
	}
}
