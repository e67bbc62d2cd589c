package protocol

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/segmentio/encoding/json"
)

// CloudResponseError reports why a response can't come from the cloud.
type CloudError struct {
	Call   string // method and path
	Reason string
}

// Error implements error.
func (e *CloudError) Error() string { return e.Call + ": " + e.Reason }

// CheckCloudResponse validates a response of the cloud with status 200. A truncated or
// inconsistent body returns a *CloudResponseError; the caller must treat the call as unanswered.
func CheckCloudAnswer(method, path string, status int, body []byte) error {
	if status != 200 {
		return nil
	}
	reason := ""
	switch {
	case path == "/catalog":
		reason = checkCatalog(body)
	case path == "/hosts" && method == "POST":
		reason = checkNames(body)
	case strings.HasPrefix(path, "/hosts?"):
		reason = checkHosts(path, body)
	}
	if reason == "" {
		return nil
	}
	return &CloudError{Call: method + " " + path, Reason: reason}
}

// checkCatalog returns what is wrong with a catalogue, or "".
func checkCatalog(body []byte) string {
	var catalog Catalog
	if json.Unmarshal(body, &catalog) != nil || len(catalog.Usable()) == 0 {
		return "no machine type that can be used"
	}
	return ""
}

// checkMachineNames returns what is wrong with the response to a rental, or "".
func checkNames(body []byte) string {
	var names MachineNames
	if json.Unmarshal(body, &names) != nil {
		return "not a list of machines"
	}
	for _, name := range names.Machines {
		if name == "" {
			return "a machine without a name"
		}
	}
	return ""
}

// checkHostPage returns what is wrong with a page of the machine list, or "". Machines must be
// in strictly increasing order after the page's start: a page that does not advance would make
// the caller request it forever.
func checkHosts(path string, body []byte) string {
	var list HostList
	if json.Unmarshal(body, &list) != nil {
		return "not a list of machines"
	}
	_, query, _ := strings.Cut(path, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return err.Error()
	}
	last := values.Get("since")
	for _, host := range list.Machines {
		if host.UID <= last {
			return fmt.Sprintf("machine %q after %q", host.UID, last)
		}
		last = host.UID
	}
	if list.Truncated && len(list.Machines) == 0 {
		return "cut off before the first machine"
	}
	return ""
}

// Lower bounds of what a catalogue states. Prices and fetch rates are used as divisors, so a
// zero would make every comparison between machine types meaningless.
const (
	leastPrice   = 1e-6
	leastPullGBs = 1e-3
)

// UsableTypes returns the machine types that can hold a task, with prices, rates and sizes
// raised to their lower bounds.
func (c *Catalog) Usable() []MachineType {
	var usable []MachineType
	for _, t := range c.Types {
		if t.Name == "" || !(t.Cores > 0) || !(t.RAM > 0) || t.Accelerators < 0 {
			continue
		}
		t.Rate, t.SpotRate = max(t.Rate, leastPrice), max(t.SpotRate, leastPrice)
		t.PullGBPerS = max(t.PullGBPerS, leastPullGBs)
		t.CacheGB, t.ReadyS = max(t.CacheGB, 0), max(t.ReadyS, 0)
		usable = append(usable, t)
	}
	return usable
}
