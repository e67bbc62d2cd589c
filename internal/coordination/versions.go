package coordination

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// Protocol levels: the formats of records and messages that a version understands. Level 0 is
// not announced. It has no dependencies between jobs and names the parts of a bitmap by number.
const (
	levelPipelines = 1
	levelAdmission = 2 // admission policies
	level          = levelAdmission
)

// protocolLevels is what a node knows of the protocol levels of all controllers. Each node
// writes its own level to the key-value store once. Formats that level 0 does not understand
// are used only after every configured node has written a higher level. A node that has been
// upgraded is never downgraded, so the minimum that was read stays valid regardless of late
// messages and late writes from earlier processes.
type versions struct {
	least   int     // minimum over all configured nodes
	highest int     // maximum that any node has written
	busy    bool    // a read or write of levels is in flight
	at      Instant // last read of the levels
}

// clusterSupports reports whether every configured node is known to have at least a level.
func (n *Node) allUnderstand(level int) bool { return n.versions.least >= level }

// tickProtocolLevels reads the levels until all nodes are known to have this node's level.
func (n *Node) tickVersions() {
	v := &n.versions
	if v.least >= level || v.busy ||
		n.now < v.at+n.lease()/probesPerLease ||
		n.elect.stateDown() || n.elect.stateOK == never {
		return
	}
	n.readVersions()
}

// readProtocolLevels reads the levels of all nodes from the key-value store.
func (n *Node) readVersions() {
	v := &n.versions
	v.busy, v.at = true, n.now
	n.stateCall("GET", storage.ListPath(storage.VersionPrefix, "", pageItems), nil, func(r Result) {
		v.busy = false
		var page storage.Page
		if r.Status != 200 || json.Unmarshal(r.Body, &page) != nil {
			return
		}
		n.takeVersions(page.Items)
	})
}

// applyProtocolLevels updates the known levels from the nodes' records. If this node's own level
// is not stored yet, it is written first.
func (n *Node) takeVersions(items []storage.Item) {
	known := map[string]int{}
	own := uint64(0)
	for _, it := range items {
		var rec storage.VersionRecord
		name := strings.TrimPrefix(it.Key, storage.VersionPrefix)
		if json.Unmarshal(it.Value, &rec) == nil {
			known[name] = rec.Level
			n.versions.highest = max(n.versions.highest, rec.Level)
		}
		if name == n.cfg.Node {
			own = it.Version
		}
	}
	if n.versions.least >= level {
		return
	}
	if known[n.cfg.Node] < level {
		if !n.versions.busy {
			n.writeVersion(own)
		}
		return
	}
	least := level
	for _, k := range n.cfg.Known {
		least = min(least, known[k.Node])
	}
	was := n.versions.least
	if least <= was {
		return
	}
	n.versions.least = least
	n.log.Info("cluster protocol level raised", "level", least)
	if n.lead != nil && was < levelPipelines {
		n.lead.levelRaised()
	}
}

// writeProtocolLevel writes this node's level, unless its record has changed since revision: a
// later process of the node has written it then.
func (n *Node) writeVersion(over uint64) {
	key := storage.VersionPrefix + n.cfg.Node
	n.versions.busy = true
	n.stateCall("POST", "/multi", storage.Txn{
		If:     []storage.Cond{{Key: key, Version: over}},
		Writes: []storage.Write{storage.Set(key, storage.VersionRecord{Level: level, Build: n.build})},
	}, func(r Result) {
		n.versions.busy = false
		if r.Status == 200 {
			n.versions.at = never
		}
	})
}
