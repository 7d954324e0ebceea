package platform

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

type entry struct {
	Key         string
	Value       []byte
	Session     string `json:",omitempty"`
	LockIndex   uint64
	CreateIndex uint64
	ModifyIndex uint64
}

func (platform *Platform) getKeys(writer http.ResponseWriter, request *http.Request) {
	key, query := request.PathValue("key"), request.URL.Query()
	recursive := query.Has("recurse") || query.Has("keys")
	platform.awaitIndex(writer, request, func() uint64 { return platform.watchIndex(key, recursive) })
	platform.mu.Lock()
	found := platform.find(key, recursive)
	platform.mu.Unlock()
	switch {
	case len(found) == 0:
		writer.WriteHeader(http.StatusNotFound)
	case query.Has("keys"):
		keys := make([]string, 0, len(found))
		for _, entry := range found {
			keys = append(keys, entry.Key)
		}
		writeJSON(writer, keys)
	default:
		writeJSON(writer, found)
	}
}

// watchIndex returns the index that grows when the key, or any key with this prefix, changes. An absent key has
// the index of the whole store.
func (platform *Platform) watchIndex(key string, recursive bool) uint64 {
	found := platform.find(key, recursive)
	if len(found) == 0 {
		return platform.index
	}
	highest := uint64(0)
	if recursive {
		highest = platform.lastDeleteIndex
	}
	for _, entry := range found {
		highest = max(highest, entry.ModifyIndex)
	}
	return highest
}

func (platform *Platform) find(key string, recursive bool) []entry {
	if !recursive {
		if found, ok := platform.entries[key]; ok {
			return []entry{found}
		}
		return nil
	}
	var found []entry
	for name, entry := range platform.entries {
		if strings.HasPrefix(name, key) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(left, right entry) int { return cmp.Compare(left.Key, right.Key) })
	return found
}

func (platform *Platform) putKey(writer http.ResponseWriter, request *http.Request) {
	value, err := io.ReadAll(io.LimitReader(request.Body, MaxValueBytes+1))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > MaxValueBytes {
		http.Error(writer, "value exceeds 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	query := request.URL.Query()
	platform.mu.Lock()
	defer platform.mu.Unlock()
	next := platform.entries[request.PathValue("key")]
	next.Key, next.Value = request.PathValue("key"), value
	if session := query.Get("acquire"); session != "" && platform.sessions[session] == nil {
		http.Error(writer, "invalid session", http.StatusInternalServerError)
		return
	}
	if !next.applyConditions(query.Get("cas"), query.Get("acquire"), query.Get("release")) {
		writeJSON(writer, false)
		return
	}
	next.ModifyIndex = platform.advanceIndex()
	if next.CreateIndex == 0 {
		next.CreateIndex = next.ModifyIndex
	}
	platform.entries[next.Key] = next
	writeJSON(writer, true)
}

// applyConditions reports whether the conditions of a write hold, and if so acquires or releases the lock as requested.
func (entry *entry) applyConditions(cas, acquire, release string) bool {
	if cas != "" && cas != strconv.FormatUint(entry.ModifyIndex, 10) {
		return false
	}
	if acquire != "" {
		if entry.Session != "" && entry.Session != acquire {
			return false
		}
		if entry.Session == "" {
			entry.LockIndex++
		}
		entry.Session = acquire
	}
	if release != "" {
		if entry.Session != release {
			return false
		}
		entry.Session = ""
	}
	return true
}

func (platform *Platform) deleteKeys(writer http.ResponseWriter, request *http.Request) {
	key, query := request.PathValue("key"), request.URL.Query()
	platform.mu.Lock()
	defer platform.mu.Unlock()
	found := platform.find(key, query.Has("recurse"))
	if cas := query.Get("cas"); cas != "" && len(found) == 1 {
		if cas != strconv.FormatUint(found[0].ModifyIndex, 10) {
			writeJSON(writer, false)
			return
		}
	}
	platform.deleteEntries(found)
	writeJSON(writer, true)
}

func (platform *Platform) deleteEntries(found []entry) {
	if len(found) == 0 {
		return
	}
	for _, entry := range found {
		delete(platform.entries, entry.Key)
	}
	platform.lastDeleteIndex = platform.advanceIndex()
}
