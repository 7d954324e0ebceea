package placement

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/core/flow"
	"azureshift/core/id"
)

func TestTargetsGetTheirShareWithinOneSlot(t *testing.T) {
	c := qt.New(t)
	for _, targets := range []int{1, 4, 14, 100} {
		plan := newPlan(serviceOf(targets), targetNumberOf)
		share := float64(len(plan.homes)) / float64(targets)
		for target, slots := range slotCounts(plan) {
			c.Assert(float64(slots) > share-1 && float64(slots) < share+1, qt.IsTrue, qt.Commentf("%d: %d", target, slots))
		}
	}
}

func TestWeightsShareInProportion(t *testing.T) {
	c := qt.New(t)
	service := serviceOf(3)
	service.Targets[0].Connections *= 2
	slots := slotCounts(newPlan(service, targetNumberOf))
	c.Assert(slots[0], qt.Equals, 2048)
	c.Assert(slots[1], qt.Equals, 1024)
}

func TestChangeMovesFewSlots(t *testing.T) {
	c := qt.New(t)
	for _, targets := range []int{4, 14, 30} {
		before := newPlan(serviceOf(targets), targetNumberOf)
		after := newPlan(serviceOf(targets+1), targetNumberOf)
		moved := 0
		for slot := range before.homes {
			if before.homeOf(id.Slot(slot)) != after.homeOf(id.Slot(slot)) {
				moved++
			}
		}
		least := len(before.homes) / (targets + 1)
		c.Logf("%d targets: %d slots moved, at least %d", targets, moved, least)
		c.Assert(moved <= 2*least, qt.IsTrue)
	}
}

func slotCounts(plan *plan) map[flow.Target]int {
	counts := map[flow.Target]int{}
	for slot := range plan.homes {
		counts[plan.homeOf(id.Slot(slot))]++
	}
	return counts
}

func serviceOf(targets int) bundle.Service {
	service := bundle.Service{Name: "chiosco"}
	for index := range targets {
		service.Targets = append(service.Targets, bundle.Target{
			Name:        id.Target(fmt.Sprintf("chiosco-%03d", index)),
			Connections: 4300,
			Mode:        bundle.ModeActive,
		})
	}
	return service
}

func targetNumberOf(name id.Target) flow.Target {
	var number flow.Target
	_, _ = fmt.Sscanf(string(name), "chiosco-%d", &number)
	return number
}

func BenchmarkPlan(b *testing.B) {
	for _, targets := range []int{4, 14, 100} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			for range b.N {
				newPlan(serviceOf(targets), targetNumberOf)
			}
		})
	}
}
