package main

import (
	"time"

	"hitchdoor/internal/fakes"
)

func init() { cases["faulty"] = caseFaulty }

// caseFaulty runs a job with long tasks on all machines, then, with the trouble, a job that was submitted
// with a mistake: it fails on every machine until its user cancels it, some seconds later. After that a
// healthy job is submitted, for which every machine has room. It breaks the rule if it has not started
// although, for 90 s on end, some machine had room for one of its tasks.
func caseFaulty(rec *record, trouble bool) []string {
	s := frotaSettings()
	store, err := fakes.NewStore(0)
	if err != nil {
		cannotRun("%v", err)
	}
	const machines, machineCores, machineRAM = 2, 32.0, 64.0
	kinds := []machineKind{{"saveiro", machineCores, 0, machineRAM, 40, 0.6, 1.54, 0.65, 25, []string{"boa-viagem"}}}
	f := newFleet(rec, s, kinds, machines, time.Second)
	c := newCluster(rec, s, store, serve(f))
	defer c.close()
	f.use(c)
	u := &users{f: f, c: c, rec: rec}
	c.startAll()
	if c.awaitLeader(10*time.Second) == nil {
		cannotRun("no leader")
	}
	ram := map[string]float64{}
	submit := func(j *job, priority string, memory float64) {
		j.body["vez"], j.body["ramGb"] = priority, memory
		ram[j.id] = memory
		if !u.submit(j, 0, 30*time.Second) {
			cannotRun("%s was not accepted", j.id)
		}
	}
	long := newJob("j-000100", "mapas-calor", "operacoes-frota", 14, 4, 200)
	long.body["marcoS"], long.body["guardaS"] = 30.0, 6.0
	long.spec.checkpoint, long.spec.save = 30, 6
	submit(long, "low", 8.5) // seven on each machine
	if !f.awaitStarts(long, 14, 20*time.Second) {
		cannotRun("the long tasks have not started")
	}
	if trouble {
		faulty := newJob("j-000200", "saude-baterias", "operacoes-frota", 22, 1, 25)
		faulty.spec.fails, faulty.spec.run = true, []float64{0.5}
		submit(faulty, "standard", 1.7)
		time.Sleep(8 * time.Second)
		if u.cancel(faulty, 0, 20*time.Second) != "withdrawn" {
			cannotRun("the faulty job could not be cancelled")
		}
	}
	healthy := newJob("j-000300", "saude-baterias", "operacoes-frota", 4, 1, 25)
	submit(healthy, "standard", 1.7)
	jobs := []*waitingJob{{job: healthy, cores: 1, ram: 1.7}}
	broken := watchWaiting(rec, f, jobs, ram, machineCores, machineRAM, time.Now().Add(95*time.Second))
	noteWaitReasons(rec, c)
	u.poll(healthy, 0)
	f.stop()
	return append(broken, u.broken...)
}

// awaitStarts waits until so many tasks of a job have started.
func (f *fleet) awaitStarts(j *job, count int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(f.onMachines(j.id)) >= count {
			return true
		}
	}
	return false
}
