package autoscaler

import (
	"log/slog"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// fakeCloudRequest is a request to the cloud that has no response yet.
type fakeCloudRequest struct {
	method, path string
	body         any
	onResponse   func(protocol.CloudResponse)
}

// fakeAutoscalerHost implements all dependencies of an autoscaler. It records the requests and changes
// of the autoscaler.
type fakeAutoscalerHost struct {
	now   clock.Instant
	state *cluster.State

	requestBudget int                // number of requests to the cloud that are left
	requests      []fakeCloudRequest // requests that wait for a response
	changes       []storage.Change   // changes that wait to be written
	allowed       int                // number of operations that each call of AllowedOperations allows
	refunded      int                // number of operations refunded to the recovery budget
}

// newFakeAutoscaler returns an autoscaler with a fake host whose budgets allow 100 requests and
// operations.
func newFakeAutoscaler(t *testing.T) (*Autoscaler, *fakeAutoscalerHost) {
	t.Helper()
	host := &fakeAutoscalerHost{requestBudget: 100, allowed: 100}
	settings := config.Defaults()
	platform := &config.Cluster{}
	platform.Workers.LeaseS, platform.Workers.HeartbeatIntervalS = 16, 4
	platform.Cloud.ListLagS = 10
	c4 := &protocol.MachineType{Name: "c4", Cores: 4, MemoryGB: 16, PullGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1,
		BootSeconds: 5, Zones: []string{"a"}}
	host.state = cluster.New(cluster.Options{Clock: host, Config: platform, Settings: &settings, Log: slog.New(slog.DiscardHandler),
		Catalog: map[string]*protocol.MachineType{"c4": c4}})
	return New(Options{State: host.state, Term: 7, Cloud: host, Records: host, Recovery: host,
		Machines: host, Jobs: host, WallClock: host, Store: host}), host
}

// applyChanges applies the changes that wait to be written, and returns the writes.
func (h *fakeAutoscalerHost) applyChanges() []storage.Write {
	var writes []storage.Write
	changes := h.changes
	h.changes = nil
	for _, change := range changes {
		writes = append(writes, change.BuildWrites()...)
		if change.OnApplied != nil {
			change.OnApplied()
		}
	}
	return writes
}

// answer responds to the only request that waits, and returns the request.
func (h *fakeAutoscalerHost) answer(t *testing.T, status int, body any) fakeCloudRequest {
	t.Helper()
	if len(h.requests) != 1 {
		t.Fatalf("requests to the cloud that wait for a response: got %d, want 1", len(h.requests))
	}
	request := h.requests[0]
	h.requests = nil
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	request.onResponse(protocol.CloudResponse{Status: status, Body: encoded})
	return request
}

func (h *fakeAutoscalerHost) Now() clock.Instant { return h.now }

func (h *fakeAutoscalerHost) TakeRequest() bool {
	if h.requestBudget == 0 {
		return false
	}
	h.requestBudget--
	return true
}

func (h *fakeAutoscalerHost) ReturnRequest() { h.requestBudget++ }

func (h *fakeAutoscalerHost) Send(method, path string, body any, _ time.Duration, onResponse func(protocol.CloudResponse)) {
	h.requests = append(h.requests, fakeCloudRequest{method, path, body, onResponse})
}

func (h *fakeAutoscalerHost) Enqueue(_ storage.Priority, change storage.Change) {
	h.changes = append(h.changes, change)
}

func (h *fakeAutoscalerHost) SetModRevision(string, uint64) {}

func (h *fakeAutoscalerHost) PendingChanges() int { return len(h.changes) }

func (h *fakeAutoscalerHost) Limited() bool { return false }

func (h *fakeAutoscalerHost) MayScaleOut() bool { return true }

func (h *fakeAutoscalerHost) MayScaleIn() bool { return true }

func (h *fakeAutoscalerHost) MayReturnUnresponsive(_ *cluster.Machine, silence time.Duration) bool {
	return silence > 10*time.Second
}

func (h *fakeAutoscalerHost) AllowedOperations(_ recovery.Operation, count int) int {
	return min(count, h.allowed)
}

func (h *fakeAutoscalerHost) RefundOperations(_ recovery.Operation, count int) { h.refunded += count }

func (h *fakeAutoscalerHost) AddRentedMachine(name string, request *protocol.RentalRequest) {
	h.state.NewMachine(name, request.Type, request.Zone, request.Spot)
}

func (h *fakeAutoscalerHost) AddListedMachine(host protocol.Host) *cluster.Machine {
	return h.state.NewMachine(host.Name, host.Type, host.Zone, host.Spot)
}

func (h *fakeAutoscalerHost) RemoveMachine(m *cluster.Machine) { h.state.DeleteMachine(m) }

func (h *fakeAutoscalerHost) PendingJobs() []*cluster.Job { return nil }

func (h *fakeAutoscalerHost) MayRunUnreported(*cluster.Job, *cluster.MachineTotals) bool {
	return false
}

func (h *fakeAutoscalerHost) SoonReleasedDependents(*cluster.Job, time.Duration) []*cluster.Job {
	return nil
}

func (h *fakeAutoscalerHost) ReleaseUndelivered() {}

func (h *fakeAutoscalerHost) NowUnixMilli() int64 { return h.now.Milliseconds() }

func (h *fakeAutoscalerHost) InstantFromUnixMilli(milliseconds int64) clock.Instant {
	return time.Duration(milliseconds) * time.Millisecond
}

func (h *fakeAutoscalerHost) StoreFailing() bool { return false }

// addMachine adds a spot machine that is up and has just sent a heartbeat.
func (h *fakeAutoscalerHost) addMachine(name string) *cluster.Machine {
	m := h.state.NewMachine(name, "c4", "a", true)
	m.Up, m.LastHeartbeat = true, h.now
	return m
}

// spotC4 is an offering in the catalog of newFakeAutoscaler.
var spotC4 = fleet.Offering{Type: "c4", Zone: "a", Spot: true}
