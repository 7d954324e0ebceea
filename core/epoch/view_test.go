package epoch_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

func TestPairIsFirstTwoMembersOfOrder(t *testing.T) {
	c := qt.New(t)
	view := newView(17)
	for slot := range id.Slot(500) {
		hash := epoch.HashSlot("chiosco", slot)
		order := view.Order(hash)
		c.Assert(view.Pair(hash), qt.Equals, epoch.Pair{Owner: order[0], RunnerUp: order[1]})
	}
}

func TestRunnerUpTakesOverSlotsOfLostMember(t *testing.T) {
	c := qt.New(t)
	view := newView(17)
	// Domain and Number do not affect ownership.
	remaining := epoch.View{Members: view.Members[1:]}
	for slot := range id.Slot(500) {
		hash := epoch.HashSlot("chiosco", slot)
		before := view.Pair(hash)
		after := remaining.Pair(hash)
		if before.Owner == view.Members[0] {
			c.Assert(after.Owner, qt.Equals, before.RunnerUp)
			continue
		}
		c.Assert(after.Owner, qt.Equals, before.Owner)
	}
}

func newView(size int) epoch.View {
	view := epoch.View{Domain: "morbegno", Number: 1}
	for index := range size {
		member := id.Member{Instance: id.Instance(fmt.Sprintf("morbegno-%d", index)), Incarnation: 1}
		view.Members = append(view.Members, member)
	}
	return view
}
