package steer

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/packet"
)

// _usualDecisions is the digest of the decisions of replayDecisions, computed with the revision before the load of
// services was evened out (c83d708).
const _usualDecisions = 11805198300868894683

// replayDecisions plays packets of new and open flows, with measures that change twice a second, and returns a digest
// of all decisions. The function adds to the measures of a server.
func replayDecisions(add func(server *Server, measure *Measure)) uint64 {
	const rounds, packets = 60, 200
	random := rand.New(rand.NewPCG(7, 7))
	servers := make([]*measuredServer, 0, 24)
	for number := range cap(servers) {
		servers = append(servers, server(number+1, []id.Domain{"near", "far", "farther"}[number%3]))
	}
	table := tableOf(servers...)
	table.LiveInstances = 5
	steering, baselines, digest := newSteering(table), &Baselines{}, xxhash.New()
	open := make(map[uint16]packet.Cookie)
	for round := range rounds {
		now := time.Duration(round) * ReportInterval
		steering.Report(now)
		steering.SetTable(table.WithMeasures(now, baselines, func(server *Server) Measure {
			random := rand.New(rand.NewPCG(uint64(server.Cookie), uint64(round)))
			busy := 3 * random.Float64()
			measure := Measure{
				SmoothedInProgress: busy, LatestInProgress: busy, AnsweredInProgress: busy, Answers: 10 * busy,
				ServiceTime: time.Duration(40+10*random.NormFloat64()) * time.Millisecond, MeasuredAt: now,
			}
			add(server, &measure)
			return measure
		}))
		steering.Expire(now)
		for number := range packets {
			port := uint16(random.IntN(500) + 1)
			header := syn(port, []packet.Endpoint{_feeds, _orders}[port%2], uint32(random.IntN(8)/7))
			if cookie, ok := open[port]; ok && random.IntN(4) > 0 {
				header = data(port, header.Flow.Service, cookie, 1+100*uint32(round), 100*uint32(round), 100)
			}
			at := now + time.Duration(number)*ReportInterval/packets
			decision := steering.Decide(at, header)
			if decision.Action == Forward {
				open[port] = decision.Server.Cookie
			}
			raw := []byte{byte(decision.Action), byte(decision.Reason)}
			if decision.Server != nil {
				raw = binary.BigEndian.AppendUint32(raw, uint32(decision.Server.Cookie))
			}
			_, _ = digest.Write(binary.BigEndian.AppendUint64(raw, uint64(decision.ExpectedLatency)))
		}
	}
	return digest.Sum64()
}

// TestDecisionsWithoutEvenLoad guards against a change to any decision where load is not evened out.
func TestDecisionsWithoutEvenLoad(t *testing.T) {
	c := qt.New(t)
	c.Assert(replayDecisions(func(*Server, *Measure) {}), qt.Equals, uint64(_usualDecisions))
}

// TestDecisionsOnServersThatAreAlike guards against a change to decisions on servers of the same speed by what is
// learnt of them. Their usual latencies differ by chance.
func TestDecisionsOnServersThatAreAlike(t *testing.T) {
	c := qt.New(t)
	digest := replayDecisions(func(server *Server, measure *Measure) {
		measure.Held = float64(server.Cookie)
		measure.SampledAnswers, measure.AnswerRate = 100, float64(server.Cookie)
		measure.UsualLatency = time.Duration(40+int(server.Cookie)%5) * time.Millisecond
	})
	c.Assert(digest, qt.Equals, uint64(_usualDecisions))
}
