// Package route defines the operator's configuration: the routes from service endpoints to backend services.
package route

import (
	"time"

	"azureshift/core/id"
	"azureshift/core/packet"
)

// Version is the version of a configuration; a greater one replaces a smaller one.
type Version uint64

// Kind says whether a client may retry a failed request.
type Kind uint8

const (
	// Idempotent requests may be retried.
	Idempotent Kind = iota + 1
	// NonIdempotent requests may run once at most.
	NonIdempotent
	// Download requests may be retried and have large answers.
	Download
	// Upload requests may run once at most; most of their bytes come from the client.
	Upload
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Idempotent, NonIdempotent, Download, Upload}
}

// Repeatable reports whether a request of this kind may run more than once.
func (kind Kind) Repeatable() bool {
	return kind == Idempotent || kind == Download
}

// String returns the kind as it is written in metrics.
func (kind Kind) String() string {
	switch kind {
	case Idempotent:
		return "Idempotent"
	case NonIdempotent:
		return "NonIdempotent"
	case Download:
		return "Download"
	case Upload:
		return "Upload"
	}
	return "Unknown"
}

// Priority orders requests when not all can be served; zero is the highest.
type Priority int

// Share is a service with its weight among the services of a route.
type Share struct {
	Service id.Service `cbor:"1,keyasint"`
	Weight  int        `cbor:"2,keyasint"`
}

// Route distributes the flows to one endpoint over services.
type Route struct {
	Endpoint packet.Endpoint `cbor:"1,keyasint"`
	Kind     Kind            `cbor:"2,keyasint"`
	// Timeout is how long a client waits for the answer to a request.
	Timeout time.Duration `cbor:"3,keyasint"`
	// Objective is the latency objective of a request.
	Objective time.Duration `cbor:"4,keyasint"`
	Priority  Priority      `cbor:"5,keyasint"`
	Shares    []Share       `cbor:"6,keyasint"`
}

// Service holds the settings of a service.
type Service struct {
	Name id.Service `cbor:"1,keyasint"`
	// HealthPath is the path of the health page of the service's backend servers.
	HealthPath string `cbor:"2,keyasint"`
	// MaxConnections is the maximum number of flows per backend server.
	MaxConnections int `cbor:"3,keyasint"`
	// SlowStart is how long a backend server is slow after its start, and SlowStartRate the new flows that it bears then.
	SlowStart     time.Duration `cbor:"4,keyasint,omitempty"`
	SlowStartRate PerSecond     `cbor:"5,keyasint,omitempty"`
}

// PerSecond is a rate in events per second.
type PerSecond float64

// Config is one version of the configuration.
type Config struct {
	Version  Version   `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	// IdleTimeout is how long a flow may be idle before it may be removed.
	IdleTimeout time.Duration `cbor:"4,keyasint"`
	// Incomplete says that the instance that decoded the configuration did not understand all of it. Another one may, so
	// it does not learn of changes from this one.
	Incomplete bool `cbor:"5,keyasint,omitempty"`
	// Unreadable names what is left out because it could not be understood. It is empty once the configuration applies.
	Unreadable Unreadable `cbor:"-"`
}
