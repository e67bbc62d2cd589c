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

// policyTestHost simulates a controller. It keeps the reads of the policy's record until the test
// responds to them.
type policyTestHost struct {
	now       clock.Instant
	allowed   bool
	responses []func(status int, body []byte)
}

func (h *policyTestHost) Now() clock.Instant { return h.now }

func (h *policyTestHost) ReadRecord(_ string, onResponse func(status int, body []byte)) {
	h.responses = append(h.responses, onResponse)
}

func (h *policyTestHost) PoliciesAllowed() bool { return h.allowed }

func (h *policyTestHost) SubmissionsPerSecond() float64 { return 10 }

// newTestFollower returns the policy follower of a node with epochs of 3.5 s, and the node's host.
func newTestFollower() (*PolicyFollower, *policyTestHost) {
	host := &policyTestHost{now: time.Hour, allowed: true}
	cluster := &config.Cluster{}
	cluster.Workers.LeaseS = 14
	cluster.Resources.MemoryMB = 1000
	return NewPolicyFollower(host, cluster, slog.New(slog.DiscardHandler)), host
}

// fullPolicy returns the record of a policy that admits every job.
func fullPolicy(revision uint64) storage.Item {
	policy := admission.Policy{Epoch: revision, EpochLengthMS: 3500, DefaultShare: admission.FullShare(admission.Group{})}
	return storage.Item{Key: storage.AdmissionPolicyKey, Value: storage.Encode(policy), ModRevision: revision}
}

// A node must read the record only if a peer knows a newer one, and only once for all callbacks.
// Otherwise a change of the policy causes a read per waiting submission.
func TestPolicyIsReadOnceForAll(t *testing.T) {
	follower, host := newTestFollower()
	if follower.NeedsRead() {
		t.Error("NeedsRead: got true, want false, because no peer knows an admission policy")
	}
	follower.RecordPeerRevision(5)
	if !follower.NeedsRead() {
		t.Error("NeedsRead: got false, want true, because a peer knows a newer policy record")
	}
	called := 0
	for range 3 {
		follower.Read(func() { called++ })
	}
	if len(host.responses) != 1 || follower.NeedsRead() {
		t.Fatalf("%d reads of the policy record were sent, want 1; NeedsRead: got %v, want false",
			len(host.responses), follower.NeedsRead())
	}
	host.responses[0](http.StatusOK, storage.Encode(fullPolicy(5)))
	if called != 3 || follower.RecordRevision != 5 || follower.Current == nil || follower.NeedsRead() {
		t.Errorf("%d callbacks called, want 3; record: got %+v, want a policy of revision 5; NeedsRead: got %v, want false",
			called, follower.PolicyRecord, follower.NeedsRead())
	}
}

// Responses can arrive out of order. A node must ignore an older record or removal, must mark an invalid
// record as such, and must drop the record after a newer removal.
func TestPolicyRecordsAreAppliedInOrder(t *testing.T) {
	follower, _ := newTestFollower()
	follower.ApplyRecord(fullPolicy(5))
	if follower.ApplyRecord(fullPolicy(4)); follower.RecordRevision != 5 {
		t.Errorf("record revision after an older record: got %d, want 5", follower.RecordRevision)
	}
	invalid := storage.Item{Key: storage.AdmissionPolicyKey, Value: []byte(`{}`), ModRevision: 6}
	if follower.ApplyRecord(invalid); !follower.Invalid || follower.Current != nil || follower.RecordRevision != 6 {
		t.Errorf("policy record: got %+v, want an invalid one of revision 6 without a policy", follower.PolicyRecord)
	}
	if follower.ApplyRemoval(5); !follower.Invalid {
		t.Error("a removal that is older than the record was applied")
	}
	if follower.ApplyRemoval(7); follower.PolicyRecord != (PolicyRecord{Revision: 7}) {
		t.Errorf("policy record after its removal: got %+v, want only revision 7", follower.PolicyRecord)
	}
}

// A leader must publish a policy after an epoch with more submissions than capacity, must ignore counts
// of another policy, and must remove the policy once policies are no longer allowed.
func TestPublisherFollowsTheLoad(t *testing.T) {
	follower, host := newTestFollower()
	state := cluster.New(cluster.Options{Clock: host, Config: follower.cluster, Settings: &config.Settings{},
		Log: follower.log})
	writer := storage.NewWriter(100, 1)
	publisher := NewPublisher(PublisherOptions{Host: host, Follower: follower, State: state, Writer: writer,
		Log: follower.log})
	if publisher.Tick(1); writer.PendingChanges() != 0 {
		t.Error("a policy was published before the first epoch had ended")
	}
	publisher.AddNodeLoad(protocol.AdmissionLoad{
		Groups: []protocol.GroupLoad{{Team: "t", Class: "c", RejectedForCapacity: 9000}}})
	publisher.AddNodeLoad(protocol.AdmissionLoad{PolicyRevision: 3,
		Groups: []protocol.GroupLoad{{Team: "late", RejectedForCapacity: 1}}})
	if len(publisher.EpochLoads) != 1 {
		t.Errorf("%d groups have loads, want 1: the group of team \"late\" was counted under another policy",
			len(publisher.EpochLoads))
	}
	host.now += follower.EpochLength()
	publisher.Tick(1)
	if txn := writer.NextTxn(100); txn == nil {
		t.Fatal("no policy was published after an epoch of overload")
	}
	writer.CompleteInFlight(8)
	if follower.RecordRevision != 8 || follower.Current == nil {
		t.Errorf("the leader's own node has %+v, want the policy with revision 8", follower.PolicyRecord)
	}
	host.allowed = false
	host.now += follower.EpochLength()
	publisher.Tick(8)
	if txn := writer.NextTxn(100); txn == nil {
		t.Fatal("the policy was not removed although policies are no longer allowed")
	}
	writer.CompleteInFlight(9)
	if follower.RecordRevision != 0 || follower.Revision != 9 || len(host.responses) != 1 {
		t.Errorf("after the policy's removal: follower has %+v, want Revision 9 and RecordRevision 0; "+
			"got %d reads of the record, want 1",
			follower.PolicyRecord, len(host.responses))
	}
}
