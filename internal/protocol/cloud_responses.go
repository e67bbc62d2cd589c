package protocol

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/segmentio/encoding/json"
)

// CloudResponseError reports why a response can't come from the cloud.
type CloudResponseError struct {
	Call   string // method and path
	Reason string
}

// Error implements error.
func (e *CloudResponseError) Error() string { return e.Call + ": " + e.Reason }

// CheckCloudResponse validates a response of the cloud with status 200. A truncated or
// inconsistent body returns a *CloudResponseError; the caller must treat the call as unanswered.
func CheckCloudResponse(method, path string, status int, body []byte) error {
	if status != 200 {
		return nil
	}
	reason := ""
	switch {
	case path == "/catalog":
		reason = checkCatalog(body)
	case path == "/hosts" && method == "POST":
		reason = checkMachineNames(body)
	case strings.HasPrefix(path, "/hosts?"):
		reason = checkHostPage(path, body)
	}
	if reason == "" {
		return nil
	}
	return &CloudResponseError{Call: method + " " + path, Reason: reason}
}

// checkCatalog returns what is wrong with a catalogue, or "".
func checkCatalog(body []byte) string {
	var catalog Catalog
	if json.Unmarshal(body, &catalog) != nil || len(catalog.UsableTypes()) == 0 {
		return "no machine type that can be used"
	}
	return ""
}

// checkMachineNames returns what is wrong with the response to a rental, or "".
func checkMachineNames(body []byte) string {
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
func checkHostPage(path string, body []byte) string {
	var page HostPage
	if json.Unmarshal(body, &page) != nil {
		return "not a list of machines"
	}
	_, query, _ := strings.Cut(path, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return err.Error()
	}
	previous := values.Get("since")
	for _, host := range page.Machines {
		if host.Name <= previous {
			return fmt.Sprintf("machine %q after %q", host.Name, previous)
		}
		previous = host.Name
	}
	if page.Truncated && len(page.Machines) == 0 {
		return "cut off before the first machine"
	}
	return ""
}

// Lower bounds of what a catalogue states. Prices and fetch rates are used as divisors, so a
// zero would make every comparison between machine types meaningless.
const (
	minPrice           = 1e-6
	minPullGBPerSecond = 1e-3
)

// UsableTypes returns the machine types that can hold a task, with prices, rates and sizes
// raised to their lower bounds.
func (c *Catalog) UsableTypes() []MachineType {
	var usable []MachineType
	for _, machineType := range c.Types {
		if machineType.Name == "" || !(machineType.Cores > 0) || !(machineType.MemoryGB > 0) || machineType.Accelerators < 0 {
			continue
		}
		machineType.OnDemandPrice, machineType.SpotPrice = max(machineType.OnDemandPrice, minPrice), max(machineType.SpotPrice, minPrice)
		machineType.PullGBPerSecond = max(machineType.PullGBPerSecond, minPullGBPerSecond)
		machineType.ImageCacheGB, machineType.BootSeconds = max(machineType.ImageCacheGB, 0), max(machineType.BootSeconds, 0)
		usable = append(usable, machineType)
	}
	return usable
}
