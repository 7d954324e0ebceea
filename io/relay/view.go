package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"azureshift/core/entry"
	"azureshift/core/route"
	"azureshift/core/store"
)

const (
	_viewPath = "/View"
	// _revision and _version are the parameters that say what the asking instance has.
	_revision = "Revision"
	_version  = "Version"
	// _viewTimeout bounds a transfer of some hundred kilobytes over a link of 10 Mbit/s.
	_viewTimeout = time.Second
	_dialTimeout = 300 * time.Millisecond
	// _smallView is the number of entries and routes up to which a view fits into some ten packets.
	_smallView = 64
	// _maxView bounds a view in bytes.
	_maxView = 16 << 20
)

// Client fetches views from other instances. It is safe for concurrent use.
type Client struct{ http http.Client }

// NewClient returns a client that keeps no connections, as it seldom asks the same instance twice.
func NewClient() *Client {
	dialer := net.Dialer{Timeout: _dialTimeout}
	return &Client{http: http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
	}}}
}

// Fetch returns what the instance at an address knows beyond what is known here.
func (client *Client) Fetch(ctx context.Context, from netip.AddrPort, known entry.Known) (entry.View, error) {
	ctx, cancel := context.WithTimeout(ctx, _viewTimeout)
	defer cancel()
	query := url.Values{
		_revision: {strconv.FormatUint(uint64(known.Revision), 10)},
		_version:  {strconv.FormatUint(uint64(known.Config), 10)},
	}
	target := url.URL{Scheme: "http", Host: from.String(), Path: _viewPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return entry.View{}, eris.Wrapf(err, "prepare to fetch the view of %s", from)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return entry.View{}, eris.Wrapf(err, "fetch the view of %s", from)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, _maxView))
	if err != nil {
		return entry.View{}, eris.Wrapf(err, "fetch the view of %s", from)
	}
	if response.StatusCode != http.StatusOK {
		return entry.View{}, eris.Errorf("fetch the view of %s: status %d", from, response.StatusCode)
	}
	var view entry.View
	return view, eris.Wrapf(cbor.Unmarshal(raw, &view), "decode the view of %s", from)
}

// HandlerConfig describes how an instance serves its view.
type HandlerConfig struct {
	// View returns what the instance knows beyond what another one has.
	View func(ctx context.Context, known entry.Known) (entry.View, error)
	// Transfers is the number of large views that are sent at a time; who asks for another one is turned away.
	Transfers int
}

// Handler serves the view of this instance. Views of a few changes are always served: they cost little, and who waits
// for one is late with news.
func Handler(config HandlerConfig) http.Handler {
	handler := viewHandler{HandlerConfig: config, transfers: make(chan struct{}, config.Transfers)}
	mux := http.NewServeMux()
	mux.Handle("GET "+_viewPath, handler)
	return mux
}

type viewHandler struct {
	HandlerConfig

	transfers chan struct{}
}

var _ http.Handler = viewHandler{}

// ServeHTTP implements http.Handler.
func (handler viewHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	known, err := knownOf(request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	begun := known.Revision == 0
	if begun && !handler.begin() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if begun {
		defer handler.end()
	}
	view, err := handler.View(request.Context(), known)
	if err != nil || view.Revision == 0 {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !begun && isLarge(view) {
		if !handler.begin() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer handler.end()
	}
	raw, err := cbor.Marshal(view)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The client is gone if this fails, and asks again.
	_, _ = writer.Write(raw)
}

// begin reports whether another large view may be sent now; end says that it was.
func (handler viewHandler) begin() bool {
	select {
	case handler.transfers <- struct{}{}:
		return true
	default:
		return false
	}
}

func (handler viewHandler) end() { <-handler.transfers }

func isLarge(view entry.View) bool {
	return len(view.Entries)+len(view.Config.Routes) > _smallView
}

// knownOf returns what an asking instance has. Parameters that are left out stand for nothing.
func knownOf(request *http.Request) (entry.Known, error) {
	var known entry.Known
	for name, into := range map[string]func(uint64){
		_revision: func(number uint64) { known.Revision = store.Revision(number) },
		_version:  func(number uint64) { known.Config = route.Version(number) },
	} {
		text := request.FormValue(name)
		if text == "" {
			continue
		}
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return entry.Known{}, eris.Wrapf(err, "read the parameter %s; give a whole number", name)
		}
		into(number)
	}
	return known, nil
}
