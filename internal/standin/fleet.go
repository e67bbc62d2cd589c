package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Fleet is a stand-in of the cloud and of the workers on its machines.
type Fleet struct {
	Server *httptest.Server

	settings FleetSettings
	mu       sync.Mutex
	last     int
	requests map[string][]string
	workers  map[string]*worker
	starts   map[string]int // by task
	running  map[string]int // machines on which a task is now
	twice    []string       // tasks that ran on two machines at once
	over     chan struct{}
	wait     sync.WaitGroup
}

// FleetSettings are those of machines and workers.
type FleetSettings struct {
	Nodes   map[string]string // the controllers' client addresses, by name
	Report  time.Duration
	Lease   time.Duration
	Boot    time.Duration
	RunTime time.Duration // of each task
	Most    int           // machines that can be rented
}

// NewFleet starts a cloud. Its machines' workers report until it is closed.
func NewFleet(settings FleetSettings) *Fleet {
	f := &Fleet{settings: settings, requests: map[string][]string{}, workers: map[string]*worker{}, starts: map[string]int{},
		running: map[string]int{}, over: make(chan struct{})}
	f.Server = httptest.NewServer(f)
	return f
}

// SetNodes names the controllers' client addresses, if they weren't known at the start.
func (f *Fleet) SetNodes(nodes map[string]string) {
	f.mu.Lock()
	f.settings.Nodes = nodes
	f.mu.Unlock()
}

// Close ends all workers.
func (f *Fleet) Close() {
	close(f.over)
	f.wait.Wait()
	f.Server.Close()
}

// Starts counts how often each task was started; Twice names those that ran on two machines
// at once.
func (f *Fleet) Starts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int, len(f.starts))
	for task, n := range f.starts {
		out[task] = n
	}
	return out
}

// Twice names the tasks that ran on two machines at once.
func (f *Fleet) Twice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.twice)
}

// ServeHTTP answers a controller's call to the cloud.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.URL.Path == "/catalog":
		answer(w, 200, protocol.Catalog{Types: []protocol.MachineType{{Name: "c4", Cores: 4, RAM: 16, CacheGB: 40,
			PullGBPerS: 1, Rate: 0.3, SpotRate: 0.1, ReadyS: f.settings.Boot.Seconds(), Zones: []string{"a"}}}})
	case r.URL.Path == "/hosts" && r.Method == http.MethodPost:
		var rental protocol.Rental
		if read(w, r, &rental) {
			f.rent(w, rental)
		}
	case r.URL.Path == "/hosts/return":
		var names protocol.MachineNames
		if read(w, r, &names) {
			for _, name := range names.Machines {
				f.end(name)
			}
			answer(w, 200, struct{}{})
		}
	default:
		list := protocol.HostList{Machines: []protocol.Host{}}
		for _, m := range f.workers {
			if m.name > r.URL.Query().Get("since") {
				list.Machines = append(list.Machines, protocol.Host{UID: m.name, Type: "c4", Zone: "a", Spot: true, State: "running"})
			}
		}
		slices.SortFunc(list.Machines, func(a, b protocol.Host) int { return strings.Compare(a.UID, b.UID) })
		answer(w, 200, list)
	}
}

func (f *Fleet) rent(w http.ResponseWriter, rental protocol.Rental) {
	names, again := f.requests[rental.Request]
	if !again {
		for range min(rental.Count, f.settings.Most-len(f.workers)) {
			f.last++
			m := &worker{f: f, name: fmt.Sprintf("m-%06d", f.last), session: 1, gone: make(chan struct{})}
			f.workers[m.name] = m
			names = append(names, m.name)
			f.wait.Go(m.run)
		}
		if len(names) == 0 {
			answer(w, 503, map[string]string{"error": "no capacity"})
			return
		}
		f.requests[rental.Request] = names
	}
	answer(w, 200, protocol.MachineNames{Machines: names})
}

// end takes a machine away with all that runs on it.
func (f *Fleet) end(name string) {
	if m := f.workers[name]; m != nil {
		delete(f.workers, name)
		close(m.gone)
		m.kill()
	}
}

// worker is a machine's worker.
type worker struct {
	f            *Fleet
	name         string
	node         string
	session, seq uint64
	token        uint64
	tasks        []*task
	renewed      time.Time
	gone         chan struct{}
}

type task struct {
	protocol.TaskReport
	ends time.Time
}

// kill ends all tasks; the fleet is locked.
func (m *worker) kill() {
	for _, t := range m.tasks {
		m.exit(t, protocol.WhyHalted)
	}
	m.tasks = nil
}

func (m *worker) exit(t *task, why string) {
	if t.State != protocol.TaskExited {
		t.State, t.Why = protocol.TaskExited, why
		m.f.running[t.Task]--
	}
}

func (m *worker) run() {
	client := &http.Client{Timeout: protocol.ReportTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	if !m.pause(m.f.settings.Boot) {
		return
	}
	m.renewed = time.Now()
	for {
		began := time.Now()
		status, body := m.post(client, m.report())
		pause := m.f.settings.Report
		if !m.take(status, body, began) {
			pause = min(pause, time.Second)
		}
		if !m.pause(pause) {
			return
		}
	}
}

// pause waits, and tells whether the machine is still there.
func (m *worker) pause(d time.Duration) bool {
	select {
	case <-m.f.over:
		return false
	case <-m.gone:
		return false
	case <-time.After(d):
		return true
	}
}

func (m *worker) report() []byte {
	f := m.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(m.renewed) > f.settings.Lease {
		m.session++
		m.kill()
		m.renewed = time.Now()
	}
	m.seq++
	r := protocol.Report{Machine: m.name, Address: m.name + ":1", Type: "c4", Zone: "a", Spot: true, Session: m.session, Seq: m.seq, FencingToken: m.token}
	for _, t := range m.tasks {
		if time.Now().After(t.ends) {
			m.exit(t, protocol.WhyDone)
		}
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return storage.Encode(r)
}

func (m *worker) post(client *http.Client, body []byte) (int, []byte) {
	m.f.mu.Lock()
	nodes := m.f.settings.Nodes
	if _, known := nodes[m.node]; !known {
		m.node = m.nextNode()
	}
	address := nodes[m.node]
	m.f.mu.Unlock()
	resp, err := client.Post("http://"+address+"/v1/report", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// nextNode is the controller after the worker's own, by name.
func (m *worker) nextNode() string {
	names := make([]string, 0, len(m.f.settings.Nodes))
	for name := range m.f.settings.Nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[(slices.Index(names, m.node)+1)%len(names)]
}

// take carries out an answer, and tells whether it was one.
func (m *worker) take(status int, body []byte, began time.Time) bool {
	f := m.f
	f.mu.Lock()
	defer f.mu.Unlock()
	switch status {
	case 200:
		var a protocol.ReportAnswer
		if json.Unmarshal(body, &a) != nil || a.FencingToken < m.token || time.Since(began) > protocol.ReportTimeout {
			return true
		}
		m.token, m.renewed = a.FencingToken, began
		for _, c := range a.Commands {
			m.execute(c)
		}
		return true
	case 421:
		var to protocol.Redirect
		if json.Unmarshal(body, &to) == nil && to.ReportTo != "" && to.ReportTo != m.node {
			m.node = to.ReportTo
			return true
		}
	}
	m.node = m.nextNode()
	return false
}

func (m *worker) execute(c protocol.Command) {
	at := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
	switch {
	case c.Op == protocol.OpStart && at < 0:
		f := m.f
		f.starts[c.Task]++
		if f.running[c.Task]++; f.running[c.Task] > 1 {
			f.twice = append(f.twice, c.Task)
		}
		m.tasks = append(m.tasks, &task{protocol.TaskReport{Task: c.Task, Attempt: c.Attempt, State: protocol.TaskRunning}, time.Now().Add(f.settings.RunTime)})
	case c.Op == protocol.OpStop && at >= 0:
		m.exit(m.tasks[at], protocol.WhyHalted)
	case c.Op == protocol.OpForget && at >= 0:
		m.tasks = slices.Delete(m.tasks, at, at+1)
	}
}
