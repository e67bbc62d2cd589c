package main

import (
	"fmt"
	"sync"
	"time"

	"hitchdoor/internal/fakes"
)

func init() { cases["waiting"] = caseWaiting }

// frotaSettings are the figures of cavalcanti-frota-ops, with the three controllers of cavalcanti-frota.
func frotaSettings() settings {
	return settings{reportS: 3, leaseS: 18, cancelS: 38, stateRPS: 250, writeRPS: 100, valueKB: 32, txnOps: 48,
		cloudRPS: 4, listLagS: 10, memMB: 179, connections: 1200,
		zones: []string{"boa-viagem", "natal", "olinda", "fortaleza"}, nodes: 3,
		teams: "[[cluster.teams]]\nname = \"operacoes-frota\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n" +
			"[[cluster.teams]]\nname = \"laboratorio-mobilidade\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n" +
			"[[cluster.objectives]]\nkind = \"finished\"\nclass = \"saude-baterias\"\nwithin_s = 60.0\nshare = 0.85\n\n" +
			"[[cluster.objectives]]\nkind = \"finished\"\nclass = \"saude-baterias\"\nwithin_s = 100.0\nshare = 0.94\n\n" +
			"[[cluster.objectives]]\nkind = \"finished\"\nclass = \"mapas-calor\"\nwithin_s = 250.0\nshare = 0.9\n"}
}

// waitingJob is a job with what its tasks take, and since when it has waited while a machine had room.
type waitingJob struct {
	*job
	cores, ram float64
	since      time.Time
}

// started reports whether some task of the job has started. The fleet is locked.
func (j *waitingJob) started(f *fleet) bool {
	for i := range j.spec.tasks {
		if f.starts[fmt.Sprintf("%s/%d", j.id, i)] > 0 {
			return true
		}
	}
	return false
}

// machinesWithRoom counts the machines that serve and have room for a task. The fleet is locked.
func machinesWithRoom(f *fleet, ram map[string]float64, cores, need float64, totalCores, totalRAM float64) int {
	count := 0
	for _, m := range f.machines {
		usedCores, usedRAM := 0.0, 0.0
		for _, t := range m.tasks {
			if t.Situacao != "exited" {
				usedCores += t.spec.cores
				usedRAM += ram[t.spec.id]
			}
		}
		if m.up && !m.gone && m.token > 0 && usedCores+cores <= totalCores && usedRAM+need <= totalRAM {
			count++
		}
	}
	return count
}

// watchWaiting watches the jobs until all have started, a limit has passed or a job breaks the rule: it
// has not started although, for 90 s on end, some machine had room for one of its tasks.
func watchWaiting(rec *record, f *fleet, jobs []*waitingJob, ram map[string]float64, cores, memory float64,
	limit time.Time) (broken []string) {
	lastLine := time.Time{}
	for time.Now().Before(limit) && len(broken) == 0 {
		time.Sleep(250 * time.Millisecond)
		f.mu.Lock()
		now, waiting, last, room := time.Now(), 0, "", 0
		for _, j := range jobs {
			if j.started(f) {
				continue
			}
			waiting++
			last = j.id
			room = machinesWithRoom(f, ram, j.cores, j.ram, cores, memory)
			switch {
			case room == 0:
				j.since = time.Time{}
			case j.since.IsZero():
				j.since = now
			case now.Sub(j.since) >= 90*time.Second:
				broken = append(broken, fmt.Sprintf("left_waiting: %s has waited for 90 s while %d machines had room for a task of %.2f CPUs",
					j.id, room, j.cores))
			}
		}
		f.mu.Unlock()
		if waiting == 0 {
			rec.printf("all jobs have started")
			return nil
		}
		if now.Sub(lastLine) > 10*time.Second {
			lastLine = now
			rec.printf("%d jobs wait, the last of them is %s; %d machines have room for a task of it", waiting, last, room)
		}
	}
	for _, line := range broken {
		rec.printf("BROKEN %s", line)
	}
	return broken
}

// noteWaitReasons records what the leader's status page says of the jobs that wait and of the machines.
func noteWaitReasons(rec *record, c *cluster) {
	leader := c.leader()
	if leader == nil {
		return
	}
	page, ok := leader.status()["leading"].(map[string]any)
	if !ok {
		return
	}
	reasons, leaving := map[string]int{}, map[string]int{}
	jobs, _ := page["jobs"].([]any)
	for _, entry := range jobs {
		if e, ok := entry.(map[string]any); ok && e["pending"] != float64(0) {
			reasons[fmt.Sprint(e["waitsFor"])]++
		}
	}
	machines, _ := page["machines"].([]any)
	for _, entry := range machines {
		if e, ok := entry.(map[string]any); ok {
			leaving[fmt.Sprint(e["leaving"])]++
		}
	}
	rec.printf("the status page of %s: jobs wait for %v, machines are leaving because of %v", leader.name, reasons, leaving)
}

// caseWaiting submits one-task jobs of 0.25 CPUs, as the guest team's consultas-avulsas are, to a fleet
// that has room for all of them, and then one job of the firm's own team. With the burst there are three
// times as many of the guest's. A job breaks the rule if it has not started although, for 90 s on end
// after the last submission, some machine had room for one of its tasks.
func caseWaiting(rec *record, trouble bool) []string {
	s := frotaSettings()
	store, err := fakes.NewStore(0)
	if err != nil {
		cannotRun("%v", err)
	}
	const machines, machineCores, machineRAM = 2, 32.0, 64.0
	kinds := []machineKind{{"saveiro", machineCores, 0, machineRAM, 40, 0.6, 1.54, 0.65, 25, []string{"boa-viagem"}}}
	f := newFleet(rec, s, kinds, machines, 2*time.Second)
	c := newCluster(rec, s, store, serve(f))
	defer c.close()
	f.use(c)
	u := &users{f: f, c: c, rec: rec}
	c.startAll()
	if c.awaitLeader(10*time.Second) == nil {
		cannotRun("no leader")
	}
	count := 54
	if trouble {
		count = 162
	}
	var jobs []*waitingJob
	var group sync.WaitGroup
	ram := map[string]float64{}
	submit := func(j *job, priority string, cores, memory float64) {
		j.body["vez"], j.body["ramGb"], j.body["pullGb"] = priority, memory, 0.5
		j.spec.pull = 0.8
		jobs = append(jobs, &waitingJob{job: j, cores: cores, ram: memory})
		ram[j.id] = memory
		node := len(jobs)
		group.Add(1)
		go func() {
			defer group.Done()
			if !u.submit(j, node, 30*time.Second) {
				cannotRun("%s was not accepted", j.id)
			}
		}()
	}
	for i := range count {
		submit(newJob(fmt.Sprintf("j-%06d", 1000+i), "consultas-avulsas", "laboratorio-mobilidade", 1, 0.25, 150), "low", 0.25, 0.45)
		time.Sleep(40 * time.Millisecond)
	}
	group.Wait()
	own := newJob("j-000412", "saude-baterias", "operacoes-frota", 8, 1, 25)
	submit(own, "standard", 1, 1.7)
	group.Wait()
	rec.printf("all jobs are accepted; %d take %.2f CPUs, and %s takes 8, of %.0f", count, float64(count)*0.25, own.id,
		machines*machineCores)
	broken := watchWaiting(rec, f, jobs, ram, machineCores, machineRAM, time.Now().Add(95*time.Second))
	noteWaitReasons(rec, c)
	u.poll(own, 0)
	f.stop()
	return append(broken, u.broken...)
}
