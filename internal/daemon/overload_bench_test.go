package daemon

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// BenchmarkOverload submits several times as many jobs as three controllers can accept, over real
// connections. It measures how long the users of each class wait, how many give up, and the CPU time of
// this process, which runs the controllers and the fakes. It is run by hand:
//
//	go test -run '^$' -bench Overload -benchtime 1x ./internal/daemon
func BenchmarkOverload(b *testing.B) {
	for _, fair := range []bool{false, true} {
		b.Run(fmt.Sprintf("fair admission %v", fair), func(b *testing.B) {
			for b.Loop() {
				measureOverload(b, fair)
			}
		})
	}
}

// measureOverload runs the overload once and logs the figures.
func measureOverload(b *testing.B, fair bool) {
	settings := config.Defaults()
	settings.FairAdmission = fair
	cluster := newTestCluster(b, 3, 24, settings)
	cluster.waitForLeader()
	startedAt, cpuTimeBefore := time.Now(), cpuTime()
	users := &overloadUsers{waitTimes: map[string]*hdrhistogram.Histogram{}, gaveUp: map[string]int{}}
	// About 7 jobs a second are accepted, or 22 if no controller knows of the others' submissions.
	for i := range 1500 {
		class := []string{"urgent", "standard", "low", "low", "low"}[i%5]
		job := singleTaskJob(fmt.Sprintf("j-%s-%d", class, i), "a", class, protocol.Priority(class))
		delay := time.Duration(i) * 20 * time.Millisecond
		users.submissions.Go(func() {
			time.Sleep(delay)
			users.submitJob(cluster, job)
		})
	}
	users.submissions.Wait()
	elapsed := time.Since(startedAt)
	accepted := 0
	for _, class := range []string{"urgent", "standard", "low"} {
		waits := users.waitTimes[class]
		accepted += int(waits.TotalCount())
		b.Logf("%-8s accepted %4d, gave up %4d; waited ms p50 %d, p90 %d, p99 %d, max %d",
			class, waits.TotalCount(), users.gaveUp[class],
			waits.ValueAtQuantile(50), waits.ValueAtQuantile(90), waits.ValueAtQuantile(99), waits.Max())
	}
	b.Logf("%d of %d accepted jobs had finished when the last user stopped submitting",
		cluster.store.CountKeys(storage.TerminalPrefix), accepted)
	b.Logf("%.1f jobs accepted per second, CPU time %.3f s per second", float64(accepted)/elapsed.Seconds(),
		(cpuTime()-cpuTimeBefore).Seconds()/elapsed.Seconds())
}

// cpuTime returns the user and system CPU time of this process, 0 if it can't be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// overloadUsers submits jobs as many independent users do and records how long they waited.
type overloadUsers struct {
	submissions sync.WaitGroup
	mu          sync.Mutex
	waitTimes   map[string]*hdrhistogram.Histogram // by class, in milliseconds
	gaveUp      map[string]int                     // number of users, by class
}

// submitJob submits a job as a user does: to a random node, with retries after Retry-After, until the
// job is accepted or protocol.SubmissionRetryWindow has passed.
func (u *overloadUsers) submitJob(cluster *testCluster, job protocol.Job) {
	startedAt := time.Now()
	for {
		status, retryAfter := cluster.submitJob(cluster.nodes[rand.IntN(len(cluster.nodes))], job)
		if status == 200 || status == 201 {
			u.recordOutcome(job.Class, time.Since(startedAt), true)
			return
		}
		if time.Since(startedAt) > protocol.SubmissionRetryWindow {
			u.recordOutcome(job.Class, 0, false)
			return
		}
		time.Sleep(min(30*time.Second, max(time.Second, retryAfter)))
	}
}

// recordOutcome records the waiting time of an accepted job, or that its user gave up.
func (u *overloadUsers) recordOutcome(class string, waited time.Duration, accepted bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.waitTimes[class] == nil {
		u.waitTimes[class] = hdrhistogram.New(1, 120_000, 3)
	}
	if !accepted {
		u.gaveUp[class]++
		return
	}
	u.waitTimes[class].RecordValue(max(1, waited.Milliseconds()))
}
