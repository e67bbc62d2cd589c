// Package fakes provides in-process fakes of the key-value store, the cloud, the workers and the
// network between them, for tests of whole controllers over real connections on loopback. They are
// written from the protocol.
package standin

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// Store is a fake of the key-value store.
type State struct {
	Server *Server

	mu       sync.Mutex
	down     bool
	rps      float64 // limit of writes per second; 0: none
	tokens   float64 // writes that the limit allows now
	filledAt time.Time
	keys     map[string]storage.Item
	log      []storage.Event // changes that a watch can still read, by revision
	// compactedRevision is the last revision whose changes are no longer kept.
	forgotten uint64
	revision  uint64
	leases    map[uint64]*lease
	last      uint64
	changed   chan struct{}     // closed and replaced at each change
	accepted  func(storage.Txn) // called with each committed transaction; nil: none
}

// lease deletes the keys bound to it when it expires.
type lease struct {
	span time.Duration
	ends time.Time
}

// NewStore starts a store that accepts writeRPS writes per second; 0 means no limit.
func NewState(writeRPS float64) *State {
	s := &State{keys: map[string]storage.Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		rps: writeRPS, tokens: writeRPS, filledAt: time.Now()}
	s.Server = newServer(s)
	return s
}

// OnCommit sets a callback that gets each committed transaction, in the order of the commits.
func (s *State) OnCommit(f func(storage.Txn)) { s.mu.Lock(); s.accepted = f; s.mu.Unlock() }

// SetUnavailable begins or ends an outage. Both give every lease its full TTL again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		l.ends = time.Now().Add(l.span)
	}
}

// Item returns the item stored under a key, and whether there is one.
func (s *State) Value(key string) (storage.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.keys[key]
	return item, ok
}

// Items lists the items whose keys have a prefix, sorted by key.
func (s *State) Items(prefix string) []storage.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []storage.Item
	for key, item := range s.keys {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b storage.Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// CountKeys returns the number of keys with a prefix.
func (s *State) Count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// ServeHTTP serves the store's HTTP interface.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/follow" {
		s.follow(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch path := r.URL.Path; {
	case s.down:
		answer(w, 503, nil)
	case strings.HasPrefix(path, "/store/"):
		if item, ok := s.keys[strings.TrimPrefix(path, "/store/")]; ok {
			answer(w, 200, item)
		} else {
			answer(w, 404, storage.TxnResult{Revision: s.revision})
		}
	case path == "/store":
		answer(w, 200, s.list(r))
	case path == "/multi":
		var txn storage.Txn
		if !read(w, r, &txn) {
			return
		}
		status, result := s.commit(txn)
		answer(w, status, result)
	default:
		s.hold(w, r)
	}
}

// listPage returns one page of the items with a prefix, after a key.
func (s *State) list(r *http.Request) storage.Page {
	query := r.URL.Query()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("since") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := storage.Page{Revision: s.revision}
	limit, _ := strconv.Atoi(query.Get("limit"))
	for _, key := range keys {
		if page.Truncated = len(page.Items) == limit; page.Truncated {
			break
		}
		page.Items = append(page.Items, s.keys[key])
	}
	return page
}

// commitTxn commits a transaction if the write limit and all its conditions allow it. It returns
// the HTTP status and the body of the response.
func (s *State) commit(txn storage.Txn) (int, any) {
	if s.rps > 0 {
		now := time.Now()
		s.tokens = min(s.rps, s.tokens+s.rps*now.Sub(s.filledAt).Seconds())
		s.filledAt = now
		if s.tokens < float64(len(txn.Writes)) {
			return 429, nil
		}
		s.tokens -= float64(len(txn.Writes))
	}
	var failed []string
	for _, c := range txn.If {
		if s.keys[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	for _, write := range txn.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	if failed != nil {
		return 409, storage.TxnResult{Failed: failed, Revision: s.revision}
	}
	s.revision++
	for _, write := range txn.Writes {
		if write.Set == "" {
			s.drop(write.Drop)
			continue
		}
		s.keys[write.Set] = storage.Item{Key: write.Set, Value: write.Value, Version: s.revision,
			Lease: write.Lease}
		s.note(storage.Event{Set: write.Set, Value: write.Value, Version: s.revision})
	}
	if s.accepted != nil {
		s.accepted(txn)
	}
	s.wake()
	return 200, storage.TxnResult{Revision: s.revision}
}

// deleteKey deletes a key at the current revision.
func (s *State) drop(key string) {
	delete(s.keys, key)
	s.note(storage.Event{Drop: key, Version: s.revision})
}

// maxRetainedEvents is the number of past changes that a watch can always read.
const keptEvents = 10_000

// recordEvent keeps a change for watches. Older ones are compacted in batches.
func (s *State) note(event storage.Event) {
	if s.log = append(s.log, event); len(s.log) > 2*keptEvents {
		s.forgotten = s.log[keptEvents-1].Version
		s.log = slices.Clone(s.log[keptEvents:])
	}
}

// eventsSince lists the changes after a revision of keys with a prefix.
func (s *State) since(revision uint64, prefix string) []storage.Event {
	first, _ := slices.BinarySearchFunc(s.log, revision+1,
		func(e storage.Event, revision uint64) int { return cmp.Compare(e.Version, revision) })
	var events []storage.Event
	for _, e := range s.log[first:] {
		if strings.HasPrefix(e.Set+e.Drop, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// notifyWatchers wakes up all watches.
func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases revokes the leases whose TTL has passed. None expires during an outage.
func (s *State) expire() {
	for id, l := range s.leases {
		if !s.down && time.Now().After(l.ends) {
			s.end(id)
		}
	}
}

// revokeLease deletes a lease and the keys bound to it.
func (s *State) end(id uint64) {
	delete(s.leases, id)
	for key, item := range s.keys {
		if item.Lease == id {
			s.revision++
			s.drop(key)
			s.wake()
		}
	}
}

// serveLease grants, renews or revokes a lease.
func (s *State) hold(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/holds" {
		var h storage.Hold
		if !read(w, r, &h) {
			return
		}
		s.last++
		span := time.Duration(h.TTLMS) * time.Millisecond
		s.leases[s.last] = &lease{span, time.Now().Add(span)}
		answer(w, 200, storage.Hold{Lease: s.last})
		return
	}
	number, touch := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/touch")
	id, _ := strconv.ParseUint(number, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		answer(w, 404, map[string]string{"error": "no such lease"})
	case touch:
		l.ends = time.Now().Add(l.span)
		answer(w, 200, storage.Hold{Lease: id})
	default:
		s.end(id)
		answer(w, 200, storage.Hold{Lease: id})
	}
}

// watch answers once a key with the prefix has changed, or at the deadline of the request.
func (s *State) follow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := storage.Events{Revision: s.revision}
		events.Log = s.since(since, query.Get("under"))
		changed, down, tooOld := s.changed, s.down, since < s.forgotten
		s.mu.Unlock()
		if tooOld && !down {
			answer(w, 410, nil)
			return
		}
		if !down && (len(events.Log) > 0 || !waiting) {
			answer(w, 200, events)
			return
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
			over = time.After(50 * time.Millisecond) // a watch stays open during an outage
		case <-r.Context().Done():
			return
		}
	}
}

// readJSON decodes the body of a request. It answers 400 and returns false if that fails.
func read(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		answer(w, 400, map[string]string{"error": err.Error()})
		return false
	}
	return true
}

// writeJSON writes a response; a nil body stays empty.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		w.Write(storage.Encode(body))
	}
}
