package detector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/steer"
)

const (
	_server = id.Target("i-1")
	_ms     = time.Millisecond
)

func alwaysNeeded(id.Target) bool { return true }

func assertChange(c *qt.C, changes []Change, condition steer.Condition, probeResult ProbeResult) {
	c.Helper()
	c.Assert(changes, qt.DeepEquals, []Change{{Server: _server, Condition: condition, ProbeResult: probeResult}})
}

func TestProbe(t *testing.T) {
	c := qt.New(t)
	c.Run("that is refused marks the server dead", func(c *qt.C) {
		state := New(DefaultConfig())
		c.Assert(state.RequestProbe(_ms, _server), qt.IsTrue)
		changes, again := state.HandleProbeResult(2*_ms, _server, ProbeRefused)
		assertChange(c, changes, steer.Dead, ProbeRefused)
		c.Assert(again, qt.IsFalse)
	})
	c.Run("that another server answers marks the server dead", func(c *qt.C) {
		state := New(DefaultConfig())
		state.RequestProbe(_ms, _server)
		changes, _ := state.HandleProbeResult(2*_ms, _server, ProbeOtherServer)
		assertChange(c, changes, steer.Dead, ProbeOtherServer)
	})
	c.Run("without an answer is repeated before the server becomes unreachable", func(c *qt.C) {
		state := New(DefaultConfig())
		state.RequestProbe(_ms, _server)
		changes, again := state.HandleProbeResult(150*_ms, _server, ProbeTimedOut)
		assertChange(c, changes, steer.Suspect, ProbeTimedOut)
		c.Assert(again, qt.IsTrue)
		changes, again = state.HandleProbeResult(300*_ms, _server, ProbeTimedOut)
		c.Assert(changes, qt.HasLen, 0)
		c.Assert(again, qt.IsFalse)
		c.Assert(state.UnreachableLocally(_server), qt.IsTrue)
		assertChange(c, state.Corroborate(400*_ms, _server), steer.Unreachable, ProbeTimedOut)
	})
	c.Run("without an answer at one instance only does not make the server unreachable", func(c *qt.C) {
		// The link of this instance may be saturated: its probes are lost while the server answers others.
		state := New(DefaultConfig())
		state.RequestProbe(_ms, _server)
		for probe := range 10 {
			state.HandleProbeResult(time.Duration(probe)*time.Second, _server, ProbeTimedOut)
		}
		c.Assert(state.Condition(_server), qt.Equals, steer.Suspect)
	})
	c.Run("without an answer does not make the server unreachable after the corroboration has expired", func(c *qt.C) {
		state := New(DefaultConfig())
		state.Corroborate(_ms, _server)
		state.HandleProbeResult(4*time.Second, _server, ProbeTimedOut)
		state.HandleProbeResult(5*time.Second, _server, ProbeTimedOut)
		c.Assert(state.Condition(_server), qt.Equals, steer.Suspect)
	})
	c.Run("with an unclear result changes nothing", func(c *qt.C) {
		state := New(DefaultConfig())
		state.RequestProbe(_ms, _server)
		changes, again := state.HandleProbeResult(900*_ms, _server, ProbeInconclusive)
		c.Assert(changes, qt.HasLen, 0)
		c.Assert(again, qt.IsFalse)
	})
}

func TestProbeOfLiveServer(t *testing.T) {
	c := qt.New(t)
	c.Run("is not repeated for each packet", func(c *qt.C) {
		state := New(DefaultConfig())
		c.Assert(state.RequestProbe(_ms, _server), qt.IsTrue)
		c.Assert(state.RequestProbe(2*_ms, _server), qt.IsFalse)
		state.HandleProbeResult(3*_ms, _server, ProbeAnswered)
		c.Assert(state.RequestProbe(4*_ms, _server), qt.IsFalse)
		c.Assert(state.RequestProbe(400*_ms, _server), qt.IsTrue)
	})
	c.Run("makes an unreachable server usable again", func(c *qt.C) {
		state := New(DefaultConfig())
		for range 2 {
			state.HandleProbeResult(_ms, _server, ProbeTimedOut)
		}
		state.Corroborate(_ms, _server)
		c.Assert(state.StartDueProbes(500*_ms, alwaysNeeded), qt.HasLen, 0)
		c.Assert(state.StartDueProbes(1100*_ms, alwaysNeeded), qt.HasLen, 1)
		changes, _ := state.HandleProbeResult(1101*_ms, _server, ProbeAnswered)
		assertChange(c, changes, steer.Usable, ProbeAnswered)
	})
}

func TestStuckServer(t *testing.T) {
	c := qt.New(t)
	stuck := func() *State {
		state := New(DefaultConfig())
		state.ObserveTraffic(_ms, _server, 200*_ms, 1)
		return state
	}
	c.Run("becomes suspect although its health page answers", func(c *qt.C) {
		state := stuck()
		c.Assert(state.ObserveTraffic(time.Second, _server, 1200*_ms, 3), qt.HasLen, 0)
		assertChange(c, state.ObserveTraffic(2*time.Second, _server, 2200*_ms, 5), steer.Suspect, ProbeConnected)
		changes, _ := state.HandleProbeResult(2100*_ms, _server, ProbeAnswered)
		c.Assert(changes, qt.HasLen, 0)
	})
	c.Run("is usable again once it answers", func(c *qt.C) {
		state := stuck()
		state.ObserveTraffic(2*time.Second, _server, 2200*_ms, 5)
		assertChange(c, state.ObserveTraffic(3*time.Second, _server, 0, 0), steer.Usable, ProbeAnswered)
	})
}

func TestDeadServer(t *testing.T) {
	c := qt.New(t)
	state := New(DefaultConfig())
	state.HandleProbeResult(_ms, _server, ProbeRefused)
	c.Run("is not probed because of unanswered packets", func(c *qt.C) {
		c.Assert(state.RequestProbe(time.Second, _server), qt.IsFalse)
	})
	c.Run("is usable again once it registers", func(c *qt.C) {
		assertChange(c, state.HandleRegistration(_server), steer.Usable, ProbeAnswered)
	})
}
