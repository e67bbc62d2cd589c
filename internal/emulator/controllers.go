package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/standin"
)

// controller is one controller, as a process of its own.
type controller struct {
	name, users, peers string
	file               string // its settings

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed once the process has ended
	last    string        // line of its log
	killed  bool
}

// controllers are all of them.
type controllers struct {
	options *Options
	all     []*controller
	folder  string
	// settings is the operators' settings file of the controllers; empty: none.
	settings string
	// reservation keeps the controllers' addresses while none of them listens, before their
	// start and between a kill and the next start.
	reservation *standin.AddressReservation
}

// smallFleets are settings under which small fleets recover as large ones do.
const smallFleets = "recovery_from: 0\n"

// newControllers writes the settings of the controllers into a folder of their own.
func newControllers(o *Options, state, cloud string) (*controllers, error) {
	folder, err := os.MkdirTemp("", "hitchdoor-emulate-")
	if err != nil {
		return nil, err
	}
	c := &controllers{options: o, folder: folder}
	if c.reservation, err = standin.ReserveAddresses(2 * o.Controllers); err != nil {
		c.close()
		return nil, err
	}
	addresses := c.reservation.Addresses()
	for i := range o.Controllers {
		name := fmt.Sprintf("n%d", i)
		c.all = append(c.all, &controller{name: name, users: addresses[2*i], peers: addresses[2*i+1], file: filepath.Join(folder, name+".toml")})
	}
	if c.settings = o.Settings; c.settings == "" && o.ownProgram {
		c.settings = filepath.Join(folder, "operators.yaml")
		if err := os.WriteFile(c.settings, []byte(smallFleets), 0o600); err != nil {
			c.close()
			return nil, err
		}
	}
	for _, one := range c.all {
		if err := c.writeSettings(one, state, cloud); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (c *controllers) writeSettings(one *controller, state, cloud string) error {
	p := config.Platform{Node: one.name, Location: "a", ClientListen: one.users, PeerBind: one.peers, Cluster: c.options.cluster()}
	p.Outside.State, p.Outside.Cloud = state, cloud
	for _, other := range c.all {
		if other != one {
			p.Known = append(p.Known, config.Peer{Node: other.name, Location: "a", PeerAddr: other.peers})
		}
	}
	raw, err := toml.Marshal(p)
	if err != nil {
		return err
	}
	return os.WriteFile(one.file, raw, 0o600)
}

// users are the client addresses, by name.
func (c *controllers) users() map[string]string {
	users := map[string]string{}
	for _, one := range c.all {
		users[one.name] = one.users
	}
	return users
}

// startAll starts all controllers.
func (c *controllers) startAll() error {
	for _, one := range c.all {
		if err := one.start(c.options.Program, c.settings); err != nil {
			return fmt.Errorf("controller %s does not start: %w", one.name, err)
		}
	}
	return nil
}

// killAll ends all controllers at once, without any signal that they could act on.
func (c *controllers) killAll() {
	for _, one := range c.all {
		one.signal(os.Kill)
	}
	for _, one := range c.all {
		one.await()
	}
}

// close ends all controllers, gives up their addresses and removes their settings.
func (c *controllers) close() {
	c.killAll()
	if c.reservation != nil {
		c.reservation.Close()
	}
	os.RemoveAll(c.folder)
}

// failed is why a controller has ended that nobody has ended, if one has.
func (c *controllers) failed() error {
	for _, one := range c.all {
		if why, failed := one.failure(); failed {
			return fmt.Errorf("controller %s has ended: %s", one.name, why)
		}
	}
	return nil
}

func (one *controller) start(program, settings string) error {
	args := []string{"--config", one.file}
	if settings != "" {
		args = append(args, "--settings", settings)
	}
	command := exec.Command(program, args...)
	// Ends with this process, however that ends, and not by an interrupt at the terminal.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	log, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	one.mu.Lock()
	one.command, one.ended, one.killed = command, ended, false
	one.mu.Unlock()
	go func() {
		one.follow(log)
		command.Wait()
		close(ended)
	}()
	return nil
}

// follow keeps the last line that the process logs.
func (one *controller) follow(log io.Reader) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		one.mu.Lock()
		one.last = lines.Text()
		one.mu.Unlock()
	}
	io.Copy(io.Discard, log)
}

func (one *controller) signal(signal os.Signal) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.command != nil {
		one.killed = true
		one.command.Process.Signal(signal)
	}
}

func (one *controller) await() {
	one.mu.Lock()
	ended := one.ended
	one.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (one *controller) failure() (why string, failed bool) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.ended == nil || one.killed {
		return "", false
	}
	select {
	case <-one.ended:
		if one.last == "" {
			return one.command.ProcessState.String(), true
		}
		return one.last, true
	default:
		return "", false
	}
}

// ready waits until a controller leads that all of them follow.
func (c *controllers) ready(ctx context.Context, within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); {
		if err := c.failed(); err != nil {
			return err
		}
		if c.leaderOf(client) != "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return fmt.Errorf("no controller leads within %v", within)
}

// leaderOf is the leader that all controllers name, empty if they don't name one.
func (c *controllers) leaderOf(client *http.Client) string {
	leader := ""
	for _, one := range c.all {
		var status struct {
			Leader string `json:"leader"`
		}
		resp, err := client.Get("http://" + one.users + "/status")
		if err != nil {
			return ""
		}
		err = json.NewDecoder(resp.Body).Decode(&status)
		resp.Body.Close()
		if err != nil || status.Leader == "" || leader != "" && leader != status.Leader {
			return ""
		}
		leader = status.Leader
	}
	return leader
}

// Usage is what a controller's process uses.
type Usage struct {
	Node        string  `json:"node"`
	PeakMB      float64 `json:"peak_memory_mb"`
	Connections int     `json:"connections"`
	ProcessorS  float64 `json:"processor_s"`
}

// usages reads what the controllers use, from the kernel.
func (c *controllers) usages() []Usage {
	var usages []Usage
	for _, one := range c.all {
		one.mu.Lock()
		pid := one.command.Process.Pid
		one.mu.Unlock()
		usages = append(usages, Usage{Node: one.name, PeakMB: peakMB(pid), Connections: sockets(pid), ProcessorS: processor(pid)})
	}
	return usages
}

func peakMB(pid int) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

func sockets(pid int) int {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(folder)
	count := 0
	for _, entry := range entries {
		if to, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			count++
		}
	}
	return count
}

// ticksPerSecond is the unit in which the kernel counts processor time.
const ticksPerSecond = 100

func processor(pid int) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, after, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}
