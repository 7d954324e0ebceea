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
	now     time.Duration
	history []storeChange
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
}

type beliefMessage struct {
	to      netip.AddrPort
	message fleet.Message
}

const (
	_beliefInstances = 4
	_beliefServers   = 3
	_beliefSeries    = 4
)

func newBeliefWorld() *beliefWorld {
	world := &beliefWorld{now: time.Second, incomplete: make(map[*State]time.Duration)}
	world.configure(1)
	for index := range _beliefInstances {
		self := beliefSelf(index, 1)
		world.history = append(world.history, storeChange{entry: catalog.Entry{Revision: world.next(), Instance: &self}})
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

func (world *beliefWorld) next() store.Revision {
	return store.Revision(len(world.history) + 1)
}

// configure writes a version that differs from the one before by more routes than fit into a message, or by one.
func (world *beliefWorld) configure(routes int) {
	version := route.Version(len(world.history) + 1)
	config := route.Config{Version: version}
	for port := range uint16(routes) {
		config.Routes = append(config.Routes, route.Route{
			Endpoint: packet.Endpoint{Port: port}, Timeout: time.Duration(version) * time.Second,
		})
	}
	world.history = append(world.history, storeChange{entry: catalog.Entry{Revision: world.next()}, config: &config})
}

func (world *beliefWorld) register(number int, state target.State) {
	name := id.Target(fmt.Sprintf("i-%d", number))
	entry := catalog.Entry{Revision: world.next(), MissingServer: name}
	if state != 0 {
		server := target.Target{ID: name, Number: target.Number(number), State: state}
		entry = catalog.Entry{Revision: world.next(), Server: &server}
	}
	world.history = append(world.history, storeChange{entry: entry})
}

// start starts an instance, or starts it again without what it knew.
func (world *beliefWorld) start(index int) {
	state := New(Config{
		Self:   beliefSelf(index, id.Incarnation(world.now)),
		Limits: Limits{Drain: _drainLimit, Convergence: _drainLimit, MaxFlowLife: time.Hour, MinLease: time.Second},
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

// answer ends a call, with what the store or the other instance has now, or with a failure.
func (world *beliefWorld) answer(call beliefCall, succeeds bool) {
	switch effect := call.effect.(type) {
	case List:
		if !succeeds {
			world.reduce(call.caller, ReadFailed{At: world.now})
			return
		}
		entries, config := world.content()
		world.reduce(call.caller, Listed{
			At: world.now, RequestedAt: world.now, Entries: entries, Config: config, Revision: world.next() - 1,
		})
	case Follow:
		if !succeeds {
			world.reduce(call.caller, ReadFailed{At: world.now, Unreadable: len(world.history)%2 == 0})
			return
		}
		followed := Followed{At: world.now, RequestedAt: world.now, After: effect.After, Revision: world.next() - 1}
		for _, change := range world.history[effect.After:] {
			followed.Changes++
			if change.config != nil {
				followed.Config = change.config
			} else {
				followed.Entries = append(followed.Entries, change.entry)
			}
		}
		world.reduce(call.caller, followed)
	case ReadConfig:
		read := ConfigRead{At: world.now}
		if succeeds {
			_, read.Config = world.content()
		}
		world.reduce(call.caller, read)
	case Fetch:
		other := world.at(effect.From)
		view := other.View(world.now, effect.Known)
		if !succeeds || view.Revision == 0 {
			world.reduce(call.caller, FetchFailed{At: world.now, From: effect.From})
			return
		}
		world.reduce(call.caller, Fetched{At: world.now, From: effect.From, View: view})
	}
}

// content returns what the store holds.
func (world *beliefWorld) content() ([]catalog.Entry, *route.Config) {
	latest := make(map[string]catalog.Entry)
	var config *route.Config
	for _, change := range world.history {
		switch entry := change.entry; {
		case change.config != nil:
			config = change.config
		case entry.Server != nil:
			latest[string(entry.Server.ID)] = entry
		case entry.Instance != nil:
			latest[string(entry.Instance.Name)] = entry
		default:
			delete(latest, string(entry.MissingServer))
		}
	}
	entries := make([]catalog.Entry, 0, len(latest))
	for _, change := range world.history {
		if entry := change.entry; entry.Server != nil && latest[string(entry.Server.ID)].Revision == entry.Revision ||
			entry.Instance != nil && latest[string(entry.Instance.Name)].Revision == entry.Revision {
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
