// Package controller implements the control plane: leader election, admission
// of jobs, task placement and scaling of the machine fleet.
//
// It is a pure state machine: Node.Step takes the current time and a batch of
// commands and returns effects. Clocks, randomness and I/O are supplied by the
// caller, so a test can reproduce any interleaving of events.
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

// Origin identifies the source of a request: a connection of this node, or, if Peer is
// set, the peer that forwarded it. RequestID is unique per source.
type Origin struct {
	Ticket uint64
	Peer   string
}

// Request is a command: an HTTP request of a user or a worker.
type Request struct {
	Origin Origin
	Kind   protocol.RequestKind
	ID     string           // set for queries and cancellations
	Job    *protocol.Job    // parsed body of a submission
	Report *protocol.Report // parsed body of a worker's heartbeat

	passed bool // a submission that was forwarded to the leader before
}

// InboundMessage is a command: a message received from the peer From.
type PeerMessage struct {
	From string
	Msg  protocol.PeerMessage
}

// IsReadOnly reports whether a request changes nothing, so that it may queue behind all
// requests that do.
func (r Request) IsQuestion() bool {
	return r.Kind == protocol.RequestQuery || r.Kind == protocol.RequestStatus || r.Kind == protocol.RequestMetrics ||
		r.Kind == protocol.RequestAdmission || r.Kind == protocol.RequestLinks || r.Kind == protocol.RequestRecovery
}

// IsReadOnly reports whether the message forwards a read-only request.
func (m PeerMessage) IsQuestion() bool {
	request, forwarded := m.Msg.(protocol.ForwardedRequest)
	return forwarded && request.Kind == protocol.RequestQuery
}

// UnavailableResponse returns the response to a forwarded read-only request that can't be
// processed now.
func (m PeerMessage) Refusal() Send {
	request, _ := m.Msg.(protocol.ForwardedRequest)
	return Send{To: m.From, Msg: protocol.ForwardedAnswer{ID: request.ID, Status: 503, RetryAfter: 1}}
}

// Drain is the command to shut down: the node resigns as leader, starts no more candidacies,
// and sends workers and users to other nodes until its process exits.
type Drain struct{}

// Target is the external service that a ServiceCall addresses.
type Target int

// The external services of a controller.
const (
	State Target = iota
	Cloud
)

// String returns the target's name for log lines.
func (t Target) String() string {
	if t == Cloud {
		return "cloud"
	}
	return "key-value store"
}

// CallResult is a command: the outcome of the ServiceCall with the same ID. Status 0 means
// that no usable response arrived; the request may have been executed, or may be later.
type Result struct {
	ID     uint64
	Status int
	Body   []byte
}

// ServiceCall is an effect: an HTTP request to an external service.
type Call struct {
	ID      uint64
	Target  Target
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Reply is an effect: the response to a request received on one of this node's connections.
type Reply struct {
	Ticket     uint64
	Status     int
	RetryAfter int
	Body       []byte
}

// OutboundMessage is an effect: a message to a peer.
type Send struct {
	To  string
	Msg protocol.PeerMessage
}

// Node holds all state of a controller. It is not safe for concurrent use: one goroutine
// owns it and calls Step.
type Node struct {
	cfg *config.Platform
	set config.Settings
	log *slog.Logger
	rng *rand.Rand
	// startTime is the wall clock at instant 0. It is used only in stored records and traces.
	wall time.Time
	// processID distinguishes this process from earlier ones of the same node.
	run      uint64
	build    string
	draining bool // a Drain command was received

	now     Instant
	effects []any

	nextCall   uint64
	calls      map[uint64]func(Result)
	oddAnswers map[Target]Instant // last response that failed validation

	elect    election
	peers    map[string]*peer
	forwards map[uint64]*forward
	nextFwd  uint64
	routes   map[string]*workerRoute // by worker name
	routesAt Instant                 // when expired routes were last removed

	connections connections
	links       linkState

	policy       policyState
	refused      recent[admission.Group]                 // jobs rejected here by an admission policy, by id
	loads        map[admission.Group]*protocol.GroupLoad // rejected submissions not yet reported to the leader
	loadsAt      Instant                                 // last report of them
	turnedAway   map[string]bool                         // jobs rejected in this epoch
	turnedAwayAt Instant                                 // start of that epoch

	catalog     map[string]*protocol.MachineType
	catalogSure bool // read from the cloud, with no type missing; not an earlier leader's record
	catalogAt   Instant
	catalogBusy bool
	// missingTypes are the known types that the last catalog lacked. A type is removed only
	// when two catalogs in a row lack it.
	missingTypes map[string]bool

	finals *finalCache
	// unreadableTerminalRecords holds the terminal records that can't be decoded, by job id.
	unreadFinals map[string]*damagedRecord
	mismatches   recovery.Counts // of all recoveries in this process
	accepted     recent[bool]    // ids of jobs known to have been accepted
	lead         *leadership
	versions     versions

	submits []submission // queued for writing

	stateBudget  bucket // reads on behalf of users
	cloudBudget  bucket
	writeBudget  bucket  // writes of the leader's records
	submitBudget bucket  // writes of submissions
	slowed       bool    // writes are limited to the store's lower rate
	crowdedUntil Instant // until then the submission rate is shared with other nodes
}

// peer is what this node knows of another controller.
type peer struct {
	name    string
	heard   Instant       // last message of any kind
	run     uint64        // processID in its last heartbeat
	idle    bool          // it has heard from this process and reported that it does not lead
	up      time.Duration // its uptime in its last heartbeat
	term    uint64
	leads   bool
	granted Instant // end of its lease grant to this node
	level   int     // protocol level of its version; 0: not announced
	room    peerRoom
	policy  uint64 // latest revision of the admission policy that it has read
}

// Options are the dependencies and settings of a new Node.
type Options struct {
	Platform *config.Platform
	Settings config.Settings
	Log      *slog.Logger
	Rand     *rand.Rand
	Wall     time.Time // wall clock at instant 0
	Build    string    // build version, shown to operators
}

// Shares of the external services' rate limits, and time spans as fractions of a worker
// lease. The leader gets most of the writes. Submissions, which every node writes, have
// their own share so that they never queue behind the leader's records. The shares leave a
// margin for requests of a previous leader that are still in flight.
const (
	leaderWriteShare   = 0.6
	submitWriteShare   = 0.3 // total of all nodes, see shareSubmissions
	followerReadShare  = 0.1
	lookupShare        = 0.2 // reads of dependencies' outcomes and of quarantined records
	cloudShare         = 0.75
	probesPerLease     = 28
	heartbeatsPerLease = 32
	termsPerLease      = 6 // a leader lease, or a lease grant, lasts 1/6 of a worker lease
)

// New returns a node in follower state.
func New(o Options) *Node {
	c := &o.Platform.Cluster
	n := &Node{
		cfg: o.Platform, set: o.Settings, log: o.Log, rng: o.Rand,
		wall: o.Wall, build: o.Build,
		calls: map[uint64]func(Result){}, oddAnswers: map[Target]Instant{},
		missingTypes: map[string]bool{}, peers: map[string]*peer{},
		forwards: map[uint64]*forward{}, routes: map[string]*workerRoute{},
		loads: map[admission.Group]*protocol.GroupLoad{}, turnedAway: map[string]bool{},
		accepted: newRecent[bool](recentSize), refused: newRecent[admission.Group](recentSize),
		finals:       &finalCache{recent: newRecent[storage.FinalRecord](recentSize)},
		unreadFinals: map[string]*damagedRecord{},
		catalogAt:    never, crowdedUntil: never,
		versions:    versions{at: never},
		stateBudget: newBucket(c.State.RPS*followerReadShare, c.State.RPS*followerReadShare),
		cloudBudget: newBucket(c.Cloud.RPS*cloudShare,
			max(1, c.Cloud.RPS*cloudShare)),
	}
	n.writeBudget, n.submitBudget = writeBuckets(c, c.State.WriteRPS)
	for _, k := range o.Platform.Known {
		n.peers[k.Node] = &peer{name: k.Node, heard: never, granted: never}
	}
	n.elect = newElection()
	n.links = newLinkState(n.cfg.Node, n.peers)
	n.run = n.rng.Uint64() ^ uint64(n.wall.UnixNano()) | 1 // never 0, which means unknown
	// A response to a request that an earlier process of this node forwarded may still
	// arrive, because the leader holds a cancellation until it is durable. Forward IDs
	// therefore start at a random number per process; if every process counted from one, a
	// late response would be delivered to an unrelated request.
	n.nextFwd = n.run
	return n
}

// newWriteBudgets splits a write rate between the leader's records and submissions. The
// leader's burst is at least two, as its smallest unit of work has two writes.
func writeBuckets(c *config.Cluster, rps float64) (leader, submissions bucket) {
	return newBucket(rps*leaderWriteShare, max(2, rps*leaderWriteShare)),
		newBucket(rps*submitWriteShare, max(1, rps*submitWriteShare))
}

// throttleWrites limits writes to the lower rate from the settings. It is called when the
// store rejects a write for its rate. Finding the lower rate by repeated rejections would
// delay urgent writes as much as the others.
func (n *Node) slowDown() {
	c := &n.cfg.Cluster
	if n.slowed || c.State.LowerWriteRPS() == c.State.WriteRPS {
		return
	}
	n.slowed = true
	n.log.Info("writes throttled to the lower rate", "rps", c.State.LowerWriteRPS())
	n.writeBudget, n.submitBudget = writeBuckets(c, c.State.LowerWriteRPS())
	n.writeBudget.level, n.writeBudget.at = 0, n.now
	n.submitBudget.level, n.submitBudget.at = 0, n.now
}

// Step processes a batch of commands at the instant now and returns the resulting effects.
// A nil command only advances time. It panics on a command of unknown type.
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
			n.stepDown("shutting down")
		case ServerLoad:
			n.connections.take(c)
		case nil: // tick only
		default:
			panic(fmt.Sprintf("controller: unknown command type %T", c))
		}
	}
	n.tick()
	out := n.effects
	n.effects = nil
	return out
}

// tick runs the periodic work of every node, and of the leader if this node leads.
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

// Now returns the time of the current step.
func (n *Node) Now() Instant { return n.now }

// workerLease returns the duration of the workers' lease. Most time spans of a controller are
// defined as fractions of it.
func (n *Node) lease() time.Duration { return config.Seconds(n.cfg.Cluster.Workers.LeaseS) }

// heartbeatInterval returns the interval of the workers' heartbeats.
func (n *Node) report() time.Duration { return config.Seconds(n.cfg.Cluster.Workers.ReportS) }

// DrainDuration returns how long a node keeps running after a Drain command: long enough for
// another node to lead, for the load balancer to notice, and for pending requests to be
// answered.
func (n *Node) HandOver() time.Duration { return n.termSpan() }

// nowUnixMilli returns the current wall clock in Unix milliseconds.
func (n *Node) wallMS() int64 { return n.wall.Add(n.now).UnixMilli() }

// instantFromUnixMilli converts a stored wall clock time to an instant.
func (n *Node) instantOf(ms int64) Instant { return time.UnixMilli(ms).Sub(n.wall) }

// encodeBody encodes a request or response body. A nil body stays empty and bytes are passed
// through.
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

// callService emits a request to an external service and passes its validated result to onResult.
func (n *Node) call(t Target, method, path string, body any, timeout time.Duration,
	then func(Result)) {
	n.nextCall++
	raw := encode(body)
	n.calls[n.nextCall] = func(r Result) { then(n.checked(t, method, path, r)) }
	n.effects = append(n.effects, Call{ID: n.nextCall, Target: t, Method: method, Path: path,
		Body: raw, Timeout: timeout})
}

// validateResult returns the result of a call. If the service can't have sent this response, it
// returns a result with status 0, as the request may or may not have been executed.
func (n *Node) checked(t Target, method, path string, r Result) Result {
	check := storage.CheckAnswer
	if t == Cloud {
		check = protocol.CheckCloudAnswer
	}
	err := check(method, path, r.Status, r.Body)
	if err == nil {
		return r
	}
	// Rate-limited: during such a fault every response may be invalid.
	if last, seen := n.oddAnswers[t]; !seen || n.now > last+4*n.lease() {
		n.log.Warn("invalid response from service", "service", t.String(), "error", err)
	}
	n.oddAnswers[t] = n.now
	return Result{ID: r.ID}
}

// storeTimeout returns the timeout of one call to the key-value store.
func (n *Node) stateTimeout() time.Duration { return n.lease() / 14 }

// storeCall emits a request to the key-value store and records whether the store answered it.
func (n *Node) stateCall(method, path string, body any, then func(Result)) {
	n.call(State, method, path, body, n.stateTimeout(), func(r Result) {
		n.elect.saw(n.now, r.Status)
		if r.Status == 429 && path == "/multi" {
			n.slowDown()
		}
		then(r)
	})
}

// send emits a message to one peer.
func (n *Node) send(to string, m protocol.PeerMessage) {
	n.effects = append(n.effects, Send{To: to, Msg: m})
}

// broadcast emits a message to every peer.
func (n *Node) sendAll(m protocol.PeerMessage) {
	for _, k := range n.cfg.Known {
		n.send(k.Node, m)
	}
}

// reply answers a request, through the peer that forwarded it if there is one.
func (n *Node) reply(o Origin, status, retry int, body any) {
	raw := encode(body)
	if o.Peer != "" {
		n.send(o.Peer, protocol.ForwardedAnswer{ID: o.Ticket, Status: status, RetryAfter: retry,
			Body: raw})
		return
	}
	n.effects = append(n.effects, Reply{Ticket: o.Ticket, Status: status, RetryAfter: retry,
		Body: raw})
}

// replyUnavailable answers that the request can't be processed now and may be retried.
func (n *Node) unavailable(o Origin) { n.reply(o, 503, 1, nil) }

// tickCatalog reads the cloud's catalog of machine types when the last one is too old. Until
// a catalog is known, it also reads the one that an earlier leader stored.
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
			n.log.Debug("catalog read failed", "status", r.Status)
			return
		}
		n.takeCatalog(c)
	})
	if n.catalog == nil {
		n.readCatalog()
	}
}

// mergeCatalog applies a catalog read from the cloud. A known type that is missing from one
// catalog is kept until the next one lacks it too, because a job that fits only that type
// would be rejected permanently.
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

// setCatalog replaces the known machine types.
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

// readStoredCatalog loads the machine types that an earlier leader stored. Without them, a
// cluster that restarts during an outage of the cloud could neither accept jobs nor use its
// machines.
func (n *Node) readCatalog() {
	n.stateCall("GET", "/store/"+storage.CatalogKey, nil, func(r Result) {
		var item storage.Item
		var c protocol.Catalog
		if n.catalog == nil && r.Status == 200 && json.Unmarshal(r.Body, &item) == nil &&
			json.Unmarshal(item.Value, &c) == nil && len(c.Types) > 0 {
			n.log.Info("machine types loaded from the stored catalog")
			n.setCatalog(c)
		}
	})
}
