package platform

import (
	"cmp"
	"errors"
	"net/http"
	"net/http/httptest"
)

var (
	_ http.Handler      = (*Platform)(nil)
	_ http.RoundTripper = (*Platform)(nil)
)

var errCut = errors.New("connection cut")

// RoundTrip serves a client in the same process without a socket, for tests on virtual time.
func (platform *Platform) RoundTrip(request *http.Request) (response *http.Response, err error) {
	recorder := httptest.NewRecorder()
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if aborted, ok := cause.(error); !ok || !errors.Is(aborted, http.ErrAbortHandler) {
			panic(cause)
		}
		response, err = nil, cmp.Or(request.Context().Err(), errCut)
	}()
	server := request.Clone(request.Context())
	if server.Body == nil {
		server.Body = http.NoBody
	}
	platform.ServeHTTP(recorder, server)
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}
