package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

const (
	_fetchTimeout   = 5 * time.Second
	_maxStatusBytes = 16 << 20
)

// UnreachableError is returned when the status of an entry instance could not be read.
type UnreachableError struct {
	Address netip.AddrPort
	Cause   error
}

// Error returns the address, the cause and the remedy.
func (err UnreachableError) Error() string {
	return fmt.Sprintf("read status of %s: %v; check that the instance is running and that this is its Operator.Listen",
		err.Address, err.Cause)
}

// Unwrap returns the underlying error.
func (err UnreachableError) Unwrap() error {
	return err.Cause
}

// Fetch reads the status of the entry instance that serves operators on the given address.
func Fetch(ctx context.Context, address netip.AddrPort) (Status, error) {
	status, err := fetch(ctx, address)
	if err != nil {
		return Status{}, UnreachableError{Address: address, Cause: err}
	}
	return status, nil
}

func fetch(ctx context.Context, address netip.AddrPort) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, _fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+PathStatus, http.NoBody)
	if err != nil {
		return Status{}, eris.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Status{}, eris.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Status{}, eris.Errorf("unexpected response status %s", response.Status)
	}
	var status Status
	err = json.NewDecoder(io.LimitReader(response.Body, _maxStatusBytes)).Decode(&status)
	return status, eris.Wrap(err, "decode response")
}
