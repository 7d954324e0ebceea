package fabric

import (
	"bytes"
	"net/netip"
	"testing"
)

// FuzzDecode checks that every datagram that decodes is unchanged after encoding and decoding it again.
func FuzzDecode(f *testing.F) {
	for _, addresses := range [][2]string{
		{"198.51.100.7:40000", "192.0.2.1:5683"},
		{"[2001:db8::7]:40000", "[2001:db8::1]:5683"},
	} {
		packet, err := Encode(Datagram{
			Source:      netip.MustParseAddrPort(addresses[0]),
			Destination: netip.MustParseAddrPort(addresses[1]),
			Payload:     []byte("payload"),
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packet)
		f.Add(packet[:len(packet)/2])
	}
	f.Add([]byte("PROXY UDP4 198.51.100.7 192.0.2.1 40000 5683\r\n"))
	f.Fuzz(func(t *testing.T, packet []byte) {
		decoded, err := Decode(packet)
		if err != nil {
			return
		}
		encoded, err := Encode(decoded)
		if err != nil {
			t.Fatalf("encode the datagram decoded from %x: %v", packet, err)
		}
		redecoded, err := Decode(encoded)
		if err != nil {
			t.Fatalf("decode %x again: %v", encoded, err)
		}
		same := redecoded.Source == decoded.Source && redecoded.Destination == decoded.Destination
		if !same || !bytes.Equal(redecoded.Payload, decoded.Payload) {
			t.Fatalf("decoded %v, but %v after encoding and decoding again", decoded, redecoded)
		}
	})
}
