package coordination

import (
	"fmt"
	"testing"
	"time"
)

// busy is a leader at the size of a large deployment: hundreds of machines, all
// full, and thousands of tasks that wait.
func busy(b *testing.B) (*world, *simNode) {
	w := newWorld(&testing.T{}, 1)
	w.runTime = func(string, int) time.Duration { return time.Hour }
	l := w.waitLeader()
	w.cloud.boot = time.Second
	for i := range 580 {
		w.cloud.rent("c4", []string{"a", "b"}[i%2], true)
	}
	w.until(time.Minute, func() bool { return len(w.workers) >= 580 })
	for i := range 100 {
		j := spec(fmt.Sprintf("j-%d", i), 80)
		j.Image = fmt.Sprintf("i%d", i%18)
		w.submit(l.name, j)
	}
	w.run(15 * time.Second)
	b.ReportAllocs()
	return w, l
}

// BenchmarkReport measures a leader's step for a report. Reports are most of its
// work, so it must not grow with machines x tasks.
func BenchmarkReport(b *testing.B) {
	w, l := busy(b)
	m := l.lead.machines["m-000001"]
	rep := w.workers["m-000001"].report()
	now := w.now - l.boot
	for i := 0; b.Loop(); i++ {
		// The clock stands still but for the leader's heartbeat and lease.
		rep.Seq = m.seq + 1
		l.elect.authUntil = now + time.Hour
		l.Step(now, []any{Request{Origin: Origin{Ticket: uint64(i)}, Kind: ReqReport, Report: rep}})
	}
	if m.seq != rep.Seq {
		b.Fatal("the reports were not taken")
	}
}

// BenchmarkPass measures a full pass of admission when a tenth of the machines
// have room.
func BenchmarkPass(b *testing.B) {
	_, l := busy(b)
	for b.Loop() {
		for i, m := range l.lead.held() {
			if i%10 == 0 {
				for _, r := range m.list {
					l.lead.release(r)
				}
			}
		}
		l.lead.schedule()
	}
}

// BenchmarkPlan measures the planning of the fleet.
func BenchmarkPlan(b *testing.B) {
	_, l := busy(b)
	for b.Loop() {
		l.lead.fleet.plan()
	}
}
