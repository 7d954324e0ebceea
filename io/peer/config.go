package peer

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
)

const (
	_maxSenders            = 4096
	_senderIdleTimeout     = 10 * time.Minute
	_exchangeTimeout       = 5 * time.Second
	_maxConnections        = 128
	_maxBulkExchanges      = 4
	_connectionIdleTimeout = 20 * time.Second
	_udpReadBuffer         = 4 << 20
)

// Config configures a Conn. Member, Keys and Registry are required; other fields have defaults.
type Config struct {
	// Member identifies this instance. Each restart must use a greater incarnation.
	Member id.Member
	// Listen is the address of both the UDP and the TCP socket. Port 0 selects a port that is free for both.
	Listen netip.AddrPort
	// Advertise is the address that peers send to. It defaults to the address of the UDP socket.
	Advertise netip.AddrPort
	// Keys are the shared keys. The first encrypts outgoing datagrams and identifies this instance in TLS; peers may
	// use any of them.
	Keys []Key
	// Registry holds the message types that can be sent and received.
	Registry *Registry
	// Observer is notified of traffic. It may be nil.
	Observer Observer
	// MaxSenders limits the number of instances for which sender state is kept.
	MaxSenders int
	// SenderIdleTimeout is how long a silent sender is kept once the sender table is full. Its replay window is
	// evicted with it, so that a replayed datagram of this sender would then be accepted once.
	SenderIdleTimeout time.Duration
	// ExchangeTimeout limits exchanges whose context has no deadline.
	ExchangeTimeout time.Duration
	// MaxConnections limits the outgoing exchanges in progress and the cached connections, and, separately, the
	// accepted connections.
	MaxConnections int
	// MaxBulkExchanges limits the concurrent incoming exchanges whose request or answer is large.
	MaxBulkExchanges int
	// ConnectionIdleTimeout is how long an unused connection stays cached.
	ConnectionIdleTimeout time.Duration
	// DisabledChecks turns off security checks, for tests that show which attack each check prevents.
	DisabledChecks DisabledChecks
}

// DisabledChecks selects security checks to turn off. Use it in tests only.
type DisabledChecks struct {
	ReplayWindow       bool
	DestinationBinding bool
	PeerVerification   bool
}

var (
	// ErrNoKey is returned by Listen if Config.Keys is empty.
	ErrNoKey = eris.New("no shared key for peer traffic; set Peer.KeyFiles")
	// ErrNoRegistry is returned by Listen if Config.Registry is nil.
	ErrNoRegistry = eris.New("no message registry for peer traffic; set Config.Registry")
	// ErrInstanceName is returned by Listen if the instance name does not fit the datagram header.
	ErrInstanceName = eris.New("instance name is empty or longer than 64 bytes; " +
		"change Instance")
	// ErrNoAdvertise is returned by Listen if Config.Listen is a wildcard address and Config.Advertise is not set.
	ErrNoAdvertise = eris.New("Peer.Listen is a wildcard address, which peers cannot send to; set Peer.Advertise")
)

func (config Config) withDefaults() Config {
	if config.Observer == nil {
		config.Observer = nopObserver{}
	}
	if !config.Listen.IsValid() {
		config.Listen = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	config.MaxSenders = orDefault(config.MaxSenders, _maxSenders)
	config.SenderIdleTimeout = orDefault(config.SenderIdleTimeout, _senderIdleTimeout)
	config.ExchangeTimeout = orDefault(config.ExchangeTimeout, _exchangeTimeout)
	config.MaxConnections = orDefault(config.MaxConnections, _maxConnections)
	config.MaxBulkExchanges = orDefault(config.MaxBulkExchanges, _maxBulkExchanges)
	config.ConnectionIdleTimeout = orDefault(config.ConnectionIdleTimeout, _connectionIdleTimeout)
	return config
}

func (config Config) validate() error {
	switch {
	case len(config.Keys) == 0:
		return ErrNoKey
	case config.Registry == nil:
		return ErrNoRegistry
	case config.Member.Instance == "" || len(config.Member.Instance) > MaxInstanceLength:
		return ErrInstanceName
	case config.Listen.Addr().IsUnspecified() && !config.Advertise.IsValid():
		return ErrNoAdvertise
	default:
		return nil
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
