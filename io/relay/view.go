package relay

import (
	"context"
	"io"
	"net"
	"net/http"
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
	// _revision and _version are the query parameters for what the requesting instance has.
	_revision    = "Revision"
	_version     = "Version"
	_dialTimeout = 300 * time.Millisecond
	// _maxSmallView is the number of entries and routes up to which a view fits into about ten packets.
	_maxSmallView = 64
	// _maxViewSize bounds a view in bytes.
	_maxViewSize = 16 << 20
)

// Client fetches views from other instances. It is safe for concurrent use.
type Client struct{ http http.Client }

// NewClient returns a client that keeps no idle connections, as it seldom fetches twice from the same instance.
func NewClient() *Client {
	dialer := net.Dialer{Timeout: _dialTimeout}
	return &Client{http: http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
	}}}
}

// Fetch returns what another instance knows beyond what is known here.
func (client *Client) Fetch(ctx context.Context, fetch entry.Fetch) (entry.View, error) {
	ctx, cancel := context.WithTimeout(ctx, fetch.Timeout)
	defer cancel()
	address, stateID := fetch.From, fetch.Known
	query := url.Values{
		_revision: {strconv.FormatUint(uint64(stateID.Revision), 10)},
		_version:  {strconv.FormatUint(uint64(stateID.Config), 10)},
	}
	endpoint := url.URL{Scheme: "http", Host: address.String(), Path: _viewPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint.String(), nil)
	if err != nil {
		return entry.View{}, eris.Wrapf(err, "prepare the request for the view of %s", address)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return entry.View{}, eris.Wrapf(err, "fetch the view of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, _maxViewSize))
	if err != nil {
		return entry.View{}, eris.Wrapf(err, "fetch the view of %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return entry.View{}, eris.Errorf("fetch the view of %s: status %d", address, response.StatusCode)
	}
	var view entry.View
	return view, eris.Wrapf(cbor.Unmarshal(raw, &view), "decode the view of %s", address)
}

// HandlerConfig configures how an instance serves its view.
type HandlerConfig struct {
	// View returns what this instance knows beyond what another one has.
	View func(ctx context.Context, stateID entry.StateID) (entry.View, error)
	// Transfers is the number of large views sent at a time. Requests for more are refused with status 503.
	Transfers int
}

// Handler serves the view of this instance. Small views are always served: they cost little, and an instance that waits
// for one works with outdated state meanwhile.
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
	stateID, err := parseKnown(request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	whole := stateID.Revision == 0
	if whole && !handler.acquire() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if whole {
		defer handler.release()
	}
	view, err := handler.View(request.Context(), stateID)
	if err != nil || view.Revision == 0 {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !whole && isLarge(view) {
		if !handler.acquire() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer handler.release()
	}
	raw, err := cbor.Marshal(view)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	// If this fails, the client has closed the connection and will ask again.
	_, _ = writer.Write(raw)
}

// acquire takes a slot for a transfer of a large view, and reports whether one was free. release returns the slot.
func (handler viewHandler) acquire() bool {
	select {
	case handler.transfers <- struct{}{}:
		return true
	default:
		return false
	}
}

func (handler viewHandler) release() { <-handler.transfers }

func isLarge(view entry.View) bool {
	return len(view.Entries)+len(view.Config.Routes) > _maxSmallView
}

// parseKnown returns what the requesting instance has. An absent parameter means zero.
func parseKnown(request *http.Request) (entry.StateID, error) {
	var stateID entry.StateID
	for name, set := range map[string]func(uint64){
		_revision: func(number uint64) { stateID.Revision = store.Revision(number) },
		_version:  func(number uint64) { stateID.Config = route.Version(number) },
	} {
		text := request.FormValue(name)
		if text == "" {
			continue
		}
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return entry.StateID{}, eris.Wrapf(err, "parse the parameter %s; give a non-negative whole number", name)
		}
		set(number)
	}
	return stateID, nil
}
