package emulator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// probePeriod is the time between two looks at a controller after the restart.
const probePeriod = 100 * time.Millisecond

// availability measures what users notice after the restart of the controllers: which queries are answered,
// and when the first controller is healthy and a leader has loaded the stored records.
type availability struct {
	mu              sync.Mutex
	restartedAt     time.Time // zero until the controllers are restarted
	sent, answered  int       // queries after the restart
	lastAnswers     map[string]time.Time
	longestGap      time.Duration // longest time that a job had no answer after the restart
	firstHealthyAt  time.Time
	recordsLoadedAt time.Time
}

// newAvailability returns a measurement that begins with restarted.
func newAvailability() *availability { return &availability{lastAnswers: map[string]time.Time{}} }

// restarted begins the measurement.
func (a *availability) restarted(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.restartedAt = at
}

// recordQuery records a query about a job and whether it was answered.
func (a *availability) recordQuery(jobID string, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.restartedAt.IsZero() {
		return
	}
	a.sent++
	last, known := a.lastAnswers[jobID]
	if !known {
		last = a.restartedAt
	}
	if known || !answered {
		a.longestGap = max(a.longestGap, now.Sub(last))
	}
	if answered {
		a.answered++
		a.lastAnswers[jobID] = now
	} else if !known {
		a.lastAnswers[jobID] = a.restartedAt
	}
}

// watch looks at the controllers until a leader has loaded the records or the context is cancelled.
func (a *availability) watch(ctx context.Context, members []*controller) {
	client := &http.Client{Timeout: protocol.HealthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var watching sync.WaitGroup
	for _, member := range members {
		watching.Go(func() {
			for !a.done() && sleep(ctx, probePeriod) {
				a.look(ctx, client, member)
			}
		})
	}
	watching.Wait()
}

// done reports whether everything has been seen.
func (a *availability) done() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.recordsLoadedAt.IsZero() && !a.firstHealthyAt.IsZero()
}

// look records whether a controller is healthy and whether it leads with all records loaded.
func (a *availability) look(ctx context.Context, client *http.Client, member *controller) {
	healthy := getJSON(ctx, client, member.clientAddress, "/healthz", nil)
	var status recovery.NodeStatus
	loaded := getJSON(ctx, client, member.clientAddress, "/recovery", &status) && status.IsLeader &&
		status.Recovery != nil && status.Recovery.Phase != recovery.PhaseReading.String()
	a.mu.Lock()
	defer a.mu.Unlock()
	if healthy && a.firstHealthyAt.IsZero() {
		a.firstHealthyAt = time.Now()
	}
	if loaded && a.recordsLoadedAt.IsZero() {
		a.recordsLoadedAt = time.Now()
	}
}

// getJSON sends a GET request, decodes the response into body unless it is nil, and reports success.
func getJSON(ctx context.Context, client *http.Client, address, path string, body any) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && (body == nil || json.NewDecoder(response.Body).Decode(body) == nil)
}

// AvailabilityReport is what users noticed after the restart of the controllers. Nil means that the event was
// not observed.
type AvailabilityReport struct {
	Queries       int      `json:"queries"`
	Answered      int      `json:"answered"`
	LongestGapS   float64  `json:"longest_gap_s"` // longest time that a job had no answer
	FirstHealthyS *float64 `json:"first_healthy_s"`
	LoadedS       *float64 `json:"records_loaded_s"`
}

// report returns the measurements.
func (a *availability) report() AvailabilityReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := func(at time.Time) *float64 {
		if at.IsZero() {
			return nil
		}
		seconds := at.Sub(a.restartedAt).Seconds()
		return &seconds
	}
	return AvailabilityReport{Queries: a.sent, Answered: a.answered, LongestGapS: a.longestGap.Seconds(),
		FirstHealthyS: since(a.firstHealthyAt), LoadedS: since(a.recordsLoadedAt)}
}
