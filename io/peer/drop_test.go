package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
)

func TestDropReason(t *testing.T) {
	c := qt.New(t)
	sender := listen(c, "sender", nil)
	untrusted := listen(c, "untrusted", func(config *Config) { config.Keys = []Key{testKey(c, 3)} })
	drops := func(name string, dropReason DropReason, tamper func(packet []byte, to Address) []byte) {
		c.Run(name, func(c *qt.C) {
			receiver := listen(c, "receiver", nil)
			packet := sender.capture(c, receiver.Address(), note{Text: "x"})
			receiver.inject(c, tamper(packet, receiver.Address()))
			receiver.assertDropped(c, dropReason)
		})
	}
	drops("truncated header", DropTruncated, func(packet []byte, _ Address) []byte { return packet[:20] })
	drops("truncated tag", DropTruncated, func(packet []byte, _ Address) []byte { return packet[:_fixedHeaderSize+8] })
	drops("truncated body", DropForged, func(packet []byte, _ Address) []byte { return packet[:len(packet)-1] })
	drops("oversized", DropOversized, func(packet []byte, _ Address) []byte {
		return append(packet, make([]byte, MaxDatagram)...)
	})
	drops("wire version", DropUnsupportedVersion, func(packet []byte, _ Address) []byte { packet[0]++; return packet })
	drops("flipped bit", DropForged, func(packet []byte, _ Address) []byte { packet[len(packet)-1]++; return packet })
	drops("modified counter", DropForged, func(packet []byte, _ Address) []byte { packet[25]++; return packet })
	drops("other instance", DropMisdirected, func(_ []byte, to Address) []byte {
		to.Member.Instance = "other"
		return sender.capture(c, to, note{})
	})
	drops("earlier incarnation", DropMisdirected, func(_ []byte, to Address) []byte {
		to.Member.Incarnation--
		return sender.capture(c, to, note{})
	})
	drops("wrong key", DropUnknownKey, func(_ []byte, to Address) []byte { return untrusted.capture(c, to, note{}) })
	drops("unknown kind", DropUnknownKind, func(_ []byte, to Address) []byte {
		scratch := newScratch().(*scratch)
		scratch.batch = appendFrame(nil, Envelope{Kind: 99})
		return sender.sealer.seal(scratch, to)
	})
	drops("malformed framing", DropMalformed, func(_ []byte, to Address) []byte {
		scratch := newScratch().(*scratch)
		scratch.batch = append(scratch.batch, byte(_kindNote), 200)
		return sender.sealer.seal(scratch, to)
	})
	drops("malformed body", DropMalformedBody, func(_ []byte, to Address) []byte {
		scratch := newScratch().(*scratch)
		scratch.batch = appendFrame(nil, Envelope{Kind: _kindNote, Body: []byte{0xff}})
		return sender.sealer.seal(scratch, to)
	})
	drops("unbound", DropUnbound, func(_ []byte, to Address) []byte {
		scratch := newScratch().(*scratch)
		scratch.batch = appendFrame(nil, Envelope{Kind: _kindNote, Body: []byte{0xa0}})
		return sender.sealer.seal(scratch, Address{AddrPort: to.AddrPort})
	})
}

func TestStaleSender(t *testing.T) {
	c := qt.New(t)
	receiver := listen(c, "receiver", nil)
	later := listen(c, "sender", func(config *Config) { config.Member.Incarnation = 8 })
	earlier := listen(c, "sender", nil)
	c.Assert(later.Send(receiver.Address(), note{}), qt.IsNil)
	receiver.next(c)
	c.Assert(earlier.Send(receiver.Address(), note{}), qt.IsNil)
	receiver.assertDropped(c, DropStaleSender)
}

func TestReplayWindow(t *testing.T) {
	c := qt.New(t)
	sender := listen(c, "sender", nil)
	replay := func(c *qt.C, disabledChecks DisabledChecks) *testInstance {
		receiver := listen(c, "receiver", func(config *Config) { config.DisabledChecks = disabledChecks })
		packet := sender.capture(c, receiver.Address(), note{Text: "once"})
		receiver.inject(c, packet)
		receiver.next(c)
		receiver.inject(c, packet)
		return receiver
	}
	c.Run("a replayed datagram is dropped", func(c *qt.C) {
		replay(c, DisabledChecks{}).assertDropped(c, DropReplayed)
	})
	c.Run("without the window a replayed datagram is accepted", func(c *qt.C) {
		c.Assert(replay(c, DisabledChecks{ReplayWindow: true}).next(c).Message, qt.DeepEquals, any(note{Text: "once"}))
	})
}

func TestDestinationBinding(t *testing.T) {
	c := qt.New(t)
	redirect := func(c *qt.C, disabledChecks DisabledChecks) *testInstance {
		configure := func(config *Config) { config.DisabledChecks = disabledChecks }
		sender, addressee := listen(c, "sender", configure), listen(c, "addressee", configure)
		other := listen(c, "other", configure)
		other.inject(c, sender.capture(c, addressee.Address(), note{Text: "for addressee"}))
		return other
	}
	c.Run("another instance drops the datagram", func(c *qt.C) {
		redirect(c, DisabledChecks{}).assertDropped(c, DropMisdirected)
	})
	c.Run("without the binding another instance accepts the datagram", func(c *qt.C) {
		got := redirect(c, DisabledChecks{DestinationBinding: true}).next(c)
		c.Assert(got.Message, qt.DeepEquals, any(note{Text: "for addressee"}))
	})
}

func TestSendersLimited(t *testing.T) {
	c := qt.New(t)
	receiver := listen(c, "receiver", func(config *Config) { config.MaxSenders = 2 })
	for _, name := range []id.Instance{"a", "b"} {
		c.Assert(listen(c, name, nil).Send(receiver.Address(), note{}), qt.IsNil)
		receiver.next(c)
	}
	c.Assert(listen(c, "c", nil).Send(receiver.Address(), note{}), qt.IsNil)
	receiver.assertDropped(c, DropSendersFull)
	c.Assert(receiver.SenderCount(), qt.Equals, 2)
	c.Assert(receiver.opener.senders.makeRoom(time.Now().Add(_senderIdleTimeout)), qt.IsTrue)
}
