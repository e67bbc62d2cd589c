package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["waiting"] = exploreWaiting }

// exploreWaiting draws jobs and troubles for 22 s, and then watches for 94 s that no job waits for 90 s beside room.
func exploreWaiting(rec *record, trouble bool) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 2))
	sickUntil, slowUntil := map[string]time.Time{}, map[string]time.Time{}
	runs := map[string]float64{}
	c, p, store, ok := setUp(rec, cavalcanti(), func(p *platform) {
		for i, name := range []string{"jangada", "catamara", "saveiro"} {
			p.types = append(p.types, machineType{Sku: name, Cores: []float64{4, 8, 32}[i], RamGb: []float64{16, 16, 64}[i], CacheGb: 40,
				PullGbPerS: 0.6, Rate: []float64{0.21, 0.39, 1.54}[i], MarketPrice: []float64{0.09, 0.16, 0.65}[i], ReadyS: 2,
				Pracas: []string{"boa-viagem", "olinda"}})
			for _, zone := range []string{"boa-viagem", "olinda"} {
				p.capacity[offering{name, zone, true}] = rng.IntN(2)
				p.capacity[offering{name, zone, false}] = rng.IntN(2)
			}
		}
		p.capacity[offering{"saveiro", "olinda", false}] = 1
		p.runSeconds = func(id string) float64 { return runs[jobOf(id)] }
	})
	defer tearDown(c, p, store)
	if !ok {
		return cannot
	}
	p.mu.Lock()
	p.adjust = func(m *machine, seconds float64) (float64, bool) {
		if time.Now().Before(sickUntil[m.name]) {
			return 1, true
		}
		if time.Now().Before(slowUntil[m.name]) {
			return 4 * seconds, false
		}
		return seconds, false
	}
	p.mu.Unlock()
	u := newUsers(rec)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	stop := time.Now().Add(22 * time.Second)
	for i := 0; time.Now().Before(stop); i++ {
		id := fmt.Sprintf("j-%06d", i)
		cores := []float64{0.25, 1, 1, 2, 4, 8}[rng.IntN(6)]
		seconds := []float64{2, 3, 5, 20, 100, 300}[rng.IntN(6)]
		j := fleetJob(id, "saude-baterias", []string{"prod", "urgent", "standard", "low"}[rng.IntN(4)], 1+rng.IntN(8), cores, 1+cores/2, seconds)
		j["avulsas"] = rng.IntN(3) > 0
		j["molde"] = fmt.Sprintf("img-%d", rng.IntN(3))
		if rng.IntN(5) == 0 {
			j["praca"] = []string{"boa-viagem", "olinda"}[rng.IntN(2)]
		}
		p.mu.Lock()
		runs[id] = seconds * (0.6 + 0.8*rng.Float64())
		p.mu.Unlock()
		cancel, after := rng.IntN(6) == 0, time.Duration(rng.IntN(4000))*time.Millisecond
		wg.Go(func() {
			if !u.submit(p, c.nodes, j) {
				return
			}
			if cancel {
				time.Sleep(after)
				u.cancel(c.nodes, id, 30*time.Second)
				return
			}
			mu.Lock()
			ids = append(ids, id)
			mu.Unlock()
		})
		if trouble && rng.IntN(4) == 0 {
			kind := rng.IntN(4)
			if os.Getenv("SOUND") != "" { // no machine is sick
				kind = 2 + rng.IntN(2)
			}
			d := time.Duration(2000+rng.IntN(4000)) * time.Millisecond
			n := rng.IntN(3)
			rec.line("TROUBLE %d for %v", kind, d)
			p.mu.Lock()
			for _, m := range p.machines {
				if rand.IntN(2) > 0 {
					continue
				}
				switch kind {
				case 0, 1:
					sickUntil[m.name] = time.Now().Add(d)
				case 2:
					slowUntil[m.name] = time.Now().Add(d)
				}
			}
			p.mu.Unlock()
			if kind == 3 {
				node := c.nodes[n]
				c.kill(node)
				c.start(node)
			}
		}
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	over := time.Now()
	since := map[string]time.Time{}
	for _, id := range ids {
		since[id] = over
	}
	worst := time.Duration(0)
	for time.Since(over) < 94*time.Second && len(since) > 0 {
		for id := range since {
			switch {
			case p.allCompleted(id):
				delete(since, id)
			case p.running(id) || !p.hasRoom(id):
				since[id] = time.Now()
			}
			if t, open := since[id]; open {
				worst = max(worst, time.Since(t))
				if time.Since(t) > maxWait {
					rec.line("broken: %s has waited for %v", id, time.Since(t))
					u.leaderStatus(c)
					fmt.Println("seed", seed, "BROKEN", id)
					return broken
				}
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	fmt.Println("seed", seed, "jobs", len(ids), "longest wait beside room", worst)
	rec.line("longest wait beside room %v", worst)
	return held
}

// hasRoom reports whether a machine that is answered fits one task of a job now.
func (p *platform) hasRoom(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	for _, m := range p.machines {
		if m.renewedAt.IsZero() || time.Since(m.renewedAt) > time.Duration(2*p.reportS*float64(time.Second)) ||
			m.avulsas && !j["avulsas"].(bool) || j["praca"] != nil && j["praca"] != m.praca {
			continue
		}
		cores, ram := 0.0, 0.0
		for _, t := range p.types {
			if t.Sku == m.porte {
				cores, ram = t.Cores, t.RamGb
			}
		}
		for _, t := range m.tasks {
			if t.state != "exited" {
				cores -= p.jobs[jobOf(t.id)]["cores"].(float64)
				ram -= p.jobs[jobOf(t.id)]["ramGb"].(float64)
			}
		}
		if cores >= j["cores"].(float64) && ram >= j["ramGb"].(float64) {
			return true
		}
	}
	return false
}
