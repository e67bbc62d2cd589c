package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machineType is an entry of the catalogue.
type machineType struct {
	Sku          string   `json:"sku"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	RamGb        float64  `json:"ramGb"`
	CacheGb      float64  `json:"cacheGb"`
	PullGbPerS   float64  `json:"pullGbPerS"`
	Rate         float64  `json:"rate"`
	MarketPrice  float64  `json:"marketPrice"`
	ReadyS       float64  `json:"readyS"`
	Pracas       []string `json:"pracas"`
}

// offering is a kind of machine in a zone.
type offering struct {
	porte, praca string
	avulsas      bool
}

// platform is the stand-in of the cloud and of the workers. It follows the users' protocol.
type platform struct {
	record         *record
	reportS        float64
	leaseS         float64
	bootS          float64
	lag            time.Duration
	types          []machineType
	capacity       map[offering]int
	nodes          map[string]string
	names          []string
	server         *http.Server
	address        string
	runSeconds     func(task string) float64
	fails          func(task, machine string) bool
	onRent         func(pedido string)
	adjust         func(m *machine, seconds float64) (float64, bool) // run time on a machine, and whether the task fails
	outage         bool
	mu             sync.Mutex
	last           int
	rentals        map[string][]string
	machines       map[string]*machine
	jobs           map[string]job
	completed      map[string]bool
	events         []event
	stopped        chan struct{}
	returned       []string
	duplicateReent int
}

// event is a start or an end of a task.
type event struct {
	at             time.Time
	kind           string // start, end
	task, machine  string
	praca, porte   string
	avulsas        bool
	attempt, token uint64
	reason         string
}

type task struct {
	id, state, reason string
	attempt           uint64
	fetchedAt, endsAt time.Time
	fails             bool
}

type machine struct {
	p                  *platform
	name, porte, praca string
	avulsas            bool
	rentedAt           time.Time
	gone               chan struct{}
	node               string
	epoch, seq, token  uint64
	renewedAt          time.Time
	tasks              []*task
	changed            bool
	hangUntil          time.Time
	cut                bool
}

func newPlatform(rec *record, s settings) (*platform, error) {
	p := &platform{record: rec, reportS: s.reportS, leaseS: s.leaseS, bootS: 1, lag: time.Second,
		capacity: map[offering]int{}, nodes: map[string]string{}, rentals: map[string][]string{},
		machines: map[string]*machine{}, jobs: map[string]job{}, completed: map[string]bool{}, stopped: make(chan struct{}),
		runSeconds: func(string) float64 { return 5 }, fails: func(string, string) bool { return false }}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = listener.Addr().String()
	p.server = &http.Server{Handler: p}
	go p.server.Serve(listener)
	return p, nil
}

func (p *platform) close() {
	close(p.stopped)
	p.server.Close()
}

func (p *platform) upload(j job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[j["uid"].(string)] = j
}

func write(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	raw, _ := json.Marshal(body)
	w.Write(raw)
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, _ := io.ReadAll(r.Body)
	switch {
	case p.outage:
		write(w, 503, map[string]string{"error": "trouble"})
	case r.URL.Path == "/catalog":
		write(w, 200, map[string]any{"portes": p.types})
	case r.URL.Path == "/hosts" && r.Method == "POST":
		p.rent(w, raw)
	case r.URL.Path == "/hosts/return":
		var names struct{ Maquinas []string }
		json.Unmarshal(raw, &names)
		p.record.line("cloud: return %v", names.Maquinas)
		for _, name := range names.Maquinas {
			p.returned = append(p.returned, name)
			p.remove(name)
		}
		write(w, 200, map[string]any{})
	default:
		p.list(w, r)
	}
}

func (p *platform) rent(w http.ResponseWriter, raw []byte) {
	var q struct {
		Pedido, Porte, Praca string
		Avulsas              bool
		Count                int
	}
	json.Unmarshal(raw, &q)
	names, known := p.rentals[q.Pedido]
	if !known {
		kind := offering{q.Porte, q.Praca, q.Avulsas}
		used := 0
		for _, m := range p.machines {
			if (offering{m.porte, m.praca, m.avulsas}) == kind {
				used++
			}
		}
		for range min(q.Count, p.capacity[kind]-used) {
			names = append(names, p.add(kind))
		}
		if len(names) == 0 {
			write(w, 503, map[string]string{"error": "no capacity"})
			return
		}
		p.rentals[q.Pedido] = names
		p.record.line("cloud: rent %s %v: %v", q.Pedido, kind, names)
	}
	if p.onRent != nil {
		p.onRent(q.Pedido)
	}
	write(w, 200, map[string]any{"maquinas": names})
}

func (p *platform) add(kind offering) string {
	p.last++
	m := &machine{p: p, name: fmt.Sprintf("m-%06d", p.last), porte: kind.porte, praca: kind.praca, avulsas: kind.avulsas,
		rentedAt: time.Now(), gone: make(chan struct{}), epoch: 1}
	p.machines[m.name] = m
	go m.loop()
	return m.name
}

func (p *platform) remove(name string) {
	if m := p.machines[name]; m != nil {
		delete(p.machines, name)
		close(m.gone)
		m.killTasks("gone")
	}
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	hosts := []map[string]any{}
	since := r.URL.Query().Get("since")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	var names []string
	for name, m := range p.machines {
		if name > since && time.Since(m.rentedAt) > p.lag {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	truncated := len(names) > limit
	for _, name := range names[:min(limit, len(names))] {
		m := p.machines[name]
		state := "running"
		if m.renewedAt.IsZero() {
			state = "starting"
		}
		hosts = append(hosts, map[string]any{"uid": name, "address": "127.0.0.1:9", "porte": m.porte, "praca": m.praca,
			"avulsas": m.avulsas, "situacao": state, "heldS": time.Since(m.rentedAt).Seconds()})
	}
	write(w, 200, map[string]any{"maquinas": hosts, "truncated": truncated})
}

func jobOf(id string) string { name, _, _ := strings.Cut(id, "/"); return name }

func (p *platform) event(m *machine, kind string, t *task, reason string) {
	p.events = append(p.events, event{at: time.Now(), kind: kind, task: t.id, machine: m.name, praca: m.praca, porte: m.porte,
		avulsas: m.avulsas, attempt: t.attempt, token: m.token, reason: reason})
	p.record.line("worker %s (%s, %s): %s %s attempt %d %s", m.name, m.porte, m.praca, kind, t.id, t.attempt, reason)
}

func (m *machine) exit(t *task, reason string) {
	if t.state == "exited" {
		return
	}
	began := t.state != "fetching"
	t.state, t.reason = "exited", reason
	if began {
		m.p.event(m, "end", t, reason)
	}
	if reason == "done" {
		m.p.completed[t.id] = true
	}
	m.changed = true
}

func (m *machine) killTasks(why string) {
	for _, t := range m.tasks {
		if t.state != "exited" {
			m.exit(t, why)
		}
	}
	m.tasks = nil
}

// advance applies what is due. The platform is locked.
func (m *machine) advance() {
	now := time.Now()
	if now.After(m.renewedAt.Add(time.Duration(m.p.leaseS * float64(time.Second)))) {
		m.p.record.line("worker %s: lease over, session %d ends", m.name, m.epoch)
		m.killTasks("lease over")
		m.epoch++
		m.renewedAt, m.changed = now, true
	}
	if now.Before(m.hangUntil) {
		return
	}
	for _, t := range m.tasks {
		if t.state == "fetching" && now.After(t.fetchedAt) {
			t.state = "running"
			m.changed = true
			m.p.event(m, "start", t, "")
		}
		if t.state == "running" && now.After(t.endsAt) {
			if t.fails || m.p.fails(t.id, m.name) {
				m.exit(t, "error")
			} else {
				m.exit(t, "done")
			}
		}
	}
}

func (m *machine) wait(d time.Duration) bool {
	select {
	case <-m.gone:
		return false
	case <-m.p.stopped:
		return false
	case <-time.After(d):
		return true
	}
}

func (m *machine) loop() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	if !m.wait(time.Duration(m.p.bootS * float64(time.Second))) {
		return
	}
	m.p.mu.Lock()
	m.renewedAt = time.Now()
	m.p.mu.Unlock()
	for {
		served := m.report(client)
		last := time.Now()
		pause := time.Duration((0.75 + rand.Float64()/2) * m.p.reportS * float64(time.Second))
		if !served {
			pause = time.Second
		}
		for time.Since(last) < pause {
			if !m.wait(50 * time.Millisecond) {
				return
			}
			m.p.mu.Lock()
			m.advance()
			early := served && m.changed && time.Since(last) >= 500*time.Millisecond
			m.p.mu.Unlock()
			if early {
				break
			}
		}
	}
}

// report sends one report and carries out the commands of its response.
func (m *machine) report(client *http.Client) bool {
	p := m.p
	p.mu.Lock()
	m.advance()
	if m.cut || time.Now().Before(m.hangUntil) {
		p.mu.Unlock()
		return false
	}
	m.seq++
	m.changed = false
	tasks := []map[string]any{}
	for _, t := range m.tasks {
		entry := map[string]any{"peca": t.id, "tentativa": t.attempt, "situacao": t.state}
		if t.state == "exited" {
			entry["motivo"] = t.reason
		}
		tasks = append(tasks, entry)
	}
	body, _ := json.Marshal(map[string]any{"maquina": m.name, "address": "127.0.0.1:9", "porte": m.porte, "praca": m.praca,
		"avulsas": m.avulsas, "turno": m.epoch, "contagem": m.seq, "bastao": m.token, "avisoS": nil, "pecas": tasks})
	if m.node == "" {
		m.node = p.names[rand.IntN(len(p.names))]
	}
	address, epoch := p.nodes[m.node], m.epoch
	p.mu.Unlock()
	sent := time.Now()
	code, raw := 0, []byte(nil)
	if response, err := client.Post("http://"+address+"/v1/report", "application/json", bytes.NewReader(body)); err == nil {
		raw, _ = io.ReadAll(response.Body)
		response.Body.Close()
		code = response.StatusCode
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m.advance()
	if p.machines[m.name] != m {
		return false
	}
	var answer struct {
		Bastao   uint64
		ReportaA string
		Ordens   []struct {
			Ordem, Peca string
			Tentativa   uint64
			FolgaS      float64
		}
	}
	json.Unmarshal(raw, &answer)
	switch {
	case code == 200:
		if m.epoch != epoch || answer.Bastao < m.token || time.Since(sent) > 4*time.Second {
			return true
		}
		m.changed = m.changed || answer.Bastao > m.token
		m.token, m.renewedAt = answer.Bastao, sent
		for _, o := range answer.Ordens {
			m.execute(o.Ordem, o.Peca, o.Tentativa)
		}
		return true
	case code == 421 && p.nodes[answer.ReportaA] != "" && answer.ReportaA != m.node:
		m.node, m.changed = answer.ReportaA, true
		return true
	}
	m.node = p.names[(slices.Index(p.names, m.node)+1)%len(p.names)]
	return false
}

func (m *machine) execute(kind, id string, attempt uint64) {
	index := slices.IndexFunc(m.tasks, func(t *task) bool { return t.id == id && t.attempt == attempt })
	switch {
	case kind == "start" && index < 0:
		m.start(id, attempt)
	case kind == "stop" && index >= 0:
		m.exit(m.tasks[index], "halted")
	case kind == "forget" && index >= 0 && m.tasks[index].state == "exited":
		m.tasks = slices.Delete(m.tasks, index, index+1)
	}
}

func (m *machine) start(id string, attempt uint64) {
	t := &task{id: id, attempt: attempt, state: "fetching"}
	m.tasks = append(m.tasks, t)
	m.changed = true
	j, known := m.p.jobs[jobOf(id)]
	used := 0.0
	refused := ""
	for _, other := range m.tasks[:len(m.tasks)-1] {
		if other.state == "exited" {
			continue
		}
		if other.id == id {
			refused = "in_use"
		}
		used += m.p.jobs[jobOf(other.id)]["cores"].(float64)
	}
	switch {
	case !known:
		refused = "unknown"
	case refused == "" && used+j["cores"].(float64) > m.p.coresOf(m.porte)+1e-6:
		refused = "full"
	}
	if refused != "" {
		t.state, t.reason = "exited", refused
		m.p.record.line("worker %s: start of %s attempt %d refused: %s", m.name, id, attempt, refused)
		return
	}
	now := time.Now()
	t.fetchedAt = now.Add(100 * time.Millisecond)
	seconds := m.p.runSeconds(id)
	if m.p.adjust != nil {
		seconds, t.fails = m.p.adjust(m, seconds)
	}
	t.endsAt = t.fetchedAt.Add(time.Duration(seconds * float64(time.Second)))
	if m.p.completed[id] {
		t.endsAt = t.fetchedAt
	}
}

func (p *platform) coresOf(porte string) float64 {
	for _, t := range p.types {
		if t.Sku == porte {
			return t.Cores
		}
	}
	return 0
}

func (p *platform) setNodes(nodes []*node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range nodes {
		p.nodes[n.name] = n.client
		p.names = append(p.names, n.name)
	}
}
