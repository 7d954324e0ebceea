// Package platform is a client of the platform's key-value service and instance list, over Consul's HTTP API.
//
// The client never retries a call: a compare-and-swap that is repeated after its first response was lost would conflict
// with its own first attempt.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
)

const (
	_domainHeader      = "X-Azureshift-Domain"
	_defaultWait       = 30 * time.Second
	_waitJitterDivisor = 16 // the response to a watch may come up to a sixteenth of its wait late
	_defaultTimeout    = 2 * time.Second
	_defaultMinBackoff = 100 * time.Millisecond
	_defaultMaxBackoff = 5 * time.Second
	_maxErrorMessage   = 256

	_idleConnections = 8
	_idleTimeout     = time.Minute

	_maxValueBody  = 2 << 20  // a value of 1 MB in base64, with the JSON around it
	_maxPartsBody  = 64 << 20 // the bundle parts of the last few versions in base64, read by operators
	_maxListBody   = 4 << 20  // the instance list: 2,000 entries of a kilobyte twice
	_maxResultBody = 4 << 10
)

// Config configures a Client.
type Config struct {
	// Address is the base URL of the platform, such as http://192.0.2.1:8500.
	Address string
	// Domain is the failure domain of this instance.
	Domain id.Domain
	// Timeout bounds every call. A watch may take longer by its WatchWait.
	Timeout time.Duration
	// WatchWait is how long the platform holds a watch open while there is no change.
	WatchWait time.Duration
	// MinBackoff and MaxBackoff bound the backoff of a watch after a failure.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Transport sends the requests. The default connects directly, without a proxy.
	Transport http.RoundTripper
	// Random returns a number in [0, 1) that adds jitter to the backoff of a watch.
	Random func() float64
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	config Config
	http   http.Client
	calls  counters
}

// New returns a client, or an AddressError if the address is not an HTTP URL.
func New(config Config) (*Client, error) {
	base, err := url.Parse(config.Address)
	if err != nil || base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return nil, &AddressError{Address: config.Address}
	}
	config.Address = strings.TrimRight(config.Address, "/")
	config = config.withDefaults()
	client := &Client{config: config}
	client.http.Transport = config.Transport
	client.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client, nil
}

// request is a call to be sent.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// maxBody bounds the size of the response body in bytes.
	maxBody int64
	// maxWait is how long the platform may hold back the response.
	maxWait time.Duration
}

// response is a response that was read completely.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send sends a call once and reads the whole response. Any status other than 200 and 404 is an error.
func (client *Client) send(ctx context.Context, call request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, client.config.Timeout+call.maxWait+call.maxWait/_waitJitterDivisor)
	defer cancel()
	received, err := client.roundTrip(ctx, call)
	if err != nil {
		client.calls.failed.Add(1)
		// Other open connections may have gone silent as well; the next call uses a new one.
		client.http.CloseIdleConnections()
		unreachable := &UnreachableError{Address: client.config.Address, Write: call.method != http.MethodGet, Cause: err}
		return response{}, eris.Wrapf(unreachable, "%s %s", call.method, call.path)
	}
	if received.status != http.StatusOK && received.status != http.StatusNotFound {
		client.calls.failed.Add(1)
		message := received.body[:min(len(received.body), _maxErrorMessage)]
		return received, eris.Wrapf(&StatusError{Status: received.status, Message: strings.TrimSpace(string(message))},
			"%s %s", call.method, call.path)
	}
	return received, nil
}

func (client *Client) roundTrip(ctx context.Context, call request) (response, error) {
	endpoint := client.config.Address + call.path
	if len(call.query) > 0 {
		endpoint += "?" + call.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, call.method, endpoint, bytes.NewReader(call.body))
	if err != nil {
		return response{}, err
	}
	httpRequest.Header.Set(_domainHeader, string(client.config.Domain))
	httpResponse, err := client.http.Do(httpRequest)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, call.maxBody+1))
	if err != nil {
		return response{}, err
	}
	if int64(len(body)) > call.maxBody {
		return response{}, fmt.Errorf("response exceeds %d bytes: %w", call.maxBody, errTooLarge)
	}
	return response{status: httpResponse.StatusCode, header: httpResponse.Header, body: body}, nil
}

var errTooLarge = errors.New("response too large")

func (config Config) withDefaults() Config {
	if config.Timeout <= 0 {
		config.Timeout = _defaultTimeout
	}
	if config.WatchWait <= 0 {
		config.WatchWait = _defaultWait
	}
	if config.MinBackoff <= 0 {
		config.MinBackoff = _defaultMinBackoff
	}
	if config.MaxBackoff <= 0 {
		config.MaxBackoff = max(_defaultMaxBackoff, config.MinBackoff)
	}
	if config.Transport == nil {
		config.Transport = directTransport()
	}
	if config.Random == nil {
		config.Random = randomFraction
	}
	return config
}

func directTransport() http.RoundTripper {
	return &http.Transport{
		MaxIdleConnsPerHost:   _idleConnections,
		IdleConnTimeout:       _idleTimeout,
		ResponseHeaderTimeout: 0, // the response to a watch may take its whole wait; the context bounds each call
	}
}
