package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hitchdoor/internal/fakes"
)

// record writes one line, with the time since the start, to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// running is the cluster whose processes must not outlive this program.
var running atomic.Pointer[cluster]

// cannotRun ends the processes and this program with status 2: the case could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if c := running.Load(); c != nil {
		c.close()
	}
	os.Exit(2)
}

// settings are the figures of a deployment that the settings file names.
type settings struct {
	reportS, leaseS, cancelS float64
	stateRPS, writeRPS       float64
	valueKB                  float64
	txnOps                   int
	cloudRPS, listLagS       float64
	memMB                    float64
	connections              int
	zones                    []string
	teams                    string // TOML of [[cluster.teams]] and [[cluster.objectives]]
	nodes                    int
	relays                   bool   // the controllers reach each other through relays that can be blocked
	stateNext                string // TOML of [cluster.state.next], or empty
}

// controller is one process of the service.
type controller struct {
	name, client, peer, config string
	store                      *gate // what stands between this controller and the state service
	cluster                    *cluster
	mu                         sync.Mutex
	command                    *exec.Cmd
	old                        string   // the program of the version before, until the upgrade; empty: the deploy file's
	killed                     bool     // this program has ended the process, or is about to
	ended                      []string // how its processes have ended by themselves
}

// cluster is the processes of the service with their addresses.
type cluster struct {
	rec         *record
	dir         string
	controllers []*controller
	reservation *fakes.AddressReservation
	cloud       *gate                      // what stands before the cloud; nil: nothing
	links       map[[2]string]*fakes.Relay // from the first controller to the second; nil: they connect directly
}

// gate passes a controller's calls to the state service, or refuses them.
type gate struct {
	next   http.Handler
	refuse atomic.Bool // 503 to this controller alone
	// intercept may answer a call itself; it returns true if it has.
	intercept atomic.Pointer[func(w http.ResponseWriter, r *http.Request, next http.Handler) bool]
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.refuse.Load() {
		if strings.HasPrefix(r.URL.Path, "/follow") {
			<-r.Context().Done() // open watches wait
			return
		}
		w.WriteHeader(503)
		return
	}
	if f := g.intercept.Load(); f != nil && (*f)(w, r, g.next) {
		return
	}
	g.next.ServeHTTP(w, r)
}

// serve starts a server on a free loopback port and returns its address.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go http.Serve(listener, handler)
	return listener.Addr().String()
}

// newCluster writes the settings files. store and cloud are the stand-ins; peers stay on loopback.
func newCluster(rec *record, s settings, store http.Handler, cloudAddress string) *cluster {
	dir, err := os.MkdirTemp("", "hitchdoor-review-")
	if err != nil {
		cannotRun("%v", err)
	}
	reservation, err := fakes.ReserveAddresses(2 * s.nodes)
	if err != nil {
		cannotRun("%v", err)
	}
	c := &cluster{rec: rec, dir: dir, reservation: reservation, links: map[[2]string]*fakes.Relay{}}
	addresses := reservation.Addresses()
	for i := range s.nodes {
		c.controllers = append(c.controllers, &controller{name: fmt.Sprintf("pouso-%d", i),
			client: addresses[2*i], peer: addresses[2*i+1], cluster: c, store: &gate{next: store}})
	}
	quoted := `"` + strings.Join(s.zones, `", "`) + `"`
	for i, member := range c.controllers {
		var b strings.Builder
		fmt.Fprintf(&b, "node = %q\nlocation = %q\nclient_listen = %q\npeer_bind = %q\n\n",
			member.name, s.zones[i%len(s.zones)], member.client, member.peer)
		for j, other := range c.controllers {
			if other != member {
				address := other.peer
				if s.relays {
					relay, err := fakes.NewRelay(other.peer)
					if err != nil {
						cannotRun("%v", err)
					}
					c.links[[2]string{member.name, other.name}] = relay
					address = relay.Address()
				}
				fmt.Fprintf(&b, "[[known]]\nnode = %q\nlocation = %q\npeer_addr = %q\n\n",
					other.name, s.zones[j%len(s.zones)], address)
			}
		}
		fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n\n", cloudAddress, serve(member.store))
		fmt.Fprintf(&b, "[cluster]\ncount = %d\nzones = [%s]\ntime_bound_ms = 1000.0\n\n%s\n", s.nodes, quoted, s.teams)
		fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %v\nlease_s = %v\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = %v\n\n",
			decimal(s.reportS), decimal(s.leaseS), decimal(s.cancelS))
		fmt.Fprintf(&b, "[cluster.state]\nrps = %v\nwrite_rps = %v\nvalue_kb = %v\ntxn_ops = %d\n\n%s\n",
			decimal(s.stateRPS), decimal(s.writeRPS), decimal(s.valueKB), s.txnOps, s.stateNext)
		fmt.Fprintf(&b, "[cluster.cloud]\nrps = %v\nlist_lag_s = %v\n\n", decimal(s.cloudRPS), decimal(s.listLagS))
		fmt.Fprintf(&b, "[cluster.resources]\ncore_share = 0.18\nmem_mb = %v\nmax_connections = %d\n",
			decimal(s.memMB), s.connections)
		member.config = filepath.Join(dir, member.name+".toml")
		if err := os.WriteFile(member.config, []byte(b.String()), 0o600); err != nil {
			cannotRun("%v", err)
		}
	}
	return c
}

func decimal(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprint(v)
}

// start starts the process with the command of the deploy file.
func (m *controller) start() {
	fields := strings.Fields(runCommand())
	if m.old != "" {
		fields[0] = m.old
	}
	command := exec.Command(fields[0], append(fields[1:], m.config)...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(m.cluster.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL="+envOr("CASE_LOG", "info"))
	if err := command.Start(); err != nil {
		cannotRun("start %s: %v", m.name, err)
	}
	m.mu.Lock()
	m.command, m.killed = command, false
	m.mu.Unlock()
	m.cluster.rec.printf("%s started", m.name)
	go func() {
		err := command.Wait()
		log.Close()
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.command == command && !m.killed {
			how := fmt.Sprintf("%s ended by itself (%v): %s", m.name, err, lastError(log.Name()))
			m.ended = append(m.ended, how)
			m.cluster.rec.printf("%s", how)
		}
	}()
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// runCommand returns the command that deploy/service.toml names.
func runCommand() string {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			return strings.TrimSuffix(strings.TrimSpace(rest), `"`)
		}
	}
	cannotRun("deploy/service.toml names no run command")
	return ""
}

// signal sends a signal to the process that this program started.
func (m *controller) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil && m.command.Process != nil {
		m.killed = m.killed || s == syscall.SIGKILL || s == syscall.SIGTERM
		m.command.Process.Signal(s)
		m.cluster.rec.printf("%s gets %v", m.name, s)
	}
}

func (c *cluster) startAll() {
	running.Store(c)
	for _, m := range c.controllers {
		m.start()
	}
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, m := range c.controllers {
		m.mu.Lock()
		if m.command != nil && m.command.Process != nil {
			m.killed = true
			m.command.Process.Signal(syscall.SIGCONT)
			m.command.Process.Kill()
		}
		m.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	if keep := os.Getenv("CASE_KEEP"); keep != "" {
		fmt.Fprintln(os.Stderr, "logs are in", c.dir)
		return
	}
	os.RemoveAll(c.dir)
}

// status returns the status page of a controller, or nil.
func (m *controller) status() map[string]any {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + m.client + "/status")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var page map[string]any
	if json.NewDecoder(response.Body).Decode(&page) != nil {
		return nil
	}
	return page
}

// leader returns the controller that says that it leads, or nil.
func (c *cluster) leader() *controller {
	for _, m := range c.controllers {
		if page := m.status(); page != nil && page["leads"] == true {
			return m
		}
	}
	return nil
}

// awaitLeader waits for a leader.
func (c *cluster) awaitLeader(limit time.Duration) *controller {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if m := c.leader(); m != nil {
			c.rec.printf("%s leads", m.name)
			return m
		}
	}
	return nil
}

// call sends a request of a user to a controller and returns the status (0: none) and the body.
func (m *controller) call(method, path string, body []byte, limit time.Duration) (int, string) {
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+m.client+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(raw)
}

// lastError returns the line of a log that names a panic, or its last line.
func lastError(path string) string {
	raw, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.HasPrefix(lines[i], "panic:") || strings.HasPrefix(lines[i], "fatal error:") {
			return lines[i]
		}
	}
	return lines[len(lines)-1]
}

// endedByThemselves returns how processes of the service have ended by themselves so far.
func (c *cluster) endedByThemselves() []string {
	var all []string
	for _, m := range c.controllers {
		m.mu.Lock()
		all = append(all, m.ended...)
		m.mu.Unlock()
	}
	return all
}

// keepRunning starts each process again some time after it has ended by itself, as the platform does.
func (c *cluster) keepRunning(delay time.Duration, stop <-chan struct{}) {
	seen := map[*controller]int{}
	for {
		for _, m := range c.controllers {
			m.mu.Lock()
			count := len(m.ended)
			m.mu.Unlock()
			if count > seen[m] {
				seen[m] = count
				time.AfterFunc(delay, func() {
					select {
					case <-stop:
					default:
						m.start()
					}
				})
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
