// Package controller implements the control plane: leader election, admission
// of jobs, task placement and scaling of the machine fleet.
//
// A Node is one controller; the other controllers of the cluster are its peers.
// It is a pure state machine: Node.Step takes the current time and a batch of
// commands, its inputs, and returns effects, its outputs. Clocks, randomness and
// I/O are supplied by the caller, so a test can reproduce any interleaving of events.
package controller

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/admissioncontrol"
	"hitchdoor/internal/catalog"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/election"
	"hitchdoor/internal/jobstore"
	"hitchdoor/internal/records"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/workerrouting"
)

// Node holds all state of a controller. It is not safe for concurrent use: one goroutine
// owns it and calls Step.
type Node struct {
	process
	timing
	outbox
	serviceBudgets

	log      *slog.Logger
	draining bool // a Drain command was received

	election     *election.Election
	peers        map[string]*peer
	forwards     *requestForwarder
	workerRouter *workerrouting.Router
	connectivity connectivity

	admissionPolicy  *admissioncontrol.PolicyFollower
	policyRejections jobstore.RecentJobs[admission.Group] // jobs rejected here by an admission policy, by ID

	catalog *catalog.Catalog

	jobReader *jobstore.Reader
	// unreadableTerminalRecords holds the terminal records that can't be decoded, by job ID.
	unreadableTerminalRecords map[string]*records.QuarantinedRecord
	mismatches                recovery.MismatchCounts // by kind, of all recoveries in this process
	leader                    *leader
	protocolLevels            *protocolLevels

	submissions *submissionHandler

	rejections         *rejection.Counters
	rejectionsLoggedAt clock.Instant
	ownerQueue         QueueLoad // load of the queue of commands, as last reported
	violations         map[Invariant]uint64
}

// Options are the dependencies and settings of a new Node.
type Options struct {
	Platform  *config.Platform
	Settings  config.Settings
	Log       *slog.Logger
	Rand      *rand.Rand
	StartTime time.Time // wall clock at instant 0
	Build     string    // build version, shown to operators
	// Rejections counts the requests that are not served. Nil means that only this node counts them.
	Rejections *rejection.Counters
}

// pollsPerWorkerLease is how often per worker lease a node polls the key-value store for terminal
// jobs and protocol levels, and a leader looks up pending dependencies.
const pollsPerWorkerLease = 28

// New returns a node in follower state.
func New(options Options) *Node {
	cluster := &options.Platform.Cluster
	node := &Node{
		process:                   newProcess(options),
		log:                       options.Log,
		timing:                    timing{startTime: options.StartTime, cluster: cluster},
		peers:                     map[string]*peer{},
		policyRejections:          jobstore.NewRecentJobs[admission.Group](jobstore.RecentJobsLimit),
		unreadableTerminalRecords: map[string]*records.QuarantinedRecord{},
		violations:                map[Invariant]uint64{},
		rejections:                cmp.Or(options.Rejections, rejection.NewCounters()),
	}
	node.outbox = newOutbox(&node.timing, node.log, nodeStoreObserver{node})
	node.jobReader = jobstore.NewReader(jobReaderHost{node}, cluster.Store.RequestsPerS*followerReadShare,
		node.workerLease()/pollsPerWorkerLease)
	budgets, submissionBudget := newServiceBudgets(&node.timing, cluster, node.log)
	node.submissions = newSubmissionHandler(node, cluster, submissionBudget)
	budgets.submissionWrites = node.submissions.queue
	node.serviceBudgets = budgets
	node.protocolLevels = newProtocolLevels(nodeProtocolLevelsHost{node}, options,
		node.workerLease()/pollsPerWorkerLease)
	node.catalog = catalog.New(catalogHost{node}, node.log, node.workerLease())
	peerNames := make([]string, 0, len(options.Platform.Peers))
	for _, peerConfig := range options.Platform.Peers {
		peerNames = append(peerNames, peerConfig.Node)
	}
	node.admissionPolicy = admissioncontrol.NewPolicyFollower(admissionHost{node}, cluster, node.log)
	node.workerRouter = workerrouting.NewRouter(node, cluster, peerNames)
	node.initElection()
	node.connectivity = newConnectivity(node.cfg.Node, node.peers)
	node.forwards = newRequestForwarder(node)
	return node
}

// Step processes a batch of commands at the instant now and returns the resulting effects. An empty
// batch only advances time.
func (n *Node) Step(now clock.Instant, batch []Command) []Effect {
	n.advance(now)
	n.effects = nil
	for _, command := range batch {
		command.apply(n)
	}
	n.tick()
	return n.takeEffects()
}

// tick runs the periodic work of every node, and of the leader if this node leads.
func (n *Node) tick() {
	n.election.Tick()
	n.catalog.Tick()
	n.forwards.Expire(n.now, n.forwards.onExpired)
	n.workerRouter.ExpireRoutes()
	n.submissions.queue.WritePending()
	n.jobReader.LoadTerminalJobs()
	n.protocolLevels.tick()
	n.tickAdmission()
	if n.leader != nil && n.holdsLeaderLease() {
		n.leader.tick()
	}
	n.logRejections()
}

// clusterSupports reports whether every configured node is known to have at least the given protocol
// level.
func (n *Node) clusterSupports(level int) bool { return n.protocolLevels.clusterSupports(level) }

// DrainDuration returns how long a node keeps running after a Drain command: long enough for
// another node to lead, for the load balancer to notice, and for pending requests to be
// answered.
func (n *Node) DrainDuration() time.Duration { return n.leaderLease() }
