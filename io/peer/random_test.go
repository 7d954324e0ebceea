package peer

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azureshift/core/id"
)

// TestRandomReplays records the datagrams that two instances send to each other and delivers them in random order, to
// either instance, repeatedly, with bits flipped and across restarts. A message must be accepted at most once,
// unmodified and only by the incarnation it was sent to.
func TestRandomReplays(t *testing.T) {
	keys := []Key{testKey(qt.New(t), 1)}
	rapid.Check(t, func(t *rapid.T) {
		peers := [2]endpoint{}
		restart := func(index int, incarnation id.Incarnation) { peers[index] = newEndpoint(t, keys, index, incarnation) }
		restart(0, 1)
		restart(1, 1)
		var sent []sentDatagram
		accepted := make(map[uint64]bool)
		for step := range 200 {
			index := rapid.IntRange(0, 1).Draw(t, "instance")
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action == 0:
				restart(index, id.Incarnation(step+2))
			case action < 4:
				sent = append(sent, peers[index].send(peers[1-index].self, uint64(step)))
			case len(sent) > 0:
				chosen := sent[rapid.IntRange(max(0, len(sent)-20), len(sent)-1).Draw(t, "datagram")]
				packet := bytes.Clone(chosen.packet)
				packet[rapid.IntRange(0, len(packet)-1).Draw(t, "byte")] ^= rapid.SampledFrom([]byte{0, 0, 1, 128}).Draw(t, "bits")
				got, dropReason := peers[index].opener.open(packet, newScratch().(*scratch), time.Unix(0, 0))
				if dropReason != 0 {
					continue
				}
				message := binary.BigEndian.Uint64(got.batch)
				if accepted[message] || chosen.to != peers[index].self || !bytes.Equal(packet, chosen.packet) {
					t.Fatalf("message %d for %v accepted by %v, again: %t",
						message, chosen.to, peers[index].self, accepted[message])
				}
				accepted[message] = true
			}
		}
	})
}

type sentDatagram struct {
	packet []byte
	to     Address
}

// endpoint is one incarnation of one of the two instances.
type endpoint struct {
	self   Address
	sealer *sealer
	opener *opener
}

func newEndpoint(t *rapid.T, keys []Key, index int, incarnation id.Incarnation) endpoint {
	self := Address{
		Member:   id.Member{Instance: id.Instance([]string{"left", "right"}[index]), Incarnation: incarnation},
		AddrPort: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(index)}), 7000),
	}
	config := Config{Member: self.Member, Keys: keys}.withDefaults()
	seal, err := newSealer(config)
	if err != nil {
		t.Fatal(err)
	}
	return endpoint{self: self, sealer: seal, opener: newOpener(self, config)}
}

func (endpoint endpoint) send(to Address, message uint64) sentDatagram {
	scratch := newScratch().(*scratch)
	scratch.batch = binary.BigEndian.AppendUint64(scratch.batch, message)
	return sentDatagram{packet: bytes.Clone(endpoint.sealer.seal(scratch, to)), to: to}
}
