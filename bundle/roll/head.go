package roll

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/core/id"
	"azureshift/io/platform"
)

const (
	// HeadKey is the key of the head in force.
	HeadKey = "azureshift/Head"

	_partPrefix   = "azureshift/Parts/"
	_recordPrefix = "azureshift/Heads/"
)

// PartKey returns the key of a part.
func PartKey(hash bundle.Hash) string {
	return _partPrefix + hash.String()
}

// record is what a roll writes before it replaces the head: its head and a reference to the preceding head. It protects
// the parts from cleanup. If the answer to a roll was lost, the chain of records shows whether the head in force
// superseded that roll's head or won over it.
type record struct {
	Head    bundle.Head `json:"Head"`
	Follows headRef     `json:"Follows"`
}

type headRef struct {
	Version id.Version    `json:"Version"`
	RollID  bundle.RollID `json:"RollID"`
}

// seenHead is the head as read, with its index for the compare-and-swap.
type seenHead struct {
	head  bundle.Head // version zero if there is none
	index platform.Index
}

func refOf(head bundle.Head) headRef {
	return headRef{Version: head.Version, RollID: head.RollID}
}

func (ref headRef) key() string {
	return fmt.Sprintf("%s%d/%s", _recordPrefix, ref.Version, ref.RollID)
}

// CurrentHead returns the head in force, with version zero if none was rolled yet. It does not verify the signature.
func (roller *Roller) CurrentHead(ctx context.Context) (bundle.Head, error) {
	seen, err := roller.readHead(ctx)
	return seen.head, err
}

// FindHead returns the head of a retained version. If several heads were signed off with that version, it returns the
// one that was in force.
func (roller *Roller) FindHead(ctx context.Context, version id.Version) (bundle.Head, error) {
	current, err := roller.CurrentHead(ctx)
	for err == nil && current.Version > version {
		var found record
		found, err = roller.readRecord(ctx, refOf(current))
		if err != nil || found.Follows.Version == 0 {
			break
		}
		var before record
		before, err = roller.readRecord(ctx, found.Follows)
		current = before.Head
	}
	if err == nil && current.Version != version {
		return bundle.Head{}, &VersionNotStoredError{Version: version}
	}
	return current, err
}

// LoadBundle fetches the parts of a head and assembles its bundle.
func (roller *Roller) LoadBundle(ctx context.Context, head bundle.Head) (bundle.Bundle, error) {
	hashes := make([]bundle.Hash, 0, len(head.Parts))
	for _, ref := range head.Parts {
		hashes = append(hashes, ref.Hash)
	}
	var parts map[bundle.Hash][]byte
	err := roller.retry(ctx, func() error {
		var err error
		parts, err = FetchParts(ctx, roller.config.Store, hashes)
		return err
	})
	if err != nil {
		return bundle.Bundle{}, eris.Wrapf(err, "read the parts of version %d", head.Version)
	}
	return bundle.Assemble(head, parts)
}

func (roller *Roller) readHead(ctx context.Context) (seenHead, error) {
	entry, err := roller.read(ctx, HeadKey)
	if err != nil {
		return seenHead{}, eris.Wrap(err, "read the head in force")
	}
	if entry.Index == 0 {
		return seenHead{}, nil
	}
	head, err := bundle.DecodeHead(entry.Value)
	return seenHead{head: head, index: entry.Index}, err
}

func (roller *Roller) read(ctx context.Context, key string) (platform.Entry, error) {
	var entry platform.Entry
	err := roller.retry(ctx, func() error {
		var err error
		entry, err = roller.config.Store.Get(ctx, key)
		return err
	})
	return entry, err
}

func (roller *Roller) writeRecord(ctx context.Context, record record) error {
	raw, err := json.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode the record of the roll")
	}
	key := refOf(record.Head).key()
	err = roller.retry(ctx, func() error { return roller.config.Store.Put(ctx, key, raw) })
	return eris.Wrap(err, "write the record of the roll; the version in force is unchanged: repeat the roll")
}

func (roller *Roller) readRecord(ctx context.Context, ref headRef) (record, error) {
	entry, err := roller.read(ctx, ref.key())
	if err != nil {
		return record{}, err
	}
	if entry.Index == 0 {
		return record{}, &VersionNotStoredError{Version: ref.Version}
	}
	var found record
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return record{}, eris.Wrapf(err, "decode %s; roll a newer version", ref.key())
	}
	return found, nil
}

// parseRecordKey returns the version and roll ID in a record's key.
func parseRecordKey(key string) (headRef, bool) {
	var ref headRef
	_, err := fmt.Sscanf(strings.TrimPrefix(key, _recordPrefix), "%d/%s", &ref.Version, &ref.RollID)
	return ref, err == nil
}

// isRetryable reports whether a call that failed with err may succeed when repeated.
func isRetryable(err error) bool {
	var status *platform.StatusError
	if errors.As(err, &status) {
		return !status.Refused()
	}
	var unreachable *platform.UnreachableError
	return errors.As(err, &unreachable)
}
