package membership

import (
	"fmt"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
)

// Violation is the error for an invariant of State that does not hold.
type Violation struct {
	Invariant string
	Instance  id.Instance
}

func (violation Violation) Error() string {
	return fmt.Sprintf("checking the member list: %s: %s: restart this instance and report the fault",
		violation.Instance, violation.Invariant)
}

// Check returns a Violation if an invariant does not hold. It visits every member.
func (state *State) Check() error {
	listed := len(state.ownDomain.members)
	for _, domain := range state.otherDomains {
		listed += len(domain.members)
	}
	if listed != len(state.members) {
		return eris.Wrap(Violation{Invariant: "member count differs from the sum over all domains"}, "")
	}
	for instance, member := range state.members {
		if member.record.ended() {
			return eris.Wrap(Violation{Invariant: "an incarnation that has ended is a member", Instance: instance}, "")
		}
		ended, known := state.tombstones.byInstance[instance]
		if known && !member.record.Supersedes(ended) {
			return eris.Wrap(Violation{Invariant: "a member does not supersede its tombstone", Instance: instance}, "")
		}
	}
	if len(state.members) > state.config.MaxMembers || len(state.tombstones.byInstance) > state.config.MaxTombstones {
		return eris.Wrap(Violation{Invariant: "more members or tombstones than the configured limits"}, "")
	}
	return nil
}
