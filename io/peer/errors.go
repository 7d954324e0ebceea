package peer

import (
	"fmt"
)

// UnknownKindError reports a message of a kind that is not registered.
type UnknownKindError struct {
	Kind Kind
}

// Error describes the failure and how to fix it.
func (err UnknownKindError) Error() string {
	return fmt.Sprintf("unknown message kind %d; run the same release on every entry instance", err.Kind)
}

// UnregisteredError reports a message whose type is not registered.
type UnregisteredError struct {
	Type string
}

// Error describes the failure and how to fix it.
func (err UnregisteredError) Error() string {
	return fmt.Sprintf("message type %s has no kind; register it", err.Type)
}

// RegistrationError reports a kind or type that is already registered, kind 0, or a message that is not a struct.
type RegistrationError struct {
	Kind Kind
	Type string
}

// Error describes the failure and how to fix it.
func (err RegistrationError) Error() string {
	return fmt.Sprintf("cannot register kind %d for type %s; register each struct type once, under its own kind from 1 up",
		err.Kind, err.Type)
}

// BodyError reports a message body that cannot be decoded.
type BodyError struct {
	Kind  Kind
	Cause error
}

// Error describes the failure and how to fix it.
func (err BodyError) Error() string {
	return fmt.Sprintf("decode body of kind %d: %v; run the same release on every entry instance", err.Kind, err.Cause)
}

// Unwrap returns the error of the codec.
func (err BodyError) Unwrap() error {
	return err.Cause
}

// TooLargeError reports a message body over the limit of a datagram or an exchange.
type TooLargeError struct {
	Kind  Kind
	Size  int
	Limit int
}

// Error describes the failure and how to fix it.
func (err TooLargeError) Error() string {
	return fmt.Sprintf("message of kind %d has %d bytes, over the limit of %d; split it or use Exchange for up to %d",
		err.Kind, err.Size, err.Limit, MaxExchangeBody)
}

// UnboundError reports a message without a destination incarnation whose kind requires one.
type UnboundError struct {
	Kind Kind
}

// Error describes the failure and how to fix it.
func (err UnboundError) Error() string {
	return fmt.Sprintf("message of kind %d requires a destination member; set Address.Member, or register the kind "+
		"with RegisterUnbound if processing a replayed copy is harmless", err.Kind)
}

// KeyError reports a shared key that cannot be used.
type KeyError struct {
	Path   string
	Reason string
}

// Error describes the failure and how to fix it.
func (err KeyError) Error() string {
	return fmt.Sprintf("read shared key %q: %s; write %d bytes as hexadecimal digits into the file", err.Path,
		err.Reason, KeySize)
}
