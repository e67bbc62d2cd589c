package fleet

import (
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
)

// Machine types in the tests: a small one, a large one that costs more per core, and one with
// accelerators that is by far the most expensive.
var (
	smallType = &protocol.MachineType{Name: "c4", Cores: 4, MemoryGB: 16, PullGBPerSecond: 1, OnDemandPrice: 0.4, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}
	largeType = &protocol.MachineType{Name: "c16", Cores: 16, MemoryGB: 64, PullGBPerSecond: 1, OnDemandPrice: 2.4, SpotPrice: 0.8, BootSeconds: 5, Zones: []string{"a"}}
	accelType = &protocol.MachineType{Name: "g8", Cores: 8, MemoryGB: 32, Accelerators: 1, PullGBPerSecond: 1, OnDemandPrice: 8, SpotPrice: 4, BootSeconds: 5, Zones: []string{"a"}}
)

// spotSmall is the cheapest offering.
var spotSmall = Offering{Type: "c4", Zone: "a", Spot: true}

// newTestPlanner returns a planner with a headroom of a quarter of the usual load.
func newTestPlanner() *Planner {
	return NewPlanner(Settings{Headroom: 0.25, CostSensitivity: 2, Lease: testLease})
}

// testView returns a view without jobs, in which machines may be rented and returned.
func testView(usualLoad float64, kept ...*Machine) *View {
	return &View{Catalog: map[string]*protocol.MachineType{"c4": smallType, "c16": largeType, "g8": accelType},
		UsualLoad: usualLoad, Kept: kept, ScaleOutAllowed: true, ScaleInAllowed: true}
}

// upMachine returns a machine in zone a that is up.
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

// Even without pending jobs, machines of the cheapest offering must be rented until their cores cover the
// usual load plus headroom.
func TestScaleOutToUsualLoadWithHeadroom(t *testing.T) {
	plan := newTestPlanner().Plan(testView(16))
	if plan.TargetCores != 20 || !slices.Equal(plan.ScaleOut, slices.Repeat([]Offering{spotSmall}, 5)) {
		t.Errorf("target: got %v cores, want 20; rented: got %v, want 5 of the cheapest offering",
			plan.TargetCores, plan.ScaleOut)
	}
}

// Machines of pending rentals must count as held, and drains must be cancelled before machines are rented.
// Otherwise a plan would rent machines although enough are already requested or held.
func TestPendingAndDrainingMachinesAreUsedBeforeRenting(t *testing.T) {
	view := testView(16, smallMachines("m-1")...)
	view.PendingRentals = []protocol.RentalRequest{{Type: "c4", Zone: "a", Spot: true, Count: 2}}
	view.Draining = smallMachines("m-2")
	plan := newTestPlanner().Plan(view)
	if plan.HeldCores != 20 || len(plan.ScaleOut) != 1 || !slices.Equal(machineNames(plan.CancelDrain), []string{"m-2"}) {
		t.Errorf("held: got %v cores, want 20; rented: got %v, want 1 machine; drains cancelled: got %v, want m-2",
			plan.HeldCores, plan.ScaleOut, machineNames(plan.CancelDrain))
	}
}

// One plan must rent at most maxMachinesPerPlan machines, however large the usual load is.
func TestMachinesPerPlanAreBounded(t *testing.T) {
	if plan := newTestPlanner().Plan(testView(4000)); len(plan.ScaleOut) != maxMachinesPerPlan {
		t.Errorf("machines rented: got %d, want %d", len(plan.ScaleOut), maxMachinesPerPlan)
	}
}

// An offering for which the cloud had no capacity must not be rented again before the end of a backoff. The
// backoff grows each time the cloud has no capacity, and ends when it has. Otherwise all rental requests
// would go to that offering.
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
		t.Errorf("rented %v within the backoff, want the offering in the other zone", got)
	}
	if got := rentedAt(testLease); got != spotSmall {
		t.Errorf("rented %v after the backoff, want the cheapest offering", got)
	}
	planner.MarkUnavailable(spotSmall, testLease)
	if got := rentedAt(3*testLease - 1); got != elsewhere {
		t.Errorf("rented %v within the second backoff, want the offering in the other zone", got)
	}
	planner.MarkAvailable(spotSmall)
	if got := rentedAt(testLease); got != spotSmall {
		t.Errorf("rented %v after the offering had capacity, want the cheapest offering", got)
	}
}

// Fewer cores must be held for the usual load plus headroom if only more expensive machines are available:
// at four times the lowest price, a sixteenth. Otherwise a cloud without cheap capacity would make the
// headroom expensive.
func TestHeadroomShrinksWithPrice(t *testing.T) {
	planner := newTestPlanner()
	for _, zone := range smallType.Zones {
		planner.MarkUnavailable(Offering{Type: "c4", Zone: zone, Spot: true}, 0)
	}
	planner.MarkUnavailable(Offering{Type: "c16", Zone: "a", Spot: true}, 0)
	plan := planner.Plan(testView(16))
	if onDemand := (Offering{Type: "c4", Zone: "a"}); plan.TargetCores != 20 || !slices.Equal(plan.ScaleOut, []Offering{onDemand}) {
		t.Errorf("target: got %v cores, want 20; rented %v, want one machine on demand", plan.TargetCores, plan.ScaleOut)
	}
}

// A plan must neither rent nor drain machines while that is not allowed, as early in a leader's recovery.
func TestPlanRespectsScalingPermissions(t *testing.T) {
	view := testView(16)
	view.ScaleOutAllowed = false
	if plan := newTestPlanner().Plan(view); len(plan.ScaleOut) != 0 {
		t.Errorf("rented %v although scaling out is not allowed, want none", plan.ScaleOut)
	}
	view = testView(0, smallMachines("m-1")...)
	view.ScaleInAllowed = false
	if plan := newTestPlanner().Plan(view); len(plan.Surplus) != 0 {
		t.Errorf("surplus machines %v although scaling in is not allowed, want none", machineNames(plan.Surplus))
	}
}

// The most expensive machines must become surplus first. Booting and reserved machines must never be
// surplus: otherwise they would be returned to the cloud before they have run the work that they are for.
func TestMostExpensiveMachinesAreSurplus(t *testing.T) {
	booting, reserved := upMachine("booting", smallType, false), upMachine("reserved", smallType, false)
	booting.Up, reserved.Reserved = false, true
	kept := append(smallMachines("m-1", "m-2"), upMachine("expensive", smallType, false), booting, reserved)
	plan := newTestPlanner().Plan(testView(12.8, kept...))
	if got := machineNames(plan.Surplus); !slices.Equal(got, []string{"expensive"}) {
		t.Errorf("surplus machines: got %v, want only expensive, which is up and not reserved", got)
	}
	if got := machineNames(plan.Needed); !slices.Equal(got, []string{"booting", "m-1", "m-2", "reserved"}) {
		t.Errorf("needed machines: got %v, want all but expensive", got)
	}
}

// Of machines with the same price, the one with the least idle time until it is empty must become surplus
// first, because its drain wastes the fewest core seconds.
func TestMachineWithLeastIdleTimeIsSurplus(t *testing.T) {
	machines := smallMachines("late", "soon")
	machines[0].IdleUntilEmpty, machines[1].IdleUntilEmpty = 100, 10
	plan := newTestPlanner().Plan(testView(3.2, machines...))
	if got := machineNames(plan.Surplus); !slices.Equal(got, []string{"soon"}) {
		t.Errorf("surplus machines: got %v, want soon, which has the least idle time", got)
	}
}

// A machine must be rented for a job that fits on no held machine, however many cores are held: otherwise
// the job would never start. Once such a machine is requested, no second one may be.
func TestMachineIsRentedForUnplaceableJob(t *testing.T) {
	view := testView(0, smallMachines("m-1")...)
	view.PendingJobs = []PendingJob{{Spec: &protocol.Job{Cores: 1, Accelerators: 1}, PendingTasks: 3}}
	onDemand := Offering{Type: "g8", Zone: "a"}
	if plan := newTestPlanner().Plan(view); !slices.Equal(plan.ScaleOut, []Offering{onDemand}) {
		t.Errorf("rented %v, want one machine with accelerators on demand", plan.ScaleOut)
	}
	view.PendingRentals = []protocol.RentalRequest{{Type: "g8", Zone: "a", Count: 1}}
	if plan := newTestPlanner().Plan(view); len(plan.ScaleOut) != 0 {
		t.Errorf("rented %v although a machine is already requested, want none", plan.ScaleOut)
	}
}
