package controller

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkHalfOpenCuts measures what one-way (half-open) cuts cost, for each cut and each pair of cuts
// with which a leader is possible, in simulated time: the time until a new job starts, the number of new
// terms, and the number of worker leases that expire, which loses the tasks of these workers. It is run
// by hand only:
//
//	go test -run '^$' -bench HalfOpenCuts -benchtime 1x ./internal/controller
func BenchmarkHalfOpenCuts(b *testing.B) {
	const longest = 100 * time.Second
	names := slices.Sorted(maps.Keys(halfOpenCuts))
	for b.Loop() {
		for _, nodes := range []int{3, 5, 7} {
			startDelay, terms, lostLeases := hdrhistogram.New(1, longest.Milliseconds(), 3),
				hdrhistogram.New(1, 1000, 3), hdrhistogram.New(1, 1000, 3)
			neverStarted := 0
			for i, first := range names {
				for _, second := range names[i:] {
					if !leaderPossible(first, second) {
						continue
					}
					sim, leaderNode := newRunningSimulation(&testing.T{}, nodes, 20*time.Second, 4, 8)
					leader, term, cutAt := leaderNode.name, leaderNode.leader.term, sim.now
					halfOpenCuts[first](sim, leader, true)
					halfOpenCuts[second](sim, leader, true)
					newUserSimulation(sim, uint64(nodes)).submitWithRetries(jobSpec("j-2", 2))
					if !sim.advanceUntil(longest, func() bool { return sim.firstStartAt["j-2"] != 0 }) {
						neverStarted++
					}
					startDelay.RecordValue(max(1, (sim.now - cutAt).Milliseconds()))
					sim.advance(longest - (sim.now - cutAt))
					highestTerm, newEpochs := term, 0
					for _, n := range sim.nodes {
						if n.leader != nil {
							highestTerm = max(highestTerm, n.leader.term)
						}
					}
					for _, worker := range sim.workers {
						newEpochs += int(worker.epoch - 1)
					}
					terms.RecordValue(int64(highestTerm - term))
					lostLeases.RecordValue(int64(newEpochs))
				}
			}
			b.Logf("%d nodes, %d pairs: start delay in ms p50 %d, p90 %d, max %d, no start in %d pairs within %v; "+
				"terms p50 %d, p90 %d, max %d; leases lost p50 %d, p90 %d, max %d",
				nodes, startDelay.TotalCount(),
				startDelay.ValueAtQuantile(50), startDelay.ValueAtQuantile(90), startDelay.Max(), neverStarted, longest,
				terms.ValueAtQuantile(50), terms.ValueAtQuantile(90), terms.Max(),
				lostLeases.ValueAtQuantile(50), lostLeases.ValueAtQuantile(90), lostLeases.Max())
		}
	}
}
