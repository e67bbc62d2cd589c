// Package standin holds stand-ins of the outside services and of workers, over real
// connections on loopback, written from the protocol for tests of whole controllers.
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

// State is a stand-in of the state service.
type State struct {
	Server *Server

	mu       sync.Mutex
	down     bool
	rps      float64 // changes per second; 0: any number
	tokens   float64
	filledAt time.Time
	keys     map[string]storage.Item
	log      []storage.Event
	// forgotten is the last revision whose changes are not kept any more.
	forgotten uint64
	revision  uint64
	leases    map[uint64]*lease
	last      uint64
	changed   chan struct{} // closed at the next change
	accepted  func(storage.Txn)
}

type lease struct {
	span time.Duration
	ends time.Time
}

// NewState starts a state service that takes so many changes a second.
func NewState(writeRPS float64) *State {
	s := &State{keys: map[string]storage.Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), rps: writeRPS, tokens: writeRPS, filledAt: time.Now()}
	s.Server = newServer(s)
	return s
}

// OnCommit has f called with each transaction that is carried out, in their order.
func (s *State) OnCommit(f func(storage.Txn)) { s.mu.Lock(); s.accepted = f; s.mu.Unlock() }

// SetDown begins or ends an outage. After one, every lease has its full time again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		l.ends = time.Now().Add(l.span)
	}
}

// Value is what is stored under a key.
func (s *State) Value(key string) (storage.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.keys[key]
	return item, ok
}

// Items lists what is stored under a prefix, by key.
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

// Count counts the keys with a prefix.
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

// ServeHTTP answers a request of a controller.
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
		s.keys[write.Set] = storage.Item{Key: write.Set, Value: write.Value, Version: s.revision, Lease: write.Lease}
		s.note(storage.Event{Set: write.Set, Value: write.Value, Version: s.revision})
	}
	if s.accepted != nil {
		s.accepted(txn)
	}
	s.wake()
	return 200, storage.TxnResult{Revision: s.revision}
}

func (s *State) drop(key string) {
	delete(s.keys, key)
	s.note(storage.Event{Drop: key, Version: s.revision})
}

// keptEvents is how many changes a watch may go back.
const keptEvents = 10_000

// note keeps a change for watches; older ones are dropped some at a time.
func (s *State) note(event storage.Event) {
	if s.log = append(s.log, event); len(s.log) > 2*keptEvents {
		s.forgotten = s.log[keptEvents-1].Version
		s.log = slices.Clone(s.log[keptEvents:])
	}
}

// since lists the changes of keys with a prefix after a revision.
func (s *State) since(revision uint64, prefix string) []storage.Event {
	first, _ := slices.BinarySearchFunc(s.log, revision+1, func(e storage.Event, revision uint64) int { return cmp.Compare(e.Version, revision) })
	var events []storage.Event
	for _, e := range s.log[first:] {
		if strings.HasPrefix(e.Set+e.Drop, prefix) {
			events = append(events, e)
		}
	}
	return events
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (s *State) expire() {
	for id, l := range s.leases {
		if !s.down && time.Now().After(l.ends) {
			s.end(id)
		}
	}
}

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

// follow answers once a key with the prefix has changed, or when the time is over.
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
			over = time.After(50 * time.Millisecond) // a watch stays open through an outage
		case <-r.Context().Done():
			return
		}
	}
}

// read reads a request's body; it answers 400 to one that can't be read.
func read(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		answer(w, 400, map[string]string{"error": err.Error()})
		return false
	}
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		w.Write(storage.Encode(body))
	}
}
