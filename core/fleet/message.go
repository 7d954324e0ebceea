package fleet

import (
	"time"

	"azureshift/core/catalog"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/store"
)

// MaxMessage is the greatest encoded length of a message in bytes, which one datagram carries without fragments.
const MaxMessage = 1400

// Message is what one instance says to another: an Update, a Report or Evidence. It may be lost or come twice.
type Message interface{ message() }

// Update is what a follower tells the relays, and a relay tells the instances of its failure domain, each of which
// passes it on.
type Update struct {
	From catalog.Instance `cbor:"1,keyasint"`
	// Relay says that the sender is the relay of its failure domain, and Connected that it hears the relay or is it.
	Relay     bool `cbor:"11,keyasint,omitempty"`
	Connected bool `cbor:"13,keyasint,omitempty"`
	// Source is the follower that the news comes from.
	Source catalog.Instance `cbor:"12,keyasint"`
	// Leaving says that the sender stops and another relay is needed.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// Entries are the changes of the store after Base, up to Revision.
	Base     store.Revision  `cbor:"3,keyasint"`
	Revision store.Revision  `cbor:"4,keyasint"`
	Entries  []catalog.Entry `cbor:"5,keyasint,omitempty"`
	// Config is the version in force at the sender, and Delta what leads there from the version that the receiver
	// reported, if that is little.
	Config route.Version `cbor:"6,keyasint"`
	Delta  *route.Delta  `cbor:"10,keyasint,omitempty"`
	// Age is how long ago the sender last knew that all this was the newest.
	Age time.Duration `cbor:"7,keyasint"`
	// Calm is how long the store has been without trouble, as far as the sender knows; negative if it does not know.
	Calm time.Duration `cbor:"8,keyasint"`
	// Loads are sums over the sender's failure domain if that is another one than the receiver's, else over all.
	Loads []Load `cbor:"9,keyasint,omitempty"`
}

// Load is what several instances saw of a backend server together.
type Load struct {
	Cookie packet.Cookie
	// Busy is the average number of requests in progress.
	Busy float32
	// Latency is the average time to the first byte of an answer.
	Latency time.Duration
	// Answers is the number of answers that Latency is the average of.
	Answers int
	// Refused is the number of flows that were refused under overload and would have gone to the server.
	Refused int
}

// Report is what an instance tells the one that it gets its updates from. Its loads include what others reported to it.
type Report struct {
	From     catalog.Instance `cbor:"1,keyasint"`
	Revision store.Revision   `cbor:"2,keyasint"`
	Loads    []Load           `cbor:"3,keyasint,omitempty"`
	Config   route.Version    `cbor:"4,keyasint"`
}

// Evidence says which backend servers instances found dead or cut off. Who receives it probes for itself.
type Evidence struct {
	From     catalog.Instance `cbor:"1,keyasint"`
	Findings []Finding        `cbor:"2,keyasint"`
}

// Finding is what one instance found of a backend server.
type Finding struct {
	Server    id.Target       `cbor:"1,keyasint"`
	Condition steer.Condition `cbor:"2,keyasint"`
	// Witness is the instance that found it, in a failure domain.
	Witness id.Instance `cbor:"3,keyasint"`
	Domain  id.Domain   `cbor:"4,keyasint"`
}

func (Update) message()   {}
func (Report) message()   {}
func (Evidence) message() {}

var (
	_ Message = Update{}
	_ Message = Report{}
	_ Message = Evidence{}
)

// LoadOf returns what an instance saw of a server as a load.
func LoadOf(observation steer.Observation) Load {
	return Load{
		Cookie:  observation.Cookie,
		Busy:    float32(observation.Busy),
		Latency: observation.Latency,
		Answers: observation.Answers,
		Refused: observation.Refused,
	}
}

// Add joins two loads of one server.
func (load Load) Add(other Load) Load {
	answers := load.Answers + other.Answers
	if answers > 0 {
		total := load.Latency*time.Duration(load.Answers) + other.Latency*time.Duration(other.Answers)
		load.Latency = total / time.Duration(answers)
	}
	load.Answers = answers
	load.Refused += other.Refused
	load.Busy += other.Busy
	return load
}
