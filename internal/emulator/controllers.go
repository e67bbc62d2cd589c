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

// controller is one controller process. It can be killed and started again.
type controller struct {
	name, users, peers string
	file               string // path of the platform's settings file

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed once the process has exited
	last    string
	killed  bool // by signal; its exit is expected
}

// controllerSet is all controllers of an emulation.
type controllers struct {
	options *Options
	all     []*controller
	folder  string // of the settings files
	// settingsFile is the path of the operators' settings file; empty: none.
	settings string
	// reservation keeps the controllers' addresses while none of them listens, before their
	// start and between a kill and the next start.
	reservation *standin.AddressReservation
}

// smallFleetSettings are operators' settings with which the recovery of a small fleet is paced as
// that of a large one.
const smallFleets = "recovery_from: 0\n"

// newControllerSet reserves the controllers' addresses and writes their settings files into a
// temporary directory.
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
		c.all = append(c.all, &controller{name: name, users: addresses[2*i],
			peers: addresses[2*i+1], file: filepath.Join(folder, name+".toml")})
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

// writeConfigFile writes the platform's settings file of one controller.
func (c *controllers) writeSettings(one *controller, state, cloud string) error {
	p := config.Platform{Node: one.name, Location: "a", ClientListen: one.users,
		PeerBind: one.peers, Cluster: c.options.cluster()}
	p.Outside.State, p.Outside.Cloud = state, cloud
	for _, other := range c.all {
		if other != one {
			p.Known = append(p.Known,
				config.Peer{Node: other.name, Location: "a", PeerAddr: other.peers})
		}
	}
	raw, err := toml.Marshal(p)
	if err != nil {
		return err
	}
	return os.WriteFile(one.file, raw, 0o600)
}

// clientAddresses returns the controllers' client addresses, by name.
func (c *controllers) users() map[string]string {
	users := map[string]string{}
	for _, one := range c.all {
		users[one.name] = one.users
	}
	return users
}

// startAll starts all controller processes.
func (c *controllers) startAll() error {
	for _, one := range c.all {
		if err := one.start(c.options.Program, c.settings); err != nil {
			return fmt.Errorf("controller %s does not start: %w", one.name, err)
		}
	}
	return nil
}

// killAll kills all controllers at once with SIGKILL, which they can't handle, and waits for them.
func (c *controllers) killAll() {
	for _, one := range c.all {
		one.signal(os.Kill)
	}
	for _, one := range c.all {
		one.await()
	}
}

// close kills all controllers, releases their addresses and removes their settings files.
func (c *controllers) close() {
	c.killAll()
	if c.reservation != nil {
		c.reservation.Close()
	}
	os.RemoveAll(c.folder)
}

// unexpectedExit returns an error if a controller has exited without being killed.
func (c *controllers) failed() error {
	for _, one := range c.all {
		if why, failed := one.failure(); failed {
			return fmt.Errorf("controller %s has ended: %s", one.name, why)
		}
	}
	return nil
}

// start starts the process.
func (one *controller) start(program, settings string) error {
	args := []string{"--config", one.file}
	if settings != "" {
		args = append(args, "--settings", settings)
	}
	command := exec.Command(program, args...)
	// The child dies with this process, however that ends, but not by an interrupt at the terminal.
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

// recordLog keeps the last line of the process's log.
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

// signal sends a signal to the process and marks its exit as expected.
func (one *controller) signal(signal os.Signal) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.command != nil {
		one.killed = true
		one.command.Process.Signal(signal)
	}
}

// waitForExit waits until the process has exited, if it was ever started.
func (one *controller) await() {
	one.mu.Lock()
	ended := one.ended
	one.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// unexpectedExit returns whether the process has exited without being killed, and its last log line.
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

// waitForLeader waits until all controllers name the same leader.
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

// commonLeader returns the leader that all controllers name; empty if they don't agree on one.
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

// ProcessUsage is the resource usage of a controller process.
type Usage struct {
	Node        string  `json:"node"`
	PeakMB      float64 `json:"peak_memory_mb"`
	Connections int     `json:"connections"`
	ProcessorS  float64 `json:"processor_s"`
}

// processUsages reads the controllers' resource usage from /proc.
func (c *controllers) usages() []Usage {
	var usages []Usage
	for _, one := range c.all {
		one.mu.Lock()
		pid := one.command.Process.Pid
		one.mu.Unlock()
		usages = append(usages, Usage{Node: one.name, PeakMB: peakMB(pid),
			Connections: sockets(pid), ProcessorS: processor(pid)})
	}
	return usages
}

// peakMemoryMB returns the peak resident memory of a process; 0 if it can't be read.
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

// socketCount returns the number of open sockets of a process.
func sockets(pid int) int {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(folder)
	count := 0
	for _, entry := range entries {
		if to, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil &&
			strings.HasPrefix(to, "socket:") {
			count++
		}
	}
	return count
}

// ticksPerSecond is the unit of processor times in /proc/PID/stat (USER_HZ).
const ticksPerSecond = 100

// cpuSeconds returns the user and system time of a process; 0 if it can't be read.
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
