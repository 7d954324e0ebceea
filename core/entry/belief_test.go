package entry

import (
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/target"
)

// assertBeliefs asserts that each instance holds all that the changes up to its revision left, or knows what it lacks.
func (world *beliefWorld) assertBeliefs(t *rapid.T) {
	for _, state := range world.states {
		revision := state.catalog.Revision()
		var version route.Version
		servers, evacuated := make(map[id.Target]target.State), make(map[id.Domain]bool)
		for _, change := range world.histories[revision.Era()][:revision.Number()] {
			switch {
			case change.config != nil && !world.lost[change.config.Version]:
				version = change.config.Version
			case change.entry.Server != nil:
				servers[change.entry.Server.ID] = change.entry.Server.State
			case change.entry.MissingServer != "":
				servers[change.entry.MissingServer] = 0
			case change.entry.Evacuated != "":
				evacuated[change.entry.Evacuated] = true
			case change.entry.Reopened != "":
				evacuated[change.entry.Reopened] = false
			}
		}
		name := state.config.Self.Name
		if known := max(state.catalog.Routes().Version, state.missingConfig()); known < version {
			t.Fatalf("%s at revision %d knows version %d and not version %d", name, revision, known, version)
		}
		world.assertUnconfirmed(t, state)
		assertEvacuations(t, state, evacuated)
		for server, expected := range servers {
			record, ok := state.catalog.Server(server)
			held := target.State(0)
			if ok && !record.Missing {
				held = record.State
			}
			newer := ok && record.Revision > revision
			if held != expected && !newer {
				t.Fatalf("%s at revision %d has server %s in state %d and not %d", name, revision, server, held, expected)
			}
		}
	}
}

// assertEvacuations asserts that an instance holds the evacuations that the changes up to its revision left.
func assertEvacuations(t *rapid.T, state *State, expected map[id.Domain]bool) {
	revision := state.catalog.Revision()
	for _, evacuation := range state.catalog.Evacuations() {
		if _, ok := expected[evacuation.Domain]; !ok && evacuation.Revision <= revision {
			t.Fatalf("%s at revision %d has %s evacuated", state.config.Self.Name, revision, evacuation.Domain)
		}
	}
	for domain, evacuated := range expected {
		known, ok := state.catalog.Evacuation(domain)
		newer := ok && known.Revision > revision
		if state.catalog.Evacuated(domain) != evacuated && !newer {
			t.Fatalf("%s at revision %d has evacuation of %s as %t and not %t",
				state.config.Self.Name, revision, domain, !evacuated, evacuated)
		}
	}
}

// assertUnconfirmed asserts that an instance does not confirm its state while it lacks a configuration.
func (world *beliefWorld) assertUnconfirmed(t *rapid.T, state *State) {
	if state.missingConfig() == 0 {
		delete(world.incomplete, state)
		return
	}
	if before, ok := world.incomplete[state]; ok && state.reading.confirmedAt > before {
		t.Fatalf("%s confirmed its state without version %d", state.config.Self.Name, state.missingConfig())
	}
	world.incomplete[state] = state.reading.confirmedAt
}

// storeActions are the changes of the store and its answers, with a choice of a number below a length.
func (world *beliefWorld) storeActions(pick func(length int) int) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"serve": func(*rapid.T) {
			if len(world.calls) > 0 {
				call := &world.calls[pick(len(world.calls))]
				call.served = world.serve(*call, true)
			}
		},
		"restore": func(*rapid.T) {
			history, _ := world.current()
			if len(world.histories) < _maxEras {
				world.restore(len(history) - pick(min(len(history), _maxLostChanges)+1))
			}
		},
		"configure": func(*rapid.T) { world.configure(1 + pick(2)*_maxDeltaSize) },
		"server": func(*rapid.T) {
			state := target.State(pick(int(target.StateDraining) + 1))
			world.register(pick(_beliefServers), state)
		},
		"evacuate": func(*rapid.T) { world.evacuate(pick(_beliefDomains), true) },
		"reopen":   func(*rapid.T) { world.evacuate(pick(_beliefDomains), false) },
	}
}

// TestBeliefs guards against an instance that counts itself up to date at a revision without a value that changes up to
// it left, whatever is lost, late, repeated or out of order, and whoever starts or leaves in between.
func TestBeliefs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newBeliefWorld()
		pick := func(length int) int { return rapid.IntRange(0, length-1).Draw(t, "index") }
		finish := func(succeeds bool) {
			if len(world.calls) == 0 {
				t.Skip("no call")
			}
			index := pick(len(world.calls))
			call := world.calls[index]
			world.calls = append(world.calls[:index:index], world.calls[index+1:]...)
			for _, state := range world.states {
				if state == call.caller {
					world.answer(call, succeeds)
				}
			}
		}
		deliver := func(keep bool) {
			if len(world.messages) == 0 {
				t.Skip("no message")
			}
			index := pick(len(world.messages))
			message := world.messages[index]
			if !keep {
				world.messages = append(world.messages[:index:index], world.messages[index+1:]...)
			}
			world.reduce(world.at(message.to), MessageReceived{At: world.now, Message: message.message})
		}
		actions := map[string]func(*rapid.T){
			"answer":  func(*rapid.T) { finish(true) },
			"answer2": func(*rapid.T) { finish(true) },
			"fail":    func(*rapid.T) { finish(false) },
			"deliver": func(*rapid.T) { deliver(false) },
			"repeat":  func(*rapid.T) { deliver(true) },
			"lose": func(*rapid.T) {
				if len(world.messages) > 0 {
					world.messages = world.messages[1:]
				}
			},
			"restart":     func(*rapid.T) { world.start(pick(_beliefInstances)) },
			"tick":        func(*rapid.T) { world.tick(time.Duration(1+pick(10)) * 100 * time.Millisecond) },
			"longer tick": func(*rapid.T) { world.tick(time.Duration(1+pick(3)) * time.Second) },
			"":            world.assertBeliefs,
		}
		maps.Copy(actions, world.storeActions(pick))
		// A configuration is missed only after a chain of some ten steps.
		for range _beliefSeries {
			t.Repeat(actions)
		}
	})
}

// TestBeliefWorld checks that the instances of the world learn what the store holds if nothing is lost.
func TestBeliefWorld(t *testing.T) {
	c := qt.New(t)
	world := newBeliefWorld()
	world.configure(_maxDeltaSize + 1)
	world.register(1, target.StateDraining)
	world.evacuate(0, true)
	world.evacuate(1, true)
	world.evacuate(0, false)
	for range 60 {
		for len(world.calls) > 0 {
			call := world.calls[0]
			world.calls = world.calls[1:]
			if _, waits := call.effect.(Follow); waits {
				world.now += 10 * time.Millisecond
			}
			world.answer(call, true)
			if len(world.messages) > 0 {
				break
			}
		}
		for len(world.messages) > 0 {
			message := world.messages[0]
			world.messages = world.messages[1:]
			world.reduce(world.at(message.to), MessageReceived{At: world.now, Message: message.message})
		}
		world.tick(_tickInterval)
	}
	for _, state := range world.states {
		_, revision := world.current()
		c.Assert(state.catalog.Revision(), qt.Equals, revision)
		c.Assert(state.catalog.Routes().Version, qt.Equals, world.version)
		c.Assert(state.catalog.Evacuations(), qt.HasLen, 1)
		c.Assert(state.catalog.Evacuated("z-1"), qt.IsTrue)
	}
}
