package peer

import (
	"bytes"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"azureshift/io/file"
)

// KeySize is the size of a shared key in bytes.
const KeySize = 32

const (
	// HKDF info strings, one per derived key.
	_keyIDInfo    = "azureshift peer key id"
	_datagramInfo = "azureshift peer datagram"
	_identityInfo = "azureshift peer stream"

	_keyIDSize = 4
)

// Key is a secret shared by all entry instances. Its ID identifies the key without revealing the secret.
type Key struct {
	id     [_keyIDSize]byte
	secret []byte
}

// NewKey returns the key with the given secret of KeySize bytes.
func NewKey(secret []byte) (Key, error) {
	if len(secret) != KeySize {
		return Key{}, eris.Wrap(KeyError{Reason: "wrong length"}, "create shared key")
	}
	key := Key{secret: bytes.Clone(secret)}
	derived, err := key.derive(_keyIDInfo, _keyIDSize)
	if err != nil {
		return Key{}, err
	}
	copy(key.id[:], derived)
	return key, nil
}

// RandomKey returns a random key, for an instance without peers.
func RandomKey() (Key, error) {
	secret := make([]byte, KeySize)
	if _, err := rand.Read(secret); err != nil {
		return Key{}, eris.Wrap(err, "generate random shared key")
	}
	return NewKey(secret)
}

// LoadKeys reads one key from each file. Messages to peers are encrypted with the first key and decrypted with any of
// them. A key is therefore rotated in three steps, each completed on every instance before the next: append the new
// key, move it to the front, remove the old key.
func LoadKeys(paths []string) ([]Key, error) {
	keys := make([]Key, 0, len(paths))
	for _, path := range paths {
		key, err := loadKey(path)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return keys, nil
}

func loadKey(path string) (Key, error) {
	raw, err := file.Read(path)
	if err != nil {
		return Key{}, eris.Wrap(KeyError{Path: path, Reason: err.Error()}, "load shared keys")
	}
	secret, err := hex.DecodeString(string(bytes.TrimSpace(raw)))
	if err != nil || len(secret) != KeySize {
		return Key{}, eris.Wrap(KeyError{Path: path, Reason: "not 64 hexadecimal digits"}, "load shared keys")
	}
	return NewKey(secret)
}

// derive returns size bytes derived from the secret by HKDF with the given info string.
func (key Key) derive(info string, size int) ([]byte, error) {
	derived, err := hkdf.Key(sha256.New, key.secret, nil, info, size)
	return derived, eris.Wrapf(err, "derive key for %q", info)
}
