package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"azureshift/core/id"
)

const (
	// _maxCandidates limits the members that are kept as possible sources.
	_maxCandidates = 64
	// _toleratedFailures is the number of consecutive failures that a member may have before it backs off.
	_toleratedFailures = 2
)

// sources are the members that heads and parts can be fetched from.
type sources struct {
	// domainMembers are the members of the instance's own failure domain, nil until they are known.
	domainMembers map[id.Member]struct{}
	// candidates are the members that advertise a newer version than the one in force, in the order in which they did so
	// first.
	candidates []candidate
}

// candidate is a member that advertises a newer version than the one in force.
type candidate struct {
	from     Source
	version  id.Version
	failures int // consecutive
	// notBefore is when the member may be asked again.
	notBefore time.Time
}

// handleVersion records a version that another member advertises, if it is newer than the one in force.
func (state *State) handleVersion(member id.Member, version id.Version) {
	if version > state.inForce.Version && member != state.config.Self {
		state.sources.recordVersion(member, version)
	}
}

// recordVersion records that a member advertises a version. If the limit of candidates is reached and none can be
// evicted, the member is left out.
func (sources *sources) recordVersion(member id.Member, version id.Version) {
	from := Source{Member: member}
	if index := sources.indexOf(from); index >= 0 {
		sources.candidates[index].version = max(sources.candidates[index].version, version)
		return
	}
	if len(sources.candidates) == _maxCandidates && !sources.evict(version) {
		return
	}
	sources.candidates = append(sources.candidates, candidate{from: from, version: version})
}

// evict removes one candidate with a version below the given one or with too many failures, and reports whether there
// was one.
func (sources *sources) evict(version id.Version) bool {
	for index, candidate := range sources.candidates {
		if candidate.version < version || candidate.failures > _toleratedFailures {
			sources.candidates = slices.Delete(sources.candidates, index, index+1)
			return true
		}
	}
	return false
}

// pick returns a random member that advertises at least the version, may be asked now and is not the one to avoid.
// Members of the own failure domain take precedence. It reports false if there is no such member.
func (sources *sources) pick(random *rand.Rand, at time.Time, version id.Version, avoid *Source) (Source, bool) {
	var preferred, others []Source
	for _, candidate := range sources.candidates {
		if candidate.version < version || at.Before(candidate.notBefore) || avoid != nil && candidate.from == *avoid {
			continue
		}
		if _, ok := sources.domainMembers[candidate.from.Member]; ok {
			preferred = append(preferred, candidate.from)
			continue
		}
		others = append(others, candidate.from)
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		return Source{}, false
	}
	return preferred[random.IntN(len(preferred))], true
}

// recordFailure counts a failure of a member. After more than _toleratedFailures in a row, the member backs off.
func (sources *sources) recordFailure(config Config, at time.Time, from Source) {
	index := sources.indexOf(from)
	if index < 0 {
		return
	}
	candidate := &sources.candidates[index]
	candidate.failures++
	if candidate.failures > _toleratedFailures {
		candidate.notBefore = at.Add(config.backoff(candidate.failures - _toleratedFailures))
	}
}

// recordSuccess resets the failures of a member.
func (sources *sources) recordSuccess(from Source) {
	if index := sources.indexOf(from); index >= 0 {
		sources.candidates[index].failures = 0
	}
}

// suspend keeps a member from being asked before the given time, and lets evict remove it.
func (sources *sources) suspend(until time.Time, from Source) {
	if index := sources.indexOf(from); index >= 0 {
		sources.candidates[index].failures = _toleratedFailures + 1
		sources.candidates[index].notBefore = until
	}
}

// versionOf returns the version that a member advertises, zero if the member is no candidate.
func (sources *sources) versionOf(from Source) id.Version {
	if index := sources.indexOf(from); index >= 0 {
		return sources.candidates[index].version
	}
	return 0
}

// removeUpTo removes the candidates whose version is not above the version in force.
func (sources *sources) removeUpTo(inForce id.Version) {
	sources.candidates = slices.DeleteFunc(sources.candidates,
		func(candidate candidate) bool { return candidate.version <= inForce })
}

// indexOf returns the index of a member among the candidates, -1 if it is none.
func (sources *sources) indexOf(from Source) int {
	return slices.IndexFunc(sources.candidates, func(candidate candidate) bool { return candidate.from == from })
}
