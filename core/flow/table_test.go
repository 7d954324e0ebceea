package flow_test

import (
	"fmt"
	"math/rand"
	"net/netip"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/flow"
	"azureshift/core/id"
)

var _start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func TestInsertKeepsTheFirst(t *testing.T) {
	c := qt.New(t)
	table := flow.NewTable(_start)
	table.Insert(7, flow.Entry{Target: 1, LastSeen: _start}, 0)
	target, ok := table.Insert(7, flow.Entry{Target: 2, LastSeen: _start}, 0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(target, qt.Equals, flow.Target(1))
}

func TestFenceRefusesOldDecisions(t *testing.T) {
	c := qt.New(t)
	table := flow.NewTable(_start)
	table.RaiseFence(3)
	_, ok := table.Insert(7, flow.Entry{Target: 1, LastSeen: _start}, 2)
	c.Assert(ok, qt.IsFalse)
	_, ok = table.Insert(7, flow.Entry{Target: 1, LastSeen: _start}, 3)
	c.Assert(ok, qt.IsTrue)
}

func TestExpireReturnsRecorded(t *testing.T) {
	c := qt.New(t)
	table := flow.NewTable(_start)
	table.Insert(1, flow.Entry{Target: 1, HasRecord: true, LastSeen: _start}, 0)
	table.Insert(2, flow.Entry{Target: 1, LastSeen: _start}, 0)
	table.Insert(3, flow.Entry{Target: 1, HasRecord: true, LastSeen: _start}, 0)
	table.Find(3, _start.Add(time.Minute))
	c.Assert(table.Expire(_start.Add(30*time.Second)), qt.DeepEquals, []flow.Expired{{Flow: 1, Target: 1}})
	c.Assert(table.Len(), qt.Equals, 1)
}

func TestRangeVisitsOnePrefix(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewSource(1))
	for _, bits := range []int{4, 12, 16} {
		table := flow.NewTable(_start)
		expected, visited := 0, 0
		for range 10_000 {
			hash := id.Flow(random.Uint64())
			table.Insert(hash, flow.Entry{Target: 1, LastSeen: _start}, 0)
			if uint64(hash)>>(64-bits) == 5 {
				expected++
			}
		}
		table.Range(5, bits, func(id.Flow, flow.Entry) { visited++ })
		c.Assert(visited, qt.Equals, expected)
	}
}

func TestMillionFlowsFitIn128Megabytes(t *testing.T) {
	c := qt.New(t)
	c.Assert(bytesPerFlow(1_000_000)*1_000_000 <= 128e6, qt.IsTrue)
}

func TestFindAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	table := flow.NewTable(_start)
	caller := netip.MustParseAddrPort("10.0.0.1:4000")
	table.Insert(flow.Hash(caller, "chiosco"), flow.Entry{Target: 1, LastSeen: _start}, 0)
	allocations := testing.AllocsPerRun(1000, func() { table.Find(flow.Hash(caller, "chiosco"), _start) })
	c.Assert(allocations, qt.Equals, 0.0)
}

func BenchmarkFind(b *testing.B) {
	table := flow.NewTable(_start)
	for index := range 300_000 {
		table.Insert(syntheticFlow(index), flow.Entry{Target: 1, LastSeen: _start}, 0)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		table.Find(syntheticFlow(index%300_000), _start)
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, flows := range []int{100_000, 300_000, 1_000_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			b.ReportMetric(float64(flows), "flows")
			b.ReportMetric(bytesPerFlow(flows), "B/flow")
		})
	}
}

func bytesPerFlow(flows int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := flow.NewTable(_start)
	for index := range flows {
		table.Insert(syntheticFlow(index), flow.Entry{Target: 1, LastSeen: _start}, 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(table)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(flows)
}

func syntheticFlow(index int) id.Flow {
	hash := uint64(index+1) * 0x9e3779b97f4a7c15
	return id.Flow(hash ^ hash>>31)
}
