// Package target defines backend servers as they register.
package target

import (
	"net/netip"
	"time"

	"azureshift/core/id"
	"azureshift/core/packet"
)

// Number is the number of a backend server. A packet that carries another number is not meant for it.
type Number uint64

// State is the state that a backend server reports of itself.
type State uint8

const (
	// StateReady is a server that takes new flows.
	StateReady State = iota + 1
	// StateDraining serves the flows that it has and ends soon.
	StateDraining
)

// Leaving reports whether a backend server in this state takes no new flows.
func (state State) Leaving() bool {
	return state != StateReady
}

// String returns the state as it is written in logs.
func (state State) String() string {
	switch state {
	case StateReady:
		return "Ready"
	case StateDraining:
		return "Draining"
	}
	return "Unknown"
}

// StartTime is the start time of a backend server, in milliseconds since 1970 by its own clock. Zero means unknown.
type StartTime int64

// Target is the registration of a backend server.
type Target struct {
	ID      id.Target      `cbor:"1,keyasint"`
	Number  Number         `cbor:"2,keyasint"`
	Service id.Service     `cbor:"3,keyasint"`
	Address netip.AddrPort `cbor:"4,keyasint"`
	Domain  id.Domain      `cbor:"5,keyasint"`
	State   State          `cbor:"6,keyasint"`
	// Slots is the number of requests that the server runs at once.
	Slots int `cbor:"7,keyasint"`
	// SlowStartLeft is the remaining time of the slow start when the server registered.
	SlowStartLeft time.Duration `cbor:"8,keyasint,omitempty"`
	StartTime     StartTime     `cbor:"9,keyasint,omitempty"`
}

const (
	_cookieMultiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio
	_halfBits         = 32
)

// CookieOf returns the cookie of a number. A number from 1 to 2^32-1 is its own cookie, and zero has the cookie 1;
// greater numbers are hashed.
func CookieOf(number Number) packet.Cookie {
	low, high := uint32(number), uint64(number>>_halfBits)
	cookie := packet.Cookie(low ^ uint32((high*_cookieMultiplier)>>_halfBits))
	if cookie == 0 {
		return 1
	}
	return cookie
}
