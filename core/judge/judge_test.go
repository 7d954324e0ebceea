package judge

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

func assertVerdict(c *qt.C, verdicts []Verdict, condition steer.Condition, finding Finding) {
	c.Helper()
	c.Assert(verdicts, qt.DeepEquals, []Verdict{{Server: _server, Condition: condition, Finding: finding}})
}

func TestProbe(t *testing.T) {
	c := qt.New(t)
	c.Run("that is refused marks the server dead", func(c *qt.C) {
		state := New(Default())
		c.Assert(state.Doubt(_ms, _server), qt.IsTrue)
		verdicts, again := state.Probed(2*_ms, _server, Refused)
		assertVerdict(c, verdicts, steer.Dead, Refused)
		c.Assert(again, qt.IsFalse)
	})
	c.Run("that another server answers marks the server dead", func(c *qt.C) {
		state := New(Default())
		state.Doubt(_ms, _server)
		verdicts, _ := state.Probed(2*_ms, _server, Replaced)
		assertVerdict(c, verdicts, steer.Dead, Replaced)
	})
	c.Run("without an answer is repeated before the server becomes unreachable", func(c *qt.C) {
		state := New(Default())
		state.Doubt(_ms, _server)
		verdicts, again := state.Probed(150*_ms, _server, Silent)
		assertVerdict(c, verdicts, steer.Suspect, Silent)
		c.Assert(again, qt.IsTrue)
		verdicts, again = state.Probed(300*_ms, _server, Silent)
		c.Assert(verdicts, qt.HasLen, 0)
		c.Assert(again, qt.IsFalse)
		c.Assert(state.Silent(_server), qt.IsTrue)
		assertVerdict(c, state.Witness(400*_ms, _server), steer.Unreachable, Silent)
	})
	c.Run("without an answer at one instance only does not make the server unreachable", func(c *qt.C) {
		// The link of this instance may be saturated: its probes are lost while the server answers others.
		state := New(Default())
		state.Doubt(_ms, _server)
		for probe := range 10 {
			state.Probed(time.Duration(probe)*time.Second, _server, Silent)
		}
		c.Assert(state.Condition(_server), qt.Equals, steer.Suspect)
	})
	c.Run("without an answer does not make the server unreachable after the corroboration has expired", func(c *qt.C) {
		state := New(Default())
		state.Witness(_ms, _server)
		state.Probed(4*time.Second, _server, Silent)
		state.Probed(5*time.Second, _server, Silent)
		c.Assert(state.Condition(_server), qt.Equals, steer.Suspect)
	})
	c.Run("with an unclear result changes nothing", func(c *qt.C) {
		state := New(Default())
		state.Doubt(_ms, _server)
		verdicts, again := state.Probed(900*_ms, _server, Unclear)
		c.Assert(verdicts, qt.HasLen, 0)
		c.Assert(again, qt.IsFalse)
	})
}

func TestProbeOfLiveServer(t *testing.T) {
	c := qt.New(t)
	c.Run("is not repeated for each packet", func(c *qt.C) {
		state := New(Default())
		c.Assert(state.Doubt(_ms, _server), qt.IsTrue)
		c.Assert(state.Doubt(2*_ms, _server), qt.IsFalse)
		state.Probed(3*_ms, _server, Answered)
		c.Assert(state.Doubt(4*_ms, _server), qt.IsFalse)
		c.Assert(state.Doubt(400*_ms, _server), qt.IsTrue)
	})
	c.Run("makes an unreachable server usable again", func(c *qt.C) {
		state := New(Default())
		for range 2 {
			state.Probed(_ms, _server, Silent)
		}
		state.Witness(_ms, _server)
		c.Assert(state.Due(500*_ms, alwaysNeeded), qt.HasLen, 0)
		c.Assert(state.Due(1100*_ms, alwaysNeeded), qt.HasLen, 1)
		verdicts, _ := state.Probed(1101*_ms, _server, Answered)
		assertVerdict(c, verdicts, steer.Usable, Answered)
	})
}

func TestStuckServer(t *testing.T) {
	c := qt.New(t)
	stuck := func() *State {
		state := New(Default())
		state.Observe(_ms, _server, 200*_ms, 1)
		return state
	}
	c.Run("becomes suspect although its health page answers", func(c *qt.C) {
		state := stuck()
		c.Assert(state.Observe(time.Second, _server, 1200*_ms, 3), qt.HasLen, 0)
		assertVerdict(c, state.Observe(2*time.Second, _server, 2200*_ms, 5), steer.Suspect, Connected)
		verdicts, _ := state.Probed(2100*_ms, _server, Answered)
		c.Assert(verdicts, qt.HasLen, 0)
	})
	c.Run("is usable again once it answers", func(c *qt.C) {
		state := stuck()
		state.Observe(2*time.Second, _server, 2200*_ms, 5)
		assertVerdict(c, state.Observe(3*time.Second, _server, 0, 0), steer.Usable, Answered)
	})
}

func TestDeadServer(t *testing.T) {
	c := qt.New(t)
	state := New(Default())
	state.Probed(_ms, _server, Refused)
	c.Run("is not probed because of unanswered packets", func(c *qt.C) {
		c.Assert(state.Doubt(time.Second, _server), qt.IsFalse)
	})
	c.Run("is usable again once it registers", func(c *qt.C) {
		assertVerdict(c, state.Renewed(_server), steer.Usable, Answered)
	})
}
