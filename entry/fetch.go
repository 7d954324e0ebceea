package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"
)

// fetchPage reads a page of the instance whose metrics address is given, of at most maxSize bytes, and decodes it into
// result.
func fetchPage(ctx context.Context, address netip.AddrPort, path string, maxSize int64, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", address, path), nil)
	if err != nil {
		return eris.Wrapf(err, "ask %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "ask %s; check that it is the Metrics.Listen of an instance", address)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxSize))
	if err != nil {
		return eris.Wrapf(err, "read the page of %s", address)
	}
	if response.StatusCode == http.StatusBadRequest {
		return eris.Errorf("%s refuses the question: %s", address, bytes.TrimSpace(raw))
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s answers %s; check that it is the Metrics.Listen of an instance",
			address, response.Status)
	}
	return eris.Wrapf(json.Unmarshal(raw, result), "read the page of %s", address)
}
