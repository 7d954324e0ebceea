package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// _smallRoutes bounds the number of routes in a small configuration.
	_smallRoutes = 60
	// _stormVersions is the number of large configurations in quick succession, and _stormInterval the time between two.
	_stormVersions = 20
	_stormInterval = 60 * time.Millisecond
	// _stormRoutes is the smallest number of routes in each of them. Their history exceeds an answer of the store.
	_stormRoutes = 1500
	// _claimShare is the inverse of the share of odd entries that claim the number of a live server, some of them with an
	// earlier start time.
	_claimShare = 3
	// _oddValueSize is the size of the largest odd value in bytes.
	_oddValueSize = 1 << 20
)

func changeConfiguration(soak *soak, random *rand.Rand) func() {
	soak.deployment.Configure(random.IntN(_smallRoutes))
	return func() {}
}

// stormConfigurations writes large configurations in quick succession, and then a small one.
func stormConfigurations(soak *soak, random *rand.Rand) func() {
	ended := make(chan struct{})
	extra := random.IntN(_stormRoutes)
	go func() {
		defer close(ended)
		for version := range _stormVersions {
			soak.deployment.Configure(_stormRoutes + (extra+version)%_stormRoutes/4)
			time.Sleep(_stormInterval)
		}
		soak.deployment.Configure(extra % _smallRoutes)
	}()
	return func() { <-ended }
}

// writeMalformedEntries writes a registration that is malformed, in an unknown state or without a usable address, or
// one that claims the number of a live server.
func writeMalformedEntries(soak *soak, random *rand.Rand) func() {
	const usable = `{"service":"chiosco","address":"127.0.0.1:9","zone":"a","concurrency":1,"state":"ready"}`
	values := []string{
		"", "{", "null", `{"service":7}`, "\xff\xfe", `{"service":"chiosco","state":"zombie"}`,
		strings.Repeat("[", _oddValueSize), strings.Repeat(`{"a":`, _oddValueSize/len(`{"a":`)),
		strings.Replace(usable, ":9", ":0", 1), strings.Replace(usable, ":9", ":65536", 1),
		strings.Replace(usable, ":1,", ":99999999999999999999,", 1),
		strings.Replace(usable, "chiosco", strings.Repeat("a", _oddValueSize/2), 1),
	}
	key := fmt.Sprintf("servers/i-%08x", random.Uint32())
	value := values[random.IntN(len(values))]
	if targets := soak.deployment.Targets(); len(targets) > 0 && random.IntN(_claimShare) == 0 {
		key = "servers/odd-" + strings.TrimPrefix(targets[random.IntN(len(targets))].ID(), "i-")
		value = strings.Replace(usable, ":1,", fmt.Sprintf(`:1,"born":%d,`, random.IntN(2)), 1)
	}
	soak.deployment.Store.Put(key, []byte(value), 0)
	return func() { soak.deployment.Store.Delete(key) }
}
