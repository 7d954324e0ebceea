package coap

import (
	"bytes"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// FuzzDecode checks that every datagram that decodes can be encoded, and that decoding and encoding the result again
// gives the same bytes.
func FuzzDecode(f *testing.F) {
	request := Message{Type: message.Confirmable, Code: codes.GET, MessageID: 7, Token: message.Token("abcd")}
	request.Options = message.Options{{ID: message.Observe, Value: []byte{}}, {ID: message.URIPath, Value: []byte("feed")}}
	request.Payload = []byte("sleeve")
	valid, err := Encode(request)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte{0x40, 0x01, 0x00, 0x01, 0xff})
	f.Add([]byte{0x40, 0x01, 0x00, 0x01, 0xee, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, packet []byte) {
		decoded, err := Decode(packet)
		if err != nil {
			return
		}
		_ = Classify(decoded)
		encoded, err := Encode(decoded)
		if err != nil {
			t.Fatalf("encode message decoded from %x: %v", packet, err)
		}
		again, err := Decode(encoded)
		if err != nil {
			t.Fatalf("decode %x again: %v", encoded, err)
		}
		twice, err := Encode(again)
		if err != nil || !bytes.Equal(encoded, twice) {
			t.Fatalf("encoded to %x first and to %x after a round trip: %v", encoded, twice, err)
		}
	})
}
