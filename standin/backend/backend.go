// Package backend simulates a backend server: a CoAP server with feeds, orders and exports.
package backend

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"azureshift/core/id"
	"azureshift/io/coap"
)

const (
	_maxDatagram         = 2048
	_defaultNotifyPeriod = time.Second
	_defaultFeedLifetime = time.Minute
	_headerTimeout       = time.Second
)

// Config configures one backend server.
type Config struct {
	Service id.Service     `json:"Service"`
	Target  id.Target      `json:"Target"`
	Listen  netip.AddrPort `json:"Listen"`
	// Health is the address of the HTTP health page; none is served where it is unset.
	Health       netip.AddrPort `json:"Health"`
	Slots        int            `json:"Slots"`
	ServiceTime  time.Duration  `json:"ServiceTime"`
	NotifyPeriod time.Duration  `json:"NotifyPeriod"`
	// FeedLifetime is how long a feed lasts unless it is registered again.
	FeedLifetime time.Duration `json:"FeedLifetime"`
	ExportBlocks int           `json:"ExportBlocks"`
	// ReportLag is how long the health page repeats a reported load before it updates it.
	ReportLag time.Duration `json:"ReportLag"`
	// ReportLies makes the health page always report a load of zero.
	ReportLies bool `json:"ReportLies"`
}

// Totals counts what a backend server has done. RunsByPayload counts the runs of each order by its payload, and
// MaxBusySlots is the highest number of slots in use at once.
type Totals struct {
	RunsByPayload map[string]int
	Refused       int
	Misrouted     int
	MaxBusySlots  int
}

// Backend is a simulated backend server.
type Backend struct {
	config       Config
	conn         *net.UDPConn
	healthServer *http.Server
	group        conc.WaitGroup

	mu            sync.Mutex
	busySlots     int
	lastMessageID uint16
	feeds         map[feedKey]*feed
	// answers holds the answer to each exchange; nil while the request runs.
	answers    map[exchangeKey]*coap.Message
	totals     Totals
	lastReport HealthReport
}

type exchangeKey struct {
	peer      netip.AddrPort
	messageID int32
}

// New opens the sockets of a backend server.
func New(config Config) (*Backend, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", config.Listen)
	}
	backend := &Backend{
		config:  config.withDefaults(),
		conn:    conn,
		feeds:   make(map[feedKey]*feed),
		answers: make(map[exchangeKey]*coap.Message),
		totals:  Totals{RunsByPayload: make(map[string]int)},
	}
	backend.healthServer = &http.Server{Handler: backend.healthHandler(), ReadHeaderTimeout: _headerTimeout}
	return backend, nil
}

// Run serves until the context ends.
func (backend *Backend) Run(ctx context.Context) {
	backend.group.Go(func() { backend.readRequests(ctx) })
	backend.group.Go(func() { backend.notifyFeeds(ctx) })
	backend.group.Go(backend.serveHealth)
	<-ctx.Done()
	_ = backend.healthServer.Close()
	_ = backend.conn.Close()
	backend.group.Wait()
}

// Totals returns what the server has done so far.
func (backend *Backend) Totals() Totals {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	totals := backend.totals
	totals.RunsByPayload = maps.Clone(backend.totals.RunsByPayload)
	return totals
}

func (config Config) withDefaults() Config {
	if config.NotifyPeriod == 0 {
		config.NotifyPeriod = _defaultNotifyPeriod
	}
	if config.FeedLifetime == 0 {
		config.FeedLifetime = _defaultFeedLifetime
	}
	return config
}

func (backend *Backend) readRequests(ctx context.Context) {
	buffer := make([]byte, _maxDatagram)
	for ctx.Err() == nil {
		size, peer, err := backend.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		request, err := coap.Decode(append([]byte(nil), buffer[:size]...))
		if err != nil || !coap.IsRequest(request) {
			continue
		}
		backend.handle(netip.AddrPortFrom(peer.Addr().Unmap(), peer.Port()), request)
	}
}

func (backend *Backend) handle(peer netip.AddrPort, request coap.Message) {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	if path, err := request.Options.Path(); err == nil && path != "/"+string(backend.config.Service) {
		backend.totals.Misrouted++
	}
	switch coap.Classify(request) {
	case coap.ClassFeed:
		backend.registerFeed(peer, request)
	case coap.ClassOrder, coap.ClassExport:
		backend.execute(peer, request)
	}
}

// execute runs an order or export in a free slot, once for each message ID of a peer: a retransmission gets the stored
// answer, or none while the request still runs.
func (backend *Backend) execute(peer netip.AddrPort, request coap.Message) {
	key := exchangeKey{peer: peer, messageID: request.MessageID}
	stored, seen := backend.answers[key]
	switch {
	case seen && stored != nil:
		backend.send(peer, *stored)
	case seen:
	case backend.busySlots >= backend.config.Slots:
		backend.totals.Refused++
		refusal := newReply(request, codes.ServiceUnavailable)
		refusal.Options = message.Options{{ID: message.MaxAge, Value: []byte{1}}}
		backend.send(peer, refusal)
	default:
		backend.startExecution(key, request)
	}
}

func (backend *Backend) startExecution(key exchangeKey, request coap.Message) {
	backend.busySlots++
	backend.totals.MaxBusySlots = max(backend.totals.MaxBusySlots, backend.busySlots)
	if coap.Classify(request) == coap.ClassOrder {
		backend.totals.RunsByPayload[string(request.Payload)]++
	}
	backend.answers[key] = nil
	backend.group.Go(func() { backend.finishExecution(key, request) })
}

func (backend *Backend) finishExecution(key exchangeKey, request coap.Message) {
	time.Sleep(backend.config.ServiceTime)
	answer := backend.buildAnswer(request)
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.busySlots--
	backend.answers[key] = &answer
	backend.send(key.peer, answer)
}

func (backend *Backend) buildAnswer(request coap.Message) coap.Message {
	if coap.Classify(request) == coap.ClassExport {
		return exportAnswer(request, backend.config.ExportBlocks)
	}
	answer := newReply(request, codes.Changed)
	answer.Payload = []byte(string(backend.config.Target) + " ran " + string(request.Payload))
	return answer
}

func (backend *Backend) send(peer netip.AddrPort, answer coap.Message) {
	encoded, err := coap.Encode(answer)
	if err != nil {
		return
	}
	_, _ = backend.conn.WriteToUDPAddrPort(encoded, peer)
}

func newReply(request coap.Message, code codes.Code) coap.Message {
	return coap.Message{
		Code:      code,
		Token:     request.Token,
		MessageID: request.MessageID,
		Type:      message.Acknowledgement,
	}
}
