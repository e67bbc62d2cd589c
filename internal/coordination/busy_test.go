package coordination

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReport measures a busy leader's step: a report of one of forty
// machines while thirty jobs wait for room. Reports are most of its work.
func BenchmarkReport(b *testing.B) {
	w := newWorld(&testing.T{}, 1)
	w.runTime = func(string, int) time.Duration { return time.Hour }
	l := w.waitLeader()
	w.cloud.boot = time.Second
	w.machines(40)
	for i := range 30 {
		j := spec(fmt.Sprintf("j-%d", i), 40)
		j.Image = fmt.Sprintf("i%d", i%7)
		w.submit(l.name, j)
	}
	w.run(10 * time.Second)
	m := l.lead.machines["m-000001"]
	rep := w.workers["m-000001"].report()
	now := w.now - l.boot
	b.ReportAllocs()
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
