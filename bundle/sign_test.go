package bundle_test

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"azureshift/bundle"
)

func TestSignedBundleIsAccepted(t *testing.T) {
	c := qt.New(t)
	key, ring := newKey(c)
	signed := sign(c, key, newBundle(3, 3, 2))
	c.Assert(ring.VerifyHead(signed.Head), qt.IsNil)
	raw, err := bundle.EncodeHead(signed.Head)
	c.Assert(err, qt.IsNil)
	head, err := bundle.DecodeHead(raw)
	c.Assert(err, qt.IsNil)
	c.Assert(ring.VerifyHead(head), qt.IsNil)
	assembled, err := bundle.Assemble(head, partBytes(c, signed))
	c.Assert(err, qt.IsNil)
	c.Assert(bundle.Diff(signed.Bundle, assembled), qt.HasLen, 0)
}

func TestHeadSurvivesCBOREncoding(t *testing.T) {
	c := qt.New(t)
	key, ring := newKey(c)
	delta := bundle.DeltaOf(bundle.Head{}, sign(c, key, newBundle(3, 3, 2)).Head)
	raw, err := cbor.Marshal(delta)
	c.Assert(err, qt.IsNil)
	var read bundle.HeadDelta
	c.Assert(cbor.Unmarshal(raw, &read), qt.IsNil)
	head, err := read.ApplyTo(bundle.Head{})
	c.Assert(err, qt.IsNil)
	c.Assert(ring.VerifyHead(head), qt.IsNil)
}

func TestChangedHeadIsRefused(t *testing.T) {
	c := qt.New(t)
	key, ring := newKey(c)
	other, _ := newKey(c)
	alterations := map[string]func(head *bundle.Head){
		"version":   func(head *bundle.Head) { head.Version++ },
		"part":      func(head *bundle.Head) { head.Parts[0].Hash[0]++ },
		"service":   func(head *bundle.Head) { head.Parts[2].Service = "z" },
		"fewer":     func(head *bundle.Head) { head.Parts = head.Parts[:2] },
		"order":     func(head *bundle.Head) { slices.Reverse(head.Parts) },
		"time":      func(head *bundle.Head) { head.SignedOff = head.SignedOff.Add(time.Second) },
		"fraction":  func(head *bundle.Head) { head.SignedOff = head.SignedOff.Add(1) },
		"key":       func(head *bundle.Head) { head.SignedBy = other.ID() },
		"roll":      func(head *bundle.Head) { head.RollID = "other" },
		"unsigned":  func(head *bundle.Head) { head.Signature = nil },
		"signature": func(head *bundle.Head) { head.Signature[5]++ },
	}
	for name, alter := range alterations {
		c.Run(name, func(c *qt.C) {
			head := sign(c, key, newBundle(3, 3, 2)).Head
			alter(&head)
			var refused *bundle.HeadError
			c.Assert(errors.As(ring.VerifyHead(head), &refused), qt.IsTrue)
			c.Assert(refused.Remedy, qt.Not(qt.Equals), "")
		})
	}
	c.Run("unknown key", func(c *qt.C) {
		head := sign(c, other, newBundle(3, 3, 2)).Head
		c.Assert(ring.VerifyHead(head), qt.ErrorMatches, ".*unknown key.*")
	})
}

func TestAssembleRefusesOtherParts(t *testing.T) {
	c := qt.New(t)
	key, _ := newKey(c)
	signed := sign(c, key, newBundle(3, 2, 2))
	first := signed.Head.Parts[0].Hash
	c.Run("missing", func(c *qt.C) {
		parts := partBytes(c, signed)
		delete(parts, first)
		assertPartRefused(c, signed.Head, parts)
	})
	c.Run("tampered", func(c *qt.C) {
		parts := partBytes(c, signed)
		parts[first] = parts[signed.Head.Parts[1].Hash]
		assertPartRefused(c, signed.Head, parts)
	})
}

func TestParseSignedRefusesOtherParts(t *testing.T) {
	c := qt.New(t)
	key, _ := newKey(c)
	signed := sign(c, key, newBundle(3, 2, 2))
	raw, err := signed.Encode()
	c.Assert(err, qt.IsNil)
	read, err := bundle.ParseSigned(raw)
	c.Assert(err, qt.IsNil)
	c.Assert(read.Head.Digest(), qt.Equals, signed.Head.Digest())
	signed.Bundle.Services[0].Targets[0].Slots++
	raw, err = signed.Encode()
	c.Assert(err, qt.IsNil)
	_, err = bundle.ParseSigned(raw)
	c.Assert(err, qt.ErrorMatches, ".*other parts than the bundle has.*")
}

func TestDeltaRestoresTheHead(t *testing.T) {
	c := qt.New(t)
	key, ring := newKey(c)
	next := newBundle(4, 21, 2)
	next.Services[3].Targets[0].Slots = 7
	next.Services = append(next.Services[:5], next.Services[6:]...)
	base, head := sign(c, key, newBundle(3, 20, 2)).Head, sign(c, key, next).Head
	delta := bundle.DeltaOf(base, head)
	c.Assert(delta.Head.Parts, qt.HasLen, 2)
	whole, err := delta.ApplyTo(base)
	c.Assert(err, qt.IsNil)
	c.Assert(ring.VerifyHead(whole), qt.IsNil)
	_, err = delta.ApplyTo(head)
	c.Assert(err, qt.ErrorMatches, ".*fetch the whole head.*")
}

func FuzzDecodeHead(f *testing.F) {
	c := qt.New(f)
	key, ring := newKey(c)
	raw, err := bundle.EncodeHead(sign(c, key, newBundle(3, 2, 2)).Head)
	c.Assert(err, qt.IsNil)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		head, err := bundle.DecodeHead(raw)
		if err != nil || ring.VerifyHead(head) != nil {
			return
		}
		_, err = bundle.EncodeHead(head)
		qt.New(t).Assert(err, qt.IsNil)
	})
}

func FuzzDecodePart(f *testing.F) {
	raw, err := json.Marshal(newBundle(1, 1, 2).Services[0])
	qt.New(f).Assert(err, qt.IsNil)
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		service, err := bundle.OpenPart(bundle.HashOf(raw), raw)
		if err != nil {
			return
		}
		_ = bundle.Bundle{Version: 1, Services: []bundle.Service{service}}.Validate()
	})
}

func assertPartRefused(c *qt.C, head bundle.Head, parts map[bundle.Hash][]byte) {
	c.Helper()
	_, err := bundle.Assemble(head, parts)
	var refused *bundle.PartError
	c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
}

func newKey(c *qt.C) (bundle.SigningKey, bundle.KeyRing) {
	made, err := bundle.NewSigningKey()
	c.Assert(err, qt.IsNil)
	private, err := made.PrivatePEM()
	c.Assert(err, qt.IsNil)
	key, err := bundle.ParseSigningKey(private)
	c.Assert(err, qt.IsNil)
	public, err := key.PublicPEM()
	c.Assert(err, qt.IsNil)
	ring, err := bundle.ParseKeyRing(public)
	c.Assert(err, qt.IsNil)
	return key, ring
}

func sign(c *qt.C, key bundle.SigningKey, described bundle.Bundle) bundle.Signed {
	signed, err := key.Sign(described, time.Unix(1_800_000_000, 0))
	c.Assert(err, qt.IsNil)
	return signed
}

func partBytes(c *qt.C, signed bundle.Signed) map[bundle.Hash][]byte {
	parts, err := signed.Parts()
	c.Assert(err, qt.IsNil)
	held := make(map[bundle.Hash][]byte, len(parts))
	for _, part := range parts {
		held[part.Hash] = part.Bytes
	}
	return held
}
