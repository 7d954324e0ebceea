package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"azureshift/core/id"
)

// Config configures the identity of the instance and its failure detector.
type Config struct {
	Self    id.Member
	Domain  id.Domain
	Address netip.AddrPort
	// Random selects the members to probe and to gossip to.
	Random *rand.Rand
	// TickInterval is the time between two Ticks.
	TickInterval time.Duration
	// ProbeInterval is the time between two probe rounds.
	ProbeInterval time.Duration
	// ProbeDeadline is the time after which an unanswered probe has failed.
	ProbeDeadline time.Duration
	// ProbeTimeout is the time after which an unanswered probe is first repeated, and after as much again relayed.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected member has to refute the suspicion.
	SuspicionTimeout time.Duration
	// IsolationLimit is how long an instance that receives no messages refrains from declaring others dead.
	IsolationLimit time.Duration
	// PauseThreshold is the gap between two events above which the instance assumes that it was paused.
	PauseThreshold time.Duration
	// CutAfter is how long a whole domain must be silent before it is reported as cut off.
	CutAfter time.Duration
	// TombstoneLifetime is how long the tombstone of an ended incarnation is kept.
	TombstoneLifetime time.Duration
	// AnnouncementTimeout is how long to wait for acknowledgements of the instance's own Leaving or Left.
	AnnouncementTimeout time.Duration
	// Relays is the number of members asked to probe a member that does not answer.
	Relays int
	// CrossDomainProbes is the number of other domains probed in each period.
	CrossDomainProbes int
	// Fanout is the number of members of the local domain that changes are sent to on each Tick.
	Fanout int
	// AnnouncementAcks is the number of members that must acknowledge the instance's own Leaving or Left.
	AnnouncementAcks int
	// MaxMembers and MaxTombstones bound the memory of the state.
	MaxMembers    int
	MaxTombstones int
	Disabled      Disabled
}

// Disabled disables individual safety mechanisms, so that tests can show which failure each prevents.
type Disabled struct {
	Relays     bool
	PauseCheck bool
	Refutation bool
	Tombstones bool
	Isolation  bool
}

// withDefaults sets the fields that are zero to their defaults.
func (config Config) withDefaults() Config {
	setDuration(&config.TickInterval, 100*time.Millisecond)
	setDuration(&config.ProbeInterval, 500*time.Millisecond)
	setDuration(&config.ProbeDeadline, 800*time.Millisecond)
	setDuration(&config.ProbeTimeout, 150*time.Millisecond)
	setDuration(&config.SuspicionTimeout, 1100*time.Millisecond)
	setDuration(&config.IsolationLimit, 10*time.Second)
	setDuration(&config.PauseThreshold, time.Second)
	setDuration(&config.CutAfter, 2*time.Second)
	setDuration(&config.TombstoneLifetime, 24*time.Hour)
	setDuration(&config.AnnouncementTimeout, 2*time.Second)
	setCount(&config.Relays, 3)
	setCount(&config.CrossDomainProbes, 2)
	setCount(&config.Fanout, 2)
	setCount(&config.AnnouncementAcks, 3)
	setCount(&config.MaxMembers, 4096)
	setCount(&config.MaxTombstones, 8192)
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(uint64(config.Self.Incarnation), fingerprint(config.Self, false)))
	}
	return config
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func setCount(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}
