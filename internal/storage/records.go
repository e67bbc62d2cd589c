// Package storage holds what the controllers keep in the state service: the
// layout of the records, the transactions and the messages that carry them.
package storage

import (
	"encoding/base64"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
)

// Keys and prefixes.
const (
	TermKey       = "term"
	LeaderKey     = "leader"
	JobPrefix     = "job/"
	FinalPrefix   = "final/"
	BitsPrefix    = "bits/"
	GroupPrefix   = "machines/"
	MachinePrefix = "mach/" // of single machines, as earlier versions wrote them
	RentPrefix    = "rent/"
	VotePrefix    = "clear/"
	FlowKey       = "flow"
	CatalogKey    = "catalog"
	VersionPrefix = "version/"
	NeedsPrefix   = "needs/"
	PolicyKey     = "admission"
)

// JobKey is the key of an open job.
func JobKey(id string) string { return JobPrefix + id }

// FinalKey is the key of a job that is over.
func FinalKey(id string) string { return FinalPrefix + id }

// GroupKey is the key of one group of machines.
func GroupKey(i int) string { return fmt.Sprintf("%s%03d", GroupPrefix, i) }

// NeedsKey is the key of one of the records of the jobs that a job needs.
func NeedsKey(id string, i int) string { return fmt.Sprintf("%s%s/%03d", NeedsPrefix, id, i) }

// NeedsOf is the job of such a key.
func NeedsOf(key string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, NeedsPrefix), "/")
	return id
}

// JobOf is the job whose own record, or record of the jobs that it needs, has such a key; empty
// for other keys.
func JobOf(key string) string {
	if strings.HasPrefix(key, NeedsPrefix) {
		return NeedsOf(key)
	}
	id, ok := strings.CutPrefix(key, JobPrefix)
	if !ok {
		return ""
	}
	return id
}

// GroupNumber is the reverse of GroupKey.
func GroupNumber(key string) int {
	i, _ := strconv.Atoi(strings.TrimPrefix(key, GroupPrefix))
	return i
}

// BitsKey is the key of one part of a job's bitmap of finished tasks, by its number:
// of the first and only part, or as level 0 names the parts.
func BitsKey(id string, part int) string { return fmt.Sprintf("%s%s/%03d", BitsPrefix, id, part) }

// fromMark begins the names of parts that say with which task they begin.
const fromMark = "from-"

// BitsFromKey is the key of the part that begins with a task. The number of a part
// means another task whenever the size of the parts has changed.
func BitsFromKey(id string, from int) string {
	return fmt.Sprintf("%s%s/%s%06d", BitsPrefix, id, fromMark, from)
}

// ParseBitsKey is the reverse of both, where a numbered part has so many tasks.
func ParseBitsKey(key string, partTasks int) (id string, from int, ok bool) {
	id, name, _ := strings.Cut(strings.TrimPrefix(key, BitsPrefix), "/")
	num, byTask := strings.CutPrefix(name, fromMark)
	from, err := strconv.Atoi(num)
	if !byTask {
		from *= partTasks
	}
	return id, from, err == nil && from >= 0
}

// Term is the value of the term key: the last term, and who raised it.
type Term struct {
	Term uint64 `json:"term"`
	Node string `json:"node,omitempty"`
}

// VoteRecord is what a node writes for a candidate that it can't reach: the highest
// term that it has voted for.
type VoteRecord struct {
	Term uint64 `json:"term"`
}

// Leader is the value of the leader key.
type Leader struct {
	Node string `json:"node"`
	Term uint64 `json:"term"`
}

// JobRecord is an open job. AtMS is the time of day of its acceptance; it
// orders work and counts towards no rule.
type JobRecord struct {
	Spec protocol.Job `json:"spec"`
	AtMS int64        `json:"at"`
	// More is in how many records of their own the jobs are that it needs, where its own
	// can't hold them.
	More int `json:"more,omitempty"`
}

// JobWrites are the changes that store a job: one, or some more where it needs too many
// others for one value.
func JobWrites(rec JobRecord, valueBytes int) []Write {
	whole := Set(JobKey(rec.Spec.UID), rec)
	if len(whole.Value) <= valueBytes || len(rec.Spec.Needs) == 0 {
		return []Write{whole}
	}
	needs := rec.Spec.Needs
	rec.Spec.Needs = nil
	var more []Write
	for len(needs) > 0 {
		count, size := 0, 2
		for count < len(needs) && (count == 0 || size+len(needs[count])+3 <= valueBytes) {
			size += len(needs[count]) + 3
			count++
		}
		more = append(more, Set(NeedsKey(rec.Spec.UID, len(more)), needs[:count]))
		needs = needs[count:]
	}
	rec.More = len(more)
	return append([]Write{Set(JobKey(rec.Spec.UID), rec)}, more...)
}

// Fits tells whether a transaction of some changes is within the limits.
func Fits(writes []Write, valueBytes, ops int) bool {
	size := 0
	for _, w := range writes {
		if len(w.Value) > valueBytes {
			return false
		}
		size += w.bytes()
	}
	return len(writes) <= ops && size <= maxTxnBytes
}

// TakeNeeds puts the jobs that a record needs back into it from records of their own, in
// their order, and tells whether all of them are there.
func (r *JobRecord) TakeNeeds(more []Item) bool {
	if len(more) != r.More {
		return false
	}
	var all []string
	for _, it := range more {
		var needs []string
		if json.Unmarshal(it.Value, &needs) != nil {
			return false
		}
		all = append(all, needs...)
	}
	r.Spec.Needs, r.More = append(r.Spec.Needs, all...), 0
	return true
}

// FinalRecord is what remains of a job that is over. AtMS is the time of day of its
// end, from which the times of those that need it count; level 0 does not write it.
type FinalRecord struct {
	State string `json:"state"`
	Tasks int    `json:"tasks"`
	Done  int    `json:"done"`
	AtMS  int64  `json:"at,omitempty"`
}

// VersionRecord is what a node says of its version: the level of records and messages
// that it understands.
type VersionRecord struct {
	Level int    `json:"level"`
	Build string `json:"build,omitempty"`
}

// MachineRecord is a machine that the controllers hold. Used is set before the
// first task: only such a machine has to be accounted for after a takeover.
type MachineRecord struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot"`
	AtMS int64  `json:"at"`
	Used bool   `json:"used"`
}

// GroupRecord is a group of machines by name, in one value: many changes of many
// machines share one write.
type GroupRecord map[string]MachineRecord

// EntryBytes is what a machine takes in its group's record.
func EntryBytes(name string, r MachineRecord) int {
	r.Used = false // the longer word: it must not outgrow its group when it is used
	return len(Encode(name)) + len(Encode(r)) + 2
}

// GroupBytes is how large a group's record may grow, well inside the value limit; and
// several share a transaction, as all of a group is written for each change in it.
func GroupBytes(valueBytes int) int { return min(valueBytes*7/8, maxTxnBytes/4) }

// FlowRecord is what a leader has learnt of the work that arrives, over a time, by
// class of jobs.
type FlowRecord struct {
	AtMS    int64           `json:"at"`
	OverS   float64         `json:"over"`
	Classes map[string]Flow `json:"classes"`
}

// Flow is the work that arrives of one class: decaying sums, and how long after
// its arrival it is due.
type Flow struct {
	Work float64 `json:"work"`
	Slow float64 `json:"slow"`
	Jobs float64 `json:"jobs"`
	DueS float64 `json:"due"`
}

// BitsRecord is one part of a bitmap.
type BitsRecord struct {
	Bits string `json:"b"`
}

// EncodeBits and DecodeBits turn a part of a bitmap into its record and back.
func EncodeBits(bits []byte) BitsRecord {
	return BitsRecord{Bits: base64.StdEncoding.EncodeToString(bits)}
}

// DecodeBits is the reverse of EncodeBits.
func DecodeBits(r BitsRecord) ([]byte, error) { return base64.StdEncoding.DecodeString(r.Bits) }

// PartTasks is how many tasks one part of a bitmap covers, so that its record
// stays well inside the value limit.
func PartTasks(valueBytes int) int { return max(valueBytes/2, 1) * 8 }

// Item is one key with its value.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"versao"`
	Lease   uint64          `json:"arrendo,omitempty"`
}

// Page is the answer to a listing.
type Page struct {
	Items     []Item `json:"rows"`
	Truncated bool   `json:"truncated"`
	Revision  uint64 `json:"edicao"`
}

// Event is one change seen by a watch.
type Event struct {
	Set     string          `json:"set"`
	Drop    string          `json:"drop"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"versao"`
}

// Events is the answer of a watch.
type Events struct {
	Revision uint64  `json:"edicao"`
	Log      []Event `json:"log"`
}

// Cond is one condition of a transaction; version 0 means that the key does
// not exist.
type Cond struct {
	Key     string `json:"path"`
	Version uint64 `json:"versao"`
}

// Write is one change of a transaction: a set or a drop.
type Write struct {
	Set   string          `json:"set,omitempty"`
	Value json.RawMessage `json:"data,omitempty"`
	Lease uint64          `json:"arrendo,omitempty"`
	Drop  string          `json:"drop,omitempty"`
}

// bytes is about what the write takes in a transaction, with its condition.
func (w Write) bytes() int { return len(w.Value) + 2*len(w.Key()) + 64 }

// Key is the key that the write touches.
func (w Write) Key() string { return w.Set + w.Drop }

// Txn is a transaction.
type Txn struct {
	If     []Cond  `json:"if"`
	Writes []Write `json:"writes"`
}

// TxnResult is the answer to a transaction.
type TxnResult struct {
	Revision uint64   `json:"edicao"`
	Failed   []string `json:"failed"`
}

// Hold is the body and the answer of a lease request.
type Hold struct {
	TTLMS int64  `json:"ttlMs,omitempty"`
	Lease uint64 `json:"arrendo,omitempty"`
}

// Set makes a write of a value.
func Set(key string, value any) Write { return Write{Set: key, Value: Encode(value)} }

// Drop makes a write that removes a key.
func Drop(key string) Write { return Write{Drop: key} }

// Encode turns one of our own records into JSON; they can't fail to.
func Encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// ListPath is the path of a listing of a prefix.
func ListPath(prefix, since string, limit int) string {
	path := "/store?under=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if since != "" {
		path += "&since=" + url.QueryEscape(since)
	}
	return path
}

// FollowPath is the path of a watch on a prefix.
func FollowPath(prefix string, since uint64, waitMS int64) string {
	return fmt.Sprintf("/follow?under=%s&since=%d&waitMs=%d", url.QueryEscape(prefix), since, waitMS)
}
