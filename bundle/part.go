package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
)

// MaxPartSize is the maximum size in bytes of a part: the platform's limit for a value.
const MaxPartSize = 1 << 20

// Hash is the SHA-256 of a part and identifies it. Its text form is hexadecimal.
type Hash [sha256.Size]byte

// Part is the canonical JSON of one service, with its hash.
type Part struct {
	Service id.Service
	Hash    Hash
	Bytes   []byte
}

// PartError reports that a part is missing, too large, does not match its hash or does not decode.
type PartError struct {
	// Hash identifies the requested part.
	Hash Hash
	// Problem describes what is wrong with the part.
	Problem string
}

// Error returns the part's hash, the problem and the remedy.
func (err *PartError) Error() string {
	return fmt.Sprintf("part %s %s; fetch it from another source, or roll the bundle again", err.Hash, err.Problem)
}

// String returns the hash in hexadecimal.
func (hash Hash) String() string {
	return hex.EncodeToString(hash[:])
}

// MarshalText encodes the hash in hexadecimal.
func (hash Hash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, hash[:]), nil
}

// UnmarshalText decodes a hash from hexadecimal.
func (hash *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(hash)) {
		return eris.Errorf("a hash must have %d hexadecimal digits, got %d", hex.EncodedLen(len(hash)), len(text))
	}
	_, err := hex.Decode(hash[:], text)
	return eris.Wrap(err, "decode a hash")
}

// HashOf returns the hash of a part's bytes.
func HashOf(raw []byte) Hash {
	return sha256.Sum256(raw)
}

// Split returns the parts of a valid bundle, sorted by service name. Bundles that differ only in the order of services
// and targets have equal parts.
func Split(bundle Bundle) ([]Part, error) {
	parts := make([]Part, 0, len(bundle.Services))
	for _, service := range bundle.Services {
		service.Targets = slices.SortedFunc(slices.Values(service.Targets), func(left, right Target) int {
			return cmp.Compare(left.Name, right.Name)
		})
		raw, err := json.Marshal(service)
		if err != nil {
			return nil, eris.Wrapf(err, "encode service %s", service.Name)
		}
		if len(raw) > MaxPartSize {
			problem := fmt.Sprintf("has %d bytes and exceeds the platform's limit for a value; split service %s",
				len(raw), service.Name)
			return nil, &PartError{Hash: HashOf(raw), Problem: problem}
		}
		parts = append(parts, Part{Service: service.Name, Hash: HashOf(raw), Bytes: raw})
	}
	slices.SortFunc(parts, func(left, right Part) int { return cmp.Compare(left.Service, right.Service) })
	return parts, nil
}

// OpenPart checks that raw matches the hash and decodes the service.
func OpenPart(hash Hash, raw []byte) (Service, error) {
	if len(raw) > MaxPartSize || HashOf(raw) != hash {
		return Service{}, &PartError{Hash: hash, Problem: "does not match its hash"}
	}
	return DecodePart(hash, raw)
}

// DecodePart decodes a part that is already known to match the hash.
func DecodePart(hash Hash, raw []byte) (Service, error) {
	var service Service
	if err := decodeStrict(raw, &service); err != nil {
		return Service{}, &PartError{Hash: hash, Problem: fmt.Sprintf("does not decode (%v)", err)}
	}
	return service, nil
}
