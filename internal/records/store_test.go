package records

import (
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/storage"
)

// storeRequest is a request that the code under test has sent to the key-value store.
type storeRequest struct {
	method, path string
	body         []byte
	onResponse   func(storage.Response)
}

// delayedTestCall is a call that the code under test has scheduled.
type delayedTestCall struct {
	delay time.Duration
	run   func()
}

// testHost records the requests, the delayed calls and the reasons for stepping down of the code under
// test. Its clock does not advance.
type testHost struct {
	requests     []storeRequest
	delayedCalls []delayedTestCall
	stepDowns    []string
}

func (h *testHost) Now() clock.Instant               { return 0 }
func (h *testHost) UnixMilli(at clock.Instant) int64 { return at.Milliseconds() }
func (h *testHost) InstantFromUnixMilli(milliseconds int64) clock.Instant {
	return time.Duration(milliseconds) * time.Millisecond
}
func (h *testHost) WorkerLease() time.Duration { return 10 * time.Second }
func (h *testHost) StepDown(reason string)     { h.stepDowns = append(h.stepDowns, reason) }

func (h *testHost) CallStore(method, path string, body any, onResponse func(storage.Response)) {
	h.requests = append(h.requests, storeRequest{method, path, storage.Encode(body), onResponse})
}

func (h *testHost) CallAfter(delay time.Duration, call func()) {
	h.delayedCalls = append(h.delayedCalls, delayedTestCall{delay, call})
}

// respond passes a response to the last request.
func (h *testHost) respond(status int, body any) {
	h.requests[len(h.requests)-1].onResponse(storage.Response{Status: status, Body: storage.Encode(body)})
}

// last returns the last request.
func (h *testHost) last() storeRequest { return h.requests[len(h.requests)-1] }

// expectRequests checks the number of requests so far and the method and path of the last one.
func (h *testHost) expectRequests(t *testing.T, count int, method, path string) {
	t.Helper()
	if len(h.requests) != count || h.last().method != method || h.last().path != path {
		t.Fatalf("got %d requests to the store, the last one %s %s; want %d and %s %s",
			len(h.requests), h.last().method, h.last().path, count, method, path)
	}
}

func (h *testHost) WatchStore(path string, _ time.Duration, onResponse func(storage.Response)) {
	h.requests = append(h.requests, storeRequest{"GET", path, nil, onResponse})
}

func (h *testHost) RecordsLoaded() bool { return true }
