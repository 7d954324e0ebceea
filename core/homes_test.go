package core

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/core/id"
	"azureshift/core/request"
)

var _homesStart = time.Unix(1_000_000, 0)

func TestHomesOfMovedRequests(t *testing.T) {
	c := qt.New(t)
	c.Run("a request that one bundle moved goes to its former home first", func(c *qt.C) {
		state := stateAfterRolls(c, 5, 1)
		key := findKey(c, state, 2)
		path := state.homeHistory(key)
		service, ok := state.routes().Service(serviceAddress())
		c.Assert(ok, qt.IsTrue)
		c.Assert(request.HomeShard(service.Name, service.formerSlots[0], key), qt.Equals, path[0])
	})
	c.Run("a request that two bundles moved is answered unknown", func(c *qt.C) {
		state := stateAfterRolls(c, 9, 1, 9)
		key := findKey(c, state, 3)
		assertUnknown(c, state, key)
		service, ok := state.routes().Service(serviceAddress())
		c.Assert(ok, qt.IsTrue)
		c.Assert(service.IsUntraceable(key), qt.IsTrue)
	})
	c.Run("after the move window requests go straight to their home", func(c *qt.C) {
		state := stateAfterRolls(c, 5, 1)
		state.now = _homesStart.Add(_moveWindow + time.Second)
		state.expireFormerHomes()
		c.Assert(state.formerHomes, qt.HasLen, 0)
	})
	c.Run("a cut failure domain keeps the former homes", func(c *qt.C) {
		state := stateAfterRolls(c, 5, 1)
		state.cut["tirano"] = true
		state.now = _homesStart.Add(_moveWindow + time.Second)
		state.expireFormerHomes()
		c.Assert(state.formerHomes, qt.HasLen, 1)
	})
}

// stateAfterRolls returns the state of an instance that applied one bundle after another at the same moment, each
// with the given number of slots in the first failure domain.
func stateAfterRolls(c *qt.C, slots ...int) *State {
	c.Helper()
	self := id.Member{Instance: "morbegno-0", Incarnation: 1}
	config := DefaultConfig(self, "morbegno", netip.MustParseAddrPort("127.0.0.1:1"))
	config.Random = rand.New(rand.NewPCG(1, 1))
	state := New(config)
	state.now = _homesStart
	for index, count := range slots {
		state.applyBundle(bundleWith(id.Version(index+1), count))
	}
	state.pending = nil
	return state
}

func bundleWith(version id.Version, slots int) bundle.Bundle {
	service := bundle.Service{Name: "chiosco", Customer: "Valtellina", Address: serviceAddress()}
	for index, domain := range []id.Domain{"morbegno", "tirano", "chiavenna"} {
		target := bundle.Target{Name: id.Target(domain), Domain: domain, Slots: 5, Mode: bundle.ModeActive}
		target.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 3}), uint16(index+1))
		if index == 0 {
			target.Slots = slots
		}
		service.Targets = append(service.Targets, target)
	}
	return bundle.Bundle{Version: version, Services: []bundle.Service{service}}
}

// findKey returns the key of a request that has had the given number of homes.
func findKey(c *qt.C, state *State, homes int) request.Key {
	c.Helper()
	for number := range 10_000 {
		key := request.Key{
			Caller: netip.MustParseAddrPort("127.0.0.1:9"), Service: "chiosco", Tag: fmt.Sprintf("t%d", number),
		}
		if len(state.homeHistory(key)) == homes {
			return key
		}
	}
	c.Fatalf("no request has %d homes", homes)
	return request.Key{}
}

func assertUnknown(c *qt.C, state *State, key request.Key) {
	c.Helper()
	effects := state.Reduce(RequestArrived{Arrived: request.Arrived{
		At: request.At{At: _homesStart}, Key: key, Class: request.AtMostOnce, Deadline: _homesStart.Add(time.Minute),
	}})
	var outcomes []request.Outcome
	for _, effect := range effects {
		requestEffect, ok := effect.(RequestEffect)
		if !ok {
			continue
		}
		reply, ok := requestEffect.Effect.(request.Reply)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%T", requestEffect.Effect))
		c.Assert(reply.Key == key, qt.IsTrue)
		outcomes = append(outcomes, reply.Outcome)
	}
	c.Assert(outcomes, qt.DeepEquals, []request.Outcome{request.Unknown})
}

func serviceAddress() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.2:1")
}
