package operator

import (
	"time"

	"azureshift/core/id"
)

// Status is the state of an entry instance, its peers and its targets, as seen by that instance.
type Status struct {
	Instance    id.Instance    `json:"Instance"`
	Incarnation id.Incarnation `json:"Incarnation"`
	Region      id.Region      `json:"Region"`
	Domain      id.Domain      `json:"Domain"`
	Started     time.Time      `json:"Started"`
	// BundleVersion is the version of the bundle in force; zero means none.
	BundleVersion id.Version `json:"Version"`
	// Epochs lists the agreed member lists in force, one for each failure domain.
	Epochs  []Epoch  `json:"Epochs"`
	Members Members  `json:"Members"`
	Targets []Target `json:"Targets"`
	// Flows counts the flows in this instance's flow table.
	Flows int `json:"Flows"`
	// Exceptions counts the flows that are placed on a target other than their home.
	Exceptions int      `json:"Exceptions"`
	Requests   Requests `json:"Requests"`
	// Drops counts rejected datagrams and other notable events, by reason.
	Drops map[string]uint64 `json:"Drops"`
	// Violations counts invariant violations by name. Each is a bug in the program.
	Violations map[string]uint64 `json:"Violations"`
}

// Epoch is the agreed member list of one failure domain.
type Epoch struct {
	Domain  id.Domain `json:"Domain"`
	Number  id.Epoch  `json:"Number"`
	Members int       `json:"Members"`
}

// Members counts entry instances by their membership state.
type Members struct {
	Alive   int `json:"Alive"`
	Suspect int `json:"Suspect"`
	Dead    int `json:"Dead"`
	Leaving int `json:"Leaving"`
}

// Target is the state of one backend server, as seen by this instance.
type Target struct {
	Service id.Service `json:"Service"`
	Name    id.Target  `json:"Name"`
	// State is the state of the target, such as Active, Draining or Down.
	State string `json:"State"`
	// InFlight counts the requests that this instance has dispatched to the target and that are unanswered.
	InFlight int `json:"InFlight"`
	// Slots is the number of concurrent requests that the target accepts.
	Slots int `json:"Slots"`
	// Flows counts the feeds that this instance has open at the target.
	Flows int `json:"Flows"`
}

// Requests counts requests by state. Queued and Dispatched are current values, the others are totals since the start.
type Requests struct {
	Queued     int    `json:"Queued"`
	Dispatched int    `json:"Dispatched"`
	Answered   uint64 `json:"Answered"`
	NotRun     uint64 `json:"NotRun"`
	Unknown    uint64 `json:"Unknown"`
}
