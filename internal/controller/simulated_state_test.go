package controller

import (
	"cmp"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// fakeState is the state service.
type fakeState struct {
	w              *simulation
	keys           map[string]storage.Item
	rev            uint64
	log            []storage.WatchEvent
	leases         map[uint64]*fakeLease
	last           uint64
	down           bool
	refuse         map[string]bool
	lost           map[string]bool        // nodes whose calls vanish
	mute           map[string]bool        // nodes that get no answers, though their calls are carried out
	limited        bool                   // enforce the changes per second
	lowered        bool                   // the limits that the settings announce hold
	refused        []string               // keys of transactions that were too large for those
	slowed         int                    // changes that came too fast for those
	refuseTxn      func(storage.Txn) bool // transactions to refuse for good
	writes         ratelimit.TokenBucket
	lose           int                                   // answers of executed transactions to swallow
	hold           func(node string, t storage.Txn) bool // transactions to keep back
	machinesByName []func()
	late           func() (d time.Duration, is bool) // calls that get no answer and are carried out so much later
	slow           func() time.Duration              // by how much each call is held up on its way
	watchers       []func() bool
}

type fakeLease struct{ ttl, left time.Duration }

func (s *fakeState) expire() {
	if s.down {
		return
	}
	for id, l := range s.leases {
		if l.left -= step; l.left <= 0 {
			s.end(id)
		}
	}
}

func (s *fakeState) end(id uint64) {
	delete(s.leases, id)
	for k, it := range s.keys {
		if it.LeaseID == id {
			s.rev++
			s.drop(k)
		}
	}
}

func (s *fakeState) drop(key string) {
	delete(s.keys, key)
	s.log = append(s.log, storage.WatchEvent{DeletedKey: key, ModRevision: s.rev})
	s.wake()
}

func (s *fakeState) wake() {
	s.watchers = slices.DeleteFunc(s.watchers, func(f func() bool) bool { return f() })
}

func (s *fakeState) setDown(down bool) {
	s.down = down
	for _, l := range s.leases {
		l.left = l.ttl
	}
	if !down {
		s.wake()
	}
}

func (s *fakeState) serve(node string, c ServiceCall, back func(int, any)) {
	if s.lost[node] {
		return
	}
	if s.late != nil && c.Method != "GET" && !s.down && !s.refuse[node] {
		if d, is := s.late(); is {
			// A late one meets an outage or a refusal of its own node, too.
			s.w.after(d, func() { s.carryOut(node, c, func(int, any) {}) })
			return
		}
	}
	if s.mute[node] {
		back = func(int, any) {}
	}
	s.carryOut(node, c, back)
}

func (s *fakeState) carryOut(node string, c ServiceCall, back func(int, any)) {
	if s.down || s.refuse[node] {
		if !strings.HasPrefix(c.Path, "/follow") {
			s.w.after(step, func() { back(503, nil) })
		}
		return
	}
	u, err := url.Parse(c.Path)
	if err != nil {
		s.w.t.Fatal(err)
	}
	q := u.Query()
	switch {
	case c.Method == "GET" && strings.HasPrefix(u.Path, "/store/"):
		if it, ok := s.keys[strings.TrimPrefix(u.Path, "/store/")]; ok {
			back(200, it)
		} else {
			back(404, storage.TxnResponse{Revision: s.rev})
		}
	case c.Method == "GET" && u.Path == "/store":
		page := storage.ListResponse{Revision: s.rev}
		var keys []string
		for k := range s.keys {
			if strings.HasPrefix(k, q.Get("under")) && k > q.Get("since") {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		limit, _ := strconv.Atoi(q.Get("limit"))
		for i, k := range keys {
			if i == limit {
				page.Truncated = true
				break
			}
			page.Items = append(page.Items, s.keys[k])
		}
		back(200, page)
	case u.Path == "/multi":
		var t storage.Txn
		if err := json.Unmarshal(c.Body, &t); err != nil {
			s.w.t.Fatal(err)
		}
		if s.refuseTxn != nil && s.refuseTxn(t) {
			back(400, nil)
			return
		}
		rate := s.w.cfg.Store.WritesPerS
		if s.lowered {
			rate = s.w.cfg.Store.LowerWritesPerS()
			if key := s.tooLarge(t); key != "" {
				s.refused = append(s.refused, key)
				back(400, nil)
				return
			}
		}
		if s.limited || s.lowered {
			s.writes.Rate, s.writes.Burst = rate, rate
			if !s.writes.Take(s.w.now, float64(len(t.Writes))) {
				s.slowed++
				back(429, nil)
				return
			}
		}
		if s.hold != nil && s.hold(node, t) {
			s.machinesByName = append(s.machinesByName, func() { s.multi(t) })
			return // no answer: it may be executed later
		}
		status, res := s.multi(t)
		if status == 200 && s.lose > 0 {
			s.lose--
			s.w.after(time.Second, func() { back(0, nil) })
			return
		}
		back(status, res)
	case u.Path == "/holds":
		var h storage.Lease
		json.Unmarshal(c.Body, &h)
		s.last++
		ttl := time.Duration(h.TTLMillis) * time.Millisecond
		s.leases[s.last] = &fakeLease{ttl, ttl}
		back(200, storage.Lease{ID: s.last})
	case strings.HasPrefix(u.Path, "/holds/"):
		num, touch := strings.CutSuffix(strings.TrimPrefix(u.Path, "/holds/"), "/touch")
		id, _ := strconv.ParseUint(num, 10, 64)
		l := s.leases[id]
		switch {
		case l == nil:
			back(404, nil)
		case touch:
			l.left = l.ttl
			back(200, storage.Lease{ID: id})
		default:
			s.end(id)
			back(200, nil)
		}
	case u.Path == "/follow":
		since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		under := q.Get("under")
		end := s.w.now + time.Duration(wait)*time.Millisecond
		look := func() bool {
			if s.down {
				return false
			}
			ev := storage.WatchResponse{Revision: s.rev}
			for _, e := range s.after(since) {
				if strings.HasPrefix(cmp.Or(e.PutKey, e.DeletedKey), under) {
					ev.Events = append(ev.Events, e)
				}
			}
			if len(ev.Events) == 0 && s.w.now < end {
				return false
			}
			back(200, ev)
			return true
		}
		if !look() {
			s.watchers = append(s.watchers, look)
			s.w.after(end-s.w.now, s.wake)
		}
	default:
		s.w.t.Fatalf("state service: %s %s", c.Method, c.Path)
	}
}

// after are the events of the log that are newer than a revision. The log is in their order, as revisions
// only grow.
func (s *fakeState) after(revision uint64) []storage.WatchEvent {
	from := sort.Search(len(s.log), func(i int) bool { return s.log[i].ModRevision > revision })
	return s.log[from:]
}

// tooLarge names a key of a transaction that is over the announced limits.
func (s *fakeState) tooLarge(t storage.Txn) string {
	for _, wr := range t.Writes {
		if len(wr.Value) > s.w.cfg.Store.MaxValueBytes() || len(t.Writes) > s.w.cfg.Store.MaxTxnOps() {
			return wr.Key()
		}
	}
	return ""
}

// put writes a value, as some earlier leader did.
func (s *fakeState) put(key string, value any) {
	switch rec := value.(type) {
	case storage.JobRecord:
		s.w.submitted[rec.Spec.ID], s.w.specs[rec.Spec.ID] = true, rec.Spec
	case storage.TerminalRecord:
		id := strings.TrimPrefix(key, storage.TerminalPrefix)
		s.w.submitted[id], s.w.asked[id] = true, rec.State == protocol.JobCancelled
	}
	s.rev++
	s.keys[key] = storage.Item{Key: key, Value: storage.Encode(value), ModRevision: s.rev}
}

// holdOne keeps back the next transaction, which was not answered.
func holdOne(s *fakeState) func(string, storage.Txn) bool {
	return func(string, storage.Txn) bool {
		s.hold = nil
		return true
	}
}

func (s *fakeState) multi(t storage.Txn) (int, any) {
	for _, wr := range t.Writes {
		if wr.LeaseID != 0 && s.leases[wr.LeaseID] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.Conditions {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, storage.TxnResponse{FailedKeys: failed, Revision: s.rev}
	}
	if len(t.Writes) > s.w.cfg.Store.TxnOps {
		s.w.t.Fatalf("transaction of %d writes", len(t.Writes))
	}
	s.w.checkPolicy(t)
	s.rev++
	for _, wr := range t.Writes {
		if wr.PutKey == "" {
			s.drop(wr.DeleteKey)
			continue
		}
		if len(wr.Value) > int(s.w.cfg.Store.ValueKB*1024) {
			s.w.t.Fatalf("value of %d bytes at %s", len(wr.Value), wr.PutKey)
		}
		s.keys[wr.PutKey] = storage.Item{Key: wr.PutKey, Value: wr.Value, ModRevision: s.rev, LeaseID: wr.LeaseID}
		s.log = append(s.log, storage.WatchEvent{PutKey: wr.PutKey, Value: wr.Value, ModRevision: s.rev})
	}
	s.wake()
	return 200, storage.TxnResponse{Revision: s.rev}
}
