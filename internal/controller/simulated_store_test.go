package controller

import (
	"cmp"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// fakeStore is an in-process fake of the key-value store's HTTP interface.
type fakeStore struct {
	simulation            *simulation
	keys                  map[string]storage.Item
	revision              uint64
	eventLog              []storage.WatchEvent // all changes, in order of their revisions
	leases                map[uint64]*fakeLease
	lastLeaseID           uint64
	down                  bool
	refusedNodes          map[string]bool        // nodes whose calls get status 503
	requestsDropped       map[string]bool        // nodes whose requests are lost
	responsesDropped      map[string]bool        // nodes whose requests are executed, but whose responses are lost
	limitWriteRate        bool                   // enforce the configured write rate
	enforceUpcomingLimits bool                   // enforce the limits that the settings announce
	oversizedKeys         []string               // keys of transactions rejected as too large for the upcoming limits
	throttledTransactions int                    // number of transactions rejected for the write rate
	rejectTransaction     func(storage.Txn) bool // transactions to reject permanently
	writeBucket           ratelimit.TokenBucket
	responsesToLose       int                                     // executed transactions whose responses to drop
	holdTransaction       func(node string, t storage.Txn) bool   // transactions to hold back without a response
	heldTransactions      []func()                                // execute the transactions that were held back
	lateExecution         func() (delay time.Duration, late bool) // calls to execute after a delay, without a response
	requestDelay          func() time.Duration                    // delay of each call before it reaches the store
	watchers              []func() bool                           // open watch calls; true: a response was sent
}

// fakeLease is a lease of the store. Its keys are deleted when no time remains.
type fakeLease struct{ ttl, remaining time.Duration }

// expireLeases lets one step of time pass for all leases, except in an outage, and ends those whose
// time is up.
func (s *fakeStore) expireLeases() {
	if s.down {
		return
	}
	for id, lease := range s.leases {
		if lease.remaining -= step; lease.remaining <= 0 {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its keys.
func (s *fakeStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.keys {
		if item.LeaseID == id {
			s.revision++
			s.deleteKey(key)
		}
	}
}

// deleteKey deletes a key at the current revision.
func (s *fakeStore) deleteKey(key string) {
	delete(s.keys, key)
	s.eventLog = append(s.eventLog, storage.WatchEvent{DeletedKey: key, ModRevision: s.revision})
	s.notifyWatchers()
}

// notifyWatchers responds to the watch calls that have events or have timed out.
func (s *fakeStore) notifyWatchers() {
	s.watchers = slices.DeleteFunc(s.watchers, func(poll func() bool) bool { return poll() })
}

// setDown begins or ends an outage. Either renews all leases.
func (s *fakeStore) setDown(down bool) {
	s.down = down
	for _, lease := range s.leases {
		lease.remaining = lease.ttl
	}
	if !down {
		s.notifyWatchers()
	}
}

// serve handles a call of a node, subject to lost requests, lost responses and late execution.
func (s *fakeStore) serve(node string, call ServiceCall, respond func(int, any)) {
	if s.requestsDropped[node] {
		return
	}
	if s.lateExecution != nil && call.Method != "GET" && !s.down && !s.refusedNodes[node] {
		if delay, late := s.lateExecution(); late {
			// A late call, too, fails in an outage or if its node is refused at that time.
			s.simulation.schedule(delay, func() { s.executeCall(node, call, func(int, any) {}) })
			return
		}
	}
	if s.responsesDropped[node] {
		respond = func(int, any) {}
	}
	s.executeCall(node, call, respond)
}

// executeCall executes a call that has reached the store, and responds to it.
func (s *fakeStore) executeCall(node string, call ServiceCall, respond func(int, any)) {
	if s.down || s.refusedNodes[node] {
		// A watch gets no response, so that the node's call times out.
		if !strings.HasPrefix(call.Path, "/follow") {
			s.simulation.schedule(step, func() { respond(503, nil) })
		}
		return
	}
	requestURL, err := url.Parse(call.Path)
	if err != nil {
		s.simulation.t.Fatal(err)
	}
	parameters := requestURL.Query()
	switch {
	case call.Method == "GET" && strings.HasPrefix(requestURL.Path, "/store/"):
		if item, ok := s.keys[strings.TrimPrefix(requestURL.Path, "/store/")]; ok {
			respond(200, item)
		} else {
			respond(404, storage.TxnResponse{Revision: s.revision})
		}
	case call.Method == "GET" && requestURL.Path == "/store":
		page := storage.ListResponse{Revision: s.revision}
		var keys []string
		for key := range s.keys {
			if strings.HasPrefix(key, parameters.Get("under")) && key > parameters.Get("since") {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		limit, _ := strconv.Atoi(parameters.Get("limit"))
		for i, key := range keys {
			if i == limit {
				page.Truncated = true
				break
			}
			page.Items = append(page.Items, s.keys[key])
		}
		respond(200, page)
	case requestURL.Path == "/multi":
		var t storage.Txn
		if err := json.Unmarshal(call.Body, &t); err != nil {
			s.simulation.t.Fatal(err)
		}
		if s.rejectTransaction != nil && s.rejectTransaction(t) {
			respond(400, nil)
			return
		}
		rate := s.simulation.cfg.Store.WritesPerS
		if s.enforceUpcomingLimits {
			rate = s.simulation.cfg.Store.LowerWritesPerS()
			if key := s.oversizedKey(t); key != "" {
				s.oversizedKeys = append(s.oversizedKeys, key)
				respond(400, nil)
				return
			}
		}
		if s.limitWriteRate || s.enforceUpcomingLimits {
			s.writeBucket.Rate, s.writeBucket.Burst = rate, rate
			if !s.writeBucket.Take(s.simulation.now, float64(len(t.Writes))) {
				s.throttledTransactions++
				respond(429, nil)
				return
			}
		}
		if s.holdTransaction != nil && s.holdTransaction(node, t) {
			s.heldTransactions = append(s.heldTransactions, func() { s.executeTransaction(t) })
			return // without a response; the test may execute it later
		}
		status, response := s.executeTransaction(t)
		if status == 200 && s.responsesToLose > 0 {
			s.responsesToLose--
			s.simulation.schedule(time.Second, func() { respond(0, nil) })
			return
		}
		respond(status, response)
	case requestURL.Path == "/holds":
		var requested storage.Lease
		json.Unmarshal(call.Body, &requested)
		s.lastLeaseID++
		ttl := time.Duration(requested.TTLMillis) * time.Millisecond
		s.leases[s.lastLeaseID] = &fakeLease{ttl, ttl}
		respond(200, storage.Lease{ID: s.lastLeaseID})
	case strings.HasPrefix(requestURL.Path, "/holds/"):
		leaseID, keepAlive := strings.CutSuffix(strings.TrimPrefix(requestURL.Path, "/holds/"), "/touch")
		id, _ := strconv.ParseUint(leaseID, 10, 64)
		lease := s.leases[id]
		switch {
		case lease == nil:
			respond(404, nil)
		case keepAlive:
			lease.remaining = lease.ttl
			respond(200, storage.Lease{ID: id})
		default:
			s.endLease(id)
			respond(200, nil)
		}
	case requestURL.Path == "/follow":
		sinceRevision, _ := strconv.ParseUint(parameters.Get("since"), 10, 64)
		waitMillis, _ := strconv.Atoi(parameters.Get("waitMs"))
		prefix := parameters.Get("under")
		deadline := s.simulation.now + time.Duration(waitMillis)*time.Millisecond
		poll := func() bool {
			if s.down {
				return false
			}
			response := storage.WatchResponse{Revision: s.revision}
			for _, e := range s.eventsAfter(sinceRevision) {
				if strings.HasPrefix(cmp.Or(e.PutKey, e.DeletedKey), prefix) {
					response.Events = append(response.Events, e)
				}
			}
			if len(response.Events) == 0 && s.simulation.now < deadline {
				return false
			}
			respond(200, response)
			return true
		}
		if !poll() {
			s.watchers = append(s.watchers, poll)
			s.simulation.schedule(deadline-s.simulation.now, s.notifyWatchers)
		}
	default:
		s.simulation.t.Fatalf("key-value store: unexpected call %s %s", call.Method, call.Path)
	}
}

// eventsAfter returns the events of the log that are newer than a revision. It uses a binary search,
// since the log is ordered by revision.
func (s *fakeStore) eventsAfter(revision uint64) []storage.WatchEvent {
	first := sort.Search(len(s.eventLog), func(i int) bool { return s.eventLog[i].ModRevision > revision })
	return s.eventLog[first:]
}

// oversizedKey returns a key of a transaction if the transaction exceeds the announced limits, or "".
func (s *fakeStore) oversizedKey(t storage.Txn) string {
	for _, write := range t.Writes {
		if len(write.Value) > s.simulation.cfg.Store.MaxValueBytes() ||
			len(t.Writes) > s.simulation.cfg.Store.MaxTxnOps() {
			return write.Key()
		}
	}
	return ""
}

// putValue stores a value as an earlier leader would have, and tells the invariant checker of its job.
func (s *fakeStore) putValue(key string, value any) {
	switch record := value.(type) {
	case storage.JobRecord:
		s.simulation.submitted[record.Spec.ID], s.simulation.jobSpecs[record.Spec.ID] = true, record.Spec
	case storage.TerminalRecord:
		id := strings.TrimPrefix(key, storage.TerminalPrefix)
		s.simulation.submitted[id], s.simulation.cancelRequested[id] = true, record.State == protocol.JobCancelled
	}
	s.revision++
	s.keys[key] = storage.Item{Key: key, Value: storage.Encode(value), ModRevision: s.revision}
}

// holdNextTransaction returns a holdTransaction function that holds back the next transaction only.
func holdNextTransaction(s *fakeStore) func(string, storage.Txn) bool {
	return func(string, storage.Txn) bool {
		s.holdTransaction = nil
		return true
	}
}

// executeTransaction executes a transaction and returns the HTTP status and the body of the response.
func (s *fakeStore) executeTransaction(t storage.Txn) (int, any) {
	for _, write := range t.Writes {
		if write.LeaseID != 0 && s.leases[write.LeaseID] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	var failedKeys []string
	for _, c := range t.Conditions {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			failedKeys = append(failedKeys, c.Key)
		}
	}
	if failedKeys != nil {
		return 409, storage.TxnResponse{FailedKeys: failedKeys, Revision: s.revision}
	}
	if len(t.Writes) > s.simulation.cfg.Store.TxnOps {
		s.simulation.t.Fatalf("transaction of %d writes exceeds the store's limit", len(t.Writes))
	}
	s.simulation.checkAdmissionPolicy(t)
	s.revision++
	for _, write := range t.Writes {
		if write.PutKey == "" {
			s.deleteKey(write.DeleteKey)
			continue
		}
		if len(write.Value) > int(s.simulation.cfg.Store.ValueKB*1024) {
			s.simulation.t.Fatalf("value of %d bytes at key %s exceeds the store's limit", len(write.Value),
				write.PutKey)
		}
		s.keys[write.PutKey] = storage.Item{Key: write.PutKey, Value: write.Value, ModRevision: s.revision,
			LeaseID: write.LeaseID}
		s.eventLog = append(s.eventLog,
			storage.WatchEvent{PutKey: write.PutKey, Value: write.Value, ModRevision: s.revision})
	}
	s.notifyWatchers()
	return 200, storage.TxnResponse{Revision: s.revision}
}
