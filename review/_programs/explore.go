package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"hitchdoor/internal/fakes"
)

var cases = map[string]func(*record, bool) int{"explore": explore}

func sites(p *platform) {
	for i, name := range []string{"banqueta", "guarda-roupa"} {
		p.types = append(p.types, machineType{Sku: name, Cores: []float64{4, 32}[i], RamGb: []float64{16, 128}[i], CacheGb: 30,
			PullGbPerS: 1, Rate: []float64{0.3, 2.38}[i], MarketPrice: []float64{0.08, 0.65}[i], ReadyS: 2, Pracas: []string{"aracaju", "salvador", "feira"}})
	}
	for _, zone := range []string{"aracaju", "salvador", "feira"} {
		for _, spot := range []bool{false, true} {
			p.capacity[offering{"banqueta", zone, spot}] = 6
			p.capacity[offering{"guarda-roupa", zone, spot}] = 1
		}
	}
}

func explore(rec *record, trouble bool) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 1))
	s := smallDeployment()
	s.leaseS, s.reportS, s.cancelS = 8, 1, 18
	s.writeRPS, s.stateRPS = 100, 400
	s.cloudRPS, s.listLagS = 4, 3
	store, err := fakes.NewStore(0)
	if err != nil {
		return cannot
	}
	defer store.Server.Close()
	p, err := newPlatform(rec, s)
	if err != nil {
		return cannot
	}
	defer p.close()
	sites(p)
	p.runSeconds = func(id string) float64 { return 2 + float64(len(id)+int(id[len(id)-1]))/40 }
	proxies := map[string]*fakes.StoreProxy{}
	lim := limits{rps: 200, writeRPS: 25, valueBytes: 8 << 10, txnOps: 20}
	strict, err := newStrictStore(store, rec, lim)
	if err != nil {
		return cannot
	}
	if os.Getenv("STRICT") != "" {
		s = smallDeployment()
		s.cloudRPS, s.listLagS = 4, 3
		s.extraStateKeys = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 6\nwrite_rps = 18.0\n"
		time.AfterFunc(25*time.Second, func() {
			rec.line("state: lower limits")
			strict.setLimits(limits{rps: 200, writeRPS: 18, valueBytes: 2 << 10, txnOps: 6})
		})
	}
	state := func(name string) string {
		if os.Getenv("STRICT") != "" {
			proxies[name], _ = fakes.NewStoreProxy(store, seed)
			return strict.address
		}
		proxies[name], _ = fakes.NewStoreProxy(store, seed)
		return proxies[name].Server.Address()
	}
	c, err := newCluster(s, rec, state, p.address, func(_, to *node) string { return to.peer })
	if err != nil {
		return cannot
	}
	defer c.close()
	if c.startAll() != nil || c.waitLeader(store, "", 20*time.Second) == nil {
		return cannot
	}
	p.setNodes(c.nodes)
	u := newUsers(rec)
	var wg sync.WaitGroup
	var mu sync.Mutex
	open := map[string]bool{}
	problems := []string(nil)
	note := func(f string, a ...any) {
		mu.Lock()
		problems = append(problems, fmt.Sprintf(f, a...))
		mu.Unlock()
		rec.line("PROBLEM "+f, a...)
	}
	stop := time.Now().Add(50 * time.Second)
	type cancelled struct {
		id string
		at time.Time
	}
	var cancels []cancelled
	var acceptedIDs []string
	for i := 0; time.Now().Before(stop); i++ {
		id := fmt.Sprintf("j-%06d", i)
		j := newJob(id, 1+rng.IntN(12), float64(1+rng.IntN(3)), 4)
		j["samePlace"] = rng.IntN(4) == 0
		j["apart"] = rng.IntN(4) == 0 && !j["samePlace"].(bool)
		j["avulsas"] = rng.IntN(3) > 0
		j["vez"] = []string{"prod", "urgent", "standard", "low"}[rng.IntN(4)]
		mu.Lock()
		if len(acceptedIDs) > 0 && rng.IntN(3) == 0 {
			deps := []string{acceptedIDs[len(acceptedIDs)-1], acceptedIDs[max(0, len(acceptedIDs)-4)]}
			if rng.IntN(3) == 0 {
				deps = append([]string(nil), acceptedIDs...)
			}
			j["aguarda"] = deps
		}
		mu.Unlock()
		doCancel, local := rng.IntN(6) == 0, rand.New(rand.NewPCG(seed, uint64(i+10)))
		wg.Go(func() {
			if !u.submit(p, []*node{c.nodes[local.IntN(3)], c.nodes[local.IntN(3)], c.nodes[local.IntN(3)]}, j) {
				return
			}
			mu.Lock()
			acceptedIDs = append(acceptedIDs, id)
			open[id] = true
			mu.Unlock()
			if doCancel {
				time.Sleep(time.Duration(local.IntN(6000)) * time.Millisecond)
				if u.cancel(c.nodes, id, 60*time.Second) == "withdrawn" {
					mu.Lock()
					cancels = append(cancels, cancelled{id, time.Now()})
					mu.Unlock()
				}
			}
			final := ""
			for k := 0; k < 60; k++ {
				code, st, _ := u.send("GET", c.nodes[local.IntN(3)].client, "/work/"+id, nil, 2*time.Second)
				if code == 404 || code == 400 {
					note("%s denied", id)
				}
				if code == 200 {
					if final != "" && st.Situacao != final {
						note("%s went back %s to %s", id, final, st.Situacao)
					}
					if st.Situacao == "done" || st.Situacao == "withdrawn" {
						if final != "" && k > 55 {
							break
						}
						if final == "" {
							final = st.Situacao
							k = 50
							if final == "done" {
								p.mu.Lock()
								for t := range j["pecas"].(int) {
									if !p.completed[fmt.Sprintf("%s/%d", id, t)] {
										defer note("%s/%d not done", id, t)
									}
								}
								p.mu.Unlock()
							}
						}
					}
				}
				time.Sleep(time.Duration(800+local.IntN(1000)) * time.Millisecond)
			}
			if final != "" {
				mu.Lock()
				delete(open, id)
				mu.Unlock()
			}
		})
		if trouble && rng.IntN(6) == 0 {
			n := c.nodes[rng.IntN(3)]
			d := time.Duration(rng.IntN(6000)) * time.Millisecond
			kind := rng.IntN(7)
			rec.line("TROUBLE %d at %s for %v", kind, n.name, d)
			wg.Go(func() {
				switch kind {
				case 0, 1:
					c.kill(n)
					time.Sleep(d / 3)
					c.start(n)
				case 2:
					n.signal(syscall.SIGSTOP)
					time.Sleep(d)
					n.signal(syscall.SIGCONT)
				case 3:
					proxies[n.name].SetFault(fakes.StoreFault{Refuse: true})
					time.Sleep(d)
					proxies[n.name].SetFault(fakes.StoreFault{})
				case 4:
					p.mu.Lock()
					for _, m := range p.machines {
						if rand.IntN(4) == 0 {
							m.hangUntil = time.Now().Add(2 * d)
						}
					}
					p.mu.Unlock()
				case 5:
					p.mu.Lock()
					p.outage = true
					p.mu.Unlock()
					time.Sleep(d)
					p.mu.Lock()
					p.outage = false
					for name, m := range p.machines {
						if m.avulsas && rand.IntN(5) == 0 {
							p.remove(name)
						}
					}
					p.mu.Unlock()
				case 6:
					proxies[n.name].SetFault(fakes.StoreFault{LostAnswers: 0.3, LateWrites: 0.2, LateBy: 3 * time.Second})
					time.Sleep(d)
					proxies[n.name].SetFault(fakes.StoreFault{})
				}
			})
		}
		time.Sleep(time.Duration(200+rng.IntN(900)) * time.Millisecond)
	}
	wg.Wait()
	for _, x := range cancels {
		for _, f := range p.afterCancel(x.id, x.at, time.Duration(s.cancelS*1e9)) {
			note("after cancel: %s", f)
		}
	}
	for _, d := range p.duplicates() {
		note("twice: %s", d)
	}
	for _, d := range p.misplaced() {
		note("misplaced: %s", d)
	}
	if peak := p.teamPeak("plataforma-loja"); peak > 72 {
		note("quota %v", peak)
	}
	early := p.tooEarly()
	for _, d := range early {
		note("too early %s", d)
	}
	for id := range open {
		note("open %s", id)
	}
	for _, n := range c.nodes {
		if n.ended != "" {
			note("ended %s", n.ended)
		}
	}
	fmt.Println("rejected", strict.rejected, "throttled", strict.throttled, "seed", seed, "jobs", len(acceptedIDs), "problems", problems)
	if len(problems) > 0 {
		return broken
	}
	return held
}

func (p *platform) tooEarly() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	done := map[string]bool{}
	found := []string(nil)
	for _, e := range p.events {
		if e.kind == "end" {
			done[e.task] = done[e.task] || e.reason == "done"
			continue
		}
		deps, _ := p.jobs[jobOf(e.task)]["aguarda"].([]string)
		for _, id := range deps {
			for t := range p.jobs[id]["pecas"].(int) {
				if !done[fmt.Sprintf("%s/%d", id, t)] {
					found = append(found, e.task)
				}
			}
		}
	}
	return found
}
