package rollout

import (
	"azureshift/bundle"
	"azureshift/core/id"
)

// Effect is an action that the follower requests.
type Effect interface{ effect() }

// FetchHead requests the latest head of a source. A member answers with a delta on version Base if it can, the platform
// always with the whole head.
type FetchHead struct {
	From Source
	Base id.Version
}

// FetchPart requests a part from a source.
type FetchPart struct {
	Hash bundle.Hash
	From Source
}

// Apply puts a bundle in force. The bundle and the head share memory with the follower and must not be modified.
type Apply struct {
	Bundle bundle.Bundle
	Head   bundle.Head
}

// AdvertiseHead advertises to other instances that this instance has the head in force.
type AdvertiseHead struct {
	Head bundle.Head
}

// WatchHead starts or stops watching the platform's head.
type WatchHead struct {
	Enabled bool
}

// HeadRefused reports that a head, or the bundle that it describes, is refused. The bundle in force stays. A head is
// not reported again while it is among the heads reported last.
type HeadRefused struct {
	Version id.Version
	From    Source
	// Err is a *bundle.HeadError, a *bundle.PartError, a bundle.FaultList or a *ConflictError.
	Err error
}

// InvariantViolated reports that an invariant is violated.
type InvariantViolated struct {
	Violation Violation
}

var (
	_ Effect = FetchHead{}
	_ Effect = FetchPart{}
	_ Effect = Apply{}
	_ Effect = AdvertiseHead{}
	_ Effect = WatchHead{}
	_ Effect = HeadRefused{}
	_ Effect = InvariantViolated{}
)

func (FetchHead) effect()         {}
func (FetchPart) effect()         {}
func (Apply) effect()             {}
func (AdvertiseHead) effect()     {}
func (WatchHead) effect()         {}
func (HeadRefused) effect()       {}
func (InvariantViolated) effect() {}
