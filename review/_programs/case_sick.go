package main

import (
	"fmt"
	"time"

	"hitchdoor/internal/fakes"
)

// Values of the site cavalcanti-frota.
func cavalcanti() settings {
	s := smallDeployment()
	s.reportS, s.leaseS, s.cancelS = 3, 18, 38
	s.stateRPS, s.writeRPS, s.valueKB, s.txnOps = 250, 100, 32, 48
	s.cloudRPS, s.listLagS, s.memMB, s.connections = 4, 10, 179, 1200
	s.teams = "[[cluster.teams]]\nname = \"operacoes-frota\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"
	return s
}

// saveiro is a machine type of the site cavalcanti-frota.
func saveiro() machineType {
	return machineType{Sku: "saveiro", Cores: 32, RamGb: 64, CacheGb: 40, PullGbPerS: 0.6, Rate: 1.54, MarketPrice: 0.65,
		ReadyS: 25, Pracas: []string{"boa-viagem"}}
}

func fleetJob(id, class, priority string, tasks int, cores, ram, seconds float64) job {
	j := newJob(id, tasks, cores, seconds)
	j["lote"], j["dono"], j["vez"], j["ramGb"] = class, "operacoes-frota", priority, ram
	return j
}

// setUp starts the stand-ins and three controllers, and waits for a leader.
func setUp(rec *record, s settings, prepare func(*platform)) (c *cluster, p *platform, store *fakes.Store, ok bool) {
	store, err := fakes.NewStore(s.writeRPS)
	if err != nil {
		return nil, nil, nil, false
	}
	if p, err = newPlatform(rec, s); err != nil {
		return nil, nil, nil, false
	}
	prepare(p)
	state := func(string) string { return store.Server.Address() }
	if c, err = newCluster(s, rec, state, p.address, func(_, to *node) string { return to.peer }); err != nil {
		return nil, p, store, false
	}
	if c.startAll() != nil || c.waitLeader(store, "", 20*time.Second) == nil {
		return c, p, store, false
	}
	p.setNodes(c.nodes)
	return c, p, store, true
}

func tearDown(c *cluster, p *platform, store *fakes.Store) {
	if c != nil {
		c.close()
	}
	if p != nil {
		p.close()
	}
	if store != nil {
		store.Server.Close()
	}
}

// startsOf returns how many tasks of a job have started, and how many of them after a time.
func (p *platform) startsOf(id string, after time.Time) (all, later int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		if e.kind == "start" && jobOf(e.task) == id {
			all++
			if e.at.After(after) {
				later++
			}
		}
	}
	return all, later
}

// freeCores returns the free cores of the machine with the most of them, among those that were answered within
// the last two report intervals.
func (p *platform) freeCores() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := 0.0
	for _, m := range p.machines {
		if m.renewedAt.IsZero() || time.Since(m.renewedAt) > time.Duration(2*p.reportS*float64(time.Second)) {
			continue
		}
		free := p.coresOf(m.porte)
		for _, t := range m.tasks {
			if t.state != "exited" {
				free -= p.jobs[jobOf(t.id)]["cores"].(float64)
			}
		}
		best = max(best, free)
	}
	return best
}

// waitUntil waits for a condition.
func waitUntil(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// maxWait is the time that no job may be left waiting.
const maxWait = 90 * time.Second

// sick plays the case of a machine that fails the tasks it starts for some seconds.
func sick(rec *record, trouble bool) int {
	sickUntil, failing := time.Time{}, map[string]bool{}
	c, p, store, ok := setUp(rec, cavalcanti(), func(p *platform) {
		p.types = []machineType{saveiro()}
		p.capacity[offering{"saveiro", "boa-viagem", true}] = 1
		p.runSeconds = func(id string) float64 {
			if jobOf(id) == "j-000001" {
				return 300
			}
			if time.Now().Before(sickUntil) {
				failing[id] = true
				return 1
			}
			failing[id] = false
			return 5
		}
		p.fails = func(id, _ string) bool { return failing[id] }
	})
	defer tearDown(c, p, store)
	if !ok {
		return cannot
	}
	u := newUsers(rec)
	if !u.submit(p, c.nodes, fleetJob("j-000001", "mapas-calor", "low", 2, 4, 6.7, 300)) {
		return cannot
	}
	if !waitUntil(25*time.Second, func() bool { all, _ := p.startsOf("j-000001", time.Time{}); return all == 2 }) {
		return cannot
	}
	if trouble {
		p.mu.Lock()
		sickUntil = time.Now().Add(time.Minute)
		p.mu.Unlock()
		rec.line("trouble: the machine fails every task that it starts from now on")
	}
	waiting := []string{"j-000002", "j-000003"}
	for _, id := range waiting {
		if !u.submit(p, c.nodes, fleetJob(id, "saude-baterias", "standard", 2, 1, 1.7, 5)) {
			return cannot
		}
	}
	if !waitUntil(12*time.Second, func() bool {
		two, _ := p.startsOf("j-000002", time.Time{})
		three, _ := p.startsOf("j-000003", time.Time{})
		return two >= 2 && three >= 2
	}) {
		return cannot
	}
	if trouble {
		waitUntil(5*time.Second, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			failed := 0
			for _, e := range p.events {
				if e.reason == "error" {
					failed++
				}
			}
			return failed >= 4
		})
	}
	p.mu.Lock()
	sickUntil = time.Time{}
	p.mu.Unlock()
	over := time.Now()
	rec.line("the machine is sound from now on; limit for every job that waits beside room: %v", maxWait)
	return watchWaiting(rec, p, u, c, waiting, over)
}

// watchWaiting checks that no job without a running task waits for maxWait while a machine has room.
func watchWaiting(rec *record, p *platform, u *users, c *cluster, ids []string, over time.Time) int {
	since := map[string]time.Time{}
	for _, id := range ids {
		since[id] = over
	}
	for asked := time.Now(); time.Since(over) < maxWait+time.Second; time.Sleep(250 * time.Millisecond) {
		free := p.freeCores()
		open := 0
		for _, id := range ids {
			if p.allCompleted(id) {
				delete(since, id)
				continue
			}
			open++
			if free < 1 || p.running(id) {
				since[id] = time.Now()
			}
			if time.Since(since[id]) > maxWait {
				rec.line("broken: %s has waited for %v beside a machine with %v free CPUs", id, time.Since(since[id]), free)
				u.leaderStatus(c)
				return broken
			}
		}
		if open == 0 {
			return held
		}
		if time.Since(asked) > 5*time.Second {
			asked = time.Now()
			rec.line("free CPUs of the machine: %v", free)
			for _, id := range ids {
				u.send("GET", c.nodes[0].client, "/work/"+id, nil, 2*time.Second)
			}
		}
	}
	return held
}

func (p *platform) allCompleted(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.jobs[id]["pecas"].(int) {
		if !p.completed[fmt.Sprintf("%s/%d", id, i)] {
			return false
		}
	}
	return true
}

func (p *platform) running(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		for _, t := range m.tasks {
			if jobOf(t.id) == id && t.state != "exited" {
				return true
			}
		}
	}
	return false
}

func init() { cases["sick"] = sick }
