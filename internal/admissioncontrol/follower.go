// Package admissioncontrol holds a controller's view of the admission policy record and its counts
// of rejected submissions, and publishes the policy of each epoch as the leader. The policies
// themselves are made by package admission. It does no I/O.
package admissioncontrol

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// PolicyFollower is the part of admission that every node has: it follows the policy's record in
// the key-value store and counts the submissions that are rejected in each epoch.
type PolicyFollower struct {
	PolicyRecord
	rejections rejectionCounts

	host                 PolicyHost
	cluster              *config.Cluster
	log                  *slog.Logger
	latestPeerRevision   uint64 // latest change of the record that a peer knows
	reading              bool
	readCallbacks        []func() // called once the record is read
	loggedInvalidVersion uint64   // the invalid version that was logged last
}

// PolicyRecord is the admission policy's record as this node knows it.
type PolicyRecord struct {
	Current    *admission.Policy // nil: there is no record, or it is invalid
	Version    uint64            // of the record; 0: there is none
	Revision   uint64            // of the last known change of the record, its removal included
	KnownSince clock.Instant     // when this node learnt of it; the epoch began no later
	Invalid    bool              // the record can't be decoded, so no submission is admitted
}

// PolicyHost is what following the policy needs from the controller.
type PolicyHost interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// ReadRecord reads a record of the key-value store and passes on the status and body of the
	// response. Status 0 means that there was none.
	ReadRecord(key string, onResponse func(status int, body []byte))
}

// NewPolicyFollower returns the state of a node that has not read the record yet.
func NewPolicyFollower(host PolicyHost, cluster *config.Cluster, log *slog.Logger) *PolicyFollower {
	return &PolicyFollower{rejections: newRejectionCounts(), host: host, cluster: cluster, log: log}
}

// GroupOf returns the admission group that a job belongs to.
func GroupOf(spec *protocol.Job) admission.Group {
	return admission.Group{Team: spec.Team, Class: spec.Class, PriorityRank: spec.PriorityRank()}
}

// epochsPerLease is the number of epochs in a worker lease.
const epochsPerLease = 4

// EpochLength returns how long a policy is in force.
func (f *PolicyFollower) EpochLength() time.Duration {
	return (f.cluster.WorkerLease() / epochsPerLease).Truncate(time.Millisecond)
}

// Bounds of the waiting time that follows from a policy, so that no record overflows a duration.
const (
	maxEpochsAhead = 1 << 16
	maxEpochMS     = 3_600_000
)

// RetryAfterSeconds returns the number of seconds until the policy admits a job.
func (f *PolicyFollower) RetryAfterSeconds(verdict admission.Verdict) int {
	epochs := time.Duration(min(verdict.EpochsToTurn, maxEpochsAhead))
	epochLength := time.Duration(min(f.Current.EpochLengthMS, maxEpochMS)) * time.Millisecond
	admittedAt := f.KnownSince + epochs*epochLength
	return max(1, int((admittedAt-f.host.Now()+time.Second-1)/time.Second))
}

// CountByPolicy counts a submission that the policy does not admit yet.
func (f *PolicyFollower) CountByPolicy(group admission.Group) {
	f.rejections.countPolicyRejection(group)
}

// CountForCapacity counts an admitted job that this node can't write in time. Jobs that another
// policy admitted say nothing about this epoch.
func (f *PolicyFollower) CountForCapacity(spec *protocol.Job, admittedByVersion uint64) {
	if admittedByVersion == f.Version {
		f.rejections.countCapacityRejection(GroupOf(spec), spec.ID)
	}
}

// StartEpochWithoutPolicy starts another epoch of the rejected jobs when one is over. While there
// is a policy, each of its versions starts an epoch.
func (f *PolicyFollower) StartEpochWithoutPolicy() {
	now := f.host.Now()
	if f.Version == 0 && now >= f.rejections.epochStartedAt+f.EpochLength() {
		f.rejections.startEpoch(now)
	}
}

// TakeLoadReport returns the report of the submissions rejected since the last one, or false if
// none is due.
func (f *PolicyFollower) TakeLoadReport(interval time.Duration) (report protocol.AdmissionLoad, due bool) {
	groups := f.rejections.takeReport(f.host.Now(), interval)
	return protocol.AdmissionLoad{PolicyRevision: f.Version, Groups: groups}, groups != nil
}

// RecordPeerRevision records the latest change of the record that a peer knows.
func (f *PolicyFollower) RecordPeerRevision(revision uint64) {
	f.latestPeerRevision = max(f.latestPeerRevision, revision)
}

// NeedsRead reports whether some peer knows a newer change of the record and no read is in flight.
func (f *PolicyFollower) NeedsRead() bool {
	return f.latestPeerRevision > f.Revision && !f.reading
}

// Read reads the record and then calls onRead, which may be nil, and all other callbacks that wait
// for it.
func (f *PolicyFollower) Read(onRead func()) {
	if onRead != nil {
		f.readCallbacks = append(f.readCallbacks, onRead)
	}
	if f.reading {
		return
	}
	f.reading = true
	f.host.ReadRecord(storage.AdmissionPolicyKey, f.onReadResponse)
}

// onReadResponse applies the response to a read of the record.
func (f *PolicyFollower) onReadResponse(status int, body []byte) {
	f.reading = false
	var item storage.Item
	var notFound storage.TxnResponse
	switch {
	case status == http.StatusOK && json.Unmarshal(body, &item) == nil:
		f.ApplyRecord(item)
	case status == http.StatusNotFound && json.Unmarshal(body, &notFound) == nil:
		f.NoteRemoved(notFound.Revision)
	}
	callbacks := f.readCallbacks
	f.readCallbacks = nil
	for _, callback := range callbacks {
		callback()
	}
}

// ApplyRecord applies the record as it was read or written, unless it is older than the one known.
func (f *PolicyFollower) ApplyRecord(item storage.Item) {
	if item.ModRevision < f.Revision {
		return // a delayed response with an older version
	}
	if item.ModRevision == f.Version {
		return
	}
	now := f.host.Now()
	f.PolicyRecord = PolicyRecord{Version: item.ModRevision, Revision: item.ModRevision, KnownSince: now}
	f.rejections.reset(now)
	policy := &admission.Policy{}
	err := json.Unmarshal(item.Value, policy)
	if err == nil {
		err = policy.Validate()
	}
	if err != nil {
		f.Invalid = true
		f.logInvalid(err)
		return
	}
	f.Current = policy
}

// logInvalid logs an invalid version of the record once.
func (f *PolicyFollower) logInvalid(err error) {
	if f.loggedInvalidVersion == f.Version {
		return
	}
	f.loggedInvalidVersion = f.Version
	f.log.Error("admission policy invalid, rejecting submissions", "version", f.Version, "error", err)
}

// NoteRemoved records that there was no policy at a revision of the key-value store.
func (f *PolicyFollower) NoteRemoved(revision uint64) {
	if revision < f.Revision {
		return
	}
	if f.Current != nil || f.Invalid {
		f.log.Info("admission policy removed")
	}
	if f.Version != 0 {
		f.rejections.reset(f.host.Now())
	}
	f.PolicyRecord = PolicyRecord{Revision: revision}
}
