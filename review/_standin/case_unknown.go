package main

import (
	"fmt"
	"time"

	"hitchdoor/internal/fakes"
)

func init() { cases["unknown-field"] = caseUnknownField }

// caseUnknownField submits jobs of four tasks. With the trouble, the submissions also carry a field that
// the pages don't name, "Pecas" (JSON names are case-sensitive, so it is not "pecas"). A receiver has to
// ignore it: a job is done once its four tasks are.
func caseUnknownField(rec *record, trouble bool) []string {
	s := frotaSettings()
	store, err := fakes.NewStore(0)
	if err != nil {
		cannotRun("%v", err)
	}
	kinds := []machineKind{{"catamara", 8, 0, 16, 50, 0.6, 0.39, 0.16, 25, []string{"boa-viagem"}}}
	f := newFleet(rec, s, kinds, 4, 2*time.Second)
	c := newCluster(rec, s, store, serve(f))
	defer c.close()
	f.use(c)
	u := &users{f: f, c: c, rec: rec}
	c.startAll()
	if c.awaitLeader(10*time.Second) == nil {
		cannotRun("no leader")
	}
	var jobs []*job
	for i := range 3 {
		j := newJob(fmt.Sprintf("j-%06d", 412+i), "saude-baterias", "operacoes-frota", 4, 1, 3)
		if trouble {
			j.body["Pecas"] = 1
		}
		jobs = append(jobs, j)
		if !u.submit(j, i, 30*time.Second) {
			cannotRun("%s was not accepted", j.id)
		}
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		open := 0
		for i, j := range jobs {
			if state := u.poll(j, i); state != "done" {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	for _, j := range jobs {
		rec.printf("%s: %d of %d tasks have completed on machines, its user was told %q", j.id, f.doneTasks(j.id, 4), 4, j.final)
		if j.final == "" {
			u.breaks("%s is not done within 60 s", j.id)
		}
	}
	f.stop()
	return append(f.broken, u.broken...)
}
