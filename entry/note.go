package entry

import (
	core "azureshift/core/entry"
	"azureshift/event"
)

// _noteEvents maps each kind of note to the event that is logged for it.
var _noteEvents = map[core.NoteKind]event.Event{
	core.NoteServer:        event.ServerChanged,
	core.NoteCondition:     event.ServerJudged,
	core.NoteConfig:        event.ConfigApplied,
	core.NoteConfigMissing: event.ConfigMissing,
	core.NoteConfigLost:    event.ConfigLost,
	core.NoteRelay:         event.RelayChanged,
	core.NoteFollower:      event.FollowerChanged,
	core.NoteInstance:      event.InstanceChanged,
	core.NoteStoreLost:     event.StoreLost,
	core.NoteStoreBack:     event.StoreBack,
	core.NoteStale:         event.KnowledgeStale,
	core.NoteFresh:         event.KnowledgeFresh,
	core.NoteResumed:       event.Suspended,
	core.NoteCollision:     event.CookieCollision,
	core.NoteListed:        event.StoreListed,
	core.NoteListingOld:    event.ListingIgnored,
	core.NoteStoreRestored: event.StoreRestored,
	core.NoteServerSlow:    event.ServerSlow,
	core.NoteServerUsual:   event.ServerUsual,
	core.NoteEvacuated:     event.DomainEvacuated,
	core.NoteReopened:      event.DomainReopened,
}

// logNote logs a note of the control state.
func (daemon *Daemon) logNote(note core.Note) {
	fields := event.Fields{"AgeMs": note.Age.Milliseconds()}
	set := func(name, value string) {
		if value != "" {
			fields[name] = value
		}
	}
	set("Server", string(note.Server))
	set("Peer", string(note.Instance))
	set("Value", note.Value)
	set("Cause", note.Cause)
	if note.Kind == core.NoteListed {
		fields["Servers"], fields["Instances"] = note.Servers, note.Instances
	}
	if note.Kind == core.NoteServerSlow || note.Kind == core.NoteServerUsual {
		fields["Service"], fields["ServerDomain"] = note.Slowness.Service, note.Domain
		fields["LatencyMs"], fields["UsualMs"] = note.Slowness.Latency.Milliseconds(), note.Slowness.Usual.Milliseconds()
		fields["Answers"], fields["SinceMs"] = note.Slowness.Answers, note.Slowness.Since.Milliseconds()
	}
	if note.Kind == core.NoteEvacuated || note.Kind == core.NoteReopened {
		fields["ServerDomain"] = note.Domain
	}
	if note.Version > 0 {
		fields["Version"] = note.Version
	}
	if note.Revision > 0 {
		fields["Revision"], fields["Era"] = note.Revision.Number(), note.Revision.Era()
	}
	if note.Known > 0 {
		fields["KnownRevision"], fields["KnownEra"] = note.Known.Number(), note.Known.Era()
	}
	if note.Kind == core.NoteStoreRestored {
		daemon.metrics.storeRestores.Inc(1)
	}
	daemon.log.Log(_noteEvents[note.Kind], fields)
}
