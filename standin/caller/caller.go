// Package caller simulates a caller: it opens feeds, sends orders and fetches exports over CoAP.
package caller

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/rotisserie/eris"

	"azureshift/core/id"
	"azureshift/io/coap"
)

// ErrNoAnswer is returned when neither a request nor any of its retransmissions was answered.
var ErrNoAnswer = errors.New("no answer")

const (
	_maxDatagram   = 2048
	_maxAckTimeout = 4 * time.Second
)

// Outcome classifies the result of a request.
type Outcome int

const (
	// OutcomeAnswered means that the service answered.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that the request was refused and did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// Config configures one caller.
type Config struct {
	// ServiceName is the name of the service, and ServiceAddress its address.
	ServiceName    id.Service
	ServiceAddress netip.AddrPort
	// AckTimeout is the time before the first retransmission; it doubles with each one.
	AckTimeout time.Duration
	// MaxRetransmit is the maximum number of retransmissions.
	MaxRetransmit int
}

// Caller is one caller with its own address. It is not safe for concurrent use.
type Caller struct {
	config        Config
	conn          *net.UDPConn
	lastMessageID uint16
	buffer        []byte
}

// New opens the socket of a caller.
func New(config Config) (*Caller, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(config.ServiceAddress))
	if err != nil {
		return nil, eris.Wrapf(err, "dial service %s", config.ServiceAddress)
	}
	return &Caller{
		config:        config,
		conn:          conn,
		lastMessageID: uint16(rand.Uint32()),
		buffer:        make([]byte, _maxDatagram),
	}, nil
}

// Close closes the socket.
func (caller *Caller) Close() error {
	return eris.Wrap(caller.conn.Close(), "close caller socket")
}

// Order sends an order and returns its answer. Retransmissions keep the token and the message ID.
func (caller *Caller) Order(ctx context.Context, payload []byte) (coap.Message, error) {
	return caller.exchange(ctx, coap.Message{Code: codes.POST, Options: caller.uriPath(), Payload: payload})
}

// OutcomeOf returns the outcome that a result of Order or Export stands for.
func OutcomeOf(answer coap.Message, err error) Outcome {
	switch {
	case err != nil, answer.Code == codes.GatewayTimeout:
		return OutcomeUnknown
	case answer.Code == codes.ServiceUnavailable:
		return OutcomeNotRun
	default:
		return OutcomeAnswered
	}
}

func (caller *Caller) exchange(ctx context.Context, request coap.Message) (coap.Message, error) {
	request.Token = newToken()
	caller.lastMessageID++
	request.MessageID = int32(caller.lastMessageID)
	timeout := caller.config.AckTimeout
	for attempt := 0; attempt <= caller.config.MaxRetransmit; attempt++ {
		if ctx.Err() != nil {
			return coap.Message{}, eris.Wrap(ctx.Err(), "wait for answer")
		}
		if err := caller.transmit(request); err != nil {
			return coap.Message{}, err
		}
		answer, err := caller.receive(request.Token, timeout)
		if err == nil {
			return answer, nil
		}
		timeout = min(2*timeout, _maxAckTimeout)
	}
	return coap.Message{}, eris.Wrapf(ErrNoAnswer, "send request with %d retransmissions", caller.config.MaxRetransmit)
}

func (caller *Caller) transmit(request coap.Message) error {
	request.Type = message.Confirmable
	encoded, err := coap.Encode(request)
	if err != nil {
		return err
	}
	// The next retransmission makes up for a refused or lost datagram.
	_, _ = caller.conn.Write(encoded)
	return nil
}

// receive waits for a message with the token. It ignores errors that the network reports.
func (caller *Caller) receive(token []byte, timeout time.Duration) (coap.Message, error) {
	if err := caller.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return coap.Message{}, eris.Wrap(err, "set read deadline")
	}
	for {
		size, err := caller.conn.Read(caller.buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return coap.Message{}, eris.Wrap(err, "read answer")
		}
		if err != nil {
			continue
		}
		answer, err := coap.Decode(append([]byte(nil), caller.buffer[:size]...))
		if err == nil && string(answer.Token) == string(token) {
			return answer, nil
		}
	}
}

func (caller *Caller) uriPath() message.Options {
	return message.Options{{ID: message.URIPath, Value: []byte(caller.config.ServiceName)}}
}

func newToken() []byte {
	return binary.BigEndian.AppendUint64(nil, rand.Uint64())
}
