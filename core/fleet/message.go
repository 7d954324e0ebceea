package fleet

import (
	"math"
	"time"

	"azureshift/core/catalog"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/store"
)

// MaxMessage is the maximum encoded size of a message in bytes, which fits into one datagram without fragmentation.
const MaxMessage = 1400

// Message is sent from one instance to another: an Update, a Report or Evidence. It may be lost or duplicated.
type Message interface{ message() }

// Update carries changes from the follower to the relays, and from a relay down the tree of its failure domain.
type Update struct {
	From catalog.Instance `cbor:"1,keyasint"`
	// Relay is set if the sender is the relay of its failure domain, and Connected if it is the relay or receives its
	// updates.
	Relay     bool `cbor:"11,keyasint,omitempty"`
	Connected bool `cbor:"13,keyasint,omitempty"`
	// Source is the follower that the changes come from.
	Source catalog.Instance `cbor:"12,keyasint"`
	// Leaving is set if the sender is about to stop, so that another instance has to take its place.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// Entries are the changes of the store after Base up to and including Revision.
	Base     store.Revision  `cbor:"3,keyasint"`
	Revision store.Revision  `cbor:"4,keyasint"`
	Entries  []catalog.Entry `cbor:"5,keyasint,omitempty"`
	// Config is the version of the configuration in force at the sender, and Delta the difference from the version that
	// the receiver reported, if it is small.
	Config route.Version `cbor:"6,keyasint"`
	Delta  *route.Delta  `cbor:"10,keyasint,omitempty"`
	// Missing is the newest version that the sender knows to exist if it does not have that one, or zero.
	Missing route.Version `cbor:"14,keyasint,omitempty"`
	// Age is the time since the sender's data was last confirmed to be up to date.
	Age time.Duration `cbor:"7,keyasint"`
	// StableFor is how long the store has been free of trouble as far as the sender knows, or negative if unknown.
	StableFor time.Duration `cbor:"8,keyasint"`
	// Loads are totals over the sender's failure domain if the receiver is in another one, else over all of them.
	Loads []Load `cbor:"9,keyasint,omitempty"`
	// Demands are totals over the same failure domains as Loads.
	Demands []Demand `cbor:"15,keyasint,omitempty"`
}

// Load is the load of a backend server as one or more instances observed it.
type Load struct {
	Cookie packet.Cookie
	// InProgress is the average number of requests in progress.
	InProgress float32
	// Latency is the average time to the first byte of an answer.
	Latency time.Duration
	// Answers is the number of answers that Latency is the average of.
	Answers int
	// Refused is the number of flows that were refused under overload and would have gone to the server.
	Refused int
	// Held is the number of long-lived flows that clients use on the server.
	Held int
	// UsualLatency is the geometric mean of the latencies of answers on these flows.
	UsualLatency time.Duration
}

// Report goes from an instance to the one that it gets its updates from. Its loads include those reported to the
// sender.
type Report struct {
	From     catalog.Instance `cbor:"1,keyasint"`
	Revision store.Revision   `cbor:"2,keyasint"`
	Loads    []Load           `cbor:"3,keyasint,omitempty"`
	Config   route.Version    `cbor:"4,keyasint"`
	// Demands include those reported to the sender.
	Demands []Demand `cbor:"5,keyasint,omitempty"`
}

// Evidence lists backend servers that instances found dead or unreachable. The receiver verifies it by probes of its
// own.
type Evidence struct {
	From     catalog.Instance `cbor:"1,keyasint"`
	Findings []Finding        `cbor:"2,keyasint"`
}

// Finding is the condition in which one instance found a backend server.
type Finding struct {
	Server    id.Target       `cbor:"1,keyasint"`
	Condition steer.Condition `cbor:"2,keyasint"`
	// Observer is the instance that made the finding, and Domain its failure domain.
	Observer id.Instance `cbor:"3,keyasint"`
	Domain   id.Domain   `cbor:"4,keyasint"`
}

func (Update) message()   {}
func (Report) message()   {}
func (Evidence) message() {}

var (
	_ Message = Update{}
	_ Message = Report{}
	_ Message = Evidence{}
)

// LoadOf converts an instance's observation of a server to a load.
func LoadOf(observation steer.Observation) Load {
	return Load{
		Cookie:     observation.Cookie,
		InProgress: float32(observation.InProgress),
		Latency:    observation.Latency,
		Answers:    observation.Answers,
		Refused:    observation.Refused,
		Held:       observation.Held,

		UsualLatency: observation.UsualLatency,
	}
}

// Add returns the total of two loads of the same server. Latency is averaged, weighted by answers.
func (load Load) Add(other Load) Load {
	answers := load.Answers + other.Answers
	if answers > 0 {
		total := load.Latency*time.Duration(load.Answers) + other.Latency*time.Duration(other.Answers)
		load.Latency = total / time.Duration(answers)
	}
	load.UsualLatency = load.addUsual(other)
	load.Answers = answers
	load.Refused += other.Refused
	load.Held += other.Held
	load.InProgress += other.InProgress
	return load
}

// addUsual returns the geometric mean of the usual latencies of two loads, weighted by answers.
func (load Load) addUsual(other Load) time.Duration {
	switch {
	case load.UsualLatency <= 0 || load.Answers <= 0:
		return other.UsualLatency
	case other.UsualLatency <= 0 || other.Answers <= 0:
		return load.UsualLatency
	}
	weight := float64(other.Answers) / float64(load.Answers+other.Answers)
	ratio := float64(other.UsualLatency) / float64(load.UsualLatency)
	return time.Duration(float64(load.UsualLatency) * math.Pow(ratio, weight))
}
