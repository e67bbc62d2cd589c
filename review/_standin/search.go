package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hitchdoor/internal/fakes"
)

func init() { cases["search"] = searchBroken }

// searchSettings are figures like those of sertao-loja, with two teams that have limits.
func searchSettings() settings {
	return settings{reportS: 1.5, leaseS: 14, cancelS: 34, stateRPS: 200, writeRPS: 25, valueKB: 8, txnOps: 20,
		cloudRPS: 1.5, listLagS: 12, memMB: 98, connections: 900, zones: []string{"aracaju", "salvador", "feira"}, nodes: 3,
		relays: true,
		teams: "[[cluster.teams]]\nname = \"t0\"\ncpus = 24.0\ncpus_max = 40.0\ngpus = 0.0\ngpus_max = 0.0\n\n" +
			"[[cluster.teams]]\nname = \"t1\"\ncpus = 0.0\ncpus_max = 24.0\ngpus = 0.0\ngpus_max = 4.0\n\n" +
			"[[cluster.objectives]]\nkind = \"finished\"\nclass = \"c\"\nwithin_s = 60.0\nshare = 0.85\n\n" +
			"[[cluster.objectives]]\nkind = \"guarantee\"\nwithin_s = 20.0\nshare = 0.9\n"}
}

// quotaScale is the ratio of the teams' limits to those of searchSettings.
var quotaScale = 1.0

// submitted is the list of the jobs that users have submitted with success.
type submitted struct {
	mu   sync.Mutex
	jobs []*job
}

// recentAccepted returns one of the last five accepted jobs, or nil.
func (s *submitted) recentAccepted(rng *rand.Rand) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.jobs) == 0 {
		return nil
	}
	return s.jobs[len(s.jobs)-1-rng.IntN(min(len(s.jobs), 5))]
}

// searchBroken draws jobs and troubles from SEED for 75 s, and checks the rules meanwhile. It is no case:
// it is how the review looked for broken rules. With BIG=1 the fleet has up to 140 machines. OLD names a
// program of the version before; the controllers begin with it and are upgraded one after the other.
func searchBroken(rec *record, trouble bool) []string {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	s := searchSettings()
	if seed%2 == 1 {
		s.connections = 70 // so few that controllers relay
	}
	store, err := fakes.NewStore(float64(25 * (seed % 3)))
	if err != nil {
		cannotRun("%v", err)
	}
	kinds := []machineKind{
		{"banqueta", 4, 0, 16, 30, 0.5, 0.3, 0.08, 3, []string{"aracaju", "salvador"}},
		{"guarda", 16, 2, 64, 30, 0.5, 1.2, 0.35, 3, []string{"salvador", "feira"}},
	}
	machines, maxTasks := 24, 6
	if os.Getenv("BIG") != "" {
		machines, maxTasks, quotaScale = 140, 60, 10
		s.teams = strings.NewReplacer("40.0", "400.0", "24.0", "240.0", "gpus_max = 4.0", "gpus_max = 40.0").Replace(s.teams)
		s.stateRPS, s.writeRPS, s.connections = 800, 100, 900
	}
	f := newFleet(rec, s, kinds, machines, 2*time.Second)
	cloud := &gate{next: f}
	c := newCluster(rec, s, store, serve(cloud))
	c.cloud = cloud
	defer c.close()
	f.use(c)
	u := &users{f: f, c: c, rec: rec, closeLooks: seed%2 == 0}
	upgraded := startForSearch(rec, c)
	if c.awaitLeader(15*time.Second) == nil {
		cannotRun("no leader")
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	known := &submitted{}
	rng := rand.New(rand.NewPCG(seed, 7))
	end := time.Now().Add(75 * time.Second)
	wg.Go(func() {
		draw := rand.New(rand.NewPCG(seed, 8))
		for n := 0; time.Now().Before(end.Add(-20 * time.Second)); n++ {
			j := drawJob(draw, n, maxTasks)
			if first := known.recentAccepted(draw); first != nil && draw.IntN(3) == 0 && upgraded.Load() {
				j.needs, j.first = []string{first.id}, first
				j.body["aguarda"] = j.needs
			}
			node, cancelAfter := draw.IntN(3), time.Duration(draw.IntN(6000))*time.Millisecond
			cancels := draw.IntN(4) == 0
			wg.Go(func() { u.follow(j, known, node, cancels, cancelAfter, stop) })
			pause := 900
			if u.closeLooks {
				pause = 300
			}
			time.Sleep(time.Duration(100+draw.IntN(pause)) * time.Millisecond)
		}
	})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			checkPlaces(f, known)
		}
	}()
	if trouble {
		wg.Go(func() {
			for time.Now().Before(end.Add(-25 * time.Second)) {
				time.Sleep(time.Duration(200+rng.IntN(5000)) * time.Millisecond)
				if rng.IntN(2) == 0 { // two at once
					second := rand.New(rand.NewPCG(rng.Uint64(), 9))
					var both sync.WaitGroup
					both.Go(func() { injectTrouble(rec, second, c, f, store) })
					time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
					injectTrouble(rec, rng, c, f, store)
					both.Wait()
					continue
				}
				injectTrouble(rec, rng, c, f, store)
			}
			store.SetUnavailable(false)
			for _, m := range c.controllers {
				m.store.refuse.Store(false)
				m.store.intercept.Store(nil)
			}
		})
	}
	time.Sleep(time.Until(end))
	close(stop)
	wg.Wait()
	unfinished := 0
	known.mu.Lock()
	for _, j := range known.jobs {
		j.mu.Lock()
		if j.final == "" {
			unfinished++
		}
		j.mu.Unlock()
	}
	rec.printf("jobs %d, unfinished %d", len(known.jobs), unfinished)
	fmt.Printf("seed %d jobs %d unfinished %d\n", seed, len(known.jobs), unfinished)
	known.mu.Unlock()
	f.stop()
	for _, relay := range c.links {
		relay.Block(false, false)
	}
	return append(append(f.broken, u.broken...), c.endedByThemselves()...)
}

// startForSearch starts the controllers, and upgrades them if OLD names a program of the version before.
// The result is true once all have the deploy file's program.
func startForSearch(rec *record, c *cluster) *atomic.Bool {
	upgraded := &atomic.Bool{}
	old := os.Getenv("OLD")
	for _, m := range c.controllers {
		m.old = old
	}
	c.startAll()
	if old == "" {
		upgraded.Store(true)
		return upgraded
	}
	time.AfterFunc(15*time.Second, func() {
		for _, m := range c.controllers {
			m.signal(syscall.SIGKILL)
			m.old = ""
			time.Sleep(time.Duration(300+rand.IntN(3000)) * time.Millisecond)
			m.start()
			time.Sleep(time.Duration(1000+rand.IntN(9000)) * time.Millisecond)
		}
		rec.printf("all are upgraded")
		upgraded.Store(true)
	})
	return upgraded
}

// drawJob returns a job with drawn size and constraints.
func drawJob(draw *rand.Rand, n, maxTasks int) *job {
	id := fmt.Sprintf("j-%06d", draw.IntN(900000)*10+n%10)
	j := newJob(id, "c", fmt.Sprintf("t%d", draw.IntN(2)), 1+draw.IntN(maxTasks), float64(1+draw.IntN(3)), 1+draw.Float64()*8)
	switch draw.IntN(8) {
	case 0:
		j.body["samePlace"] = true
	case 1:
		j.body["apart"] = true
	case 2:
		j.body["praca"] = []string{"aracaju", "salvador", "feira"}[draw.IntN(3)]
	case 3:
		j.body["portes"] = []string{"guarda"}
	case 4:
		j.body["avulsas"] = false
	case 5:
		j.body["accelerators"] = 1.0
	}
	if draw.IntN(3) == 0 {
		j.body["marcoS"], j.body["guardaS"] = 1.0, 1.0
		j.spec.checkpoint, j.spec.save = 1, 1
	}
	return j
}

// follow submits a job, cancels it if asked to, and polls until stop is closed.
func (u *users) follow(j *job, known *submitted, node int, cancels bool, cancelAfter time.Duration, stop <-chan struct{}) {
	if !u.submit(j, node, 40*time.Second) {
		return
	}
	known.mu.Lock()
	known.jobs = append(known.jobs, j)
	known.mu.Unlock()
	if cancels {
		time.Sleep(cancelAfter)
		u.cancel(j, node+1, 40*time.Second)
	}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		u.poll(j, node+i)
		time.Sleep(700 * time.Millisecond)
	}
}

// placeSeen holds the tasks and jobs of which a broken rule has been noted.
var placeSeen = map[string]bool{}

// checkPlaces checks limits, places, dependencies and cancellations of all tasks on machines.
func checkPlaces(f *fleet, known *submitted) {
	known.mu.Lock()
	byID := map[string]*job{}
	for _, j := range known.jobs {
		byID[j.id] = j
	}
	known.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	cores, gpus := map[string]float64{}, map[string]float64{}
	zones := map[string]map[string]int{}
	for _, m := range f.machines {
		for _, t := range m.tasks {
			if t.Situacao != "running" && t.Situacao != "saving" || !m.holds(now) {
				continue
			}
			j := byID[t.spec.id]
			cores[t.spec.team] += t.spec.cores
			if j == nil {
				continue
			}
			if a, ok := j.body["accelerators"].(float64); ok {
				gpus[t.spec.team] += a
			}
			if zones[j.id] == nil {
				zones[j.id] = map[string]int{}
			}
			zones[j.id][m.zone]++
			bad := j.body["praca"] != nil && j.body["praca"] != m.zone || j.body["avulsas"] == false && m.spot ||
				j.body["portes"] != nil && m.kind != "guarda"
			key := t.Peca + fmt.Sprint(t.Tentativa)
			if bad && !placeSeen[key] {
				placeSeen[key] = true
				f.breaks("wrong_place: %s on %s %s %s spot=%v", t.Peca, m.name, m.kind, m.zone, m.spot)
			}
			for _, need := range j.needs {
				for i := 0; byID[need] != nil && i < byID[need].spec.tasks; i++ {
					if !f.done[fmt.Sprintf("%s/%d", need, i)] && !placeSeen[key] {
						placeSeen[key] = true
						f.breaks("too_early: %s runs before %s is done", t.Peca, need)
					}
				}
			}
			if at, ok := f.cancelled[j.id]; ok && now.Sub(at).Seconds() > f.s.cancelS && !placeSeen[key] {
				placeSeen[key] = true
				f.breaks("ran_cancelled: %s", t.Peca)
			}
		}
	}
	for id, byZone := range zones {
		j := byID[id]
		for zone, n := range byZone {
			if j.body["samePlace"] == true && len(byZone) > 1 && !placeSeen[id] {
				placeSeen[id] = true
				f.breaks("wrong_place: samePlace %s in %v", id, byZone)
			}
			if j.body["apart"] == true && n > (j.spec.tasks+1)/2 && !placeSeen[id] {
				placeSeen[id] = true
				f.breaks("wrong_place: apart %s has %d of %d in %s", id, n, j.spec.tasks, zone)
			}
		}
	}
	limits := map[string]float64{"t0": 40 * quotaScale, "t1": 24 * quotaScale}
	for team, n := range cores {
		if n > limits[team]+1e-6 && !placeSeen["q"+team] {
			placeSeen["q"+team] = true
			f.breaks("quota: %s uses %.1f cores", team, n)
		}
	}
	if gpus["t1"] > 4*quotaScale+1e-6 && !placeSeen["g"] {
		placeSeen["g"] = true
		f.breaks("quota: t1 uses %.1f accelerators", gpus["t1"])
	}
}

// injectTrouble causes one drawn trouble and ends it.
func injectTrouble(rec *record, rng *rand.Rand, c *cluster, f *fleet, store *fakes.Store) {
	m := c.controllers[rng.IntN(len(c.controllers))]
	if rng.IntN(2) == 0 {
		if l := c.leader(); l != nil {
			m = l
		}
	}
	for_ := func(max int) time.Duration { return time.Duration(500+rng.IntN(max)) * time.Millisecond }
	switch rng.IntN(21) {
	case 0:
		m.signal(syscall.SIGKILL)
		time.Sleep(for_(3000) - 450*time.Millisecond)
		m.start()
	case 1:
		m.signal(syscall.SIGTERM)
		time.Sleep(4 * time.Second)
		m.signal(syscall.SIGKILL)
		time.Sleep(200 * time.Millisecond)
		m.start()
	case 2:
		m.signal(syscall.SIGSTOP)
		time.Sleep(for_(8000))
		m.signal(syscall.SIGCONT)
	case 3:
		rec.printf("state service down")
		store.SetUnavailable(true)
		time.Sleep(for_(8000))
		store.SetUnavailable(false)
		rec.printf("state service back")
	case 4:
		rec.printf("%s refused by the state service", m.name)
		m.store.refuse.Store(true)
		time.Sleep(for_(8000))
		m.store.refuse.Store(false)
	case 5:
		for _, x := range c.controllers {
			x.signal(syscall.SIGKILL)
		}
		time.Sleep(for_(3000))
		for _, x := range c.controllers {
			x.start()
			time.Sleep(for_(300))
		}
	case 6:
		rec.printf("answers of transactions are lost")
		chance := rand.New(rand.NewPCG(rng.Uint64(), 3))
		var cmu sync.Mutex
		lose := func(w http.ResponseWriter, r *http.Request, next http.Handler) bool {
			cmu.Lock()
			hit := chance.IntN(3) == 0
			cmu.Unlock()
			if !strings.HasPrefix(r.URL.Path, "/multi") || !hit {
				return false
			}
			next.ServeHTTP(discard{http.Header{}}, r)
			time.Sleep(3 * time.Second)
			panic(http.ErrAbortHandler)
		}
		for _, x := range c.controllers {
			x.store.intercept.Store(&lose)
		}
		time.Sleep(for_(6000))
		for _, x := range c.controllers {
			x.store.intercept.Store(nil)
		}
	case 7:
		f.mu.Lock()
		n := 0
		for _, x := range f.machines {
			if n++; n > max(4, f.limit/5) {
				break
			}
			x.hungUntil = time.Now().Add(for_(16000))
			rec.printf("%s hangs until %v", x.name, time.Until(x.hungUntil))
		}
		f.mu.Unlock()
	case 8:
		f.mu.Lock()
		n := 0
		for _, x := range f.machines {
			if n++; n > max(4, f.limit/5) {
				break
			}
			x.cut = true
			rec.printf("%s cut", x.name)
			time.AfterFunc(for_(20000), func() { f.mu.Lock(); x.cut = false; f.mu.Unlock() })
		}
		f.mu.Unlock()
	case 9:
		rec.printf("transactions are carried out late")
		chance := rand.New(rand.NewPCG(rng.Uint64(), 3))
		var cmu sync.Mutex
		late := func(w http.ResponseWriter, r *http.Request, next http.Handler) bool {
			cmu.Lock()
			hit, wait := chance.IntN(4) == 0, time.Duration(2000+chance.IntN(10000))*time.Millisecond
			cmu.Unlock()
			if !strings.HasPrefix(r.URL.Path, "/multi") || !hit {
				return false
			}
			raw, _ := io.ReadAll(r.Body)
			time.AfterFunc(wait, func() {
				q, _ := http.NewRequest("POST", r.URL.Path, bytes.NewReader(raw))
				next.ServeHTTP(discard{http.Header{}}, q)
			})
			time.Sleep(3 * time.Second)
			panic(http.ErrAbortHandler)
		}
		for _, x := range c.controllers {
			x.store.intercept.Store(&late)
		}
		time.Sleep(for_(8000))
		for _, x := range c.controllers {
			x.store.intercept.Store(nil)
		}
	case 18, 19, 20:
		cloud := c.cloud
		mode := rng.IntN(3)
		rec.printf("cloud: %s", []string{"down", "answers lost", "carried out late"}[mode])
		chance := rand.New(rand.NewPCG(rng.Uint64(), 3))
		var cmu sync.Mutex
		trouble := func(w http.ResponseWriter, r *http.Request, next http.Handler) bool {
			cmu.Lock()
			hit, wait := chance.IntN(3) > 0, time.Duration(1000+chance.IntN(15000))*time.Millisecond
			cmu.Unlock()
			switch {
			case mode == 0:
				send(w, 503, map[string]string{"error": "trouble"})
				return true
			case r.Method != "POST" || !hit:
				return false
			case mode == 1:
				next.ServeHTTP(discard{http.Header{}}, r)
			default:
				raw, _ := io.ReadAll(r.Body)
				time.AfterFunc(wait, func() {
					q, _ := http.NewRequest("POST", r.URL.Path, bytes.NewReader(raw))
					next.ServeHTTP(discard{http.Header{}}, q)
				})
			}
			time.Sleep(6 * time.Second)
			panic(http.ErrAbortHandler)
		}
		cloud.intercept.Store(&trouble)
		time.Sleep(for_(12000))
		cloud.intercept.Store(nil)
	case 14, 15:
		stateToo := rng.IntN(2) == 0
		rec.printf("%s cut from the other controllers, and from the state service: %v", m.name, stateToo)
		for pair, relay := range c.links {
			if pair[0] == m.name || pair[1] == m.name {
				relay.Block(true, true)
			}
		}
		if stateToo {
			silent := func(w http.ResponseWriter, r *http.Request, next http.Handler) bool {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			m.store.intercept.Store(&silent)
		}
		time.Sleep(for_(18000))
		for _, relay := range c.links {
			relay.Block(false, false)
		}
		m.store.intercept.Store(nil)
	case 16, 17:
		rec.printf("some directions between controllers are blocked")
		for _, relay := range c.links {
			relay.Block(rng.IntN(2) == 0, rng.IntN(2) == 0)
		}
		time.Sleep(for_(15000))
		for _, relay := range c.links {
			relay.Block(false, false)
		}
	case 10:
		f.mu.Lock()
		f.copyUntil = time.Now().Add(for_(15000))
		f.mu.Unlock()
		rec.printf("copies of reports")
	case 11:
		f.mu.Lock()
		n := 0
		for _, x := range f.machines {
			if n++; n > max(4, f.limit/5) {
				break
			}
			x.deaf = true
			rec.printf("%s deaf", x.name)
			time.AfterFunc(for_(20000), func() { f.mu.Lock(); x.deaf = false; f.mu.Unlock() })
		}
		f.mu.Unlock()
	case 12:
		f.mu.Lock()
		n := 0
		for _, x := range f.machines {
			if n++; n > max(4, f.limit/5) {
				break
			}
			rec.printf("%s taken", x.name)
			x.gone = true
			delete(f.machines, x.name)
		}
		f.mu.Unlock()
	case 13:
		rec.printf("state service slow")
		chance := rand.New(rand.NewPCG(rng.Uint64(), 3))
		var cmu sync.Mutex
		slow := func(w http.ResponseWriter, r *http.Request, next http.Handler) bool {
			cmu.Lock()
			wait := time.Duration(chance.IntN(400)) * time.Millisecond
			cmu.Unlock()
			time.Sleep(wait)
			return false
		}
		for _, x := range c.controllers {
			x.store.intercept.Store(&slow)
		}
		time.Sleep(for_(10000))
		for _, x := range c.controllers {
			x.store.intercept.Store(nil)
		}
	}
}

// discard is the answer to a call whose answer is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
