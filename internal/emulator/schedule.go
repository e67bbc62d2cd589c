package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// faultKind is a kind of fault of a fault test.
type faultKind string

// The kinds of faults.
const (
	killOne         faultKind = "kill one controller"
	killAll         faultKind = "kill all controllers"
	killLeaders     faultKind = "kill the leader again and again"
	pauseOne        faultKind = "pause a controller"
	cutPeers        faultKind = "cut a controller from the others"
	cutWorkers      faultKind = "cut the workers from a controller"
	cutStore        faultKind = "cut a controller from the store"
	cutAll          faultKind = "cut a controller from store and controllers"
	slowLinks       faultKind = "delay messages between controllers"
	refuseStore     faultKind = "store refuses a controller"
	storeOutage     faultKind = "store outage"
	slowStore       faultKind = "slow store"
	loseAnswers     faultKind = "lose answers to transactions"
	lateWrites      faultKind = "execute transactions late"
	cloudOutage     faultKind = "cloud outage"
	partitionFleet  faultKind = "partition machines"
	lateHeartbeats  faultKind = "repeat heartbeats late"
	preemptMachines faultKind = "take machines"
)

// faultKinds are all kinds. Their order is part of what a seed means.
var faultKinds = []faultKind{killOne, killAll, killLeaders, pauseOne, cutPeers, cutWorkers, cutStore, cutAll,
	slowLinks, refuseStore, storeOutage, slowStore, loseAnswers, lateWrites, cloudOutage, partitionFleet,
	lateHeartbeats, preemptMachines}

// direction states which way a cut applies.
type direction string

// The directions of a cut.
const (
	bothWays direction = "both ways"
	toTarget direction = "to it"
	fromIt   direction = "from it"
)

// fault is one entry of a schedule.
type fault struct {
	kind       faultKind
	begin, end time.Duration // since the start of the load
	controller int           // index of the affected controller
	direction  direction
	share      float64 // share of machines, transactions or heartbeats
}

// String describes the fault in one line.
func (f fault) String() string {
	return fmt.Sprintf("%6.2f to %6.2f s  %s (n%d, %s, share %.2f)", f.begin.Seconds(), f.end.Seconds(), f.kind,
		f.controller, f.direction, f.share)
}

// schedule is the list of faults of a run, ordered by their begin.
type schedule []fault

// String describes the schedule, one fault a line.
func (s schedule) String() string {
	lines := make([]string, 0, len(s))
	for _, planned := range s {
		lines = append(lines, planned.String())
	}
	return strings.Join(lines, "\n")
}

// Shape of a schedule.
const (
	// meanFaultGap is the mean time between the begins of two faults, in worker leases. Faults last up to
	// maxFaultLeases, so two or three overlap.
	meanFaultGap   = 0.4
	maxFaultLeases = 1.8
	minFaultLeases = 0.1
)

// newSchedule draws the faults of a run. The same seed and options give the same schedule.
func newSchedule(seed uint64, controllers int, lease, duration time.Duration) schedule {
	rng := rand.New(rand.NewPCG(seed, 7))
	leases := func(count float64) time.Duration { return time.Duration(count * float64(lease)) }
	var planned schedule
	for at := leases(meanFaultGap); at < duration; at += leases(meanFaultGap * (0.2 + 1.6*rng.Float64())) {
		length := minFaultLeases + (maxFaultLeases-minFaultLeases)*rng.Float64()*rng.Float64()
		planned = append(planned, fault{
			kind: faultKinds[rng.IntN(len(faultKinds))], begin: at, end: min(duration, at+leases(length)),
			controller: rng.IntN(controllers), direction: []direction{bothWays, toTarget, fromIt}[rng.IntN(3)],
			share: 0.05 + 0.45*rng.Float64(),
		})
	}
	slices.SortStableFunc(planned, func(a, b fault) int { return cmp.Compare(a.begin, b.begin) })
	return planned
}
