package entry

import (
	"fmt"
	"net/netip"
	"time"

	"azureshift/core/catalog"
	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/store"
	"azureshift/core/target"
)

// beliefWorld is a store and instances whose calls and messages are answered, delivered, repeated or lost in any order.
type beliefWorld struct {
	now time.Duration
	// histories holds the changes of the store in each era, the last of which is the current one.
	histories [][]storeChange
	// version is the version of the last configuration, and lost holds those that a restore has lost. Instances forget
	// these once neither the store nor another instance has them.
	version route.Version
	lost    map[route.Version]bool
	states  []*State
	// incomplete holds when the instances that lack a configuration had confirmed their state before.
	incomplete map[*State]time.Duration
	calls      []beliefCall
	messages   []beliefMessage
}

// beliefCall is a call that an instance waits for. Its incarnation is the one that sent it.
type beliefCall struct {
	caller *State
	effect Effect
	// served is the answer that is on its way, or nil.
	served func(at time.Duration) Event
}

type beliefMessage struct {
	to      netip.AddrPort
	message fleet.Message
}

const (
	_beliefInstances = 4
	_beliefServers   = 3
	_beliefDomains   = 2
	_beliefSeries    = 4
	// _maxEras bounds the number of restores, and _maxLostChanges what each of them loses.
	_maxEras        = 3
	_maxLostChanges = 4
)

func newBeliefWorld() *beliefWorld {
	world := &beliefWorld{
		now: time.Second, incomplete: make(map[*State]time.Duration), histories: [][]storeChange{nil},
		lost: make(map[route.Version]bool),
	}
	world.configure(1)
	for index := range _beliefInstances {
		self := beliefSelf(index, 1)
		world.write(storeChange{entry: catalog.Entry{Instance: &self}})
		world.states = append(world.states, nil)
		world.start(index)
	}
	return world
}

func beliefSelf(index int, incarnation id.Incarnation) catalog.Instance {
	return catalog.Instance{
		Name: id.Instance(fmt.Sprintf("a-%d", index)), Domain: "a", Capacity: 10 - index, Incarnation: incarnation,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index + 1)}), 1),
	}
}

// revisionIn returns the revision with a number in the era with an index.
func revisionIn(era, number int) store.Revision {
	return must(store.NewRevision(store.Era(era), uint64(number)))
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// current returns the history of the current era, and its last revision.
func (world *beliefWorld) current() ([]storeChange, store.Revision) {
	era := len(world.histories) - 1
	return world.histories[era], revisionIn(era, len(world.histories[era]))
}

// write adds a change to the store.
func (world *beliefWorld) write(change storeChange) {
	era := len(world.histories) - 1
	change.entry.Revision = revisionIn(era, len(world.histories[era])+1)
	world.histories[era] = append(world.histories[era], change)
}

// restore brings the store back from a copy that has only the first changes.
func (world *beliefWorld) restore(changes int) {
	history, _ := world.current()
	world.histories = append(world.histories, nil)
	for _, change := range history[:changes] {
		world.write(change)
	}
	for _, change := range history[changes:] {
		if change.config != nil {
			world.lost[change.config.Version] = true
		}
	}
}

// configure writes a version that differs from the one before by more routes than fit into a message, or by one.
func (world *beliefWorld) configure(routes int) {
	world.version++
	config := route.Config{Version: world.version}
	for port := range uint16(routes) {
		config.Routes = append(config.Routes, route.Route{
			Endpoint: packet.Endpoint{Port: port}, Timeout: time.Duration(world.version) * time.Second,
		})
	}
	world.write(storeChange{config: &config})
}

func (world *beliefWorld) register(number int, state target.State) {
	name := id.Target(fmt.Sprintf("i-%d", number))
	entry := catalog.Entry{MissingServer: name}
	if state != 0 {
		server := target.Target{ID: name, Number: target.Number(number), State: state}
		entry = catalog.Entry{Server: &server}
	}
	world.write(storeChange{entry: entry})
}

// evacuate writes the operator's request to evacuate a failure domain, or removes it.
func (world *beliefWorld) evacuate(number int, requested bool) {
	domain := id.Domain(fmt.Sprintf("z-%d", number))
	entry := catalog.Entry{Reopened: domain}
	if requested {
		entry = catalog.Entry{Evacuated: domain}
	}
	world.write(storeChange{entry: entry})
}

// start starts an instance, or starts it again without what it knew.
func (world *beliefWorld) start(index int) {
	state := New(Config{
		Self: beliefSelf(index, id.Incarnation(world.now)),
		Limits: Limits{
			Drain: _drainLimit, Convergence: _drainLimit, MaxFlowLife: time.Hour, MinLease: time.Second,
			Evacuation: _drainLimit,
		},
		Seeds:  []Address{beliefSelf(0, 1).Address, beliefSelf(1, 1).Address},
		Random: func() float64 { return 0 },
	})
	world.states[index] = state
	world.execute(state, state.Start(world.now))
}

func (world *beliefWorld) execute(state *State, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case List, Follow, ReadConfig, Fetch:
			world.calls = append(world.calls, beliefCall{caller: state, effect: effect})
		case Send:
			world.messages = append(world.messages, beliefMessage{to: effect.To, message: effect.Message})
		}
	}
}

func (world *beliefWorld) reduce(state *State, event Event) {
	world.execute(state, state.Reduce(event))
}

func (world *beliefWorld) at(address netip.AddrPort) *State {
	for _, state := range world.states {
		if state.config.Self.Address == address {
			return state
		}
	}
	return nil
}

// serve returns the answer to a call as of now, or its failure, as the event of its arrival.
func (world *beliefWorld) serve(call beliefCall, succeeds bool) func(at time.Duration) Event {
	history, revision := world.current()
	asked := world.now
	switch effect := call.effect.(type) {
	case List:
		if !succeeds {
			return func(at time.Duration) Event { return ReadFailed{At: at} }
		}
		entries, config := world.content()
		return func(at time.Duration) Event {
			return Listed{At: at, RequestedAt: asked, Entries: entries, Config: config, Revision: revision}
		}
	case Follow:
		lost, unreadable := effect.After.Era() != revision.Era(), len(history)%2 == 0
		if lost || !succeeds {
			return func(at time.Duration) Event { return ReadFailed{At: at, HistoryLost: lost, Unreadable: unreadable} }
		}
		followed := Followed{RequestedAt: asked, After: effect.After, Revision: revision}
		for _, change := range history[effect.After.Number():] {
			followed.Changes++
			if change.config != nil {
				followed.Config = change.config
			} else {
				followed.Entries = append(followed.Entries, change.entry)
			}
		}
		return func(at time.Duration) Event {
			followed.At = at
			return followed
		}
	case ReadConfig:
		var config *route.Config
		if succeeds {
			_, config = world.content()
		}
		return func(at time.Duration) Event { return ConfigRead{At: at, Config: config} }
	case Fetch:
		view := world.at(effect.From).View(world.now, effect.Known)
		if !succeeds || view.Revision == 0 {
			return func(at time.Duration) Event { return FetchFailed{At: at, From: effect.From} }
		}
		return func(at time.Duration) Event { return Fetched{At: at, From: effect.From, View: view} }
	}
	return nil
}

// answer ends a call with the answer that was served, or with that of now.
func (world *beliefWorld) answer(call beliefCall, succeeds bool) {
	if call.served == nil {
		call.served = world.serve(call, succeeds)
	}
	world.reduce(call.caller, call.served(world.now))
}

// content returns what the store holds.
func (world *beliefWorld) content() ([]catalog.Entry, *route.Config) {
	latest := make(map[string]catalog.Entry)
	var config *route.Config
	history, _ := world.current()
	for _, change := range history {
		switch entry := change.entry; {
		case change.config != nil:
			config = change.config
		case entry.Server != nil:
			latest[string(entry.Server.ID)] = entry
		case entry.Instance != nil:
			latest[string(entry.Instance.Name)] = entry
		case entry.Evacuated != "":
			latest[string(entry.Evacuated)] = entry
		case entry.Reopened != "":
			delete(latest, string(entry.Reopened))
		default:
			delete(latest, string(entry.MissingServer))
		}
	}
	entries := make([]catalog.Entry, 0, len(latest))
	for _, change := range history {
		if entry := change.entry; entry.Server != nil && latest[string(entry.Server.ID)].Revision == entry.Revision ||
			entry.Instance != nil && latest[string(entry.Instance.Name)].Revision == entry.Revision ||
			entry.Evacuated != "" && latest[string(entry.Evacuated)].Revision == entry.Revision {
			entries = append(entries, entry)
		}
	}
	return entries, config
}

func (world *beliefWorld) tick(span time.Duration) {
	world.now += span
	for _, state := range world.states {
		world.reduce(state, Tick{At: world.now})
	}
}
