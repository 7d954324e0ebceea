package capacity

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"azureshift/io/platform"
	standin "azureshift/standin/platform"
)

// Listing is the cost to one instance of the platform's list of instances and of a view, at one number of members.
type Listing struct {
	Members int
	// ListBytes is the size of the response body. ListTime is the time to fetch and decode it, including the time spent
	// in the stand-in of the platform.
	ListBytes int
	ListTime  time.Duration
	// ViewBytes is the encoded size of the view of one failure domain.
	ViewBytes int
}

// countingTransport counts the bytes of response bodies.
type countingTransport struct {
	http.RoundTripper
	bytes int
}

type countingBody struct {
	io.ReadCloser
	transport *countingTransport
}

// RoundTrip implements http.RoundTripper.
func (transport *countingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := transport.RoundTripper.RoundTrip(request)
	if err == nil {
		response.Body = countingBody{ReadCloser: response.Body, transport: transport}
	}
	return response, err
}

// Read implements io.Reader and counts the bytes read.
func (body countingBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	body.transport.bytes += count
	return count, err
}

// measureListing measures the platform's list with the stand-in of the platform. Of the fields that the real platform
// adds to an entry, the stand-in sends only those that the client reads.
func measureListing(members, domains, repetitions int) (Listing, error) {
	transport := &countingTransport{RoundTripper: standin.New()}
	client, err := platform.New(platform.Config{Address: "http://platform", Timeout: time.Minute, Transport: transport})
	if err != nil {
		return Listing{}, err
	}
	ctx := context.Background()
	for number := range members {
		record := memberRecord(number, domains)
		registered := platform.Instance{
			Member: record.Member, Domain: record.Domain, Peer: record.Address,
			Operator: netip.AddrPortFrom(record.Address.Addr(), _peerPort+1),
		}
		if err := client.Register(ctx, registered); err != nil {
			return Listing{}, err
		}
	}
	listing := Listing{Members: members}
	transport.bytes = 0
	listing.ListTime = medianTime(repetitions, func() time.Duration {
		start := time.Now()
		_, err = client.Instances(ctx)
		return time.Since(start)
	})
	listing.ListBytes = transport.bytes / repetitions
	if err != nil {
		return listing, err
	}
	fleet, err := newFleet(Size{Members: members, Domains: domains})
	if err != nil {
		return listing, err
	}
	encoded, err := cbor.Marshal(fleet.views[0])
	listing.ViewBytes = len(encoded)
	return listing, eris.Wrap(err, "encode a view")
}
