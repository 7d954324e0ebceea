package roll

import (
	"context"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/core/id"
	"azureshift/io/platform"
)

// cleanUp deletes records and parts that no retained version needs. It reads the index of a part, then reads the
// records again, and deletes the part only if it has not been written since its index was read. A concurrent roll that
// needs the part has either written its record before the second read, or writes the part again and so changes its
// index.
func (roller *Roller) cleanUp(ctx context.Context, ours bundle.Head) error {
	needed, outdated, err := roller.listNeeded(ctx, ours.Version)
	if err != nil {
		return err
	}
	unneeded, err := roller.listUnneeded(ctx, needed)
	if err != nil {
		return err
	}
	if needed, _, err = roller.listNeeded(ctx, ours.Version); err != nil {
		return err
	}
	for _, entry := range unneeded {
		if _, ok := needed[entry.Key]; ok {
			continue
		}
		if err := roller.deleteUnchanged(ctx, entry); err != nil {
			return eris.Wrap(err, "delete old parts")
		}
	}
	for _, key := range outdated {
		entry, err := roller.read(ctx, key)
		if err == nil && entry.Index != 0 {
			err = roller.deleteUnchanged(ctx, entry)
		}
		if err != nil {
			return eris.Wrap(err, "delete old records")
		}
	}
	return nil
}

// deleteUnchanged deletes an entry unless it has been written since it was read.
func (roller *Roller) deleteUnchanged(ctx context.Context, entry platform.Entry) error {
	_, err := roller.config.Store.Delete(ctx, entry.Key, entry.Index)
	if !roller.config.Disabled.DeleteByIndex || err != nil {
		return err
	}
	written, err := roller.read(ctx, entry.Key)
	if err == nil && written.Index != 0 {
		_, err = roller.config.Store.Delete(ctx, entry.Key, written.Index)
	}
	return err
}

// listNeeded returns the keys of the parts of retained and newer versions, and the keys of the records of older
// versions.
func (roller *Roller) listNeeded(ctx context.Context, ours id.Version) (map[string]struct{}, []string, error) {
	keys, err := roller.listKeys(ctx, _recordPrefix)
	if err != nil {
		return nil, nil, err
	}
	oldest := roller.oldestKept(keys, ours)
	needed := make(map[string]struct{})
	var outdated []string
	for _, key := range keys {
		ref, ok := parseRecordKey(key)
		if !ok || ref.Version < oldest {
			outdated = append(outdated, key)
			continue
		}
		found, err := roller.readRecord(ctx, ref)
		if err != nil {
			return nil, nil, err
		}
		for _, part := range found.Head.Parts {
			needed[PartKey(part.Hash)] = struct{}{}
		}
	}
	return needed, outdated, nil
}

// oldestKept returns the oldest retained version, counted back from ours. Ours is included even without a record,
// because newer rolls may have deleted all records up to it.
func (roller *Roller) oldestKept(keys []string, ours id.Version) id.Version {
	versions := []id.Version{ours}
	for _, key := range keys {
		if ref, ok := parseRecordKey(key); ok && ref.Version <= ours {
			versions = append(versions, ref.Version)
		}
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	return versions[max(0, len(versions)-roller.config.RetainedVersions)]
}

// listUnneeded returns the keys and indexes of stored parts that are not in needed.
func (roller *Roller) listUnneeded(ctx context.Context, needed map[string]struct{}) ([]platform.Entry, error) {
	keys, err := roller.listKeys(ctx, _partPrefix)
	if err != nil {
		return nil, err
	}
	var unneeded []platform.Entry
	for _, key := range keys {
		if _, ok := needed[key]; ok || !strings.HasPrefix(key, _partPrefix) {
			continue
		}
		entry, err := roller.read(ctx, key)
		if err != nil {
			return nil, err
		}
		if entry.Index != 0 {
			unneeded = append(unneeded, platform.Entry{Key: key, Index: entry.Index})
		}
	}
	return unneeded, nil
}

func (roller *Roller) listKeys(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := roller.retry(ctx, func() error {
		var err error
		keys, err = roller.config.Store.Keys(ctx, prefix)
		return err
	})
	return keys, eris.Wrapf(err, "list %s", prefix)
}
