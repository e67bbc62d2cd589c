package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// Controllers of different versions must compute the same position for a job. Otherwise they would
// admit different jobs under the same policy.
func TestPositionNeverChanges(t *testing.T) {
	for id, want := range map[string]uint32{"": 0xef46db37, "j-1": 0xb9efbf34, "j-000412": 0xf9efe040} {
		if got := Position(id); got != want {
			t.Errorf("position of job %q: got %#x, want %#x", id, got, want)
		}
	}
}

// randomDemands returns the demands of up to 40 groups of up to 8 teams, with random priorities.
func randomDemands(rng *rand.Rand) []groupDemand {
	demands := make([]groupDemand, 1+rng.IntN(40))
	for i := range demands {
		demands[i] = groupDemand{
			Group: Group{Team: fmt.Sprint("t", rng.IntN(8)), Class: fmt.Sprint("c", i), PriorityRank: rng.IntN(4)},
			Jobs:  math.Exp(rng.Float64() * 9), Weight: 1 + 3*rng.Float64(),
		}
	}
	return demands
}

// No group may get more than its demand, no capacity may be left over while a demand is not met, and
// each team must get its even part of the floor. Less urgent groups may get more than the floor only
// if the demand of all more urgent groups is met.
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
				t.Fatalf("round %d: group %d is allocated %v jobs, want 0 to its demand of %v",
					round, i, allocated[i], demand.Jobs)
			}
		}
		if total := sum(allocated); math.Abs(total-min(totalDemand, capacity)) > tolerance*capacity {
			t.Fatalf("round %d: %v jobs allocated in total, want the smaller of capacity %v and demand %v",
				round, total, capacity, totalDemand)
		}
		minimum := minimumAllocations(demands, maxEpochs)
		minimumFits := sum(minimum) <= capacity
		reserved := 0.0
		for i := range demands {
			if minimumFits {
				reserved += minimum[i]
				if allocated[i] < minimum[i]-tolerance {
					t.Fatalf("round %d: group %d is allocated %v jobs, want at least %v to be admitted in time",
						round, i, allocated[i], minimum[i])
				}
			}
		}
		floor := (capacity - reserved) * floorShare / float64(len(teamDemand))
		for team, demand := range teamDemand {
			if teamAllocated[team] < min(demand, floor)-tolerance {
				t.Fatalf("round %d: team %s is allocated %v jobs, want at least the smaller of its demand %v and the floor %v",
					round, team, teamAllocated[team], demand, floor)
			}
		}
		checkPriority(t, demands, allocated, capacity, maxEpochs)
	}
}

// checkPriority fails if the demand of a group is not met while a less urgent group gets more than its
// floor.
func checkPriority(t *testing.T, demands []groupDemand, allocated []float64, capacity float64, maxEpochs int) {
	t.Helper()
	floors := make([]float64, len(demands))
	if minimum := minimumAllocations(demands, maxEpochs); sum(minimum) <= capacity {
		copy(floors, minimum)
	}
	allocateFloor((capacity-sum(floors))*floorShare, demands, floors)
	for i, urgent := range demands {
		for j, other := range demands {
			if urgent.PriorityRank < other.PriorityRank && allocated[i] < urgent.Jobs-1e-6 &&
				allocated[j] > floors[j]+1e-6 {
				t.Fatalf("a group of rank %d gets %v of %v jobs; one of rank %d gets %v, want at most its floor %v",
					urgent.PriorityRank, allocated[i], urgent.Jobs, other.PriorityRank, allocated[j], floors[j])
			}
		}
	}
}

// If the arc does not slow down, a job must be admitted no later than after the predicted number of
// epochs, and must stay admitted in the following epoch for users who retry late.
func TestJobIsAdmittedWithinPredictedEpochs(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	for range 500 {
		share := Share{Start: rng.Uint32()}
		step := uint64(Ring * (minStepShare + rng.Float64()/8))
		share.advanceArc(step)
		position := rng.Uint32()
		verdict := share.evaluate(position)
		if verdict.EpochsUntilAdmitted > share.EpochsToAdmitAll() {
			t.Fatalf("the job is to be admitted after %d epochs, want at most the %d of EpochsToAdmitAll",
				verdict.EpochsUntilAdmitted, share.EpochsToAdmitAll())
		}
		for range verdict.EpochsUntilAdmitted {
			if share.evaluate(position).Admit {
				t.Fatal("the job is admitted although the verdict predicts a later epoch")
			}
			step = min(Ring, uint64(float64(step)*(1+rng.Float64()/float64(1+verdict.EpochsUntilAdmitted))))
			share.advanceArc(max(step, share.newestStep()))
			if share.evaluate(position).Admit {
				break
			}
		}
		for late := range 2 {
			if !share.evaluate(position).Admit {
				t.Fatalf("the job is not admitted %d epochs after its turn, want it admitted from then on", late)
			}
			share.advanceArc(share.newestStep())
		}
	}
}

// submitterSimulation simulates users who submit jobs and retry rejected ones when the policy will
// admit them.
type submitterSimulation struct {
	rng            *rand.Rand
	planner        *Planner
	capacity       int // jobs per epoch
	epoch          int // number of the current epoch
	waiting        []*pendingJob
	maxWaitEpochs  map[Group]int // longest wait of an accepted job, in epochs
	accepted       map[Group]int // number of accepted jobs
	gaveUp         map[Group]int // number of jobs whose users gave up
	retryEpochs    int           // number of epochs after which a user gives up
	policySwitches int           // how often a policy started or ended
	maxAccepted    int           // largest number of jobs accepted in one epoch
}

// pendingJob is a job that has not been accepted yet. Times are numbers of epochs.
type pendingJob struct {
	id                         string
	group                      Group
	submittedAt, nextAttemptAt int
}

// newSubmitterSimulation returns a simulation without jobs. capacity is in jobs per epoch.
func newSubmitterSimulation(seed uint64, capacity int) *submitterSimulation {
	return &submitterSimulation{rng: rand.New(rand.NewPCG(seed, 3)), capacity: capacity, retryEpochs: 17,
		planner:       NewPlanner(Settings{EpochLengthMS: 3500, MaxEpochsUntilAdmitted: 11, MaxShares: 64}, nil),
		maxWaitEpochs: map[Group]int{}, accepted: map[Group]int{}, gaveUp: map[Group]int{}}
}

// submit adds jobs of a group, which are submitted in the current epoch.
func (s *submitterSimulation) submit(group Group, jobs int) {
	for range jobs {
		s.waiting = append(s.waiting, &pendingJob{id: fmt.Sprintf("j-%x", s.rng.Uint64()), group: group,
			submittedAt: s.epoch, nextAttemptAt: s.epoch})
	}
}

// runEpoch simulates an epoch and computes the policy of the next one. Jobs are submitted in random
// order. Some users retry one epoch late.
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
			job.nextAttemptAt = s.epoch + verdict.EpochsUntilAdmitted + s.rng.IntN(2) // on time, or one epoch late
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

// After a burst of several times the capacity, urgent jobs must wait least, every job must be admitted
// before its user gives up, and the policy must end.
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
			t.Errorf("seed %d: %d users gave up, want 0; %d jobs wait, want at most 20",
				seed, sim.gaveUp[low]+sim.gaveUp[urgent], len(sim.waiting))
		}
		if sim.maxWaitEpochs[urgent] > 6 || sim.maxWaitEpochs[low] > 13 {
			t.Errorf("seed %d: urgent jobs waited up to %d epochs, want at most 6; others up to %d, want at most 13",
				seed, sim.maxWaitEpochs[urgent], sim.maxWaitEpochs[low])
		}
		if sim.planner.Policy() != nil || sim.policySwitches != 2 {
			t.Errorf("seed %d: policies started or ended %d times, want 2; the last policy is %v, want none",
				seed, sim.policySwitches, sim.planner.Policy())
		}
	}
}

// While urgent jobs are submitted at twice the capacity for 1000 epochs (about an hour), at least half of
// the low-priority jobs must be accepted in every 50 epochs. Strict priority would starve them.
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
				t.Errorf("epoch %d: %d of the last 250 low-priority jobs were accepted, want at least 125",
					epoch, sim.accepted[low]-acceptedBefore)
			}
			acceptedBefore = sim.accepted[low]
		}
	}
	if total := sim.accepted[urgent] + sim.accepted[low]; total < 85*1000 {
		t.Errorf("%d jobs were accepted of a capacity of 100,000, want at least 85,000", total)
	}
}

// One of a hundred teams submits nearly all jobs, with the same priority as the others or a higher
// one. The jobs of the other teams must still be admitted within a few epochs.
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
				t.Errorf("rank %d: a job of team %s waited for %d epochs, want at most 10", test.rank, group.Team, epochs)
			}
		}
		for group, jobs := range sim.gaveUp {
			if group != dominant {
				t.Errorf("rank %d: %d users of team %s gave up, want 0", test.rank, jobs, group.Team)
			}
		}
		if sim.accepted[dominant] < 5000 {
			t.Errorf("rank %d: %d jobs of the dominant team were accepted, want at least 5000",
				test.rank, sim.accepted[dominant])
		}
	}
}

// A load that fluctuates around the capacity must not start and end policies all the time. If the load
// moves from one group to another every three epochs, the allocation must follow it.
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
		t.Errorf("policies started or ended %d times in 400 epochs, want at most 4", sim.policySwitches)
	}
	sim = newSubmitterSimulation(5, 100)
	for epoch := range 200 {
		sim.submit([]Group{a, b}[epoch/3%2], 400)
		sim.runEpoch()
	}
	if sim.accepted[a] < 4000 || sim.accepted[b] < 4000 || sim.accepted[a]+sim.accepted[b] < 13000 {
		t.Errorf("%d and %d jobs were accepted of a capacity of 20,000, want at least 4000 each and 13,000 in total",
			sim.accepted[a], sim.accepted[b])
	}
}

// A new leader must continue the epochs and arcs of the last policy, because users retry at the times
// that the policy predicted. No policy may name more than MaxShares groups.
func TestPlannerContinuesFromPolicy(t *testing.T) {
	sim := newSubmitterSimulation(6, 50)
	sim.planner.settings.MaxShares = 3
	for range 12 {
		for team := range 10 {
			sim.submit(Group{fmt.Sprint("t", team), "c", 2}, 10*(team+1))
		}
		sim.runEpoch()
		if policy := sim.planner.Policy(); policy != nil && (len(policy.Shares) > 3 || policy.Validate() != nil) {
			t.Fatalf("want a valid policy with at most 3 shares, got %+v: %v", policy, policy.Validate())
		}
	}
	last := *sim.planner.Policy()
	next := NewPlanner(sim.planner.settings, &last).NextPolicy(nil, Capacity{Jobs: 50}, 1)
	if next == nil || next.Epoch != last.Epoch+1 {
		t.Fatalf("the policy after %+v: got %+v, want one of the next epoch", last, next)
	}
	for _, share := range last.Shares {
		if nextShare := next.shareOf(share.Group); nextShare.Group == share.Group &&
			nextShare.Start-share.Start > uint32(share.AdmittedPositions()) {
			t.Errorf("the arc of team %s begins at %d after %d, want a position in the last arc",
				share.Team, nextShare.Start, share.Start)
		}
	}
}

// Validate must reject every policy that can't be evaluated or continued. A share without positive
// steps, for example, causes a division by zero.
func TestValidateRejectsInvalidPolicies(t *testing.T) {
	valid := Policy{Epoch: 1, EpochLengthMS: 1, DefaultShare: FullShare(Group{})}
	if valid.Validate() != nil {
		t.Fatal("a valid policy is rejected:", valid.Validate())
	}
	for name, invalidate := range map[string]func(p *Policy){
		"no epoch":         func(p *Policy) { p.Epoch = 0 },
		"no epoch length":  func(p *Policy) { p.EpochLengthMS = 0 },
		"zero step":        func(p *Policy) { p.Shares = []Share{{Steps: []uint64{5, 0}}} },
		"too many steps":   func(p *Policy) { p.DefaultShare.Steps = []uint64{1, 1, 1, 1} },
		"demand is NaN":    func(p *Policy) { p.DefaultShare.Demand = math.NaN() },
		"absurd demand":    func(p *Policy) { p.DefaultShare.Demand = 1e300 },
		"no default share": func(p *Policy) { p.DefaultShare = Share{} },
		"step above Ring":  func(p *Policy) { p.DefaultShare.Steps = []uint64{Ring + 1} },
	} {
		policy := valid
		if invalidate(&policy); policy.Validate() == nil {
			t.Errorf("%s: Validate: got nil, want an error", name)
		}
	}
}
