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

	"hitchdoor/internal/config"
	"hitchdoor/internal/fakes"
	"hitchdoor/internal/json"
)

// controller is one controller process. It can be killed and started again.
type controller struct {
	name, clientAddress, peerAddress string
	configFile                       string // path of the platform's settings file

	// onLogLine gets each line that the process logs; nil: nobody.
	onLogLine func(line string)

	mu          sync.Mutex
	command     *exec.Cmd
	exited      chan struct{} // closed once the process has exited
	lastLogLine string
	killed      bool // whether a signal was sent, after which an exit is expected
}

// controllerSet manages all controller processes of an emulation.
type controllerSet struct {
	options   *Options
	members   []*controller
	directory string // temporary directory of the settings files
	// settingsFile is the path of the operators' settings file, empty if there is none.
	settingsFile string
	// reservation reserves the controllers' addresses while no controller listens on them: before
	// the first start and between a kill and the next start.
	reservation *fakes.AddressReservation
}

// smallFleetSettings are operators' settings that pace the recovery of a small fleet like that of
// a large one. By default the recovery of a small fleet is not paced.
const smallFleetSettings = "recovery_from: 0\n"

// routes are the addresses at which controllers reach the services and each other.
type routes struct {
	cloud string
	store func(node string) string
	peer  func(from, to *controller) string
}

// directRoutes returns routes without anything in between.
func directRoutes(storeAddress, cloudAddress string) routes {
	return routes{cloud: cloudAddress, store: func(string) string { return storeAddress },
		peer: func(_, to *controller) string { return to.peerAddress }}
}

// newControllerSet reserves the controllers' addresses and writes their settings files into a
// temporary directory. route is called once the addresses are reserved.
func newControllerSet(options *Options, route func(members []*controller) (routes, error)) (*controllerSet, error) {
	directory, err := os.MkdirTemp("", "hitchdoor-emulate-")
	if err != nil {
		return nil, err
	}
	set := &controllerSet{options: options, directory: directory}
	if set.reservation, err = fakes.ReserveAddresses(2 * options.Controllers); err != nil {
		set.close()
		return nil, err
	}
	addresses := set.reservation.Addresses()
	for i := range options.Controllers {
		name := fmt.Sprintf("n%d", i)
		set.members = append(set.members, &controller{name: name, clientAddress: addresses[2*i],
			peerAddress: addresses[2*i+1], configFile: filepath.Join(directory, name+".toml")})
	}
	if set.settingsFile = options.Settings; set.settingsFile == "" && options.usesOwnProgram {
		set.settingsFile = filepath.Join(directory, "operators.yaml")
		if err := os.WriteFile(set.settingsFile, []byte(smallFleetSettings), 0o600); err != nil {
			set.close()
			return nil, err
		}
	}
	if err := set.writeConfigFiles(route); err != nil {
		set.close()
		return nil, err
	}
	return set, nil
}

// writeConfigFiles writes the settings files of all controllers.
func (s *controllerSet) writeConfigFiles(route func(members []*controller) (routes, error)) error {
	chosen, err := route(s.members)
	if err != nil {
		return err
	}
	for _, member := range s.members {
		if err := s.writeConfigFile(member, chosen); err != nil {
			return err
		}
	}
	return nil
}

// writeConfigFile writes the platform's settings file of one controller.
func (s *controllerSet) writeConfigFile(member *controller, chosen routes) error {
	platform := config.Platform{Node: member.name, Location: "a", ClientListen: member.clientAddress,
		PeerBind: member.peerAddress, Cluster: s.options.clusterConfig()}
	platform.Services.Store, platform.Services.Cloud = chosen.store(member.name), chosen.cloud
	for _, other := range s.members {
		if other != member {
			platform.Peers = append(platform.Peers,
				config.Peer{Node: other.name, Location: "a", Address: chosen.peer(member, other)})
		}
	}
	raw, err := toml.Marshal(platform)
	if err != nil {
		return err
	}
	return os.WriteFile(member.configFile, raw, 0o600)
}

// clientAddresses returns the controllers' client addresses by controller name.
func (s *controllerSet) clientAddresses() map[string]string {
	addresses := map[string]string{}
	for _, member := range s.members {
		addresses[member.name] = member.clientAddress
	}
	return addresses
}

// startAll starts all controller processes. It stops at the first that can't be started.
func (s *controllerSet) startAll() error {
	for _, member := range s.members {
		if err := member.start(s.options.Program, s.settingsFile); err != nil {
			return fmt.Errorf("controller %s does not start: %w", member.name, err)
		}
	}
	return nil
}

// killAll kills all controllers at once with SIGKILL, which they can't handle, and waits until
// they have exited.
func (s *controllerSet) killAll() {
	for _, member := range s.members {
		member.signal(os.Kill)
	}
	for _, member := range s.members {
		member.waitForExit()
	}
}

// close kills all controllers, releases their addresses and removes their settings files.
func (s *controllerSet) close() {
	s.killAll()
	if s.reservation != nil {
		s.reservation.Close()
	}
	os.RemoveAll(s.directory)
}

// unexpectedExit returns a *ControllerExitedError if a controller has exited without being killed.
func (s *controllerSet) unexpectedExit() error {
	for _, member := range s.members {
		if reason, exited := member.unexpectedExit(); exited {
			return &ControllerExitedError{Controller: member.name, Reason: reason}
		}
	}
	return nil
}

// start starts the process. settings is the path of the operators' settings file; if it is empty, the
// process gets none.
func (c *controller) start(program, settings string) error {
	args := []string{"--config", c.configFile}
	if settings != "" {
		args = append(args, "--settings", settings)
	}
	command := exec.Command(program, args...)
	// The kernel kills the child when this process ends for any reason. The child has a process
	// group of its own, so that an interrupt at the terminal does not reach it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	log, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	c.mu.Lock()
	c.command, c.exited, c.killed = command, exited, false
	c.mu.Unlock()
	go func() {
		c.recordLog(log)
		command.Wait()
		close(exited)
	}()
	return nil
}

// recordLog reads the process's log until its end and keeps the last line.
func (c *controller) recordLog(log io.Reader) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		c.mu.Lock()
		c.lastLogLine = lines.Text()
		c.mu.Unlock()
		if c.onLogLine != nil {
			c.onLogLine(lines.Text())
		}
	}
	io.Copy(io.Discard, log)
}

// signal sends a signal to the process and marks its exit as expected.
func (c *controller) signal(signal os.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command != nil {
		c.killed = true
		c.command.Process.Signal(signal)
	}
}

// pause stops the process, or lets a stopped one go on. It has no effect on a process that has ended.
func (c *controller) pause(stop bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command == nil {
		return
	}
	if stop {
		c.command.Process.Signal(syscall.SIGSTOP)
		return
	}
	c.command.Process.Signal(syscall.SIGCONT)
}

// isRunning reports whether the process was started and has not been killed.
func (c *controller) isRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.command != nil && !c.killed
}

// waitForExit waits until the process has exited. It returns at once if it was never started.
func (c *controller) waitForExit() {
	c.mu.Lock()
	exited := c.exited
	c.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// unexpectedExit reports whether the process has exited without being killed. The reason is its last
// log line, or its exit status if it has logged nothing.
func (c *controller) unexpectedExit() (reason string, exited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exited == nil || c.killed {
		return "", false
	}
	select {
	case <-c.exited:
		if c.lastLogLine == "" {
			return c.command.ProcessState.String(), true
		}
		return c.lastLogLine, true
	default:
		return "", false
	}
}

// waitForLeader waits until all controllers name the same leader. It returns a *NoLeaderError after
// the timeout, and a *ControllerExitedError if a controller exits.
func (s *controllerSet) waitForLeader(ctx context.Context, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if err := s.unexpectedExit(); err != nil {
			return err
		}
		if s.commonLeader(ctx, client) != "" {
			return nil
		}
		if !sleep(ctx, leaderPollInterval) {
			return ctx.Err()
		}
	}
	return &NoLeaderError{Timeout: timeout}
}

// leaderPollInterval is the time between two rounds of queries for the leader.
const leaderPollInterval = 100 * time.Millisecond

// commonLeader returns the leader that all controllers name, or "" if they don't agree on one.
func (s *controllerSet) commonLeader(ctx context.Context, client *http.Client) string {
	leader := ""
	for _, member := range s.members {
		reportedLeader := member.knownLeader(ctx, client)
		if reportedLeader == "" || leader != "" && leader != reportedLeader {
			return ""
		}
		leader = reportedLeader
	}
	return leader
}

// knownLeader returns the leader that the controller's status names, or "" if the status names none
// or there is no valid response.
func (c *controller) knownLeader(ctx context.Context, client *http.Client) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.clientAddress+"/status", nil)
	if err != nil {
		return ""
	}
	resp, err := client.Do(request)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var status struct {
		Leader string `json:"leader"`
	}
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return ""
	}
	return status.Leader
}

// ProcessUsage is the resource usage of a controller process.
type ProcessUsage struct {
	Node         string  `json:"node"`
	PeakMemoryMB float64 `json:"peak_memory_mb"`
	Connections  int     `json:"connections"` // open sockets, including listeners
	CPUSeconds   float64 `json:"processor_s"`
}

// processUsages reads the controllers' resource usage from /proc.
func (s *controllerSet) processUsages() []ProcessUsage {
	var usages []ProcessUsage
	for _, member := range s.members {
		member.mu.Lock()
		pid := member.command.Process.Pid
		member.mu.Unlock()
		usages = append(usages, ProcessUsage{Node: member.name, PeakMemoryMB: peakMemoryMB(pid),
			Connections: socketCount(pid), CPUSeconds: cpuSeconds(pid)})
	}
	return usages
}

// peakMemoryMB returns the peak resident memory of a process in MiB, or 0 if it can't be read.
func peakMemoryMB(pid int) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// socketCount returns the number of open sockets of a process, or 0 if they can't be read.
func socketCount(pid int) int {
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(directory)
	count := 0
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(directory, entry.Name())); err == nil &&
			strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// ticksPerSecond is the unit of processor times in /proc/PID/stat (USER_HZ).
const ticksPerSecond = 100

// cpuSeconds returns the user and system time of a process, or 0 if it can't be read.
func cpuSeconds(pid int) float64 {
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
