package peer

import (
	"fmt"
	"net/netip"

	"storj.io/drpc/drpcerr"

	"azureshift/core/id"
)

// Refusal is the reason for which a peer answered an exchange with an error.
type Refusal uint64

const (
	// RefusalHandlerFailed means that the handler ran and failed, or that its answer could not be sent.
	RefusalHandlerFailed Refusal = iota + 1
	// RefusalWrongDestination means that the message was addressed to another instance or to an earlier incarnation.
	RefusalWrongDestination
	// RefusalUnknownKind means that the kind is not registered at the peer.
	RefusalUnknownKind
	// RefusalMalformedBody means that the peer cannot decode the body.
	RefusalMalformedBody
	// RefusalUnbound means that the kind requires a destination incarnation, which was missing.
	RefusalUnbound
)

// MayHaveRun reports whether the handler may have run.
func (refusal Refusal) MayHaveRun() bool {
	return refusal == RefusalHandlerFailed
}

// RemoteError reports that the peer refused an exchange or failed to handle it.
type RemoteError struct {
	Member  id.Member
	Refusal Refusal
	Text    string
}

// Error describes the failure and how to fix it.
func (err RemoteError) Error() string {
	return fmt.Sprintf("exchange with %s: instance returned error %q; see its log", err.Member.Instance, err.Text)
}

// ExchangeError reports an exchange without a valid answer.
type ExchangeError struct {
	Address netip.AddrPort
	// Unsent is set if the message was not sent. Otherwise the peer may have handled it.
	Unsent bool
	Cause  error
}

// Error describes the failure and how to fix it.
func (err ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s: %v; check that the instance is running, that its TCP port is reachable "+
		"and that Peer.KeyFiles hold the same keys", err.Address, err.Cause)
}

// Unwrap returns the cause.
func (err ExchangeError) Unwrap() error {
	return err.Cause
}

// withRefusal attaches the refusal to err as a DRPC error code, which the peer decodes.
func withRefusal(refusal Refusal, err error) error {
	return drpcerr.WithCode(err, uint64(refusal))
}
