package bundle_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"azureshift/bundle"
	"azureshift/core/id"
)

const (
	_fleetServices = 1300
	_fleetTargets  = 12
	_platformValue = 1 << 20
)

func TestFleetFitsThePlatform(t *testing.T) {
	c := qt.New(t)
	key, _ := newKey(c)
	signed := sign(c, key, withLongestNames(newBundle(1, bundle.MaxServices, 1)))
	raw, err := bundle.EncodeHead(signed.Head)
	c.Assert(err, qt.IsNil)
	c.Assert(len(raw) <= _platformValue, qt.IsTrue, qt.Commentf("head of %d bytes", len(raw)))
	widest := withLongestNames(newBundle(1, 1, bundle.MaxTargetsPerService))
	parts, err := bundle.Split(widest)
	c.Assert(err, qt.IsNil)
	c.Assert(len(parts[0].Bytes) <= _platformValue, qt.IsTrue, qt.Commentf("part of %d bytes", len(parts[0].Bytes)))
	c.Assert(newBundle(1, _fleetServices, _fleetTargets).Validate(), qt.IsNil)
}

// withLongestNames gives every service, customer, target and domain a name of the maximum length.
func withLongestNames(described bundle.Bundle) bundle.Bundle {
	for index := range described.Services {
		service := &described.Services[index]
		service.Name = id.Service(fmt.Sprintf("%063d", index))
		service.Customer = id.Customer(fmt.Sprintf("%063d", index))
		for number := range service.Targets {
			service.Targets[number].Name = id.Target(fmt.Sprintf("%063d", number))
			service.Targets[number].Domain = id.Domain(fmt.Sprintf("%063d", number))
		}
	}
	return described
}

func BenchmarkFollow(b *testing.B) {
	for _, services := range []int{13, 130, _fleetServices} {
		c := qt.New(b)
		key, ring := newKey(c)
		signed := sign(c, key, newBundle(1, services, _fleetTargets))
		raw, err := bundle.EncodeHead(signed.Head)
		c.Assert(err, qt.IsNil)
		parts := partBytes(c, signed)
		opened := openParts(c, parts)
		measure := func(name string, operation func() error) {
			b.Run(fmt.Sprintf("%s/services=%d", name, services), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					qt.New(b).Assert(operation(), qt.IsNil)
				}
			})
		}
		measure("verify", func() error { return ring.VerifyHead(signed.Head) })
		measure("assemble", func() error {
			_, err := bundle.Assemble(signed.Head, parts)
			return err
		})
		measure("join", func() error {
			_, err := bundle.JoinServices(signed.Head, opened)
			return err
		})
		b.Run(fmt.Sprintf("size/services=%d", services), func(b *testing.B) {
			reportSizes(c, b, signed, len(raw), parts)
		})
	}
}

// reportSizes reports the sizes in bytes of the head, of all parts, and of an update that changes one service.
func reportSizes(c *qt.C, b *testing.B, signed bundle.Signed, head int, parts map[bundle.Hash][]byte) {
	total, largest := 0, 0
	for _, raw := range parts {
		total += len(raw)
		largest = max(largest, len(raw))
	}
	changed := signed.Head
	changed.Parts = append([]bundle.PartRef{}, changed.Parts...)
	changed.Version++
	changed.Parts[0].Hash[0]++
	delta, err := cbor.Marshal(bundle.DeltaOf(signed.Head, changed))
	c.Assert(err, qt.IsNil)
	whole, err := cbor.Marshal(bundle.DeltaOf(bundle.Head{}, changed))
	c.Assert(err, qt.IsNil)
	for b.Loop() {
	}
	b.ReportMetric(float64(head), "head-B")
	b.ReportMetric(float64(len(whole)), "head-cbor-B")
	b.ReportMetric(float64(total), "parts-B")
	b.ReportMetric(float64(len(delta)+largest), "change-B")
	b.ReportMetric(0, "ns/op")
}

func openParts(c *qt.C, parts map[bundle.Hash][]byte) map[bundle.Hash]bundle.Service {
	opened := make(map[bundle.Hash]bundle.Service, len(parts))
	for hash, raw := range parts {
		service, err := bundle.OpenPart(hash, raw)
		c.Assert(err, qt.IsNil)
		opened[hash] = service
	}
	return opened
}
