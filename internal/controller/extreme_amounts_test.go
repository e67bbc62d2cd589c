package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// extremeSubmission returns the body of a submission of eight tasks in which every amount without an effect
// on where a task fits has the given value.
func extremeSubmission(id, amount string) string {
	return fmt.Sprintf(`{"uid":%q,"lote":"c","dono":"free","feitio":"batch","vez":"low","pecas":8,"cores":1,
		"accelerators":0,"ramGb":1,"molde":"i-%s","pullGb":%[3]s,"samePlace":false,"apart":false,"avulsas":true,
		"previstoS":%[3]s,"marcoS":%[3]s,"guardaS":%[3]s,"prazoS":%[3]s}`, id, id, amount)
}

// slowDownOneMachine delays the tasks of the first machine that runs some, and returns its name.
func (sim *simulation) slowDownOneMachine() string {
	for _, worker := range sim.sortedWorkers() {
		if len(worker.tasks) == 0 {
			continue
		}
		for _, task := range worker.tasks {
			task.endsAt += time.Hour
		}
		return worker.name
	}
	sim.t.Fatal("no machine runs a task, want one to slow down")
	return ""
}

// requestPages requests every page of every node, and reports a page that is not served.
func (sim *simulation) requestPages(jobID string) {
	sim.t.Helper()
	for _, name := range sim.names {
		for _, request := range []Request{{Kind: protocol.RequestStatus}, {Kind: protocol.RequestMetrics},
			{Kind: protocol.RequestAdmission, JobID: jobID}, {Kind: protocol.RequestLinks}, {Kind: protocol.RequestRecovery}} {
			if reply := sim.requestAndWait(name, request); reply.Status != 200 {
				sim.t.Errorf("%s: page %s: got status %d, want 200", name, request.Kind, reply.Status)
			}
		}
	}
}

// An amount without an upper limit in the protocol must not end the process. A checkpoint time of 1.8e308 s
// once made every leader panic that moved a task off a slow machine, because twice that time is infinite and
// JSON can't hold it. The same holds for amounts that an earlier version has stored: the jobs are submitted
// or already stored, one machine is slow, all pages are read, and every job is completed.
func TestExtremeAmountsAreServed(t *testing.T) {
	for _, amount := range []string{"1.7976931348623157e308", "1e300", "9.3e9", "4.9e-324", "0"} {
		for _, stored := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s stored %t", amount, stored), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, 3)
				leaderNode := sim.waitForLeader()
				sim.startMachines(3)
				sim.taskDuration = func(string, int) time.Duration { return 5 * time.Second }
				body := extremeSubmission("j-extreme", amount)
				if stored {
					sim.storeEarlierRecords(body)
				}
				job, err := protocol.ParseJob([]byte(body))
				if err != nil {
					t.Fatal(err)
				}
				if reply := sim.submit(leaderNode.name, *job); reply.Status > 201 {
					t.Fatalf("submission: got status %d, want 200 or 201", reply.Status)
				}
				if !sim.advanceUntil(time.Minute, func() bool { return sim.activeTaskCount("j-extreme") >= 4 }) {
					t.Fatalf("%d tasks run after a minute, want at least 4", sim.activeTaskCount("j-extreme"))
				}
				sim.submit(sim.leaderName(), jobSpec("j-ordinary", 16))
				sim.advance(3 * time.Second)
				sim.slowDownOneMachine()
				for range 10 {
					sim.advance(2 * time.Second)
					sim.requestPages("j-extreme")
				}
				sim.crashNode(sim.leaderName())
				sim.waitForLeader()
				for _, id := range []string{"j-ordinary", "j-extreme"} {
					sim.waitForJobState(id, protocol.JobDone, 3*time.Minute)
				}
			})
		}
	}
}

// storeEarlierRecords stores a job and a forecast as an earlier version would, without limits of amounts and
// times, and restarts all nodes.
func (sim *simulation) storeEarlierRecords(submission string) {
	sim.store.overwriteValue(storage.JobKey("j-extreme"), `{"spec":`+submission+`,"at":9223372036854775807}`)
	sim.store.overwriteValue(storage.ArrivalForecastKey, `{"at":-9223372036854775808,"over":-1e308,"classes":{
		"c":{"work":1.7e308,"slow":1.7e308,"jobs":1.7e308,"due":1.7e308},"d":{"work":1.7e308,"slow":-1,"jobs":9,"due":-1}}}`)
	sim.jobSpecs["j-extreme"] = jobSpec("j-extreme", 8)
	sim.restartAllNodes(time.Second)
	sim.waitForLeader()
}

// A catalog with absurd amounts must neither end the process nor make it rent without end.
func TestExtremeCatalogAmounts(t *testing.T) {
	sim := newSimulation(t, 3)
	leaderNode := sim.waitForLeader()
	sim.startMachines(2)
	huge := protocol.MachineType{Name: "c4", Cores: 1e308, Accelerators: 1e308, MemoryGB: 1e308, ImageCacheGB: 1e308,
		PullGBPerSecond: 1e308, OnDemandPrice: 1e308, SpotPrice: 1e308, BootSeconds: 1e308, Zones: []string{"a", "b"}}
	tiny := protocol.MachineType{Name: "c0", Cores: 5e-324, MemoryGB: 5e-324, Zones: []string{"a"}}
	sim.cloud.machineTypes = []protocol.MachineType{huge, tiny}
	for _, name := range sim.names {
		sim.nodes[name].catalog.RequestedAt = clock.Never
	}
	sim.submit(leaderNode.name, jobSpec("j-1", 4))
	for range 5 {
		sim.advance(2 * time.Second)
		sim.requestPages("j-1")
	}
	if machines := len(sim.cloud.hosts); machines > 10 {
		t.Errorf("machines rented for a job of four cores: got %d, want at most 10", machines)
	}
}

// The amounts of a submission are decimal numbers, so one that no float64 holds is malformed, and so is a
// text that JSON does not allow.
func TestNumbersThatAreNoAmounts(t *testing.T) {
	for _, amount := range []string{"1e309", "-1e309", "NaN", "Infinity", "1e", "--1"} {
		if _, err := protocol.ParseJob([]byte(extremeSubmission("j-1", amount))); err == nil {
			t.Errorf("submission with the amount %s is accepted, want an error", amount)
		}
	}
	if _, err := protocol.ParseJob([]byte(strings.Replace(extremeSubmission("j-1", "1"), `"prazoS":1`, `"prazoS":1e999`,
		1))); err == nil {
		t.Error("submission with a deadline of 1e999 is accepted, want an error")
	}
}
