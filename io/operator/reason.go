package operator

import "github.com/rotisserie/eris"

// Reason is a reason why an instance is not ready for traffic.
type Reason int

const (
	// ReasonNoBundle means that no bundle is in force.
	ReasonNoBundle Reason = iota + 1
	// ReasonNoMembers means that the instance is not in an agreed member list.
	ReasonNoMembers
	// ReasonStopping means that a planned stop has begun.
	ReasonStopping

	_reasonEnd
)

var _reasonNames = [_reasonEnd]string{
	ReasonNoBundle:  "NoBundle",
	ReasonNoMembers: "NoMembers",
	ReasonStopping:  "Stopping",
}

var _reasonRemedies = [_reasonEnd]string{
	ReasonNoBundle:  "roll a bundle, or check the connections to the platform and to peers",
	ReasonNoMembers: "check the connection to the platform and Peer.Seeds",
	ReasonStopping:  "wait until the instance has stopped, or start another",
}

// String returns the name of the reason.
func (reason Reason) String() string {
	if reason <= 0 || reason >= _reasonEnd {
		return "Unknown"
	}
	return _reasonNames[reason]
}

// Remedy returns what an operator can do about the reason.
func (reason Reason) Remedy() string {
	if reason <= 0 || reason >= _reasonEnd {
		return "run the same release on all instances"
	}
	return _reasonRemedies[reason]
}

// MarshalText returns the name of the reason.
func (reason Reason) MarshalText() ([]byte, error) {
	return []byte(reason.String()), nil
}

// UnmarshalText parses the name of a reason.
func (reason *Reason) UnmarshalText(text []byte) error {
	for known := ReasonNoBundle; known < _reasonEnd; known++ {
		if known.String() == string(text) {
			*reason = known
			return nil
		}
	}
	return eris.Errorf("unknown reason %q; run the same release on all instances", text)
}
