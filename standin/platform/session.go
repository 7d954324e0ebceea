package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const _deleteBehavior = "delete"

// session is a lease. When it ends, its locks are released or, with the behavior delete, their keys deleted. There is
// no lock delay.
type session struct {
	ID          string `json:"ID"`
	Name        string `json:"Name"`
	TTL         string `json:"TTL"`
	Behavior    string `json:"Behavior"`
	ttl         time.Duration
	expiryTimer *time.Timer
}

func (platform *Platform) createSession(writer http.ResponseWriter, request *http.Request) {
	var created session
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, MaxValueBytes)).Decode(&created); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if created.TTL != "" {
		ttl, err := time.ParseDuration(created.TTL)
		if err != nil || ttl <= 0 {
			http.Error(writer, "invalid TTL", http.StatusBadRequest)
			return
		}
		created.ttl = ttl
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	created.ID = fmt.Sprintf("session-%d", platform.advanceIndex())
	platform.sessions[created.ID] = &created
	if created.ttl > 0 {
		created.expiryTimer = time.AfterFunc(created.ttl, func() { platform.endSession(created.ID) })
	}
	writeJSON(writer, struct{ ID string }{created.ID})
}

func (platform *Platform) renewSession(writer http.ResponseWriter, request *http.Request) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	found := platform.sessions[request.PathValue("session")]
	if found == nil || found.expiryTimer != nil && !found.expiryTimer.Stop() {
		http.Error(writer, "session not found", http.StatusNotFound)
		return
	}
	if found.expiryTimer != nil {
		found.expiryTimer.Reset(found.ttl)
	}
	writeJSON(writer, []*session{found})
}

func (platform *Platform) destroySession(writer http.ResponseWriter, request *http.Request) {
	platform.endSession(request.PathValue("session"))
	writeJSON(writer, true)
}

// endSession removes the lease and releases its locks or deletes their keys.
func (platform *Platform) endSession(id string) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	ended := platform.sessions[id]
	if ended == nil {
		return
	}
	if ended.expiryTimer != nil {
		ended.expiryTimer.Stop()
	}
	delete(platform.sessions, id)
	for _, held := range platform.find("", true) {
		if held.Session != id {
			continue
		}
		if ended.Behavior == _deleteBehavior {
			platform.deleteEntries([]entry{held})
			continue
		}
		held.Session = ""
		held.ModifyIndex = platform.advanceIndex()
		platform.entries[held.Key] = held
	}
}
