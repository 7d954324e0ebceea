package peer

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
)

// BenchmarkForward encodes, seals, opens and decodes a forwarded datagram with a payload of 200 bytes.
func BenchmarkForward(b *testing.B) {
	benchmarkMessage(b, Forward{
		Caller:  netip.MustParseAddrPort("198.51.100.7:5683"),
		Service: netip.MustParseAddrPort("192.0.2.1:5683"),
		Payload: make([]byte, 200),
	})
}

// BenchmarkNote encodes, seals, opens and decodes a CBOR message of 200 bytes.
func BenchmarkNote(b *testing.B) {
	benchmarkMessage(b, note{Text: "x", Bytes: make([]byte, 200)})
}

// BenchmarkSealOpen seals and opens a batch of 200 bytes, without encoding messages.
func BenchmarkSealOpen(b *testing.B) {
	left, right, to := benchmarkPair(b)
	sent, got := newScratch().(*scratch), newScratch().(*scratch)
	sent.batch = append(sent.batch, make([]byte, 200)...)
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		if _, dropReason := right.open(left.seal(sent, to), got, now); dropReason != 0 {
			b.Fatal(dropReason)
		}
	}
}

func benchmarkMessage(b *testing.B, message any) {
	left, right, to := benchmarkPair(b)
	conn := &Conn{config: Config{Registry: newTestRegistry(qt.New(b))}, sealer: left, opener: right}
	sent, got := newScratch().(*scratch), newScratch().(*scratch)
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		sent.batch = sent.batch[:0]
		if _, err := conn.appendMessage(sent, to, message); err != nil {
			b.Fatal(err)
		}
		openedDatagram, dropReason := right.open(left.seal(sent, to), got, now)
		if dropReason != 0 {
			b.Fatal(dropReason)
		}
		envelope, _, err := cutFrame(openedDatagram.batch)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := conn.config.Registry.Decode(envelope); err != nil {
			b.Fatal(err)
		}
	}
}

func benchmarkPair(b *testing.B) (*sealer, *opener, Address) {
	c := qt.New(b)
	to := Address{
		Member:   id.Member{Instance: "morbegno-1", Incarnation: 1},
		AddrPort: netip.MustParseAddrPort("192.0.2.9:7000"),
	}
	config := Config{Member: id.Member{Instance: "morbegno-0"}, Keys: []Key{testKey(c, 1)}}.withDefaults()
	seal, err := newSealer(config)
	c.Assert(err, qt.IsNil)
	return seal, newOpener(to, config), to
}

// BenchmarkExchange exchanges a message of 200 bytes over a cached connection.
func BenchmarkExchange(b *testing.B) {
	c := qt.New(b)
	client, server := listen(c, "client", nil), listen(c, "server", nil)
	serve(c, server)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Exchange(b.Context(), server.Address(), note{Bytes: make([]byte, 200)}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkForged measures the rejection of a datagram that fails authentication and claims to be from a new sender.
func BenchmarkForged(b *testing.B) {
	left, right, to := benchmarkPair(b)
	sent, got := newScratch().(*scratch), newScratch().(*scratch)
	sent.batch = append(sent.batch, make([]byte, 200)...)
	packet := left.seal(sent, to)
	packet[len(packet)-1]++
	b.ReportAllocs()
	for b.Loop() {
		if _, dropReason := right.open(packet, got, time.Unix(0, 0)); dropReason != DropForged {
			b.Fatal(dropReason)
		}
	}
}

// BenchmarkDatagram sends a message over loopback and waits until it is received.
func BenchmarkDatagram(b *testing.B) {
	c := qt.New(b)
	left, right := listen(c, "left", nil), listen(c, "right", nil)
	sent := any(note{Bytes: make([]byte, 200)})
	b.ReportAllocs()
	for b.Loop() {
		if err := left.Send(right.Address(), sent); err != nil {
			b.Fatal(err)
		}
		right.next(c)
	}
}
