package fakes

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"hitchdoor/internal/protocol"
)

// Timing of the load balancer, as the protocol describes it.
const (
	probeInterval         = time.Second
	firstRemovalPause     = 3 * time.Second
	maxRemovalPause       = 60 * time.Second
	removalMemory         = 2 * time.Minute
	rampTime              = 10 * time.Second
	failedConnectionPause = 3 * time.Second
	recentProbes          = 6 // of which maxRecentFailures remove a node
	maxRecentFailures     = 3
	maxFailedConnections  = 3 // consecutive failures after which a node is skipped
)

// LoadBalancer chooses a controller for each connection of a user, by health checks and open connections.
type LoadBalancer struct {
	mu       sync.Mutex
	backends []*backend
	client   *http.Client
	probes   sync.WaitGroup
	stop     context.CancelFunc
}

// backend is a controller as the load balancer sees it.
type backend struct {
	name, address     string
	healthy           bool
	everHealthy       bool
	healthySince      time.Time
	successes         int    // consecutive successful probes
	failures          []bool // results of the last probes, true for a failure
	removedAt         time.Time
	removals          []time.Time // within removalMemory
	openConnections   int
	failedConnections int // consecutive
	skippedUntil      time.Time
}

// NewLoadBalancer starts to probe the controllers, given by name and client address.
func NewLoadBalancer(addresses map[string]string) *LoadBalancer {
	ctx, stop := context.WithCancel(context.Background())
	b := &LoadBalancer{stop: stop, client: &http.Client{Timeout: protocol.HealthCheckTimeout,
		Transport: &http.Transport{DisableKeepAlives: true}}}
	for name, address := range addresses {
		b.backends = append(b.backends, &backend{name: name, address: address})
	}
	for _, probed := range b.backends {
		b.probes.Go(func() { b.probeLoop(ctx, probed) })
	}
	return b
}

// Close stops the probes.
func (b *LoadBalancer) Close() {
	b.stop()
	b.probes.Wait()
	b.client.CloseIdleConnections()
}

// Connect chooses a controller for a new connection, and counts the connection. It returns empty strings if
// no controller is available. excluded are the controllers that have just refused this connection.
func (b *LoadBalancer) Connect(excluded []string) (name, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best *backend
	for _, candidate := range b.backends {
		if !candidate.healthy || now.Before(candidate.skippedUntil) || slices.Contains(excluded, candidate.name) {
			continue
		}
		if best == nil || candidate.load(now) < best.load(now) {
			best = candidate
		}
	}
	if best == nil {
		return "", ""
	}
	best.openConnections++
	return best.name, best.address
}

// Disconnected ends a connection. refused reports that the controller did not accept it.
func (b *LoadBalancer) Disconnected(name string, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := slices.IndexFunc(b.backends, func(candidate *backend) bool { return candidate.name == name })
	target := b.backends[index]
	target.openConnections--
	if !refused {
		target.failedConnections = 0
		return
	}
	if target.failedConnections++; target.failedConnections >= maxFailedConnections {
		target.failedConnections, target.skippedUntil = 0, time.Now().Add(failedConnectionPause)
	}
}

// load returns the open connections in relation to the share that the controller gets while it is ramped
// up.
func (t *backend) load(now time.Time) float64 {
	ramp := min(1, max(0.1, now.Sub(t.healthySince).Seconds()/rampTime.Seconds()))
	return float64(t.openConnections+1) / ramp
}

// probeLoop probes one controller until the context is cancelled.
func (b *LoadBalancer) probeLoop(ctx context.Context, probed *backend) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		ok := b.probe(ctx, probed.address)
		b.mu.Lock()
		probed.recordProbe(time.Now(), ok)
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe sends one health check.
func (b *LoadBalancer) probe(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// recordProbe updates the health of a controller after a probe.
func (t *backend) recordProbe(now time.Time, ok bool) {
	t.failures = append(t.failures, !ok)
	t.failures = t.failures[max(0, len(t.failures)-recentProbes):]
	if ok {
		t.successes++
	} else {
		t.successes = 0
	}
	switch {
	case t.healthy && t.probesFailed():
		t.healthy, t.removedAt = false, now
		t.removals = append(t.removals, now)
	case !t.healthy && ok && (!t.everHealthy || t.successes >= 2 && !now.Before(t.removedAt.Add(t.removalPause(now)))):
		t.healthy, t.everHealthy, t.healthySince, t.failures = true, true, now, nil
	}
}

// probesFailed reports whether the last two probes, or maxRecentFailures of the last ones, have failed.
func (t *backend) probesFailed() bool {
	count := 0
	for _, failed := range t.failures {
		if failed {
			count++
		}
	}
	last := len(t.failures) - 1
	return count >= maxRecentFailures || last >= 1 && t.failures[last] && t.failures[last-1]
}

// removalPause returns how long a controller stays removed: twice as long for each further removal within
// removalMemory.
func (t *backend) removalPause(now time.Time) time.Duration {
	t.removals = slices.DeleteFunc(t.removals, func(at time.Time) bool { return now.Sub(at) > removalMemory })
	pause := firstRemovalPause
	for range max(0, len(t.removals)-1) {
		pause = min(2*pause, maxRemovalPause)
	}
	return pause
}
