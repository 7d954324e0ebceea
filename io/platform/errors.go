package platform

import (
	"fmt"
)

// AddressError reports that the platform's address is not an HTTP URL.
type AddressError struct {
	Address string
}

// Error returns the address and an example of a valid one.
func (err *AddressError) Error() string {
	return fmt.Sprintf("the platform's address %q is not an HTTP URL; write one as in http://192.0.2.1:8500", err.Address)
}

// UnreachableError reports that a call got no response, or only a part of one.
type UnreachableError struct {
	Address string
	// Write is true if the call is a write, which may have taken effect or may yet do so.
	Write bool
	Cause error
}

// Error returns the cause and what to check.
func (err *UnreachableError) Error() string {
	remedy := "check the address and that the platform is up"
	if err.Write {
		remedy = "the call may have taken effect: read the state back, and " + remedy
	}
	return fmt.Sprintf("no response from the platform at %s (%v); %s", err.Address, err.Cause, remedy)
}

// Unwrap returns the cause.
func (err *UnreachableError) Unwrap() error {
	return err.Cause
}

// StatusError reports that the platform responded with an error status.
type StatusError struct {
	Status  int
	Message string
}

// Error returns the status, the platform's message and what to do.
func (err *StatusError) Error() string {
	return fmt.Sprintf("the platform responded with status %d (%s); %s", err.Status, err.Message, err.remedy())
}

// Refused reports whether the platform rejected the call, so that it took no effect.
func (err *StatusError) Refused() bool {
	return err.Status >= 400 && err.Status < 500
}

func (err *StatusError) remedy() string {
	if err.Refused() {
		return "the call took no effect; correct it"
	}
	return "the call may have taken effect: read the state back and try again"
}

// ResponseError reports a response that cannot be decoded or has unexpected content.
type ResponseError struct {
	Path  string
	Cause error
}

// Error returns the cause and what to check.
func (err *ResponseError) Error() string {
	return fmt.Sprintf("the platform's response for %s is invalid (%v); check that the address is that of the "+
		"key-value service", err.Path, err.Cause)
}

// Unwrap returns the cause.
func (err *ResponseError) Unwrap() error {
	return err.Cause
}

// LeaseEndedError reports that a lease has ended.
type LeaseEndedError struct {
	Lease LeaseID
}

// Error returns the lease and what to do.
func (err *LeaseEndedError) Error() string {
	return fmt.Sprintf("lease %s has ended; stop what depends on it and take a new one", err.Lease)
}
