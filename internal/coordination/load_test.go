package coordination

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/protocol"
)

// busy is a leader at the size of a large deployment, with half as many machines
// again: all full, and tens of thousands of tasks that wait.
func busy(b *testing.B) (*simulation, *simNode) {
	defer b.ReportAllocs()
	return busyLeader(&testing.T{}, 1800, 300)
}

// busyLeader is a leader of so many full machines, with 60 jobs of so many tasks.
func busyLeader(t *testing.T, machines, tasks int) (*simulation, *simNode) {
	w := newSimulation(t, 1)
	w.runTime = func(string, int) time.Duration { return time.Hour }
	l := w.waitLeader()
	w.cloud.boot = time.Second
	for i := range machines {
		w.cloud.rent("c4", []string{"a", "b"}[i%2], true)
	}
	w.until(time.Minute, func() bool { return len(w.workers) >= machines })
	w.cloud.capacity = machines
	for i := range 60 {
		j := spec(fmt.Sprintf("j-%d", i), tasks)
		j.Image = fmt.Sprintf("i%d", i%18)
		w.submit(l.name, j)
	}
	w.run(15 * time.Second)
	return w, l
}

// What a report costs, counted in machines and jobs looked at, is the same with four
// times the machines and tasks, also for work that is to start soon and looks
// for a machine with its image.
func TestReportCostsTheSameAtAnySize(t *testing.T) {
	cost := func(machines, tasks int) int {
		w, n := busyLeader(t, machines, tasks)
		l, now := n.lead, w.now-n.boot
		l.startWithin = 10 * time.Second
		for i, r := range l.order {
			r.j.from, r.j.spec.Image, r.j.spec.ImageGB = now, fmt.Sprintf("new%d", i), 1
			if i < len(l.order)/2 {
				r.j.spec.RAM = 15 // no room on any machine, but each is asked
			}
			l.aims[r.j.spec.Class] = []aim{{within: 10 * time.Second, start: true}}
		}
		at := l.looked
		for i, m := range l.held()[:21] {
			rep := w.workers[m.name].report()
			if i%2 == 0 { // a task has ended
				rep.Tasks[0].State, rep.Tasks[0].Why = protocol.TaskExited, protocol.WhyDone
			}
			rep.Seq = m.seq + 1
			n.elect.authUntil = now + time.Hour
			l.onReport(Request{Origin: Origin{Ticket: uint64(i)}, Kind: protocol.RequestReport, Report: rep})
			if m.seq != rep.Seq {
				t.Fatal("a report was not taken")
			}
			if i == 0 {
				at = l.looked // the first one after a pass looks for the images
			}
		}
		return l.looked - at
	}
	small, large := cost(24, 20), cost(96, 80)
	if small == 0 || large > small*5/4 {
		t.Errorf("20 reports looked at %d machines and jobs, and at %d with four times as many", small, large)
	}
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
		l.Step(now, []any{Request{Origin: Origin{Ticket: uint64(i)}, Kind: protocol.RequestReport, Report: rep}})
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
