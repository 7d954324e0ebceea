package settings

import (
	"fmt"
	"strings"
)

// Fault describes one invalid field of settings.
type Fault struct {
	// Field is the path of the field, such as Peer.Listen, or "settings" for the whole file.
	Field string
	// Problem is what is wrong.
	Problem string
	// Remedy is how to correct it.
	Remedy string
}

// String returns the fault on one line.
func (fault Fault) String() string {
	return fmt.Sprintf("%s: %s; %s", fault.Field, fault.Problem, fault.Remedy)
}

// FaultList is an error that holds all faults of one set of settings.
type FaultList []Fault

var _ error = FaultList{}

// Error returns a heading and then one fault per line.
func (faults FaultList) Error() string {
	lines := make([]string, 0, len(faults)+1)
	lines = append(lines, fmt.Sprintf("validate settings: %d faults, see docs/SETTINGS.md for the fields", len(faults)))
	for _, fault := range faults {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

func (faults *FaultList) add(field, problem, remedy string) {
	*faults = append(*faults, Fault{Field: field, Problem: problem, Remedy: remedy})
}

// asError returns the faults as an error, or nil if there are none.
func (faults FaultList) asError() error {
	if len(faults) == 0 {
		return nil
	}
	return faults
}
