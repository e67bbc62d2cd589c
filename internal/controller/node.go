// Package controller implements the control plane: leader election, admission
// of jobs, task placement and scaling of the machine fleet.
//
// It is a pure state machine: Node.Step takes the current time and a batch of
// commands and returns effects. Clocks, randomness and I/O are supplied by the
// caller, so a test can reproduce any interleaving of events.
package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/admissioncontrol"
	"hitchdoor/internal/catalog"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/election"
	"hitchdoor/internal/forwarding"
	"hitchdoor/internal/jobstore"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/records"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
	"hitchdoor/internal/submissions"
	"hitchdoor/internal/workerrouting"
)

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
	effects []Effect

	nextCallID        uint64
	pendingCalls      map[uint64]func(CallResult)
	invalidResponseAt map[Target]clock.Instant // last response that failed validation

	election     *election.Election
	peers        map[string]*peer
	forwards     *forwarding.Table[Request] // requests forwarded to the leader
	workerRouter *workerrouting.Router
	connectivity connectivity

	admissionPolicy  *admissioncontrol.PolicyFollower
	policyRejections jobstore.RecentJobs[admission.Group] // jobs rejected here by an admission policy, by id

	catalog *catalog.Catalog

	jobReader *jobstore.Reader
	// unreadableTerminalRecords holds the terminal records that can't be decoded, by job id.
	unreadableTerminalRecords map[string]*records.QuarantinedRecord
	mismatches                recovery.MismatchCounts // of all recoveries in this process
	leader                    *leader
	protocolLevels            *protocolLevels

	submissionQueue *submissions.Queue

	cloudBudget       ratelimit.TokenBucket
	leaderWriteBudget ratelimit.TokenBucket // writes of the leader's records
	writesThrottled   bool                  // writes are limited to the store's lower rate
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
	leaderWriteShare      = 0.6
	submissionWriteShare  = 0.3 // total of all nodes, see submissionQueue.updateRate
	followerReadShare     = 0.1
	dependencyLookupShare = 0.2 // reads of dependencies' outcomes and of quarantined records
	cloudRequestShare     = 0.75
	pollsPerLease         = 28
)

// New returns a node in follower state.
func New(options Options) *Node {
	cluster := &options.Platform.Cluster
	node := &Node{
		cfg: options.Platform, settings: options.Settings, log: options.Log, rng: options.Rand,
		startTime: options.StartTime, build: options.Build,
		pendingCalls: map[uint64]func(CallResult){}, invalidResponseAt: map[Target]clock.Instant{},
		peers:                     map[string]*peer{},
		policyRejections:          jobstore.NewRecentJobs[admission.Group](jobstore.RecentJobsLimit),
		unreadableTerminalRecords: map[string]*records.QuarantinedRecord{},
		cloudBudget: ratelimit.NewTokenBucket(cluster.Cloud.RequestsPerS*cloudRequestShare,
			max(1, cluster.Cloud.RequestsPerS*cloudRequestShare)),
	}
	node.jobReader = jobstore.NewReader(nodeJobReaderHost{node}, cluster.Store.RequestsPerS*followerReadShare, node.workerLease()/pollsPerLease)
	leaderBudget, submissionBudget := newWriteBudgets(cluster, cluster.Store.WritesPerS)
	node.leaderWriteBudget = leaderBudget
	node.submissionQueue = submissions.NewQueue(submissionWriter{node}, cluster, submissionBudget)
	node.protocolLevels = newProtocolLevels(nodeProtocolLevelsHost{node}, options,
		node.workerLease()/pollsPerLease)
	node.catalog = catalog.New(nodeCatalogHost{node}, node.log, node.workerLease())
	peerNames := make([]string, 0, len(options.Platform.Peers))
	for _, known := range options.Platform.Peers {
		peerNames = append(peerNames, known.Node)
	}
	node.admissionPolicy = admissioncontrol.NewPolicyFollower(admissionHost{node}, cluster, node.log)
	node.workerRouter = workerrouting.NewRouter(node, cluster, peerNames)
	node.processID = node.rng.Uint64() ^ uint64(node.startTime.UnixNano()) | 1 // never 0, which means unknown
	node.startElection()
	node.connectivity = newConnectivity(node.cfg.Node, node.peers)
	// A response to a request that an earlier process of this node forwarded may still
	// arrive, because the leader holds a cancellation until it is durable. Forward IDs
	// therefore start at a random number per process; if every process counted from one, a
	// late response would be delivered to an unrelated request.
	node.forwards = forwarding.NewTable[Request](node.processID)
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
	n.submissionQueue.SetBudget(submissionBudget)
}

// Step processes a batch of commands at the instant now and returns the resulting effects. An empty
// batch only advances time.
func (n *Node) Step(now clock.Instant, batch []Command) []Effect {
	if now > n.now {
		n.now = now
	}
	n.effects = nil
	for _, command := range batch {
		command.apply(n)
	}
	n.tick()
	effects := n.effects
	n.effects = nil
	return effects
}

// tick runs the periodic work of every node, and of the leader if this node leads.
func (n *Node) tick() {
	n.election.Tick()
	n.catalog.Tick()
	n.forwards.Expire(n.now, n.serveWithoutLeader)
	n.workerRouter.ExpireRoutes()
	n.submissionQueue.WritePending()
	n.jobReader.LoadTerminalJobs()
	n.protocolLevels.tick()
	n.tickAdmission()
	if n.leader != nil && n.holdsLeaderLease() {
		n.leader.tick()
	}
}

// Now returns the time of the current step.
func (n *Node) Now() clock.Instant { return n.now }

// clusterSupports reports whether every configured node is known to have at least a protocol level.
func (n *Node) clusterSupports(level int) bool { return n.protocolLevels.clusterSupports(level) }

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
		n.election.RecordStoreResponse(n.now, result.Status)
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
