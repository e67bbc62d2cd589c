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

// caseWaiting submits one-task jobs of 0.25 CPUs, as the guest team's consultas-avulsas are, to a fleet
// that has room for all of them. With the burst there are three times as many. A job breaks the rule if
// it has not started although, for 90 s on end after the last submission, some machine had room for it.
func caseWaiting(rec *record, trouble bool) []string {
	s := frotaSettings()
	store, err := fakes.NewStore(0)
	if err != nil {
		cannotRun("%v", err)
	}
	const taskCores, taskRAM, machines, machineCores, machineRAM = 0.25, 0.45, 4, 8.0, 16.0
	kinds := []machineKind{{"catamara", machineCores, 0, machineRAM, 50, 0.6, 0.39, 0.16, 25, []string{"boa-viagem"}}}
	f := newFleet(rec, s, kinds, machines, 2*time.Second)
	c := newCluster(rec, s, store, serve(f))
	defer c.close()
	f.use(c)
	u := &users{f: f, c: c, rec: rec}
	c.startAll()
	if c.awaitLeader(10*time.Second) == nil {
		cannotRun("no leader")
	}
	count := 40
	if trouble {
		count = 120
	}
	var jobs []*job
	var group sync.WaitGroup
	for i := range count {
		j := newJob(fmt.Sprintf("j-%06d", 412+i), "consultas-avulsas", "laboratorio-mobilidade", 1, taskCores, 150)
		j.body["vez"], j.body["ramGb"], j.body["pullGb"] = "low", taskRAM, 0.5
		j.spec.pull = 0.8
		jobs = append(jobs, j)
		group.Add(1)
		go func() {
			defer group.Done()
			if !u.submit(j, i, 30*time.Second) {
				cannotRun("%s was not accepted", j.id)
			}
		}()
		time.Sleep(40 * time.Millisecond)
	}
	group.Wait()
	rec.printf("all %d jobs are accepted; they need %.2f of %.0f CPUs and %.1f of %.0f GB", count,
		float64(count)*taskCores, machines*machineCores, float64(count)*taskRAM, machines*machineRAM)
	since := map[string]time.Time{} // for how long a job has waited while a machine had room
	started := time.Now()
	var broken []string
	for time.Since(started) < 97*time.Second && len(broken) == 0 {
		time.Sleep(250 * time.Millisecond)
		f.mu.Lock()
		room := 0
		for _, m := range f.machines {
			used := 0
			for _, t := range m.tasks {
				if t.Situacao != "exited" {
					used++
				}
			}
			if m.up && !m.gone && m.token > 0 && float64(used+1)*taskCores <= machineCores && float64(used+1)*taskRAM <= machineRAM {
				room++
			}
		}
		waiting, now := 0, time.Now()
		for _, j := range jobs {
			switch {
			case f.starts[j.id+"/0"] > 0 || room == 0:
				delete(since, j.id)
			case since[j.id].IsZero():
				since[j.id] = now
			}
			if f.starts[j.id+"/0"] == 0 {
				waiting++
			}
			if at, ok := since[j.id]; ok && now.Sub(at) >= 90*time.Second && broken == nil {
				broken = []string{fmt.Sprintf("%d jobs have waited for 90 s while %d of %d machines had room for a task; the first is %s",
					waiting, room, len(f.machines), j.id)}
			}
		}
		f.mu.Unlock()
		if int(time.Since(started).Seconds()*4)%40 == 0 {
			rec.printf("%d jobs wait, %d of %d machines have room", waiting, room, machines)
		}
		if waiting == 0 && time.Since(started) > 20*time.Second {
			rec.printf("all jobs have started")
			break
		}
	}
	if leader := c.leader(); leader != nil {
		if page := leader.status(); page != nil {
			if leading, ok := page["leading"].(map[string]any); ok {
				reasons := map[string]int{}
				list, _ := leading["jobs"].([]any)
				for _, entry := range list {
					if e, ok := entry.(map[string]any); ok && e["pending"] != float64(0) {
						reasons[fmt.Sprint(e["waitsFor"])]++
					}
				}
				rec.printf("the status page of %s says of the jobs that wait: %v", leader.name, reasons)
			}
		}
	}
	for _, j := range jobs {
		if f.starts[j.id+"/0"] == 0 {
			u.poll(j, 0)
			break
		}
	}
	f.stop()
	if broken != nil {
		rec.printf("BROKEN %s", broken[0])
	}
	return append(broken, u.broken...)
}
