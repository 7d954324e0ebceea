package bundle

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a bundle.
type Fault struct {
	// Path locates the field, as in Services[2].Targets[0].Address.
	Path string `json:"Path"`
	// Problem describes what is wrong with the field.
	Problem string `json:"Wrong"`
	// Remedy tells the operator how to correct it.
	Remedy string `json:"Remedy"`
}

// FaultList holds all faults of a bundle: decoding faults first, then validation faults. It is used as an error
// only when it is not empty.
type FaultList []Fault

var _ error = FaultList{}

// String returns the fault on one line.
func (fault Fault) String() string {
	return fmt.Sprintf("%s: %s; %s", fault.Path, fault.Problem, fault.Remedy)
}

// Error returns all faults, one per line.
func (list FaultList) Error() string {
	lines := make([]string, 0, len(list))
	for _, fault := range list {
		lines = append(lines, fault.String())
	}
	return fmt.Sprintf("the bundle has %d faults:\n%s", len(list), strings.Join(lines, "\n"))
}

// faultCollector keeps the first fault of each path.
type faultCollector struct {
	list FaultList
	seen map[string]struct{}
}

func (collector *faultCollector) add(path, problem, remedy string) {
	if _, ok := collector.seen[path]; ok {
		return
	}
	if collector.seen == nil {
		collector.seen = make(map[string]struct{})
	}
	collector.seen[path] = struct{}{}
	collector.list = append(collector.list, Fault{Path: path, Problem: problem, Remedy: remedy})
}

// err returns the collected faults, or nil when there are none.
func (collector *faultCollector) err() error {
	if len(collector.list) == 0 {
		return nil
	}
	return collector.list
}
