package admissioncontrol

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// policyTestHost is a controller that keeps the reads of the policy's record until the test answers
// them.
type policyTestHost struct {
	now        clock.Instant
	allowed    bool
	onResponse []func(status int, body []byte)
}

func (h *policyTestHost) Now() clock.Instant { return h.now }

func (h *policyTestHost) ReadRecord(_ string, onResponse func(status int, body []byte)) {
	h.onResponse = append(h.onResponse, onResponse)
}

func (h *policyTestHost) PoliciesAllowed() bool { return h.allowed }

func (h *policyTestHost) SubmissionsPerSecond() float64 { return 10 }

// newTestFollower returns the policy follower of a node.
func newTestFollower() (*PolicyFollower, *policyTestHost) {
	host := &policyTestHost{now: time.Hour, allowed: true}
	cluster := &config.Cluster{}
	cluster.Workers.LeaseS = 14
	cluster.Resources.MemoryMB = 1000
	return NewPolicyFollower(host, cluster, slog.New(slog.DiscardHandler)), host
}

// fullPolicy is a record of a policy that admits every job.
func fullPolicy(revision uint64) storage.Item {
	policy := admission.Policy{Epoch: revision, EpochLengthMS: 3500, DefaultShare: admission.FullShare(admission.Group{})}
	return storage.Item{Key: storage.AdmissionPolicyKey, Value: storage.Encode(policy), ModRevision: revision}
}

// The record is read once for all that wait for it, and only while a peer knows a newer one.
func TestPolicyIsReadOnceForAll(t *testing.T) {
	follower, host := newTestFollower()
	if follower.NeedsRead() {
		t.Error("reads a record that no peer knows")
	}
	follower.RecordPeerRevision(5)
	if !follower.NeedsRead() {
		t.Error("a newer record is not read")
	}
	called := 0
	for range 3 {
		follower.Read(func() { called++ })
	}
	if len(host.onResponse) != 1 || follower.NeedsRead() {
		t.Fatalf("%d reads", len(host.onResponse))
	}
	host.onResponse[0](http.StatusOK, storage.Encode(fullPolicy(5)))
	if called != 3 || follower.Version != 5 || follower.Current == nil || follower.NeedsRead() {
		t.Errorf("%d callbacks, %+v", called, follower.PolicyRecord)
	}
}

// An older record changes nothing, an invalid one stops admission, and a removal ends both.
func TestPolicyRecordsAreAppliedInOrder(t *testing.T) {
	follower, _ := newTestFollower()
	follower.ApplyRecord(fullPolicy(5))
	if follower.ApplyRecord(fullPolicy(4)); follower.Version != 5 {
		t.Errorf("version %d", follower.Version)
	}
	invalid := storage.Item{Key: storage.AdmissionPolicyKey, Value: []byte(`{}`), ModRevision: 6}
	if follower.ApplyRecord(invalid); !follower.Invalid || follower.Current != nil || follower.Version != 6 {
		t.Errorf("invalid: %+v", follower.PolicyRecord)
	}
	if follower.NoteRemoved(5); !follower.Invalid {
		t.Error("an older removal is applied")
	}
	if follower.NoteRemoved(7); follower.PolicyRecord != (PolicyRecord{Revision: 7}) {
		t.Errorf("removed: %+v", follower.PolicyRecord)
	}
}

// A leader publishes a policy after an epoch with more submissions than capacity, and removes it
// once policies are no longer allowed.
func TestPublisherFollowsTheLoad(t *testing.T) {
	follower, host := newTestFollower()
	state := cluster.New(cluster.Options{Clock: host, Config: follower.cluster, Settings: &config.Settings{}, Log: follower.log})
	writer := storage.NewWriter(100, 1)
	publisher := NewPublisher(PublisherOptions{Host: host, Follower: follower, State: state, Writer: writer, Log: follower.log})
	if publisher.Tick(1); writer.PendingChanges() != 0 {
		t.Error("published before the epoch was over")
	}
	publisher.AddNodeLoad(protocol.AdmissionLoad{Groups: []protocol.GroupLoad{{Team: "t", Class: "c", RejectedForCapacity: 9000}}})
	publisher.AddNodeLoad(protocol.AdmissionLoad{PolicyRevision: 3, Groups: []protocol.GroupLoad{{Team: "late", RejectedForCapacity: 1}}})
	if len(publisher.EpochLoads) != 1 {
		t.Errorf("%d groups count, one of them under another policy", len(publisher.EpochLoads))
	}
	host.now += follower.EpochLength()
	publisher.Tick(1)
	if txn := writer.NextTxn(100); txn == nil {
		t.Fatal("no policy is published")
	}
	writer.CompleteInFlight(8)
	if follower.Version != 8 || follower.Current == nil {
		t.Errorf("the leader's own node follows %+v", follower.PolicyRecord)
	}
	host.allowed = false
	host.now += follower.EpochLength()
	publisher.Tick(8)
	if txn := writer.NextTxn(100); txn == nil {
		t.Fatal("the policy is not removed")
	}
	writer.CompleteInFlight(9)
	if follower.Version != 0 || follower.Revision != 9 || len(host.onResponse) != 1 {
		t.Errorf("after the removal: %+v, %d reads", follower.PolicyRecord, len(host.onResponse))
	}
}
