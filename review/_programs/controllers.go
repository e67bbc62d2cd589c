package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hitchdoor/internal/fakes"
)

// settings are the values of a node's settings file that a case may choose.
type settings struct {
	nodes                             int
	reportS, leaseS, cancelS          float64
	stateRPS, writeRPS, valueKB       float64
	txnOps                            int
	cloudRPS, listLagS                float64
	memMB                             float64
	connections                       int
	teams, objectives, extraStateKeys string
}

// smallDeployment returns settings like those of the site sertao-loja.
func smallDeployment() settings {
	return settings{nodes: 3, reportS: 1.5, leaseS: 14, cancelS: 34, stateRPS: 200, writeRPS: 25, valueKB: 8, txnOps: 20,
		cloudRPS: 1.5, listLagS: 12, memMB: 98, connections: 900,
		teams: "[[cluster.teams]]\nname = \"plataforma-loja\"\ncpus = 24.0\ncpus_max = 72.0\ngpus = 0.0\ngpus_max = 0.0\n"}
}

// node is one controller process.
type node struct {
	name, client, peer, config string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	ended   string // why it ended by itself
	killed  bool
}

// cluster is the set of controller processes.
type cluster struct {
	settings  settings
	program   string
	directory string
	nodes     []*node
	ports     *fakes.AddressReservation
	record    *record
}

// newCluster writes the settings files. state and cloud give the addresses of the services for a node, peer the
// address at which one node reaches another.
func newCluster(s settings, rec *record, state func(name string) string, cloud string,
	peer func(from, to *node) string) (*cluster, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ports, err := fakes.ReserveAddresses(2 * s.nodes)
	if err != nil {
		return nil, err
	}
	c := &cluster{settings: s, program: os.Getenv("HITCHDOOR"), directory: directory, ports: ports, record: rec}
	if c.program == "" {
		c.program = "target/hitchdoor"
	}
	for i := range s.nodes {
		name := fmt.Sprintf("pouso-%d", i)
		c.nodes = append(c.nodes, &node{name: name, client: ports.Addresses()[2*i], peer: ports.Addresses()[2*i+1],
			config: filepath.Join(directory, name+".toml")})
	}
	for _, n := range c.nodes {
		if err := os.WriteFile(n.config, []byte(c.toml(n, state(n.name), cloud, peer)), 0o600); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) toml(n *node, state, cloud string, peer func(from, to *node) string) string {
	s, b := c.settings, &strings.Builder{}
	zones := []string{"aracaju", "salvador", "feira"}
	fmt.Fprintf(b, "node = %q\nlocation = %q\nclient_listen = %q\npeer_bind = %q\n", n.name, zones[0], n.client, n.peer)
	for _, other := range c.nodes {
		if other != n {
			fmt.Fprintf(b, "[[known]]\nnode = %q\nlocation = %q\npeer_addr = %q\n", other.name, zones[0], peer(n, other))
		}
	}
	fmt.Fprintf(b, "[outside]\ncloud = %q\nstate = %q\n", cloud, state)
	fmt.Fprintf(b, "[cluster]\ncount = %d\nzones = [\"aracaju\", \"salvador\", \"feira\"]\ntime_bound_ms = 25.0\n", s.nodes)
	b.WriteString(s.teams + s.objectives)
	fmt.Fprintf(b, "[cluster.workers]\nreport_s = %.3f\nlease_s = %.3f\ngang_wait_s = 45.0\ngang_peer_s = 5.0\ncancel_s = %.3f\n",
		s.reportS, s.leaseS, s.cancelS)
	fmt.Fprintf(b, "[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.stateRPS, s.writeRPS,
		s.valueKB, s.txnOps)
	b.WriteString(s.extraStateKeys)
	fmt.Fprintf(b, "[cluster.cloud]\nrps = %.2f\nlist_lag_s = %.1f\n", s.cloudRPS, s.listLagS)
	fmt.Fprintf(b, "[cluster.resources]\ncore_share = 0.12\nmem_mb = %.1f\nmax_connections = %d\n", s.memMB, s.connections)
	return b.String()
}

// start starts a node with the command of the deploy file. The kernel ends it with this process.
func (c *cluster) start(n *node) error {
	command := exec.Command(c.program, "--config", n.config)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	log, err := os.OpenFile(c.record.logPath(n.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command.Stderr = log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited, n.killed = command, exited, false
	n.mu.Unlock()
	go func() {
		err := command.Wait()
		log.Close()
		n.mu.Lock()
		if !n.killed {
			n.ended = fmt.Sprint(err)
			c.record.line("node %s ended by itself: %v", n.name, err)
		}
		n.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (c *cluster) startAll() error {
	for _, n := range c.nodes {
		if err := c.start(n); err != nil {
			return err
		}
	}
	return nil
}

// kill ends a node with SIGKILL and waits for its end.
func (c *cluster) kill(n *node) {
	n.mu.Lock()
	n.killed = true
	exited := n.exited
	if n.command != nil {
		n.command.Process.Kill()
	}
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// signal sends SIGSTOP or SIGCONT.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		n.command.Process.Signal(s)
	}
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
		c.kill(n)
	}
	c.ports.Close()
	os.RemoveAll(c.directory)
}

// named returns the node of a name, nil if there is none.
func (c *cluster) named(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// waitLeader waits until a node holds the leader key.
func (c *cluster) waitLeader(store *fakes.Store, not string, limit time.Duration) *node {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if name := store.LeaderName(); name != "" && name != not {
			return c.named(name)
		}
	}
	return nil
}
