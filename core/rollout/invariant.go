package rollout

import (
	"fmt"

	"azureshift/bundle"
	"azureshift/core/id"
)

// Violation is the violation of an invariant by putting a bundle in force.
type Violation struct {
	Invariant Invariant
	// Before is the version that was in force before.
	Before id.Version
	// After is the version that was put in force.
	After id.Version
}

// Invariant identifies an invariant of the bundle in force.
type Invariant int

const (
	// InvariantIncreasing requires that a version in force is replaced only by a higher one.
	InvariantIncreasing Invariant = iota + 1
	// InvariantComplete requires that a bundle in force has every part that its head lists.
	InvariantComplete
)

// Error describes the violation. The text is a key in status answers and a metric label: don't change it.
func (violation Violation) Error() string {
	switch violation.Invariant {
	case InvariantIncreasing:
		return fmt.Sprintf("version %d replaced version %d; report this fault", violation.After, violation.Before)
	default:
		return fmt.Sprintf("version %d is in force without all its parts; report this fault", violation.After)
	}
}

// ConflictError reports two different heads of one version, both with a valid signature.
type ConflictError struct {
	// First is the head that arrived first and stays.
	First bundle.Head
	// Second is the head that is refused.
	Second bundle.Head
}

// Error describes both sign offs and the remedy.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("version %d is signed off twice, as %s by key %s and as %s by key %s; keeping the first: "+
		"roll a higher version", err.First.Version, err.First.RollID, err.First.SignedBy,
		err.Second.RollID, err.Second.SignedBy)
}

// checkInvariants returns the invariants that are violated if the bundle is put in force.
func (state *State) checkInvariants(head bundle.Head, next bundle.Bundle) []Effect {
	var effects []Effect
	if head.Version <= state.inForce.Version {
		effects = append(effects, state.newViolated(InvariantIncreasing, head.Version))
	}
	if len(next.Services) != len(head.Parts) || next.Version != head.Version {
		effects = append(effects, state.newViolated(InvariantComplete, head.Version))
	}
	return effects
}

func (state *State) newViolated(invariant Invariant, after id.Version) Effect {
	return InvariantViolated{Violation: Violation{Invariant: invariant, Before: state.inForce.Version, After: after}}
}
