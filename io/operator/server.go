// Package operator serves metrics, liveness and readiness checks, and status of an entry instance over HTTP.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

const (
	_headerTimeout  = 2 * time.Second
	_readTimeout    = 5 * time.Second
	_writeTimeout   = 10 * time.Second
	_idleTimeout    = time.Minute
	_closeTimeout   = time.Second
	_maxHeaderBytes = 8 << 10
)

// Paths of the HTTP endpoints.
const (
	PathMetrics = "/metrics"
	PathLive    = "/live"
	PathReady   = "/ready"
	PathStatus  = "/status"
)

// Source provides the content of the responses. It is queried on every request, from the server's goroutines.
type Source interface {
	// Status returns the current status of the instance.
	Status() Status
	// Live reports whether the control thread makes progress. An instance that is not live should be restarted.
	Live() bool
	// NotReady returns the reasons why the instance should not receive traffic. It is empty if the instance is ready.
	NotReady() []Reason
}

// Config configures a Server.
type Config struct {
	// Listen is the address to listen on. It defaults to a free port on the loopback interface.
	Listen netip.AddrPort
	Source Source
	// Metrics serves the metrics endpoint. If nil, there is no such endpoint.
	Metrics http.Handler
}

// Server is the HTTP server for operators.
type Server struct {
	listener net.Listener
	server   *http.Server
	source   Source
}

// readinessBody is the response body of the readiness check.
type readinessBody struct {
	Ready   bool         `json:"Ready"`
	Reasons []reasonBody `json:"Reasons"`
}

type reasonBody struct {
	Reason Reason `json:"Reason"`
	Remedy string `json:"Remedy"`
}

type livenessBody struct {
	Live bool `json:"Live"`
}

// New returns a server that is listening on the configured address.
func New(config Config) (*Server, error) {
	if !config.Listen.IsValid() {
		config.Listen = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for operators on %s; free the port or change Operator.Listen", config.Listen)
	}
	server := &Server{listener: listener, source: config.Source}
	server.server = &http.Server{
		Handler:           server.handler(config.Metrics),
		ReadHeaderTimeout: _headerTimeout,
		ReadTimeout:       _readTimeout,
		WriteTimeout:      _writeTimeout,
		IdleTimeout:       _idleTimeout,
		MaxHeaderBytes:    _maxHeaderBytes,
	}
	return server, nil
}

// Address returns the address that the server listens on.
func (server *Server) Address() netip.AddrPort {
	return server.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until the context ends. Responses in progress then have _closeTimeout to finish.
func (server *Server) Run(ctx context.Context) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _closeTimeout)
		defer cancel()
		if server.server.Shutdown(shutdownCtx) != nil {
			_ = server.server.Close()
		}
	})
	err := server.server.Serve(server.listener)
	if !stop() {
		<-closed
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve the operator endpoints")
}

func (server *Server) handler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	if metrics != nil {
		mux.Handle("GET "+PathMetrics, metrics)
	}
	mux.HandleFunc("GET "+PathLive, server.live)
	mux.HandleFunc("GET "+PathReady, server.ready)
	mux.HandleFunc("GET "+PathStatus, server.status)
	return mux
}

func (server *Server) live(writer http.ResponseWriter, _ *http.Request) {
	live := server.source.Live()
	writeJSON(writer, statusCode(live), livenessBody{Live: live})
}

func (server *Server) ready(writer http.ResponseWriter, _ *http.Request) {
	reasons := server.source.NotReady()
	answer := readinessBody{Ready: len(reasons) == 0, Reasons: make([]reasonBody, 0, len(reasons))}
	for _, reason := range reasons {
		answer.Reasons = append(answer.Reasons, reasonBody{Reason: reason, Remedy: reason.Remedy()})
	}
	writeJSON(writer, statusCode(answer.Ready), answer)
}

func (server *Server) status(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, server.source.Status())
}

func statusCode(healthy bool) int {
	if healthy {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
