// Package id defines the identifiers and version numbers that are shared by all packages.
package id

import "time"

// Instance is the name of an entry instance, unique in the system.
type Instance string

// Incarnation distinguishes the runs of one entry instance by their start time, in nanoseconds since 1970; a later run
// has a greater number.
type Incarnation uint64

// StartTime returns the start time of the run.
func (incarnation Incarnation) StartTime() time.Time {
	return time.Unix(0, int64(incarnation))
}

// Member is one run of one entry instance.
type Member struct {
	Instance    Instance    `cbor:"1,keyasint" json:"Instance"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"Incarnation"`
}

// Domain is the name of a failure domain.
type Domain string

// Region is the name of a region, which holds one or more failure domains.
type Region string

// Customer is the name of the tenant that a service belongs to.
type Customer string

// Service is the name of a service, unique in a bundle.
type Service string

// Target is the name of a backend server of a service, unique in a bundle.
type Target string

// Version is the version of a bundle; a greater one replaces a smaller one.
type Version uint64

// Epoch is the version of the agreed member list of one failure domain.
type Epoch uint64

// Slot is the number of a part of the flow space of one service.
type Slot uint16

// Flow is the hash of a caller address and a service.
type Flow uint64

// Shard identifies the requests of one service that belong to one failure domain.
type Shard struct {
	Service Service `cbor:"1,keyasint" json:"Service"`
	Domain  Domain  `cbor:"2,keyasint" json:"Domain"`
}
