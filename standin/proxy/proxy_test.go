package proxy

import (
	"bufio"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startEchoServer starts a server that echoes each line, and returns its address.
func startEchoServer(c *qt.C) netip.AddrPort {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for lines := bufio.NewScanner(connection); lines.Scan(); {
					_, _ = connection.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func startProxy(c *qt.C) *Proxy {
	proxy, err := Start(netip.MustParseAddrPort("127.0.0.1:0"), startEchoServer(c))
	c.Assert(err, qt.IsNil)
	c.Cleanup(proxy.Close)
	return proxy
}

func dialProxy(c *qt.C, proxy *Proxy) net.Conn {
	connection, err := net.Dial("tcp4", proxy.listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = connection.Close() })
	return connection
}

// echoesLine reports whether a line is echoed within 200 ms.
func echoesLine(connection net.Conn) bool {
	_, _ = connection.Write([]byte("hello\n"))
	_ = connection.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := bufio.NewReader(connection).ReadString('\n')
	return err == nil
}

func TestProxy(t *testing.T) {
	c := qt.New(t)
	c.Run("forwards", func(c *qt.C) {
		c.Assert(echoesLine(dialProxy(c, startProxy(c))), qt.IsTrue)
	})
	c.Run("cuts one direction", func(c *qt.C) {
		proxy := startProxy(c)
		connection := dialProxy(c, proxy)
		c.Assert(echoesLine(connection), qt.IsTrue)
		proxy.SetFault(Fault{CutFromTarget: true})
		c.Assert(echoesLine(connection), qt.IsFalse)
		proxy.SetFault(Fault{})
		c.Assert(echoesLine(connection), qt.IsTrue)
	})
	c.Run("resets connections", func(c *qt.C) {
		proxy := startProxy(c)
		connection := dialProxy(c, proxy)
		c.Assert(echoesLine(connection), qt.IsTrue)
		proxy.SetFault(Fault{Reset: true})
		c.Assert(echoesLine(connection), qt.IsFalse)
		proxy.SetFault(Fault{})
		c.Assert(echoesLine(dialProxy(c, proxy)), qt.IsTrue)
	})
	c.Run("silences open connections while new ones work", func(c *qt.C) {
		proxy := startProxy(c)
		connection := dialProxy(c, proxy)
		c.Assert(echoesLine(connection), qt.IsTrue)
		proxy.SetFault(Fault{SilenceOpen: true})
		c.Assert(echoesLine(connection), qt.IsFalse)
		c.Assert(echoesLine(dialProxy(c, proxy)), qt.IsTrue)
	})
}
