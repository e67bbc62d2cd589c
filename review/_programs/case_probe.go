package main

import (
	"strings"
	"time"
)

// probe plays the case of several sound jobs that wait for a machine that has been sick and is sound again.
func probe(rec *record, trouble bool) int {
	sickNow, failing := false, map[string]bool{}
	c, p, store, ok := setUp(rec, cavalcanti(), func(p *platform) {
		p.types = []machineType{saveiro()}
		p.capacity[offering{"saveiro", "boa-viagem", true}] = 1
		p.runSeconds = func(id string) float64 {
			failing[id] = sickNow
			switch {
			case jobOf(id) != "j-000002":
				return 300
			case sickNow:
				return 1
			default:
				return 3
			}
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
	if !u.submit(p, c.nodes, fleetJob("j-000002", "saude-baterias", "standard", 40, 1, 1.7, 3)) {
		return cannot
	}
	if !waitUntil(12*time.Second, func() bool { all, _ := p.startsOf("j-000002", time.Time{}); return all >= 10 }) {
		return cannot
	}
	if trouble {
		p.mu.Lock()
		sickNow = true
		p.mu.Unlock()
		rec.line("trouble: the machine fails every task that it starts from now on")
		if !waitUntil(15*time.Second, func() bool { return p.ended("error") >= 4 }) {
			return cannot
		}
		p.mu.Lock()
		sickNow = false
		p.mu.Unlock()
		rec.line("the machine is sound from now on")
	}
	if answer := u.cancel(c.nodes, "j-000002", 20*time.Second); answer != "withdrawn" && answer != "done" {
		return cannot
	}
	waiting := []string{"j-000003", "j-000004", "j-000005"}
	for _, id := range waiting {
		if !u.submit(p, c.nodes, fleetJob(id, "mapas-calor", "low", 1, 4, 6.7, 300)) {
			return cannot
		}
	}
	accepted := time.Now()
	rec.line("limit for every job that waits beside room: %v", maxWait)
	return watchStarts(rec, p, u, c, waiting, accepted, 4)
}

// ended returns how many tasks have ended for a reason.
func (p *platform) ended(reason string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, e := range p.events {
		if e.reason == reason {
			count++
		}
	}
	return count
}

// watchStarts checks that every job starts within maxWait while a machine has the cores for one of its tasks free.
func watchStarts(rec *record, p *platform, u *users, c *cluster, ids []string, accepted time.Time, cores float64) int {
	since := map[string]time.Time{}
	for _, id := range ids {
		since[id] = accepted
	}
	for asked := time.Now(); time.Since(accepted) < maxWait+time.Second && len(since) > 0; time.Sleep(250 * time.Millisecond) {
		free := p.freeCores()
		for id := range since {
			switch all, _ := p.startsOf(id, time.Time{}); {
			case all > 0:
				rec.line("%s has started %v after its acceptance", id, time.Since(accepted))
				delete(since, id)
			case free < cores:
				since[id] = time.Now()
			case time.Since(since[id]) > maxWait:
				rec.line("broken: %s has waited for %v beside a machine with %v free CPUs", id, time.Since(since[id]), free)
				u.leaderStatus(c)
				return broken
			}
		}
		if time.Since(asked) > 5*time.Second {
			asked = time.Now()
			rec.line("free CPUs of the machine: %v", free)
			for id := range since {
				u.send("GET", c.nodes[0].client, "/work/"+id, nil, 2*time.Second)
			}
		}
	}
	return held
}

// leaderStatus writes the status page of the leader to the record.
func (u *users) leaderStatus(c *cluster) {
	for _, n := range c.nodes {
		if _, _, raw := u.send("GET", n.client, "/status", nil, 2*time.Second); strings.Contains(raw, `"leads":true`) {
			u.record.line("status of the leader %s: %s", n.name, raw)
		}
	}
}

func init() { cases["probe"] = probe }
