package main

import (
	"math"
	"time"

	"hitchdoor/internal/fakes"
)

func init() { cases["crash"] = caseCrash }

// caseCrash runs a job whose tasks save checkpoints, and whose owner gives the largest decimal number that
// JSON decoders commonly hold as the time that a save takes. With the trouble, one of the two machines runs
// its tasks four times slower. No controller may end by itself.
func caseCrash(rec *record, trouble bool) []string {
	s := frotaSettings()
	store, err := fakes.NewStore(0)
	if err != nil {
		cannotRun("%v", err)
	}
	kinds := []machineKind{{"catamara", 8, 0, 16, 50, 0.6, 0.39, 0.16, 25, []string{"boa-viagem"}}}
	f := newFleet(rec, s, kinds, 2, time.Second)
	c := newCluster(rec, s, store, serve(f))
	defer c.close()
	f.use(c)
	u := &users{f: f, c: c, rec: rec}
	c.startAll()
	if c.awaitLeader(10*time.Second) == nil {
		cannotRun("no leader")
	}
	stop := make(chan struct{})
	go c.keepRunning(8*time.Second, stop)
	defer close(stop)
	const tasks = 28
	j := newJob("j-000412", "mapas-calor", "operacoes-frota", tasks, 4, 8)
	j.body["vez"], j.body["ramGb"], j.body["marcoS"], j.body["guardaS"] = "low", 6.7, 30.0, math.MaxFloat64
	j.spec.checkpoint, j.spec.save = 30, math.MaxFloat64
	if !u.submit(j, 0, 30*time.Second) {
		cannotRun("the job was not accepted")
	}
	if trouble {
		for slowed := false; !slowed; time.Sleep(20 * time.Millisecond) {
			f.mu.Lock()
			if m := f.machines["m-000002"]; m != nil {
				m.slow, slowed = 4, true
				rec.printf("%s runs its tasks four times slower", m.name)
			}
			f.mu.Unlock()
		}
	}
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Second) {
		if u.poll(j, int(time.Until(end).Seconds())) == "done" {
			break
		}
	}
	rec.printf("%d of %d tasks are done; processes that ended by themselves: %d", f.doneTasks(j.id, tasks), tasks,
		len(c.endedByThemselves()))
	f.stop()
	return append(c.endedByThemselves(), u.broken...)
}
