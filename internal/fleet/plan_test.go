package fleet

import (
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
)

// Machine types of the tests: a small one, a large one that costs more per core, and one with
// accelerators that is by far the dearest.
var (
	smallType = &protocol.MachineType{Name: "c4", Cores: 4, MemoryGB: 16, PullGBPerSecond: 1, OnDemandPrice: 0.4, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}
	largeType = &protocol.MachineType{Name: "c16", Cores: 16, MemoryGB: 64, PullGBPerSecond: 1, OnDemandPrice: 2.4, SpotPrice: 0.8, BootSeconds: 5, Zones: []string{"a"}}
	accelType = &protocol.MachineType{Name: "g8", Cores: 8, MemoryGB: 32, Accelerators: 1, PullGBPerSecond: 1, OnDemandPrice: 8, SpotPrice: 4, BootSeconds: 5, Zones: []string{"a"}}
)

// spotSmall is the cheapest offering.
var spotSmall = Offering{Type: "c4", Zone: "a", Spot: true}

// newTestPlanner returns a planner with a quarter of headroom.
func newTestPlanner() *Planner {
	return NewPlanner(Settings{Headroom: 0.25, CostSensitivity: 2, Lease: testLease})
}

// testView returns a view in which some cores are usually busy and everything is allowed.
func testView(usualLoad float64, kept ...*Machine) *View {
	return &View{Catalog: map[string]*protocol.MachineType{"c4": smallType, "c16": largeType, "g8": accelType},
		UsualLoad: usualLoad, Kept: kept, ScaleOutAllowed: true, ScaleInAllowed: true}
}

// upMachine returns a machine that is up.
func upMachine(name string, machineType *protocol.MachineType, spot bool) *Machine {
	return &Machine{Name: name, Type: machineType, Offering: Offering{Type: machineType.Name, Zone: "a", Spot: spot}, Up: true}
}

// smallMachines returns small spot machines that are up.
func smallMachines(names ...string) []*Machine {
	machines := make([]*Machine, 0, len(names))
	for _, name := range names {
		machines = append(machines, upMachine(name, smallType, true))
	}
	return machines
}

// machineNames returns the names of machines, sorted.
func machineNames(machines []*Machine) []string {
	names := make([]string, 0, len(machines))
	for _, m := range machines {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// Machines are rented up to the usual load with its headroom, of the cheapest offering.
func TestScaleOutToUsualLoadWithHeadroom(t *testing.T) {
	plan := newTestPlanner().Plan(testView(16))
	if plan.TargetCores != 20 || !slices.Equal(plan.ScaleOut, slices.Repeat([]Offering{spotSmall}, 5)) {
		t.Errorf("target %v cores, rented %v", plan.TargetCores, plan.ScaleOut)
	}
}

// Requested machines count as held, and draining ones are kept before others are rented.
func TestPendingAndDrainingMachinesAreUsedBeforeRenting(t *testing.T) {
	view := testView(16, smallMachines("m-1")...)
	view.PendingRentals = []protocol.RentalRequest{{Type: "c4", Zone: "a", Spot: true, Count: 2}}
	view.Draining = smallMachines("m-2")
	plan := newTestPlanner().Plan(view)
	if plan.HeldCores != 20 || len(plan.ScaleOut) != 1 || !slices.Equal(machineNames(plan.CancelDrain), []string{"m-2"}) {
		t.Errorf("%v cores held, rented %v, kept after all %v", plan.HeldCores, plan.ScaleOut, machineNames(plan.CancelDrain))
	}
}

// One plan rents a bounded number of machines.
func TestMachinesPerPlanAreBounded(t *testing.T) {
	if plan := newTestPlanner().Plan(testView(4000)); len(plan.ScaleOut) != maxMachinesPerPlan {
		t.Errorf("%d machines rented", len(plan.ScaleOut))
	}
}

// An offering without capacity is left out, for longer after each refusal, until it had capacity.
func TestOfferingWithoutCapacityIsBackedOff(t *testing.T) {
	planner := newTestPlanner()
	rentedAt := func(now time.Duration) Offering {
		view := testView(3)
		view.Now = now
		return planner.Plan(view).ScaleOut[0]
	}
	elsewhere := Offering{Type: "c4", Zone: "b", Spot: true}
	planner.MarkUnavailable(spotSmall, 0)
	if got := rentedAt(testLease - 1); got != elsewhere {
		t.Errorf("rented %v within the backoff", got)
	}
	if got := rentedAt(testLease); got != spotSmall {
		t.Errorf("rented %v after the backoff", got)
	}
	planner.MarkUnavailable(spotSmall, testLease)
	if got := rentedAt(3*testLease - 1); got != elsewhere {
		t.Errorf("rented %v within the second backoff", got)
	}
	planner.MarkAvailable(spotSmall)
	if got := rentedAt(testLease); got != spotSmall {
		t.Errorf("rented %v once it had capacity", got)
	}
}

// Less headroom is held on dearer machines: at four times the lowest price, a sixteenth of it.
func TestHeadroomShrinksWithPrice(t *testing.T) {
	planner := newTestPlanner()
	for _, zone := range smallType.Zones {
		planner.MarkUnavailable(Offering{Type: "c4", Zone: zone, Spot: true}, 0)
	}
	planner.MarkUnavailable(Offering{Type: "c16", Zone: "a", Spot: true}, 0)
	plan := planner.Plan(testView(16))
	if onDemand := (Offering{Type: "c4", Zone: "a"}); plan.TargetCores != 20 || !slices.Equal(plan.ScaleOut, []Offering{onDemand}) {
		t.Errorf("target %v cores, rented %v", plan.TargetCores, plan.ScaleOut)
	}
}

// Nothing is rented or returned where it is not allowed.
func TestPlanRespectsScalingPermissions(t *testing.T) {
	view := testView(16)
	view.ScaleOutAllowed = false
	if plan := newTestPlanner().Plan(view); len(plan.ScaleOut) != 0 {
		t.Errorf("rented %v", plan.ScaleOut)
	}
	view = testView(0, smallMachines("m-1")...)
	view.ScaleInAllowed = false
	if plan := newTestPlanner().Plan(view); len(plan.Surplus) != 0 {
		t.Errorf("surplus %v", machineNames(plan.Surplus))
	}
}

// The dearest machines are returned first. Machines that boot or are reserved are not returned.
func TestMostExpensiveMachinesAreSurplus(t *testing.T) {
	booting, reserved := upMachine("booting", smallType, false), upMachine("reserved", smallType, false)
	booting.Up, reserved.Reserved = false, true
	kept := append(smallMachines("m-1", "m-2"), upMachine("dear", smallType, false), booting, reserved)
	plan := newTestPlanner().Plan(testView(12.8, kept...))
	if got := machineNames(plan.Surplus); !slices.Equal(got, []string{"dear"}) {
		t.Errorf("surplus %v", got)
	}
	if got := machineNames(plan.Needed); !slices.Equal(got, []string{"booting", "m-1", "m-2", "reserved"}) {
		t.Errorf("needed %v", got)
	}
}

// Of equal machines, those that will be empty with the least idle time are returned.
func TestMachineWithLeastIdleTimeIsSurplus(t *testing.T) {
	machines := smallMachines("late", "soon")
	machines[0].IdleUntilEmpty, machines[1].IdleUntilEmpty = 100, 10
	plan := newTestPlanner().Plan(testView(3.2, machines...))
	if got := machineNames(plan.Surplus); !slices.Equal(got, []string{"soon"}) {
		t.Errorf("surplus %v", got)
	}
}

// A machine is rented for a job that fits on none, however many cores are held; once it is
// requested, no other one is.
func TestMachineIsRentedForUnplaceableJob(t *testing.T) {
	view := testView(0, smallMachines("m-1")...)
	view.PendingJobs = []PendingJob{{Spec: &protocol.Job{Cores: 1, Accelerators: 1}, PendingTasks: 3}}
	onDemand := Offering{Type: "g8", Zone: "a"}
	if plan := newTestPlanner().Plan(view); !slices.Equal(plan.ScaleOut, []Offering{onDemand}) {
		t.Errorf("rented %v", plan.ScaleOut)
	}
	view.PendingRentals = []protocol.RentalRequest{{Type: "g8", Zone: "a", Count: 1}}
	if plan := newTestPlanner().Plan(view); len(plan.ScaleOut) != 0 {
		t.Errorf("rented %v besides the one requested", plan.ScaleOut)
	}
}
