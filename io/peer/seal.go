package peer

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
)

// sealer encrypts and authenticates the datagrams sent by one incarnation of an instance. It is safe for concurrent
// use.
//
// The cipher key is derived from the shared key, the instance name and the incarnation. The nonce is a counter that
// starts anew with each incarnation. A nonce would repeat under the same key only if an instance restarted with the
// same incarnation, which core/id rules out: each restart has a greater one.
type sealer struct {
	member   id.Member
	keyID    [_keyIDSize]byte
	cipher   cipher.AEAD
	disabled DisabledChecks
	counter  atomic.Uint64
}

// opener authenticates and decrypts the datagrams addressed to one incarnation of an instance. It is safe for
// concurrent use.
type opener struct {
	keys               []Key
	boundDestination   []byte
	unboundDestination []byte
	senders            *senders
	disabled           DisabledChecks
}

// scratch holds reusable buffers for sealing or opening one datagram.
type scratch struct {
	nonce          [_nonceSize]byte
	associatedData []byte
	body           []byte
	batch          []byte
	packet         []byte
}

func newScratch() any {
	return &scratch{
		associatedData: make([]byte, 0, 2*_maxHeaderSize),
		body:           make([]byte, 0, MaxDatagram),
		batch:          make([]byte, 0, MaxDatagram),
		packet:         make([]byte, 0, MaxDatagram),
	}
}

func newSealer(config Config) (*sealer, error) {
	member, key := config.Member, config.Keys[0]
	aead, err := newCipher(key, []byte(member.Instance), member.Incarnation)
	if err != nil {
		return nil, err
	}
	return &sealer{member: member, keyID: key.id, cipher: aead, disabled: config.DisabledChecks}, nil
}

func newOpener(self Address, config Config) *opener {
	return &opener{
		keys:               config.Keys,
		boundDestination:   appendDestination(nil, self),
		unboundDestination: appendDestination(nil, Address{AddrPort: self.AddrPort}),
		senders:            newSenderTable(config),
		disabled:           config.DisabledChecks,
	}
}

// seal returns a datagram that carries the batch in scratch. The datagram aliases scratch.
func (sealer *sealer) seal(scratch *scratch, to Address) []byte {
	destination := appendDestination(scratch.associatedData[:0], to)
	hdr := header{
		keyID:       sealer.keyID,
		destination: hashDestination(destination),
		incarnation: sealer.member.Incarnation,
		counter:     sealer.counter.Add(1),
	}
	if to.Member.Instance != "" {
		hdr.flags = _flagBound
	}
	if sealer.disabled.DestinationBinding {
		destination = destination[:0]
	}
	packet := appendHeader(scratch.packet[:0], hdr, sealer.member.Instance)
	associatedData := append(destination, packet...)
	scratch.setNonce(hdr.counter)
	scratch.associatedData, scratch.packet = associatedData, packet
	return sealer.cipher.Seal(packet, scratch.nonce[:], scratch.batch, associatedData)
}

// openedDatagram is the content of an authentic datagram. The batch aliases the scratch passed to open.
type openedDatagram struct {
	from  id.Member
	bound bool
	batch []byte
}

// open authenticates and decrypts a datagram. It returns the content or the reason for dropping the datagram.
func (opener *opener) open(packet []byte, scratch *scratch, now time.Time) (openedDatagram, DropReason) {
	hdr, name, dropReason := parseHeader(packet)
	if dropReason != 0 {
		return openedDatagram{}, dropReason
	}
	destination := opener.unboundDestination
	if hdr.bound() {
		destination = opener.boundDestination
	}
	if opener.disabled.DestinationBinding {
		destination = nil
	} else if hdr.destination != hashDestination(destination) {
		return openedDatagram{}, DropMisdirected
	}
	aead, dropReason := opener.cipher(hdr, name)
	if dropReason != 0 {
		return openedDatagram{}, dropReason
	}
	length := _fixedHeaderSize + len(name)
	scratch.associatedData = append(append(scratch.associatedData[:0], destination...), packet[:length]...)
	scratch.setNonce(hdr.counter)
	batch, err := aead.Open(scratch.batch[:0], scratch.nonce[:], packet[length:], scratch.associatedData)
	if err != nil {
		return openedDatagram{}, DropForged
	}
	scratch.batch = batch
	from, dropReason := opener.senders.accept(name, hdr, aead, now)
	return openedDatagram{from: from, bound: hdr.bound(), batch: batch}, dropReason
}

// cipher returns the cipher for the sender, incarnation and key ID of the header.
func (opener *opener) cipher(hdr header, name []byte) (cipher.AEAD, DropReason) {
	cached, dropReason := opener.senders.lookup(name, hdr)
	if cached != nil || dropReason != 0 {
		return cached, dropReason
	}
	for _, key := range opener.keys {
		if key.id != hdr.keyID {
			continue
		}
		aead, err := newCipher(key, name, hdr.incarnation)
		if err != nil {
			return nil, DropUnknownKey
		}
		return aead, 0
	}
	return nil, DropUnknownKey
}

func (scratch *scratch) setNonce(counter uint64) {
	binary.BigEndian.PutUint64(scratch.nonce[_nonceSize-8:], counter)
}

// newCipher returns the AES-GCM cipher of one incarnation of the named instance.
func newCipher(key Key, name []byte, incarnation id.Incarnation) (cipher.AEAD, error) {
	info := append([]byte(_datagramInfo), 0)
	info = binary.BigEndian.AppendUint64(info, uint64(incarnation))
	derived, err := key.derive(string(append(info, name...)), _cipherKeySize)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, eris.Wrap(err, "set up AES")
	}
	aead, err := cipher.NewGCM(block)
	return aead, eris.Wrap(err, "set up GCM")
}
