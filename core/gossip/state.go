// Package gossip disseminates versioned values to all members. Changes are pushed to a few random
// members, and anti-entropy repairs what these miss: members whose digests differ, as probes show,
// compare their versions and exchange the newer values.
package gossip

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"azureshift/core/id"
)

// Config holds the parameters of dissemination. Zero values get defaults.
type Config struct {
	Domain id.Domain
	// Random picks the members that changes are pushed to.
	Random *rand.Rand
	// Fanout is the number of members of the own domain that changes are pushed to in each round,
	// and CrossDomainFanout the number of members of other domains.
	Fanout            int
	CrossDomainFanout int
	// PushRounds is the number of rounds in which a change is pushed, doubled for values that are
	// announced without data.
	PushRounds int
	// OfferInterval is the minimum time between two offers of versions.
	OfferInterval time.Duration
	// FetchTimeout is the time after which a value that was requested but not received may be requested
	// again.
	FetchTimeout time.Duration
	MaxKeys      int
	// Valid reports whether a value may be accepted, so as to reject a bundle without a valid signature.
	// If it is nil, all values are accepted.
	Valid    func(Value) bool
	Disabled Disabled
}

// Disabled turns mechanisms off, so that tests can show what each contributes.
type Disabled struct {
	AntiEntropy bool
	Push        bool
}

func (config Config) withDefaults() Config {
	setDefault(&config.Fanout, 2)
	setDefault(&config.CrossDomainFanout, 1)
	setDefault(&config.PushRounds, 2)
	setDefault(&config.MaxKeys, 512)
	if config.OfferInterval == 0 {
		config.OfferInterval = 500 * time.Millisecond
	}
	if config.FetchTimeout == 0 {
		config.FetchTimeout = time.Second
	}
	if config.Valid == nil {
		config.Valid = func(Value) bool { return true }
	}
	return config
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// State holds the values of one instance. It is not safe for concurrent use.
type State struct {
	config Config
	values map[Key]Value
	// keys holds the keys of values in ascending order.
	keys           []Key
	digest         uint64
	peers          peers
	pushes         []pendingPush
	pendingFetches map[Key]pendingFetch
	// offerCursor is the last key that the last offer covered, or empty if the next one starts over.
	offerCursor Key
	lastOffer   time.Time
	now         time.Time
	effects     []Effect
}

// pendingPush is a change with push rounds left.
type pendingPush struct {
	key        Key
	roundsLeft int
}

// pendingFetch is a requested value that was not received yet.
type pendingFetch struct {
	version   uint64
	startedAt time.Time
}

// New returns a state without values or peers.
func New(config Config) *State {
	return &State{
		config:         config.withDefaults(),
		values:         map[Key]Value{},
		pendingFetches: map[Key]pendingFetch{},
		peers:          newPeers(),
	}
}

// Reduce applies one event and returns the effects to carry out.
func (state *State) Reduce(event Event) []Effect {
	state.effects = nil
	switch event := event.(type) {
	case Tick:
		state.now = event.At
		state.push()
	case SetValue:
		state.now = event.At
		state.accept(event.Value)
	case FetchFailed:
		state.now = event.At
		if state.pendingFetches[event.Key].version == event.Version {
			delete(state.pendingFetches, event.Key)
		}
	case MessageReceived:
		state.now = event.At
		state.receive(event)
	case DigestReceived:
		state.now = event.At
		state.offerVersions(event)
	case PeerUp:
		state.peers.add(event, event.Domain == state.config.Domain)
	case PeerDown:
		state.peers.remove(event.Instance)
	}
	return state.effects
}

// Get returns the value held under a key.
func (state *State) Get(key Key) (Value, bool) {
	value, known := state.values[key]
	return value, known
}

// Digest returns the digest of all keys and versions held.
func (state *State) Digest() uint64 { return state.digest }

// accept stores a valid value if its version is greater than the one held.
func (state *State) accept(value Value) {
	held, known := state.values[value.Key]
	if known && value.Version <= held.Version {
		if value.Version == held.Version && !bytes.Equal(value.Data, held.Data) {
			state.emit(Count{Counter: CounterConflict})
		}
		return
	}
	if !known && len(state.keys) >= state.config.MaxKeys {
		state.emit(Count{Counter: CounterKeyLimit})
		return
	}
	if !state.config.Valid(value) {
		state.emit(Count{Counter: CounterRefused})
		return
	}
	value.Large = false
	state.store(value, held, known)
	state.emit(ValueAccepted{Value: value})
	state.emit(DigestChanged{Digest: state.digest})
}

// store replaces the value held, updates the digest and schedules pushes of the new value.
func (state *State) store(value, held Value, known bool) {
	if known {
		state.digest ^= fingerprint(held.Key, held.Version)
	} else {
		index, _ := slices.BinarySearch(state.keys, value.Key)
		state.keys = slices.Insert(state.keys, index, value.Key)
	}
	state.values[value.Key] = value
	state.digest ^= fingerprint(value.Key, value.Version)
	delete(state.pendingFetches, value.Key)
	state.pushes = slices.DeleteFunc(state.pushes, func(push pendingPush) bool { return push.key == value.Key })
	rounds := state.config.PushRounds
	if value.datagramForm().Large {
		rounds *= 2
	}
	state.pushes = append(state.pushes, pendingPush{key: value.Key, roundsLeft: rounds})
}

func (state *State) emit(effect Effect) {
	state.effects = append(state.effects, effect)
}
