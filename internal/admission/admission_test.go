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
func TestAllotProperties(t *testing.T) {
	const small = 1e-6
	rng := rand.New(rand.NewPCG(1, 1))
	for round := range 2000 {
		demands, capacity, epochs := randomDemands(rng), math.Exp(rng.Float64()*9), 1+rng.IntN(12)
		given := allotCapacity(capacity, demands, epochs)
		wanted, teams, got := 0.0, map[string]float64{}, map[string]float64{}
		for i, d := range demands {
			wanted += d.Jobs
			teams[d.Team] += d.Jobs
			got[d.Team] += given[i]
			if given[i] < -small || given[i] > d.Jobs+small {
				t.Fatalf("round %d: %v of %v", round, given[i], d.Jobs)
			}
		}
		if all := sum(given); math.Abs(all-min(wanted, capacity)) > small*capacity {
			t.Fatalf("round %d: %v given of %v, %v wanted", round, all, capacity, wanted)
		}
		least := minimumAllotments(demands, epochs)
		inTime := sum(least) <= capacity
		reserved := 0.0
		for i := range demands {
			if inTime {
				reserved += least[i]
				if given[i] < least[i]-small {
					t.Fatalf("round %d: too little for a turn in time", round)
				}
			}
		}
		floor := (capacity - reserved) * floorShare / float64(len(teams))
		for team, asked := range teams {
			if got[team] < min(asked, floor)-small {
				t.Fatalf("round %d: team %s has %v, the floor is %v", round, team, got[team], floor)
			}
		}
		checkPriority(t, demands, given, capacity, epochs)
	}
}

// checkPriority looks for urgent work that goes short while other work has more than its floor.
func checkPriority(t *testing.T, demands []groupDemand, given []float64, capacity float64, epochs int) {
	t.Helper()
	floors := make([]float64, len(demands))
	if least := minimumAllotments(demands, epochs); sum(least) <= capacity {
		copy(floors, least)
	}
	allotFloor((capacity-sum(floors))*floorShare, demands, floors)
	for i, urgent := range demands {
		for k, other := range demands {
			if urgent.PriorityRank < other.PriorityRank && given[i] < urgent.Jobs-1e-6 && given[k] > floors[k]+1e-6 {
				t.Fatalf("rank %d has %v of %v while rank %d has %v, its floor is %v",
					urgent.PriorityRank, given[i], urgent.Jobs, other.PriorityRank, given[k], floors[k])
			}
		}
	}
}

// A job that is told after how many epochs its turn comes is admitted then, if the arc does
// not slow down, and still in the epoch after.
func TestTurnComesAsTold(t *testing.T) {
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
			share.advanceArc(max(step, share.lastStep()))
			if share.evaluate(position).Admit {
				break
			}
		}
		for late := range 2 {
			if !share.evaluate(position).Admit {
				t.Fatalf("not admitted %d epochs after its turn began", late)
			}
			share.advanceArc(share.lastStep())
		}
	}
}

// crowd is users who submit and come back when they are told to.
type crowd struct {
	rng      *rand.Rand
	control  *Planner
	capacity int
	epoch    int
	waiting  []*applicant
	longest  map[Group]int // epochs until a job was admitted, at most
	accepted map[Group]int
	gaveUp   map[Group]int
	patience int // epochs until a user gives up
	switches int // of the policy, on and off
	most     int // jobs accepted in an epoch
}

type applicant struct {
	id          string
	group       Group
	since, next int
}

func newCrowd(seed uint64, capacity int) *crowd {
	return &crowd{rng: rand.New(rand.NewPCG(seed, 3)), capacity: capacity, patience: 17,
		control: NewPlanner(Settings{EpochLengthMS: 3500, MaxEpochsToTurn: 11, MaxShares: 64}, nil),
		longest: map[Group]int{}, accepted: map[Group]int{}, gaveUp: map[Group]int{}}
}

func (c *crowd) submit(group Group, jobs int) {
	for range jobs {
		c.waiting = append(c.waiting, &applicant{id: fmt.Sprintf("j-%x", c.rng.Uint64()), group: group, since: c.epoch, next: c.epoch})
	}
}

// pass lets an epoch go by. Users come in any order; late ones come an epoch late.
func (c *crowd) pass() {
	loads := map[Group]*Load{}
	room := c.capacity
	var still []*applicant
	c.rng.Shuffle(len(c.waiting), func(i, j int) { c.waiting[i], c.waiting[j] = c.waiting[j], c.waiting[i] })
	for _, a := range c.waiting {
		if a.next > c.epoch {
			still = append(still, a)
			continue
		}
		load := loads[a.group]
		if load == nil {
			load = &Load{Group: a.group, Weight: 1}
			loads[a.group] = load
		}
		verdict := c.control.Policy().Evaluate(a.group, a.id)
		switch {
		case verdict.Admit && room > 0:
			room--
			load.Accepted++
			c.accepted[a.group]++
			c.longest[a.group] = max(c.longest[a.group], c.epoch-a.since)
			continue
		case verdict.Admit:
			a.next = c.epoch + 1
			load.RejectedForCapacity++
		default:
			a.next = c.epoch + verdict.EpochsToTurn + c.rng.IntN(2) // in time, or late by one
			load.RejectedByPolicy++
		}
		if c.epoch-a.since >= c.patience {
			c.gaveUp[a.group]++
			continue
		}
		still = append(still, a)
	}
	c.waiting = still
	c.most = max(c.most, c.capacity-room)
	list := make([]Load, 0, len(loads))
	for _, l := range loads {
		list = append(list, *l)
	}
	was := c.control.Policy() != nil
	c.control.NextPolicy(list, Capacity{Jobs: float64(c.capacity)}, uint64(c.epoch+1))
	if is := c.control.Policy() != nil; is != was {
		c.switches++
	}
	c.epoch++
}

// A burst of several times what can be taken at once: urgent work waits least, every job is
// admitted before its user gives up, and the policy ends afterwards.
func TestBurstIsAdmittedInTime(t *testing.T) {
	urgent, low := Group{"shop", "prices", 1}, Group{"shop", "reports", 3}
	for seed := range uint64(20) {
		c := newCrowd(seed, 100)
		c.submit(low, 500)
		c.submit(urgent, 100)
		for range 40 {
			c.submit(urgent, 3)
			c.submit(low, 5)
			c.pass()
		}
		if c.gaveUp[low]+c.gaveUp[urgent] > 0 || len(c.waiting) > 20 {
			t.Errorf("seed %d: %d gave up, %d wait", seed, c.gaveUp[low]+c.gaveUp[urgent], len(c.waiting))
		}
		if c.longest[urgent] > 6 || c.longest[low] > 13 {
			t.Errorf("seed %d: urgent work waited for up to %d epochs, other for %d", seed, c.longest[urgent], c.longest[low])
		}
		if c.control.Policy() != nil || c.switches != 2 {
			t.Errorf("seed %d: %d switches, policy %v", seed, c.switches, c.control.Policy())
		}
	}
}

// Urgent work presses for an hour with twice what can be taken. The low class keeps a share,
// and a steady part of it is admitted in each stretch of that hour.
func TestLowClassUnderHoursOfPressure(t *testing.T) {
	urgent, low := Group{"shop", "prices", 1}, Group{"shop", "reports", 3}
	c := newCrowd(1, 100)
	before := 0
	for epoch := range 1000 {
		c.submit(urgent, 200)
		c.submit(low, 5)
		c.pass()
		if epoch%50 == 49 {
			if c.accepted[low]-before < 125 {
				t.Errorf("epoch %d: %d of 250 of the low class were admitted", epoch, c.accepted[low]-before)
			}
			before = c.accepted[low]
		}
	}
	if total := c.accepted[urgent] + c.accepted[low]; total < 85*1000 {
		t.Errorf("%d of 100,000 places were used", total)
	}
}

// One of a hundred teams offers nearly all, of the same priority as the others or of a higher
// one: the others are admitted within a few epochs, most of them at once.
func TestOneTeamOffersNearlyAll(t *testing.T) {
	for _, x := range []struct{ rank, every int }{{2, 1}, {1, 4}} {
		flood := Group{"flood", "c", x.rank}
		c := newCrowd(1, 200)
		for epoch := range 100 {
			c.submit(flood, 2000)
			for team := range 99 {
				if (epoch+team)%x.every == 0 {
					c.submit(Group{fmt.Sprint("t", team), "c", 2}, 1)
				}
			}
			c.pass()
		}
		for group, epochs := range c.longest {
			if group != flood && epochs > 10 {
				t.Errorf("rank %d: a job of %s waited for %d epochs", x.rank, group.Team, epochs)
			}
		}
		for group, jobs := range c.gaveUp {
			if group != flood {
				t.Errorf("rank %d: %d users of %s gave up", x.rank, jobs, group.Team)
			}
		}
		if c.accepted[flood] < 5000 {
			t.Errorf("rank %d: %d of the flood's jobs were accepted", x.rank, c.accepted[flood])
		}
	}
}

// Load that hovers around what can be taken does not switch the policy to and fro, and one
// that changes its mix within an epoch is followed.
func TestHoveringAndChangingLoad(t *testing.T) {
	a, b := Group{"a", "c", 2}, Group{"b", "c", 2}
	c := newCrowd(4, 100)
	for epoch := range 400 {
		c.submit(a, 90+c.rng.IntN(21))
		if epoch%7 == 0 {
			c.submit(b, 60)
		}
		c.pass()
	}
	if c.switches > 4 {
		t.Errorf("%d switches in 400 epochs", c.switches)
	}
	c = newCrowd(5, 100)
	for epoch := range 200 {
		c.submit([]Group{a, b}[epoch/3%2], 400)
		c.pass()
	}
	if c.accepted[a] < 4000 || c.accepted[b] < 4000 || c.accepted[a]+c.accepted[b] < 13000 {
		t.Errorf("%d and %d of 20,000 places", c.accepted[a], c.accepted[b])
	}
}

// A policy goes on under another leader where it stood, and never names more than it may.
func TestControlGoesOnFromPolicy(t *testing.T) {
	c := newCrowd(6, 50)
	c.control.settings.MaxShares = 3
	for range 12 {
		for team := range 10 {
			c.submit(Group{fmt.Sprint("t", team), "c", 2}, 10*(team+1))
		}
		c.pass()
		if p := c.control.Policy(); p != nil && (len(p.Shares) > 3 || p.Validate() != nil) {
			t.Fatalf("%+v: %v", p, p.Validate())
		}
	}
	last := *c.control.Policy()
	next := NewPlanner(c.control.settings, &last).NextPolicy(nil, Capacity{Jobs: 50}, 1)
	if next == nil || next.Epoch != last.Epoch+1 {
		t.Fatalf("after %+v: %+v", last, next)
	}
	for _, s := range last.Shares {
		if now := next.shareOf(s.Group); now.Group == s.Group && now.Tail-s.Tail > uint32(s.OpenPositions()) {
			t.Errorf("%s begins at %d after %d", s.Team, now.Tail, s.Tail)
		}
	}
}

// What can't be a policy is told from one.
func TestCheckRefusesImpossiblePolicies(t *testing.T) {
	good := Policy{Epoch: 1, EpochLengthMS: 1, DefaultShare: FullShare(Group{})}
	if good.Validate() != nil {
		t.Fatal(good.Validate())
	}
	for name, spoil := range map[string]func(p *Policy){
		"no epoch":    func(p *Policy) { p.Epoch = 0 },
		"no length":   func(p *Policy) { p.EpochLengthMS = 0 },
		"stands":      func(p *Policy) { p.Shares = []Share{{Steps: []uint64{5, 0}}} },
		"too long":    func(p *Policy) { p.DefaultShare.Steps = []uint64{1, 1, 1, 1} },
		"no number":   func(p *Policy) { p.DefaultShare.Demand = math.NaN() },
		"no rest":     func(p *Policy) { p.DefaultShare = Share{} },
		"huge stride": func(p *Policy) { p.DefaultShare.Steps = []uint64{Ring + 1} },
	} {
		p := good
		if spoil(&p); p.Validate() == nil {
			t.Errorf("%s: passes", name)
		}
	}
}
