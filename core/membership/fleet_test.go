package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/membership"
	experiment "azureshift/experiment/membership"
)

// fleet counts the effects that the instances of a network emit.
type fleet struct {
	*experiment.Network
	c         *qt.C
	down      map[id.Member]int
	up        map[id.Member]int
	suspected int
	cut       map[id.Domain]int
	healed    map[id.Domain]int
	departing int
	announced int
	lastDown  time.Time
	// downBy counts the Down effects of each instance.
	downBy map[*experiment.Node]int
}

func newFleet(c *qt.C, seed uint64, size, domains int, disabled membership.Disabled) *fleet {
	fleet := observe(experiment.NewFleet(seed, size, domains, disabled))
	fleet.c = c
	c.Cleanup(func() {
		if c.Failed() {
			c.Logf("seed %d, %d members, %d domains", seed, size, domains)
		}
	})
	return fleet
}

func observe(network *experiment.Network) *fleet {
	fleet := &fleet{Network: network}
	fleet.resetCounts()
	fleet.OnEffect = fleet.observe
	return fleet
}

func (fleet *fleet) resetCounts() {
	fleet.down, fleet.up = map[id.Member]int{}, map[id.Member]int{}
	fleet.cut, fleet.healed = map[id.Domain]int{}, map[id.Domain]int{}
	fleet.downBy = map[*experiment.Node]int{}
	fleet.suspected, fleet.departing, fleet.announced = 0, 0, 0
}

func (fleet *fleet) observe(node *experiment.Node, effect membership.Effect) {
	switch effect := effect.(type) {
	case membership.Down:
		fleet.down[effect.Record.Member]++
		fleet.downBy[node]++
		fleet.lastDown = fleet.Now
	case membership.Up:
		fleet.up[effect.Record.Member]++
	case membership.Suspected:
		fleet.suspected++
	case membership.DomainCut:
		fleet.cut[effect.Domain]++
	case membership.DomainHealed:
		fleet.healed[effect.Domain]++
	case membership.LeaveAnnounced:
		fleet.departing++
	case membership.AnnouncementDone:
		fleet.announced++
	}
}

func (fleet *fleet) assertAgreement() {
	fleet.c.Helper()
	fleet.c.Assert(fleet.checkAgreement(), qt.IsNil)
}

// checkAgreement returns an error unless the member list of every running instance is exactly the running instances.
func (fleet *fleet) checkAgreement() error {
	running := 0
	for _, node := range fleet.Nodes {
		if !node.Killed {
			running++
		}
	}
	for _, node := range fleet.Nodes {
		if node.Killed {
			continue
		}
		if err := node.State.Check(); err != nil {
			return err
		}
		if held := len(node.State.Members()); held != running {
			return fmt.Errorf("%v has %d members, but %d are running", node.Record.Member, held, running)
		}
		for _, other := range fleet.Nodes {
			record, _ := node.State.Lookup(other.Record.Member.Instance)
			if !other.Killed && record.Member != other.Record.Member {
				return fmt.Errorf("%v has %v instead of %v", node.Record.Member, record.Member, other.Record.Member)
			}
		}
	}
	return nil
}

func (fleet *fleet) cutDomain(domain id.Domain) {
	fleet.Blocked = func(from, to *experiment.Node) bool {
		return (from.Record.Domain == domain) != (to.Record.Domain == domain)
	}
}

func (fleet *fleet) cutLink(left, right *experiment.Node) {
	fleet.Blocked = func(from, to *experiment.Node) bool {
		return (from == left && to == right) || (from == right && to == left)
	}
}

func TestMessageLossKillsNoMember(t *testing.T) {
	runs := []struct {
		size, domains int
		span          time.Duration
	}{{16, 3, 20 * time.Minute}, {300, 3, 10 * time.Second}}
	for _, run := range runs {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			fleet := newFleet(c, 11, run.size, run.domains, membership.Disabled{})
			fleet.LossRate, fleet.DuplicateRate = 0.05, 0.02
			fleet.Run(run.span)
			c.Assert(fleet.down, qt.HasLen, 0)
			fleet.assertAgreement()
		})
	}
}

func TestBytesPerMemberStayFlat(t *testing.T) {
	c := qt.New(t)
	perSecond := func(size int) float64 {
		fleet := newFleet(c, 12, size, 3, membership.Disabled{})
		fleet.Run(3 * time.Second)
		fleet.MeasureBytes = true
		const span = 3
		fleet.Run(span * time.Second)
		return float64(fleet.BytesSent) / float64(size) / span
	}
	small, large := perSecond(16), perSecond(300)
	c.Logf("%.0f and %.0f B/s", small, large)
	c.Assert(large < 2000, qt.IsTrue)
	c.Assert(large < 1.2*small, qt.IsTrue)
}
