package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	core "azureshift/core/entry"
	"azureshift/event"
	"azureshift/io/relay"
	"azureshift/platform"
)

const (
	// _pageTimeout is the timeout for reading a request and for writing a page, so that stalled clients do not hold
	// connections.
	_pageTimeout = 5 * time.Second
	// _maxHeaderBytes bounds the headers of a request.
	_maxHeaderBytes = 16 << 10
	// _viewTimeout is the timeout for a view from the control loop.
	_viewTimeout = time.Second
)

// servePages serves the pages for readiness, metrics and views by HTTP until the context ends.
func (daemon *Daemon) servePages(ctx context.Context) {
	var pages conc.WaitGroup
	serve := func(address netip.AddrPort, handler http.Handler) {
		pages.Go(func() { daemon.servePage(ctx, address, handler) })
	}
	serve(daemon.settings.Readiness.Listen, platform.ReadinessHandler(daemon.ready.Load))
	serve(daemon.settings.Relay.Listen,
		relay.Handler(relay.HandlerConfig{View: daemon.view, Transfers: _maxViewTransfers}))
	if daemon.settings.Metrics.Listen.IsValid() {
		serve(daemon.settings.Metrics.Listen, daemon.metricsHandler())
	}
	pages.Wait()
}

// metricsHandler serves the pages of the metrics address.
func (daemon *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+_metricsPath, daemon.metrics.page)
	mux.HandleFunc("GET "+ServersPath, daemon.serveServers)
	mux.HandleFunc("GET "+ExplainPath, daemon.serveExplanation)
	return mux
}

func (daemon *Daemon) servePage(ctx context.Context, address netip.AddrPort, handler http.Handler) {
	server := &http.Server{
		Addr: address.String(), Handler: handler,
		ReadTimeout: _pageTimeout, WriteTimeout: _pageTimeout, IdleTimeout: _pageTimeout,
		MaxHeaderBytes: _maxHeaderBytes,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); ctx.Err() == nil {
		daemon.log.LogError(event.StatusUnavailable, err, event.Fields{"Address": address.String()})
	}
}

// view returns what the control state knows beyond what another instance already has.
func (daemon *Daemon) view(ctx context.Context, stateID core.StateID) (core.View, error) {
	ctx, cancel := context.WithTimeout(ctx, _viewTimeout)
	defer cancel()
	answer := make(chan core.View, 1)
	select {
	case daemon.viewQueries <- viewQuery{known: stateID, answer: answer}:
	case <-ctx.Done():
		return core.View{}, ctx.Err()
	}
	select {
	case view := <-answer:
		return view, nil
	case <-ctx.Done():
		return core.View{}, ctx.Err()
	}
}
