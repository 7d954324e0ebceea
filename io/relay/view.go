package relay

import (
	"bytes"
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
	// _maxViewSize bounds a view in bytes, and _maxElements a list in it: 16,000 servers, 2,000 instances and 2,000 routes
	// take 1.3 MB.
	_maxViewSize = 3 << 20
	_maxElements = 64 << 10
)

// _decoding limits what is decoded from other instances.
var _decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: _maxElements, MaxMapPairs: _maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

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
	if response.StatusCode != http.StatusOK {
		return entry.View{}, eris.Errorf("fetch the view of %s: status %d", address, response.StatusCode)
	}
	if response.ContentLength > _maxViewSize {
		return entry.View{}, eris.Errorf("fetch the view of %s: it has %d bytes, more than %d",
			address, response.ContentLength, _maxViewSize)
	}
	var raw bytes.Buffer
	raw.Grow(int(max(response.ContentLength, 0)) + bytes.MinRead)
	if _, err := raw.ReadFrom(io.LimitReader(response.Body, _maxViewSize)); err != nil {
		return entry.View{}, eris.Wrapf(err, "fetch the view of %s", address)
	}
	view, err := decodeView(raw.Bytes())
	return view, eris.Wrapf(err, "decode the view of %s", address)
}

func decodeView(raw []byte) (entry.View, error) {
	var view entry.View
	return view, _decoding.Unmarshal(raw, &view)
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
	writer.Header().Set("Content-Length", strconv.Itoa(len(raw)))
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
