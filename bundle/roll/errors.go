package roll

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"azureshift/bundle"
	"azureshift/core/id"
)

// ConflictError reports that the version in force is not the one that the operator expected.
type ConflictError struct {
	// Attempted is the version that the operator tried to roll.
	Attempted id.Version
	// Expected is the version that the operator expected to be in force.
	Expected id.Version
	// Winner is the head in force.
	Winner bundle.Head
}

// Error describes the head in force and the remedy.
func (err *ConflictError) Error() string {
	if err.Winner.Version == 0 {
		return fmt.Sprintf("the roll of version %d changed nothing: no version is in force, expected %d; roll with -expect 0",
			err.Attempted, err.Expected)
	}
	return fmt.Sprintf("the roll of version %d changed nothing: version %d, signed off by key %s at %s as %s, "+
		"is in force, not %d; inspect it with: azureshift bundle show, then sign your change off as a version above %d",
		err.Attempted, err.Winner.Version, err.Winner.SignedBy, err.Winner.SignedOff.UTC().Format(time.RFC3339),
		err.Winner.RollID, err.Expected, err.Winner.Version)
}

// StaleVersionError reports that the bundle's version is not above the one in force.
type StaleVersionError struct {
	Attempted id.Version
	InForce   id.Version
}

// Error returns the versions involved and the remedy.
func (err *StaleVersionError) Error() string {
	return fmt.Sprintf("the roll of version %d changed nothing: version %d is in force; set Version to %d and sign again",
		err.Attempted, err.InForce, err.InForce+1)
}

// OutcomeUnknownError reports that it could not be determined whether the roll replaced the head.
type OutcomeUnknownError struct {
	Attempted id.Version
	Cause     error
}

// Error returns the versions involved and the remedy.
func (err *OutcomeUnknownError) Error() string {
	remedy := "repeat the roll with the same signed file; rolls are idempotent"
	var notKept *VersionNotStoredError
	if errors.As(err.Cause, &notKept) {
		remedy = "too many versions have been rolled since to tell; inspect the one in force with: azureshift bundle show"
	}
	return fmt.Sprintf("it is unknown whether version %d is in force (%v); %s", err.Attempted, err.Cause, remedy)
}

// Unwrap returns the cause.
func (err *OutcomeUnknownError) Unwrap() error {
	return err.Cause
}

// VersionNotStoredError reports that a version is not, or no longer, stored at the platform.
type VersionNotStoredError struct {
	Version id.Version
}

// Error returns the version and the remedy.
func (err *VersionNotStoredError) Error() string {
	return fmt.Sprintf("version %d is not stored at the platform; choose a more recent version, or use your signed file",
		err.Version)
}

// IncompleteRollError reports that some instances did not take over a version before the timeout.
type IncompleteRollError struct {
	Version id.Version
	// Instances is the number of instances queried.
	Instances int
	// Missing lists the instances that do not hold the version.
	Missing []HeldVersion
}

// Error lists the instances without the version.
func (err *IncompleteRollError) Error() string {
	lines := make([]string, 0, len(err.Missing))
	for _, heldVersion := range err.Missing {
		lines = append(lines, "\n  "+heldVersion.String())
	}
	return fmt.Sprintf("%d of %d instances do not hold version %d yet; they will get it once they reach the platform or "+
		"another instance; check those that stay behind:%s",
		len(err.Missing), err.Instances, err.Version, strings.Join(lines, ""))
}

// String returns the instance, its address and its version.
func (heldVersion HeldVersion) String() string {
	if heldVersion.Err != nil {
		return fmt.Sprintf("%s at %s did not report its version (%v)",
			heldVersion.Instance.Member.Instance, heldVersion.Instance.Operator, heldVersion.Err)
	}
	return fmt.Sprintf("%s at %s holds version %d",
		heldVersion.Instance.Member.Instance, heldVersion.Instance.Operator, heldVersion.Version)
}
