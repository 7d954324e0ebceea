// Package packet defines the headers of flow packets. Their encoding is left to the adapter that sends and receives
// them.
package packet

import (
	"fmt"
	"net/netip"
)

// Flags are the control flags of a packet.
type Flags uint8

// The flags mean what they mean in TCP.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Has reports whether all wanted flags are set.
func (flags Flags) Has(wanted Flags) bool {
	return flags&wanted == wanted
}

// Endpoint is an IPv4 address with a port. It is smaller and faster to hash than netip.AddrPort.
type Endpoint struct {
	Address [4]byte `cbor:"1,keyasint"`
	Port    uint16  `cbor:"2,keyasint"`
}

// EndpointOf converts an address with a port, and returns false if the address is not IPv4.
func EndpointOf(address netip.AddrPort) (Endpoint, bool) {
	if !address.Addr().Unmap().Is4() {
		return Endpoint{}, false
	}
	return Endpoint{Address: address.Addr().Unmap().As4(), Port: address.Port()}, true
}

// AddrPort converts the endpoint to the type of the standard library.
func (endpoint Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(endpoint.Address), endpoint.Port)
}

// String formats the endpoint as in 192.0.2.1:443.
func (endpoint Endpoint) String() string {
	return endpoint.AddrPort().String()
}

// Flow identifies a flow by its two endpoints.
type Flow struct {
	Client  Endpoint
	Service Endpoint
}

// String formats the flow as in 100.64.0.7:40001-198.18.0.1:443, its identifier in logs.
func (flow Flow) String() string {
	return fmt.Sprintf("%s-%s", flow.Client, flow.Service)
}

// Cookie identifies a backend server in the packets of a flow. Zero identifies none.
type Cookie uint32

// Header is the header of a packet that a client sent.
type Header struct {
	Flow  Flow
	Flags Flags
	// Cookie identifies the backend server that the client last received a packet from on this flow.
	Cookie Cookie
	// Sequence is the sequence number of the first byte of the data.
	Sequence uint32
	// Acknowledged is the sequence number of the next byte that the client expects. In an opening packet it is the number
	// of earlier transmissions of the same packet.
	Acknowledged uint32
	// Length is the number of bytes of data.
	Length int
}

// Opens reports whether the packet opens a flow.
func (header Header) Opens() bool {
	return header.Flags.Has(SYN) && !header.Flags.Has(ACK)
}
