package peer

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"

	"azureshift/core/id"
)

const _waitTimeout = 10 * time.Second

// _equals is qt.DeepEquals for messages that contain a netip.AddrPort.
var _equals = qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{}))

type note struct {
	Text  string    `cbor:"1,keyasint"`
	At    time.Time `cbor:"2,keyasint,omitempty"`
	Bytes []byte    `cbor:"3,keyasint,omitempty"`
}

type hello struct {
	Seed string `cbor:"1,keyasint"`
}

const (
	_kindNote  Kind = 10
	_kindHello Kind = 11
)

func newTestRegistry(c *qt.C) *Registry {
	registry, err := NewRegistry()
	c.Assert(err, qt.IsNil)
	c.Assert(registry.Register(_kindNote, note{}), qt.IsNil)
	c.Assert(registry.RegisterUnbound(_kindHello, hello{}), qt.IsNil)
	return registry
}

func testKey(c *qt.C, fill byte) Key {
	key, err := NewKey(bytes.Repeat([]byte{fill}, KeySize))
	c.Assert(err, qt.IsNil)
	return key
}

// testInstance is an instance under test and the messages that it received.
type testInstance struct {
	*Conn
	received chan Received
}

func listen(c *qt.C, name id.Instance, configure func(*Config)) *testInstance {
	config := Config{
		Member:   id.Member{Instance: name, Incarnation: 7},
		Keys:     []Key{testKey(c, 1)},
		Registry: newTestRegistry(c),
	}
	if configure != nil {
		configure(&config)
	}
	conn, err := Listen(config)
	c.Assert(err, qt.IsNil)
	opened := &testInstance{Conn: conn, received: make(chan Received, 100)}
	var group sync.WaitGroup
	group.Go(func() { conn.Receive(context.Background(), func(got Received) { opened.received <- got }) })
	c.Cleanup(func() {
		c.Check(conn.Close(), qt.IsNil)
		group.Wait()
	})
	return opened
}

func (testInstance *testInstance) next(c *qt.C) Received {
	select {
	case got := <-testInstance.received:
		return got
	case <-time.After(_waitTimeout):
		c.Fatalf("no message within %s; drops: %v", _waitTimeout, testInstance.DropCounts())
		return Received{}
	}
}

func (testInstance *testInstance) assertDropped(c *qt.C, dropReason DropReason) {
	testInstance.assertDrops(c, dropReason, 1)
	c.Assert(testInstance.received, qt.HasLen, 0)
}

func (testInstance *testInstance) assertDrops(c *qt.C, dropReason DropReason, count uint64) {
	deadline := time.Now().Add(_waitTimeout)
	for testInstance.DropCounts()[dropReason] < count {
		c.Assert(time.Now().Before(deadline), qt.IsTrue,
			qt.Commentf("want drop %s, got %v", dropReason, testInstance.DropCounts()))
		time.Sleep(time.Millisecond)
	}
	c.Assert(testInstance.DropCounts()[dropReason], qt.Equals, count)
}

// inject sends a raw datagram to the instance, as an attacker on the network would.
func (testInstance *testInstance) inject(c *qt.C, packet []byte) {
	conn, err := net.Dial("udp", testInstance.Address().AddrPort.String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(packet)
	c.Assert(err, qt.IsNil)
}

// capture returns the datagram that Send would send for the message.
func (testInstance *testInstance) capture(c *qt.C, to Address, message any) []byte {
	scratch := newScratch().(*scratch)
	_, err := testInstance.appendMessage(scratch, to, message)
	c.Assert(err, qt.IsNil)
	return bytes.Clone(testInstance.sealer.seal(scratch, to))
}

func TestSend(t *testing.T) {
	c := qt.New(t)
	left, right := listen(c, "morbegno-0", nil), listen(c, "morbegno-1", nil)
	c.Run("one message", func(c *qt.C) {
		sent := note{Text: "hello", At: time.Unix(1700000000, 123456789).UTC()}
		c.Assert(left.Send(right.Address(), sent), qt.IsNil)
		got := right.next(c)
		c.Assert(got.Message, qt.DeepEquals, any(sent))
		c.Assert(got.From, qt.Equals, left.Address().Member)
		c.Assert(got.Source, qt.Equals, left.Address().AddrPort)
	})
	c.Run("forwarded datagram", func(c *qt.C) {
		sent := Forward{
			Caller:  netip.MustParseAddrPort("[2001:db8::1]:5683"),
			Service: netip.MustParseAddrPort("192.0.2.1:5683"),
			Payload: bytes.Repeat([]byte{9}, 2048),
		}
		c.Assert(left.Send(right.Address(), sent), qt.IsNil)
		c.Assert(right.next(c).Message, _equals, any(sent))
	})
	c.Run("batched messages", func(c *qt.C) {
		before := left.sealer.counter.Load()
		messages := make([]any, 0, 30)
		for index := range 30 {
			messages = append(messages, note{Bytes: bytes.Repeat([]byte{byte(index)}, 90)})
		}
		c.Assert(left.Send(right.Address(), messages...), qt.IsNil)
		for _, message := range messages {
			c.Assert(right.next(c).Message, qt.DeepEquals, message)
		}
		c.Assert(left.sealer.counter.Load()-before, qt.Equals, uint64(3))
	})
	c.Run("concurrent", func(c *qt.C) {
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 8 {
					c.Check(left.Send(right.Address(), note{Text: "x"}), qt.IsNil)
				}
			})
		}
		group.Wait()
		for range 64 {
			c.Assert(right.next(c).Message, qt.DeepEquals, any(note{Text: "x"}))
		}
	})
	c.Run("too large", func(c *qt.C) {
		err := left.Send(right.Address(), note{Bytes: make([]byte, MaxBody)})
		c.Assert(err, qt.ErrorAs, new(TooLargeError))
	})
	c.Run("address without member", func(c *qt.C) {
		unbound := Address{AddrPort: right.Address().AddrPort}
		c.Assert(left.Send(unbound, note{}), qt.ErrorAs, new(UnboundError))
		c.Assert(left.Send(unbound, hello{Seed: "x"}), qt.IsNil)
		c.Assert(right.next(c).Message, qt.Equals, any(hello{Seed: "x"}))
	})
	c.Run("unregistered type", func(c *qt.C) {
		c.Assert(left.Send(right.Address(), struct{}{}), qt.ErrorAs, new(UnregisteredError))
	})
	c.Assert(right.DropCounts(), qt.HasLen, 0)
}

func TestKeyReplacement(t *testing.T) {
	c := qt.New(t)
	oldKey, newKey := testKey(c, 1), testKey(c, 2)
	before := listen(c, "before", func(config *Config) { config.Keys = []Key{oldKey, newKey} })
	after := listen(c, "after", func(config *Config) { config.Keys = []Key{newKey, oldKey} })
	c.Assert(before.Send(after.Address(), note{Text: "old"}), qt.IsNil)
	c.Assert(after.next(c).Message, qt.DeepEquals, any(note{Text: "old"}))
	c.Assert(after.Send(before.Address(), note{Text: "new"}), qt.IsNil)
	c.Assert(before.next(c).Message, qt.DeepEquals, any(note{Text: "new"}))
	serve(c, before)
	serve(c, after)
	_, err := before.Exchange(context.Background(), after.Address(), note{})
	c.Assert(err, qt.IsNil)
	_, err = after.Exchange(context.Background(), before.Address(), note{})
	c.Assert(err, qt.IsNil)
}
