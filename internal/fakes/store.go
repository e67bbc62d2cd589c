// Package fakes provides in-process fakes of the key-value store, the cloud, the workers and the
// network between them, for tests of whole controllers over real connections on loopback. They follow
// the specification of the protocol.
package fakes

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"hitchdoor/internal/json"
	"hitchdoor/internal/storage"
)

// Store is a fake of the key-value store.
type Store struct {
	Server *Server

	mu          sync.Mutex
	unavailable bool
	writeRPS    float64   // maximum number of writes per second; 0: no limit
	writeTokens float64   // writes that the limit allows now
	refilledAt  time.Time // when writeTokens was last updated
	items       map[string]storage.Item
	events      []storage.WatchEvent // changes that a watch can still read, sorted by revision
	// compactedRevision is the last revision whose changes are no longer kept.
	compactedRevision uint64
	revision          uint64
	leases            map[uint64]*lease
	lastLeaseID       uint64
	changed           chan struct{}     // closed and replaced at each change
	onCommit          func(storage.Txn) // called with each committed transaction; nil: none
}

// lease is a lease that the store has granted. The keys bound to the lease are deleted when it
// expires or is revoked.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewStore starts a store that accepts writeRPS writes per second; 0 means no limit.
func NewStore(writeRPS float64) (*Store, error) {
	s := &Store{items: map[string]storage.Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		writeRPS: writeRPS, writeTokens: writeRPS, refilledAt: time.Now()}
	var err error
	if s.Server, err = newServer(s); err != nil {
		return nil, err
	}
	return s, nil
}

// OnCommit sets a callback that gets each committed transaction, in the order of the commits.
func (s *Store) OnCommit(callback func(storage.Txn)) {
	s.mu.Lock()
	s.onCommit = callback
	s.mu.Unlock()
}

// SetUnavailable begins or ends an outage. The beginning and the end both renew every lease for its
// full TTL.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	for _, existing := range s.leases {
		existing.expiresAt = time.Now().Add(existing.ttl)
	}
}

// Item returns the item stored under a key, and whether there is one.
func (s *Store) Item(key string) (storage.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	item, ok := s.items[key]
	return item, ok
}

// Items lists the items whose keys have a prefix, sorted by key.
func (s *Store) Items(prefix string) []storage.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []storage.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b storage.Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// CountKeys returns the number of keys with a prefix.
func (s *Store) CountKeys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// ServeHTTP serves the store's HTTP interface.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/follow" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	switch path := r.URL.Path; {
	case s.unavailable:
		writeJSON(w, 503, nil)
	case strings.HasPrefix(path, "/store/"):
		if item, ok := s.items[strings.TrimPrefix(path, "/store/")]; ok {
			writeJSON(w, 200, item)
		} else {
			writeJSON(w, 404, storage.TxnResponse{Revision: s.revision})
		}
	case path == "/store":
		writeJSON(w, 200, s.listPage(r))
	case path == "/multi":
		var txn storage.Txn
		if !readJSON(w, r, &txn) {
			return
		}
		status, result := s.commitTxn(txn)
		writeJSON(w, status, result)
	default:
		s.serveLease(w, r)
	}
}

// listPage returns one page of the items, sorted by key, that have the prefix and follow the key in
// the query.
func (s *Store) listPage(r *http.Request) storage.ListResponse {
	query := r.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("since") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := storage.ListResponse{Revision: s.revision}
	limit, _ := strconv.Atoi(query.Get("limit"))
	for _, key := range keys {
		if page.Truncated = len(page.Items) == limit; page.Truncated {
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	return page
}

// commitTxn commits a transaction if the write limit and all of the transaction's conditions allow
// it. It returns the HTTP status and the body of the response.
func (s *Store) commitTxn(txn storage.Txn) (int, any) {
	if s.writeRPS > 0 {
		now := time.Now()
		s.writeTokens = min(s.writeRPS, s.writeTokens+s.writeRPS*now.Sub(s.refilledAt).Seconds())
		s.refilledAt = now
		if s.writeTokens < float64(len(txn.Writes)) {
			return 429, nil
		}
		s.writeTokens -= float64(len(txn.Writes))
	}
	var failedKeys []string
	for _, condition := range txn.Conditions {
		if s.items[condition.Key].ModRevision != condition.ModRevision {
			failedKeys = append(failedKeys, condition.Key)
		}
	}
	for _, write := range txn.Writes {
		if write.LeaseID != 0 && s.leases[write.LeaseID] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	if failedKeys != nil {
		return 409, storage.TxnResponse{FailedKeys: failedKeys, Revision: s.revision}
	}
	s.revision++
	for _, write := range txn.Writes {
		if write.PutKey == "" {
			s.deleteKey(write.DeleteKey)
			continue
		}
		s.items[write.PutKey] = storage.Item{Key: write.PutKey, Value: write.Value, ModRevision: s.revision,
			LeaseID: write.LeaseID}
		s.recordEvent(storage.WatchEvent{PutKey: write.PutKey, Value: write.Value, ModRevision: s.revision})
	}
	if s.onCommit != nil {
		s.onCommit(txn)
	}
	s.notifyWatchers()
	return 200, storage.TxnResponse{Revision: s.revision}
}

// deleteKey deletes a key and records the deletion at the current revision.
func (s *Store) deleteKey(key string) {
	delete(s.items, key)
	s.recordEvent(storage.WatchEvent{DeletedKey: key, ModRevision: s.revision})
}

// maxRetainedEvents is the number of latest changes that a watch can always read.
const maxRetainedEvents = 10_000

// recordEvent keeps a change for watches. It compacts the oldest changes, in batches of
// maxRetainedEvents.
func (s *Store) recordEvent(event storage.WatchEvent) {
	if s.events = append(s.events, event); len(s.events) > 2*maxRetainedEvents {
		s.compactedRevision = s.events[maxRetainedEvents-1].ModRevision
		s.events = slices.Clone(s.events[maxRetainedEvents:])
	}
}

// eventsSince lists the changes, after a revision, of keys with a prefix.
func (s *Store) eventsSince(revision uint64, prefix string) []storage.WatchEvent {
	first, _ := slices.BinarySearchFunc(s.events, revision+1,
		func(e storage.WatchEvent, revision uint64) int { return cmp.Compare(e.ModRevision, revision) })
	var events []storage.WatchEvent
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.PutKey+e.DeletedKey, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// notifyWatchers wakes up all watches.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases revokes the leases whose TTL has passed. No lease expires during an outage.
func (s *Store) expireLeases() {
	for id, existing := range s.leases {
		if !s.unavailable && time.Now().After(existing.expiresAt) {
			s.revokeLease(id)
		}
	}
}

// revokeLease deletes a lease and the keys bound to it.
func (s *Store) revokeLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.LeaseID == id {
			s.revision++
			s.deleteKey(key)
			s.notifyWatchers()
		}
	}
}

// serveLease grants, renews or revokes a lease.
func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/holds" {
		var request storage.Lease
		if !readJSON(w, r, &request) {
			return
		}
		s.lastLeaseID++
		ttl := time.Duration(request.TTLMillis) * time.Millisecond
		s.leases[s.lastLeaseID] = &lease{ttl, time.Now().Add(ttl)}
		writeJSON(w, 200, storage.Lease{ID: s.lastLeaseID})
		return
	}
	idText, renew := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/touch")
	id, _ := strconv.ParseUint(idText, 10, 64)
	existing := s.leases[id]
	switch {
	case existing == nil:
		writeJSON(w, 404, map[string]string{"error": "no such lease"})
	case renew:
		existing.expiresAt = time.Now().Add(existing.ttl)
		writeJSON(w, 200, storage.Lease{ID: id})
	default:
		s.revokeLease(id)
		writeJSON(w, 200, storage.Lease{ID: id})
	}
}

// watch answers once a key with the prefix has changed after the requested revision, or at the
// deadline of the request. It answers 410 if changes after that revision have been compacted, that
// is, are no longer kept.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for beforeDeadline := true; ; {
		s.mu.Lock()
		response := storage.WatchResponse{Revision: s.revision}
		response.Events = s.eventsSince(since, query.Get("under"))
		changed, unavailable, compacted := s.changed, s.unavailable, since < s.compactedRevision
		s.mu.Unlock()
		if compacted && !unavailable {
			writeJSON(w, 410, nil)
			return
		}
		if !unavailable && (len(response.Events) > 0 || !beforeDeadline) {
			writeJSON(w, 200, response)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			beforeDeadline = false
			// A watch stays open during an outage and polls for the end of the outage.
			deadline = time.After(50 * time.Millisecond)
		case <-r.Context().Done():
			return
		}
	}
}

// readJSON decodes the body of a request. If the body can't be decoded, it answers 400 and returns
// false.
func readJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		writeJSON(w, 400, map[string]string{"error": err.Error()})
		return false
	}
	return true
}

// writeJSON writes a response. If body is nil, the response has no body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		w.Write(storage.Encode(body))
	}
}

// SetOutage begins or ends an outage, like SetUnavailable, and has no effect if nothing changes.
func (s *Store) SetOutage(unavailable bool) {
	s.mu.Lock()
	changes := s.unavailable != unavailable
	s.mu.Unlock()
	if changes {
		s.SetUnavailable(unavailable)
	}
}

// LeaderName returns the name in the leader key, or "" if there is none.
func (s *Store) LeaderName() string {
	item, ok := s.Item(storage.LeaderKey)
	var leader storage.Leader
	if !ok || json.Unmarshal(item.Value, &leader) != nil {
		return ""
	}
	return leader.Node
}
