package request

import (
	"slices"

	"azureshift/core/id"
)

// partialReport holds the chunks of one member's report that have arrived.
type partialReport struct {
	Report
	chunks   [][]Record
	received []bool
	missing  int
}

// hasReport reports whether a member's report has arrived completely, including its records if withRecords is set.
func (takeover *takeover) hasReport(member id.Member, withRecords bool) bool {
	found, ok := takeover.reports[member]
	return ok && found.missing == 0 && (found.WithRecords || !withRecords)
}

// firstMissingChunk returns the first chunk of a member's report that is missing.
func (takeover *takeover) firstMissingChunk(member id.Member) int {
	found, ok := takeover.reports[member]
	if !ok || !found.WithRecords {
		return 0
	}
	return max(0, slices.Index(found.received, false))
}

// handleReportRequest confirms the current epoch and reports on a shard. From then on this instance acknowledges no
// seal of an earlier epoch and serves the shard under no earlier epoch.
func (state *State) handleReportRequest(from id.Member, message ReportRequest) {
	if message.Epoch != state.view.Number || message.Shard.Domain != state.config.Domain {
		return
	}
	shard := state.shard(message.Shard.Service)
	if shard.pair.Owner != from {
		return
	}
	shard.reportRequested = true
	if !message.WithRecords && !shard.alone {
		brief := state.ownReport(shard)
		brief.Chunks = 1
		state.send(from, brief)
		return
	}
	if shard.reportChunks == nil {
		shard.reportChunks = state.buildReport(shard)
	}
	for _, chunk := range shard.reportChunks[min(message.FirstChunk, len(shard.reportChunks)):] {
		state.send(from, chunk)
	}
}

// buildReport returns a report with all records, split into chunks.
func (state *State) buildReport(shard *shard) []Report {
	var records []Record
	for _, entry := range shard.log {
		if !entry.removed && entry.class == AtMostOnce {
			records = append(records, entry.toRecord(state.now))
		}
	}
	template := state.ownReport(shard)
	template.WithRecords = true
	size := state.config.RecordsPerMessage
	template.Chunks = max(1, (len(records)+size-1)/size)
	chunks := make([]Report, 0, template.Chunks)
	for ; template.Chunk < template.Chunks; template.Chunk++ {
		count := min(size, len(records))
		template.Records = records[:count]
		records = records[count:]
		chunks = append(chunks, template)
	}
	return chunks
}

func (state *State) ownReport(shard *shard) Report {
	return Report{
		Epoch:          state.view.Number,
		Shard:          shard.name,
		CompleteEpoch:  shard.completeEpoch,
		SealAckedEpoch: shard.sealAckedEpoch,
		ServedAlone:    shard.alone,
		UncertainFor:   max(0, shard.uncertainUntil.Sub(state.now)),
	}
}

func (state *State) handleReport(from id.Member, message Report) {
	shard, ok := state.shards[message.Shard]
	if !ok || shard.takeover == nil || message.Epoch != state.view.Number || message.Chunk >= message.Chunks {
		return
	}
	found, ok := shard.takeover.reports[from]
	if !ok || message.WithRecords && !found.WithRecords {
		found = &partialReport{
			Report:   message,
			chunks:   make([][]Record, message.Chunks),
			received: make([]bool, message.Chunks),
			missing:  message.Chunks,
		}
		shard.takeover.reports[from] = found
	}
	if message.Chunk >= len(found.received) || found.received[message.Chunk] {
		return
	}
	found.received[message.Chunk] = true
	found.chunks[message.Chunk] = message.Records
	found.missing--
	state.evaluateReports(shard)
}

// reportOf returns the report of a member, which may be this instance.
func (state *State) reportOf(shard *shard, member id.Member) (Report, bool) {
	if member == state.config.Self {
		return state.ownReport(shard), true
	}
	if member.Instance == "" || !shard.takeover.hasReport(member, false) {
		return Report{}, false
	}
	return shard.takeover.reports[member].Report, true
}
