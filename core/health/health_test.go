package health_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/health"
)

var (
	_start  = time.Unix(1_000_000, 0)
	_target = health.Target{Service: "stampa", Name: "stampa-0"}
)

func TestCondition(t *testing.T) {
	c := qt.New(t)
	c.Run("unanswered messages set it down, an answer sets it up", func(c *qt.C) {
		state := stateWithUnanswered(3)
		assertChanged(c, state.Reduce(health.Tick{At: _start.Add(2 * time.Second)}), health.ConditionDown)
		changes := state.Reduce(health.MessageReceived{At: _start.Add(3 * time.Second), Target: _target})
		assertChanged(c, changes, health.ConditionUp)
	})
	c.Run("a successful health check does not outweigh unanswered messages", func(c *qt.C) {
		state := stateWithUnanswered(3)
		state.Reduce(health.CheckCompleted{At: _start.Add(time.Second), Target: _target, Succeeded: true})
		assertChanged(c, state.Reduce(health.Tick{At: _start.Add(2 * time.Second)}), health.ConditionDown)
	})
	c.Run("an unresponsive target is up again after its probation", func(c *qt.C) {
		state := stateWithUnanswered(3)
		state.Reduce(health.Tick{At: _start.Add(2 * time.Second)})
		early := health.CheckCompleted{At: _start.Add(4 * time.Second), Target: _target, Succeeded: true}
		c.Assert(state.Reduce(early), qt.HasLen, 0)
		late := health.CheckCompleted{At: _start.Add(13 * time.Second), Target: _target, Succeeded: true}
		assertChanged(c, state.Reduce(late), health.ConditionUp)
	})
	c.Run("failed health checks do not outweigh answers", func(c *qt.C) {
		state := health.New(health.DefaultConfig())
		state.Reduce(health.MessageReceived{At: _start, Target: _target})
		for range 10 {
			changes := state.Reduce(health.CheckCompleted{At: _start.Add(time.Second), Target: _target})
			c.Assert(changes, qt.HasLen, 0)
		}
	})
	c.Run("reports of other instances count only without recent answers", func(c *qt.C) {
		state := health.New(health.DefaultConfig())
		report := health.PeerReported{At: _start.Add(time.Second), Target: _target, Condition: health.ConditionDown}
		state.Reduce(health.MessageReceived{At: _start, Target: _target})
		c.Assert(state.Reduce(report), qt.HasLen, 0)
		report.At = _start.Add(time.Minute)
		assertChanged(c, state.Reduce(report), health.ConditionDown)
	})
}

// stateWithUnanswered returns a state in which the target has left messages unanswered since _start.
func stateWithUnanswered(messages int) *health.State {
	state := health.New(health.DefaultConfig())
	state.Reduce(health.MessagesSent{At: _start, Target: _target, Count: messages})
	return state
}

func assertChanged(c *qt.C, changes []health.Change, condition health.Condition) {
	c.Helper()
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Condition, qt.Equals, condition)
	c.Assert(changes[0].Target, qt.Equals, _target)
}
