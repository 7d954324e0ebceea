package rollout

import (
	"time"

	"azureshift/bundle"
	"azureshift/core/id"
)

// Event is an input of the follower.
type Event interface{ event() }

// Source is where a head or a part is fetched from: a member, or the platform if it is the zero value.
type Source struct {
	Member id.Member
}

// Platform is the platform as a source.
var Platform = Source{}

// HeadReceived reports a whole head, received from the platform by a watch or a fetch.
type HeadReceived struct {
	At   time.Time
	Head bundle.Head
	From Source
}

// DeltaReceived reports a member's answer to FetchHead. A delta on version zero holds the whole head.
type DeltaReceived struct {
	At    time.Time
	Delta bundle.HeadDelta
	From  Source
}

// HeadFailed reports that a FetchHead got no answer.
type HeadFailed struct {
	At   time.Time
	From Source
}

// PartReceived reports the answer to a FetchPart.
type PartReceived struct {
	At    time.Time
	Hash  bundle.Hash
	Bytes []byte
}

// PartsReceived reports one answer to several FetchPart effects. It may hold parts that were not requested yet.
type PartsReceived struct {
	At    time.Time
	Parts []bundle.Part
}

// PartFailed reports that a FetchPart got no answer, or that the source does not have the part.
type PartFailed struct {
	At   time.Time
	Hash bundle.Hash
	From Source
}

// MembersChanged reports the live members of the instance's own failure domain, itself included.
type MembersChanged struct {
	At      time.Time
	Members []id.Member
}

// VersionAdvertised reports that a member, of any failure domain, advertises that it has a version in force.
type VersionAdvertised struct {
	At      time.Time
	Member  id.Member
	Version id.Version
}

// Tick reports the current time. It expires overdue fetches and retries those whose backoff has passed.
type Tick struct {
	At time.Time
}

var (
	_ Event = HeadReceived{}
	_ Event = DeltaReceived{}
	_ Event = HeadFailed{}
	_ Event = PartReceived{}
	_ Event = PartsReceived{}
	_ Event = PartFailed{}
	_ Event = MembersChanged{}
	_ Event = VersionAdvertised{}
	_ Event = Tick{}
)

func (HeadReceived) event()      {}
func (DeltaReceived) event()     {}
func (HeadFailed) event()        {}
func (PartReceived) event()      {}
func (PartsReceived) event()     {}
func (PartFailed) event()        {}
func (MembersChanged) event()    {}
func (VersionAdvertised) event() {}
func (Tick) event()              {}
