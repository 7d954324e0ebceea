// Package settings reads and validates the settings of entry instances.
package settings

import (
	"net/netip"

	"azureshift/core/id"
)

// Settings is the configuration of one entry instance of the azureshift daemon.
type Settings struct {
	// Instance is the name of this entry instance, unique in the system.
	Instance id.Instance `json:"Instance"`
	// Region is the region of the failure domain. It defaults to the name of the failure domain.
	Region id.Region `json:"Region"`
	// Domain is the failure domain of this entry instance.
	Domain   id.Domain `json:"Domain"`
	Fabric   Fabric    `json:"Fabric"`
	Backend  Backend   `json:"Backend"`
	Peer     Peer      `json:"Peer"`
	Platform Platform  `json:"Platform"`
	Operator Operator  `json:"Operator"`
	Bundle   Bundle    `json:"Bundle"`
	Limits   Limits    `json:"Limits"`
	Log      Log       `json:"Log"`
}

// Fabric configures where datagrams arrive from the fabric and where answers are sent.
type Fabric struct {
	Listen netip.AddrPort `json:"Listen"`
	Return netip.AddrPort `json:"Return"`
}

// Backend configures the local address for traffic with targets.
type Backend struct {
	Listen netip.AddrPort `json:"Listen"`
}

// Peer configures the exchange with other entry instances.
type Peer struct {
	// Listen is the address of both the UDP and the TCP socket for peers.
	Listen netip.AddrPort `json:"Listen"`
	// Advertise is the address that peers send to. It defaults to the address that the sockets are bound to.
	Advertise netip.AddrPort `json:"Advertise"`
	// KeyFiles are files with shared keys. The first key encrypts, all decrypt. Without any, the instance has no peers.
	KeyFiles []string `json:"KeyFiles"`
	// Seeds are addresses of entry instances to contact for joining.
	Seeds []netip.AddrPort `json:"Seeds"`
}

// Platform configures access to the platform's key-value service.
type Platform struct {
	// Address is an http or https URL without a path.
	Address string `json:"Address"`
	// Timeout bounds every call except a watch.
	Timeout Duration `json:"Timeout"`
	// Watch is how long a watch waits for a change.
	Watch Duration `json:"Watch"`
}

// Operator configures where operators read metrics and status.
type Operator struct {
	Listen netip.AddrPort `json:"Listen"`
}

// Bundle configures which bundles are accepted.
type Bundle struct {
	// PublicKeyFiles are files with the public keys of accepted signers; at least one is required.
	PublicKeyFiles []string `json:"PublicKeyFiles"`
}

// Limits bounds the state that this entry instance holds, and for how long.
type Limits struct {
	// FlowIdle is the time without a datagram after which a flow ends.
	FlowIdle Duration `json:"FlowIdle"`
	// RequestDeadline is the deadline of a request whose caller gives none.
	RequestDeadline Duration `json:"RequestDeadline"`
	// Retention is how long the answer to a request is kept to answer retransmissions.
	Retention Duration `json:"Retention"`
	// StopLimit is the maximum duration of a planned stop.
	StopLimit Duration `json:"StopLimit"`
	// Flows is the maximum number of flows.
	Flows int `json:"Flows"`
	// Requests is the maximum number of datagrams that wait for the control thread.
	Requests int `json:"Requests"`
}

// Log configures what is logged and how.
type Log struct {
	// Level is the lowest level that is logged.
	Level string `json:"Level"`
	// Format is the format of the log: FormatText or FormatJSON.
	Format string `json:"Format"`
}

const (
	// FormatText logs lines of text for people.
	FormatText = "text"
	// FormatJSON logs one JSON object per line.
	FormatJSON = "json"
)
