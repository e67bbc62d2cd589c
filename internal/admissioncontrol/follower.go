// Package admissioncontrol holds a controller's copy of the admission policy record and its counts of
// rejected submissions. On the leader it also publishes the policy of each epoch, which package
// admission computes. The package does no I/O.
package admissioncontrol

import (
	"log/slog"
	"net/http"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// PolicyFollower tracks the record of the admission policy in the key-value store and counts the submissions that
// this node rejects in each epoch. Every node has one.
type PolicyFollower struct {
	PolicyRecord
	rejections rejectionCounts

	host                  PolicyHost
	cluster               *config.Cluster
	log                   *slog.Logger
	latestPeerRevision    uint64   // revision of the latest change of the record that a peer knows
	reading               bool     // a read of the record is in flight
	readCallbacks         []func() // called once the read in flight has ended, even if it failed
	loggedInvalidRevision uint64   // revision of the invalid record that was logged last
}

// PolicyRecord is the admission policy's record as this node knows it.
type PolicyRecord struct {
	Current        *admission.Policy // nil if there is no record or it is invalid
	RecordRevision uint64            // revision of the record's last write; 0 if there is no record
	Revision       uint64            // revision of the last known change of the record, including its removal
	KnownSince     clock.Instant     // when this node learnt of the record; the epoch began no later
	Invalid        bool              // the record can't be decoded or validated, so no submission is admitted
}

// PolicyHost is the interface through which a PolicyFollower uses its controller.
type PolicyHost interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// ReadRecord reads a record of the key-value store and passes the HTTP status and the body of the
	// response to onResponse. Status 0 means that no usable response arrived.
	ReadRecord(key string, onResponse func(status int, body []byte))
}

// NewPolicyFollower returns the PolicyFollower of a node that has not read the record yet.
func NewPolicyFollower(host PolicyHost, cluster *config.Cluster, log *slog.Logger) *PolicyFollower {
	return &PolicyFollower{rejections: newRejectionCounts(), host: host, cluster: cluster, log: log}
}

// GroupOf returns the admission group that a job belongs to.
func GroupOf(spec *protocol.Job) admission.Group {
	return admission.Group{Team: spec.Team, Class: spec.Class, PriorityRank: spec.PriorityRank()}
}

// epochsPerLease is the number of epochs per worker lease.
const epochsPerLease = 4

// EpochLength returns the length of an epoch, for which a policy is in force. It is a whole number of
// milliseconds.
func (f *PolicyFollower) EpochLength() time.Duration {
	return (f.cluster.WorkerLease() / epochsPerLease).Truncate(time.Millisecond)
}

// These limits keep RetryAfterSeconds from overflowing a duration, whatever values a policy record holds.
const (
	maxEpochsAhead = 1 << 16
	maxEpochMS     = 3_600_000 // an hour
)

// RetryAfterSeconds returns the number of seconds until the policy admits the job that got verdict, at
// least 1. There must be a current policy.
func (f *PolicyFollower) RetryAfterSeconds(verdict admission.Verdict) int {
	epochs := time.Duration(min(verdict.EpochsUntilAdmitted, maxEpochsAhead))
	epochLength := time.Duration(min(f.Current.EpochLengthMS, maxEpochMS)) * time.Millisecond
	admittedAt := f.KnownSince + epochs*epochLength
	return max(1, int((admittedAt-f.host.Now()+time.Second-1)/time.Second))
}

// CountPolicyRejection counts a submission that this node rejects because the policy does not admit it yet.
func (f *PolicyFollower) CountPolicyRejection(group admission.Group) {
	f.rejections.countPolicyRejection(group)
}

// CountCapacityRejection counts a job that the policy admits but that this node can't write in time.
// admittedByRevision is the revision of the policy record that admitted the job. Jobs that another
// revision admitted are not counted, because they say nothing about the load of this epoch.
func (f *PolicyFollower) CountCapacityRejection(spec *protocol.Job, admittedByRevision uint64) {
	if admittedByRevision == f.RecordRevision {
		f.rejections.countCapacityRejection(GroupOf(spec), spec.ID)
	}
}

// StartEpochWithoutPolicy starts another epoch of the rejection counts if there is no policy record and
// the length of an epoch has passed. While there is a record, each new revision starts an epoch instead.
func (f *PolicyFollower) StartEpochWithoutPolicy() {
	now := f.host.Now()
	if f.RecordRevision == 0 && now >= f.rejections.epochStartedAt+f.EpochLength() {
		f.rejections.startEpoch(now)
	}
}

// TakeLoadReport returns a report to the leader of the submissions rejected since the last report. due is false if
// there were none, or if the last report is more recent than interval.
func (f *PolicyFollower) TakeLoadReport(interval time.Duration) (report protocol.AdmissionLoad, due bool) {
	groups := f.rejections.takeReport(f.host.Now(), interval)
	return protocol.AdmissionLoad{PolicyRevision: f.RecordRevision, Groups: groups}, groups != nil
}

// RecordPeerRevision records the revision of the latest change of the policy's record that a peer
// announces.
func (f *PolicyFollower) RecordPeerRevision(revision uint64) {
	f.latestPeerRevision = max(f.latestPeerRevision, revision)
}

// NeedsRead reports whether a peer knows a newer change of the policy's record than this node does, and
// no read of the record is in flight.
func (f *PolicyFollower) NeedsRead() bool {
	return f.latestPeerRevision > f.Revision && !f.reading
}

// Read starts a read of the record unless one is in flight. onRead, which may be nil, is called after
// the response, even if the read failed.
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

// onReadResponse applies the response to a read of the record and calls all waiting callbacks.
func (f *PolicyFollower) onReadResponse(status int, body []byte) {
	f.reading = false
	var item storage.Item
	var notFound storage.TxnResponse
	switch {
	case status == http.StatusOK && json.Unmarshal(body, &item) == nil:
		f.ApplyRecord(item)
	case status == http.StatusNotFound && json.Unmarshal(body, &notFound) == nil:
		f.ApplyRemoval(notFound.Revision)
	}
	callbacks := f.readCallbacks
	f.readCallbacks = nil
	for _, callback := range callbacks {
		callback()
	}
}

// ApplyRecord applies the policy's record after a read or a write, unless this node knows the same
// revision or a newer change.
func (f *PolicyFollower) ApplyRecord(item storage.Item) {
	if item.ModRevision < f.Revision {
		return // a delayed response with an older revision
	}
	if item.ModRevision == f.RecordRevision {
		return
	}
	now := f.host.Now()
	f.PolicyRecord = PolicyRecord{RecordRevision: item.ModRevision, Revision: item.ModRevision, KnownSince: now}
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

// logInvalid logs an error about the current revision of the record, once per revision.
func (f *PolicyFollower) logInvalid(err error) {
	if f.loggedInvalidRevision == f.RecordRevision {
		return
	}
	f.loggedInvalidRevision = f.RecordRevision
	f.log.Error("admission policy invalid, rejecting submissions", "version", f.RecordRevision, "error", err)
}

// ApplyRemoval records that there was no policy at a revision of the key-value store, unless this node
// knows of a newer change.
func (f *PolicyFollower) ApplyRemoval(revision uint64) {
	if revision < f.Revision {
		return
	}
	if f.Current != nil || f.Invalid {
		f.log.Info("admission policy removed")
	}
	if f.RecordRevision != 0 {
		f.rejections.reset(f.host.Now())
	}
	f.PolicyRecord = PolicyRecord{Revision: revision}
}
