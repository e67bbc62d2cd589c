package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"hitchdoor/internal/fakes"
)

// limits are those of the state service.
type limits struct {
	rps, writeRPS float64
	valueBytes    int
	txnOps        int
}

// strictStore is the state service with the limits of the protocol.
type strictStore struct {
	store   *fakes.Store
	record  *record
	address string
	server  *http.Server

	mu                  sync.Mutex
	limits              limits
	requests, writes    float64
	refilled            time.Time
	rejected, throttled int
}

func newStrictStore(store *fakes.Store, rec *record, l limits) (*strictStore, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &strictStore{store: store, record: rec, address: listener.Addr().String(), limits: l, requests: l.rps, writes: l.writeRPS, refilled: time.Now()}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(listener)
	return s, nil
}

func (s *strictStore) setLimits(l limits) {
	s.mu.Lock()
	s.limits = l
	s.mu.Unlock()
}

func (s *strictStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(raw))
	if code := s.check(r, raw); code != 0 {
		w.WriteHeader(code)
		return
	}
	s.store.ServeHTTP(w, r)
}

func (s *strictStore) check(r *http.Request, raw []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	since := now.Sub(s.refilled).Seconds()
	s.refilled = now
	s.requests = min(s.limits.rps, s.requests+since*s.limits.rps)
	s.writes = min(s.limits.writeRPS, s.writes+since*s.limits.writeRPS)
	if s.requests < 1 {
		s.throttled++
		s.record.line("state: 429 %s %s", r.Method, r.URL)
		return 429
	}
	s.requests--
	if r.URL.Path != "/multi" {
		return 0
	}
	var txn struct {
		If     []json.RawMessage
		Writes []struct {
			Set, Drop string
			Data      json.RawMessage
		}
	}
	json.Unmarshal(raw, &txn)
	bad := len(raw) > 64<<10 || len(txn.Writes) > s.limits.txnOps || len(txn.If) > 4*s.limits.txnOps
	for _, x := range txn.Writes {
		bad = bad || len(x.Data) > s.limits.valueBytes || len(x.Set)+len(x.Drop) > 200
	}
	if bad {
		s.rejected++
		s.record.line("state: 400 %d bytes, %d writes, %d conditions: %.300s", len(raw), len(txn.Writes), len(txn.If), raw)
		return 400
	}
	if s.writes < float64(len(txn.Writes)) {
		s.throttled++
		s.record.line("state: 429 for %d writes", len(txn.Writes))
		return 429
	}
	s.writes -= float64(len(txn.Writes))
	return 0
}
