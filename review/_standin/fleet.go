package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// machineKind is one machine type of the stand-in of the cloud, with the zones that offer it.
type machineKind struct {
	SKU          string   `json:"sku"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	RAM          float64  `json:"ramGb"`
	Cache        float64  `json:"cacheGb"`
	Pull         float64  `json:"pullGbPerS"`
	Rate         float64  `json:"rate"`
	Market       float64  `json:"marketPrice"`
	Ready        float64  `json:"readyS"`
	Zones        []string `json:"pracas"`
}

// jobSpec is what the workers know of a job: its owner uploads it before the submission.
type jobSpec struct {
	id, team   string
	tasks      int
	cores      float64
	pull       float64 // seconds to fetch the image
	run        []float64
	checkpoint float64
	save       float64
	fails      bool
}

func (j *jobSpec) runOf(index int) float64 { return j.run[index%len(j.run)] }

// fleet stands for the cloud and for the workers of its machines.
type fleet struct {
	rec   *record
	s     settings
	kinds []machineKind
	limit int
	boot  time.Duration

	mu        sync.Mutex
	nodes     []string          // names, in order
	addresses map[string]string // by name
	rentals   map[string][]string
	machines  map[string]*machine
	number    int
	jobs      map[string]*jobSpec
	done      map[string]bool // completed tasks; the result is kept
	doneAt    map[string]time.Time
	cancelled map[string]time.Time // when a user was told
	broken    []string             // rules that the workers saw broken
	starts    map[string]int
	commands  func(machine string, order order) // sees each command that is carried out
	stopped   bool
	copyUntil time.Time // until then, copies of reports arrive again later
}

// machine is one rented machine with its worker.
type machine struct {
	fleet               *fleet
	name, kind, zone    string
	spot                bool
	node                string
	session, seq, token uint64
	tasks               []*task
	leaseFrom           time.Time // when the last answered report was sent, or the session began
	rentedAt            time.Time
	gone                bool
	changed             bool
	hungUntil           time.Time
	cut                 bool // reaches no controller
	deaf                bool // reports arrive, answers are lost
	extra               map[string]any
	up                  bool
	slow                float64 // factor by which its tasks run longer; 0: 1
}

type task struct {
	Peca      string `json:"peca"`
	Tentativa uint64 `json:"tentativa"`
	Situacao  string `json:"situacao"`
	Motivo    string `json:"motivo,omitempty"`
	Saved     bool   `json:"saved,omitempty"`
	spec      *jobSpec
	until     time.Time // end of the present state
}

type order struct {
	Ordem     string   `json:"ordem"`
	Peca      string   `json:"peca"`
	Tentativa uint64   `json:"tentativa"`
	Folga     *float64 `json:"folgaS"`
}

func newFleet(rec *record, s settings, kinds []machineKind, limit int, boot time.Duration) *fleet {
	return &fleet{rec: rec, s: s, kinds: kinds, limit: limit, boot: boot, addresses: map[string]string{},
		rentals: map[string][]string{}, machines: map[string]*machine{}, jobs: map[string]*jobSpec{},
		done: map[string]bool{}, doneAt: map[string]time.Time{}, cancelled: map[string]time.Time{}, starts: map[string]int{}}
}

func (f *fleet) use(c *cluster) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range c.controllers {
		f.nodes = append(f.nodes, m.name)
		f.addresses[m.name] = m.client
	}
}

func (f *fleet) upload(j *jobSpec) {
	f.mu.Lock()
	f.jobs[j.id] = j
	f.mu.Unlock()
}

func (f *fleet) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.rec.printf("BROKEN %s", text)
}

func send(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// ServeHTTP is the interface of the cloud.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.URL.Path == "/catalog":
		send(w, 200, map[string]any{"portes": f.kinds})
	case r.URL.Path == "/hosts" && r.Method == "POST":
		var rental struct {
			Pedido, Porte, Praca string
			Avulsas              bool
			Count                int
		}
		if json.NewDecoder(r.Body).Decode(&rental) != nil {
			send(w, 400, map[string]string{"error": "malformed"})
			return
		}
		names := f.rentals[rental.Pedido]
		if names == nil {
			for range min(rental.Count, f.limit-len(f.machines)) {
				names = append(names, f.add(rental.Porte, rental.Praca, rental.Avulsas))
			}
			if len(names) == 0 {
				send(w, 503, map[string]string{"error": "no capacity"})
				return
			}
			f.rentals[rental.Pedido] = names
		}
		send(w, 200, map[string]any{"maquinas": names})
	case r.URL.Path == "/hosts/return":
		var names struct{ Maquinas []string }
		if json.NewDecoder(r.Body).Decode(&names) != nil {
			send(w, 400, map[string]string{"error": "malformed"})
			return
		}
		for _, name := range names.Maquinas {
			if m := f.machines[name]; m != nil {
				f.rec.printf("%s returned", name)
				m.gone = true
				delete(f.machines, name)
			}
		}
		send(w, 200, struct{}{})
	default:
		var rows []map[string]any
		for _, m := range f.machines {
			if m.name > r.URL.Query().Get("since") {
				state := "starting"
				if m.up {
					state = "running"
				}
				rows = append(rows, map[string]any{"uid": m.name, "address": m.name + ":9000", "porte": m.kind,
					"praca": m.zone, "avulsas": m.spot, "situacao": state, "heldS": time.Since(m.rentedAt).Seconds()})
			}
		}
		slices.SortFunc(rows, func(a, b map[string]any) int { return strings.Compare(a["uid"].(string), b["uid"].(string)) })
		if rows == nil {
			rows = []map[string]any{}
		}
		send(w, 200, map[string]any{"maquinas": rows, "truncated": false})
	}
}

func (f *fleet) add(kind, zone string, spot bool) string {
	f.number++
	m := &machine{fleet: f, name: fmt.Sprintf("m-%06d", f.number), kind: kind, zone: zone, spot: spot, session: 1, rentedAt: time.Now()}
	f.machines[m.name] = m
	f.rec.printf("%s rented: %s %s spot=%v", m.name, kind, zone, spot)
	go m.work()
	return m.name
}

// work sends reports and carries out the answers until the machine is gone.
func (m *machine) work() {
	f := m.fleet
	time.Sleep(f.boot)
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	f.mu.Lock()
	m.leaseFrom, m.up = time.Now(), true
	f.mu.Unlock()
	lastSent := time.Time{}
	next := time.Now()
	for {
		f.mu.Lock()
		if m.gone || f.stopped {
			f.mu.Unlock()
			return
		}
		now := time.Now()
		hung := now.Before(m.hungUntil)
		if !hung {
			m.advance(now)
		}
		due := !now.Before(next) || m.changed && now.Sub(lastSent) >= 500*time.Millisecond
		if hung || !due || len(f.nodes) == 0 {
			f.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		m.changed = false
		if m.node == "" {
			m.node = f.nodes[rand.IntN(len(f.nodes))]
		}
		m.seq++
		session, address, cut := m.session, f.addresses[m.node], m.cut
		body := m.report()
		if now.Before(f.copyUntil) && rand.IntN(3) == 0 {
			wait := time.Duration(2000+rand.IntN(20000)) * time.Millisecond
			to := f.addresses[f.nodes[rand.IntN(len(f.nodes))]]
			time.AfterFunc(wait, func() { post(&http.Client{Timeout: 4 * time.Second}, "http://"+to+"/v1/report", body) })
		}
		f.mu.Unlock()
		sentAt := time.Now()
		lastSent = sentAt
		status, raw := 0, []byte(nil)
		if !cut {
			status, raw = post(client, "http://"+address+"/v1/report", body)
		} else {
			time.Sleep(4 * time.Second)
		}
		for { // a hanging machine goes on where it stopped
			f.mu.Lock()
			if !time.Now().Before(m.hungUntil) {
				break
			}
			f.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
		m.advance(time.Now())
		wait := m.answer(status, raw, sentAt, session)
		next = time.Now().Add(wait)
		f.mu.Unlock()
	}
}

func post(client *http.Client, url string, body []byte) (int, []byte) {
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// report returns the worker's report. The fleet is locked.
func (m *machine) report() []byte {
	tasks := m.tasks
	if tasks == nil {
		tasks = []*task{}
	}
	body := map[string]any{"maquina": m.name, "address": m.name + ":9000", "porte": m.kind, "praca": m.zone,
		"avulsas": m.spot, "turno": m.session, "contagem": m.seq, "bastao": m.token, "avisoS": nil, "pecas": tasks}
	for k, v := range m.extra {
		body[k] = v
	}
	raw, _ := json.Marshal(body)
	return raw
}

// advance applies the end of the lease and of the tasks' states. The fleet is locked.
func (m *machine) advance(now time.Time) {
	f := m.fleet
	if now.Sub(m.leaseFrom) > time.Duration(f.s.leaseS*float64(time.Second)) {
		if len(m.tasks) > 0 {
			f.rec.printf("%s lease ended, %d tasks killed", m.name, len(m.tasks))
		}
		m.session, m.leaseFrom, m.tasks, m.changed = m.session+1, now, nil, true
	}
	for _, t := range m.tasks {
		if t.Situacao == "exited" || now.Before(t.until) {
			continue
		}
		m.changed = true
		switch t.Situacao {
		case "fetching":
			m.begin(t, now)
		case "running":
			t.Situacao, t.Motivo = "exited", "done"
			if t.spec.fails {
				t.Motivo = "error"
			} else {
				f.done[t.Peca] = true
				f.doneAt[t.Peca] = now
			}
			f.rec.printf("%s %s/%d %s", m.name, t.Peca, t.Tentativa, t.Motivo)
		case "saving":
			t.Situacao, t.Motivo, t.Saved = "exited", "halted", true
			f.rec.printf("%s %s/%d halted (saved)", m.name, t.Peca, t.Tentativa)
		}
	}
}

// begin is the moment at which a task has its image: it is on its machine from now on.
func (m *machine) begin(t *task, now time.Time) {
	f := m.fleet
	t.Situacao = "running"
	run := t.spec.runOf(taskIndex(t.Peca))
	if m.slow > 0 {
		run *= m.slow
	}
	if f.done[t.Peca] {
		run = 0
	}
	t.until = now.Add(time.Duration(run * float64(time.Second)))
	f.starts[t.Peca]++
	f.rec.printf("%s %s/%d runs", m.name, t.Peca, t.Tentativa)
	for _, other := range f.machines {
		if other == m {
			continue
		}
		for _, o := range other.tasks {
			if o.Peca == t.Peca && (o.Situacao == "running" || o.Situacao == "saving") && other.holds(now) {
				f.breaks("ran_twice: %s starts on %s while it is on %s", t.Peca, m.name, other.name)
			}
		}
	}
	if at, ok := f.cancelled[t.spec.id]; ok && now.Sub(at).Seconds() > f.s.cancelS {
		f.breaks("ran_cancelled: %s starts %.1f s after its cancellation", t.Peca, now.Sub(at).Seconds())
	}
}

// holds reports whether the machine's lease has not ended: then its tasks are on it.
func (m *machine) holds(now time.Time) bool {
	return !m.gone && now.Sub(m.leaseFrom) <= time.Duration(m.fleet.s.leaseS*float64(time.Second))
}

func taskIndex(peca string) int {
	var index int
	fmt.Sscan(peca[strings.LastIndex(peca, "/")+1:], &index)
	return index
}

// answer carries out the answer to a report and returns the time until the next one. The fleet is locked.
func (m *machine) answer(status int, raw []byte, sentAt time.Time, session uint64) time.Duration {
	f := m.fleet
	usual := time.Duration((0.75 + rand.Float64()/2) * f.s.reportS * float64(time.Second))
	if status == 200 && !m.deaf && time.Since(sentAt) <= 4*time.Second {
		var response struct {
			Bastao *uint64 `json:"bastao"`
			Ordens []order `json:"ordens"`
		}
		if json.Unmarshal(raw, &response) != nil || response.Bastao == nil || *response.Bastao < m.token || session != m.session {
			return usual
		}
		if *response.Bastao > m.token {
			m.token, m.changed = *response.Bastao, true
		}
		m.leaseFrom = sentAt
		for _, o := range response.Ordens {
			m.execute(o)
		}
		return usual
	}
	if status == 200 {
		status = 0
	}
	if status == 421 {
		var redirect struct {
			ReportaA string `json:"reportaA"`
		}
		if json.Unmarshal(raw, &redirect) == nil && redirect.ReportaA != m.node && f.addresses[redirect.ReportaA] != "" {
			m.node = redirect.ReportaA
			return time.Duration(rand.IntN(500)) * time.Millisecond
		}
	}
	m.node = f.nodes[(slices.Index(f.nodes, m.node)+1)%len(f.nodes)]
	return time.Second
}

// execute carries out one command. The fleet is locked.
func (m *machine) execute(o order) {
	f := m.fleet
	now := time.Now()
	if f.commands != nil {
		f.commands(m.name, o)
	}
	index := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Peca == o.Peca && t.Tentativa == o.Tentativa })
	switch {
	case o.Ordem == "start" && index < 0:
		f.rec.printf("%s gets start %s/%d", m.name, o.Peca, o.Tentativa)
		m.start(o, now)
		m.changed = true
	case o.Ordem == "stop" && index >= 0:
		t := m.tasks[index]
		f.rec.printf("%s gets stop %s/%d", m.name, o.Peca, o.Tentativa)
		switch {
		case t.Situacao == "running" && t.spec.checkpoint > 0 && o.Folga != nil && *o.Folga >= t.spec.save:
			t.Situacao, t.until = "saving", now.Add(time.Duration(t.spec.save*float64(time.Second)))
		case t.Situacao == "saving" && (o.Folga == nil || *o.Folga > 0), t.Situacao == "exited":
		default:
			t.Situacao, t.Motivo = "exited", "halted"
		}
		m.changed = true
	case o.Ordem == "forget" && index >= 0 && m.tasks[index].Situacao == "exited":
		m.tasks = slices.Delete(m.tasks, index, index+1)
		m.changed = true
	}
}

func (m *machine) start(o order, now time.Time) {
	f := m.fleet
	spec := f.jobs[o.Peca[:strings.LastIndex(o.Peca, "/")]]
	t := &task{Peca: o.Peca, Tentativa: o.Tentativa, spec: spec, Situacao: "exited"}
	m.tasks = append(m.tasks, t)
	used := 0.0
	for _, other := range m.tasks {
		if other != t && other.Situacao != "exited" {
			used += other.spec.cores
			if other.Peca == o.Peca {
				t.Motivo = "in_use"
				return
			}
		}
	}
	switch {
	case spec == nil || taskIndex(o.Peca) >= spec.tasks:
		t.Motivo = "unknown"
	case used+spec.cores > m.cores()+1e-6:
		t.Motivo = "full"
	default:
		t.Situacao, t.until = "fetching", now.Add(time.Duration(spec.pull*float64(time.Second)))
	}
}

func (m *machine) cores() float64 {
	for _, kind := range m.fleet.kinds {
		if kind.SKU == m.kind {
			return kind.Cores
		}
	}
	return 0
}

// onMachines returns the machines on which tasks of a job are. The fleet must not be locked.
func (f *fleet) onMachines(job string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	now := time.Now()
	for _, m := range f.machines {
		for _, t := range m.tasks {
			if strings.HasPrefix(t.Peca, job+"/") && (t.Situacao == "running" || t.Situacao == "saving") && m.holds(now) {
				names = append(names, m.name+":"+t.Peca)
			}
		}
	}
	slices.Sort(names)
	return names
}

func (f *fleet) doneTasks(job string, tasks int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for i := range tasks {
		if f.done[fmt.Sprintf("%s/%d", job, i)] {
			count++
		}
	}
	return count
}

func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
}
