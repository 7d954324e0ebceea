package membership

import (
	"time"

	"azureshift/core/id"
)

// tombstones keeps the last records of ended incarnations, so that delayed records of them are recognised as stale.
type tombstones struct {
	byInstance map[id.Instance]Record
	// order holds the tombstones in the order in which they were added, for expiry.
	order []tombstone
}

type tombstone struct {
	at     time.Time
	member id.Member
}

func (tombstones *tombstones) add(record Record, at time.Time, limit int) {
	tombstones.byInstance[record.Member.Instance] = record
	tombstones.order = append(tombstones.order, tombstone{at: at, member: record.Member})
	for len(tombstones.order) > limit {
		tombstones.dropOldest()
	}
}

// expire drops the tombstones that were added before the given time.
func (tombstones *tombstones) expire(before time.Time) {
	for len(tombstones.order) > 0 && tombstones.order[0].at.Before(before) {
		tombstones.dropOldest()
	}
}

// dropOldest drops the oldest tombstone. The record stays if it belongs to a later incarnation of the instance.
func (tombstones *tombstones) dropOldest() {
	oldest := tombstones.order[0]
	tombstones.order = tombstones.order[1:]
	record, known := tombstones.byInstance[oldest.member.Instance]
	if known && record.Member == oldest.member {
		delete(tombstones.byInstance, oldest.member.Instance)
	}
}
