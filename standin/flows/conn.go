package flows

import (
	"errors"
	"sync"
	"time"

	"azureshift/core/packet"
)

// Retransmission delays, which double with each retransmission, and limits.
const (
	_initialDelay   = 200 * time.Millisecond
	_maxDelay       = 1600 * time.Millisecond
	_windowSize     = 16
	_maxRetransmits = 8
)

var (
	// ErrRefused means that a flow was reset before it opened.
	ErrRefused = errors.New("flow refused before it opened")
	// ErrReset means that an open flow was reset.
	ErrReset = errors.New("open flow reset")
	// ErrClosed means that the flow was closed, by either end.
	ErrClosed = errors.New("flow closed")
	// ErrTimeout means that the deadline passed.
	ErrTimeout = errors.New("deadline passed")
	// ErrCorrupt means that a packet arrived with a wrong checksum.
	ErrCorrupt = errors.New("packet has a wrong checksum")
)

// conn is one end of an open flow. It delivers data completely and in order.
type conn struct {
	local, remote packet.Endpoint
	transmit      func(segment)

	mu   sync.Mutex
	echo uint32
	// unacked holds the segments that were sent but not acknowledged, and queued those that wait for the window.
	unacked          []*unackedSegment
	queued           []segment
	nextSequence     uint32
	expectedSequence uint32
	outOfOrder       map[uint32]segment
	received         []byte
	// endReason is why the flow ended; nil while it is open.
	endReason error
	finQueued bool
	timer     *time.Timer
	wakeup    chan struct{}
}

type unackedSegment struct {
	segment
	delay       time.Duration
	dueAt       time.Time
	retransmits int
}

func newConn(local, remote packet.Endpoint, next, expected uint32, transmit func(segment)) *conn {
	return &conn{
		local: local, remote: remote, transmit: transmit, nextSequence: next, expectedSequence: expected,
		outOfOrder: make(map[uint32]segment), wakeup: make(chan struct{}, 1),
	}
}

// write sends data.
func (conn *conn) write(data []byte) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for len(data) > 0 {
		size := min(len(data), _maxData)
		conn.enqueue(segment{flags: _ack, data: data[:size]})
		data = data[size:]
	}
	conn.flush()
}

// closeWrite closes this end.
func (conn *conn) closeWrite() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.finQueued {
		conn.finQueued = true
		conn.enqueue(segment{flags: _ack | _fin})
		conn.flush()
	}
}

// abort ends the flow without notifying the other end.
func (conn *conn) abort(reason error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.end(reason)
}

func (conn *conn) enqueue(added segment) {
	added.from, added.to = conn.local, conn.remote
	added.sequence = conn.nextSequence
	conn.nextSequence = added.nextSequence()
	conn.queued = append(conn.queued, added)
}

// flush sends queued segments while the window has room.
func (conn *conn) flush() {
	for len(conn.queued) > 0 && len(conn.unacked) < _windowSize {
		sending := &unackedSegment{segment: conn.queued[0], delay: _initialDelay, dueAt: time.Now().Add(_initialDelay)}
		conn.queued = conn.queued[1:]
		conn.unacked = append(conn.unacked, sending)
		conn.emit(sending.segment)
	}
	conn.armRetransmitTimer()
}

// emit sends a segment with the newest acknowledgement and echo.
func (conn *conn) emit(sending segment) {
	sending.ack, sending.echo = conn.expectedSequence, conn.echo
	conn.transmit(sending)
}

func (conn *conn) armRetransmitTimer() {
	if conn.timer != nil {
		conn.timer.Stop()
	}
	if len(conn.unacked) == 0 || conn.endReason != nil {
		return
	}
	conn.timer = time.AfterFunc(max(time.Until(conn.unacked[0].dueAt), 0), conn.retransmit)
}

func (conn *conn) retransmit() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	now := time.Now()
	for _, waiting := range conn.unacked {
		if waiting.dueAt.After(now) {
			continue
		}
		waiting.retransmits++
		if waiting.retransmits > _maxRetransmits {
			conn.end(ErrTimeout)
			return
		}
		waiting.delay = min(2*waiting.delay, _maxDelay)
		waiting.dueAt = now.Add(waiting.delay)
		conn.emit(waiting.segment)
	}
	conn.armRetransmitTimer()
}

// receive processes a segment from the other end.
func (conn *conn) receive(received segment) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.endReason != nil {
		return
	}
	if received.has(_rst) {
		conn.end(ErrReset)
		return
	}
	conn.echo = received.echo
	conn.acknowledge(received.ack)
	if len(received.data) == 0 && !received.has(_fin) {
		return
	}
	conn.outOfOrder[received.sequence] = received
	for {
		inOrder, ok := conn.outOfOrder[conn.expectedSequence]
		if !ok {
			break
		}
		delete(conn.outOfOrder, conn.expectedSequence)
		conn.expectedSequence = inOrder.nextSequence()
		conn.received = append(conn.received, inOrder.data...)
		if inOrder.has(_fin) {
			conn.end(ErrClosed)
		}
	}
	conn.emit(segment{from: conn.local, to: conn.remote, flags: _ack, sequence: conn.nextSequence})
	conn.wakeReader()
}

func (conn *conn) acknowledge(ack uint32) {
	remaining := conn.unacked[:0]
	for _, waiting := range conn.unacked {
		if sequenceAfter(waiting.nextSequence(), ack) {
			remaining = append(remaining, waiting)
		}
	}
	conn.unacked = remaining
	conn.flush()
}

func (conn *conn) end(reason error) {
	if conn.endReason == nil {
		conn.endReason = reason
	}
	if conn.timer != nil {
		conn.timer.Stop()
	}
	conn.wakeReader()
}

func (conn *conn) wakeReader() {
	select {
	case conn.wakeup <- struct{}{}:
	default:
	}
}

// takeMessage returns a message of the given size or, if size is negative, up to the next newline. It returns nothing
// while the message is incomplete.
func (conn *conn) takeMessage(size int) ([]byte, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if size < 0 {
		for index, character := range conn.received {
			if character == '\n' {
				size = index + 1
				break
			}
		}
	}
	if size < 0 || len(conn.received) < size {
		return nil, conn.endReason
	}
	message := conn.received[:size]
	conn.received = conn.received[size:]
	return message, nil
}

// readMessage waits for a message until the deadline.
func (conn *conn) readMessage(size int, deadline time.Time) ([]byte, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		message, err := conn.takeMessage(size)
		if message != nil || err != nil {
			return message, err
		}
		select {
		case <-conn.wakeup:
		case <-timer.C:
			return nil, ErrTimeout
		}
	}
}
