package peer

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

const _maxPortAttempts = 16

// listenTCPAndUDP opens a TCP and a UDP socket on the same address and port. With port 0 it tries up to
// _maxPortAttempts ports until one is free for both.
func listenTCPAndUDP(address netip.AddrPort) (*net.TCPListener, *net.UDPConn, error) {
	var lastErr error
	for range _maxPortAttempts {
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err != nil {
			return nil, nil, eris.Wrapf(err, "listen for peers on %s; free the port or change Peer.Listen", address)
		}
		port := tcp.Addr().(*net.TCPAddr).AddrPort().Port()
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), port)))
		if err == nil {
			return tcp, udp, nil
		}
		_ = tcp.Close()
		lastErr = err
		if address.Port() != 0 {
			break
		}
	}
	return nil, nil, eris.Wrapf(lastErr, "listen for peers on %s; free the port or change Peer.Listen", address)
}
