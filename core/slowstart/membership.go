package slowstart

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
)

// HandoverTime is the time that passes between the last flow of an instance that has lost a share and the first one of
// the instance that has gained it: a window, and the time that an instance takes to publish a change to its traffic
// thread or to read a message from its socket.
const HandoverTime = Period + 800*time.Millisecond

// Member is a registered instance.
type Member struct {
	Name id.Instance
	// Incarnation tells the runs of an instance apart.
	Incarnation id.Incarnation
}

// Config configures a Membership.
type Config struct {
	Self     Member
	Disabled Disabled
}

// Disabled disables individual protections, so that tests can show which failure each prevents.
type Disabled struct {
	// ClaimDelay makes an instance use a share as soon as it ranks high enough.
	ClaimDelay bool
	// Freshness makes an instance use shares however old its knowledge is.
	Freshness bool
	// Incarnation lets an earlier run of an instance use the shares of its successor.
	Incarnation bool
}

// Membership decides which servers' shares an instance owns. It knows the registered instances by the store, which
// orders all changes, and when that knowledge was last confirmed to be the newest.
//
// An instance owns a share of a server while it ranks among the owners of all instances that were registered at any
// time in the last claim delay, was registered itself for all of that time, and its knowledge was confirmed within the
// last freshness limit for all of it. The claim delay is the freshness limit and HandoverTime. So an instance that has
// lost a share either knows it or has stopped using it, for lack of confirmation, before another one uses it.
type Membership struct {
	config Config
	// members holds every registered instance, and those that were registered within the last claim delay.
	members map[id.Instance]member
	// others holds the hashes of the other members, in no order.
	others []uint64
	// registeredSince is when this run of the instance was first seen registered; registered says that it still is.
	registered      bool
	registeredSince time.Duration
	// freshSince is since when the knowledge has been confirmed without a gap, and confirmedAt the last confirmation.
	freshSince  time.Duration
	confirmedAt time.Duration
	// stale says that the knowledge was too old at the last event.
	stale bool
}

type member struct {
	registered bool
	// removedAt is when the instance was found not to be registered any more.
	removedAt time.Duration
}

// NewMembership returns the membership of an instance that knows of no registration.
func NewMembership(config Config) *Membership {
	return &Membership{config: config, members: make(map[id.Instance]member)}
}

// Update replaces the registered instances. Others that were registered before count as owners for a claim delay.
func (membership *Membership) Update(now, freshness time.Duration, registered []Member) {
	present := make(map[id.Instance]bool, len(registered))
	wasRegistered := membership.registered
	membership.registered = false
	for _, instance := range registered {
		present[instance.Name] = true
		if membership.isSelf(instance) {
			membership.registered = true
		}
		membership.members[instance.Name] = member{registered: true}
	}
	if membership.registered && !wasRegistered {
		membership.registeredSince = now
	}
	for name, known := range membership.members {
		if known.registered && !present[name] {
			membership.members[name] = member{removedAt: now}
		}
	}
	membership.forget(now, freshness)
}

// isSelf reports whether a registration is that of this run of the instance.
func (membership *Membership) isSelf(registered Member) bool {
	self := membership.config.Self
	return registered == self || membership.config.Disabled.Incarnation && registered.Name == self.Name
}

// forget removes the instances that were last registered longer than a claim delay ago.
func (membership *Membership) forget(now, freshness time.Duration) {
	membership.others = membership.others[:0]
	for name, known := range membership.members {
		if !known.registered && now-known.removedAt > membership.claimDelay(freshness) {
			delete(membership.members, name)
			continue
		}
		if name != membership.config.Self.Name {
			membership.others = append(membership.others, xxhash.Sum64String(string(name)))
		}
	}
}

// Confirm records when the knowledge was last confirmed to be the newest. It is to be called after every event, as a
// time without confirmation voids all claims. It reports whether such a time has begun or ended.
func (membership *Membership) Confirm(now, freshness, confirmedAt time.Duration) bool {
	stale := now-min(membership.confirmedAt, confirmedAt) > freshness && !membership.config.Disabled.Freshness
	if stale {
		membership.freshSince = now
	}
	changed := stale != membership.stale
	membership.confirmedAt, membership.stale = confirmedAt, stale
	return changed
}

// ClaimsFrom returns since when the instance may use the shares for which it ranks high enough.
func (membership *Membership) ClaimsFrom(freshness time.Duration) time.Duration {
	return max(membership.registeredSince, membership.freshSince) + membership.claimDelay(freshness)
}

// ClaimsUntil returns until when it may use them unless a further confirmation arrives, or zero if it may not.
func (membership *Membership) ClaimsUntil(now, freshness time.Duration) time.Duration {
	if !membership.registered || now < membership.ClaimsFrom(freshness) {
		return 0
	}
	if membership.config.Disabled.Freshness {
		return math.MaxInt64
	}
	return membership.confirmedAt + freshness
}

// NextChange returns when the instance may own more shares without any further event, or zero if never.
func (membership *Membership) NextChange(now, freshness time.Duration) time.Duration {
	next := time.Duration(0)
	consider := func(at time.Duration) {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	if membership.registered {
		consider(membership.ClaimsFrom(freshness))
	}
	for _, known := range membership.members {
		if !known.registered {
			consider(known.removedAt + membership.claimDelay(freshness) + 1)
		}
	}
	return next
}

// Refresh forgets instances that no longer count. It is to be called before Owns is called for a number of servers.
func (membership *Membership) Refresh(now, freshness time.Duration) {
	for _, known := range membership.members {
		if !known.registered && now-known.removedAt > membership.claimDelay(freshness) {
			membership.forget(now, freshness)
			return
		}
	}
}

// Owns reports whether the instance has one of the shares of a server, given the hash of the server's ID. The claim
// also ends at ClaimsUntil.
func (membership *Membership) Owns(now, freshness time.Duration, server uint64, owners int) bool {
	if owners <= 0 || now > membership.ClaimsUntil(now, freshness) {
		return false
	}
	own := score(xxhash.Sum64String(string(membership.config.Self.Name)), server)
	above := 0
	for _, other := range membership.others {
		if score(other, server) < own {
			continue
		}
		if above++; above >= owners {
			return false
		}
	}
	return true
}

// claimDelay returns how long an instance must rank as an owner before it uses a share.
func (membership *Membership) claimDelay(freshness time.Duration) time.Duration {
	if membership.config.Disabled.ClaimDelay {
		return 0
	}
	return freshness + HandoverTime
}

// score ranks an instance for a server; the highest scores own the shares.
func score(instance, server uint64) uint64 {
	// The finalizer of MurmurHash3, which changes half of the bits of the result with each bit of the input.
	mixed := instance ^ server*_golden
	mixed = (mixed ^ mixed>>_half) * _firstMultiplier
	mixed = (mixed ^ mixed>>_half) * _secondMultiplier
	return mixed ^ mixed>>_half
}

const (
	_golden           = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio
	_firstMultiplier  = 0xFF51AFD7ED558CCD
	_secondMultiplier = 0xC4CEB9FE1A85EC53
	_half             = 33
)
