package roll

import (
	"context"
	"strings"

	"azureshift/bundle"
	"azureshift/io/platform"
)

// BulkReadThreshold is the number of parts from which FetchParts lists all parts at the platform in one call.
const BulkReadThreshold = 16

// Reader reads from the platform's key-value service.
type Reader interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
}

// FetchParts reads parts from the platform. It reads fewer than BulkReadThreshold parts one by one, and otherwise lists
// all stored parts in one call, to save calls, which the platform counts. The result lacks parts that are not stored
// and may hold parts that were not requested. Hashes are not checked.
func FetchParts(ctx context.Context, reader Reader, hashes []bundle.Hash) (map[bundle.Hash][]byte, error) {
	parts := make(map[bundle.Hash][]byte, len(hashes))
	if len(hashes) < BulkReadThreshold {
		for _, hash := range hashes {
			entry, err := reader.Get(ctx, PartKey(hash))
			if err != nil {
				return nil, err
			}
			if entry.Index != 0 {
				parts[hash] = entry.Value
			}
		}
		return parts, nil
	}
	entries, err := reader.List(ctx, _partPrefix)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		var hash bundle.Hash
		if hash.UnmarshalText([]byte(strings.TrimPrefix(entry.Key, _partPrefix))) == nil {
			parts[hash] = entry.Value
		}
	}
	return parts, nil
}
