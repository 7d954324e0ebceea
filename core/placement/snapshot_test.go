package placement_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/flow"
	"azureshift/core/id"
	"azureshift/core/placement"
)

var _start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func TestLookupAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	_, snapshot := newState(10, 120, 17)
	hash := id.Flow(0)
	allocations := testing.AllocsPerRun(1000, func() {
		hash += 0x9e3779b97f4a7c15
		snapshot.Lookup(3, hash, 0)
	})
	c.Assert(allocations, qt.Equals, 0.0)
}

func TestSnapshotSharesUnchangedServices(t *testing.T) {
	c := qt.New(t)
	state, _ := newState(200, 2400, 17)
	changed := bundleOf(200, 2400)
	changed.Version = 2
	changed.Services[7].Targets = changed.Services[7].Targets[1:]
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	lastPublished(state, placement.BundleApplied{At: _start, Bundle: changed})
	runtime.ReadMemStats(&after)
	c.Assert(after.TotalAlloc-before.TotalAlloc < 16e6, qt.IsTrue, qt.Commentf("%d", after.TotalAlloc-before.TotalAlloc))
}

func TestRoutesAgreeWhileSnapshotsChange(t *testing.T) {
	c := qt.New(t)
	state, snapshot := newState(1, 14, 1)
	datapath := &placement.Datapath{Table: flow.NewTable(_start)}
	datapath.Publish(snapshot)
	var group sync.WaitGroup
	results := make([][]placement.Decision, 4)
	for worker := range results {
		group.Go(func() {
			for index := range 20_000 {
				hash := id.Flow(index+1) * 0x9e3779b97f4a7c15
				results[worker] = append(results[worker], datapath.Route(0, hash, 0, _start))
			}
		})
	}
	for version := range 20 {
		changed := bundleOf(1, 14+version%3)
		changed.Version = id.Version(version + 2)
		datapath.Publish(lastPublished(state, placement.BundleApplied{At: _start, Bundle: changed}))
	}
	group.Wait()
	for index := range results[0] {
		placed := flow.Target(0)
		seen := false
		for _, result := range results {
			if result[index].Action != placement.ActionPlace {
				continue
			}
			c.Assert(!seen || result[index].Target == placed, qt.IsTrue)
			placed, seen = result[index].Target, true
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	_, snapshot := newState(1300, 16000, 222)
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		snapshot.Lookup(index%1300, id.Flow(index)*0x9e3779b97f4a7c15, 0)
	}
}

func BenchmarkRoute(b *testing.B) {
	_, snapshot := newState(1300, 16000, 1)
	datapath := &placement.Datapath{Table: flow.NewTable(_start)}
	datapath.Publish(snapshot)
	b.ReportAllocs()
	for index := range b.N {
		datapath.Route(index%1300, id.Flow(index%300_000)*0x9e3779b97f4a7c15, 0, _start)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ services, targets, members int }{{2, 18, 5}, {130, 1600, 22}, {1300, 16000, 222}} {
		b.Run(fmt.Sprintf("%d-%d", size.services, size.targets), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				started := time.Now()
				state, snapshot := newState(size.services, size.targets, size.members)
				b.ReportMetric(float64(time.Since(started).Milliseconds()), "first-ms")
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
				changed := bundleOf(size.services, size.targets)
				changed.Version = 2
				changed.Services[1].Targets = changed.Services[1].Targets[1:]
				started = time.Now()
				lastPublished(state, placement.BundleApplied{At: _start, Bundle: changed})
				b.ReportMetric(float64(time.Since(started).Microseconds())/1000, "change-ms")
				runtime.KeepAlive(snapshot)
			}
		})
	}
}

func newState(services, targets, members int) (*placement.State, *placement.Snapshot) {
	self := id.Member{Instance: "morbegno-0", Incarnation: 1}
	state := placement.New(placement.Config{Self: self})
	view := epoch.View{Domain: "morbegno", Number: 1}
	for index := range members {
		member := id.Member{Instance: id.Instance(fmt.Sprintf("morbegno-%d", index)), Incarnation: 1}
		view.Members = append(view.Members, member)
		state.Reduce(placement.MemberUp{At: _start, Member: member})
	}
	state.Reduce(placement.ViewChanged{At: _start, View: view})
	return state, lastPublished(state, placement.BundleApplied{At: _start, Bundle: bundleOf(services, targets)})
}

func lastPublished(state *placement.State, event placement.Event) *placement.Snapshot {
	var published *placement.Snapshot
	for _, effect := range state.Reduce(event) {
		if publish, ok := effect.(placement.Publish); ok {
			published = publish.Snapshot
		}
	}
	return published
}

func bundleOf(services, targets int) bundle.Bundle {
	built := bundle.Bundle{Version: 1}
	for index := range services {
		service := bundle.Service{Name: id.Service(fmt.Sprintf("service-%d", index))}
		for number := index; number < targets; number += services {
			service.Targets = append(service.Targets, bundle.Target{
				Name: id.Target(fmt.Sprintf("target-%d", number)), Domain: "morbegno", Connections: 100,
			})
		}
		built.Services = append(built.Services, service)
	}
	return built
}
