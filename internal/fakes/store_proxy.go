package fakes

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// StoreFault is what goes wrong between one controller and the key-value store.
type StoreFault struct {
	Refuse bool          // the store answers 503 without executing the request
	Cut    bool          // no request arrives, and none is answered
	Delay  time.Duration // each request is executed this much later
	// LostAnswers is the share of transactions that are executed at once and whose answer is lost.
	LostAnswers float64
	// LateWrites is the share of transactions without an answer that are executed after up to LateBy.
	LateWrites float64
	LateBy     time.Duration
}

// StoreProxy is the way of one controller to a Store, on which faults occur.
type StoreProxy struct {
	Server *Server

	store *Store
	mu    sync.Mutex
	fault StoreFault
	rng   *rand.Rand
	// closing is closed by Close, which ends requests without an answer; late counts late transactions.
	closing chan struct{}
	late    sync.WaitGroup
}

// NewStoreProxy starts a proxy without faults. The seed determines which transactions are affected by the
// faults.
func NewStoreProxy(store *Store, seed uint64) (*StoreProxy, error) {
	p := &StoreProxy{store: store, rng: rand.New(rand.NewPCG(seed, 0)), closing: make(chan struct{})}
	var err error
	if p.Server, err = newServer(p); err != nil {
		return nil, err
	}
	return p, nil
}

// Close closes the proxy and waits for late transactions.
func (p *StoreProxy) Close() {
	close(p.closing)
	p.Server.Close()
	p.late.Wait()
}

// SetFault replaces the fault. The zero value ends it.
func (p *StoreProxy) SetFault(fault StoreFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// transactionOutcome is what happens to one transaction.
type transactionOutcome int

// The outcomes of a transaction.
const (
	answered transactionOutcome = iota
	answerLost
	executedLate
)

// drawOutcome returns the current fault and draws the outcome of a transaction and its delay if it is late.
func (p *StoreProxy) drawOutcome() (fault StoreFault, outcome transactionOutcome, lateBy time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	draw := p.rng.Float64()
	switch {
	case draw < p.fault.LostAnswers:
		outcome = answerLost
	case draw < p.fault.LostAnswers+p.fault.LateWrites:
		outcome = executedLate
	}
	return p.fault, outcome, time.Duration(p.rng.Float64() * float64(p.fault.LateBy))
}

// ServeHTTP passes a request on to the store, unless a fault prevents it.
func (p *StoreProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, outcome, lateBy := p.drawOutcome()
	isWatch := r.URL.Path == "/follow"
	switch {
	case fault.Cut:
		p.leaveUnanswered(r)
	case fault.Refuse && !isWatch:
		writeJSON(w, http.StatusServiceUnavailable, nil)
	case r.URL.Path == "/multi" && outcome != answered:
		p.executeUnanswered(r, outcome, lateBy)
	default:
		if !isWatch && !p.sleep(fault.Delay) {
			return
		}
		p.store.ServeHTTP(w, r)
	}
}

// executeUnanswered executes a transaction, at once or late, and does not answer it.
func (p *StoreProxy) executeUnanswered(r *http.Request, outcome transactionOutcome, lateBy time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	execute := func() {
		request := httptest.NewRequest(http.MethodPost, strings.Clone(r.URL.Path), bytes.NewReader(body))
		p.store.ServeHTTP(httptest.NewRecorder(), request)
	}
	if outcome == answerLost {
		execute()
	} else {
		p.late.Go(func() {
			if p.sleep(lateBy) {
				execute()
			}
		})
	}
	p.leaveUnanswered(r)
}

// leaveUnanswered waits until the client gives up, and aborts the connection.
func (p *StoreProxy) leaveUnanswered(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-p.closing:
	}
	panic(http.ErrAbortHandler)
}

// sleep waits for the duration and returns true, or returns false if the proxy is closed.
func (p *StoreProxy) sleep(duration time.Duration) bool {
	if duration == 0 {
		return true
	}
	select {
	case <-time.After(duration):
		return true
	case <-p.closing:
		return false
	}
}
