package peer

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"azureshift/core/id"
	"azureshift/io/peer/wire"
)

const (
	// _envelopeOverhead is the space allowed for the fields of an envelope other than its body.
	_envelopeOverhead = 4 << 10
	// _maxRetainedBuffer is the size above which a stream drops its write buffer after use.
	_maxRetainedBuffer = 64 << 10
	_maxCachedPerPeer  = 4
)

// connectionPool dials, caches and limits outgoing connections to peers.
type connectionPool struct {
	tls    *tls.Config
	cached *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	// slots limits the exchanges in progress.
	slots chan struct{}
}

func newConnectionPool(config Config, clientTLS *tls.Config) *connectionPool {
	return &connectionPool{
		tls: clientTLS,
		cached: drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{
			Expiration:  config.ConnectionIdleTimeout,
			Capacity:    config.MaxConnections,
			KeyCapacity: _maxCachedPerPeer,
		}),
		slots: make(chan struct{}, config.MaxConnections),
	}
}

// Exchange sends a message and returns the answer, which is nil if the peer answered without a message. It returns a
// RemoteError if the peer rejected the message or failed to handle it, and an ExchangeError if no valid answer
// arrived. It is safe for concurrent use.
func (conn *Conn) Exchange(ctx context.Context, to Address, message any) (any, error) {
	to.AddrPort = unmapAddrPort(to.AddrPort)
	found, err := conn.config.Registry.lookup(message)
	if err != nil {
		return nil, err
	}
	if to.Member.Instance == "" && !found.allowUnbound {
		return nil, UnboundError{Kind: found.kind}
	}
	envelope, err := conn.config.Registry.Encode(message)
	if err != nil {
		return nil, err
	}
	if len(envelope.Body) > MaxExchangeBody {
		return nil, TooLargeError{Kind: found.kind, Size: len(envelope.Body), Limit: MaxExchangeBody}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, conn.config.ExchangeTimeout)
		defer cancel()
	}
	answer, err := conn.pool.invoke(ctx, to, conn.toWireEnvelope(envelope, to.Member))
	if err != nil {
		return nil, err
	}
	conn.config.Observer.Sent(envelope.Kind, len(envelope.Body))
	return conn.decodeAnswer(answer, to)
}

func (connectionPool *connectionPool) invoke(
	ctx context.Context, to Address, request *wire.Envelope,
) (*wire.Envelope, error) {
	select {
	case connectionPool.slots <- struct{}{}:
		defer func() { <-connectionPool.slots }()
	case <-ctx.Done():
		return nil, ExchangeError{Address: to.AddrPort, Unsent: true, Cause: ctx.Err()}
	}
	connection, ok := connectionPool.cached.Take(to.AddrPort)
	if !ok {
		var err error
		if connection, err = connectionPool.dial(ctx, to.AddrPort); err != nil {
			return nil, ExchangeError{Address: to.AddrPort, Unsent: true, Cause: err}
		}
	}
	answer, err := wire.NewDRPCPeerClient(connection).Exchange(ctx, request)
	code := drpcerr.Code(err)
	if err != nil && code == 0 {
		// The connection may fail later with the error of this exchange.
		_ = connection.Close()
		return nil, ExchangeError{Address: to.AddrPort, Cause: err}
	}
	connectionPool.release(to.AddrPort, connection, len(request.GetBody())+len(answer.GetBody()))
	if err != nil {
		return nil, RemoteError{Member: to.Member, Refusal: Refusal(code), Text: err.Error()}
	}
	return answer, nil
}

// release caches a connection for the next exchange. It closes connections that carried large messages, as both sides
// would retain buffers of that size.
func (connectionPool *connectionPool) release(address netip.AddrPort, connection *drpcconn.Conn, size int) {
	if size > _bulkThreshold {
		_ = connection.Close()
		return
	}
	connectionPool.cached.Put(address, connection)
}

// decodeAnswer returns the message in an answer, after checking that the addressed incarnation sent it.
func (conn *Conn) decodeAnswer(answer *wire.Envelope, to Address) (any, error) {
	from := fromWireMember(answer.GetSender())
	if to.Member.Instance != "" && from != to.Member {
		cause := eris.Errorf("answered by incarnation %d of %s instead", from.Incarnation, from.Instance)
		return nil, ExchangeError{Address: to.AddrPort, Cause: cause}
	}
	if answer.GetKind() == 0 {
		return nil, nil
	}
	if answer.GetKind() > math.MaxUint16 {
		return nil, UnknownKindError{Kind: math.MaxUint16}
	}
	kind := Kind(answer.GetKind())
	conn.config.Observer.Received(kind, len(answer.GetBody()))
	return conn.config.Registry.Decode(Envelope{Kind: kind, Body: answer.GetBody()})
}

func (connectionPool *connectionPool) dial(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	dialer := tls.Dialer{NetDialer: &net.Dialer{}, Config: connectionPool.tls}
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "connect to peer at %s", address)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

func (conn *Conn) toWireEnvelope(envelope Envelope, to id.Member) *wire.Envelope {
	return &wire.Envelope{
		Kind:        uint32(envelope.Kind),
		Body:        envelope.Body,
		Sender:      toWireMember(conn.config.Member),
		Destination: toWireMember(to),
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxExchangeBody + _envelopeOverhead},
		Stream: drpcstream.Options{MaximumBufferSize: _maxRetainedBuffer},
	}
}

func toWireMember(member id.Member) *wire.Member {
	return &wire.Member{Instance: string(member.Instance), Incarnation: uint64(member.Incarnation)}
}

func fromWireMember(member *wire.Member) id.Member {
	return id.Member{
		Instance:    id.Instance(member.GetInstance()),
		Incarnation: id.Incarnation(member.GetIncarnation()),
	}
}
