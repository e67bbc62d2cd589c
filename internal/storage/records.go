// Package storage defines what the controllers keep in the key-value store: the layout of keys and
// records, the messages of the store's API, and the Writer that groups the leader's changes into
// compare-and-swap transactions. It does no I/O.
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

// Keys and key prefixes. Their names are fixed, as the next version reads the same store.
const (
	TermKey       = "term"
	LeaderKey     = "leader"
	JobPrefix     = "job/"
	FinalPrefix   = "final/"
	BitsPrefix    = "bits/"
	GroupPrefix   = "machines/"
	MachinePrefix = "mach/" // records of single machines, written by earlier versions only
	RentPrefix    = "rent/"
	VotePrefix    = "clear/"
	FlowKey       = "flow"
	CatalogKey    = "catalog"
	VersionPrefix = "version/"
	NeedsPrefix   = "needs/"
	PolicyKey     = "admission"
)

// JobKey returns the key of an open job.
func JobKey(id string) string { return JobPrefix + id }

// TerminalKey returns the key of a terminal job.
func FinalKey(id string) string { return FinalPrefix + id }

// MachineGroupKey returns the key of the machine group with the given number.
func GroupKey(i int) string { return fmt.Sprintf("%s%03d", GroupPrefix, i) }

// DependenciesKey returns the key of one part of a job's dependencies.
func NeedsKey(id string, i int) string { return fmt.Sprintf("%s%s/%03d", NeedsPrefix, id, i) }

// JobIDOfDependenciesKey returns the job of a key that DependenciesKey returned.
func NeedsOf(key string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, NeedsPrefix), "/")
	return id
}

// JobIDOfKey returns the job whose open record, or part of whose dependencies, has the key; empty for
// other keys.
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

// MachineGroupNumber is the inverse of MachineGroupKey.
func GroupNumber(key string) int {
	i, _ := strconv.Atoi(strings.TrimPrefix(key, GroupPrefix))
	return i
}

// BitmapKey returns the key of one part of a job's bitmap of finished tasks, by the part's number.
// It names the only part of a small bitmap, and every part at version level 0.
func BitsKey(id string, part int) string { return fmt.Sprintf("%s%s/%03d", BitsPrefix, id, part) }

// firstTaskMarker precedes the first task in the name of a part that is identified by it.
const fromMark = "from-"

// BitmapKeyFromTask returns the key of the part that begins with the given task. Unlike the number
// of a part, the first task keeps its meaning when the size of the parts changes.
func BitsFromKey(id string, from int) string {
	return fmt.Sprintf("%s%s/%s%06d", BitsPrefix, id, fromMark, from)
}

// ParseBitmapKey is the inverse of BitmapKey and BitmapKeyFromTask. A numbered part is taken to
// have tasksPerPart tasks.
func ParseBitsKey(key string, partTasks int) (id string, from int, ok bool) {
	id, name, _ := strings.Cut(strings.TrimPrefix(key, BitsPrefix), "/")
	num, byTask := strings.CutPrefix(name, fromMark)
	from, err := strconv.Atoi(num)
	if !byTask {
		from *= partTasks
	}
	return id, from, err == nil && from >= 0
}

// Term is the value of the term key: the latest term, and the node that raised it.
type Term struct {
	Term uint64 `json:"term"`
	Node string `json:"node,omitempty"`
}

// VoteRecord is the highest term that a node has voted for. The node stores it for a candidate that
// it can't reach directly.
type VoteRecord struct {
	Term uint64 `json:"term"`
}

// Leader is the value of the leader key.
type Leader struct {
	Node string `json:"node"`
	Term uint64 `json:"term"`
}

// JobRecord is the record of an open job. AcceptedAtMillis is the time of day of its acceptance; it
// only orders jobs, as the clocks of nodes differ.
type JobRecord struct {
	Spec protocol.Job `json:"spec"`
	AtMS int64        `json:"at"`
	// DependencyRecords is the number of separate records that hold the dependencies, if they do
	// not fit into this record; 0 if they do.
	More int `json:"more,omitempty"`
}

// JobWrites returns the writes that store a job: one, or several if its dependencies exceed the size
// limit of a value.
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

// FitsTxn reports whether a transaction of the writes is within the store's limits.
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

// RestoreDependencies moves the dependencies from their separate records, given in order, back into
// the job's record. It reports whether all of them are there.
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

// TerminalRecord is the record of a terminal job. EndedAtMillis is the time of day of its end, from
// which the deadlines of its dependents count; version level 0 does not write it.
type FinalRecord struct {
	State string `json:"state"`
	Tasks int    `json:"tasks"`
	Done  int    `json:"done"`
	AtMS  int64  `json:"at,omitempty"`
}

// VersionRecord is a node's version: the level of records and messages that it understands.
type VersionRecord struct {
	Level int    `json:"level"`
	Build string `json:"build,omitempty"`
}

// MachineRecord is the record of a rented machine. Used is durable before the machine's first task
// starts, so that a new leader need only reconcile machines that have it set.
type MachineRecord struct {
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot"`
	AtMS int64  `json:"at"`
	Used bool   `json:"used"`
}

// MachineGroupRecord holds the records of several machines, by name, in one value, so that changes
// of many machines share one write.
type GroupRecord map[string]MachineRecord

// MachineEntryBytes returns the size of a machine's entry in its group's record.
func EntryBytes(name string, r MachineRecord) int {
	r.Used = false // "false" is longer than "true", so the entry never grows beyond this size
	return len(Encode(name)) + len(Encode(r)) + 2
}

// MaxMachineGroupBytes returns the size limit of a machine group's record. It is well below the
// limit of a value, and small enough that several groups fit into a transaction, as each change of a
// machine writes its whole group.
func GroupBytes(valueBytes int) int { return min(valueBytes*7/8, maxTxnBytes/4) }

// ArrivalForecastRecord is a leader's forecast of arriving work by class of jobs, from the arrivals
// within WindowSeconds. The next leader starts from it.
type FlowRecord struct {
	AtMS    int64           `json:"at"`
	OverS   float64         `json:"over"`
	Classes map[string]Flow `json:"classes"`
}

// ClassArrivals is the arriving work of one class: sums of core seconds that decay quickly and
// slowly, the decayed number of jobs, and how long after its arrival the latest job was due.
type Flow struct {
	Work float64 `json:"work"`
	Slow float64 `json:"slow"`
	Jobs float64 `json:"jobs"`
	DueS float64 `json:"due"`
}

// BitmapRecord is one part of a bitmap of finished tasks.
type BitsRecord struct {
	Bits string `json:"b"`
}

// EncodeBitmap returns the record of a part of a bitmap.
func EncodeBits(bits []byte) BitsRecord {
	return BitsRecord{Bits: base64.StdEncoding.EncodeToString(bits)}
}

// DecodeBitmap is the inverse of EncodeBitmap.
func DecodeBits(r BitsRecord) ([]byte, error) { return base64.StdEncoding.DecodeString(r.Bits) }

// TasksPerBitmapPart returns how many tasks one part of a bitmap covers. The record of a part is
// well below the size limit of a value.
func PartTasks(valueBytes int) int { return max(valueBytes/2, 1) * 8 }

// Item is a key with its value. ModRevision is the revision of the key's latest change.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"versao"`
	Lease   uint64          `json:"arrendo,omitempty"`
}

// ListResponse is one page of a listing of keys.
type Page struct {
	Items     []Item `json:"rows"`
	Truncated bool   `json:"truncated"`
	Revision  uint64 `json:"edicao"`
}

// WatchEvent is one change of a watched key: a put or a delete.
type Event struct {
	Set     string          `json:"set"`
	Drop    string          `json:"drop"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"versao"`
}

// WatchResponse is the response of a watch.
type Events struct {
	Revision uint64  `json:"edicao"`
	Log      []Event `json:"log"`
}

// Condition is one comparison of a transaction: the key must have the given ModRevision; 0 means that
// it must not exist.
type Cond struct {
	Key     string `json:"path"`
	Version uint64 `json:"versao"`
}

// Write is one write of a transaction: a put or a delete.
type Write struct {
	Set   string          `json:"set,omitempty"`
	Value json.RawMessage `json:"data,omitempty"`
	Lease uint64          `json:"arrendo,omitempty"`
	Drop  string          `json:"drop,omitempty"`
}

// estimatedBytes returns the approximate size of the write and its condition in a transaction.
func (w Write) bytes() int { return len(w.Value) + 2*len(w.Key()) + 64 }

// Key returns the key that is put or deleted.
func (w Write) Key() string { return w.Set + w.Drop }

// Txn is a compare-and-swap transaction: the writes are applied only if all conditions hold.
type Txn struct {
	If     []Cond  `json:"if"`
	Writes []Write `json:"writes"`
}

// TxnResponse is the response to a transaction: the revision, and the keys of failed conditions.
type TxnResult struct {
	Revision uint64   `json:"edicao"`
	Failed   []string `json:"failed"`
}

// Lease is the body of a request to grant or renew a lease, and of the response.
type Hold struct {
	TTLMS int64  `json:"ttlMs,omitempty"`
	Lease uint64 `json:"arrendo,omitempty"`
}

// Put returns a write that sets a key to a value.
func Set(key string, value any) Write { return Write{Set: key, Value: Encode(value)} }

// Delete returns a write that deletes a key.
func Drop(key string) Write { return Write{Drop: key} }

// Encode returns the JSON of a record. It panics on values that have no JSON form; no record of this
// package is one.
func Encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// ListPath returns the path that lists the keys with a prefix, beginning after since.
func ListPath(prefix, since string, limit int) string {
	path := "/store?under=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if since != "" {
		path += "&since=" + url.QueryEscape(since)
	}
	return path
}

// WatchPath returns the path that watches a prefix for changes after the given revision.
func FollowPath(prefix string, since uint64, waitMS int64) string {
	return fmt.Sprintf("/follow?under=%s&since=%d&waitMs=%d", url.QueryEscape(prefix), since, waitMS)
}
