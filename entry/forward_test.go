package entry

import (
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/target"
	"azureshift/platform"
)

// request returns a packet with data of an established flow from the client's source port sport.
func request(sport uint16, cookie packet.Cookie, sequence uint32) []byte {
	const dataSize = 180
	raw := make([]byte, 32+dataSize)
	raw[0], raw[1], raw[2], raw[3] = byte(sequence>>24), byte(sequence>>16), byte(sequence>>8), byte(sequence)
	raw[9] = dataSize
	raw[14], raw[15], raw[16], raw[17] = byte(cookie>>24), byte(cookie>>16), byte(cookie>>8), byte(cookie)
	raw[18], raw[19] = byte(sport>>8), byte(sport)
	copy(raw[20:], []byte{100, 64, 0, 7, 1, 187, 198, 18, 0, 1})
	raw[30] = 2
	return raw
}

// tableWith returns a table with one route and one usable server.
func tableWith(server target.Target) *steer.Table {
	usable := &steer.Server{Target: server, Cookie: target.CookieOf(server.Number), Condition: steer.Usable, Warm: true}
	endpoint := packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 443}
	table := &steer.Table{
		Version: 1, IdleTimeout: time.Minute, AllRegistered: true,
		Routes: map[packet.Endpoint]*route.Route{endpoint: {Endpoint: endpoint, Timeout: time.Second}},
	}
	table.Add(usable)
	return table
}

// BenchmarkPacketInMemory measures the handling of a packet of an established flow without socket calls.
func BenchmarkPacketInMemory(b *testing.B) {
	const flows = 7000
	server := target.Target{ID: "i-1", Number: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	steering := steer.New(steer.Config{})
	steering.SetTable(tableWith(server))
	packets := make([][]byte, flows)
	for index := range packets {
		packets[index] = append(make([]byte, platform.TagSize), request(uint16(1024+index), 1, 1000)...)
	}
	b.ReportAllocs()
	now := time.Duration(0)
	for index := 0; b.Loop(); index++ {
		now += time.Microsecond
		raw := packets[index%flows]
		header, _ := platform.DecodePacket(raw[platform.TagSize:])
		decision := steering.Decide(now, header)
		platform.SetDestination(raw, decision.Server.Number, decision.Server.Cookie)
	}
}

// BenchmarkPacketOverLoopback measures the whole path of a packet through an instance, including the sockets on both
// sides.
func BenchmarkPacketOverLoopback(b *testing.B) {
	c := qt.New(b)
	receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	defer func() { _ = receiver.Close() }()
	daemon, sender := startForwarding(c, receiver)
	const window = 64
	received := make([]byte, platform.TagSize+platform.PacketSize)
	packet := request(1024, 1, 1000)
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		if _, err := sender.WriteToUDPAddrPort(packet, daemon.settings.Packets.Listen); err != nil {
			b.Fatal(err)
		}
		if index < window {
			continue
		}
		if _, _, err := receiver.ReadFromUDPAddrPort(received); err != nil {
			b.Fatal(err)
		}
	}
}

// startForwarding starts the packet loop of an instance that knows one server, and returns the instance and a socket to
// send packets from.
func startForwarding(c *qt.C, receiver *net.UDPConn) (*Daemon, *net.UDPConn) {
	daemon := newDaemon(c, Config{Settings: newSettings(c)})
	address := receiver.LocalAddr().(*net.UDPAddr).AddrPort()
	daemon.steering.SetTable(tableWith(target.Target{ID: "i-1", Number: 1, Address: address}))
	close(daemon.firstReady)
	go daemon.readPackets()
	sender, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = sender.Close()
	})
	return daemon, sender
}

// TestForwardedPacket checks that a forwarded packet is preceded by the server's number and is otherwise unchanged.
func TestForwardedPacket(t *testing.T) {
	c := qt.New(t)
	receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	defer func() { _ = receiver.Close() }()
	daemon, sender := startForwarding(c, receiver)
	packet := request(1024, 1, 1000)
	_, err = sender.WriteToUDPAddrPort(packet, daemon.settings.Packets.Listen)
	c.Assert(err, qt.IsNil)
	received := make([]byte, platform.TagSize+platform.PacketSize)
	c.Assert(receiver.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	size, _, err := receiver.ReadFromUDPAddrPort(received)
	c.Assert(err, qt.IsNil)
	c.Assert(received[:platform.TagSize], qt.DeepEquals, []byte{0, 0, 0, 0, 0, 0, 0, 1})
	c.Assert(received[platform.TagSize:size], qt.DeepEquals, packet)
}

// TestPacketsAfterASuspension lets a packet of an unknown server arrive after the machine was suspended and before the
// control loop notices. The table seems recent then, as the clock did not count the suspension.
func TestPacketsAfterASuspension(t *testing.T) {
	c := qt.New(t)
	daemon := newDaemon(c, Config{Settings: newSettings(c)})
	table := tableWith(target.Target{ID: "i-1", Number: 1, Address: netip.MustParseAddrPort("127.0.0.1:9")})
	daemon.steering.SetTable(table)
	raw := append(make([]byte, platform.TagSize), request(1024, 4711, 1000)...)
	header, ok := platform.DecodePacket(raw[platform.TagSize:])
	c.Assert(ok, qt.IsTrue)
	decided := func() steer.Decision {
		decision, _ := daemon.decide(daemon.clock.now(), header)
		return decision
	}
	c.Run("is reset while the table is recent", func(c *qt.C) {
		c.Assert(decided().Action.String(), qt.Equals, steer.Drop.String())
		confirmed := *table
		confirmed.ConfirmedAt = daemon.clock.now()
		daemon.steering.SetTable(&confirmed)
		c.Assert(decided().Action.String(), qt.Equals, steer.Reset.String())
	})
	daemon.clock.bootOffset.Add(-int64(10 * time.Second))
	c.Run("is dropped until the suspension is noticed", func(c *qt.C) {
		c.Assert(decided().Action.String(), qt.Equals, steer.Drop.String())
		c.Assert(decided().Reason.String(), qt.Equals, steer.Stale.String())
	})
	c.Run("which the control loop does once", func(c *qt.C) {
		// The two clocks are read one after the other, so the span is exact only to _minSuspension.
		suspended := daemon.clock.suspended()
		c.Assert(suspended > 10*time.Second-_minSuspension, qt.IsTrue, qt.Commentf("%v", suspended))
		c.Assert(daemon.clock.justSuspended(), qt.IsFalse)
	})
}
