package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// The place of a job on the ring is part of what versions agree on.
func TestPositionNeverChanges(t *testing.T) {
	for id, want := range map[string]uint32{"": 0xef46db37, "j-1": 0xb9efbf34, "j-000412": 0xf9efe040} {
		if got := Position(id); got != want {
			t.Errorf("%q: %#x", id, got)
		}
	}
}

func randomDemands(rng *rand.Rand) []groupDemand {
	demands := make([]groupDemand, 1+rng.IntN(40))
	for i := range demands {
		demands[i] = groupDemand{Group: Group{Team: fmt.Sprint("t", rng.IntN(8)), Class: fmt.Sprint("c", i), PriorityRank: rng.IntN(4)},
			Jobs: math.Exp(rng.Float64() * 9), Weight: 1 + 3*rng.Float64()}
	}
	return demands
}

// No group gets more than it asks for, nothing is left over that somebody asks for, each
// team has its even part of the floor, and more than that goes to less urgent work only
// once the more urgent has all it asks for.
func TestAllocationProperties(t *testing.T) {
	const tolerance = 1e-6
	rng := rand.New(rand.NewPCG(1, 1))
	for round := range 2000 {
		demands, capacity, maxEpochs := randomDemands(rng), math.Exp(rng.Float64()*9), 1+rng.IntN(12)
		allocated := allocateCapacity(capacity, demands, maxEpochs)
		totalDemand, teamDemand, teamAllocated := 0.0, map[string]float64{}, map[string]float64{}
		for i, demand := range demands {
			totalDemand += demand.Jobs
			teamDemand[demand.Team] += demand.Jobs
			teamAllocated[demand.Team] += allocated[i]
			if allocated[i] < -tolerance || allocated[i] > demand.Jobs+tolerance {
				t.Fatalf("round %d: %v of %v", round, allocated[i], demand.Jobs)
			}
		}
		if total := sum(allocated); math.Abs(total-min(totalDemand, capacity)) > tolerance*capacity {
			t.Fatalf("round %d: %v given of %v, %v wanted", round, total, capacity, totalDemand)
		}
		minimum := minimumAllocations(demands, maxEpochs)
		minimumFits := sum(minimum) <= capacity
		reserved := 0.0
		for i := range demands {
			if minimumFits {
				reserved += minimum[i]
				if allocated[i] < minimum[i]-tolerance {
					t.Fatalf("round %d: too little for a turn in time", round)
				}
			}
		}
		floor := (capacity - reserved) * floorShare / float64(len(teamDemand))
		for team, demand := range teamDemand {
			if teamAllocated[team] < min(demand, floor)-tolerance {
				t.Fatalf("round %d: team %s has %v, the floor is %v", round, team, teamAllocated[team], floor)
			}
		}
		checkPriority(t, demands, allocated, capacity, maxEpochs)
	}
}

// checkPriority looks for urgent work that goes short while other work has more than its floor.
func checkPriority(t *testing.T, demands []groupDemand, allocated []float64, capacity float64, maxEpochs int) {
	t.Helper()
	floors := make([]float64, len(demands))
	if minimum := minimumAllocations(demands, maxEpochs); sum(minimum) <= capacity {
		copy(floors, minimum)
	}
	allocateFloor((capacity-sum(floors))*floorShare, demands, floors)
	for i, urgent := range demands {
		for j, other := range demands {
			if urgent.PriorityRank < other.PriorityRank && allocated[i] < urgent.Jobs-1e-6 && allocated[j] > floors[j]+1e-6 {
				t.Fatalf("rank %d has %v of %v while rank %d has %v, its floor is %v",
					urgent.PriorityRank, allocated[i], urgent.Jobs, other.PriorityRank, allocated[j], floors[j])
			}
		}
	}
}

// A job that is told after how many epochs its turn comes is admitted then, if the arc does
// not slow down, and still in the epoch after.
func TestJobIsAdmittedAfterPredictedEpochs(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	for range 500 {
		share := Share{Tail: rng.Uint32()}
		step := uint64(Ring * (minStepShare + rng.Float64()/8))
		share.advanceArc(step)
		position := rng.Uint32()
		verdict := share.evaluate(position)
		if verdict.EpochsToTurn > share.EpochsToAdmitAll() {
			t.Fatalf("turn after %d epochs, all have had theirs after %d", verdict.EpochsToTurn, share.EpochsToAdmitAll())
		}
		for range verdict.EpochsToTurn {
			if share.evaluate(position).Admit {
				t.Fatal("its turn comes before it was told")
			}
			step = min(Ring, uint64(float64(step)*(1+rng.Float64()/float64(1+verdict.EpochsToTurn))))
			share.advanceArc(max(step, share.newestStep()))
			if share.evaluate(position).Admit {
				break
			}
		}
		for late := range 2 {
			if !share.evaluate(position).Admit {
				t.Fatalf("not admitted %d epochs after its turn began", late)
			}
			share.advanceArc(share.newestStep())
		}
	}
}

// crowd is users who submit and come back when they are told to.
type submitterSimulation struct {
	rng            *rand.Rand
	planner        *Planner
	capacity       int
	epoch          int
	waiting        []*pendingJob
	maxWaitEpochs  map[Group]int // epochs until a job was admitted, at most
	accepted       map[Group]int
	gaveUp         map[Group]int
	retryEpochs    int // epochs until a user gives up
	policySwitches int // of the policy, on and off
	maxAccepted    int // jobs accepted in an epoch
}

type pendingJob struct {
	id                         string
	group                      Group
	submittedAt, nextAttemptAt int
}

func newSubmitterSimulation(seed uint64, capacity int) *submitterSimulation {
	return &submitterSimulation{rng: rand.New(rand.NewPCG(seed, 3)), capacity: capacity, retryEpochs: 17,
		planner:       NewPlanner(Settings{EpochLengthMS: 3500, MaxEpochsUntilAdmitted: 11, MaxShares: 64}, nil),
		maxWaitEpochs: map[Group]int{}, accepted: map[Group]int{}, gaveUp: map[Group]int{}}
}

func (s *submitterSimulation) submit(group Group, jobs int) {
	for range jobs {
		s.waiting = append(s.waiting, &pendingJob{id: fmt.Sprintf("j-%x", s.rng.Uint64()), group: group, submittedAt: s.epoch, nextAttemptAt: s.epoch})
	}
}

// pass lets an epoch go by. Users come in any order; late ones come an epoch late.
func (s *submitterSimulation) runEpoch() {
	loads := map[Group]*Load{}
	freeCapacity := s.capacity
	var stillWaiting []*pendingJob
	s.rng.Shuffle(len(s.waiting), func(i, j int) { s.waiting[i], s.waiting[j] = s.waiting[j], s.waiting[i] })
	for _, job := range s.waiting {
		if job.nextAttemptAt > s.epoch {
			stillWaiting = append(stillWaiting, job)
			continue
		}
		load := loads[job.group]
		if load == nil {
			load = &Load{Group: job.group, Weight: 1}
			loads[job.group] = load
		}
		verdict := s.planner.Policy().Evaluate(job.group, job.id)
		switch {
		case verdict.Admit && freeCapacity > 0:
			freeCapacity--
			load.Accepted++
			s.accepted[job.group]++
			s.maxWaitEpochs[job.group] = max(s.maxWaitEpochs[job.group], s.epoch-job.submittedAt)
			continue
		case verdict.Admit:
			job.nextAttemptAt = s.epoch + 1
			load.RejectedForCapacity++
		default:
			job.nextAttemptAt = s.epoch + verdict.EpochsToTurn + s.rng.IntN(2) // in time, or late by one
			load.RejectedByPolicy++
		}
		if s.epoch-job.submittedAt >= s.retryEpochs {
			s.gaveUp[job.group]++
			continue
		}
		stillWaiting = append(stillWaiting, job)
	}
	s.waiting = stillWaiting
	s.maxAccepted = max(s.maxAccepted, s.capacity-freeCapacity)
	list := make([]Load, 0, len(loads))
	for _, load := range loads {
		list = append(list, *load)
	}
	hadPolicy := s.planner.Policy() != nil
	s.planner.NextPolicy(list, Capacity{Jobs: float64(s.capacity)}, uint64(s.epoch+1))
	if hasPolicy := s.planner.Policy() != nil; hasPolicy != hadPolicy {
		s.policySwitches++
	}
	s.epoch++
}

// A burst of several times what can be taken at once: urgent work waits least, every job is
// admitted before its user gives up, and the policy ends afterwards.
func TestBurstIsAdmittedInTime(t *testing.T) {
	urgent, low := Group{"shop", "prices", 1}, Group{"shop", "reports", 3}
	for seed := range uint64(20) {
		sim := newSubmitterSimulation(seed, 100)
		sim.submit(low, 500)
		sim.submit(urgent, 100)
		for range 40 {
			sim.submit(urgent, 3)
			sim.submit(low, 5)
			sim.runEpoch()
		}
		if sim.gaveUp[low]+sim.gaveUp[urgent] > 0 || len(sim.waiting) > 20 {
			t.Errorf("seed %d: %d gave up, %d wait", seed, sim.gaveUp[low]+sim.gaveUp[urgent], len(sim.waiting))
		}
		if sim.maxWaitEpochs[urgent] > 6 || sim.maxWaitEpochs[low] > 13 {
			t.Errorf("seed %d: urgent work waited for up to %d epochs, other for %d", seed, sim.maxWaitEpochs[urgent], sim.maxWaitEpochs[low])
		}
		if sim.planner.Policy() != nil || sim.policySwitches != 2 {
			t.Errorf("seed %d: %d switches, policy %v", seed, sim.policySwitches, sim.planner.Policy())
		}
	}
}

// Urgent work presses for an hour with twice what can be taken. The low class keeps a share,
// and a steady part of it is admitted in each stretch of that hour.
func TestLowPriorityIsNotStarved(t *testing.T) {
	urgent, low := Group{"shop", "prices", 1}, Group{"shop", "reports", 3}
	sim := newSubmitterSimulation(1, 100)
	acceptedBefore := 0
	for epoch := range 1000 {
		sim.submit(urgent, 200)
		sim.submit(low, 5)
		sim.runEpoch()
		if epoch%50 == 49 {
			if sim.accepted[low]-acceptedBefore < 125 {
				t.Errorf("epoch %d: %d of 250 of the low class were admitted", epoch, sim.accepted[low]-acceptedBefore)
			}
			acceptedBefore = sim.accepted[low]
		}
	}
	if total := sim.accepted[urgent] + sim.accepted[low]; total < 85*1000 {
		t.Errorf("%d of 100,000 places were used", total)
	}
}

// One of a hundred teams offers nearly all, of the same priority as the others or of a higher
// one: the others are admitted within a few epochs, most of them at once.
func TestDominantTeamDoesNotStarveOthers(t *testing.T) {
	for _, test := range []struct{ rank, interval int }{{2, 1}, {1, 4}} {
		dominant := Group{"flood", "c", test.rank}
		sim := newSubmitterSimulation(1, 200)
		for epoch := range 100 {
			sim.submit(dominant, 2000)
			for team := range 99 {
				if (epoch+team)%test.interval == 0 {
					sim.submit(Group{fmt.Sprint("t", team), "c", 2}, 1)
				}
			}
			sim.runEpoch()
		}
		for group, epochs := range sim.maxWaitEpochs {
			if group != dominant && epochs > 10 {
				t.Errorf("rank %d: a job of %s waited for %d epochs", test.rank, group.Team, epochs)
			}
		}
		for group, jobs := range sim.gaveUp {
			if group != dominant {
				t.Errorf("rank %d: %d users of %s gave up", test.rank, jobs, group.Team)
			}
		}
		if sim.accepted[dominant] < 5000 {
			t.Errorf("rank %d: %d of the flood's jobs were accepted", test.rank, sim.accepted[dominant])
		}
	}
}

// Load that hovers around what can be taken does not switch the policy to and fro, and one
// that changes its mix within an epoch is followed.
func TestPolicyUnderFluctuatingLoad(t *testing.T) {
	a, b := Group{"a", "c", 2}, Group{"b", "c", 2}
	sim := newSubmitterSimulation(4, 100)
	for epoch := range 400 {
		sim.submit(a, 90+sim.rng.IntN(21))
		if epoch%7 == 0 {
			sim.submit(b, 60)
		}
		sim.runEpoch()
	}
	if sim.policySwitches > 4 {
		t.Errorf("%d switches in 400 epochs", sim.policySwitches)
	}
	sim = newSubmitterSimulation(5, 100)
	for epoch := range 200 {
		sim.submit([]Group{a, b}[epoch/3%2], 400)
		sim.runEpoch()
	}
	if sim.accepted[a] < 4000 || sim.accepted[b] < 4000 || sim.accepted[a]+sim.accepted[b] < 13000 {
		t.Errorf("%d and %d of 20,000 places", sim.accepted[a], sim.accepted[b])
	}
}

// A policy goes on under another leader where it stood, and never names more than it may.
func TestPlannerContinuesFromPolicy(t *testing.T) {
	sim := newSubmitterSimulation(6, 50)
	sim.planner.settings.MaxShares = 3
	for range 12 {
		for team := range 10 {
			sim.submit(Group{fmt.Sprint("t", team), "c", 2}, 10*(team+1))
		}
		sim.runEpoch()
		if policy := sim.planner.Policy(); policy != nil && (len(policy.Shares) > 3 || policy.Validate() != nil) {
			t.Fatalf("%+v: %v", policy, policy.Validate())
		}
	}
	last := *sim.planner.Policy()
	next := NewPlanner(sim.planner.settings, &last).NextPolicy(nil, Capacity{Jobs: 50}, 1)
	if next == nil || next.Epoch != last.Epoch+1 {
		t.Fatalf("after %+v: %+v", last, next)
	}
	for _, share := range last.Shares {
		if nextShare := next.shareOf(share.Group); nextShare.Group == share.Group && nextShare.Tail-share.Tail > uint32(share.OpenPositions()) {
			t.Errorf("%s begins at %d after %d", share.Team, nextShare.Tail, share.Tail)
		}
	}
}

// What can't be a policy is told from one.
func TestValidateRejectsInvalidPolicies(t *testing.T) {
	valid := Policy{Epoch: 1, EpochLengthMS: 1, DefaultShare: FullShare(Group{})}
	if valid.Validate() != nil {
		t.Fatal(valid.Validate())
	}
	for name, invalidate := range map[string]func(p *Policy){
		"no epoch":    func(p *Policy) { p.Epoch = 0 },
		"no length":   func(p *Policy) { p.EpochLengthMS = 0 },
		"stands":      func(p *Policy) { p.Shares = []Share{{Steps: []uint64{5, 0}}} },
		"too long":    func(p *Policy) { p.DefaultShare.Steps = []uint64{1, 1, 1, 1} },
		"no number":   func(p *Policy) { p.DefaultShare.Demand = math.NaN() },
		"no rest":     func(p *Policy) { p.DefaultShare = Share{} },
		"huge stride": func(p *Policy) { p.DefaultShare.Steps = []uint64{Ring + 1} },
	} {
		policy := valid
		if invalidate(&policy); policy.Validate() == nil {
			t.Errorf("%s: passes", name)
		}
	}
}
