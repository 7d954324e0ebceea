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

// _maxFaults is the number of faults that are listed. Further ones are seldom faults of their own.
const _maxFaults = 100

// _maxQuoted is the length in bytes of a text that a fault quotes.
const _maxQuoted = 200

// FaultList is an error that holds all faults of one set of settings, up to _maxFaults of them.
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
	if len(*faults) >= _maxFaults {
		return
	}
	*faults = append(*faults, Fault{Field: beginning(field), Problem: beginning(problem), Remedy: remedy})
}

// beginning returns the part of a text that a fault quotes.
func beginning(text string) string {
	if len(text) <= _maxQuoted {
		return text
	}
	return text[:_maxQuoted] + "..."
}

// asError returns the faults as an error, or nil if there are none.
func (faults FaultList) asError() error {
	if len(faults) == 0 {
		return nil
	}
	return faults
}
