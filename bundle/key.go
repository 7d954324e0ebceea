package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"fmt"

	"github.com/rotisserie/eris"
)

const (
	_privateBlock = "PRIVATE KEY"
	_publicBlock  = "PUBLIC KEY"
	_keyIDLength  = 8
)

// KeyID identifies a sign-off key: the first bytes of the public key's SHA-256 in hexadecimal.
type KeyID string

// SigningKey is the private key that signs bundles off.
type SigningKey struct {
	private ed25519.PrivateKey
}

// KeyError reports that a key file cannot be used.
type KeyError struct {
	// Problem describes what is wrong with the file.
	Problem string
}

// Error returns the problem and how to create a valid key pair.
func (err *KeyError) Error() string {
	return fmt.Sprintf("the key file %s; generate a key pair with: azureshift bundle keygen -out FILE", err.Problem)
}

// NewSigningKey generates a key.
func NewSigningKey() (SigningKey, error) {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	return SigningKey{private: private}, eris.Wrap(err, "generate a sign-off key")
}

// ID returns the key's identifier.
func (key SigningKey) ID() KeyID {
	return keyID(key.public())
}

// PrivatePEM returns the private key as PKCS #8 in PEM.
func (key SigningKey) PrivatePEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key.private)
	if err != nil {
		return nil, eris.Wrap(err, "encode the sign-off key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: _privateBlock, Bytes: der}), nil
}

// PublicPEM returns the public key as PKIX in PEM.
func (key SigningKey) PublicPEM() ([]byte, error) {
	der, err := x509.MarshalPKIXPublicKey(key.public())
	if err != nil {
		return nil, eris.Wrap(err, "encode the public key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: _publicBlock, Bytes: der}), nil
}

// ParseSigningKey reads a private key from PEM.
func ParseSigningKey(raw []byte) (SigningKey, error) {
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != _privateBlock {
		return SigningKey{}, &KeyError{Problem: "holds no private key in PEM"}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return SigningKey{}, &KeyError{Problem: fmt.Sprintf("does not decode (%v)", err)}
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return SigningKey{}, &KeyError{Problem: "holds a key that is not Ed25519"}
	}
	return SigningKey{private: private}, nil
}

// KeyRing holds the public keys whose signatures are accepted.
type KeyRing struct {
	keys map[KeyID]ed25519.PublicKey
}

// ParseKeyRing reads one or more public keys from PEM. To rotate a key, list the old and the new one.
func ParseKeyRing(raw []byte) (KeyRing, error) {
	ring := KeyRing{keys: make(map[KeyID]ed25519.PublicKey)}
	for {
		block, rest := pem.Decode(raw)
		if block == nil {
			break
		}
		raw = rest
		parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
		public, ok := parsed.(ed25519.PublicKey)
		if err != nil || !ok || block.Type != _publicBlock {
			return KeyRing{}, &KeyError{Problem: "holds a block that is not an Ed25519 public key"}
		}
		ring.keys[keyID(public)] = public
	}
	if len(ring.keys) == 0 {
		return KeyRing{}, &KeyError{Problem: "holds no public key in PEM"}
	}
	return ring, nil
}

func (key SigningKey) public() ed25519.PublicKey {
	return key.private.Public().(ed25519.PublicKey)
}

func keyID(public ed25519.PublicKey) KeyID {
	sum := sha256.Sum256(public)
	return KeyID(hex.EncodeToString(sum[:_keyIDLength]))
}
