package platform

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const _maintenanceCheckPrefix = "_service_maintenance:"

// registration is an instance as it registered itself.
type registration struct {
	ID      string
	Name    string
	Address string
	Port    int
	Meta    map[string]string

	maintenance bool
}

// catalog holds the actual state of the instances and the state visible to readers, which lags behind.
type catalog struct {
	actual  map[string]registration
	visible map[string]registration
	index   uint64
}

type healthEntry struct {
	Service healthService
	Checks  []healthCheck
}

type healthService struct {
	ID      string
	Service string
	Address string
	Port    int
	Meta    map[string]string
}

type healthCheck struct {
	CheckID string
	Status  string
}

func newCatalog() catalog {
	return catalog{actual: make(map[string]registration), visible: make(map[string]registration)}
}

func (platform *Platform) listInstances(writer http.ResponseWriter, request *http.Request) {
	platform.awaitIndex(writer, request, func() uint64 { return platform.catalog.index })
	platform.mu.Lock()
	defer platform.mu.Unlock()
	entries := []healthEntry{}
	for _, instance := range platform.catalog.visible {
		if instance.Name == request.PathValue("service") {
			entries = append(entries, instance.entry())
		}
	}
	slices.SortFunc(entries, func(left, right healthEntry) int { return cmp.Compare(left.Service.ID, right.Service.ID) })
	writeJSON(writer, entries)
}

func (instance registration) entry() healthEntry {
	service := healthService{
		ID: instance.ID, Service: instance.Name, Address: instance.Address, Port: instance.Port, Meta: instance.Meta,
	}
	checks := []healthCheck{{CheckID: "service:" + instance.ID, Status: "passing"}}
	if instance.maintenance {
		checks = append(checks, healthCheck{CheckID: _maintenanceCheckPrefix + instance.ID, Status: "critical"})
	}
	return healthEntry{Service: service, Checks: checks}
}

func (platform *Platform) register(writer http.ResponseWriter, request *http.Request) {
	var instance registration
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, MaxValueBytes)).Decode(&instance)
	if err != nil || instance.ID == "" || instance.Name == "" {
		http.Error(writer, "a registration needs ID and Name", http.StatusBadRequest)
		return
	}
	platform.updateCatalog(func(instances map[string]registration) { instances[instance.ID] = instance })
}

func (platform *Platform) deregister(_ http.ResponseWriter, request *http.Request) {
	id := request.PathValue("instance")
	platform.updateCatalog(func(instances map[string]registration) { delete(instances, id) })
}

func (platform *Platform) setMaintenance(writer http.ResponseWriter, request *http.Request) {
	enable, err := strconv.ParseBool(request.URL.Query().Get("enable"))
	if err != nil {
		http.Error(writer, "enable must be true or false", http.StatusBadRequest)
		return
	}
	id := request.PathValue("instance")
	platform.updateCatalog(func(instances map[string]registration) {
		if instance, ok := instances[id]; ok {
			instance.maintenance = enable
			instances[id] = instance
		}
	})
}

// updateCatalog applies an edit to the actual state now and to the visible state after the lag.
func (platform *Platform) updateCatalog(edit func(map[string]registration)) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	edit(platform.catalog.actual)
	if platform.config.Lag <= 0 {
		platform.publishCatalog(maps.Clone(platform.catalog.actual))
		return
	}
	state := maps.Clone(platform.catalog.actual)
	time.AfterFunc(platform.config.Lag, func() {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		platform.publishCatalog(state)
	})
}

func (platform *Platform) publishCatalog(state map[string]registration) {
	platform.catalog.visible = state
	platform.catalog.index = platform.advanceIndex()
}
