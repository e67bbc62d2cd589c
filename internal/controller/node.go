// Package controller implements the control plane: leader election, admission
// of jobs, task placement and scaling of the machine fleet.
//
// It is a pure state machine: Node.Step takes the current time and a batch of
// commands and returns effects. Clocks, randomness and I/O are supplied by the
// caller, so a test can reproduce any interleaving of events.
package controller

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hitchdoor/internal/ratelimit"

	"hitchdoor/internal/clock"

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
	RequestID uint64
	Peer      string
}

// Request is a command: an HTTP request of a user or a worker.
type Request struct {
	Origin    Origin
	Kind      protocol.RequestKind
	JobID     string                    // set for queries and cancellations
	Job       *protocol.Job             // parsed body of a submission
	Heartbeat *protocol.WorkerHeartbeat // parsed body of a worker's heartbeat

	forwarded bool // a submission that was forwarded to the leader before
}

// InboundMessage is a command: a message received from the peer From.
type InboundMessage struct {
	From    string
	Message protocol.PeerMessage
}

// IsReadOnly reports whether a request changes nothing, so that it may queue behind all
// requests that do.
func (r Request) IsReadOnly() bool {
	return r.Kind == protocol.RequestQuery || r.Kind == protocol.RequestStatus || r.Kind == protocol.RequestMetrics ||
		r.Kind == protocol.RequestAdmission || r.Kind == protocol.RequestLinks || r.Kind == protocol.RequestRecovery
}

// IsReadOnly reports whether the message forwards a read-only request.
func (m InboundMessage) IsReadOnly() bool {
	request, forwarded := m.Message.(protocol.ForwardedRequest)
	return forwarded && request.Kind == protocol.RequestQuery
}

// UnavailableResponse returns the response to a forwarded read-only request that can't be
// processed now.
func (m InboundMessage) UnavailableResponse() OutboundMessage {
	request, _ := m.Message.(protocol.ForwardedRequest)
	return OutboundMessage{To: m.From, Message: protocol.ForwardedResponse{ID: request.ID, Status: 503, RetryAfter: 1}}
}

// Drain is the command to shut down: the node resigns as leader, starts no more candidacies,
// and sends workers and users to other nodes until its process exits.
type Drain struct{}

// Target is the external service that a ServiceCall addresses.
type Target int

// The external services of a controller.
const (
	TargetStore Target = iota
	TargetCloud
)

// String returns the target's name for log lines.
func (t Target) String() string {
	if t == TargetCloud {
		return "cloud"
	}
	return "key-value store"
}

// CallResult is a command: the outcome of the ServiceCall with the same ID. Status 0 means
// that no usable response arrived; the request may have been executed, or may be later.
type CallResult struct {
	ID     uint64
	Status int
	Body   []byte
}

// ServiceCall is an effect: an HTTP request to an external service.
type ServiceCall struct {
	ID      uint64
	Target  Target
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Reply is an effect: the response to a request received on one of this node's connections.
type Reply struct {
	RequestID  uint64
	Status     int
	RetryAfter int
	Body       []byte
}

// OutboundMessage is an effect: a message to a peer.
type OutboundMessage struct {
	To      string
	Message protocol.PeerMessage
}

// Node holds all state of a controller. It is not safe for concurrent use: one goroutine
// owns it and calls Step.
type Node struct {
	cfg      *config.Platform
	settings config.Settings
	log      *slog.Logger
	rng      *rand.Rand
	// startTime is the wall clock at instant 0. It is used only in stored records and traces.
	startTime time.Time
	// processID distinguishes this process from earlier ones of the same node.
	processID uint64
	build     string
	draining  bool // a Drain command was received

	now     clock.Instant
	effects []any

	nextCallID        uint64
	pendingCalls      map[uint64]func(CallResult)
	invalidResponseAt map[Target]clock.Instant // last response that failed validation

	election     election
	peers        map[string]*peer
	forwards     *forwardTable[Request] // requests forwarded to the leader
	workerRouter *workerRouter
	connectivity connectivity

	admissionPolicy  *policyFollower
	policyRejections recentJobs[admission.Group] // jobs rejected here by an admission policy, by id

	catalog                map[string]*protocol.MachineType
	catalogConfirmed       bool // read from the cloud, with no type missing; not an earlier leader's record
	catalogRequestedAt     clock.Instant
	catalogRequestInFlight bool
	// missingTypes are the known types that the last catalog lacked. A type is removed only
	// when two catalogs in a row lack it.
	missingTypes map[string]bool

	terminalJobs *terminalJobCache
	// unreadableTerminalRecords holds the terminal records that can't be decoded, by job id.
	unreadableTerminalRecords map[string]*quarantinedRecord
	mismatches                recovery.MismatchCounts // of all recoveries in this process
	acceptedJobs              recentJobs[bool]        // ids of jobs known to have been accepted
	leader                    *leader
	protocolLevels            protocolLevels

	submissionQueue *submissionQueue

	userReadBudget    ratelimit.TokenBucket // reads on behalf of users
	cloudBudget       ratelimit.TokenBucket
	leaderWriteBudget ratelimit.TokenBucket // writes of the leader's records
	writesThrottled   bool                  // writes are limited to the store's lower rate
}

// peer is what this node knows of another controller.
type peer struct {
	name            string
	lastContact     clock.Instant // last message of any kind
	processID       uint64        // processID in its last heartbeat
	knownNotLeading bool          // it has heard from this process and reported that it does not lead
	uptime          time.Duration // its uptime in its last heartbeat
	term            uint64
	leading         bool
	grantedUntil    clock.Instant // end of its lease grant to this node
	protocolLevel   int           // protocol level of its version; 0: not announced
}

// Options are the dependencies and settings of a new Node.
type Options struct {
	Platform  *config.Platform
	Settings  config.Settings
	Log       *slog.Logger
	Rand      *rand.Rand
	StartTime time.Time // wall clock at instant 0
	Build     string    // build version, shown to operators
}

// Shares of the external services' rate limits, and time spans as fractions of a worker
// lease. The leader gets most of the writes. Submissions, which every node writes, have
// their own share so that they never queue behind the leader's records. The shares leave a
// margin for requests of a previous leader that are still in flight.
const (
	leaderWriteShare           = 0.6
	submissionWriteShare       = 0.3 // total of all nodes, see submissionQueue.updateRate
	followerReadShare          = 0.1
	dependencyLookupShare      = 0.2 // reads of dependencies' outcomes and of quarantined records
	cloudRequestShare          = 0.75
	pollsPerLease              = 28
	peerHeartbeatsPerLease     = 32
	leaderLeasesPerWorkerLease = 6 // a leader lease, or a lease grant, lasts 1/6 of a worker lease
)

// New returns a node in follower state.
func New(options Options) *Node {
	cluster := &options.Platform.Cluster
	node := &Node{
		cfg: options.Platform, settings: options.Settings, log: options.Log, rng: options.Rand,
		startTime: options.StartTime, build: options.Build,
		pendingCalls: map[uint64]func(CallResult){}, invalidResponseAt: map[Target]clock.Instant{},
		missingTypes: map[string]bool{}, peers: map[string]*peer{},
		acceptedJobs: newRecentJobs[bool](recentJobsLimit), policyRejections: newRecentJobs[admission.Group](recentJobsLimit),
		terminalJobs:              &terminalJobCache{recentJobs: newRecentJobs[storage.TerminalRecord](recentJobsLimit)},
		unreadableTerminalRecords: map[string]*quarantinedRecord{},
		catalogRequestedAt:        clock.Never,
		protocolLevels:            protocolLevels{lastRead: clock.Never},
		userReadBudget:            ratelimit.NewTokenBucket(cluster.Store.RequestsPerS*followerReadShare, cluster.Store.RequestsPerS*followerReadShare),
		cloudBudget: ratelimit.NewTokenBucket(cluster.Cloud.RequestsPerS*cloudRequestShare,
			max(1, cluster.Cloud.RequestsPerS*cloudRequestShare)),
	}
	leaderBudget, submissionBudget := newWriteBudgets(cluster, cluster.Store.WritesPerS)
	node.leaderWriteBudget = leaderBudget
	node.submissionQueue = newSubmissionQueue(submissionWriter{node}, cluster, submissionBudget)
	peerNames := make([]string, 0, len(options.Platform.Peers))
	for _, known := range options.Platform.Peers {
		peerNames = append(peerNames, known.Node)
		node.peers[known.Node] = &peer{name: known.Node, lastContact: clock.Never, grantedUntil: clock.Never}
	}
	node.admissionPolicy = newPolicyFollower(admissionHost{node}, cluster, node.log)
	node.workerRouter = newWorkerRouter(node, cluster, peerNames)
	node.election = newElection()
	node.connectivity = newConnectivity(node.cfg.Node, node.peers)
	node.processID = node.rng.Uint64() ^ uint64(node.startTime.UnixNano()) | 1 // never 0, which means unknown
	// A response to a request that an earlier process of this node forwarded may still
	// arrive, because the leader holds a cancellation until it is durable. Forward IDs
	// therefore start at a random number per process; if every process counted from one, a
	// late response would be delivered to an unrelated request.
	node.forwards = newForwardTable[Request](node.processID)
	return node
}

// newWriteBudgets splits a write rate between the leader's records and submissions. The
// leader's burst is at least two, as its smallest unit of work has two writes.
func newWriteBudgets(cluster *config.Cluster, rps float64) (leaderBudget, submissionBudget ratelimit.TokenBucket) {
	return ratelimit.NewTokenBucket(rps*leaderWriteShare, max(2, rps*leaderWriteShare)),
		ratelimit.NewTokenBucket(rps*submissionWriteShare, max(1, rps*submissionWriteShare))
}

// throttleWrites limits writes to the lower rate from the settings. It is called when the
// store rejects a write for its rate. Finding the lower rate by repeated rejections would
// delay urgent writes as much as the others.
func (n *Node) throttleWrites() {
	cluster := &n.cfg.Cluster
	if n.writesThrottled || cluster.Store.LowerWritesPerS() == cluster.Store.WritesPerS {
		return
	}
	n.writesThrottled = true
	n.log.Info("writes throttled to the lower rate", "rps", cluster.Store.LowerWritesPerS())
	leaderBudget, submissionBudget := newWriteBudgets(cluster, cluster.Store.LowerWritesPerS())
	leaderBudget.Tokens, leaderBudget.RefilledAt = 0, n.now
	submissionBudget.Tokens, submissionBudget.RefilledAt = 0, n.now
	n.leaderWriteBudget = leaderBudget
	n.submissionQueue.setBudget(submissionBudget)
}

// Step processes a batch of commands at the instant now and returns the resulting effects.
// A nil command only advances time. It panics on a command of unknown type.
func (n *Node) Step(now clock.Instant, batch []any) []any {
	if now > n.now {
		n.now = now
	}
	n.effects = nil
	for _, command := range batch {
		switch command := command.(type) {
		case Request:
			n.onRequest(command)
		case InboundMessage:
			n.onPeerMessage(command)
		case CallResult:
			if onResult, ok := n.pendingCalls[command.ID]; ok {
				delete(n.pendingCalls, command.ID)
				onResult(command)
			}
		case Drain:
			n.draining = true
			n.election.candidacy = nil
			n.stepDown("shutting down")
		case ServerLoad:
			n.workerRouter.connections.update(command.Open, command.Limit)
		case nil: // tick only
		default:
			panic(fmt.Sprintf("controller: unknown command type %T", command))
		}
	}
	n.tick()
	effects := n.effects
	n.effects = nil
	return effects
}

// tick runs the periodic work of every node, and of the leader if this node leads.
func (n *Node) tick() {
	n.tickElection()
	n.tickCatalog()
	n.forwards.expire(n.now, n.serveWithoutLeader)
	n.workerRouter.expireRoutes()
	n.submissionQueue.writePending()
	n.loadTerminalJobs()
	n.tickProtocolLevels()
	n.tickAdmission()
	if n.leader != nil && n.holdsLeaderLease() {
		n.leader.tick()
	}
}

// Now returns the time of the current step.
func (n *Node) Now() clock.Instant { return n.now }

// workerLease returns the duration of the workers' lease. Most time spans of a controller are
// defined as fractions of it.
func (n *Node) workerLease() time.Duration { return config.Seconds(n.cfg.Cluster.Workers.LeaseS) }

// heartbeatInterval returns the interval of the workers' heartbeats.
func (n *Node) heartbeatInterval() time.Duration {
	return config.Seconds(n.cfg.Cluster.Workers.HeartbeatIntervalS)
}

// DrainDuration returns how long a node keeps running after a Drain command: long enough for
// another node to lead, for the load balancer to notice, and for pending requests to be
// answered.
func (n *Node) DrainDuration() time.Duration { return n.leaderLease() }

// nowUnixMilli returns the current wall clock in Unix milliseconds.
func (n *Node) nowUnixMilli() int64 { return n.startTime.Add(n.now).UnixMilli() }

// instantFromUnixMilli converts a stored wall clock time to an instant.
func (n *Node) instantFromUnixMilli(ms int64) clock.Instant {
	return time.UnixMilli(ms).Sub(n.startTime)
}

// encodeBody encodes a request or response body. A nil body stays empty and bytes are passed
// through.
func encodeBody(body any) []byte {
	switch value := body.(type) {
	case nil:
		return nil
	case []byte:
		return value
	default:
		return storage.Encode(value)
	}
}

// callService emits a request to an external service and passes its validated result to onResult.
func (n *Node) callService(target Target, method, path string, body any, timeout time.Duration,
	onResult func(CallResult)) {
	n.nextCallID++
	encodedBody := encodeBody(body)
	n.pendingCalls[n.nextCallID] = func(result CallResult) { onResult(n.validateResult(target, method, path, result)) }
	n.effects = append(n.effects, ServiceCall{ID: n.nextCallID, Target: target, Method: method, Path: path,
		Body: encodedBody, Timeout: timeout})
}

// validateResult returns the result of a call. If the service can't have sent this response, it
// returns a result with status 0, as the request may or may not have been executed.
func (n *Node) validateResult(target Target, method, path string, result CallResult) CallResult {
	check := storage.CheckResponse
	if target == TargetCloud {
		check = protocol.CheckCloudResponse
	}
	err := check(method, path, result.Status, result.Body)
	if err == nil {
		return result
	}
	// Rate-limited: during such a fault every response may be invalid.
	if last, seen := n.invalidResponseAt[target]; !seen || n.now > last+4*n.workerLease() {
		n.log.Warn("invalid response from service", "service", target.String(), "error", err)
	}
	n.invalidResponseAt[target] = n.now
	return CallResult{ID: result.ID}
}

// storeTimeout returns the timeout of one call to the key-value store.
func (n *Node) storeTimeout() time.Duration { return n.workerLease() / 14 }

// storeCall emits a request to the key-value store and records whether the store answered it.
func (n *Node) storeCall(method, path string, body any, onResult func(CallResult)) {
	n.callService(TargetStore, method, path, body, n.storeTimeout(), func(result CallResult) {
		n.election.recordStoreResponse(n.now, result.Status)
		if result.Status == 429 && path == "/multi" {
			n.throttleWrites()
		}
		onResult(result)
	})
}

// send emits a message to one peer.
func (n *Node) send(to string, message protocol.PeerMessage) {
	n.effects = append(n.effects, OutboundMessage{To: to, Message: message})
}

// broadcast emits a message to every peer.
func (n *Node) broadcast(message protocol.PeerMessage) {
	for _, k := range n.cfg.Peers {
		n.send(k.Node, message)
	}
}

// reply answers a request, through the peer that forwarded it if there is one.
func (n *Node) reply(origin Origin, status, retryAfter int, body any) {
	encodedBody := encodeBody(body)
	if origin.Peer != "" {
		n.send(origin.Peer, protocol.ForwardedResponse{ID: origin.RequestID, Status: status, RetryAfter: retryAfter,
			Body: encodedBody})
		return
	}
	n.effects = append(n.effects, Reply{RequestID: origin.RequestID, Status: status, RetryAfter: retryAfter,
		Body: encodedBody})
}

// replyUnavailable answers that the request can't be processed now and may be retried.
func (n *Node) replyUnavailable(origin Origin) { n.reply(origin, 503, 1, nil) }

// tickCatalog reads the cloud's catalog of machine types when the last one is too old. Until
// a catalog is known, it also reads the one that an earlier leader stored.
func (n *Node) tickCatalog() {
	if n.catalogRequestInFlight {
		return
	}
	wait := n.workerLease() / 10
	switch {
	case len(n.missingTypes) > 0:
		wait = n.workerLease()
	case n.catalogConfirmed && n.leader != nil:
		wait = 4 * n.workerLease()
	case n.catalogConfirmed:
		wait = 16 * n.workerLease()
	}
	if n.catalogRequestedAt != clock.Never && n.now < n.catalogRequestedAt+wait {
		return
	}
	if !n.cloudBudget.Take(n.now, 1) {
		return
	}
	n.catalogRequestInFlight, n.catalogRequestedAt = true, n.now
	n.callService(TargetCloud, "GET", "/catalog", nil, n.workerLease()/4, func(result CallResult) {
		n.catalogRequestInFlight = false
		var catalog protocol.Catalog
		if result.Status != 200 || json.Unmarshal(result.Body, &catalog) != nil || len(catalog.Types) == 0 {
			n.log.Debug("catalog read failed", "status", result.Status)
			return
		}
		n.mergeCatalog(catalog)
	})
	if n.catalog == nil {
		n.readStoredCatalog()
	}
}

// mergeCatalog applies a catalog read from the cloud. A known type that is missing from one
// catalog is kept until the next one lacks it too, because a job that fits only that type
// would be rejected permanently.
func (n *Node) mergeCatalog(catalog protocol.Catalog) {
	missing := map[string]bool{}
	named := map[string]bool{}
	for _, t := range catalog.Types {
		named[t.Name] = true
	}
	if n.catalogConfirmed || len(n.missingTypes) > 0 {
		for _, name := range slices.Sorted(maps.Keys(n.catalog)) {
			if !named[name] && !n.missingTypes[name] {
				missing[name] = true
				catalog.Types = append(catalog.Types, *n.catalog[name])
			}
		}
	}
	n.missingTypes = missing
	n.catalogConfirmed = len(missing) == 0
	n.setCatalog(catalog)
}

// setCatalog replaces the known machine types.
func (n *Node) setCatalog(catalog protocol.Catalog) {
	usable := catalog.UsableTypes()
	types := make(map[string]*protocol.MachineType, len(usable))
	for i := range usable {
		types[usable[i].Name] = &usable[i]
	}
	n.catalog = types
	if n.leader != nil {
		n.leader.applyMachineTypes()
	}
}

// readStoredCatalog loads the machine types that an earlier leader stored. Without them, a
// cluster that restarts during an outage of the cloud could neither accept jobs nor use its
// machines.
func (n *Node) readStoredCatalog() {
	n.storeCall("GET", "/store/"+storage.CatalogKey, nil, func(result CallResult) {
		var item storage.Item
		var catalog protocol.Catalog
		if n.catalog == nil && result.Status == 200 && json.Unmarshal(result.Body, &item) == nil &&
			json.Unmarshal(item.Value, &catalog) == nil && len(catalog.Types) > 0 {
			n.log.Info("machine types loaded from the stored catalog")
			n.setCatalog(catalog)
		}
	})
}
