package peer

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

const (
	// _bulkThreshold is the message size in bytes above which an exchange needs a bulk slot.
	_bulkThreshold   = 64 << 10
	_bulkSlotTimeout = 10 * time.Second
)

var errBulkLimit = eris.New("too many bulk exchanges in progress; retry later")

// bulkLimiter limits the memory used by large messages on one connection. An exchange that has read, or is about to
// write, more than _bulkThreshold bytes holds one of the slots shared by all connections until the exchange ends.
type bulkLimiter struct {
	slots chan struct{}

	mu        sync.Mutex
	bytesRead int
	acquired  bool
	closed    bool
}

// addRead counts bytes read for the exchange in progress and acquires a slot once they exceed _bulkThreshold.
func (bulkLimiter *bulkLimiter) addRead(size int) error {
	bulkLimiter.mu.Lock()
	bulkLimiter.bytesRead += size
	isBulk := bulkLimiter.bytesRead > _bulkThreshold
	bulkLimiter.mu.Unlock()
	if !isBulk {
		return nil
	}
	return bulkLimiter.acquire()
}

// acquire waits up to _bulkSlotTimeout for a slot, unless the exchange in progress already holds one.
func (bulkLimiter *bulkLimiter) acquire() error {
	bulkLimiter.mu.Lock()
	defer bulkLimiter.mu.Unlock()
	if bulkLimiter.acquired {
		return nil
	}
	if bulkLimiter.closed {
		return errBulkLimit
	}
	wait := time.NewTimer(_bulkSlotTimeout)
	defer wait.Stop()
	select {
	case bulkLimiter.slots <- struct{}{}:
		bulkLimiter.acquired = true
		return nil
	case <-wait.C:
		return errBulkLimit
	}
}

// release ends the exchange in progress: it resets the byte count and frees the slot, if one is held.
func (bulkLimiter *bulkLimiter) release() {
	bulkLimiter.mu.Lock()
	defer bulkLimiter.mu.Unlock()
	bulkLimiter.bytesRead = 0
	if bulkLimiter.acquired {
		bulkLimiter.acquired = false
		<-bulkLimiter.slots
	}
}

// close releases the slot and makes later calls of acquire fail.
func (bulkLimiter *bulkLimiter) close() {
	bulkLimiter.release()
	bulkLimiter.mu.Lock()
	defer bulkLimiter.mu.Unlock()
	bulkLimiter.closed = true
}

// releaseHandler releases the bulk slot of a connection after each exchange, once its answer is written.
type releaseHandler struct {
	drpc.Handler
	limiter *bulkLimiter
}

func (releaseHandler releaseHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	defer releaseHandler.limiter.release()
	return releaseHandler.Handler.HandleRPC(stream, rpc)
}
