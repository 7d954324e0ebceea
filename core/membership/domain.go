package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"azureshift/core/id"
)

// domain holds the members of one failure domain, without this instance.
type domain struct {
	name id.Domain
	// members is sorted by name.
	members []*member
	digest  uint64
	// lastReceived is when the last message came directly from a member, lastProbed when one was last probed.
	lastReceived time.Time
	lastProbed   time.Time
	failedProbes int
	cut          bool
	// differsSince is the time since which the digests in messages from the domain have differed from the local one.
	differsSince time.Time
}

// domainOf returns the domain with the name and creates it if it is new.
func (state *State) domainOf(name id.Domain) *domain {
	if name == state.ownDomain.name {
		return state.ownDomain
	}
	index, found := slices.BinarySearchFunc(state.otherDomains, name, func(domain *domain, name id.Domain) int {
		return strings.Compare(string(domain.name), string(name))
	})
	if !found {
		state.otherDomains = slices.Insert(state.otherDomains, index, &domain{name: name, lastReceived: state.now})
	}
	return state.otherDomains[index]
}

// after returns the index of the first member whose name is greater than the given one.
func (domain *domain) after(instance id.Instance) int {
	index, found := slices.BinarySearchFunc(domain.members, instance, compareName)
	if found {
		index++
	}
	return index
}

func (domain *domain) add(member *member) {
	index, found := slices.BinarySearchFunc(domain.members, member.record.Member.Instance, compareName)
	if found {
		return
	}
	domain.members = slices.Insert(domain.members, index, member)
	domain.digest ^= fingerprint(member.record.Member, member.leaving)
}

func (domain *domain) remove(member *member) {
	index, found := slices.BinarySearchFunc(domain.members, member.record.Member.Instance, compareName)
	if !found {
		return
	}
	domain.members = slices.Delete(domain.members, index, index+1)
	domain.digest ^= fingerprint(member.record.Member, member.leaving)
}

func compareName(member *member, name id.Instance) int {
	return cmp.Compare(member.record.Member.Instance, name)
}

// digest returns the digest of the members of all domains.
func (state *State) digest() uint64 {
	digest := state.ownDomain.digest
	for _, domain := range state.otherDomains {
		digest ^= domain.digest
	}
	return digest
}

// recordReceived records that a message came directly from a member of the domain.
func (state *State) recordReceived(domain *domain) {
	state.lastReceived = state.now
	domain.lastReceived = state.now
	domain.failedProbes = 0
	if domain.cut {
		domain.cut = false
		state.emit(DomainHealed{Domain: domain.name})
	}
}

// detectCutDomains reports domains that were silent for CutAfter and in which several probes in a row have failed.
func (state *State) detectCutDomains() {
	const minFailedProbes = 3
	for _, domain := range state.otherDomains {
		silent := state.now.Sub(domain.lastReceived) >= state.config.CutAfter
		if domain.cut || !silent || domain.failedProbes < minFailedProbes || len(domain.members) == 0 {
			continue
		}
		domain.cut = true
		state.emit(DomainCut{Domain: domain.name})
	}
}

// leastRecentDomains returns the non-empty domains whose last message or probe is the longest ago.
func (state *State) leastRecentDomains(limit int) []*domain {
	chosen := make([]*domain, 0, limit+1)
	for _, candidate := range state.otherDomains {
		if len(candidate.members) == 0 {
			continue
		}
		index, _ := slices.BinarySearchFunc(chosen, candidate, compareLastContact)
		chosen = slices.Insert(chosen, index, candidate)
		chosen = chosen[:min(limit, len(chosen))]
	}
	return chosen
}

func compareLastContact(left, right *domain) int {
	return cmp.Or(left.lastContact().Compare(right.lastContact()), cmp.Compare(left.name, right.name))
}

func (domain *domain) lastContact() time.Time {
	if domain.lastProbed.After(domain.lastReceived) {
		return domain.lastProbed
	}
	return domain.lastReceived
}

// randomMember returns a random member of the domain, or nil if there is none.
func (state *State) randomMember(domain *domain) *member {
	if len(domain.members) == 0 {
		return nil
	}
	return domain.members[state.config.Random.IntN(len(domain.members))]
}

// randomOtherMember returns a random member of a random other domain, or nil if there is none.
func (state *State) randomOtherMember() *member {
	if len(state.otherDomains) == 0 {
		return nil
	}
	return state.randomMember(state.otherDomains[state.config.Random.IntN(len(state.otherDomains))])
}
