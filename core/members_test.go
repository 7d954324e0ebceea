package core

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/membership"
)

func TestDeadMembersAreForgotten(t *testing.T) {
	c := qt.New(t)
	state := stateAfterRolls(c, 5)
	gone := membership.Record{Member: id.Member{Instance: "morbegno-1", Incarnation: 1}, Domain: "morbegno"}
	state.handleMemberUp(gone)
	state.handleMemberDown(gone)
	state.now = state.now.Add(_deadMemberRetention)
	c.Run("kept while a view contains them", func(c *qt.C) {
		state.views["morbegno"] = epoch.View{Domain: "morbegno", Number: 1, Members: []id.Member{gone.Member}}
		state.expireDeadMembers()
		c.Assert(state.isDown(gone.Member), qt.IsTrue)
	})
	c.Run("dropped once no view contains them", func(c *qt.C) {
		state.views["morbegno"] = epoch.View{Domain: "morbegno", Number: 2}
		state.expireDeadMembers()
		c.Assert(state.isDown(gone.Member), qt.IsFalse)
		c.Assert(state.records, qt.HasLen, 1)
	})
}
