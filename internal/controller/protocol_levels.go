package controller

import (
	"log/slog"
	"net/http"
	"strings"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/json"
	"hitchdoor/internal/records"
	"hitchdoor/internal/storage"
)

// A protocol level identifies the formats of records and messages that a program version understands.
// Versions of level 0 announce no level. They do not support dependencies between jobs, and they
// identify the parts of a stored bitmap by number.
const (
	protocolLevelDependencies = 1
	protocolLevelAdmission    = 2 // admission policies
	protocolLevel             = protocolLevelAdmission
)

// protocolLevelsHost is what protocolLevels needs from its node.
type protocolLevelsHost interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// StoreReachable reports whether the key-value store responds.
	StoreReachable() bool
	// CallStore sends a request to the key-value store.
	CallStore(method, path string, body any, onResponse func(storage.Response))
	// ClusterLevelRaised is called when the level that every node understands has risen.
	ClusterLevelRaised(previousLevel int)
}

// protocolLevels is what a node knows about the protocol levels of all controllers. Each node
// writes its own level to the key-value store once. Formats that level 0 does not understand
// are used only after every configured node has written a higher level. A node that has been
// upgraded is never downgraded, so the minimum that was read stays valid regardless of late
// messages and late writes from earlier processes.
type protocolLevels struct {
	host         protocolLevelsHost
	log          *slog.Logger
	node         string        // this node's name
	peers        []config.Peer // the other configured nodes
	build        string        // this node's build version, written with its level
	readInterval time.Duration

	clusterLevel    int           // minimum over all configured nodes
	highestSeen     int           // maximum that any node has written
	requestInFlight bool          // a read or write of levels is in flight
	lastRead        clock.Instant // when the levels were last read; clock.Never: read them at the next tick
}

// newProtocolLevels returns the state of a node that has read no levels yet.
func newProtocolLevels(host protocolLevelsHost, options Options, readInterval time.Duration) *protocolLevels {
	return &protocolLevels{host: host, log: options.Log, node: options.Platform.Node, peers: options.Platform.Peers,
		build: options.Build, readInterval: readInterval, lastRead: clock.Never}
}

// clusterSupports reports whether every configured node is known to have at least the given level.
func (p *protocolLevels) clusterSupports(level int) bool { return p.clusterLevel >= level }

// newerVersionSeen reports whether a controller has written a higher protocol level than this
// version's.
func (p *protocolLevels) newerVersionSeen() bool { return p.highestSeen > protocolLevel }

// tick reads the levels until all nodes are known to have this node's level.
func (p *protocolLevels) tick() {
	if p.clusterLevel >= protocolLevel || p.requestInFlight ||
		p.host.Now() < p.lastRead+p.readInterval || !p.host.StoreReachable() {
		return
	}
	p.read()
}

// read reads the levels of all nodes from the key-value store.
func (p *protocolLevels) read() {
	p.requestInFlight, p.lastRead = true, p.host.Now()
	path := storage.ListPath(storage.VersionPrefix, "", records.MaxPageItems)
	p.host.CallStore(http.MethodGet, path, nil, func(response storage.Response) {
		p.requestInFlight = false
		var page storage.ListResponse
		if response.Status != http.StatusOK || json.Unmarshal(response.Body, &page) != nil {
			return
		}
		p.apply(page.Items)
	})
}

// apply updates the known levels from the nodes' records. If this node's own level is not
// stored yet, it is written first.
func (p *protocolLevels) apply(items []storage.Item) {
	levelByNode, ownRevision := p.parseRecords(items)
	if p.clusterLevel >= protocolLevel {
		return
	}
	if levelByNode[p.node] < protocolLevel {
		if !p.requestInFlight {
			p.write(ownRevision)
		}
		return
	}
	clusterLevel := protocolLevel
	for _, peer := range p.peers {
		clusterLevel = min(clusterLevel, levelByNode[peer.Node])
	}
	previousLevel := p.clusterLevel
	if clusterLevel <= previousLevel {
		return
	}
	p.clusterLevel = clusterLevel
	p.log.Info("cluster protocol level raised", "level", clusterLevel)
	p.host.ClusterLevelRaised(previousLevel)
}

// parseRecords returns the level of each node according to its record, and the revision of this
// node's own record.
func (p *protocolLevels) parseRecords(items []storage.Item) (levelByNode map[string]int, ownRevision uint64) {
	levelByNode = map[string]int{}
	for _, item := range items {
		var record storage.VersionRecord
		name := strings.TrimPrefix(item.Key, storage.VersionPrefix)
		if json.Unmarshal(item.Value, &record) == nil {
			levelByNode[name] = record.Level
			p.highestSeen = max(p.highestSeen, record.Level)
		}
		if name == p.node {
			ownRevision = item.ModRevision
		}
	}
	return levelByNode, ownRevision
}

// write writes this node's level, unless the node's record has changed since the given revision. In
// that case a later process of the node has written it.
func (p *protocolLevels) write(revision uint64) {
	key := storage.VersionPrefix + p.node
	p.requestInFlight = true
	p.host.CallStore(http.MethodPost, "/multi", storage.Txn{
		Conditions: []storage.Condition{{Key: key, ModRevision: revision}},
		Writes:     []storage.Write{storage.Put(key, storage.VersionRecord{Level: protocolLevel, Build: p.build})},
	}, func(response storage.Response) {
		p.requestInFlight = false
		if response.Status == http.StatusOK {
			p.lastRead = clock.Never
		}
	})
}
