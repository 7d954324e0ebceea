package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/catalog"
	"azureshift/core/id"
)

// rankedInstances returns instances of one failure domain; lower numbers rank higher.
func rankedInstances(count int) []catalog.Instance {
	instances := make([]catalog.Instance, 0, count)
	for number := range count {
		instances = append(instances, instance(id.Instance(fmt.Sprintf("i%02d", number)), "a", 1000-number))
	}
	return instances
}

// stateOf returns the state of the instance with a number, which knows all of them.
func stateOf(instances []catalog.Instance, number int) *State {
	state := New(Config{
		Self: instances[number], LivenessTimeout: 2 * time.Second, UpstreamTimeout: time.Second, Fanout: 2,
		CrossDomainFanout: 2,
	})
	state.Register(instances)
	return state
}

func TestTree(t *testing.T) {
	c := qt.New(t)
	instances := rankedInstances(10)
	c.Run("has exactly one sender for each instance but the root", func(c *qt.C) {
		senders := make(map[id.Instance]int)
		for number := range instances {
			for _, name := range receiverNames(stateOf(instances, number).Receivers(0, false)) {
				senders[name]++
			}
		}
		c.Assert(senders, qt.HasLen, len(instances)-1)
		for name, count := range senders {
			c.Assert(count, qt.Equals, 1, qt.Commentf("%s", name))
		}
	})
	c.Run("leads from every instance to the best ranked one", func(c *qt.C) {
		for number := range instances[1:] {
			ancestors := stateOf(instances, number+1).Ancestors(0)
			c.Assert(ancestors[len(ancestors)-1].Name, qt.Equals, instances[0].Name)
		}
	})
	c.Run("sends to instances that report", func(c *qt.C) {
		state := stateOf(instances, 1)
		state.HandleReport(time.Second, Report{From: instances[9]})
		c.Assert(receiverNames(state.Receivers(time.Second, false)), qt.DeepEquals, []id.Instance{"i03", "i04", "i09"})
	})
	c.Run("has a relay also send to the children of its ancestors", func(c *qt.C) {
		c.Assert(receiverNames(stateOf(instances, 1).Receivers(0, true)), qt.DeepEquals, []id.Instance{"i02", "i03", "i04"})
	})
	c.Run("sends to a lower ranked relay, so that it yields", func(c *qt.C) {
		state := stateOf(instances, 1)
		state.HandleUpdate(time.Second, Update{From: instances[8], Relay: true})
		c.Assert(receiverNames(state.Receivers(time.Second, false)), qt.DeepEquals, []id.Instance{"i03", "i04", "i08"})
	})
}

func TestUpstream(t *testing.T) {
	c := qt.New(t)
	instances := rankedInstances(10)
	upstream := func(state *State, now time.Duration) id.Instance {
		found, _ := state.Upstream(now)
		return found.Name
	}
	c.Run("is the parent", func(c *qt.C) {
		state := stateOf(instances, 9)
		state.HandleUpdate(time.Second, Update{From: instances[0], Relay: true, Connected: true})
		state.HandleUpdate(time.Second, Update{From: instances[4], Connected: true})
		c.Assert(upstream(state, time.Second), qt.Equals, id.Instance("i04"))
	})
	c.Run("is another connected instance if the parent is silent", func(c *qt.C) {
		state := stateOf(instances, 9)
		state.HandleUpdate(time.Second, Update{From: instances[4], Connected: true})
		state.HandleUpdate(3*time.Second, Update{From: instances[1], Connected: true})
		c.Assert(upstream(state, 3*time.Second), qt.Equals, id.Instance("i01"))
	})
	c.Run("is no instance without a connection to the relay", func(c *qt.C) {
		state := stateOf(instances, 9)
		state.HandleUpdate(time.Second, Update{From: instances[4]})
		c.Assert(upstream(state, time.Second), qt.Equals, id.Instance(""))
	})
	c.Run("is no lower ranked instance unless it is a relay, which excludes cycles", func(c *qt.C) {
		state := stateOf(instances, 3)
		state.HandleUpdate(time.Second, Update{From: instances[9], Connected: true})
		c.Assert(upstream(state, time.Second), qt.Equals, id.Instance(""))
		state.HandleUpdate(time.Second, Update{From: instances[9], Connected: true, Relay: true})
		c.Assert(upstream(state, time.Second), qt.Equals, id.Instance("i09"))
	})
	c.Run("is no leaving instance", func(c *qt.C) {
		state := stateOf(instances, 9)
		state.HandleUpdate(time.Second, Update{From: instances[4], Connected: true})
		state.HandleUpdate(time.Second, Update{From: instances[4], Connected: true, Leaving: true})
		c.Assert(upstream(state, time.Second), qt.Equals, id.Instance(""))
	})
}

func TestBetterRelay(t *testing.T) {
	c := qt.New(t)
	instances := rankedInstances(4)
	state := stateOf(instances, 1)
	state.HandleUpdate(time.Second, Update{From: instances[2], Relay: true, Connected: true})
	c.Assert(state.HasBetterRelay(time.Second), qt.IsFalse)
	state.HandleUpdate(time.Second, Update{From: instances[0], Connected: true})
	c.Assert(state.HasBetterRelay(time.Second), qt.IsTrue)
	c.Assert(state.HasBetterRelay(3*time.Second), qt.IsFalse)
}
