// Package storage defines the keys and records that the controllers keep in the key-value store, the
// messages of the store's API, and the Writer that groups the leader's changes into compare-and-swap
// transactions. The package does no I/O.
package storage

import (
	"encoding/base64"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
)

// Keys and key prefixes. Their values are fixed, because other versions use the same store.
const (
	TermKey             = "term"
	LeaderKey           = "leader"
	JobPrefix           = "job/"
	TerminalPrefix      = "final/"
	BitmapPrefix        = "bits/"
	MachineGroupPrefix  = "machines/"
	SingleMachinePrefix = "mach/" // records of a single machine, which only earlier versions write
	RentalPrefix        = "rent/"
	VotePrefix          = "clear/"
	ArrivalForecastKey  = "flow"
	CatalogKey          = "catalog"
	VersionPrefix       = "version/"
	DependenciesPrefix  = "needs/"
	AdmissionPolicyKey  = "admission"
)

// JobKey returns the key of a job's open record.
func JobKey(id string) string { return JobPrefix + id }

// TerminalKey returns the key of a job's terminal record.
func TerminalKey(id string) string { return TerminalPrefix + id }

// MachineGroupKey returns the key of the machine group with the given number.
func MachineGroupKey(number int) string { return fmt.Sprintf("%s%03d", MachineGroupPrefix, number) }

// DependenciesKey returns the key of one part of a job's dependencies.
func DependenciesKey(id string, part int) string {
	return fmt.Sprintf("%s%s/%03d", DependenciesPrefix, id, part)
}

// JobIDOfDependenciesKey returns the job id in a key that DependenciesKey returns.
func JobIDOfDependenciesKey(key string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, DependenciesPrefix), "/")
	return id
}

// JobIDOfKey returns the job id in the key of an open record or of a part of a job's dependencies. It
// returns an empty string for other keys.
func JobIDOfKey(key string) string {
	if strings.HasPrefix(key, DependenciesPrefix) {
		return JobIDOfDependenciesKey(key)
	}
	id, ok := strings.CutPrefix(key, JobPrefix)
	if !ok {
		return ""
	}
	return id
}

// MachineGroupNumber is the inverse of MachineGroupKey. It returns 0 for a key without a number.
func MachineGroupNumber(key string) int {
	number, _ := strconv.Atoi(strings.TrimPrefix(key, MachineGroupPrefix))
	return number
}

// BitmapKey returns the key of one part of a job's bitmap of finished tasks, by the part's number.
// Such keys are used for the only part of a small bitmap, and for every part at protocol level 0.
func BitmapKey(id string, part int) string { return fmt.Sprintf("%s%s/%03d", BitmapPrefix, id, part) }

// firstTaskMarker precedes the task index in the key of a part that is identified by its first task.
const firstTaskMarker = "from-"

// BitmapKeyFromTask returns the key of the part that begins with the given task. Unlike the number
// of a part, the index of its first task keeps its meaning when the size of the parts changes.
func BitmapKeyFromTask(id string, firstTask int) string {
	return fmt.Sprintf("%s%s/%s%06d", BitmapPrefix, id, firstTaskMarker, firstTask)
}

// ParseBitmapKey returns the job id and the first task of a key of BitmapKey or BitmapKeyFromTask. It
// assumes tasksPerPart tasks in each numbered part. ok is false if the key names neither a part's number
// nor its first task.
func ParseBitmapKey(key string, tasksPerPart int) (id string, firstTask int, ok bool) {
	id, part, _ := strings.Cut(strings.TrimPrefix(key, BitmapPrefix), "/")
	number, isFirstTask := strings.CutPrefix(part, firstTaskMarker)
	firstTask, err := strconv.Atoi(number)
	if !isFirstTask {
		firstTask *= tasksPerPart
	}
	return id, firstTask, err == nil && firstTask >= 0
}

// Term is the value of the term key: the latest term, and the node that raised the term to this value.
type Term struct {
	Term uint64 `json:"term"`
	Node string `json:"node,omitempty"`
}

// VoteRecord is the highest term that a node has voted for. The node stores it for a candidate that
// it can't reach directly.
type VoteRecord struct {
	Term uint64 `json:"term"`
}

// Leader is the value of the leader key: the leading node and its term.
type Leader struct {
	Node string `json:"node"`
	Term uint64 `json:"term"`
}

// JobRecord is the record of an open job. AcceptedAtMillis is the wall-clock time in Unix milliseconds at
// which the job was accepted, by the clock of the node that accepted it; the clocks of nodes differ.
type JobRecord struct {
	Spec             protocol.Job `json:"spec"`
	AcceptedAtMillis int64        `json:"at"`
	// DependencyRecords is the number of separate records that contain the dependencies, or 0 if
	// this record contains them.
	DependencyRecords int `json:"more,omitempty"`
}

// JobWrites returns the writes that store a job: one, or several if the record with its dependencies
// exceeds the size limit of a value.
func JobWrites(record JobRecord, maxValueBytes int) []Write {
	single := Put(JobKey(record.Spec.ID), record)
	if len(single.Value) <= maxValueBytes || len(record.Spec.Dependencies) == 0 {
		return []Write{single}
	}
	dependencyWrites := dependencyWrites(record.Spec.ID, record.Spec.Dependencies, maxValueBytes)
	record.Spec.Dependencies = nil
	record.DependencyRecords = len(dependencyWrites)
	return append([]Write{Put(JobKey(record.Spec.ID), record)}, dependencyWrites...)
}

// dependencyWrites returns the writes that store a job's dependencies in separate dependency records.
func dependencyWrites(jobID string, dependencies []string, maxValueBytes int) []Write {
	var writes []Write
	for len(dependencies) > 0 {
		count := countThatFit(dependencies, maxValueBytes)
		writes = append(writes, Put(DependenciesKey(jobID, len(writes)), dependencies[:count]))
		dependencies = dependencies[count:]
	}
	return writes
}

// countThatFit returns how many of the ids fit into one value as a JSON list, but at least 1.
func countThatFit(ids []string, maxValueBytes int) int {
	const brackets, quotesAndComma = 2, 3
	size := brackets
	for i, id := range ids {
		size += len(id) + quotesAndComma
		if i > 0 && size > maxValueBytes {
			return i
		}
	}
	return len(ids)
}

// FitsTxn reports whether a transaction with all the writes is within the limits of the key-value store.
func FitsTxn(writes []Write, maxValueBytes, maxWrites int) bool {
	tooLarge := func(write Write) bool { return len(write.Value) > maxValueBytes }
	return !slices.ContainsFunc(writes, tooLarge) && len(writes) <= maxWrites && estimatedBytes(writes) <= maxTxnBytes
}

// RestoreDependencies moves the dependencies from their separate records, given in order, back into
// the job's record. It returns false, without a change, if a record is missing or can't be decoded.
func (r *JobRecord) RestoreDependencies(records []Item) bool {
	if len(records) != r.DependencyRecords {
		return false
	}
	var restored []string
	for _, item := range records {
		var dependencies []string
		if json.Unmarshal(item.Value, &dependencies) != nil {
			return false
		}
		restored = append(restored, dependencies...)
	}
	r.Spec.Dependencies, r.DependencyRecords = append(r.Spec.Dependencies, restored...), 0
	return true
}

// TerminalRecord is the record of a terminal job. EndedAtMillis is the wall-clock time in Unix milliseconds
// at which the job ended. The deadlines of its dependents count from this time. Controllers of protocol
// level 0 do not write it.
type TerminalRecord struct {
	State         protocol.JobState `json:"state"`
	TaskCount     int               `json:"tasks"`
	DoneTasks     int               `json:"done"`
	EndedAtMillis int64             `json:"at,omitempty"`
}

// VersionRecord is a node's version. Level is the protocol level: it stands for the records and messages
// that the node understands.
type VersionRecord struct {
	Level int    `json:"level"`
	Build string `json:"build,omitempty"`
}

// MachineRecord describes a rented machine, as an entry in the record of its group. Used is stored before the
// machine's first task starts, so a new leader need only reconcile the machines with Used set.
type MachineRecord struct {
	Type           string `json:"type"`
	Zone           string `json:"zone"`
	Spot           bool   `json:"spot"`
	RentedAtMillis int64  `json:"at"`
	Used           bool   `json:"used"`
}

// MachineGroupRecord contains the entries of several machines, by name, in one value, so that changes of
// many machines share one write.
type MachineGroupRecord map[string]MachineRecord

// MachineEntryBytes returns the size in bytes of a machine's name and entry in its group's record.
func MachineEntryBytes(name string, record MachineRecord) int {
	record.Used = false // "false" is longer than "true", so the entry never grows beyond this size
	return len(Encode(name)) + len(Encode(record)) + 2
}

// MaxMachineGroupBytes returns the size limit of a machine group's record, in bytes. It is well below the
// limit of a value (7/8). It is at most a quarter of a transaction, so that several groups fit into one:
// each change of a machine writes its whole group.
func MaxMachineGroupBytes(maxValueBytes int) int { return min(maxValueBytes*7/8, maxTxnBytes/4) }

// ArrivalForecastRecord is a leader's forecast of arriving work by job class, from which the next leader
// starts. WindowSeconds is the time for which arrivals were counted.
type ArrivalForecastRecord struct {
	RecordedAtMillis int64                    `json:"at"`
	WindowSeconds    float64                  `json:"over"`
	Classes          map[string]ClassArrivals `json:"classes"`
}

// ClassArrivals is the arriving work of one job class. RecentWork and LongTermWork are sums of core
// seconds, which decay quickly and slowly. JobCount is the number of jobs, decayed like LongTermWork.
// DueSeconds is the time from the arrival of the last job until it was due.
type ClassArrivals struct {
	RecentWork   float64 `json:"work"`
	LongTermWork float64 `json:"slow"`
	JobCount     float64 `json:"jobs"`
	DueSeconds   float64 `json:"due"`
}

// BitmapRecord is one part of a bitmap of finished tasks, encoded as base64.
type BitmapRecord struct {
	Bits string `json:"b"`
}

// EncodeBitmap returns the record of a part of a bitmap.
func EncodeBitmap(bits []byte) BitmapRecord {
	return BitmapRecord{Bits: base64.StdEncoding.EncodeToString(bits)}
}

// DecodeBitmap is the inverse of EncodeBitmap.
func DecodeBitmap(record BitmapRecord) ([]byte, error) {
	return base64.StdEncoding.DecodeString(record.Bits)
}

// TasksPerBitmapPart returns how many tasks one part of a bitmap covers. The bits take half of the size
// limit of a value, so that the record, in which they are encoded as base64, stays well below the limit.
func TasksPerBitmapPart(maxValueBytes int) int { return max(maxValueBytes/2, 1) * 8 }

// Item is a stored key with its value. ModRevision is the store's revision at the key's latest change.
// LeaseID is the lease of the key-value store to which the key is attached; 0: none.
type Item struct {
	Key         string          `json:"path"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"versao"`
	LeaseID     uint64          `json:"arrendo,omitempty"`
}

// ListResponse is one page of a listing of keys. Truncated means that more keys follow. Revision is the
// store's revision at the time of the listing.
type ListResponse struct {
	Items     []Item `json:"rows"`
	Truncated bool   `json:"truncated"`
	Revision  uint64 `json:"edicao"`
}

// WatchEvent is one change of a watched key: a put of PutKey or a delete of DeletedKey.
type WatchEvent struct {
	PutKey      string          `json:"set"`
	DeletedKey  string          `json:"drop"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"versao"`
}

// WatchResponse is the response to a watch: the changes, and the revision at which the next watch begins.
type WatchResponse struct {
	Revision uint64       `json:"edicao"`
	Events   []WatchEvent `json:"log"`
}

// Condition is one comparison of a transaction: the key must have the given ModRevision, or must not
// exist if ModRevision is 0.
type Condition struct {
	Key         string `json:"path"`
	ModRevision uint64 `json:"versao"`
}

// Write is one write of a transaction: a put of PutKey or a delete of DeleteKey. LeaseID is the lease of
// the key-value store to which a put attaches the key; 0: none.
type Write struct {
	PutKey    string          `json:"set,omitempty"`
	Value     json.RawMessage `json:"data,omitempty"`
	LeaseID   uint64          `json:"arrendo,omitempty"`
	DeleteKey string          `json:"drop,omitempty"`
}

// estimatedBytes returns the approximate size of the write and its condition in a transaction.
func (w Write) estimatedBytes() int { return len(w.Value) + 2*len(w.Key()) + 64 }

// estimatedBytes returns the approximate size of several writes and their conditions.
func estimatedBytes(writes []Write) int {
	size := 0
	for _, write := range writes {
		size += write.estimatedBytes()
	}
	return size
}

// Key returns the key that the write puts or deletes.
func (w Write) Key() string { return w.PutKey + w.DeleteKey }

// Txn is a compare-and-swap transaction: the store applies the writes only if all conditions are met.
type Txn struct {
	Conditions []Condition `json:"if"`
	Writes     []Write     `json:"writes"`
}

// TxnResponse is the response to a transaction: the revision, and the keys of failed conditions, if any.
type TxnResponse struct {
	Revision   uint64   `json:"edicao"`
	FailedKeys []string `json:"failed"`
}

// Lease is the body of a request to the key-value store to grant or renew one of its leases, and of the
// response. The leader key is attached to such a lease.
type Lease struct {
	TTLMillis int64  `json:"ttlMs,omitempty"`
	ID        uint64 `json:"arrendo,omitempty"`
}

// Put returns a write that sets a key to a value.
func Put(key string, value any) Write { return Write{PutKey: key, Value: Encode(value)} }

// Delete returns a write that deletes a key.
func Delete(key string) Write { return Write{DeleteKey: key} }

// Encode returns the JSON of a record. It panics on a value of a type that can't be encoded as JSON. No
// number makes it panic, see json.Marshal.
func Encode(record any) []byte {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return raw
}

// ListPath returns the path that lists up to limit keys with a prefix, beginning after afterKey or, if it
// is empty, with the first key.
func ListPath(prefix, afterKey string, limit int) string {
	path := "/store?under=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if afterKey != "" {
		path += "&since=" + url.QueryEscape(afterKey)
	}
	return path
}

// WatchPath returns the path that watches a prefix for changes after afterRevision, for up to waitMillis.
func WatchPath(prefix string, afterRevision uint64, waitMillis int64) string {
	return fmt.Sprintf("/follow?under=%s&since=%d&waitMs=%d", url.QueryEscape(prefix), afterRevision, waitMillis)
}
