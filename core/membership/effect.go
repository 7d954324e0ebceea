package membership

import (
	"net/netip"
	"time"

	"azureshift/core/id"
)

// Effect is an action that Reduce returns for its caller to execute.
type Effect interface{ effect() }

// Send sends a message in one datagram.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Up reports a new member, or one that has come back after Down.
type Up struct{ Record Record }

// Down reports that the incarnation of a member has ended, so that ownership moves.
type Down struct{ Record Record }

// Suspected reports that a member is suspected to have failed, until SuspicionCleared or Down.
type Suspected struct{ Member id.Member }

// SuspicionCleared reports that a suspicion was refuted.
type SuspicionCleared struct{ Member id.Member }

// LeaveAnnounced reports that a member has announced its planned stop.
type LeaveAnnounced struct{ Member id.Member }

// DomainCut reports that no member of the domain is directly reachable from this instance.
type DomainCut struct{ Domain id.Domain }

// DomainHealed reports that a message came from a member of the domain after DomainCut.
type DomainHealed struct{ Domain id.Domain }

// Heartbeat reports a message received directly from a member, with the state of the member that it carried.
type Heartbeat struct {
	Member id.Member
	// ProbeSentAt is when the probe that the message answers was first sent, or zero if it answers none. Leases
	// count from then, because the message itself may have been delayed for any time.
	ProbeSentAt time.Time
	Domain      id.Domain
	Address     netip.AddrPort
	Epoch       id.Epoch
	ValueDigest uint64
}

// AnnouncementDone reports the end of the announcement of the instance's own status, Leaving or Left: enough members
// have acknowledged it, or AnnouncementTimeout has passed.
type AnnouncementDone struct{ Status Status }

// Replaced reports that a newer incarnation of this instance exists, so that this one has to stop.
type Replaced struct{ By id.Member }

// Count increments a counter.
type Count struct{ Counter Counter }

// Counter is the name of a counter.
type Counter string

// Counters.
const (
	CountRefuted       Counter = "refuted"
	CountPaused        Counter = "paused"
	CountStaleRecord   Counter = "stale record"
	CountMemberLimit   Counter = "member limit reached"
	CountDeathWithheld Counter = "death withheld"
)

var (
	_ Effect = Send{}
	_ Effect = Up{}
	_ Effect = Down{}
	_ Effect = Suspected{}
	_ Effect = SuspicionCleared{}
	_ Effect = LeaveAnnounced{}
	_ Effect = DomainCut{}
	_ Effect = DomainHealed{}
	_ Effect = Heartbeat{}
	_ Effect = AnnouncementDone{}
	_ Effect = Replaced{}
	_ Effect = Count{}
)

func (Send) effect()             {}
func (Up) effect()               {}
func (Down) effect()             {}
func (Suspected) effect()        {}
func (SuspicionCleared) effect() {}
func (LeaveAnnounced) effect()   {}
func (DomainCut) effect()        {}
func (DomainHealed) effect()     {}
func (Heartbeat) effect()        {}
func (AnnouncementDone) effect() {}
func (Replaced) effect()         {}
func (Count) effect()            {}
