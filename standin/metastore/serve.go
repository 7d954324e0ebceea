package metastore

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// _maxWatchWait is the longest time that a watch waits.
const _maxWatchWait = 30 * time.Second

// Handler returns the handler of the store's API for the callers of one listener.
func (store *Store) Handler(listener string) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, serve http.HandlerFunc) {
		mux.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
			if store.admit(listener, writer, request) {
				store.writeEra(writer)
				serve(writer, request)
			}
		})
	}
	handle("GET /v1/kv-key", store.serveKey)
	handle("GET /v1/kv-range", store.serveRange)
	handle("GET /v1/kv-watch", func(writer http.ResponseWriter, request *http.Request) {
		store.serveWatch(listener, writer, request)
	})
	handle("POST /v1/kv-txn", store.serveTransaction)
	handle("POST /v1/kv-lease", store.serveGrantLease)
	handle("POST /v1/kv-keep/{lease}", store.serveRenewLease)
	handle("DELETE /v1/kv-lease-end/{lease}", store.serveEndLease)
	return mux
}

// Serve listens for calls until the context ends, and returns the address it listens on.
func (store *Store) Serve(ctx context.Context, address, listener string) (net.Addr, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for calls to the metadata store at %s", address)
	}
	server := &http.Server{Handler: store.Handler(listener)}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(socket) }()
	go store.expirePeriodically(ctx)
	return socket.Addr(), nil
}

func (store *Store) expirePeriodically(ctx context.Context) {
	ticker := time.NewTicker(_expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			store.mu.Lock()
			store.expireLeases()
			store.mu.Unlock()
		}
	}
}

func (store *Store) serveKey(writer http.ResponseWriter, request *http.Request) {
	store.mu.Lock()
	item, ok := store.items[request.URL.Query().Get("key")]
	revision := store.revision
	store.mu.Unlock()
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, struct {
		Item
		StoreRevision Revision `json:"store_revision"`
	}{item, revision})
}

func (store *Store) serveRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mu.Lock()
	items, more := store.listPage(query.Get("prefix"), query.Get("after"))
	revision := store.revision
	store.mu.Unlock()
	writeJSON(writer, struct {
		Items         []Item   `json:"items"`
		More          bool     `json:"has_more"`
		StoreRevision Revision `json:"store_revision"`
	}{items, more, revision})
}

func (store *Store) serveWatch(listener string, writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, _maxWatchWait))
	defer timer.Stop()
	for {
		store.mu.Lock()
		events := store.eventsAfter(query.Get("prefix"), Revision(after))
		revision, compacted := store.revision, store.compacted
		faults, changed := store.effectiveFaults(listener), store.changed
		store.mu.Unlock()
		if faults.Mode != "" {
			resetConnection(writer)
			return
		}
		store.writeEra(writer)
		if Revision(after) < compacted || Revision(after) > revision {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeEvents(writer, events, revision)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeEvents(writer, []Item{}, revision)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func writeEvents(writer http.ResponseWriter, events []Item, revision Revision) {
	writeJSON(writer, struct {
		Events        []Item   `json:"events"`
		StoreRevision Revision `json:"store_revision"`
	}{events, revision})
}

// transaction is the body of a transaction request.
type transaction struct {
	Preconditions []struct {
		Key      string   `json:"key"`
		Revision Revision `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease Lease  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (store *Store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	var body transaction
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, put := range body.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if lost, delay := store.loseAnswer(); lost {
		time.AfterFunc(delay, func() { store.commit(body) })
		panic(http.ErrAbortHandler)
	}
	status, revision := store.commit(body)
	if status != http.StatusOK {
		writer.WriteHeader(status)
		return
	}
	writeJSON(writer, struct {
		Revision Revision `json:"revision"`
	}{revision})
}

// loseAnswer decides whether a write gets no answer, and after which delay it is then applied.
func (store *Store) loseAnswer() (bool, time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.random.Float64() >= store.faults.LoseWrites {
		return false, 0
	}
	return true, time.Duration(store.random.Float64() * float64(store.faults.LateWrites))
}

func (store *Store) commit(body transaction) (int, Revision) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, condition := range body.Preconditions {
		if store.items[condition.Key].Revision != condition.Revision {
			return http.StatusPreconditionFailed, 0
		}
	}
	for _, put := range body.Puts {
		if _, ok := store.leases[put.Lease]; put.Lease != 0 && !ok {
			return http.StatusNotFound, 0
		}
	}
	for _, put := range body.Puts {
		store.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Deletes {
		store.remove(key)
	}
	return http.StatusOK, store.revision
}

func (store *Store) serveGrantLease(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	lease := store.Grant(time.Duration(body.TTL) * time.Millisecond)
	writeJSON(writer, struct {
		Lease Lease `json:"lease"`
		TTL   int64 `json:"ttl_ms"`
	}{lease, body.TTL})
}

func (store *Store) serveRenewLease(writer http.ResponseWriter, request *http.Request) {
	lease, err := strconv.ParseUint(request.PathValue("lease"), 10, 64)
	if err != nil || !store.Renew(Lease(lease)) {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	store.mu.Lock()
	ttl := store.ttls[Lease(lease)]
	store.mu.Unlock()
	writeJSON(writer, struct {
		TTL int64 `json:"ttl_ms"`
	}{ttl.Milliseconds()})
}

func (store *Store) serveEndLease(writer http.ResponseWriter, request *http.Request) {
	lease, err := strconv.ParseUint(request.PathValue("lease"), 10, 64)
	if err != nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	store.mu.Lock()
	store.endLease(Lease(lease))
	store.mu.Unlock()
	writeJSON(writer, struct{}{})
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	// The caller is gone if this fails.
	_ = json.NewEncoder(writer).Encode(body)
}
