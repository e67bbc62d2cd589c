// Package coordination decides: who leads, what is admitted, where tasks run
// and which machines are held. It is a pure step from the time and a batch of
// commands to effects; clocks, luck and I/O come from outside, so that any race
// can be written down as a test.
package coordination

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// Instant is a moment of the steady clock, counted from the process's start.
type Instant = time.Duration

// never is an instant long before any other.
const never Instant = -1 << 60

// Origin tells whom a request came from: a connection of this node, or a peer
// that forwarded it.
type Origin struct {
	Ticket uint64
	Peer   string
}

// Request is a user's or a worker's request.
type Request struct {
	Origin Origin
	Kind   protocol.RequestKind
	ID     string           // job id, of queries and cancellations
	Job    *protocol.Job    // parsed body of a submission
	Report *protocol.Report // parsed body of a report

	passed bool // a submission that was handed to the leader already
}

// PeerMessage is a message with its sender.
type PeerMessage struct {
	From string
	Msg  protocol.PeerMessage
}

// IsQuestion tells whether a request changes nothing and may wait behind all that does.
func (r Request) IsQuestion() bool {
	return r.Kind == protocol.RequestQuery || r.Kind == protocol.RequestStatus || r.Kind == protocol.RequestMetrics ||
		r.Kind == protocol.RequestAdmission || r.Kind == protocol.RequestLinks || r.Kind == protocol.RequestRecovery
}

// IsQuestion tells the same of a message that passes a request on.
func (m PeerMessage) IsQuestion() bool {
	request, forwarded := m.Msg.(protocol.ForwardedRequest)
	return forwarded && request.Kind == protocol.RequestQuery
}

// Refusal is the answer to a forwarded question that can't be taken now.
func (m PeerMessage) Refusal() Send {
	request, _ := m.Msg.(protocol.ForwardedRequest)
	return Send{To: m.From, Msg: protocol.ForwardedAnswer{ID: request.ID, Status: 503, RetryAfter: 1}}
}

// Drain is the command to end: the node hands over what it leads, stands no more, and
// sends workers and users elsewhere until its process ends.
type Drain struct{}

// Target is the kind of service that a call goes to.
type Target int

// Targets.
const (
	State Target = iota
	Cloud
)

// String is the target's name in the log.
func (t Target) String() string {
	if t == Cloud {
		return "cloud"
	}
	return "state service"
}

// Result is the outcome of a call; status 0 means that no answer came, so that
// the call may or may not have been carried out, now or later.
type Result struct {
	ID     uint64
	Status int
	Body   []byte
}

// Call is an effect: an HTTP request to an outside service.
type Call struct {
	ID      uint64
	Target  Target
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Reply is an effect: the answer to a request of this node's own connections.
type Reply struct {
	Ticket     uint64
	Status     int
	RetryAfter int
	Body       []byte
}

// Send is an effect: a message to a peer.
type Send struct {
	To  string
	Msg protocol.PeerMessage
}

// Node is the owner of all state of a controller.
type Node struct {
	cfg *config.Platform
	set config.Settings
	log *slog.Logger
	rng *rand.Rand
	// wall is the time of day at instant 0, for records only.
	wall time.Time
	// run tells this process from earlier ones of the same node.
	run      uint64
	build    string
	draining bool // it was told to end

	now     Instant
	effects []any

	nextCall   uint64
	calls      map[uint64]func(Result)
	oddAnswers map[Target]Instant // when a service last gave an answer that can't be its own

	elect    election
	peers    map[string]*peer
	forwards map[uint64]*forward
	nextFwd  uint64
	routes   map[string]*workerRoute // by worker
	routesAt Instant                 // when those that are over were last dropped

	connections connections
	links       linkState

	policy       policyState
	refused      recent[admission.Group]                 // jobs that this node refused by a policy
	loads        map[admission.Group]*protocol.GroupLoad // submissions turned away, not yet told to the leader
	loadsAt      Instant                                 // when that was told last
	turnedAway   map[string]bool                         // jobs turned away in this epoch
	turnedAwayAt Instant                                 // since when

	catalog     map[string]*protocol.MachineType
	catalogSure bool // it came from the cloud, not from the record of an earlier leader
	catalogAt   Instant
	catalogBusy bool
	// missingTypes are those that the last catalogue lacked: they stay until another lacks
	// them too.
	missingTypes map[string]bool

	finals *finalCache
	// unreadFinals are the records of ends that can't be read, by job.
	unreadFinals map[string]*damagedRecord
	mismatches   recovery.Counts // of all recoveries of this process
	accepted     recent[bool]    // jobs that are known to have been accepted
	lead         *leadership
	versions     versions

	submits []submission // that wait for their turn to be written

	stateBudget  bucket // reads for users
	cloudBudget  bucket
	writeBudget  bucket  // the leader's own changes
	submitBudget bucket  // submissions
	slowed       bool    // the state service takes changes at the lower rate only
	crowdedUntil Instant // until when submissions of other nodes need the rate, too
}

type peer struct {
	name    string
	heard   Instant
	run     uint64        // its process, as it was heard last
	idle    bool          // it has heard this process, and did not lead then
	up      time.Duration // how long it had been up when it was heard
	term    uint64
	leads   bool
	granted Instant // until when it won't stand against us
	level   int     // of its version
	room    peerRoom
	policy  uint64 // revision of the last change of the admission policy that it knows
}

// bucket is a token bucket.
type bucket struct {
	rate, burst, level float64
	at                 Instant
}

func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, level: burst} }

func (b *bucket) refill(now Instant) {
	if now > b.at {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

func (b *bucket) take(now Instant, n float64) bool {
	b.refill(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// Options is what a node is made of.
type Options struct {
	Platform *config.Platform
	Settings config.Settings
	Log      *slog.Logger
	Rand     *rand.Rand
	Wall     time.Time
	Build    string // of the program, for operators
}

// Shares of the outside services' limits. The leader has most of the writes, and
// submissions, which all nodes write, never wait behind the leader's records;
// every node keeps a margin for requests of a predecessor that are still under way.
const (
	leaderWriteShare   = 0.6
	submitWriteShare   = 0.3 // of all nodes together: see shareSubmissions
	followerReadShare  = 0.1
	lookupShare        = 0.2 // a new leader's reads of what became of needed jobs
	cloudShare         = 0.75
	probesPerLease     = 28
	heartbeatsPerLease = 32
	termsPerLease      = 6 // leader leases and grants that fit one worker lease
)

// New makes a node.
func New(o Options) *Node {
	c := &o.Platform.Cluster
	n := &Node{
		cfg: o.Platform, set: o.Settings, log: o.Log, rng: o.Rand, wall: o.Wall, build: o.Build,
		calls: map[uint64]func(Result){}, oddAnswers: map[Target]Instant{}, missingTypes: map[string]bool{}, peers: map[string]*peer{}, forwards: map[uint64]*forward{},
		routes: map[string]*workerRoute{}, loads: map[admission.Group]*protocol.GroupLoad{}, turnedAway: map[string]bool{}, accepted: newRecent[bool](recentSize), refused: newRecent[admission.Group](recentSize),
		finals: &finalCache{recent: newRecent[storage.FinalRecord](recentSize)}, unreadFinals: map[string]*damagedRecord{},
		catalogAt: never, crowdedUntil: never,
		versions:    versions{at: never},
		stateBudget: newBucket(c.State.RPS*followerReadShare, c.State.RPS*followerReadShare),
		cloudBudget: newBucket(c.Cloud.RPS*cloudShare, max(1, c.Cloud.RPS*cloudShare)),
	}
	n.writeBudget, n.submitBudget = writeBuckets(c, c.State.WriteRPS)
	for _, k := range o.Platform.Known {
		n.peers[k.Node] = &peer{name: k.Node, heard: never, granted: never}
	}
	n.elect = newElection()
	n.links = newLinkState(n.cfg.Node, n.peers)
	n.run = n.rng.Uint64() ^ uint64(n.wall.UnixNano()) | 1 // 0: not heard yet
	// An answer to an earlier process of this node may still come, as the leader keeps a
	// cancellation until it is written. Numbered from one by each process, it was handed
	// to whoever had asked under that number now: a user was told that his job is known.
	n.nextFwd = n.run
	return n
}

// writeBuckets share out a rate of changes between the leader's own and submissions.
// The smallest unit of the leader's has two.
func writeBuckets(c *config.Cluster, rps float64) (leader, submissions bucket) {
	return newBucket(rps*leaderWriteShare, max(2, rps*leaderWriteShare)),
		newBucket(rps*submitWriteShare, max(1, rps*submitWriteShare))
}

// slowDown paces changes by the lower rate that the settings announce, once the state
// service refuses some: found out by repeated refusals, it would cost the important ones
// as many tries as the others.
func (n *Node) slowDown() {
	c := &n.cfg.Cluster
	if n.slowed || c.State.LowerWriteRPS() == c.State.WriteRPS {
		return
	}
	n.slowed = true
	n.log.Info("changes are paced by the lower rate", "rps", c.State.LowerWriteRPS())
	n.writeBudget, n.submitBudget = writeBuckets(c, c.State.LowerWriteRPS())
	n.writeBudget.level, n.writeBudget.at = 0, n.now
	n.submitBudget.level, n.submitBudget.at = 0, n.now
}

// Step carries out a batch of commands at an instant and returns the effects.
func (n *Node) Step(now Instant, batch []any) []any {
	if now > n.now {
		n.now = now
	}
	n.effects = nil
	for _, c := range batch {
		switch c := c.(type) {
		case Request:
			n.onRequest(c)
		case PeerMessage:
			n.onPeer(c)
		case Result:
			if f, ok := n.calls[c.ID]; ok {
				delete(n.calls, c.ID)
				f(c)
			}
		case Drain:
			n.draining = true
			n.elect.candidate = nil
			n.stepDown("told to end")
		case ServerLoad:
			n.connections.take(c)
		case nil: // a tick
		default:
			panic(fmt.Sprintf("coordination: command %T", c))
		}
	}
	n.tick()
	out := n.effects
	n.effects = nil
	return out
}

func (n *Node) tick() {
	n.tickElection()
	n.tickCatalog()
	n.tickForwards()
	n.tickRoutes()
	n.writeSubmissions()
	n.tickFinals()
	n.tickVersions()
	n.tickAdmission()
	if n.lead != nil && n.authority() {
		n.lead.tick()
	}
}

// lease is the workers' lease, to which most times of a controller are ratios.
func (n *Node) lease() time.Duration { return config.Seconds(n.cfg.Cluster.Workers.LeaseS) }

func (n *Node) report() time.Duration { return config.Seconds(n.cfg.Cluster.Workers.ReportS) }

// HandOver is how long a node that was told to end goes on for: until others lead, the
// load balancer has seen it, and what it was asked is answered.
func (n *Node) HandOver() time.Duration { return n.termSpan() }

// drift lengthens a span by twice the bound on how far two steady clocks drift apart.
func drift(d time.Duration) time.Duration { return d + d/1000 }

// wallMS is the time of day in milliseconds.
func (n *Node) wallMS() int64 { return n.wall.Add(n.now).UnixMilli() }

// instantOf turns a recorded time of day into an instant.
func (n *Node) instantOf(ms int64) Instant { return time.UnixMilli(ms).Sub(n.wall) }

// encode makes a body: none of nil, and bytes as they are.
func encode(body any) []byte {
	switch b := body.(type) {
	case nil:
		return nil
	case []byte:
		return b
	default:
		return storage.Encode(b)
	}
}

func (n *Node) call(t Target, method, path string, body any, timeout time.Duration, then func(Result)) {
	n.nextCall++
	raw := encode(body)
	n.calls[n.nextCall] = func(r Result) { then(n.checked(t, method, path, r)) }
	n.effects = append(n.effects, Call{ID: n.nextCall, Target: t, Method: method, Path: path, Body: raw, Timeout: timeout})
}

// checked is the result of a call, or that of one without an answer where the service can't
// have given this one: then, too, it may or may not have been carried out.
func (n *Node) checked(t Target, method, path string, r Result) Result {
	check := storage.CheckAnswer
	if t == Cloud {
		check = protocol.CheckCloudAnswer
	}
	err := check(method, path, r.Status, r.Body)
	if err == nil {
		return r
	}
	// Once, not per request: in such a trouble every answer may look like this.
	if last, seen := n.oddAnswers[t]; !seen || n.now > last+4*n.lease() {
		n.log.Warn("answer can't be used", "service", t.String(), "error", err)
	}
	n.oddAnswers[t] = n.now
	return Result{ID: r.ID}
}

// stateTimeout bounds one call to the state service.
func (n *Node) stateTimeout() time.Duration { return n.lease() / 14 }

func (n *Node) stateCall(method, path string, body any, then func(Result)) {
	n.call(State, method, path, body, n.stateTimeout(), func(r Result) {
		n.elect.saw(n.now, r.Status)
		if r.Status == 429 && path == "/multi" {
			n.slowDown()
		}
		then(r)
	})
}

func (n *Node) send(to string, m protocol.PeerMessage) {
	n.effects = append(n.effects, Send{To: to, Msg: m})
}

func (n *Node) sendAll(m protocol.PeerMessage) {
	for _, k := range n.cfg.Known {
		n.send(k.Node, m)
	}
}

// reply answers a request, wherever it came from.
func (n *Node) reply(o Origin, status, retry int, body any) {
	raw := encode(body)
	if o.Peer != "" {
		n.send(o.Peer, protocol.ForwardedAnswer{ID: o.Ticket, Status: status, RetryAfter: retry, Body: raw})
		return
	}
	n.effects = append(n.effects, Reply{Ticket: o.Ticket, Status: status, RetryAfter: retry, Body: raw})
}

// unavailable answers at once that the request can't be taken now.
func (n *Node) unavailable(o Origin) { n.reply(o, 503, 1, nil) }

func (n *Node) tickCatalog() {
	if n.catalogBusy {
		return
	}
	wait := n.lease() / 10
	switch {
	case len(n.missingTypes) > 0:
		wait = n.lease()
	case n.catalogSure && n.lead != nil:
		wait = 4 * n.lease()
	case n.catalogSure:
		wait = 16 * n.lease()
	}
	if n.catalogAt != never && n.now < n.catalogAt+wait {
		return
	}
	if !n.cloudBudget.take(n.now, 1) {
		return
	}
	n.catalogBusy, n.catalogAt = true, n.now
	n.call(Cloud, "GET", "/catalog", nil, n.lease()/4, func(r Result) {
		n.catalogBusy = false
		var c protocol.Catalog
		if r.Status != 200 || json.Unmarshal(r.Body, &c) != nil || len(c.Types) == 0 {
			n.log.Debug("catalogue not read", "status", r.Status)
			return
		}
		n.takeCatalog(c)
	})
	if n.catalog == nil {
		n.readCatalog()
	}
}

// takeCatalog takes the cloud's catalogue. A type that was there before and is missing once
// stays until the next reading: a job that only it can hold would be refused for good.
func (n *Node) takeCatalog(c protocol.Catalog) {
	missing := map[string]bool{}
	named := map[string]bool{}
	for _, t := range c.Types {
		named[t.Name] = true
	}
	if n.catalogSure || len(n.missingTypes) > 0 {
		for _, name := range slices.Sorted(maps.Keys(n.catalog)) {
			if !named[name] && !n.missingTypes[name] {
				missing[name] = true
				c.Types = append(c.Types, *n.catalog[name])
			}
		}
	}
	n.missingTypes = missing
	n.catalogSure = len(missing) == 0
	n.setCatalog(c)
}

func (n *Node) setCatalog(c protocol.Catalog) {
	usable := c.Usable()
	types := make(map[string]*protocol.MachineType, len(usable))
	for i := range usable {
		types[usable[i].Name] = &usable[i]
	}
	n.catalog = types
	if n.lead != nil {
		n.lead.typesChanged()
	}
}

// readCatalog takes the machine types that an earlier leader stored. Without them, a
// cluster that starts anew while the cloud is down could neither take jobs nor use
// the machines it has.
func (n *Node) readCatalog() {
	n.stateCall("GET", "/store/"+storage.CatalogKey, nil, func(r Result) {
		var item storage.Item
		var c protocol.Catalog
		if n.catalog == nil && r.Status == 200 && json.Unmarshal(r.Body, &item) == nil &&
			json.Unmarshal(item.Value, &c) == nil && len(c.Types) > 0 {
			n.log.Info("machine types taken from the record")
			n.setCatalog(c)
		}
	})
}
