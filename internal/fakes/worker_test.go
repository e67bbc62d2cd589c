package fakes

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Guards against a task that starts on a machine which is removed while a response is on its way to it: such a task
// never ends, so that a fault test reports it as running twice, and after its cancellation.
func TestRemovedMachineStartsNoTask(t *testing.T) {
	fleet, err := NewFleet(FleetSettings{HeartbeatInterval: 10 * time.Millisecond, LeaseDuration: time.Minute,
		BootTime: time.Millisecond, TaskRunTime: time.Hour, MaxMachines: 1, InitialMachines: 1})
	if err != nil {
		t.Fatal(err)
	}
	responded := make(chan struct{})
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fleet.PreemptMachine("m-000001")
		w.Write(storage.Encode(protocol.HeartbeatResponse{FencingToken: 1, Commands: []protocol.Command{
			{Kind: protocol.CommandStart, TaskID: "j-1/0", Attempt: 1}}}))
		close(responded)
	}))
	defer controller.Close()
	fleet.SetNodes(map[string]string{"n0": controller.Listener.Addr().String()})
	<-responded
	fleet.workerLoops.Wait()
	if starts, running := fleet.StartCounts(), fleet.RunningTasks(); len(starts) > 0 || running > 0 {
		t.Errorf("removed machine: got starts %v and %d running tasks, want none", starts, running)
	}
	fleet.Close()
}
