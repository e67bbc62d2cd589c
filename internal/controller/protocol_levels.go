package controller

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/records"
	"hitchdoor/internal/storage"
)

// Protocol levels: the formats of records and messages that a version understands. Level 0 is
// not announced. It has no dependencies between jobs and names the parts of a bitmap by number.
const (
	protocolLevelDependencies = 1
	protocolLevelAdmission    = 2 // admission policies
	protocolLevel             = protocolLevelAdmission
)

// protocolLevels is what a node knows of the protocol levels of all controllers. Each node
// writes its own level to the key-value store once. Formats that level 0 does not understand
// are used only after every configured node has written a higher level. A node that has been
// upgraded is never downgraded, so the minimum that was read stays valid regardless of late
// messages and late writes from earlier processes.
type protocolLevels struct {
	clusterLevel    int           // minimum over all configured nodes
	highestSeen     int           // maximum that any node has written
	requestInFlight bool          // a read or write of levels is in flight
	lastRead        clock.Instant // last read of the levels
}

// clusterSupports reports whether every configured node is known to have at least a level.
func (n *Node) clusterSupports(level int) bool { return n.protocolLevels.clusterLevel >= level }

// newerVersionSeen reports whether a controller has written a higher protocol level than this
// version's.
func (n *Node) newerVersionSeen() bool { return n.protocolLevels.highestSeen > protocolLevel }

// tickProtocolLevels reads the levels until all nodes are known to have this node's level.
func (n *Node) tickProtocolLevels() {
	levels := &n.protocolLevels
	if levels.clusterLevel >= protocolLevel || levels.requestInFlight ||
		n.now < levels.lastRead+n.workerLease()/pollsPerLease ||
		!n.election.StoreReachable() {
		return
	}
	n.readProtocolLevels()
}

// readProtocolLevels reads the levels of all nodes from the key-value store.
func (n *Node) readProtocolLevels() {
	levels := &n.protocolLevels
	levels.requestInFlight, levels.lastRead = true, n.now
	n.storeCall("GET", storage.ListPath(storage.VersionPrefix, "", records.MaxPageItems), nil, func(result CallResult) {
		levels.requestInFlight = false
		var page storage.ListResponse
		if result.Status != 200 || json.Unmarshal(result.Body, &page) != nil {
			return
		}
		n.applyProtocolLevels(page.Items)
	})
}

// applyProtocolLevels updates the known levels from the nodes' records. If this node's own level
// is not stored yet, it is written first.
func (n *Node) applyProtocolLevels(items []storage.Item) {
	levelByNode := map[string]int{}
	ownRevision := uint64(0)
	for _, item := range items {
		var record storage.VersionRecord
		name := strings.TrimPrefix(item.Key, storage.VersionPrefix)
		if json.Unmarshal(item.Value, &record) == nil {
			levelByNode[name] = record.Level
			n.protocolLevels.highestSeen = max(n.protocolLevels.highestSeen, record.Level)
		}
		if name == n.cfg.Node {
			ownRevision = item.ModRevision
		}
	}
	if n.protocolLevels.clusterLevel >= protocolLevel {
		return
	}
	if levelByNode[n.cfg.Node] < protocolLevel {
		if !n.protocolLevels.requestInFlight {
			n.writeProtocolLevel(ownRevision)
		}
		return
	}
	clusterLevel := protocolLevel
	for _, peer := range n.cfg.Peers {
		clusterLevel = min(clusterLevel, levelByNode[peer.Node])
	}
	previousLevel := n.protocolLevels.clusterLevel
	if clusterLevel <= previousLevel {
		return
	}
	n.protocolLevels.clusterLevel = clusterLevel
	n.log.Info("cluster protocol level raised", "level", clusterLevel)
	if n.leader != nil && previousLevel < protocolLevelDependencies {
		n.leader.jobRecords.UpgradeBitmapLayouts()
	}
}

// writeProtocolLevel writes this node's level, unless its record has changed since revision: a
// later process of the node has written it then.
func (n *Node) writeProtocolLevel(revision uint64) {
	key := storage.VersionPrefix + n.cfg.Node
	n.protocolLevels.requestInFlight = true
	n.storeCall("POST", "/multi", storage.Txn{
		Conditions: []storage.Condition{{Key: key, ModRevision: revision}},
		Writes:     []storage.Write{storage.Put(key, storage.VersionRecord{Level: protocolLevel, Build: n.build})},
	}, func(result CallResult) {
		n.protocolLevels.requestInFlight = false
		if result.Status == 200 {
			n.protocolLevels.lastRead = clock.Never
		}
	})
}
