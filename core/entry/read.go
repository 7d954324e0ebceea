package entry

import (
	"time"

	"azureshift/core/catalog"
	"azureshift/core/fleet"
	"azureshift/core/route"
	"azureshift/core/store"
)

// reading is the state of reads from the store.
type reading struct {
	// active says that this instance is the follower. source is the best ranked follower whose updates have arrived, the
	// last of them at sourceReceivedAt.
	active           bool
	source           catalog.Instance
	sourceReceivedAt time.Duration
	// pending says that a List or Follow is in progress, and wait how long the Follow may wait for a change.
	pending bool
	wait    time.Duration
	// confirmedAt is when the instance's state was last known to be the newest.
	confirmedAt time.Duration
	// resumedAt is when the end of the last suspension of this instance was noticed, and suspended how long that took. The
	// clock did not count it.
	resumedAt time.Duration
	suspended time.Duration
	// disruptedAt is the time of the last store disruption that this instance or its follower knows of.
	disruptedAt time.Duration
	// disruptionPresumed says that disruptedAt is the startup of this instance, as nothing is known of the time before.
	disruptionPresumed bool
	storeLost          bool
	failures           int
	retryAt            time.Duration
	// relist says that the changes since the known revision do not suffice, so that the store must be listed again.
	relist bool
}

func (state *State) listStore() {
	state.reading.pending, state.reading.relist = true, false
	limits := state.readLimits()
	// There is nothing else to ask while a page is on its way over a slow link.
	limits.NewSilence, limits.Total = state.readTime(_pageSilenceFraction), state.readTime(1)
	state.emit(List{Limits: limits})
}

// readLimits returns how long a read of the store may take, so that another source can be asked within the strictest
// limit.
func (state *State) readLimits() store.ReadLimits {
	return store.ReadLimits{
		OpenSilence: state.readTime(_openSilenceFraction),
		NewSilence:  state.readTime(_newSilenceFraction),
		Total:       state.readTime(_readFraction),
	}
}

// readTime returns a fraction of the strictest limit for a part of a read.
func (state *State) readTime(fraction float64) time.Duration {
	return max(portion(state.config.Limits.strictest(), fraction), _minReadTime)
}

// maxHistory returns the size in bytes from which an answer with changes takes longer than a listing.
func (state *State) maxHistory() int64 {
	registrations := len(state.catalog.Servers()) * _registrationSize
	return int64(max(registrations+len(state.catalog.Routes().Routes)*_routeSize, _minHistorySize))
}

// followStore reads the changes since the known revision. The follower waits for a change. An instance whose updates
// are late does not, as part of its limit has already passed.
func (state *State) followStore() {
	var wait time.Duration
	if state.reading.active {
		wait = max(portion(state.config.Limits.strictest(), _followWaitFraction), _minFollowWait)
	}
	state.reading.pending, state.reading.wait = true, wait
	state.emit(Follow{
		After: state.catalog.Revision(), Wait: wait, MaxSize: state.maxHistory(), Limits: state.readLimits(),
	})
}

// readStore reads the changes since the known revision, or lists the store if that is not possible.
func (state *State) readStore() {
	if state.reading.relist || state.catalog.Revision() == 0 {
		state.listStore()
		return
	}
	state.followStore()
}

// readStoreIfDue reads the store if this instance is the follower, or if the follower's updates are late.
func (state *State) readStoreIfDue() {
	if state.reading.pending || state.now < state.reading.retryAt {
		return
	}
	if state.reading.active || state.age() >= state.directReadAge() {
		state.readStore()
	}
}

// directReadAge returns the age at which this instance's state is old enough to read the store itself. It is lowest for
// the best ranked relay, then come the other relays, then other instances.
func (state *State) directReadAge() time.Duration {
	limit := state.config.Limits.strictest()
	rank := state.fleet.RelayRank(state.now)
	if !state.relaying.active {
		rank += 1 + state.fleet.DomainRank(state.now)
	}
	return min(portion(limit, _directReadFraction)+rankDelay(rank), portion(limit, _maxDirectReadFraction))
}

// rankDelay returns how much later than the best ranked instance an instance of the given rank takes over a duty.
func rankDelay(rank int) time.Duration {
	return time.Duration(rank) * _rankDelay
}

func (state *State) handleListed(event Listed) {
	state.readSucceeded()
	first := state.catalog.Revision() == 0
	if first {
		state.presumeDisruption()
	}
	state.applyListing(event.Entries, event.Revision)
	state.configure(event.Config)
	state.confirm(event.RequestedAt)
	pause := portion(state.config.Limits.strictest(), _batchFraction)
	if first {
		// Messages of an existing follower arrive in this time.
		pause = _initialFollowDelay
		state.sendReports()
	}
	state.claimFollower(event.RequestedAt + pause)
}

// applyListing applies a listing of the store that this instance or another one has read.
func (state *State) applyListing(entries []catalog.Entry, revision store.Revision) {
	known := state.catalog.Revision()
	changed := state.catalog.ApplyListing(state.interval(), entries, revision)
	switch {
	case known == 0:
		state.noteAndApplyFirst(changed)
	case revision < known:
		state.emit(Note{Kind: NoteListingOld, Age: state.age(), Revision: revision, Known: known})
	case revision.Era() > known.Era():
		state.handleRestored(known)
		state.note(changed)
		state.applyEntries(changed)
	default:
		if state.massLapse(changed) {
			state.noteDisruption()
		}
		state.noteAndApply(changed)
	}
}

// handleRestored handles that the store was restored from a backup: registrations that it lacks may be written again.
func (state *State) handleRestored(known store.Revision) {
	revision := state.catalog.Revision()
	state.emit(Note{Kind: NoteStoreRestored, Age: state.age(), Revision: revision, Known: known})
	state.noteDisruption()
	lease, registered := state.catalog.Lease(state.config.Self.Name)
	state.registration.handleRestored(revision.Era(), registered && lease == state.registration.grant.Lease,
		state.now+time.Duration(state.config.Random()*float64(_reregisterSpread)))
}

func (state *State) handleFollowed(event Followed) {
	state.readSucceeded()
	if event.Revision > event.After && event.Changes == 0 {
		// A revision that advances without a change of any key means that changes are missing.
		state.reading.relist = true
		state.readStore()
		return
	}
	entries, ok := state.catalog.ApplyChanges(state.interval(), event.After, event.Entries, event.Revision)
	if !ok {
		state.reading.relist = true
	}
	if event.At-event.RequestedAt > state.reading.wait+_lateAnswerMargin || state.massLapse(entries) {
		state.noteDisruption()
	}
	state.noteAndApply(entries)
	state.configure(event.Config)
	state.confirm(event.RequestedAt)
	state.claimFollower(event.RequestedAt + portion(state.config.Limits.strictest(), _batchFraction))
}

// presumeDisruption assumes a store disruption at the startup of this instance, as there may have been one shortly
// before without the instance knowing.
func (state *State) presumeDisruption() {
	state.reading.disruptedAt, state.reading.disruptionPresumed = state.now, true
}

// noteDisruption records a store disruption now.
func (state *State) noteDisruption() {
	state.reading.disruptedAt, state.reading.disruptionPresumed = state.now, false
}

// massLapse reports whether changes that the catalog has applied removed most of the registrations of servers that were
// not leaving. Servers announce that they leave before they end, and a crashed one is found dead by a probe, so these
// registrations have most likely lapsed because of the store.
func (state *State) massLapse(entries []catalog.Entry) bool {
	lapsed, registered := 0, 0
	for _, entry := range entries {
		record, ok := state.catalog.Server(entry.MissingServer)
		if entry.MissingServer != "" && ok && record.Missing && !record.State.Leaving() {
			lapsed++
		}
	}
	if lapsed < _minMassLapse {
		return false
	}
	for _, record := range state.catalog.Servers() {
		if !record.Missing && !record.State.Leaving() {
			registered++
		}
	}
	return lapsed > registered
}

func (state *State) readSucceeded() {
	state.reading.pending = false
	state.reading.failures, state.reading.retryAt = 0, 0
	if state.reading.storeLost {
		state.reading.storeLost = false
		state.noteDisruption()
		state.emit(Note{Kind: NoteStoreBack, Age: state.age(), Revision: state.catalog.Revision()})
	}
}

// handleReadFailed schedules a retry with exponential backoff. A compacted history, or one that cannot be read, is not
// a failure of the store: it leads to a new listing at once.
func (state *State) handleReadFailed(event ReadFailed) {
	state.reading.pending = false
	if event.HistoryLost || event.Unreadable {
		state.reading.relist = true
		state.readStore()
		return
	}
	state.noteDisruption()
	if !state.reading.storeLost {
		state.reading.storeLost = true
		state.emit(Note{Kind: NoteStoreLost, Age: state.age(), Revision: state.catalog.Revision()})
	}
	pause := backoff(state.reading.failures, state.config.Random())
	state.reading.failures++
	state.reading.retryAt = state.now + pause
	if state.catalog.Revision() > 0 && state.age() > portion(state.config.Limits.strictest(), _maxDirectReadFraction) {
		// The missed changes may be older than the history that the store keeps.
		state.reading.relist = state.reading.relist || state.age() > _relistAge
	}
}

// _relistAge is the age of the state from which the store is listed again after a failure, as it may have dropped the
// changes since.
const _relistAge = 15 * time.Second

// claimFollower makes this instance the follower after it has read the store, unless updates from another one arrive.
// The next read waits until nextRead, so that changes in quick succession are read in one call.
func (state *State) claimFollower(nextRead time.Duration) {
	if state.stopping || !state.reading.active && state.reading.hasOtherSource(state.now, state.config.Self) {
		return
	}
	if !state.reading.active {
		state.reading.active = true
		state.emit(Note{Kind: NoteFollower, Instance: state.config.Self.Name, Value: "Begun", Age: state.age()})
	}
	state.reading.noteSource(state.now, state.config.Self)
	state.reading.retryAt = nextRead
	state.readStoreIfDue()
}

// noteSource records the follower from which updates come. If there are several, it keeps the best ranked one, which is
// named to other instances so that the rest yield.
func (reading *reading) noteSource(now time.Duration, source catalog.Instance) {
	if source.Name == reading.source.Name || fleet.RanksAbove(source, reading.source) ||
		now-reading.sourceReceivedAt > _sourceTimeout {
		reading.source, reading.sourceReceivedAt = source, now
	}
}

// hasOtherSource reports whether updates come from a follower other than self.
func (reading *reading) hasOtherSource(now time.Duration, self catalog.Instance) bool {
	return reading.source.Name != "" && reading.source.Name != self.Name && now-reading.sourceReceivedAt <= _sourceTimeout
}

// yieldFollower ends this instance's role as the follower if there is another one with fresh state and either that one
// ranks better or this one cannot read the store.
func (state *State) yieldFollower(source catalog.Instance, age time.Duration) {
	fresh := age <= portion(state.config.Limits.strictest(), _directReadFraction)
	if !fresh || source.Name == state.config.Self.Name {
		return
	}
	if state.reading.active && (fleet.RanksAbove(source, state.config.Self) || state.reading.failures > 0) {
		state.reading.active = false
		state.reading.source, state.reading.sourceReceivedAt = source, state.now
		state.emit(Note{
			Kind: NoteFollower, Instance: state.config.Self.Name, Value: "Ended", Cause: string(source.Name),
			Age: state.age(),
		})
	}
}

// noteAndApply logs changes of the catalog and applies them.
func (state *State) noteAndApply(entries []catalog.Entry) {
	state.note(entries)
	state.markAlive(entries)
	state.applyEntries(entries)
}

func (state *State) note(entries []catalog.Entry) {
	for _, entry := range entries {
		state.emit(state.describe(entry))
	}
}

// noteAndApplyFirst logs the first state of the store and applies it. The log gets only the first evacuations and the
// number of registrations: an instance with little processor time would take longer to write a line for each than to
// read the whole listing.
func (state *State) noteAndApplyFirst(entries []catalog.Entry) {
	note := Note{Kind: NoteListed, Age: state.age(), Revision: state.catalog.Revision()}
	evacuations := 0
	for _, entry := range entries {
		switch {
		case entry.Server != nil:
			note.Servers++
		case entry.Instance != nil:
			note.Instances++
		case entry.Evacuated != "" && evacuations < _maxFirstEvacuations:
			evacuations++
			state.emit(state.describe(entry))
		}
	}
	state.emit(note)
	state.markAlive(entries)
	state.applyEntries(entries)
}

// markAlive uses dead servers again that have registered. A registration from a backup of the store is no such sign.
func (state *State) markAlive(entries []catalog.Entry) {
	for _, entry := range entries {
		if entry.Server != nil {
			state.applyConditionChanges(state.detector.HandleRegistration(entry.Server.ID))
		}
	}
}

// applyEntries updates the rest of the state after changes of the catalog.
func (state *State) applyEntries(entries []catalog.Entry) {
	registered := false
	for _, entry := range entries {
		state.publishing.changed, state.relaying.changed = true, true
		switch {
		case entry.MissingServer != "":
			state.requestProbe(entry.MissingServer)
		case entry.Instance != nil:
			registered = true
		case entry.MissingInstance != "":
			registered = true
			if entry.MissingInstance == state.config.Self.Name {
				state.registration.markEnded()
			}
		}
	}
	if registered {
		instances := state.catalog.Instances()
		state.fleet.Register(instances)
		state.slowStarting.updateMembership(state.now, state.slowStartFreshness(), instances)
	}
}

func (state *State) configure(config *route.Config) {
	if config != nil && state.catalog.ApplyConfig(*config) {
		state.noteConfig()
	}
}

// noteConfig logs a new configuration and has it published and sent to others.
func (state *State) noteConfig() {
	state.publishing.changed, state.publishing.configChanged, state.relaying.changed = true, true, true
	state.emit(Note{Kind: NoteConfig, Age: state.age(), Version: state.catalog.Routes().Version})
}

// confirm records that the state was the newest at a time, unless this instance lacks a configuration: the store's
// revision does not show that. A time before the last suspension is longer ago than the clock shows: answers and
// messages that were on their way are delivered when the machine resumes.
func (state *State) confirm(asOf time.Duration) {
	if state.missingConfig() != 0 {
		return
	}
	if state.reading.resumedAt > 0 && asOf < state.reading.resumedAt {
		asOf -= state.reading.suspended
	}
	if asOf > state.reading.confirmedAt {
		state.reading.confirmedAt = asOf
		state.relaying.refreshed = true
	}
	state.publishing.refreshed = true
}

// backoff returns an exponential backoff with jitter: between half and all of a pause that doubles with each failure.
func backoff(failures int, random float64) time.Duration {
	pause := _minBackoff
	for ; failures > 0 && pause < _maxBackoff; failures-- {
		pause *= 2
	}
	pause = min(pause, _maxBackoff)
	return pause/2 + time.Duration(random*float64(pause/2))
}
