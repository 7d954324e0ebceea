package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
)

// RollID uniquely identifies a sign-off.
type RollID string

// PartRef refers to the part of a service by its hash.
type PartRef struct {
	Service id.Service `cbor:"1,keyasint" json:"Service"`
	Hash    Hash       `cbor:"2,keyasint" json:"Hash"`
}

// Head describes one version of the bundle: the hashes of its parts, and who signed it off and when.
type Head struct {
	Version   id.Version `cbor:"1,keyasint" json:"Version"`
	Parts     PartRefs   `cbor:"2,keyasint" json:"Parts"`
	SignedOff time.Time  `cbor:"3,keyasint" json:"SignedOff"`
	SignedBy  KeyID      `cbor:"4,keyasint" json:"SignedBy"`
	RollID    RollID     `cbor:"5,keyasint" json:"RollID"`
	Signature []byte     `cbor:"6,keyasint" json:"Signature"`
}

// Digest identifies the content of a head including its signature.
type Digest [sha256.Size]byte

// HeadError reports that a head was rejected.
type HeadError struct {
	Version id.Version
	// Problem describes what is wrong with the head.
	Problem string
	// Remedy tells the operator how to correct it.
	Remedy string
}

// Error returns the head's version, the problem and the remedy.
func (err *HeadError) Error() string {
	return fmt.Sprintf("head of version %d %s; %s", err.Version, err.Problem, err.Remedy)
}

// EncodeHead returns the head as JSON.
func EncodeHead(head Head) ([]byte, error) {
	raw, err := json.Marshal(head)
	if err != nil {
		return nil, eris.Wrapf(err, "encode the head of version %d", head.Version)
	}
	if len(raw) > MaxHeadSize {
		problem := fmt.Sprintf("has %d bytes and exceeds the platform's limit for a value", len(raw))
		return nil, &HeadError{Version: head.Version, Problem: problem, Remedy: "describe fewer services"}
	}
	return raw, nil
}

// MaxHeadSize is the maximum size of a head in bytes: one with MaxServices services with the longest names has 622,821.
const MaxHeadSize = 640 << 10

// PartRefs lists the parts of a bundle, at most MaxServices of them.
type PartRefs []PartRef

// errTooManyParts means that a head lists more parts than a bundle has services.
var errTooManyParts = fmt.Errorf("lists more than %d parts", MaxServices)

// UnmarshalJSON implements json.Unmarshaler. It stops at the first part beyond MaxServices: anyone who can write to the
// platform can store a head, whose signature is verified once it is decoded.
func (refs *PartRefs) UnmarshalJSON(raw []byte) error {
	stream := json.NewDecoder(bytes.NewReader(raw))
	stream.DisallowUnknownFields()
	if opening, err := stream.Token(); err != nil || opening != json.Delim('[') {
		return errNoPartList
	}
	*refs = nil
	for stream.More() {
		if len(*refs) >= MaxServices {
			return errTooManyParts
		}
		var ref PartRef
		if err := stream.Decode(&ref); err != nil {
			return err
		}
		*refs = append(*refs, ref)
	}
	return nil
}

// errNoPartList means that the parts of a head are no list.
var errNoPartList = errors.New("Parts is no list")

// DecodeHead decodes a head from JSON and checks that it is well-formed. It does not verify the signature.
func DecodeHead(raw []byte) (Head, error) {
	if len(raw) > MaxHeadSize {
		return Head{}, &HeadError{Problem: fmt.Sprintf("has %d bytes", len(raw)), Remedy: _remedyRoll}
	}
	var head Head
	if err := decodeStrict(raw, &head); err != nil {
		return Head{}, &HeadError{Problem: fmt.Sprintf("does not decode (%v)", err), Remedy: _remedyRoll}
	}
	return head, head.checkForm()
}

// Digest returns the digest of the head's content and signature.
func (head Head) Digest() Digest {
	hash := sha256.New()
	_, _ = hash.Write(head.signedBytes())
	_, _ = hash.Write(head.Signature)
	return Digest(hash.Sum(nil))
}

// checkForm returns an error for heads that are not in the canonical form that Sign produces. There is one canonical
// form for each content, which makes the signed bytes unique too.
func (head Head) checkForm() error {
	problem := ""
	switch {
	case head.Version == 0:
		problem = "has no version"
	case !ValidName(string(head.RollID)):
		problem = "has no valid RollID"
	case !ValidName(string(head.SignedBy)):
		problem = "is not signed"
	case head.SignedOff.IsZero() || head.SignedOff.Nanosecond() != 0:
		problem = "has no sign-off time in whole seconds"
	case len(head.Parts) == 0 || len(head.Parts) > MaxServices:
		problem = fmt.Sprintf("lists %d parts", len(head.Parts))
	}
	for index, ref := range head.Parts {
		if !ValidName(string(ref.Service)) || index > 0 && head.Parts[index-1].Service >= ref.Service {
			problem = fmt.Sprintf("lists part %d out of order or without a service", index)
			break
		}
	}
	if problem == "" {
		return nil
	}
	return &HeadError{Version: head.Version, Problem: problem, Remedy: _remedySign}
}

// signedBytes returns the bytes that the signature covers: the encoded head without the signature itself.
func (head Head) signedBytes() []byte {
	head.Signature = nil
	head.SignedOff = head.SignedOff.UTC()
	raw, _ := json.Marshal(head)
	return append([]byte(_signatureContext), raw...)
}
