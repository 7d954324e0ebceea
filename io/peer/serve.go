package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"azureshift/core/id"
	"azureshift/io/peer/wire"
)

const (
	_handshakeTimeout = 5 * time.Second
	_writeTimeout     = 10 * time.Second
	_acceptRetryDelay = 100 * time.Millisecond
	// _idleFactor is the idle timeout of accepted connections as a multiple of Config.ConnectionIdleTimeout.
	_idleFactor = 2
)

// Handler answers an exchange. The sender is known to hold a shared key; from is the member that it claims to be, which
// is not verified, as members trust each other. A nil answer is sent as an answer without a message.
type Handler func(ctx context.Context, from id.Member, message any) (any, error)

// exchangeServer handles the exchanges of one accepted connection.
type exchangeServer struct {
	conn    *Conn
	handler Handler
	limiter *bulkLimiter
}

var _ wire.DRPCPeerServer = (*exchangeServer)(nil)

// Serve accepts connections and answers exchanges with handler until the context ends or the Conn is closed. It must
// be called at most once.
func (conn *Conn) Serve(ctx context.Context, handler Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.tcp.Close() })
	defer stop()
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	slots := make(chan struct{}, conn.config.MaxConnections)
	bulkSlots := make(chan struct{}, conn.config.MaxBulkExchanges)
	for {
		raw, err := conn.tcp.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		default:
			time.Sleep(_acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.recordDrop(DropConnectionsFull)
			_ = raw.Close()
			continue
		}
		group.Go(func() {
			defer func() { <-slots }()
			conn.serveConnection(ctx, raw, handler, &bulkLimiter{slots: bulkSlots})
		})
	}
}

// serveConnection authenticates the peer and answers its exchanges until the connection is closed or idle for too long.
func (conn *Conn) serveConnection(ctx context.Context, raw net.Conn, handler Handler, limiter *bulkLimiter) {
	defer func() { _ = raw.Close() }()
	defer limiter.close()
	handshake, cancel := context.WithTimeout(ctx, _handshakeTimeout)
	defer cancel()
	secured := tls.Server(raw, conn.serverTLS)
	if err := secured.HandshakeContext(handshake); err != nil {
		conn.recordDrop(DropHandshakeFailed)
		return
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, &exchangeServer{conn: conn, handler: handler, limiter: limiter}); err != nil {
		return
	}
	server := drpcserver.NewWithOptions(releaseHandler{Handler: mux, limiter: limiter},
		drpcserver.Options{Manager: managerOptions()})
	bounded := boundedConn{Conn: secured, idle: _idleFactor * conn.config.ConnectionIdleTimeout, limiter: limiter}
	// The error only describes how the connection ended, which the peer sees as well.
	_ = server.ServeOne(ctx, bounded)
}

// Exchange decodes a request, passes it to the handler and encodes the answer.
func (server *exchangeServer) Exchange(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error) {
	conn := server.conn
	message, err := conn.decodeRequest(request)
	if err != nil {
		return nil, err
	}
	answer, err := server.handler(ctx, fromWireMember(request.GetSender()), message)
	if err != nil {
		return nil, withRefusal(RefusalHandlerFailed, err)
	}
	if answer == nil {
		return conn.toWireEnvelope(Envelope{}, fromWireMember(request.GetSender())), nil
	}
	envelope, err := conn.config.Registry.Encode(answer)
	if err != nil {
		return nil, withRefusal(RefusalHandlerFailed, err)
	}
	if len(envelope.Body) > MaxExchangeBody {
		tooLarge := TooLargeError{Kind: envelope.Kind, Size: len(envelope.Body), Limit: MaxExchangeBody}
		return nil, withRefusal(RefusalHandlerFailed, tooLarge)
	}
	if len(envelope.Body) > _bulkThreshold {
		if err := server.limiter.acquire(); err != nil {
			conn.recordDrop(DropBulkFull)
			return nil, withRefusal(RefusalHandlerFailed, err)
		}
	}
	conn.config.Observer.Sent(envelope.Kind, len(envelope.Body))
	return conn.toWireEnvelope(envelope, fromWireMember(request.GetSender())), nil
}

// decodeRequest returns the message in a request after checking that it is addressed to this incarnation.
func (conn *Conn) decodeRequest(request *wire.Envelope) (any, error) {
	destination := fromWireMember(request.GetDestination())
	bound := destination.Instance != ""
	if bound && destination != conn.config.Member {
		conn.recordDrop(DropMisdirected)
		return nil, withRefusal(RefusalWrongDestination, eris.New("message is addressed to another instance or incarnation"))
	}
	if request.GetKind() > math.MaxUint16 {
		conn.recordDrop(DropUnknownKind)
		return nil, withRefusal(RefusalUnknownKind, UnknownKindError{Kind: math.MaxUint16})
	}
	kind := Kind(request.GetKind())
	found, ok := conn.config.Registry.byKind[kind]
	switch {
	case !ok:
		conn.recordDrop(DropUnknownKind)
		return nil, withRefusal(RefusalUnknownKind, UnknownKindError{Kind: kind})
	case !bound && !found.allowUnbound:
		conn.recordDrop(DropUnbound)
		return nil, withRefusal(RefusalUnbound, UnboundError{Kind: kind})
	}
	conn.config.Observer.Received(kind, len(request.GetBody()))
	message, err := conn.config.Registry.Decode(Envelope{Kind: kind, Body: request.GetBody()})
	if err != nil {
		conn.recordDrop(DropMalformedBody)
		return nil, withRefusal(RefusalMalformedBody, err)
	}
	return message, nil
}
