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

// Machines of the cheapest offering are rented up to the usual load with headroom, even without any
// pending job.
func TestScaleOutToUsualLoadWithHeadroom(t *testing.T) {
	plan := newTestPlanner().Plan(testView(16))
	if plan.TargetCores != 20 || !slices.Equal(plan.ScaleOut, slices.Repeat([]Offering{spotSmall}, 5)) {
		t.Errorf("target %v cores, expected 20; rented %v, expected 5 of the cheapest offering",
			plan.TargetCores, plan.ScaleOut)
	}
}

// Machines of pending rentals count as held, and the drain of machines is cancelled before others are
// rented. Otherwise a plan would rent machines that are already on their way.
func TestPendingAndDrainingMachinesAreUsedBeforeRenting(t *testing.T) {
	view := testView(16, smallMachines("m-1")...)
	view.PendingRentals = []protocol.RentalRequest{{Type: "c4", Zone: "a", Spot: true, Count: 2}}
	view.Draining = smallMachines("m-2")
	plan := newTestPlanner().Plan(view)
	if plan.HeldCores != 20 || len(plan.ScaleOut) != 1 || !slices.Equal(machineNames(plan.CancelDrain), []string{"m-2"}) {
		t.Errorf("%v cores held, expected 20; rented %v, expected 1; drains cancelled of %v, expected m-2",
			plan.HeldCores, plan.ScaleOut, machineNames(plan.CancelDrain))
	}
}

// One plan rents a bounded number of machines, however large the usual load is.
func TestMachinesPerPlanAreBounded(t *testing.T) {
	if plan := newTestPlanner().Plan(testView(4000)); len(plan.ScaleOut) != maxMachinesPerPlan {
		t.Errorf("%d machines rented, expected %d", len(plan.ScaleOut), maxMachinesPerPlan)
	}
}

// An offering without capacity is not rented again until a backoff has passed, which grows with each
// refusal and ends when the cloud has capacity. Otherwise all requests would go to that offering.
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
		t.Errorf("rented %v within the backoff, expected the offering in the other zone", got)
	}
	if got := rentedAt(testLease); got != spotSmall {
		t.Errorf("rented %v after the backoff, expected the cheapest offering", got)
	}
	planner.MarkUnavailable(spotSmall, testLease)
	if got := rentedAt(3*testLease - 1); got != elsewhere {
		t.Errorf("rented %v within the second backoff, expected the offering in the other zone", got)
	}
	planner.MarkAvailable(spotSmall)
	if got := rentedAt(testLease); got != spotSmall {
		t.Errorf("rented %v after the offering had capacity, expected the cheapest offering", got)
	}
}

// Less of the usual load with headroom is held on more expensive machines: at four times the lowest
// price, a sixteenth. Otherwise a cloud without cheap capacity would make the headroom expensive.
func TestHeadroomShrinksWithPrice(t *testing.T) {
	planner := newTestPlanner()
	for _, zone := range smallType.Zones {
		planner.MarkUnavailable(Offering{Type: "c4", Zone: zone, Spot: true}, 0)
	}
	planner.MarkUnavailable(Offering{Type: "c16", Zone: "a", Spot: true}, 0)
	plan := planner.Plan(testView(16))
	if onDemand := (Offering{Type: "c4", Zone: "a"}); plan.TargetCores != 20 || !slices.Equal(plan.ScaleOut, []Offering{onDemand}) {
		t.Errorf("target %v cores, expected 20; rented %v, expected one machine on demand", plan.TargetCores, plan.ScaleOut)
	}
}

// A plan neither rents nor drains machines while that is not allowed, as during a recovery.
func TestPlanRespectsScalingPermissions(t *testing.T) {
	view := testView(16)
	view.ScaleOutAllowed = false
	if plan := newTestPlanner().Plan(view); len(plan.ScaleOut) != 0 {
		t.Errorf("rented %v although scaling out is not allowed", plan.ScaleOut)
	}
	view = testView(0, smallMachines("m-1")...)
	view.ScaleInAllowed = false
	if plan := newTestPlanner().Plan(view); len(plan.Surplus) != 0 {
		t.Errorf("surplus %v although scaling in is not allowed", machineNames(plan.Surplus))
	}
}

// The most expensive machines become surplus first. Booting and reserved machines are never surplus:
// otherwise a plan would return them before they have run the work that they are meant for.
func TestMostExpensiveMachinesAreSurplus(t *testing.T) {
	booting, reserved := upMachine("booting", smallType, false), upMachine("reserved", smallType, false)
	booting.Up, reserved.Reserved = false, true
	kept := append(smallMachines("m-1", "m-2"), upMachine("expensive", smallType, false), booting, reserved)
	plan := newTestPlanner().Plan(testView(12.8, kept...))
	if got := machineNames(plan.Surplus); !slices.Equal(got, []string{"expensive"}) {
		t.Errorf("surplus %v, expected only the machine on demand that is up and not reserved", got)
	}
	if got := machineNames(plan.Needed); !slices.Equal(got, []string{"booting", "m-1", "m-2", "reserved"}) {
		t.Errorf("needed %v, expected all other machines", got)
	}
}

// Of machines with the same price, the one with the least idle time until it is empty is surplus,
// because its drain wastes the fewest core seconds.
func TestMachineWithLeastIdleTimeIsSurplus(t *testing.T) {
	machines := smallMachines("late", "soon")
	machines[0].IdleUntilEmpty, machines[1].IdleUntilEmpty = 100, 10
	plan := newTestPlanner().Plan(testView(3.2, machines...))
	if got := machineNames(plan.Surplus); !slices.Equal(got, []string{"soon"}) {
		t.Errorf("surplus %v, expected the machine that is empty soon", got)
	}
}

// A machine is rented for a job that fits on none, however many cores are held: otherwise the job
// would never start. Once the machine is requested, no second one is.
func TestMachineIsRentedForUnplaceableJob(t *testing.T) {
	view := testView(0, smallMachines("m-1")...)
	view.PendingJobs = []PendingJob{{Spec: &protocol.Job{Cores: 1, Accelerators: 1}, PendingTasks: 3}}
	onDemand := Offering{Type: "g8", Zone: "a"}
	if plan := newTestPlanner().Plan(view); !slices.Equal(plan.ScaleOut, []Offering{onDemand}) {
		t.Errorf("rented %v, expected one machine with accelerators on demand", plan.ScaleOut)
	}
	view.PendingRentals = []protocol.RentalRequest{{Type: "g8", Zone: "a", Count: 1}}
	if plan := newTestPlanner().Plan(view); len(plan.ScaleOut) != 0 {
		t.Errorf("rented %v in addition to the machine already requested", plan.ScaleOut)
	}
}
