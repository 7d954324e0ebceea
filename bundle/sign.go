package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// _signatureContext is prepended to the signed bytes for domain separation: a head's signature is not valid for
	// any other content.
	_signatureContext = "azureshift bundle head 1\n"
	_remedyRoll       = "sign the bundle off and roll it again"
	_remedySign       = "sign it off with: azureshift bundle sign"
	_remedyKey        = "sign it with a key that the instances accept, or add its public key to theirs"
)

// Signed is a bundle with its signed head, as written to a file.
type Signed struct {
	Head   Head   `json:"Head"`
	Bundle Bundle `json:"Bundle"`
}

// Sign signs a valid bundle off. The time is truncated to whole seconds.
func (key SigningKey) Sign(bundle Bundle, at time.Time) (Signed, error) {
	parts, err := Split(bundle)
	if err != nil {
		return Signed{}, err
	}
	head := Head{
		Version:   bundle.Version,
		SignedOff: at.UTC().Truncate(time.Second),
		SignedBy:  key.ID(),
		RollID:    RollID(rand.Text()),
	}
	for _, part := range parts {
		head.Parts = append(head.Parts, PartRef{Service: part.Service, Hash: part.Hash})
	}
	head.Signature = ed25519.Sign(key.private, head.signedBytes())
	return Signed{Head: head, Bundle: bundle}, head.checkForm()
}

// VerifyHead returns an error if the head is malformed, unsigned, altered or signed by an unknown key.
func (ring KeyRing) VerifyHead(head Head) error {
	if err := head.checkForm(); err != nil {
		return err
	}
	public, ok := ring.keys[head.SignedBy]
	if !ok {
		problem := fmt.Sprintf("is signed by the unknown key %s", head.SignedBy)
		return &HeadError{Version: head.Version, Problem: problem, Remedy: _remedyKey}
	}
	if !ed25519.Verify(public, head.signedBytes(), head.Signature) {
		return &HeadError{Version: head.Version, Problem: "has an invalid signature", Remedy: _remedySign}
	}
	return nil
}

// OpenPart checks that raw matches the hash and decodes the service.
func (ring KeyRing) OpenPart(hash Hash, raw []byte) (Service, error) {
	return OpenPart(hash, raw)
}

// Encode returns the signed bundle as indented JSON.
func (signed Signed) Encode() ([]byte, error) {
	raw, err := json.MarshalIndent(signed, "", "  ")
	return append(raw, '\n'), eris.Wrap(err, "encode the signed bundle")
}

// ParseSigned reads a signed bundle from JSON, validates the bundle and checks that it matches the head.
// It does not verify the signature.
func ParseSigned(raw []byte) (Signed, error) {
	var document struct {
		Head   Head            `json:"Head"`
		Bundle json.RawMessage `json:"Bundle"`
	}
	if err := decodeStrict(raw, &document); err != nil {
		problem := fmt.Sprintf("is not a signed bundle (%v)", err)
		return Signed{}, FaultList{{Path: "(file)", Problem: problem, Remedy: _remedySign}}
	}
	parsed, err := Parse(document.Bundle)
	if err != nil {
		return Signed{}, err
	}
	signed := Signed{Head: document.Head, Bundle: parsed}
	return signed, signed.checkHead()
}

// Parts returns the parts of the bundle.
func (signed Signed) Parts() ([]Part, error) {
	return Split(signed.Bundle)
}

func (signed Signed) checkHead() error {
	if err := signed.Head.checkForm(); err != nil {
		return err
	}
	parts, err := signed.Parts()
	if err != nil {
		return err
	}
	same := signed.Head.Version == signed.Bundle.Version && len(parts) == len(signed.Head.Parts)
	for index := 0; same && index < len(parts); index++ {
		same = signed.Head.Parts[index] == PartRef{Service: parts[index].Service, Hash: parts[index].Hash}
	}
	if !same {
		return &HeadError{Version: signed.Head.Version, Problem: "lists other parts than the bundle has", Remedy: _remedySign}
	}
	return nil
}
