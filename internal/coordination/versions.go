package coordination

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// Levels of the records and messages that a version understands. Level 0, which says nothing
// of itself, knows no jobs that need others, and names the parts of a bitmap by their numbers.
const (
	levelPipelines = 1
	levelAdmission = 2 // admission policies
	level          = levelAdmission
)

// versions is what a node knows of the versions of all of them. Each node writes its
// own, once. What level 0 can't bear is written only when every configured node has
// written a higher one: a node that has begun anew with this version never goes back,
// so what was read once goes on to hold, whatever late messages and late writes of
// earlier processes still arrive.
type versions struct {
	least   int // every node is known to be of this level at least
	highest int // some node has written this level
	busy    bool
	at      Instant // when they were last read
}

// allUnderstand tells whether every node is known to be of a level at least.
func (n *Node) allUnderstand(level int) bool { return n.versions.least >= level }

// tickVersions reads the versions until all are known to be as new as this one.
func (n *Node) tickVersions() {
	v := &n.versions
	if v.least >= level || v.busy || n.now < v.at+n.lease()/probesPerLease || n.elect.stateDown() || n.elect.stateOK == never {
		return
	}
	n.readVersions()
}

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

// takeVersions learns from the records of the nodes' versions.
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
	n.log.Info("all nodes are of this level or later", "level", least)
	if n.lead != nil && was < levelPipelines {
		n.lead.levelRaised()
	}
}

// writeVersion writes this node's version, unless a later process has.
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
