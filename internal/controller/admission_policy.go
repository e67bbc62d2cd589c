package controller

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

// policyFollower is the part of admission that every node has: it follows the policy's record in
// the key-value store and counts the submissions that are rejected in each epoch.
type policyFollower struct {
	policyRecord
	rejections rejectionCounts

	host                 policyHost
	cluster              *config.Cluster
	log                  *slog.Logger
	latestPeerRevision   uint64 // latest change of the record that a peer knows
	reading              bool
	readCallbacks        []func() // called once the record is read
	loggedInvalidVersion uint64   // the invalid version that was logged last
}

// policyRecord is the admission policy's record as this node knows it.
type policyRecord struct {
	current    *admission.Policy // nil: there is no record, or it is invalid
	version    uint64            // of the record; 0: there is none
	revision   uint64            // of the last known change of the record, its removal included
	knownSince clock.Instant     // when this node learnt of it; the epoch began no later
	invalid    bool              // the record can't be decoded, so no submission is admitted
}

// policyHost is what following the policy needs from the controller.
type policyHost interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// ReadRecord reads a record of the key-value store and passes on the status and body of the
	// response. Status 0 means that there was none.
	ReadRecord(key string, onResponse func(status int, body []byte))
}

// newPolicyFollower returns the state of a node that has not read the record yet.
func newPolicyFollower(host policyHost, cluster *config.Cluster, log *slog.Logger) *policyFollower {
	return &policyFollower{rejections: newRejectionCounts(), host: host, cluster: cluster, log: log}
}

// admissionGroup is the admission group that a job belongs to.
func admissionGroup(spec *protocol.Job) admission.Group {
	return admission.Group{Team: spec.Team, Class: spec.Class, PriorityRank: spec.PriorityRank()}
}

// epochsPerLease is the number of epochs in a worker lease.
const epochsPerLease = 4

// epochLength is how long a policy is in force.
func (f *policyFollower) epochLength() time.Duration {
	return (config.Seconds(f.cluster.Workers.LeaseS) / epochsPerLease).Truncate(time.Millisecond)
}

// Bounds of the waiting time that follows from a policy, so that no record overflows a duration.
const (
	maxEpochsAhead = 1 << 16
	maxEpochMS     = 3_600_000
)

// retryAfterSeconds is the number of seconds until the policy admits a job.
func (f *policyFollower) retryAfterSeconds(verdict admission.Verdict) int {
	epochs := time.Duration(min(verdict.EpochsToTurn, maxEpochsAhead))
	epochLength := time.Duration(min(f.current.EpochLengthMS, maxEpochMS)) * time.Millisecond
	turn := f.knownSince + epochs*epochLength
	return max(1, int((turn-f.host.Now()+time.Second-1)/time.Second))
}

// countByPolicy counts a submission that the policy does not admit yet.
func (f *policyFollower) countByPolicy(group admission.Group) { f.rejections.countByPolicy(group) }

// countForCapacity counts an admitted job that this node can't write in time. Jobs that another
// policy admitted say nothing about this epoch.
func (f *policyFollower) countForCapacity(spec *protocol.Job, admittedByVersion uint64) {
	if admittedByVersion == f.version {
		f.rejections.countForCapacity(admissionGroup(spec), spec.ID)
	}
}

// startEpochWithoutPolicy starts another epoch of the rejected jobs when one is over. While there
// is a policy, each of its versions starts an epoch.
func (f *policyFollower) startEpochWithoutPolicy() {
	now := f.host.Now()
	if f.version == 0 && now >= f.rejections.epochStartedAt+f.epochLength() {
		f.rejections.forgetJobs(now)
	}
}

// takeLoadReport returns the report of the submissions rejected since the last one, or false if
// none is due.
func (f *policyFollower) takeLoadReport(interval time.Duration) (report protocol.AdmissionLoad, due bool) {
	groups := f.rejections.takeReport(f.host.Now(), interval)
	return protocol.AdmissionLoad{PolicyRevision: f.version, Groups: groups}, groups != nil
}

// recordPeerRevision records the latest change of the record that a peer knows.
func (f *policyFollower) recordPeerRevision(revision uint64) {
	f.latestPeerRevision = max(f.latestPeerRevision, revision)
}

// needsRead reports whether some peer knows a newer change of the record and no read is in flight.
func (f *policyFollower) needsRead() bool {
	return f.latestPeerRevision > f.revision && !f.reading
}

// read reads the record and then calls onRead, which may be nil, and all other callbacks that wait
// for it.
func (f *policyFollower) read(onRead func()) {
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
func (f *policyFollower) onReadResponse(status int, body []byte) {
	f.reading = false
	var item storage.Item
	var notFound storage.TxnResponse
	switch {
	case status == http.StatusOK && json.Unmarshal(body, &item) == nil:
		f.applyRecord(item)
	case status == http.StatusNotFound && json.Unmarshal(body, &notFound) == nil:
		f.noteRemoved(notFound.Revision)
	}
	callbacks := f.readCallbacks
	f.readCallbacks = nil
	for _, callback := range callbacks {
		callback()
	}
}

// applyRecord applies the record as it was read or written, unless it is older than the one known.
func (f *policyFollower) applyRecord(item storage.Item) {
	if item.ModRevision < f.revision {
		return // a delayed response with an older version
	}
	if item.ModRevision == f.version {
		return
	}
	now := f.host.Now()
	f.policyRecord = policyRecord{version: item.ModRevision, revision: item.ModRevision, knownSince: now}
	f.rejections.reset(now)
	policy := &admission.Policy{}
	err := json.Unmarshal(item.Value, policy)
	if err == nil {
		err = policy.Validate()
	}
	if err != nil {
		f.invalid = true
		f.logInvalid(err)
		return
	}
	f.current = policy
}

// logInvalid logs an invalid version of the record once.
func (f *policyFollower) logInvalid(err error) {
	if f.loggedInvalidVersion == f.version {
		return
	}
	f.loggedInvalidVersion = f.version
	f.log.Error("admission policy invalid, rejecting submissions", "version", f.version, "error", err)
}

// noteRemoved records that there was no policy at a revision of the key-value store.
func (f *policyFollower) noteRemoved(revision uint64) {
	if revision < f.revision {
		return
	}
	if f.current != nil || f.invalid {
		f.log.Info("admission policy removed")
	}
	if f.version != 0 {
		f.rejections.reset(f.host.Now())
	}
	f.policyRecord = policyRecord{revision: revision}
}
