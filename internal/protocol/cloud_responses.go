package protocol

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"hitchdoor/internal/json"
)

// CheckCloudResponse validates the body of a response of the cloud with status 200. It returns a
// *CloudResponseError if the body is truncated or inconsistent; the caller must then treat the call as
// unanswered, because the request may or may not have been executed.
func CheckCloudResponse(method, path string, status int, body []byte) error {
	if status != http.StatusOK {
		return nil
	}
	var problem *CloudResponseError
	switch {
	case path == "/catalog":
		problem = checkCatalog(body)
	case path == "/hosts" && method == "POST":
		problem = checkMachineNames(body)
	case strings.HasPrefix(path, "/hosts?"):
		problem = checkHostPage(path, body)
	}
	if problem == nil {
		return nil
	}
	problem.Call = method + " " + path
	return problem
}

// checkCatalog returns an error unless the body is a catalogue with at least one usable machine type.
func checkCatalog(body []byte) *CloudResponseError {
	var catalog Catalog
	if err := json.Unmarshal(body, &catalog); err != nil || len(catalog.UsableTypes()) == 0 {
		return &CloudResponseError{Reason: "the catalogue has no machine type that can be used", Err: err}
	}
	return nil
}

// checkMachineNames returns an error unless the body, the response to a rental, is a list of machine
// names. The list may be empty, the names may not.
func checkMachineNames(body []byte) *CloudResponseError {
	var names MachineNames
	if err := json.Unmarshal(body, &names); err != nil {
		return &CloudResponseError{Reason: "not a list of machines", Err: err}
	}
	if slices.Contains(names.Machines, "") {
		return &CloudResponseError{Reason: "the list contains a machine without a name"}
	}
	return nil
}

// checkHostPage returns an error unless the body is a valid page of the machine list. The machine names
// must be in strictly increasing order after the name where the request starts. Otherwise a page that
// does not advance would make the caller request it forever.
func checkHostPage(path string, body []byte) *CloudResponseError {
	var page HostPage
	if err := json.Unmarshal(body, &page); err != nil {
		return &CloudResponseError{Reason: "not a list of machines", Err: err}
	}
	_, query, _ := strings.Cut(path, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return &CloudResponseError{Reason: err.Error(), Err: err}
	}
	previous := values.Get("since")
	for _, host := range page.Machines {
		if host.Name <= previous {
			return &CloudResponseError{Reason: fmt.Sprintf("machine %q is listed after %q", host.Name, previous)}
		}
		previous = host.Name
	}
	if page.Truncated && len(page.Machines) == 0 {
		return &CloudResponseError{Reason: "the page is truncated before its first machine"}
	}
	return nil
}

// Lower bounds to which prices and pull rates in a catalogue are raised. They are used as divisors, so a
// zero would make every comparison between machine types meaningless.
const (
	minPrice           = 1e-6 // price per hour
	minPullGBPerSecond = 1e-3
)

// canHoldTasks reports whether a machine of the type can be rented, for which the type needs a name, and
// can hold a task.
func (t *MachineType) canHoldTasks() bool {
	return t.Name != "" && t.Cores > 0 && t.MemoryGB > 0 && !(t.Accelerators < 0)
}

// UsableTypes returns the machine types that can hold a task, with their amounts within the limits.
func (c *Catalog) UsableTypes() []MachineType {
	var usable []MachineType
	for _, machineType := range c.Types {
		if !machineType.canHoldTasks() {
			continue
		}
		machineType.limitAmounts()
		usable = append(usable, machineType)
	}
	return usable
}
