package peer

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"azureshift/core/id"
	"azureshift/io/peer/wire"
)

// FuzzOpen checks that an opener accepts only the datagram that was sealed, and that a dropped datagram adds no sender.
func FuzzOpen(f *testing.F) {
	c := qt.New(f)
	self := Address{
		Member:   id.Member{Instance: "receiver", Incarnation: 1},
		AddrPort: netip.MustParseAddrPort("192.0.2.1:7000"),
	}
	config := Config{Member: id.Member{Instance: "sender"}, Keys: []Key{testKey(c, 1)}}.withDefaults()
	seal, err := newSealer(config)
	c.Assert(err, qt.IsNil)
	sent := newScratch().(*scratch)
	sent.batch = appendFrame(nil, Envelope{Kind: _kindNote, Body: []byte{0xa0}})
	valid := bytes.Clone(seal.seal(sent, self))
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(valid[:_fixedHeaderSize])
	f.Add([]byte{_wireVersion})
	f.Fuzz(func(t *testing.T, packet []byte) {
		opener := newOpener(self, config)
		got, dropReason := opener.open(packet, newScratch().(*scratch), time.Unix(0, 0))
		if dropReason == 0 && !bytes.Equal(packet, valid) {
			t.Fatalf("accepted a datagram that was not sealed: %x, from %v", packet, got.from)
		}
		if dropReason != 0 && opener.senders.count() > 0 {
			t.Fatalf("a datagram dropped as %s added a sender: %x", dropReason, packet)
		}
	})
}

// FuzzRequest checks that only requests addressed to this incarnation, or to an address without a member, are accepted.
func FuzzRequest(f *testing.F) {
	c := qt.New(f)
	self := id.Member{Instance: "receiver", Incarnation: 1}
	conn := &Conn{config: Config{Member: self, Registry: newTestRegistry(c)}.withDefaults()}
	for _, to := range []id.Member{self, {}, {Instance: "other"}} {
		envelope, err := conn.config.Registry.Encode(hello{Seed: "x"})
		c.Assert(err, qt.IsNil)
		raw, err := proto.Marshal(conn.toWireEnvelope(envelope, to))
		c.Assert(err, qt.IsNil)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var request wire.Envelope
		if proto.Unmarshal(raw, &request) != nil {
			return
		}
		message, err := conn.decodeRequest(&request)
		to := fromWireMember(request.GetDestination())
		if err == nil && to != self && to.Instance != "" {
			t.Fatalf("accepted %v, which is addressed to %v", message, to)
		}
	})
}

// FuzzFrame checks that each frame cut from a batch shortens the batch and encodes to at most as many bytes as it took.
func FuzzFrame(f *testing.F) {
	f.Add(appendFrame(nil, Envelope{Kind: _kindNote, Body: []byte{0xa0}}))
	f.Add([]byte{1, 200})
	f.Add([]byte{0x80, 0x80, 0x80})
	f.Fuzz(func(t *testing.T, batch []byte) {
		for len(batch) > 0 {
			envelope, rest, err := cutFrame(batch)
			if err != nil {
				return
			}
			again := appendFrame(nil, envelope)
			if len(rest) >= len(batch) || len(again) > len(batch)-len(rest) {
				t.Fatalf("frame encodes to %d bytes, but cutting it left %d of %d bytes", len(again), len(rest), len(batch))
			}
			batch = rest
		}
	})
}

// FuzzDecode checks that every body that decodes can be encoded, and that decoding and encoding the result again gives
// the same body.
func FuzzDecode(f *testing.F) {
	c := qt.New(f)
	registry := newTestRegistry(c)
	for _, message := range []any{
		note{Text: "x", At: time.Unix(1, 2).UTC(), Bytes: []byte{1}},
		hello{Seed: "y"},
		Forward{
			Caller:  netip.MustParseAddrPort("192.0.2.1:1"),
			Service: netip.MustParseAddrPort("[2001:db8::1]:2"),
			Payload: []byte("z"),
		},
	} {
		envelope, err := registry.Encode(message)
		c.Assert(err, qt.IsNil)
		f.Add(uint16(envelope.Kind), envelope.Body)
	}
	f.Add(uint16(_kindNote), []byte{0xa2, 1, 0x60, 1, 0x60})
	f.Add(uint16(_kindNote), []byte{0xa2, 3, 0x80, 0x30, 0x30})
	f.Add(uint16(_kindNote), []byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, kind uint16, body []byte) {
		message, err := registry.Decode(Envelope{Kind: Kind(kind), Body: body})
		if err != nil {
			return
		}
		envelope, err := registry.Encode(message)
		if err != nil {
			t.Fatalf("encode %#v again: %v", message, err)
		}
		again, err := registry.Decode(envelope)
		qt.New(t).Assert(err, qt.IsNil)
		twice, err := registry.Encode(again)
		qt.New(t).Assert(err, qt.IsNil)
		qt.New(t).Assert(twice, qt.DeepEquals, envelope)
	})
}
