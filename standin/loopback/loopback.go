// Package loopback allocates loopback addresses that no other process of these tests uses.
package loopback

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// Blocks are the networks 127.64.0.0/24 to 127.191.255.0/24.
const (
	_port             = 7946
	_firstSecondOctet = 64
	_secondOctets     = 128
	_thirdOctets      = 256
	_secondOctetShift = 16
	_thirdOctetShift  = 8
	_maxHost          = 1<<_thirdOctetShift - 2
	_loopbackNet      = 127 << 24
)

// Block is a range of 254 loopback addresses that one process reserves by listening on the first. Callers send from
// 127.0.0.1, so that they never occupy one of its ports.
type Block struct {
	base uint32
	lock net.Listener

	mu       sync.Mutex
	lastHost uint32
}

// Reserve reserves the first free block. The seed determines where the search starts.
func Reserve(seed uint64) (*Block, error) {
	for attempt := range uint64(_secondOctets * _thirdOctets) {
		index := (seed + attempt) % (_secondOctets * _thirdOctets)
		base := uint32(_loopbackNet + _firstSecondOctet<<_secondOctetShift + index<<_thirdOctetShift)
		lock, err := net.Listen("tcp", addressOf(base+1).String())
		if err == nil {
			return &Block{base: base, lock: lock, lastHost: 1}, nil
		}
	}
	return nil, eris.New("no block of loopback addresses is free; stop other runs on this machine")
}

// Next returns an address of the block that it has not returned before.
func (block *Block) Next() (netip.AddrPort, error) {
	block.mu.Lock()
	defer block.mu.Unlock()
	if block.lastHost >= _maxHost {
		return netip.AddrPort{}, eris.Errorf("all %d addresses of the loopback block are in use", _maxHost)
	}
	block.lastHost++
	return addressOf(block.base + block.lastHost), nil
}

// Close releases the block.
func (block *Block) Close() error {
	return eris.Wrap(block.lock.Close(), "release loopback block")
}

func addressOf(value uint32) netip.AddrPort {
	var raw [4]byte
	binary.BigEndian.PutUint32(raw[:], value)
	return netip.AddrPortFrom(netip.AddrFrom4(raw), _port)
}
