package metrics

import (
	"github.com/uber-go/tally/v4"

	"azureshift/io/peer"
)

// Control counts the bytes exchanged with other entry instances, separately for control messages and for forwarded
// datagrams of callers.
type Control struct {
	controlOut tally.Counter
	controlIn  tally.Counter
	forwardOut tally.Counter
	forwardIn  tally.Counter
}

func newControl(scope tally.Scope) Control {
	return Control{
		controlOut: scope.Counter("control_out_bytes_total"),
		controlIn:  scope.Counter("control_in_bytes_total"),
		forwardOut: scope.Counter("forward_out_bytes_total"),
		forwardIn:  scope.Counter("forward_in_bytes_total"),
	}
}

type observer struct {
	control Control
	drops   map[peer.DropReason]tally.Counter
}

var _ peer.Observer = observer{}

// PeerObserver returns an observer that counts what a peer.Conn sends, receives and drops.
func (metrics *Metrics) PeerObserver() peer.Observer {
	drops := make(map[peer.DropReason]tally.Counter)
	for _, dropReason := range peer.DropReasons() {
		drops[dropReason] = metrics.Drops(SidePeer, dropReason.String())
	}
	return observer{control: metrics.Control, drops: drops}
}

func (observer observer) Sent(kind peer.Kind, size int) {
	if kind == peer.KindForward {
		observer.control.forwardOut.Inc(int64(size))
		return
	}
	observer.control.controlOut.Inc(int64(size))
}

func (observer observer) Received(kind peer.Kind, size int) {
	if kind == peer.KindForward {
		observer.control.forwardIn.Inc(int64(size))
		return
	}
	observer.control.controlIn.Inc(int64(size))
}

func (observer observer) Dropped(dropReason peer.DropReason) {
	if counter, ok := observer.drops[dropReason]; ok {
		counter.Inc(1)
	}
}
